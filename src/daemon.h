/* The daemon of a router VM: connects the modules with one another and shuts down gracefully. */
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
	TLB_DAEMON_NOTICE, /* reports not ready to the load balancer, still accepts new requests */
	TLB_DAEMON_DRAINING, /* accepts no new connections; requests in flight continue */
	TLB_DAEMON_LEAVING,  /* transfers its shards to other VMs */
};

/* Allocated by main(). */
struct tlb_daemon {
	struct tlb_settings settings;
	const char *settings_path;
	struct tlb_loop loop;
	struct tlb_memory memory; /* of requests and responses in flight */
	struct tlb_http http;
	struct tlb_store store;
	struct tlb_config config;
	struct tlb_changes changes;
	struct tlb_cluster cluster;
	struct tlb_propagation spread;
	struct tlb_listener caller_listener;
	struct tlb_operator_listener operator_listener;
	struct tlb_board board;
	enum tlb_daemon_phase phase;
	tlb_time notice_min_end; /* earliest end of TLB_DAEMON_NOTICE */
	tlb_time drain_deadline;
	int64_t last_request_count; /* value of TLB_COUNTER_REQUESTS at the last check of the notice
				     */
	tlb_time last_request_at;   /* when seen_requests last increased */
	bool had_enough_witnesses; /* tlb_cluster_has_enough_witnesses() has been true at least once
				    */
	struct tlb_timer drain_timer;
	struct tlb_timer log_timer;
	struct tlb_signals signals;
	int64_t applied_table_version; /* version that the controllers last applied */
};

/* Initializes all modules and starts listening; settings and settings_path must be set. On failure
 * err names the step. */
enum tlb_code tlb_daemon_init(struct tlb_daemon *d, struct tlb_error *err);
/* Serves until a graceful shutdown is complete. */
void tlb_daemon_run(struct tlb_daemon *d);
void tlb_daemon_finish(struct tlb_daemon *d);
/* Whether the platform's load balancer should send requests to this VM. */
bool tlb_daemon_ready(struct tlb_daemon *d);

#endif
