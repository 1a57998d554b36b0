/*
 * Load reports of endpoints, which daemons exchange in heartbeats: which report replaces which, the
 * maximum age of a report, and which reports a heartbeat carries. Pure functions that get the time
 * as a parameter; no allocation.
 *
 * Rule: only the owner of an endpoint's shard polls the endpoint, and numbers the reports that it
 * reads. Between two reports of one process the higher number wins, between reports of different
 * processes the later made_at. made_at is the start of the call that fetched the report, less the
 * age that the endpoint states.
 * Reason: a daemon that was paused reads an old response when it resumes. Dated by the arrival of
 * the response the report would look fresh; dated by the start of the call it has its true age. A
 * repeated report must not replace the one it repeats; by made_at alone it could, because the time
 * in transit varies.
 */
#ifndef TLB_REPORT_H
#define TLB_REPORT_H

#include <stdbool.h>
#include <stdint.h>

#include "clock.h"

enum { TLB_LOAD_REPORTS_MAX = 16 }; /* in one heartbeat */

/* Maximum age of a usable report. Heartbeats are sent once a second with reports less than 0.6 s
 * old, so a report stays usable when one heartbeat is lost. */
#define TLB_REPORT_LIFE (3 * TLB_SECOND)

/* The load of one endpoint at one time; zero-initialized when there is no report. */
struct tlb_report {
	uint64_t source;      /* incarnation of the daemon that polled the endpoint */
	uint64_t number;      /* assigned by the source, increasing */
	tlb_time measured_at; /* on this daemon's clock; 0: no report */
	int free_blocks;      /* free KV blocks */
	int running;	      /* requests */
	int64_t queued_tokens;
};

/* Whether there is a report and it is at most TLB_REPORT_LIFE old. */
bool tlb_report_fresh(const struct tlb_report *r, tlb_time now);
/* Whether next is newer than r by the rule above and replaces it. */
bool tlb_report_replaces(const struct tlb_report *next, const struct tlb_report *r);

/* Whether both state the same load. */
bool tlb_report_same_load(const struct tlb_report *a, const struct tlb_report *b);

/* An endpoint whose report this daemon may include in a heartbeat. */
struct tlb_report_candidate {
	tlb_time measured_at; /* of its report; 0: no report */
	tlb_time sent_at;     /* when it was last sent; 0: never */
	int index;	      /* set and interpreted by the caller */
};

/* Selects up to TLB_LOAD_REPORTS_MAX of count endpoints, least recently sent first, and moves them
 * to the front of s in that order; endpoints without a usable report are skipped. Returns the
 * number selected. */
int tlb_report_select(struct tlb_report_candidate *s, int count, tlb_time now);

enum { TLB_DISPATCH_SLOTS = 32 };

/* Ring buffer of the requests that this daemon recently sent to one endpoint, whose load its
 * reports don't include yet. Zero-initialized when empty; the oldest entry is overwritten first. */
struct tlb_dispatch_log {
	struct {
		tlb_time at;
		int64_t tokens;
	} slot[TLB_DISPATCH_SLOTS];
	int next;
};

/* Records a request of this many tokens sent at now. */
void tlb_dispatch_log_record(struct tlb_dispatch_log *s, int64_t tokens, tlb_time now);
/* Returns the number of tokens sent after r->made_at or, without a usable report, within the last
 * second, because a prefill takes less than that. */
int64_t tlb_dispatch_log_tokens_since(const struct tlb_dispatch_log *s, const struct tlb_report *r,
				      tlb_time now);

#endif
