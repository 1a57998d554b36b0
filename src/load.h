/*
 * What this daemon knows of each endpoint: the row, the last load report, its own dispatches since,
 * and how its calls fared. A target is created for every endpoint row and kept for the daemon's
 * life, so that requests may point to it; a row that is gone makes it unusable.
 */
#ifndef TLB_LOAD_H
#define TLB_LOAD_H

#include <apr_ring.h>

#include "book.h"
#include "http.h"
#include "place.h"
#include "prefix.h"
#include "table.h"

struct tlb_board;

/* How often an engine's load is asked for. */
#define TLB_LOAD_INTERVAL (500 * TLB_MS)

/* Granted bookings that pay for one preemption, so that the prefill it wastes stays a bounded share
 * (docs/POLICY.md). */
enum { TLB_PREEMPT_COST = 20 };

struct tlb_target {
	APR_RING_ENTRY(tlb_target) link;
	struct tlb_board *board;
	bool present; /* the row is in the table in force */
	char id[TLB_ID_LEN];
	enum tlb_role role;
	char pool[TLB_ID_LEN];
	char zone[TLB_ID_LEN];
	char addr[TLB_ADDR_LEN];
	enum tlb_endpoint_state state;
	bool checks_fencing;
	int link_mbps;
	int total_pieces;
	int max_requests;

	/* The last report and what this daemon did since. */
	tlb_time reported_at;
	int free_pieces;
	int running;
	int64_t queued_tokens;
	int own_pieces;
	int64_t own_tokens;
	int in_flight;
	tlb_time token_gap_us;
	int64_t tokens_per_second;
	struct tlb_health health;
	struct tlb_prefix_cache prefixes; /* prefill: what it was last sent */

	/* Decode endpoints: the exact book, when this daemon owns the endpoint's shard. */
	struct tlb_book book;
	struct tlb_http_call held_call;

	struct tlb_http_call call;
	struct tlb_timer timer;
};

APR_RING_HEAD(tlb_target_ring, tlb_target);

/* Readies an empty book for the endpoint: batch work leaves a seventh of the memory free for
 * interactive requests (docs/POLICY.md). */
void tlb_load_reset_book(struct tlb_target *t);

/* Owned by the board; owns its targets. */
struct tlb_load {
	struct tlb_board *board;
	struct tlb_target_ring targets;
};

void tlb_load_init(struct tlb_load *l, struct tlb_board *b);
void tlb_load_finish(struct tlb_load *l);
/* Takes over the endpoint rows of the table in force. */
void tlb_load_sync(struct tlb_load *l);
struct tlb_target *tlb_load_find(const struct tlb_load *l, const char *id);

/* Fills what the placement functions need to know. Strings stay owned by the target. */
void tlb_load_candidate(const struct tlb_target *t, tlb_time now, struct tlb_candidate *c);
/* The endpoints as JSON: [{"endpoint","role","pool","zone","state","free_pieces","total_pieces",
 * "running","in_flight","report_age_ms","ejected"}]; report_age_ms is -1 without a report. */
json_t *tlb_load_list(const struct tlb_load *l);
/* Records how a call to the endpoint ended, for ejection; latency_us is the whole prefill call, or
 * of a decode stream the time per token. */
void tlb_load_outcome(struct tlb_target *t, bool ok, tlb_time latency_us);

#endif
