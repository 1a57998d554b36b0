#include "store.h"

#include <stdlib.h>
#include <string.h>

#include "percent.h"

enum { QUERY_LEN = 24, ESCAPED_LEN = 1024 };

void tlb_store_init(struct tlb_store *s, struct tlb_http *h, const char *url)
{
	memset(s, 0, sizeof(*s));
	s->http = h;
	s->up = true;
	snprintf(s->url, sizeof(s->url), "%s", url);
}

static bool has_written_versions(const json_t *keys, const json_t *body)
{
	const json_t *versions = json_object_get(body, "versions");
	const json_t *key;
	size_t i;

	json_array_foreach (keys, i, key) {
		if (!json_object_get(versions, json_string_value(key)))
			return false;
	}
	return true;
}

static bool rows_have_prefix(const char *prefix, const json_t *body)
{
	const json_t *rows = json_object_get(body, "rows");
	const json_t *row;
	const char *key;
	size_t i;

	json_array_foreach (rows, i, row) {
		key = json_string_value(json_object_get(row, "key"));
		if (!key || strncmp(key, prefix, strlen(prefix)) != 0)
			return false;
	}
	return json_is_array(rows);
}

/* Whether a response belongs to this operation. A late or duplicated response on a connection can
 * belong to an earlier operation. */
static bool is_expected_response(const struct tlb_store_op *op, const json_t *body)
{
	const char *expected = json_string_value(op->expected);
	const char *key = json_string_value(json_object_get(body, "key"));

	if (json_is_array(op->expected))
		return has_written_versions(op->expected, body);
	if (op->prefix)
		return rows_have_prefix(expected, body);
	return key && strcmp(key, expected) == 0;
}

static enum tlb_store_status status_from_result(const struct tlb_store_op *op,
						const struct tlb_http_result *r, const json_t *body)
{
	if (r->status == 200)
		return body && is_expected_response(op, body) ? TLB_STORE_OK : TLB_STORE_UNCERTAIN;
	if (r->status == 409)
		return TLB_STORE_CONFLICT;
	if (r->status == 404)
		return TLB_STORE_ABSENT;
	/* The protocol defines these statuses as "not applied". */
	if (r->status == 429 || r->status == 503)
		return TLB_STORE_REFUSED;
	return r->sent ? TLB_STORE_UNCERTAIN : TLB_STORE_REFUSED;
}

static void record_health(struct tlb_store *s, enum tlb_store_status status)
{
	s->up = status != TLB_STORE_REFUSED && status != TLB_STORE_UNCERTAIN;
	if (s->up)
		s->last_success = tlb_clock_now();
}

static void on_http_done(void *arg, const struct tlb_http_result *r)
{
	struct tlb_store_op *op = arg;
	json_t *body = r->body_len ? json_loadb(r->body, r->body_len, 0, NULL) : NULL;
	enum tlb_store_status status = status_from_result(op, r, body);
	struct tlb_error err;

	memset(&err, 0, sizeof(err));
	record_health(op->store, status);
	if (status == TLB_STORE_REFUSED || status == TLB_STORE_UNCERTAIN)
		tlb_error_set(&err, TLB_STORE_UNAVAILABLE,
			      status == TLB_STORE_REFUSED ? TLB_OUTCOME_NOT_RUN
							  : TLB_OUTCOME_UNKNOWN,
			      "store", op->store->url, "table service: %s (status %d)",
			      r->reason[0] ? r->reason : "refused", r->status);
	json_decref(op->expected);
	op->expected = NULL;
	op->on_done(op->arg, status, body, &err);
	json_decref(body);
}

static void start_call(struct tlb_store *s, struct tlb_store_op *op, struct tlb_http_spec *spec,
		       tlb_store_done_fn *on_done, void *arg)
{
	op->store = s;
	op->on_done = on_done;
	op->arg = arg;
	spec->on_done = on_http_done;
	spec->arg = op;
	tlb_http_start(s->http, &op->call, spec);
}

static json_t *written_keys(const json_t *txn)
{
	json_t *keys = json_array();
	const json_t *write;
	size_t i;

	json_array_foreach (json_object_get(txn, "writes"), i, write) {
		json_array_append(keys, json_object_get(write, "key"));
	}
	return keys;
}

void tlb_store_txn(struct tlb_store *s, struct tlb_store_op *op, json_t *txn, tlb_time deadline,
		   tlb_store_done_fn *on_done, void *arg)
{
	char url[TLB_STORE_URL_LEN + 8];
	char *text = json_dumps(txn, JSON_COMPACT);
	struct tlb_http_spec spec = {
		.method = "POST",
		.url = url,
		.body = text,
		.body_len = text ? strlen(text) : 0,
		.deadline = deadline,
		/* A late response on a reused connection could be taken for the one to this write.
		 */
		.dedicated_connection = true,
	};

	op->expected = written_keys(txn);
	op->prefix = false;
	json_decref(txn);
	snprintf(url, sizeof(url), "%s/txn", s->url);
	start_call(s, op, &spec, on_done, arg);
	free(text);
}

static void start_read(struct tlb_store *s, struct tlb_store_op *op, const char *query,
		       const char *value, tlb_time deadline, tlb_store_done_fn *on_done, void *arg)
{
	char url[TLB_STORE_URL_LEN + ESCAPED_LEN + QUERY_LEN];
	char escaped[ESCAPED_LEN];
	struct tlb_http_spec spec = {.method = "GET", .url = url, .deadline = deadline};

	if (!tlb_percent_encode(value, escaped, sizeof(escaped)))
		spec.unsendable = "the key is too long";
	snprintf(url, sizeof(url), "%s/%s=%s", s->url, query, escaped);
	op->expected = json_string(value);
	op->prefix = strncmp(query, "rows", 4) == 0;
	start_call(s, op, &spec, on_done, arg);
}

void tlb_store_rows(struct tlb_store *s, struct tlb_store_op *op, const char *prefix,
		    tlb_time deadline, tlb_store_done_fn *on_done, void *arg)
{
	start_read(s, op, "rows?prefix", prefix, deadline, on_done, arg);
}

void tlb_store_row(struct tlb_store *s, struct tlb_store_op *op, const char *key, tlb_time deadline,
		   tlb_store_done_fn *on_done, void *arg)
{
	start_read(s, op, "row?key", key, deadline, on_done, arg);
}

void tlb_store_cancel(struct tlb_store_op *op)
{
	tlb_http_cancel(&op->call);
	json_decref(op->expected);
	op->expected = NULL;
}

json_t *tlb_store_txn_new(void)
{
	return json_pack("{s:[],s:[]}", "checks", "writes");
}

void tlb_store_check(json_t *txn, const char *key, int64_t version)
{
	json_array_append_new(json_object_get(txn, "checks"),
			      json_pack("{s:s,s:I}", "key", key, "version", (json_int_t)version));
}

void tlb_store_write(json_t *txn, const char *key, json_t *value)
{
	json_array_append_new(
		json_object_get(txn, "writes"),
		json_pack("{s:s,s:o}", "key", key, "value", value ? value : json_null()));
}
