/*
 * Admission of a request by its router: tokens of the account, fair queue, decode booking, release.
 */
#include "parts.h"

#include <stddef.h>
#include <string.h>

/* --- end of a request --- */

static void on_settle(struct model *m, const struct event *e)
{
	tlb_bucket_reconcile(&m->accounts[e->a].allowances[e->engine].bucket, e->b, e->c, m->now);
}

/* The prompt is booked as output until the request ends, so that a refusal refunds it in full. */
static void refund_tokens(struct model *m, struct job *j, int64_t used)
{
	struct event *e;

	if (!j->has_tokens)
		return;
	j->has_tokens = false;
	e = model_schedule(m, m->now + HOP_DELAY, on_settle, NULL);
	e->a = j->account;
	e->engine = j->allowance;
	e->b = (int)(j->prompt + MAX_OUTPUT);
	e->c = used;
}

/* Also releases a booking whose reply has not arrived yet. */
void model_release_booking(struct model *m, struct job *j)
{
	const struct tlb_booking *k;

	if (j->decode < 0)
		return;
	k = tlb_booking_table_release(&m->engines[j->decode].book, j->booking.request_id,
				      j->booking.owner);
	if (k)
		model_record_sent(&m->routers[j->router].views[j->decode], m->now, -k->blocks);
	j->booked = false;
}

void model_end_job(struct model *m, struct job *j, enum end end)
{
	if (j->stage == STAGE_ENDED)
		return;
	tlb_queue_remove(&m->routers[j->router].queue, &j->item);
	if (end != END_DONE && j->computed) {
		m->wasted_tokens += (double)j->computed;
		j->computed = 0;
	}
	refund_tokens(m, j, end == END_DONE ? j->prompt + j->output : 0);
	model_release_booking(m, j);
	j->stage = STAGE_ENDED;
	j->end = end;
	j->ended_at = m->now;
	j->gen++;
	model_schedule_dispatch(m, &m->routers[j->router], m->now);
}

/* --- booking --- */

static struct job *stream_of(const struct engine *e, const char *request_id)
{
	struct job *j;

	APR_RING_FOREACH (j, &e->streams, job, link) {
		if (!strcmp(j->booking.request_id, request_id))
			return j;
	}
	return NULL;
}

void model_cancel_at_engine(struct model *m, struct engine *e, const char *request_id)
{
	struct job *j = stream_of(e, request_id);

	if (j)
		model_remove_stream(m, j);
	tlb_booking_table_cancel_confirmed(&e->book, request_id);
}

void model_expire_bookings(struct model *m, struct engine *e)
{
	const struct tlb_booking *k;

	while ((k = tlb_booking_table_pop_expired(&e->book, m->now)))
		model_cancel_at_engine(m, e, k->request_id);
}

static void dispatch(struct model *m, struct router *r);

static void on_dispatch(struct model *m, const struct event *e)
{
	struct router *r = &m->routers[e->a];

	r->dispatch_scheduled = false;
	if (r->alive)
		dispatch(m, r);
}

void model_schedule_dispatch(struct model *m, struct router *r, tlb_time at)
{
	if (r->dispatch_scheduled)
		return;
	r->dispatch_scheduled = true;
	model_schedule(m, at, on_dispatch, NULL)->a = (int)(r - m->routers);
}

static void on_retry_booking(struct model *m, const struct event *e)
{
	model_start_booking(m, e->job);
}

/* Keeps requests of at least the size of j in the queue until the given time. */
static void hold_back(const struct model *m, struct router *r, const struct job *j, tlb_time until)
{
	int blocks = model_blocks_needed(j);

	if (m->now >= r->hold_until[j->class] || blocks < r->hold_blocks[j->class])
		r->hold_blocks[j->class] = blocks;
	r->hold_until[j->class] = until;
}

/* No endpoint granted a booking: returns the request to the queue. One that has been prefilled, or
 * that lost its decode engine, retries the booking directly. */
static void requeue(struct model *m, struct job *j)
{
	struct router *r = &m->routers[j->router];
	tlb_time again =
		QUEUE_RETRY_DELAY / 2 + tlb_random_below(&m->random, (int)QUEUE_RETRY_DELAY);

	memset(j->tried, 0, sizeof(j->tried));
	j->decode = -1;
	if (j->claims)
		j->claim_from = m->now + CLAIM_TTL;
	if (j->preempts)
		j->preempt_from = m->now + PREEMPT_RETRY_DELAY;
	j->claims = false;
	j->preempts = false;
	if (j->computed || (j->tokens_done && !j->preemptions)) {
		if (j->computed && m->now >= j->evict_at) {
			m->wasted_tokens += (double)j->computed;
			j->computed = 0;
		}
		model_schedule(m, m->now + again, on_retry_booking, j);
		return;
	}
	hold_back(m, r, j, m->now + again);
	j->stage = STAGE_QUEUED;
	j->gen++;
	tlb_queue_requeue(&r->queue, &r->flows[j->account], &j->item);
	model_schedule_dispatch(m, r, m->now + again);
}

static void on_book_request(struct model *m, const struct event *ev);

static void wait_for_claim(struct model *m, struct job *j)
{
	if (m->now >= j->item.expires_at) {
		model_record_sent(&m->routers[j->router].views[j->decode], m->now,
				  -j->booking.blocks);
		model_end_job(m, j, END_REFUSED);
		return;
	}
	model_schedule(m, m->now + QUEUE_RETRY_DELAY, on_book_request, j);
}

static void on_book_reply(struct model *m, const struct event *e)
{
	struct job *j = e->job;
	struct view *v = &m->routers[j->router].views[j->decode];

	if (e->b) {
		wait_for_claim(m, j);
		return;
	}
	j->claims = false;
	if (e->a == TLB_BOOKING_OK)
		j->preempts = false;
	if (e->a != TLB_BOOKING_OK) {
		model_record_sent(v, m->now, -j->booking.blocks);
		j->tried[j->decode] = true;
		model_start_booking(m, j);
		return;
	}
	j->booked = true;
	if (!j->admitted_at)
		j->admitted_at = m->now;
	if (j->computed && m->now < j->evict_at) {
		j->stage = STAGE_IMPORT;
		model_schedule(m, m->now, model_on_import, j);
		return;
	}
	m->wasted_tokens += (double)j->computed;
	j->computed = 0;
	model_start_prefill(m, j);
}

static void on_preempt(struct model *m, const struct event *ev)
{
	struct job *j = ev->job;
	struct router *r = &m->routers[j->router];

	if (!r->alive || j->stage != STAGE_DECODE || j->preemptions >= MAX_PREEMPTIONS)
		return;
	model_advance_streams(m, &m->engines[j->decode]);
	j->tokens_done += (int)(m->engines[j->decode].vtime - j->vtime_start);
	model_remove_stream(m, j);
	model_release_booking(m, j);
	j->decode = -1;
	j->preemptions++;
	j->gen++;
	m->preempted++;
	j->stage = STAGE_QUEUED;
	tlb_queue_push(&r->queue, &r->flows[j->account], &j->item, m->now);
	model_schedule_dispatch(m, r, m->now);
}

/* Returns whether memory that preemption frees is now claimed for the request. */
static bool preempt(struct model *m, struct engine *e, const struct job *j)
{
	struct tlb_booking *victims[DECODE_BLOCKS];
	bool claimed;
	int n = tlb_booking_table_preempt(&e->book, j->booking.request_id, j->booking.blocks,
					  m->now, m->now + CLAIM_TTL, victims, DECODE_BLOCKS,
					  &claimed);

	while (n-- > 0) {
		struct job *v = (struct job *)((char *)victims[n] - offsetof(struct job, booking));

		model_schedule(m, m->now + 2 * HOP_DELAY, on_preempt, v);
	}
	return claimed;
}

static void on_book_request(struct model *m, const struct event *ev)
{
	struct job *j = ev->job;
	struct engine *e = &m->engines[j->decode];
	enum tlb_booking_result result = TLB_BOOKING_NOT_GRANTING;
	struct event *reply;
	bool reachable = m->now >= e->owner_ready;

	if (reachable) {
		model_expire_bookings(m, e);
		result = tlb_booking_table_add(&e->book, &j->booking);
	}
	reply = model_schedule(m, m->now + (reachable ? HOP_DELAY : PEER_TIMEOUT), on_book_reply,
			       j);
	reply->a = result;
	if (result == TLB_BOOKING_FULL && j->preempts) {
		reply->b = preempt(m, e, j);
		if (reply->b)
			return;
	}
	if (result == TLB_BOOKING_FULL && j->claims)
		reply->b = tlb_booking_table_claim(&e->book, j->booking.request_id,
						   j->booking.blocks, m->now + CLAIM_TTL);
}

void model_start_booking(struct model *m, struct job *j)
{
	struct router *r = &m->routers[j->router];

	j->stage = STAGE_BOOKING;
	j->decode = model_select_decode(m, j);
	if (j->decode < 0) {
		requeue(m, j);
		return;
	}
	j->booking.blocks = model_blocks_needed(j);
	j->booking.class = j->class;
	j->booking.expires = TLB_NEVER;
	j->booking.resume_tokens = j->prompt + j->tokens_done;
	j->booking.preemptible_from = TLB_NEVER;
	j->booking.preempting_until = 0;
	j->booking.preemptible_until =
		m->run->policy->preempt_urgent ? TLB_NEVER : j->item.latest_start;
	model_record_sent(&r->views[j->decode], m->now, j->booking.blocks);
	model_schedule(m, m->now + (m->engines[j->decode].owner == j->router ? 0 : HOP_DELAY),
		       on_book_request, j);
}

/* --- admission --- */

/* Decode engines as the router has them during one dispatch. */
struct dispatch_state {
	struct model *m;
	struct tlb_candidate decode[MAX_ENGINES];
	int decode_count;
};

/* A large interactive request that has waited long enough books at one endpoint and claims the
 * memory that is freed there; otherwise smaller requests would always get it first. */
static bool may_claim(const struct model *m, const struct job *j)
{
	int least = m->run->policy->claim_pieces;

	return least && j->class == TLB_INTERACTIVE && model_blocks_needed(j) >= least &&
	       m->now > j->claim_from;
}

static bool may_preempt(const struct model *m, const struct job *j)
{
	return m->run->policy->preempt_cost && j->class == TLB_INTERACTIVE &&
	       m->now > j->preempt_from;
}

static bool has_capacity(void *arg, const struct tlb_queue_item *it)
{
	const struct dispatch_state *state = arg;
	const struct job *j = (const struct job *)it;
	const struct router *r = &state->m->routers[j->router];
	const struct policy_config *policy = state->m->run->policy;
	int need = model_blocks_needed(j);
	int i;

	if (may_claim(state->m, j) || may_preempt(state->m, j))
		return true;
	if (state->m->now < r->hold_until[j->class] && need >= r->hold_blocks[j->class])
		return false;
	if (j->class == TLB_BATCH)
		need += policy->batch_reserve;
	for (i = 0; i < state->decode_count; i++) {
		const struct tlb_candidate *c = &state->decode[i];

		if (c->usable && c->free_blocks - c->local_blocks >= need)
			return true;
	}
	return false;
}

static void refresh_candidates(struct model *m, struct router *r, struct dispatch_state *state)
{
	int index[MAX_ENGINES];

	state->m = m;
	state->decode_count = model_candidates(m, r, NULL, true, state->decode, index);
}

static void start_request(struct model *m, struct job *j)
{
	j->claims = may_claim(m, j);
	j->preempts = may_preempt(m, j);
	model_start_booking(m, j);
}

static void dispatch(struct model *m, struct router *r)
{
	struct dispatch_state state;
	struct tlb_queue_item *it;

	while ((it = tlb_queue_expire(&r->queue, m->now)))
		model_end_job(m, (struct job *)it, END_REFUSED);
	refresh_candidates(m, r, &state);
	while ((it = tlb_queue_pop(&r->queue, has_capacity, &state, m->now))) {
		start_request(m, (struct job *)it);
		refresh_candidates(m, r, &state);
	}
	if (tlb_queue_count(&r->queue))
		model_schedule_dispatch(m, r,
					m->now + QUEUE_RETRY_DELAY / 2 +
						tlb_random_below(&m->random, QUEUE_RETRY_DELAY));
}

static void admit(struct model *m, struct job *j)
{
	struct router *r = &m->routers[j->router];
	const struct policy_config *policy = m->run->policy;
	tlb_time service = 2 * j->prompt * TLB_SECOND / PREFILL_SPEED;

	if (!policy->booked) {
		j->admitted_at = m->now;
		model_start_prefill(m, j);
		return;
	}
	if (policy->early > 0 && j->class == TLB_INTERACTIVE &&
	    tlb_queue_misses_target(&r->queue, &r->flows[j->account], j->class, j->item.tokens,
				    service, TTFT_TARGET, policy->early)) {
		model_end_job(m, j, END_REFUSED);
		return;
	}
	j->stage = STAGE_QUEUED;
	j->claim_from = m->now + m->run->policy->claim_after;
	j->preempt_from = m->now + m->run->policy->preempt_after;
	tlb_queue_push(&r->queue, &r->flows[j->account], &j->item, m->now);
	dispatch(m, r);
}

static void on_admit(struct model *m, const struct event *e)
{
	admit(m, e->job);
}

/* When to retry the reservation, or TLB_NEVER if neither allowance can grant it before the request
 * expires. */
static tlb_time next_reserve_at(const struct model *m, const struct job *j)
{
	const struct account *a = &m->accounts[j->account];
	tlb_time again = TLB_NEVER;
	bool unattainable = true;
	int i;

	for (i = 0; i < 2; i++) {
		const struct tlb_bucket *b = &a->allowances[i].bucket;
		int64_t tokens = j->prompt + MAX_OUTPUT;
		tlb_time ready = tlb_bucket_ready_at(b, tokens, m->now);

		if (ready < again)
			again = ready;
		if (m->now < a->allowances[i].owner_ready ||
		    (!tlb_bucket_exceeds_burst(b, tokens) &&
		     (ready == TLB_NEVER || ready < j->item.expires_at)))
			unattainable = false;
	}
	if (unattainable)
		return TLB_NEVER;
	again = again < m->now + TOKENS_RETRY_DELAY ? again : m->now + TOKENS_RETRY_DELAY;
	return again > m->now + HOP_DELAY ? again : m->now + HOP_DELAY;
}

/* Reserves tokens from the owner, then from the standby; retries later if neither has enough. */
void model_on_reserve(struct model *m, const struct event *e)
{
	struct job *j = e->job;
	struct account *a = &m->accounts[j->account];
	struct allowance *p = &a->allowances[j->allowance];
	int64_t tokens = j->prompt + MAX_OUTPUT;
	bool reachable = m->now >= p->owner_ready;
	tlb_time again;

	if (m->now >= j->item.expires_at) {
		model_end_job(m, j, END_REFUSED);
		return;
	}
	if (reachable && tlb_bucket_reserve(&p->bucket, 0, tokens, m->now)) {
		j->has_tokens = true;
		model_schedule(m, m->now + HOP_DELAY, on_admit, j);
		return;
	}
	if (j->allowance == 0 && m->run->policy->standby_share > 0) {
		j->allowance = 1;
		model_schedule(m, m->now + (reachable ? 2 * HOP_DELAY : PEER_TIMEOUT),
			       model_on_reserve, j);
		return;
	}
	again = next_reserve_at(m, j);
	if (again == TLB_NEVER) {
		model_end_job(m, j, END_REFUSED);
		return;
	}
	j->allowance = 0;
	model_schedule(m, again, model_on_reserve, j);
}
