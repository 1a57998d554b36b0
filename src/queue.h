/*
 * Admission queue of one daemon for one pool: weighted fair queueing among client accounts. Pure
 * functions that get the time as an argument; no allocation.
 *
 * Rule: interactive requests are served before batch requests. A batch request that has reached its
 * latest start time is urgent and competes as an interactive one. Within a class the account with
 * the lowest virtual time is served first; each popped request advances its account's virtual time
 * by tokens / weight. An account that was idle starts at the queue's virtual time, so it earns no
 * credit while idle. Requests of one account and class are served first in, first out, except that
 * a request that can't start is passed over, at most TLB_QUEUE_MAX_PASSES times; after that, no
 * request of its class overtakes it (interactive requests still overtake an urgent batch request).
 *
 * Reason: an account that sends five times its share only lengthens its own queue, and a small
 * account's single request is served before a large account's backlog.
 */
#ifndef TLB_QUEUE_H
#define TLB_QUEUE_H

#include <apr_ring.h>
#include <stdbool.h>
#include <stdint.h>

#include "clock.h"

enum tlb_class { TLB_INTERACTIVE, TLB_BATCH, TLB_CLASS_COUNT };

enum { TLB_QUEUE_MAX_PASSES = 64 };

struct tlb_flow;

/* One queued request; embedded in the caller's request struct, which owns it. */
struct tlb_queue_item {
	APR_RING_ENTRY(tlb_queue_item) link;
	struct tlb_flow *flow; /* NULL while not queued */
	enum tlb_class class;
	int64_t tokens;	       /* prompt plus maximum output; charged to the account */
	tlb_time queued_at;    /* set by push */
	tlb_time latest_start; /* batch: urgent from then on; otherwise TLB_NEVER */
	tlb_time expires_at;   /* end of the maximum wait or the caller's deadline; refused then */
	enum tlb_class charged_class; /* set by pop: the class whose virtual time was charged */
	int passes;		      /* number of later requests that overtook this one */
};

APR_RING_HEAD(tlb_queue_item_ring, tlb_queue_item);

/* The queued requests of one account; owned by the caller, one per account and queue. */
struct tlb_flow {
	APR_RING_ENTRY(tlb_flow) link; /* in tlb_queue.flows while it has items */
	struct tlb_queue_item_ring items[TLB_CLASS_COUNT];
	int64_t tokens[TLB_CLASS_COUNT]; /* queued tokens */
	int count;
	double weight;
	double vtime[TLB_CLASS_COUNT];
};

APR_RING_HEAD(tlb_flow_ring, tlb_flow);

/* Caller-owned; an empty queue holds no resources. */
struct tlb_queue {
	struct tlb_flow_ring flows; /* flows that have items */
	double vtime[TLB_CLASS_COUNT];
	int count[TLB_CLASS_COUNT];
	/* Service rate while requests wait: decayed sums of popped tokens and of elapsed time. */
	double served_tokens;
	double served_us;
	tlb_time last_pop; /* 0 if the queue has been empty since */
};

void tlb_queue_init(struct tlb_queue *q);
void tlb_flow_init(struct tlb_flow *f, double weight);
/* Sets the weight, which applies to requests popped from now on. */
void tlb_flow_set_weight(struct tlb_flow *f, double weight);

/* Queues an item. The caller has set class, tokens, latest_start and expires. */
void tlb_queue_push(struct tlb_queue *q, struct tlb_flow *f, struct tlb_queue_item *it,
		    tlb_time now);
/* Puts a popped item back at the head of its account's queue and reverts its charge, for a request
 * that could not start because the capacity seen by the predicate has been reserved meanwhile. */
void tlb_queue_requeue(struct tlb_queue *q, struct tlb_flow *f, struct tlb_queue_item *it);

/* Whether a request can start now. Must not change the queue. */
typedef bool tlb_queue_can_start_fn(void *arg, const struct tlb_queue_item *it);

/* Removes and returns the next request that can start, or returns NULL. Skips expired requests. */
struct tlb_queue_item *tlb_queue_pop(struct tlb_queue *q, tlb_queue_can_start_fn *fits, void *arg,
				     tlb_time now);
/* Removes and returns one expired request, or returns NULL. */
struct tlb_queue_item *tlb_queue_expire(struct tlb_queue *q, tlb_time now);
/* Removes a request, for example when its caller has disconnected. No effect if not queued. */
void tlb_queue_remove(struct tlb_queue *q, struct tlb_queue_item *it);

/* Returns the earliest expiry of all items, or TLB_NEVER. */
tlb_time tlb_queue_next_expiry(const struct tlb_queue *q);
int tlb_queue_count(const struct tlb_queue *q);

/* Returns the expected wait, in microseconds, of a request of this size if it were queued now: the
 * tokens that fair queueing would serve before it, divided by the service rate measured while
 * requests waited. 0 if the queue is empty or no rate has been measured. */
tlb_time tlb_queue_expected_wait(const struct tlb_queue *q, const struct tlb_flow *f,
				 enum tlb_class class, int64_t tokens);
/* Whether to refuse a request on arrival: its expected wait plus service_us (prefill, transfer and
 * first token) exceeds target_us * factor. The factor is a setting; 1.0 tolerates no excess. */
bool tlb_queue_misses_target(const struct tlb_queue *q, const struct tlb_flow *f,
			     enum tlb_class class, int64_t tokens, tlb_time service_us,
			     tlb_time target_us, double factor);

#endif
