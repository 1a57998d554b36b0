/* Guards the account limit that all VMs keep without a central owner. Concurrent grants, a network
 * partition, late reports and returned grants must not let an account exceed rate and burst by more
 * than the stated bound; other VMs must not cause a refusal of a request within the limit. */
#include <check.h>
#include <sodium.h>
#include <string.h>
#include <time.h>

#include "quota.h"

enum { VMS = 8, RATE = 20000, BURST = 20000, COST = 1000 };

/* Simulated VMs that report the cost they granted to each other. */
struct fleet {
	struct tlb_quotas vm[VMS];
	int64_t reported[VMS]; /* cost that each VM has reported to the others */
};

static struct tlb_routing *routing_with(int64_t rate, int64_t burst)
{
	struct tlb_routing *r = tlb_routing_new();
	struct tlb_client_account *a = tlb_client_account_new("a", 0);

	a->rate = rate;
	a->burst = burst;
	a->counts_tokens = true;
	tlb_routing_add_account(r, a);
	return r;
}

static void fleet_init(struct fleet *f, tlb_time now)
{
	struct tlb_routing *r = routing_with(RATE, BURST);
	int i;

	memset(f, 0, sizeof(*f));
	for (i = 0; i < VMS; i++) {
		tlb_quotas_init(&f->vm[i]);
		tlb_quotas_configure(&f->vm[i], r, now);
	}
	tlb_routing_release(r);
}

static void fleet_finish(struct fleet *f)
{
	int i;

	for (i = 0; i < VMS; i++)
		tlb_quotas_finish(&f->vm[i]);
}

static struct tlb_quota *quota(struct fleet *f, int i)
{
	return tlb_quotas_find(&f->vm[i], "a");
}

/* VMs from to to - 1 report their new grants to each other. */
static void exchange_reports(struct fleet *f, int from, int to, tlb_time now)
{
	int i;
	int k;

	for (i = from; i < to; i++) {
		int64_t increase = quota(f, i)->granted - f->reported[i];

		f->reported[i] += increase;
		for (k = from; k < to; k++) {
			if (k != i)
				tlb_quota_add_remote(&f->vm[k], quota(f, k), increase, now);
		}
	}
}

static int64_t all_granted(struct fleet *f)
{
	int64_t sum = 0;
	int i;

	for (i = 0; i < VMS; i++)
		sum += quota(f, i)->granted;
	return sum;
}

/* Fails if VMs that all grant as much as they can, and report every 250 ms, exceed the limit. */
START_TEST(test_concurrent_grants_stay_within_limit)
{
	static struct fleet f;
	tlb_time now = 100 * TLB_SECOND;
	tlb_time end = now + 8 * TLB_SECOND;
	tlb_time ready;
	int i;

	fleet_init(&f, now);
	for (; now < end; now += 10 * TLB_MS) {
		for (i = 0; i < VMS; i++)
			tlb_quota_grant(&f.vm[i], quota(&f, i), COST, now, &ready);
		if (now % (250 * TLB_MS) == 0)
			exchange_reports(&f, 0, VMS, now);
	}
	/* The excess is granted between two reports and only once: later it is a negative level. */
	ck_assert_int_le(all_granted(&f), 9 * RATE + VMS * (BURST / 4 + RATE / 4 + COST));
	ck_assert_int_ge(all_granted(&f), 7 * RATE);
	fleet_finish(&f);
}
END_TEST

/* Fails if the two sides of a network partition together exceed the limit. */
START_TEST(test_partition_stays_within_limit)
{
	static struct fleet f;
	tlb_time now = 100 * TLB_SECOND;
	tlb_time end = now + 8 * TLB_SECOND;
	tlb_time ready;
	int i;

	fleet_init(&f, now);
	for (i = 0; i < VMS; i++)
		tlb_quotas_set_share(&f.vm[i], 0.5, now);
	for (; now < end; now += 10 * TLB_MS) {
		for (i = 0; i < VMS; i++)
			tlb_quota_grant(&f.vm[i], quota(&f, i), COST, now, &ready);
		if (now % (50 * TLB_MS) == 0) {
			exchange_reports(&f, 0, VMS / 2, now);
			exchange_reports(&f, VMS / 2, VMS, now);
		}
	}
	ck_assert_int_le(all_granted(&f), 9 * RATE + VMS * (BURST / 4 + RATE / 20 + COST));
	fleet_finish(&f);
}
END_TEST

/* Fails if an account whose requests all arrive at one VM does not get its full rate there. */
START_TEST(test_uneven_traffic_gets_full_rate)
{
	static struct fleet f;
	tlb_time now = 100 * TLB_SECOND;
	tlb_time end = now + 8 * TLB_SECOND;
	tlb_time ready;
	int refused = 0;

	fleet_init(&f, now);
	for (; now < end; now += 52 * TLB_MS)
		refused += !tlb_quota_grant(&f.vm[0], quota(&f, 0), COST, now, &ready);
	ck_assert_int_eq(refused, 0);
	fleet_finish(&f);
}
END_TEST

/* Fails if a request is refused at the time that was reported to its caller, or granted earlier. */
START_TEST(test_grant_at_ready_time)
{
	static struct fleet f;
	tlb_time now = 100 * TLB_SECOND;
	tlb_time ready = 0;

	fleet_init(&f, now);
	while (tlb_quota_grant(&f.vm[0], quota(&f, 0), COST, now, &ready))
		;
	ck_assert_int_gt(ready, now);
	ck_assert(!tlb_quota_grant(&f.vm[0], quota(&f, 0), COST, ready - TLB_MS, &ready));
	ck_assert(tlb_quota_grant(&f.vm[0], quota(&f, 0), COST, ready + TLB_MS, &ready));
	fleet_finish(&f);
}
END_TEST

/* Fails if the cost of a request that did not run stays subtracted. */
START_TEST(test_return_restores_level)
{
	static struct fleet f;
	tlb_time now = 100 * TLB_SECOND;
	tlb_time ready;
	struct tlb_quota *q;

	fleet_init(&f, now);
	q = quota(&f, 0);
	ck_assert(tlb_quota_grant(&f.vm[0], q, BURST / 4, now, &ready));
	ck_assert(!tlb_quota_grant(&f.vm[0], q, COST, now, &ready));
	tlb_quota_refund(&f.vm[0], q, BURST / 4, now);
	ck_assert_int_eq(q->granted, 0);
	ck_assert(tlb_quota_grant(&f.vm[0], q, COST, now, &ready));
	fleet_finish(&f);
}
END_TEST

/* Fails if a request larger than the burst is never granted, or if its excess is not subtracted. */
START_TEST(test_large_request_is_granted_from_full_bucket)
{
	static struct fleet f;
	tlb_time now = 100 * TLB_SECOND;
	tlb_time ready;

	fleet_init(&f, now);
	ck_assert(!tlb_quota_grant(&f.vm[0], quota(&f, 0), 3 * BURST, now, &ready));
	now += 2 * TLB_SECOND;
	ck_assert(tlb_quota_grant(&f.vm[0], quota(&f, 0), 3 * BURST, now, &ready));
	ck_assert(!tlb_quota_grant(&f.vm[0], quota(&f, 0), COST, now + TLB_SECOND, &ready));
	fleet_finish(&f);
}
END_TEST

/* Fails if level accumulated under a higher limit can be used after the limit was lowered. */
START_TEST(test_lower_limit_applies_at_once)
{
	static struct fleet f;
	struct tlb_routing *lower = routing_with(RATE / 10, BURST / 10);
	tlb_time now = 100 * TLB_SECOND;
	tlb_time ready;
	int64_t sum = 0;

	fleet_init(&f, now);
	now += 5 * TLB_SECOND;
	tlb_quotas_configure(&f.vm[0], lower, now);
	while (tlb_quota_grant(&f.vm[0], quota(&f, 0), COST, now, &ready))
		sum += COST;
	ck_assert_int_le(sum, BURST / 10);
	tlb_routing_release(lower);
	fleet_finish(&f);
}
END_TEST

static double time_to_configure(int accounts)
{
	struct tlb_routing *r = tlb_routing_new();
	char name[40];
	struct tlb_quotas q;
	struct timespec begin;
	struct timespec end;
	int i;

	for (i = 0; i < accounts; i++) {
		struct tlb_client_account *a;

		snprintf(name, sizeof(name), "account-of-a-client-%d", i);
		a = tlb_client_account_new(name, 0);
		a->rate = RATE;
		tlb_routing_add_account(r, a);
	}
	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &begin);
	tlb_quotas_init(&q);
	tlb_quotas_configure(&q, r, TLB_SECOND);
	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &end);
	tlb_quotas_finish(&q);
	tlb_routing_release(r);
	return (double)(end.tv_sec - begin.tv_sec) * 1e3 +
	       (double)(end.tv_nsec - begin.tv_nsec) / 1e6;
}

/* Fails if a configuration takes time in proportion to the square of the accounts. */
START_TEST(test_configuring_takes_time_in_proportion_to_the_accounts)
{
	double few = time_to_configure(1100);
	double many = time_to_configure(11000);

	ck_assert_msg(many < 40 * few, "%.2f ms and %.2f ms", few, many);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("quota");
	TCase *t = tcase_create("quota");
	SRunner *r;
	int failed;

	if (sodium_init() < 0 || apr_initialize() != APR_SUCCESS)
		return 1;
	tcase_add_test(t, test_concurrent_grants_stay_within_limit);
	tcase_add_test(t, test_partition_stays_within_limit);
	tcase_add_test(t, test_uneven_traffic_gets_full_rate);
	tcase_add_test(t, test_grant_at_ready_time);
	tcase_add_test(t, test_return_restores_level);
	tcase_add_test(t, test_large_request_is_granted_from_full_bucket);
	tcase_add_test(t, test_lower_limit_applies_at_once);
	tcase_add_test(t, test_configuring_takes_time_in_proportion_to_the_accounts);
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? 1 : 0;
}
