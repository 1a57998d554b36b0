/* Tests of the memory that requests and responses in flight share. */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "memory.h"

enum { LIMIT = 1 << 20 };

START_TEST(charge_that_does_not_fit_is_refused_whole)
{
	struct tlb_memory m;
	struct tlb_memory_share s = {.memory = &m};

	tlb_memory_init(&m, LIMIT);
	ck_assert(tlb_memory_charge(&s, LIMIT / 2));
	ck_assert(!tlb_memory_charge(&s, LIMIT));
	ck_assert_uint_eq(m.used, LIMIT / 2);
	ck_assert_int_eq(m.refused, 1);
	tlb_memory_release(&s);
	ck_assert_uint_eq(m.used, 0);
	ck_assert_uint_eq(m.peak, LIMIT / 2);
}
END_TEST

/* Guards against a few large messages that make all small ones fail. */
START_TEST(large_shares_leave_room_for_small_ones)
{
	struct tlb_memory m;
	struct tlb_memory_share large = {.memory = &m};
	struct tlb_memory_share small = {.memory = &m};

	tlb_memory_init(&m, LIMIT);
	while (tlb_memory_charge(&large, 1000))
		;
	ck_assert_uint_le(m.used, LIMIT - LIMIT / TLB_MEMORY_RESERVED_DIVISOR);
	ck_assert(tlb_memory_charge(&small, TLB_MEMORY_SMALL_SHARE));
	ck_assert(!tlb_memory_charge(&small, 1));
}
END_TEST

START_TEST(buffers_are_charged_with_their_capacity)
{
	struct tlb_memory m;
	struct tlb_memory_share s = {.memory = &m};
	struct tlb_buffer b = {0};
	char block[5000];

	memset(block, 'x', sizeof(block));
	tlb_memory_init(&m, LIMIT);
	while (tlb_memory_append(&s, &b, block, sizeof(block), SIZE_MAX - 1))
		ck_assert_uint_eq(m.used, b.cap);
	ck_assert_uint_gt(b.len, LIMIT / 2);
	ck_assert_uint_le(m.used, LIMIT);
	ck_assert_uint_eq(m.used, b.cap);
	ck_assert_uint_eq(b.data[b.len], '\0');
	tlb_memory_release(&s);
	tlb_buffer_finish(&b);
}
END_TEST

START_TEST(share_without_a_memory_is_not_limited)
{
	struct tlb_memory_share s = {0};

	ck_assert(tlb_memory_charge(&s, SIZE_MAX / 2));
	ck_assert(tlb_memory_charge(&s, SIZE_MAX / 2));
	tlb_memory_release(&s);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("memory");
	TCase *t = tcase_create("memory");
	SRunner *r;
	int failed;

	tcase_add_test(t, charge_that_does_not_fit_is_refused_whole);
	tcase_add_test(t, large_shares_leave_room_for_small_ones);
	tcase_add_test(t, buffers_are_charged_with_their_capacity);
	tcase_add_test(t, share_without_a_memory_is_not_limited);
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
