/*
 * Load reports, reconciliation with the engines, and faults.
 */
#include "parts.h"

#include <string.h>

static void on_report_arrives(struct model *m, const struct event *e)
{
	int i;

	for (i = 0; i < ROUTERS; i++) {
		struct view *v = &m->routers[i].views[e->engine];

		if (e->made < v->reported_at)
			continue;
		v->reported_at = e->made;
		v->free_pieces = e->a;
		v->running = e->b;
		v->queued_tokens = e->c;
		if (m->routers[i].alive && tlb_queue_count(&m->routers[i].queue))
			model_wake(m, &m->routers[i], m->now);
	}
}

static int64_t queued_tokens(const struct model *m, const struct engine *e)
{
	int64_t left = 0;

	if (e->running)
		left = (e->running_until - m->now) * PREFILL_SPEED / TLB_SECOND;
	return e->waiting_tokens + left;
}

/* The owner of an engine asks it and sends what it learned with its next heartbeat. The two are out
 * of step by a time that stays the same, and that differs from engine to engine. */
static tlb_time report_delay(const struct model *m, int engine)
{
	return m->run->scenario->report_lag +
	       m->run->flow->report_age * (2 * engine + 1) / (2 * (tlb_time)m->engine_count);
}

void model_on_report(struct model *m, const struct event *e)
{
	const struct engine *en = &m->engines[e->engine];
	struct event *r;

	if (!en->alive)
		return;
	r = model_post(m, m->now + report_delay(m, e->engine), on_report_arrives, NULL);
	r->engine = e->engine;
	r->a = DECODE_PIECES - en->used_pieces;
	r->b = en->stream_count;
	r->c = queued_tokens(m, en);
	r->made = m->now;
	model_post(m, m->now + m->run->flow->report_period, model_on_report, NULL)->engine =
		e->engine;
}

static int held_list(const struct engine *e, struct tlb_held_request *held)
{
	const struct job *j;
	int count = 0;

	APR_RING_FOREACH (j, &e->streams, job, link) {
		memset(&held[count], 0, sizeof(held[count]));
		strcpy(held[count].request_id, j->booking.request_id);
		strcpy(held[count].owner, j->booking.owner);
		held[count++].blocks = model_true_pieces(j);
	}
	return count;
}

static void reconcile(struct model *m, struct engine *e)
{
	struct tlb_held_request held[DECODE_PIECES];
	int count = held_list(e, held);
	int i;

	model_expire_bookings(m, e);
	tlb_booking_table_reconcile(&e->book, held, count, m->now);
	for (i = 0; i < count; i++) {
		if (held[i].cancel)
			model_cancel_at_engine(m, e, held[i].request_id);
	}
}

void model_on_reconcile(struct model *m, const struct event *e)
{
	struct engine *en = &m->engines[e->engine];

	if (!en->alive)
		return;
	if (m->run->flow->booked && m->now >= en->owner_ready)
		reconcile(m, en);
	if (m->now >= PEAK_START && m->now < PEAK_END) {
		m->memory_sum += (double)en->used_pieces / DECODE_PIECES;
		m->memory_count++;
	}
	model_post(m, m->now + HELD_PERIOD, model_on_reconcile, NULL)->engine = e->engine;
}

static void on_stream_silent(struct model *m, const struct event *e)
{
	struct job *j = e->job;

	if (j->stage == STAGE_ENDED)
		return;
	if (!m->run->flow->booked) {
		model_end_job(m, j, END_BROKEN);
		return;
	}
	model_release_booking(m, j);
	model_start_booking(m, j);
}

static void kill_decode(struct model *m, struct engine *e)
{
	struct job *j;

	model_advance(m, e);
	e->alive = false;
	while (!APR_RING_EMPTY(&e->streams, job, link)) {
		j = APR_RING_FIRST(&e->streams);
		APR_RING_REMOVE(j, link);
		j->in_engine = false;
		e->stream_count--;
		model_free_pieces(m, j);
		if (j->stage != STAGE_DECODE)
			continue;
		j->tokens_done += (int)(e->v - j->v_start);
		j->gen++;
		j->tried[e - m->engines] = true;
		model_post(m, m->now + SILENCE, on_stream_silent, j);
	}
}

static void on_prefill_lost(struct model *m, const struct event *e)
{
	if (e->job->stage != STAGE_ENDED)
		model_redo_prefill(m, e->job);
}

static void lose_prefill(struct model *m, struct job *j)
{
	j->gen++;
	j->in_engine = false;
	model_post(m, m->now + 10 * TLB_MS, on_prefill_lost, j);
}

static void kill_prefill(struct model *m, struct engine *e)
{
	int i;
	int c;

	e->alive = false;
	for (c = 0; c < TLB_CLASS_COUNT; c++) {
		while (!APR_RING_EMPTY(&e->waiting[c], job, link)) {
			struct job *j = APR_RING_FIRST(&e->waiting[c]);

			APR_RING_REMOVE(j, link);
			lose_prefill(m, j);
		}
	}
	if (e->running && e->running->stage == STAGE_PREFILL)
		lose_prefill(m, e->running);
	e->running = NULL;
	e->waiting_tokens = 0;
	for (i = 0; i < ROUTERS; i++)
		m->routers[i].views[e - m->engines].health.ejected_until = m->now + 5 * TLB_SECOND;
}

static int standby_of(const struct model *m, int owner)
{
	int i = owner;

	do
		i = (i + 1) % ROUTERS;
	while (!m->routers[i].alive);
	return i;
}

static void take_over_parts(struct model *m, int dead)
{
	int i;

	for (i = 0; i < 2 * MAX_ACCOUNTS; i++) {
		struct part *p = &m->accounts[i / 2].parts[i % 2];

		if (p->owner != dead)
			continue;
		tlb_bucket_init(&p->bucket, p->bucket.rate, p->bucket.burst, 0, m->now);
		p->owner = standby_of(m, dead);
	}
}

/* The new owner starts the bucket empty and rebuilds the book from the VMs and the engine. */
static void on_takeover(struct model *m, const struct event *e)
{
	int i;

	take_over_parts(m, e->a);
	for (i = 0; i < m->engine_count; i++) {
		struct engine *en = &m->engines[i];
		int k;

		if (!en->decode || en->owner != e->a)
			continue;
		tlb_booking_table_init(&en->book, en->strays, DECODE_PIECES,
				       m->run->flow->batch_reserve, HELD_GRACE);
		en->book.max_requests = m->run->flow->max_requests;
		en->book.preempt_cost = m->run->flow->preempt_cost;
		for (k = 0; k < m->job_count; k++) {
			struct job *j = &m->jobs[k];

			if (j->booked && j->decode == i && m->routers[j->router].alive)
				tlb_booking_table_adopt(&en->book, &j->booking);
		}
		if (en->alive && m->run->flow->booked)
			reconcile(m, en);
		en->owner = standby_of(m, e->a);
	}
}

static void break_jobs(struct model *m, int router)
{
	int i;

	for (i = 0; i < m->job_count; i++) {
		struct job *j = &m->jobs[i];

		if (j->router != router || j->stage == STAGE_ENDED)
			continue;
		tlb_queue_remove(&m->routers[router].queue, &j->item);
		j->booking.expires = m->now + BOOKING_LIFE;
		if (j->in_engine && j->stage == STAGE_PREFILL_WAIT) {
			APR_RING_REMOVE(j, link);
			j->in_engine = false;
			m->engines[j->prefill].waiting_tokens -= j->prompt;
		}
		if (j->holds_pieces && !j->in_engine)
			model_free_pieces(m, j);
		m->wasted_tokens += (double)j->computed;
		j->computed = 0;
		j->stage = STAGE_ENDED;
		j->end = END_BROKEN;
		j->ended_at = m->now;
		j->gen++;
	}
}

static void kill_router(struct model *m, int router)
{
	int i;

	m->routers[router].alive = false;
	break_jobs(m, router);
	for (i = 0; i < 2 * MAX_ACCOUNTS; i++) {
		struct part *p = &m->accounts[i / 2].parts[i % 2];

		if (p->owner == router)
			p->owner_ready = m->now + TAKEOVER;
	}
	for (i = 0; i < m->engine_count; i++) {
		if (m->engines[i].owner == router)
			m->engines[i].owner_ready = m->now + TAKEOVER;
	}
	model_post(m, m->now + TAKEOVER, on_takeover, NULL)->a = router;
}

static void on_leave_known(struct model *m, const struct event *e)
{
	int i;

	for (i = 0; i < ROUTERS; i++)
		m->routers[i].views[e->engine].leaving = true;
}

static void join(struct model *m, int engine)
{
	int i;

	m->engines[engine].absent = false;
	for (i = 0; i < ROUTERS; i++)
		m->routers[i].views[engine].health.slow_start_at = m->now;
}

void model_on_fault(struct model *m, const struct event *e)
{
	int decode = m->run->deployment->prefill;
	int i;

	switch (m->run->scenario->fault) {
	case FAULT_NONE:
		break;
	case FAULT_DECODE_LOST:
		kill_decode(m, &m->engines[decode]);
		break;
	case FAULT_LEAVING:
		model_post(m, m->now + LEAVE_KNOWN, on_leave_known, NULL)->engine = decode;
		break;
	case FAULT_SLOW_PREFILL:
		m->engines[0].slow = SLOW_FACTOR;
		break;
	case FAULT_SLOW_DECODE:
		model_advance(m, &m->engines[decode]);
		m->engines[decode].slow = SLOW_FACTOR;
		model_plan_streams(m, &m->engines[decode]);
		break;
	case FAULT_JOINING:
		join(m, 0);
		join(m, decode);
		break;
	case FAULT_ROUTER_LOST:
		/* The owner of the second largest account and, in both deployments, of no decode
		 * endpoint's book but one. */
		kill_router(m, 1);
		break;
	case FAULT_ZONE_LOST:
		for (i = 0; i < ROUTERS; i++) {
			if (m->routers[i].zone_no == 0)
				kill_router(m, i);
		}
		for (i = 0; i < m->engine_count; i++) {
			if (m->engines[i].zone_no != 0)
				continue;
			if (m->engines[i].decode)
				kill_decode(m, &m->engines[i]);
			else
				kill_prefill(m, &m->engines[i]);
		}
		break;
	}
}
