#include "pool.h"

#include <limits.h>
#include <stdlib.h>
#include <string.h>

#include "board.h"

/* A claim expires after 500 ms unless it is repeated (TLB_BOOKING_CLAIM_TTL). */
#define CLAIM_RETRY (100 * TLB_MS)

struct pool_flow {
	APR_RING_ENTRY(pool_flow) link;
	char account[TLB_ID_LEN];
	struct tlb_flow flow;
};

APR_RING_HEAD(pool_flow_ring, pool_flow);

struct tlb_pool {
	APR_RING_ENTRY(tlb_pool) link;
	struct tlb_pools *pools;
	char id[TLB_ID_LEN];
	struct tlb_queue queue;
	struct pool_flow_ring flows;
	/* Per class: the smallest size, in KV blocks, that every endpoint has refused, valid until
	 * refused_until. */
	int refused_pieces[TLB_CLASS_COUNT];
	tlb_time refused_until;
};

static void on_timer(void *arg);

void tlb_pools_init(struct tlb_pools *p, struct tlb_board *b)
{
	p->board = b;
	APR_RING_INIT(&p->pools, tlb_pool, link);
	tlb_timer_init(&p->timer, on_timer, p);
}

void tlb_pools_finish(struct tlb_pools *p)
{
	struct tlb_pool *pool;
	struct pool_flow *f;

	while (!APR_RING_EMPTY(&p->pools, tlb_pool, link)) {
		pool = APR_RING_FIRST(&p->pools);
		while (!APR_RING_EMPTY(&pool->flows, pool_flow, link)) {
			f = APR_RING_FIRST(&pool->flows);
			APR_RING_REMOVE(f, link);
			free(f);
		}
		APR_RING_REMOVE(pool, link);
		free(pool);
	}
	tlb_timer_clear(p->board->loop, &p->timer);
}

static double account_weight(const struct tlb_pools *p, const char *account)
{
	const struct tlb_account *a = tlb_table_account(p->board->table, account);

	return a ? a->weight : 1.0;
}

void tlb_pools_sync(struct tlb_pools *p)
{
	struct tlb_pool *pool;
	struct pool_flow *f;

	APR_RING_FOREACH (pool, &p->pools, tlb_pool, link) {
		APR_RING_FOREACH (f, &pool->flows, pool_flow, link) {
			tlb_flow_set_weight(&f->flow, account_weight(p, f->account));
		}
	}
	tlb_pools_schedule(p);
}

static struct tlb_pool *find_or_add_pool(struct tlb_pools *p, const char *id)
{
	struct tlb_pool *pool;

	APR_RING_FOREACH (pool, &p->pools, tlb_pool, link) {
		if (strcmp(pool->id, id) == 0)
			return pool;
	}
	pool = calloc(1, sizeof(*pool));
	if (!pool)
		abort();
	pool->pools = p;
	snprintf(pool->id, sizeof(pool->id), "%s", id);
	tlb_queue_init(&pool->queue);
	APR_RING_INIT(&pool->flows, pool_flow, link);
	APR_RING_INSERT_TAIL(&p->pools, pool, tlb_pool, link);
	return pool;
}

static struct tlb_flow *find_or_add_flow(struct tlb_pool *pool, const char *account)
{
	struct pool_flow *f;

	APR_RING_FOREACH (f, &pool->flows, pool_flow, link) {
		if (strcmp(f->account, account) == 0)
			return &f->flow;
	}
	f = calloc(1, sizeof(*f));
	if (!f)
		abort();
	snprintf(f->account, sizeof(f->account), "%s", account);
	tlb_flow_init(&f->flow, account_weight(pool->pools, account));
	APR_RING_INSERT_TAIL(&pool->flows, f, pool_flow, link);
	return &f->flow;
}

static struct tlb_waiter *item_to_wait(struct tlb_queue_item *it)
{
	return (struct tlb_waiter *)it;
}

static bool has_free_blocks(const struct tlb_board *b, const struct tlb_target *t, int pieces)
{
	char vm[TLB_ID_LEN];

	if (!t->present || t->state != TLB_ENDPOINT_ACTIVE)
		return false;
	if (tlb_board_owner(b, t->id, vm) == TLB_OWNER_SELF)
		return t->bookings.granting &&
		       tlb_booking_table_free_blocks(&t->bookings) >= pieces;
	return tlb_load_may_fit(t, pieces, tlb_clock_now());
}

/* Whether a decode endpoint of the pool appears to have enough free capacity. */
static bool fits(void *arg, const struct tlb_queue_item *it)
{
	const struct tlb_pool *pool = arg;
	const struct tlb_board *b = pool->pools->board;
	const struct tlb_waiter *w = (const struct tlb_waiter *)it;
	const struct tlb_target *t;
	tlb_time now = tlb_clock_now();

	/* A claim or a preemption can be requested even if no capacity is free. */
	if ((now >= w->claim_at || now >= w->preempt_at) && now >= w->retry_at)
		return true;
	if (now < pool->refused_until && w->blocks >= pool->refused_pieces[it->class])
		return false;
	APR_RING_FOREACH (t, &b->load.targets, tlb_target, link) {
		if (t->role == TLB_ROLE_DECODE && strcmp(t->pool, pool->id) == 0 &&
		    has_free_blocks(b, t, w->blocks))
			return true;
	}
	return false;
}

static void start_waiting(struct tlb_pool *pool)
{
	tlb_time now = tlb_clock_now();
	struct tlb_queue_item *it;
	/* Requests whose start fails are put back, so the initial count limits this loop. */
	int attempts = tlb_queue_count(&pool->queue);

	while ((it = tlb_queue_expire(&pool->queue, now)))
		item_to_wait(it)->on_expire(item_to_wait(it));
	while (attempts-- > 0) {
		it = tlb_queue_pop(&pool->queue, fits, pool, now);
		if (!it)
			break;
		item_to_wait(it)->on_start(item_to_wait(it));
	}
}

static void on_timer(void *arg)
{
	struct tlb_pools *p = arg;
	struct tlb_pool *pool;

	APR_RING_FOREACH (pool, &p->pools, tlb_pool, link) {
		start_waiting(pool);
	}
	if (tlb_pools_waiting(p) > 0)
		tlb_timer_set(p->board->loop, &p->timer, tlb_clock_now() + TLB_POOL_RETRY_INTERVAL);
}

void tlb_pools_schedule(struct tlb_pools *p)
{
	if (tlb_pools_waiting(p) > 0)
		tlb_timer_set(p->board->loop, &p->timer, tlb_clock_now());
}

int tlb_pools_waiting(const struct tlb_pools *p)
{
	const struct tlb_pool *pool;
	int n = 0;

	APR_RING_FOREACH (pool, &p->pools, tlb_pool, link) {
		n += tlb_queue_count(&pool->queue);
	}
	return n;
}

void tlb_pool_push(struct tlb_pools *p, const char *id, const char *account, struct tlb_waiter *w)
{
	struct tlb_pool *pool = find_or_add_pool(p, id);

	w->pool = pool;
	w->retry_at = 0;
	tlb_queue_push(&pool->queue, find_or_add_flow(pool, account), &w->item, tlb_clock_now());
	tlb_pools_schedule(p);
}

/* Records the size of a refused request. Without this record, each retry would send the owners one
 * message per waiting request of a size that they have just refused. */
static void record_refusal(struct tlb_pool *pool, const struct tlb_waiter *w, tlb_time now)
{
	enum tlb_class class = w->item.class;
	int i;

	if (now >= pool->refused_until)
		for (i = 0; i < TLB_CLASS_COUNT; i++)
			pool->refused_pieces[i] = INT_MAX;
	if (w->blocks < pool->refused_pieces[class])
		pool->refused_pieces[class] = w->blocks;
	pool->refused_until = now + TLB_POOL_RETRY_INTERVAL;
}

static void requeue(struct tlb_pool *pool, const char *account, struct tlb_waiter *w)
{
	struct tlb_pools *p = pool->pools;

	tlb_queue_requeue(&pool->queue, find_or_add_flow(pool, account), &w->item);
	if (!p->timer.index)
		tlb_timer_set(p->board->loop, &p->timer, tlb_clock_now() + TLB_POOL_RETRY_INTERVAL);
}

void tlb_pool_requeue(struct tlb_pools *p, const char *id, const char *account,
		      struct tlb_waiter *w)
{
	struct tlb_pool *pool = find_or_add_pool(p, id);
	tlb_time now = tlb_clock_now();

	record_refusal(pool, w, now);
	w->retry_at = now + CLAIM_RETRY;
	requeue(pool, account, w);
}

void tlb_pool_requeue_soon(struct tlb_pools *p, const char *id, const char *account,
			   struct tlb_waiter *w)
{
	w->retry_at = tlb_clock_now() + TLB_POOL_RETRY_INTERVAL;
	requeue(find_or_add_pool(p, id), account, w);
}

void tlb_pool_remove(struct tlb_waiter *w)
{
	if (w->pool)
		tlb_queue_remove(&w->pool->queue, &w->item);
}
