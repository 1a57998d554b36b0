/* Endpoint selection and retries. Guards against the selection of an endpoint that can't serve,
 * against herding of routers that act on the same stale report, and against a repeated call on a
 * non-idempotent route. */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "selection.h"
#include "retry.h"

enum { COUNT = 6, ROUTERS = 8, SELECTIONS = 6000 };

static struct tlb_candidate candidates[COUNT];
static const struct tlb_selection_input request = {
	.prompt_tokens = 4000, .blocks = 2, .now = 100 * TLB_SECOND};

static void setup(void)
{
	static const char *const ids[COUNT] = {"e0", "e1", "e2", "e3", "e4", "e5"};
	int i;

	memset(candidates, 0, sizeof(candidates));
	for (i = 0; i < COUNT; i++) {
		candidates[i].id = ids[i];
		candidates[i].zone = i % 2 ? "z1" : "z2";
		candidates[i].usable = true;
		candidates[i].link_mbps = 10000;
		candidates[i].reported_at = request.now;
		candidates[i].total_blocks = 40;
		candidates[i].free_blocks = 20;
		candidates[i].tokens_per_second = 20000;
	}
}

/* Counts how often eight routers select each candidate. */
static void count_selections(enum tlb_policy policy, bool decode, int *chosen)
{
	struct tlb_selector p[ROUTERS];
	int i;

	memset(chosen, 0, COUNT * sizeof(*chosen));
	for (i = 0; i < ROUTERS; i++)
		tlb_selector_init(&p[i], policy, "z1", (uint64_t)i + 1);
	for (i = 0; i < SELECTIONS; i++) {
		struct tlb_selector *at = &p[i % ROUTERS];
		struct tlb_selection pl =
			decode ? tlb_select_decode(at, &request, candidates, COUNT)
			       : tlb_select_prefill(at, &request, NULL, candidates, COUNT);

		ck_assert_int_ge(pl.selected, 0);
		chosen[pl.selected]++;
	}
}

static void make_ineligible(struct tlb_candidate *c, int fault)
{
	switch (fault) {
	case 0:
		c->usable = false;
		break;
	case 1:
		c->tried = true;
		break;
	case 2:
		c->ejected_until = request.now + 1;
		break;
	default:
		/* full by this daemon's own bookings, although the report shows free blocks */
		c->local_blocks = 19;
	}
}

/* Every policy and role must avoid e2, whatever makes it ineligible. Only the toucanlb policy for
 * decode considers free KV blocks. */
START_TEST(ineligible_candidate_is_not_selected)
{
	int chosen[COUNT];
	int policy;

	make_ineligible(&candidates[2], _i);
	for (policy = TLB_POLICY_TOUCANLB; policy <= TLB_POLICY_LEAST_LOAD; policy++) {
		if (_i == 3 && policy != TLB_POLICY_TOUCANLB)
			continue;
		count_selections(policy, true, chosen);
		ck_assert_int_eq(chosen[2], 0);
		if (_i == 3)
			continue;
		count_selections(policy, false, chosen);
		ck_assert_int_eq(chosen[2], 0);
	}
}
END_TEST

/* One endpoint reports the lowest load. The least_load policy sends every request to it; the best
 * of two random candidates sends it at most twice its share. */
START_TEST(routers_do_not_herd)
{
	int chosen[COUNT];

	candidates[4].free_blocks = 30;
	count_selections(TLB_POLICY_LEAST_LOAD, true, chosen);
	ck_assert_int_eq(chosen[4], SELECTIONS);
	count_selections(TLB_POLICY_TOUCANLB, true, chosen);
	ck_assert_int_le(chosen[4], SELECTIONS * 2 / COUNT + SELECTIONS / 20);
	ck_assert_int_ge(chosen[4], SELECTIONS / COUNT);
}
END_TEST

START_TEST(joining_endpoint_starts_slowly)
{
	int chosen[COUNT];

	candidates[1].slow_start_at = request.now - TLB_SECOND;
	count_selections(TLB_POLICY_TOUCANLB, false, chosen);
	ck_assert_int_le(chosen[1], SELECTIONS / COUNT / 4);
	ck_assert_int_ge(chosen[1], 1);
}
END_TEST

/* If every engine is ejected, one is still selected. */
START_TEST(ejection_never_empties_the_pool)
{
	struct tlb_selector p;
	int i;

	tlb_selector_init(&p, TLB_POLICY_TOUCANLB, "z1", 1);
	for (i = 0; i < COUNT; i++)
		candidates[i].ejected_until = request.now + 1;
	ck_assert_int_eq(tlb_select_prefill(&p, &request, NULL, candidates, COUNT).reason,
			 TLB_SELECT_ALL_EJECTED);
}
END_TEST

/* An engine with a cached prefix is selected unless its queue costs more than computing the prefix
 * on another engine. */
static const struct {
	int64_t cached, queued;
	bool selected;
} cached_cases[] = {{3500, 0, true}, {3500, 3000, true}, {3500, 20000, false}, {0, 3000, false}};

START_TEST(cached_prefix_is_weighed_against_the_queue)
{
	struct tlb_selector p;
	struct tlb_selection pl;
	char line[200];

	tlb_selector_init(&p, TLB_POLICY_TOUCANLB, "z1", 1);
	candidates[5].cached_tokens = cached_cases[_i].cached;
	candidates[5].queued_tokens = cached_cases[_i].queued;
	pl = tlb_select_prefill(&p, &request, NULL, candidates, COUNT);
	ck_assert_int_eq(pl.selected == 5, cached_cases[_i].selected);
	tlb_selection_describe(&pl, candidates, line, sizeof(line));
	ck_assert_int_eq(strstr(line, "reason=cached") != NULL, cached_cases[_i].selected);
}
END_TEST

/* A prefill in the zone of its decode endpoint needs no KV cache transfer between zones. It is
 * selected unless its queue costs more than that transfer. */
static const struct {
	int64_t queued;
	bool selected;
} same_zone_cases[] = {{0, true}, {50, true}, {20000, false}};

START_TEST(prefill_prefers_zone_of_decode_endpoint)
{
	const struct tlb_candidate decode = {.id = "d", .zone = "z9"};
	struct tlb_selector p;
	struct tlb_selection pl;
	char line[200];
	int i;

	tlb_selector_init(&p, TLB_POLICY_TOUCANLB, "z1", 1);
	candidates[5].zone = "z9";
	candidates[5].queued_tokens = same_zone_cases[_i].queued;
	for (i = 0; i < SELECTIONS / COUNT; i++) {
		pl = tlb_select_prefill(&p, &request, &decode, candidates, COUNT);
		ck_assert_int_eq(pl.selected == 5, same_zone_cases[_i].selected);
	}
	tlb_selection_describe(&pl, candidates, line, sizeof(line));
	ck_assert_int_eq(strstr(line, "reason=beside") != NULL, same_zone_cases[_i].selected);
}
END_TEST

START_TEST(full_and_unusable_pools_have_different_reasons)
{
	struct tlb_selector p;
	struct tlb_selection pl;
	int i;

	tlb_selector_init(&p, TLB_POLICY_TOUCANLB, "z1", 1);
	for (i = 0; i < COUNT; i++)
		candidates[i].free_blocks = 1;
	pl = tlb_select_decode(&p, &request, candidates, COUNT);
	ck_assert_int_eq(pl.selected, -1);
	ck_assert_int_eq(pl.reason, TLB_SELECT_NO_CAPACITY);
	for (i = 0; i < COUNT; i++)
		candidates[i].usable = false;
	ck_assert_int_eq(tlb_select_decode(&p, &request, candidates, COUNT).reason,
			 TLB_SELECT_NONE_USABLE);
}
END_TEST

/* Three consecutive failures or four times the median latency eject an engine; each further
 * ejection lasts longer. */
START_TEST(failing_and_slow_engines_are_ejected)
{
	struct tlb_health h = {0};
	tlb_time first;

	ck_assert(!tlb_health_record_outcome(&h, false, 0, 0, 1000));
	ck_assert(!tlb_health_record_outcome(&h, false, 0, 0, 1000));
	ck_assert(tlb_health_record_outcome(&h, false, 0, 0, 1000));
	first = h.ejected_until - 1000;
	ck_assert(!tlb_health_record_outcome(&h, true, 300, 100, h.ejected_until));
	ck_assert(tlb_health_record_outcome(&h, true, 2000, 100, h.ejected_until + 1));
	ck_assert_int_ge(h.ejected_until - 1000, 3 * first);
}
END_TEST

static const struct {
	enum tlb_step step;
	bool sent;
	int attempt;
	tlb_time deadline;
	enum tlb_retry_decision answer;
} retry_cases[] = {
	{TLB_STEP_PREFILL, true, 1, TLB_SECOND, TLB_RETRY_SCHEDULED},
	{TLB_STEP_IDEMPOTENT_CALL, true, 1, TLB_SECOND, TLB_RETRY_SCHEDULED},
	{TLB_STEP_NON_IDEMPOTENT_CALL, true, 1, TLB_SECOND, TLB_RETRY_NOT_ALLOWED},
	{TLB_STEP_NON_IDEMPOTENT_CALL, false, 1, TLB_SECOND, TLB_RETRY_SCHEDULED},
	{TLB_STEP_IDEMPOTENT_CALL, true, 1, TLB_MS, TLB_RETRY_PAST_DEADLINE},
	{TLB_STEP_IDEMPOTENT_CALL, true, TLB_RETRY_MAX_ATTEMPTS + 1, TLB_SECOND,
	 TLB_RETRY_NOT_ALLOWED},
};

START_TEST(retry_depends_on_step_time_and_attempt)
{
	struct tlb_retry_budget r;
	struct tlb_random rnd;
	tlb_time at = 0;

	tlb_retry_init(&r, 0.1, 10);
	tlb_random_init(&rnd, 1);
	ck_assert_int_eq(tlb_retry_decide(&r, retry_cases[_i].step, retry_cases[_i].sent,
					  retry_cases[_i].attempt, 0, retry_cases[_i].deadline,
					  &rnd, &at),
			 retry_cases[_i].answer);
	ck_assert_double_eq_tol(r.budget, retry_cases[_i].answer == TLB_RETRY_SCHEDULED ? 4 : 5,
				1e-9);
}
END_TEST

/* If every attempt fails, retries stay within the budget: 0.1 of the first attempts plus the
 * initial budget of 5. */
START_TEST(retries_stay_within_the_budget)
{
	struct tlb_retry_budget r;
	struct tlb_random rnd;
	tlb_time at;
	int retries = 0;
	int i;

	tlb_retry_init(&r, 0.1, 10);
	tlb_random_init(&rnd, 7);
	for (i = 0; i < 1000; i++) {
		tlb_retry_count_first(&r);
		while (tlb_retry_decide(&r, TLB_STEP_IDEMPOTENT_CALL, true, 1, 0, TLB_SECOND, &rnd,
					&at) == TLB_RETRY_SCHEDULED)
			retries++;
	}
	ck_assert_int_le(retries, 105);
	ck_assert_int_ge(retries, 95);
}
END_TEST

/* Whether a candidate is selected next to a full one. A candidate without a load report counts as
 * having free capacity, since the booking checks it; ejection still applies to it. */
static const struct {
	bool reported, ejected, leaving;
	int free_pieces;
	bool chosen;
} unknown_cases[] = {
	{true, false, false, 0, false}, {true, false, false, 20, true},
	{false, false, false, 0, true}, {false, false, true, 0, false},
	{false, true, false, 0, true}, /* the only one left: ejection is ignored */
};

START_TEST(candidate_without_report_is_selected)
{
	struct tlb_selection pl;
	struct tlb_selector p;

	tlb_selector_init(&p, TLB_POLICY_TOUCANLB, "z1", 3);
	candidates[0].free_blocks = 0;
	candidates[1].reported_at = unknown_cases[_i].reported ? request.now : 0;
	candidates[1].ejected_until = unknown_cases[_i].ejected ? request.now + 1 : 0;
	candidates[1].usable = !unknown_cases[_i].leaving;
	candidates[1].free_blocks = unknown_cases[_i].free_pieces;
	pl = tlb_select_decode(&p, &request, candidates, 2);
	ck_assert_int_eq(pl.selected, unknown_cases[_i].chosen ? 1 : -1);
	/* An ejected candidate is not selected while another one may have free capacity. */
	if (unknown_cases[_i].ejected)
		ck_assert_int_ne(tlb_select_decode(&p, &request, candidates, COUNT).selected, 1);
}
END_TEST

/* Slow start depends on the time of joining, not on load reports. */
START_TEST(joining_endpoint_without_report_starts_slowly)
{
	int chosen[COUNT];

	candidates[0].slow_start_at = request.now;
	candidates[0].reported_at = 0;
	candidates[0].free_blocks = candidates[0].total_blocks;
	count_selections(TLB_POLICY_TOUCANLB, true, chosen);
	ck_assert_int_lt(chosen[0], SELECTIONS / COUNT / 2);
	count_selections(TLB_POLICY_TOUCANLB, false, chosen);
	ck_assert_int_lt(chosen[0], SELECTIONS / COUNT / 2);
}
END_TEST

#define ROWS(table) (int)(sizeof(table) / sizeof((table)[0]))

/* Engines without a measured latency must not count in the median, and two engines are too few for
 * one. */
START_TEST(median_counts_known_latencies)
{
	double few[] = {0, 500, 0, 300};
	double known[] = {900, 0, 100, 300, 200};

	ck_assert_int_eq(tlb_health_median_latency(few, 4), 0);
	ck_assert_int_eq(tlb_health_median_latency(known, 5), 300);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("place");
	TCase *tc = tcase_create("place");
	SRunner *sr = srunner_create(s);
	int failed;

	tcase_add_checked_fixture(tc, setup, NULL);
	tcase_add_loop_test(tc, ineligible_candidate_is_not_selected, 0, 4);
	tcase_add_test(tc, routers_do_not_herd);
	tcase_add_test(tc, joining_endpoint_starts_slowly);
	tcase_add_test(tc, ejection_never_empties_the_pool);
	tcase_add_loop_test(tc, cached_prefix_is_weighed_against_the_queue, 0, ROWS(cached_cases));
	tcase_add_loop_test(tc, prefill_prefers_zone_of_decode_endpoint, 0, ROWS(same_zone_cases));
	tcase_add_test(tc, full_and_unusable_pools_have_different_reasons);
	tcase_add_test(tc, failing_and_slow_engines_are_ejected);
	tcase_add_loop_test(tc, retry_depends_on_step_time_and_attempt, 0, ROWS(retry_cases));
	tcase_add_test(tc, retries_stay_within_the_budget);
	tcase_add_loop_test(tc, candidate_without_report_is_selected, 0, ROWS(unknown_cases));
	tcase_add_test(tc, joining_endpoint_without_report_starts_slowly);
	tcase_add_test(tc, median_counts_known_latencies);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
