/*
 * The roster of VMs: the digest by which two daemons compare their VM rows and fences, and the
 * order in which VMs write fences to the table service.
 */
#include <check.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "roster.h"

enum { VMS = 48, NUMBERS = 100 };

static struct tlb_vm_row make_row(int i, int64_t version)
{
	struct tlb_vm_row row;
	char id[TLB_ID_LEN];

	memset(&row, 0, sizeof(row));
	snprintf(id, sizeof(id), "vm-%d", i);
	tlb_vm_name_set(&row.name, id, i + 1);
	row.version = version;
	return row;
}

static void put(struct tlb_roster *r, int i, int64_t version)
{
	struct tlb_vm_row row = make_row(i, version);

	tlb_roster_put(r, &row, 0);
}

/* Guards against equal digests of different rows or fences, which would leave the difference
 * undetected, and against different digests of equal ones, with which two VMs would request rows
 * from each other without end. */
START_TEST(digest_covers_rows_and_fences)
{
	struct tlb_roster a = {0};
	struct tlb_roster b = {0};
	struct tlb_vm_row row = make_row(3, 1);
	int i;

	for (i = 0; i < VMS; i++) {
		put(&a, i, 1);
		put(&b, VMS - 1 - i, 1);
	}
	ck_assert_uint_eq(tlb_roster_digest(&a), tlb_roster_digest(&b));
	put(&a, 5, 2);
	ck_assert_uint_ne(tlb_roster_digest(&a), tlb_roster_digest(&b));
	put(&b, 5, 2);
	put(&b, 5, 1);
	ck_assert_uint_eq(tlb_roster_digest(&a), tlb_roster_digest(&b));
	tlb_roster_mark_ended(&a, &row.name);
	ck_assert_uint_ne(tlb_roster_digest(&a), tlb_roster_digest(&b));
	tlb_roster_mark_ended(&b, &row.name);
	ck_assert_uint_eq(tlb_roster_digest(&a), tlb_roster_digest(&b));
	/* Once the row shows the fence, it no longer matters whether it was recorded before. */
	row.version = 2;
	row.state = TLB_VM_FENCED;
	tlb_roster_put(&a, &row, 0);
	tlb_roster_finish(&b);
	for (i = 0; i < VMS; i++)
		put(&b, i, i == 5 ? 2 : 1);
	tlb_roster_put(&b, &row, 0);
	ck_assert_uint_eq(tlb_roster_digest(&a), tlb_roster_digest(&b));
	tlb_roster_finish(&a);
	tlb_roster_finish(&b);
}
END_TEST

/* Guards against a fence that two VMs write at once or that no VM writes, which equal or missing
 * ranks cause, and against the same VM being first for every fence. */
START_TEST(ranks_are_distinct_and_vary)
{
	struct tlb_roster r = {0};
	struct tlb_vm_row ended = make_row(7, 1);
	bool first[VMS] = {false};
	bool seen[VMS];
	int first_count = 0;
	int number;
	int rank;
	int i;

	for (i = 0; i < VMS; i++)
		put(&r, i, 1);
	tlb_roster_mark_ended(&r, &ended.name);
	for (number = 1; number <= NUMBERS; number++) {
		memset(seen, 0, sizeof(seen));
		for (i = 0; i < VMS; i++) {
			if (i == 7)
				continue;
			rank = tlb_roster_rank(&r, r.members[i].row.name.id, number);
			ck_assert(rank >= 0 && rank < VMS - 1 && !seen[rank]);
			seen[rank] = true;
			first[i] = first[i] || rank == 0;
		}
	}
	for (i = 0; i < VMS; i++)
		first_count += first[i];
	ck_assert_int_ge(first_count, VMS / 2);
	tlb_roster_finish(&r);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("roster");
	TCase *tc = tcase_create("roster");
	SRunner *sr = srunner_create(s);
	int failed;

	if (sodium_init() < 0)
		return EXIT_FAILURE;
	tcase_add_test(tc, digest_covers_rows_and_fences);
	tcase_add_test(tc, ranks_are_distinct_and_vary);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
