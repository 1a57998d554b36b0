#include "quota.h"

#include <stdlib.h>
#include <string.h>

/* Fraction of the burst with which a VM starts: others may just have granted the rest. */
#define INITIAL_LEVEL 0.25

void tlb_quotas_init(struct tlb_quotas *q)
{
	APR_RING_INIT(&q->all, tlb_quota, link);
	if (apr_pool_create(&q->pool, NULL) != APR_SUCCESS)
		abort();
	q->by_account = apr_hash_make(q->pool);
	q->share = 1;
}

void tlb_quotas_finish(struct tlb_quotas *q)
{
	struct tlb_quota *a;

	while (!APR_RING_EMPTY(&q->all, tlb_quota, link)) {
		a = APR_RING_FIRST(&q->all);
		APR_RING_REMOVE(a, link);
		free(a);
	}
	apr_pool_destroy(q->pool);
}

/* Highest level: the burst times the share. */
static double max_level_of(const struct tlb_quotas *q, const struct tlb_quota *a)
{
	return (double)a->burst * q->share;
}

/* Refill per second: the rate times the share. */
static double refill_rate_of(const struct tlb_quotas *q, const struct tlb_quota *a)
{
	return (double)a->rate * q->share;
}

static void clamp_level(const struct tlb_quotas *q, struct tlb_quota *a)
{
	double max_level = max_level_of(q, a);

	if (a->level > max_level)
		a->level = max_level;
	if (a->fleet_level > (double)a->burst)
		a->fleet_level = (double)a->burst;
}

static double refilled_fleet_level(const struct tlb_quota *a, tlb_time now)
{
	double level = a->fleet_level;

	if (now > a->refilled_at)
		level += (double)a->rate * (double)(now - a->refilled_at) / TLB_SECOND;
	return level < (double)a->burst ? level : (double)a->burst;
}

static void refill(const struct tlb_quotas *q, struct tlb_quota *a, tlb_time now)
{
	a->fleet_level = refilled_fleet_level(a, now);
	if (now > a->refilled_at)
		a->level += refill_rate_of(q, a) * (double)(now - a->refilled_at) / TLB_SECOND;
	a->refilled_at = now;
	clamp_level(q, a);
}

/* Adds to what is left, or subtracts when negative. */
static void add_level(const struct tlb_quotas *q, struct tlb_quota *a, double amount)
{
	a->level += amount;
	a->fleet_level += amount;
	clamp_level(q, a);
}

struct tlb_quota *tlb_quotas_find(const struct tlb_quotas *q, const char *account)
{
	return apr_hash_get(q->by_account, account, APR_HASH_KEY_STRING);
}

static void configure(struct tlb_quotas *q, const struct tlb_client_account *row, tlb_time now)
{
	struct tlb_quota *a = tlb_quotas_find(q, row->name);
	bool was_limited = a && a->rate > 0;

	if (!a) {
		a = calloc(1, sizeof(*a));
		if (!a)
			return;
		strcpy(a->account, row->name);
		APR_RING_INSERT_TAIL(&q->all, a, tlb_quota, link);
		apr_hash_set(q->by_account, a->account, APR_HASH_KEY_STRING, a);
	}
	refill(q, a, now);
	a->rate = row->rate;
	a->burst = row->burst > 0 ? row->burst : row->rate;
	if (!was_limited) {
		a->level = (double)a->burst * INITIAL_LEVEL;
		a->fleet_level = a->level;
		a->level_source = 0;
	}
	clamp_level(q, a);
}

void tlb_quotas_configure(struct tlb_quotas *q, const struct tlb_routing *r, tlb_time now)
{
	const struct tlb_client_account *row;

	APR_RING_FOREACH (row, &r->accounts, tlb_client_account, link) {
		configure(q, row, now);
	}
}

void tlb_quotas_set_share(struct tlb_quotas *q, double share, tlb_time now)
{
	struct tlb_quota *a;

	APR_RING_FOREACH (a, &q->all, tlb_quota, link) {
		refill(q, a, now);
	}
	q->share = share;
	APR_RING_FOREACH (a, &q->all, tlb_quota, link) {
		clamp_level(q, a);
	}
}

bool tlb_quota_take(struct tlb_quotas *q, struct tlb_quota *a, int64_t cost, tlb_time now,
		    tlb_time *ready_at)
{
	double needed = (double)cost;
	double max_level = max_level_of(q, a);

	if (a->rate == 0)
		return true;
	refill(q, a, now);
	if (needed > max_level)
		needed = max_level;
	if (a->level >= needed) {
		add_level(q, a, -(double)cost);
		return true;
	}
	*ready_at = now + (tlb_time)((needed - a->level) * TLB_SECOND / refill_rate_of(q, a));
	return false;
}

bool tlb_quota_grant(struct tlb_quotas *q, struct tlb_quota *a, int64_t cost, tlb_time now,
		     tlb_time *ready_at)
{
	if (!tlb_quota_take(q, a, cost, now, ready_at))
		return false;
	a->granted += cost;
	return true;
}

bool tlb_quota_take_alone(struct tlb_quota *a, int64_t cost, double fraction, tlb_time now,
			  tlb_time *ready_at)
{
	double max_level = (double)a->burst * fraction;
	double refill_rate = (double)a->rate * fraction;
	double needed = (double)cost < max_level ? (double)cost : max_level;
	double left = refilled_fleet_level(a, now) * fraction;

	if (a->rate == 0)
		return true;
	a->alone_level += refill_rate * (double)(now - a->alone_refilled_at) / TLB_SECOND;
	a->alone_refilled_at = now;
	if (a->alone_level > left)
		a->alone_level = left;
	if (a->alone_level >= needed) {
		a->alone_level -= (double)cost;
		return true;
	}
	*ready_at = now + (tlb_time)((needed - a->alone_level) * TLB_SECOND / refill_rate);
	return false;
}

void tlb_quota_refund(struct tlb_quotas *q, struct tlb_quota *a, int64_t cost, tlb_time now)
{
	refill(q, a, now);
	a->granted -= cost;
	add_level(q, a, (double)cost);
}

void tlb_quota_add_remote(struct tlb_quotas *q, struct tlb_quota *a, int64_t cost, tlb_time now)
{
	refill(q, a, now);
	add_level(q, a, -(double)cost);
}

void tlb_quota_set_level(struct tlb_quotas *q, struct tlb_quota *a, int64_t level, uint64_t source,
			 tlb_time now)
{
	refill(q, a, now);
	a->level = (double)level;
	a->fleet_level = (double)level;
	a->level_source = source;
	clamp_level(q, a);
}

void tlb_quota_limit_level(struct tlb_quotas *q, struct tlb_quota *a, int64_t level, tlb_time now)
{
	refill(q, a, now);
	if (a->fleet_level > (double)level)
		a->fleet_level = (double)level;
	if (a->level > a->fleet_level)
		a->level = a->fleet_level;
}

int64_t tlb_quota_fleet_level(const struct tlb_quota *a, tlb_time now)
{
	return (int64_t)refilled_fleet_level(a, now);
}
