/*
 * Whether and when a failed step is tried again.
 *
 * Rule: a retry needs (1) a step that may be repeated, (2) room in the retry budget, (3) time for
 * its backoff before the deadline. Every first attempt adds `fraction` to the budget, up to `most`;
 * every retry takes 1.
 * Reason: without a budget, a pool that fails under load gets a multiple of the load; with it the
 * added load stays below the fraction. The jitter keeps callers that failed together apart.
 */
#ifndef TLB_RETRY_H
#define TLB_RETRY_H

#include <stdbool.h>

#include "clock.h"
#include "random.h"

enum { TLB_RETRY_MAX_ATTEMPTS = 4 };

/* Caller-owned, no pointers; one per pool and daemon. */
struct tlb_retry {
	double fraction; /* retries per first attempt, for example 0.1 */
	double most;	 /* what an idle time may save up */
	double budget;
};

enum tlb_step {
	TLB_STEP_RESERVE,     /* tokens at the account's owner */
	TLB_STEP_BOOK,	      /* memory at the decode endpoint's owner */
	TLB_STEP_PREFILL,     /* no effect but its cost */
	TLB_STEP_IMPORT,      /* KV transfer */
	TLB_STEP_DECODE,      /* resumes at the next token index on a new booking */
	TLB_STEP_CANCEL,      /* idempotent at the engine */
	TLB_STEP_CALL,	      /* service call on an idempotent route */
	TLB_STEP_PAID_CALL,   /* service call on a non-idempotent route */
	TLB_STEP_STORE_READ,  /* table service */
	TLB_STEP_STORE_WRITE, /* conditional: its condition decides a repeated write */
};

enum tlb_retry_answer { TLB_RETRY_GO, TLB_RETRY_NEVER, TLB_RETRY_SPENT, TLB_RETRY_LATE };

/* Starts with half of what may be saved up. */
void tlb_retry_init(struct tlb_retry *r, double fraction, double most);
/* Counts a first attempt. */
void tlb_retry_first(struct tlb_retry *r);

/* Whether the step may be sent again at all. sent: whether a byte of the last attempt may have
 * reached the endpoint. */
bool tlb_retry_allowed(enum tlb_step step, bool sent);

/* Delay before attempt number attempt (the first retry is 1), in microseconds: uniform in half to
 * all of base_us * 2^(attempt - 1), at most most_us. */
tlb_time tlb_retry_backoff(int attempt, tlb_time base_us, tlb_time most_us, struct tlb_random *rnd);

/* Decides on a retry. With TLB_RETRY_GO the budget is charged and *at is when to send; any other
 * answer changes nothing. */
enum tlb_retry_answer tlb_retry_ask(struct tlb_retry *r, enum tlb_step step, bool sent, int attempt,
				    tlb_time now, tlb_time deadline, struct tlb_random *rnd,
				    tlb_time *at);

#endif
