/* Guards orders: an engine that checks fencing numbers refuses a former owner and an overtaken
 * order of the same owner, and no endpoint is ordered to load what the table leaves open. */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "order.h"

static struct tlb_table table;

static void put(enum tlb_row_kind kind, const char *id, const char *text)
{
	json_t *value = json_loads(text, 0, NULL);
	struct tlb_error err;

	ck_assert_int_eq(tlb_table_add(&table, kind, id, value, &err), TLB_OK);
	json_decref(value);
}

static void setup(void)
{
	tlb_table_init(&table);
	put(TLB_ROW_MODEL, "m1", "{\"version\":\"7\",\"pool\":\"main\",\"adapter\":\"a1\"}");
	put(TLB_ROW_MODEL, "m2", "{\"version\":\"1\",\"pool\":\"two\"}");
	put(TLB_ROW_MODEL, "m3", "{\"version\":\"1\",\"pool\":\"two\"}");
	put(TLB_ROW_MODEL, "m4", "{\"version\":\"1\",\"pool\":\"plain\"}");
}

static void teardown(void)
{
	tlb_table_finish(&table);
}

START_TEST(test_number_grows_with_owner_first)
{
	ck_assert_int_gt(tlb_order_number(5, 1), tlb_order_number(4, 1000));
	ck_assert_int_gt(tlb_order_number(4, 2), tlb_order_number(4, 1));
	/* A version beyond its field must not reach into the epoch. */
	ck_assert_int_gt(tlb_order_number(5, 1),
			 tlb_order_number(4, (int64_t)1 << (TLB_ORDER_CONFIG_BITS + 1)));
}
END_TEST

static const struct {
	const char *pool;
	enum tlb_role role;
	enum tlb_endpoint_state state;
	enum tlb_order_wish wish;
	const char *adapter;
} wishes[] = {
	{"main", TLB_ROLE_DECODE, TLB_ENDPOINT_ACTIVE, TLB_ORDER_WANTED, "a1"},
	{"main", TLB_ROLE_PREFILL, TLB_ENDPOINT_JOINING, TLB_ORDER_WANTED, "a1"},
	{"plain", TLB_ROLE_DECODE, TLB_ENDPOINT_ACTIVE, TLB_ORDER_WANTED, ""},
	{"main", TLB_ROLE_DECODE, TLB_ENDPOINT_LEAVING, TLB_ORDER_LEAVING, ""},
	{"main", TLB_ROLE_SERVICE, TLB_ENDPOINT_ACTIVE, TLB_ORDER_NOT_ENGINE, ""},
	{"two", TLB_ROLE_DECODE, TLB_ENDPOINT_ACTIVE, TLB_ORDER_AMBIGUOUS, ""},
	{"other", TLB_ROLE_DECODE, TLB_ENDPOINT_ACTIVE, TLB_ORDER_NO_MODEL, ""},
};

START_TEST(test_wanted)
{
	struct tlb_endpoint e = {.role = wishes[_i].role, .state = wishes[_i].state};
	struct tlb_order_state wanted;

	strcpy(e.pool, wishes[_i].pool);
	ck_assert_int_eq(tlb_order_wanted(&table, &e, &wanted), wishes[_i].wish);
	if (wishes[_i].wish != TLB_ORDER_WANTED)
		return;
	ck_assert_str_eq(wanted.adapter, wishes[_i].adapter);
	ck_assert_int_eq(wanted.role, wishes[_i].role);
	ck_assert_str_eq(wanted.version, strcmp(wanted.model, "m1") == 0 ? "7" : "1");
}
END_TEST

/* A table travels between daemons as JSON: the empty adapter must read back. */
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
	tcase_add_test(tc, test_number_grows_with_owner_first);
	tcase_add_loop_test(tc, test_wanted, 0, (int)(sizeof(wishes) / sizeof(wishes[0])));
	tcase_add_test(tc, test_adapter_round_trip);
	suite_add_tcase(s, tc);
	r = srunner_create(s);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
