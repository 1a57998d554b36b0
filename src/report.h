/*
 * Load reports of endpoints as they travel between daemons: which report replaces which, how old
 * one may be, and which reports a heartbeat carries. Pure functions with a given clock; no
 * allocation.
 *
 * Rule: only the owner of an endpoint's shard asks the endpoint; it numbers what it learns. Of one
 * process, the report with the higher number counts; of two processes, the one made later. A report
 * is dated by the start of the call that brought it, less the age that the endpoint states.
 * Reason: a daemon that was paused reads an old response when it goes on. By the time of the
 * response it would look fresh, by the start of the call it is as old as it is. A repeated report
 * must not count as a newer one, which it would by its date, because the time in transit varies.
 */
#ifndef TLB_REPORT_H
#define TLB_REPORT_H

#include <stdbool.h>
#include <stdint.h>

#include "clock.h"

enum { TLB_LOAD_REPORTS_MAX = 16 }; /* in one heartbeat */

/* An older report says nothing. One heartbeat a second carries a report that is less than 0.6 s
 * old, so that one heartbeat may be lost. */
#define TLB_REPORT_LIFE (3 * TLB_SECOND)

/* A value type; zero-initialised for none. */
struct tlb_report {
	uint64_t source;  /* incarnation of the daemon that asked the endpoint */
	uint64_t number;  /* of the report at the source */
	tlb_time made_at; /* by the clock of this daemon; 0: none */
	int free_pieces;
	int running;
	int64_t queued_tokens;
};

/* Whether the report says anything at now. */
bool tlb_report_known(const struct tlb_report *r, tlb_time now);
/* Whether next takes the place of r. */
bool tlb_report_replaces(const struct tlb_report *next, const struct tlb_report *r);

/* Whether the two tell the same load. */
bool tlb_report_same(const struct tlb_report *a, const struct tlb_report *b);

/* One endpoint whose reports this daemon sends. */
struct tlb_report_sending {
	tlb_time made_at; /* of its report; 0: none */
	tlb_time sent_at; /* when it was last sent; 0: never */
	int index;	  /* the caller's */
};

/* Picks up to TLB_LOAD_REPORTS_MAX of count endpoints, those sent longest ago first, and moves them
 * to the front in that order; endpoints without a known report are left out. Returns the number. */
int tlb_report_pick(struct tlb_report_sending *s, int count, tlb_time now);

enum { TLB_SENT_SLOTS = 32 };

/* What this daemon sent to one endpoint of late, which the reports don't show yet. Zero-initialised
 * when empty; the oldest entries are overwritten first. */
struct tlb_sent {
	struct {
		tlb_time at;
		int64_t tokens;
	} slot[TLB_SENT_SLOTS];
	int next;
};

void tlb_sent_note(struct tlb_sent *s, int64_t tokens, tlb_time now);
/* Tokens sent after the report was made. Without a known report, those of the last second: a
 * prefill takes less. */
int64_t tlb_sent_since(const struct tlb_sent *s, const struct tlb_report *r, tlb_time now);

#endif
