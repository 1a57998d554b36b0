/*
 * Adaptive limit on the prefills that one VM has in flight. Pure functions that get the time as an
 * argument.
 *
 * Rule (additive increase, multiplicative decrease): each prefill that ends within the target time
 * raises the limit by 1/limit; one that ends later multiplies it by DECREASE, at most once per
 * target time.
 * Reason: VMs share prefill endpoints without exchanging what they send. Requests that wait at this
 * VM can still be reordered and rejected, those that wait at an endpoint can't. So a VM sends only
 * as many prefills as end in time.
 */
#ifndef TLB_WINDOW_H
#define TLB_WINDOW_H

#include <stdbool.h>

#include "clock.h"

/* Caller-owned, no pointers. */
struct tlb_window {
	double limit; /* concurrent prefills; fractional so that it can grow by 1/limit */
	int in_use;
	int max_limit; /* upper bound of limit */
	tlb_time target_us;
	tlb_time next_decrease_at; /* no further decrease before this time */
};

void tlb_window_init(struct tlb_window *w, double limit, int most, tlb_time target_us);
/* Whether another prefill may start. One is always allowed if none is in flight. */
bool tlb_window_has_capacity(const struct tlb_window *w);
void tlb_window_acquire(struct tlb_window *w);
/* Records the end of a prefill that lasted took; 0: it failed, which leaves the limit unchanged. */
void tlb_window_release(struct tlb_window *w, tlb_time took, tlb_time now);

#endif
