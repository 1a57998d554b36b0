/*
 * A request at its router: tokens, queue, booking, end.
 */
#include "parts.h"

#include <stddef.h>
#include <string.h>

/* --- end of a request --- */

static void on_settle(struct model *m, const struct event *e)
{
	tlb_bucket_reconcile(&m->accounts[e->a].parts[e->engine].bucket, e->b, e->c, m->now);
}

/* The prompt is booked like output until the request ends, so that a refusal gives it back. */
static void give_back_tokens(struct model *m, struct job *j, int64_t used)
{
	struct event *e;

	if (!j->has_tokens)
		return;
	j->has_tokens = false;
	e = model_post(m, m->now + HOP, on_settle, NULL);
	e->a = j->account;
	e->engine = j->part;
	e->b = (int)(j->prompt + MAX_OUTPUT);
	e->c = used;
}

/* Also takes back a booking whose reply is still under way. */
void model_release_booking(struct model *m, struct job *j)
{
	const struct tlb_booking *k;

	if (j->decode < 0)
		return;
	k = tlb_booking_table_release(&m->engines[j->decode].book, j->booking.request_id,
				      j->booking.owner);
	if (k)
		model_note_sent(&m->routers[j->router].views[j->decode], m->now, -k->blocks);
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
	give_back_tokens(m, j, end == END_DONE ? j->prompt + j->out : 0);
	model_release_booking(m, j);
	j->stage = STAGE_ENDED;
	j->end = end;
	j->ended_at = m->now;
	j->gen++;
	model_wake(m, &m->routers[j->router], m->now);
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
		model_leave_streams(m, j);
	tlb_booking_table_cancel_confirmed(&e->book, request_id);
}

void model_expire_bookings(struct model *m, struct engine *e)
{
	const struct tlb_booking *k;

	while ((k = tlb_booking_table_pop_expired(&e->book, m->now)))
		model_cancel_at_engine(m, e, k->request_id);
}

static void dispatch(struct model *m, struct router *r);

static void on_wake(struct model *m, const struct event *e)
{
	struct router *r = &m->routers[e->a];

	r->retry_set = false;
	if (r->alive)
		dispatch(m, r);
}

void model_wake(struct model *m, struct router *r, tlb_time at)
{
	if (r->retry_set)
		return;
	r->retry_set = true;
	model_post(m, at, on_wake, NULL)->a = (int)(r - m->routers);
}

static void on_book_again(struct model *m, const struct event *e)
{
	model_start_booking(m, e->job);
}

static void hold(const struct model *m, struct router *r, const struct job *j, tlb_time until)
{
	int pieces = model_true_pieces(j);

	if (m->now >= r->hold_until[j->class] || pieces < r->hold_pieces[j->class])
		r->hold_pieces[j->class] = pieces;
	r->hold_until[j->class] = until;
}

/* No endpoint granted a place: back to the queue, or for one that already ran, soon again. */
static void no_place(struct model *m, struct job *j)
{
	struct router *r = &m->routers[j->router];
	tlb_time again = RETRY_QUEUE / 2 + tlb_random_below(&m->random, (int)RETRY_QUEUE);

	memset(j->tried, 0, sizeof(j->tried));
	j->decode = -1;
	if (j->claims)
		j->claim_from = m->now + CLAIM_LIFE;
	if (j->preempts)
		j->preempt_from = m->now + PREEMPT_RETRY;
	j->claims = false;
	j->preempts = false;
	if (j->computed || (j->tokens_done && !j->preemptions)) {
		if (j->computed && m->now >= j->evict_at) {
			m->wasted_tokens += (double)j->computed;
			j->computed = 0;
		}
		model_post(m, m->now + again, on_book_again, j);
		return;
	}
	hold(m, r, j, m->now + again);
	j->stage = STAGE_QUEUED;
	j->gen++;
	tlb_queue_requeue(&r->queue, &r->flows[j->account], &j->item);
	model_wake(m, r, m->now + again);
}

static void on_book(struct model *m, const struct event *ev);

static void wait_for_claim(struct model *m, struct job *j)
{
	if (m->now >= j->item.expires_at) {
		model_note_sent(&m->routers[j->router].views[j->decode], m->now,
				-j->booking.blocks);
		model_end_job(m, j, END_REFUSED);
		return;
	}
	model_post(m, m->now + RETRY_QUEUE, on_book, j);
}

static void on_booked(struct model *m, const struct event *e)
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
		model_note_sent(v, m->now, -j->booking.blocks);
		j->tried[j->decode] = true;
		model_start_booking(m, j);
		return;
	}
	j->booked = true;
	if (!j->place_at)
		j->place_at = m->now;
	if (j->computed && m->now < j->evict_at) {
		j->stage = STAGE_IMPORT;
		model_post(m, m->now, model_on_import, j);
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

	if (!r->alive || j->stage != STAGE_DECODE || j->preemptions >= PREEMPTIONS_MAX)
		return;
	model_advance(m, &m->engines[j->decode]);
	j->tokens_done += (int)(m->engines[j->decode].v - j->v_start);
	model_leave_streams(m, j);
	model_release_booking(m, j);
	j->decode = -1;
	j->preemptions++;
	j->gen++;
	m->preempted++;
	j->stage = STAGE_QUEUED;
	tlb_queue_push(&r->queue, &r->flows[j->account], &j->item, m->now);
	model_wake(m, r, m->now);
}

/* Returns whether the request waits for memory that comes free. */
static bool preempt(struct model *m, struct engine *e, const struct job *j)
{
	struct tlb_booking *victims[DECODE_PIECES];
	bool claimed;
	int n = tlb_booking_table_preempt(&e->book, j->booking.request_id, j->booking.blocks,
					  m->now, m->now + CLAIM_LIFE, victims, DECODE_PIECES,
					  &claimed);

	while (n-- > 0) {
		struct job *v = (struct job *)((char *)victims[n] - offsetof(struct job, booking));

		model_post(m, m->now + 2 * HOP, on_preempt, v);
	}
	return claimed;
}

static void on_book(struct model *m, const struct event *ev)
{
	struct job *j = ev->job;
	struct engine *e = &m->engines[j->decode];
	enum tlb_booking_result result = TLB_BOOKING_NOT_GRANTING;
	struct event *reply;
	bool served = m->now >= e->owner_ready;

	if (served) {
		model_expire_bookings(m, e);
		result = tlb_booking_table_add(&e->book, &j->booking);
	}
	reply = model_post(m, m->now + (served ? HOP : SILENT_PEER), on_booked, j);
	reply->a = result;
	if (result == TLB_BOOKING_FULL && j->preempts) {
		reply->b = preempt(m, e, j);
		if (reply->b)
			return;
	}
	if (result == TLB_BOOKING_FULL && j->claims)
		reply->b = tlb_booking_table_claim(&e->book, j->booking.request_id,
						   j->booking.blocks, m->now + CLAIM_LIFE);
}

void model_start_booking(struct model *m, struct job *j)
{
	struct router *r = &m->routers[j->router];

	j->stage = STAGE_BOOKING;
	j->decode = model_choose_decode(m, j);
	if (j->decode < 0) {
		no_place(m, j);
		return;
	}
	j->booking.blocks = model_true_pieces(j);
	j->booking.class = j->class;
	j->booking.expires = TLB_NEVER;
	j->booking.resume_tokens = j->prompt + j->tokens_done;
	j->booking.preemptible_from = TLB_NEVER;
	j->booking.preempting_until = 0;
	j->booking.preemptible_until =
		m->run->flow->preempt_urgent ? TLB_NEVER : j->item.latest_start;
	model_note_sent(&r->views[j->decode], m->now, j->booking.blocks);
	model_post(m, m->now + (m->engines[j->decode].owner == j->router ? 0 : HOP), on_book, j);
}

/* --- admission --- */

struct room {
	struct model *m;
	struct tlb_candidate decode[MAX_ENGINES];
	int decode_count;
};

/* A large request that waited for a while books at one endpoint and claims what comes free. */
static bool may_claim(const struct model *m, const struct job *j)
{
	int least = m->run->flow->claim_pieces;

	return least && j->class == TLB_INTERACTIVE && model_true_pieces(j) >= least &&
	       m->now > j->claim_from;
}

static bool may_preempt(const struct model *m, const struct job *j)
{
	return m->run->flow->preempt_cost && j->class == TLB_INTERACTIVE &&
	       m->now > j->preempt_from;
}

static bool fits(void *arg, const struct tlb_queue_item *it)
{
	const struct room *room = arg;
	const struct job *j = (const struct job *)it;
	const struct router *r = &room->m->routers[j->router];
	const struct flow *f = room->m->run->flow;
	int need = model_true_pieces(j);
	int i;

	if (may_claim(room->m, j) || may_preempt(room->m, j))
		return true;
	if (room->m->now < r->hold_until[j->class] && need >= r->hold_pieces[j->class])
		return false;
	if (j->class == TLB_BATCH)
		need += f->batch_reserve;
	for (i = 0; i < room->decode_count; i++) {
		const struct tlb_candidate *c = &room->decode[i];

		if (c->usable && c->free_blocks - c->local_blocks >= need)
			return true;
	}
	return false;
}

static void look_around(struct model *m, struct router *r, struct room *room)
{
	int index[MAX_ENGINES];

	room->m = m;
	room->decode_count = model_candidates(m, r, NULL, true, room->decode, index);
}

static void start(struct model *m, struct job *j)
{
	j->claims = may_claim(m, j);
	j->preempts = may_preempt(m, j);
	model_start_booking(m, j);
}

static void dispatch(struct model *m, struct router *r)
{
	struct room room;
	struct tlb_queue_item *it;

	while ((it = tlb_queue_expire(&r->queue, m->now)))
		model_end_job(m, (struct job *)it, END_REFUSED);
	look_around(m, r, &room);
	while ((it = tlb_queue_pop(&r->queue, fits, &room, m->now))) {
		start(m, (struct job *)it);
		look_around(m, r, &room);
	}
	if (tlb_queue_count(&r->queue))
		model_wake(m, r,
			   m->now + RETRY_QUEUE / 2 + tlb_random_below(&m->random, RETRY_QUEUE));
}

static void admit(struct model *m, struct job *j)
{
	struct router *r = &m->routers[j->router];
	const struct flow *f = m->run->flow;
	tlb_time service = 2 * j->prompt * TLB_SECOND / PREFILL_SPEED;

	if (!f->booked) {
		j->place_at = m->now;
		model_start_prefill(m, j);
		return;
	}
	if (f->early > 0 && j->class == TLB_INTERACTIVE &&
	    tlb_queue_misses_target(&r->queue, &r->flows[j->account], j->class, j->item.tokens,
				    service, TTFT_TARGET, f->early)) {
		model_end_job(m, j, END_REFUSED);
		return;
	}
	j->stage = STAGE_QUEUED;
	j->claim_from = m->now + m->run->flow->claim_after;
	j->preempt_from = m->now + m->run->flow->preempt_after;
	tlb_queue_push(&r->queue, &r->flows[j->account], &j->item, m->now);
	dispatch(m, r);
}

static void on_admit(struct model *m, const struct event *e)
{
	admit(m, e->job);
}

/* When to ask again, or TLB_NEVER when no part can grant the tokens before the wait ends. */
static tlb_time ask_again_at(const struct model *m, const struct job *j)
{
	const struct account *a = &m->accounts[j->account];
	tlb_time again = TLB_NEVER;
	bool hopeless = true;
	int i;

	for (i = 0; i < 2; i++) {
		const struct tlb_bucket *b = &a->parts[i].bucket;
		int64_t tokens = j->prompt + MAX_OUTPUT;
		tlb_time ready = tlb_bucket_ready_at(b, tokens, m->now);

		if (ready < again)
			again = ready;
		if (m->now < a->parts[i].owner_ready ||
		    (!tlb_bucket_exceeds_burst(b, tokens) &&
		     (ready == TLB_NEVER || ready < j->item.expires_at)))
			hopeless = false;
	}
	if (hopeless)
		return TLB_NEVER;
	again = again < m->now + RETRY_TOKENS ? again : m->now + RETRY_TOKENS;
	return again > m->now + HOP ? again : m->now + HOP;
}

/* Asks the owner, then the standby, and waits when both have too little. */
void model_on_reserve(struct model *m, const struct event *e)
{
	struct job *j = e->job;
	struct account *a = &m->accounts[j->account];
	struct part *p = &a->parts[j->part];
	int64_t tokens = j->prompt + MAX_OUTPUT;
	bool answers = m->now >= p->owner_ready;
	tlb_time again;

	if (m->now >= j->item.expires_at) {
		model_end_job(m, j, END_REFUSED);
		return;
	}
	if (answers && tlb_bucket_reserve(&p->bucket, 0, tokens, m->now)) {
		j->has_tokens = true;
		model_post(m, m->now + HOP, on_admit, j);
		return;
	}
	if (j->part == 0 && m->run->flow->standby_share > 0) {
		j->part = 1;
		model_post(m, m->now + (answers ? 2 * HOP : SILENT_PEER), model_on_reserve, j);
		return;
	}
	again = ask_again_at(m, j);
	if (again == TLB_NEVER) {
		model_end_job(m, j, END_REFUSED);
		return;
	}
	j->part = 0;
	model_post(m, again, model_on_reserve, j);
}
