/*
 * The requests of one pool that wait at this daemon for a place at an engine, in the order of the
 * fair queue. A request that can start is handed to its starter; one whose wait has ended is
 * handed back as expired.
 */
#ifndef TLB_POOL_H
#define TLB_POOL_H

#include <apr_ring.h>

#include "loop.h"
#include "queue.h"
#include "table.h"

struct tlb_board;
struct tlb_pool;

/* While requests wait, a start is tried at least this often: places that other VMs release are not
 * announced. */
#define TLB_POOL_RETRY (20 * TLB_MS)

/* What happens to a waiting request; embedded in the request struct. */
struct tlb_wait {
	struct tlb_item item;  /* first member: items are converted back to waits */
	struct tlb_pool *pool; /* set by push */
	int pieces;	       /* decode memory needed */
	tlb_time claim_at;     /* may claim pieces that come free from then on */
	tlb_time preempt_at;   /* may ask batch work to give way from then on */
	tlb_time retry_at;     /* of a claim or preemption; 0 at first */
	void (*on_start)(struct tlb_wait *w);
	void (*on_expire)(struct tlb_wait *w);
};

APR_RING_HEAD(tlb_pool_ring, tlb_pool);

/* Owned by the board; owns its pools and their flows, which live as long as the daemon. */
struct tlb_pools {
	struct tlb_board *board;
	struct tlb_pool_ring pools;
	struct tlb_timer timer;
};

void tlb_pools_init(struct tlb_pools *p, struct tlb_board *b);
void tlb_pools_finish(struct tlb_pools *p);
/* Applies changed weights. */
void tlb_pools_sync(struct tlb_pools *p);

/* Queues a request; claim_at, item.class, tokens, latest_start, expires, pieces and the callbacks
 * are set. */
void tlb_pool_push(struct tlb_pools *p, const char *pool, const char *account, struct tlb_wait *w);
/* Puts a started request back at the head of its account: every endpoint refused it. Requests of
 * its class that are as large wait for the next retry, too. */
void tlb_pool_unpop(struct tlb_pools *p, const char *pool, const char *account, struct tlb_wait *w);
/* The same for a request to which batch work gives way: only it waits, and is tried again soon. */
void tlb_pool_unpop_soon(struct tlb_pools *p, const char *pool, const char *account,
			 struct tlb_wait *w);
/* Takes a request out; harmless when it does not wait. */
void tlb_pool_remove(struct tlb_wait *w);
/* Tries to start requests soon, for example after a booking was released. */
void tlb_pools_kick(struct tlb_pools *p);
/* Requests that wait in all pools. */
int tlb_pools_waiting(const struct tlb_pools *p);

#endif
