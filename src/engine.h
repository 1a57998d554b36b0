/*
 * The engine protocol (docs/design.md, section 7): builds the request bodies of the prefill, import
 * and decode calls and parses the responses. Pure functions; request.c makes the calls.
 */
#ifndef TLB_ENGINE_H
#define TLB_ENGINE_H

#include <stdbool.h>
#include <stddef.h>

#include "ident.h"
#include "queue.h"

/* Parameters shared by the calls of one attempt. Strings are borrowed. */
struct tlb_engine_attempt {
	const char *request_id; /* of this attempt */
	const char *owner;	/* "<vm id>/<incarnation>" */
	enum tlb_class class;
	int max_tokens;	       /* of the whole output */
	int generated_tokens;  /* output so far: 0 unless a stream is resumed */
	const char *generated; /* text of the output so far; NULL for none */
};

/* Request bodies as JSON; malloc'd, NULL when out of memory. */
char *tlb_engine_prefill_body(const struct tlb_engine_attempt *j, const char *model,
			      const char *prompt);
/* source is the prefill engine's "host:port". */
char *tlb_engine_import_body(const struct tlb_engine_attempt *j, const char *kv_id,
			     const char *source);
char *tlb_engine_decode_body(const struct tlb_engine_attempt *j);

/* Reads the KV cache's id from the response to a prefill. Returns false if it has no valid one. */
bool tlb_engine_read_prefill(const char *body, size_t len, char kv_id[TLB_REQUEST_ID_LEN]);

enum tlb_engine_event_kind { TLB_ENGINE_TOKEN, TLB_ENGINE_DONE, TLB_ENGINE_INVALID };

enum { TLB_ENGINE_TOKEN_MAX = 4096, TLB_ENGINE_REASON_LEN = 16 };

/* One parsed event of a decode stream; a value type. */
struct tlb_engine_event {
	enum tlb_engine_event_kind kind;
	union {
		struct {
			int index;
			char text[TLB_ENGINE_TOKEN_MAX];
		} token;
		struct {
			int count; /* tokens of the whole output */
			char reason[TLB_ENGINE_REASON_LEN];
		} done;
	};
};

void tlb_engine_read_event(const char *data, size_t len, struct tlb_engine_event *e);

#endif
