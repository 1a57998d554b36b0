/* One running daemon: its parts, how they are connected, and its graceful shutdown. */
#ifndef TLB_DAEMON_H
#define TLB_DAEMON_H

#include "board.h"
#include "change.h"
#include "config.h"
#include "operator.h"
#include "signals.h"
#include "propagation.h"

enum tlb_daemon_phase {
	TLB_DAEMON_SERVING,
	TLB_DAEMON_NOTICE,   /* not ready for the balancer, still takes new requests */
	TLB_DAEMON_DRAINING, /* takes no new connections; requests in flight go on */
	TLB_DAEMON_LEAVING,  /* hands its shards over */
};

/* Owned by main(). */
struct tlb_daemon {
	struct tlb_settings settings;
	const char *settings_path;
	struct tlb_loop loop;
	struct tlb_http http;
	struct tlb_store store;
	struct tlb_config config;
	struct tlb_changes changes;
	struct tlb_cluster cluster;
	struct tlb_propagation spread;
	struct tlb_listener front;
	struct tlb_operator_listener operators;
	struct tlb_board board;
	enum tlb_daemon_phase phase;
	tlb_time notice_deadline; /* earliest end of TLB_DAEMON_NOTICE */
	tlb_time drain_deadline;
	int64_t seen_requests; /* when the balancer was last seen to send new requests */
	tlb_time last_request;
	bool was_replaceable; /* tlb_cluster_has_enough_witnesses() was true once */
	struct tlb_timer drain_timer;
	struct tlb_timer log_timer;
	struct tlb_signals signals;
	int64_t table_version; /* that the controllers last took over */
};

/* Sets up every part; settings are loaded and settings_path is set. On failure err says which and
 * nothing is left open. */
enum tlb_code tlb_daemon_init(struct tlb_daemon *d, struct tlb_error *err);
/* Serves until a shutdown is complete. */
void tlb_daemon_run(struct tlb_daemon *d);
void tlb_daemon_finish(struct tlb_daemon *d);
/* Whether the platform's balancer should send requests here. */
bool tlb_daemon_ready(struct tlb_daemon *d);

#endif
