/* The limit on concurrent prefills of one VM. Guards against a limit that does not rise to what the
 * endpoints handle within the target time, that does not fall when they are overloaded, or that
 * falls so low that no prefill can start. */
#include <check.h>

#include "window.h"

enum { TARGET_MS = 450, MAX_LIMIT = 64 };

static struct tlb_window window_with_limit(double limit)
{
	struct tlb_window w;

	tlb_window_init(&w, limit, MAX_LIMIT, TARGET_MS * TLB_MS);
	return w;
}

START_TEST(test_limit_rises_while_prefills_meet_target)
{
	struct tlb_window w = window_with_limit(4);
	tlb_time now = TLB_SECOND;
	int i;

	for (i = 0; i < 10000; i++) {
		tlb_window_acquire(&w);
		tlb_window_release(&w, 100 * TLB_MS, now += TLB_MS);
	}
	ck_assert(w.limit <= MAX_LIMIT);
	ck_assert(w.limit > MAX_LIMIT - 1);
	ck_assert_int_eq(w.in_use, 0);
}
END_TEST

/* A group of late prefills lowers the limit once, not once per prefill. */
START_TEST(test_late_group_lowers_limit_once)
{
	struct tlb_window w = window_with_limit(10);
	tlb_time now = TLB_SECOND;
	int i;

	for (i = 0; i < 8; i++)
		tlb_window_acquire(&w);
	for (i = 0; i < 8; i++)
		tlb_window_release(&w, 2 * TARGET_MS * TLB_MS, now);
	ck_assert(w.limit > 7.9 && w.limit < 8.1);
}
END_TEST

START_TEST(test_limit_never_falls_below_one)
{
	struct tlb_window w = window_with_limit(4);
	tlb_time now = TLB_SECOND;
	int i;

	for (i = 0; i < 100; i++) {
		tlb_window_acquire(&w);
		tlb_window_release(&w, 2 * TARGET_MS * TLB_MS, now += TLB_SECOND);
	}
	ck_assert(tlb_window_has_capacity(&w));
	tlb_window_acquire(&w);
	ck_assert(!tlb_window_has_capacity(&w));
}
END_TEST

/* A prefill that failed immediately must not count as a fast one. */
START_TEST(test_failures_leave_limit_unchanged)
{
	struct tlb_window w = window_with_limit(4);
	int i;

	for (i = 0; i < 100; i++) {
		tlb_window_acquire(&w);
		tlb_window_release(&w, 0, TLB_SECOND);
	}
	ck_assert(w.limit > 3.9 && w.limit < 4.1);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("window");
	TCase *t = tcase_create("window");
	SRunner *r;
	int failed;

	tcase_add_test(t, test_limit_rises_while_prefills_meet_target);
	tcase_add_test(t, test_late_group_lowers_limit_once);
	tcase_add_test(t, test_limit_never_falls_below_one);
	tcase_add_test(t, test_failures_leave_limit_unchanged);
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? 1 : 0;
}
