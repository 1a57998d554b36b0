/* Guards the booking table of a decode endpoint against three failures: memory is booked twice,
 * memory stays booked for disconnected callers, and a request with a booking is cancelled. */
#include <apr_strings.h>
#include <check.h>
#include <stdlib.h>

#include "booking_table.h"

enum { TOTAL = 20, RESERVE = 4 };

static const tlb_time grace = 2 * TLB_SECOND;
static struct tlb_booking_table table;
static struct tlb_orphan orphans[TLB_BOOKING_MAX_ORPHANS];
static struct tlb_booking bookings[8];

static struct tlb_booking *make_booking(int i, const char *id, const char *owner, int blocks,
					enum tlb_class class, tlb_time expires)
{
	struct tlb_booking *k = &bookings[i];

	apr_cpystrn(k->request_id, id, sizeof(k->request_id));
	apr_cpystrn(k->owner, owner, sizeof(k->owner));
	k->blocks = blocks;
	k->class = class;
	k->expires = expires;
	return k;
}

static struct tlb_held_request make_held(const char *id, int blocks)
{
	struct tlb_held_request h = {.blocks = blocks};

	apr_cpystrn(h.request_id, id, sizeof(h.request_id));
	return h;
}

static void setup(void)
{
	tlb_booking_table_init(&table, orphans, TOTAL, RESERVE, grace);
	ck_assert_int_eq(tlb_booking_table_reconcile(&table, NULL, 0, 0), 0);
}

/* Each row adds a booking to a table in which "a" of vm1 has booked `before` blocks. */
static const struct {
	int before;
	const char *id, *owner;
	int blocks;
	enum tlb_class class;
	enum tlb_booking_result result;
	int free_blocks;
} add_cases[] = {
	{10, "b", "vm1/1", 10, TLB_INTERACTIVE, TLB_BOOKING_OK, 0},
	{10, "b", "vm1/1", 11, TLB_INTERACTIVE, TLB_BOOKING_FULL, 10},
	{10, "b", "vm1/1", 6, TLB_BATCH, TLB_BOOKING_OK, 4},
	{10, "b", "vm1/1", 7, TLB_BATCH, TLB_BOOKING_RESERVED, 10},
	{10, "b", "vm1/1", 21, TLB_INTERACTIVE, TLB_BOOKING_TOO_BIG, 10},
	{10, "b", "vm1/1", 0, TLB_INTERACTIVE, TLB_BOOKING_TOO_BIG, 10},
	{10, "a", "vm1/1", 10, TLB_INTERACTIVE, TLB_BOOKING_OK, 10}, /* repeated message */
	{10, "a", "vm2/1", 10, TLB_INTERACTIVE, TLB_BOOKING_DUPLICATE, 10},
};

START_TEST(grants_within_free_blocks_and_batch_reserve)
{
	struct tlb_booking *k;

	k = make_booking(0, "a", "vm1/1", add_cases[_i].before, TLB_INTERACTIVE, TLB_SECOND);
	ck_assert_int_eq(tlb_booking_table_add(&table, k), TLB_BOOKING_OK);
	k = make_booking(1, add_cases[_i].id, add_cases[_i].owner, add_cases[_i].blocks,
			 add_cases[_i].class, TLB_SECOND);
	ck_assert_int_eq(tlb_booking_table_add(&table, k), add_cases[_i].result);
	ck_assert_int_eq(tlb_booking_table_free_blocks(&table), add_cases[_i].free_blocks);
}
END_TEST

/* Without the limit, many small requests make the time between tokens exceed its target. */
START_TEST(request_limit_applies_with_free_memory)
{
	table.max_requests = 1;
	ck_assert_int_eq(
		tlb_booking_table_add(&table, make_booking(0, "a", "vm1/1", 1, TLB_INTERACTIVE, 1)),
		TLB_BOOKING_OK);
	ck_assert_int_eq(tlb_booking_table_free_blocks(&table), 0);
	ck_assert_int_eq(
		tlb_booking_table_add(&table, make_booking(1, "b", "vm1/1", 1, TLB_INTERACTIVE, 1)),
		TLB_BOOKING_FULL);
	tlb_booking_table_release(&table, "a", "vm1/1");
	ck_assert_int_eq(tlb_booking_table_free_blocks(&table), TOTAL);
}
END_TEST

/* Without a claim, a steady flow of small requests starves a large one. */
START_TEST(claim_reserves_freed_blocks)
{
	struct tlb_booking *big = make_booking(2, "big", "vm1/1", 12, TLB_INTERACTIVE, TLB_NEVER);

	tlb_booking_table_add(&table,
			      make_booking(0, "a", "vm1/1", 10, TLB_INTERACTIVE, TLB_NEVER));
	ck_assert_int_eq(tlb_booking_table_add(&table, big), TLB_BOOKING_FULL);
	ck_assert(tlb_booking_table_claim(&table, "big", 12, 100));
	ck_assert(!tlb_booking_table_claim(&table, "other", 12, 100));
	ck_assert_int_eq(
		tlb_booking_table_add(&table, make_booking(1, "b", "vm1/1", 1, TLB_INTERACTIVE, 1)),
		TLB_BOOKING_FULL);
	tlb_booking_table_release(&table, "a", "vm1/1");
	ck_assert_int_eq(tlb_booking_table_free_blocks(&table), 8);
	ck_assert_int_eq(tlb_booking_table_add(&table, big), TLB_BOOKING_OK);
	ck_assert_int_eq(tlb_booking_table_free_blocks(&table), 8);
}
END_TEST

/* Books three running batch requests of 4 blocks ("a"), 6 ("b") and 6 ("c") and an interactive one
 * of 4 in a table of 20 blocks; credit is the number of preemptions that it allows. */
static void fill_with_batch(int credit)
{
	static const struct {
		const char *id;
		int blocks;
		int64_t resume_tokens;
	} rows[] = {{"a", 4, 9000}, {"b", 6, 3000}, {"c", 6, 5000}};
	size_t i;

	table.preempt_cost = 20;
	table.batch_reserve = 0;
	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		struct tlb_booking *k = make_booking((int)i, rows[i].id, "vm1/1", rows[i].blocks,
						     TLB_BATCH, TLB_NEVER);

		k->resume_tokens = rows[i].resume_tokens;
		k->preemptible_from = 10;
		k->preemptible_until = 100;
		k->preempting_until = 0;
		ck_assert_int_eq(tlb_booking_table_add(&table, k), TLB_BOOKING_OK);
	}
	tlb_booking_table_add(&table, make_booking(3, "i", "vm1/1", 4, TLB_INTERACTIVE, TLB_NEVER));
	table.preempt_credit = credit * 20;
}

/* Each row preempts for a request for `blocks` blocks at time `now`. */
static const struct {
	int credit;
	tlb_time now;
	int blocks;
	int victims;
	const char *first;
	bool claimed;
} preempt_cases[] = {
	{2, 50, 6, 1, "b", true},    /* fewest tokens to prefill again */
	{2, 50, 7, 2, "b", true},    /* no more victims than needed */
	{2, 50, 13, 0, NULL, false}, /* needs three, credit for two */
	{3, 50, 17, 0, NULL, false}, /* interactive requests are not preempted */
	{2, 5, 6, 0, NULL, false},   /* before preemptible_from */
	{2, 100, 6, 0, NULL, false}, /* preemptible_until reached */
	{0, 50, 6, 0, NULL, false},
};

START_TEST(preempts_cheapest_sufficient_set)
{
	struct tlb_booking *victims[4] = {NULL};
	bool claimed;
	int n;

	fill_with_batch(preempt_cases[_i].credit);
	n = tlb_booking_table_preempt(&table, "x", preempt_cases[_i].blocks, preempt_cases[_i].now,
				      600, victims, 4, &claimed);
	ck_assert_int_eq(n, preempt_cases[_i].victims);
	ck_assert_int_eq(claimed, preempt_cases[_i].claimed);
	if (n)
		ck_assert_str_eq(victims[0]->request_id, preempt_cases[_i].first);
	/* A failed attempt must not leave bookings marked as being preempted. */
	if (!n)
		ck_assert_int_eq(bookings[1].preempting_until, 0);
}
END_TEST

/* A repeated attempt must not preempt a second stream, and another request must not book the
 * memory that the preemption frees. */
START_TEST(preempted_memory_is_reserved_for_the_request)
{
	struct tlb_booking *victims[4];
	struct tlb_booking *x = make_booking(4, "x", "vm1/1", 6, TLB_INTERACTIVE, TLB_NEVER);
	bool claimed;

	fill_with_batch(3);
	ck_assert_int_eq(tlb_booking_table_preempt(&table, "x", 6, 50, 600, victims, 4, &claimed),
			 1);
	ck_assert_int_eq(tlb_booking_table_preempt(&table, "x", 6, 60, 600, victims, 4, &claimed),
			 0);
	ck_assert(claimed);
	ck_assert_int_eq(tlb_booking_table_preempt(&table, "y", 6, 60, 600, victims, 4, &claimed),
			 0);
	ck_assert(!claimed);
	ck_assert_int_eq(tlb_booking_table_add(&table, x), TLB_BOOKING_FULL);
	tlb_booking_table_release(&table, "b", "vm1/1");
	ck_assert_int_eq(tlb_booking_table_free_blocks(&table), 0);
	ck_assert_int_eq(tlb_booking_table_add(&table, x), TLB_BOOKING_OK);
}
END_TEST

/* A stream that does not give way, because its VM has died or it may not stop any more, must not be
 * asked again and again while others would give way. */
START_TEST(unanswered_preemption_moves_to_another_stream)
{
	static const char *const expected[] = {"b", "c", "b"};
	struct tlb_booking *victims[4];
	tlb_time now = 50;
	bool claimed;
	size_t i;

	fill_with_batch(3);
	for (i = 0; i < 3; i++)
		bookings[i].preemptible_until = TLB_NEVER;
	bookings[0].preemptible_from = TLB_NEVER;
	for (i = 0; i < sizeof(expected) / sizeof(expected[0]); i++, now += 2 * TLB_SECOND) {
		ck_assert_int_eq(tlb_booking_table_preempt(&table, "x", 6, now, TLB_NEVER, victims,
							   4, &claimed),
				 1);
		ck_assert_str_eq(victims[0]->request_id, expected[i]);
		ck_assert(claimed);
	}
}
END_TEST

/* After a takeover, batch requests would never give way without credit, and too often with more
 * than a table may save. */
START_TEST(credit_taken_over_is_bounded)
{
	struct tlb_booking *victims[4];
	bool claimed;

	fill_with_batch(0);
	tlb_booking_table_set_credit(&table, -1);
	ck_assert_int_eq(table.preempt_credit, 0);
	ck_assert_int_eq(
		tlb_booking_table_preempt(&table, "x", 6, 50, TLB_NEVER, victims, 4, &claimed), 0);
	tlb_booking_table_set_credit(&table, INT64_MAX / 2);
	ck_assert_int_eq(table.preempt_credit, 20 * TLB_SAVED_PREEMPTIONS_MAX);
	tlb_booking_table_set_credit(&table, 20);
	ck_assert_int_eq(
		tlb_booking_table_preempt(&table, "x", 6, 50, TLB_NEVER, victims, 4, &claimed), 1);
	ck_assert_int_eq(table.preempt_credit, 0);
}
END_TEST

/* The claim of a disconnected caller must expire. */
START_TEST(claim_expires_unless_repeated)
{
	ck_assert(tlb_booking_table_claim(&table, "gone", 15, 150));
	ck_assert(tlb_booking_table_claim(&table, "gone", 15, 170));
	ck_assert_ptr_null(tlb_booking_table_pop_expired(&table, 169));
	ck_assert_int_eq(tlb_booking_table_free_blocks(&table), 5);
	ck_assert_ptr_null(tlb_booking_table_pop_expired(&table, 170));
	ck_assert_int_eq(tlb_booking_table_free_blocks(&table), TOTAL);
	ck_assert(tlb_booking_table_claim(&table, "next", 15, 300));
}
END_TEST

/* A new owner of the shard that grants before it has the engine's held list would book memory that
 * is still in use. */
START_TEST(new_owner_grants_only_after_reconciliation)
{
	struct tlb_held_request held[1] = {make_held("old", 15)};

	tlb_booking_table_init(&table, orphans, TOTAL, RESERVE, grace);
	ck_assert_int_eq(
		tlb_booking_table_add(&table, make_booking(0, "a", "vm1/1", 1, TLB_INTERACTIVE, 1)),
		TLB_BOOKING_NOT_GRANTING);
	tlb_booking_table_reconcile(&table, held, 1, 0);
	ck_assert_int_eq(tlb_booking_table_free_blocks(&table), 5);
	/* The VM reports its booking: the memory must not be counted twice. */
	ck_assert(tlb_booking_table_adopt(&table,
					  make_booking(0, "old", "vm1/1", 15, TLB_INTERACTIVE, 1)));
	ck_assert(!tlb_booking_table_adopt(
		&table, make_booking(1, "old", "vm1/1", 15, TLB_INTERACTIVE, 9)));
	ck_assert_int_eq(tlb_booking_table_free_blocks(&table), 5);
	ck_assert_int_eq(bookings[0].expires, 9);
}
END_TEST

/* The bookings of a failed VM must expire, and their memory must not be booked again before the
 * engine has freed it. */
START_TEST(expired_booking_counts_until_engine_frees_it)
{
	struct tlb_held_request held[2] = {make_held("a", 12), make_held("b", 2)};

	tlb_booking_table_add(&table,
			      make_booking(0, "a", "vm1/1", 12, TLB_INTERACTIVE, 5 * TLB_SECOND));
	tlb_booking_table_add(&table,
			      make_booking(1, "b", "vm2/1", 2, TLB_INTERACTIVE, 5 * TLB_SECOND));
	ck_assert_int_eq(tlb_booking_table_next_expiry(&table), 5 * TLB_SECOND);
	ck_assert(tlb_booking_table_renew(&table, "b", "vm2/1", 9 * TLB_SECOND));
	ck_assert(!tlb_booking_table_renew(&table, "b", "vm1/1", 99 * TLB_SECOND));
	ck_assert_ptr_eq(tlb_booking_table_pop_expired(&table, 5 * TLB_SECOND), &bookings[0]);
	ck_assert_ptr_null(tlb_booking_table_pop_expired(&table, 5 * TLB_SECOND));
	ck_assert_int_eq(tlb_booking_table_free_blocks(&table), 6);
	ck_assert_int_eq(tlb_booking_table_reconcile(&table, held, 2, 6 * TLB_SECOND), 0);
	ck_assert_int_eq(tlb_booking_table_reconcile(&table, held, 2, 8 * TLB_SECOND), 1);
	ck_assert(held[0].cancel);
	ck_assert(!held[1].cancel);
	tlb_booking_table_cancel_confirmed(&table, "a");
	ck_assert_int_eq(tlb_booking_table_free_blocks(&table), 18);
}
END_TEST

/* A lost cancel must be repeated; a booked request or a new orphan must not be cancelled. */
START_TEST(orphans_are_cancelled_after_the_grace_period)
{
	struct tlb_held_request held[2] = {make_held("x", 3), make_held("b", 2)};

	ck_assert_int_eq(tlb_booking_table_reconcile(&table, held, 2, 10 * TLB_SECOND), 0);
	ck_assert_int_eq(tlb_booking_table_free_blocks(&table), 15);
	tlb_booking_table_add(&table,
			      make_booking(0, "b", "vm1/1", 2, TLB_INTERACTIVE, 99 * TLB_SECOND));
	ck_assert_int_eq(tlb_booking_table_reconcile(&table, held, 2, 10 * TLB_SECOND + grace), 0);
	ck_assert_int_eq(tlb_booking_table_reconcile(&table, held, 2, 11 * TLB_SECOND + grace), 1);
	ck_assert_int_eq(tlb_booking_table_reconcile(&table, held, 2, 12 * TLB_SECOND + grace), 1);
	ck_assert(held[0].cancel);
	ck_assert_int_eq(tlb_booking_table_reconcile(&table, held + 1, 1, 13 * TLB_SECOND + grace),
			 0);
	ck_assert_int_eq(tlb_booking_table_free_blocks(&table), 18);
}
END_TEST

/* A release by another owner must not free a booking. */
START_TEST(release_requires_the_owner)
{
	tlb_booking_table_add(&table,
			      make_booking(0, "a", "vm1/1", 12, TLB_INTERACTIVE, TLB_SECOND));
	ck_assert_ptr_null(tlb_booking_table_release(&table, "a", "vm1/2"));
	ck_assert_ptr_eq(tlb_booking_table_release(&table, "a", "vm1/1"), &bookings[0]);
	ck_assert_ptr_null(tlb_booking_table_release(&table, "a", "vm1/1"));
	ck_assert_int_eq(tlb_booking_table_free_blocks(&table), TOTAL);
	ck_assert_ptr_null(tlb_booking_table_pop(&table));
}
END_TEST

int main(void)
{
	Suite *s = suite_create("book");
	TCase *tc = tcase_create("book");
	SRunner *sr = srunner_create(s);
	int failed;

	tcase_add_checked_fixture(tc, setup, NULL);
	tcase_add_loop_test(tc, grants_within_free_blocks_and_batch_reserve, 0,
			    sizeof(add_cases) / sizeof(add_cases[0]));
	tcase_add_test(tc, request_limit_applies_with_free_memory);
	tcase_add_test(tc, claim_reserves_freed_blocks);
	tcase_add_loop_test(tc, preempts_cheapest_sufficient_set, 0,
			    sizeof(preempt_cases) / sizeof(preempt_cases[0]));
	tcase_add_test(tc, preempted_memory_is_reserved_for_the_request);
	tcase_add_test(tc, unanswered_preemption_moves_to_another_stream);
	tcase_add_test(tc, credit_taken_over_is_bounded);
	tcase_add_test(tc, claim_expires_unless_repeated);
	tcase_add_test(tc, new_owner_grants_only_after_reconciliation);
	tcase_add_test(tc, expired_booking_counts_until_engine_frees_it);
	tcase_add_test(tc, orphans_are_cancelled_after_the_grace_period);
	tcase_add_test(tc, release_requires_the_owner);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
