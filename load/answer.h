/*
 * Checks answers byte for byte. The engine stand-in's output is a function of the prompt and the
 * service stand-in's answer names the hash of the body, so each answer proves whose it is.
 */
#ifndef LOAD_ANSWER_H
#define LOAD_ANSWER_H

#include <stdbool.h>
#include <stddef.h>

#include "clock.h"
#include "plan.h"

enum load_outcome {
	LOAD_ANSWERED, /* complete and right */
	LOAD_NOT_RUN,  /* refused, with the promise that nothing ran */
	LOAD_UNKNOWN,  /* an explicit error, or a connection that visibly broke */
	LOAD_LOST,     /* neither an answer nor an error within the time limit */
	LOAD_WRONG,    /* looks complete, but is another answer than the right one, or a double */
	LOAD_OUTCOMES
};

enum { LOAD_CODE_LEN = 32, LOAD_REASON_LEN = 160 };

/* What an answer turned out to be. */
struct load_verdict {
	enum load_outcome outcome;
	char code[LOAD_CODE_LEN];     /* the router's error code, or "" */
	char reason[LOAD_REASON_LEN]; /* what is wrong or broken, or "" */
};

/* Called for every token of a stream as it arrives. */
typedef void load_token_fn(void *arg);

/* An answer as it is received; owned by the call. */
struct load_answer {
	const struct load_item *item;
	char *body;
	size_t len;
	size_t cap;
	/* Of a stream: */
	size_t parsed; /* bytes of body already looked at */
	char *expected;
	size_t matched; /* bytes of expected already received */
	bool mismatch;
	bool finish_seen;
	int done_marks;
	bool error_event;
	struct load_verdict event_verdict;
	load_token_fn *on_token;
	void *arg;
};

/* The output that the engine stand-in gives for a prompt; the caller frees it. count and reason
 * may be NULL. */
char *load_expected_output(const char *prompt, int max_tokens, int *count, const char **reason);

void load_answer_init(struct load_answer *a, const struct load_item *item, load_token_fn *on_token,
		      void *arg);
void load_answer_finish(struct load_answer *a);
/* Forgets what came so far, before another attempt. */
void load_answer_reset(struct load_answer *a);

/* Takes received bytes; status is that of the response. Returns false without memory. */
bool load_answer_feed(struct load_answer *a, long status, const char *data, size_t len);

/* Judges a response whose framing ended properly; path is that of the plain service's route. */
void load_answer_judge(struct load_answer *a, long status, const char *path,
		       struct load_verdict *v);
/* Judges what came before the connection broke. */
void load_answer_judge_broken(struct load_answer *a, const char *reason, struct load_verdict *v);

#endif
