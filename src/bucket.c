#include "bucket.h"

/* Micro-tokens that the level may hold: outstanding bookings take up part of the burst. */
static int64_t ceiling(const struct tlb_bucket *b)
{
	return b->burst > b->outstanding ? (b->burst - b->outstanding) * TLB_BUCKET_SCALE : 0;
}

static void clamp_level(struct tlb_bucket *b)
{
	if (b->level > ceiling(b))
		b->level = ceiling(b);
	if (b->level < 0)
		b->level = 0;
}

static void refill(struct tlb_bucket *b, tlb_time now)
{
	int64_t room = ceiling(b) - b->level;
	tlb_time elapsed = now - b->refilled_at;

	if (elapsed <= 0)
		return;
	b->refilled_at = now;
	if (room <= 0 || b->rate <= 0)
		return;
	/* The division guards rate * elapsed against overflow after a long idle time. */
	if (elapsed > room / b->rate)
		b->level += room;
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

bool tlb_bucket_take(struct tlb_bucket *b, int64_t prompt_tokens, int64_t output_tokens,
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

int64_t tlb_bucket_settle(struct tlb_bucket *b, int64_t output_booked, int64_t output_used,
			  tlb_time now)
{
	int64_t booked = output_booked < b->outstanding ? output_booked : b->outstanding;
	int64_t back = booked - (output_used > 0 ? output_used : 0);

	if (booked <= 0)
		return 0;
	if (back < 0)
		back = 0;
	refill(b, now);
	b->outstanding -= booked;
	b->level += back * TLB_BUCKET_SCALE;
	clamp_level(b);
	return back;
}

bool tlb_bucket_exceeds_burst(const struct tlb_bucket *b, int64_t tokens)
{
	return tokens > b->burst;
}

tlb_time tlb_bucket_ready_at(const struct tlb_bucket *b, int64_t tokens, tlb_time now)
{
	struct tlb_bucket at = *b;
	int64_t missing;

	if (tlb_bucket_exceeds_burst(b, tokens))
		return TLB_NEVER;
	refill(&at, now);
	missing = tokens * TLB_BUCKET_SCALE - at.level;
	if (missing <= 0)
		return now;
	if (at.rate <= 0 || tokens * TLB_BUCKET_SCALE > ceiling(&at))
		return TLB_NEVER;
	return now + (missing + at.rate - 1) / at.rate;
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
