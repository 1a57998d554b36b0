/*
 * The event loop of one daemon: file descriptors (through an APR pollset), timers, and jobs, which
 * do long work in slices. Single-threaded; callbacks must not block.
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

/* Events of a descriptor, bit flags. TLB_HANGUP includes errors and is always reported. */
enum { TLB_READABLE = 1, TLB_WRITABLE = 2, TLB_HANGUP = 4 };

typedef void tlb_watch_fn(void *arg, int events);
typedef void tlb_timer_fn(void *arg);
/* Does some of a job's work, until the deadline; returns whether there is more. */
typedef bool tlb_job_fn(void *arg, tlb_time slice_deadline);
/* Called before the events of a late round are handled. late_by: how long events and timers may
 * have waited; busy: the part of it that callbacks of this process took. */
typedef void tlb_late_fn(void *arg, tlb_time late_by, tlb_time busy);

/* A round is late when events or timers may have waited this long: the process or its VM was
 * suspended or short of processor time, or a callback took long. */
#define TLB_LOOP_LATE (100 * TLB_MS)
/* How long after a late round input is still treated as possibly old. */
#define TLB_LOOP_LATE_MEMORY (1 * TLB_SECOND)

/* Length of a job's slice, and the longest one, after a long round. Between two slices the loop
 * handles the events and timers that are due. */
#define TLB_JOB_SLICE (2 * TLB_MS)
#define TLB_JOB_SLICE_MAX (10 * TLB_MS)

/* Allocated by the caller, usually embedded in a struct. Not set when index is 0. */
struct tlb_timer {
	tlb_time deadline;
	tlb_timer_fn *fn;
	void *arg;
	size_t index; /* position in the heap plus one */
};

/* Work that is too long for one callback. Allocated by the caller. */
struct tlb_job {
	APR_RING_ENTRY(tlb_job) link;
	tlb_job_fn *fn;
	void *arg;
	bool active;
};

APR_RING_HEAD(tlb_watch_ring, tlb_watch);
APR_RING_HEAD(tlb_job_ring, tlb_job);

struct tlb_loop {
	apr_pool_t *pool;
	apr_pollset_t *pollset;
	struct tlb_watch_ring free_watches;    /* free watches, for reuse */
	struct tlb_watch_ring removed_watches; /* removed during this round; free after it */
	struct tlb_timer **heap;	       /* binary min-heap by deadline */
	size_t heap_len;
	size_t heap_cap;
	struct tlb_job_ring jobs;
	tlb_time polled_at;   /* when the descriptors were last polled; 0 before the first round */
	bool late;	      /* this round is late */
	tlb_time late_since;  /* since when events may have waited, in the last late round */
	tlb_time late_until;  /* end of TLB_LOOP_LATE_MEMORY; 0 before the first late round */
	bool catching_up;     /* input may be waiting that arrived before the round began */
	tlb_late_fn *on_late; /* NULL for none; set by the owner */
	void *late_arg;
	bool stopping;
};

/* Sets up a loop on memory that the caller owns. Returns APR_SUCCESS or an APR error. */
apr_status_t tlb_loop_init(struct tlb_loop *l);
void tlb_loop_finish(struct tlb_loop *l);

/* Runs until tlb_loop_stop(). */
void tlb_loop_run(struct tlb_loop *l);
/* Runs one round: waits for events or a timer until wait_until at the latest, then runs the
 * callbacks. When the round is late, polls for more events before timers are run. */
void tlb_loop_once(struct tlb_loop *l, tlb_time wait_until);
/* Whether a round was late within TLB_LOOP_LATE_MEMORY. */
bool tlb_loop_was_late(const struct tlb_loop *l);
/* Makes tlb_loop_run() return after the current round. */
void tlb_loop_stop(struct tlb_loop *l);

/* Watches a descriptor for events. The loop owns the watch; the descriptor stays the caller's.
 * Returns NULL when the descriptor can't be polled or memory is short. */
struct tlb_watch *tlb_loop_watch(struct tlb_loop *l, int fd, int events, tlb_watch_fn *fn,
				 void *arg);
/* Sets the events that a watch waits for. */
void tlb_loop_set_events(struct tlb_loop *l, struct tlb_watch *w, int events);
/* Removes a watch; NULL is allowed. Its callback is not called afterwards. */
void tlb_loop_unwatch(struct tlb_loop *l, struct tlb_watch *w);

/* Initializes a timer, not yet set. */
void tlb_timer_init(struct tlb_timer *t, tlb_timer_fn *fn, void *arg);
/* Sets a timer or changes its deadline; TLB_NEVER clears it. */
void tlb_timer_set(struct tlb_loop *l, struct tlb_timer *t, tlb_time deadline);
/* Clears a timer; no effect when it is not set. */
void tlb_timer_clear(struct tlb_loop *l, struct tlb_timer *t);
/* Whether the timer is set. */
static inline bool tlb_timer_active(const struct tlb_timer *t)
{
	return t->index != 0;
}

/* Initializes a job, not active. */
void tlb_job_init(struct tlb_job *j, tlb_job_fn *fn, void *arg);
/* Starts a job: one slice of one job runs in each round. No effect when it is active. */
void tlb_job_start(struct tlb_loop *l, struct tlb_job *j);
/* Ends a job; no effect when it is not active. */
void tlb_job_cancel(struct tlb_job *j);

#endif
