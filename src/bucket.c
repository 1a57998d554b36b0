#include "bucket.h"

/* Highest level in micro-tokens: the burst less the outstanding bookings. */
static int64_t max_level(const struct tlb_bucket *b)
{
	return b->burst > b->outstanding ? (b->burst - b->outstanding) * TLB_BUCKET_SCALE : 0;
}

static void clamp_level(struct tlb_bucket *b)
{
	if (b->level > max_level(b))
		b->level = max_level(b);
	if (b->level < 0)
		b->level = 0;
}

static void refill(struct tlb_bucket *b, tlb_time now)
{
	int64_t headroom = max_level(b) - b->level;
	tlb_time elapsed = now - b->refilled_at;

	if (elapsed <= 0)
		return;
	b->refilled_at = now;
	if (headroom <= 0 || b->rate <= 0)
		return;
	/* Dividing avoids an overflow of rate * elapsed after a long idle time. */
	if (elapsed > headroom / b->rate)
		b->level += headroom;
	else
		b->level += b->rate * elapsed;
}

void tlb_bucket_init(struct tlb_bucket *b, int64_t rate, int64_t burst, int64_t level, tlb_time now)
{
	b->rate = rate;
	b->burst = burst;
	b->outstanding = 0;
	b->level = (level < burst ? level : burst) * TLB_BUCKET_SCALE;
	b->refilled_at = now;
	clamp_level(b);
}

bool tlb_bucket_reserve(struct tlb_bucket *b, int64_t prompt_tokens, int64_t output_tokens,
			tlb_time now)
{
	int64_t cost;

	if (prompt_tokens < 0 || output_tokens < 0)
		return false;
	if (tlb_bucket_exceeds_burst(b, prompt_tokens) ||
	    tlb_bucket_exceeds_burst(b, output_tokens))
		return false;
	cost = (prompt_tokens + output_tokens) * TLB_BUCKET_SCALE;
	refill(b, now);
	if (cost > b->level)
		return false;
	b->level -= cost;
	b->outstanding += output_tokens;
	return true;
}

int64_t tlb_bucket_reconcile(struct tlb_bucket *b, int64_t output_booked, int64_t output_used,
			     tlb_time now)
{
	int64_t booked = output_booked < b->outstanding ? output_booked : b->outstanding;
	int64_t returned = booked - (output_used > 0 ? output_used : 0);

	if (booked <= 0)
		return 0;
	if (returned < 0)
		returned = 0;
	refill(b, now);
	b->outstanding -= booked;
	b->level += returned * TLB_BUCKET_SCALE;
	clamp_level(b);
	return returned;
}

bool tlb_bucket_exceeds_burst(const struct tlb_bucket *b, int64_t tokens)
{
	return tokens > b->burst;
}

tlb_time tlb_bucket_ready_at(const struct tlb_bucket *b, int64_t tokens, tlb_time now)
{
	struct tlb_bucket copy = *b;
	int64_t missing;

	if (tlb_bucket_exceeds_burst(b, tokens))
		return TLB_NEVER;
	refill(&copy, now);
	missing = tokens * TLB_BUCKET_SCALE - copy.level;
	if (missing <= 0)
		return now;
	if (copy.rate <= 0 || tokens * TLB_BUCKET_SCALE > max_level(&copy))
		return TLB_NEVER;
	return now + (missing + copy.rate - 1) / copy.rate;
}

void tlb_bucket_reconfigure(struct tlb_bucket *b, int64_t rate, int64_t burst, tlb_time now)
{
	refill(b, now);
	b->rate = rate;
	b->burst = burst;
	clamp_level(b);
}

void tlb_bucket_deposit(struct tlb_bucket *b, int64_t level, int64_t outstanding, tlb_time now)
{
	refill(b, now);
	b->level += level;
	b->outstanding += outstanding;
	clamp_level(b);
}

struct tlb_bucket_snapshot tlb_bucket_snapshot(struct tlb_bucket *b, tlb_time now)
{
	refill(b, now);
	return (struct tlb_bucket_snapshot){.level = b->level, .outstanding = b->outstanding};
}

void tlb_bucket_restore(struct tlb_bucket *b, int64_t rate, int64_t burst,
			const struct tlb_bucket_snapshot *s, tlb_time now)
{
	tlb_bucket_init(b, rate, burst, 0, now);
	b->level = s->level;
	b->outstanding = s->outstanding > 0 ? s->outstanding : 0;
	clamp_level(b);
}
