#include "booking_table.h"

#include <apr_strings.h>
#include <string.h>

void tlb_booking_table_init(struct tlb_booking_table *b, struct tlb_orphan *strays,
			    int total_blocks, int batch_reserve, tlb_time grace)
{
	memset(b, 0, sizeof(*b));
	b->orphans = strays;
	APR_RING_INIT(&b->bookings, tlb_booking, link);
	b->orphan_grace = grace;
	tlb_booking_table_resize(b, total_blocks, batch_reserve);
}

void tlb_booking_table_resize(struct tlb_booking_table *b, int total_blocks, int batch_reserve)
{
	b->total_blocks = total_blocks;
	b->batch_reserve = batch_reserve;
}

/* Blocks that are neither booked nor orphaned; a claim is not deducted. */
static int unbooked_blocks(const struct tlb_booking_table *b)
{
	int free_blocks = b->total_blocks - b->booked_blocks;
	int i;

	if (b->max_requests && b->booking_count + b->orphan_count >= b->max_requests)
		return 0;
	for (i = 0; i < b->orphan_count; i++)
		free_blocks -= b->orphans[i].blocks;
	return free_blocks > 0 ? free_blocks : 0;
}

int tlb_booking_table_free_blocks(const struct tlb_booking_table *b)
{
	int free_blocks = unbooked_blocks(b) - b->claim_blocks;

	return free_blocks > 0 ? free_blocks : 0;
}

/* Blocks that this request may book; its own claim is not deducted. */
static int free_blocks_for(const struct tlb_booking_table *b, const char *request_id)
{
	return strcmp(b->claim_id, request_id) ? tlb_booking_table_free_blocks(b)
					       : unbooked_blocks(b);
}

static void drop_claim(struct tlb_booking_table *b)
{
	b->claim_id[0] = '\0';
	b->claim_blocks = 0;
}

bool tlb_booking_table_claim(struct tlb_booking_table *b, const char *request_id, int blocks,
			     tlb_time expires)
{
	if (b->claim_blocks && strcmp(b->claim_id, request_id) != 0)
		return false;
	apr_cpystrn(b->claim_id, request_id, sizeof(b->claim_id));
	b->claim_blocks = blocks;
	b->claim_expires = expires;
	return true;
}

/* How long the blocks of a booking count as about to be freed after its preemption is requested. */
#define PREEMPT_PENDING_TIME (1 * TLB_SECOND)

void tlb_booking_table_set_credit(struct tlb_booking_table *b, int64_t credit)
{
	int64_t limit = (int64_t)b->preempt_cost * TLB_SAVED_PREEMPTIONS_MAX;

	if (credit > limit)
		credit = limit;
	b->preempt_credit = credit > 0 ? (int)credit : 0;
}

static void add_preempt_credit(struct tlb_booking_table *b)
{
	tlb_booking_table_set_credit(b, (int64_t)b->preempt_credit + 1);
}

static bool preemptible(const struct tlb_booking *k, tlb_time now)
{
	return k->class == TLB_BATCH && k->preemptible_from <= now && k->preemptible_until > now &&
	       k->preempting_until <= now;
}

/* Whether k is a better victim than other: the one asked less recently, because a stream that has
 * not given way when asked may not be able to; then the one with fewer tokens to prefill again. */
static bool better_victim(const struct tlb_booking *k, const struct tlb_booking *other)
{
	if (k->preempting_until != other->preempting_until)
		return k->preempting_until < other->preempting_until;
	return k->resume_tokens < other->resume_tokens;
}

static struct tlb_booking *best_victim(const struct tlb_booking_table *b, tlb_time now)
{
	struct tlb_booking *best = NULL;
	struct tlb_booking *k;

	APR_RING_FOREACH (k, &b->bookings, tlb_booking, link) {
		if (preemptible(k, now) && (!best || better_victim(k, best)))
			best = k;
	}
	return best;
}

/* Whether the request fits once all pending preemptions have freed their blocks. */
static bool fits_after_preemption(const struct tlb_booking_table *b, int blocks, tlb_time now)
{
	const struct tlb_booking *k;
	int free_blocks = b->total_blocks - b->booked_blocks;
	int count = b->booking_count + b->orphan_count;
	int i;

	for (i = 0; i < b->orphan_count; i++)
		free_blocks -= b->orphans[i].blocks;
	APR_RING_FOREACH (k, &b->bookings, tlb_booking, link) {
		if (k->preempting_until <= now)
			continue;
		free_blocks += k->blocks;
		count--;
	}
	return blocks <= free_blocks && (!b->max_requests || count < b->max_requests);
}

static void unmark_victims(struct tlb_booking **victims, int count)
{
	while (count > 0)
		victims[--count]->preempting_until = 0;
}

int tlb_booking_table_preempt(struct tlb_booking_table *b, const char *request_id, int blocks,
			      tlb_time now, tlb_time expires, struct tlb_booking **victims, int max,
			      bool *claimed)
{
	int count = 0;

	*claimed = false;
	if (!b->preempt_cost || (b->claim_blocks && strcmp(b->claim_id, request_id) != 0))
		return 0;
	while (!fits_after_preemption(b, blocks, now)) {
		struct tlb_booking *k = count < max ? best_victim(b, now) : NULL;

		if (!k || (count + 1) * b->preempt_cost > b->preempt_credit) {
			unmark_victims(victims, count);
			return 0;
		}
		k->preempting_until = now + PREEMPT_PENDING_TIME;
		victims[count++] = k;
	}
	b->preempt_credit -= count * b->preempt_cost;
	*claimed = tlb_booking_table_claim(b, request_id, blocks, expires);
	return count;
}

struct tlb_booking *tlb_booking_table_find(const struct tlb_booking_table *b,
					   const char *request_id)
{
	struct tlb_booking *k;

	APR_RING_FOREACH (k, &b->bookings, tlb_booking, link) {
		if (!strcmp(k->request_id, request_id))
			return k;
	}
	return NULL;
}

static struct tlb_booking *find_owned(const struct tlb_booking_table *b, const char *request_id,
				      const char *owner)
{
	struct tlb_booking *k = tlb_booking_table_find(b, request_id);

	return k && !strcmp(k->owner, owner) ? k : NULL;
}

static struct tlb_orphan *find_orphan(struct tlb_booking_table *b, const char *request_id)
{
	int i;

	for (i = 0; i < b->orphan_count; i++) {
		if (!strcmp(b->orphans[i].request_id, request_id))
			return &b->orphans[i];
	}
	return NULL;
}

static void remove_orphan(struct tlb_booking_table *b, struct tlb_orphan *s)
{
	*s = b->orphans[--b->orphan_count];
}

/* Returns NULL when the array is full; the engine's next held list contains the entry again. */
static struct tlb_orphan *add_orphan(struct tlb_booking_table *b, const char *request_id,
				     int blocks, tlb_time now)
{
	struct tlb_orphan *s;

	if (!b->orphans || b->orphan_count == TLB_BOOKING_MAX_ORPHANS)
		return NULL;
	s = &b->orphans[b->orphan_count++];
	memset(s, 0, sizeof(*s));
	apr_cpystrn(s->request_id, request_id, sizeof(s->request_id));
	s->blocks = blocks;
	s->first_seen = now;
	return s;
}

static void insert_booking(struct tlb_booking_table *b, struct tlb_booking *k)
{
	struct tlb_orphan *s = find_orphan(b, k->request_id);

	if (s)
		remove_orphan(b, s);
	if (!strcmp(b->claim_id, k->request_id))
		drop_claim(b);
	APR_RING_INSERT_TAIL(&b->bookings, k, tlb_booking, link);
	b->booked_blocks += k->blocks;
	b->booking_count++;
}

static void remove_booking(struct tlb_booking_table *b, struct tlb_booking *k)
{
	APR_RING_REMOVE(k, link);
	b->booked_blocks -= k->blocks;
	b->booking_count--;
}

enum tlb_booking_result tlb_booking_table_add(struct tlb_booking_table *b, struct tlb_booking *k)
{
	const struct tlb_booking *existing = tlb_booking_table_find(b, k->request_id);
	int free_blocks = free_blocks_for(b, k->request_id);

	if (!b->granting)
		return TLB_BOOKING_NOT_GRANTING;
	if (existing) {
		return tlb_booking_table_renew(b, k->request_id, k->owner, k->expires)
			       ? TLB_BOOKING_OK
			       : TLB_BOOKING_DUPLICATE;
	}
	if (k->blocks <= 0 || k->blocks > b->total_blocks)
		return TLB_BOOKING_TOO_BIG;
	if (k->blocks > free_blocks)
		return TLB_BOOKING_FULL;
	if (k->class == TLB_BATCH && k->blocks + b->batch_reserve > free_blocks)
		return TLB_BOOKING_RESERVED;
	insert_booking(b, k);
	add_preempt_credit(b);
	return TLB_BOOKING_OK;
}

bool tlb_booking_table_adopt(struct tlb_booking_table *b, struct tlb_booking *k)
{
	if (tlb_booking_table_find(b, k->request_id)) {
		tlb_booking_table_renew(b, k->request_id, k->owner, k->expires);
		return false;
	}
	insert_booking(b, k);
	return true;
}

bool tlb_booking_table_renew(struct tlb_booking_table *b, const char *request_id, const char *owner,
			     tlb_time expires)
{
	struct tlb_booking *k = find_owned(b, request_id, owner);

	if (!k)
		return false;
	/* A delayed renewal must not shorten the booking. */
	if (expires > k->expires)
		k->expires = expires;
	return true;
}

struct tlb_booking *tlb_booking_table_release(struct tlb_booking_table *b, const char *request_id,
					      const char *owner)
{
	struct tlb_booking *k = find_owned(b, request_id, owner);

	if (k)
		remove_booking(b, k);
	return k;
}

struct tlb_booking *tlb_booking_table_pop_expired(struct tlb_booking_table *b, tlb_time now)
{
	struct tlb_booking *k;

	if (b->claim_blocks && b->claim_expires <= now)
		drop_claim(b);
	APR_RING_FOREACH (k, &b->bookings, tlb_booking, link) {
		if (k->expires > now)
			continue;
		remove_booking(b, k);
		add_orphan(b, k->request_id, k->blocks, now);
		return k;
	}
	return NULL;
}

void tlb_booking_table_cancel_confirmed(struct tlb_booking_table *b, const char *request_id)
{
	struct tlb_orphan *s = find_orphan(b, request_id);

	if (s)
		remove_orphan(b, s);
}

struct tlb_booking *tlb_booking_table_pop(struct tlb_booking_table *b)
{
	struct tlb_booking *k;

	if (APR_RING_EMPTY(&b->bookings, tlb_booking, link))
		return NULL;
	k = APR_RING_FIRST(&b->bookings);
	remove_booking(b, k);
	return k;
}

/* Records a held request that has no booking; returns whether it is to be cancelled. */
static bool record_orphan(struct tlb_booking_table *b, const struct tlb_held_request *h,
			  tlb_time now)
{
	struct tlb_orphan *s = find_orphan(b, h->request_id);

	if (!s)
		s = add_orphan(b, h->request_id, h->blocks, now);
	if (!s)
		return false;
	s->listed = true;
	s->blocks = h->blocks;
	return now - s->first_seen > b->orphan_grace;
}

static void remove_unlisted_orphans(struct tlb_booking_table *b)
{
	int i;

	for (i = b->orphan_count - 1; i >= 0; i--) {
		if (!b->orphans[i].listed)
			remove_orphan(b, &b->orphans[i]);
	}
}

int tlb_booking_table_reconcile(struct tlb_booking_table *b, struct tlb_held_request *held,
				int count, tlb_time now)
{
	int cancels = 0;
	int i;

	for (i = 0; i < b->orphan_count; i++)
		b->orphans[i].listed = false;
	for (i = 0; i < count; i++) {
		held[i].cancel = false;
		if (tlb_booking_table_find(b, held[i].request_id))
			continue;
		held[i].cancel = record_orphan(b, &held[i], now);
		cancels += held[i].cancel;
	}
	remove_unlisted_orphans(b);
	b->granting = true;
	return cancels;
}

tlb_time tlb_booking_table_next_expiry(const struct tlb_booking_table *b)
{
	struct tlb_booking *k;
	tlb_time first = TLB_NEVER;

	APR_RING_FOREACH (k, &b->bookings, tlb_booking, link) {
		if (k->expires < first)
			first = k->expires;
	}
	return first;
}

const char *tlb_booking_result_name(enum tlb_booking_result result)
{
	switch (result) {
	case TLB_BOOKING_OK:
		return "ok";
	case TLB_BOOKING_FULL:
		return "full";
	case TLB_BOOKING_RESERVED:
		return "reserved";
	case TLB_BOOKING_NOT_GRANTING:
		return "not_granting";
	case TLB_BOOKING_DUPLICATE:
		return "duplicate";
	case TLB_BOOKING_PREEMPTING:
		return "yielding";
	case TLB_BOOKING_TOO_BIG:
		return "too_big";
	}
	return "unknown";
}
