/*
 * Limits rate and burst of client accounts across all VMs without a central owner. The functions
 * have no side effects outside the quotas; the caller passes the time.
 *
 * Every VM keeps a token bucket with the account's full rate and burst. It subtracts its own grants
 * at once, and the grants of other VMs when they report them. While some VMs are unreachable, rate
 * and burst are reduced to the share of the VMs that can reach each other.
 *
 * No grant waits for another VM or for the store. The account can exceed its limit by at most the
 * cost that the VMs grant between two of their reports. The two sides of a network partition
 * together grant no more than the undivided fleet would.
 */
#ifndef TLB_QUOTA_H
#define TLB_QUOTA_H

#include <apr_ring.h>
#include <stdbool.h>

#include "clock.h"
#include "routing.h"

/* Quota of one account at this VM. Owned by struct tlb_quotas. */
struct tlb_quota {
	APR_RING_ENTRY(tlb_quota) link;
	char account[TLB_NAME_LEN];
	int64_t rate;  /* cost per second; 0: no limit */
	int64_t burst; /* cost */
	double level;  /* cost that may still be granted; negative after grants of other VMs */
	tlb_time refilled_at;
	int64_t granted;  /* cost granted by this VM since its start */
	int64_t reported; /* value of granted last reported to the other VMs */
};

APR_RING_HEAD(tlb_quota_ring, tlb_quota);

/* Caller-owned; owns the quotas. */
struct tlb_quotas {
	struct tlb_quota_ring all;
	double share; /* fraction of rate and burst for this VM and those it can reach, 0 to 1 */
};

void tlb_quotas_init(struct tlb_quotas *q);
void tlb_quotas_finish(struct tlb_quotas *q);
/* Applies rates and bursts of a configuration. Accounts that are not in it are kept, so that an
 * account that is added again gets no new burst. */
void tlb_quotas_configure(struct tlb_quotas *q, const struct tlb_routing *r, tlb_time now);
void tlb_quotas_set_share(struct tlb_quotas *q, double share, tlb_time now);
/* The account's quota, or NULL. */
struct tlb_quota *tlb_quotas_find(const struct tlb_quotas *q, const char *account);

/* Grants the cost, or returns false and sets *ready_at to the time at which it can be granted if
 * the refill is the only change. A cost above the burst is granted when the bucket is full. */
bool tlb_quota_grant(struct tlb_quotas *q, struct tlb_quota *a, int64_t cost, tlb_time now,
		     tlb_time *ready_at);
/* Returns the cost of a granted request that did not run. */
void tlb_quota_refund(struct tlb_quotas *q, struct tlb_quota *a, int64_t cost, tlb_time now);
/* Subtracts the cost that other VMs have granted since their last report; negative when they
 * returned more than they granted. */
void tlb_quota_add_remote(struct tlb_quotas *q, struct tlb_quota *a, int64_t cost, tlb_time now);

#endif
