#include "queue.h"

#include <math.h>
#include <stddef.h>

/* Half-life of the measured service rate: longer than one request, shorter than a load peak. */
#define RATE_HALF_LIFE_US (5.0 * TLB_SECOND)

/* Keeps tokens / weight finite for an account row with a weight of 0. */
#define MIN_WEIGHT 1e-6

void tlb_queue_init(struct tlb_queue *q)
{
	*q = (struct tlb_queue){0};
	APR_RING_INIT(&q->flows, tlb_flow, link);
}

void tlb_flow_init(struct tlb_flow *f, double weight)
{
	int c;

	*f = (struct tlb_flow){0};
	for (c = 0; c < TLB_CLASS_COUNT; c++)
		APR_RING_INIT(&f->items[c], tlb_queue_item, link);
	tlb_flow_set_weight(f, weight);
}

void tlb_flow_set_weight(struct tlb_flow *f, double weight)
{
	f->weight = weight > MIN_WEIGHT ? weight : MIN_WEIGHT;
}

static void link_item(struct tlb_queue *q, struct tlb_flow *f, struct tlb_queue_item *it)
{
	if (!f->count++)
		APR_RING_INSERT_TAIL(&q->flows, f, tlb_flow, link);
	f->tokens[it->class] += it->tokens;
	q->count[it->class]++;
	it->flow = f;
}

/* Starts an account that was idle in this class at the queue's virtual time. */
static void raise_to_queue_vtime(const struct tlb_queue *q, struct tlb_flow *f,
				 enum tlb_class class)
{
	if (f->vtime[class] < q->vtime[class])
		f->vtime[class] = q->vtime[class];
}

void tlb_queue_push(struct tlb_queue *q, struct tlb_flow *f, struct tlb_queue_item *it,
		    tlb_time now)
{
	if (APR_RING_EMPTY(&f->items[it->class], tlb_queue_item, link))
		raise_to_queue_vtime(q, f, it->class);
	it->queued_at = now;
	it->passes = 0;
	APR_RING_INSERT_TAIL(&f->items[it->class], it, tlb_queue_item, link);
	link_item(q, f, it);
}

static void unlink_item(struct tlb_queue *q, struct tlb_queue_item *it)
{
	struct tlb_flow *f = it->flow;

	APR_RING_REMOVE(it, link);
	f->tokens[it->class] -= it->tokens;
	q->count[it->class]--;
	it->flow = NULL;
	if (!--f->count)
		APR_RING_REMOVE(f, link);
	if (!tlb_queue_count(q))
		q->last_pop = 0;
}

void tlb_queue_remove(struct tlb_queue *q, struct tlb_queue_item *it)
{
	if (it->flow)
		unlink_item(q, it);
}

/* The class whose virtual time is charged if the request is popped now. */
static enum tlb_class effective_class(const struct tlb_queue_item *it, tlb_time now)
{
	return it->class == TLB_BATCH && it->latest_start > now ? TLB_BATCH : TLB_INTERACTIVE;
}

/* State of the search for the next request. */
struct search {
	struct tlb_queue *q;
	tlb_queue_can_start_fn *fits;
	void *arg;
	tlb_time now;
	enum tlb_class class;
	bool blocked; /* a request that must not be overtaken any more can't start */
};

static bool competes(const struct search *s, const struct tlb_queue_item *it)
{
	return it->expires_at > s->now && effective_class(it, s->now) == s->class;
}

/* An urgent batch request that has reached its limit of passes blocks only batch requests. To start
 * it also needs the batch reserve to be free, so interactive requests behind it would wait for more
 * free capacity than the request itself uses. */
static bool blocks_class(const struct search *s, const struct tlb_queue_item *it)
{
	return it->passes >= TLB_QUEUE_MAX_PASSES && it->class == s->class;
}

static struct tlb_queue_item *first_startable(struct search *s, const struct tlb_flow *f,
					      enum tlb_class class)
{
	struct tlb_queue_item *it;

	APR_RING_FOREACH (it, &f->items[class], tlb_queue_item, link) {
		if (!competes(s, it))
			continue;
		if (s->fits(s->arg, it))
			return it;
		if (blocks_class(s, it))
			s->blocked = true;
	}
	return NULL;
}

/* Arrival time for the order within an account; a batch request arrives when it becomes urgent. */
static tlb_time arrival(const struct tlb_queue_item *it)
{
	return it->class == TLB_BATCH && it->latest_start > it->queued_at ? it->latest_start
									  : it->queued_at;
}

static struct tlb_queue_item *flow_candidate(struct search *s, const struct tlb_flow *f)
{
	struct tlb_queue_item *batch = first_startable(s, f, TLB_BATCH);
	struct tlb_queue_item *it;

	if (s->class == TLB_BATCH)
		return batch;
	it = first_startable(s, f, TLB_INTERACTIVE);
	if (!it || !batch)
		return it ? it : batch;
	return arrival(batch) < arrival(it) ? batch : it;
}

/* The account's virtual time in the class that is searched, but at least the queue's if nothing of
 * that class is queued. Thus urgent batch requests earn no credit from the time in which their
 * account had no interactive requests. */
static double class_vtime(const struct search *s, const struct tlb_flow *f)
{
	double v = f->vtime[s->class];

	if (!APR_RING_EMPTY(&f->items[s->class], tlb_queue_item, link) || v > s->q->vtime[s->class])
		return v;
	return s->q->vtime[s->class];
}

static struct tlb_queue_item *search_class(struct search *s)
{
	struct tlb_queue_item *best = NULL;
	struct tlb_flow *f;
	double lowest = 0;

	APR_RING_FOREACH (f, &s->q->flows, tlb_flow, link) {
		struct tlb_queue_item *it = flow_candidate(s, f);
		double v = class_vtime(s, f);

		if (it && (!best || v < lowest)) {
			best = it;
			lowest = v;
		}
	}
	return s->blocked ? NULL : best;
}

static void count_flow_passes(const struct search *s, const struct tlb_flow *f,
			      const struct tlb_queue_item *winner)
{
	struct tlb_queue_item *it;
	int c;

	for (c = 0; c < TLB_CLASS_COUNT; c++) {
		APR_RING_FOREACH (it, &f->items[c], tlb_queue_item, link) {
			if (it == winner || !competes(s, it) || s->fits(s->arg, it))
				continue;
			if (f != winner->flow || arrival(it) <= arrival(winner))
				it->passes++;
		}
	}
}

/* Counts a pass for every request that would have been popped instead of the winner if it could
 * start. */
static void count_passes(const struct search *s, const struct tlb_queue_item *winner)
{
	double v = class_vtime(s, winner->flow);
	struct tlb_flow *f;

	APR_RING_FOREACH (f, &s->q->flows, tlb_flow, link) {
		if (class_vtime(s, f) <= v)
			count_flow_passes(s, f, winner);
	}
}

static void update_service_rate(struct tlb_queue *q, int64_t tokens, tlb_time now)
{
	double elapsed = (double)(now - q->last_pop);
	double decay;

	if (q->last_pop) {
		decay = exp2(-elapsed / RATE_HALF_LIFE_US);
		q->served_tokens = q->served_tokens * decay + (double)tokens;
		q->served_us = q->served_us * decay + elapsed;
	}
	q->last_pop = now;
}

static void charge(const struct search *s, const struct tlb_queue_item *it)
{
	struct tlb_flow *f = it->flow;
	double start = class_vtime(s, f);

	if (start > s->q->vtime[s->class])
		s->q->vtime[s->class] = start;
	f->vtime[s->class] = start + (double)it->tokens / f->weight;
}

struct tlb_queue_item *tlb_queue_pop(struct tlb_queue *q, tlb_queue_can_start_fn *fits, void *arg,
				     tlb_time now)
{
	struct search s = {.q = q, .fits = fits, .arg = arg, .now = now};
	struct tlb_queue_item *it = NULL;
	int c;

	for (c = TLB_INTERACTIVE; c < TLB_CLASS_COUNT && !it && !s.blocked; c++) {
		s.class = c;
		it = search_class(&s);
		if (it)
			break;
	}
	if (!it)
		return NULL;
	count_passes(&s, it);
	charge(&s, it);
	it->charged_class = s.class;
	update_service_rate(q, it->tokens, now);
	unlink_item(q, it);
	return it;
}

void tlb_queue_requeue(struct tlb_queue *q, struct tlb_flow *f, struct tlb_queue_item *it)
{
	f->vtime[it->charged_class] -= (double)it->tokens / f->weight;
	APR_RING_INSERT_HEAD(&f->items[it->class], it, tlb_queue_item, link);
	link_item(q, f, it);
}

struct tlb_queue_item *tlb_queue_expire(struct tlb_queue *q, tlb_time now)
{
	struct tlb_flow *f;
	struct tlb_queue_item *it;
	int c;

	APR_RING_FOREACH (f, &q->flows, tlb_flow, link) {
		for (c = 0; c < TLB_CLASS_COUNT; c++) {
			APR_RING_FOREACH (it, &f->items[c], tlb_queue_item, link) {
				if (it->expires_at > now)
					continue;
				unlink_item(q, it);
				return it;
			}
		}
	}
	return NULL;
}

tlb_time tlb_queue_next_expiry(const struct tlb_queue *q)
{
	tlb_time first = TLB_NEVER;
	struct tlb_flow *f;
	struct tlb_queue_item *it;
	int c;

	APR_RING_FOREACH (f, &q->flows, tlb_flow, link) {
		for (c = 0; c < TLB_CLASS_COUNT; c++) {
			APR_RING_FOREACH (it, &f->items[c], tlb_queue_item, link) {
				if (it->expires_at < first)
					first = it->expires_at;
			}
		}
	}
	return first;
}

int tlb_queue_count(const struct tlb_queue *q)
{
	return q->count[TLB_INTERACTIVE] + q->count[TLB_BATCH];
}

/* Tokens of one class that fair queueing serves until a new request of f is complete. */
static double tokens_before(const struct tlb_queue *q, const struct tlb_flow *f,
			    enum tlb_class class, int64_t tokens)
{
	double start =
		f->count && f->vtime[class] > q->vtime[class] ? f->vtime[class] : q->vtime[class];
	double end = start + (double)(f->tokens[class] + tokens) / f->weight;
	double before = (double)f->tokens[class];
	struct tlb_flow *g;

	APR_RING_FOREACH (g, &q->flows, tlb_flow, link) {
		double share = (end - g->vtime[class]) * g->weight;

		if (g != f && share > 0)
			before += fmin(share, (double)g->tokens[class]);
	}
	return before;
}

static double all_tokens(const struct tlb_queue *q, enum tlb_class class)
{
	double sum = 0;
	struct tlb_flow *f;

	APR_RING_FOREACH (f, &q->flows, tlb_flow, link)
		sum += (double)f->tokens[class];
	return sum;
}

tlb_time tlb_queue_expected_wait(const struct tlb_queue *q, const struct tlb_flow *f,
				 enum tlb_class class, int64_t tokens)
{
	double before;

	if (!tlb_queue_count(q) || q->served_tokens <= 0)
		return 0;
	before = tokens_before(q, f, class, tokens);
	if (class == TLB_BATCH)
		before += all_tokens(q, TLB_INTERACTIVE);
	return llround(before * q->served_us / q->served_tokens);
}

bool tlb_queue_misses_target(const struct tlb_queue *q, const struct tlb_flow *f,
			     enum tlb_class class, int64_t tokens, tlb_time service_us,
			     tlb_time target_us, double factor)
{
	tlb_time expected = tlb_queue_expected_wait(q, f, class, tokens) + service_us;

	return (double)expected > (double)target_us * factor;
}
