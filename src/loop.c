#include "loop.h"

#include <apr_portable.h>
#include <apr_general.h>
#include <stdlib.h>
#include <string.h>

enum {
	POLLSET_SIZE = 4096,
	HEAP_INITIAL_CAPACITY = 64,
	TIMERS_PER_ROUND = 256,
	CATCH_UP_POLLS = 8,    /* further polls in a late round, at most */
	JOB_ROUND_DIVISOR = 4, /* a job may take this part of the round's time before it */
};

/* Timers run this long after a poll at most, before descriptors are polled again. */
#define TIMERS_TIME (10 * TLB_MS)

struct tlb_watch {
	APR_RING_ENTRY(tlb_watch) link;
	apr_socket_t *socket;
	apr_pollfd_t pollfd; /* referenced by the pollset (APR_POLLSET_NOCOPY) */
	tlb_watch_fn *fn;
	void *arg;
	int fd;
	int events;
	bool armed;
};

static int to_apr(int events)
{
	int e = APR_POLLERR | APR_POLLHUP;

	if (events & TLB_READABLE)
		e |= APR_POLLIN;
	if (events & TLB_WRITABLE)
		e |= APR_POLLOUT;
	return e;
}

static int from_apr(int rtnevents)
{
	int e = 0;

	if (rtnevents & APR_POLLIN)
		e |= TLB_READABLE;
	if (rtnevents & APR_POLLOUT)
		e |= TLB_WRITABLE;
	if (rtnevents & (APR_POLLERR | APR_POLLHUP | APR_POLLNVAL))
		e |= TLB_HANGUP;
	return e;
}

static apr_status_t watch_arm(struct tlb_loop *l, struct tlb_watch *w)
{
	apr_status_t rv;

	memset(&w->pollfd, 0, sizeof(w->pollfd));
	w->pollfd.desc_type = APR_POLL_SOCKET;
	w->pollfd.desc.s = w->socket;
	w->pollfd.reqevents = (apr_int16_t)to_apr(w->events);
	w->pollfd.client_data = w;
	rv = apr_pollset_add(l->pollset, &w->pollfd);
	w->armed = rv == APR_SUCCESS;
	return rv;
}

static void watch_disarm(struct tlb_loop *l, struct tlb_watch *w)
{
	if (!w->armed)
		return;
	apr_pollset_remove(l->pollset, &w->pollfd);
	w->armed = false;
}

apr_status_t tlb_loop_init(struct tlb_loop *l)
{
	apr_status_t rv;

	memset(l, 0, sizeof(*l));
	APR_RING_INIT(&l->free_watches, tlb_watch, link);
	APR_RING_INIT(&l->removed_watches, tlb_watch, link);
	APR_RING_INIT(&l->jobs, tlb_job, link);
	rv = apr_pool_create(&l->pool, NULL);
	if (rv != APR_SUCCESS)
		return rv;
	/* Without NOCOPY, removal of a descriptor is a linear search of all entries. */
	rv = apr_pollset_create_ex(&l->pollset, POLLSET_SIZE, l->pool,
				   APR_POLLSET_NODEFAULT | APR_POLLSET_NOCOPY, APR_POLLSET_EPOLL);
	if (rv != APR_SUCCESS)
		apr_pool_destroy(l->pool);
	return rv;
}

static void free_ring(struct tlb_watch_ring *ring)
{
	struct tlb_watch *w;

	while (!APR_RING_EMPTY(ring, tlb_watch, link)) {
		w = APR_RING_FIRST(ring);
		APR_RING_REMOVE(w, link);
		free(w);
	}
}

void tlb_loop_finish(struct tlb_loop *l)
{
	free_ring(&l->free_watches);
	free_ring(&l->removed_watches);
	free(l->heap);
	apr_pollset_destroy(l->pollset);
	apr_pool_destroy(l->pool);
}

/* The time until which a poll that begins now may wait. */
static tlb_time poll_deadline(const struct tlb_loop *l, tlb_time wait_until, tlb_time now)
{
	tlb_time until = wait_until;

	if (!APR_RING_EMPTY(&l->jobs, tlb_job, link))
		return now;
	if (l->heap_len > 0 && l->heap[0]->deadline < until)
		until = l->heap[0]->deadline;
	return until > now ? until : now;
}

static apr_interval_time_t poll_wait(tlb_time until, tlb_time now)
{
	if (until == TLB_NEVER)
		return -1;
	if (until <= now)
		return 0;
	/* APR's epoll method truncates to milliseconds; rounding up avoids busy waiting. */
	return until - now + TLB_MS - 1;
}

/* Records a poll that began at began and was to end at until at the latest. */
static void record_poll(struct tlb_loop *l, tlb_time began, tlb_time until)
{
	tlb_time now = tlb_clock_now();
	tlb_time busy = l->polled_at > 0 ? began - l->polled_at : 0;
	tlb_time overrun = now > until ? now - until : 0;

	l->polled_at = now;
	if (busy + overrun < TLB_LOOP_LATE)
		return;
	if (!l->late)
		l->late_since = now - busy - overrun;
	l->late = true;
	l->late_until = now + TLB_LOOP_LATE_MEMORY;
	l->catching_up = true;
	if (l->on_late)
		l->on_late(l->late_arg, busy + overrun, busy);
}

static void dispatch(const apr_pollfd_t *ready, apr_int32_t n)
{
	struct tlb_watch *w;
	apr_int32_t i;

	for (i = 0; i < n; i++) {
		w = ready[i].client_data;
		/* An earlier callback of this round may have removed this watch. */
		if (w->armed)
			w->fn(w->arg, from_apr(ready[i].rtnevents));
	}
}

static void poll_and_dispatch(struct tlb_loop *l, tlb_time wait_until)
{
	const apr_pollfd_t *ready = NULL;
	apr_int32_t n = 0;
	tlb_time now = tlb_clock_now();
	tlb_time until = poll_deadline(l, wait_until, now);
	apr_status_t rv;

	rv = apr_pollset_poll(l->pollset, poll_wait(until, now), &n, &ready);
	record_poll(l, now, until);
	if (rv == APR_SUCCESS)
		dispatch(ready, n);
	else
		/* The end of a stop interrupts the poll. */
		l->catching_up = APR_STATUS_IS_EINTR(rv);
	APR_RING_CONCAT(&l->free_watches, &l->removed_watches, tlb_watch, link);
}

/* Reads input that has waited: reading some of it may make more of it ready, as with a connection
 * to be accepted and its request. */
static void catch_up(struct tlb_loop *l, int *polls_left)
{
	while (l->catching_up && *polls_left > 0) {
		(*polls_left)--;
		poll_and_dispatch(l, 0);
	}
	l->catching_up = false;
}

static bool timer_is_due(const struct tlb_loop *l)
{
	return l->heap_len > 0 && l->heap[0]->deadline <= tlb_clock_now();
}

/* Also runs timers that a timer callback sets to fire immediately, which saves a poll for each. The
 * limits prevent starvation of descriptors. A timer is a deadline for input in many cases, so that
 * none is run before input that has waited was read. */
static void run_timers(struct tlb_loop *l, int *polls_left)
{
	struct tlb_timer *t;
	int remaining = TIMERS_PER_ROUND;
	tlb_time since_poll;

	while (remaining-- > 0 && timer_is_due(l)) {
		since_poll = tlb_clock_now() - l->polled_at;
		if (since_poll >= TIMERS_TIME && since_poll < TLB_LOOP_LATE)
			break;
		if (since_poll >= TLB_LOOP_LATE) {
			l->catching_up = true;
			catch_up(l, polls_left);
			if (!timer_is_due(l))
				break;
		}
		t = l->heap[0];
		tlb_timer_clear(l, t);
		t->fn(t->arg);
	}
}

/* A job gets a share of the time of a long round, so that it goes on when the process is short of
 * processor time. */
static tlb_time slice_after(tlb_time round)
{
	tlb_time slice = round / JOB_ROUND_DIVISOR;

	if (slice < TLB_JOB_SLICE)
		return TLB_JOB_SLICE;
	return slice < TLB_JOB_SLICE_MAX ? slice : TLB_JOB_SLICE_MAX;
}

/* The next job goes first in the next round. */
static void run_job(struct tlb_loop *l, tlb_time round_began)
{
	tlb_time now = tlb_clock_now();
	struct tlb_job *j;

	if (APR_RING_EMPTY(&l->jobs, tlb_job, link))
		return;
	j = APR_RING_FIRST(&l->jobs);
	tlb_job_cancel(j);
	if (j->fn(j->arg, now + slice_after(now - round_began)))
		tlb_job_start(l, j);
}

void tlb_loop_once(struct tlb_loop *l, tlb_time wait_until)
{
	int polls_left = CATCH_UP_POLLS;
	tlb_time began;

	l->late = false;
	poll_and_dispatch(l, wait_until);
	began = l->polled_at;
	catch_up(l, &polls_left);
	run_timers(l, &polls_left);
	run_job(l, began);
}

bool tlb_loop_was_late(const struct tlb_loop *l)
{
	return l->late_until > 0 && tlb_clock_now() < l->late_until;
}

void tlb_loop_run(struct tlb_loop *l)
{
	while (!l->stopping)
		tlb_loop_once(l, TLB_NEVER);
}

void tlb_loop_stop(struct tlb_loop *l)
{
	l->stopping = true;
}

static struct tlb_watch *watch_alloc(struct tlb_loop *l)
{
	struct tlb_watch *w;

	if (!APR_RING_EMPTY(&l->free_watches, tlb_watch, link)) {
		w = APR_RING_FIRST(&l->free_watches);
		APR_RING_REMOVE(w, link);
		return w;
	}
	return calloc(1, sizeof(*w));
}

struct tlb_watch *tlb_loop_watch(struct tlb_loop *l, int fd, int events, tlb_watch_fn *fn,
				 void *arg)
{
	struct tlb_watch *w = watch_alloc(l);
	apr_os_sock_t os = fd;

	if (!w)
		return NULL;
	/* Reuses the watch's apr_socket_t if there is one, so that the loop's APR pool doesn't
	 * grow. */
	apr_os_sock_put(&w->socket, &os, l->pool);
	w->fd = fd;
	w->fn = fn;
	w->arg = arg;
	w->events = events;
	APR_RING_ELEM_INIT(w, link);
	if (watch_arm(l, w) != APR_SUCCESS) {
		APR_RING_INSERT_TAIL(&l->free_watches, w, tlb_watch, link);
		return NULL;
	}
	return w;
}

void tlb_loop_set_events(struct tlb_loop *l, struct tlb_watch *w, int events)
{
	if (w->events == events && w->armed)
		return;
	watch_disarm(l, w);
	w->events = events;
	watch_arm(l, w);
}

void tlb_loop_unwatch(struct tlb_loop *l, struct tlb_watch *w)
{
	if (!w)
		return;
	watch_disarm(l, w);
	APR_RING_INSERT_TAIL(&l->removed_watches, w, tlb_watch, link);
}

static void heap_place(struct tlb_loop *l, size_t i, struct tlb_timer *t)
{
	l->heap[i] = t;
	t->index = i + 1;
}

static void sift_up(struct tlb_loop *l, size_t i)
{
	struct tlb_timer *t = l->heap[i];

	while (i > 0 && l->heap[(i - 1) / 2]->deadline > t->deadline) {
		heap_place(l, i, l->heap[(i - 1) / 2]);
		i = (i - 1) / 2;
	}
	heap_place(l, i, t);
}

static void sift_down(struct tlb_loop *l, size_t i)
{
	struct tlb_timer *t = l->heap[i];
	size_t child;

	for (;;) {
		child = 2 * i + 1;
		if (child >= l->heap_len)
			break;
		if (child + 1 < l->heap_len &&
		    l->heap[child + 1]->deadline < l->heap[child]->deadline)
			child++;
		if (l->heap[child]->deadline >= t->deadline)
			break;
		heap_place(l, i, l->heap[child]);
		i = child;
	}
	heap_place(l, i, t);
}

void tlb_timer_init(struct tlb_timer *t, tlb_timer_fn *fn, void *arg)
{
	memset(t, 0, sizeof(*t));
	t->fn = fn;
	t->arg = arg;
}

static void heap_grow(struct tlb_loop *l)
{
	if (l->heap_len < l->heap_cap)
		return;
	l->heap_cap = l->heap_cap ? l->heap_cap * 2 : HEAP_INITIAL_CAPACITY;
	l->heap = realloc(l->heap, l->heap_cap * sizeof(struct tlb_timer *));
	/* A daemon that can't set timers can't meet any deadline. */
	if (!l->heap)
		abort();
}

void tlb_timer_set(struct tlb_loop *l, struct tlb_timer *t, tlb_time deadline)
{
	tlb_timer_clear(l, t);
	if (deadline == TLB_NEVER)
		return;
	heap_grow(l);
	t->deadline = deadline;
	l->heap[l->heap_len] = t;
	t->index = ++l->heap_len;
	sift_up(l, l->heap_len - 1);
}

void tlb_timer_clear(struct tlb_loop *l, struct tlb_timer *t)
{
	size_t i;
	struct tlb_timer *last;

	if (!t->index)
		return;
	i = t->index - 1;
	t->index = 0;
	last = l->heap[--l->heap_len];
	if (last == t)
		return;
	heap_place(l, i, last);
	sift_up(l, i);
	sift_down(l, last->index - 1);
}

void tlb_job_init(struct tlb_job *j, tlb_job_fn *fn, void *arg)
{
	memset(j, 0, sizeof(*j));
	APR_RING_ELEM_INIT(j, link);
	j->fn = fn;
	j->arg = arg;
}

void tlb_job_start(struct tlb_loop *l, struct tlb_job *j)
{
	if (j->active)
		return;
	j->active = true;
	APR_RING_INSERT_TAIL(&l->jobs, j, tlb_job, link);
}

void tlb_job_cancel(struct tlb_job *j)
{
	if (!j->active)
		return;
	j->active = false;
	APR_RING_REMOVE(j, link);
	APR_RING_ELEM_INIT(j, link);
}
