/*
 * Model requests: queueing before the prefill, the prefill, the transfer of the KV cache to a
 * decode endpoint, and the event stream to the caller. A stream that is interrupted is resumed at
 * the same or another endpoint when the route allows it.
 *
 * Under overload, requests that can still deliver their first event within the route's target
 * latency are served first. The others get the remaining capacity, and are rejected once their wait
 * is expected to exceed their deadline. Reason: with first in, first out, every request of a load
 * peak would miss its target by a little.
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

/* The fair-queueing flow of one account in the queue of one service. */
struct tlb_generation_flow {
	APR_RING_ENTRY(tlb_generation_flow) link;
	char account[TLB_LABEL_LEN];
	struct tlb_flow flow;
};

APR_RING_HEAD(tlb_generation_flow_ring, tlb_generation_flow);

/* The queue and the prefill concurrency window of one service. Owned by struct tlb_generations. */
struct tlb_generation_queue {
	APR_RING_ENTRY(tlb_generation_queue) link;
	struct tlb_edge_board *board;
	char service[TLB_LABEL_LEN];
	struct tlb_queue queue;
	struct tlb_generation_flow_ring flows;
	struct tlb_window window;
	tlb_time full_until;	  /* no decode endpoint had free capacity; start nothing before */
	struct tlb_timer timer;	  /* next expiry in the queue, or full_until */
	tlb_time max_time_budget; /* longest time from arrival to the caller's deadline */
	double mean_reserved_output; /* smoothed mean of the reserved output, in tokens */
	int64_t mean_prefill_us; /* smoothed time from dispatch to the end of the prefill, in us */
};

APR_RING_HEAD(tlb_generation_queue_ring, tlb_generation_queue);

/* Owned by struct tlb_edge_board; owns the pools. */
struct tlb_generations {
	struct tlb_edge_board *board;
	struct tlb_generation_queue_ring queues;
};

void tlb_generations_init(struct tlb_generations *g, struct tlb_edge_board *b);
/* Frees the pools. All requests must have ended. */
void tlb_generations_finish(struct tlb_generations *g);
/* Refuses the queued requests that have not run, at shutdown: another VM can still serve them. */
void tlb_generations_refuse_waiting(struct tlb_generations *g);
/* Starts queued requests after the list of instances has changed. */
void tlb_generations_dispatch(struct tlb_generations *g);

/* Queues or refuses a request that has a route, is authenticated and has its quota granted. */
void tlb_generation_start(struct tlb_forward *f);
/* Releases the request's queue entry, window slot, KV cache and decode reservation. */
void tlb_generation_end(struct tlb_forward *f);

#endif
