#include "roles.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "edgeboard.h"
#include "instance_notice.h"
#include "log.h"
#include "platform.h"

static const char claim_table[] = "toucanlb-role";

#define ROUND_INTERVAL (500 * TLB_MS)
#define REPORT_TIMEOUT (200 * TLB_MS)
#define ORDER_TIMEOUT (700 * TLB_MS)
/* Cooldown between a change and the next decision: the changed engines are back and loaded. */
#define COOLDOWN (6 * TLB_SECOND)
/* One report is only a sample; decisions use the average over several rounds. */
#define LOAD_SMOOTHING 0.25
enum { MIN_ROUNDS = 4 };
/* Maximum mean fraction of busy prefill engines; the spare ones keep the queues short. */
#define PREFILL_LOAD_MAX 0.65
/* Fraction of busy prefill engines above which they are overloaded. */
#define PREFILL_LOAD_HIGH 0.9
/* Used fraction of the decode engines' KV memory, reservations included: from DECODE_FULL on,
 * memory runs out at the next load peak; below DECODE_FREE, one engine can be spared. */
#define DECODE_FULL 0.5
#define DECODE_FREE 0.35
/* Minimum number of engines in each role, so that one remains if one fails. */
enum { MIN_ENGINES_PER_ROLE = 2 };
/* Maximum number of engines changed per decision: each order needs its own claim. */
enum { MAX_CHANGES = 16 };

static void request_next_report(struct tlb_roles *r);
static void change_next_engine(struct tlb_roles *r);

/* --- the decision --- */

/* Expected fraction of busy prefill engines after some have become decode engines and are as full
 * as the other decode engines. */
static double prefill_load_after(const struct tlb_role_load *l, int moved)
{
	double growth = (double)(l->decodes + moved) / l->decodes;

	return l->prefills_busy * growth / (l->prefills - moved);
}

int tlb_roles_prefill_surplus(const struct tlb_role_load *l)
{
	int moved = 0;

	if (l->prefills < 1 || l->decodes < 1)
		return 0;
	if (l->decodes_used < DECODE_FREE * l->decodes && l->decodes > MIN_ENGINES_PER_ROLE &&
	    l->prefills_busy > PREFILL_LOAD_HIGH * l->prefills)
		return -1;
	if (l->decodes_used < DECODE_FULL * l->decodes)
		return 0;
	while (moved < MAX_CHANGES && l->prefills - moved - 1 >= MIN_ENGINES_PER_ROLE &&
	       prefill_load_after(l, moved + 1) <= PREFILL_LOAD_MAX)
		moved++;
	return moved;
}

/* --- calls --- */

static void call_engine(struct tlb_roles *r, struct tlb_instance *i, struct tlb_http_spec *spec,
			const char *target, const char *body)
{
	tlb_instance_acquire(i);
	r->callee = i;
	tlb_instance_call(i, r->board->http, &r->call, spec, target, body);
}

/* Ends the call in progress. */
static void end_call(struct tlb_roles *r, const struct tlb_http_result *res)
{
	tlb_instance_notice_read(r->callee, res->status, res->head);
	tlb_instance_release(r->callee);
	r->callee = NULL;
}

/* --- orders --- */

static void end_change(struct tlb_roles *r, const char *reason)
{
	if (reason)
		tlb_log_info("event=role_change_given_up service=%s instance=%s reason=\"%s\"",
			     r->service, r->instance, reason);
	r->remaining = 0;
	r->state = TLB_ROLES_IDLE;
}

static void on_order_response(void *arg, const struct tlb_http_result *res)
{
	struct tlb_roles *r = arg;
	struct tlb_instance *i = tlb_instances_find(&r->board->instances, r->instance);

	end_call(r, res);
	tlb_log_info("event=role_ordered instance=%s role=%d status=%d reason=\"%s\"", r->instance,
		     (int)r->role, res->status, res->reason);
	if (res->status != 0 && res->status != 200 && res->status != 202) {
		end_change(r, "the engine refused the order");
		return;
	}
	/* Without a response, the order may have been accepted or may still be executed later. */
	if (i && res->status != 200)
		i->switching_until = tlb_clock_now() + r->switch_ms * TLB_MS;
	r->remaining--;
	change_next_engine(r);
}

static void send_order(struct tlb_roles *r, int64_t fence)
{
	struct tlb_instance *i = tlb_instances_find(&r->board->instances, r->instance);
	char *body = tlb_platform_role_order(r->role, r->board->settings->vm_id, fence);
	struct tlb_buffer headers = {0};
	struct tlb_http_spec spec = {
		.method = "POST",
		.deadline = tlb_clock_now() + ORDER_TIMEOUT,
		.on_done = on_order_response,
		.arg = r,
	};

	if (!i || !body || tlb_clock_now() >= r->act_deadline ||
	    !tlb_instance_usable(i, tlb_clock_now())) {
		free(body);
		end_change(r, "claim written too late for an order");
		return;
	}
	r->state = TLB_ROLES_SENDING_ORDER;
	if (!tlb_platform_order_headers(i->row.id, &headers))
		spec.unsendable = "no memory for the headers";
	spec.headers = headers.data;
	tlb_counter_add(&r->board->counters, TLB_COUNTER_ORDERS_SENT, 1);
	call_engine(r, i, &spec, tlb_platform_order_target(), body);
	tlb_buffer_finish(&headers);
	free(body);
}

/* --- the claim --- */

/* Whether the store would show a claim of another VM. */
static bool claims_are_known(const struct tlb_roles *r, tlb_time now)
{
	tlb_time began_at = r->store->era_began_at;

	return began_at == 0 || now >= began_at + TLB_ROLES_CLAIM_TTL || now < r->claimed_until;
}

static void on_claim_written(void *arg, enum tlb_rowstore_status status,
			     const struct tlb_stored_rows *rows, const char *reason)
{
	struct tlb_roles *r = arg;

	if (status != TLB_ROWS_OK) {
		end_change(r, *reason ? reason : "another VM has claimed it");
		return;
	}
	if (tlb_stored_era(rows->version) != r->claim_era) {
		end_change(r, "the store has returned from an older copy");
		return;
	}
	r->claim_version = rows->version;
	r->claimed_until = r->claim_began_at + TLB_ROLES_CLAIM_TTL;
	send_order(r, rows->version);
}

static void write_claim(struct tlb_roles *r)
{
	json_t *j = json_pack("{s:s,s:I}", "vm", r->board->settings->vm_id, "at_ms",
			      (json_int_t)r->now_ms);
	char *text = json_dumps(j, JSON_COMPACT);

	r->act_deadline = tlb_clock_now() + TLB_ROLES_ORDER_TIMEOUT;
	tlb_rowstore_write(r->store, &r->op, claim_table, r->service, r->claim_version, text,
			   on_claim_written, r);
	free(text);
	json_decref(j);
}

/* Whether another VM's claim is valid by the store's clock. A malformed claim counts as valid. */
static bool claimed_by_other(const struct tlb_roles *r, const struct tlb_stored_row *row)
{
	json_t *j = json_loadb(row->value, row->len, 0, NULL);
	const char *vm = json_string_value(json_object_get(j, "vm"));
	const json_t *at = json_object_get(j, "at_ms");
	bool own = vm && strcmp(vm, r->board->settings->vm_id) == 0;
	bool old = json_is_integer(at) &&
		   r->now_ms - TLB_ROLES_CLAIM_TTL / TLB_MS >= json_integer_value(at);

	json_decref(j);
	return !own && !old;
}

static void on_claim_read(void *arg, enum tlb_rowstore_status status,
			  const struct tlb_stored_rows *rows, const char *reason)
{
	struct tlb_roles *r = arg;
	int i;

	if (status != TLB_ROWS_OK) {
		end_change(r, reason);
		return;
	}
	if (!claims_are_known(r, tlb_clock_now())) {
		end_change(r, "a claim may be lost with the store's latest rows");
		return;
	}
	r->now_ms = rows->now_ms;
	r->claim_era = tlb_stored_era(rows->version);
	r->claim_version = 0;
	if (r->now_ms <= 0) {
		end_change(r, "store returned no time, so the age of a claim is unknown");
		return;
	}
	for (i = 0; i < rows->count; i++) {
		if (strcmp(rows->rows[i].key, r->service) != 0 || rows->rows[i].removed)
			continue;
		if (claimed_by_other(r, &rows->rows[i])) {
			end_change(r, "another VM has claimed it");
			return;
		}
		r->claim_version = rows->rows[i].version;
	}
	write_claim(r);
}

/* Returns the engine of the other role with the fewest requests of this VM in flight. */
static const struct tlb_instance *select_engine(const struct tlb_roles *r, tlb_time now)
{
	enum tlb_role from = r->role == TLB_ROLE_DECODE ? TLB_ROLE_PREFILL : TLB_ROLE_DECODE;
	const struct tlb_instance *best = NULL;
	const struct tlb_instance *i;

	APR_RING_FOREACH (i, &r->board->instances.all, tlb_instance, link) {
		if (i->row.role != from || !i->listed || !tlb_instance_usable(i, now) ||
		    strcmp(i->row.service, r->service) != 0)
			continue;
		if (!best || i->in_flight < best->in_flight)
			best = i;
	}
	return best;
}

/* Starts the change of the next engine. Each order needs a new write of the claim, which also
 * renews the claim. */
static void change_next_engine(struct tlb_roles *r)
{
	struct tlb_stored_key key;
	const struct tlb_instance *i =
		r->remaining > 0 && !r->board->draining ? select_engine(r, tlb_clock_now()) : NULL;

	if (!i) {
		end_change(r, NULL);
		return;
	}
	snprintf(r->instance, sizeof(r->instance), "%s", i->row.id);
	r->state = TLB_ROLES_CLAIMING;
	r->claim_began_at = tlb_clock_now();
	if (tlb_stored_key_set(&key, r->service))
		tlb_rowstore_list(r->store, &r->op, claim_table, &key, on_claim_read, r);
	else
		end_change(r, "the service's name is too long for the key of a claim");
}

static void decide(struct tlb_roles *r)
{
	const struct tlb_service_info *info =
		tlb_routing_find_service(r->board->routing, r->service);
	const struct tlb_role_load *l = &r->smoothed;
	int surplus = tlb_roles_prefill_surplus(l);
	tlb_time now = tlb_clock_now();

	r->state = TLB_ROLES_IDLE;
	if (r->round_count < MIN_ROUNDS || surplus == 0 || now < r->cooldown_until || !info ||
	    !claims_are_known(r, now))
		return;
	tlb_log_info("event=role_change service=%s prefills=%d busy=%.2f decodes=%d filled=%.2f "
		     "surplus=%d",
		     r->service, l->prefills, l->prefills_busy, l->decodes, l->decodes_used,
		     surplus);
	r->role = surplus > 0 ? TLB_ROLE_DECODE : TLB_ROLE_PREFILL;
	r->remaining = surplus > 0 ? surplus : -surplus;
	r->switch_ms = info->role_switch_ms;
	r->cooldown_until = now + info->role_switch_ms * TLB_MS + COOLDOWN;
	r->round_count = 0;
	change_next_engine(r);
}

/* --- load --- */

static void smooth(double *mean, double value, int rounds)
{
	double weight = rounds > 1 ? LOAD_SMOOTHING : 1;

	*mean += weight * (value - *mean);
}

static void end_round(struct tlb_roles *r)
{
	r->round_count++;
	r->smoothed.prefills = r->round.prefills;
	r->smoothed.decodes = r->round.decodes;
	smooth(&r->smoothed.prefills_busy, r->round.prefills_busy, r->round_count);
	smooth(&r->smoothed.decodes_used, r->round.decodes_used, r->round_count);
	decide(r);
}

static double used_fraction(const struct tlb_load_report *p, int slots)
{
	double memory_use = p->kv_total > 0 ? (double)p->kv_used / (double)p->kv_total : 0;
	double slot_use = slots > 0 ? (double)p->running / slots : 0;

	return memory_use > slot_use ? memory_use : slot_use;
}

static void add_load(struct tlb_roles *r, enum tlb_role role, double used)
{
	if (role == TLB_ROLE_PREFILL) {
		r->round.prefills++;
		r->round.prefills_busy += used;
	} else {
		r->round.decodes++;
		r->round.decodes_used += used;
	}
}

static void on_report(void *arg, const struct tlb_http_result *res)
{
	struct tlb_roles *r = arg;
	const struct tlb_instance *i = tlb_instances_find(&r->board->instances, r->report_instance);
	struct tlb_load_report p;

	end_call(r, res);
	if (!i || res->status != 200 ||
	    !tlb_platform_read_load_report(res->body, res->body_len, &p)) {
		tlb_log_info("event=role_report_unread instance=%s status=%d reason=\"%s\"",
			     r->report_instance, res->status, res->reason);
	} else if (i->row.role == TLB_ROLE_PREFILL) {
		add_load(r, i->row.role, p.running + p.waiting > 0);
	} else {
		add_load(r, i->row.role, used_fraction(&p, i->row.slots));
	}
	request_next_report(r);
}

/* Returns the engine in service with the next higher id, or NULL. */
static struct tlb_instance *next_engine(const struct tlb_roles *r, const char *id)
{
	struct tlb_instance *best = NULL;
	struct tlb_instance *i;
	tlb_time now = tlb_clock_now();

	APR_RING_FOREACH (i, &r->board->instances.all, tlb_instance, link) {
		if (i->row.role == TLB_ROLE_SERVICE || !tlb_instance_in_service(i, now) ||
		    strcmp(i->row.service, r->service) != 0 || strcmp(i->row.id, id) <= 0)
			continue;
		if (!best || strcmp(i->row.id, best->row.id) < 0)
			best = i;
	}
	return best;
}

/* Returns the next engine that takes calls, or NULL. Those that asked for a pause count as full. */
static struct tlb_instance *next_engine_to_ask(struct tlb_roles *r)
{
	struct tlb_instance *i = next_engine(r, r->report_instance);

	while (i && !tlb_instance_usable(i, tlb_clock_now())) {
		add_load(r, i->row.role, 1);
		i = next_engine(r, i->row.id);
	}
	return i;
}

static void request_next_report(struct tlb_roles *r)
{
	struct tlb_instance *i = next_engine_to_ask(r);
	struct tlb_http_spec spec = {
		.method = "GET",
		.deadline = tlb_clock_now() + REPORT_TIMEOUT,
		.on_done = on_report,
		.arg = r,
	};

	if (!i) {
		end_round(r);
		return;
	}
	snprintf(r->report_instance, sizeof(r->report_instance), "%s", i->row.id);
	call_engine(r, i, &spec, tlb_platform_report_target(), NULL);
}

/* Returns the first service whose engines can change roles. Only one service is supported: each one
 * would need its own rounds of reports. */
static const struct tlb_generation_queue *find_changeable_pool(const struct tlb_roles *r)
{
	const struct tlb_generation_queue *p;
	const struct tlb_service_info *info;

	APR_RING_FOREACH (p, &r->board->generations.queues, tlb_generation_queue, link) {
		info = tlb_routing_find_service(r->board->routing, p->service);
		if (info && info->role_switch_ms > 0)
			return p;
	}
	return NULL;
}

static void on_timer(void *arg)
{
	struct tlb_roles *r = arg;
	const struct tlb_generation_queue *p = find_changeable_pool(r);
	tlb_time now = tlb_clock_now();

	tlb_timer_set(r->board->loop, &r->timer, now + ROUND_INTERVAL);
	if (r->state != TLB_ROLES_IDLE || now < r->cooldown_until)
		return;
	if (!p || r->board->draining || !tlb_vms_has_lowest_id(&r->board->vms, now)) {
		r->round_count = 0;
		return;
	}
	snprintf(r->service, sizeof(r->service), "%s", p->service);
	r->round = (struct tlb_role_load){0};
	r->report_instance[0] = '\0';
	r->state = TLB_ROLES_READING_LOAD;
	request_next_report(r);
}

void tlb_roles_init(struct tlb_roles *r, struct tlb_edge_board *b, struct tlb_rowstore *store)
{
	memset(r, 0, sizeof(*r));
	r->board = b;
	r->store = store;
	tlb_timer_init(&r->timer, on_timer, r);
}

void tlb_roles_start(struct tlb_roles *r)
{
	tlb_timer_set(r->board->loop, &r->timer, tlb_clock_now() + ROUND_INTERVAL);
}

void tlb_roles_finish(struct tlb_roles *r)
{
	tlb_timer_clear(r->board->loop, &r->timer);
	tlb_rowstore_cancel(&r->op);
	tlb_http_cancel(&r->call);
	if (r->callee)
		tlb_instance_release(r->callee);
	r->callee = NULL;
}
