#include "operator.h"

#include <ctype.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "csv.h"

/* Author recorded for changes made with the first operator's credential of the secrets file. */
static const char first_operator_id[] = "first-operator";

/* --- responses --- */

/* Replies with text, which it frees; NULL stands for an allocation failure. */
static void reply_text(struct tlb_exchange *x, int status, const char *type, char *text, size_t len)
{
	struct tlb_error err;

	if (text) {
		tlb_exchange_reply(x, status, type, text, len);
		return;
	}
	tlb_error_set(&err, TLB_INTERNAL, TLB_OUTCOME_UNKNOWN, "answer", "", "out of memory");
	tlb_exchange_refuse(x, &err, 0);
}

/* Steals the reference to body. */
static void reply_json(struct tlb_exchange *x, int status, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT | JSON_REAL_PRECISION(15));

	json_decref(body);
	reply_text(x, status, "application/json", text, text ? strlen(text) : 0);
}

static void reply_error(struct tlb_exchange *x, enum tlb_code code, const char *message)
{
	struct tlb_error err;

	tlb_error_set(&err, code, TLB_OUTCOME_NOT_RUN, "operator", "", "%s", message);
	tlb_exchange_refuse(x, &err, 0);
}

static json_t *error_body(const struct tlb_exchange *x, const struct tlb_error *err)
{
	return json_pack("{s:{s:s, s:s, s:s, s:s}}", "error", "code", tlb_error_name(err->code),
			 "message", err->message, "outcome", tlb_outcome_name(err->outcome),
			 "request_id", x->id);
}

static void reply_faults(struct tlb_exchange *x, const struct tlb_error *err,
			 const struct tlb_faults *f)
{
	json_t *body = error_body(x, err);

	json_object_set(body, "faults", f->faults);
	json_object_set_new(body, "fault_count", json_integer((json_int_t)f->fault_count));
	json_object_set(body, "warnings", f->warnings);
	reply_json(x, tlb_error_http_status(err->code), body);
}

/* --- authentication --- */

/* Returns the id of the operator whose credential the request carries, or NULL. The credential of
 * the secrets file is accepted only while the table holds no granted operator. */
static const char *authenticate(const struct tlb_operator_listener *o, const struct tlb_exchange *x)
{
	const struct tlb_table *t = o->config->table;
	const struct tlb_operator *row;

	if (x->key_form != TLB_KEY_PRESENT)
		return NULL;
	row = tlb_table_find_operator(t, x->key_hash);
	if (row)
		return row->withdrawn ? NULL : row->id;
	if (o->settings->has_bootstrap_operator &&
	    sodium_memcmp(o->settings->bootstrap_operator, x->key_hash, TLB_KEY_HASH_LEN) == 0 &&
	    o->config->loaded && !tlb_table_has_operator(t))
		return first_operator_id;
	return NULL;
}

/* --- query parameters --- */

/* Copies the value of a query parameter; "" when it is absent. Returns false, with "", when it does
 * not fit. Values are not percent-decoded, because kinds, ids and numbers contain no escaped
 * characters. */
static bool get_param(const struct tlb_exchange *x, const char *name, char *out, size_t size)
{
	size_t name_len = strlen(name);
	const char *p = x->query;
	size_t len;

	out[0] = '\0';
	for (; *p; p += len + (p[len] == '&')) {
		len = strcspn(p, "&");
		if (len <= name_len || strncmp(p, name, name_len) != 0 || p[name_len] != '=')
			continue;
		len -= name_len + 1;
		if (len >= size)
			return false;
		memcpy(out, p + name_len + 1, len);
		out[len] = '\0';
		return true;
	}
	return true;
}

/* Parses the parameter kind; *has_kind is whether it is present. Returns false after an error
 * reply. */
static bool parse_kind(struct tlb_exchange *x, enum tlb_row_kind *kind, bool *has_kind)
{
	char name[16];

	*has_kind = !get_param(x, "kind", name, sizeof(name)) || name[0] != '\0';
	if (!*has_kind || tlb_table_kind_from_name(name, kind))
		return true;
	reply_error(x, TLB_BAD_REQUEST,
		    "kind is not allowed; expected one of account, key, model, endpoint, route, "
		    "operator");
	return false;
}

/* --- health, readiness, counters --- */

static bool is_ready(const struct tlb_operator_listener *o, const char **reason)
{
	*reason = "no configuration has been loaded";
	if (!o->config->loaded || o->config->table->version == 0)
		return false;
	return !o->callbacks.ready || o->callbacks.ready(o->callbacks.arg, reason);
}

static void on_healthz(struct tlb_operator_listener *o, struct tlb_exchange *x)
{
	reply_json(x, 200, json_pack("{s:b}", "ok", 1));
}

static void on_readyz(struct tlb_operator_listener *o, struct tlb_exchange *x)
{
	const char *reason;

	if (is_ready(o, &reason))
		reply_json(x, 200, json_pack("{s:b}", "ready", 1));
	else
		reply_error(x, TLB_NOT_READY, reason);
}

static void on_metrics(struct tlb_operator_listener *o, struct tlb_exchange *x)
{
	size_t len = 0;
	char *text;

	if (o->callbacks.refresh_counters)
		o->callbacks.refresh_counters(o->callbacks.arg);
	text = tlb_counter_render(o->counters, &len);
	reply_text(x, 200, "text/plain; version=0.0.4", text, len);
}

/* --- configuration table --- */

static void append_rows(json_t *all, const struct tlb_table *t, enum tlb_row_kind kind)
{
	json_t *rows = tlb_table_rows(t, kind);

	json_array_extend(all, rows);
	json_decref(rows);
}

static void append_row(json_t *all, const struct tlb_table *t, enum tlb_row_kind kind,
		       const char *id)
{
	json_t *value = tlb_table_row(t, kind, id);
	json_t *key;

	if (!value)
		return;
	key = json_sprintf("config/%s/%s", tlb_table_kind_name(kind), id);
	json_array_append_new(all, json_pack("{s:o, s:o}", "key", key, "value", value));
}

static void on_table(struct tlb_operator_listener *o, struct tlb_exchange *x)
{
	const struct tlb_table *t = o->config->table;
	json_t *rows;
	enum tlb_row_kind kind = TLB_ROW_ACCOUNT;
	char id[TLB_ID_LEN];
	bool has_kind;
	int k;

	if (!parse_kind(x, &kind, &has_kind))
		return;
	if (!get_param(x, "id", id, sizeof(id))) {
		reply_error(x, TLB_BAD_REQUEST, "the parameter id is too long");
		return;
	}
	rows = json_array();
	if (has_kind && id[0])
		append_row(rows, t, kind, id);
	else if (has_kind)
		append_rows(rows, t, kind);
	else
		for (k = 0; k < TLB_ROW_KIND_COUNT; k++)
			append_rows(rows, t, k);
	reply_json(x, 200,
		   json_pack("{s:I, s:o}", "version", (json_int_t)t->version, "rows", rows));
}

static void on_table_csv(struct tlb_operator_listener *o, struct tlb_exchange *x)
{
	enum tlb_row_kind kind = TLB_ROW_ACCOUNT;
	size_t len = 0;
	bool has_kind;
	char *text;

	if (!parse_kind(x, &kind, &has_kind))
		return;
	if (!has_kind) {
		reply_error(x, TLB_BAD_REQUEST, "the parameter kind is missing");
		return;
	}
	text = tlb_csv_write(o->config->table, kind, &len);
	reply_text(x, 200, "text/csv; charset=utf-8", text, len);
}

/* --- changes --- */

/* A parsed request body. */
struct request {
	json_t *body; /* owned */
	const char *change_id;
	const char *summary;
	int64_t base_version;
	json_t *rows;
	struct tlb_faults faults;
};

static void finish_request(struct request *r)
{
	json_decref(r->body);
	tlb_faults_finish(&r->faults);
}

static void add_body_fault(struct request *r, const char *member, const char *allowed)
{
	tlb_faults_add(&r->faults, "change", member, json_object_get(r->body, member), allowed);
}

static bool is_printable(const char *s)
{
	for (; *s; s++)
		if (iscntrl((unsigned char)*s))
			return false;
	return true;
}

static void check_rows(struct request *r)
{
	json_t *row;
	json_t *value;
	size_t i;

	json_array_foreach (r->rows, i, row) {
		value = json_object_get(row, "value");
		if (json_is_string(json_object_get(row, "key")) && json_object_size(row) == 2 &&
		    (json_is_object(value) || json_is_null(value)))
			continue;
		add_body_fault(r, "",
			       "each row as {\"key\":\"config/<kind>/<id>\",\"value\":<object "
			       "or null>}");
		return;
	}
}

static void check_members(struct request *r)
{
	static const char *const known[] = {"change_id", "base_version", "summary", "rows"};
	const char *name;
	json_t *v;
	size_t i;

	json_object_foreach (r->body, name, v) {
		for (i = 0; i < 4 && strcmp(name, known[i]) != 0; i++)
			;
		if (i == 4)
			tlb_faults_add(&r->faults, "change", name, NULL,
				       "one of change_id, base_version, summary, rows");
	}
}

static void check_shape(struct request *r)
{
	const json_t *base = json_object_get(r->body, "base_version");

	r->change_id = json_string_value(json_object_get(r->body, "change_id"));
	r->summary = json_string_value(json_object_get(r->body, "summary"));
	r->rows = json_object_get(r->body, "rows");
	r->base_version = json_integer_value(base);
	if (!r->change_id || !tlb_table_id_valid(r->change_id))
		add_body_fault(r, "change_id",
			       "1 to 47 of A-Z a-z 0-9 . _ -, the first a letter or a digit");
	if (!json_is_integer(base) || r->base_version < 0)
		add_body_fault(r, "base_version", "the version that the change is based on");
	if (!r->summary || !*r->summary || strlen(r->summary) >= TLB_SUMMARY_LEN ||
	    !is_printable(r->summary))
		add_body_fault(r, "summary", "1 to 199 bytes of text without control characters");
	if (!json_is_array(r->rows) || json_array_size(r->rows) < 1 ||
	    json_array_size(r->rows) > TLB_OPERATOR_ROWS_MAX)
		tlb_faults_add(&r->faults, "change", "rows", NULL, "an array of 1 to 25000 rows");
	check_rows(r);
	check_members(r);
}

/* Parses the body. On failure replies with the error and returns false; r needs no cleanup then. */
static bool parse_request(struct tlb_exchange *x, struct request *r)
{
	struct tlb_error err;
	json_error_t where = {.line = 1};
	char message[160];

	memset(r, 0, sizeof(*r));
	r->body = json_loadb(x->body.data ? x->body.data : "", x->body.len, JSON_REJECT_DUPLICATES,
			     &where);
	if (!json_is_object(r->body)) {
		/* Jansson's own message is not sent, because it quotes the body. */
		snprintf(message, sizeof(message),
			 "the body is not a JSON object (line %d, column %d)", where.line,
			 where.column);
		json_decref(r->body);
		reply_error(x, TLB_BAD_REQUEST, message);
		return false;
	}
	tlb_faults_init(&r->faults);
	check_shape(r);
	if (r->faults.fault_count == 0)
		return true;
	tlb_error_set(&err, TLB_BAD_REQUEST, TLB_OUTCOME_NOT_RUN, "check", "", "%s",
		      tlb_faults_first(&r->faults));
	reply_faults(x, &err, &r->faults);
	finish_request(r);
	return false;
}

/* A change in progress and the exchange that waits for its result. */
struct pending_change {
	struct tlb_exchange *exchange;
	struct tlb_change *change;
	int64_t base_version;
};

static void on_client_disconnect(void *arg)
{
	struct pending_change *p = arg;

	tlb_change_detach(p->change);
	free(p);
}

/* Returns the changes listed in head that are later than version base. New reference. */
static json_t *changes_since(const json_t *head, int64_t base)
{
	json_t *list = json_array();
	json_t *item;
	size_t i;

	json_array_foreach (json_object_get(head, "recent"), i, item) {
		if (json_integer_value(json_object_get(item, "version")) > base)
			json_array_append(list, item);
	}
	return list;
}

static void reply_conflict(struct tlb_exchange *x, const struct tlb_change_result *r, int64_t base)
{
	json_t *body = error_body(x, &r->error);
	json_t *winner = json_object();
	static const char *const members[] = {"version", "author", "summary", "change_id",
					      "wall_ms"};
	size_t i;

	for (i = 0; i < sizeof(members) / sizeof(members[0]); i++)
		json_object_set(winner, members[i], json_object_get(r->current_head, members[i]));
	json_object_set_new(body, "winner", winner);
	json_object_set_new(body, "since", changes_since(r->current_head, base));
	reply_json(x, tlb_error_http_status(TLB_CONFLICT), body);
}

static void on_change_result(void *arg, const struct tlb_change_result *r)
{
	struct pending_change *p = arg;
	struct tlb_exchange *x = p->exchange;
	int64_t base = p->base_version;

	free(p);
	switch (r->error.code) {
	case TLB_OK:
		reply_json(x, 200,
			   json_pack("{s:I, s:O}", "version", (json_int_t)r->version, "warnings",
				     r->faults->warnings));
		break;
	case TLB_BAD_REQUEST:
		reply_faults(x, &r->error, r->faults);
		break;
	case TLB_CONFLICT:
		reply_conflict(x, r, base);
		break;
	default:
		tlb_exchange_refuse(x, &r->error, 1);
		break;
	}
}

static void start_change(struct tlb_operator_listener *o, struct tlb_exchange *x,
			 const struct request *r)
{
	struct tlb_change_spec spec = {
		.author = authenticate(o, x),
		.change_id = r->change_id,
		.summary = r->summary,
		.base_version = r->base_version,
		.rows = r->rows,
	};
	struct pending_change *p = calloc(1, sizeof(*p));
	struct tlb_error err;

	if (!p) {
		reply_error(x, TLB_INTERNAL, "out of memory");
		return;
	}
	p->exchange = x;
	p->base_version = r->base_version;
	p->change = tlb_change_start(o->changes, &spec, on_change_result, p, &err);
	if (!p->change) {
		free(p);
		tlb_exchange_refuse(x, &err, 1);
		return;
	}
	x->on_disconnect = on_client_disconnect;
	x->arg = p;
}

static void on_change(struct tlb_operator_listener *o, struct tlb_exchange *x)
{
	struct request r;

	if (!parse_request(x, &r))
		return;
	start_change(o, x, &r);
	finish_request(&r);
}

static void check_request(struct tlb_operator_listener *o, struct tlb_exchange *x,
			  struct request *r)
{
	struct tlb_error err;

	if (tlb_change_check(o->config, r->rows, &r->faults)) {
		reply_json(x, 200,
			   json_pack("{s:b, s:I, s:O}", "ok", 1, "version",
				     (json_int_t)o->config->table->version, "warnings",
				     r->faults.warnings));
		return;
	}
	tlb_error_set(&err, TLB_BAD_REQUEST, TLB_OUTCOME_NOT_RUN, "check", "", "%s",
		      tlb_faults_first(&r->faults));
	reply_faults(x, &err, &r->faults);
}

/* Validates against the version in force; base_version is ignored. */
static void on_check(struct tlb_operator_listener *o, struct tlb_exchange *x)
{
	struct request r;

	if (!parse_request(x, &r))
		return;
	check_request(o, x, &r);
	finish_request(&r);
}

/* --- daemon state --- */

static json_t *store_state(const struct tlb_store *s)
{
	json_t *age = json_null();

	if (s->last_success)
		age = json_integer((tlb_clock_now() - s->last_success) / TLB_MS);
	return json_pack("{s:b, s:o}", "up", s->up, "last_answer_age_ms", age);
}

static void on_status(struct tlb_operator_listener *o, struct tlb_exchange *x)
{
	const char *reason = "";
	bool ready = is_ready(o, &reason);
	json_t *body;
	json_t *extra;

	body = json_pack("{s:s, s:s, s:s, s:I, s:b, s:s, s:o}", "vm", o->settings->vm_id, "zone",
			 o->settings->zone, "region", o->settings->region, "config_version",
			 (json_int_t)o->config->table->version, "ready", ready, "not_ready_reason",
			 ready ? "" : reason, "store", store_state(o->config->store));
	if (o->config->rejected_version > o->config->table->version)
		json_object_set_new(body, "refused_config_version",
				    json_integer(o->config->rejected_version));
	extra = o->callbacks.status ? o->callbacks.status(o->callbacks.arg) : NULL;
	json_object_update(body, extra);
	json_decref(extra);
	reply_json(x, 200, body);
}

/* Replies {"<name>":<list>}. Without a callback the list holds the table's rows of the kind, or is
 * empty for TLB_ROW_KIND_COUNT. */
static void reply_list(struct tlb_operator_listener *o, struct tlb_exchange *x, const char *name,
		       json_t *(*list)(void *arg), enum tlb_row_kind kind)
{
	json_t *items = NULL;

	if (list)
		items = list(o->callbacks.arg);
	else if (kind != TLB_ROW_KIND_COUNT)
		items = tlb_table_rows(o->config->table, kind);
	reply_json(x, 200, json_pack("{s:o}", name, items ? items : json_array()));
}

static void on_requests(struct tlb_operator_listener *o, struct tlb_exchange *x)
{
	reply_list(o, x, "requests", o->callbacks.requests, TLB_ROW_KIND_COUNT);
}

static void on_endpoints(struct tlb_operator_listener *o, struct tlb_exchange *x)
{
	reply_list(o, x, "endpoints", o->callbacks.endpoints, TLB_ROW_ENDPOINT);
}

static void on_accounts(struct tlb_operator_listener *o, struct tlb_exchange *x)
{
	reply_list(o, x, "accounts", o->callbacks.accounts, TLB_ROW_ACCOUNT);
}

/* Whether every listed VM has this version or a later one in force. */
static bool all_have_version(const json_t *vms, int64_t version)
{
	const json_t *vm;
	size_t i;

	json_array_foreach (vms, i, vm) {
		if (json_integer_value(json_object_get(vm, "version")) < version)
			return false;
	}
	return true;
}

/* Returns the parameter version, the version in force here when it is absent, or -1 when it is not
 * a number. */
static int64_t requested_version(const struct tlb_operator_listener *o,
				 const struct tlb_exchange *x)
{
	char text[19]; /* any 18 digits */

	if (!get_param(x, "version", text, sizeof(text)) || text[strspn(text, "0123456789")])
		return -1;
	if (!text[0])
		return o->config->table->version;
	return strtoll(text, NULL, 10);
}

static void on_force(struct tlb_operator_listener *o, struct tlb_exchange *x)
{
	int64_t version = requested_version(o, x);
	json_t *peers;
	json_t *vms;

	if (version < 0) {
		reply_error(x, TLB_BAD_REQUEST, "version is not allowed; expected an integer");
		return;
	}
	vms = json_pack("[{s:s, s:I}]", "vm", o->settings->vm_id, "version",
			(json_int_t)o->config->table->version);
	peers = o->callbacks.peers ? o->callbacks.peers(o->callbacks.arg) : NULL;
	json_array_extend(vms, peers);
	/* Without the peers callback the versions on the other VMs are unknown. */
	reply_json(x, 200,
		   json_pack("{s:I, s:o, s:o}", "version", (json_int_t)version, "everywhere",
			     peers ? json_boolean(all_have_version(vms, version)) : json_null(),
			     "vms", vms));
	json_decref(peers);
}

/* --- dispatch --- */

typedef void handler_fn(struct tlb_operator_listener *o, struct tlb_exchange *x);

static const struct {
	const char *path;
	const char *method;
	bool unauthenticated; /* served without a credential */
	handler_fn *handle;
} handlers[] = {
	{"/healthz", "GET", true, on_healthz},
	{"/readyz", "GET", true, on_readyz},
	{"/metrics", "GET", true, on_metrics},
	{"/v1/table", "GET", false, on_table},
	{"/v1/table.csv", "GET", false, on_table_csv},
	{"/v1/change", "POST", false, on_change},
	{"/v1/check", "POST", false, on_check},
	{"/v1/status", "GET", false, on_status},
	{"/v1/requests", "GET", false, on_requests},
	{"/v1/endpoints", "GET", false, on_endpoints},
	{"/v1/accounts", "GET", false, on_accounts},
	{"/v1/force", "GET", false, on_force},
};

enum { HANDLER_COUNT = sizeof(handlers) / sizeof(handlers[0]) };

static void reply_unauthorized(const struct tlb_operator_listener *o, struct tlb_exchange *x)
{
	if (!o->config->loaded)
		reply_error(x, TLB_NOT_READY, "no configuration has been loaded");
	else if (x->key_form == TLB_KEY_NONE)
		reply_error(x, TLB_MISSING_KEY,
			    "an operator's credential is needed as Authorization: Bearer");
	else
		reply_error(x, TLB_INVALID_KEY,
			    "this credential is not that of a granted operator");
}

static void on_request(void *arg, struct tlb_exchange *x)
{
	struct tlb_operator_listener *o = arg;
	size_t i;

	for (i = 0; i < HANDLER_COUNT && strcmp(handlers[i].path, x->path) != 0; i++)
		;
	/* Authenticate first, so that unauthenticated clients can't probe which paths exist. */
	if ((i == HANDLER_COUNT || !handlers[i].unauthenticated) && !authenticate(o, x))
		reply_unauthorized(o, x);
	else if (i == HANDLER_COUNT)
		reply_error(x, TLB_NOT_FOUND, "there is no such path");
	else if (strcmp(handlers[i].method, x->method) != 0)
		reply_error(x, TLB_METHOD_NOT_ALLOWED, "this path has another method");
	else
		handlers[i].handle(o, x);
}

enum tlb_code tlb_operator_init(struct tlb_operator_listener *o, struct tlb_loop *l,
				struct tlb_config *config, struct tlb_changes *changes,
				struct tlb_counters *counters, const struct tlb_settings *settings,
				const struct tlb_operator_callbacks *source, struct tlb_error *err)
{
	struct tlb_listener_limits limits = {
		.max_body_bytes = TLB_OPERATOR_BODY_MAX,
		.max_connections = TLB_OPERATOR_CONNECTIONS,
		.request_timeout_ms = TLB_OPERATOR_REQUEST_MS,
		.idle_timeout_ms = TLB_LISTENER_IDLE_MS,
	};

	memset(o, 0, sizeof(*o));
	o->config = config;
	o->changes = changes;
	o->counters = counters;
	o->settings = settings;
	o->callbacks = *source;
	return tlb_listener_init(&o->listener, l, settings->operator_addr, "operator", &limits,
				 on_request, o, err);
}

void tlb_operator_finish(struct tlb_operator_listener *o)
{
	tlb_listener_finish(&o->listener);
}
