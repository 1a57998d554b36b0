#include "retry.h"

/* The first delay is longer than a round trip between zones (2 ms) and far shorter than the
 * first-token target (1.2 s); the longest one still allows several attempts before a client gives
 * up. */
#define BACKOFF_BASE (10 * TLB_MS)
#define BACKOFF_MAX (500 * TLB_MS)

void tlb_retry_init(struct tlb_retry_budget *r, double fraction, double most)
{
	r->fraction = fraction;
	r->max_budget = most;
	r->budget = most / 2;
}

void tlb_retry_count_first(struct tlb_retry_budget *r)
{
	r->budget += r->fraction;
	if (r->budget > r->max_budget)
		r->budget = r->max_budget;
}

bool tlb_retry_allowed(enum tlb_step step, bool sent)
{
	switch (step) {
	case TLB_STEP_RESERVE:
	case TLB_STEP_BOOK:
	case TLB_STEP_PREFILL:
	case TLB_STEP_IMPORT:
	case TLB_STEP_DECODE:
	case TLB_STEP_CANCEL:
	case TLB_STEP_IDEMPOTENT_CALL:
	case TLB_STEP_STORE_READ:
	case TLB_STEP_STORE_WRITE:
		return true;
	case TLB_STEP_NON_IDEMPOTENT_CALL:
		return !sent;
	}
	return false;
}

tlb_time tlb_retry_backoff(int attempt, tlb_time base_us, tlb_time most_us, struct tlb_random *rnd)
{
	tlb_time delay = base_us;
	int i;

	for (i = 1; i < attempt && delay < most_us; i++)
		delay *= 2;
	if (delay > most_us)
		delay = most_us;
	return (tlb_time)((double)delay * (0.5 + tlb_random_unit(rnd) / 2));
}

enum tlb_retry_decision tlb_retry_decide(struct tlb_retry_budget *r, enum tlb_step step, bool sent,
					 int attempt, tlb_time now, tlb_time deadline,
					 struct tlb_random *rnd, tlb_time *at)
{
	tlb_time retry_at;

	if (attempt > TLB_RETRY_MAX_ATTEMPTS || !tlb_retry_allowed(step, sent))
		return TLB_RETRY_NOT_ALLOWED;
	if (r->budget < 1)
		return TLB_RETRY_NO_BUDGET;
	retry_at = now + tlb_retry_backoff(attempt, BACKOFF_BASE, BACKOFF_MAX, rnd);
	if (retry_at >= deadline)
		return TLB_RETRY_PAST_DEADLINE;
	r->budget -= 1;
	*at = retry_at;
	return TLB_RETRY_SCHEDULED;
}
