/* Guards the rate invariant: no client account is granted more than burst + rate * window tokens in
 * any window, also when tokens are returned, rates change or another VM becomes the owner. */
#include <check.h>
#include <stdlib.h>

#include "bucket.h"
#include "random.h"

enum { STEPS = 400, SEEDS = 200 };

/* A granted request. counted is its booking until reconciled, then the tokens that it used. */
struct grant {
	tlb_time at;
	int64_t prompt;
	int64_t booked;
	int64_t counted;
	bool open;
};

static struct grant grants[STEPS];
static int grant_count;

/* Windows from grant to grant suffice: a longer one with the same grants has a higher bound. */
static void check_windows(int64_t rate, int64_t burst, uint64_t seed)
{
	int from;
	int to;

	for (from = 0; from < grant_count; from++) {
		int64_t sum = 0;

		for (to = from; to < grant_count; to++) {
			int64_t window = grants[to].at - grants[from].at;

			sum += grants[to].prompt + grants[to].counted;
			ck_assert_msg(sum * TLB_BUCKET_SCALE <=
					      burst * TLB_BUCKET_SCALE + rate * window,
				      "seed %lu: %ld tokens in %ld us", seed, sum, window);
		}
	}
}

static void try_reserve(struct tlb_bucket *b, struct tlb_random *r, tlb_time now)
{
	struct grant g = {.at = now, .open = true};

	g.prompt = tlb_random_below(r, 400);
	g.booked = tlb_random_below(r, 400);
	g.counted = g.booked;
	if (tlb_bucket_reserve(b, g.prompt, g.booked, now))
		grants[grant_count++] = g;
}

static void reconcile_one(struct tlb_bucket *b, struct tlb_random *r, tlb_time now)
{
	struct grant *g;

	if (!grant_count)
		return;
	g = &grants[tlb_random_below(r, grant_count)];
	if (!g->open)
		return;
	g->open = false;
	g->counted = g->booked - tlb_bucket_reconcile(b, g->booked, tlb_random_below(r, 400), now);
}

/* The next owner starts empty after a failure, or from a snapshot after a hand-over. */
static void change_owner(struct tlb_bucket *b, struct tlb_random *r, tlb_time now)
{
	struct tlb_bucket_snapshot s = tlb_bucket_snapshot(b, now);

	if (tlb_random_below(r, 2))
		tlb_bucket_init(b, b->rate, b->burst, 0, now);
	else
		tlb_bucket_restore(b, b->rate, b->burst, &s, now);
}

START_TEST(no_window_exceeds_burst_and_rate)
{
	struct tlb_random r;
	struct tlb_bucket b;
	tlb_time now = 0;
	int64_t rate;
	int64_t burst;
	int i;

	tlb_random_init(&r, (uint64_t)_i);
	rate = 50 + tlb_random_below(&r, 500);
	burst = 800 + tlb_random_below(&r, 2000);
	grant_count = 0;
	tlb_bucket_init(&b, rate, burst, burst, now);
	for (i = 0; i < STEPS; i++) {
		now += tlb_random_below(&r, 1 + _i % 4 * 700000);
		switch (tlb_random_below(&r, 20)) {
		case 0:
			change_owner(&b, &r, now);
			break;
		case 1: /* lowering and restoring the rate must grant nothing extra */
			tlb_bucket_reconfigure(&b, rate / 2, burst, now);
			tlb_bucket_reconfigure(&b, rate, burst, now);
			break;
		case 2:
		case 3:
		case 4:
		case 5:
		case 6:
		case 7:
			reconcile_one(&b, &r, now);
			break;
		default:
			try_reserve(&b, &r, now);
		}
		ck_assert_int_ge(b.level, 0);
		ck_assert_int_le(b.level + b.outstanding * TLB_BUCKET_SCALE,
				 burst * TLB_BUCKET_SCALE);
	}
	check_windows(rate, burst, (uint64_t)_i);
}
END_TEST

/* Fails if a changed account row fills the bucket, which would grant a second burst. */
START_TEST(raised_burst_is_not_filled_at_once)
{
	struct tlb_bucket b;

	tlb_bucket_init(&b, 100, 1000, 1000, 0);
	ck_assert(tlb_bucket_reserve(&b, 1000, 0, 0));
	tlb_bucket_reconfigure(&b, 100, 5000, 0);
	ck_assert(!tlb_bucket_reserve(&b, 1, 0, 0));
	ck_assert(tlb_bucket_reserve(&b, 100, 0, TLB_SECOND));
}
END_TEST

static const struct {
	int64_t rate, burst, level, booked, tokens;
	tlb_time ready;
} ready_cases[] = {
	{100, 1000, 1000, 0, 1000, 0},
	{100, 1000, 0, 0, 100, TLB_SECOND},
	{3, 1000, 0, 0, 1, 333334},
	{100, 1000, 1000, 0, 1001, TLB_NEVER},	/* larger than the burst */
	{100, 1000, 1000, 600, 500, TLB_NEVER}, /* until bookings are reconciled */
	{0, 1000, 0, 0, 1, TLB_NEVER},
};

/* A wrong time would make callers retry too early, or wait for tokens that are never granted. */
START_TEST(ready_time_is_exact)
{
	struct tlb_bucket b;
	tlb_time ready = ready_cases[_i].ready;

	tlb_bucket_init(&b, ready_cases[_i].rate, ready_cases[_i].burst, ready_cases[_i].level, 0);
	ck_assert(tlb_bucket_reserve(&b, 0, ready_cases[_i].booked, 0));
	ck_assert_int_eq(tlb_bucket_ready_at(&b, ready_cases[_i].tokens, 0), ready);
	if (ready == TLB_NEVER || ready == 0)
		return;
	ck_assert(!tlb_bucket_reserve(&b, ready_cases[_i].tokens, 0, ready - 1));
	ck_assert(tlb_bucket_reserve(&b, ready_cases[_i].tokens, 0, ready));
}
END_TEST

/* Guards against an overflow of rate * elapsed time, here after a day without requests. */
START_TEST(long_idle_fills_to_the_burst)
{
	struct tlb_bucket b;

	tlb_bucket_init(&b, 1000000000, 1000000000, 0, 0);
	ck_assert(tlb_bucket_reserve(&b, 1000000000, 0, 86400 * TLB_SECOND));
	ck_assert(!tlb_bucket_reserve(&b, 1, 0, 86400 * TLB_SECOND));
}
END_TEST

int main(void)
{
	Suite *s = suite_create("bucket");
	TCase *tc = tcase_create("bucket");
	SRunner *sr = srunner_create(s);
	int failed;

	tcase_add_loop_test(tc, no_window_exceeds_burst_and_rate, 0, SEEDS);
	tcase_add_test(tc, raised_burst_is_not_filled_at_once);
	tcase_add_loop_test(tc, ready_time_is_exact, 0,
			    sizeof(ready_cases) / sizeof(ready_cases[0]));
	tcase_add_test(tc, long_idle_fills_to_the_burst);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
