#include "load.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "board.h"
#include "log.h"

/* A report that takes longer is taken as a failed call. */
#define REPORT_TIMEOUT (1 * TLB_SECOND)

enum { BATCH_RESERVE_SHARE = 7, MEDIAN_ENGINES = 256 };

/* How long the engine may hold a request without a booking before it is cancelled: a booking and
 * the engine's list are never read at the same instant. */
#define STRAY_GRACE (2 * TLB_SECOND)

static void poll_target(void *arg);

void tlb_load_reset_book(struct tlb_target *t)
{
	tlb_book_init(&t->book, t->total_pieces, t->total_pieces / BATCH_RESERVE_SHARE,
		      STRAY_GRACE);
	t->book.max_requests = t->max_requests;
	t->book.preempt_cost = TLB_PREEMPT_COST;
}

void tlb_load_init(struct tlb_load *l, struct tlb_board *b)
{
	l->board = b;
	APR_RING_INIT(&l->targets, tlb_target, link);
}

void tlb_load_finish(struct tlb_load *l)
{
	struct tlb_target *t;

	while (!APR_RING_EMPTY(&l->targets, tlb_target, link)) {
		t = APR_RING_FIRST(&l->targets);
		APR_RING_REMOVE(t, link);
		tlb_http_cancel(&t->call);
		tlb_http_cancel(&t->held_call);
		tlb_timer_clear(l->board->loop, &t->timer);
		free(t);
	}
}

struct tlb_target *tlb_load_find(const struct tlb_load *l, const char *id)
{
	struct tlb_target *t;

	APR_RING_FOREACH (t, &l->targets, tlb_target, link) {
		if (strcmp(t->id, id) == 0)
			return t;
	}
	return NULL;
}

static void take_report(struct tlb_target *t, const json_t *j)
{
	tlb_time age_us = json_integer_value(json_object_get(j, "age_ms")) * TLB_MS;
	int held = (int)json_integer_value(json_object_get(j, "held_pieces"));
	int total = (int)json_integer_value(json_object_get(j, "total_pieces"));

	t->reported_at = tlb_clock_now() - age_us;
	t->running = (int)json_integer_value(json_object_get(j, "running"));
	t->queued_tokens = json_integer_value(json_object_get(j, "queued_tokens"));
	if (total > 0)
		t->free_pieces = total - held;
	t->own_pieces = 0;
	t->own_tokens = 0;
}

static void on_report(void *arg, const struct tlb_http_result *r)
{
	struct tlb_target *t = arg;
	json_t *j = r->status == 200 ? json_loadb(r->body, r->body_len, 0, NULL) : NULL;

	if (j)
		take_report(t, j);
	json_decref(j);
	tlb_timer_set(t->board->loop, &t->timer, tlb_clock_now() + TLB_LOAD_INTERVAL);
}

static void poll_target(void *arg)
{
	struct tlb_target *t = arg;
	char url[TLB_ADDR_LEN + 32];
	struct tlb_http_spec spec = {
		.method = "GET",
		.url = url,
		.deadline = tlb_clock_now() + REPORT_TIMEOUT,
		.on_done = on_report,
		.arg = t,
	};

	if (!t->present)
		return;
	snprintf(url, sizeof(url), "http://%s/load", t->addr);
	tlb_http_start(t->board->http, &t->call, &spec, NULL);
}

static struct tlb_target *target_new(struct tlb_load *l, const char *id)
{
	struct tlb_target *t = calloc(1, sizeof(*t));

	/* A daemon that can't hold its endpoints can't serve. */
	if (!t)
		abort();
	t->board = l->board;
	strcpy(t->id, id);
	tlb_timer_init(&t->timer, poll_target, t);
	APR_RING_INSERT_TAIL(&l->targets, t, tlb_target, link);
	return t;
}

static const char *const state_names[] = {"joining", "active", "leaving"};
static const char *const role_names[] = {"prefill", "decode", "service"};

static void log_state(const struct tlb_target *t, const struct tlb_endpoint *e)
{
	tlb_log_info("event=endpoint endpoint=%s state=%s addr=%s", e->id, state_names[e->state],
		     e->addr);
}

static void take_row(struct tlb_target *t, const struct tlb_endpoint *e)
{
	bool fresh = !t->present;

	if (fresh || t->state != e->state || strcmp(t->addr, e->addr) != 0)
		log_state(t, e);
	if (e->state == TLB_ENDPOINT_ACTIVE && !fresh && t->state != TLB_ENDPOINT_ACTIVE)
		t->health.joined_at = tlb_clock_now();
	t->present = true;
	t->role = e->role;
	t->state = e->state;
	t->checks_fencing = e->checks_fencing;
	t->link_mbps = e->link_mbps;
	strcpy(t->pool, e->pool);
	strcpy(t->zone, e->zone);
	strcpy(t->addr, e->addr);
	t->total_pieces = e->pieces;
	t->max_requests = e->max_requests;
	if (fresh) {
		t->free_pieces = e->pieces;
		tlb_load_reset_book(t);
	}
	tlb_book_resize(&t->book, e->pieces, e->pieces / BATCH_RESERVE_SHARE);
	t->book.max_requests = e->max_requests;
	if (fresh && e->role != TLB_ROLE_SERVICE)
		tlb_timer_set(t->board->loop, &t->timer, tlb_clock_now());
}

void tlb_load_sync(struct tlb_load *l)
{
	struct tlb_endpoint *e;
	struct tlb_target *t;

	APR_RING_FOREACH (t, &l->targets, tlb_target, link) {
		if (!tlb_table_endpoint(l->board->table, t->id))
			t->present = false;
	}
	APR_RING_FOREACH (e, &l->board->table->endpoints, tlb_endpoint, link) {
		t = tlb_load_find(l, e->id);
		if (!t)
			t = target_new(l, e->id);
		take_row(t, e);
	}
}

void tlb_load_candidate(const struct tlb_target *t, tlb_time now, struct tlb_candidate *c)
{
	memset(c, 0, sizeof(*c));
	c->id = t->id;
	c->zone = t->zone;
	c->usable = t->present && t->state == TLB_ENDPOINT_ACTIVE;
	c->link_mbps = t->link_mbps;
	c->reported_at = t->reported_at;
	c->joined_at = t->health.joined_at;
	c->ejected_until = t->health.ejected_until;
	c->total_pieces = t->total_pieces;
	c->free_pieces = t->free_pieces;
	c->own_pieces = t->own_pieces;
	c->running = t->running;
	c->token_gap_us = t->token_gap_us;
	c->queued_tokens = t->queued_tokens;
	c->own_tokens = t->own_tokens;
	c->tokens_per_second = t->tokens_per_second;
}

/* Median latency of the engines of the target's pool and role; 0 for services, whose routes differ
 * in what a call takes. */
static tlb_time median_latency(const struct tlb_target *t)
{
	double latency[MEDIAN_ENGINES];
	const struct tlb_target *k;
	int n = 0;

	if (t->role == TLB_ROLE_SERVICE)
		return 0;
	APR_RING_FOREACH (k, &t->board->load.targets, tlb_target, link) {
		if (n < MEDIAN_ENGINES && k->present && k->role == t->role &&
		    strcmp(k->pool, t->pool) == 0)
			latency[n++] = k->health.latency_us;
	}
	return tlb_place_median(latency, n);
}

void tlb_load_outcome(struct tlb_target *t, bool ok, tlb_time latency_us)
{
	tlb_time now = tlb_clock_now();

	if (!tlb_place_eject(&t->health, ok, latency_us, ok ? median_latency(t) : 0, now))
		return;
	tlb_log_warn("event=eject endpoint=%s until_ms=%lld failures=%d", t->id,
		     (long long)((t->health.ejected_until - now) / TLB_MS), t->health.failures);
}

static json_t *show(const struct tlb_target *t, tlb_time now)
{
	char vm[TLB_ID_LEN];
	bool exact = t->role == TLB_ROLE_DECODE &&
		     tlb_board_owner(t->board, t->id, vm) == TLB_OWNER_SELF;
	int free_pieces = exact ? tlb_book_free(&t->book) : t->free_pieces;
	json_int_t age_ms = t->reported_at ? (now - t->reported_at) / TLB_MS : -1;

	return json_pack("{s:s,s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:i,s:I,s:b}", "endpoint", t->id, "role",
			 role_names[t->role], "pool", t->pool, "zone", t->zone, "state",
			 state_names[t->state], "free_pieces", free_pieces, "total_pieces",
			 t->total_pieces, "running", t->running, "in_flight", t->in_flight,
			 "report_age_ms", age_ms, "ejected", t->health.ejected_until > now);
}

json_t *tlb_load_list(const struct tlb_load *l)
{
	const struct tlb_target *t;
	json_t *list = json_array();

	APR_RING_FOREACH (t, &l->targets, tlb_target, link) {
		if (t->present)
			json_array_append_new(list, show(t, tlb_clock_now()));
	}
	return list;
}
