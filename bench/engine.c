/*
 * Prefill and decode engines and the KV transfers between them.
 */
#include "parts.h"

#include <math.h>
#include <string.h>

/* --- decode engine --- */

static double token_gap(const struct engine *e)
{
	return (TOKEN_GAP_BASE + TOKEN_GAP_PER_STREAM * e->stream_count) * e->slow;
}

void model_advance_streams(const struct model *m, struct engine *e)
{
	e->vtime += (double)(m->now - e->vtime_at) / token_gap(e);
	e->vtime_at = m->now;
}

static void on_stream_end(struct model *m, const struct event *ev);

/* Schedules the end of the stream that ends first with the current number of streams. Earlier
 * events for this engine become void. */
void model_schedule_stream_end(struct model *m, struct engine *e)
{
	struct job *j;
	double first = INFINITY;
	struct event *ev;

	e->gen++;
	APR_RING_FOREACH (j, &e->streams, job, link)
		first = fmin(first, j->vtime_end);
	if (isinf(first))
		return;
	ev = model_schedule(m, m->now + (tlb_time)ceil(fmax(0, first - e->vtime) * token_gap(e)),
			    on_stream_end, NULL);
	ev->engine = (int)(e - m->engines);
	ev->gen = e->gen;
}

static void allocate_blocks(struct model *m, struct job *j)
{
	j->holds_blocks = true;
	m->engines[j->decode].used_blocks += model_blocks_needed(j);
}

void model_free_blocks(struct model *m, struct job *j)
{
	if (j->holds_blocks)
		m->engines[j->decode].used_blocks -= model_blocks_needed(j);
	j->holds_blocks = false;
}

void model_remove_stream(struct model *m, struct job *j)
{
	struct engine *e = &m->engines[j->decode];

	model_advance_streams(m, e);
	APR_RING_REMOVE(j, link);
	j->in_engine = false;
	e->stream_count--;
	model_free_blocks(m, j);
	model_schedule_stream_end(m, e);
}

static void on_stream_end(struct model *m, const struct event *ev)
{
	struct engine *e = &m->engines[ev->engine];
	struct job *j;
	struct job *ended = NULL;

	if (ev->gen != e->gen || !e->alive)
		return;
	model_advance_streams(m, e);
	APR_RING_FOREACH (j, &e->streams, job, link) {
		if (j->vtime_end <= e->vtime + 1e-6)
			ended = j;
	}
	if (!ended) {
		model_schedule_stream_end(m, e);
		return;
	}
	model_remove_stream(m, ended);
	if (m->routers[ended->router].alive)
		model_record_stream(m, ended);
	if (ended->stage == STAGE_DECODE)
		model_end_job(m, ended, END_DONE);
}

/* Sort key for preemption: the booking table preempts the lowest first. */
static int64_t victim_rank(const struct model *m, const struct job *j)
{
	switch (m->run->policy->victims) {
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

	model_advance_streams(m, e);
	APR_RING_INSERT_TAIL(&e->streams, j, job, link);
	j->in_engine = true;
	e->stream_count++;
	j->stage = STAGE_DECODE;
	if (j->preemptions < MAX_PREEMPTIONS)
		j->booking.preemptible_from = m->now;
	j->booking.resume_tokens = victim_rank(m, j);
	j->computed = 0;
	j->vtime_start = e->vtime;
	j->stream_at = m->now;
	j->vtime_end = e->vtime + (j->output - j->tokens_done);
	if (!j->first_token)
		j->first_token = m->now + (tlb_time)token_gap(e) + HOP_DELAY;
	model_schedule_stream_end(m, e);
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

static void publish_cache_event(struct model *m, const struct engine *e, int prefix, bool cached)
{
	struct event *ev = model_schedule(m, m->now + CACHE_EVENT_DELAY, on_cache_event, NULL);

	ev->engine = (int)(e - m->engines);
	ev->a = prefix;
	ev->b = cached;
}

/* Marks a prefix as most recently used, caching it if necessary. Returns whether it was cached. */
static bool touch_cache(struct model *m, struct engine *e, int prefix)
{
	int i;
	bool hit;

	for (i = 0; i < CACHE_SLOTS - 1 && e->cache[i] != prefix; i++)
		;
	hit = e->cache[i] == prefix;
	if (!hit) {
		if (e->cache[i] >= 0)
			publish_cache_event(m, e, e->cache[i], false);
		publish_cache_event(m, e, prefix, true);
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
	ev = model_schedule(m, e->running_until, on_prefill_end, NULL);
	ev->engine = (int)(e - m->engines);
	ev->job = j;
	ev->gen = UINT32_MAX;
}

static void on_prefill_received(struct model *m, const struct event *ev)
{
	struct job *j = ev->job;
	struct engine *e = &m->engines[j->prefill];
	bool priority = m->run->policy->booked;

	if (!e->alive) {
		model_schedule(m, m->now + QUEUE_RETRY_DELAY, ev->fn, j);
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

	j->prefill = model_select_prefill(m, j);
	if (j->prefill < 0) {
		model_end_job(m, j, END_REFUSED);
		return;
	}
	v = &m->routers[j->router].views[j->prefill];
	model_record_sent(v, m->now, j->prompt);
	if (j->prefix >= 0)
		v->cached[j->prefix] = true;
	j->stage = STAGE_PREFILL_WAIT;
	j->prefill_at = m->now;
	model_schedule(m, m->now + HOP_DELAY, on_prefill_received, j);
}

/* --- KV transfer --- */

void model_restart_prefill(struct model *m, struct job *j)
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
		model_free_blocks(m, j);
		import_refused(m, j);
		return;
	}
	start_stream(m, j);
}

static void on_evicted(struct model *m, const struct event *ev)
{
	struct job *j = ev->job;

	m->missed_transfers++;
	model_free_blocks(m, j);
	if (!m->run->policy->booked)
		j->decode = -1;
	model_restart_prefill(m, j);
}

static tlb_time later_of(tlb_time a, tlb_time b)
{
	return a > b ? a : b;
}

/* The link of each engine carries one transfer at a time; both ends queue independently. */
static void transfer(struct model *m, struct job *j)
{
	struct engine *from = &m->engines[j->prefill];
	struct engine *to = &m->engines[j->decode];
	double mbps = LINK_MBPS * m->run->scenario->link_factor;
	double us = 8.0 * (double)(j->prompt + j->tokens_done) * KV_BYTES / mbps;
	tlb_time sent = later_of(m->now, from->link_free) + (tlb_time)us;
	tlb_time taken = later_of(m->now, to->link_free) + (tlb_time)us;
	tlb_time end = later_of(sent, taken);

	m->transfers++;
	allocate_blocks(m, j);
	/* A transfer that cannot end in time still occupies the links until the eviction. */
	from->link_free = sent < j->evict_at ? sent : later_of(from->link_free, j->evict_at);
	to->link_free = taken < j->evict_at ? taken : later_of(to->link_free, j->evict_at);
	if (end > j->evict_at) {
		model_schedule(m, j->evict_at, on_evicted, j);
		return;
	}
	model_schedule(m, end, on_imported, j);
}

/* The decode engine has too little free memory or does not answer: tries another one until the
 * prefill result is evicted. */
static void import_refused(struct model *m, struct job *j)
{
	struct view *v = &m->routers[j->router].views[j->decode];

	if (!m->engines[j->decode].alive)
		tlb_health_record_outcome(&v->health, false, 0, 0, m->now);
	j->tried[j->decode] = true;
	if (m->run->policy->booked) {
		model_release_booking(m, j);
		model_start_booking(m, j);
		return;
	}
	j->decode = model_select_decode(m, j);
	if (j->decode >= 0) {
		model_schedule(m, m->now + 2 * HOP_DELAY, model_on_import, j);
		return;
	}
	memset(j->tried, 0, sizeof(j->tried));
	model_schedule(m, m->now + IMPORT_RETRY_DELAY, model_on_import, j);
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
		j->decode = model_select_decode(m, j);
	if (j->decode < 0) {
		model_schedule(m, m->now + IMPORT_RETRY_DELAY, model_on_import, j);
		return;
	}
	e = &m->engines[j->decode];
	if (!e->alive || e->used_blocks + model_blocks_needed(j) > DECODE_BLOCKS) {
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
	j->evict_at = m->now + EVICT_TIMEOUT;
	/* Latency per request, not per token: queueing time would dominate for a short prompt and
	 * make the engine look slow. */
	model_record_outcome(m, j->router, ev->engine, m->now - j->prefill_at, 1);
	model_schedule(m, m->now + 2 * HOP_DELAY, model_on_import, j);
}
