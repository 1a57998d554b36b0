/*
 * The event loop of one daemon: descriptors (through an APR pollset) and timers. Single-threaded;
 * no callback may block.
 */
#ifndef TLB_LOOP_H
#define TLB_LOOP_H

#include <apr_poll.h>
#include <apr_ring.h>
#include <stdbool.h>

#include "clock.h"

struct tlb_loop;
struct tlb_watch;
struct tlb_timer;

enum { TLB_READABLE = 1, TLB_WRITABLE = 2, TLB_HANGUP = 4 };

typedef void tlb_watch_fn(void *arg, int events);
typedef void tlb_timer_fn(void *arg);

/* Owned by its user, embedded in the user's struct. Idle when index is 0. */
struct tlb_timer {
	tlb_time deadline;
	tlb_timer_fn *fn;
	void *arg;
	size_t index; /* position in the heap plus one */
};

APR_RING_HEAD(tlb_watch_ring, tlb_watch);

struct tlb_loop {
	apr_pool_t *pool;
	apr_pollset_t *pollset;
	struct tlb_watch_ring idle;    /* watches ready for reuse */
	struct tlb_watch_ring retired; /* removed during this round; reused after it */
	struct tlb_timer **heap;
	size_t heap_len;
	size_t heap_cap;
	bool stopping;
};

/* Sets up a loop on memory that the caller owns. Returns APR_SUCCESS or an APR error. */
apr_status_t tlb_loop_init(struct tlb_loop *l);
void tlb_loop_finish(struct tlb_loop *l);

/* Runs until tlb_loop_stop(). */
void tlb_loop_run(struct tlb_loop *l);
/* Runs one round, waiting at most until wait_until. */
void tlb_loop_once(struct tlb_loop *l, tlb_time wait_until);
void tlb_loop_stop(struct tlb_loop *l);

/* Watches a descriptor. The loop owns the watch; the descriptor stays the caller's. Returns NULL
 * when the descriptor can't be polled. */
struct tlb_watch *tlb_loop_watch(struct tlb_loop *l, int fd, int events, tlb_watch_fn *fn,
				 void *arg);
/* Changes the events that a watch waits for. */
void tlb_loop_rewatch(struct tlb_loop *l, struct tlb_watch *w, int events);
/* Ends a watch; NULL is allowed. No callback runs for it afterwards. */
void tlb_loop_unwatch(struct tlb_loop *l, struct tlb_watch *w);

/* Readies a timer that is not yet set. */
void tlb_timer_init(struct tlb_timer *t, tlb_timer_fn *fn, void *arg);
/* Sets or moves a timer. */
void tlb_timer_set(struct tlb_loop *l, struct tlb_timer *t, tlb_time deadline);
/* Clears a timer; harmless when it is not set. */
void tlb_timer_clear(struct tlb_loop *l, struct tlb_timer *t);

#endif
