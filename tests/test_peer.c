/*
 * Links between two daemons, each with its own loop in this process: opening on demand, closing
 * when idle, and the outcome of calls that are sent while a link opens or closes.
 */
#include <apr_general.h>
#include <check.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "address.h"
#include "log.h"
#include "peer.h"

enum { CALLS = 3000 };

struct node {
	struct tlb_loop loop;
	struct tlb_settings settings;
	struct tlb_counters counters;
	struct tlb_peers peers;
	int messages;
};

static struct node nodes[2];

static bool accepts(void *arg, const char *vm, uint64_t incarnation)
{
	return true;
}

static void on_up(void *arg, struct tlb_peer *peer)
{
}

/* Replies to every request. */
static void on_message(void *arg, struct tlb_peer *peer, Toucan__Envelope *msg)
{
	struct node *n = arg;
	struct tlb_peer_reply_address to = {.incarnation = peer->incarnation, .id = msg->id};
	Toucan__Envelope envelope = TOUCAN__ENVELOPE__INIT;
	Toucan__Done done = TOUCAN__DONE__INIT;

	n->messages++;
	memcpy(to.vm, peer->id, TLB_ID_LEN);
	envelope.body_case = TOUCAN__ENVELOPE__BODY_DONE;
	envelope.done = &done;
	tlb_peers_reply(&n->peers, &to, &envelope);
}

static void setup(void)
{
	struct tlb_peers_handlers h = {
		.accepts = accepts, .on_up = on_up, .on_message = on_message};
	struct node *n;
	int i;

	memset(nodes, 0, sizeof(nodes));
	for (i = 0; i < 2; i++) {
		n = &nodes[i];
		snprintf(n->settings.vm_id, TLB_ID_LEN, "vm%d", i);
		n->settings.peer_key_count = 1;
		n->settings.peer_keys[0].id = 1;
		h.arg = n;
		ck_assert_int_eq(tlb_loop_init(&n->loop), APR_SUCCESS);
		tlb_peers_init(&n->peers, &n->loop, &n->counters, &n->settings, &h);
		tlb_peers_set_incarnation(&n->peers, i + 1);
		ck_assert_int_eq(tlb_peers_listen(&n->peers, "127.0.0.1:0", NULL), TLB_OK);
	}
	tlb_peers_add(&nodes[0].peers, "vm1", nodes[1].peers.addr);
	tlb_peers_add(&nodes[1].peers, "vm0", nodes[0].peers.addr);
}

static void teardown(void)
{
	int i;

	for (i = 0; i < 2; i++) {
		tlb_peers_finish(&nodes[i].peers);
		tlb_loop_finish(&nodes[i].loop);
	}
}

static void run_once(int first, int last)
{
	int i;

	for (i = first; i <= last; i++)
		tlb_loop_once(&nodes[i].loop, tlb_clock_now() + TLB_MS / 5);
}

static void run_for(tlb_time time)
{
	tlb_time end = tlb_clock_now() + time;

	while (tlb_clock_now() < end)
		run_once(0, 1);
}

struct result {
	struct tlb_peer_call call;
	int replies;
	int failures;
	struct tlb_error err;
};

static void on_reply(void *arg, const Toucan__Envelope *reply, const struct tlb_error *err)
{
	struct result *r = arg;

	if (reply) {
		r->replies++;
		return;
	}
	r->failures++;
	r->err = *err;
}

static void call(int from, struct result *r, tlb_time wait)
{
	Toucan__Envelope envelope = TOUCAN__ENVELOPE__INIT;
	Toucan__ReserveTokens body = TOUCAN__RESERVE_TOKENS__INIT;

	envelope.body_case = TOUCAN__ENVELOPE__BODY_RESERVE_TOKENS;
	envelope.reserve_tokens = &body;
	tlb_peers_call(&nodes[from].peers, from ? "vm0" : "vm1", &r->call, &envelope,
		       tlb_clock_now() + wait, on_reply, r);
}

static int64_t links(int i)
{
	return nodes[i].counters.value[TLB_COUNTER_PEER_LINKS];
}

/* Guards against unused links that stay open, and against an idle link being closed as silent
 * although no reply or heartbeat is due. */
START_TEST(link_opens_on_demand_and_closes_when_idle)
{
	struct result r = {0};

	run_for(100 * TLB_MS);
	ck_assert_int_eq(links(0) + links(1), 0);
	call(0, &r, TLB_SECOND);
	ck_assert(tlb_peer_call_active(&r.call));
	run_for(200 * TLB_MS);
	ck_assert_int_eq(r.replies, 1);
	ck_assert_int_eq(links(0), 1);
	ck_assert_int_eq(links(1), 1);
	run_for(TLB_PEER_SILENCE_TIMEOUT + 2 * TLB_SECOND);
	ck_assert_int_eq(links(0), 1);
	nodes[0].peers.idle_timeout = 100 * TLB_MS;
	run_for(2 * TLB_SECOND);
	ck_assert_int_eq(links(0) + links(1), 0);
	ck_assert_int_eq(nodes[0].counters.value[TLB_COUNTER_PEER_SILENT], 0);
	call(1, &r, TLB_SECOND);
	run_for(200 * TLB_MS);
	ck_assert_int_eq(r.replies, 2);
}
END_TEST

/* Guards against one-way messages that are dropped because no link is open. */
START_TEST(message_opens_a_link)
{
	Toucan__Envelope envelope = TOUCAN__ENVELOPE__INIT;
	Toucan__ReturnTokens body = TOUCAN__RETURN_TOKENS__INIT;

	envelope.body_case = TOUCAN__ENVELOPE__BODY_RETURN_TOKENS;
	envelope.return_tokens = &body;
	ck_assert(!tlb_peers_send_if_up(&nodes[0].peers, "vm1", &envelope));
	ck_assert(tlb_peers_send(&nodes[0].peers, "vm1", &envelope));
	run_for(200 * TLB_MS);
	ck_assert_int_eq(nodes[1].messages, 1);
	ck_assert(!tlb_peers_send(&nodes[0].peers, "vm9", &envelope));
}
END_TEST

/* Guards against an outcome other than "not run" for a call queued for a link, to an address that
 * refuses the connection and to one that accepts it and sends nothing. */
START_TEST(waiting_call_is_not_run)
{
	char addr[TLB_ADDR_LEN];
	struct result r = {0};
	int fd = tlb_address_listen("127.0.0.1:0", addr, NULL);

	tlb_peers_add(&nodes[0].peers, "vm1", addr);
	call(0, &r, 500 * TLB_MS);
	run_for(TLB_SECOND);
	ck_assert_int_eq(r.failures, 1);
	ck_assert_int_eq(r.err.code, TLB_TIMEOUT);
	ck_assert_int_eq(r.err.outcome, TLB_OUTCOME_NOT_RUN);
	call(0, &r, 5 * TLB_SECOND);
	run_for(2 * TLB_SECOND);
	ck_assert_int_eq(r.failures, 2);
	ck_assert_int_eq(r.err.code, TLB_NOT_READY);
	ck_assert_int_eq(r.err.outcome, TLB_OUTCOME_NOT_RUN);
	close(fd);
	tlb_peers_add(&nodes[0].peers, "vm1", addr);
	call(0, &r, 5 * TLB_SECOND);
	run_for(TLB_SECOND);
	ck_assert_int_eq(r.failures, 3);
	ck_assert_int_eq(r.err.outcome, TLB_OUTCOME_NOT_RUN);
	/* A call cancelled while it is queued is neither sent nor reported. */
	tlb_peers_add(&nodes[0].peers, "vm1", nodes[1].peers.addr);
	call(0, &r, TLB_SECOND);
	tlb_peer_cancel(&r.call);
	run_for(200 * TLB_MS);
	ck_assert_int_eq(r.failures, 3);
	ck_assert_int_eq(nodes[1].messages, 0);
}
END_TEST

/* Guards against a call that waits until its deadline on a silent link without heartbeats. */
START_TEST(silent_link_is_closed_while_a_call_waits)
{
	struct result r = {0};
	tlb_time started_at;

	call(0, &r, TLB_SECOND);
	run_for(200 * TLB_MS);
	ck_assert_int_eq(r.replies, 1);
	started_at = tlb_clock_now();
	call(0, &r, 20 * TLB_SECOND);
	while (r.failures == 0 && tlb_clock_now() - started_at < 10 * TLB_SECOND)
		run_once(0, 0);
	ck_assert_int_eq(r.failures, 1);
	ck_assert_int_eq(r.err.outcome, TLB_OUTCOME_UNKNOWN);
	ck_assert_int_le(tlb_clock_now() - started_at, TLB_PEER_SILENCE_TIMEOUT + TLB_SECOND);
	ck_assert_int_eq(nodes[0].counters.value[TLB_COUNTER_PEER_SILENT], 1);
	/* A new link can be opened. */
	call(0, &r, 5 * TLB_SECOND);
	run_for(3 * TLB_SECOND);
	ck_assert_int_eq(r.replies, 2);
}
END_TEST

/* Guards against calls that are lost when both sides open a link at the same time, or when a call
 * is sent while an idle link is being closed: none may fail while both daemons run. */
START_TEST(no_call_is_lost_when_a_link_closes)
{
	static struct result results[CALLS];
	int replies = 0;
	int i;

	memset(results, 0, sizeof(results));
	for (i = 0; i < 2; i++)
		nodes[i].peers.idle_timeout = 2 * TLB_MS;
	for (i = 0; i < CALLS; i++) {
		call((int)randombytes_uniform(2), &results[i], 5 * TLB_SECOND);
		if (randombytes_uniform(2))
			run_for(randombytes_uniform(6 * TLB_MS));
	}
	run_for(2 * TLB_SECOND);
	for (i = 0; i < CALLS; i++) {
		ck_assert_msg(results[i].failures == 0, "call %d: %s", i, results[i].err.message);
		replies += results[i].replies;
	}
	ck_assert_int_eq(replies, CALLS);
	printf("%d calls over links that end after 2 ms: %lld frames sent by vm0\n", CALLS,
	       (long long)nodes[0].counters.value[TLB_COUNTER_PEER_FRAMES_OUT]);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("peer");
	TCase *tc = tcase_create("links");
	SRunner *sr = srunner_create(s);
	int failed;

	apr_initialize();
	if (sodium_init() < 0)
		return EXIT_FAILURE;
	if (getenv("TOUCANLB_TEST_LOG"))
		tlb_log_init("-", "info");
	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_set_timeout(tc, 60);
	tcase_add_test(tc, link_opens_on_demand_and_closes_when_idle);
	tcase_add_test(tc, message_opens_a_link);
	tcase_add_test(tc, waiting_call_is_not_run);
	tcase_add_test(tc, silent_link_is_closed_while_a_call_waits);
	tcase_add_test(tc, no_call_is_lost_when_a_link_closes);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
