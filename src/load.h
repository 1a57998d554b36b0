/*
 * Per-endpoint state of this daemon (struct tlb_target): the configuration row, the last load
 * report, the requests dispatched since, and the outcome of calls. A target is created for every
 * endpoint row and never freed while the daemon runs, so that requests may point to it; when the
 * row is removed, the target becomes unusable.
 *
 * Only the owner of an endpoint's shard polls the endpoint for its load; the other daemons get the
 * reports from the owner, in its heartbeats, load notices and booking replies.
 */
#ifndef TLB_LOAD_H
#define TLB_LOAD_H

#include <apr_ring.h>

#include "booking_table.h"
#include "http.h"
#include "selection.h"
#include "prefix.h"
#include "report.h"
#include "shard.h"
#include "table.h"
#include "wire.pb-c.h"

struct tlb_board;

/* How often the owner of an engine's shard polls the engine's load. */
#define TLB_LOAD_INTERVAL (500 * TLB_MS)

/* Load notices between heartbeats are sent only up to this number of other VMs: with 22 links they
 * would take two thirds of a node's budget of 7 KB/s. With notices, endpoint selection is as
 * good as when every VM polls (docs/POLICY.md). */
enum { TLB_LOAD_NOTICE_VMS = 8 };

/* Prefills that this daemon sent to an endpoint. Allocated on first use, because a daemon of a
 * large fleet never uses most endpoints. */
struct tlb_dispatches {
	struct tlb_prefix_cache prefixes;
	struct tlb_dispatch_log sent;
};
/* Granted bookings per preemption: bounds the share of prefill work that preemptions waste
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
	int total_blocks;
	int max_requests;

	/* The last report and what this daemon has done since. */
	struct tlb_report report;
	bool polled; /* by this daemon */
	tlb_time poll_started_at;
	tlb_time report_sent_at; /* when the report was last sent */
	struct tlb_report sent_report;
	/* From the last report or booking reply; not valid from free_until on. */
	int free_blocks;
	tlb_time free_expires;
	int local_blocks;
	int in_flight;
	tlb_time token_gap_us;
	int64_t tokens_per_second;
	struct tlb_health health;
	struct tlb_dispatches *dispatches; /* prefill: owned; NULL until the first */

	/* Decode endpoints: the booking table, in use when this daemon owns the shard. */
	struct tlb_booking_table bookings;
	struct tlb_orphan *orphans; /* for the table; owned, NULL when another VM owns the shard */
	tlb_time takeover_until;    /* a new owner of the table may not grant until then */
	/* This daemon's share of the table's credit for preemptions: its granted bookings less the
	 * cost of the preemptions that it was asked for, whichever VM owned the table. */
	int preempt_share;
	struct tlb_http_call reconcile_call;

	struct tlb_http_call call;
	struct tlb_timer timer;
};

APR_RING_HEAD(tlb_target_ring, tlb_target);

/* Initialises the endpoint's booking table as empty; batch requests leave a seventh of the memory
 * free for interactive ones (docs/POLICY.md). The caller frees the bookings first. */
void tlb_load_reset_bookings(struct tlb_target *t);

/* Owned by the board; owns its targets. */
struct tlb_load {
	struct tlb_board *board;
	struct tlb_target_ring targets;
	tlb_shard_set owned_shards;  /* owned shards, from tlb_load_shards_changed() */
	uint64_t last_report_number; /* of the last report that this daemon made */
	/* Number of the heartbeat for which the reports below were picked. */
	uint64_t heartbeat_number;
	struct tlb_timer notice_timer;
	struct tlb_target *picked[TLB_LOAD_REPORTS_MAX];
	int picked_count;
	Toucan__LoadReport message[TLB_LOAD_REPORTS_MAX];
	Toucan__LoadReport *messages[TLB_LOAD_REPORTS_MAX];
};

void tlb_load_init(struct tlb_load *l, struct tlb_board *b);
void tlb_load_finish(struct tlb_load *l);
/* Applies the endpoint rows of the configuration table in force. */
void tlb_load_sync(struct tlb_load *l);
/* Starts polling the endpoints of gained shards and stops polling those of lost ones. */
void tlb_load_shards_changed(struct tlb_load *l, tlb_shard_set gained, tlb_shard_set lost);
struct tlb_target *tlb_load_find(const struct tlb_load *l, const char *id);

/* Fills a report of an endpoint that this daemon owns; the strings stay owned by the target.
 * Returns false when there is no current report. */
bool tlb_load_report(const struct tlb_target *t, Toucan__LoadReport *out);
/* Sets out to the reports for the heartbeats with this number; all peers get the same ones.
 * Borrowed until the next call. Returns how many there are. */
size_t tlb_load_reports(struct tlb_load *l, uint64_t heartbeat, Toucan__LoadReport ***out);
/* Applies a report from another daemon, unless that daemon does not own the endpoint's shard (any
 * more) or a newer report has been received. */
void tlb_load_apply_report(struct tlb_load *l, const char *vm, uint64_t incarnation,
			   const Toucan__LoadReport *report);
/* Sets the free blocks from the owner's reply to a booking request. */
void tlb_load_set_free(struct tlb_target *t, int free_blocks);
/* Whether the endpoint may have this many blocks free; true when no current count is known. */
bool tlb_load_may_fit(const struct tlb_target *t, int blocks, tlb_time now);
/* Records a prefill that is about to be sent. */
void tlb_load_record_dispatch(struct tlb_target *t, int64_t tokens,
			      const struct tlb_prefix *prefix);
/* Bytes of the prompt that the endpoint's cache probably covers. */
size_t tlb_load_cached_bytes(const struct tlb_target *t, const struct tlb_prefix *prefix);

/* Fills the inputs of endpoint selection (selection.h). Strings stay owned by the target. */
void tlb_load_candidate(const struct tlb_target *t, tlb_time now, struct tlb_candidate *c);
/* The endpoints as JSON: [{"endpoint","role","pool","zone","state","free_pieces","total_pieces",
 * "running","in_flight","report_age_ms","ejected"}]; report_age_ms is -1 without a report. */
json_t *tlb_load_list(const struct tlb_load *l);
/* Records the outcome of a call to the endpoint, for outlier ejection; latency_us is the duration
 * of a prefill call, or the time per token of a decode stream. */
void tlb_load_record_outcome(struct tlb_target *t, bool ok, tlb_time latency_us);

#endif
