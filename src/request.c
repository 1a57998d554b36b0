#include "request.h"

#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include "board.h"
#include "ingress.h"
#include "completion.h"
#include "engine.h"
#include "log.h"
#include "sse.h"

#define BOOKING_TIMEOUT (500 * TLB_MS)
/* Time-outs of the prefill and KV import calls: base plus a part per prompt token. */
#define PREFILL_BASE (3 * TLB_SECOND)
#define PREFILL_PER_TOKEN ((tlb_time)500) /* microseconds */
#define IMPORT_BASE (1 * TLB_SECOND)
#define IMPORT_PER_TOKEN ((tlb_time)200) /* microseconds */
#define TOKEN_TIMEOUT (2 * TLB_SECOND)	 /* longest wait for the next token of a decode */
#define DECODE_TIMEOUT (600 * TLB_SECOND)
/* After this time in the queue an interactive request that needs at least 1 / CLAIM_SHARE of an
 * endpoint's KV blocks claims the blocks that become free there, so that smaller requests don't
 * keep it waiting until it expires (docs/POLICY.md). */
#define CLAIM_AFTER (2 * TLB_SECOND)
/* A batch request is scheduled like an interactive one from this long before the time at which its
 * decode would have to start to meet the deadline. */
#define BATCH_URGENT (10 * TLB_SECOND)
#define RESUME_WAIT_MAX (10 * TLB_SECOND) /* longest time in the queue after an engine failed */

/* After this time in the queue an interactive request preempts batch requests (docs/POLICY.md). */
#define PREEMPT_AFTER (1 * TLB_SECOND)

/* Longest wait, beyond the configured queue time, for a new owner of a booking table whose owner
 * failed: fencing needs 3.7 s without a heartbeat, and the new owner reads the engine's bookings
 * before it grants new ones. */
#define TAKEOVER_WAIT_MAX (6 * TLB_SECOND)
#define TAKEOVER_POLL (250 * TLB_MS)
/* How long a new owner may take to grant: it queries the other VMs and the engine, and batch
 * requests have to give way. */
#define TAKEOVER_SETTLE_TIME (2 * TLB_SECOND)

enum {
	PREEMPTIONS_MAX = 2, /* per request */
	CLAIM_SHARE = 6,
	RESPONSE_TEXT_MAX = 16 << 20 /* bytes of one response */
};

enum { ATTEMPTS_MAX = 5, TRIED_MAX = 16, CANDIDATES_MAX = 256 };

enum step { STEP_RESERVE, STEP_QUEUE, STEP_HOLD, STEP_PREFILL, STEP_IMPORT, STEP_DECODE };

static const char *const step_names[] = {"reserve", "queue", "hold", "prefill", "import", "decode"};

/* Endpoints that failed or refused the request since its last wait in the queue; selection leaves
 * them out. */
struct tried {
	const struct tlb_target *target[TRIED_MAX];
	int count;
};

/* One model request. Owned by the ring of struct tlb_requests until end_request() frees it. */
struct tlb_request {
	APR_RING_ENTRY(tlb_request) link;
	struct tlb_waiter wait;
	struct tlb_board *board;
	struct tlb_exchange *exchange; /* NULL once the caller disconnected or got its response */
	char id[TLB_REQUEST_ID_LEN];
	char account[TLB_ID_LEN];
	unsigned char key_hash[TLB_KEY_HASH_LEN];
	struct tlb_completion completion;
	char pool[TLB_ID_LEN];
	int block_tokens;
	int prompt_tokens;
	int max_tokens;
	tlb_time arrived;
	enum step step;
	tlb_time takeover_deadline; /* end of the wait for a new booking table owner */
	struct tlb_reservation reservation;
	bool dispatched; /* bytes of the request may have reached an engine */
	struct tlb_booking_handle booking;
	struct tlb_http_call call;
	struct tlb_target *decode;
	struct tlb_target *prefill;
	struct tlb_target *preempt_target; /* endpoint that preempts batch requests for this one */
	int preemptions;		   /* times that this request was preempted */
	struct tried tried_decode;
	struct tried tried_prefill;
	struct tlb_prefix prefix;
	int attempt;
	/* Request id at the engines. It differs for each attempt, so that a delayed cancellation of
	 * an earlier attempt can't cancel this one. */
	char engine_request_id[TLB_REQUEST_ID_LEN];
	char kv_id[TLB_REQUEST_ID_LEN];
	bool prefill_done; /* prefill computed, no token received: wasted if the attempt ends now */
	tlb_time call_began;
	/* The response so far. */
	struct tlb_sse sse;
	struct tlb_buffer text;
	int next_index;
	int first_index; /* first token index of the current decode stream */
	bool engine_done;
	char finish_reason[TLB_ENGINE_REASON_LEN];
	struct tlb_timer token_timer;
	tlb_time first_token_at;
	tlb_time last_token_at;
};

static void start_decode(struct tlb_request *r);
static void select_decode(struct tlb_request *r);
static void on_token_timeout(void *arg);

void tlb_requests_init(struct tlb_requests *q, struct tlb_board *b)
{
	q->board = b;
	APR_RING_INIT(&q->requests, tlb_request, link);
}

size_t tlb_requests_count(const struct tlb_requests *q)
{
	const struct tlb_request *r;
	size_t n = 0;

	APR_RING_FOREACH (r, &q->requests, tlb_request, link) {
		n++;
	}
	return n;
}

json_t *tlb_requests_list(const struct tlb_requests *q)
{
	const struct tlb_request *r;
	json_t *list = json_array();
	tlb_time now = tlb_clock_now();

	APR_RING_FOREACH (r, &q->requests, tlb_request, link) {
		json_array_append_new(
			list, json_pack("{s:s,s:s,s:s,s:s,s:s,s:I,s:i}", "id", r->id, "account",
					r->account, "model", r->completion.model, "step",
					step_names[r->step], "class",
					r->completion.class == TLB_BATCH ? "batch" : "interactive",
					"age_ms", (json_int_t)((now - r->arrived) / TLB_MS),
					"tokens", r->next_index));
	}
	return list;
}

/* --- end of a request --- */

static void count_wasted_prefill(struct tlb_request *r)
{
	if (r->prefill_done)
		tlb_counter_add(&r->board->counters, TLB_COUNTER_PREFILL_WASTED_TOKENS,
				r->prompt_tokens);
	r->prefill_done = false;
}

/* Ends the current attempt at its engines and releases the booking. cancel: the engines may still
 * be processing it, so cancellations are sent to them. */
static void release_engines(struct tlb_request *r, bool cancel)
{
	bool decode_involved = r->step == STEP_IMPORT || r->step == STEP_DECODE;

	tlb_http_cancel(&r->call);
	tlb_timer_clear(r->board->loop, &r->token_timer);
	tlb_sse_finish(&r->sse);
	if (cancel && r->prefill && (r->step == STEP_PREFILL || r->step == STEP_IMPORT))
		tlb_booking_cancel(&r->board->bookings, r->prefill, r->engine_request_id);
	if (r->prefill && r->step == STEP_PREFILL)
		r->prefill->in_flight--;
	tlb_booking_release(&r->booking, cancel && decode_involved);
	/* The next attempt gets a new id, which a delayed cancellation of this one can't match. */
	r->engine_request_id[0] = '\0';
	count_wasted_prefill(r);
}

static void end_request(struct tlb_request *r, bool cancel)
{
	release_engines(r, cancel);
	tlb_pool_remove(&r->wait);
	if (r->reservation.state == TLB_RESERVATION_GRANTED && r->dispatched)
		tlb_limit_reconcile(&r->reservation, r->reservation.tokens, r->next_index);
	tlb_limit_release(&r->reservation);
	tlb_counter_add(&r->board->counters, TLB_COUNTER_IN_FLIGHT, -1);
	tlb_completion_finish(&r->completion);
	APR_RING_REMOVE(r, link);
	tlb_pools_schedule(&r->board->pools);
	tlb_buffer_finish(&r->text);
	free(r);
}

static void log_end(const struct tlb_request *r, const char *result, const char *code)
{
	tlb_time now = tlb_clock_now();

	tlb_log_info("event=end request=%s account=%s result=%s code=%s step=%s prefill=%s "
		     "decode=%s attempts=%d prompt_tokens=%d output_tokens=%d ttft_ms=%lld "
		     "total_ms=%lld",
		     r->id, r->account, result, code, step_names[r->step],
		     r->prefill ? r->prefill->id : "-", r->decode ? r->decode->id : "-", r->attempt,
		     r->prompt_tokens, r->next_index,
		     r->first_token_at ? (long long)((r->first_token_at - r->arrived) / TLB_MS)
				       : -1,
		     (long long)((now - r->arrived) / TLB_MS));
}

static void stream_error(struct tlb_request *r, const struct tlb_error *err)
{
	char *event = tlb_completion_error_event(r->id, err);

	if (event)
		tlb_exchange_stream_write(r->exchange, event, strlen(event));
	free(event);
	tlb_exchange_stream_end(r->exchange, false);
}

static void fail(struct tlb_request *r, struct tlb_error *err, tlb_time retry_after)
{
	int retry_s = retry_after > 0 && retry_after < TLB_NEVER
			      ? (int)((retry_after + TLB_SECOND - 1) / TLB_SECOND)
			      : 0;

	err->outcome = r->dispatched ? TLB_OUTCOME_UNKNOWN : TLB_OUTCOME_NOT_RUN;
	log_end(r, "refused", tlb_error_name(err->code));
	tlb_counter_add(&r->board->counters,
			r->dispatched ? TLB_COUNTER_FAILED_UNKNOWN : TLB_COUNTER_REFUSED_NOT_RUN,
			1);
	if (r->exchange && r->exchange->state == TLB_EXCHANGE_STREAMING)
		stream_error(r, err);
	else if (r->exchange)
		tlb_exchange_refuse(r->exchange, err, retry_s);
	r->exchange = NULL;
	end_request(r, true);
}

static void fail_with(struct tlb_request *r, enum tlb_code code, const char *peer,
		      const char *message)
{
	struct tlb_error err;

	tlb_error_set(&err, code, TLB_OUTCOME_NOT_RUN, step_names[r->step], peer, "%s", message);
	fail(r, &err, TLB_SECOND);
}

static void on_disconnect(void *arg)
{
	struct tlb_request *r = arg;

	r->exchange = NULL;
	log_end(r, "caller_gone", "-");
	tlb_counter_add(&r->board->counters, TLB_COUNTER_CALLER_DISCONNECTED, 1);
	end_request(r, true);
}

void tlb_requests_finish(struct tlb_requests *q)
{
	struct tlb_request *r;

	while (!APR_RING_EMPTY(&q->requests, tlb_request, link)) {
		r = APR_RING_FIRST(&q->requests);
		fail_with(r, TLB_DRAINING, "", "this VM is shutting down");
	}
}

void tlb_requests_sync(struct tlb_requests *q)
{
	struct tlb_request *r;
	struct tlb_request *next;
	const struct tlb_key *k;

	APR_RING_FOREACH_SAFE (r, next, &q->requests, tlb_request, link) {
		k = tlb_table_find_key(q->board->table, r->key_hash);
		if (!k || k->withdrawn || strcmp(k->account, r->account) != 0)
			fail_with(r, TLB_INVALID_KEY, "", "the key was withdrawn");
	}
}

/* --- queue --- */

static struct tlb_request *request_of(struct tlb_waiter *w)
{
	return (struct tlb_request *)((char *)w - offsetof(struct tlb_request, wait));
}

/* The caller's deadline, converted from wall time to the monotonic clock; TLB_NEVER for none. */
static tlb_time caller_deadline(const struct tlb_request *r)
{
	if (!r->completion.deadline_ms)
		return TLB_NEVER;
	return tlb_clock_now() + (r->completion.deadline_ms - tlb_clock_wall_ms()) * TLB_MS;
}

static tlb_time min_time(tlb_time a, tlb_time b)
{
	return a < b ? a : b;
}

/* Whether a decode endpoint of the request's pool has no booking table owner, or had none until a
 * short time ago. */
static bool has_lost_owner(const struct tlb_request *r)
{
	const struct tlb_target *t;
	tlb_time now = tlb_clock_now();

	if (!r->board->cluster)
		return false;
	APR_RING_FOREACH (t, &r->board->load.targets, tlb_target, link) {
		if (t->role == TLB_ROLE_DECODE && strcmp(t->pool, r->pool) == 0 &&
		    (now < t->takeover_until ||
		     tlb_cluster_owner_unreachable(r->board->cluster, t->id)))
			return true;
	}
	return false;
}

/* Queues an expired interactive request again while another VM takes over a booking table of its
 * pool: that endpoint can't be booked until then, but can afterwards. Returns false when the
 * request has no reason or no time to wait. */
static bool await_takeover(struct tlb_request *r)
{
	tlb_time now = tlb_clock_now();

	if (r->completion.class != TLB_INTERACTIVE || now >= r->takeover_deadline ||
	    now >= caller_deadline(r) || !has_lost_owner(r))
		return false;
	tlb_log_info("event=takeover_awaited request=%s pool=%s left_ms=%lld", r->id, r->pool,
		     (long long)((r->takeover_deadline - now) / TLB_MS));
	r->wait.item.expires_at =
		min_time(now + TAKEOVER_POLL, min_time(r->takeover_deadline, caller_deadline(r)));
	tlb_pool_push(&r->board->pools, r->pool, r->account, &r->wait);
	return true;
}

static void on_expire(struct tlb_waiter *w)
{
	struct tlb_request *r = request_of(w);

	if (await_takeover(r))
		return;
	if (r->completion.deadline_ms && tlb_clock_wall_ms() >= r->completion.deadline_ms)
		fail_with(r, TLB_EXPIRED, "", "the request's deadline has passed");
	else if (r->dispatched)
		fail_with(r, TLB_ENDPOINT_FAILED, "",
			  "an engine failed and no other had a place in time");
	else
		fail_with(r, TLB_OVERLOADED, "", "no engine had a place in time");
}

static void on_start(struct tlb_waiter *w)
{
	struct tlb_request *r = request_of(w);

	select_decode(r);
}

static int blocks_needed(const struct tlb_request *r)
{
	return (r->prompt_tokens + r->max_tokens + r->block_tokens - 1) / r->block_tokens;
}

/* When the request may preempt batch requests. Preemption reduces refusals and helps the
 * worst-served account, but wastes prefill work and, in overload, goodput (docs/POLICY.md); the
 * configured weights decide whether it is worth its cost. */
static tlb_time preempt_at(const struct tlb_request *r)
{
	const struct tlb_settings *s = r->board->settings;
	bool worthwhile =
		s->worst_weight + s->refusal_weight >= s->goodput_weight + s->waste_weight;

	if (!worthwhile || r->completion.class != TLB_INTERACTIVE)
		return TLB_NEVER;
	return tlb_clock_now() + PREEMPT_AFTER;
}

static void enqueue(struct tlb_request *r, tlb_time wait_until)
{
	r->step = STEP_QUEUE;
	r->wait.blocks = blocks_needed(r);
	r->wait.on_start = on_start;
	r->wait.on_expire = on_expire;
	r->wait.claim_at =
		r->completion.class == TLB_INTERACTIVE ? tlb_clock_now() + CLAIM_AFTER : TLB_NEVER;
	r->wait.preempt_at = preempt_at(r);
	r->preempt_target = NULL;
	r->wait.item.class = r->completion.class;
	r->wait.item.tokens = r->prompt_tokens + r->max_tokens;
	r->wait.item.latest_start = TLB_NEVER;
	r->wait.item.expires_at = min_time(wait_until, caller_deadline(r));
	r->takeover_deadline = wait_until == TLB_NEVER ? TLB_NEVER : wait_until + TAKEOVER_WAIT_MAX;
	if (r->completion.class == TLB_BATCH && r->completion.deadline_ms)
		r->wait.item.latest_start =
			caller_deadline(r) - BATCH_URGENT -
			r->max_tokens * r->board->settings->token_gap_target_ms * TLB_MS;
	tlb_pool_push(&r->board->pools, r->pool, r->account, &r->wait);
}

/* Queues the request for another attempt after an engine failed. The next attempt continues after
 * the tokens that were already sent to the caller. */
static void retry(struct tlb_request *r, const char *peer, const char *why)
{
	tlb_log_warn(
		"event=retry request=%s step=%s endpoint=%s attempt=%d tokens=%d reason=\"%s\"",
		r->id, step_names[r->step], peer, r->attempt, r->next_index, why);
	release_engines(r, true);
	if (r->attempt - r->preemptions >= ATTEMPTS_MAX) {
		fail_with(r, TLB_ENDPOINT_FAILED, peer, "engines failed repeatedly");
		return;
	}
	if (r->next_index > 0)
		tlb_counter_add(&r->board->counters, TLB_COUNTER_RESUMES, 1);
	enqueue(r, tlb_clock_now() + RESUME_WAIT_MAX);
}

/* --- endpoint selection --- */

static bool was_tried(const struct tried *t, const struct tlb_target *target)
{
	int i;

	for (i = 0; i < t->count; i++)
		if (t->target[i] == target)
			return true;
	return false;
}

static void add_tried(struct tried *t, const struct tlb_target *target)
{
	if (t->count < TRIED_MAX)
		t->target[t->count++] = target;
}

struct candidates {
	struct tlb_candidate list[CANDIDATES_MAX];
	struct tlb_target *target[CANDIDATES_MAX];
	int count;
};

static void collect_candidates(const struct tlb_request *r, enum tlb_role role,
			       const struct tried *tried, tlb_time now, struct candidates *c)
{
	struct tlb_target *t;
	struct tlb_candidate *k;
	char vm[TLB_ID_LEN];

	c->count = 0;
	APR_RING_FOREACH (t, &r->board->load.targets, tlb_target, link) {
		if (t->role != role || strcmp(t->pool, r->pool) != 0 || c->count == CANDIDATES_MAX)
			continue;
		k = &c->list[c->count];
		tlb_load_candidate(t, now, k);
		k->tried = was_tried(tried, t);
		if (role == TLB_ROLE_DECODE &&
		    tlb_board_owner(r->board, t->id, vm) == TLB_OWNER_SELF) {
			k->free_exact = true;
			k->free_blocks = tlb_booking_table_free_blocks(&t->bookings);
			k->local_blocks = 0;
		}
		if (role == TLB_ROLE_PREFILL)
			k->cached_tokens = tlb_completion_estimate_tokens(
				tlb_load_cached_bytes(t, &r->prefix));
		c->target[c->count++] = t;
	}
}

static void log_selection(const struct tlb_request *r, const char *what,
			  const struct tlb_selection *pl, const struct candidates *c)
{
	char line[400];

	tlb_selection_describe(pl, c->list, line, sizeof(line));
	tlb_log_info("event=%s request=%s account=%s attempt=%d %s", what, r->id, r->account,
		     r->attempt, line);
}

static struct tlb_selection_input selection_request(const struct tlb_request *r)
{
	struct tlb_selection_input p = {
		.prompt_tokens = r->prompt_tokens + r->next_index,
		.blocks = blocks_needed(r),
		.class = r->completion.class,
		.now = tlb_clock_now(),
	};

	return p;
}

static void format_engine_request_id(const struct tlb_request *r, char *out)
{
	snprintf(out, TLB_REQUEST_ID_LEN, "%.48s.%d", r->id, r->attempt);
}

static void select_prefill(struct tlb_request *r);

static void on_booking_done(void *arg, enum tlb_booking_result result, bool unreachable)
{
	struct tlb_request *r = arg;

	if (result == TLB_BOOKING_OK) {
		select_prefill(r);
		return;
	}
	r->preempt_target = NULL;
	if (unreachable)
		r->decode->takeover_until = tlb_clock_now() + TAKEOVER_SETTLE_TIME;
	if (result == TLB_BOOKING_PREEMPTING) {
		r->preempt_target = r->decode;
		r->step = STEP_QUEUE;
		tlb_pool_requeue_soon(&r->board->pools, r->pool, r->account, &r->wait);
		return;
	}
	tlb_log_debug("event=hold_refused request=%s endpoint=%s result=%s unreachable=%d", r->id,
		      r->decode->id, tlb_booking_result_name(result), unreachable);
	add_tried(&r->tried_decode, r->decode);
	select_decode(r);
}

/* Stops the stream and queues the request again; a later attempt continues at its next token. */
static void preempt_request(struct tlb_request *r)
{
	int wait_ms = r->board->settings->batch_wait_ms;

	tlb_log_info("event=preempted request=%s account=%s endpoint=%s tokens=%d preemptions=%d",
		     r->id, r->account, r->decode->id, r->next_index, r->preemptions + 1);
	tlb_counter_add(&r->board->counters, TLB_COUNTER_PREEMPTED, 1);
	tlb_counter_add(&r->board->counters, TLB_COUNTER_RESUMES, 1);
	tlb_counter_add(&r->board->counters, TLB_COUNTER_PREFILL_WASTED_TOKENS,
			r->prompt_tokens + r->next_index);
	release_engines(r, true);
	r->preemptions++;
	enqueue(r, r->completion.deadline_ms ? TLB_NEVER : tlb_clock_now() + wait_ms * TLB_MS);
}

/* The owner of the booking table asks to preempt this request. It continues instead while it has
 * produced no token (its prefill would be wasted), when it has become urgent, or when it was
 * preempted PREEMPTIONS_MAX times. */
static void on_preempt(void *arg)
{
	struct tlb_request *r = arg;

	if (r->step == STEP_DECODE && r->next_index > 0 && !r->engine_done &&
	    r->preemptions < PREEMPTIONS_MAX && r->wait.item.latest_start > tlb_clock_now())
		preempt_request(r);
}

static bool may_claim(const struct tlb_request *r, const struct tlb_candidate *k, tlb_time now)
{
	return now >= r->wait.claim_at && k->usable && !k->tried && k->ejected_until <= now &&
	       blocks_needed(r) * CLAIM_SHARE >= k->total_blocks;
}

/* Index of the endpoint with the most free KV blocks at which the request may claim; -1: none. */
static int select_claim(const struct tlb_request *r, const struct candidates *c, tlb_time now)
{
	int best = -1;
	int i;

	for (i = 0; i < c->count; i++) {
		if (!may_claim(r, &c->list[i], now))
			continue;
		if (best < 0 || c->list[i].free_blocks > c->list[best].free_blocks)
			best = i;
	}
	return best;
}

/* Index of the endpoint that should preempt batch requests: the one that does so already for this
 * request, or else the untried one with the most free KV blocks; -1: none. */
static int select_preempt(const struct tlb_request *r, const struct candidates *c, tlb_time now)
{
	int best = -1;
	int i;

	if (now < r->wait.preempt_at)
		return -1;
	for (i = 0; i < c->count; i++) {
		const struct tlb_candidate *k = &c->list[i];

		if (!k->usable || k->tried || k->ejected_until > now)
			continue;
		if (c->target[i] == r->preempt_target)
			return i;
		if (best < 0 || k->free_blocks > c->list[best].free_blocks)
			best = i;
	}
	return best;
}

static tlb_time urgent_at(const struct tlb_request *r)
{
	bool preemptible = r->completion.class == TLB_BATCH && r->preemptions < PREEMPTIONS_MAX;

	return preemptible ? r->wait.item.latest_start : 0;
}

/* Selects a full endpoint at which to claim or preempt and sets which in spec; -1: none. */
static int select_full(const struct tlb_request *r, const struct candidates *c,
		       struct tlb_booking_spec *spec)
{
	tlb_time now = tlb_clock_now();
	int preempt = select_preempt(r, c, now);
	int claim = select_claim(r, c, now);

	spec->preempt = preempt >= 0;
	spec->claim = claim >= 0;
	return preempt >= 0 ? preempt : claim;
}

static void book_decode(struct tlb_request *r, struct tlb_booking_spec *spec)
{
	spec->request_id = r->engine_request_id;
	spec->blocks = blocks_needed(r);
	spec->class = r->completion.class;
	spec->preemptible_until = urgent_at(r);
	spec->resume_tokens = r->prompt_tokens + r->next_index;
	spec->deadline = tlb_clock_now() + BOOKING_TIMEOUT;
	spec->on_done = on_booking_done;
	spec->on_preempt = on_preempt;
	spec->arg = r;
	r->step = STEP_HOLD;
	tlb_booking_request(&r->board->bookings, &r->booking, r->decode, spec);
}

static void begin_attempt(struct tlb_request *r)
{
	if (r->engine_request_id[0])
		return;
	r->attempt++;
	format_engine_request_id(r, r->engine_request_id);
}

static void select_decode(struct tlb_request *r)
{
	static struct candidates c;
	struct tlb_selection_input p = selection_request(r);
	struct tlb_selection pl;
	struct tlb_booking_spec spec = {0};

	collect_candidates(r, TLB_ROLE_DECODE, &r->tried_decode, p.now, &c);
	pl = tlb_select_decode(&r->board->place, &p, c.list, c.count);
	if (pl.selected < 0 || r->preempt_target)
		pl.selected = select_full(r, &c, &spec);
	if (pl.selected < 0) {
		/* Every endpoint refused or failed; the next selection may try each again. */
		r->tried_decode.count = 0;
		r->step = STEP_QUEUE;
		tlb_pool_requeue(&r->board->pools, r->pool, r->account, &r->wait);
		return;
	}
	begin_attempt(r);
	r->decode = c.target[pl.selected];
	log_selection(r, spec.claim || spec.preempt ? "claim_decode" : "place_decode", &pl, &c);
	book_decode(r, &spec);
}

/* --- prefill --- */

static struct tlb_engine_attempt engine_job(const struct tlb_request *r)
{
	struct tlb_engine_attempt j = {
		.request_id = r->engine_request_id,
		.owner = r->board->owner,
		.class = r->completion.class,
		.max_tokens = r->max_tokens,
		.generated_tokens = r->next_index,
		.generated = r->text.data,
	};

	return j;
}

/* Sends the POST of the current step to an engine. Takes ownership of the malloc'd body. */
static void call_engine(struct tlb_request *r, const struct tlb_target *t, const char *path,
			char *body, struct tlb_http_spec *spec)
{
	char url[TLB_ADDR_LEN + 32];

	snprintf(url, sizeof(url), "http://%s%s", t->addr, path);
	spec->method = "POST";
	spec->url = url;
	spec->body = body;
	spec->body_len = body ? strlen(body) : 0;
	spec->dedicated_connection = true;
	spec->arg = r;
	r->call_began = tlb_clock_now();
	tlb_http_start(r->board->http, &r->call, spec);
	free(body);
}

static void start_import(struct tlb_request *r);

static void on_prefill(void *arg, const struct tlb_http_result *res)
{
	struct tlb_request *r = arg;
	tlb_time elapsed = tlb_clock_now() - r->call_began;
	bool ok = res->status == 200 && tlb_engine_read_prefill(res->body, res->body_len, r->kv_id);

	r->prefill->in_flight--;
	tlb_load_record_outcome(r->prefill, ok, elapsed);
	if (ok) {
		r->prefill_done = true;
		start_import(r);
		return;
	}
	tlb_log_warn("event=prefill_failed request=%s endpoint=%s status=%d reason=\"%s\"", r->id,
		     r->prefill->id, res->status, res->reason);
	if (res->sent)
		tlb_booking_cancel(&r->board->bookings, r->prefill, r->engine_request_id);
	add_tried(&r->tried_prefill, r->prefill);
	select_prefill(r);
}

static void start_prefill(struct tlb_request *r)
{
	struct tlb_engine_attempt job = engine_job(r);
	struct tlb_http_spec spec = {
		.deadline = tlb_clock_now() + PREFILL_BASE + r->prompt_tokens * PREFILL_PER_TOKEN,
		.on_done = on_prefill,
	};

	r->step = STEP_PREFILL;
	if (!r->dispatched)
		tlb_limit_reconcile(&r->reservation, r->prompt_tokens, r->prompt_tokens);
	r->dispatched = true;
	tlb_load_record_dispatch(r->prefill, r->prompt_tokens, &r->prefix);
	r->prefill->in_flight++;
	tlb_counter_add(&r->board->counters, TLB_COUNTER_PREFILLS, 1);
	call_engine(r, r->prefill, "/prefill",
		    tlb_engine_prefill_body(&job, r->completion.model, r->completion.prompt),
		    &spec);
}

static void select_prefill(struct tlb_request *r)
{
	static struct candidates c;
	struct tlb_selection_input p = selection_request(r);
	struct tlb_candidate decode;
	struct tlb_selection pl;

	/* The session lease may have expired while the booking was pending. */
	if (!tlb_board_session_valid(r->board)) {
		r->prefill = NULL;
		fail_with(r, TLB_NOT_READY, "", "this VM has lost contact with the fleet");
		return;
	}
	collect_candidates(r, TLB_ROLE_PREFILL, &r->tried_prefill, p.now, &c);
	tlb_load_candidate(r->decode, p.now, &decode);
	pl = tlb_select_prefill(&r->board->place, &p, &decode, c.list, c.count);
	if (pl.selected < 0) {
		r->prefill = NULL;
		r->tried_prefill.count = 0;
		retry(r, "", "no prefill engine is usable");
		return;
	}
	r->prefill = c.target[pl.selected];
	log_selection(r, "place_prefill", &pl, &c);
	start_prefill(r);
}

/* --- KV transfer --- */

static void on_import(void *arg, const struct tlb_http_result *res)
{
	struct tlb_request *r = arg;

	if (res->status == 200) {
		start_decode(r);
		return;
	}
	tlb_log_warn("event=import_failed request=%s prefill=%s decode=%s status=%d reason=\"%s\"",
		     r->id, r->prefill->id, r->decode->id, res->status, res->reason);
	if (res->status == 410) {
		/* The prefill engine evicted the KV cache before it was fetched. The booking stays;
		 * the prompt is computed again. */
		count_wasted_prefill(r);
		r->step = STEP_HOLD;
		if (r->attempt++ < ATTEMPTS_MAX) {
			select_prefill(r);
			return;
		}
	}
	if (res->status != 507)
		tlb_load_record_outcome(r->decode, false, 0);
	add_tried(&r->tried_decode, r->decode);
	retry(r, r->decode->id, "the KV transfer failed");
}

static void start_import(struct tlb_request *r)
{
	struct tlb_engine_attempt job = engine_job(r);
	struct tlb_http_spec spec = {
		.deadline = tlb_clock_now() + IMPORT_BASE + r->prompt_tokens * IMPORT_PER_TOKEN,
		.on_done = on_import,
	};

	r->step = STEP_IMPORT;
	call_engine(r, r->decode, "/kv/import",
		    tlb_engine_import_body(&job, r->kv_id, r->prefill->addr), &spec);
}

/* --- decode --- */

static bool send_token(struct tlb_request *r, const char *token)
{
	char *event;
	bool ok;

	if (!r->completion.stream)
		return true;
	if (r->exchange->state != TLB_EXCHANGE_STREAMING)
		tlb_exchange_stream_begin(r->exchange);
	event = tlb_completion_event(&r->completion, r->id, token, NULL);
	ok = event && tlb_exchange_stream_write(r->exchange, event, strlen(event));
	free(event);
	return ok;
}

static void record_token_time(struct tlb_request *r)
{
	tlb_time now = tlb_clock_now();
	tlb_time gap = now - r->last_token_at;

	if (!r->first_token_at)
		r->first_token_at = now;
	else if (r->last_token_at)
		r->decode->token_gap_us += (gap - r->decode->token_gap_us) / 16;
	r->last_token_at = now;
	tlb_timer_set(r->board->loop, &r->token_timer, now + TOKEN_TIMEOUT);
}

static bool accept_token(struct tlb_request *r, int index, const char *token)
{
	/* Only the next index is accepted, so that no token is lost or duplicated. */
	if (index != r->next_index)
		return index < r->next_index;
	if (!tlb_buffer_append(&r->text, token, strlen(token), RESPONSE_TEXT_MAX) ||
	    !send_token(r, token))
		return false;
	r->next_index++;
	r->prefill_done = false;
	tlb_counter_add(&r->board->counters, TLB_COUNTER_TOKENS_OUT, 1);
	record_token_time(r);
	return true;
}

static bool accept_done(struct tlb_request *r, int count, const char *reason)
{
	if (count != r->next_index)
		return false;
	r->engine_done = true;
	strcpy(r->finish_reason, reason);
	return true;
}

static bool on_event(void *arg, const char *data, size_t len)
{
	struct tlb_request *r = arg;
	struct tlb_engine_event e;

	tlb_engine_read_event(data, len, &e);
	switch (e.kind) {
	case TLB_ENGINE_TOKEN:
		return accept_token(r, e.token.index, e.token.text);
	case TLB_ENGINE_DONE:
		return accept_done(r, e.done.count, e.done.reason);
	case TLB_ENGINE_INVALID:
		break;
	}
	return false;
}

static bool on_decode_data(void *arg, const char *data, size_t len)
{
	struct tlb_request *r = arg;

	return tlb_sse_feed(&r->sse, data, len, on_event, r);
}

static void send_stream_end(struct tlb_request *r)
{
	static const char done_event[] = "data: [DONE]\n\n";
	char *event = tlb_completion_event(&r->completion, r->id, "", r->finish_reason);
	bool ok;

	if (r->exchange->state != TLB_EXCHANGE_STREAMING)
		tlb_exchange_stream_begin(r->exchange);
	ok = event && tlb_exchange_stream_write(r->exchange, event, strlen(event)) &&
	     tlb_exchange_stream_write(r->exchange, done_event, sizeof(done_event) - 1);
	free(event);
	tlb_exchange_stream_end(r->exchange, ok);
}

static void send_response(struct tlb_request *r)
{
	char *body =
		tlb_completion_response(&r->completion, r->id, r->text.data ? r->text.data : "",
					r->finish_reason, r->prompt_tokens, r->next_index);

	if (!body)
		body = strdup("{}");
	tlb_exchange_reply(r->exchange, 200, "application/json", body, strlen(body));
}

/* Endpoints are compared by their time per token, because streams differ in length. */
static tlb_time stream_time_per_token(const struct tlb_request *r)
{
	int tokens = r->next_index - r->first_index;

	return (tlb_clock_now() - r->call_began) / (tokens > 0 ? tokens : 1);
}

static void complete_request(struct tlb_request *r)
{
	tlb_load_record_outcome(r->decode, true, stream_time_per_token(r));
	tlb_counter_add(&r->board->counters, TLB_COUNTER_ANSWERED, 1);
	log_end(r, "answered", "ok");
	if (r->completion.stream)
		send_stream_end(r);
	else
		send_response(r);
	r->exchange = NULL;
	end_request(r, false);
}

static void decode_failed(struct tlb_request *r, const char *why)
{
	tlb_load_record_outcome(r->decode, false, 0);
	add_tried(&r->tried_decode, r->decode);
	retry(r, r->decode->id, why);
}

static void on_decode_done(void *arg, const struct tlb_http_result *res)
{
	struct tlb_request *r = arg;

	if (r->engine_done && res->status == 200) {
		complete_request(r);
		return;
	}
	/* A large backlog means that the caller, not the engine, is the cause: it does not read its
	 * stream and is treated as disconnected. */
	if (r->exchange && r->exchange->state == TLB_EXCHANGE_STREAMING &&
	    tlb_exchange_backlog(r->exchange) > TLB_STREAM_BACKLOG_MAX / 2) {
		fail_with(r, TLB_TIMEOUT, "", "the caller does not read its stream");
		return;
	}
	decode_failed(r, res->reason[0] ? res->reason
					: "the decode stream ended without its end event");
}

static void on_token_timeout(void *arg)
{
	struct tlb_request *r = arg;

	tlb_http_cancel(&r->call);
	decode_failed(r, "no token for 2 s");
}

static void start_decode(struct tlb_request *r)
{
	struct tlb_engine_attempt job = engine_job(r);
	tlb_time now = tlb_clock_now();
	struct tlb_http_spec spec = {
		.deadline = now + DECODE_TIMEOUT,
		.on_data = on_decode_data,
		.on_done = on_decode_done,
	};

	r->step = STEP_DECODE;
	r->last_token_at = 0;
	r->first_index = r->next_index;
	tlb_timer_set(r->board->loop, &r->token_timer, now + TOKEN_TIMEOUT);
	call_engine(r, r->decode, "/decode", tlb_engine_decode_body(&job), &spec);
}

/* --- start --- */

static void on_reserved(void *arg, bool granted, tlb_time retry_after, const struct tlb_error *e)
{
	struct tlb_request *r = arg;
	const struct tlb_settings *s = r->board->settings;
	struct tlb_error err = *e;
	int wait_ms = r->completion.class == TLB_BATCH ? s->batch_wait_ms : s->interactive_wait_ms;

	if (!granted) {
		fail(r, &err, retry_after);
		return;
	}
	enqueue(r, r->completion.deadline_ms && r->completion.class == TLB_BATCH
			   ? TLB_NEVER
			   : tlb_clock_now() + wait_ms * TLB_MS);
}

/* Checks the request against the limits of its model and sets the fields that depend on them. */
static enum tlb_code apply_model(struct tlb_request *r, struct tlb_error *err)
{
	const struct tlb_model *m = tlb_table_find_model(r->board->table, r->completion.model);

	if (!m)
		return tlb_error_set(err, TLB_UNKNOWN_MODEL, TLB_OUTCOME_NOT_RUN, "parse", "",
				     "there is no model \"%s\"", r->completion.model);
	r->prompt_tokens = tlb_completion_estimate_tokens(r->completion.prompt_len);
	if (r->prompt_tokens > m->max_prompt)
		return tlb_error_set(err, TLB_TOO_LARGE, TLB_OUTCOME_NOT_RUN, "parse", "",
				     "the prompt has about %d tokens; the model takes %d",
				     r->prompt_tokens, m->max_prompt);
	r->max_tokens = r->completion.max_tokens;
	if (r->max_tokens == 0 || r->max_tokens > m->max_output)
		r->max_tokens = m->max_output;
	r->block_tokens = m->block_tokens;
	strcpy(r->pool, m->pool);
	if (r->completion.deadline_ms && r->completion.deadline_ms <= tlb_clock_wall_ms())
		return tlb_error_set(err, TLB_EXPIRED, TLB_OUTCOME_NOT_RUN, "parse", "",
				     "the request's deadline has passed");
	return TLB_OK;
}

static struct tlb_request *request_new(struct tlb_requests *q, struct tlb_exchange *x,
				       const char *account)
{
	struct tlb_request *r = calloc(1, sizeof(*r));

	if (!r)
		return NULL;
	r->board = q->board;
	r->exchange = x;
	r->arrived = x->arrived;
	snprintf(r->id, sizeof(r->id), "%s", x->id);
	snprintf(r->account, sizeof(r->account), "%s", account);
	memcpy(r->key_hash, x->key_hash, sizeof(r->key_hash));
	tlb_timer_init(&r->token_timer, on_token_timeout, r);
	return r;
}

static enum tlb_code parse(struct tlb_request *r, bool chat, struct tlb_error *err)
{
	if (tlb_completion_parse(&r->completion, r->exchange->body.data, r->exchange->body.len,
				 chat, err) != TLB_OK)
		return err->code;
	return apply_model(r, err);
}

void tlb_request_start(struct tlb_requests *q, struct tlb_exchange *x, const char *account,
		       bool chat)
{
	struct tlb_request *r = request_new(q, x, account);
	struct tlb_error err;
	int wait_ms;

	if (!r || parse(r, chat, &err) != TLB_OK) {
		if (!r)
			tlb_error_set(&err, TLB_INTERNAL, TLB_OUTCOME_NOT_RUN, "parse", "",
				      "no memory");
		else
			tlb_completion_finish(&r->completion);
		free(r);
		tlb_ingress_refuse(q->board, x, account, &err);
		return;
	}
	x->on_disconnect = on_disconnect;
	x->arg = r;
	tlb_prefix_hash(&r->prefix, r->completion.prompt, r->completion.prompt_len);
	APR_RING_INSERT_TAIL(&q->requests, r, tlb_request, link);
	tlb_counter_add(&q->board->counters, TLB_COUNTER_IN_FLIGHT, 1);
	wait_ms = r->completion.class == TLB_BATCH ? q->board->settings->batch_wait_ms
						   : q->board->settings->interactive_wait_ms;
	r->step = STEP_RESERVE;
	tlb_limit_reserve(
		&q->board->limit, &r->reservation, account, r->id, r->prompt_tokens + r->max_tokens,
		min_time(r->arrived + wait_ms * TLB_MS, caller_deadline(r)), on_reserved, r);
}
