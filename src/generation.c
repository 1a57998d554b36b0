#include "generation.h"

#include <stdlib.h>
#include <string.h>

#include "edgeboard.h"
#include "log.h"
#include "platform.h"
#include "release.h"

/* Prefills at once with which a VM starts, and the most it ever has under way. */
#define WINDOW_FIRST 4
#define WINDOW_MOST 64
/* Share of the first-event target that a prefill may take before the window shrinks; the rest is
 * for the queue and the decode endpoint. */
#define WINDOW_TARGET_SHARE 0.5
/* Assumed time to the first event from dispatch until one was measured. */
#define PREFILL_FIRST (150 * TLB_MS)
#define PREFILL_SMOOTHING 0.1
/* A prefill that takes longer is given up. */
#define PREFILL_WAIT (2500 * TLB_MS)
/* A prefill endpoint that refused is left out for this long, while there are others. */
#define PREFILL_REFUSED (300 * TLB_MS)
/* Silence after which a stream goes on elsewhere: before its first event, when the endpoint also
 * prefills, and between events. All lie above what a preempted request waits. */
#define FIRST_EVENT_WAIT (1500 * TLB_MS)
#define FIRST_EVENT_WAIT_PREFILL (2500 * TLB_MS)
#define NEXT_EVENT_WAIT (1000 * TLB_MS)
/* A KV cache is not offered any more this long before it lapses. */
#define HANDLE_MARGIN (60 * TLB_MS)
/* Life of a KV cache that the configuration states none for. */
#define HANDLE_LIFE (500 * TLB_MS)
/* What a caller is told to wait when the queue outlasts its deadline. */
#define HOPELESS_WAIT (4 * TLB_SECOND)
/* A caller that comes back is late already; its last try waits this long for what is left over. One
 * that is late on its first try is told to return at once: peaks last some seconds, and what it
 * would take now makes others late. */
#define LAST_TRY_WAIT (500 * TLB_MS)
/* A caller that gives less than this share of the longest time has spent the rest on earlier tries.
 * Callers' patience differs by less, and one that was told to return has spent more. */
#define FIRST_TRY_SHARE 0.8
/* Callers' estimates of their output are right at the median; the margin covers most of those that
 * are too low. */
#define ESTIMATE_MARGIN 1.8
/* The usual output is that of the last tens of requests. */
#define OUTPUT_SMOOTHING 0.05
#define EVENT_MAX (1 << 20)

/* How urgent a request is to an engine, 0 to 9; 5 is an engine's default. */
enum urgency { URGENCY_RESUMED = 3, URGENCY_ON_TIME = 4, URGENCY_LATE = 7 };

/* Priorities above this count as this: what follows it shares the last place. */
enum { PRIORITY_LAST = 2 };

static void begin(struct tlb_forward *f);
static void decode_at(struct tlb_forward *f, struct tlb_instance *i);
static void requeue(struct tlb_forward *f, tlb_time now);
static void pump(struct tlb_generation_pool *p);

/* --- KV caches --- */

/* The KV cache was taken, or is not needed any more. */
static void drop_handle(struct tlb_forward *f, bool taken)
{
	struct tlb_generation *g = &f->gen;
	char target[TLB_HANDLE_LEN + 32];

	if (!g->source)
		return;
	if (!taken && tlb_clock_now() < g->handle_deadline) {
		tlb_platform_free_target(target, sizeof(target), g->handle);
		tlb_release_send(f->board->http, g->source, target);
	}
	tlb_instance_release(g->source);
	g->source = NULL;
	g->handle[0] = '\0';
}

static void keep_handle(struct tlb_forward *f, struct tlb_instance *i, const char *handle)
{
	tlb_time life = f->info && f->info->handle_life_ms > 0 ? f->info->handle_life_ms * TLB_MS
							       : HANDLE_LIFE;

	drop_handle(f, false);
	tlb_instance_hold(i);
	f->gen.source = i;
	snprintf(f->gen.handle, sizeof(f->gen.handle), "%s", handle);
	f->gen.handle_deadline = tlb_clock_now() + life - HANDLE_MARGIN;
}

/* --- the window --- */

/* The prefill of the request has ended; took 0: without a result. */
static void leave_window(struct tlb_forward *f, tlb_time took)
{
	struct tlb_generation *g = &f->gen;

	if (!g->in_window)
		return;
	g->in_window = false;
	tlb_window_give(&g->pool->window, took, tlb_clock_now());
}

static void end_prefill(struct tlb_forward *f, struct tlb_instance *i, bool ok)
{
	tlb_time now = tlb_clock_now();
	tlb_time took = now - f->gen.dispatched_at;

	if (f->gen.prefill_tokens == 0)
		return;
	i->prefill_in_flight -= f->gen.prefill_tokens;
	if (ok) {
		tlb_instance_note_prefill(i, f->gen.prefill_tokens, took, now);
		tlb_latency_note(&f->board->latencies, TLB_LATENCY_PREFILL, took);
		f->gen.pool->prefill_us +=
			(int64_t)(PREFILL_SMOOTHING * (double)(took - f->gen.pool->prefill_us));
	}
	f->gen.prefill_tokens = 0;
	leave_window(f, ok ? took : 0);
}

/* --- streams --- */

static void fail_stream(struct tlb_forward *f, const char *reason)
{
	struct tlb_exchange *x = f->exchange;

	if (!f->gen.streaming) {
		tlb_forward_fail(f, reason);
		return;
	}
	tlb_log_info("event=stream_cut request=%s attempt=%s last_event=%s reason=\"%s\"", x->id,
		     f->in.attempt_id, f->gen.last_event_id, reason);
	tlb_counter_add(&f->board->counters, TLB_COUNTER_FAILED_UNKNOWN, 1);
	tlb_forward_end(f, "cut", 0);
	tlb_exchange_stream_end(x, false);
}

static void finish_stream(struct tlb_forward *f)
{
	struct tlb_exchange *x = f->exchange;

	tlb_counter_add(&f->board->counters, TLB_COUNTER_ANSWERED, 1);
	tlb_forward_end(f, "answered", 200);
	tlb_exchange_stream_end(x, true);
}

/* Whether the stream can go on where it broke off: the endpoint is there and has the prompt in its
 * cache, so that nothing is prefilled again. Once only: what broke off twice is not sound. */
static bool can_go_on_at(const struct tlb_forward *f, const struct tlb_instance *i,
			 enum tlb_attempt_end end)
{
	tlb_time now = tlb_clock_now();

	return i && end == TLB_ATTEMPT_BROKEN && f->gen.streaming && !f->gen.went_on &&
	       tlb_instance_usable(i, now) && i->health.ejected_until <= now;
}

/* Another attempt after one at i that ended so, or the end of the request. */
static void try_again(struct tlb_forward *f, struct tlb_instance *i, enum tlb_attempt_end end,
		      const char *reason)
{
	struct tlb_generation_pool *p = f->gen.pool;

	f->gen.partial.len = 0;
	if (!tlb_forward_may_retry(f, end)) {
		fail_stream(f, reason);
		pump(p);
		return;
	}
	if (f->gen.streaming)
		tlb_counter_add(&f->board->counters, TLB_COUNTER_RESUMES, 1);
	if (can_go_on_at(f, i, end)) {
		f->gen.went_on = true;
		decode_at(f, i);
	} else {
		begin(f);
	}
	pump(p);
}

/* The attempt stopped without an end of its own. */
static void abandon_attempt(struct tlb_forward *f, const char *reason)
{
	struct tlb_http_result r = {.sent = true, .timed_out = true, .head = "", .body = ""};
	enum tlb_attempt_end end;

	snprintf(r.reason, sizeof(r.reason), "%s", reason);
	tlb_http_cancel(&f->call);
	end_prefill(f, f->on, false);
	end = tlb_forward_ended(f, &r);
	f->runs++;
	drop_handle(f, true);
	try_again(f, NULL, end, reason);
}

static void on_silence(void *arg)
{
	abandon_attempt(arg, "the endpoint's stream fell silent");
}

/* A stream that may not run twice is worth waiting for until the deadline. */
static void expect_event(struct tlb_forward *f, tlb_time wait)
{
	if (!tlb_forward_repeatable(f) || tlb_forward_endpoints(f) + 1 >= f->route->max_attempts)
		return;
	tlb_timer_set(f->board->loop, &f->timer, tlb_clock_now() + wait);
}

/* Length of the complete events at the start; an event ends with an empty line. */
static size_t complete_events(const struct tlb_buffer *b)
{
	size_t i;

	for (i = b->len; i >= 2; i--) {
		if (b->data[i - 1] != '\n')
			continue;
		if (b->data[i - 2] == '\n' ||
		    (i >= 4 && memcmp(b->data + i - 4, "\r\n\r\n", 4) == 0))
			return i;
	}
	return 0;
}

/* Remembers the id of the last event among complete ones. */
static void note_last_id(struct tlb_forward *f, const char *events, size_t len)
{
	const char *line = events;
	const char *end = events + len;
	const char *next;
	const char *value;

	for (; line < end; line = next + 1) {
		next = memchr(line, '\n', (size_t)(end - line));
		if (!next)
			return;
		if (next - line < 4 || strncmp(line, "id:", 3) != 0)
			continue;
		value = line + 3;
		value += *value == ' ';
		snprintf(f->gen.last_event_id, sizeof(f->gen.last_event_id), "%.*s",
			 (int)strcspn(value, "\r\n"), value);
	}
}

static void begin_response(struct tlb_forward *f)
{
	char *head;

	if (f->gen.streaming)
		return;
	head = tlb_platform_forwarded_head(tlb_http_head(&f->call));
	f->gen.streaming = true;
	tlb_latency_note(&f->board->latencies, TLB_LATENCY_FIRST_EVENT,
			 tlb_clock_now() - f->exchange->arrived);
	tlb_exchange_stream_forward(f->exchange, tlb_http_status(&f->call), head ? head : "");
	free(head);
}

static bool first_bytes_belong(struct tlb_forward *f)
{
	struct tlb_outcome_info info;

	tlb_platform_outcome(tlb_http_status(&f->call), tlb_http_head(&f->call), &info);
	return info.vouched && (!info.attempt_id[0] || !f->in.attempt_id[0] ||
				strcmp(info.attempt_id, f->in.attempt_id) == 0);
}

static bool on_stream_data(void *arg, const char *data, size_t len)
{
	struct tlb_forward *f = arg;
	struct tlb_buffer *b = &f->gen.partial;
	size_t n;

	if (!first_bytes_belong(f) || !tlb_buffer_append(b, data, len, EVENT_MAX))
		return false;
	if (f->gen.prefill_tokens > 0)
		end_prefill(f, f->on, true);
	drop_handle(f, true);
	expect_event(f, NEXT_EVENT_WAIT);
	n = complete_events(b);
	if (n == 0)
		return true;
	begin_response(f);
	note_last_id(f, b->data, n);
	if (!tlb_exchange_stream_write(f->exchange, b->data, n))
		return false;
	memmove(b->data, b->data + n, b->len - n);
	b->len -= n;
	return true;
}

/* An answer without events. */
static void take_plain_answer(struct tlb_forward *f, const struct tlb_http_result *r)
{
	bool failed = r->status >= 500;

	if (!f->gen.streaming && failed && tlb_forward_may_retry(f, TLB_ATTEMPT_ANSWERED))
		begin(f);
	else if (!f->gen.streaming)
		tlb_forward_answer(f, r);
	else
		fail_stream(f, "the endpoint failed");
}

static void on_stream_done(void *arg, const struct tlb_http_result *r)
{
	struct tlb_forward *f = arg;
	struct tlb_generation_pool *p = f->gen.pool;
	struct tlb_instance *i = f->on;
	enum tlb_attempt_end end;

	tlb_timer_clear(f->board->loop, &f->timer);
	tlb_instance_hold(i);
	end = tlb_forward_ended(f, r);
	end_prefill(f, i, false);
	/* What it used is free now. */
	i->full_until = 0;
	p->full_until = 0;
	if (end != TLB_ATTEMPT_NOT_RUN) {
		f->runs++;
		drop_handle(f, true);
	}
	if (end == TLB_ATTEMPT_ANSWERED && f->gen.partial.len > 0)
		end = TLB_ATTEMPT_BROKEN;
	if (end != TLB_ATTEMPT_ANSWERED) {
		try_again(f, i, end, r->reason[0] ? r->reason : "the stream broke off");
		tlb_instance_release(i);
		return;
	}
	tlb_instance_release(i);
	if (f->gen.streaming && r->status < 300)
		finish_stream(f);
	else
		take_plain_answer(f, r);
	pump(p);
}

/* --- attempts --- */

/* A caller's target runs from its first try, which may have been at another VM. */
static bool is_first_try(const struct tlb_forward *f)
{
	return f->in.deadline == TLB_NEVER ||
	       (double)(f->in.deadline - f->exchange->arrived) >=
		       (double)f->gen.pool->usual_patience * FIRST_TRY_SHARE;
}

static bool can_be_on_time(const struct tlb_forward *f, tlb_time now)
{
	return is_first_try(f) &&
	       now + f->gen.pool->prefill_us <
		       f->exchange->arrived + f->route->target_latency_ms * TLB_MS;
}

/* The account's priority goes before the route's; 0 is the most urgent. */
static int priority_of(const struct tlb_forward *f)
{
	int priority = f->route->priority;

	if (f->account && f->account->priority >= 0)
		priority = f->account->priority;
	return priority < PRIORITY_LAST ? priority : PRIORITY_LAST;
}

static struct tlb_outbound outbound(const struct tlb_forward *f, const struct tlb_instance *i,
				    enum tlb_attempt_kind kind)
{
	struct tlb_outbound o = {
		.kind = kind,
		.instance = i->row.id,
		.account = f->account ? f->account->name : "",
		.deadline = f->deadline,
		.urgency = priority_of(f) +
			   (can_be_on_time(f, tlb_clock_now()) ? URGENCY_ON_TIME : URGENCY_LATE),
		.hold = "",
		.last_event_id = f->in.last_event_id,
	};

	if (f->gen.streaming) {
		o.last_event_id = f->gen.last_event_id;
		o.urgency = URGENCY_RESUMED;
	}
	return o;
}

/* Where the request is decoded: where room is held for it, or at another endpoint when that is gone
 * or has refused it. */
static struct tlb_instance *decode_endpoint(struct tlb_forward *f)
{
	struct tlb_placing p = tlb_forward_placing(f);

	if (tlb_room_is_held(&f->gen.room, p.now) && tlb_instance_usable(f->gen.room.at, p.now))
		return f->gen.room.at;
	tlb_room_drop(&f->gen.room);
	return tlb_instances_for_decode(&f->board->instances, &p);
}

static void decode_at(struct tlb_forward *f, struct tlb_instance *i)
{
	struct tlb_outbound o;
	char hold[TLB_HANDLE_LEN];

	snprintf(hold, sizeof(hold), "%s", f->gen.room.hold);
	o = outbound(f, i, f->gen.source ? TLB_ATTEMPT_DECODE : TLB_ATTEMPT_CALL);
	o.hold = hold;
	if (f->gen.source) {
		o.kv_addr = f->gen.source->row.addr;
		o.kv_handle = f->gen.handle;
	}
	f->step = TLB_FORWARD_DECODING;
	expect_event(f, f->gen.source ? FIRST_EVENT_WAIT : FIRST_EVENT_WAIT_PREFILL);
	tlb_instance_hold(i);
	tlb_room_used(&f->gen.room);
	/* May end the request. */
	tlb_forward_send(f, i, &o, f->deadline, on_stream_data, on_stream_done);
	tlb_instance_release(i);
}

static void decode(struct tlb_forward *f)
{
	struct tlb_instance *i = decode_endpoint(f);

	if (i)
		decode_at(f, i);
	else
		fail_stream(f, "no decode endpoint is usable");
}

/* A prefill endpoint that refuses has a full queue, or its role is being changed. */
static tlb_time refused_prefill_pause(const struct tlb_forward *f)
{
	tlb_time change = f->info ? f->info->role_switch_ms * TLB_MS : 0;

	return change > PREFILL_REFUSED ? change : PREFILL_REFUSED;
}

static void on_prefill_done(void *arg, const struct tlb_http_result *r)
{
	struct tlb_forward *f = arg;
	struct tlb_generation_pool *p = f->gen.pool;
	struct tlb_instance *i = f->on;
	char handle[TLB_HANDLE_LEN];
	bool ok = r->status == 200 && tlb_platform_handle(r->body, r->body_len, handle);

	tlb_instance_hold(i);
	if (tlb_forward_ended(f, r) == TLB_ATTEMPT_NOT_RUN && r->sent)
		i->full_until = tlb_clock_now() + refused_prefill_pause(f);
	end_prefill(f, i, ok);
	if (ok) {
		keep_handle(f, i, handle);
		decode(f);
	}
	tlb_instance_release(i);
	if (ok)
		pump(p);
	else
		/* A prefill runs nothing that the caller could notice. */
		try_again(f, NULL, TLB_ATTEMPT_NOT_RUN,
			  r->reason[0] ? r->reason : "the prefill failed");
}

static void prefill_at(struct tlb_forward *f, struct tlb_instance *i)
{
	struct tlb_outbound o = outbound(f, i, TLB_ATTEMPT_PREFILL);
	tlb_time deadline = tlb_clock_now() + PREFILL_WAIT;

	f->step = TLB_FORWARD_PREFILLING;
	tlb_forward_send(f, i, &o, deadline < f->deadline ? deadline : f->deadline, NULL,
			 on_prefill_done);
}

static void count_prefill(struct tlb_forward *f, struct tlb_instance *i)
{
	f->gen.dispatched_at = tlb_clock_now();
	f->gen.prefill_tokens = f->in.prompt_tokens > 0 ? f->in.prompt_tokens : 1;
	i->prefill_in_flight += f->gen.prefill_tokens;
}

/* Room is held. Without a prefill endpoint the decode endpoint prefills by itself. */
static void prefill(struct tlb_forward *f)
{
	struct tlb_placing p = tlb_forward_placing(f);
	struct tlb_instance *i;

	p.tokens = f->in.prompt_tokens;
	p.decode_zone = f->gen.room.at->row.zone;
	i = tlb_instances_for_prefill(&f->board->instances, &p);
	if (!i) {
		count_prefill(f, f->gen.room.at);
		decode(f);
		return;
	}
	count_prefill(f, i);
	prefill_at(f, i);
}

static void on_room(void *arg, bool found)
{
	struct tlb_forward *f = arg;
	struct tlb_generation_pool *p = f->gen.pool;
	tlb_time now = tlb_clock_now();

	if (found) {
		prefill(f);
		return;
	}
	leave_window(f, 0);
	p->full_until = now + TLB_ROOM_FULL;
	requeue(f, now);
	tlb_timer_set(p->board->loop, &p->timer, p->full_until);
}

/* Output to reserve memory for. A request that outgrows its reservation may be preempted and
 * prefilled again, which costs more than some memory that stays unused for seconds. */
static int64_t reserved_output(const struct tlb_forward *f)
{
	int64_t most = f->in.max_output_tokens;
	int64_t output = (int64_t)((double)f->in.expected_output_tokens * ESTIMATE_MARGIN);

	return output > 0 && output < most ? output : most;
}

static int64_t reserved_tokens(const struct tlb_forward *f)
{
	return f->in.prompt_tokens + reserved_output(f);
}

/* Memory that must stay free beside the reservation, for requests at other VMs: a request that is
 * late already leaves room for one that can still be on time, and a long output, which holds its
 * memory longer, for a usual one. */
static int64_t spare_tokens(const struct tlb_forward *f)
{
	int64_t longer = reserved_output(f) - (int64_t)f->gen.pool->usual_output;

	if (f->gen.streaming || f->runs > 0)
		return 0;
	if (f->gen.item.class == TLB_BATCH)
		return reserved_tokens(f);
	return longer > 0 ? longer : 0;
}

static void begin(struct tlb_forward *f)
{
	struct tlb_placing p = tlb_forward_placing(f);

	if (f->gen.source && p.now < f->gen.handle_deadline) {
		decode(f);
		return;
	}
	drop_handle(f, false);
	f->step = TLB_FORWARD_RESERVING;
	tlb_room_ask(&f->gen.room, f->board, &p, reserved_tokens(f), spare_tokens(f), on_room, f);
}

/* --- the queue --- */

static struct tlb_forward *forward_of(struct tlb_item *it)
{
	return (struct tlb_forward *)((char *)it - offsetof(struct tlb_forward, gen.item));
}

/* Place of the request's account in the queue. A step of priority doubles what an account is served
 * while others wait. */
static struct tlb_flow *flow_of(struct tlb_generation_pool *p, const struct tlb_forward *f)
{
	const char *account = f->account ? f->account->name : "";
	double weight = 1 << (PRIORITY_LAST - priority_of(f));
	struct tlb_generation_flow *w;

	APR_RING_FOREACH (w, &p->flows, tlb_generation_flow, link) {
		if (strcmp(w->account, account) != 0)
			continue;
		tlb_flow_reweight(&w->flow, weight);
		return &w->flow;
	}
	w = calloc(1, sizeof(*w));
	if (!w)
		return NULL;
	strcpy(w->account, account);
	tlb_flow_init(&w->flow, weight);
	APR_RING_INSERT_TAIL(&p->flows, w, tlb_generation_flow, link);
	return &w->flow;
}

static bool enqueue(struct tlb_forward *f, enum tlb_class class, tlb_time expires, tlb_time now)
{
	struct tlb_generation_pool *p = f->gen.pool;
	struct tlb_flow *flow = flow_of(p, f);
	struct tlb_item *it = &f->gen.item;

	if (!flow)
		return false;
	it->class = class;
	it->tokens = f->in.prompt_tokens + f->in.max_output_tokens + 1;
	it->latest_start = TLB_NEVER;
	it->expires = expires;
	tlb_queue_push(&p->queue, flow, it, now);
	f->step = TLB_FORWARD_QUEUED;
	return true;
}

static tlb_time last_start(const struct tlb_forward *f)
{
	return f->deadline - f->gen.pool->prefill_us;
}

/* Ends a request that waits: with a promise that it has not run, where that is so. */
static void turn_away(struct tlb_forward *f, const char *reason)
{
	if (f->gen.streaming || f->runs > 0)
		fail_stream(f, reason);
	else
		tlb_forward_refuse(f, TLB_OVERLOADED, tlb_forward_return_ms(f, HOPELESS_WAIT),
				   reason);
}

/* Queues a request that can't be on time, or tells its caller to return. */
static void enqueue_late(struct tlb_forward *f, tlb_time now)
{
	tlb_time expires = f->exchange->arrived + LAST_TRY_WAIT;

	if (expires > last_start(f))
		expires = last_start(f);
	if (is_first_try(f) || now >= expires || !enqueue(f, TLB_BATCH, expires, now))
		turn_away(f, "no endpoint has room in time");
}

/* Puts a request that found no room back to where it was taken from. */
static void requeue(struct tlb_forward *f, tlb_time now)
{
	struct tlb_generation_pool *p = f->gen.pool;
	struct tlb_flow *flow = flow_of(p, f);
	struct tlb_item *it = &f->gen.item;

	f->step = TLB_FORWARD_QUEUED;
	if (f->board->draining && f->runs == 0) {
		tlb_forward_refuse(f, TLB_DRAINING, 1, "this VM is shutting down");
		return;
	}
	if (!flow || now >= last_start(f)) {
		fail_stream(f, "no endpoint had room before the deadline");
		return;
	}
	/* A stream that has begun goes before all that have not: its caller gives up after a pause
	 * of seconds. */
	if (f->gen.streaming || f->runs > 0) {
		it->class = TLB_INTERACTIVE;
		it->expires = last_start(f);
	}
	tlb_queue_unpop(&p->queue, flow, it);
}

static void expire(struct tlb_generation_pool *p, tlb_time now)
{
	struct tlb_forward *f;
	struct tlb_item *it;

	while ((it = tlb_queue_expire(&p->queue, now))) {
		f = forward_of(it);
		if (it->class == TLB_INTERACTIVE && f->runs == 0)
			enqueue_late(f, now);
		else
			turn_away(f, "no endpoint had room in time");
	}
}

static bool fits_any(void *arg, const struct tlb_item *it)
{
	return true;
}

static bool has_endpoints(const struct tlb_generation_pool *p, tlb_time now)
{
	const struct tlb_instances *s = &p->board->instances;

	return tlb_instances_count(s, p->service, TLB_ROLE_DECODE, now) > 0;
}

static void start_next(struct tlb_generation_pool *p, struct tlb_item *it, tlb_time now)
{
	struct tlb_forward *f = forward_of(it);

	tlb_window_take(&p->window);
	f->gen.in_window = true;
	tlb_latency_note(&p->board->latencies, TLB_LATENCY_QUEUE, now - f->exchange->arrived);
	begin(f);
}

static void arm(struct tlb_generation_pool *p, tlb_time now)
{
	tlb_time at = tlb_queue_next_expiry(&p->queue);

	if (tlb_queue_count(&p->queue) > 0 && now < p->full_until && p->full_until < at)
		at = p->full_until;
	tlb_timer_set(p->board->loop, &p->timer, at);
}

static void pump(struct tlb_generation_pool *p)
{
	tlb_time now = tlb_clock_now();
	struct tlb_item *it;

	expire(p, now);
	while (tlb_window_open(&p->window) && now >= p->full_until && has_endpoints(p, now) &&
	       (it = tlb_queue_pop(&p->queue, fits_any, NULL, now)))
		start_next(p, it, now);
	arm(p, now);
}

static void on_pool_timer(void *arg)
{
	pump(arg);
}

static struct tlb_generation_pool *pool_of(struct tlb_generations *g, const struct tlb_forward *f)
{
	struct tlb_generation_pool *p;

	APR_RING_FOREACH (p, &g->pools, tlb_generation_pool, link) {
		if (strcmp(p->service, f->service) == 0)
			return p;
	}
	p = calloc(1, sizeof(*p));
	if (!p)
		return NULL;
	p->board = g->board;
	strcpy(p->service, f->service);
	tlb_queue_init(&p->queue);
	APR_RING_INIT(&p->flows, tlb_generation_flow, link);
	tlb_window_init(&p->window, WINDOW_FIRST, WINDOW_MOST,
			(tlb_time)(f->route->target_latency_ms * WINDOW_TARGET_SHARE * TLB_MS));
	tlb_timer_init(&p->timer, on_pool_timer, p);
	p->prefill_us = PREFILL_FIRST;
	APR_RING_INSERT_TAIL(&g->pools, p, tlb_generation_pool, link);
	return p;
}

static void note_output(struct tlb_generation_pool *p, double output)
{
	if (p->usual_output == 0)
		p->usual_output = output;
	p->usual_output += OUTPUT_SMOOTHING * (output - p->usual_output);
}

void tlb_generation_start(struct tlb_forward *f)
{
	struct tlb_generation_pool *p = pool_of(&f->board->generations, f);
	tlb_time now = tlb_clock_now();

	f->gen.pool = p;
	tlb_timer_init(&f->timer, on_silence, f);
	if (!p) {
		tlb_forward_refuse(f, TLB_OVERLOADED, 0, "no memory for the request");
		return;
	}
	if (f->in.deadline != TLB_NEVER &&
	    f->in.deadline - f->exchange->arrived > p->usual_patience)
		p->usual_patience = f->in.deadline - f->exchange->arrived;
	if (is_first_try(f))
		note_output(p, (double)reserved_output(f));
	tlb_counter_add(&f->board->counters, TLB_COUNTER_PREFILLS, 1);
	tlb_log_info("event=queue request=%s attempt=%s account=%s prompt=%lld output=%lld "
		     "expected=%lld waiting=%d window=%.1f in_window=%d prefill_ms=%lld",
		     f->exchange->id, f->in.attempt_id, f->account ? f->account->name : "-",
		     (long long)f->in.prompt_tokens, (long long)f->in.max_output_tokens,
		     (long long)f->in.expected_output_tokens, tlb_queue_count(&p->queue),
		     p->window.limit, p->window.in_use, (long long)(p->prefill_us / TLB_MS));
	if (!can_be_on_time(f, now))
		enqueue_late(f, now);
	else if (!enqueue(f, TLB_INTERACTIVE,
			  f->exchange->arrived + f->route->target_latency_ms * TLB_MS -
				  p->prefill_us,
			  now))
		tlb_forward_refuse(f, TLB_OVERLOADED, 0, "no memory for the request");
	pump(p);
}

void tlb_generation_end(struct tlb_forward *f)
{
	struct tlb_generation *g = &f->gen;

	if (!g->pool)
		return;
	tlb_queue_remove(&g->pool->queue, &g->item);
	if (f->on)
		end_prefill(f, f->on, false);
	leave_window(f, 0);
	drop_handle(f, false);
	tlb_room_drop(&g->room);
	tlb_buffer_finish(&g->partial);
	/* What waits is started from the loop: this may run below the queue's own functions. */
	tlb_timer_set(f->board->loop, &g->pool->timer, tlb_clock_now());
}

void tlb_generations_init(struct tlb_generations *g, struct tlb_edge_board *b)
{
	g->board = b;
	APR_RING_INIT(&g->pools, tlb_generation_pool, link);
}

static void free_pool(struct tlb_generation_pool *p)
{
	struct tlb_generation_flow *w;

	while (!APR_RING_EMPTY(&p->flows, tlb_generation_flow, link)) {
		w = APR_RING_FIRST(&p->flows);
		APR_RING_REMOVE(w, link);
		free(w);
	}
	tlb_timer_clear(p->board->loop, &p->timer);
	free(p);
}

void tlb_generations_finish(struct tlb_generations *g)
{
	struct tlb_generation_pool *p;

	while (!APR_RING_EMPTY(&g->pools, tlb_generation_pool, link)) {
		p = APR_RING_FIRST(&g->pools);
		APR_RING_REMOVE(p, link);
		free_pool(p);
	}
}

void tlb_generations_pump(struct tlb_generations *g)
{
	struct tlb_generation_pool *p;

	APR_RING_FOREACH (p, &g->pools, tlb_generation_pool, link) {
		pump(p);
	}
}

void tlb_generations_refuse_waiting(struct tlb_generations *g)
{
	struct tlb_forward *f;
	struct tlb_forward *next;

	APR_RING_FOREACH_SAFE (f, next, &g->board->forwards.all, tlb_forward, link) {
		if (f->step == TLB_FORWARD_QUEUED && f->runs == 0)
			tlb_forward_refuse(f, TLB_DRAINING, 1, "this VM is shutting down");
	}
}
