/* Guards the fencing numbers of orders, by which an engine refuses orders of a former owner and
 * older orders of the same owner, and the desired state: an endpoint for which the table names no
 * model or several gets no order. */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "order.h"

static struct tlb_table table;

static void add_row(enum tlb_row_kind kind, const char *id, const char *text)
{
	json_t *value = json_loads(text, 0, NULL);
	struct tlb_error err;

	ck_assert_int_eq(tlb_table_add(&table, kind, id, value, &err), TLB_OK);
	json_decref(value);
}

static void setup(void)
{
	tlb_table_init(&table);
	add_row(TLB_ROW_MODEL, "m1", "{\"version\":\"7\",\"pool\":\"main\",\"adapter\":\"a1\"}");
	add_row(TLB_ROW_MODEL, "m2", "{\"version\":\"1\",\"pool\":\"two\"}");
	add_row(TLB_ROW_MODEL, "m3", "{\"version\":\"1\",\"pool\":\"two\"}");
	add_row(TLB_ROW_MODEL, "m4", "{\"version\":\"1\",\"pool\":\"plain\"}");
}

static void teardown(void)
{
	tlb_table_finish(&table);
}

START_TEST(test_fencing_number_orders_by_epoch_first)
{
	ck_assert_int_gt(tlb_order_fencing_number(5, 1), tlb_order_fencing_number(4, 1000));
	ck_assert_int_gt(tlb_order_fencing_number(4, 2), tlb_order_fencing_number(4, 1));
	/* A version that exceeds its bits must not change the epoch. */
	ck_assert_int_gt(tlb_order_fencing_number(5, 1),
			 tlb_order_fencing_number(4, (int64_t)1 << (TLB_ORDER_CONFIG_BITS + 1)));
}
END_TEST

static const struct {
	const char *pool;
	enum tlb_role role;
	enum tlb_endpoint_state state;
	enum tlb_order_need verdict;
	const char *adapter;
} verdict_cases[] = {
	{"main", TLB_ROLE_DECODE, TLB_ENDPOINT_ACTIVE, TLB_ORDER_NEEDED, "a1"},
	{"main", TLB_ROLE_PREFILL, TLB_ENDPOINT_JOINING, TLB_ORDER_NEEDED, "a1"},
	{"plain", TLB_ROLE_DECODE, TLB_ENDPOINT_ACTIVE, TLB_ORDER_NEEDED, ""},
	{"main", TLB_ROLE_DECODE, TLB_ENDPOINT_LEAVING, TLB_ORDER_LEAVING, ""},
	{"main", TLB_ROLE_SERVICE, TLB_ENDPOINT_ACTIVE, TLB_ORDER_NOT_ENGINE, ""},
	{"two", TLB_ROLE_DECODE, TLB_ENDPOINT_ACTIVE, TLB_ORDER_AMBIGUOUS, ""},
	{"other", TLB_ROLE_DECODE, TLB_ENDPOINT_ACTIVE, TLB_ORDER_NO_MODEL, ""},
};

START_TEST(test_desired_state)
{
	struct tlb_endpoint e = {.role = verdict_cases[_i].role, .state = verdict_cases[_i].state};
	struct tlb_desired_state desired;

	strcpy(e.pool, verdict_cases[_i].pool);
	ck_assert_int_eq(tlb_order_desired_state(&table, &e, &desired), verdict_cases[_i].verdict);
	if (verdict_cases[_i].verdict != TLB_ORDER_NEEDED)
		return;
	ck_assert_str_eq(desired.adapter, verdict_cases[_i].adapter);
	ck_assert_int_eq(desired.role, verdict_cases[_i].role);
	ck_assert_str_eq(desired.version, strcmp(desired.model, "m1") == 0 ? "7" : "1");
}
END_TEST

/* Daemons exchange the table as JSON: a row with an empty adapter must be read back. */
START_TEST(test_adapter_round_trip)
{
	json_t *row = tlb_table_row(&table, TLB_ROW_MODEL, "m4");
	struct tlb_faults f;

	tlb_faults_init(&f);
	ck_assert_str_eq(json_string_value(json_object_get(row, "adapter")), "");
	ck_assert(tlb_table_put(&table, TLB_ROW_MODEL, "m4", row, true, &f));
	tlb_faults_finish(&f);
	json_decref(row);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("order");
	TCase *tc = tcase_create("order");
	SRunner *r;
	int failed;

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, test_fencing_number_orders_by_epoch_first);
	tcase_add_loop_test(tc, test_desired_state, 0,
			    (int)(sizeof(verdict_cases) / sizeof(verdict_cases[0])));
	tcase_add_test(tc, test_adapter_round_trip);
	suite_add_tcase(s, tc);
	r = srunner_create(s);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
