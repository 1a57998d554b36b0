/*
 * Arrivals, cancels and deadlines.
 */
#include "parts.h"

#include <math.h>

static void drop_from_engine(struct model *m, struct job *j)
{
	if (!j->in_engine)
		return;
	if (j->stage == STAGE_DECODE) {
		model_leave_streams(m, j);
		return;
	}
	APR_RING_REMOVE(j, link);
	j->in_engine = false;
	m->engines[j->prefill].waiting_tokens -= j->prompt;
}

static void give_up(struct model *m, struct job *j, enum end end)
{
	drop_from_engine(m, j);
	model_end_job(m, j, end);
}

static bool waits_for_first_token(const struct job *j)
{
	return j->stage != STAGE_ENDED && j->stage != STAGE_DECODE;
}

/* A caller that gives up, or whose deadline passes before the first token. */
static void on_give_up(struct model *m, const struct event *e)
{
	struct job *j = e->job;

	if (j->stage == STAGE_ENDED || (e->a == END_BROKEN && !waits_for_first_token(j)))
		return;
	/* Mid-transfer: looked at again when the transfer has ended. */
	if (j->stage == STAGE_IMPORT) {
		struct event *again = model_post(m, m->now + 10 * TLB_MS, on_give_up, j);

		again->a = e->a;
		again->gen = UINT32_MAX;
		return;
	}
	give_up(m, j, e->a);
}

static int pick_account(struct model *m, double *factor)
{
	const struct scenario *s = m->run->scenario;
	double at = tlb_random_unit(&m->load);
	int i;

	*factor = 1;
	if (s->few_large)
		return at < 0.03 ? MAX_ACCOUNTS - 1 : (int)((at - 0.03) / 0.97 * 3);
	for (i = 0; i < MAX_ACCOUNTS - 1; i++) {
		at -= m->run->deployment->share[i];
		if (at < 0)
			break;
	}
	return i;
}

static int pick_router(struct model *m)
{
	/* The platform's balancer skips dead routers after its health check. */
	int i = tlb_random_below(&m->load, ROUTERS);

	if (m->routers[i].alive || m->now < FAULT_AT + TLB_SECOND)
		return i;
	do
		i = tlb_random_below(&m->load, ROUTERS);
	while (!m->routers[i].alive);
	return i;
}

static void note_demand(struct model *m, struct job *j)
{
	struct account *a = &m->accounts[j->account];

	j->within_rate = tlb_bucket_reserve(&a->reference, j->prompt + j->out, 0, m->now);
	if (!j->within_rate)
		a->exceeded_at = m->now;
	j->conforming = !a->exceeded_at || m->now - a->exceeded_at > BURST_SECONDS * TLB_SECOND;
}

static void arrive(struct model *m, enum tlb_class class, int account)
{
	struct job *j = &m->jobs[m->job_count];
	const struct scenario *s = m->run->scenario;
	struct event *e;

	if (m->job_count == MAX_JOBS)
		return;
	snprintf(j->booking.request_id, sizeof(j->booking.request_id), "r%d", m->job_count++);
	j->class = class;
	j->account = account;
	j->router = pick_router(m);
	snprintf(j->booking.owner, sizeof(j->booking.owner), "vm%d/1", j->router);
	j->decode = -1;
	j->prefix = -1;
	j->prompt = model_lognormal(&m->load, PROMPT_MEDIAN, PROMPT_SIGMA, PROMPT_MIN, PROMPT_MAX);
	j->out =
		(int)model_lognormal(&m->load, OUTPUT_MEDIAN, OUTPUT_SIGMA, OUTPUT_MIN, MAX_OUTPUT);
	if (tlb_random_unit(&m->load) < s->prefix_share && j->prompt > s->prefix_tokens)
		j->prefix = tlb_random_below(&m->load, s->prefixes);
	j->arrived = m->now;
	j->deadline = m->now + (class == TLB_BATCH ? BATCH_DEADLINE : CALLER_PATIENCE);
	j->item.class = class;
	j->item.tokens = j->prompt + MAX_OUTPUT;
	j->item.latest_start =
		class == TLB_BATCH ? j->deadline - m->run->flow->batch_slack : TLB_NEVER;
	j->item.expires_at =
		class == TLB_BATCH ? j->deadline : m->now + m->run->flow->interactive_wait;
	note_demand(m, j);
	if (!m->routers[j->router].alive) {
		j->stage = STAGE_ENDED;
		j->end = END_BROKEN;
		return;
	}
	model_post(m, m->now + HOP, model_on_reserve, j);
	e = model_post(m, j->deadline, on_give_up, j);
	e->gen = UINT32_MAX;
	e->a = END_BROKEN;
	if (class == TLB_INTERACTIVE && tlb_random_unit(&m->load) < CANCEL_SHARE) {
		e = model_post(m, m->now + tlb_random_below(&m->load, 3 * TLB_SECOND), on_give_up,
			       j);
		e->gen = UINT32_MAX;
		e->a = END_CANCELLED;
	}
}

static double load_now(const struct model *m, enum tlb_class class)
{
	const struct scenario *s = m->run->scenario;
	bool peak = m->now >= PEAK_START && m->now < PEAK_END;

	if (class == TLB_BATCH)
		return m->now < PEAK_END ? s->batch : 0;
	return peak ? s->peak : s->base;
}

static void on_arrival(struct model *m, const struct event *e)
{
	double factor;
	int account = e->b >= 0 ? e->b : pick_account(m, &factor);
	/* Candidates come at a constant rate of 1.5 times capacity and are thinned. */
	double keep = load_now(m, e->a) * m->run->load_factor / 1.5;

	if (e->b >= 0)
		keep = 1;
	if (tlb_random_unit(&m->load) < keep)
		arrive(m, e->a, account);
	model_plan_arrival(m, e->a, e->b);
}

void model_plan_arrival(struct model *m, enum tlb_class class, int account)
{
	double rate = m->capacity * 1.5;
	tlb_time at;
	struct event *e;

	/* The greedy account sends five times its paid rate, four of them on top of its share. */
	if (account >= 0)
		rate = 4 * RATE_FACTOR * m->capacity * m->run->deployment->share[account];
	at = m->now - (tlb_time)(log(1 - tlb_random_unit(&m->load)) / rate * TLB_SECOND);
	if (at >= DURATION)
		return;
	e = model_post(m, at, on_arrival, NULL);
	e->a = class;
	e->b = account;
}
