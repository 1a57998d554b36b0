#include "link.h"

/* Maximum sleep: transfers that begin or end during a wait change the remaining time. */
#define LINK_STEP (5 * TLB_MS)

void standin_link_init(struct standin_link *l, int64_t mbps)
{
	pthread_mutex_init(&l->lock, NULL);
	l->bytes_per_us = (double)mbps / 8;
	l->served = 0;
	l->active = 0;
	l->updated = tlb_clock_now();
}

static void advance(struct standin_link *l)
{
	tlb_time now = tlb_clock_now();

	if (l->active > 0)
		l->served += (double)(now - l->updated) * l->bytes_per_us / l->active;
	l->updated = now;
}

double standin_link_begin(struct standin_link *l)
{
	double begin;

	pthread_mutex_lock(&l->lock);
	advance(l);
	begin = l->served;
	l->active++;
	pthread_mutex_unlock(&l->lock);
	return begin;
}

void standin_link_end(struct standin_link *l)
{
	pthread_mutex_lock(&l->lock);
	advance(l);
	l->active--;
	pthread_mutex_unlock(&l->lock);
}

/* Microseconds until a transfer is done if no other begins or ends. */
static double time_left(struct standin_link *l, double begin, int64_t bytes)
{
	double left;

	pthread_mutex_lock(&l->lock);
	advance(l);
	left = (begin + (double)bytes - l->served) * l->active;
	pthread_mutex_unlock(&l->lock);
	return left / l->bytes_per_us;
}

bool standin_link_wait(struct standin_link *l, struct standin_request *rq, double begin,
		       int64_t bytes, const atomic_bool *cancelled)
{
	double left;
	tlb_time step;

	if (l->bytes_per_us <= 0)
		return true;
	for (;;) {
		left = time_left(l, begin, bytes);
		if (left <= 0)
			return true;
		step = left < (double)LINK_STEP ? (tlb_time)left + 1 : LINK_STEP;
		if (!standin_wait(rq, tlb_clock_now() + step))
			return false;
		if (cancelled && *cancelled)
			return false;
	}
}
