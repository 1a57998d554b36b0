/* Overload control of plain services. Guards against a service that serves a fraction of its
 * capacity in time because all that arrives is sent to its endpoints, against requests refused in
 * calm, and against shares that do not recover. The load is replayed from tests/overload/. */
#include <check.h>
#include <stdio.h>

#include "overload.h"

enum { ENDPOINTS = 3, QUEUE_MAX = 24 };
#define INTERVAL (300 * TLB_MS)
#define SERVICE_TIME (35 * TLB_MS)
#define TARGET (150 * TLB_MS)

/* One endpoint of the replay: a queue that is served in order. */
struct endpoint {
	double queue;
	struct tlb_overload_endpoint state;
};

/* Sums over a replay. */
struct totals {
	double in_time;
	double refused_by_endpoints;
	double refused_in_calm;
	double last_share;
};

/* Runs an interval at an endpoint; returns the calls that were answered within the target. */
static double run_endpoint(struct endpoint *e, double sent, double capacity,
			   struct tlb_overload_sample *s)
{
	double before = e->queue;
	double offered = before + sent;
	double answered = offered < capacity ? offered : capacity;
	double latency;

	e->queue = offered - answered;
	s->refused = e->queue > QUEUE_MAX ? (int)(e->queue - QUEUE_MAX) : 0;
	if (e->queue > QUEUE_MAX)
		e->queue = QUEUE_MAX;
	latency = (double)SERVICE_TIME + (before + e->queue) / 2 / capacity * (double)INTERVAL;
	s->answered = (int)answered;
	s->latency = (tlb_time)(latency * s->answered);
	s->target = TARGET;
	return latency <= (double)TARGET ? answered : 0;
}

static double weight_sum(const struct endpoint *e)
{
	double sum = 0;
	int i;

	for (i = 0; i < ENDPOINTS; i++)
		sum += tlb_overload_endpoint_rate(&e[i].state);
	return sum;
}

/* Replays the load. The shares and weights of an interval are those computed after the one before
 * it. */
static struct totals replay(bool controlled)
{
	struct tlb_overload_shares shares = TLB_OVERLOAD_ALL;
	struct tlb_overload_demand demand = {0};
	struct tlb_overload_demand arrived;
	struct tlb_overload_sample sample;
	struct endpoint e[ENDPOINTS] = {0};
	struct totals t = {0};
	double capacity[ENDPOINTS];
	double seconds = (double)INTERVAL / TLB_SECOND;
	double on_time;
	double late;
	double sent;
	double share;
	double sum;
	char line[256];
	tlb_time now = TLB_SECOND;
	FILE *f = fopen("tests/overload/burst.txt", "r");
	int i;

	ck_assert_ptr_nonnull(f);
	for (i = 0; i < ENDPOINTS; i++)
		tlb_overload_endpoint_init(&e[i].state);
	while (fgets(line, sizeof(line), f)) {
		if (sscanf(line, "%lf %lf %lf %lf %lf", &on_time, &late, &capacity[0], &capacity[1],
			   &capacity[2]) != 2 + ENDPOINTS)
			continue;
		sent = on_time * shares.on_time + late * shares.late;
		if (on_time + late < capacity[0] + capacity[1])
			t.refused_in_calm += on_time + late - sent;
		sum = weight_sum(e);
		now += INTERVAL;
		for (i = 0; i < ENDPOINTS; i++) {
			share = controlled && sum > 0
					? tlb_overload_endpoint_rate(&e[i].state) / sum
					: 1.0 / ENDPOINTS;
			t.in_time += run_endpoint(&e[i], sent * share, capacity[i], &sample) *
				     (on_time * shares.on_time / sent);
			t.refused_by_endpoints += sample.refused;
			tlb_overload_endpoint_step(&e[i].state, &sample, INTERVAL, now);
		}
		if (!controlled)
			continue;
		arrived = (struct tlb_overload_demand){on_time / seconds, late / seconds};
		tlb_overload_demand_add(&demand, &arrived, 1);
		shares = tlb_overload_divide(weight_sum(e), &demand);
		if (e[0].state.capacity <= 0)
			shares = TLB_OVERLOAD_ALL;
	}
	fclose(f);
	t.last_share = shares.on_time;
	return t;
}

/* A burst of 1.6 times the capacity: what fits is served in time, and endpoints refuse little. */
START_TEST(test_burst_is_served_up_to_the_capacity)
{
	struct totals without = replay(false);
	struct totals with = replay(true);

	ck_assert_double_gt(with.in_time, 1.5 * without.in_time);
	ck_assert_double_lt(with.refused_by_endpoints, without.refused_by_endpoints / 4);
}
END_TEST

START_TEST(test_calm_after_a_burst_is_served_whole)
{
	struct totals t = replay(true);

	ck_assert_double_ge(t.last_share, 1);
	ck_assert_double_lt(t.refused_in_calm, 60);
}
END_TEST

/* Slow answers without refusals are no queue: an endpoint can be slow by itself. */
START_TEST(test_slow_endpoint_without_refusals_keeps_its_pace)
{
	struct tlb_overload_endpoint e;
	struct tlb_overload_sample s = {.answered = 20, .latency = 20 * TARGET, .target = TARGET};
	int i;

	tlb_overload_endpoint_init(&e);
	for (i = 0; i < 20; i++)
		tlb_overload_endpoint_step(&e, &s, INTERVAL, i * INTERVAL);
	ck_assert_double_ge(e.pace, 1);
}
END_TEST

START_TEST(test_requests_on_time_come_first)
{
	struct tlb_overload_demand d = {.on_time = 100, .late = 100};
	struct tlb_overload_shares s = tlb_overload_divide(120, &d);

	ck_assert_double_ge(s.on_time, 0.99);
	ck_assert_double_eq_tol(s.late, 0.2, 0.01);
	s = tlb_overload_divide(50, &d);
	ck_assert_double_gt(s.late, 0);
	ck_assert_double_eq_tol(s.on_time * 100 + s.late * 100, 50, 0.01);
	s = tlb_overload_divide(200, &d);
	ck_assert(!tlb_overload_sheds(&s));
}
END_TEST

START_TEST(test_shares_without_demand_or_capacity)
{
	struct tlb_overload_demand none = {0};
	struct tlb_overload_demand d = {.on_time = 10};
	struct tlb_overload_shares s = tlb_overload_divide(0, &none);

	ck_assert(!tlb_overload_sheds(&s));
	s = tlb_overload_divide(0, &d);
	ck_assert_double_gt(s.on_time, 0);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("overload");
	TCase *t = tcase_create("overload");
	SRunner *r;
	int failed;

	tcase_add_test(t, test_burst_is_served_up_to_the_capacity);
	tcase_add_test(t, test_calm_after_a_burst_is_served_whole);
	tcase_add_test(t, test_slow_endpoint_without_refusals_keeps_its_pace);
	tcase_add_test(t, test_requests_on_time_come_first);
	tcase_add_test(t, test_shares_without_demand_or_capacity);
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? 1 : 0;
}
