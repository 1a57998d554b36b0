/*
 * Decides whether and when a failed step is retried.
 *
 * Rule: a retry requires (1) a step that may be repeated, (2) at least 1 in the retry budget, (3)
 * a backoff that ends before the deadline. Every first attempt adds `fraction` to the budget, up to
 * `most`; every retry subtracts 1.
 * Reason: without a budget, retries multiply the load of a pool that fails under load; with it, the
 * added load stays below `fraction`. Jitter in the backoff prevents callers that failed at the same
 * time from retrying at the same time.
 */
#ifndef TLB_RETRY_H
#define TLB_RETRY_H

#include <stdbool.h>

#include "clock.h"
#include "random.h"

enum { TLB_RETRY_MAX_ATTEMPTS = 4 };

/* Retry budget. Caller-owned, no pointers; one per pool and daemon. */
struct tlb_retry_budget {
	double fraction;   /* retries per first attempt, for example 0.1 */
	double max_budget; /* upper bound of budget */
	double budget;
};

enum tlb_step {
	TLB_STEP_RESERVE,	      /* reserve tokens at the account's owner */
	TLB_STEP_BOOK,		      /* book KV blocks at the decode endpoint's owner */
	TLB_STEP_PREFILL,	      /* repeatable: costs compute time only */
	TLB_STEP_IMPORT,	      /* KV cache transfer */
	TLB_STEP_DECODE,	      /* resumes at the next token index with a new booking */
	TLB_STEP_CANCEL,	      /* idempotent at the engine */
	TLB_STEP_IDEMPOTENT_CALL,     /* service call on an idempotent route */
	TLB_STEP_NON_IDEMPOTENT_CALL, /* service call on a non-idempotent route */
	TLB_STEP_STORE_READ,	      /* read from the table service */
	TLB_STEP_STORE_WRITE, /* conditional write, so a repeated one has no second effect */
};

enum tlb_retry_decision {
	TLB_RETRY_SCHEDULED,
	TLB_RETRY_NOT_ALLOWED,
	TLB_RETRY_NO_BUDGET,
	TLB_RETRY_PAST_DEADLINE
};

/* The budget starts at half of most. */
void tlb_retry_init(struct tlb_retry_budget *r, double fraction, double most);
/* Counts a first attempt, which adds to the budget. */
void tlb_retry_count_first(struct tlb_retry_budget *r);

/* Whether the step may be repeated. sent: whether a byte of the last attempt may have reached the
 * endpoint. */
bool tlb_retry_allowed(enum tlb_step step, bool sent);

/* Returns the delay in microseconds before retry number attempt, counted from 1: uniform between
 * half and all of base_us * 2^(attempt - 1), which is limited to most_us. */
tlb_time tlb_retry_backoff(int attempt, tlb_time base_us, tlb_time most_us, struct tlb_random *rnd);

/* Decides on a retry. With TLB_RETRY_SCHEDULED the budget is charged and *at is set to the time of
 * the retry; any other result changes nothing. */
enum tlb_retry_decision tlb_retry_decide(struct tlb_retry_budget *r, enum tlb_step step, bool sent,
					 int attempt, tlb_time now, tlb_time deadline,
					 struct tlb_random *rnd, tlb_time *at);

#endif
