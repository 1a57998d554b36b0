/* Guards the memory book of a decode endpoint: never overbooked, nothing held for callers that are
 * gone, nothing cancelled that is booked. */
#include <apr_strings.h>
#include <check.h>
#include <stdlib.h>

#include "book.h"

enum { TOTAL = 20, RESERVE = 4 };

static const tlb_time grace = 2 * TLB_SECOND;
static struct tlb_book book;
static struct tlb_stray strays[TLB_BOOK_STRAYS];
static struct tlb_booking bookings[8];

static struct tlb_booking *make(int i, const char *id, const char *owner, int pieces,
				enum tlb_class class, tlb_time expires)
{
	struct tlb_booking *k = &bookings[i];

	apr_cpystrn(k->request_id, id, sizeof(k->request_id));
	apr_cpystrn(k->owner, owner, sizeof(k->owner));
	k->pieces = pieces;
	k->class = class;
	k->expires = expires;
	return k;
}

static struct tlb_held held_entry(const char *id, int pieces)
{
	struct tlb_held h = {.pieces = pieces};

	apr_cpystrn(h.request_id, id, sizeof(h.request_id));
	return h;
}

static void setup(void)
{
	tlb_book_init(&book, strays, TOTAL, RESERVE, grace);
	ck_assert_int_eq(tlb_book_reconcile(&book, NULL, 0, 0), 0);
}

/* Each row books on a book where "a" of vm1 already holds `before` pieces. */
static const struct {
	int before;
	const char *id, *owner;
	int pieces;
	enum tlb_class class;
	enum tlb_book_result result;
	int free_after;
} add_cases[] = {
	{10, "b", "vm1/1", 10, TLB_INTERACTIVE, TLB_BOOK_OK, 0},
	{10, "b", "vm1/1", 11, TLB_INTERACTIVE, TLB_BOOK_FULL, 10},
	{10, "b", "vm1/1", 6, TLB_BATCH, TLB_BOOK_OK, 4},
	{10, "b", "vm1/1", 7, TLB_BATCH, TLB_BOOK_RESERVED, 10},
	{10, "b", "vm1/1", 21, TLB_INTERACTIVE, TLB_BOOK_TOO_BIG, 10},
	{10, "b", "vm1/1", 0, TLB_INTERACTIVE, TLB_BOOK_TOO_BIG, 10},
	{10, "a", "vm1/1", 10, TLB_INTERACTIVE, TLB_BOOK_OK, 10}, /* a resent message */
	{10, "a", "vm2/1", 10, TLB_INTERACTIVE, TLB_BOOK_DUPLICATE, 10},
};

START_TEST(booking_follows_room_and_reserve)
{
	struct tlb_booking *k;

	k = make(0, "a", "vm1/1", add_cases[_i].before, TLB_INTERACTIVE, TLB_SECOND);
	ck_assert_int_eq(tlb_book_add(&book, k), TLB_BOOK_OK);
	k = make(1, add_cases[_i].id, add_cases[_i].owner, add_cases[_i].pieces,
		 add_cases[_i].class, TLB_SECOND);
	ck_assert_int_eq(tlb_book_add(&book, k), add_cases[_i].result);
	ck_assert_int_eq(tlb_book_free(&book), add_cases[_i].free_after);
}
END_TEST

/* Many small requests would push the time between tokens past its target. */
START_TEST(request_limit_holds_though_memory_is_free)
{
	book.max_requests = 1;
	ck_assert_int_eq(tlb_book_add(&book, make(0, "a", "vm1/1", 1, TLB_INTERACTIVE, 1)),
			 TLB_BOOK_OK);
	ck_assert_int_eq(tlb_book_free(&book), 0);
	ck_assert_int_eq(tlb_book_add(&book, make(1, "b", "vm1/1", 1, TLB_INTERACTIVE, 1)),
			 TLB_BOOK_FULL);
	tlb_book_release(&book, "a", "vm1/1");
	ck_assert_int_eq(tlb_book_free(&book), TOTAL);
}
END_TEST

/* A large request must get its pieces though small ones ask all the time. */
START_TEST(claim_keeps_freed_pieces)
{
	struct tlb_booking *big = make(2, "big", "vm1/1", 12, TLB_INTERACTIVE, TLB_NEVER);

	tlb_book_add(&book, make(0, "a", "vm1/1", 10, TLB_INTERACTIVE, TLB_NEVER));
	ck_assert_int_eq(tlb_book_add(&book, big), TLB_BOOK_FULL);
	ck_assert(tlb_book_claim(&book, "big", 12, 100));
	ck_assert(!tlb_book_claim(&book, "other", 12, 100));
	ck_assert_int_eq(tlb_book_add(&book, make(1, "b", "vm1/1", 1, TLB_INTERACTIVE, 1)),
			 TLB_BOOK_FULL);
	tlb_book_release(&book, "a", "vm1/1");
	ck_assert_int_eq(tlb_book_free(&book), 8);
	ck_assert_int_eq(tlb_book_add(&book, big), TLB_BOOK_OK);
	ck_assert_int_eq(tlb_book_free(&book), 8);
}
END_TEST

/* Books three running batch requests, "a" 4 pieces, "b" 6 and "c" 6, and an interactive one of 4,
 * on a book of 20 with credit for that many preemptions. */
static void fill_with_batch(int credit)
{
	static const struct {
		const char *id;
		int pieces;
		int64_t resume_tokens;
	} rows[] = {{"a", 4, 9000}, {"b", 6, 3000}, {"c", 6, 5000}};
	size_t i;

	book.preempt_cost = 20;
	book.batch_reserve = 0;
	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		struct tlb_booking *k =
			make((int)i, rows[i].id, "vm1/1", rows[i].pieces, TLB_BATCH, TLB_NEVER);

		k->resume_tokens = rows[i].resume_tokens;
		k->preemptible_at = 10;
		k->urgent_at = 100;
		k->yields_until = 0;
		ck_assert_int_eq(tlb_book_add(&book, k), TLB_BOOK_OK);
	}
	tlb_book_add(&book, make(3, "i", "vm1/1", 4, TLB_INTERACTIVE, TLB_NEVER));
	book.preempt_credit = credit * 20;
}

/* Each row preempts for pieces at a time. */
static const struct {
	int credit;
	tlb_time now;
	int pieces;
	int victims;
	const char *first;
	bool claimed;
} preempt_cases[] = {
	{2, 50, 6, 1, "b", true},    /* the least to compute again */
	{2, 50, 7, 2, "b", true},    /* no more than needed */
	{2, 50, 13, 0, NULL, false}, /* needs three; the credit pays for two */
	{3, 50, 17, 0, NULL, false}, /* interactive work does not give way */
	{2, 5, 6, 0, NULL, false},   /* not running yet */
	{2, 100, 6, 0, NULL, false}, /* urgent by now */
	{0, 50, 6, 0, NULL, false},
};

START_TEST(preemption_takes_the_cheapest_that_suffice)
{
	struct tlb_booking *victims[4] = {NULL};
	bool claimed;
	int n;

	fill_with_batch(preempt_cases[_i].credit);
	n = tlb_book_preempt(&book, "x", preempt_cases[_i].pieces, preempt_cases[_i].now, 600,
			     victims, 4, &claimed);
	ck_assert_int_eq(n, preempt_cases[_i].victims);
	ck_assert_int_eq(claimed, preempt_cases[_i].claimed);
	if (n)
		ck_assert_str_eq(victims[0]->request_id, preempt_cases[_i].first);
	/* What may not give way for this request stays free to be asked for another. */
	if (!n)
		ck_assert_int_eq(bookings[1].yields_until, 0);
}
END_TEST

/* A repeated question must not cost a second stream, and what gives way must not go to another. */
START_TEST(preempted_memory_is_kept_for_the_request)
{
	struct tlb_booking *victims[4];
	struct tlb_booking *x = make(4, "x", "vm1/1", 6, TLB_INTERACTIVE, TLB_NEVER);
	bool claimed;

	fill_with_batch(3);
	ck_assert_int_eq(tlb_book_preempt(&book, "x", 6, 50, 600, victims, 4, &claimed), 1);
	ck_assert_int_eq(tlb_book_preempt(&book, "x", 6, 60, 600, victims, 4, &claimed), 0);
	ck_assert(claimed);
	ck_assert_int_eq(tlb_book_preempt(&book, "y", 6, 60, 600, victims, 4, &claimed), 0);
	ck_assert(!claimed);
	ck_assert_int_eq(tlb_book_add(&book, x), TLB_BOOK_FULL);
	tlb_book_release(&book, "b", "vm1/1");
	ck_assert_int_eq(tlb_book_free(&book), 0);
	ck_assert_int_eq(tlb_book_add(&book, x), TLB_BOOK_OK);
}
END_TEST

/* The claim of a caller that is gone must end. */
START_TEST(claim_ends_when_not_repeated)
{
	ck_assert(tlb_book_claim(&book, "gone", 15, 150));
	ck_assert(tlb_book_claim(&book, "gone", 15, 170));
	ck_assert_ptr_null(tlb_book_expire(&book, 169));
	ck_assert_int_eq(tlb_book_free(&book), 5);
	ck_assert_ptr_null(tlb_book_expire(&book, 170));
	ck_assert_int_eq(tlb_book_free(&book), TOTAL);
	ck_assert(tlb_book_claim(&book, "next", 15, 300));
}
END_TEST

/* A new owner that granted at once would book memory that others still hold. */
START_TEST(new_owner_grants_only_after_the_list)
{
	struct tlb_held held[1] = {held_entry("old", 15)};

	tlb_book_init(&book, strays, TOTAL, RESERVE, grace);
	ck_assert_int_eq(tlb_book_add(&book, make(0, "a", "vm1/1", 1, TLB_INTERACTIVE, 1)),
			 TLB_BOOK_NOT_GRANTING);
	tlb_book_reconcile(&book, held, 1, 0);
	ck_assert_int_eq(tlb_book_free(&book), 5);
	/* The VM reports its booking: the memory is counted once. */
	ck_assert(tlb_book_adopt(&book, make(0, "old", "vm1/1", 15, TLB_INTERACTIVE, 1)));
	ck_assert(!tlb_book_adopt(&book, make(1, "old", "vm1/1", 15, TLB_INTERACTIVE, 9)));
	ck_assert_int_eq(tlb_book_free(&book), 5);
	ck_assert_int_eq(bookings[0].expires, 9);
}
END_TEST

/* A VM that dies must not hold memory, and its memory isn't free before the engine says so. */
START_TEST(expired_booking_stays_counted_until_gone)
{
	struct tlb_held held[2] = {held_entry("a", 12), held_entry("b", 2)};

	tlb_book_add(&book, make(0, "a", "vm1/1", 12, TLB_INTERACTIVE, 5 * TLB_SECOND));
	tlb_book_add(&book, make(1, "b", "vm2/1", 2, TLB_INTERACTIVE, 5 * TLB_SECOND));
	ck_assert_int_eq(tlb_book_next_expiry(&book), 5 * TLB_SECOND);
	ck_assert(tlb_book_renew(&book, "b", "vm2/1", 9 * TLB_SECOND));
	ck_assert(!tlb_book_renew(&book, "b", "vm1/1", 99 * TLB_SECOND));
	ck_assert_ptr_eq(tlb_book_expire(&book, 5 * TLB_SECOND), &bookings[0]);
	ck_assert_ptr_null(tlb_book_expire(&book, 5 * TLB_SECOND));
	ck_assert_int_eq(tlb_book_free(&book), 6);
	ck_assert_int_eq(tlb_book_reconcile(&book, held, 2, 6 * TLB_SECOND), 0);
	ck_assert_int_eq(tlb_book_reconcile(&book, held, 2, 8 * TLB_SECOND), 1);
	ck_assert(held[0].cancel);
	ck_assert(!held[1].cancel);
	tlb_book_cancelled(&book, "a");
	ck_assert_int_eq(tlb_book_free(&book), 18);
}
END_TEST

/* A lost cancel is repeated; a booked request and a fresh stray are left alone. */
START_TEST(strays_are_cancelled_after_the_grace_period)
{
	struct tlb_held held[2] = {held_entry("x", 3), held_entry("b", 2)};

	ck_assert_int_eq(tlb_book_reconcile(&book, held, 2, 10 * TLB_SECOND), 0);
	ck_assert_int_eq(tlb_book_free(&book), 15);
	tlb_book_add(&book, make(0, "b", "vm1/1", 2, TLB_INTERACTIVE, 99 * TLB_SECOND));
	ck_assert_int_eq(tlb_book_reconcile(&book, held, 2, 10 * TLB_SECOND + grace), 0);
	ck_assert_int_eq(tlb_book_reconcile(&book, held, 2, 11 * TLB_SECOND + grace), 1);
	ck_assert_int_eq(tlb_book_reconcile(&book, held, 2, 12 * TLB_SECOND + grace), 1);
	ck_assert(held[0].cancel);
	ck_assert_int_eq(tlb_book_reconcile(&book, held + 1, 1, 13 * TLB_SECOND + grace), 0);
	ck_assert_int_eq(tlb_book_free(&book), 18);
}
END_TEST

/* Another VM's release must not free a booking. */
START_TEST(release_needs_the_owner)
{
	tlb_book_add(&book, make(0, "a", "vm1/1", 12, TLB_INTERACTIVE, TLB_SECOND));
	ck_assert_ptr_null(tlb_book_release(&book, "a", "vm1/2"));
	ck_assert_ptr_eq(tlb_book_release(&book, "a", "vm1/1"), &bookings[0]);
	ck_assert_ptr_null(tlb_book_release(&book, "a", "vm1/1"));
	ck_assert_int_eq(tlb_book_free(&book), TOTAL);
	ck_assert_ptr_null(tlb_book_pop(&book));
}
END_TEST

int main(void)
{
	Suite *s = suite_create("book");
	TCase *tc = tcase_create("book");
	SRunner *sr = srunner_create(s);
	int failed;

	tcase_add_checked_fixture(tc, setup, NULL);
	tcase_add_loop_test(tc, booking_follows_room_and_reserve, 0,
			    sizeof(add_cases) / sizeof(add_cases[0]));
	tcase_add_test(tc, request_limit_holds_though_memory_is_free);
	tcase_add_test(tc, claim_keeps_freed_pieces);
	tcase_add_loop_test(tc, preemption_takes_the_cheapest_that_suffice, 0,
			    sizeof(preempt_cases) / sizeof(preempt_cases[0]));
	tcase_add_test(tc, preempted_memory_is_kept_for_the_request);
	tcase_add_test(tc, claim_ends_when_not_repeated);
	tcase_add_test(tc, new_owner_grants_only_after_the_list);
	tcase_add_test(tc, expired_booking_stays_counted_until_gone);
	tcase_add_test(tc, strays_are_cancelled_after_the_grace_period);
	tcase_add_test(tc, release_needs_the_owner);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
