/* Cold endpoints. Guards against VMs that together exceed the rate that a cold endpoint bears, also
 * when they have just started, are cut off, or disagree on which VMs there are, and against
 * endpoints that get no requests at all. */
#include <check.h>
#include <stdio.h>

#include "cold.h"

enum { VMS_MAX = 410, SECONDS = 10, STEPS_PER_SECOND = 100 };

/* Greatest number of requests in any second when VMs with ranks 0 to vms - 1 send as often as they
 * may, from the first moment on. */
static int most_in_a_second(double rate, int vms)
{
	tlb_time next[VMS_MAX] = {0};
	int sent[SECONDS * STEPS_PER_SECOND] = {0};
	tlb_time now;
	int most = 0;
	int sum = 0;
	int step;
	int vm;

	for (step = 0; step < SECONDS * STEPS_PER_SECOND; step++) {
		now = step * (TLB_SECOND / STEPS_PER_SECOND);
		for (vm = 0; vm < vms; vm++) {
			struct tlb_cold_share s = tlb_cold_share(rate, vms, vm);

			if (!s.sends || now < next[vm])
				continue;
			next[vm] = now + s.interval;
			sent[step]++;
		}
		sum += sent[step];
		if (step >= STEPS_PER_SECOND)
			sum -= sent[step - STEPS_PER_SECOND];
		if (sum > most)
			most = sum;
	}
	return most;
}

/* The bound that operators state is 1.5 times the rate and 5 more. */
START_TEST(test_rate_holds)
{
	static const double rates[] = {0.5, 1, 3, 28, 200};
	static const int fleets[] = {1, 8, 76, 295, 410};
	int r;
	int f;

	for (r = 0; r < 5; r++)
		for (f = 0; f < 5; f++) {
			int most = most_in_a_second(rates[r], fleets[f]);

			/* Two groups of VMs that don't know of each other. */
			ck_assert_msg(2 * most <= 1.5 * rates[r] + 5, "rate %g, %d VMs: %d",
				      rates[r], fleets[f], most);
			ck_assert_int_ge(most, 1);
		}
}
END_TEST

/* A small fleet uses as much of the rate as a large one. */
START_TEST(test_rate_is_used_by_any_fleet)
{
	ck_assert_int_ge(most_in_a_second(28, 2), 7);
	ck_assert_int_ge(most_in_a_second(28, 76), 7);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("cold");
	TCase *t = tcase_create("cold");
	SRunner *r;
	int failed;

	tcase_add_test(t, test_rate_holds);
	tcase_add_test(t, test_rate_is_used_by_any_fleet);
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? 1 : 0;
}
