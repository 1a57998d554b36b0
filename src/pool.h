/*
 * Queues the requests of each pool that wait at this daemon for a decode reservation, in the order
 * of weighted fair queueing (queue.h). Calls on_start for a request that can start and on_expire
 * for one whose wait has ended.
 */
#ifndef TLB_POOL_H
#define TLB_POOL_H

#include <apr_ring.h>

#include "loop.h"
#include "queue.h"
#include "table.h"

struct tlb_board;
struct tlb_pool;

/* While requests wait, starts are attempted at least this often: other VMs do not announce the
 * capacity that they release. */
#define TLB_POOL_RETRY_INTERVAL (20 * TLB_MS)

/* A waiting request and its callbacks; embedded in the request struct. */
struct tlb_waiter {
	struct tlb_queue_item item; /* must be the first member: items are cast to tlb_waiter */
	struct tlb_pool *pool;	    /* set by push */
	int blocks;		    /* KV blocks needed at the decode endpoint */
	tlb_time claim_at;	    /* from then on it may claim KV blocks that become free */
	tlb_time preempt_at;	    /* from then on it may preempt batch requests */
	tlb_time retry_at;	    /* next claim or preemption; 0 before the first one */
	void (*on_start)(struct tlb_waiter *w);
	void (*on_expire)(struct tlb_waiter *w);
};

APR_RING_HEAD(tlb_pool_ring, tlb_pool);

/* All pools of this daemon. Owned by the board; owns its pools and their flows, which exist until
 * tlb_pools_finish(). */
struct tlb_pools {
	struct tlb_board *board;
	struct tlb_pool_ring pools;
	struct tlb_timer timer;
};

void tlb_pools_init(struct tlb_pools *p, struct tlb_board *b);
void tlb_pools_finish(struct tlb_pools *p);
/* Applies changed account weights. */
void tlb_pools_sync(struct tlb_pools *p);

/* Queues a request. The caller has set claim_at, preempt_at, pieces, the callbacks, and class,
 * tokens, latest_start and expires of the item. */
void tlb_pool_push(struct tlb_pools *p, const char *pool, const char *account,
		   struct tlb_waiter *w);
/* Puts a started request back at the head of its account's queue after every endpoint has refused
 * it. Requests of its class that need as many KV blocks or more wait for the next retry as well. */
void tlb_pool_requeue(struct tlb_pools *p, const char *pool, const char *account,
		      struct tlb_waiter *w);
/* The same for a request for which batch requests are being preempted: only this request waits, for
 * TLB_POOL_RETRY_INTERVAL. */
void tlb_pool_requeue_soon(struct tlb_pools *p, const char *pool, const char *account,
			   struct tlb_waiter *w);
/* Removes a request. No effect if it is not waiting. */
void tlb_pool_remove(struct tlb_waiter *w);
/* Schedules an immediate attempt to start requests, for example after a booking was released. */
void tlb_pools_schedule(struct tlb_pools *p);
/* Returns the number of requests that wait in all pools. */
int tlb_pools_waiting(const struct tlb_pools *p);

#endif
