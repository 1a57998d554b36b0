/*
 * The completions API: parses the JSON body of a request, and writes the JSON and the server-sent
 * events of its response (the widely used format of /v1/completions and /v1/chat/completions).
 */
#ifndef TLB_COMPLETION_H
#define TLB_COMPLETION_H

#include <stdbool.h>

#include "error.h"
#include "queue.h"
#include "table.h"

/* A parsed request; owns prompt. */
struct tlb_completion {
	char model[TLB_ID_LEN];
	char *prompt; /* chat messages are joined as "<role>: <content>\n" */
	size_t prompt_len;
	int max_tokens; /* 0: the model's limit */
	bool stream;
	bool chat;
	enum tlb_class class; /* "priority": "interactive" (default) or "batch" */
	int64_t deadline_ms;  /* "deadline": seconds since 1970; here milliseconds, 0 for none */
};

/* Parses a body. On failure err names the field, with code bad_request (internal without memory),
 * and *c owns nothing. */
enum tlb_code tlb_completion_parse(struct tlb_completion *c, const char *body, size_t len,
				   bool chat, struct tlb_error *err);
void tlb_completion_finish(struct tlb_completion *c);

/* Estimated number of tokens in a text of that many bytes, as used for admission. Engines' counts
 * differ by a few percent. */
int tlb_completion_estimate_tokens(size_t bytes);

/* The complete response as JSON, malloc'd; NULL without memory. reason is the finish_reason. */
char *tlb_completion_response(const struct tlb_completion *c, const char *id, const char *text,
			      const char *reason, int prompt_tokens, int output_tokens);
/* One event with the next part of the text, malloc'd; NULL without memory. reason is the
 * finish_reason, NULL before the last event. */
char *tlb_completion_event(const struct tlb_completion *c, const char *id, const char *text,
			   const char *reason);
/* The event that reports the failure of a stream: {"error":{...}}, malloc'd; NULL without
 * memory. */
char *tlb_completion_error_event(const char *id, const struct tlb_error *err);

#endif
