/*
 * A token bucket together with the grants that are booked in it, each under the id of its
 * reservation. Pure functions with a given clock.
 *
 * Rule: the bucket's outstanding bookings are exactly the sum of the grants, and level plus grants
 * never exceed the burst. Only a grant that is listed here can give tokens back, and only once,
 * when its last part is settled: a settlement that is repeated, late, or meant for another VM's
 * ledger changes nothing. Without that a takeover would let the bookings of the former owner give
 * back tokens of other requests.
 */
#ifndef TLB_LEDGER_H
#define TLB_LEDGER_H

#include <apr_ring.h>

#include "bucket.h"
#include "ident.h"
#include "table.h"

/* One grant, free of pointers: the form in which grants move between VMs. */
struct tlb_ledger_entry {
	char id[TLB_REQUEST_ID_LEN];
	char vm[TLB_ID_LEN]; /* that asked for the tokens */
	uint64_t incarnation;
	int64_t tokens; /* booked and not settled */
};

struct tlb_ledger_grant {
	APR_RING_ENTRY(tlb_ledger_grant) link;
	struct tlb_ledger_entry entry;
};

APR_RING_HEAD(tlb_ledger_ring, tlb_ledger_grant);

/* Owned by its user, not movable once initialised; owns the grants. */
struct tlb_ledger {
	struct tlb_bucket bucket;
	struct tlb_ledger_ring grants;
	size_t count;
};

/* Starts without grants; level in tokens. */
void tlb_ledger_init(struct tlb_ledger *l, int64_t rate, int64_t burst, int64_t level,
		     tlb_time now);
void tlb_ledger_finish(struct tlb_ledger *l);

/* Books tokens under an id, or changes nothing and returns false. An id that holds a grant already
 * is answered with that grant: the message was doubled. */
bool tlb_ledger_take(struct tlb_ledger *l, const struct tlb_ledger_entry *wanted, tlb_time now);
/* Settles booked tokens of a grant, of which used were used; what the last part leaves unused comes
 * back. Returns false when the id holds no grant here. */
bool tlb_ledger_settle(struct tlb_ledger *l, const char *id, int64_t booked, int64_t used,
		       tlb_time now);
/* A VM is gone: its grants count as used. */
void tlb_ledger_fenced(struct tlb_ledger *l, const char *vm, uint64_t incarnation, tlb_time now);
/* Applies a rate and burst. Grants that the burst no longer covers count as used from now on. */
void tlb_ledger_resize(struct tlb_ledger *l, int64_t rate, int64_t burst, tlb_time now);

/* Takes up to micro micro-tokens out of the level; returns how many. */
int64_t tlb_ledger_withdraw(struct tlb_ledger *l, int64_t micro, tlb_time now);
/* Adds micro-tokens to the level, within the burst. */
void tlb_ledger_deposit(struct tlb_ledger *l, int64_t micro, tlb_time now);
/* Adds a grant that another VM made; what the burst does not cover counts as used. */
void tlb_ledger_adopt(struct tlb_ledger *l, const struct tlb_ledger_entry *e, tlb_time now);
/* Moves level and grants of from into l and leaves from empty. */
void tlb_ledger_merge(struct tlb_ledger *l, struct tlb_ledger *from, tlb_time now);

#endif
