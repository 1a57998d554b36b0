/*
 * Rate and burst of client accounts, counted over all VMs without an owner. Pure functions with a
 * given clock.
 *
 * Rule: every VM keeps a token bucket of the whole account. It takes what it grants itself at once,
 * and what other VMs have granted as soon as they say so. While some VMs are silent, rate and burst
 * shrink to the share of the VMs that hear each other.
 *
 * Reason: no grant waits for another VM or for the store. What is granted over the limit is at most
 * what the others grant between two of their messages. Two halves of a divided fleet grant together
 * no more than the whole.
 */
#ifndef TLB_QUOTA_H
#define TLB_QUOTA_H

#include <apr_ring.h>
#include <stdbool.h>

#include "clock.h"
#include "routing.h"

/* One account at this VM. Owned by struct tlb_quotas. */
struct tlb_quota {
	APR_RING_ENTRY(tlb_quota) link;
	char account[TLB_NAME_LEN];
	int64_t rate;  /* cost per second; 0: no limit */
	int64_t burst; /* cost */
	double level;  /* cost that may still be granted; below 0 after others' grants */
	tlb_time refilled_at;
	int64_t granted; /* by this VM since its start */
	int64_t stated;	 /* of granted, what other VMs have been told */
};

APR_RING_HEAD(tlb_quota_ring, tlb_quota);

/* Caller-owned; owns the quotas. */
struct tlb_quotas {
	struct tlb_quota_ring all;
	double share; /* of rate and burst that this VM and those it hears may grant, 0 to 1 */
};

void tlb_quotas_init(struct tlb_quotas *q);
void tlb_quotas_finish(struct tlb_quotas *q);
/* Takes over rates and bursts of a configuration. Accounts that it no longer names are kept, so
 * that a key that comes back finds no fresh burst. */
void tlb_quotas_configure(struct tlb_quotas *q, const struct tlb_routing *r, tlb_time now);
void tlb_quotas_set_share(struct tlb_quotas *q, double share, tlb_time now);
/* The account's quota, or NULL. */
struct tlb_quota *tlb_quotas_find(const struct tlb_quotas *q, const char *account);

/* Grants the cost, or returns false and sets *ready_at to the time at which it would be granted if
 * nothing else happens. A cost over the burst is granted from a full bucket. */
bool tlb_quota_grant(struct tlb_quotas *q, struct tlb_quota *a, int64_t cost, tlb_time now,
		     tlb_time *ready_at);
/* Takes a grant back, because the request did not run. */
void tlb_quota_return(struct tlb_quotas *q, struct tlb_quota *a, int64_t cost, tlb_time now);
/* Other VMs have granted that much more; negative after returns. */
void tlb_quota_granted_elsewhere(struct tlb_quotas *q, struct tlb_quota *a, int64_t cost,
				 tlb_time now);

#endif
