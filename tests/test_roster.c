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

/* Guards against a deferred row that a late older row discards, that comes into force by itself, or
 * that stays after a newer one. */
START_TEST(deferred_row_waits_beside_the_recorded_one)
{
	struct tlb_roster r = {0};
	struct tlb_vm_row left = make_row(3, 5);

	left.state = TLB_VM_LEFT;
	ck_assert(!tlb_roster_defer(&r, &left));
	put(&r, 3, 1);
	ck_assert(tlb_roster_defer(&r, &left));
	ck_assert(!tlb_roster_defer(&r, &left));
	ck_assert(tlb_roster_has_row(&r, "vm-3", 5));
	ck_assert(!tlb_roster_has_row(&r, "vm-3", 6));
	put(&r, 3, 4);
	ck_assert_int_eq(r.members[0].row.version, 4);
	ck_assert(tlb_roster_live(&r, &r.members[0]));
	ck_assert_int_eq(r.members[0].deferred->version, 5);
	tlb_roster_put(&r, &left, 0);
	ck_assert_ptr_null(r.members[0].deferred);
	ck_assert(!tlb_roster_live(&r, &r.members[0]));
	left.version = 7;
	ck_assert(tlb_roster_defer(&r, &left));
	tlb_roster_finish(&r);
}
END_TEST

/* Guards against a left row that loses the version of the map that it belongs to, and against one
 * written by a daemon that does not record it being refused. */
START_TEST(left_row_names_the_replaced_map)
{
	struct tlb_vm_row row = make_row(3, 5);
	struct tlb_vm_row read;
	json_t *value;

	row.state = TLB_VM_LEFT;
	row.replaced_map = 41;
	value = tlb_vm_row_json(&row);
	ck_assert(tlb_vm_row_parse(&read, "vm/vm-3", 5, value));
	ck_assert_int_eq(read.replaced_map, 41);
	json_object_del(value, "replaced_map");
	ck_assert(tlb_vm_row_parse(&read, "vm/vm-3", 5, value));
	ck_assert_int_eq(read.replaced_map, 0);
	json_decref(value);
	row.state = TLB_VM_LIVE;
	value = tlb_vm_row_json(&row);
	ck_assert_ptr_null(json_object_get(value, "replaced_map"));
	json_decref(value);
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
	tcase_add_test(tc, deferred_row_waits_beside_the_recorded_one);
	tcase_add_test(tc, left_row_names_the_replaced_map);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
