/*
 * Prefill and decode engines and the transfers between them.
 */
#include "parts.h"

#include <math.h>
#include <string.h>

/* --- decode engine --- */

static double token_gap(const struct engine *e)
{
	return (GAP_BASE + GAP_PER_REQUEST * e->stream_count) * e->slow;
}

void model_advance(const struct model *m, struct engine *e)
{
	e->v += (double)(m->now - e->v_at) / token_gap(e);
	e->v_at = m->now;
}

static void on_stream_end(struct model *m, const struct event *ev);

/* Plans the end of the stream that ends first at the present number of streams. */
void model_plan_streams(struct model *m, struct engine *e)
{
	struct job *j;
	double first = INFINITY;
	struct event *ev;

	e->gen++;
	APR_RING_FOREACH (j, &e->streams, job, link)
		first = fmin(first, j->v_end);
	if (isinf(first))
		return;
	ev = model_post(m, m->now + (tlb_time)ceil(fmax(0, first - e->v) * token_gap(e)),
			on_stream_end, NULL);
	ev->engine = (int)(e - m->engines);
	ev->gen = e->gen;
}

static void take_pieces(struct model *m, struct job *j)
{
	j->holds_pieces = true;
	m->engines[j->decode].used_pieces += model_true_pieces(j);
}

void model_free_pieces(struct model *m, struct job *j)
{
	if (j->holds_pieces)
		m->engines[j->decode].used_pieces -= model_true_pieces(j);
	j->holds_pieces = false;
}

void model_leave_streams(struct model *m, struct job *j)
{
	struct engine *e = &m->engines[j->decode];

	model_advance(m, e);
	APR_RING_REMOVE(j, link);
	j->in_engine = false;
	e->stream_count--;
	model_free_pieces(m, j);
	model_plan_streams(m, e);
}

static void on_stream_end(struct model *m, const struct event *ev)
{
	struct engine *e = &m->engines[ev->engine];
	struct job *j;
	struct job *ended = NULL;

	if (ev->gen != e->gen || !e->alive)
		return;
	model_advance(m, e);
	APR_RING_FOREACH (j, &e->streams, job, link) {
		if (j->v_end <= e->v + 1e-6)
			ended = j;
	}
	if (!ended) {
		model_plan_streams(m, e);
		return;
	}
	model_leave_streams(m, ended);
	if (m->routers[ended->router].alive)
		model_note_stream(m, ended);
	if (ended->stage == STAGE_DECODE)
		model_end_job(m, ended, END_DONE);
}

/* The book takes the least first. */
static int64_t victim_rank(const struct model *m, const struct job *j)
{
	switch (m->run->flow->victims) {
	case VICTIMS_LEAST_WASTE:
		break;
	case VICTIMS_LATEST_DEADLINE:
		return -j->deadline;
	case VICTIMS_LARGEST:
		return -j->booking.blocks;
	case VICTIMS_NEWEST:
		return -m->now;
	}
	return j->prompt + j->tokens_done;
}

static void start_stream(struct model *m, struct job *j)
{
	struct engine *e = &m->engines[j->decode];

	model_advance(m, e);
	APR_RING_INSERT_TAIL(&e->streams, j, job, link);
	j->in_engine = true;
	e->stream_count++;
	j->stage = STAGE_DECODE;
	if (j->preemptions < PREEMPTIONS_MAX)
		j->booking.preemptible_from = m->now;
	j->booking.resume_tokens = victim_rank(m, j);
	j->computed = 0;
	j->v_start = e->v;
	j->stream_at = m->now;
	j->v_end = e->v + (j->out - j->tokens_done);
	if (!j->first_token)
		j->first_token = m->now + (tlb_time)token_gap(e) + HOP;
	model_plan_streams(m, e);
}

/* --- prefill engine --- */

static void on_cache_event(struct model *m, const struct event *e)
{
	int i;

	for (i = 0; i < ROUTERS; i++) {
		if (tlb_random_unit(&m->random) >= m->run->scenario->event_loss)
			m->routers[i].views[e->engine].cached[e->a] = e->b;
	}
}

static void publish(struct model *m, const struct engine *e, int prefix, bool cached)
{
	struct event *ev = model_post(m, m->now + EVENT_LAG, on_cache_event, NULL);

	ev->engine = (int)(e - m->engines);
	ev->a = prefix;
	ev->b = cached;
}

/* Returns whether the prefix was cached; it is the latest used then. */
static bool touch_cache(struct model *m, struct engine *e, int prefix)
{
	int i;
	bool hit;

	for (i = 0; i < CACHE_SLOTS - 1 && e->cache[i] != prefix; i++)
		;
	hit = e->cache[i] == prefix;
	if (!hit) {
		if (e->cache[i] >= 0)
			publish(m, e, e->cache[i], false);
		publish(m, e, prefix, true);
	}
	memmove(&e->cache[1], &e->cache[0], (size_t)i * sizeof(e->cache[0]));
	e->cache[0] = prefix;
	return hit;
}

static void on_prefill_end(struct model *m, const struct event *ev);

static void run_prefill(struct model *m, struct engine *e)
{
	struct job *j = NULL;
	int c;
	struct event *ev;

	for (c = 0; c < TLB_CLASS_COUNT && !j; c++) {
		if (!APR_RING_EMPTY(&e->waiting[c], job, link))
			j = APR_RING_FIRST(&e->waiting[c]);
	}
	if (e->running || !j)
		return;
	APR_RING_REMOVE(j, link);
	j->in_engine = false;
	e->waiting_tokens -= j->prompt;
	e->running = j;
	j->stage = STAGE_PREFILL;
	j->computed = j->prompt + j->tokens_done;
	if (j->prefix >= 0 && touch_cache(m, e, j->prefix))
		j->computed -= m->run->scenario->prefix_tokens;
	if (j->computed < 1)
		j->computed = 1;
	m->computed_tokens += (double)j->computed;
	if (j->tokens_done)
		m->wasted_tokens += (double)j->computed;
	e->running_until =
		m->now + (tlb_time)((double)j->computed * TLB_SECOND / PREFILL_SPEED * e->slow);
	ev = model_post(m, e->running_until, on_prefill_end, NULL);
	ev->engine = (int)(e - m->engines);
	ev->job = j;
	ev->gen = UINT32_MAX;
}

static void on_prefill_arrives(struct model *m, const struct event *ev)
{
	struct job *j = ev->job;
	struct engine *e = &m->engines[j->prefill];
	bool priority = m->run->flow->booked;

	if (!e->alive) {
		model_post(m, m->now + RETRY_QUEUE, ev->fn, j);
		return;
	}
	j->stage = STAGE_PREFILL_WAIT;
	APR_RING_INSERT_TAIL(&e->waiting[priority ? j->class : TLB_INTERACTIVE], j, job, link);
	j->in_engine = true;
	e->waiting_tokens += j->prompt;
	run_prefill(m, e);
}

void model_start_prefill(struct model *m, struct job *j)
{
	struct view *v;

	j->prefill = model_choose_prefill(m, j);
	if (j->prefill < 0) {
		model_end_job(m, j, END_REFUSED);
		return;
	}
	v = &m->routers[j->router].views[j->prefill];
	model_note_sent(v, m->now, j->prompt);
	if (j->prefix >= 0)
		v->cached[j->prefix] = true;
	j->stage = STAGE_PREFILL_WAIT;
	j->prefill_at = m->now;
	model_post(m, m->now + HOP, on_prefill_arrives, j);
}

/* --- KV transfer --- */

void model_redo_prefill(struct model *m, struct job *j)
{
	m->wasted_tokens += (double)j->computed;
	j->computed = 0;
	memset(j->tried, 0, sizeof(j->tried));
	model_start_prefill(m, j);
}

static void import_refused(struct model *m, struct job *j);

static void on_imported(struct model *m, const struct event *ev)
{
	struct job *j = ev->job;

	if (!m->engines[j->decode].alive) {
		model_free_pieces(m, j);
		import_refused(m, j);
		return;
	}
	start_stream(m, j);
}

static void on_evicted(struct model *m, const struct event *ev)
{
	struct job *j = ev->job;

	m->missed++;
	model_free_pieces(m, j);
	if (!m->run->flow->booked)
		j->decode = -1;
	model_redo_prefill(m, j);
}

static tlb_time later(tlb_time a, tlb_time b)
{
	return a > b ? a : b;
}

/* Each engine's link moves one result after another; both ends work independently. */
static void transfer(struct model *m, struct job *j)
{
	struct engine *from = &m->engines[j->prefill];
	struct engine *to = &m->engines[j->decode];
	double mbps = LINK_MBPS * m->run->scenario->link_factor;
	double us = 8.0 * (double)(j->prompt + j->tokens_done) * KV_BYTES / mbps;
	tlb_time sent = later(m->now, from->link_free) + (tlb_time)us;
	tlb_time taken = later(m->now, to->link_free) + (tlb_time)us;
	tlb_time end = later(sent, taken);

	m->transfers++;
	take_pieces(m, j);
	/* A transfer that does not end in time still uses the links until the eviction. */
	from->link_free = sent < j->evict_at ? sent : later(from->link_free, j->evict_at);
	to->link_free = taken < j->evict_at ? taken : later(to->link_free, j->evict_at);
	if (end > j->evict_at) {
		model_post(m, j->evict_at, on_evicted, j);
		return;
	}
	model_post(m, end, on_imported, j);
}

/* An engine without room or without an answer: another one, until the result is evicted. */
static void import_refused(struct model *m, struct job *j)
{
	struct view *v = &m->routers[j->router].views[j->decode];

	if (!m->engines[j->decode].alive)
		tlb_health_record_outcome(&v->health, false, 0, 0, m->now);
	j->tried[j->decode] = true;
	if (m->run->flow->booked) {
		model_release_booking(m, j);
		model_start_booking(m, j);
		return;
	}
	j->decode = model_choose_decode(m, j);
	if (j->decode >= 0) {
		model_post(m, m->now + 2 * HOP, model_on_import, j);
		return;
	}
	memset(j->tried, 0, sizeof(j->tried));
	model_post(m, m->now + RETRY_IMPORT, model_on_import, j);
}

void model_on_import(struct model *m, const struct event *ev)
{
	struct job *j = ev->job;
	const struct engine *e;

	if (m->now >= j->evict_at) {
		on_evicted(m, ev);
		return;
	}
	if (j->decode < 0)
		j->decode = model_choose_decode(m, j);
	if (j->decode < 0) {
		model_post(m, m->now + RETRY_IMPORT, model_on_import, j);
		return;
	}
	e = &m->engines[j->decode];
	if (!e->alive || e->used_pieces + model_true_pieces(j) > DECODE_PIECES) {
		import_refused(m, j);
		return;
	}
	transfer(m, j);
}

static void on_prefill_end(struct model *m, const struct event *ev)
{
	struct engine *e = &m->engines[ev->engine];
	struct job *j = ev->job;

	if (e->running != j)
		return;
	e->running = NULL;
	run_prefill(m, e);
	if (j->stage != STAGE_PREFILL)
		return;
	j->stage = STAGE_IMPORT;
	j->evict_at = m->now + EVICT_AFTER;
	/* Not per token: a short prompt in a queue would make the engine look slow. */
	model_note_outcome(m, j->router, ev->engine, m->now - j->prefill_at, 1);
	model_post(m, m->now + 2 * HOP, model_on_import, j);
}
