/*
 * The daemon that runs behind a users' platform (settings: platform.adapter): creates and connects
 * its modules and shuts down gracefully. The lists of endpoints and VMs and the configuration come
 * from the platform's store; the platform's protocol is implemented in platform/.
 */
#ifndef TLB_EDGE_H
#define TLB_EDGE_H

#include "edgeboard.h"
#include "routing_load.h"
#include "signals.h"
#include "tables.h"

enum tlb_edge_phase {
	TLB_EDGE_SERVING,
	TLB_EDGE_NOTICE,   /* reports not ready to the load balancer, still serves new requests */
	TLB_EDGE_DRAINING, /* refuses new requests; those in flight continue */
	TLB_EDGE_FLUSHING, /* sends the last responses */
};

/* Late rounds of the event loop that are not logged yet. */
struct tlb_late_rounds {
	int count;
	tlb_time longest;
	tlb_time busy;	      /* the part of longest that this process was busy */
	tlb_time next_log_at; /* not logged before this */
};

/* Owned by main(). */
struct tlb_edge {
	struct tlb_settings settings;
	const char *settings_path;
	time_t settings_changed; /* modification time of the settings file when it was read */
	struct tlb_loop loop;
	struct tlb_late_rounds late_rounds;
	struct tlb_memory memory; /* of requests and responses in flight */
	struct tlb_http http;
	struct tlb_rowstore store;
	struct tlb_tables tables;
	struct tlb_routing_load routing_load;
	struct tlb_listener caller_listener;  /* callers' requests */
	struct tlb_listener ready_listener;   /* readiness checks of the load balancer */
	struct tlb_listener metrics_listener; /* metrics */
	struct tlb_edge_board board;
	struct tlb_signals signals;
	enum tlb_edge_phase phase;
	tlb_time notice_deadline; /* end of TLB_EDGE_NOTICE */
	tlb_time drain_deadline;  /* requests without a response are ended then */
	struct tlb_timer drain_timer;
	struct tlb_timer log_timer;
	struct tlb_timer settings_timer;
};

/* Initialises and starts all modules. settings and settings_path must be set. */
enum tlb_code tlb_edge_init(struct tlb_edge *e, struct tlb_error *err);
/* Runs the event loop until a shutdown is complete. */
void tlb_edge_run(struct tlb_edge *e);
void tlb_edge_finish(struct tlb_edge *e);
/* Whether the load balancer should send requests to this VM. */
bool tlb_edge_ready(const struct tlb_edge *e);

#endif
