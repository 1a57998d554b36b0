#include "order.h"

#include <inttypes.h>
#include <jansson.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "board.h"
#include "log.h"
#include "retry.h"

#define BACKOFF_BASE (200 * TLB_MS)
#define BACKOFF_MAX (5 * TLB_SECOND)
/* Jitter of the repetition interval: spreads the orders to engines that changed owner together. */
#define REASSERT_JITTER (8 * TLB_SECOND)
/* How often an order that may not be sent is checked again: the lease may have become valid or the
 * fencing number may have increased. Half of the heartbeat interval, because heartbeats update
 * both. */
#define RECHECK_INTERVAL (500 * TLB_MS)

enum { CONFIG_VERSION_MAX = (1 << TLB_ORDER_CONFIG_BITS) - 1, URL_LEN = TLB_ADDR_LEN + 16 };

static const char *const role_names[] = {"prefill", "decode", "service"};

/* The order to one engine. Owned by struct tlb_orders. */
struct tlb_order {
	APR_RING_ENTRY(tlb_order) link;
	struct tlb_orders *orders;
	char id[TLB_ID_LEN];
	char addr[TLB_ADDR_LEN];
	bool checks_fencing;
	struct tlb_desired_state desired;
	const char *reason;	  /* of the next send, for the log; a string constant */
	bool changed;		  /* the desired state changed during the open call */
	int attempt;		  /* failed ones since the last confirmation */
	int64_t fencing;	  /* fencing number of the last order sent */
	int64_t refused_number;	  /* highest fencing number that the engine has refused */
	tlb_time in_flight_until; /* until then an earlier order may arrive */
	struct tlb_http_call call;
	struct tlb_timer timer;
};

enum tlb_order_need tlb_order_desired_state(const struct tlb_table *t, const struct tlb_endpoint *e,
					    struct tlb_desired_state *out)
{
	const struct tlb_model *model = NULL;
	const struct tlb_model *m;

	memset(out, 0, sizeof(*out));
	if (e->role == TLB_ROLE_SERVICE)
		return TLB_ORDER_NOT_ENGINE;
	if (e->state == TLB_ENDPOINT_LEAVING)
		return TLB_ORDER_LEAVING;
	APR_RING_FOREACH (m, &t->models, tlb_model, link) {
		if (strcmp(m->pool, e->pool) != 0)
			continue;
		if (model)
			return TLB_ORDER_AMBIGUOUS;
		model = m;
	}
	if (!model)
		return TLB_ORDER_NO_MODEL;
	strcpy(out->model, model->id);
	strcpy(out->version, model->version);
	strcpy(out->adapter, model->adapter);
	out->role = e->role;
	return TLB_ORDER_NEEDED;
}

int64_t tlb_order_fencing_number(int64_t epoch, int64_t config_version)
{
	if (config_version > CONFIG_VERSION_MAX)
		config_version = CONFIG_VERSION_MAX;
	return (epoch << TLB_ORDER_CONFIG_BITS) + config_version;
}

static bool state_equal(const struct tlb_desired_state *a, const struct tlb_desired_state *b)
{
	return a->role == b->role && strcmp(a->model, b->model) == 0 &&
	       strcmp(a->version, b->version) == 0 && strcmp(a->adapter, b->adapter) == 0;
}

static void schedule(struct tlb_order *o, tlb_time at)
{
	tlb_timer_set(o->orders->board->loop, &o->timer, at);
}

static bool may_send(const struct tlb_order *o)
{
	const struct tlb_board *b = o->orders->board;
	char vm[TLB_ID_LEN];

	return tlb_board_owner(b, o->id, vm) == TLB_OWNER_SELF && tlb_board_session_valid(b);
}

static int64_t next_number(const struct tlb_order *o)
{
	const struct tlb_board *b = o->orders->board;

	return tlb_order_fencing_number(
		b->cluster ? tlb_cluster_fencing_epoch(b->cluster, o->id) : 0, b->table->version);
}

/* --- responses --- */

static void log_result(const struct tlb_order *o, const char *decision,
		       const struct tlb_http_result *r)
{
	tlb_log_info("event=order endpoint=%s decision=%s fencing=%" PRId64
		     " status=%d attempt=%d error=\"%s\"",
		     o->id, decision, o->fencing, r->status, o->attempt, r->reason);
}

static void on_confirmed(struct tlb_order *o, const struct tlb_http_result *r)
{
	tlb_time now = tlb_clock_now();
	double jitter = tlb_random_unit(&o->orders->random);

	tlb_counter_add(&o->orders->board->counters, TLB_COUNTER_ORDERS_CONFIRMED, 1);
	log_result(o, "confirmed", r);
	o->attempt = 0;
	if (!o->checks_fencing && o->in_flight_until > now) {
		o->reason = "settled";
		schedule(o, o->in_flight_until);
		return;
	}
	o->reason = "assert";
	schedule(o, now + TLB_ORDER_REASSERT_INTERVAL - (tlb_time)(jitter * REASSERT_JITTER));
}

/* The engine has accepted a higher fencing number, usually from a new owner of the shard. */
static void on_refused(struct tlb_order *o, const struct tlb_http_result *r)
{
	tlb_counter_add(&o->orders->board->counters, TLB_COUNTER_ORDERS_REFUSED, 1);
	log_result(o, "refused", r);
	o->refused_number = o->fencing;
	o->reason = "refused";
	schedule(o, tlb_clock_now() + RECHECK_INTERVAL);
}

static void on_failed(struct tlb_order *o, const struct tlb_http_result *r)
{
	tlb_time now = tlb_clock_now();

	o->attempt++;
	log_result(o, "retry", r);
	/* Without a response the engine may still apply the order. */
	if (r->status == 0)
		o->in_flight_until = now + TLB_ORDER_MAX_IN_FLIGHT;
	o->reason = "unconfirmed";
	schedule(o, now + tlb_retry_backoff(o->attempt, BACKOFF_BASE, BACKOFF_MAX,
					    &o->orders->random));
}

static void on_response(void *arg, const struct tlb_http_result *r)
{
	struct tlb_order *o = arg;

	if (r->status == 200)
		on_confirmed(o, r);
	else if (r->status == 412)
		on_refused(o, r);
	else
		on_failed(o, r);
	if (o->changed) {
		o->changed = false;
		o->reason = "table";
		schedule(o, tlb_clock_now());
	}
}

/* --- sending --- */

/* Ends the call if the lease has expired while the connection was established, as after a pause of
 * the process. */
static bool before_send(void *arg)
{
	return may_send(arg);
}

static char *order_body(const struct tlb_order *o)
{
	json_t *j = json_pack("{s:I,s:s,s:s,s:s,s:s}", "fencing", (json_int_t)o->fencing, "model",
			      o->desired.model, "version", o->desired.version, "adapter",
			      o->desired.adapter, "role", role_names[o->desired.role]);
	char *body = json_dumps(j, JSON_COMPACT);

	json_decref(j);
	return body;
}

static void start_call(struct tlb_order *o, const char *body)
{
	char url[URL_LEN];
	struct tlb_http_spec spec = {
		.method = "POST",
		.url = url,
		.body = body,
		.body_len = strlen(body),
		.deadline = tlb_clock_now() + TLB_ORDER_TIMEOUT,
		.dedicated_connection = true,
		.before_send = before_send,
		.on_done = on_response,
		.arg = o,
	};

	snprintf(url, sizeof(url), "http://%s/order", o->addr);
	tlb_http_start(o->orders->board->http, &o->call, &spec);
}

static void send_order(struct tlb_order *o)
{
	char *body = order_body(o);

	if (!body) {
		schedule(o, tlb_clock_now() + RECHECK_INTERVAL);
		return;
	}
	start_call(o, body);
	free(body);
	tlb_counter_add(&o->orders->board->counters, TLB_COUNTER_ORDERS_SENT, 1);
	tlb_log_info("event=order endpoint=%s decision=send fencing=%" PRId64
		     " reason=%s attempt=%d model=%s version=%s adapter=%s role=%s",
		     o->id, o->fencing, o->reason, o->attempt, o->desired.model, o->desired.version,
		     o->desired.adapter, role_names[o->desired.role]);
}

static void on_timer(void *arg)
{
	struct tlb_order *o = arg;
	int64_t number = next_number(o);

	if (tlb_http_active(&o->call))
		return;
	if (!may_send(o) || number <= o->refused_number) {
		schedule(o, tlb_clock_now() + RECHECK_INTERVAL);
		return;
	}
	o->fencing = number;
	send_order(o);
}

/* --- changes of the table and of shard ownership --- */

static struct tlb_order *find_order(const struct tlb_orders *orders, const char *id)
{
	struct tlb_order *o;

	APR_RING_FOREACH (o, &orders->orders, tlb_order, link) {
		if (strcmp(o->id, id) == 0)
			return o;
	}
	return NULL;
}

static struct tlb_order *order_new(struct tlb_orders *orders, const char *id)
{
	struct tlb_order *o = calloc(1, sizeof(*o));

	/* A daemon can't serve without its endpoint table. */
	if (!o)
		abort();
	o->orders = orders;
	strcpy(o->id, id);
	o->in_flight_until = tlb_clock_now() + TLB_ORDER_MAX_IN_FLIGHT;
	tlb_timer_init(&o->timer, on_timer, o);
	APR_RING_INSERT_TAIL(&orders->orders, o, tlb_order, link);
	return o;
}

static void order_free(struct tlb_order *o)
{
	APR_RING_REMOVE(o, link);
	tlb_http_cancel(&o->call);
	tlb_timer_clear(o->orders->board->loop, &o->timer);
	free(o);
}

static bool is_owner(const struct tlb_orders *orders, const char *id)
{
	return tlb_shard_set_contains(orders->owned_shards, tlb_shard_for_id(id));
}

static void log_no_order(const struct tlb_endpoint *e, enum tlb_order_need verdict)
{
	if (verdict == TLB_ORDER_AMBIGUOUS)
		tlb_log_warn("event=order endpoint=%s decision=none reason=several_models pool=%s",
			     e->id, e->pool);
}

/* Whether the order is to be dropped: the table has no desired state for the engine any more, or
 * this daemon has lost the engine's shard. */
static bool outdated(const struct tlb_order *o)
{
	const struct tlb_table *t = o->orders->board->table;
	const struct tlb_endpoint *e = tlb_table_find_endpoint(t, o->id);
	struct tlb_desired_state desired;

	return !is_owner(o->orders, o->id) || !e ||
	       tlb_order_desired_state(t, e, &desired) != TLB_ORDER_NEEDED;
}

static void drop_outdated(struct tlb_orders *orders)
{
	struct tlb_order *o = APR_RING_FIRST(&orders->orders);
	struct tlb_order *next;

	for (; o != APR_RING_SENTINEL(&orders->orders, tlb_order, link); o = next) {
		next = APR_RING_NEXT(o, link);
		if (!outdated(o))
			continue;
		tlb_log_info("event=order endpoint=%s decision=stop fencing=%" PRId64 " reason=%s",
			     o->id, o->fencing, is_owner(orders, o->id) ? "table" : "owner");
		order_free(o);
	}
}

static void update_order(struct tlb_orders *orders, const struct tlb_endpoint *e,
			 const char *reason)
{
	struct tlb_desired_state desired;
	enum tlb_order_need verdict;
	struct tlb_order *o;

	if (!is_owner(orders, e->id))
		return;
	verdict = tlb_order_desired_state(orders->board->table, e, &desired);
	if (verdict != TLB_ORDER_NEEDED) {
		log_no_order(e, verdict);
		return;
	}
	o = find_order(orders, e->id);
	if (!o)
		o = order_new(orders, e->id);
	o->checks_fencing = e->checks_fencing;
	if (state_equal(&o->desired, &desired) && strcmp(o->addr, e->addr) == 0)
		return;
	o->desired = desired;
	strcpy(o->addr, e->addr);
	o->reason = reason;
	o->attempt = 0;
	/* One open call at a time, so that an older order can't arrive after a newer one. */
	o->changed = tlb_http_active(&o->call);
	if (!o->changed)
		schedule(o, tlb_clock_now());
}

static void update_orders(struct tlb_orders *orders, const char *reason)
{
	const struct tlb_endpoint *e;

	drop_outdated(orders);
	APR_RING_FOREACH (e, &orders->board->table->endpoints, tlb_endpoint, link) {
		update_order(orders, e, reason);
	}
}

void tlb_orders_sync(struct tlb_orders *orders)
{
	update_orders(orders, "table");
}

void tlb_orders_shards_changed(struct tlb_orders *orders, tlb_shard_set gained, tlb_shard_set lost)
{
	orders->owned_shards = (orders->owned_shards & ~lost) | gained;
	update_orders(orders, "owner");
}

void tlb_orders_init(struct tlb_orders *orders, struct tlb_board *b)
{
	uint64_t seed;

	orders->board = b;
	orders->owned_shards = b->cluster ? 0 : ~(tlb_shard_set)0;
	APR_RING_INIT(&orders->orders, tlb_order, link);
	randombytes_buf(&seed, sizeof(seed));
	tlb_random_init(&orders->random, seed);
}

void tlb_orders_finish(struct tlb_orders *orders)
{
	while (!APR_RING_EMPTY(&orders->orders, tlb_order, link))
		order_free(APR_RING_FIRST(&orders->orders));
}
