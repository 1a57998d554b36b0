#include "generation.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "edgeboard.h"
#include "evidence.h"
#include "instance_notice.h"
#include "log.h"
#include "platform.h"
#include "release.h"
#include "stream_check.h"

/* Initial and maximum number of concurrent prefills of one VM, for each service. */
#define WINDOW_INITIAL 4
#define WINDOW_MAX 64
/* Share of the first-event target that a prefill may take before the window shrinks; the rest is
 * left for queueing and the decode endpoint. */
#define WINDOW_TARGET_SHARE 0.5
/* Assumed duration of a prefill before one was measured. */
#define PREFILL_INITIAL_ESTIMATE (150 * TLB_MS)
/* Weight of a new sample in the moving average of prefill durations. */
#define PREFILL_SMOOTHING 0.1
/* A prefill that takes longer is cancelled. */
#define PREFILL_TIMEOUT (2500 * TLB_MS)
/* A prefill endpoint that refused is not selected for this long, while there are others. */
#define PREFILL_REFUSED_BACKOFF (300 * TLB_MS)
/* Time without an event after which a stream is resumed elsewhere, if another endpoint has room:
 * before the first event, before the first event when the endpoint also prefills, and between
 * events. */
#define FIRST_EVENT_TIMEOUT (1500 * TLB_MS)
#define FIRST_EVENT_TIMEOUT_WITH_PREFILL (2500 * TLB_MS)
#define NEXT_EVENT_TIMEOUT (1000 * TLB_MS)
/* Interval between searches for an endpoint that takes over from a silent one. */
#define MOVE_RETRY_INTERVAL (200 * TLB_MS)
/* A KV cache is not used any more this long before it expires. */
#define KV_EXPIRY_MARGIN (60 * TLB_MS)
/* Lifetime of a KV cache when the configuration has none. */
#define KV_DEFAULT_LIFETIME (500 * TLB_MS)
/* Retry-after time for a caller whose wait would exceed its deadline. */
#define OVERLOAD_RETRY_AFTER (4 * TLB_SECOND)
/* A request that a caller retries has missed its target already; it may wait this long for capacity
 * that on-time requests leave. A first try that can't meet its target is refused at once with a
 * retry-after time: load peaks last some seconds, and serving it now would make others late. */
#define LATE_MAX_WAIT (500 * TLB_MS)
/* Callers' estimates of their output length are right at the median; the factor covers most of
 * those that are too low. */
#define OUTPUT_ESTIMATE_FACTOR 1.8
/* Weight of a new sample in the mean output: averages over some tens of requests. */
#define OUTPUT_SMOOTHING 0.05
/* Limit for the received bytes of incomplete events. */
#define PARTIAL_EVENT_MAX_BYTES (1 << 20)

/* Urgency sent to the engine, 0 (most urgent) to 9, before the priority is added; 5 is an engine's
 * default. */
enum urgency { URGENCY_RESUMED = 3, URGENCY_ON_TIME = 4, URGENCY_LATE = 7 };

/* Least urgent priority; larger values are treated as this one. */
enum { PRIORITY_LEAST_URGENT = 2 };

static void start_attempt(struct tlb_forward *f);
static void decode_at(struct tlb_forward *f, struct tlb_instance *i);
static void requeue(struct tlb_forward *f, tlb_time now);
static void start_waiting(struct tlb_generation_queue *p);
static void on_event_timeout(void *arg);

/* --- KV caches --- */

/* Forgets the KV cache, which was imported by the decode endpoint or is not needed any more.
 * Releases it at its endpoint unless it was imported or has expired. */
static void release_kv_cache(struct tlb_forward *f, bool imported)
{
	struct tlb_generation *g = &f->gen;
	char target[TLB_HANDLE_LEN + 32];

	if (!g->kv_source)
		return;
	if (!imported && tlb_clock_now() < g->kv_deadline) {
		tlb_platform_kv_free_target(target, sizeof(target), g->kv_handle);
		tlb_release_send(f->board->http, g->kv_source, target);
	}
	tlb_instance_release(g->kv_source);
	g->kv_source = NULL;
	g->kv_handle[0] = '\0';
}

/* Stores the handle of the KV cache that i holds, in place of an earlier one. */
static void store_kv_handle(struct tlb_forward *f, struct tlb_instance *i, const char *handle)
{
	tlb_time lifetime = f->info && f->info->kv_ttl_ms > 0 ? f->info->kv_ttl_ms * TLB_MS
							      : KV_DEFAULT_LIFETIME;

	release_kv_cache(f, false);
	tlb_instance_acquire(i);
	f->gen.kv_source = i;
	snprintf(f->gen.kv_handle, sizeof(f->gen.kv_handle), "%s", handle);
	f->gen.kv_deadline = tlb_clock_now() + lifetime - KV_EXPIRY_MARGIN;
}

/* --- prefill concurrency window --- */

/* Frees the window slot of the request. elapsed: duration of its prefill, or 0 when it failed or
 * did not start. */
static void release_window_slot(struct tlb_forward *f, tlb_time elapsed)
{
	struct tlb_generation *g = &f->gen;

	if (!g->in_window)
		return;
	g->in_window = false;
	tlb_window_release(&g->service_queue->window, elapsed, tlb_clock_now());
}

/* Ends the accounting of the prefill at i. When it succeeded, its duration goes into the
 * statistics. Has no effect when none is in progress. */
static void end_prefill(struct tlb_forward *f, struct tlb_instance *i, bool ok)
{
	tlb_time now = tlb_clock_now();
	tlb_time elapsed = now - f->gen.dispatched_at;

	if (f->gen.prefill_tokens == 0)
		return;
	i->prefill_in_flight -= f->gen.prefill_tokens;
	if (ok) {
		tlb_instance_record_prefill(i, f->gen.prefill_tokens, elapsed, now);
		tlb_latency_record(&f->board->latencies, TLB_LATENCY_PREFILL, elapsed);
		f->gen.service_queue->mean_prefill_us +=
			(int64_t)(PREFILL_SMOOTHING *
				  (double)(elapsed - f->gen.service_queue->mean_prefill_us));
	}
	f->gen.prefill_tokens = 0;
	release_window_slot(f, ok ? elapsed : 0);
}

/* --- end of a request --- */

/* The id of the last event sent to the caller; "" for none. */
static const char *last_event_id(const struct tlb_forward *f)
{
	return f->gen.last_event_id.data ? f->gen.last_event_id.data : "";
}

/* Ends the request with an error, or by cutting the stream when the response has begun. */
static void fail_stream(struct tlb_forward *f, const char *reason)
{
	struct tlb_exchange *x = f->exchange;

	if (!f->gen.streaming) {
		tlb_forward_fail(f, reason);
		return;
	}
	tlb_log_info("event=stream_cut request=%s attempt=%s last_event=%s reason=\"%s\"", x->id,
		     f->inbound.attempt_label, last_event_id(f), reason);
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

/* Ends a request before an attempt when its caller has left or its deadline has passed. Returns
 * whether it did, which frees f. */
static bool end_if_too_late(struct tlb_forward *f)
{
	if (tlb_exchange_check_caller(f->exchange))
		return true;
	if (tlb_clock_now() < f->deadline)
		return false;
	if (f->gen.streaming)
		fail_stream(f, "the deadline has passed");
	else
		tlb_forward_expire(f);
	return true;
}

/* --- quarantine of prompt parts --- */

/* Ends a request whose prompt has a quarantined part. Returns whether it did, which frees f. */
static bool refuse_quarantined(struct tlb_forward *f)
{
	const struct tlb_suspect_part *s = tlb_evidence_quarantined_part(f);
	tlb_time wait;

	if (!s)
		return false;
	wait = tlb_quarantine_next_probe_at(&f->board->quarantine, s) - tlb_clock_now();
	tlb_counter_add(&f->board->counters, TLB_COUNTER_QUARANTINE_REFUSED, 1);
	tlb_log_info("event=prompt_quarantined request=%s attempt=%s part=%" PRIx64
		     " crashes=%d runs=%d",
		     f->exchange->id, f->inbound.attempt_label, s->part, s->crash_count,
		     f->possible_runs);
	if (f->gen.streaming || f->possible_runs > 0)
		fail_stream(f, "a part of the prompt crashes endpoints");
	else
		tlb_forward_refuse(f, TLB_QUARANTINED, wait > 0 ? (int)(wait / TLB_MS) : 1,
				   "a part of the prompt crashes endpoints");
	return true;
}

/* The same before the prompt is sent to an endpoint. */
static bool refuse_quarantined_or_probe(struct tlb_forward *f)
{
	if (refuse_quarantined(f))
		return true;
	tlb_evidence_begin_probe(f);
	return false;
}

/* --- streams --- */

/* Whether the stream can be resumed at the endpoint that interrupted it: the endpoint is usable and
 * has the prompt in its cache, so that no second prefill is needed. Only once for each request: an
 * endpoint that interrupts a stream twice is likely to be faulty. */
static bool can_resume_at(const struct tlb_forward *f, const struct tlb_instance *i,
			  enum tlb_attempt_result end)
{
	tlb_time now = tlb_clock_now();

	return i && end == TLB_ATTEMPT_UNKNOWN && f->gen.streaming && !f->gen.resumed_in_place &&
	       tlb_instance_usable(i, now) && i->health.ejected_until <= now;
}

/* Makes another attempt after one at i that ended with that result, or ends the request. i NULL:
 * the stream is not resumed at the same endpoint. */
static void retry_or_fail(struct tlb_forward *f, struct tlb_instance *i,
			  enum tlb_attempt_result end, const char *reason)
{
	struct tlb_generation_queue *p = f->gen.service_queue;

	f->gen.partial.len = 0;
	if (tlb_exchange_check_caller(f->exchange)) {
		start_waiting(p);
		return;
	}
	if (!tlb_forward_may_retry(f, end)) {
		fail_stream(f, reason);
		start_waiting(p);
		return;
	}
	if (f->gen.streaming)
		tlb_counter_add(&f->board->counters, TLB_COUNTER_RESUMES, 1);
	if (can_resume_at(f, i, end)) {
		f->gen.resumed_in_place = true;
		decode_at(f, i);
	} else {
		start_attempt(f);
	}
	start_waiting(p);
}

/* Starts the timer for the next event. No timer when no other attempt would be allowed: the router
 * then waits until the deadline. */
static void set_event_timeout(struct tlb_forward *f, tlb_time wait)
{
	if (!tlb_forward_repeatable(f) ||
	    tlb_forward_endpoints_used(f) + 1 >= f->route->max_attempts)
		return;
	f->gen.event_deadline = tlb_clock_now() + wait;
	tlb_timer_set(f->board->loop, &f->timer, f->gen.event_deadline);
}

/* Length in bytes of the complete events at the start of b; an event ends with an empty line. The
 * first `searched` bytes are known to hold no complete event. */
static size_t complete_events_len(const struct tlb_buffer *b, size_t searched)
{
	size_t i;

	for (i = b->len; i >= 2 && i > searched; i--) {
		if (b->data[i - 1] != '\n')
			continue;
		if (b->data[i - 2] == '\n' ||
		    (i >= 4 && memcmp(b->data + i - 4, "\r\n\r\n", 4) == 0))
			return i;
	}
	return 0;
}

/* Stores the id of the last of some complete events, whose ids are no longer than TLB_EVENT_ID_MAX.
 * Returns whether it is a new one. */
static bool store_last_event_id(struct tlb_forward *f, const char *events, size_t len)
{
	struct tlb_buffer *last = &f->gen.last_event_id;
	struct tlb_event_id id = {0};
	const char *line = events;
	const char *end = events + len;
	const char *next;

	for (; line < end; line = next + 1) {
		next = memchr(line, '\n', (size_t)(end - line));
		if (!next)
			break;
		f->gen.events += tlb_stream_read_id(line, (size_t)(next - line), &id);
	}
	if (!id.text || (last->len == id.len && memcmp(last->data, id.text, id.len) == 0))
		return false;
	tlb_buffer_clear(last);
	tlb_exchange_hold(f->exchange, last, id.text, id.len, TLB_EVENT_ID_MAX);
	return true;
}

/* Sends the status and headers of the response, unless it has begun. Returns false when they are
 * too large. */
static bool begin_response(struct tlb_forward *f)
{
	char *head;
	bool fits;

	if (f->gen.streaming)
		return true;
	head = tlb_platform_forwarded_head(tlb_http_head(&f->call));
	fits = head && tlb_exchange_set_head(f->exchange, head);
	free(head);
	if (fits) {
		f->gen.streaming = true;
		tlb_latency_record(&f->board->latencies, TLB_LATENCY_FIRST_EVENT,
				   tlb_clock_now() - f->exchange->arrived);
		tlb_exchange_stream_forward(f->exchange, tlb_http_status(&f->call));
	}
	return fits;
}

/* Whether the response has the endpoint's signature and belongs to this attempt id. When another
 * response has begun, it must also be the rest of a stream. */
static bool is_usable_success(const struct tlb_forward *f, int status,
			      const struct tlb_response_info *info)
{
	if (!info->has_signature || info->not_run || !tlb_forward_owns_response(f, info))
		return false;
	return !f->gen.resuming || (status == 200 && info->event_stream);
}

/* The same for the head of the attempt in progress. */
static bool verify_head(struct tlb_forward *f)
{
	int status = tlb_http_status(&f->call);
	struct tlb_response_info info;

	tlb_platform_read_response_info(status, tlb_http_head(&f->call), &info);
	tlb_instance_notice_record(f->instance, &info);
	return is_usable_success(f, status, &info);
}

/* Whether complete events can be passed on. Logs why not. */
static bool check_events(const struct tlb_forward *f, const char *events, size_t len)
{
	const char *after = f->gen.resuming ? last_event_id(f) : NULL;
	const char *fault = tlb_stream_find_fault(events, len, after);

	if (fault)
		tlb_log_info("event=stream_refused request=%s attempt=%s instance=%s "
			     "last_event=%s reason=\"%s\"",
			     f->exchange->id, f->inbound.attempt_label, f->instance->row.id,
			     last_event_id(f), fault);
	return !fault;
}

static bool on_stream_data(void *arg, const char *data, size_t len)
{
	struct tlb_forward *f = arg;
	struct tlb_buffer *b = &f->gen.partial;
	size_t searched = b->len;
	size_t n;

	if (!f->gen.head_verified && !verify_head(f))
		return false;
	f->gen.head_verified = true;
	if (!tlb_exchange_hold(f->exchange, b, data, len, PARTIAL_EVENT_MAX_BYTES))
		return false;
	if (f->gen.prefill_tokens > 0)
		end_prefill(f, f->instance, true);
	release_kv_cache(f, true);
	n = complete_events_len(b, searched);
	if (n == 0)
		return true;
	if (!check_events(f, b->data, n) || !begin_response(f))
		return false;
	/* Bytes without a new event, such as comments, are no progress. */
	if (store_last_event_id(f, b->data, n))
		set_event_timeout(f, NEXT_EVENT_TIMEOUT);
	f->gen.begun_soundly |= !tlb_evidence_is_at_beginning(f);
	if (!tlb_exchange_stream_write(f->exchange, b->data, n))
		return false;
	memmove(b->data, b->data + n, b->len - n);
	b->len -= n;
	return true;
}

/* Retries, forwards or fails on a complete response that is not a successful stream. */
static void handle_plain_response(struct tlb_forward *f, const struct tlb_http_result *r)
{
	bool failed = r->status >= 500;

	if (failed && tlb_forward_may_retry(f, TLB_ATTEMPT_ANSWERED)) {
		if (f->gen.streaming)
			tlb_counter_add(&f->board->counters, TLB_COUNTER_RESUMES, 1);
		start_attempt(f);
	} else if (!f->gen.streaming) {
		tlb_forward_answer(f, r);
	} else {
		fail_stream(f, "the endpoint failed");
	}
}

/* Whether a stream that seems to have ended in order was broken off: inside an event, or, when
 * nothing but the closed connection ended it, before the attempt's first event. */
static bool ended_early(const struct tlb_forward *f, const struct tlb_http_result *r)
{
	return f->gen.partial.len > 0 || (r->ended_by_close && r->status < 300 &&
					  f->gen.events == f->gen.events_before_attempt);
}

/* Whether an attempt that was answered has not ended the stream: its answer is not the rest of one,
 * or has no event. An endpoint that fails can look like one that has nothing left, so the end of a
 * stream needs a second such answer. */
static bool leaves_stream_open(struct tlb_forward *f, const struct tlb_http_result *r)
{
	bool first = !f->gen.empty_rest;
	struct tlb_response_info info;

	if (r->status >= 300)
		return false;
	tlb_platform_read_response_info(r->status, r->head, &info);
	if (!is_usable_success(f, r->status, &info))
		return true;
	if (!f->gen.resuming || f->gen.events > f->gen.events_before_attempt)
		return false;
	f->gen.empty_rest = true;
	return first;
}

static void on_stream_done(void *arg, const struct tlb_http_result *r)
{
	struct tlb_forward *f = arg;
	struct tlb_generation_queue *p = f->gen.service_queue;
	struct tlb_instance *i = f->instance;
	enum tlb_attempt_result end;
	bool early_end;
	bool unfinished;

	tlb_timer_clear(f->board->loop, &f->timer);
	tlb_decode_reservation_release(&f->gen.decode_reservation);
	tlb_instance_acquire(i);
	end = tlb_forward_record_result(f, r);
	end_prefill(f, i, false);
	/* The request's memory at the endpoint is free now, so that requests may be sent again. */
	i->full_until = 0;
	p->full_until = 0;
	if (end != TLB_ATTEMPT_NOT_RUN) {
		f->possible_runs++;
		release_kv_cache(f, true);
	}
	early_end = end == TLB_ATTEMPT_ANSWERED && ended_early(f, r);
	unfinished = end == TLB_ATTEMPT_ANSWERED && !early_end && leaves_stream_open(f, r);
	if (early_end || unfinished)
		end = TLB_ATTEMPT_UNKNOWN;
	if (end != TLB_ATTEMPT_ANSWERED)
		tlb_evidence_add_failure(f, i, r, early_end);
	else
		tlb_evidence_add_answer(f, r);
	if (end != TLB_ATTEMPT_ANSWERED) {
		/* Another endpoint is asked when this one has no event left. */
		retry_or_fail(f, unfinished ? NULL : i, end,
			      r->reason[0] ? r->reason
			      : unfinished ? "the answer is no rest of the stream"
					   : "the stream broke off");
		tlb_instance_release(i);
		return;
	}
	tlb_instance_release(i);
	if (f->gen.streaming && r->status < 300)
		finish_stream(f);
	else
		handle_plain_response(f, r);
	start_waiting(p);
}

/* --- attempts --- */

/* Whether this is the caller's first try. The target latency counts from the first try, which may
 * have been sent to another VM, so that a retry has missed it. */
static bool is_first_try(const struct tlb_forward *f)
{
	return f->inbound.deadline == TLB_NEVER ||
	       (double)(f->inbound.deadline - f->exchange->arrived) >=
		       (double)f->gen.service_queue->max_time_budget * TLB_FORWARD_FIRST_TRY_SHARE;
}

/* Whether the first event can still be sent within the route's target latency. */
static bool can_meet_target(const struct tlb_forward *f, tlb_time now)
{
	return is_first_try(f) &&
	       now + f->gen.service_queue->mean_prefill_us <
		       f->exchange->arrived + f->route->target_latency_ms * TLB_MS;
}

/* The account's priority overrides the route's; 0 is the most urgent. */
static int priority_of(const struct tlb_forward *f)
{
	int priority = f->route->priority;

	if (f->account && f->account->priority >= 0)
		priority = f->account->priority;
	return priority < PRIORITY_LEAST_URGENT ? priority : PRIORITY_LEAST_URGENT;
}

static struct tlb_outbound make_outbound(const struct tlb_forward *f, const struct tlb_instance *i,
					 enum tlb_attempt_kind kind)
{
	struct tlb_outbound o = {
		.kind = kind,
		.instance = i->row.id,
		.account = f->account ? f->account->full_name : "",
		.deadline = f->deadline,
		.urgency = priority_of(f) +
			   (can_meet_target(f, tlb_clock_now()) ? URGENCY_ON_TIME : URGENCY_LATE),
		.reservation_id = "",
		.last_event_id = f->inbound.last_event_id,
	};

	if (f->gen.streaming) {
		o.last_event_id = last_event_id(f);
		o.urgency = URGENCY_RESUMED;
	}
	return o;
}

/* Whether the request holds a decode reservation at an endpoint that is usable. */
static bool has_usable_reservation(const struct tlb_forward *f, tlb_time now)
{
	return tlb_decode_reservation_is_held(&f->gen.decode_reservation, now) &&
	       tlb_instance_takes_reserved(f->gen.decode_reservation.instance, now);
}

/* The endpoint that decodes the request: the one with its reservation, or another when there is no
 * valid reservation or its endpoint is not usable; NULL for none. */
static struct tlb_instance *decode_endpoint(struct tlb_forward *f)
{
	struct tlb_instance_query p = tlb_forward_instance_query(f);

	if (has_usable_reservation(f, p.now))
		return f->gen.decode_reservation.instance;
	tlb_decode_reservation_release(&f->gen.decode_reservation);
	return tlb_instances_select_decode(&f->board->instances, &p);
}

/* Sends the request to i, with the KV cache when there is one. May end the request. */
static void decode_at(struct tlb_forward *f, struct tlb_instance *i)
{
	struct tlb_outbound o;
	char hold[TLB_HANDLE_LEN];

	if (refuse_quarantined_or_probe(f))
		return;
	snprintf(hold, sizeof(hold), "%s", f->gen.decode_reservation.id);
	o = make_outbound(f, i, f->gen.kv_source ? TLB_ATTEMPT_DECODE : TLB_ATTEMPT_CALL);
	o.reservation_id = hold;
	if (f->gen.kv_source) {
		o.kv_addr = f->gen.kv_source->row.addr;
		o.kv_handle = f->gen.kv_handle;
	}
	f->step = TLB_FORWARD_DECODING;
	f->gen.events_before_attempt = f->gen.events;
	f->gen.resuming = f->gen.streaming;
	f->gen.head_verified = false;
	set_event_timeout(f, f->gen.kv_source ? FIRST_EVENT_TIMEOUT
					      : FIRST_EVENT_TIMEOUT_WITH_PREFILL);
	tlb_instance_acquire(i);
	tlb_decode_reservation_consume(&f->gen.decode_reservation);
	tlb_forward_send(f, i, &o, f->deadline, on_stream_data, on_stream_done);
	tlb_instance_release(i);
}

/* Queues a request for which no decode endpoint has room, and starts none of its service for a
 * moment. May end the request. */
static void wait_for_room(struct tlb_forward *f)
{
	struct tlb_generation_queue *p = f->gen.service_queue;
	tlb_time now = tlb_clock_now();

	release_window_slot(f, 0);
	p->full_until = now + TLB_DECODE_FULL_BACKOFF;
	requeue(f, now);
	tlb_timer_set(p->board->loop, &p->timer, p->full_until);
}

static void decode(struct tlb_forward *f)
{
	struct tlb_instance *i = decode_endpoint(f);

	if (i)
		decode_at(f, i);
	else if (f->gen.streaming)
		wait_for_room(f);
	else
		fail_stream(f, "no decode endpoint is usable");
}

/* How long a prefill endpoint that refused is not selected: its queue is full, or its role is being
 * changed. */
static tlb_time prefill_refusal_backoff(const struct tlb_forward *f)
{
	tlb_time role_switch = f->info ? f->info->role_switch_ms * TLB_MS : 0;

	return role_switch > PREFILL_REFUSED_BACKOFF ? role_switch : PREFILL_REFUSED_BACKOFF;
}

/* Starts the accounting of a prefill at i. */
static void begin_prefill(struct tlb_forward *f, struct tlb_instance *i)
{
	f->gen.dispatched_at = tlb_clock_now();
	f->gen.prefill_tokens = f->inbound.prompt_tokens > 0 ? f->inbound.prompt_tokens : 1;
	i->prefill_in_flight += f->gen.prefill_tokens;
}

/* Whether the endpoint of the decode reservation should prefill, after a prefill endpoint did not.
 * It is slower at that, so only for a stream that has begun and can't have another prefill. */
static bool may_prefill_at_decode(struct tlb_forward *f)
{
	return f->gen.streaming &&
	       (!tlb_forward_attempts_left(f) || !tlb_forward_retry_affordable(f)) &&
	       tlb_decode_reservation_is_held(&f->gen.decode_reservation, tlb_clock_now());
}

static void on_prefill_done(void *arg, const struct tlb_http_result *r)
{
	struct tlb_forward *f = arg;
	struct tlb_generation_queue *p = f->gen.service_queue;
	struct tlb_instance *i = f->instance;
	char handle[TLB_HANDLE_LEN];
	enum tlb_attempt_result end;
	bool ok;

	tlb_instance_acquire(i);
	end = tlb_forward_record_result(f, r);
	ok = end == TLB_ATTEMPT_ANSWERED &&
	     tlb_platform_read_kv_handle(r->body, r->body_len, handle);
	if (end == TLB_ATTEMPT_NOT_RUN && r->sent)
		i->full_until = tlb_clock_now() + prefill_refusal_backoff(f);
	tlb_evidence_add_failure(f, i, r, false);
	end_prefill(f, i, ok);
	if (ok)
		store_kv_handle(f, i, handle);
	tlb_instance_release(i);
	if (ok && end_if_too_late(f)) {
		start_waiting(p);
		return;
	}
	if (ok)
		decode(f);
	if (!ok && may_prefill_at_decode(f)) {
		begin_prefill(f, f->gen.decode_reservation.instance);
		decode(f);
		ok = true;
	}
	if (ok)
		start_waiting(p);
	else
		/* A prefill has no effect that the caller could notice, so that it may always be
		 * retried. */
		retry_or_fail(f, NULL, TLB_ATTEMPT_NOT_RUN,
			      r->reason[0] ? r->reason : "the prefill failed");
}

static void prefill_at(struct tlb_forward *f, struct tlb_instance *i)
{
	struct tlb_outbound o = make_outbound(f, i, TLB_ATTEMPT_PREFILL);
	tlb_time deadline = tlb_clock_now() + PREFILL_TIMEOUT;

	f->step = TLB_FORWARD_PREFILLING;
	tlb_forward_send(f, i, &o, deadline < f->deadline ? deadline : f->deadline, NULL,
			 on_prefill_done);
}

/* Starts the prefill once a decode reservation is held. Without a usable prefill endpoint the
 * decode endpoint prefills as well. */
static void prefill(struct tlb_forward *f)
{
	struct tlb_instance_query p = tlb_forward_instance_query(f);
	struct tlb_instance *i;

	if (end_if_too_late(f) || refuse_quarantined_or_probe(f))
		return;
	p.tokens = f->inbound.prompt_tokens;
	p.decode_zone = f->gen.decode_reservation.instance->row.zone;
	i = tlb_instances_select_prefill(&f->board->instances, &p);
	if (!i) {
		begin_prefill(f, f->gen.decode_reservation.instance);
		decode(f);
		return;
	}
	begin_prefill(f, i);
	prefill_at(f, i);
}

static void on_decode_reservation(void *arg, bool found)
{
	struct tlb_forward *f = arg;

	if (found)
		prefill(f);
	else
		wait_for_room(f);
}

/* Output length in tokens to reserve memory for. A request that exceeds its reservation may be
 * preempted and prefilled again, which costs more than memory that stays unused for seconds. */
static int64_t reserved_output(const struct tlb_forward *f)
{
	int64_t max_output = f->inbound.max_output_tokens;
	int64_t output =
		(int64_t)((double)f->inbound.expected_output_tokens * OUTPUT_ESTIMATE_FACTOR);

	return output > 0 && output < max_output ? output : max_output;
}

/* Size of the decode reservation in tokens. */
static int64_t reserved_tokens(const struct tlb_forward *f)
{
	return f->inbound.prompt_tokens + reserved_output(f);
}

/* Memory in tokens that must stay free in addition to the reservation, for requests at other VMs. A
 * request that has missed its target leaves enough for one that can still meet it; a request with a
 * long output, which occupies memory longer, leaves enough for one of average output. */
static int64_t headroom_tokens(const struct tlb_forward *f)
{
	int64_t above_mean =
		reserved_output(f) - (int64_t)f->gen.service_queue->mean_reserved_output;

	if (f->gen.streaming || f->possible_runs > 0)
		return 0;
	if (f->gen.item.class == TLB_BATCH)
		return reserved_tokens(f);
	return above_mean > 0 ? above_mean : 0;
}

/* Ends the attempt in progress, which may have run, to move the request to another endpoint. */
static void abandon_attempt(struct tlb_forward *f)
{
	struct tlb_http_result r = {.sent = true, .timed_out = true, .head = "", .body = ""};

	snprintf(r.reason, sizeof(r.reason), "the endpoint's stream fell silent");
	tlb_forward_read_notice(f);
	tlb_http_cancel(&f->call);
	tlb_timer_clear(f->board->loop, &f->timer);
	tlb_evidence_add_abandoned(f);
	end_prefill(f, f->instance, false);
	tlb_forward_record_result(f, &r);
	f->possible_runs++;
	release_kv_cache(f, true);
	f->gen.partial.len = 0;
}

static void on_move_reservation(void *arg, bool found)
{
	struct tlb_forward *f = arg;
	struct tlb_generation_queue *p = f->gen.service_queue;

	/* An event has arrived during the search. */
	if (tlb_clock_now() < f->gen.event_deadline) {
		tlb_decode_reservation_release(&f->gen.decode_reservation);
		return;
	}
	if (!found || f->board->loop->late || tlb_evidence_quarantined_part(f) ||
	    !tlb_forward_may_retry(f, TLB_ATTEMPT_TIMED_OUT)) {
		tlb_decode_reservation_release(&f->gen.decode_reservation);
		set_event_timeout(f, MOVE_RETRY_INTERVAL);
		return;
	}
	if (f->gen.streaming)
		tlb_counter_add(&f->board->counters, TLB_COUNTER_RESUMES, 1);
	abandon_attempt(f);
	prefill(f);
	start_waiting(p);
}

/* Moves a request whose endpoint is silent to another endpoint, once that has room. Until then the
 * attempt goes on: an endpoint that preempts requests is silent for seconds and then continues. */
static void on_event_timeout(void *arg)
{
	struct tlb_forward *f = arg;
	struct tlb_instance_query p = tlb_forward_instance_query(f);

	/* A search that began before the last event goes on, because the loop ran late. */
	if (!tlb_forward_attempts_left(f) || p.now >= f->deadline ||
	    tlb_decode_reservation_is_pending(&f->gen.decode_reservation))
		return;
	/* In a late round, the silence of the endpoint is not proved. */
	if (f->board->loop->late || tlb_evidence_quarantined_part(f) ||
	    !tlb_forward_retry_affordable(f)) {
		set_event_timeout(f, MOVE_RETRY_INTERVAL);
		return;
	}
	tlb_decode_reservation_acquire(&f->gen.decode_reservation, f->board, &p, reserved_tokens(f),
				       0, on_move_reservation, f);
}

/* Starts an attempt: decodes from the KV cache when it is still valid, else prefills once a decode
 * reservation is held. */
static void start_attempt(struct tlb_forward *f)
{
	struct tlb_instance_query p = tlb_forward_instance_query(f);

	if (end_if_too_late(f) || refuse_quarantined(f))
		return;
	if (f->gen.kv_source && p.now < f->gen.kv_deadline) {
		release_window_slot(f, 0);
		decode(f);
		return;
	}
	release_kv_cache(f, false);
	if (has_usable_reservation(f, p.now)) {
		prefill(f);
		return;
	}
	tlb_decode_reservation_release(&f->gen.decode_reservation);
	f->step = TLB_FORWARD_RESERVING;
	tlb_decode_reservation_acquire(&f->gen.decode_reservation, f->board, &p, reserved_tokens(f),
				       headroom_tokens(f), on_decode_reservation, f);
}

/* --- the queue --- */

static struct tlb_forward *forward_of(struct tlb_queue_item *it)
{
	return (struct tlb_forward *)((char *)it - offsetof(struct tlb_forward, gen.item));
}

/* The flow of the request's account, created on demand; NULL without memory. Each step of priority
 * doubles the account's weight, and so its share while others wait. */
static struct tlb_flow *flow_of(struct tlb_generation_queue *p, const struct tlb_forward *f)
{
	const char *account = f->account ? f->account->name : "";
	double weight = 1 << (PRIORITY_LEAST_URGENT - priority_of(f));
	struct tlb_generation_flow *w;

	APR_RING_FOREACH (w, &p->flows, tlb_generation_flow, link) {
		if (strcmp(w->account, account) != 0)
			continue;
		tlb_flow_set_weight(&w->flow, weight);
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

/* Queues the request until expires. Returns false without memory. */
static bool enqueue(struct tlb_forward *f, enum tlb_class class, tlb_time expires, tlb_time now)
{
	struct tlb_generation_queue *p = f->gen.service_queue;
	struct tlb_flow *flow = flow_of(p, f);
	struct tlb_queue_item *it = &f->gen.item;

	if (!flow)
		return false;
	it->class = class;
	it->tokens = f->inbound.prompt_tokens + f->inbound.max_output_tokens + 1;
	it->latest_start = TLB_NEVER;
	it->expires_at = expires;
	tlb_queue_push(&p->queue, flow, it, now);
	f->step = TLB_FORWARD_QUEUED;
	return true;
}

/* Latest time to start a prefill that ends before the deadline. */
static tlb_time latest_prefill_start(const struct tlb_forward *f)
{
	return f->deadline - f->gen.service_queue->mean_prefill_us;
}

/* Ends a queued request that can't be served in time. The error states that it has not run, unless
 * an attempt may have run. */
static void reject(struct tlb_forward *f, const char *reason)
{
	if (f->gen.streaming || f->possible_runs > 0)
		fail_stream(f, reason);
	else
		tlb_forward_refuse(f, TLB_OVERLOADED,
				   tlb_forward_unserved_retry_after_ms(f, OVERLOAD_RETRY_AFTER),
				   reason);
}

/* The earliest time to start a request: now, or the end of the pauses that all decode endpoints
 * have asked for. */
static tlb_time earliest_start(const struct tlb_generation_queue *p, tlb_time now)
{
	tlb_time at =
		tlb_instances_usable_at(&p->board->instances, p->service, TLB_ROLE_DECODE, now);

	return at == TLB_NEVER ? now : at;
}

/* Queues a request that can't meet its target latency as TLB_BATCH when the caller has retried it;
 * refuses a first try with a retry-after time. */
static void enqueue_late(struct tlb_forward *f, tlb_time now)
{
	tlb_time expires = f->exchange->arrived + LATE_MAX_WAIT;

	if (expires > latest_prefill_start(f))
		expires = latest_prefill_start(f);
	if (is_first_try(f) || earliest_start(f->gen.service_queue, now) >= expires ||
	    !enqueue(f, TLB_BATCH, expires, now))
		reject(f, "no endpoint has room in time");
}

/* Returns a request that got no decode reservation to the head of its account's flow. */
static void requeue(struct tlb_forward *f, tlb_time now)
{
	struct tlb_generation_queue *p = f->gen.service_queue;
	struct tlb_flow *flow = flow_of(p, f);
	struct tlb_queue_item *it = &f->gen.item;

	f->step = TLB_FORWARD_QUEUED;
	if (f->board->draining && f->possible_runs == 0) {
		tlb_forward_refuse(f, TLB_DRAINING, 1, "this VM is shutting down");
		return;
	}
	if (!flow || now >= latest_prefill_start(f)) {
		fail_stream(f, "no endpoint had room before the deadline");
		return;
	}
	/* Streams that have begun go before all others: their callers abort after a pause of some
	 * seconds. */
	if (f->gen.streaming || f->possible_runs > 0) {
		it->class = TLB_INTERACTIVE;
		it->expires_at = latest_prefill_start(f);
	}
	tlb_queue_requeue(&p->queue, flow, it);
}

/* Handles the queued requests whose wait has expired or will before one can start. An interactive
 * one can't meet its target any more and may be queued again as TLB_BATCH; the others are rejected.
 */
static void process_expired(struct tlb_generation_queue *p, tlb_time now)
{
	struct tlb_forward *f;
	struct tlb_queue_item *it;
	tlb_time start = earliest_start(p, now);

	while ((it = tlb_queue_expire(&p->queue, start))) {
		f = forward_of(it);
		if (it->class == TLB_INTERACTIVE && f->possible_runs == 0)
			enqueue_late(f, now);
		else
			reject(f, "no endpoint had room in time");
	}
}

static bool always_fits(void *arg, const struct tlb_queue_item *it)
{
	return true;
}

static bool has_endpoints(const struct tlb_generation_queue *p, tlb_time now)
{
	const struct tlb_instances *s = &p->board->instances;

	return tlb_instances_count(s, p->service, TLB_ROLE_DECODE, now) > 0;
}

/* Starts a request that was popped from the queue, and occupies a window slot. */
static void start_queued(struct tlb_generation_queue *p, struct tlb_queue_item *it, tlb_time now)
{
	struct tlb_forward *f = forward_of(it);

	tlb_window_acquire(&p->window);
	f->gen.in_window = true;
	tlb_latency_record(&p->board->latencies, TLB_LATENCY_QUEUE, now - f->exchange->arrived);
	start_attempt(f);
}

/* Sets the pool's timer to the next expiry, or to the time when requests can start again when that
 * comes first. */
static void set_pool_timer(struct tlb_generation_queue *p, tlb_time now)
{
	tlb_time at = tlb_queue_next_expiry(&p->queue);
	tlb_time start = earliest_start(p, now);

	if (tlb_queue_count(&p->queue) > 0 && now < p->full_until && p->full_until < at)
		at = p->full_until;
	if (start > now && start < at)
		at = start;
	tlb_timer_set(p->board->loop, &p->timer, at);
}

/* Starts queued requests as far as the window and the decode endpoints allow. */
static void start_waiting(struct tlb_generation_queue *p)
{
	tlb_time now = tlb_clock_now();
	struct tlb_queue_item *it;

	process_expired(p, now);
	while (tlb_window_has_capacity(&p->window) && now >= p->full_until &&
	       has_endpoints(p, now) && (it = tlb_queue_pop(&p->queue, always_fits, NULL, now)))
		start_queued(p, it, now);
	set_pool_timer(p, now);
}

static void on_pool_timer(void *arg)
{
	start_waiting(arg);
}

/* The pool of the request's service, created on demand; NULL without memory. */
static struct tlb_generation_queue *pool_of(struct tlb_generations *g, const struct tlb_forward *f)
{
	struct tlb_generation_queue *p;

	APR_RING_FOREACH (p, &g->queues, tlb_generation_queue, link) {
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
	tlb_window_init(&p->window, WINDOW_INITIAL, WINDOW_MAX,
			(tlb_time)(f->route->target_latency_ms * WINDOW_TARGET_SHARE * TLB_MS));
	tlb_timer_init(&p->timer, on_pool_timer, p);
	p->mean_prefill_us = PREFILL_INITIAL_ESTIMATE;
	APR_RING_INSERT_TAIL(&g->queues, p, tlb_generation_queue, link);
	return p;
}

static void update_mean_output(struct tlb_generation_queue *p, double output)
{
	if (p->mean_reserved_output == 0)
		p->mean_reserved_output = output;
	p->mean_reserved_output += OUTPUT_SMOOTHING * (output - p->mean_reserved_output);
}

void tlb_generation_start(struct tlb_forward *f)
{
	struct tlb_generation_queue *p = pool_of(&f->board->generations, f);
	tlb_time now = tlb_clock_now();

	f->gen.service_queue = p;
	tlb_timer_init(&f->timer, on_event_timeout, f);
	if (!p) {
		tlb_forward_refuse(f, TLB_OVERLOADED, 0, "no memory for the request");
		return;
	}
	if (f->inbound.ignored_part_count > 0)
		tlb_log_warn("event=prompt_parts_ignored request=%s attempt=%s read=%d ignored=%d",
			     f->exchange->id, f->inbound.attempt_label,
			     f->inbound.shared_part_count, f->inbound.ignored_part_count);
	if (refuse_quarantined(f))
		return;
	if (f->inbound.deadline != TLB_NEVER &&
	    f->inbound.deadline - f->exchange->arrived > p->max_time_budget)
		p->max_time_budget = f->inbound.deadline - f->exchange->arrived;
	if (is_first_try(f))
		update_mean_output(p, (double)reserved_output(f));
	tlb_counter_add(&f->board->counters, TLB_COUNTER_PREFILLS, 1);
	tlb_log_info("event=queue request=%s attempt=%s account=%s prompt=%lld output=%lld "
		     "expected=%lld waiting=%d window=%.1f in_window=%d prefill_ms=%lld",
		     f->exchange->id, f->inbound.attempt_label, f->account ? f->account->name : "-",
		     (long long)f->inbound.prompt_tokens, (long long)f->inbound.max_output_tokens,
		     (long long)f->inbound.expected_output_tokens, tlb_queue_count(&p->queue),
		     p->window.limit, p->window.in_use, (long long)(p->mean_prefill_us / TLB_MS));
	if (!can_meet_target(f, earliest_start(p, now)))
		enqueue_late(f, now);
	else if (!enqueue(f, TLB_INTERACTIVE,
			  f->exchange->arrived + f->route->target_latency_ms * TLB_MS -
				  p->mean_prefill_us,
			  now))
		tlb_forward_refuse(f, TLB_OVERLOADED, 0, "no memory for the request");
	start_waiting(p);
}

void tlb_generation_end(struct tlb_forward *f)
{
	struct tlb_generation *g = &f->gen;

	if (!g->service_queue)
		return;
	tlb_queue_remove(&g->service_queue->queue, &g->item);
	if (f->instance) {
		tlb_evidence_add_abandoned(f);
		end_prefill(f, f->instance, false);
	}
	release_window_slot(f, 0);
	release_kv_cache(f, false);
	tlb_decode_reservation_release(&g->decode_reservation);
	tlb_exchange_drop(f->exchange, &g->partial);
	tlb_exchange_drop(f->exchange, &g->last_event_id);
	/* Queued requests are started from the event loop, because this function may be called
	 * while the queue is being processed. */
	tlb_timer_set(f->board->loop, &g->service_queue->timer, tlb_clock_now());
}

void tlb_generations_init(struct tlb_generations *g, struct tlb_edge_board *b)
{
	g->board = b;
	APR_RING_INIT(&g->queues, tlb_generation_queue, link);
}

static void free_pool(struct tlb_generation_queue *p)
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
	struct tlb_generation_queue *p;

	while (!APR_RING_EMPTY(&g->queues, tlb_generation_queue, link)) {
		p = APR_RING_FIRST(&g->queues);
		APR_RING_REMOVE(p, link);
		free_pool(p);
	}
}

void tlb_generations_dispatch(struct tlb_generations *g)
{
	struct tlb_generation_queue *p;

	APR_RING_FOREACH (p, &g->queues, tlb_generation_queue, link) {
		start_waiting(p);
	}
}

void tlb_generations_refuse_waiting(struct tlb_generations *g)
{
	struct tlb_forward *f;
	struct tlb_forward *next;

	APR_RING_FOREACH_SAFE (f, next, &g->board->forwards.requests, tlb_forward, link) {
		if (f->step == TLB_FORWARD_QUEUED && f->possible_runs == 0)
			tlb_forward_refuse(f, TLB_DRAINING, 1, "this VM is shutting down");
	}
}
