/*
 * Token bucket of one client account, kept by the owner of the account's shard. Pure functions with
 * a given clock.
 *
 * Rule: a request is granted when the level covers its prompt plus its maximum output. The output
 * part is booked and what is not used comes back. Level plus outstanding output bookings never
 * exceed the burst.
 *
 * Reason: returns come only out of bookings, so whatever is granted inside a window of length w was
 * in the level at its start, returned from bookings outstanding at its start (together at most the
 * burst), or refilled (at most rate * w). The tokens granted in every window therefore stay within
 * burst + rate * w, where a settled request counts as what it used and an unsettled one as its
 * booking. A burst has to cover the output bookings of the requests that run at once, because
 * bookings leave that much less room for the refill.
 */
#ifndef TLB_BUCKET_H
#define TLB_BUCKET_H

#include <stdbool.h>
#include <stdint.h>

#include "clock.h"

enum { TLB_BUCKET_SCALE = 1000000 }; /* micro-tokens per token: rate * microseconds is exact */

/* Caller-owned, no pointers; nothing to finish. Rates and amounts up to 10^9 tokens. */
struct tlb_bucket {
	int64_t rate;	     /* tokens per second */
	int64_t burst;	     /* tokens */
	int64_t level;	     /* micro-tokens, 0 to burst */
	int64_t outstanding; /* tokens booked for output and not settled */
	tlb_time refilled_at;
};

/* What a shutting-down owner sends to the next one; free of clock readings. */
struct tlb_bucket_snapshot {
	int64_t level; /* micro-tokens */
	int64_t outstanding;
};

/* level is the start level in tokens, clamped to 0..burst: the burst for a new account, 0 for an
 * owner that takes over without a snapshot, so that a takeover grants no fresh burst. */
void tlb_bucket_init(struct tlb_bucket *b, int64_t rate, int64_t burst, int64_t level,
		     tlb_time now);

/* Takes prompt_tokens for good and books output_tokens, or changes nothing and returns false. A
 * caller that may still refuse the request passes its prompt as output (0, prompt + output) and
 * settles the whole later. */
bool tlb_bucket_take(struct tlb_bucket *b, int64_t prompt_tokens, int64_t output_tokens,
		     tlb_time now);

/* Ends a booking of output_booked tokens of which output_used were used; returns the tokens given
 * back. Bookings that this owner does not know of give nothing back. */
int64_t tlb_bucket_settle(struct tlb_bucket *b, int64_t output_booked, int64_t output_used,
			  tlb_time now);

/* The earliest time at which a request of that many tokens in total can be granted if nothing else
 * happens; TLB_NEVER while outstanding bookings or the burst rule it out. */
tlb_time tlb_bucket_ready_at(const struct tlb_bucket *b, int64_t tokens, tlb_time now);

/* True if no amount of waiting grants a request of that many tokens. */
bool tlb_bucket_exceeds_burst(const struct tlb_bucket *b, int64_t tokens);

/* Applies a changed row: refills at the old rate, then keeps the level within the new burst. The
 * level is never raised. */
void tlb_bucket_reconfigure(struct tlb_bucket *b, int64_t rate, int64_t burst, tlb_time now);

/* Adds micro-tokens of level and tokens of outstanding bookings that another bucket of the same
 * account has given up; the level stays within the burst. */
void tlb_bucket_deposit(struct tlb_bucket *b, int64_t level, int64_t outstanding, tlb_time now);

struct tlb_bucket_snapshot tlb_bucket_snapshot(struct tlb_bucket *b, tlb_time now);
/* Starts a bucket from a snapshot at the receiver's own clock; the time in transit is not refilled.
 */
void tlb_bucket_restore(struct tlb_bucket *b, int64_t rate, int64_t burst,
			const struct tlb_bucket_snapshot *s, tlb_time now);

#endif
