/*
 * Selection of persistent links in simulated fleets with fixed seeds: the graph of links is
 * connected, also right after the loss of a zone, no VM has too many links, and the halves of a
 * fleet reconnect after a partition.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mesh.h"
#include "session.h"

enum { VMS_MAX = 410, ZONES = 6, REGIONS = 2, ROUNDS = 3, RENEWALS = 10, EXPECTED_MEAN_LINKS = 22 };

struct fleet {
	int count;
	bool needed[VMS_MAX][VMS_MAX];
	bool chosen[VMS_MAX][VMS_MAX];
	bool cut[VMS_MAX][VMS_MAX]; /* no link can be opened */
	bool lost[VMS_MAX];
	uint64_t random;
};

static struct fleet fleet;

static uint32_t next_random(void *arg, uint32_t bound)
{
	struct fleet *f = arg;

	f->random = f->random * 6364136223846793005ULL + 1442695040888963407ULL;
	return (uint32_t)((f->random >> 33) % bound);
}

static int region_of(int vm)
{
	return vm % ZONES / (ZONES / REGIONS);
}

/* Requires links between a VM and its witnesses, which are in the same region. The small fleets
 * have a single region. */
static void choose_witnesses(struct fleet *f, int self)
{
	struct tlb_witness_candidate candidate[VMS_MAX];
	struct tlb_vm_name out[TLB_WITNESS_MAX];
	char id[TLB_ID_LEN];
	int count = 0;
	int n;
	int i;

	for (i = 0; i < f->count; i++) {
		if (i == self || (f->count == VMS_MAX && region_of(i) != region_of(self)))
			continue;
		memset(&candidate[count], 0, sizeof(candidate[count]));
		snprintf(id, sizeof(id), "%d", i);
		tlb_vm_name_set(&candidate[count].name, id, 1);
		snprintf(candidate[count++].zone, TLB_ID_LEN, "z%d", i % ZONES);
	}
	snprintf(id, sizeof(id), "%d", self);
	n = tlb_session_choose_witnesses(id, candidate, count, out);
	for (i = 0; i < n; i++) {
		f->needed[self][atoi(out[i].id)] = true;
		f->needed[atoi(out[i].id)][self] = true;
	}
}

static void choose_links(struct fleet *f, int self, bool renew)
{
	struct tlb_mesh_vm vms[VMS_MAX];
	int ids[VMS_MAX];
	int count = 0;
	int i;

	for (i = 0; i < f->count; i++) {
		if (i == self || f->lost[i])
			continue;
		ids[count] = i;
		vms[count].required = f->needed[self][i];
		vms[count].random_link = f->chosen[self][i];
		vms[count].remote_persistent = f->chosen[i][self];
		vms[count++].unreachable = f->cut[self][i];
	}
	tlb_mesh_select(vms, count, renew, next_random, f);
	for (i = 0; i < count; i++) {
		ck_assert_int_eq(vms[i].persistent, vms[i].required || vms[i].random_link);
		f->chosen[self][ids[i]] = vms[i].random_link;
	}
}

static void start(int count, uint64_t seed)
{
	int round;
	int i;

	memset(&fleet, 0, sizeof(fleet));
	fleet.count = count;
	fleet.random = seed;
	for (i = 0; i < count; i++)
		choose_witnesses(&fleet, i);
	for (round = 0; round < ROUNDS; round++)
		for (i = 0; i < count; i++)
			choose_links(&fleet, i, false);
}

static bool is_linked(const struct fleet *f, int a, int b)
{
	return !f->cut[a][b] && (f->needed[a][b] || f->chosen[a][b] || f->chosen[b][a]);
}

/* Whether every VM that is not lost can be reached from every other one. */
static bool is_connected(const struct fleet *f)
{
	bool reached[VMS_MAX] = {false};
	int queue[VMS_MAX];
	int head = 0;
	int tail = 0;
	int live = 0;
	int i;

	for (i = 0; i < f->count; i++) {
		live += !f->lost[i];
		if (!f->lost[i] && tail == 0) {
			reached[i] = true;
			queue[tail++] = i;
		}
	}
	for (; head < tail; head++)
		for (i = 0; i < f->count; i++)
			if (!f->lost[i] && !reached[i] && is_linked(f, queue[head], i)) {
				reached[i] = true;
				queue[tail++] = i;
			}
	return tail == live;
}

static void lose_zone(struct fleet *f, int zone)
{
	int i;

	for (i = 0; i < f->count; i++)
		f->lost[i] = i % ZONES == zone;
}

static const struct {
	int count;
	int seeds;
} sizes[] = {{8, 200}, {48, 50}, {410, 4}};

/* Guards against gossip that never reaches some VMs, also before the links to a lost zone are
 * replaced. */
START_TEST(graph_is_connected)
{
	int seed;
	int zone;

	for (seed = 1; seed <= sizes[_i].seeds; seed++) {
		start(sizes[_i].count, seed);
		ck_assert_msg(is_connected(&fleet), "size %d seed %d", sizes[_i].count, seed);
		for (zone = 0; zone < ZONES; zone++) {
			lose_zone(&fleet, zone);
			ck_assert_msg(is_connected(&fleet), "size %d seed %d without zone %d",
				      sizes[_i].count, seed, zone);
		}
	}
}
END_TEST

/* Guards against a number of links per VM that grows with the fleet. docs/CAPACITY.md assumes 22
 * on average: 7 to witnesses, 7 to VMs that it is a witness for, 4 random ones and 4 that others
 * selected. No VM may have more than twice as many. */
START_TEST(degree_is_bounded)
{
	int links = 0;
	int max_degree = 0;
	int degree;
	int i;
	int j;

	start(sizes[_i].count, 1);
	for (i = 0; i < fleet.count; i++) {
		degree = 0;
		for (j = 0; j < fleet.count; j++)
			degree += is_linked(&fleet, i, j);
		links += degree;
		max_degree = degree > max_degree ? degree : max_degree;
	}
	printf("%d VMs: %.1f links each, at most %d\n", fleet.count, (double)links / fleet.count,
	       max_degree);
	ck_assert_int_le(links, EXPECTED_MEAN_LINKS * fleet.count);
	ck_assert_int_le(max_degree, 2 * EXPECTED_MEAN_LINKS);
}
END_TEST

static int random_links(const struct fleet *f, int vm)
{
	int n = 0;
	int i;

	for (i = 0; i < f->count; i++)
		n += is_linked(f, vm, i) && !f->needed[vm][i];
	return n;
}

/* Guards against a VM that counts links to unreachable VMs among its random links. */
START_TEST(unreached_links_are_replaced)
{
	int i;

	start(48, 1);
	ck_assert_int_ge(random_links(&fleet, 0), TLB_GOSSIP_LINKS);
	for (i = 0; i < 48; i++)
		if (fleet.chosen[0][i] || fleet.chosen[i][0])
			fleet.cut[0][i] = fleet.cut[i][0] = fleet.lost[i] = true;
	ck_assert_int_eq(random_links(&fleet, 0), 0);
	choose_links(&fleet, 0, false);
	ck_assert_int_ge(random_links(&fleet, 0), TLB_GOSSIP_LINKS);
}
END_TEST

/* Guards against halves of a fleet that stay disconnected after a partition, because each VM has
 * all its random links within its own half. */
START_TEST(halves_reconnect)
{
	int round;
	int i;
	int j;

	start(48, 1);
	memset(fleet.needed, 0, sizeof(fleet.needed));
	for (i = 0; i < 48; i++)
		for (j = 0; j < 48; j++)
			fleet.cut[i][j] = (i < 24) != (j < 24);
	for (round = 0; round < ROUNDS; round++)
		for (i = 0; i < 48; i++)
			choose_links(&fleet, i, false);
	ck_assert(!is_connected(&fleet));
	memset(fleet.cut, 0, sizeof(fleet.cut));
	for (round = 0; round < RENEWALS && !is_connected(&fleet); round++)
		for (i = 0; i < 48; i++)
			choose_links(&fleet, i, true);
	ck_assert(is_connected(&fleet));
}
END_TEST

int main(void)
{
	Suite *s = suite_create("mesh");
	TCase *tc = tcase_create("links");
	SRunner *sr = srunner_create(s);
	int failed;

	tcase_set_timeout(tc, 60);
	tcase_add_loop_test(tc, graph_is_connected, 0, sizeof(sizes) / sizeof(sizes[0]));
	tcase_add_loop_test(tc, degree_is_bounded, 0, sizeof(sizes) / sizeof(sizes[0]));
	tcase_add_test(tc, unreached_links_are_replaced);
	tcase_add_test(tc, halves_reconnect);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
