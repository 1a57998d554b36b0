/*
 * Tests the cluster layers of several daemons in one process, each with its own event loop, against
 * the stand-in for the table service: joining, fencing with and without the store, restarts,
 * pauses, partitions, lost responses of the store, graceful shutdown. Throughout, no shard may have
 * two owners with valid sessions.
 */
#include <curl/curl.h>
#include <apr_general.h>
#include <check.h>
#include <fcntl.h>
#include <signal.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "cluster.h"
#include "fence.h"
#include "gossip.h"
#include "log.h"

enum { NODES = 5, LINE_LEN = 256, MESSAGE_KINDS = 256 };

struct node {
	bool running;
	bool paused;
	struct tlb_loop loop;
	struct tlb_settings settings;
	struct tlb_counters counters;
	struct tlb_http http;
	struct tlb_store store;
	struct tlb_cluster cluster;
	tlb_shard_set imported; /* shards whose state was received by HandOver */
	tlb_shard_set owned;	/* owned, as reported by on_shards_changed */
	bool left;
};

static struct node nodes[NODES];
static pid_t store_pid;
static char store_url[LINE_LEN];
static char control_url[LINE_LEN];

static void start_store(void)
{
	char line[LINE_LEN] = "";
	char listen[LINE_LEN];
	char control[LINE_LEN];
	int out[2];
	FILE *f;

	ck_assert_int_eq(pipe(out), 0);
	store_pid = fork();
	if (store_pid == 0) {
		dup2(out[1], STDOUT_FILENO);
		execl("build/standin-table", "standin-table", (char *)NULL);
		_exit(EXIT_FAILURE);
	}
	close(out[1]);
	f = fdopen(out[0], "r");
	ck_assert_ptr_nonnull(fgets(line, sizeof(line), f));
	ck_assert_int_eq(sscanf(line, "ready listen=%200s control=%200s", listen, control), 2);
	fclose(f);
	snprintf(store_url, sizeof(store_url), "http://%.200s", listen);
	snprintf(control_url, sizeof(control_url), "http://%.200s/fault", control);
}

static void set_fault(const char *body)
{
	CURL *easy = curl_easy_init();

	curl_easy_setopt(easy, CURLOPT_URL, control_url);
	curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body);
	ck_assert_int_eq(curl_easy_perform(easy), CURLE_OK);
	curl_easy_cleanup(easy);
}

static void on_shards_changed(void *arg, tlb_shard_set gained, tlb_shard_set lost)
{
	struct node *n = arg;

	n->owned = (n->owned | gained) & ~lost;
}

static void hand_over(void *arg, tlb_shard_set shards, Toucan__HandOver *out)
{
	out->buckets = calloc(1, sizeof(*out->buckets));
	out->buckets[0] = calloc(1, sizeof(**out->buckets));
	toucan__bucket__init(out->buckets[0]);
	out->buckets[0]->account = strdup("a");
	out->buckets[0]->level = 7;
	out->n_buckets = 1;
}

static void on_hand_over(void *arg, tlb_shard_set shards, const Toucan__HandOver *state)
{
	struct node *n = arg;

	ck_assert_int_eq(state->n_buckets, 1);
	ck_assert_int_eq(state->buckets[0]->level, 7);
	ck_assert_uint_eq(shards & ~n->owned, 0);
	n->imported |= shards;
}

static void on_left(void *arg)
{
	struct node *n = arg;

	n->left = true;
}

static void start_node(int i)
{
	struct node *n = &nodes[i];
	struct tlb_cluster_handlers h = {
		.arg = n,
		.on_shards_changed = on_shards_changed,
		.export_shards = hand_over,
		.import_shards = on_hand_over,
	};
	char addr[TLB_ADDR_LEN] = "127.0.0.1:0";

	if (n->settings.peer_addr[0])
		snprintf(addr, sizeof(addr), "%s", n->settings.peer_addr);
	memset(n, 0, sizeof(*n));
	snprintf(n->settings.vm_id, TLB_ID_LEN, "vm%d", i);
	snprintf(n->settings.zone, TLB_ID_LEN, "z%d", i % 3);
	strcpy(n->settings.region, "r1");
	strcpy(n->settings.peer_addr, addr);
	n->settings.peer_key_count = 1;
	n->settings.peer_keys[0].id = 1;
	ck_assert_int_eq(tlb_loop_init(&n->loop), APR_SUCCESS);
	tlb_http_init(&n->http, &n->loop);
	tlb_store_init(&n->store, &n->http, store_url);
	tlb_cluster_init(&n->cluster, &n->loop, &n->settings, &n->store, &n->counters, &h);
	ck_assert_int_eq(tlb_cluster_start(&n->cluster, NULL), TLB_OK);
	strcpy(n->settings.peer_addr, n->cluster.peers.addr);
	n->running = true;
}

static void stop_node(int i)
{
	if (!nodes[i].running)
		return;
	tlb_cluster_finish(&nodes[i].cluster);
	tlb_http_finish(&nodes[i].http);
	tlb_loop_finish(&nodes[i].loop);
	nodes[i].running = false;
}

static void check_owners(void)
{
	tlb_time now = tlb_clock_now();
	tlb_shard_set all = 0;
	tlb_shard_set own;
	int i;

	for (i = 0; i < NODES; i++) {
		if (!nodes[i].running || nodes[i].paused ||
		    !tlb_cluster_session_valid(&nodes[i].cluster, now))
			continue;
		own = tlb_cluster_owned_shards(&nodes[i].cluster);
		ck_assert_msg(!(all & own), "a shard has two owners with valid sessions");
		all |= own;
	}
}

static void run_once(void)
{
	int i;

	for (i = 0; i < NODES; i++)
		if (nodes[i].running && !nodes[i].paused)
			tlb_loop_once(&nodes[i].loop, tlb_clock_now() + TLB_MS);
	check_owners();
}

/* Runs all nodes until cond holds; fails the test at the limit. */
static void run_until(bool (*cond)(void), tlb_time limit)
{
	tlb_time end = tlb_clock_now() + limit;

	while (!cond()) {
		ck_assert_msg(tlb_clock_now() < end,
			      "the fleet did not reach the expected state in time");
		run_once();
	}
}

/* Every running node has a valid session, and together they own every shard. */
static bool all_shards_owned(void)
{
	tlb_shard_set all = 0;
	int i;

	for (i = 0; i < NODES; i++) {
		if (!nodes[i].running || nodes[i].paused)
			continue;
		if (!tlb_cluster_session_valid(&nodes[i].cluster, tlb_clock_now()))
			return false;
		all |= tlb_cluster_owned_shards(&nodes[i].cluster);
	}
	return all == ~(tlb_shard_set)0;
}

/* Every running node owns an equal number of shards, or one more. */
static bool shards_balanced(void)
{
	int running = 0;
	int n;
	int i;

	for (i = 0; i < NODES; i++)
		running += nodes[i].running;
	for (i = 0; i < NODES; i++) {
		n = __builtin_popcountll(tlb_cluster_owned_shards(&nodes[i].cluster));
		if (nodes[i].running &&
		    (n < TLB_SHARD_COUNT / running || n > TLB_SHARD_COUNT / running + 1))
			return false;
	}
	return all_shards_owned();
}

/* Every shard has a standby, shards are balanced, and every session has the largest possible number
 * of witnesses. */
static bool fleet_steady(void)
{
	const struct tlb_cluster *c;
	int running = 0;
	int expected_witnesses;
	int i;
	int j;

	for (i = 0; i < NODES; i++)
		running += nodes[i].running;
	expected_witnesses = running - 1 - (running - 1 > 0 && (running - 1) % 2 == 0);
	for (i = 0; i < NODES; i++) {
		c = &nodes[i].cluster;
		if (!nodes[i].running)
			continue;
		if (c->session.phase != TLB_SESSION_STEADY ||
		    c->session.set[0].count != expected_witnesses)
			return false;
		for (j = 0; j < TLB_SHARD_COUNT; j++)
			if (running > 1 && !c->map.entry[j].standby.id[0])
				return false;
	}
	return shards_balanced();
}

static void run_for(tlb_time time)
{
	tlb_time end = tlb_clock_now() + time;

	while (tlb_clock_now() < end)
		run_once();
}

static void start_fleet(int count)
{
	int i;

	for (i = 0; i < count; i++)
		start_node(i);
	run_until(fleet_steady, 30 * TLB_SECOND);
}

static void setup(void)
{
	start_store();
}

static void teardown(void)
{
	int i;

	for (i = 0; i < NODES; i++)
		stop_node(i);
	kill(store_pid, SIGTERM);
	waitpid(store_pid, NULL, 0);
}

/* Guards against shards that stay with the first daemon or lose their owner in a transfer. */
START_TEST(fleet_forms_and_distributes_shards)
{
	tlb_time begun = tlb_clock_now();
	struct node *n;
	int64_t bytes;
	int64_t frames;

	start_fleet(NODES);
	printf("fleet of %d settled after %.1f s\n", NODES,
	       (double)(tlb_clock_now() - begun) / TLB_SECOND);
	n = &nodes[1];
	run_for(2 * TLB_SECOND);
	bytes = n->counters.value[TLB_COUNTER_PEER_BYTES_OUT];
	frames = n->counters.value[TLB_COUNTER_PEER_FRAMES_OUT];
	run_for(5 * TLB_SECOND);
	printf("traffic sent per idle VM and second: %.1f frames, %.0f bytes\n",
	       (double)(n->counters.value[TLB_COUNTER_PEER_FRAMES_OUT] - frames) / 5,
	       (double)(n->counters.value[TLB_COUNTER_PEER_BYTES_OUT] - bytes) / 5);
}
END_TEST

/* Guards against shards of a failed VM that stay without an owner, and against two owners during
 * the takeover. */
START_TEST(killed_vm_is_fenced)
{
	tlb_time begun;

	start_fleet(NODES);
	stop_node(2);
	begun = tlb_clock_now();
	run_until(all_shards_owned, 10 * TLB_SECOND);
	printf("all shards owned %.1f s after a kill\n",
	       (double)(tlb_clock_now() - begun) / TLB_SECOND);
	run_until(fleet_steady, 30 * TLB_SECOND);
}
END_TEST

/* Guards against a takeover that depends on the store, and against a fence that is not written once
 * the store is available again. */
START_TEST(killed_vm_is_fenced_without_store)
{
	start_fleet(NODES);
	set_fault("{\"kind\":\"refuse\"}");
	stop_node(2);
	run_until(all_shards_owned, 10 * TLB_SECOND);
	set_fault("{\"kind\":\"none\"}");
	run_until(fleet_steady, 30 * TLB_SECOND);
}
END_TEST

/* Every running node has the row that marks vm2 as fenced. */
static bool all_have_fenced_row(void)
{
	const struct tlb_member *m;
	int i;

	for (i = 0; i < NODES; i++) {
		if (!nodes[i].running)
			continue;
		m = tlb_roster_find(&nodes[i].cluster.roster, "vm2");
		if (!m || m->row.state != TLB_VM_FENCED)
			return false;
	}
	return true;
}

static bool same_map_version(void)
{
	int i;

	for (i = 0; i < NODES; i++)
		if (nodes[i].running &&
		    nodes[i].cluster.map.version != nodes[0].cluster.map.version)
			return false;
	return true;
}

/* Guards against VMs that receive a changed row or map only by reading the table service: all reads
 * of rows are refused here. */
START_TEST(rows_and_map_propagate_without_reads)
{
	start_fleet(NODES);
	set_fault("{\"kind\":\"refuse\",\"path\":\"/row\"}");
	stop_node(2);
	run_until(all_have_fenced_row, 12 * TLB_SECOND);
	run_until(all_shards_owned, 1 * TLB_SECOND);
	/* Enough for a heartbeat and a pull if the message was lost. */
	run_until(same_map_version, 2 * TLB_SECOND);
	set_fault("{\"kind\":\"none\"}");
	run_until(fleet_steady, 30 * TLB_SECOND);
}
END_TEST

/* Guards against an old row that arrives late and replaces a newer one, and against a row that a VM
 * missed and that no later message repeats. */
START_TEST(late_and_lost_rows)
{
	struct tlb_cluster *c = &nodes[0].cluster;
	struct tlb_vm_row former;

	start_fleet(NODES);
	former = tlb_roster_find(&c->roster, "vm2")->row;
	stop_node(2);
	run_until(all_have_fenced_row, 12 * TLB_SECOND);
	tlb_cluster_apply_row(c, &former);
	ck_assert_int_eq(tlb_roster_find(&c->roster, "vm2")->row.state, TLB_VM_FENCED);

	tlb_roster_find(&c->roster, "vm2")->row = former;
	c->roster.digest = 0;
	run_until(all_have_fenced_row, (TLB_GOSSIP_DIGEST_HEARTBEATS + 2) * TLB_SECOND);
}
END_TEST

/* Guards against a fence notice that a VM missed and that no later message repeats while the store
 * is unavailable. */
START_TEST(lost_fence_notice)
{
	struct tlb_cluster *c = &nodes[0].cluster;
	struct tlb_vm_name gone;

	start_fleet(NODES);
	set_fault("{\"kind\":\"refuse\"}");
	gone = nodes[3].cluster.self;
	stop_node(3);
	run_until(all_shards_owned, 10 * TLB_SECOND);
	ck_assert(tlb_roster_ended(&c->roster, &gone));
	c->roster.ended_count = c->roster.ended_next = 0;
	c->roster.digest = 0;
	run_for((TLB_GOSSIP_DIGEST_HEARTBEATS + 2) * TLB_SECOND);
	ck_assert(tlb_roster_ended(&c->roster, &gone));
}
END_TEST

/* Guards against a restarted VM that waits for the fence of its own former incarnation, although
 * binding the same address proves that it has ended. */
START_TEST(restarted_vm_replaces_its_former_incarnation)
{
	uint64_t former;

	start_fleet(NODES);
	former = nodes[2].cluster.self.incarnation;
	stop_node(2);
	start_node(2);
	ck_assert_uint_ne(former, nodes[2].cluster.self.incarnation);
	run_until(all_shards_owned, 4 * TLB_SECOND);
	run_until(fleet_steady, 30 * TLB_SECOND);
}
END_TEST

static bool vm0_has_left(void)
{
	return nodes[0].left;
}

/* Guards against shards that lose their state or their owner in a graceful shutdown. */
START_TEST(leaving_vm_hands_its_shards_over)
{
	tlb_shard_set shards;
	tlb_shard_set imported = 0;
	int i;

	start_fleet(NODES);
	for (i = 0; i < NODES; i++)
		nodes[i].imported = 0;
	shards = tlb_cluster_owned_shards(&nodes[0].cluster);
	tlb_cluster_leave(&nodes[0].cluster, tlb_clock_now() + 5 * TLB_SECOND, on_left, &nodes[0]);
	run_until(vm0_has_left, 3 * TLB_SECOND);
	stop_node(0);
	run_until(all_shards_owned, 1 * TLB_SECOND);
	for (i = 0; i < NODES; i++)
		imported |= nodes[i].imported;
	ck_assert_uint_eq(imported & shards, shards);
	run_until(fleet_steady, 30 * TLB_SECOND);
}
END_TEST

/* Messages that vm4 does not receive. */
static bool lost_at_vm4[MESSAGE_KINDS];
static void (*receive)(void *arg, struct tlb_peer *peer, Toucan__Envelope *msg);

static void receive_or_lose(void *arg, struct tlb_peer *peer, Toucan__Envelope *msg)
{
	if (!lost_at_vm4[msg->body_case])
		receive(arg, peer, msg);
}

static void lose_at_vm4(Toucan__Envelope__BodyCase kind)
{
	struct tlb_peers_handlers *h = &nodes[4].cluster.peers.handlers;

	lost_at_vm4[kind] = true;
	if (h->on_message == receive_or_lose)
		return;
	receive = h->on_message;
	h->on_message = receive_or_lose;
}

static bool vm1_to_vm3_have_the_map(void)
{
	int64_t version = nodes[0].cluster.map.version;

	return nodes[1].cluster.map.version == version && nodes[2].cluster.map.version == version &&
	       nodes[3].cluster.map.version == version;
}

/* vm0 leaves. Returns the shards that vm4 owns after that. */
static tlb_shard_set leave_to_vm4(void)
{
	const struct tlb_shard_map *map = &nodes[1].cluster.map;
	tlb_shard_set shards;
	int i;

	for (i = 0; i < NODES; i++)
		nodes[i].imported = 0;
	shards = tlb_cluster_owned_shards(&nodes[0].cluster);
	tlb_cluster_leave(&nodes[0].cluster, tlb_clock_now() + 5 * TLB_SECOND, on_left, &nodes[0]);
	run_until(vm0_has_left, 3 * TLB_SECOND);
	run_until(vm1_to_vm3_have_the_map, 1 * TLB_SECOND);
	stop_node(0);
	for (i = 0; i < TLB_SHARD_COUNT; i++)
		if (!tlb_vm_name_equal(&map->entry[i].owner, &nodes[4].cluster.self))
			shards &= ~((tlb_shard_set)1 << i);
	ck_assert_uint_ne(shards, 0);
	return shards;
}

static tlb_shard_set vm4_gains;

static bool vm4_has_imported(void)
{
	ck_assert_msg(!(nodes[4].owned & vm4_gains & ~nodes[4].imported),
		      "a shard is owned without the state that was handed over");
	return !(vm4_gains & ~nodes[4].imported);
}

/* That vm0 wrote, or a later one. */
static bool vm4_has_the_map(void)
{
	return nodes[4].cluster.map.version >= nodes[0].cluster.map.version;
}

static bool vm4_row_of_vm0_is_left(void)
{
	return tlb_roster_find(&nodes[4].cluster.roster, "vm0")->row.state == TLB_VM_LEFT;
}

/* Guards against a standby that takes the shards of a leaving VM over without their state, because
 * it learns that the VM has left before it receives the map. */
START_TEST(shards_of_a_left_vm_wait_for_its_map)
{
	tlb_time end;

	start_fleet(NODES);
	lose_at_vm4(TOUCAN__ENVELOPE__BODY_SHARDS_NOTICE);
	vm4_gains = leave_to_vm4();
	for (end = tlb_clock_now() + 100 * TLB_MS; tlb_clock_now() < end; run_once())
		ck_assert(!vm4_has_imported());
	lost_at_vm4[TOUCAN__ENVELOPE__BODY_SHARDS_NOTICE] = false;
	tlb_cluster_send_map(&nodes[1].cluster, "vm4");
	run_until(vm4_has_imported, 1 * TLB_SECOND);
	ck_assert(vm4_row_of_vm0_is_left());
	run_until(fleet_steady, 30 * TLB_SECOND);
}
END_TEST

static bool vm1_has_a_later_map(void)
{
	return nodes[1].cluster.map.version > nodes[0].cluster.map.version;
}

/* Guards against state that is lost because the new owner misses the map that moves the shards and
 * receives one that another VM has written since. */
START_TEST(hand_over_outlasts_a_missed_map)
{
	start_fleet(NODES);
	lose_at_vm4(TOUCAN__ENVELOPE__BODY_SHARDS_NOTICE);
	vm4_gains = leave_to_vm4();
	run_until(vm1_has_a_later_map, 3 * TLB_SECOND);
	lost_at_vm4[TOUCAN__ENVELOPE__BODY_SHARDS_NOTICE] = false;
	run_until(vm4_has_imported, 2 * TLB_SECOND);
	run_until(fleet_steady, 30 * TLB_SECOND);
}
END_TEST

/* Guards against state that is lost because the leaving VM does not receive the response to its
 * write and writes once more. */
START_TEST(hand_over_outlasts_a_lost_response)
{
	start_fleet(NODES);
	set_fault("{\"kind\":\"drop_answer\",\"path\":\"/txn\",\"count\":1}");
	vm4_gains = leave_to_vm4();
	run_until(vm4_has_imported, 2 * TLB_SECOND);
	run_until(fleet_steady, 30 * TLB_SECOND);
}
END_TEST

/* Guards against state that is added to that of a standby which took the shards over and has
 * granted from them since. */
START_TEST(hand_over_after_a_takeover_is_dropped)
{
	struct tlb_vm_name left;

	start_fleet(NODES);
	left = nodes[0].cluster.self;
	lose_at_vm4(TOUCAN__ENVELOPE__BODY_SHARDS_NOTICE);
	vm4_gains = leave_to_vm4();
	tlb_fences_apply(&nodes[4].cluster, &left, "witnesses");
	ck_assert_uint_eq(nodes[4].owned & vm4_gains, vm4_gains);
	lost_at_vm4[TOUCAN__ENVELOPE__BODY_SHARDS_NOTICE] = false;
	tlb_cluster_send_map(&nodes[1].cluster, "vm4");
	run_until(vm4_has_the_map, 1 * TLB_SECOND);
	ck_assert_uint_eq(nodes[4].imported & vm4_gains, 0);
	ck_assert(vm4_row_of_vm0_is_left());
	run_until(fleet_steady, 30 * TLB_SECOND);
}
END_TEST

/* Guards against a row that was read from the store and waits for a map that no other VM sends. */
START_TEST(left_row_from_the_store_brings_its_map)
{
	start_fleet(NODES);
	lose_at_vm4(TOUCAN__ENVELOPE__BODY_SHARDS_NOTICE);
	lose_at_vm4(TOUCAN__ENVELOPE__BODY_ROW_NOTICE);
	lose_at_vm4(TOUCAN__ENVELOPE__BODY_FENCE_NOTICE);
	lose_at_vm4(TOUCAN__ENVELOPE__BODY_HEARTBEAT);
	vm4_gains = leave_to_vm4();
	ck_assert(!vm4_row_of_vm0_is_left());
	tlb_membership_request_row(&nodes[4].cluster.membership, "vm0");
	run_until(vm4_has_imported, 500 * TLB_MS);
	ck_assert(vm4_row_of_vm0_is_left());
}
END_TEST

static struct tlb_error call_error;
static int calls_done;

static void on_no_reply(void *arg, const Toucan__Envelope *reply, const struct tlb_error *err)
{
	ck_assert_ptr_null(reply);
	call_error = *err;
	calls_done++;
}

static bool call_is_done(void)
{
	return calls_done == 1;
}

/* Sends a request to vm2, which doesn't reply, and checks how the call fails. */
static void call_silent_vm(tlb_time wait, enum tlb_code code, enum tlb_outcome outcome)
{
	struct tlb_peer_call call = {0};
	Toucan__Envelope envelope = TOUCAN__ENVELOPE__INIT;
	Toucan__ReserveTokens body = TOUCAN__RESERVE_TOKENS__INIT;

	envelope.body_case = TOUCAN__ENVELOPE__BODY_RESERVE_TOKENS;
	envelope.reserve_tokens = &body;
	calls_done = 0;
	tlb_cluster_call(&nodes[0].cluster, "vm2", &call, &envelope, tlb_clock_now() + wait,
			 on_no_reply, NULL);
	ck_assert_int_eq(calls_done, 0);
	run_until(call_is_done, wait + TLB_SECOND);
	ck_assert_int_eq(call_error.code, code);
	ck_assert_int_eq(call_error.outcome, outcome);
	ck_assert(!tlb_peer_call_active(&call));
}

/* Guards against a VM that acts as an owner after a pause in which it was fenced, or that doesn't
 * rejoin afterwards; also against a silent link that stays open and a call that never ends. */
START_TEST(paused_vm_rejoins)
{
	uint64_t former;

	start_fleet(NODES);
	former = nodes[2].cluster.self.incarnation;
	nodes[2].paused = true;
	call_silent_vm(500 * TLB_MS, TLB_TIMEOUT, TLB_OUTCOME_UNKNOWN);
	call_silent_vm(5 * TLB_SECOND, TLB_NOT_READY, TLB_OUTCOME_UNKNOWN);
	ck_assert_int_eq(nodes[0].counters.value[TLB_COUNTER_PEER_SILENT], 1);
	call_silent_vm(5 * TLB_SECOND, TLB_NOT_READY, TLB_OUTCOME_NOT_RUN);
	run_until(all_shards_owned, 10 * TLB_SECOND);
	run_for(3 * TLB_SECOND);
	nodes[2].paused = false;
	check_owners();
	run_until(fleet_steady, 30 * TLB_SECOND);
	ck_assert_uint_ne(former, nodes[2].cluster.self.incarnation);
}
END_TEST

static bool vm2_session_invalid(void)
{
	return !tlb_cluster_session_valid(&nodes[2].cluster, tlb_clock_now());
}

static bool others_own_all_shards(void)
{
	tlb_shard_set all = 0;
	int i;

	for (i = 0; i < NODES; i++)
		if (i != 2 && tlb_cluster_session_valid(&nodes[i].cluster, tlb_clock_now()))
			all |= tlb_cluster_owned_shards(&nodes[i].cluster);
	return all == ~(tlb_shard_set)0;
}

/* Guards against a VM that reassigns the shards or standby roles of another because the link
 * between the two is lost: only rows and fences determine which VMs are live. */
START_TEST(lost_link_moves_nothing)
{
	int64_t version;
	int i;

	start_fleet(NODES);
	version = nodes[2].cluster.map.version;
	tlb_peers_disconnect(&nodes[0].cluster.peers, "vm1");
	tlb_peers_disconnect(&nodes[1].cluster.peers, "vm0");
	run_for(5 * TLB_SECOND);
	ck_assert(fleet_steady());
	for (i = 0; i < NODES; i++)
		ck_assert_int_eq(nodes[i].cluster.map.version, version);
}
END_TEST

/* Guards against a VM that keeps acting as an owner without its peers because it still reaches the
 * store. A peer key that the other VMs don't have creates the partition. */
START_TEST(partitioned_vm_stops)
{
	tlb_time begun;

	start_fleet(NODES);
	nodes[2].settings.peer_keys[0].secret[0] = 1;
	begun = tlb_clock_now();
	run_until(vm2_session_invalid, TLB_SESSION_LEASE);
	printf("session of a partitioned VM ended after %.1f s\n",
	       (double)(tlb_clock_now() - begun) / TLB_SECOND);
	run_until(others_own_all_shards, 5 * TLB_SECOND);
	run_for(10 * TLB_SECOND);
	ck_assert(vm2_session_invalid());
	nodes[2].settings.peer_keys[0].secret[0] = 0;
	run_until(fleet_steady, 30 * TLB_SECOND);
}
END_TEST

/* Guards against writes that are treated as failed, or applied twice, when their response is lost,
 * and against a daemon that never retries after a refusal. */
START_TEST(store_responses_are_lost)
{
	static const char *const faults[] = {
		"{\"kind\":\"drop_answer\",\"path\":\"/txn\",\"count\":8}",
		"{\"kind\":\"refuse\",\"count\":30}",
		"{\"kind\":\"delay\",\"ms\":1500,\"count\":10}",
		"{\"kind\":\"stall\",\"path\":\"/txn\",\"count\":3}",
	};
	size_t i;

	for (i = 0; i < sizeof(faults) / sizeof(faults[0]); i++) {
		set_fault(faults[i]);
		if (i == 0)
			start_fleet(NODES);
		stop_node((int)i);
		start_node((int)i);
		run_until(fleet_steady, 60 * TLB_SECOND);
	}
}
END_TEST

int main(void)
{
	Suite *s = suite_create("cluster");
	TCase *tc = tcase_create("fleet");
	SRunner *sr = srunner_create(s);
	int failed;

	apr_initialize();
	if (sodium_init() < 0)
		return EXIT_FAILURE;
	if (getenv("TOUCANLB_TEST_LOG"))
		tlb_log_init("-", "info");
	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_set_timeout(tc, 120);
	tcase_add_test(tc, fleet_forms_and_distributes_shards);
	tcase_add_test(tc, killed_vm_is_fenced);
	tcase_add_test(tc, killed_vm_is_fenced_without_store);
	tcase_add_test(tc, rows_and_map_propagate_without_reads);
	tcase_add_test(tc, late_and_lost_rows);
	tcase_add_test(tc, lost_fence_notice);
	tcase_add_test(tc, restarted_vm_replaces_its_former_incarnation);
	tcase_add_test(tc, leaving_vm_hands_its_shards_over);
	tcase_add_test(tc, shards_of_a_left_vm_wait_for_its_map);
	tcase_add_test(tc, hand_over_outlasts_a_missed_map);
	tcase_add_test(tc, hand_over_outlasts_a_lost_response);
	tcase_add_test(tc, hand_over_after_a_takeover_is_dropped);
	tcase_add_test(tc, left_row_from_the_store_brings_its_map);
	tcase_add_test(tc, paused_vm_rejoins);
	tcase_add_test(tc, lost_link_moves_nothing);
	tcase_add_test(tc, partitioned_vm_stops);
	tcase_add_test(tc, store_responses_are_lost);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
