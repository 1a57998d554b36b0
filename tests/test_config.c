/*
 * Runs the configuration controller and operators' changes against a fake table service in the test
 * process, which can lose requests and responses, be unavailable, and contain other daemons'
 * changes.
 */
#include <apr_general.h>
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "change.h"
#include "listener.h"

/* A fake table service; its rows are a JSON object: key -> {"version","value"}. */
static struct {
	json_t *rows;
	bool down;	    /* responds with 503 */
	int lose_responses; /* number of writes to commit without responding */
	int lose_requests;  /* number of writes to drop without committing or responding */
	int writes;
	struct tlb_exchange *held;
} fake_store;

static struct tlb_loop loop;
static struct tlb_listener front;
static struct tlb_http http;
static struct tlb_store store;
static struct tlb_counters counters;
static struct tlb_config config;
static struct tlb_changes changes;
static int table_installs;

static void respond(struct tlb_exchange *x, int status, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);

	json_decref(body);
	tlb_exchange_reply(x, status, "application/json", text, strlen(text));
}

static json_t *row_json(const char *key)
{
	json_t *row = json_object_get(fake_store.rows, key);

	return json_pack("{s:s, s:O, s:O}", "key", key, "version", json_object_get(row, "version"),
			 "value", json_object_get(row, "value"));
}

static int64_t version_of(const char *key)
{
	return json_integer_value(
		json_object_get(json_object_get(fake_store.rows, key), "version"));
}

static void put_row(const char *key, json_t *value)
{
	if (json_is_null(value)) {
		json_object_del(fake_store.rows, key);
		json_decref(value);
		return;
	}
	json_object_set_new(fake_store.rows, key,
			    json_pack("{s:I, s:o}", "version", (json_int_t)version_of(key) + 1,
				      "value", value));
}

static bool run_txn(const json_t *txn)
{
	const char *key;
	json_t *item;
	size_t i;

	json_array_foreach (json_object_get(txn, "checks"), i, item) {
		key = json_string_value(json_object_get(item, "key"));
		if (version_of(key) != json_integer_value(json_object_get(item, "version")))
			return false;
	}
	json_array_foreach (json_object_get(txn, "writes"), i, item) {
		key = json_string_value(json_object_get(item, "key"));
		put_row(key, json_incref(json_object_get(item, "value")));
	}
	return true;
}

static void clear_held(void *arg)
{
	fake_store.held = NULL;
}

/* Keeps the request open without a response until the client disconnects. */
static void hold(struct tlb_exchange *x)
{
	fake_store.held = x;
	x->on_disconnect = clear_held;
}

static void on_txn(struct tlb_exchange *x)
{
	json_t *txn;
	bool ok;

	fake_store.writes++;
	if (fake_store.lose_requests > 0) {
		fake_store.lose_requests--;
		hold(x);
		return;
	}
	txn = json_loadb(x->body.data, x->body.len, 0, NULL);
	ok = run_txn(txn);
	json_decref(txn);
	if (fake_store.lose_responses > 0) {
		fake_store.lose_responses--;
		hold(x);
		return;
	}
	respond(x, ok ? 200 : 409, json_pack("{s:b}", "ok", ok));
}

static void on_rows(struct tlb_exchange *x)
{
	json_t *rows = json_array();
	const char *key;
	json_t *row;

	json_object_foreach (fake_store.rows, key, row) {
		json_array_append_new(rows, row_json(key));
	}
	respond(x, 200, json_pack("{s:o}", "rows", rows));
}

static void on_request(void *arg, struct tlb_exchange *x)
{
	if (fake_store.down)
		respond(x, 503, json_object());
	else if (strcmp(x->path, "/txn") == 0)
		on_txn(x);
	else if (strcmp(x->path, "/rows") == 0)
		on_rows(x);
	else if (json_object_get(fake_store.rows, TLB_CONFIG_HEAD))
		respond(x, 200, row_json(TLB_CONFIG_HEAD));
	else
		respond(x, 404, json_object());
}

static void count_install(void *arg)
{
	table_installs++;
}

static void set_up(void)
{
	struct tlb_listener_limits limits = {NULL, 1 << 20, 16, 10000, TLB_LISTENER_IDLE_MS};
	char url[80];

	memset(&fake_store, 0, sizeof(fake_store));
	memset(&counters, 0, sizeof(counters));
	table_installs = 0;
	fake_store.rows = json_object();
	ck_assert_int_eq(tlb_loop_init(&loop), APR_SUCCESS);
	ck_assert_int_eq(tlb_listener_init(&front, &loop, "127.0.0.1:0", "t", &limits, on_request,
					   NULL, NULL),
			 TLB_OK);
	tlb_http_init(&http, &loop);
	snprintf(url, sizeof(url), "http://%s", front.addr);
	tlb_store_init(&store, &http, url);
	tlb_config_init(&config, &loop, &store, &counters, count_install, NULL);
	tlb_changes_init(&changes, &config);
}

static void tear_down(void)
{
	tlb_changes_finish(&changes);
	tlb_config_finish(&config);
	tlb_http_finish(&http);
	tlb_listener_finish(&front);
	tlb_loop_finish(&loop);
	json_decref(fake_store.rows);
}

/* Runs the loop until *flag is at least n, for at most 20 s. */
static void run_until(const int *flag, int n)
{
	tlb_time end = tlb_clock_now() + 20 * TLB_SECOND;

	while (*flag < n && tlb_clock_now() < end)
		tlb_loop_once(&loop, end);
	ck_assert_int_ge(*flag, n);
}

/* The result of a change. */
struct outcome {
	int done;
	enum tlb_code code;
	enum tlb_outcome outcome;
	int64_t version;
	size_t faults;
	char winner[TLB_ID_LEN];
};

static void on_change(void *arg, const struct tlb_change_result *r)
{
	struct outcome *o = arg;
	const char *author = json_string_value(json_object_get(r->current_head, "author"));

	o->done++;
	o->code = r->error.code;
	o->outcome = r->error.outcome;
	o->version = r->version;
	o->faults = r->faults->fault_count;
	snprintf(o->winner, sizeof(o->winner), "%s", author ? author : "");
}

static void start_change(struct outcome *o, const char *change_id, int64_t base, const char *rows)
{
	struct tlb_change_spec spec = {"ann", change_id, "test", base, json_loads(rows, 0, NULL)};

	memset(o, 0, sizeof(*o));
	ck_assert_ptr_nonnull(spec.rows);
	ck_assert_ptr_nonnull(tlb_change_start(&changes, &spec, on_change, o, NULL));
	json_decref(spec.rows);
}

static struct outcome make_change(const char *change_id, int64_t base, const char *rows)
{
	struct outcome o;

	start_change(&o, change_id, base, rows);
	run_until(&o.done, 1);
	return o;
}

static const char account_a1[] = "[{\"key\":\"config/account/a1\",\"value\":"
				 "{\"weight\":1,\"rate\":10,\"burst\":100}}]";
static const char account_a2[] = "[{\"key\":\"config/account/a2\",\"value\":"
				 "{\"weight\":1,\"rate\":10,\"burst\":100}}]";
static const char removed_a1[] = "[{\"key\":\"config/account/a1\",\"value\":null}]";
static const char invalid_rows[] = "[{\"key\":\"config/account/a1\",\"value\":{\"weight\":0}},"
				   "{\"key\":\"config/key/k1\",\"value\":null},"
				   "{\"key\":\"config/shoe/s1\",\"value\":{}}]";

/* Commits a change by another daemon's operator to the fake table service. */
static void remote_change(int64_t version)
{
	put_row(TLB_CONFIG_HEAD, json_pack("{s:I, s:s, s:s, s:s}", "version", (json_int_t)version,
					   "author", "bob", "change_id", "bobs", "summary", "his"));
	put_row("config/account/b1",
		json_pack("{s:i, s:i, s:i}", "weight", 1, "rate", 5, "burst", 50));
}

/* Guards against a change that is not written to the store or not put in force. */
START_TEST(change_is_written)
{
	struct outcome o = make_change("c1", 0, account_a1);

	ck_assert_int_eq(o.code, TLB_OK);
	ck_assert_int_eq(o.version, 1);
	ck_assert_int_eq(tlb_config_version(&config), 1);
	ck_assert_ptr_nonnull(tlb_table_find_account(config.table, "a1"));
	ck_assert_ptr_nonnull(json_object_get(fake_store.rows, "config/account/a1"));
	o = make_change("c2", 1, removed_a1);
	ck_assert_int_eq(o.version, 2);
	ck_assert_ptr_null(json_object_get(fake_store.rows, "config/account/a1"));
	ck_assert_int_eq(table_installs, 2);
}
END_TEST

/* Guards against an invalid change that is written in part, or whose errors are reported one at a
 * time. */
START_TEST(invalid_change_writes_nothing)
{
	struct outcome o = make_change("c1", 0, invalid_rows);

	ck_assert_int_eq(o.code, TLB_BAD_REQUEST);
	ck_assert_uint_eq(o.faults, 5);
	ck_assert_int_eq(fake_store.writes, 0);
	ck_assert_int_eq(table_installs, 0);
}
END_TEST

/* Guards against a change that overwrites another operator's change which its author has not
 * seen. */
START_TEST(conflict_reports_other_author)
{
	struct outcome o;

	remote_change(1);
	o = make_change("c1", 0, account_a1);
	ck_assert_int_eq(o.code, TLB_CONFLICT);
	ck_assert_int_eq(o.outcome, TLB_OUTCOME_NOT_RUN);
	ck_assert_str_eq(o.winner, "bob");
	/* Based on the other operator's version the change succeeds, although this daemon had not
	 * loaded that version before. */
	o = make_change("c1", 1, account_a1);
	ck_assert_int_eq(o.code, TLB_OK);
	ck_assert_int_eq(o.version, 2);
	ck_assert_ptr_nonnull(tlb_table_find_account(config.table, "b1"));
}
END_TEST

/* Guards against both of two changes to one daemon being accepted on the same base version. */
START_TEST(concurrent_changes_conflict)
{
	struct outcome a;
	struct outcome b;

	start_change(&a, "c1", 0, account_a1);
	start_change(&b, "c2", 0, account_a2);
	run_until(&a.done, 1);
	run_until(&b.done, 1);
	ck_assert_int_eq(a.code, TLB_OK);
	ck_assert_int_eq(b.code, TLB_CONFLICT);
	ck_assert_str_eq(b.winner, "ann");
}
END_TEST

/* Guards against a write that is reported as failed or repeated after its response was lost. */
START_TEST(lost_response_is_detected)
{
	struct outcome o;

	fake_store.lose_responses = 1;
	o = make_change("c1", 0, account_a1);
	ck_assert_int_eq(o.code, TLB_OK);
	ck_assert_int_eq(o.version, 1);
	ck_assert_int_eq(fake_store.writes, 1);
	/* Repeating the change later returns the same version, although another change followed. */
	ck_assert_int_eq(make_change("c2", 1, account_a2).version, 2);
	o = make_change("c1", 0, account_a1);
	ck_assert_int_eq(o.code, TLB_OK);
	ck_assert_int_eq(o.version, 1);
	ck_assert_int_eq(fake_store.writes, 2);
}
END_TEST

/* Guards against a lost request being reported as a success. */
START_TEST(lost_request_is_repeated)
{
	struct outcome o;

	fake_store.lose_requests = 1;
	o = make_change("c1", 0, account_a1);
	ck_assert_int_eq(o.code, TLB_OK);
	ck_assert_int_eq(fake_store.writes, 2);
	ck_assert_int_eq(version_of("config/account/a1"), 1);
}
END_TEST

/* Guards against accepting a change by an operator who is not granted in the stored table, which
 * this daemon has not loaded yet. */
START_TEST(withdrawn_author_is_rejected)
{
	static const char hash[] =
		"abababababababababababababababababababababababababababababababab";
	struct outcome o;

	remote_change(1);
	put_row("config/operator/bob", json_pack("{s:s, s:s}", "hash", hash, "state", "granted"));
	o = make_change("c1", 1, account_a1);
	ck_assert_int_eq(o.code, TLB_INVALID_KEY);
	ck_assert_int_eq(fake_store.writes, 0);
}
END_TEST

/* Guards against a change that is reported as possibly run when the store rejected every request.
 */
START_TEST(store_unavailable)
{
	struct outcome o;

	fake_store.down = true;
	o = make_change("c1", 0, account_a1);
	ck_assert_int_eq(o.code, TLB_STORE_UNAVAILABLE);
	ck_assert_int_eq(o.outcome, TLB_OUTCOME_NOT_RUN);
	ck_assert_int_eq(table_installs, 0);
}
END_TEST

/* Guards against a daemon that misses a change in the store or reverts to an older version. */
START_TEST(poll_follows_store)
{
	remote_change(3);
	tlb_config_start(&config);
	run_until(&table_installs, 1);
	ck_assert_int_eq(tlb_config_version(&config), 3);
	remote_change(4);
	run_until(&table_installs, 2);
	ck_assert_int_eq(tlb_config_version(&config), 4);
	remote_change(2);
	put_row("config/account/b2", json_pack("{s:i}", "weight", 1));
	tlb_config_refresh(&config);
	tlb_loop_once(&loop, tlb_clock_now() + TLB_SECOND);
	while (tlb_http_active(&config.load_op.call))
		tlb_loop_once(&loop, tlb_clock_now() + TLB_SECOND);
	ck_assert_int_eq(tlb_config_version(&config), 4);
	ck_assert_int_eq(table_installs, 2);
}
END_TEST

/* Guards against rows from a peer being applied to a version other than their base, and against
 * invalid or older rows replacing the table in force. */
START_TEST(rows_for_peers)
{
	struct tlb_config peer;
	json_t *rows;
	int64_t base;

	make_change("c1", 0, account_a1);
	make_change("c2", 1, account_a2);
	make_change("c3", 2, removed_a1);
	tlb_config_init(&peer, &loop, &store, &counters, NULL, NULL);
	rows = tlb_config_rows_since(&config, 1, &base);
	ck_assert_int_eq(base, 1);
	ck_assert_uint_eq(json_array_size(rows), 2);
	ck_assert_int_eq(tlb_config_apply_rows(&peer, 3, base, rows, NULL), TLB_CONFLICT);
	json_decref(rows);
	rows = tlb_config_rows_since(&config, 0, &base);
	ck_assert_int_eq(base, 0);
	ck_assert_int_eq(tlb_config_apply_rows(&peer, 3, base, rows, NULL), TLB_OK);
	ck_assert_int_eq(peer.table->version, 3);
	ck_assert_ptr_nonnull(tlb_table_find_account(peer.table, "a2"));
	ck_assert_ptr_null(tlb_table_find_account(peer.table, "a1"));
	json_decref(rows);
	make_change("c4", 3, account_a1);
	rows = tlb_config_rows_since(&config, 3, &base);
	ck_assert_uint_eq(json_array_size(rows), 1);
	ck_assert_int_eq(tlb_config_apply_rows(&peer, 4, base, rows, NULL), TLB_OK);
	ck_assert_ptr_nonnull(tlb_table_find_account(peer.table, "a1"));
	ck_assert_int_eq(tlb_config_apply_rows(&peer, 2, 0, rows, NULL), TLB_OK);
	ck_assert_int_eq(peer.table->version, 4);
	json_decref(rows);
	rows = json_loads(invalid_rows, 0, NULL);
	ck_assert_int_eq(tlb_config_apply_rows(&peer, 5, 4, rows, NULL), TLB_BAD_REQUEST);
	ck_assert_int_eq(peer.table->version, 4);
	json_decref(rows);
	tlb_config_finish(&peer);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("config");
	TCase *tc = tcase_create("store");
	SRunner *sr = srunner_create(s);
	int failed;

	apr_initialize();
	tcase_add_checked_fixture(tc, set_up, tear_down);
	tcase_set_timeout(tc, 30);
	tcase_add_test(tc, change_is_written);
	tcase_add_test(tc, invalid_change_writes_nothing);
	tcase_add_test(tc, conflict_reports_other_author);
	tcase_add_test(tc, concurrent_changes_conflict);
	tcase_add_test(tc, lost_response_is_detected);
	tcase_add_test(tc, lost_request_is_repeated);
	tcase_add_test(tc, withdrawn_author_is_rejected);
	tcase_add_test(tc, store_unavailable);
	tcase_add_test(tc, poll_follows_store);
	tcase_add_test(tc, rows_for_peers);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
