/* Fair admission. Guards against an account that starves another, against batch requests that miss
 * their deadlines or delay interactive requests before they are urgent, and against requests that
 * wait longer than the maximum wait. */
#include <check.h>
#include <stdlib.h>

#include "queue.h"

enum { ITEMS = 600 };

static struct tlb_queue queue;
static struct tlb_flow flows[3];
static struct tlb_queue_item items[ITEMS];

static void setup(void)
{
	int i;

	tlb_queue_init(&queue);
	for (i = 0; i < 3; i++)
		tlb_flow_init(&flows[i], 1);
}

static struct tlb_queue_item *push(int i, int flow, enum tlb_class class, int64_t tokens,
				   tlb_time now)
{
	struct tlb_queue_item *it = &items[i];

	it->class = class;
	it->tokens = tokens;
	it->latest_start = TLB_NEVER;
	it->expires_at = TLB_NEVER;
	tlb_queue_push(&queue, &flows[flow], it, now);
	return it;
}

static bool always_fits(void *arg, const struct tlb_queue_item *it)
{
	return true;
}

static bool fits_below(void *arg, const struct tlb_queue_item *it)
{
	return it->tokens < *(int64_t *)arg;
}

static struct tlb_queue_item *pop(tlb_time now)
{
	return tlb_queue_pop(&queue, always_fits, NULL, now);
}

/* One account queues 500 requests; a later request of another account is served next. */
START_TEST(small_account_is_not_starved)
{
	int i;

	for (i = 0; i < 500; i++)
		push(i, 0, TLB_INTERACTIVE, 1000, 0);
	ck_assert_ptr_eq(pop(1), &items[0]);
	push(500, 1, TLB_INTERACTIVE, 3000, 1);
	ck_assert_ptr_eq(pop(2), &items[500]);
}
END_TEST

/* Served tokens are proportional to the weights 1:2:4, regardless of the request sizes. */
START_TEST(shares_follow_weights)
{
	int64_t served[3] = {0};
	int i;
	int f;

	for (f = 0; f < 3; f++)
		tlb_flow_set_weight(&flows[f], 1 << f);
	for (i = 0; i < ITEMS; i++)
		push(i, i % 3, TLB_INTERACTIVE, 500 * (3 - i % 3), 0);
	for (i = 0; i < 200; i++) {
		const struct tlb_queue_item *it = pop(i + 1);

		served[(it - items) % 3] += it->tokens;
	}
	ck_assert_double_eq_tol((double)served[1] / (double)served[0], 2, 0.2);
	ck_assert_double_eq_tol((double)served[2] / (double)served[0], 4, 0.4);
}
END_TEST

/* An account that was idle must not receive more than its share afterwards. */
START_TEST(idle_account_earns_no_credit)
{
	int i;

	for (i = 0; i < 100; i++)
		push(i, 0, TLB_INTERACTIVE, 1000, 0);
	for (i = 0; i < 50; i++)
		pop(1);
	for (i = 100; i < 110; i++)
		push(i, 1, TLB_INTERACTIVE, 1000, 2);
	for (i = 0; i < 4; i++)
		ck_assert_ptr_eq(pop(3)->flow, NULL);
	ck_assert_int_eq(flows[1].tokens[0], 8000);
}
END_TEST

START_TEST(batch_waits_until_its_latest_start)
{
	push(0, 0, TLB_BATCH, 1000, 0)->latest_start = 100;
	push(1, 1, TLB_INTERACTIVE, 1000, 1);
	push(2, 1, TLB_INTERACTIVE, 1000, 2);
	ck_assert_ptr_eq(pop(50), &items[1]);
	ck_assert_ptr_eq(pop(100), &items[0]);
	ck_assert_ptr_eq(pop(101), &items[2]);
}
END_TEST

/* A large request that can't start is overtaken, but at most TLB_QUEUE_MAX_PASSES times. */
START_TEST(oversized_request_is_overtaken_a_bounded_number_of_times)
{
	int64_t limit = 5000;
	int i;

	push(0, 0, TLB_INTERACTIVE, 9000, 0);
	for (i = 1; i <= TLB_QUEUE_MAX_PASSES + 1; i++)
		push(i, 0, TLB_INTERACTIVE, 100, 1);
	for (i = 1; i <= TLB_QUEUE_MAX_PASSES; i++)
		ck_assert_ptr_eq(tlb_queue_pop(&queue, fits_below, &limit, 2), &items[i]);
	ck_assert_ptr_null(tlb_queue_pop(&queue, fits_below, &limit, 2));
	limit = 10000;
	ck_assert_ptr_eq(tlb_queue_pop(&queue, fits_below, &limit, 2), &items[0]);
}
END_TEST

/* To start, an urgent batch request also needs the batch reserve to be free. If it blocked
 * interactive requests after its limit of passes, they would be refused while KV blocks are free
 * for them. */
START_TEST(urgent_batch_request_does_not_block_interactive_ones)
{
	int64_t limit = 5000;
	int i;

	push(0, 0, TLB_BATCH, 9000, 0)->latest_start = 1;
	for (i = 1; i <= TLB_QUEUE_MAX_PASSES + 1; i++)
		push(i, 0, TLB_INTERACTIVE, 100, 1);
	for (i = 1; i <= TLB_QUEUE_MAX_PASSES + 1; i++)
		ck_assert_ptr_eq(tlb_queue_pop(&queue, fits_below, &limit, 2), &items[i]);
}
END_TEST

START_TEST(expired_requests_are_not_started)
{
	push(0, 0, TLB_INTERACTIVE, 1000, 0)->expires_at = 10;
	push(1, 0, TLB_BATCH, 1000, 0)->expires_at = 20;
	push(2, 1, TLB_BATCH, 1000, 0);
	ck_assert_int_eq(tlb_queue_next_expiry(&queue), 10);
	ck_assert_ptr_eq(pop(20), &items[2]);
	ck_assert_ptr_eq(tlb_queue_expire(&queue, 10), &items[0]);
	ck_assert_ptr_null(tlb_queue_expire(&queue, 10));
	tlb_queue_remove(&queue, &items[1]);
	tlb_queue_remove(&queue, &items[1]);
	ck_assert_int_eq(tlb_queue_count(&queue), 0);
	ck_assert(APR_RING_EMPTY(&queue.flows, tlb_flow, link));
}
END_TEST

/* A requeued request keeps its position and is charged once. */
START_TEST(requeue_restores_order_and_charge)
{
	double before;

	push(0, 0, TLB_INTERACTIVE, 1000, 0);
	push(1, 0, TLB_INTERACTIVE, 1000, 0);
	before = flows[0].vtime[0];
	ck_assert_ptr_eq(pop(1), &items[0]);
	tlb_queue_requeue(&queue, &flows[0], &items[0]);
	ck_assert_double_eq_tol(flows[0].vtime[0], before, 1e-9);
	ck_assert_ptr_eq(pop(2), &items[0]);
}
END_TEST

/* At 1,000 tokens every 10 ms, a new request of an idle account waits for its fair share only, not
 * for the whole backlog. */
START_TEST(wait_estimate_follows_the_fair_share)
{
	int i;

	ck_assert_int_eq(tlb_queue_expected_wait(&queue, &flows[1], TLB_INTERACTIVE, 1000), 0);
	for (i = 0; i < 400; i++)
		push(i, 0, TLB_INTERACTIVE, 1000, 0);
	for (i = 1; i <= 200; i++)
		pop(i * 10 * TLB_MS);
	ck_assert_int_eq(tlb_queue_expected_wait(&queue, &flows[0], TLB_INTERACTIVE, 1000) / TLB_MS,
			 2000);
	ck_assert_int_le(tlb_queue_expected_wait(&queue, &flows[1], TLB_INTERACTIVE, 1000),
			 10 * TLB_MS);
	ck_assert(tlb_queue_misses_target(&queue, &flows[0], TLB_INTERACTIVE, 1000, 300 * TLB_MS,
					  1200 * TLB_MS, 1.5));
	ck_assert(!tlb_queue_misses_target(&queue, &flows[1], TLB_INTERACTIVE, 1000, 300 * TLB_MS,
					   1200 * TLB_MS, 1.0));
}
END_TEST

int main(void)
{
	Suite *s = suite_create("queue");
	TCase *tc = tcase_create("queue");
	SRunner *sr = srunner_create(s);
	int failed;

	tcase_add_checked_fixture(tc, setup, NULL);
	tcase_add_test(tc, small_account_is_not_starved);
	tcase_add_test(tc, shares_follow_weights);
	tcase_add_test(tc, idle_account_earns_no_credit);
	tcase_add_test(tc, batch_waits_until_its_latest_start);
	tcase_add_test(tc, oversized_request_is_overtaken_a_bounded_number_of_times);
	tcase_add_test(tc, urgent_batch_request_does_not_block_interactive_ones);
	tcase_add_test(tc, expired_requests_are_not_started);
	tcase_add_test(tc, requeue_restores_order_and_charge);
	tcase_add_test(tc, wait_estimate_follows_the_fair_share);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
