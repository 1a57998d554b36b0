/*
 * Event queue (a binary heap) and random numbers of the simulation.
 */
#include "parts.h"

#include <math.h>
#include <stdlib.h>

static bool is_earlier(const struct event *x, const struct event *y)
{
	return x->at != y->at ? x->at < y->at : x->seq < y->seq;
}

static void swap_events(struct model *m, int i, int k)
{
	struct event *e = m->events[i];

	m->events[i] = m->events[k];
	m->events[k] = e;
}

static void push_event(struct model *m, struct event *e)
{
	int i = m->event_count++;

	if (i == m->event_capacity) {
		m->event_capacity = m->event_capacity ? 2 * m->event_capacity : 1024;
		m->events = realloc(m->events, sizeof(*m->events) * (size_t)m->event_capacity);
		if (!m->events)
			abort();
	}
	for (m->events[i] = e; i && is_earlier(e, m->events[(i - 1) / 2]); i = (i - 1) / 2)
		swap_events(m, i, (i - 1) / 2);
}

struct event *model_pop_event(struct model *m)
{
	struct event *first;
	int i = 0;
	int k;

	if (!m->event_count)
		return NULL;
	first = m->events[0];
	m->events[0] = m->events[--m->event_count];
	for (k = 1; k < m->event_count; k = 2 * i + 1) {
		if (k + 1 < m->event_count && is_earlier(m->events[k + 1], m->events[k]))
			k++;
		if (!is_earlier(m->events[k], m->events[i]))
			break;
		swap_events(m, i, k);
		i = k;
	}
	return first;
}

struct event *model_schedule(struct model *m, tlb_time at, event_fn *fn, struct job *j)
{
	struct event *e = calloc(1, sizeof(*e));

	if (!e)
		abort();
	e->at = at > m->now ? at : m->now;
	e->seq = m->seq++;
	e->fn = fn;
	e->job = j;
	e->gen = j ? j->gen : 0;
	push_event(m, e);
	return e;
}

/* Standard normal variate (Box-Muller). */
static double normal(struct tlb_random *r)
{
	double u = 1 - tlb_random_unit(r);

	return sqrt(-2 * log(u)) * cos(2 * M_PI * tlb_random_unit(r));
}

int64_t model_lognormal(struct tlb_random *r, double median, double sigma, int min, int max)
{
	double v = median * exp(sigma * normal(r));

	return (int64_t)fmin(fmax(v, min), max);
}
