/*
 * Token bucket of one client account, kept by the owner of the account's shard. The functions have
 * no side effects outside the bucket; the caller passes the time.
 *
 * A request is granted when the level covers its prompt tokens plus its maximum output tokens. The
 * output tokens are booked; those that the request does not use are returned to the level. The
 * level plus the outstanding output bookings never exceed the burst.
 *
 * Tokens are returned only from bookings. The tokens granted within a window of length w therefore
 * come from the level at its start, from bookings outstanding at its start (together at most the
 * burst), or from the refill (at most rate * w). They stay within burst + rate * w, where a
 * reconciled request counts as the tokens that it used and any other as its booking. Outstanding
 * bookings limit the level that the refill can reach, so the burst has to cover the output bookings
 * of all requests that run concurrently.
 */
#ifndef TLB_BUCKET_H
#define TLB_BUCKET_H

#include <stdbool.h>
#include <stdint.h>

#include "clock.h"

enum { TLB_BUCKET_SCALE = 1000000 }; /* micro-tokens per token: rate * microseconds is exact */

/* Owned by the caller; holds no resources. Rates and amounts are at most 10^9 tokens. */
struct tlb_bucket {
	int64_t rate;	     /* tokens per second */
	int64_t burst;	     /* tokens */
	int64_t level;	     /* micro-tokens, 0 to burst */
	int64_t outstanding; /* tokens booked for output, not yet reconciled */
	tlb_time refilled_at;
};

/* State that an owner that leaves sends to the next owner. Contains no times, because the clocks of
 * two VMs are not comparable. */
struct tlb_bucket_snapshot {
	int64_t level; /* micro-tokens */
	int64_t outstanding;
};

/* level is the initial level in tokens, clamped to 0..burst: the burst for a new account, and 0 for
 * an owner that takes over without a snapshot, because a takeover must not grant a second burst. */
void tlb_bucket_init(struct tlb_bucket *b, int64_t rate, int64_t burst, int64_t level,
		     tlb_time now);

/* Consumes prompt_tokens and books output_tokens. Returns false and changes nothing when the level
 * does not cover both. A caller that may still refuse the request books the prompt as output too
 * (0, prompt + output) and reconciles both later. */
bool tlb_bucket_reserve(struct tlb_bucket *b, int64_t prompt_tokens, int64_t output_tokens,
			tlb_time now);

/* Ends a booking of output_booked tokens, of which output_used were used. Returns the number of
 * tokens returned to the level; tokens beyond the outstanding bookings are not returned. */
int64_t tlb_bucket_reconcile(struct tlb_bucket *b, int64_t output_booked, int64_t output_used,
			     tlb_time now);

/* The earliest time at which a request of this many tokens in total can be granted if the refill is
 * the only change; TLB_NEVER when outstanding bookings or the burst prevent that. */
tlb_time tlb_bucket_ready_at(const struct tlb_bucket *b, int64_t tokens, tlb_time now);

/* True if a request needs more tokens than the burst and so can never be granted. */
bool tlb_bucket_exceeds_burst(const struct tlb_bucket *b, int64_t tokens);

/* Applies a changed account row: refills at the old rate, then limits the level to the new burst.
 * A higher burst does not raise the level. */
void tlb_bucket_reconfigure(struct tlb_bucket *b, int64_t rate, int64_t burst, tlb_time now);

/* Adds a level (micro-tokens) and outstanding bookings (tokens) that were removed from another
 * bucket of the same account. Level beyond the burst is discarded. */
void tlb_bucket_deposit(struct tlb_bucket *b, int64_t level, int64_t outstanding, tlb_time now);

struct tlb_bucket_snapshot tlb_bucket_snapshot(struct tlb_bucket *b, tlb_time now);
/* Initialises a bucket from a snapshot. now is the receiver's clock: the bucket is not refilled for
 * the time that the snapshot spent in transit. */
void tlb_bucket_restore(struct tlb_bucket *b, int64_t rate, int64_t burst,
			const struct tlb_bucket_snapshot *s, tlb_time now);

#endif
