/*
 * Model requests: a queue before the prefill, the prefill, the hand-over of the KV cache, and the
 * stream to the caller, which goes on at another endpoint when the first one breaks off and the
 * route allows it.
 *
 * Under overload the queue decides who is served. A request that can still have its first event in
 * time goes before those that can't; those are served with what is left, and rejected as soon as
 * their wait is expected to outlast their deadline. Reason: first in, first out would make every
 * request of a peak late by a little.
 */
#ifndef TLB_GENERATION_H
#define TLB_GENERATION_H

#include <apr_ring.h>

#include "loop.h"
#include "queue.h"
#include "routing.h"
#include "window.h"

struct tlb_edge_board;
struct tlb_forward;

/* One account's place in the queue of one service. */
struct tlb_generation_flow {
	APR_RING_ENTRY(tlb_generation_flow) link;
	char account[TLB_NAME_LEN];
	struct tlb_flow flow;
};

APR_RING_HEAD(tlb_generation_flow_ring, tlb_generation_flow);

/* What waits for one service. Owned by struct tlb_generations. */
struct tlb_generation_pool {
	APR_RING_ENTRY(tlb_generation_pool) link;
	struct tlb_edge_board *board;
	char service[TLB_NAME_LEN];
	struct tlb_queue queue;
	struct tlb_generation_flow_ring flows;
	struct tlb_window window;
	tlb_time full_until;	 /* no decode endpoint had room a moment ago */
	struct tlb_timer timer;	 /* the next request whose class or wait ends */
	tlb_time usual_patience; /* longest time that callers gave a request at its first try */
	double usual_output;	 /* mean of the outputs that memory is reserved for, in tokens */
	int64_t prefill_us;	 /* smoothed time of a prefill, hand-over included */
};

APR_RING_HEAD(tlb_generation_pool_ring, tlb_generation_pool);

/* Owned by the board; owns the pools. */
struct tlb_generations {
	struct tlb_edge_board *board;
	struct tlb_generation_pool_ring pools;
};

void tlb_generations_init(struct tlb_generations *g, struct tlb_edge_board *b);
/* The requests have ended before. */
void tlb_generations_finish(struct tlb_generations *g);
/* Refuses the requests that wait: another VM can still serve them. */
void tlb_generations_refuse_waiting(struct tlb_generations *g);
/* Instances came or went: starts what waits for them. */
void tlb_generations_pump(struct tlb_generations *g);

/* Takes a request that is routed, keyed and within its limit. */
void tlb_generation_start(struct tlb_forward *f);
/* Lets go of what the request holds: its place in the queue or the window, its KV cache. */
void tlb_generation_end(struct tlb_forward *f);

#endif
