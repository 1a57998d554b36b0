/*
 * The configuration controller and operators' changes against a table service inside the test,
 * which can lose answers, refuse, and be changed by others.
 */
#include <apr_general.h>
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "change.h"
#include "listener.h"

/* A table service that keeps its rows in a JSON object: key -> {"version","value"}. */
static struct {
	json_t *rows;
	bool down;	   /* answers 503 */
	int lose_answers;  /* so many writes take effect but are answered too late */
	int lose_requests; /* so many writes are neither run nor answered in time */
	int writes;
	struct tlb_exchange *held;
} service;

static struct tlb_loop loop;
static struct tlb_listener front;
static struct tlb_http http;
static struct tlb_store store;
static struct tlb_counters counters;
static struct tlb_config config;
static struct tlb_changes changes;
static int tables;

static void answer(struct tlb_exchange *x, int status, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);

	json_decref(body);
	tlb_exchange_reply(x, status, "application/json", text, strlen(text));
}

static json_t *row_json(const char *key)
{
	json_t *row = json_object_get(service.rows, key);

	return json_pack("{s:s, s:O, s:O}", "key", key, "version", json_object_get(row, "version"),
			 "value", json_object_get(row, "value"));
}

static int64_t version_of(const char *key)
{
	return json_integer_value(json_object_get(json_object_get(service.rows, key), "version"));
}

static void put_row(const char *key, json_t *value)
{
	if (json_is_null(value)) {
		json_object_del(service.rows, key);
		json_decref(value);
		return;
	}
	json_object_set_new(service.rows, key,
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

static void forget_held(void *arg)
{
	service.held = NULL;
}

/* Leaves the request without an answer until the asker gives up. */
static void hold(struct tlb_exchange *x)
{
	service.held = x;
	x->on_disconnect = forget_held;
}

static void on_txn(struct tlb_exchange *x)
{
	json_t *txn;
	bool ok;

	service.writes++;
	if (service.lose_requests > 0) {
		service.lose_requests--;
		hold(x);
		return;
	}
	txn = json_loadb(x->body.data, x->body.len, 0, NULL);
	ok = run_txn(txn);
	json_decref(txn);
	if (service.lose_answers > 0) {
		service.lose_answers--;
		hold(x);
		return;
	}
	answer(x, ok ? 200 : 409, json_pack("{s:b}", "ok", ok));
}

static void on_rows(struct tlb_exchange *x)
{
	json_t *rows = json_array();
	const char *key;
	json_t *row;

	json_object_foreach (service.rows, key, row) {
		json_array_append_new(rows, row_json(key));
	}
	answer(x, 200, json_pack("{s:o}", "rows", rows));
}

static void on_request(void *arg, struct tlb_exchange *x)
{
	if (service.down)
		answer(x, 503, json_object());
	else if (strcmp(x->path, "/txn") == 0)
		on_txn(x);
	else if (strcmp(x->path, "/rows") == 0)
		on_rows(x);
	else if (json_object_get(service.rows, TLB_CONFIG_HEAD))
		answer(x, 200, row_json(TLB_CONFIG_HEAD));
	else
		answer(x, 404, json_object());
}

static void count_table(void *arg)
{
	tables++;
}

static void set_up(void)
{
	struct tlb_listener_limits limits = {1 << 20, 16, 10000, TLB_LISTENER_IDLE_MS};
	char url[80];

	memset(&service, 0, sizeof(service));
	memset(&counters, 0, sizeof(counters));
	tables = 0;
	service.rows = json_object();
	ck_assert_int_eq(tlb_loop_init(&loop), APR_SUCCESS);
	ck_assert_int_eq(tlb_listener_init(&front, &loop, "127.0.0.1:0", "t", &limits, on_request,
					   NULL, NULL),
			 TLB_OK);
	ck_assert_int_eq(tlb_http_init(&http, &loop), 0);
	snprintf(url, sizeof(url), "http://%s", front.addr);
	tlb_store_init(&store, &http, url);
	tlb_config_init(&config, &loop, &store, &counters, count_table, NULL);
	tlb_changes_init(&changes, &config);
}

static void tear_down(void)
{
	tlb_changes_finish(&changes);
	tlb_config_finish(&config);
	tlb_http_finish(&http);
	tlb_listener_finish(&front);
	tlb_loop_finish(&loop);
	json_decref(service.rows);
}

/* Runs the loop until *flag is at least n, for at most 20 s. */
static void run_until(const int *flag, int n)
{
	tlb_time end = tlb_clock_now() + 20 * TLB_SECOND;

	while (*flag < n && tlb_clock_now() < end)
		tlb_loop_once(&loop, end);
	ck_assert_int_ge(*flag, n);
}

/* What became of a change. */
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
	const char *author = json_string_value(json_object_get(r->winner, "author"));

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
static const char faulty[] = "[{\"key\":\"config/account/a1\",\"value\":{\"weight\":0}},"
			     "{\"key\":\"config/key/k1\",\"value\":null},"
			     "{\"key\":\"config/shoe/s1\",\"value\":{}}]";

/* Another daemon's change. */
static void foreign_change(int64_t version)
{
	put_row(TLB_CONFIG_HEAD, json_pack("{s:I, s:s, s:s, s:s}", "version", (json_int_t)version,
					   "author", "bob", "change_id", "bobs", "summary", "his"));
	put_row("config/account/b1",
		json_pack("{s:i, s:i, s:i}", "weight", 1, "rate", 5, "burst", 50));
}

START_TEST(change_is_written)
{
	struct outcome o = make_change("c1", 0, account_a1);

	ck_assert_int_eq(o.code, TLB_OK);
	ck_assert_int_eq(o.version, 1);
	ck_assert_int_eq(tlb_config_version(&config), 1);
	ck_assert_ptr_nonnull(tlb_table_account(config.table, "a1"));
	ck_assert_ptr_nonnull(json_object_get(service.rows, "config/account/a1"));
	o = make_change("c2", 1, removed_a1);
	ck_assert_int_eq(o.version, 2);
	ck_assert_ptr_null(json_object_get(service.rows, "config/account/a1"));
	ck_assert_int_eq(tables, 2);
}
END_TEST

/* Guards against a change that is written in part, or that is told one fault at a time. */
START_TEST(faulty_change_writes_nothing)
{
	struct outcome o = make_change("c1", 0, faulty);

	ck_assert_int_eq(o.code, TLB_BAD_REQUEST);
	ck_assert_uint_eq(o.faults, 5);
	ck_assert_int_eq(service.writes, 0);
	ck_assert_int_eq(tables, 0);
}
END_TEST

/* Guards against a change that overwrites one that its author has not seen. */
START_TEST(conflict_names_winner)
{
	struct outcome o;

	foreign_change(1);
	o = make_change("c1", 0, account_a1);
	ck_assert_int_eq(o.code, TLB_CONFLICT);
	ck_assert_int_eq(o.outcome, TLB_OUTCOME_NOT_RUN);
	ck_assert_str_eq(o.winner, "bob");
	/* On the winner's version the change passes, although it was not loaded before. */
	o = make_change("c1", 1, account_a1);
	ck_assert_int_eq(o.code, TLB_OK);
	ck_assert_int_eq(o.version, 2);
	ck_assert_ptr_nonnull(tlb_table_account(config.table, "b1"));
}
END_TEST

/* Guards against two changes of one daemon that are based on the same version. */
START_TEST(concurrent_changes)
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

/* Guards against a write whose answer is lost being told as failed, or being done twice. */
START_TEST(lost_answer_is_recognised)
{
	struct outcome o;

	service.lose_answers = 1;
	o = make_change("c1", 0, account_a1);
	ck_assert_int_eq(o.code, TLB_OK);
	ck_assert_int_eq(o.version, 1);
	ck_assert_int_eq(service.writes, 1);
	/* An operator who repeats it later gets the same version, although others followed. */
	ck_assert_int_eq(make_change("c2", 1, account_a2).version, 2);
	o = make_change("c1", 0, account_a1);
	ck_assert_int_eq(o.code, TLB_OK);
	ck_assert_int_eq(o.version, 1);
	ck_assert_int_eq(service.writes, 2);
}
END_TEST

/* Guards against a lost request being told as a success. */
START_TEST(lost_request_is_repeated)
{
	struct outcome o;

	service.lose_requests = 1;
	o = make_change("c1", 0, account_a1);
	ck_assert_int_eq(o.code, TLB_OK);
	ck_assert_int_eq(service.writes, 2);
	ck_assert_int_eq(version_of("config/account/a1"), 1);
}
END_TEST

/* Guards against a change by an operator whose withdrawal this daemon has not loaded yet. */
START_TEST(withdrawn_author)
{
	static const char hash[] =
		"abababababababababababababababababababababababababababababababab";
	struct outcome o;

	foreign_change(1);
	put_row("config/operator/bob", json_pack("{s:s, s:s}", "hash", hash, "state", "granted"));
	o = make_change("c1", 1, account_a1);
	ck_assert_int_eq(o.code, TLB_INVALID_KEY);
	ck_assert_int_eq(service.writes, 0);
}
END_TEST

START_TEST(store_down)
{
	struct outcome o;

	service.down = true;
	o = make_change("c1", 0, account_a1);
	ck_assert_int_eq(o.code, TLB_STORE_UNAVAILABLE);
	ck_assert_int_eq(o.outcome, TLB_OUTCOME_NOT_RUN);
	ck_assert_int_eq(tables, 0);
}
END_TEST

/* Guards against a daemon that misses a change, or that goes back to an older version. */
START_TEST(poll_follows_store)
{
	foreign_change(3);
	tlb_config_start(&config);
	run_until(&tables, 1);
	ck_assert_int_eq(tlb_config_version(&config), 3);
	foreign_change(4);
	run_until(&tables, 2);
	ck_assert_int_eq(tlb_config_version(&config), 4);
	foreign_change(2);
	put_row("config/account/b2", json_pack("{s:i}", "weight", 1));
	tlb_config_refresh(&config);
	tlb_loop_once(&loop, tlb_clock_now() + TLB_SECOND);
	while (tlb_http_active(&config.load_op.call))
		tlb_loop_once(&loop, tlb_clock_now() + TLB_SECOND);
	ck_assert_int_eq(tlb_config_version(&config), 4);
	ck_assert_int_eq(tables, 2);
}
END_TEST

/* Guards against peers' rows that are applied on another version than they lead from. */
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
	ck_assert_ptr_nonnull(tlb_table_account(peer.table, "a2"));
	ck_assert_ptr_null(tlb_table_account(peer.table, "a1"));
	json_decref(rows);
	make_change("c4", 3, account_a1);
	rows = tlb_config_rows_since(&config, 3, &base);
	ck_assert_uint_eq(json_array_size(rows), 1);
	ck_assert_int_eq(tlb_config_apply_rows(&peer, 4, base, rows, NULL), TLB_OK);
	ck_assert_ptr_nonnull(tlb_table_account(peer.table, "a1"));
	ck_assert_int_eq(tlb_config_apply_rows(&peer, 2, 0, rows, NULL), TLB_OK);
	ck_assert_int_eq(peer.table->version, 4);
	json_decref(rows);
	rows = json_loads(faulty, 0, NULL);
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
	tcase_add_test(tc, faulty_change_writes_nothing);
	tcase_add_test(tc, conflict_names_winner);
	tcase_add_test(tc, concurrent_changes);
	tcase_add_test(tc, lost_answer_is_recognised);
	tcase_add_test(tc, lost_request_is_repeated);
	tcase_add_test(tc, withdrawn_author);
	tcase_add_test(tc, store_down);
	tcase_add_test(tc, poll_follows_store);
	tcase_add_test(tc, rows_for_peers);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
