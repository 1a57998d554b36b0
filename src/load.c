#include "load.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "board.h"
#include "log.h"

/* Time-out of one poll. */
#define POLL_TIMEOUT (1 * TLB_SECOND)

/* A daemon that owns more endpoints than this sends reports of the first ones only. */
enum { REPORT_ENDPOINTS_MAX = 1024 };

enum { BATCH_RESERVE_DIVISOR = 7, MEDIAN_ENGINES = 256 };

/* How long an engine may hold a request without a booking before it is cancelled: the booking table
 * and the engine's held list are not read at the same instant. */
#define ORPHAN_GRACE (2 * TLB_SECOND)

/* Polls start this long before their results are sent and are spread over POLL_SPREAD: an engine
 * answers in a few ms, and simultaneous calls would each need memory. */
#define POLL_LEAD (150 * TLB_MS)
#define POLL_SPREAD (100 * TLB_MS)
enum { POLL_STEPS = 20 };

/* How long the free blocks of a booking reply are valid at least. Shorter than the life of a
 * report, because a reply is no sign that the engine is alive. */
#define REPLY_VALID_TIME (500 * TLB_MS)

static void poll_target(void *arg);
static void on_notice_timer(void *arg);

static bool owns_shard(const struct tlb_target *t)
{
	return tlb_shard_set_contains(t->board->load.owned_shards, tlb_shard_for_id(t->id));
}

/* Allocates or frees the orphan array: it is most of a booking table's memory, and only the owner
 * of the endpoint's shard uses it. */
static void update_orphan_array(struct tlb_target *t)
{
	bool needed = t->role == TLB_ROLE_DECODE && owns_shard(t);

	if (needed == (t->orphans != NULL))
		return;
	free(t->orphans);
	t->orphans = needed ? calloc(TLB_BOOKING_MAX_ORPHANS, sizeof(*t->orphans)) : NULL;
	/* Without the array, memory held by orphans would be booked again. */
	if (needed && !t->orphans)
		abort();
	t->bookings.orphans = t->orphans;
	t->bookings.orphan_count = 0;
}

void tlb_load_reset_bookings(struct tlb_target *t)
{
	update_orphan_array(t);
	tlb_booking_table_init(&t->bookings, t->orphans, t->total_blocks,
			       t->total_blocks / BATCH_RESERVE_DIVISOR, ORPHAN_GRACE);
	t->bookings.max_requests = t->max_requests;
	t->bookings.preempt_cost = TLB_PREEMPT_COST;
}

void tlb_load_init(struct tlb_load *l, struct tlb_board *b)
{
	memset(l, 0, sizeof(*l));
	l->board = b;
	/* A daemon without a cluster owns all shards. */
	l->owned_shards = b->cluster ? 0 : ~(tlb_shard_set)0;
	APR_RING_INIT(&l->targets, tlb_target, link);
	tlb_timer_init(&l->notice_timer, on_notice_timer, l);
}

void tlb_load_finish(struct tlb_load *l)
{
	struct tlb_target *t;

	tlb_timer_clear(l->board->loop, &l->notice_timer);
	while (!APR_RING_EMPTY(&l->targets, tlb_target, link)) {
		t = APR_RING_FIRST(&l->targets);
		APR_RING_REMOVE(t, link);
		tlb_http_cancel(&t->call);
		tlb_http_cancel(&t->reconcile_call);
		tlb_timer_clear(l->board->loop, &t->timer);
		free(t->dispatches);
		free(t->orphans);
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

/* --- reports --- */

static void apply_report(struct tlb_target *t, const struct tlb_report *r)
{
	t->report = *r;
	t->free_blocks = r->free_blocks;
	t->free_expires = r->measured_at + TLB_REPORT_LIFE;
	t->local_blocks = 0;
}

static void parse_report(struct tlb_target *t, const json_t *j)
{
	const struct tlb_board *b = t->board;
	tlb_time age_us = json_integer_value(json_object_get(j, "age_ms")) * TLB_MS;
	int held = (int)json_integer_value(json_object_get(j, "held_pieces"));
	int total = (int)json_integer_value(json_object_get(j, "total_pieces"));
	struct tlb_report r = {
		.source = b->cluster ? tlb_cluster_incarnation(b->cluster) : 0,
		.number = ++t->board->load.last_report_number,
		.measured_at = t->poll_started_at - age_us,
		.free_blocks = total > 0 ? total - held : t->free_blocks,
		.running = (int)json_integer_value(json_object_get(j, "running")),
		.queued_tokens = json_integer_value(json_object_get(j, "queued_tokens")),
	};

	if (tlb_report_replaces(&r, &t->report))
		apply_report(t, &r);
}

static bool is_owner(const struct tlb_target *t)
{
	char vm[TLB_ID_LEN];

	return tlb_board_owner(t->board, t->id, vm) == TLB_OWNER_SELF;
}

/* Free blocks by the booking table if it is in use, because it includes bookings whose requests
 * have not reached the engine; otherwise by the last report. */
static int current_free_blocks(const struct tlb_target *t)
{
	return t->role == TLB_ROLE_DECODE && t->bookings.granting
		       ? tlb_booking_table_free_blocks(&t->bookings)
		       : t->report.free_blocks;
}

bool tlb_load_report(const struct tlb_target *t, Toucan__LoadReport *out)
{
	tlb_time now = tlb_clock_now();

	if (!t->polled || !is_owner(t) || !tlb_report_fresh(&t->report, now))
		return false;
	toucan__load_report__init(out);
	out->endpoint = (char *)t->id;
	out->free_pieces = current_free_blocks(t);
	out->running = t->report.running;
	out->queued_tokens = t->report.queued_tokens;
	out->age_ms = (now - t->report.measured_at + TLB_MS - 1) / TLB_MS;
	out->number = t->report.number;
	return true;
}

/* Whether the load differs from the report that was last sent. */
static bool load_changed(const struct tlb_target *t)
{
	struct tlb_report r = t->report;

	r.free_blocks = current_free_blocks(t);
	return !tlb_report_same_load(&r, &t->sent_report);
}

static void pick_reports(struct tlb_load *l, tlb_time now, bool only_changed)
{
	struct tlb_report_candidate reports[REPORT_ENDPOINTS_MAX];
	struct tlb_target *targets[REPORT_ENDPOINTS_MAX];
	struct tlb_target *t;
	int count = 0;
	int i;

	APR_RING_FOREACH (t, &l->targets, tlb_target, link) {
		if (!t->polled || count == REPORT_ENDPOINTS_MAX ||
		    (only_changed && !load_changed(t)))
			continue;
		targets[count] = t;
		reports[count] = (struct tlb_report_candidate){t->report.measured_at,
							       t->report_sent_at, count};
		count++;
	}
	l->picked_count = tlb_report_select(reports, count, now);
	for (i = 0; i < l->picked_count; i++) {
		t = l->picked[i] = targets[reports[i].index];
		t->sent_report = t->report;
		t->sent_report.free_blocks = current_free_blocks(t);
		t->report_sent_at = now;
	}
}

static size_t fill_picked(struct tlb_load *l)
{
	size_t n = 0;
	int i;

	for (i = 0; i < l->picked_count; i++) {
		if (!tlb_load_report(l->picked[i], &l->message[n]))
			continue;
		l->messages[n] = &l->message[n];
		n++;
	}
	return n;
}

/* Schedules the polls shortly before the next reports are sent, so that these are fresh. */
static void align_polls(struct tlb_load *l, tlb_time now)
{
	tlb_time first = now + TLB_LOAD_INTERVAL - POLL_LEAD;
	struct tlb_target *t;
	int n = 0;

	APR_RING_FOREACH (t, &l->targets, tlb_target, link) {
		if (!t->polled || tlb_http_active(&t->call))
			continue;
		tlb_timer_set(l->board->loop, &t->timer,
			      first + POLL_SPREAD * (n++ % POLL_STEPS) / POLL_STEPS);
	}
}

size_t tlb_load_reports(struct tlb_load *l, uint64_t heartbeat, Toucan__LoadReport ***out)
{
	tlb_time now = tlb_clock_now();

	if (heartbeat != l->heartbeat_number) {
		l->heartbeat_number = heartbeat;
		pick_reports(l, now, false);
		align_polls(l, now);
		tlb_timer_set(l->board->loop, &l->notice_timer, now + TLB_LOAD_INTERVAL);
	}
	*out = l->messages;
	return fill_picked(l);
}

static void count_vm(void *arg, const char *vm)
{
	int *count = arg;

	(*count)++;
}

struct notice {
	struct tlb_load *load;
	size_t count;
};

static void send_notice(void *arg, const char *vm)
{
	struct notice *n = arg;
	Toucan__Envelope e = TOUCAN__ENVELOPE__INIT;
	Toucan__LoadNotice m = TOUCAN__LOAD_NOTICE__INIT;

	m.n_load_reports = n->count;
	m.load_reports = n->load->messages;
	e.body_case = TOUCAN__ENVELOPE__BODY_LOAD_NOTICE;
	e.load_notice = &m;
	tlb_cluster_send(n->load->board->cluster, vm, &e);
}

static void on_notice_timer(void *arg)
{
	struct tlb_load *l = arg;
	struct notice n = {.load = l};
	int others = 0;

	tlb_cluster_for_each_peer(l->board->cluster, count_vm, &others);
	if (others > TLB_LOAD_NOTICE_VMS || !tlb_board_session_valid(l->board))
		return;
	pick_reports(l, tlb_clock_now(), true);
	n.count = fill_picked(l);
	if (n.count)
		tlb_cluster_for_each_peer(l->board->cluster, send_notice, &n);
}

static bool is_from_owner(const struct tlb_target *t, const char *vm)
{
	char owner[TLB_ID_LEN];

	return t->role != TLB_ROLE_SERVICE &&
	       tlb_board_owner(t->board, t->id, owner) == TLB_OWNER_PEER && strcmp(vm, owner) == 0;
}

void tlb_load_apply_report(struct tlb_load *l, const char *vm, uint64_t incarnation,
			   const Toucan__LoadReport *m)
{
	struct tlb_target *t = tlb_load_find(l, m->endpoint);
	bool valid_age = m->age_ms >= 0 && m->age_ms <= TLB_REPORT_LIFE / TLB_MS;
	struct tlb_report r = {
		.source = incarnation,
		.number = m->number,
		.measured_at = tlb_clock_now() - (valid_age ? m->age_ms * TLB_MS : 0),
		.free_blocks = m->free_pieces,
		.running = m->running,
		.queued_tokens = m->queued_tokens,
	};

	if (!t || !valid_age)
		return;
	/* A former owner of the shard that was paused may still send outdated reports. */
	if (!is_from_owner(t, vm)) {
		tlb_counter_add(&l->board->counters, TLB_COUNTER_LOAD_REPORTS_REFUSED, 1);
		tlb_log_debug("event=report_refused endpoint=%s vm=%s incarnation=%016" PRIx64,
			      t->id, vm, incarnation);
		return;
	}
	if (!tlb_report_replaces(&r, &t->report))
		return;
	tlb_counter_add(&l->board->counters, TLB_COUNTER_LOAD_REPORTS, 1);
	apply_report(t, &r);
}

void tlb_load_set_free(struct tlb_target *t, int free_blocks)
{
	tlb_time until = tlb_clock_now() + REPLY_VALID_TIME;

	t->free_blocks = free_blocks;
	if (t->free_expires < until)
		t->free_expires = until;
}

bool tlb_load_may_fit(const struct tlb_target *t, int blocks, tlb_time now)
{
	return now >= t->free_expires || t->free_blocks - t->local_blocks >= blocks;
}

void tlb_load_record_dispatch(struct tlb_target *t, int64_t tokens, const struct tlb_prefix *prefix)
{
	if (!t->dispatches)
		t->dispatches = calloc(1, sizeof(*t->dispatches));
	/* Out of memory: endpoint selection merely lacks this information. */
	if (!t->dispatches)
		return;
	tlb_dispatch_log_record(&t->dispatches->sent, tokens, tlb_clock_now());
	tlb_prefix_cache_add(&t->dispatches->prefixes, prefix);
}

size_t tlb_load_cached_bytes(const struct tlb_target *t, const struct tlb_prefix *prefix)
{
	return t->dispatches ? tlb_prefix_cache_match(&t->dispatches->prefixes, prefix) : 0;
}

/* --- polls --- */

static void on_report(void *arg, const struct tlb_http_result *r)
{
	struct tlb_target *t = arg;
	json_t *j = r->status == 200 ? json_loadb(r->body, r->body_len, 0, NULL) : NULL;
	tlb_time now = tlb_clock_now();

	if (j)
		parse_report(t, j);
	json_decref(j);
	tlb_timer_set(t->board->loop, &t->timer,
		      (now < t->poll_started_at + TLB_LOAD_INTERVAL ? t->poll_started_at : now) +
			      TLB_LOAD_INTERVAL);
}

static void start_poll(struct tlb_target *t)
{
	char url[TLB_ADDR_LEN + 32];
	struct tlb_http_spec spec = {
		.method = "GET",
		.url = url,
		.deadline = tlb_clock_now() + POLL_TIMEOUT,
		.on_done = on_report,
		.arg = t,
	};

	t->poll_started_at = tlb_clock_now();
	snprintf(url, sizeof(url), "http://%s/load", t->addr);
	tlb_counter_add(&t->board->counters, TLB_COUNTER_LOAD_POLLS, 1);
	tlb_http_start(t->board->http, &t->call, &spec);
}

static void poll_target(void *arg)
{
	struct tlb_target *t = arg;

	/* During a hand-over this daemon does not own the shard. There is no notification when the
	 * hand-over fails, so the timer keeps running. */
	if (is_owner(t))
		start_poll(t);
	else
		tlb_timer_set(t->board->loop, &t->timer, tlb_clock_now() + TLB_LOAD_INTERVAL);
}

/* Starts or stops polling according to the endpoint's row and the owner of its shard. */
static void update_polling(struct tlb_target *t)
{
	bool needed = t->present && t->role != TLB_ROLE_SERVICE && owns_shard(t);

	if (needed == t->polled)
		return;
	t->polled = needed;
	tlb_log_info("event=poll endpoint=%s decision=%s", t->id, needed ? "begin" : "end");
	if (needed) {
		tlb_timer_set(t->board->loop, &t->timer, tlb_clock_now());
		return;
	}
	tlb_http_cancel(&t->call);
	tlb_timer_clear(t->board->loop, &t->timer);
}

void tlb_load_shards_changed(struct tlb_load *l, tlb_shard_set gained, tlb_shard_set lost)
{
	struct tlb_target *t;

	l->owned_shards = (l->owned_shards | gained) & ~lost;
	APR_RING_FOREACH (t, &l->targets, tlb_target, link) {
		update_polling(t);
	}
}

/* --- rows --- */

static struct tlb_target *target_new(struct tlb_load *l, const char *id)
{
	struct tlb_target *t = calloc(1, sizeof(*t));

	/* A daemon can't serve without its endpoint table. */
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

static void log_endpoint(const struct tlb_target *t, const struct tlb_endpoint *e)
{
	tlb_log_info("event=endpoint endpoint=%s state=%s addr=%s", e->id, state_names[e->state],
		     e->addr);
}

static void apply_row(struct tlb_target *t, const struct tlb_endpoint *e)
{
	bool added = !t->present;

	if (added || t->state != e->state || strcmp(t->addr, e->addr) != 0)
		log_endpoint(t, e);
	if (e->state == TLB_ENDPOINT_ACTIVE && !added && t->state != TLB_ENDPOINT_ACTIVE)
		t->health.slow_start_at = tlb_clock_now();
	t->present = true;
	t->role = e->role;
	t->state = e->state;
	t->checks_fencing = e->checks_fencing;
	t->link_mbps = e->link_mbps;
	strcpy(t->pool, e->pool);
	strcpy(t->zone, e->zone);
	strcpy(t->addr, e->addr);
	t->total_blocks = e->blocks;
	t->max_requests = e->max_requests;
	if (added) {
		t->free_blocks = e->blocks;
		tlb_load_reset_bookings(t);
	}
	update_orphan_array(t);
	tlb_booking_table_resize(&t->bookings, e->blocks, e->blocks / BATCH_RESERVE_DIVISOR);
	t->bookings.max_requests = e->max_requests;
}

void tlb_load_sync(struct tlb_load *l)
{
	struct tlb_endpoint *e;
	struct tlb_target *t;

	APR_RING_FOREACH (t, &l->targets, tlb_target, link) {
		if (!tlb_table_find_endpoint(l->board->table, t->id))
			t->present = false;
	}
	APR_RING_FOREACH (e, &l->board->table->endpoints, tlb_endpoint, link) {
		t = tlb_load_find(l, e->id);
		if (!t)
			t = target_new(l, e->id);
		apply_row(t, e);
	}
	APR_RING_FOREACH (t, &l->targets, tlb_target, link) {
		update_polling(t);
	}
}

void tlb_load_candidate(const struct tlb_target *t, tlb_time now, struct tlb_candidate *c)
{
	bool known = tlb_report_fresh(&t->report, now);

	memset(c, 0, sizeof(*c));
	c->id = t->id;
	c->zone = t->zone;
	c->usable = t->present && t->state == TLB_ENDPOINT_ACTIVE;
	c->link_mbps = t->link_mbps;
	c->reported_at = known ? t->report.measured_at : 0;
	c->slow_start_at = t->health.slow_start_at;
	c->ejected_until = t->health.ejected_until;
	c->total_blocks = t->total_blocks;
	c->free_blocks = t->free_blocks;
	c->local_blocks = t->local_blocks;
	c->running = known ? t->report.running : 0;
	c->token_gap_us = t->token_gap_us;
	c->queued_tokens = known ? t->report.queued_tokens : 0;
	if (t->dispatches)
		c->local_tokens =
			tlb_dispatch_log_tokens_since(&t->dispatches->sent, &t->report, now);
	c->tokens_per_second = t->tokens_per_second;
}

/* Median latency of the engines of the target's pool and role. 0 for services, because the
 * latencies of their routes are not comparable. */
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
	return tlb_health_median_latency(latency, n);
}

void tlb_load_record_outcome(struct tlb_target *t, bool ok, tlb_time latency_us)
{
	tlb_time now = tlb_clock_now();

	if (!tlb_health_record_outcome(&t->health, ok, latency_us, ok ? median_latency(t) : 0, now))
		return;
	tlb_log_warn("event=eject endpoint=%s until_ms=%lld failures=%d", t->id,
		     (long long)((t->health.ejected_until - now) / TLB_MS), t->health.failures);
}

static json_t *target_json(const struct tlb_target *t, tlb_time now)
{
	bool exact = t->role == TLB_ROLE_DECODE && is_owner(t);
	int free_blocks = exact ? tlb_booking_table_free_blocks(&t->bookings) : t->free_blocks;
	json_int_t age_ms = t->report.measured_at ? (now - t->report.measured_at) / TLB_MS : -1;

	return json_pack("{s:s,s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:i,s:I,s:b}", "endpoint", t->id, "role",
			 role_names[t->role], "pool", t->pool, "zone", t->zone, "state",
			 state_names[t->state], "free_pieces", free_blocks, "total_pieces",
			 t->total_blocks, "running", t->report.running, "in_flight", t->in_flight,
			 "report_age_ms", age_ms, "ejected", t->health.ejected_until > now);
}

json_t *tlb_load_list(const struct tlb_load *l)
{
	const struct tlb_target *t;
	json_t *list = json_array();

	APR_RING_FOREACH (t, &l->targets, tlb_target, link) {
		if (t->present)
			json_array_append_new(list, target_json(t, tlb_clock_now()));
	}
	return list;
}
