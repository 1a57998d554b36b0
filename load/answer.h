/*
 * Checks responses byte for byte. The engine stand-in derives its output from the prompt, and the
 * service stand-in returns the hash of the request body, so a response that belongs to another
 * request is detected.
 */
#ifndef LOAD_ANSWER_H
#define LOAD_ANSWER_H

#include <stdbool.h>
#include <stddef.h>

#include "clock.h"
#include "plan.h"

enum load_outcome {
	LOAD_ANSWERED, /* complete and correct */
	LOAD_NOT_RUN,  /* refused; the router guarantees that the request was not executed */
	LOAD_UNKNOWN,  /* error with outcome "unknown", or an interrupted connection */
	LOAD_LOST,     /* neither a response nor an error within the time limit */
	LOAD_WRONG,    /* complete but incorrect, or the call was executed more than once */
	LOAD_OUTCOME_COUNT
};

enum { LOAD_CODE_LEN = 32, LOAD_REASON_LEN = 160 };

/* The result of checking one response. */
struct load_result {
	enum load_outcome outcome;
	char code[LOAD_CODE_LEN];     /* the router's error code, "broken", or "" */
	char reason[LOAD_REASON_LEN]; /* what is incorrect, or why the connection broke; or "" */
};

/* Called for every token of a stream when it is received. */
typedef void load_token_fn(void *arg);

/* A response while it is being received; owns body and expected. */
struct load_answer {
	const struct load_request *request;
	char *body;
	size_t len;
	size_t cap;
	/* Streams only: */
	size_t parsed;	/* bytes of body already parsed */
	char *expected; /* complete output text */
	size_t matched; /* bytes of expected already received */
	bool mismatch;
	bool finish_reason_seen;
	int done_events;
	bool error_event;
	struct load_result event_result;
	load_token_fn *on_token;
	void *arg;
};

/* Returns the output of the engine stand-in for a prompt; the caller frees it. count (tokens) and
 * reason (finish reason) may be NULL. Aborts when out of memory. */
char *load_expected_output(const char *prompt, int max_tokens, int *count, const char **reason);

void load_answer_init(struct load_answer *a, const struct load_request *request,
		      load_token_fn *on_token, void *arg);
void load_answer_finish(struct load_answer *a);
/* Discards the data received so far, before the request is sent again. */
void load_answer_reset(struct load_answer *a);

/* Appends received bytes; status is the HTTP status. Returns false when out of memory. */
bool load_answer_feed(struct load_answer *a, long status, const char *data, size_t len);

/* Checks a response whose HTTP framing is complete; path is the path of the status route. */
void load_answer_check(struct load_answer *a, long status, const char *path,
		       struct load_result *result);
/* Checks the bytes received before the connection broke; reason says why it broke. */
void load_answer_check_interrupted(struct load_answer *a, const char *reason,
				   struct load_result *result);

#endif
