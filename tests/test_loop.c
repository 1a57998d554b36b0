/* Timers must fire in the order of their deadlines, and a cleared timer must not fire. */
#include <apr_general.h>
#include <check.h>
#include <stdlib.h>

#include "loop.h"

static int order[4];
static int fired;

static void record_fired(void *arg)
{
	order[fired++] = *(int *)arg;
}

START_TEST(timers_fire_in_order)
{
	struct tlb_loop l;
	struct tlb_timer t[3];
	int ids[3] = {0, 1, 2};
	tlb_time now = tlb_clock_now();
	int i;

	ck_assert_int_eq(tlb_loop_init(&l), APR_SUCCESS);
	for (i = 0; i < 3; i++)
		tlb_timer_init(&t[i], record_fired, &ids[i]);
	tlb_timer_set(&l, &t[0], now + 3 * TLB_MS);
	tlb_timer_set(&l, &t[1], now + 2 * TLB_MS);
	tlb_timer_set(&l, &t[2], now + TLB_MS);
	tlb_timer_clear(&l, &t[1]);
	while (fired < 2)
		tlb_loop_once(&l, TLB_NEVER);
	ck_assert_int_eq(order[0], 2);
	ck_assert_int_eq(order[1], 0);
	tlb_loop_finish(&l);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("loop");
	TCase *tc = tcase_create("timers");
	SRunner *sr = srunner_create(s);
	int failed;

	apr_initialize();
	tcase_add_test(tc, timers_fire_in_order);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
