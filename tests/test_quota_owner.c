/*
 * Limits of accounts in a fleet that is too large for every VM to hear of every grant: the loads of
 * tests/quota/owner-loads.txt, replayed over real links between VMs of one process. Guards against
 * requests within the limit that are refused because a VM's knowledge is old, against grants beyond
 * the limit while the owner changes, and against a fresh burst from each VM that takes over, also
 * when several owners leave at once or all VMs do.
 */
#include <apr_general.h>
#include <check.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "edgeboard.h"

enum { VMS_MAX = 40, REQUESTS_MAX = 4000, COST = 100, RATE = 20000, BURST = 10000 };
#define LOAD_TIME (1500 * TLB_MS)
#define STEP (5 * TLB_MS)
#define LINK_TIME (700 * TLB_MS) /* until all links are open */
static const char secret[] = "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f";

enum fault {
	FAULT_NONE,
	OWNER_STOPPED,
	OWNER_LEAVING,
	OWNER_WARMING,
	ALL_WARMING,
	OWNERS_LEAVING,
	ALL_LEAVING,
	OLD_OWNER_LEAVING,
	OWNERS_SLOW,
	FAULTS,
};

struct node {
	struct tlb_settings settings;
	struct tlb_edge_board board;
	bool stopped;
};

struct request {
	struct tlb_quota_acquisition acquisition;
	bool ideal; /* one bucket at a single place would have granted it */
};

struct load {
	int vms;
	double demand;
	enum fault fault;
	double min_served;
	double max_served;
	double max_refusals; /* in 100; below 0: not checked */
};

static struct tlb_loop loop;
static struct tlb_http http;
static struct tlb_rowstore store;
static struct node nodes[VMS_MAX];
static struct request requests[REQUESTS_MAX];
static struct tlb_timer step_timer;
static struct tlb_quotas ideal;
static struct load load;
static int sent;
static int answered;
static int wrongly_refused;
static int64_t granted;
static int64_t ideal_granted;
static double backlog;
static tlb_time begun_at;
static bool fault_begun;

static struct tlb_routing *routing(void)
{
	struct tlb_routing *r = tlb_routing_new();
	struct tlb_client_account *a = tlb_client_account_new("acct", 0);

	a->rate = RATE;
	a->burst = BURST;
	a->counts_tokens = true;
	tlb_routing_add_account(r, a);
	return r;
}

/* Answers as VMs did before levels were told. */
static void answer_without_level(struct node *n, struct tlb_peer *peer, const Toucan__Envelope *msg)
{
	struct tlb_edge_board *b = &n->board;
	struct tlb_quota *q = tlb_quotas_find(&b->quotas, "acct");
	struct tlb_peer_reply_address to = {.incarnation = peer->incarnation, .id = msg->id};
	Toucan__CostReply reply = TOUCAN__COST_REPLY__INIT;
	Toucan__Envelope e = TOUCAN__ENVELOPE__INIT;
	tlb_time now = tlb_clock_now();
	tlb_time ready_at = now;

	snprintf(to.vm, sizeof(to.vm), "%s", peer->id);
	if (b->vms.leaving)
		reply.result = TOUCAN__COST_REPLY__RESULT__UNAVAILABLE;
	else if (tlb_quota_take(&b->quotas, q, msg->acquire_cost->cost, now, &ready_at))
		reply.result = TOUCAN__COST_REPLY__RESULT__GRANTED;
	else
		reply.result = TOUCAN__COST_REPLY__RESULT__REFUSED;
	reply.ready_in_us = ready_at - now;
	e.body_case = TOUCAN__ENVELOPE__BODY_COST_REPLY;
	e.cost_reply = &reply;
	tlb_peers_reply(&b->vms.peers, &to, &e);
}

static void on_message(void *arg, struct tlb_peer *peer, const Toucan__Envelope *msg)
{
	struct node *n = arg;

	if (load.fault == OLD_OWNER_LEAVING &&
	    msg->body_case == TOUCAN__ENVELOPE__BODY_ACQUIRE_COST) {
		answer_without_level(n, peer, msg);
		return;
	}
	tlb_quota_owners_on_message(&n->board.quota_owners, peer, msg);
}

static void fill_state(void *arg, Toucan__VmState *state)
{
}

static void on_state(void *arg, struct tlb_vm *vm, const Toucan__VmState *state)
{
}

static void start_node(struct node *n, int number)
{
	struct tlb_edge_board *b = &n->board;

	memset(n, 0, sizeof(*n));
	snprintf(n->settings.vm_id, sizeof(n->settings.vm_id), "vm-%d", number);
	snprintf(n->settings.peer_addr, sizeof(n->settings.peer_addr), "127.0.0.1:0");
	b->settings = &n->settings;
	b->loop = &loop;
	b->http = &http;
	b->routing = routing();
	tlb_random_init(&b->random, (uint64_t)number + 1);
	tlb_quotas_init(&b->quotas);
	tlb_vms_init(&b->vms, b, &store);
	tlb_quota_owners_init(&b->quota_owners, &b->vms, &b->quotas);
	b->quota_owners.warm_at = 0;
	b->vms.handlers = (struct tlb_vms_handlers){.arg = n,
						    .fill_state = fill_state,
						    .on_state = on_state,
						    .on_quota_message = on_message};
	tlb_quotas_configure(&b->quotas, b->routing, tlb_clock_now());
	tlb_quotas_find(&b->quotas, "acct")->level = BURST;
	b->vms.rows.handlers.on_secret(b->vms.rows.handlers.arg, secret);
}

static void stop_node(struct node *n)
{
	if (n->stopped)
		return;
	n->stopped = true;
	tlb_quota_owners_finish(&n->board.quota_owners);
	tlb_vms_finish(&n->board.vms);
	tlb_quotas_finish(&n->board.quotas);
	tlb_routing_release(n->board.routing);
}

static void start_fleet(int count)
{
	struct tlb_vms *v;
	int i;
	int k;

	for (i = 0; i < count; i++)
		start_node(&nodes[i], i);
	for (i = 0; i < count; i++) {
		v = &nodes[i].board.vms;
		for (k = 0; k < count; k++) {
			if (k != i)
				v->rows.handlers.on_vm(v->rows.handlers.arg,
						       nodes[k].settings.vm_id,
						       nodes[k].board.vms.peers.addr);
		}
	}
}

static int number_of(const char *id)
{
	ck_assert(*id);
	return atoi(id + strlen("vm-"));
}

/* The VM that decided on the last request. */
static int owner(void)
{
	return number_of(tlb_quota_acquisition_decider(&requests[sent - 1].acquisition));
}

/* As when links lose packets: a third of the VMs ask the second VM, and a third the third one. */
static void avoid_owners(void)
{
	const struct tlb_quota_acquisition *last = &requests[sent - 1].acquisition;
	int i;
	int rank;

	for (i = 0; i < load.vms; i++)
		for (rank = 0; rank < i % 3; rank++)
			tlb_vms_avoid(&nodes[i].board.vms, last->ranked[rank], TLB_NEVER);
}

static void begin_fault(void)
{
	int first = owner();
	int i;

	fault_begun = true;
	switch (load.fault) {
	case FAULT_NONE:
		return;
	case OWNER_STOPPED:
		for (i = 0; i < sent; i++)
			if (requests[i].acquisition.owners == &nodes[first].board.quota_owners)
				tlb_quota_acquisition_cancel(&requests[i].acquisition);
		stop_node(&nodes[first]);
		return;
	case OWNER_LEAVING:
	case OLD_OWNER_LEAVING:
		nodes[first].board.vms.leaving = true;
		return;
	case OWNER_WARMING:
		nodes[first].board.quota_owners.warm_at = TLB_NEVER;
		return;
	case ALL_WARMING:
		for (i = 0; i < load.vms; i++)
			nodes[i].board.quota_owners.warm_at = TLB_NEVER;
		return;
	case OWNERS_LEAVING:
		/* The next one is told of the grants; the one after it takes over. */
		first = number_of(requests[sent - 1].acquisition.ranked[1]);
		nodes[owner()].board.vms.leaving = true;
		nodes[first].board.vms.leaving = true;
		return;
	case ALL_LEAVING:
		for (i = 0; i < load.vms; i++)
			tlb_vms_leave(&nodes[i].board.vms);
		return;
	case OWNERS_SLOW:
		avoid_owners();
		return;
	case FAULTS:
		break;
	}
	ck_abort_msg("no such fault");
}

static void on_decided(void *arg, bool ok, tlb_time ready_at)
{
	struct request *r = arg;

	answered++;
	if (ok)
		granted += COST;
	else if (r->ideal)
		wrongly_refused++;
}

/* Asks for the cost as a request does that a caller has sent to the VM. */
static void acquire(struct request *r, struct node *n, tlb_time now)
{
	struct tlb_edge_board *b = &n->board;
	struct tlb_quota *q = tlb_quotas_find(&b->quotas, "acct");
	tlb_time ready_at = 0;
	bool ok;

	if (tlb_quota_owners_needed(&b->quota_owners)) {
		tlb_quota_acquire(&r->acquisition, &b->quota_owners, q, COST, on_decided, r);
		return;
	}
	ok = tlb_quota_grant(&b->quotas, q, COST, now, &ready_at);
	if (ok)
		tlb_vms_on_grant(&b->vms, q);
	on_decided(r, ok, ready_at);
}

static void send_request(tlb_time now)
{
	struct request *r = &requests[sent];
	struct node *n = &nodes[(sent * 7) % load.vms];
	tlb_time ready_at;

	while (n->stopped)
		n = &nodes[(n - nodes + 1) % load.vms];
	ck_assert_int_lt(sent, REQUESTS_MAX);
	sent++;
	r->ideal = tlb_quota_take(&ideal, tlb_quotas_find(&ideal, "acct"), COST, now, &ready_at);
	if (r->ideal)
		ideal_granted += COST;
	acquire(r, n, now);
}

static void on_step(void *arg)
{
	tlb_time now = tlb_clock_now();

	if (now >= begun_at + LOAD_TIME + 200 * TLB_MS) {
		tlb_loop_stop(&loop);
		return;
	}
	if (!fault_begun && now >= begun_at + LOAD_TIME / (load.fault == ALL_LEAVING ? 4 : 2))
		begin_fault();
	if (now >= begun_at && now < begun_at + LOAD_TIME)
		backlog += load.demand * RATE * STEP / TLB_SECOND / COST;
	for (; backlog >= 1; backlog--)
		send_request(now);
	tlb_timer_set(&loop, &step_timer, now + STEP);
}

static void replay(void)
{
	struct tlb_routing *r = routing();
	int i;

	sent = answered = wrongly_refused = 0;
	granted = ideal_granted = 0;
	backlog = 0;
	fault_begun = false;
	memset(requests, 0, sizeof(requests));
	ck_assert_int_eq(tlb_loop_init(&loop), APR_SUCCESS);
	tlb_http_init(&http, &loop);
	tlb_rowstore_init(&store, &http, "127.0.0.1:1");
	start_fleet(load.vms);
	begun_at = tlb_clock_now() + LINK_TIME;
	tlb_quotas_init(&ideal);
	tlb_quotas_configure(&ideal, r, begun_at);
	tlb_quotas_find(&ideal, "acct")->level = BURST;
	tlb_routing_release(r);
	tlb_timer_init(&step_timer, on_step, NULL);
	tlb_timer_set(&loop, &step_timer, begun_at);
	tlb_loop_run(&loop);
	for (i = 0; i < sent; i++)
		tlb_quota_acquisition_cancel(&requests[i].acquisition);
	for (i = 0; i < load.vms; i++)
		stop_node(&nodes[i]);
	tlb_quotas_finish(&ideal);
	tlb_http_finish(&http);
	tlb_loop_finish(&loop);
}

static enum fault fault_of(const char *name)
{
	static const char *const names[FAULTS] = {
		"none",		 "owner_stopped",     "owner_leaving",
		"owner_warming", "all_warming",	      "owners_leaving",
		"all_leaving",	 "old_owner_leaving", "owners_slow"};
	int i;

	for (i = 0; i < FAULTS; i++)
		if (strcmp(name, names[i]) == 0)
			return i;
	ck_abort_msg("unknown fault %s", name);
	return FAULT_NONE;
}

static void check_line(const char *line)
{
	char fault[32];
	char refusals[16];
	double served;

	ck_assert_int_eq(sscanf(line, "%d %lf %31s %lf %lf %15s", &load.vms, &load.demand, fault,
				&load.min_served, &load.max_served, refusals),
			 6);
	load.fault = fault_of(fault);
	load.max_refusals = strcmp(refusals, "-") == 0 ? -1 : atof(refusals);
	replay();
	served = (double)granted / (double)ideal_granted;
	printf("%s  served %.3f, %d of %d answered, %d wrongly refused\n", line, served, answered,
	       sent, wrongly_refused);
	ck_assert_msg(served >= load.min_served && served <= load.max_served, "%.3f: %s", served,
		      line);
	ck_assert_msg(load.max_refusals < 0 ||
			      wrongly_refused <= (int)(load.max_refusals / 100 * sent),
		      "%d of %d refused: %s", wrongly_refused, sent, line);
}

START_TEST(account_keeps_its_limit_under_load)
{
	FILE *f = fopen("tests/quota/owner-loads.txt", "r");
	char line[256];
	int count = 0;

	ck_assert_ptr_nonnull(f);
	while (fgets(line, sizeof(line), f)) {
		line[strcspn(line, "\n")] = '\0';
		if (line[0] == '#')
			continue;
		check_line(line);
		count++;
	}
	fclose(f);
	ck_assert_int_ge(count, 10);
}
END_TEST

struct step_case {
	enum tlb_quota_answer answers[TLB_QUOTA_VMS_ASKED];
	int asked;
	int ranked;
	bool last_resort;
	struct tlb_quota_step expected;
};

/* Guards against an acquisition that never ends, and against a fresh bucket that decides while an
 * older one can. */
START_TEST(next_step_by_answers)
{
	const enum tlb_quota_answer none = TLB_QUOTA_NO_ANSWER;
	const enum tlb_quota_answer warming = TLB_QUOTA_WARMING;
	const enum tlb_quota_answer gone = TLB_QUOTA_UNAVAILABLE;
	const enum tlb_quota_answer leaving = TLB_QUOTA_LEAVING;
	const struct step_case cases[] = {
		{{0}, 0, 4, false, {TLB_QUOTA_ASK, 0}},
		{{none}, 1, 4, false, {TLB_QUOTA_ASK, 1}},
		{{warming, gone}, 2, 4, false, {TLB_QUOTA_ASK, 2}},
		{{gone, none, warming, warming}, 4, 4, false, {TLB_QUOTA_ASK_LAST_RESORT, 2}},
		{{warming, none}, 2, 2, false, {TLB_QUOTA_ASK_LAST_RESORT, 0}},
		{{warming, none}, 2, 2, true, {TLB_QUOTA_DECIDE_ALONE, 0}},
		{{none, gone, none, none}, 4, 4, false, {TLB_QUOTA_DECIDE_ALONE, 0}},
		{{leaving}, 1, 4, false, {TLB_QUOTA_ASK, 1}},
		{{leaving, warming, leaving}, 3, 3, false, {TLB_QUOTA_ASK_LAST_RESORT, 1}},
		{{gone, leaving, leaving, none}, 4, 4, false, {TLB_QUOTA_ASK_LEAVING, 0}},
		{{gone, leaving, leaving, none}, 4, 4, true, {TLB_QUOTA_DECIDE_ALONE, 0}},
		{{0}, 0, 0, false, {TLB_QUOTA_DECIDE_ALONE, 0}},
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		const struct step_case *c = &cases[i];
		struct tlb_quota_step s =
			tlb_quota_next_step(c->answers, c->asked, c->ranked, c->last_resort);

		ck_assert_msg(s.kind == c->expected.kind && s.rank == c->expected.rank, "case %zu",
			      i);
	}
}
END_TEST

/* Guards against every VM of a fleet granting a full burst when the owners can't be reached. */
START_TEST(alone_grants_only_a_fraction)
{
	struct tlb_quota q = {.rate = RATE, .burst = BURST, .fleet_level = BURST};
	tlb_time ready_at = 0;
	int64_t sum = 0;
	int i;

	for (i = 0; i < 2000; i++)
		if (tlb_quota_take_alone(&q, COST, 0.1, TLB_SECOND + i * TLB_MS, &ready_at))
			sum += COST;
	ck_assert_int_le(sum, (int64_t)((BURST + 2 * RATE) * 0.1));
	ck_assert_int_ge(sum, (int64_t)(2 * RATE * 0.1));
	ck_assert(ready_at > TLB_SECOND);
}
END_TEST

/* Guards against a burst that all VMs grant once more when they can't reach the owners. */
START_TEST(alone_grants_no_burst_that_was_used)
{
	struct tlb_quota q = {
		.rate = RATE, .burst = BURST, .fleet_level = 0, .refilled_at = TLB_SECOND};
	tlb_time ready_at = 0;
	int64_t sum = 0;
	int i;

	for (i = 0; i < 2000; i++)
		if (tlb_quota_take_alone(&q, COST, 0.1, TLB_SECOND + i * TLB_MS, &ready_at))
			sum += COST;
	ck_assert_int_le(sum, (int64_t)(2 * RATE * 0.1));
	ck_assert_int_ge(sum, (int64_t)(2 * RATE * 0.1) - COST);
}
END_TEST

/* Cost that was returned must not be lost because a VM passes on what it was told before. */
START_TEST(owner_ignores_its_own_earlier_level)
{
	struct tlb_edge_board *b = &nodes[0].board;
	struct tlb_peer peer = {.id = "vm-1"};
	Toucan__Envelope e = TOUCAN__ENVELOPE__INIT;
	Toucan__AcquireCost r = TOUCAN__ACQUIRE_COST__INIT;
	struct tlb_quota *q;

	ck_assert_int_eq(tlb_loop_init(&loop), APR_SUCCESS);
	tlb_http_init(&http, &loop);
	tlb_rowstore_init(&store, &http, "127.0.0.1:1");
	start_node(&nodes[0], 0);
	q = tlb_quotas_find(&b->quotas, "acct");
	e.body_case = TOUCAN__ENVELOPE__BODY_ACQUIRE_COST;
	e.acquire_cost = &r;
	r.account = q->account;
	r.cost = COST;
	r.level = 0;
	r.level_source = b->vms.incarnation;
	tlb_quota_owners_on_message(&b->quota_owners, &peer, &e);
	ck_assert_int_ge((int64_t)q->level, BURST - COST);
	r.level_source = b->vms.incarnation + 1;
	tlb_quota_owners_on_message(&b->quota_owners, &peer, &e);
	ck_assert_int_le((int64_t)q->level, BURST / 10);
	stop_node(&nodes[0]);
	tlb_http_finish(&http);
	tlb_loop_finish(&loop);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("quota_owner");
	TCase *t = tcase_create("owner");
	SRunner *r = srunner_create(s);
	int failed;

	if (apr_initialize() != APR_SUCCESS || sodium_init() < 0)
		return 1;
	tcase_set_timeout(t, 120);
	tcase_add_test(t, next_step_by_answers);
	tcase_add_test(t, alone_grants_only_a_fraction);
	tcase_add_test(t, alone_grants_no_burst_that_was_used);
	tcase_add_test(t, owner_ignores_its_own_earlier_level);
	tcase_add_test(t, account_keeps_its_limit_under_load);
	suite_add_tcase(s, t);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed > 0;
}
