/*
 * What this daemon knows of each endpoint: the row, the last load report, its own dispatches since,
 * and how its calls fared. A target is created for every endpoint row and kept for the daemon's
 * life, so that requests may point to it; a row that is gone makes it unusable.
 *
 * Only the owner of an endpoint's shard asks the endpoint for its load; the others take the owner's
 * reports from its heartbeats and from its replies to bookings.
 */
#ifndef TLB_LOAD_H
#define TLB_LOAD_H

#include <apr_ring.h>

#include "book.h"
#include "http.h"
#include "place.h"
#include "prefix.h"
#include "report.h"
#include "shard.h"
#include "table.h"
#include "wire.pb-c.h"

struct tlb_board;

/* How often the owner of an engine's shard asks for its load. */
#define TLB_LOAD_INTERVAL (500 * TLB_MS)

/* With more other VMs than this the reports go with heartbeats only: a notice on each of 22 links
 * would take two thirds of a node's 7 KB/s. With it, placement is as good as with polls by every VM
 * (docs/POLICY.md). */
enum { TLB_LOAD_NOTICE_VMS = 8 };

/* What this daemon sent to a prefill endpoint; most endpoints of a large fleet never get any. */
struct tlb_dispatches {
	struct tlb_prefix_cache prefixes;
	struct tlb_sent sent;
};
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
	struct tlb_report report;
	bool polled; /* this daemon asks the endpoint itself */
	tlb_time asked_at;
	tlb_time sent_at; /* when the report was last sent */
	struct tlb_report sent;
	/* By the latest of report and reply to a booking; says nothing any more from free_until. */
	int free_pieces;
	tlb_time free_until;
	int own_pieces;
	int in_flight;
	tlb_time token_gap_us;
	int64_t tokens_per_second;
	struct tlb_health health;
	struct tlb_dispatches *dispatches; /* prefill: owned; NULL before the first one */

	/* Decode endpoints: the exact book, when this daemon owns the endpoint's shard. */
	struct tlb_book book;
	struct tlb_stray *strays; /* of the book; owned, NULL for endpoints of other VMs */
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
	tlb_shard_set acting; /* as last told by tlb_load_shards_changed() */
	uint64_t number;      /* of the last report made here */
	/* The reports that the heartbeats of this number carry. */
	uint64_t heartbeat;
	struct tlb_timer notice_timer;
	struct tlb_target *picked[TLB_LOAD_REPORTS_MAX];
	int picked_count;
	Toucan__LoadReport message[TLB_LOAD_REPORTS_MAX];
	Toucan__LoadReport *messages[TLB_LOAD_REPORTS_MAX];
};

void tlb_load_init(struct tlb_load *l, struct tlb_board *b);
void tlb_load_finish(struct tlb_load *l);
/* Takes over the endpoint rows of the table in force. */
void tlb_load_sync(struct tlb_load *l);
/* Asks the endpoints of gained shards at once, and those of lost ones no more. */
void tlb_load_shards_changed(struct tlb_load *l, tlb_shard_set gained, tlb_shard_set lost);
struct tlb_target *tlb_load_find(const struct tlb_load *l, const char *id);

/* Fills a report of an endpoint that this daemon owns; the strings stay owned by the target.
 * Returns false when there is none that says anything. */
bool tlb_load_report(const struct tlb_target *t, Toucan__LoadReport *out);
/* The reports for the heartbeats of one number, the same for all of them; borrowed until the next
 * call. Returns their number. */
size_t tlb_load_reports(struct tlb_load *l, uint64_t heartbeat, Toucan__LoadReport ***out);
/* Takes a report of another daemon, unless that one doesn't own the endpoint (any more) or a newer
 * one is known. */
void tlb_load_take(struct tlb_load *l, const char *vm, uint64_t incarnation,
		   const Toucan__LoadReport *report);
/* The owner has told in a reply what is free. */
void tlb_load_told_free(struct tlb_target *t, int free_pieces);
/* Whether the endpoint may have room, as far as is known here. */
bool tlb_load_may_have(const struct tlb_target *t, int pieces, tlb_time now);
/* Notes a prefill that is about to be sent. */
void tlb_load_sent(struct tlb_target *t, int64_t tokens, const struct tlb_prefix *prefix);
/* Bytes of the prompt that the endpoint's cache probably covers. */
size_t tlb_load_cached(const struct tlb_target *t, const struct tlb_prefix *prefix);

/* Fills what the placement functions need to know. Strings stay owned by the target. */
void tlb_load_candidate(const struct tlb_target *t, tlb_time now, struct tlb_candidate *c);
/* The endpoints as JSON: [{"endpoint","role","pool","zone","state","free_pieces","total_pieces",
 * "running","in_flight","report_age_ms","ejected"}]; report_age_ms is -1 without a report. */
json_t *tlb_load_list(const struct tlb_load *l);
/* Records how a call to the endpoint ended, for ejection; latency_us is the whole prefill call, or
 * of a decode stream the time per token. */
void tlb_load_outcome(struct tlb_target *t, bool ok, tlb_time latency_us);

#endif
