/*
 * Admission queue of one daemon and one pool: weighted fair queueing among client accounts. Pure
 * functions with a given clock; no allocation.
 *
 * Rule: interactive requests go before batch requests; a batch request whose latest start has come
 * competes as an interactive one. Within a class the account with the least virtual time goes
 * first, where an account's virtual time advances by tokens / weight for each request popped. An
 * account that was idle starts at the queue's virtual time: idling earns no credit. Within an
 * account and class: first in, first out, but a request that doesn't fit is passed over until it
 * has been passed over TLB_QUEUE_MAX_PASSES times; then nothing of its class overtakes it
 * (interactive requests still overtake an urgent batch request).
 *
 * Reason: an account that sends five times its share only lengthens its own queue, and a small
 * account's single request goes ahead of a large account's backlog.
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

/* One waiting request; embedded in the caller's request struct, which owns it. */
struct tlb_item {
	APR_RING_ENTRY(tlb_item) link;
	struct tlb_flow *flow; /* NULL while not queued */
	enum tlb_class class;
	int64_t tokens;	       /* prompt plus maximum output: what the fair share counts */
	tlb_time queued_at;    /* set by push */
	tlb_time latest_start; /* batch: competes as interactive from then on; else TLB_NEVER */
	tlb_time expires;      /* end of the maximum wait or the caller's deadline: refuse then */
	enum tlb_class lane;   /* set by pop: the class that it was charged to */
	int passes;	       /* how often a later request overtook this one */
};

APR_RING_HEAD(tlb_item_ring, tlb_item);

/* One account's place in the queue; owned by the caller, one per account. */
struct tlb_flow {
	APR_RING_ENTRY(tlb_flow) link; /* in tlb_queue.flows while it has items */
	struct tlb_item_ring items[TLB_CLASS_COUNT];
	int64_t tokens[TLB_CLASS_COUNT]; /* queued tokens */
	int count;
	double weight;
	double vtime[TLB_CLASS_COUNT];
};

APR_RING_HEAD(tlb_flow_ring, tlb_flow);

/* Caller-owned; finish is not needed once it is empty. */
struct tlb_queue {
	struct tlb_flow_ring flows; /* those with items */
	double vtime[TLB_CLASS_COUNT];
	int count[TLB_CLASS_COUNT];
	/* Service rate while requests wait: decayed sums of tokens popped and of time. */
	double served_tokens;
	double served_us;
	tlb_time last_pop; /* 0 when the queue has been empty since */
};

void tlb_queue_init(struct tlb_queue *q);
void tlb_flow_init(struct tlb_flow *f, double weight);
/* A new weight counts for requests popped from now on. */
void tlb_flow_reweight(struct tlb_flow *f, double weight);

/* Queues an item whose class, tokens, latest_start and expires are set. */
void tlb_queue_push(struct tlb_queue *q, struct tlb_flow *f, struct tlb_item *it, tlb_time now);
/* Puts a popped item back at the head of its account and takes back its charge, when the place
 * that the predicate saw was gone. */
void tlb_queue_unpop(struct tlb_queue *q, struct tlb_flow *f, struct tlb_item *it);

/* Whether a request can start now. Must not change the queue. */
typedef bool tlb_queue_fits_fn(void *arg, const struct tlb_item *it);

/* Takes out the next request that fits, or returns NULL. Expired ones are not returned. */
struct tlb_item *tlb_queue_pop(struct tlb_queue *q, tlb_queue_fits_fn *fits, void *arg,
			       tlb_time now);
/* Takes out one request whose wait has ended, or returns NULL. */
struct tlb_item *tlb_queue_expire(struct tlb_queue *q, tlb_time now);
/* Takes a request out, for example when its caller is gone; harmless when not queued. */
void tlb_queue_remove(struct tlb_queue *q, struct tlb_item *it);

/* Earliest expires of all items, or TLB_NEVER. */
tlb_time tlb_queue_next_expiry(const struct tlb_queue *q);
int tlb_queue_count(const struct tlb_queue *q);

/* Expected wait, in microseconds, of a request of that size if it were queued now: the tokens that
 * fair queueing would serve before it over the service rate measured while requests waited. 0 for
 * an empty queue or before anything was measured. */
tlb_time tlb_queue_wait(const struct tlb_queue *q, const struct tlb_flow *f, enum tlb_class class,
			int64_t tokens);
/* Whether to refuse early: the expected wait plus service_us (prefill, transfer and first token)
 * ends after target by more than the factor that settings allow (1.0: at once). */
bool tlb_queue_would_miss(const struct tlb_queue *q, const struct tlb_flow *f, enum tlb_class class,
			  int64_t tokens, tlb_time service_us, tlb_time target_us, double factor);

#endif
