/*
 * The copies of the store's tables that VMs pass on to each other. Guards against a removed
 * endpoint or an old configuration that comes back from a VM that lags behind, against changes that
 * are lost between two VMs, and against a fleet in which nobody, or everybody, reads the store.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "deflate.h"
#include "tables.h"

static struct tlb_replica r;
static int removals;

static void put(const char *key, int64_t version, const char *value, bool expected)
{
	struct tlb_stored_row row = {.version = version, .removed = !value};

	strcpy(row.key, key);
	row.value = (char *)value;
	row.len = value ? strlen(value) : 0;
	ck_assert_msg((tlb_replica_put(&r, &row, 0) != NULL) == expected, "%s at %lld", key,
		      (long long)version);
}

static const struct tlb_replica_row *find(const char *key)
{
	const struct tlb_replica_row *e;

	APR_RING_FOREACH (e, &r.rows, tlb_replica_row, link) {
		if (strcmp(e->row.key, key) == 0)
			return e;
	}
	return NULL;
}

static void on_removed(void *arg, const struct tlb_replica_row *row)
{
	removals++;
}

START_TEST(older_rows_change_nothing)
{
	tlb_replica_init(&r);
	put("a", 5, "five", true);
	put("a", 4, "four", false);
	put("a", 5, "again", false);
	ck_assert_str_eq(find("a")->row.value, "five");
	put("a", 7, NULL, true);
	put("a", 6, "six", false);
	ck_assert(find("a")->row.removed);
	put("a", 8, "eight", true);
	ck_assert(!find("a")->row.removed);
	ck_assert_int_eq(r.rows_version, 8);
	ck_assert_int_eq(r.tombstones, 0);
	tlb_replica_finish(&r);
}
END_TEST

START_TEST(listing_removes_what_it_lacks)
{
	tlb_replica_init(&r);
	removals = 0;
	put("stays", 3, "x", true);
	put("gone", 4, "x", true);
	put("newer", 12, "x", true);
	tlb_replica_begin_listing(&r);
	put("stays", 3, "x", false);
	put("added", 9, "x", true);
	tlb_replica_end_listing(&r, 10, 0, on_removed, NULL);
	ck_assert_int_eq(removals, 1);
	ck_assert(find("gone")->row.removed);
	ck_assert_int_eq(find("gone")->row.version, 10);
	ck_assert(!find("newer")->row.removed);
	ck_assert_int_eq(r.complete_version, 10);
	tlb_replica_finish(&r);
}
END_TEST

/* A row that came and went before a listing leaves no tombstone in it: another VM that still has
 * the row kept it for ever when it was sent the changes since then. */
START_TEST(changes_before_a_listing_are_not_passed_on_as_complete)
{
	tlb_replica_init(&r);
	removals = 0;
	tlb_replica_begin_listing(&r);
	put("a", 5, "x", true);
	tlb_replica_end_listing(&r, 50, 0, on_removed, NULL);
	ck_assert(!tlb_replica_covers(&r, 10));
	ck_assert(tlb_replica_covers(&r, 50));
	tlb_replica_begin_listing(&r);
	put("a", 5, "x", false);
	tlb_replica_end_listing(&r, 90, 0, on_removed, NULL);
	ck_assert(!tlb_replica_covers(&r, 70));
	ck_assert(tlb_replica_covers(&r, 90));
	put("b", 95, NULL, true);
	tlb_replica_set_complete(&r, 95);
	ck_assert(tlb_replica_covers(&r, 90));
	tlb_replica_finish(&r);
}
END_TEST

START_TEST(tombstones_are_bounded)
{
	char key[32];
	int i;

	tlb_replica_init(&r);
	for (i = 1; i <= TLB_REPLICA_TOMBSTONES_MAX + 10; i++) {
		snprintf(key, sizeof(key), "k%d", i);
		put(key, i, NULL, true);
	}
	ck_assert_int_eq(r.tombstones, TLB_REPLICA_TOMBSTONES_MAX);
	ck_assert_int_eq(r.forgotten_version, 10);
	ck_assert(!tlb_replica_covers(&r, 9));
	ck_assert(tlb_replica_covers(&r, 10));
	ck_assert(!tlb_replica_covers(&r, 0));
	tlb_replica_finish(&r);
}
END_TEST

START_TEST(era_orders_before_number)
{
	const int64_t former = tlb_stored_version(4, 90);
	const int64_t later = tlb_stored_version(5, 7);

	ck_assert_int_lt(former, later);
	ck_assert_int_eq(tlb_stored_era(later), 5);
	ck_assert_int_eq(tlb_stored_number(later), 7);
	ck_assert_int_eq(tlb_stored_version(0, 12), 12);
	tlb_replica_init(&r);
	put("a", former, "former", true);
	put("a", later, "later", true);
	put("a", former + 1, "former", false);
	ck_assert_str_eq(find("a")->row.value, "later");
	tlb_replica_finish(&r);
}
END_TEST

/* A version that does not fit was taken for the highest of its era, so that no later row counted.
 */
START_TEST(version_out_of_range_is_not_the_highest)
{
	const int64_t odd[] = {-1, INT64_MIN, INT64_MAX,
			       (INT64_C(1) << TLB_STORED_VERSION_BITS) + 9};
	size_t i;

	for (i = 0; i < sizeof(odd) / sizeof(odd[0]); i++) {
		struct tlb_stored_row row = {.version = odd[i]};
		struct tlb_stored_rows rows = {.version = odd[i], .count = 1, .rows = &row};

		tlb_stored_rows_set_era(&rows, 3);
		ck_assert_int_eq(rows.version, tlb_stored_version(3, 0));
		ck_assert_int_eq(row.version, tlb_stored_version(3, 0));
	}
}
END_TEST

START_TEST(listing_of_a_new_era_replaces_the_table)
{
	const int64_t former = tlb_stored_version(1, 0);
	const int64_t later = tlb_stored_version(2, 0);

	tlb_replica_init(&r);
	removals = 0;
	put("stays", former + 3, "x", true);
	put("lost", former + 40, "x", true);
	put("older", former + 41, "x", true);
	tlb_replica_set_complete(&r, former + 50);
	ck_assert(tlb_replica_covers(&r, former + 30));
	tlb_replica_begin_listing(&r);
	put("stays", later + 3, "x", false);
	put("older", later + 5, "y", true);
	tlb_replica_end_listing(&r, later + 8, 0, on_removed, NULL);
	ck_assert_int_eq(removals, 1);
	ck_assert(find("lost")->row.removed);
	ck_assert_int_eq(find("stays")->row.version, later + 3);
	ck_assert_str_eq(find("older")->row.value, "y");
	ck_assert_int_eq(r.complete_version, later + 8);
	ck_assert(!tlb_replica_covers(&r, former + 50));
	ck_assert(tlb_replica_covers(&r, later + 8));
	put("lost", former + 60, "x", false);
	tlb_replica_finish(&r);
}
END_TEST

static struct tlb_tables tables;
static struct tlb_rowstore store;

/* Handles a state whose sender knew its tables to be current. Returns whether this VM then takes
 * its own for current. */
static bool confirms(int64_t era, int64_t version)
{
	Toucan__TableState table = TOUCAN__TABLE_STATE__INIT;
	Toucan__TableState *list[] = {&table, &table};
	Toucan__VmState state = TOUCAN__VM_STATE__INIT;
	struct tlb_vm vm = {0};

	table.era = era;
	table.complete_version = version;
	state.tables = list;
	state.n_tables = TLB_TABLE_COUNT;
	tables.confirmed_at = 0;
	tlb_tables_on_state(&tables, &vm, &state);
	return tables.confirmed_at > 0;
}

/* A VM that heard only of VMs that did not know of the store's return, or of releases without eras,
 * took its tables for current and missed all changes. */
START_TEST(vm_of_an_earlier_era_confirms_nothing)
{
	int i;

	tlb_rowstore_init(&store, NULL, "");
	for (i = 0; i < TLB_TABLE_COUNT; i++) {
		tlb_replica_init(&tables.table[i].replica);
		tables.table[i].watcher.store = &store;
	}
	ck_assert(confirms(0, 90));
	for (i = 0; i < TLB_TABLE_COUNT; i++) {
		tables.table[i].listed = true;
		tlb_replica_set_complete(&tables.table[i].replica, tlb_stored_version(2, 50));
	}
	ck_assert(!confirms(0, 90));
	ck_assert(!confirms(1, 90));
	ck_assert(confirms(2, 40));
	ck_assert(confirms(3, 10));
}
END_TEST

/* One line of tests/tables/follow.txt. Ages are in ms; "-": not set. */
static void check_line(const char *line, int number)
{
	const tlb_time now = 1000 * TLB_SECOND;
	struct tlb_follow_input i = {.now = now};
	char behind[16];
	int known, listed, chosen, following, heard, age, attempt_in, until, start_in, expected;

	ck_assert_int_eq(sscanf(line, "%d %d %d %d %d %d %d %15s %d %d %d %d", &i.vms, &known,
				&listed, &chosen, &following, &heard, &age, behind, &attempt_in,
				&until, &start_in, &expected),
			 12);
	i.vms_known = known;
	i.start_deadline = now + start_in * TLB_MS;
	i.listed = listed;
	i.chosen = chosen;
	i.following = following;
	i.heard = heard;
	i.confirmed_at = now - age * TLB_MS;
	i.behind_since = strcmp(behind, "-") == 0 ? 0 : now - atoi(behind) * TLB_MS;
	i.attempt_at = now + attempt_in * TLB_MS;
	i.follow_until = now + until * TLB_MS;
	ck_assert_msg(tlb_tables_should_follow(&i) == expected, "line %d: %s", number, line);
}

START_TEST(large_value_is_compressed_until_it_changes)
{
	static char text[100000];
	struct tlb_replica_row *e;
	unsigned char *back;

	memset(text, 'r', sizeof(text) - 1);
	tlb_replica_init(&r);
	put("small", 1, "short", true);
	put("large", 2, text, true);
	ck_assert_ptr_null(tlb_replica_deflate((struct tlb_replica_row *)find("small")));
	e = (struct tlb_replica_row *)find("large");
	ck_assert_ptr_nonnull(tlb_replica_deflate(e));
	ck_assert_uint_lt(e->deflated_len, sizeof(text) / 10);
	back = tlb_inflate(e->deflated, e->deflated_len, sizeof(text) - 1);
	ck_assert_ptr_nonnull(back);
	ck_assert_mem_eq(back, text, sizeof(text) - 1);
	free(back);
	ck_assert_ptr_null(tlb_inflate(e->deflated, e->deflated_len, sizeof(text) - 2));
	ck_assert_ptr_null(tlb_inflate(e->deflated, e->deflated_len / 2, sizeof(text) - 1));
	text[0] = 'x';
	put("large", 3, text, true);
	tlb_replica_deflate(e);
	back = tlb_inflate(e->deflated, e->deflated_len, sizeof(text) - 1);
	ck_assert_ptr_nonnull(back);
	ck_assert_mem_eq(back, text, sizeof(text) - 1);
	free(back);
	put("large", 4, NULL, true);
	ck_assert_ptr_null(tlb_replica_deflate(e));
	tlb_replica_finish(&r);
}
END_TEST

START_TEST(who_follows_by_load_pattern)
{
	FILE *f = fopen("tests/tables/follow.txt", "r");
	char line[256];
	int number = 0;
	int checked = 0;

	ck_assert_ptr_nonnull(f);
	while (fgets(line, sizeof(line), f)) {
		number++;
		if (line[0] == '#')
			continue;
		check_line(line, number);
		checked++;
	}
	fclose(f);
	ck_assert_int_gt(checked, 10);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("tables");
	TCase *t = tcase_create("tables");
	SRunner *sr = srunner_create(s);
	int failed;

	tcase_add_test(t, older_rows_change_nothing);
	tcase_add_test(t, listing_removes_what_it_lacks);
	tcase_add_test(t, changes_before_a_listing_are_not_passed_on_as_complete);
	tcase_add_test(t, tombstones_are_bounded);
	tcase_add_test(t, era_orders_before_number);
	tcase_add_test(t, version_out_of_range_is_not_the_highest);
	tcase_add_test(t, listing_of_a_new_era_replaces_the_table);
	tcase_add_test(t, vm_of_an_earlier_era_confirms_nothing);
	tcase_add_test(t, large_value_is_compressed_until_it_changes);
	tcase_add_test(t, who_follows_by_load_pattern);
	suite_add_tcase(s, t);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed > 0;
}
