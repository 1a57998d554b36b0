/*
 * Token buckets that limit rate and burst of client accounts across all VMs. The functions have no
 * side effects outside the quotas; the caller passes the time.
 *
 * In a fleet in which every VM hears every other one, every VM keeps a token bucket with the
 * account's full rate and burst. It subtracts its own grants at once, and the grants of other VMs
 * when they report them. While some VMs are unreachable, rate and burst are reduced to the share of
 * the VMs that can reach each other. In larger fleets one of these buckets decides for all VMs; see
 * module quota_owner.
 *
 * No grant waits for the store. In a small fleet the account can exceed its limit by at most the
 * cost that the VMs grant between two of their reports. The two sides of a network partition
 * together grant no more than the undivided fleet would.
 */
#ifndef TLB_QUOTA_H
#define TLB_QUOTA_H

#include <apr_hash.h>
#include <apr_pools.h>
#include <apr_ring.h>
#include <stdbool.h>

#include "clock.h"
#include "routing.h"

/* Quota of one account at this VM. Owned by struct tlb_quotas. */
struct tlb_quota {
	APR_RING_ENTRY(tlb_quota) link;
	char account[TLB_LABEL_LEN];
	int64_t rate;  /* cost per second; 0: no limit */
	int64_t burst; /* cost */
	double level;  /* cost that may still be granted; negative after grants of other VMs */
	/* As level, but refilled with the whole rate up to the whole burst: what the account has
	 * left, as far as this VM knows. */
	double fleet_level;
	uint64_t level_source; /* incarnation of the VM that last set fleet_level; 0: none */
	int64_t untold;	       /* cost granted by this VM as an owner and not told to others */
	APR_RING_ENTRY(tlb_quota) untold_link; /* while untold is not 0 */
	tlb_time contested_until;	       /* another VM has granted lately as an owner */
	tlb_time refilled_at;
	int64_t granted;  /* cost granted by this VM since its start */
	int64_t reported; /* value of granted last reported to the other VMs */
	/* Separate bucket for grants of this VM alone, without the account's owner. */
	double alone_level;
	tlb_time alone_refilled_at;
	/* The owner refused a request of refused_cost; it would refuse another one until then. */
	tlb_time refused_until;
	tlb_time refused_ready_at; /* when the owner expected to grant that cost */
	int64_t refused_cost;
};

APR_RING_HEAD(tlb_quota_ring, tlb_quota);

/* Caller-owned; owns the quotas. */
struct tlb_quotas {
	struct tlb_quota_ring all;
	apr_pool_t *pool;
	apr_hash_t *by_account; /* name -> struct tlb_quota */
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
/* As tlb_quota_grant(), but not counted as granted, for a VM that decides for the whole fleet and
 * reports its grants to nobody. */
bool tlb_quota_take(struct tlb_quotas *q, struct tlb_quota *a, int64_t cost, tlb_time now,
		    tlb_time *ready_at);
/* Grants from this VM's fraction of rate and burst, 0 to 1, when no VM that knows the grants of the
 * fleet can be asked. A cost above that fraction of the burst is granted when it is full. Starts
 * from that fraction of what the account had left. */
bool tlb_quota_take_alone(struct tlb_quota *a, int64_t cost, double fraction, tlb_time now,
			  tlb_time *ready_at);
/* Returns the cost of a granted request that did not run. */
void tlb_quota_refund(struct tlb_quotas *q, struct tlb_quota *a, int64_t cost, tlb_time now);
/* Subtracts the cost that other VMs have granted since their last report; negative when they
 * returned more than they granted. */
void tlb_quota_add_remote(struct tlb_quotas *q, struct tlb_quota *a, int64_t cost, tlb_time now);
/* Sets what the account has left, as told by the VM of that incarnation, which decides. */
void tlb_quota_set_level(struct tlb_quotas *q, struct tlb_quota *a, int64_t level, uint64_t source,
			 tlb_time now);
/* Lowers the bucket to what the account has left according to another VM. */
void tlb_quota_limit_level(struct tlb_quotas *q, struct tlb_quota *a, int64_t level, tlb_time now);
/* What the account has left, as far as this VM knows. */
int64_t tlb_quota_fleet_level(const struct tlb_quota *a, tlb_time now);

#endif
