/* The shard map: takeover, rebalancing, VMs that leave, and the takeover rights of standbys. */
#include <check.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "shard.h"

enum { FLEET_MAX = 8 };

static struct tlb_shard_vm live[FLEET_MAX];

static void setup(void)
{
	char id[2] = "a";
	int i;

	for (i = 0; i < FLEET_MAX; i++, id[0]++) {
		tlb_vm_name_set(&live[i].name, id, 1);
		live[i].zone[0] = (char)('0' + i % 4);
	}
}

static int owned_count(const struct tlb_shard_map *m, int vm)
{
	int n = 0;
	int i;

	for (i = 0; i < TLB_SHARD_COUNT; i++)
		n += tlb_vm_name_equal(&m->entry[i].owner, &live[vm].name);
	return n;
}

/* Rebalances on every VM in turn until the map no longer changes; fails after 10 rounds. */
static void rebalance(struct tlb_shard_map *m, const struct tlb_fleet *f)
{
	int rounds = 0;
	int changed = 1;
	int i;

	while (changed) {
		ck_assert_int_lt(rounds++, 10);
		changed = 0;
		for (i = 0; i < f->live_count; i++)
			changed += tlb_shard_rebalance(m, f, &f->live[i].name);
	}
}

/* Guards against uneven maps, missing standbys, standbys that are the owner itself, and moves that
 * never end, while a fleet grows by one VM at a time. */
START_TEST(growing_fleet_is_balanced)
{
	struct tlb_fleet f = {.live = live};
	struct tlb_shard_map m;
	int i;
	int s;

	tlb_shard_create(&m, &live[0].name);
	for (f.live_count = 1; f.live_count <= FLEET_MAX; f.live_count++) {
		rebalance(&m, &f);
		for (i = 0; i < f.live_count; i++) {
			ck_assert_int_ge(owned_count(&m, i), TLB_SHARD_COUNT / f.live_count);
			ck_assert_int_le(owned_count(&m, i), TLB_SHARD_COUNT / f.live_count + 1);
		}
		for (s = 0; s < TLB_SHARD_COUNT && f.live_count > 1; s++) {
			ck_assert(m.entry[s].standby.id[0]);
			ck_assert(!tlb_vm_name_equal(&m.entry[s].standby, &m.entry[s].owner));
		}
	}
}
END_TEST

static void grow(struct tlb_shard_map *m, struct tlb_fleet *f, int count)
{
	f->live = live;
	f->live_count = count;
	tlb_shard_create(m, &live[0].name);
	rebalance(m, f);
}

/* Guards against a fence that moves a shard from its standby that may have taken it over, and
 * against a shard that stays with a VM that has ended. Of 8 VMs, count VMs from first on fail at
 * once. */
START_TEST(ended_vms_are_replaced)
{
	struct tlb_vm_name ended[FLEET_MAX];
	struct tlb_shard_map before;
	struct tlb_shard_map m;
	struct tlb_fleet f = {0};
	static const struct {
		int first;
		int count;
	} cases[] = {{0, 1}, {3, 1}, {2, 2}, {0, 4}, {1, 7}};
	size_t c;
	int i;

	for (c = 0; c < sizeof(cases) / sizeof(cases[0]); c++) {
		setup();
		f.ended_count = 0;
		grow(&m, &f, FLEET_MAX);
		before = m;
		for (i = 0; i < cases[c].count; i++)
			ended[i] = live[cases[c].first + i].name;
		memmove(&live[cases[c].first], &live[cases[c].first + cases[c].count],
			(FLEET_MAX - cases[c].first - cases[c].count) * sizeof(live[0]));
		f.live_count = FLEET_MAX - cases[c].count;
		f.ended = ended;
		f.ended_count = cases[c].count;
		ck_assert_int_gt(tlb_shard_replace_ended(&m, &f), 0);
		for (i = 0; i < TLB_SHARD_COUNT; i++) {
			ck_assert(!tlb_fleet_ended(&f, &m.entry[i].owner));
			ck_assert(!tlb_fleet_ended(&f, &m.entry[i].standby));
			/* A shard that a standby may have taken over on the fence stays with it. */
			if (tlb_shard_effective_owner(&before, i, &f))
				ck_assert(
					tlb_vm_name_equal(tlb_shard_effective_owner(&before, i, &f),
							  &m.entry[i].owner));
		}
		ck_assert_int_eq(tlb_shard_replace_ended(&m, &f), 0);
	}
}
END_TEST

/* Guards against a takeover by a VM that is not the standby, and by a standby that has released its
 * right. */
START_TEST(takeover_on_fence_alone)
{
	struct tlb_shard_release none = {0};
	struct tlb_shard_release r = {0};
	struct tlb_shard_map m;
	struct tlb_fleet f = {0};
	tlb_shard_set all = 0;
	tlb_shard_set set;
	int i;

	grow(&m, &f, 4);
	m.version = 5;
	f.ended = &live[0].name;
	f.ended_count = 1;
	for (i = 1; i < 4; i++) {
		set = tlb_shard_owned_set(&m, &f, &live[i].name, &none);
		ck_assert_uint_eq(all & set, 0);
		all |= set;
	}
	ck_assert_uint_eq(all, ~(tlb_shard_set)0);

	set = tlb_shard_owned_set(&m, &f, &live[1].name, &none);
	tlb_shard_release(&r, &m, ~(tlb_shard_set)0, 5);
	/* A later release for another write does not restore any of these rights. */
	tlb_shard_release(&r, &m, 0, 7);
	ck_assert_int_eq(__builtin_popcountll(tlb_shard_owned_set(&m, &f, &live[1].name, &r)),
			 owned_count(&m, 1));
	ck_assert_uint_ne(set, tlb_shard_owned_set(&m, &f, &live[1].name, &r));
	/* A newer map restores the rights; a release for an older map has no effect. */
	m.version = 8;
	tlb_shard_release(&r, &m, ~(tlb_shard_set)0, 4);
	ck_assert_uint_eq(tlb_shard_owned_set(&m, &f, &live[1].name, &r), set);
}
END_TEST

/* Guards against a write after which a former standby still has its right to take over. Entry 0 has
 * owner a and standby b before the write; the cases list owner and standby after it, and whether b
 * must release its right and whether a transfers the shard. */
START_TEST(required_releases)
{
	static const struct {
		int owner;
		int standby;
		bool must_release;
		bool transferred;
	} cases[] = {
		{0, 1, false, false}, {0, 3, true, false}, {1, 0, false, true},
		{3, 1, true, true},   {3, 0, true, true},
	};
	struct tlb_shard_map before;
	struct tlb_shard_map after;
	size_t c;

	for (c = 0; c < sizeof(cases) / sizeof(cases[0]); c++) {
		tlb_shard_create(&before, &live[7].name);
		before.entry[0].owner = live[0].name;
		before.entry[0].standby = live[1].name;
		after = before;
		after.entry[0].owner = live[cases[c].owner].name;
		after.entry[0].standby = live[cases[c].standby].name;
		ck_assert(tlb_shard_needs_release(&before, &after, &live[0].name, &live[1].name) ==
			  cases[c].must_release);
		ck_assert(tlb_shard_transferred(&before, &after, &live[0].name,
						&live[cases[c].owner].name) ==
			  cases[c].transferred);
	}
}
END_TEST

/* Guards against a map that still names a VM that has left, and against shards of that VM that are
 * not moved to their standbys. */
START_TEST(leaving_vm_moves_shards_to_standbys)
{
	struct tlb_shard_map before;
	struct tlb_shard_map m;
	struct tlb_fleet f = {0};
	int i;

	grow(&m, &f, 5);
	before = m;
	f.live_count = 4;
	tlb_shard_drain(&m, &f, &live[4].name);
	for (i = 0; i < TLB_SHARD_COUNT; i++) {
		ck_assert(!tlb_vm_name_equal(&m.entry[i].owner, &live[4].name));
		ck_assert(!tlb_vm_name_equal(&m.entry[i].standby, &live[4].name));
		if (tlb_vm_name_equal(&before.entry[i].owner, &live[4].name))
			ck_assert(tlb_vm_name_equal(&m.entry[i].owner, &before.entry[i].standby));
		else
			ck_assert(tlb_vm_name_equal(&m.entry[i].owner, &before.entry[i].owner));
	}
}
END_TEST

/* Guards against a map that changes when it is written to JSON and parsed, and against a malformed
 * map that is accepted. */
START_TEST(json_round_trip)
{
	static const char *const malformed[] = {
		"{}",
		"[]",
		"{\"ticket\":\"1\",\"vms\":[],\"owner\":[],\"standby\":[]}",
		"{\"ticket\":1,\"vms\":[[\"a\",\"1\"]]}",
	};
	struct tlb_shard_map m;
	struct tlb_shard_map read;
	struct tlb_fleet f = {0};
	json_t *value;
	size_t i;

	grow(&m, &f, FLEET_MAX);
	m.version = 9;
	m.write_id = UINT64_C(0xfedcba9876543210);
	tlb_shard_map_begin_write(&m);
	memset(&m.entry[3].standby, 0, sizeof(m.entry[3].standby));
	value = tlb_shard_map_json(&m);
	ck_assert(tlb_shard_map_parse(&read, 9, value));
	ck_assert_mem_eq(&m, &read, sizeof(m));
	json_array_set_new(json_object_get(value, "owner"), 0, json_integer(99));
	ck_assert(!tlb_shard_map_parse(&read, 9, value));
	json_decref(value);
	value = tlb_shard_map_json(&m);
	json_array_set_new(json_object_get(value, "former_tickets"), 0, json_integer(7));
	ck_assert(!tlb_shard_map_parse(&read, 9, value));
	json_object_del(value, "former_tickets");
	ck_assert(tlb_shard_map_parse(&read, 9, value));
	json_decref(value);
	for (i = 0; i < sizeof(malformed) / sizeof(malformed[0]); i++) {
		value = json_loads(malformed[i], 0, NULL);
		ck_assert(!tlb_shard_map_parse(&read, 9, value));
		json_decref(value);
	}
}
END_TEST

/* Guards against a map that no longer shows an earlier write that it follows, or that shows one
 * that was never made. */
START_TEST(map_includes_former_writes)
{
	struct tlb_shard_map m = {0};
	uint64_t first;
	int i;

	ck_assert(!tlb_shard_map_includes(&m, 0));
	tlb_shard_map_begin_write(&m);
	first = m.write_id;
	for (i = 0; i < TLB_SHARD_WRITES_KEPT; i++) {
		tlb_shard_map_begin_write(&m);
		ck_assert_uint_ne(m.write_id, first);
		ck_assert(tlb_shard_map_includes(&m, first));
		ck_assert(tlb_shard_map_includes(&m, m.write_id));
		ck_assert(!tlb_shard_map_includes(&m, m.write_id + 1));
		ck_assert(!tlb_shard_map_includes(&m, 0));
	}
	tlb_shard_map_begin_write(&m);
	ck_assert(!tlb_shard_map_includes(&m, first));
}
END_TEST

int main(void)
{
	Suite *s = suite_create("shard");
	TCase *tc = tcase_create("shard");
	SRunner *sr = srunner_create(s);
	int failed;

	if (sodium_init() < 0)
		return EXIT_FAILURE;
	tcase_add_checked_fixture(tc, setup, NULL);
	tcase_add_test(tc, growing_fleet_is_balanced);
	tcase_add_test(tc, ended_vms_are_replaced);
	tcase_add_test(tc, takeover_on_fence_alone);
	tcase_add_test(tc, required_releases);
	tcase_add_test(tc, leaving_vm_moves_shards_to_standbys);
	tcase_add_test(tc, json_round_trip);
	tcase_add_test(tc, map_includes_former_writes);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
