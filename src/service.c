#include "service.h"

#include <stdlib.h>
#include <string.h>

#include "board.h"
#include "ingress.h"
#include "idem.h"
#include "log.h"
#include "retry.h"

#define CLAIM_TIMEOUT (3 * TLB_SECOND)
#define RECORD_TIMEOUT (20 * TLB_SECOND)
/* A response is recorded before it is sent to the caller, so that a repeat finds it. When the table
 * service is slow, the response is sent after this time while recording continues. */
#define RECORD_WAIT_MAX (1 * TLB_SECOND)

enum { TRIED_MAX = 8 };

/* Retry budget: retries earned per first attempt, and the most that can accumulate. */
#define RETRY_FRACTION 0.1
#define RETRY_BUDGET_MAX 10.0

enum step { STEP_RESERVE, STEP_CLAIM, STEP_CALL, STEP_BACKOFF, STEP_RECORD };

static const char *const step_names[] = {"reserve", "claim", "call", "backoff", "record"};

/* One call to a plain service. Owned by the ring of struct tlb_services. */
struct tlb_service_call {
	APR_RING_ENTRY(tlb_service_call) link;
	struct tlb_board *board;
	struct tlb_exchange *exchange; /* NULL once the caller disconnected or got its response */
	char id[TLB_REQUEST_ID_LEN];
	char account[TLB_ID_LEN];
	char pool[TLB_ID_LEN];
	char route[TLB_ID_LEN];
	char method[8];
	char *target;	    /* path and query */
	char *content_type; /* "" when absent */
	char *body;
	size_t body_len;
	bool idempotent;
	bool claimed;
	bool dispatched;
	enum step step;
	int64_t cost;
	tlb_time arrived;
	tlb_time deadline;
	struct tlb_reservation reservation;
	struct tlb_idem idem;
	struct tlb_http_call call;
	struct tlb_target *endpoint;
	const struct tlb_target *tried[TRIED_MAX];
	int tried_count;
	int attempt;
	tlb_time call_began;
	struct tlb_timer timer;
	/* The response to the caller; of a claimed call it is recorded before it is sent. */
	int status;
	char *reply_type;
	char *reply;
	size_t reply_len;
};

static void dispatch(struct tlb_service_call *c);

void tlb_services_init(struct tlb_services *s, struct tlb_board *b)
{
	s->board = b;
	tlb_retry_init(&s->retry, RETRY_FRACTION, RETRY_BUDGET_MAX);
	APR_RING_INIT(&s->calls, tlb_service_call, link);
}

size_t tlb_services_count(const struct tlb_services *s)
{
	const struct tlb_service_call *c;
	size_t n = 0;

	APR_RING_FOREACH (c, &s->calls, tlb_service_call, link) {
		n++;
	}
	return n;
}

json_t *tlb_services_list(const struct tlb_services *s)
{
	const struct tlb_service_call *c;
	json_t *list = json_array();
	tlb_time now = tlb_clock_now();

	APR_RING_FOREACH (c, &s->calls, tlb_service_call, link) {
		json_array_append_new(
			list, json_pack("{s:s,s:s,s:s,s:s,s:s,s:I,s:i}", "id", c->id, "account",
					c->account, "model", c->route, "step", step_names[c->step],
					"class", "service", "age_ms",
					(json_int_t)((now - c->arrived) / TLB_MS), "tokens", 0));
	}
	return list;
}

/* Frees a call that holds nothing but memory. */
static void free_memory(struct tlb_service_call *c)
{
	free(c->target);
	free(c->content_type);
	free(c->reply_type);
	free(c->body);
	free(c->reply);
	free(c);
}

static void free_call(struct tlb_service_call *c)
{
	tlb_http_cancel(&c->call);
	tlb_idem_cancel(&c->idem);
	tlb_limit_release(&c->reservation);
	tlb_timer_clear(c->board->loop, &c->timer);
	tlb_counter_add(&c->board->counters, TLB_COUNTER_IN_FLIGHT, -1);
	APR_RING_REMOVE(c, link);
	free_memory(c);
}

static void log_end(const struct tlb_service_call *c, const char *result, const char *code)
{
	tlb_log_info("event=end request=%s account=%s result=%s code=%s step=%s route=%s "
		     "endpoint=%s attempts=%d total_ms=%lld",
		     c->id, c->account, result, code, step_names[c->step], c->route,
		     c->endpoint ? c->endpoint->id : "-", c->attempt,
		     (long long)((tlb_clock_now() - c->arrived) / TLB_MS));
}

static void fail(struct tlb_service_call *c, enum tlb_code code, enum tlb_outcome outcome,
		 int retry_after_s, const char *message)
{
	struct tlb_error err;

	tlb_error_set(&err, code, outcome, step_names[c->step], c->endpoint ? c->endpoint->id : "",
		      "%s", message);
	log_end(c, "refused", tlb_error_name(code));
	tlb_counter_add(&c->board->counters,
			outcome == TLB_OUTCOME_UNKNOWN ? TLB_COUNTER_FAILED_UNKNOWN
						       : TLB_COUNTER_REFUSED_NOT_RUN,
			1);
	if (c->exchange)
		tlb_exchange_refuse(c->exchange, &err, retry_after_s);
	c->exchange = NULL;
	free_call(c);
}

static void send_reply(struct tlb_service_call *c)
{
	char *copy = malloc(c->reply_len + 1);

	if (!c->exchange || !copy) {
		free(copy);
		return;
	}
	memcpy(copy, c->reply ? c->reply : "", c->reply_len);
	tlb_counter_add(&c->board->counters, TLB_COUNTER_ANSWERED, 1);
	tlb_exchange_reply(c->exchange, c->status, c->reply_type, copy, c->reply_len);
	c->exchange = NULL;
}

static void finish_call(struct tlb_service_call *c)
{
	log_end(c, "answered", "ok");
	send_reply(c);
	free_call(c);
}

/* Called when the caller has disconnected. A claimed call continues, so that its response is
 * recorded; a claim that is being written is awaited, so that it can be withdrawn. Any other call
 * ends. */
static void on_disconnect(void *arg)
{
	struct tlb_service_call *c = arg;

	c->exchange = NULL;
	tlb_counter_add(&c->board->counters, TLB_COUNTER_CALLER_DISCONNECTED, 1);
	if (c->step == STEP_CLAIM || c->claimed)
		return;
	log_end(c, "caller_gone", "-");
	free_call(c);
}

/* --- the outcome of a claimed call --- */

static void on_recorded(void *arg, bool recorded)
{
	struct tlb_service_call *c = arg;

	if (!recorded)
		tlb_log_warn("event=record_failed request=%s row=%s", c->id, c->idem.row);
	finish_call(c);
}

static void on_withdrawn(void *arg, bool withdrawn)
{
	struct tlb_service_call *c = arg;

	/* The outcome is TLB_OUTCOME_NOT_RUN even if the withdrawal failed. A repeat then gets
	 * TLB_IN_PROGRESS as long as the claim exists, but the call was not and will not be
	 * dispatched. */
	fail(c, TLB_NO_ENDPOINT, TLB_OUTCOME_NOT_RUN, 1, "no endpoint could be reached");
}

static void record_response(struct tlb_service_call *c)
{
	struct tlb_idem_record r = {c->status, c->reply_type, c->reply, c->reply_len};

	if (!c->claimed) {
		finish_call(c);
		return;
	}
	c->step = STEP_RECORD;
	tlb_timer_set(c->board->loop, &c->timer, tlb_clock_now() + RECORD_WAIT_MAX);
	tlb_idem_record(&c->idem, &r, tlb_clock_now() + RECORD_TIMEOUT, on_recorded, c);
}

static void fail_not_run(struct tlb_service_call *c)
{
	if (!c->claimed) {
		fail(c, TLB_NO_ENDPOINT, TLB_OUTCOME_NOT_RUN, 1, "no endpoint could be reached");
		return;
	}
	c->step = STEP_RECORD;
	tlb_idem_withdraw(&c->idem, tlb_clock_now() + RECORD_TIMEOUT, on_withdrawn, c);
}

/* --- the call itself --- */

static void on_timer(void *arg)
{
	struct tlb_service_call *c = arg;

	if (c->step == STEP_BACKOFF)
		dispatch(c);
	else if (c->step == STEP_RECORD)
		send_reply(c);
}

/* Retries or fails a call after a failed attempt. sent: the endpoint may have processed the
 * request. */
static void handle_call_failure(struct tlb_service_call *c, bool sent, const char *reason)
{
	tlb_time now = tlb_clock_now();
	tlb_time retry_at;

	tlb_log_warn("event=call_failed request=%s endpoint=%s attempt=%d sent=%d reason=\"%s\"",
		     c->id, c->endpoint->id, c->attempt, sent, reason);
	if (sent && !c->idempotent) {
		fail(c, now >= c->deadline ? TLB_TIMEOUT : TLB_ENDPOINT_FAILED, TLB_OUTCOME_UNKNOWN,
		     0, "the endpoint did not complete its response; the call may have run");
		return;
	}
	if (c->tried_count < TRIED_MAX)
		c->tried[c->tried_count++] = c->endpoint;
	if (tlb_retry_decide(&c->board->services.retry,
			     c->idempotent ? TLB_STEP_IDEMPOTENT_CALL
					   : TLB_STEP_NON_IDEMPOTENT_CALL,
			     sent, c->attempt, now, c->deadline, &c->board->place.random,
			     &retry_at) == TLB_RETRY_SCHEDULED) {
		c->step = STEP_BACKOFF;
		tlb_timer_set(c->board->loop, &c->timer, retry_at);
		return;
	}
	if (c->dispatched)
		fail(c, TLB_ENDPOINT_FAILED, TLB_OUTCOME_UNKNOWN, 0, "endpoints failed repeatedly");
	else
		fail_not_run(c);
}

/* type: "" when the endpoint has stated none. */
static void set_reply_type(struct tlb_service_call *c, const char *type)
{
	free(c->reply_type);
	c->reply_type = strdup(*type ? type : "application/octet-stream");
}

static void copy_response(struct tlb_service_call *c, const struct tlb_http_result *r)
{
	c->status = r->status;
	set_reply_type(c, r->content_type);
	c->reply = malloc(r->body_len + 1);
	if (!c->reply)
		return;
	memcpy(c->reply, r->body, r->body_len + 1);
	c->reply_len = r->body_len;
}

/* Replaces a 5xx response of an endpoint by an error with outcome "unknown": whatever the response
 * says, it does not prove that the call did not run. */
static void set_server_error_reply(struct tlb_service_call *c, int status)
{
	json_t *j =
		json_pack("{s:{s:s,s:o,s:s,s:s}}", "error", "code",
			  tlb_error_name(TLB_ENDPOINT_FAILED), "message",
			  json_sprintf("the endpoint answered with status %d; the call may have "
				       "run",
				       status),
			  "outcome", tlb_outcome_name(TLB_OUTCOME_UNKNOWN), "request_id", c->id);

	c->status = tlb_error_http_status(TLB_ENDPOINT_FAILED);
	set_reply_type(c, "application/json");
	c->reply = j ? json_dumps(j, JSON_COMPACT) : NULL;
	c->reply_len = c->reply ? strlen(c->reply) : 0;
	json_decref(j);
}

static void on_response(void *arg, const struct tlb_http_result *r)
{
	struct tlb_service_call *c = arg;

	c->endpoint->in_flight--;
	if (r->sent)
		c->dispatched = true;
	tlb_load_record_outcome(c->endpoint, r->status > 0 && r->status < 500,
				tlb_clock_now() - c->call_began);
	/* An idempotent call that got 503 is retried at another endpoint. A non-idempotent one
	 * fails with outcome "unknown". */
	if (r->status == 0 || (r->status == 503 && c->idempotent)) {
		handle_call_failure(c, r->sent, r->reason[0] ? r->reason : "status 503");
		return;
	}
	if (r->status >= 500)
		set_server_error_reply(c, r->status);
	else
		copy_response(c, r);
	record_response(c);
}

static bool was_tried(const struct tlb_service_call *c, const struct tlb_target *t)
{
	int i;

	for (i = 0; i < c->tried_count; i++)
		if (c->tried[i] == t)
			return true;
	return false;
}

/* Selection cost of an endpoint; the lowest is selected. The base is this daemon's calls in flight
 * there. Another zone counts as one more call; ejected endpoints are selected only when no other is
 * left, and tried ones last. The random part breaks ties. */
static double selection_cost(const struct tlb_service_call *c, const struct tlb_target *t,
			     tlb_time now)
{
	double cost = t->in_flight;

	if (strcmp(t->zone, c->board->settings->zone) != 0)
		cost += 1.0;
	if (t->health.ejected_until > now)
		cost += 1000.0;
	if (was_tried(c, t))
		cost += 10000.0;
	return cost + tlb_random_unit(&c->board->place.random);
}

static struct tlb_target *select_endpoint(struct tlb_service_call *c, int *candidate_count)
{
	struct tlb_target *best = NULL;
	struct tlb_target *t;
	tlb_time now = tlb_clock_now();
	double best_cost = 0;
	double cost;

	*candidate_count = 0;
	APR_RING_FOREACH (t, &c->board->load.targets, tlb_target, link) {
		if (t->role != TLB_ROLE_SERVICE || strcmp(t->pool, c->pool) != 0 || !t->present ||
		    t->state != TLB_ENDPOINT_ACTIVE)
			continue;
		(*candidate_count)++;
		cost = selection_cost(c, t, now);
		if (best && cost >= best_cost)
			continue;
		best = t;
		best_cost = cost;
	}
	return best;
}

static void dispatch(struct tlb_service_call *c)
{
	char url[TLB_ADDR_LEN + 16];
	int candidate_count;
	struct tlb_http_spec spec = {
		.method = c->method,
		.url = url,
		.target = c->target,
		.body = c->body ? c->body : (strcmp(c->method, "POST") == 0 ? "" : NULL),
		.body_len = c->body_len,
		.content_type = c->content_type[0] ? c->content_type : NULL,
		.idempotency_key = c->claimed ? strrchr(c->idem.row, '/') + 1 : NULL,
		.deadline = c->deadline,
		.dedicated_connection = true,
		.on_done = on_response,
		.arg = c,
	};

	c->step = STEP_CALL;
	c->endpoint = select_endpoint(c, &candidate_count);
	if (!c->endpoint || !tlb_board_session_valid(c->board)) {
		fail_not_run(c);
		return;
	}
	c->attempt++;
	tlb_log_info("event=place_service request=%s account=%s route=%s attempt=%d chosen=%s "
		     "weighed=%d reason=least_busy",
		     c->id, c->account, c->route, c->attempt, c->endpoint->id, candidate_count);
	snprintf(url, sizeof(url), "http://%s/", c->endpoint->addr);
	c->endpoint->in_flight++;
	c->call_began = tlb_clock_now();
	tlb_http_start(c->board->http, &c->call, &spec);
}

/* --- idempotency claim and token reservation --- */

static void replay_recorded(struct tlb_service_call *c, const struct tlb_idem_record *r)
{
	c->status = r->status;
	set_reply_type(c, r->content_type ? r->content_type : "");
	/* The body may contain NUL bytes. */
	c->reply = malloc(r->body_len + 1);
	c->reply_len = c->reply ? r->body_len : 0;
	if (c->reply_len > 0)
		memcpy(c->reply, r->body, c->reply_len);
	if (c->reply)
		c->reply[c->reply_len] = '\0';
	finish_call(c);
}

static void on_claim(void *arg, enum tlb_idem_result result, const struct tlb_idem_record *r)
{
	struct tlb_service_call *c = arg;

	switch (result) {
	case TLB_IDEM_CLAIMED:
		c->claimed = true;
		if (c->exchange)
			dispatch(c);
		else
			fail_not_run(c);
		break;
	case TLB_IDEM_RECORDED:
		replay_recorded(c, r);
		break;
	case TLB_IDEM_NOT_STORED:
		fail(c, TLB_RESPONSE_NOT_KEPT, TLB_OUTCOME_UNKNOWN, 0,
		     "the call ran before; its response was too large to be kept");
		break;
	case TLB_IDEM_IN_PROGRESS:
		fail(c, TLB_IN_PROGRESS, TLB_OUTCOME_UNKNOWN, 0,
		     "a call with this Idempotency-Key was begun and has no recorded response");
		break;
	case TLB_IDEM_MISMATCH:
		fail(c, TLB_BODY_MISMATCH, TLB_OUTCOME_NOT_RUN, 0,
		     "this Idempotency-Key was used for another request");
		break;
	case TLB_IDEM_UNAVAILABLE:
		fail(c, TLB_STORE_UNAVAILABLE, TLB_OUTCOME_NOT_RUN, 2,
		     "the record of paid calls can't be reached; nothing was sent");
		break;
	}
}

static void claim_key(struct tlb_service_call *c)
{
	c->step = STEP_CLAIM;
	tlb_idem_claim(&c->idem, c->board->store, c->account, c->exchange->idempotency_key,
		       c->board->settings->vm_id, c->method, c->target, c->body, c->body_len,
		       tlb_clock_now() + CLAIM_TIMEOUT, on_claim, c);
}

static void claim_or_dispatch(struct tlb_service_call *c)
{
	if (!c->idempotent && c->exchange->idempotency_key[0])
		claim_key(c);
	else
		dispatch(c);
}

static void on_reserved(void *arg, bool granted, tlb_time retry_after, const struct tlb_error *err)
{
	struct tlb_service_call *c = arg;

	if (!granted) {
		fail(c, err->code, TLB_OUTCOME_NOT_RUN,
		     retry_after > 0 && retry_after < TLB_NEVER
			     ? (int)(retry_after / TLB_SECOND) + 1
			     : 1,
		     err->message);
		return;
	}
	tlb_limit_reconcile(&c->reservation, c->cost, c->cost);
	/* The route's time-out covers the call only, so the wait for the reservation is added. */
	c->deadline += tlb_clock_now() - c->arrived;
	claim_or_dispatch(c);
}

static struct tlb_service_call *call_new(struct tlb_services *s, struct tlb_exchange *x,
					 const struct tlb_route *route, const char *account)
{
	struct tlb_service_call *c = calloc(1, sizeof(*c));

	if (!c)
		return NULL;
	c->board = s->board;
	c->exchange = x;
	c->arrived = x->arrived;
	c->deadline = x->arrived + route->timeout_ms * TLB_MS;
	c->idempotent = route->idempotent;
	c->cost = route->cost;
	snprintf(c->id, sizeof(c->id), "%s", x->id);
	snprintf(c->account, sizeof(c->account), "%s", account);
	strcpy(c->pool, route->pool);
	strcpy(c->route, route->id);
	strcpy(c->method, x->method);
	c->content_type = strdup(x->content_type);
	c->body_len = x->body.len;
	c->body = tlb_buffer_detach(&x->body);
	c->target = strdup(x->target);
	tlb_timer_init(&c->timer, on_timer, c);
	return c;
}

static void refuse(struct tlb_services *s, struct tlb_exchange *x, const char *account,
		   enum tlb_code code, const char *message)
{
	struct tlb_error err;

	tlb_error_set(&err, code, TLB_OUTCOME_NOT_RUN, "parse", "", "%s", message);
	tlb_ingress_refuse(s->board, x, account, &err);
}

void tlb_service_start(struct tlb_services *s, struct tlb_exchange *x,
		       const struct tlb_route *route, const char *account)
{
	struct tlb_service_call *c;

	c = call_new(s, x, route, account);
	if (!c || !c->target || !c->content_type) {
		if (c)
			free_memory(c);
		refuse(s, x, account, TLB_INTERNAL, "no memory");
		return;
	}
	x->on_disconnect = on_disconnect;
	x->arg = c;
	APR_RING_INSERT_TAIL(&s->calls, c, tlb_service_call, link);
	tlb_counter_add(&s->board->counters, TLB_COUNTER_IN_FLIGHT, 1);
	c->step = STEP_RESERVE;
	tlb_retry_count_first(&s->retry);
	if (!account[0] || c->cost == 0)
		claim_or_dispatch(c);
	else
		tlb_limit_reserve(&s->board->limit, &c->reservation, account, c->id, c->cost,
				  c->arrived + s->board->settings->interactive_wait_ms * TLB_MS,
				  on_reserved, c);
}

void tlb_services_finish(struct tlb_services *s)
{
	struct tlb_service_call *c;

	while (!APR_RING_EMPTY(&s->calls, tlb_service_call, link)) {
		c = APR_RING_FIRST(&s->calls);
		fail(c, TLB_DRAINING,
		     c->dispatched || c->step == STEP_CALL ? TLB_OUTCOME_UNKNOWN
							   : TLB_OUTCOME_NOT_RUN,
		     1, "this VM is shutting down");
	}
}
