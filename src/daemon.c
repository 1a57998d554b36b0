#include "daemon.h"

#include <inttypes.h>
#include <signal.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include "ingress.h"
#include "log.h"

/* The load balancer may send new requests for this long after /readyz first reports not ready. */
#define DRAIN_NOTICE_MIN (2 * TLB_SECOND)
/* The notice is extended while new requests arrive, up to this in total. */
#define DRAIN_NOTICE_MAX (30 * TLB_SECOND)
/* The notice ends after this long without a new request. */
#define DRAIN_QUIET_PERIOD (1 * TLB_SECOND)
#define DRAIN_CHECK_INTERVAL (50 * TLB_MS)
#define LEAVE_TIMEOUT (5 * TLB_SECOND)
#define LOG_FLUSH_INTERVAL (100 * TLB_MS)

/* --- configuration table --- */

static void apply_table(struct tlb_daemon *d)
{
	int64_t previous_version = d->applied_table_version;

	d->board.table = d->config.table;
	d->applied_table_version = d->config.table->version;
	tlb_load_sync(&d->board.load);
	tlb_limit_sync(&d->board.limit);
	tlb_pools_sync(&d->board.pools);
	tlb_requests_sync(&d->board.requests);
	tlb_orders_sync(&d->board.orders);
	tlb_counter_set(&d->board.counters, TLB_COUNTER_CONFIG_VERSION, d->applied_table_version);
	/* A table read from the store need not be pushed to peers: heartbeats carry its version. */
	if (d->config.source != TLB_CONFIG_FROM_STORE)
		tlb_propagation_push(&d->spread, previous_version);
}

static void on_table(void *arg)
{
	apply_table(arg);
}

/* --- cluster messages and events --- */

static void on_reserve_tokens(void *arg, const struct tlb_peer_reply_address *from,
			      const Toucan__Envelope *m)
{
	struct tlb_daemon *d = arg;

	tlb_limit_on_reserve(&d->board.limit, from, m->reserve_tokens);
}

static void on_return_tokens(void *arg, const struct tlb_peer_reply_address *from,
			     const Toucan__Envelope *m)
{
	struct tlb_daemon *d = arg;

	tlb_limit_on_return(&d->board.limit, from, m->return_tokens);
}

static void on_open_delegation(void *arg, const struct tlb_peer_reply_address *from,
			       const Toucan__Envelope *m)
{
	struct tlb_daemon *d = arg;

	tlb_standby_on_open(&d->board.limit.standby, from, m->open_part);
}

static void on_close_delegation(void *arg, const struct tlb_peer_reply_address *from,
				const Toucan__Envelope *m)
{
	struct tlb_daemon *d = arg;

	tlb_standby_on_close(&d->board.limit.standby, from, m->close_part);
}

static void on_book_decode(void *arg, const struct tlb_peer_reply_address *from,
			   const Toucan__Envelope *m)
{
	struct tlb_daemon *d = arg;

	tlb_bookings_on_book(&d->board.bookings, from, m->book_decode);
}

static void on_renew_bookings(void *arg, const struct tlb_peer_reply_address *from,
			      const Toucan__Envelope *m)
{
	struct tlb_daemon *d = arg;

	tlb_bookings_on_renew(&d->board.bookings, from, m->renew_bookings);
}

static void on_preempt(void *arg, const struct tlb_peer_reply_address *from,
		       const Toucan__Envelope *m)
{
	struct tlb_daemon *d = arg;

	tlb_bookings_on_preempt(&d->board.bookings, from, m->preempt);
}

static void on_release_booking(void *arg, const struct tlb_peer_reply_address *from,
			       const Toucan__Envelope *m)
{
	struct tlb_daemon *d = arg;

	tlb_bookings_on_release(&d->board.bookings, from, m->release_booking);
}

static void on_bookings_pull(void *arg, const struct tlb_peer_reply_address *from,
			     const Toucan__Envelope *m)
{
	struct tlb_daemon *d = arg;

	tlb_bookings_on_pull(&d->board.bookings, from, m->bookings_pull);
}

static void on_config_push(void *arg, const struct tlb_peer_reply_address *from,
			   const Toucan__Envelope *m)
{
	struct tlb_daemon *d = arg;

	tlb_propagation_on_push(&d->spread, from, m->config_push);
}

static void on_config_pull(void *arg, const struct tlb_peer_reply_address *from,
			   const Toucan__Envelope *m)
{
	struct tlb_daemon *d = arg;

	tlb_propagation_on_pull(&d->spread, from, m->config_pull);
}

static void on_shards_changed(void *arg, tlb_shard_set gained, tlb_shard_set lost)
{
	struct tlb_daemon *d = arg;

	/* Must come first: the load module determines whose booking tables this daemon keeps. */
	tlb_load_shards_changed(&d->board.load, gained, lost);
	tlb_limit_shards_changed(&d->board.limit, gained, lost);
	tlb_bookings_shards_changed(&d->board.bookings, gained, lost);
	tlb_orders_shards_changed(&d->board.orders, gained, lost);
}

static void export_shards(void *arg, tlb_shard_set shards, Toucan__HandOver *out)
{
	struct tlb_daemon *d = arg;

	tlb_limit_export_buckets(&d->board.limit, shards, out);
	tlb_bookings_export(&d->board.bookings, shards, out);
}

static void import_shards(void *arg, tlb_shard_set shards, const Toucan__HandOver *state)
{
	struct tlb_daemon *d = arg;

	tlb_limit_import_buckets(&d->board.limit, state);
	tlb_bookings_import(&d->board.bookings, state);
}

static void on_map_changed(void *arg)
{
	struct tlb_daemon *d = arg;

	tlb_standby_on_map(&d->board.limit.standby);
}

static void on_standby_release(void *arg, tlb_shard_set shards, int64_t version)
{
	struct tlb_daemon *d = arg;

	tlb_standby_on_release(&d->board.limit.standby, shards, version);
}

static void on_fenced(void *arg, const char *vm, uint64_t incarnation)
{
	struct tlb_daemon *d = arg;

	tlb_limit_on_fence(&d->board.limit, vm, incarnation);
	tlb_bookings_on_fence(&d->board.bookings, vm, incarnation);
}

static void on_peer_config_version(void *arg, const char *vm, int64_t version)
{
	struct tlb_daemon *d = arg;

	tlb_propagation_on_version(&d->spread, vm, version);
}

static void on_link_up(void *arg, const char *vm)
{
	struct tlb_daemon *d = arg;

	tlb_bookings_on_link_up(&d->board.bookings, vm);
}

static size_t load_reports(void *arg, uint64_t heartbeat, Toucan__LoadReport ***out)
{
	struct tlb_daemon *d = arg;

	return tlb_load_reports(&d->board.load, heartbeat, out);
}

static void on_load_reports(void *arg, const char *vm, uint64_t incarnation, size_t count,
			    Toucan__LoadReport **reports)
{
	struct tlb_daemon *d = arg;
	size_t i;

	for (i = 0; i < count; i++)
		tlb_load_apply_report(&d->board.load, vm, incarnation, reports[i]);
}

static void on_load_notice(void *arg, const struct tlb_peer_reply_address *from,
			   const Toucan__Envelope *m)
{
	on_load_reports(arg, from->vm, from->incarnation, m->load_notice->n_load_reports,
			m->load_notice->load_reports);
}

static void update_owner_name(struct tlb_daemon *d)
{
	snprintf(d->board.owner, sizeof(d->board.owner), "%s",
		 tlb_cluster_instance_name(&d->cluster));
}

static void on_session_lost(void *arg)
{
	struct tlb_daemon *d = arg;

	tlb_counter_set(&d->board.counters, TLB_COUNTER_SESSION_VALID, 0);
}

static void on_session_regained(void *arg)
{
	struct tlb_daemon *d = arg;

	update_owner_name(d);
	tlb_counter_set(&d->board.counters, TLB_COUNTER_SESSION_VALID, 1);
}

static void on_self_fenced(void *arg)
{
	struct tlb_daemon *d = arg;

	/* The other VMs have released the bookings of these requests. */
	tlb_requests_finish(&d->board.requests);
	tlb_standby_reset(&d->board.limit.standby);
	update_owner_name(d);
}

static int64_t config_version(void *arg)
{
	struct tlb_daemon *d = arg;

	return tlb_config_version(&d->config);
}

/* --- operator callbacks --- */

static json_t *get_status(void *arg)
{
	struct tlb_daemon *d = arg;
	char incarnation[24];

	snprintf(incarnation, sizeof(incarnation), "%016" PRIx64,
		 tlb_cluster_incarnation(&d->cluster));
	return json_pack("{s:s,s:b,s:i,s:i,s:b,s:i,s:i}", "incarnation", incarnation,
			 "session_valid", tlb_board_session_valid(&d->board), "witnesses",
			 tlb_cluster_witness_count(&d->cluster), "shards",
			 __builtin_popcountll(tlb_cluster_owned_shards(&d->cluster)), "store_up",
			 d->store.up, "waiting", tlb_pools_waiting(&d->board.pools), "in_flight",
			 (int)tlb_listener_in_flight(&d->caller_listener));
}

static json_t *list_requests(void *arg)
{
	struct tlb_daemon *d = arg;
	json_t *list = tlb_requests_list(&d->board.requests);
	json_t *calls = tlb_services_list(&d->board.services);

	json_array_extend(list, calls);
	json_decref(calls);
	return list;
}

static json_t *list_endpoints(void *arg)
{
	struct tlb_daemon *d = arg;

	return tlb_load_list(&d->board.load);
}

static json_t *list_accounts(void *arg)
{
	struct tlb_daemon *d = arg;

	return tlb_limit_list(&d->board.limit);
}

static void refresh_counters(void *arg)
{
	struct tlb_daemon *d = arg;
	const struct tlb_http_totals *t = &d->http.totals;

	tlb_counter_set(&d->board.counters, TLB_COUNTER_HEADS_REFUSED,
			d->caller_listener.heads_refused);
	tlb_counter_set(&d->board.counters, TLB_COUNTER_HTTP_CALLS, t->calls);
	tlb_counter_set(&d->board.counters, TLB_COUNTER_HTTP_CONNECTS, d->http.connections.opened);
	tlb_counter_set(&d->board.counters, TLB_COUNTER_HTTP_BYTES_IN, t->bytes_in);
	tlb_counter_set(&d->board.counters, TLB_COUNTER_HTTP_BYTES_OUT, t->bytes_out);
	tlb_counter_set(&d->board.counters, TLB_COUNTER_MEMORY_USED, (int64_t)d->memory.used);
	tlb_counter_set(&d->board.counters, TLB_COUNTER_MEMORY_PEAK, (int64_t)d->memory.peak);
	tlb_counter_set(&d->board.counters, TLB_COUNTER_MEMORY_REFUSED, d->memory.refused);
}

struct peer_list {
	struct tlb_daemon *daemon;
	json_t *list;
};

static void add_peer(void *arg, const char *vm)
{
	struct peer_list *p = arg;
	json_int_t version = tlb_cluster_peer_config_version(&p->daemon->cluster, vm);

	json_array_append_new(p->list, json_pack("{s:s,s:I}", "vm", vm, "version", version));
}

static json_t *list_peers(void *arg)
{
	struct peer_list p = {arg, json_array()};

	tlb_cluster_for_each_peer(&p.daemon->cluster, add_peer, &p);
	return p.list;
}

static bool check_ready(void *arg, const char **reason)
{
	struct tlb_daemon *d = arg;

	if (d->phase != TLB_DAEMON_SERVING)
		*reason = "this VM is shutting down";
	else if (d->config.table->version == 0)
		*reason = "no configuration yet";
	else if (!tlb_board_session_valid(&d->board))
		*reason = "the session lease is not valid";
	else if (!tlb_cluster_has_enough_witnesses(&d->cluster))
		*reason = "too few witnesses yet";
	return tlb_daemon_ready(d);
}

bool tlb_daemon_ready(struct tlb_daemon *d)
{
	/* Witnesses are required only at the start: a fleet that loses VMs later must continue to
	 * serve. */
	if (tlb_cluster_has_enough_witnesses(&d->cluster))
		d->had_enough_witnesses = true;
	return d->had_enough_witnesses && d->phase == TLB_DAEMON_SERVING &&
	       d->config.table->version > 0 && tlb_board_session_valid(&d->board);
}

/* --- shutdown --- */

static void on_left(void *arg)
{
	struct tlb_daemon *d = arg;

	tlb_loop_stop(&d->loop);
}

static bool has_work_in_flight(const struct tlb_daemon *d)
{
	return !tlb_listener_stopped(&d->caller_listener) ||
	       tlb_requests_count(&d->board.requests) > 0 ||
	       tlb_services_count(&d->board.services) > 0;
}

static void start_leaving(struct tlb_daemon *d)
{
	tlb_log_info("event=shutdown phase=leaving");
	d->phase = TLB_DAEMON_LEAVING;
	tlb_cluster_leave(&d->cluster, tlb_clock_now() + LEAVE_TIMEOUT, on_left, d);
}

/* Whether the minimum notice has elapsed and no new requests arrive, or the maximum has elapsed. */
static bool notice_over(struct tlb_daemon *d, tlb_time now)
{
	int64_t requests = d->board.counters.value[TLB_COUNTER_REQUESTS];

	if (requests != d->last_request_count) {
		d->last_request_count = requests;
		d->last_request_at = now;
	}
	if (now >= d->notice_min_end + DRAIN_NOTICE_MAX - DRAIN_NOTICE_MIN)
		return true;
	return now >= d->notice_min_end && now >= d->last_request_at + DRAIN_QUIET_PERIOD;
}

static void on_drain(void *arg)
{
	struct tlb_daemon *d = arg;
	tlb_time now = tlb_clock_now();

	if (d->phase == TLB_DAEMON_NOTICE && notice_over(d, now)) {
		tlb_log_info("event=shutdown phase=draining in_flight=%zu",
			     tlb_listener_in_flight(&d->caller_listener));
		d->phase = TLB_DAEMON_DRAINING;
		tlb_listener_stop_accepting(&d->caller_listener);
	}
	if (now >= d->drain_deadline && d->phase != TLB_DAEMON_LEAVING) {
		tlb_log_warn("event=shutdown phase=timeout in_flight=%zu",
			     tlb_listener_in_flight(&d->caller_listener));
		tlb_listener_stop_accepting(&d->caller_listener);
		start_leaving(d);
		return;
	}
	if (d->phase == TLB_DAEMON_DRAINING && !has_work_in_flight(d)) {
		start_leaving(d);
		return;
	}
	tlb_timer_set(&d->loop, &d->drain_timer, now + DRAIN_CHECK_INTERVAL);
}

static void start_shutdown(struct tlb_daemon *d)
{
	tlb_time now = tlb_clock_now();

	if (d->phase != TLB_DAEMON_SERVING)
		return;
	tlb_log_info("event=shutdown phase=notice in_flight=%zu",
		     tlb_listener_in_flight(&d->caller_listener));
	d->phase = TLB_DAEMON_NOTICE;
	d->notice_min_end = now + DRAIN_NOTICE_MIN;
	d->drain_deadline = now + d->settings.drain_timeout_ms * TLB_MS;
	d->last_request_count = d->board.counters.value[TLB_COUNTER_REQUESTS];
	d->last_request_at = now;
	tlb_listener_disable_keepalive(&d->caller_listener);
	tlb_timer_set(&d->loop, &d->drain_timer, now + DRAIN_CHECK_INTERVAL);
}

/* Reloads the peer keys from the secrets file, so that they can be rotated without a restart. All
 * other settings require one. */
static void reload_keys(struct tlb_daemon *d)
{
	static struct tlb_settings reloaded;
	int faults = tlb_settings_load(&reloaded, d->settings_path, stderr);

	if (faults > 0) {
		tlb_log_error("event=reload result=refused faults=%d", faults);
		return;
	}
	memcpy(d->settings.peer_keys, reloaded.peer_keys, sizeof(reloaded.peer_keys));
	d->settings.peer_key_count = reloaded.peer_key_count;
	sodium_memzero(&reloaded, sizeof(reloaded));
	tlb_cluster_reload_keys(&d->cluster);
	tlb_log_info("event=reload result=ok peer_keys=%d signing_key=%d",
		     d->settings.peer_key_count, d->settings.peer_keys[0].id);
}

static void on_signal(void *arg, int number)
{
	struct tlb_daemon *d = arg;

	if (number == SIGHUP)
		reload_keys(d);
	else
		start_shutdown(d);
}

/* --- start --- */

static void on_log_timer(void *arg)
{
	struct tlb_daemon *d = arg;

	tlb_log_flush();
	tlb_timer_set(&d->loop, &d->log_timer, tlb_clock_now() + LOG_FLUSH_INTERVAL);
}

static void init_board(struct tlb_daemon *d)
{
	struct tlb_board *b = &d->board;
	enum tlb_policy policy = TLB_POLICY_TOUCANLB;
	uint64_t seed;

	b->settings = &d->settings;
	b->loop = &d->loop;
	b->http = &d->http;
	b->store = &d->store;
	b->cluster = &d->cluster;
	b->table = d->config.table;
	randombytes_buf(&seed, sizeof(seed));
	tlb_policy_parse(d->settings.policy, &policy);
	tlb_selector_init(&b->place, policy, d->settings.zone, seed);
	tlb_load_init(&b->load, b);
	tlb_limit_init(&b->limit, b);
	tlb_bookings_init(&b->bookings, b);
	tlb_pools_init(&b->pools, b);
	tlb_requests_init(&b->requests, b);
	tlb_services_init(&b->services, b);
	tlb_orders_init(&b->orders, b);
	tlb_bookings_start(&b->bookings);
}

static void init_cluster(struct tlb_daemon *d)
{
	const struct tlb_cluster_handlers handlers = {
		.arg = d,
		.reserve_tokens = on_reserve_tokens,
		.return_tokens = on_return_tokens,
		.book_decode = on_book_decode,
		.renew_bookings = on_renew_bookings,
		.release_booking = on_release_booking,
		.preempt = on_preempt,
		.bookings_pull = on_bookings_pull,
		.config_push = on_config_push,
		.config_pull = on_config_pull,
		.open_delegation = on_open_delegation,
		.close_delegation = on_close_delegation,
		.on_shards_changed = on_shards_changed,
		.export_shards = export_shards,
		.import_shards = import_shards,
		.on_map_changed = on_map_changed,
		.on_standby_release = on_standby_release,
		.on_fenced = on_fenced,
		.on_peer_config_version = on_peer_config_version,
		.load_notice = on_load_notice,
		.on_link_up = on_link_up,
		.load_reports = load_reports,
		.on_load_reports = on_load_reports,
		.on_session_lost = on_session_lost,
		.on_session_regained = on_session_regained,
		.on_self_fenced = on_self_fenced,
		.config_version = config_version,
	};

	tlb_cluster_init(&d->cluster, &d->loop, &d->settings, &d->store, &d->board.counters,
			 &handlers);
	update_owner_name(d);
}

static enum tlb_code start_front(struct tlb_daemon *d, struct tlb_error *err)
{
	char prefix[TLB_REQUEST_PREFIX_LEN];
	struct tlb_listener_limits limits = {
		.memory = &d->memory,
		.max_body_bytes = (size_t)d->settings.max_body_bytes,
		.max_connections = (unsigned)d->settings.max_connections,
		.request_timeout_ms = d->settings.request_timeout_ms,
		.idle_timeout_ms = TLB_LISTENER_IDLE_MS,
	};

	/* The incarnation as prefix makes request ids unique across VMs and restarts. */
	snprintf(prefix, sizeof(prefix), "%016" PRIx64, tlb_cluster_incarnation(&d->cluster));
	return tlb_listener_init(&d->caller_listener, &d->loop, d->settings.caller_addr, prefix,
				 &limits, tlb_ingress_handle, &d->board, err);
}

static enum tlb_code start_operators(struct tlb_daemon *d, struct tlb_error *err)
{
	const struct tlb_operator_callbacks source = {
		.arg = d,
		.status = get_status,
		.requests = list_requests,
		.endpoints = list_endpoints,
		.accounts = list_accounts,
		.peers = list_peers,
		.ready = check_ready,
		.refresh_counters = refresh_counters,
	};

	return tlb_operator_init(&d->operator_listener, &d->loop, &d->config, &d->changes,
				 &d->board.counters, &d->settings, &source, err);
}

enum tlb_code tlb_daemon_init(struct tlb_daemon *d, struct tlb_error *err)
{
	if (tlb_loop_init(&d->loop) != APR_SUCCESS)
		return tlb_error_set(err, TLB_INTERNAL, TLB_OUTCOME_NOT_RUN, "start", "",
				     "the event loop could not start");
	tlb_memory_init(&d->memory, tlb_memory_limit((size_t)d->settings.request_memory_mb << 20));
	tlb_http_init(&d->http, &d->loop);
	d->http.memory = &d->memory;
	tlb_store_init(&d->store, &d->http, d->settings.store_url);
	tlb_config_init(&d->config, &d->loop, &d->store, &d->board.counters, on_table, d);
	tlb_changes_init(&d->changes, &d->config);
	tlb_timer_init(&d->drain_timer, on_drain, d);
	tlb_timer_init(&d->log_timer, on_log_timer, d);
	on_log_timer(d);
	init_cluster(d);
	tlb_propagation_init(&d->spread, &d->loop, &d->cluster, &d->config);
	init_board(d);
	tlb_signals_init(&d->signals, &d->loop, on_signal, d);
	if (tlb_cluster_start(&d->cluster, err) != TLB_OK)
		return err->code;
	if (start_front(d, err) != TLB_OK)
		return err->code;
	if (start_operators(d, err) != TLB_OK)
		return err->code;
	tlb_config_start(&d->config);
	return TLB_OK;
}

void tlb_daemon_run(struct tlb_daemon *d)
{
	tlb_log_info("event=start vm=%s incarnation=%016" PRIx64 " caller=%s operator=%s",
		     d->settings.vm_id, tlb_cluster_incarnation(&d->cluster),
		     d->caller_listener.addr, d->operator_listener.listener.addr);
	tlb_loop_run(&d->loop);
	tlb_log_info("event=stop vm=%s", d->settings.vm_id);
}

void tlb_daemon_finish(struct tlb_daemon *d)
{
	tlb_requests_finish(&d->board.requests);
	tlb_services_finish(&d->board.services);
	tlb_orders_finish(&d->board.orders);
	tlb_operator_finish(&d->operator_listener);
	tlb_listener_finish(&d->caller_listener);
	tlb_bookings_finish(&d->board.bookings);
	tlb_pools_finish(&d->board.pools);
	tlb_limit_finish(&d->board.limit);
	tlb_load_finish(&d->board.load);
	tlb_propagation_finish(&d->spread);
	tlb_cluster_finish(&d->cluster);
	tlb_changes_finish(&d->changes);
	tlb_config_finish(&d->config);
	tlb_timer_clear(&d->loop, &d->drain_timer);
	tlb_timer_clear(&d->loop, &d->log_timer);
	tlb_signals_finish(&d->signals);
	tlb_http_finish(&d->http);
	tlb_loop_finish(&d->loop);
}
