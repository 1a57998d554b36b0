/*
 * The list of VMs behind a users' platform. Learning a fleet of hundreds of VMs took seconds of
 * processor time when every VM that was added ranked all pairs anew, longer than the time between a
 * start and the first request on a small VM. And all VMs must keep the same list, because the
 * owners of accounts and the followers of tables are ranked from it.
 */
#include <apr_general.h>
#include <check.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "edgeboard.h"

enum { FLEET = 410, SMALL_FLEET = 6 };
/* A VM with an eighth of a core has 14 s until traffic starts and reads its tables as well. */
static const double LEARN_CPU_SECONDS_MAX = 0.25;

struct fixture {
	struct tlb_settings settings;
	struct tlb_loop loop;
	struct tlb_http http;
	struct tlb_rowstore store;
	struct tlb_edge_board board;
};

static struct fixture fx;

static void fill_state(void *arg, Toucan__VmState *state)
{
}

static void on_state(void *arg, struct tlb_vm *vm, const Toucan__VmState *state)
{
}

static void setup(const char *self)
{
	memset(&fx, 0, sizeof(fx));
	ck_assert_int_eq(tlb_loop_init(&fx.loop), APR_SUCCESS);
	tlb_http_init(&fx.http, &fx.loop);
	snprintf(fx.settings.vm_id, sizeof(fx.settings.vm_id), "%s", self);
	tlb_rowstore_init(&fx.store, &fx.http, "127.0.0.1:1");
	fx.board.settings = &fx.settings;
	fx.board.loop = &fx.loop;
	fx.board.http = &fx.http;
	tlb_random_init(&fx.board.random, 1);
	fx.board.routing = tlb_routing_new();
	tlb_quotas_init(&fx.board.quotas);
	tlb_vms_init(&fx.board.vms, &fx.board, &fx.store);
	fx.board.vms.handlers.fill_state = fill_state;
	fx.board.vms.handlers.on_state = on_state;
}

static void teardown(void)
{
	tlb_vms_finish(&fx.board.vms);
	tlb_quotas_finish(&fx.board.quotas);
	tlb_routing_release(fx.board.routing);
	tlb_http_finish(&fx.http);
	tlb_loop_finish(&fx.loop);
}

/* Adds the VMs from "vm-0" on, as the rows of the store's table do. */
static void learn(int count)
{
	const struct tlb_vm_rows_handlers *h = &fx.board.vms.rows.handlers;
	char id[TLB_ID_LEN];
	char addr[TLB_ADDR_LEN];
	int i;

	for (i = 0; i < count; i++) {
		snprintf(id, sizeof(id), "vm-%d", i);
		snprintf(addr, sizeof(addr), "10.%d.%d.1:7500", i / 250, i % 250);
		h->on_vm(h->arg, id, addr);
	}
}

/* Runs the report timer, which removes VMs that have expired. */
static void report(void)
{
	fx.board.vms.report_timer.fn(&fx.board.vms);
}

/* Delivers a report of vm-1, with the state of another VM if that is not NULL. */
static void receive(uint64_t incarnation, bool leaving, Toucan__VmState *other)
{
	struct tlb_peers *p = &fx.board.vms.peers;
	Toucan__Envelope e = TOUCAN__ENVELOPE__INIT;
	Toucan__FleetState fleet = TOUCAN__FLEET_STATE__INIT;
	Toucan__VmState own = TOUCAN__VM_STATE__INIT;
	Toucan__VmState *states[2] = {&own, other};

	own.id = "vm-1";
	own.addr = "10.0.1.1:7500";
	own.incarnation = incarnation;
	own.leaving = leaving;
	fleet.vms = states;
	fleet.n_vms = other ? 2 : 1;
	e.body_case = TOUCAN__ENVELOPE__BODY_FLEET_STATE;
	e.fleet_state = &fleet;
	p->handlers.on_message(p->handlers.arg, tlb_peers_find(p, "vm-1"), &e);
}

static struct tlb_vm *vm(const char *id)
{
	return tlb_vms_find(&fx.board.vms, id);
}

static int neighbours(void)
{
	const struct tlb_vm *m;
	int n = 0;

	APR_RING_FOREACH (m, &fx.board.vms.all, tlb_vm, link) {
		n += m->neighbour;
		ck_assert(tlb_peers_find(&fx.board.vms.peers, m->id)->persistent == m->neighbour);
	}
	return n;
}

START_TEST(a_large_fleet_is_learned_in_little_time)
{
	clock_t started;
	double cpu;

	setup("vm-0");
	started = clock();
	learn(FLEET);
	cpu = (double)(clock() - started) / CLOCKS_PER_SEC;
	ck_assert_int_eq(tlb_vms_count(&fx.board.vms), FLEET);
	ck_assert_msg(cpu < LEARN_CPU_SECONDS_MAX, "%.2f s", cpu);
	teardown();
}
END_TEST

START_TEST(neighbours_have_the_lowest_weights)
{
	const struct tlb_vm *m;
	uint64_t highest_chosen = 0;
	uint64_t lowest_other = UINT64_MAX;

	setup("vm-7");
	learn(FLEET);
	ck_assert_int_eq(neighbours(), TLB_VMS_NEIGHBOURS);
	APR_RING_FOREACH (m, &fx.board.vms.all, tlb_vm, link) {
		if (m->neighbour && m->pair_weight > highest_chosen)
			highest_chosen = m->pair_weight;
		if (!m->neighbour && m->pair_weight < lowest_other)
			lowest_other = m->pair_weight;
	}
	ck_assert(highest_chosen < lowest_other);
	teardown();
}
END_TEST

START_TEST(all_vms_of_a_small_fleet_are_neighbours)
{
	setup("vm-0");
	learn(SMALL_FLEET);
	ck_assert_int_eq(neighbours(), SMALL_FLEET - 1);
	teardown();
}
END_TEST

/* Only the neighbours of a VM hear from it. When VMs that were not mentioned for 30 s were removed,
 * a large fleet forgot most of itself, and every VM ranked other VMs. */
START_TEST(silent_vms_that_are_no_neighbours_stay)
{
	struct tlb_vm *m;

	setup("vm-0");
	learn(FLEET);
	APR_RING_FOREACH (m, &fx.board.vms.all, tlb_vm, link) {
		m->last_seen_at -= 2 * TLB_VMS_EXPIRY;
	}
	report();
	ck_assert_int_eq(tlb_vms_count(&fx.board.vms), FLEET - TLB_VMS_NEIGHBOURS);
	report();
	report();
	ck_assert_int_eq(tlb_vms_count(&fx.board.vms), FLEET - TLB_VMS_NEIGHBOURS);
	teardown();
}
END_TEST

/* Membership must change at VMs that keep no link to the VM that joins, leaves or dies. */
START_TEST(changes_of_the_membership_are_passed_on)
{
	Toucan__VmState other = TOUCAN__VM_STATE__INIT;

	setup("vm-0");
	learn(20);
	other.id = "vm-new";
	other.addr = "10.0.9.1:7500";
	other.incarnation = 5;
	receive(1, false, &other);
	ck_assert_ptr_nonnull(vm("vm-new"));
	ck_assert(vm("vm-new")->announce);
	report();
	ck_assert_msg(vm("vm-new")->announce, "kept until a link is up");
	vm("vm-new")->announce = false;
	receive(1, false, &other);
	ck_assert_msg(!vm("vm-new")->announce, "a known VM is not passed on again");
	other.leaving = true;
	receive(1, false, &other);
	ck_assert(vm("vm-new")->leaving && vm("vm-new")->announce);
	report();
	ck_assert(vm("vm-new")->gone);
	vm("vm-new")->announce = false;
	report();
	ck_assert_ptr_null(vm("vm-new"));
	other.leaving = false;
	other.incarnation = 6;
	receive(1, false, &other);
	ck_assert_ptr_nonnull(vm("vm-new"));
	other.gone = true;
	other.incarnation = 5;
	receive(1, false, &other);
	ck_assert_msg(!vm("vm-new")->gone, "news of an earlier incarnation");
	other.incarnation = 6;
	receive(1, false, &other);
	ck_assert(vm("vm-new")->gone && vm("vm-new")->announce);
	other.id = "vm-1";
	other.incarnation = 1;
	receive(1, false, &other);
	ck_assert_msg(!vm("vm-1")->gone, "a VM that reports itself");
	teardown();
}
END_TEST

/* A VM that was stopped and started again must be ranked again by VMs without a link to it. */
START_TEST(restarted_vm_is_announced)
{
	setup("vm-0");
	learn(20);
	receive(1, true, NULL);
	ck_assert(vm("vm-1")->leaving && vm("vm-1")->announce);
	vm("vm-1")->announce = false;
	receive(2, false, NULL);
	ck_assert(!vm("vm-1")->leaving && vm("vm-1")->announce);
	teardown();
}
END_TEST

/* Delivers a report of vm-1 that says whether it keeps its link to this VM. */
static void receive_keeping(bool keeps)
{
	struct tlb_peers *p = &fx.board.vms.peers;
	Toucan__Envelope e = TOUCAN__ENVELOPE__INIT;
	Toucan__FleetState fleet = TOUCAN__FLEET_STATE__INIT;
	Toucan__VmState own = TOUCAN__VM_STATE__INIT;
	Toucan__VmState *states[1] = {&own};

	own.id = "vm-1";
	own.addr = "10.0.1.1:7500";
	own.incarnation = 1;
	own.keeps_link = keeps;
	fleet.vms = states;
	fleet.n_vms = 1;
	e.body_case = TOUCAN__ENVELOPE__BODY_FLEET_STATE;
	e.fleet_state = &fleet;
	p->handlers.on_message(p->handlers.arg, tlb_peers_find(p, "vm-1"), &e);
}

/* Reports go to both ends of a kept link. A VM with hundreds of links opened on demand reported to
 * the first 32 of them, and its neighbours took it for lost every three seconds. */
START_TEST(reports_go_to_vms_that_keep_the_link)
{
	setup("vm-0");
	learn(FLEET);
	receive_keeping(true);
	ck_assert(vm("vm-1")->keeps_link);
	receive_keeping(false);
	ck_assert(!vm("vm-1")->keeps_link);
	receive_keeping(true);
	vm("vm-1")->last_report_at -= TLB_VMS_EXPIRY / 2;
	report();
	ck_assert_msg(!vm("vm-1")->keeps_link, "a VM that has stopped reporting");
	teardown();
}
END_TEST

static struct tlb_vm *leaving_vm(void)
{
	struct tlb_vm *m;

	APR_RING_FOREACH (m, &fx.board.vms.all, tlb_vm, link) {
		if (m->leaving)
			return m;
	}
	ck_abort_msg("no VM is leaving");
	return NULL;
}

/* VMs that are leaving go on serving requests. When they were forgotten at once, the last VMs of a
 * fleet that was stopped took themselves for a small one. */
START_TEST(leaving_vms_are_known_until_they_are_gone)
{
	Toucan__VmState other = TOUCAN__VM_STATE__INIT;
	char ids[3][TLB_ID_LEN];
	char first[TLB_ID_LEN];
	uint64_t key = tlb_vms_hash("some account");
	struct tlb_vm *m;
	int i;
	int k;

	setup("vm-0");
	learn(20);
	receive(1, false, NULL);
	tlb_vms_rank(&fx.board.vms, key, tlb_clock_now(), ids, 1);
	strcpy(first, ids[0]);
	APR_RING_FOREACH (m, &fx.board.vms.all, tlb_vm, link) {
		if (m->neighbour || strcmp(m->id, "vm-1") == 0)
			continue;
		other.id = m->id;
		other.addr = m->addr;
		other.incarnation = 5;
		other.leaving = true;
		receive(1, false, &other);
	}
	i = tlb_vms_count(&fx.board.vms);
	ck_assert_int_lt(i, 20);
	ck_assert_int_eq(tlb_vms_recent_count(&fx.board.vms), 20);
	report();
	ck_assert_int_eq(tlb_vms_rank(&fx.board.vms, key, tlb_clock_now(), ids, 3), 3);
	for (k = 0; k < 3; k++)
		ck_assert(!vm(ids[k]) || !vm(ids[k])->leaving);
	ck_assert_int_eq(tlb_vms_rank_all(&fx.board.vms, key, tlb_clock_now(), ids, 3), 3);
	ck_assert_msg(strcmp(ids[0], first) == 0, "known to be leaving or not, all rank alike");
	m = leaving_vm();
	ck_assert(!m->gone);
	m->announce = false;
	other.id = m->id;
	other.addr = m->addr;
	other.incarnation = 6;
	other.leaving = false;
	receive(1, false, &other);
	ck_assert_msg(!m->leaving && m->announce, "it has started again");
	fx.board.vms.recent_until = tlb_clock_now();
	ck_assert_int_eq(tlb_vms_recent_count(&fx.board.vms), i + 1);
	m = leaving_vm();
	other.id = m->id;
	other.addr = m->addr;
	other.incarnation = 5;
	other.gone = true;
	receive(1, false, &other);
	ck_assert(m->gone);
	teardown();
}
END_TEST

/* All VMs must rank the same VM first, and leave out one that does not answer or is leaving. */
START_TEST(ranking_is_the_same_everywhere)
{
	char first[3][TLB_ID_LEN];
	char ids[3][TLB_ID_LEN];
	uint64_t key = tlb_vms_hash("some account");
	tlb_time now = tlb_clock_now();
	char self[TLB_ID_LEN];
	int i;

	for (i = 0; i < 20; i++) {
		snprintf(self, sizeof(self), "vm-%d", i);
		setup(self);
		learn(20);
		ck_assert_int_eq(tlb_vms_rank(&fx.board.vms, key, now, i ? ids : first, 3), 3);
		if (i)
			ck_assert_mem_eq(first[0], ids[0], strlen(first[0]) + 1);
		teardown();
	}
	setup("vm-of-another-rank");
	learn(20);
	tlb_vms_rank(&fx.board.vms, key, now, first, 3);
	tlb_vms_avoid(&fx.board.vms, first[0], now + 1);
	tlb_vms_rank(&fx.board.vms, key, now, ids, 3);
	ck_assert_str_eq(ids[0], first[1]);
	vm(first[1])->leaving = true;
	tlb_vms_rank(&fx.board.vms, key, now, ids, 3);
	ck_assert_str_eq(ids[0], first[2]);
	teardown();
}
END_TEST

int main(void)
{
	Suite *s = suite_create("vms");
	TCase *t = tcase_create("fleet");
	SRunner *r = srunner_create(s);
	int failed;

	if (apr_initialize() != APR_SUCCESS || sodium_init() < 0)
		return 1;
	tcase_set_timeout(t, 60);
	tcase_add_test(t, a_large_fleet_is_learned_in_little_time);
	tcase_add_test(t, neighbours_have_the_lowest_weights);
	tcase_add_test(t, all_vms_of_a_small_fleet_are_neighbours);
	tcase_add_test(t, silent_vms_that_are_no_neighbours_stay);
	tcase_add_test(t, leaving_vms_are_known_until_they_are_gone);
	tcase_add_test(t, changes_of_the_membership_are_passed_on);
	tcase_add_test(t, restarted_vm_is_announced);
	tcase_add_test(t, reports_go_to_vms_that_keep_the_link);
	tcase_add_test(t, ranking_is_the_same_everywhere);
	suite_add_tcase(s, t);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed > 0;
}
