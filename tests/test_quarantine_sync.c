/*
 * Evidence against prompt parts, exchanged over real links between VMs of one process while the
 * store is away. Guards against a verdict that some VMs never reach, because each saw only one of
 * the crashes, has just started, or missed the answer that ended it; and against traffic to a whole
 * large fleet for every unrelated crash.
 */
#include <apr_general.h>
#include <check.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "edgeboard.h"

enum { VMS_MAX = 40, A = 0xa, D = 0xd, ACCOUNT = 7 };
#define LINK_TIME (700 * TLB_MS)
/* VMs count as in touch this long after a start or a disruption, and must then know. */
#define CONTACT_TIME (3 * TLB_SECOND)
static const char secret[] = "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f";

struct node {
	struct tlb_settings settings;
	struct tlb_edge_board board;
};

static struct tlb_loop loop;
static struct tlb_http http;
static struct tlb_rowstore store;
static struct node nodes[VMS_MAX];
static int vms;
static struct tlb_timer stop_timer;

static void fill_state(void *arg, Toucan__VmState *state)
{
	struct node *n = arg;

	tlb_quarantine_sync_fill_state(&n->board.quarantine_sync, state);
}

static void on_state(void *arg, struct tlb_vm *vm, const Toucan__VmState *state)
{
	struct node *n = arg;

	tlb_quarantine_sync_on_state(&n->board.quarantine_sync, vm, state);
}

static void on_suspect_parts(void *arg, const Toucan__SuspectParts *msg)
{
	struct node *n = arg;

	tlb_quarantine_sync_on_message(&n->board.quarantine_sync, msg);
}

static void start_node(int number)
{
	struct node *n = &nodes[number];
	struct tlb_edge_board *b = &n->board;

	memset(n, 0, sizeof(*n));
	snprintf(n->settings.vm_id, sizeof(n->settings.vm_id), "vm-%d", number);
	snprintf(n->settings.peer_addr, sizeof(n->settings.peer_addr), "127.0.0.1:0");
	b->settings = &n->settings;
	b->loop = &loop;
	b->http = &http;
	b->routing = tlb_routing_new();
	tlb_random_init(&b->random, (uint64_t)number + 1);
	tlb_quotas_init(&b->quotas);
	tlb_vms_init(&b->vms, b, &store);
	b->vms.handlers = (struct tlb_vms_handlers){.arg = n,
						    .fill_state = fill_state,
						    .on_state = on_state,
						    .on_suspect_parts = on_suspect_parts};
	tlb_quarantine_init(&b->quarantine, b->vms.id_hash);
	tlb_quarantine_sync_init(&b->quarantine_sync, b, &store);
	tlb_quarantine_sync_start(&b->quarantine_sync);
	b->vms.rows.handlers.on_secret(b->vms.rows.handlers.arg, secret);
}

static void stop_node(int number)
{
	struct tlb_edge_board *b = &nodes[number].board;

	tlb_quarantine_sync_finish(&b->quarantine_sync);
	tlb_quarantine_finish(&b->quarantine);
	tlb_vms_finish(&b->vms);
	tlb_quotas_finish(&b->quotas);
	tlb_routing_release(b->routing);
}

/* Tells a VM of all others, as the rows of the store do. */
static void introduce(int number)
{
	struct tlb_vms *v = &nodes[number].board.vms;
	int i;

	for (i = 0; i < vms; i++)
		if (i != number)
			v->rows.handlers.on_vm(v->rows.handlers.arg, nodes[i].settings.vm_id,
					       nodes[i].board.vms.peers.addr);
}

static void stop_loop(void *arg)
{
	tlb_loop_stop(&loop);
}

static void run_for(tlb_time wait)
{
	tlb_timer_init(&stop_timer, stop_loop, NULL);
	tlb_timer_set(&loop, &stop_timer, tlb_clock_now() + wait);
	loop.stopping = false;
	tlb_loop_run(&loop);
}

static void setup(int count)
{
	int i;

	vms = count;
	ck_assert_int_eq(tlb_loop_init(&loop), APR_SUCCESS);
	tlb_http_init(&http, &loop);
	tlb_rowstore_init(&store, &http, "127.0.0.1:1");
	for (i = 0; i < vms; i++)
		start_node(i);
	for (i = 0; i < vms; i++)
		introduce(i);
	run_for(LINK_TIME);
}

static void teardown(void)
{
	int i;

	for (i = 0; i < vms; i++)
		stop_node(i);
	tlb_http_finish(&http);
	tlb_loop_finish(&loop);
}

static const uint64_t deadly[] = {A, D};
static struct tlb_prompt deadly_prompt = {deadly, 2, ACCOUNT, 0};
static const struct tlb_prompt sound_prompt = {deadly, 1, ACCOUNT, 0};

static void crash(int number, uint64_t endpoint)
{
	struct tlb_edge_board *b = &nodes[number].board;

	deadly_prompt.own++;
	if (tlb_quarantine_add_crash(&b->quarantine, &deadly_prompt, endpoint, tlb_clock_now()))
		tlb_quarantine_sync_notify(&b->quarantine_sync);
}

static void answer(int number)
{
	struct tlb_edge_board *b = &nodes[number].board;

	if (tlb_quarantine_add_answer(&b->quarantine, &deadly_prompt, tlb_clock_now()))
		tlb_quarantine_sync_notify(&b->quarantine_sync);
}

/* VMs that reject the prompt. */
static int rejecting(const struct tlb_prompt *p)
{
	int n = 0;
	int i;

	for (i = 0; i < vms; i++)
		n += tlb_quarantine_find(&nodes[i].board.quarantine, p, tlb_clock_now()) != NULL;
	return n;
}

/* Checks that this many VMs reject the prompt within CONTACT_TIME. */
static void expect_rejecting(const struct tlb_prompt *p, int expected)
{
	tlb_time until = tlb_clock_now() + CONTACT_TIME;

	while (rejecting(p) != expected && tlb_clock_now() < until)
		run_for(20 * TLB_MS);
	ck_assert_int_eq(rejecting(p), expected);
}

/* Crashes of different endpoints, seen by different VMs. */
static void crash_three(void)
{
	int i;

	for (i = 0; i < TLB_QUARANTINE_CRASHES; i++) {
		crash(i * vms / TLB_QUARANTINE_CRASHES, 100 + (uint64_t)i);
		run_for(TLB_QUARANTINE_CRASH_SPACING + 50 * TLB_MS);
	}
}

static const int fleets[] = {3, 8, VMS_MAX};

START_TEST(crashes_seen_by_different_vms_lead_to_a_verdict_of_all)
{
	setup(fleets[_i]);
	crash_three();
	expect_rejecting(&deadly_prompt, vms);
	ck_assert_int_eq(rejecting(&sound_prompt), 0);
	answer(vms - 1);
	expect_rejecting(&deadly_prompt, 0);
	teardown();
}
END_TEST

START_TEST(vm_that_restarts_learns_the_verdict)
{
	setup(fleets[_i]);
	crash_three();
	expect_rejecting(&deadly_prompt, vms);
	stop_node(vms / 2);
	start_node(vms / 2);
	introduce(vms / 2);
	expect_rejecting(&deadly_prompt, vms);
	teardown();
}
END_TEST

START_TEST(vm_that_restarts_learns_the_verdict_beside_many_sound_parts)
{
	struct tlb_quarantine *q;
	uint64_t part;
	struct tlb_prompt p = {&part, 1, ACCOUNT, 1};
	int i;

	setup(3);
	q = &nodes[0].board.quarantine;
	for (i = 0; i < 100; i++) {
		part = 1000 + (uint64_t)i;
		tlb_quarantine_add_crash(q, &p, 500, tlb_clock_now());
	}
	tlb_quarantine_sync_notify(&nodes[0].board.quarantine_sync);
	run_for(LINK_TIME);
	for (i = 0; i < 100; i++) {
		part = 1000 + (uint64_t)i;
		tlb_quarantine_add_answer(q, &p, tlb_clock_now());
	}
	tlb_quarantine_sync_notify(&nodes[0].board.quarantine_sync);
	run_for(LINK_TIME);
	crash_three();
	expect_rejecting(&deadly_prompt, vms);
	stop_node(2);
	start_node(2);
	introduce(2);
	expect_rejecting(&deadly_prompt, vms);
	teardown();
}
END_TEST

START_TEST(a_probe_of_one_vm_holds_back_the_others)
{
	struct tlb_quarantine *q;
	tlb_time at = tlb_clock_now() - 2 * TLB_QUARANTINE_MIN_TIME;
	struct tlb_prompt probe = {deadly, 2, ACCOUNT, 1000};
	int i;

	setup(fleets[_i]);
	q = &nodes[0].board.quarantine;
	for (i = 0; i < TLB_QUARANTINE_CRASHES; i++) {
		deadly_prompt.own++;
		tlb_quarantine_add_crash(q, &deadly_prompt, 100 + (uint64_t)i, at + i * TLB_SECOND);
	}
	tlb_quarantine_sync_notify(&nodes[0].board.quarantine_sync);
	run_for(LINK_TIME);
	ck_assert_int_eq(rejecting(&deadly_prompt), 0);
	ck_assert(tlb_quarantine_begin_probe(q, &probe, tlb_clock_now()));
	tlb_quarantine_sync_notify(&nodes[0].board.quarantine_sync);
	expect_rejecting(&deadly_prompt, vms);
	ck_assert_ptr_null(tlb_quarantine_find(q, &probe, tlb_clock_now()));
	teardown();
}
END_TEST

START_TEST(one_crash_does_not_concern_a_large_fleet)
{
	int knowing = 0;
	int i;

	setup(VMS_MAX);
	crash(0, 100);
	run_for(CONTACT_TIME);
	for (i = 0; i < vms; i++)
		knowing += nodes[i].board.quarantine.count > 0;
	ck_assert_int_ge(knowing, 2);
	ck_assert_int_le(knowing, 1 + TLB_QUARANTINE_COLLECTORS);
	teardown();
}
END_TEST

int main(void)
{
	Suite *s = suite_create("quarantine_sync");
	TCase *t = tcase_create("quarantine_sync");
	SRunner *sr;
	int failed;

	if (apr_initialize() != APR_SUCCESS || sodium_init() < 0)
		return 1;
	sr = srunner_create(s);
	tcase_set_timeout(t, 60);
	tcase_add_loop_test(t, crashes_seen_by_different_vms_lead_to_a_verdict_of_all, 0, 3);
	tcase_add_loop_test(t, vm_that_restarts_learns_the_verdict, 0, 3);
	tcase_add_test(t, vm_that_restarts_learns_the_verdict_beside_many_sound_parts);
	tcase_add_loop_test(t, a_probe_of_one_vm_holds_back_the_others, 0, 3);
	tcase_add_test(t, one_crash_does_not_concern_a_large_fleet);
	suite_add_tcase(s, t);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed > 0;
}
