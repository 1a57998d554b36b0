/*
 * The completions form that callers speak: the JSON body of a request, and the JSON and
 * server-sent events of its response (the widely used form of /v1/completions and
 * /v1/chat/completions).
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

/* Parses a body. On failure err is bad_request and names the field; nothing is owned then. */
enum tlb_code tlb_completion_parse(struct tlb_completion *c, const char *body, size_t len,
				   bool chat, struct tlb_error *err);
void tlb_completion_finish(struct tlb_completion *c);

/* Tokens of a text by the estimate that admission uses; engines count the same way within a few
 * percent. */
int tlb_completion_tokens(size_t bytes);

/* The whole response as JSON; malloc'd, NULL without memory. */
char *tlb_completion_response(const struct tlb_completion *c, const char *id, const char *text,
			      const char *reason, int prompt_tokens, int output_tokens);
/* One event with the next piece of text; reason is NULL before the end. malloc'd. */
char *tlb_completion_event(const struct tlb_completion *c, const char *id, const char *text,
			   const char *reason);
/* The event that marks a stream as failed: {"error":{...}}. malloc'd. */
char *tlb_completion_error_event(const char *id, const struct tlb_error *err);

#endif
