/*
 * A token bucket together with the grants booked in it, each identified by its reservation id. The
 * functions have no side effects outside the ledger; the caller passes the time.
 *
 * The bucket's outstanding bookings equal the sum of the grants, and the level plus the grants
 * never exceed the burst. Tokens are returned only for a grant that is listed here, and only once,
 * when its last tokens are reconciled: a reconciliation that is repeated, late or addressed to
 * another VM's ledger changes nothing. Otherwise, after a takeover, a reconciliation of a grant of
 * the former owner would return tokens that other requests have booked.
 */
#ifndef TLB_LEDGER_H
#define TLB_LEDGER_H

#include <apr_ring.h>

#include "bucket.h"
#include "ident.h"
#include "table.h"

/* One grant without pointers, as it is transferred between VMs. */
struct tlb_ledger_entry {
	char id[TLB_REQUEST_ID_LEN];
	char vm[TLB_ID_LEN]; /* VM that requested the tokens */
	uint64_t incarnation;
	int64_t tokens; /* booked, not yet reconciled */
};

struct tlb_ledger_grant {
	APR_RING_ENTRY(tlb_ledger_grant) link;
	struct tlb_ledger_entry entry;
};

APR_RING_HEAD(tlb_ledger_ring, tlb_ledger_grant);

/* Owned by the user, who must not move it once initialised, because the ring links point into it.
 * Owns the grants. */
struct tlb_ledger {
	struct tlb_bucket bucket;
	struct tlb_ledger_ring grants;
	size_t count;
};

/* Initialises a ledger without grants; level is in tokens. */
void tlb_ledger_init(struct tlb_ledger *l, int64_t rate, int64_t burst, int64_t level,
		     tlb_time now);
void tlb_ledger_finish(struct tlb_ledger *l);

/* Books the requested tokens. Returns false and changes nothing when the level does not cover them.
 * A request whose id already has a grant is a duplicated message: returns true, books nothing. */
bool tlb_ledger_reserve(struct tlb_ledger *l, const struct tlb_ledger_entry *request, tlb_time now);
/* Reconciles booked tokens of a grant, of which used were used. Unused tokens are returned only
 * with the last tokens of the grant. Returns false when there is no grant with this id. */
bool tlb_ledger_reconcile(struct tlb_ledger *l, const char *id, int64_t booked, int64_t used,
			  tlb_time now);
/* A VM was fenced or has left: its grants count as used. */
void tlb_ledger_on_fence(struct tlb_ledger *l, const char *vm, uint64_t incarnation, tlb_time now);
/* Sets rate and burst. Grants beyond a lower burst count as used, the newest first. */
void tlb_ledger_reconfigure(struct tlb_ledger *l, int64_t rate, int64_t burst, tlb_time now);

/* Removes up to micro micro-tokens from the level; returns the number removed. */
int64_t tlb_ledger_withdraw(struct tlb_ledger *l, int64_t micro, tlb_time now);
/* Adds micro-tokens to the level; those beyond the burst are discarded. */
void tlb_ledger_deposit(struct tlb_ledger *l, int64_t micro, tlb_time now);
/* Adds a grant made by another VM. Tokens beyond the burst count as used. */
void tlb_ledger_import_grant(struct tlb_ledger *l, const struct tlb_ledger_entry *e, tlb_time now);
/* Moves the level and the grants of from into l and leaves from empty. */
void tlb_ledger_merge(struct tlb_ledger *l, struct tlb_ledger *from, tlb_time now);

#endif
