/* Guards placement: no endpoint that can't serve is chosen, routers with the same old report do not
 * herd, and a retry never repeats a paid call. */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "place.h"
#include "retry.h"

enum { COUNT = 6, ROUTERS = 8, DRAWS = 6000 };

static struct tlb_candidate cand[COUNT];
static const struct tlb_place_request request = {
	.prompt_tokens = 4000, .pieces = 2, .now = 100 * TLB_SECOND};

static void setup(void)
{
	static const char *const ids[COUNT] = {"e0", "e1", "e2", "e3", "e4", "e5"};
	int i;

	memset(cand, 0, sizeof(cand));
	for (i = 0; i < COUNT; i++) {
		cand[i].id = ids[i];
		cand[i].zone = i % 2 ? "z1" : "z2";
		cand[i].usable = true;
		cand[i].link_mbps = 10000;
		cand[i].reported_at = request.now;
		cand[i].total_pieces = 40;
		cand[i].free_pieces = 20;
		cand[i].tokens_per_second = 20000;
	}
}

/* How often each candidate is chosen by eight routers. */
static void tally(enum tlb_policy policy, bool decode, int *chosen)
{
	struct tlb_place p[ROUTERS];
	int i;

	memset(chosen, 0, COUNT * sizeof(*chosen));
	for (i = 0; i < ROUTERS; i++)
		tlb_place_init(&p[i], policy, "z1", (uint64_t)i + 1);
	for (i = 0; i < DRAWS; i++) {
		struct tlb_place *at = &p[i % ROUTERS];
		struct tlb_placement pl =
			decode ? tlb_place_decode(at, &request, cand, COUNT)
			       : tlb_place_prefill(at, &request, NULL, cand, COUNT);

		ck_assert_int_ge(pl.chosen, 0);
		chosen[pl.chosen]++;
	}
}

static void spoil(struct tlb_candidate *c, int how)
{
	switch (how) {
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
		c->own_pieces = 19; /* full by own knowledge, though the report says otherwise */
	}
}

/* Rows: what is wrong with e2; columns: every policy and role must avoid it. */
START_TEST(spoiled_candidate_is_not_chosen)
{
	int chosen[COUNT];
	int policy;

	spoil(&cand[2], _i);
	for (policy = TLB_POLICY_TOUCANLB; policy <= TLB_POLICY_LEAST_LOAD; policy++) {
		if (_i == 3 && policy != TLB_POLICY_TOUCANLB)
			continue;
		tally(policy, true, chosen);
		ck_assert_int_eq(chosen[2], 0);
		if (_i == 3)
			continue;
		tally(policy, false, chosen);
		ck_assert_int_eq(chosen[2], 0);
	}
}
END_TEST

/* One report looks best. Choosing the best sends everything there; two choices at most twice its
 * share. */
START_TEST(routers_do_not_herd)
{
	int chosen[COUNT];

	cand[4].free_pieces = 30;
	tally(TLB_POLICY_LEAST_LOAD, true, chosen);
	ck_assert_int_eq(chosen[4], DRAWS);
	tally(TLB_POLICY_TOUCANLB, true, chosen);
	ck_assert_int_le(chosen[4], DRAWS * 2 / COUNT + DRAWS / 20);
	ck_assert_int_ge(chosen[4], DRAWS / COUNT);
}
END_TEST

START_TEST(joining_endpoint_starts_slowly)
{
	int chosen[COUNT];

	cand[1].joined_at = request.now - TLB_SECOND;
	tally(TLB_POLICY_TOUCANLB, false, chosen);
	ck_assert_int_le(chosen[1], DRAWS / COUNT / 4);
	ck_assert_int_ge(chosen[1], 1);
}
END_TEST

/* With every engine ejected, one is still used. */
START_TEST(ejection_never_empties_the_pool)
{
	struct tlb_place p;
	int i;

	tlb_place_init(&p, TLB_POLICY_TOUCANLB, "z1", 1);
	for (i = 0; i < COUNT; i++)
		cand[i].ejected_until = request.now + 1;
	ck_assert_int_eq(tlb_place_prefill(&p, &request, NULL, cand, COUNT).reason,
			 TLB_PLACE_ALL_EJECTED);
}
END_TEST

/* A cached prefix wins until its engine's queue costs more than computing it elsewhere. */
static const struct {
	int64_t cached, queued;
	bool wins;
} cached_cases[] = {{3500, 0, true}, {3500, 3000, true}, {3500, 20000, false}, {0, 3000, false}};

START_TEST(cached_prefix_is_weighed_against_the_queue)
{
	struct tlb_place p;
	struct tlb_placement pl;
	char line[200];

	tlb_place_init(&p, TLB_POLICY_TOUCANLB, "z1", 1);
	cand[5].cached_tokens = cached_cases[_i].cached;
	cand[5].queued_tokens = cached_cases[_i].queued;
	pl = tlb_place_prefill(&p, &request, NULL, cand, COUNT);
	ck_assert_int_eq(pl.chosen == 5, cached_cases[_i].wins);
	tlb_place_describe(&pl, cand, line, sizeof(line));
	ck_assert_int_eq(strstr(line, "reason=cached") != NULL, cached_cases[_i].wins);
}
END_TEST

/* A prefill beside its decode endpoint saves the KV cache's way between zones, until the queue
 * there costs more. */
static const struct {
	int64_t queued;
	bool wins;
} beside_cases[] = {{0, true}, {50, true}, {20000, false}};

START_TEST(prefill_goes_beside_its_decode_endpoint)
{
	const struct tlb_candidate decode = {.id = "d", .zone = "z9"};
	struct tlb_place p;
	struct tlb_placement pl;
	char line[200];
	int i;

	tlb_place_init(&p, TLB_POLICY_TOUCANLB, "z1", 1);
	cand[5].zone = "z9";
	cand[5].queued_tokens = beside_cases[_i].queued;
	for (i = 0; i < DRAWS / COUNT; i++) {
		pl = tlb_place_prefill(&p, &request, &decode, cand, COUNT);
		ck_assert_int_eq(pl.chosen == 5, beside_cases[_i].wins);
	}
	tlb_place_describe(&pl, cand, line, sizeof(line));
	ck_assert_int_eq(strstr(line, "reason=beside") != NULL, beside_cases[_i].wins);
}
END_TEST

START_TEST(full_and_none_are_told_apart)
{
	struct tlb_place p;
	struct tlb_placement pl;
	int i;

	tlb_place_init(&p, TLB_POLICY_TOUCANLB, "z1", 1);
	for (i = 0; i < COUNT; i++)
		cand[i].free_pieces = 1;
	pl = tlb_place_decode(&p, &request, cand, COUNT);
	ck_assert_int_eq(pl.chosen, -1);
	ck_assert_int_eq(pl.reason, TLB_PLACE_FULL);
	for (i = 0; i < COUNT; i++)
		cand[i].usable = false;
	ck_assert_int_eq(tlb_place_decode(&p, &request, cand, COUNT).reason, TLB_PLACE_NONE);
}
END_TEST

/* Three failures or a fourfold latency eject; a repeated fault ejects for longer. */
START_TEST(failing_and_slow_engines_are_ejected)
{
	struct tlb_health h = {0};
	tlb_time first;

	ck_assert(!tlb_place_eject(&h, false, 0, 0, 1000));
	ck_assert(!tlb_place_eject(&h, false, 0, 0, 1000));
	ck_assert(tlb_place_eject(&h, false, 0, 0, 1000));
	first = h.ejected_until - 1000;
	ck_assert(!tlb_place_eject(&h, true, 300, 100, h.ejected_until));
	ck_assert(tlb_place_eject(&h, true, 2000, 100, h.ejected_until + 1));
	ck_assert_int_ge(h.ejected_until - 1000, 3 * first);
}
END_TEST

static const struct {
	enum tlb_step step;
	bool sent;
	int attempt;
	tlb_time left;
	enum tlb_retry_answer answer;
} retry_cases[] = {
	{TLB_STEP_PREFILL, true, 1, TLB_SECOND, TLB_RETRY_GO},
	{TLB_STEP_CALL, true, 1, TLB_SECOND, TLB_RETRY_GO},
	{TLB_STEP_PAID_CALL, true, 1, TLB_SECOND, TLB_RETRY_NEVER},
	{TLB_STEP_PAID_CALL, false, 1, TLB_SECOND, TLB_RETRY_GO},
	{TLB_STEP_CALL, true, 1, TLB_MS, TLB_RETRY_LATE},
	{TLB_STEP_CALL, true, TLB_RETRY_MAX_ATTEMPTS + 1, TLB_SECOND, TLB_RETRY_NEVER},
};

START_TEST(retry_depends_on_step_time_and_attempt)
{
	struct tlb_retry r;
	struct tlb_random rnd;
	tlb_time at = 0;

	tlb_retry_init(&r, 0.1, 10);
	tlb_random_init(&rnd, 1);
	ck_assert_int_eq(tlb_retry_ask(&r, retry_cases[_i].step, retry_cases[_i].sent,
				       retry_cases[_i].attempt, 0, retry_cases[_i].left, &rnd, &at),
			 retry_cases[_i].answer);
	ck_assert_double_eq_tol(r.budget, retry_cases[_i].answer == TLB_RETRY_GO ? 4 : 5, 1e-9);
}
END_TEST

/* When everything fails, retries stay below the fraction of first attempts. */
START_TEST(retries_stay_within_the_budget)
{
	struct tlb_retry r;
	struct tlb_random rnd;
	tlb_time at;
	int retries = 0;
	int i;

	tlb_retry_init(&r, 0.1, 10);
	tlb_random_init(&rnd, 7);
	for (i = 0; i < 1000; i++) {
		tlb_retry_first(&r);
		while (tlb_retry_ask(&r, TLB_STEP_CALL, true, 1, 0, TLB_SECOND, &rnd, &at) ==
		       TLB_RETRY_GO)
			retries++;
	}
	ck_assert_int_le(retries, 105);
	ck_assert_int_ge(retries, 95);
}
END_TEST

/* One candidate beside a full one with a report: whether it is chosen. Without a report the booking
 * finds out whether there is room, and ejection still holds. */
static const struct {
	bool reported, ejected, leaving;
	int free_pieces;
	bool chosen;
} unknown_cases[] = {
	{true, false, false, 0, false}, {true, false, false, 20, true},
	{false, false, false, 0, true}, {false, false, true, 0, false},
	{false, true, false, 0, true}, /* alone: ejection is ignored */
};

START_TEST(unknown_load_is_asked_for)
{
	struct tlb_placement pl;
	struct tlb_place p;

	tlb_place_init(&p, TLB_POLICY_TOUCANLB, "z1", 3);
	cand[0].free_pieces = 0;
	cand[1].reported_at = unknown_cases[_i].reported ? request.now : 0;
	cand[1].ejected_until = unknown_cases[_i].ejected ? request.now + 1 : 0;
	cand[1].usable = !unknown_cases[_i].leaving;
	cand[1].free_pieces = unknown_cases[_i].free_pieces;
	pl = tlb_place_decode(&p, &request, cand, 2);
	ck_assert_int_eq(pl.chosen, unknown_cases[_i].chosen ? 1 : -1);
	/* An ejected one is not asked while another one may have room. */
	if (unknown_cases[_i].ejected)
		ck_assert_int_ne(tlb_place_decode(&p, &request, cand, COUNT).chosen, 1);
}
END_TEST

/* Slow start rests on the state of the row, not on reports. */
START_TEST(unknown_joining_endpoint_starts_slowly)
{
	int chosen[COUNT];

	cand[0].joined_at = request.now;
	cand[0].reported_at = 0;
	cand[0].free_pieces = cand[0].total_pieces;
	tally(TLB_POLICY_TOUCANLB, true, chosen);
	ck_assert_int_lt(chosen[0], DRAWS / COUNT / 2);
	tally(TLB_POLICY_TOUCANLB, false, chosen);
	ck_assert_int_lt(chosen[0], DRAWS / COUNT / 2);
}
END_TEST

#define ROWS(table) (int)(sizeof(table) / sizeof((table)[0]))

/* A slow engine must stand out against the pool, not against engines that were never measured. */
START_TEST(median_counts_known_latencies)
{
	double few[] = {0, 500, 0, 300};
	double known[] = {900, 0, 100, 300, 200};

	ck_assert_int_eq(tlb_place_median(few, 4), 0);
	ck_assert_int_eq(tlb_place_median(known, 5), 300);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("place");
	TCase *tc = tcase_create("place");
	SRunner *sr = srunner_create(s);
	int failed;

	tcase_add_checked_fixture(tc, setup, NULL);
	tcase_add_loop_test(tc, spoiled_candidate_is_not_chosen, 0, 4);
	tcase_add_test(tc, routers_do_not_herd);
	tcase_add_test(tc, joining_endpoint_starts_slowly);
	tcase_add_test(tc, ejection_never_empties_the_pool);
	tcase_add_loop_test(tc, cached_prefix_is_weighed_against_the_queue, 0, ROWS(cached_cases));
	tcase_add_loop_test(tc, prefill_goes_beside_its_decode_endpoint, 0, ROWS(beside_cases));
	tcase_add_test(tc, full_and_none_are_told_apart);
	tcase_add_test(tc, failing_and_slow_engines_are_ejected);
	tcase_add_loop_test(tc, retry_depends_on_step_time_and_attempt, 0, ROWS(retry_cases));
	tcase_add_test(tc, retries_stay_within_the_budget);
	tcase_add_loop_test(tc, unknown_load_is_asked_for, 0, ROWS(unknown_cases));
	tcase_add_test(tc, unknown_joining_endpoint_starts_slowly);
	tcase_add_test(tc, median_counts_known_latencies);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
