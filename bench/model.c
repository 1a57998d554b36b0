/*
 * Set-up and event loop of the simulation (model.h).
 */
#include "parts.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

static const char *const zone_names[] = {"z1", "z2", "z3", "z4"};

static void init_engine(struct model *m, int i)
{
	struct engine *e = &m->engines[i];
	const struct deployment *d = m->run->deployment;
	int c;

	e->decode = i >= d->prefill;
	snprintf(e->id, sizeof(e->id), "%s%d", e->decode ? "d" : "p", i);
	e->zone_no = i % d->zones;
	e->zone = zone_names[e->zone_no];
	e->alive = true;
	e->slow = 1;
	e->absent = m->run->scenario->fault == FAULT_JOINING && (i == 0 || i == d->prefill);
	e->owner = i % ROUTERS;
	for (c = 0; c < TLB_CLASS_COUNT; c++)
		APR_RING_INIT(&e->waiting[c], job, link);
	APR_RING_INIT(&e->streams, job, link);
	for (c = 0; c < CACHE_SLOTS; c++)
		e->cache[c] = -1;
	tlb_booking_table_init(&e->book, e->strays, DECODE_BLOCKS, m->run->policy->batch_reserve,
			       RECONCILE_GRACE);
	e->book.max_requests = m->run->policy->max_requests;
	e->book.preempt_cost = m->run->policy->preempt_cost;
	tlb_booking_table_reconcile(&e->book, NULL, 0, 0);
	/* Random offsets, so that engines do not report and reconcile in step. */
	model_schedule(m, tlb_random_below(&m->random, m->run->policy->report_period),
		       model_on_report, NULL)
		->engine = i;
	if (e->decode)
		model_schedule(m, tlb_random_below(&m->random, RECONCILE_PERIOD),
			       model_on_reconcile, NULL)
			->engine = i;
}

static void init_router(struct model *m, int i)
{
	struct router *r = &m->routers[i];
	const struct deployment *d = m->run->deployment;
	int k;

	r->alive = true;
	r->zone_no = i % d->zones;
	tlb_selector_init(&r->place, m->run->policy->policy, zone_names[r->zone_no],
			  m->run->seed * ROUTERS + (uint64_t)i);
	tlb_queue_init(&r->queue);
	for (k = 0; k < MAX_ACCOUNTS; k++)
		tlb_flow_init(&r->flows[k], d->share[k]);
	for (k = 0; k < m->engine_count; k++)
		r->views[k].free_blocks = DECODE_BLOCKS;
}

static void init_allowance(struct allowance *p, int owner, double rate)
{
	int64_t r = (int64_t)rate;

	p->owner = owner;
	tlb_bucket_init(&p->bucket, r, r * BURST_SECONDS, r * BURST_SECONDS, 0);
}

static void init_account(struct model *m, int i)
{
	struct account *a = &m->accounts[i];
	double standby = m->run->policy->standby_share;
	double rate = m->capacity * (PROMPT_MEAN + OUTPUT_MEAN) * RATE_FACTOR;
	int64_t whole;

	/* With few_large the three large accounts have nearly the entire paid rate. */
	rate *= m->run->scenario->few_large ? (i < 3 ? 0.32 : 0.04) : m->run->deployment->share[i];
	whole = (int64_t)rate;
	/* The next router, and so the standby, is in another zone than the owner. */
	init_allowance(&a->allowances[0], i, rate * (1 - standby));
	init_allowance(&a->allowances[1], (i + 1) % ROUTERS, rate * standby);
	tlb_bucket_init(&a->reference, whole, whole * BURST_SECONDS, whole * BURST_SECONDS, 0);
}

/* Requests per second at which the prefill or the decode engines, whichever is less, saturate. */
static double capacity_of(const struct deployment *d)
{
	double prefill = (double)d->prefill * PREFILL_SPEED / PROMPT_MEAN;
	double gap = TOKEN_GAP_BASE + TOKEN_GAP_PER_STREAM * DECODE_REQUESTS;
	double request_time = OUTPUT_MEAN * gap / TLB_SECOND + 0.6;

	return fmin(prefill, d->decode * DECODE_REQUESTS / request_time);
}

static void simulate(struct model *m)
{
	struct event *e;

	while ((e = model_pop_event(m))) {
		m->now = e->at;
		if (m->now < DURATION + BATCH_DEADLINE &&
		    (!e->job || e->gen == UINT32_MAX || e->gen == e->job->gen))
			e->fn(m, e);
		free(e);
	}
}

static void set_up(struct model *m)
{
	const struct deployment *d = m->run->deployment;
	int i;

	m->engine_count = d->prefill + d->decode;
	m->capacity = capacity_of(d);
	for (i = 0; i < m->engine_count; i++)
		init_engine(m, i);
	for (i = 0; i < ROUTERS; i++)
		init_router(m, i);
	for (i = 0; i < MAX_ACCOUNTS; i++)
		init_account(m, i);
	model_schedule_arrival(m, TLB_INTERACTIVE, -1);
	model_schedule_arrival(m, TLB_BATCH, -1);
	if (m->run->scenario->greedy >= 0)
		model_schedule_arrival(m, TLB_INTERACTIVE, m->run->scenario->greedy);
	model_schedule(m, FAULT_AT, model_on_fault, NULL);
}

int model_run(const struct run *r, struct measures *out)
{
	struct model *m = calloc(1, sizeof(*m));
	double *v = calloc(MAX_JOBS, sizeof(*v));

	memset(out, 0, sizeof(*out));
	if (m)
		m->jobs = calloc(MAX_JOBS, sizeof(*m->jobs));
	if (!m || !v || !m->jobs)
		return -1;
	m->run = r;
	tlb_random_init(&m->random, r->seed);
	tlb_random_init(&m->load, r->seed + 1000);
	set_up(m);
	simulate(m);
	model_measure(m, out, v);
	free(m->events);
	free(m->jobs);
	free(m);
	free(v);
	return 0;
}
