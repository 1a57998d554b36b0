#include "rowstore.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "platform.h"

enum { TARGET_LEN = 1024 };

void tlb_rowstore_init(struct tlb_rowstore *s, struct tlb_http *http, const char *addr)
{
	memset(s, 0, sizeof(*s));
	s->http = http;
	snprintf(s->addr, sizeof(s->addr), "%s", addr);
	APR_RING_INIT(&s->observers, tlb_rowstore_observer, link);
}

/* --- eras --- */

void tlb_rowstore_observe(struct tlb_rowstore *s, struct tlb_rowstore_observer *o)
{
	APR_RING_INSERT_TAIL(&s->observers, o, tlb_rowstore_observer, link);
}

void tlb_rowstore_unobserve(struct tlb_rowstore_observer *o)
{
	APR_RING_REMOVE(o, link);
}

/* Returns whether the store is known to have returned from an older copy. */
static bool enter_era(struct tlb_rowstore *s, int64_t era)
{
	bool changed = s->era_known && era > s->era;

	if (changed)
		tlb_log_warn("event=store_era from=%lld to=%lld", (long long)s->era,
			     (long long)era);
	if (era > s->era) {
		s->era = era;
		s->era_began_at = era > TLB_STORED_FIRST_ERA ? tlb_clock_now() : 0;
	}
	s->era_known = true;
	return changed;
}

static void call_observers(struct tlb_rowstore *s)
{
	struct tlb_rowstore_observer *o;

	APR_RING_FOREACH (o, &s->observers, tlb_rowstore_observer, link) {
		o->on_new_era(o->arg);
	}
}

void tlb_rowstore_note_era(struct tlb_rowstore *s, int64_t era)
{
	if (enter_era(s, era))
		call_observers(s);
}

/* --- calls --- */

static enum tlb_rowstore_status status_from_result(const struct tlb_http_result *r)
{
	switch (r->status) {
	case 200:
		return TLB_ROWS_OK;
	case 412:
		return TLB_ROWS_CONFLICT;
	case 410:
		return TLB_ROWS_EXPIRED;
	case 429:
	case 503:
		return TLB_ROWS_REFUSED;
	default:
		return r->status == 0 && !r->sent ? TLB_ROWS_REFUSED : TLB_ROWS_UNCERTAIN;
	}
}

static bool on_data(void *arg, const char *data, size_t len)
{
	struct tlb_rowstore_op *op = arg;

	return tlb_rowreader_feed(&op->reader, data, len);
}

static void on_response(void *arg, const struct tlb_http_result *r)
{
	struct tlb_rowstore_op *op = arg;
	struct tlb_rowstore *s = op->store;
	enum tlb_rowstore_status status = status_from_result(r);
	int64_t era = r->status == 0 ? s->era : tlb_platform_store_era(r->head);
	bool new_era = r->status != 0 && enter_era(s, era);
	struct tlb_stored_rows rows = {0};
	struct tlb_error err;
	char reason[TLB_MESSAGE_LEN + 160];

	if (era < s->era)
		status = TLB_ROWS_UNCERTAIN;
	if (r->status == 0)
		snprintf(reason, sizeof(reason), "%s", r->reason);
	else if (era < s->era)
		snprintf(reason, sizeof(reason), "answer of era %lld after %lld", (long long)era,
			 (long long)s->era);
	else
		snprintf(reason, sizeof(reason), "status %d", r->status);
	/* Only the body of a success is passed to on_data(). */
	if (status == TLB_ROWS_CONFLICT)
		tlb_rowreader_feed(&op->reader, r->body, r->body_len);
	if ((status == TLB_ROWS_OK || status == TLB_ROWS_CONFLICT) &&
	    tlb_rowreader_end(&op->reader, &rows, &err) != TLB_OK) {
		status = TLB_ROWS_UNCERTAIN;
		snprintf(reason, sizeof(reason), "%s", err.message);
	}
	if (status == TLB_ROWS_OK)
		reason[0] = '\0';
	tlb_rowreader_finish(&op->reader);
	tlb_stored_rows_set_era(&rows, era);
	op->on_done(op->arg, status, &rows, reason);
	tlb_stored_rows_finish(&rows);
	/* After on_done, so that observers that start a new call don't disturb this one. */
	if (new_era)
		call_observers(s);
}

/* Starts an HTTP call for op; the store may delay its response by `wait`. */
static void start_call(struct tlb_rowstore *s, struct tlb_rowstore_op *op,
		       struct tlb_http_spec *spec, const char *target, tlb_time wait,
		       tlb_rowstore_done_fn *on_done, void *arg)
{
	char url[TARGET_LEN + TLB_PEER_LEN + 8];
	tlb_time now = tlb_clock_now();

	op->store = s;
	op->on_done = on_done;
	op->arg = arg;
	snprintf(url, sizeof(url), "http://%s%s", s->addr, target);
	spec->url = url;
	spec->connect_deadline = now + TLB_ROWSTORE_CONNECT_TIMEOUT;
	spec->deadline = now + wait + TLB_ROWSTORE_RESPONSE_MARGIN;
	spec->on_data = on_data;
	spec->on_done = on_response;
	spec->arg = op;
	tlb_rowreader_finish(&op->reader);
	s->calls++;
	tlb_http_start(s->http, &op->call, spec);
}

void tlb_rowstore_list(struct tlb_rowstore *s, struct tlb_rowstore_op *op, const char *table,
		       const struct tlb_stored_key *from, tlb_rowstore_done_fn *on_done, void *arg)
{
	struct tlb_http_spec spec = {.method = "GET"};
	char target[TARGET_LEN];

	/* A listing that lacks its place would begin anew. */
	if (!tlb_platform_list_target(target, sizeof(target), table, from))
		spec.unsendable = "the place of the listing does not fit into the call";
	start_call(s, op, &spec, target, 0, on_done, arg);
}

void tlb_rowstore_list_first(struct tlb_rowstore *s, struct tlb_rowstore_op *op, const char *table,
			     tlb_rowstore_done_fn *on_done, void *arg)
{
	static const struct tlb_stored_key first;

	tlb_rowstore_list(s, op, table, &first, on_done, arg);
}

void tlb_rowstore_follow(struct tlb_rowstore *s, struct tlb_rowstore_op *op, const char *table,
			 int64_t after, int wait_ms, tlb_rowstore_done_fn *on_done, void *arg)
{
	struct tlb_http_spec spec = {.method = "GET"};
	char target[TARGET_LEN];

	tlb_platform_feed_target(target, sizeof(target), table, tlb_stored_number(after), wait_ms);
	start_call(s, op, &spec, target, wait_ms * TLB_MS, on_done, arg);
}

/* The version that the store compares with. The number of a version of an earlier era may have been
 * given out again, so one that no row has replaces it. */
static int64_t expected_number(const struct tlb_rowstore *s, int64_t expected_version)
{
	if (expected_version <= 0)
		return expected_version;
	if (s->era_known && tlb_stored_era(expected_version) != s->era)
		return tlb_stored_number(-1);
	return tlb_stored_number(expected_version);
}

void tlb_rowstore_write(struct tlb_rowstore *s, struct tlb_rowstore_op *op, const char *table,
			const char *key, int64_t expected_version, const char *value,
			tlb_rowstore_done_fn *on_done, void *arg)
{
	char *body = tlb_platform_write_body(table, key, expected_number(s, expected_version),
					     value, value ? strlen(value) : 0);
	struct tlb_http_spec spec = {
		.method = "POST",
		.body = body,
		.body_len = body ? strlen(body) : 0,
		/* A late response on a reused connection could be taken for the one to this write.
		 */
		.dedicated_connection = true,
	};

	start_call(s, op, &spec, tlb_platform_write_target(), 0, on_done, arg);
	free(body);
}

void tlb_rowstore_cancel(struct tlb_rowstore_op *op)
{
	tlb_http_cancel(&op->call);
	tlb_rowreader_finish(&op->reader);
}
