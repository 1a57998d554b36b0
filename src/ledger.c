#include "ledger.h"

#include <stdlib.h>
#include <string.h>

void tlb_ledger_init(struct tlb_ledger *l, int64_t rate, int64_t burst, int64_t level, tlb_time now)
{
	tlb_bucket_init(&l->bucket, rate, burst, level, now);
	APR_RING_INIT(&l->grants, tlb_ledger_grant, link);
	l->count = 0;
}

static void remove_grant(struct tlb_ledger *l, struct tlb_ledger_grant *g)
{
	APR_RING_REMOVE(g, link);
	l->count--;
	free(g);
}

void tlb_ledger_finish(struct tlb_ledger *l)
{
	while (!APR_RING_EMPTY(&l->grants, tlb_ledger_grant, link))
		remove_grant(l, APR_RING_FIRST(&l->grants));
}

static struct tlb_ledger_grant *find_grant(struct tlb_ledger *l, const char *id)
{
	struct tlb_ledger_grant *g;

	APR_RING_FOREACH (g, &l->grants, tlb_ledger_grant, link) {
		if (strcmp(g->entry.id, id) == 0)
			return g;
	}
	return NULL;
}

static void append_grant(struct tlb_ledger *l, struct tlb_ledger_grant *g,
			 const struct tlb_ledger_entry *e)
{
	g->entry = *e;
	APR_RING_INSERT_TAIL(&l->grants, g, tlb_ledger_grant, link);
	l->count++;
}

bool tlb_ledger_reserve(struct tlb_ledger *l, const struct tlb_ledger_entry *request, tlb_time now)
{
	struct tlb_ledger_grant *g = find_grant(l, request->id);

	if (g)
		return true;
	g = malloc(sizeof(*g));
	if (!g)
		return false;
	if (!tlb_bucket_reserve(&l->bucket, 0, request->tokens, now)) {
		free(g);
		return false;
	}
	append_grant(l, g, request);
	return true;
}

bool tlb_ledger_reconcile(struct tlb_ledger *l, const char *id, int64_t booked, int64_t used,
			  tlb_time now)
{
	struct tlb_ledger_grant *g = find_grant(l, id);

	if (!g)
		return false;
	if (booked <= 0)
		return true;
	if (booked < g->entry.tokens) {
		/* Tokens are returned only when the grant ends: a duplicated partial reconciliation
		 * would return them twice. */
		tlb_bucket_reconcile(&l->bucket, booked, booked, now);
		g->entry.tokens -= booked;
		return true;
	}
	tlb_bucket_reconcile(&l->bucket, g->entry.tokens, used, now);
	remove_grant(l, g);
	return true;
}

void tlb_ledger_on_fence(struct tlb_ledger *l, const char *vm, uint64_t incarnation, tlb_time now)
{
	struct tlb_ledger_grant *g;
	struct tlb_ledger_grant *next;

	APR_RING_FOREACH_SAFE (g, next, &l->grants, tlb_ledger_grant, link) {
		if (strcmp(g->entry.vm, vm) != 0 || g->entry.incarnation != incarnation)
			continue;
		tlb_bucket_reconcile(&l->bucket, g->entry.tokens, g->entry.tokens, now);
		remove_grant(l, g);
	}
}

/* Counts the newest grants as used until the remaining bookings fit into the burst. */
static void trim_to_burst(struct tlb_ledger *l, tlb_time now)
{
	struct tlb_ledger_grant *g;
	int64_t excess;

	while (l->bucket.outstanding > l->bucket.burst &&
	       !APR_RING_EMPTY(&l->grants, tlb_ledger_grant, link)) {
		g = APR_RING_LAST(&l->grants);
		excess = l->bucket.outstanding - l->bucket.burst;
		if (excess > g->entry.tokens)
			excess = g->entry.tokens;
		tlb_bucket_reconcile(&l->bucket, excess, excess, now);
		g->entry.tokens -= excess;
		if (g->entry.tokens == 0)
			remove_grant(l, g);
	}
}

void tlb_ledger_reconfigure(struct tlb_ledger *l, int64_t rate, int64_t burst, tlb_time now)
{
	tlb_bucket_reconfigure(&l->bucket, rate, burst, now);
	trim_to_burst(l, now);
}

int64_t tlb_ledger_withdraw(struct tlb_ledger *l, int64_t micro, tlb_time now)
{
	int64_t level = tlb_bucket_snapshot(&l->bucket, now).level;

	if (micro < 0)
		micro = 0;
	if (micro > level)
		micro = level;
	l->bucket.level -= micro;
	return micro;
}

void tlb_ledger_deposit(struct tlb_ledger *l, int64_t micro, tlb_time now)
{
	if (micro > 0)
		tlb_bucket_deposit(&l->bucket, micro, 0, now);
}

void tlb_ledger_import_grant(struct tlb_ledger *l, const struct tlb_ledger_entry *e, tlb_time now)
{
	struct tlb_ledger_grant *g;

	if (e->tokens <= 0 || find_grant(l, e->id))
		return;
	g = malloc(sizeof(*g));
	if (!g)
		return;
	append_grant(l, g, e);
	tlb_bucket_deposit(&l->bucket, 0, e->tokens, now);
	trim_to_burst(l, now);
}

void tlb_ledger_merge(struct tlb_ledger *l, struct tlb_ledger *from, tlb_time now)
{
	int64_t level = tlb_bucket_snapshot(&from->bucket, now).level;
	struct tlb_ledger_grant *g;

	APR_RING_FOREACH (g, &from->grants, tlb_ledger_grant, link) {
		tlb_ledger_import_grant(l, &g->entry, now);
	}
	tlb_ledger_deposit(l, level, now);
	tlb_ledger_finish(from);
	from->bucket.level = 0;
	from->bucket.outstanding = 0;
}
