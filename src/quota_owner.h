/*
 * Limits of client accounts in a fleet that is too large for every VM to hear of every grant in
 * time. A hash selects a few VMs, and a hash of the account ranks them. The one ranked first owns
 * the account's bucket: the others ask it for the cost of each request, one round trip between VMs.
 * The one ranked second is told, so that it knows what was granted when it has to decide instead.
 * Each decision tells the VM that asked what the account has left, and each request tells the VM
 * that is asked what the last decision has told: whichever VM decides next learns from the first
 * requests what was granted before, however many owners have left meanwhile.
 *
 * Load pattern: hundreds of VMs that each see a few requests of an account, which together come
 * close to its rate or exceed it. With buckets that learn of other VMs' grants by reports, the
 * requests between two reports are refused wrongly or exceed the limit.
 *
 * Failures: a VM that does not answer in time is avoided for a while, and the next one is asked.
 * When links lose packets, several VMs are thus asked for the same account at a time. Those that
 * grant beside the one ranked first tell each other, and so does that one as soon as it hears of
 * it. A VM that has just started does not decide as long as another one can, because it does not
 * know what was granted before. Neither does one that is leaving, so that the next owner takes over
 * while those that know the bucket still ask; when all VMs are leaving, they decide among
 * themselves. When no VM answers, this one grants from its own fraction of the limit. VMs that are
 * leaving serve requests for some seconds; the fleet counts as large, and fractions as small, until
 * it has had fewer VMs for a while.
 */
#ifndef TLB_QUOTA_OWNER_H
#define TLB_QUOTA_OWNER_H

#include "peer.h"
#include "quota.h"
#include "vms.h"

/* Time within which a VM must answer; several round trips between zones. */
#define TLB_QUOTA_ANSWER_TIMEOUT (60 * TLB_MS)
/* A VM that did not answer is not asked for this long. */
#define TLB_QUOTA_AVOID_TIME (2 * TLB_SECOND)
/* Time after its start in which a VM decides only as a last resort. The list of VMs reaches all of
 * a large fleet, and a bucket refills, within this time. */
#define TLB_QUOTA_WARMUP (4 * TLB_SECOND)
/* A VM that grants beside another one tells the other owners of its grants after this time. */
#define TLB_QUOTA_TELL_DELAY (50 * TLB_MS)
/* How long after a grant of another VM the VM ranked first tells all others of its own. */
#define TLB_QUOTA_CONTEST_TIME (4 * TLB_SECOND)
/* After a refusal, requests of at least that cost are refused without asking again for this long;
 * returned cost may make the owner grant earlier than it expected. */
#define TLB_QUOTA_REFUSAL_TTL (200 * TLB_MS)

enum {
	TLB_QUOTA_OWNERS = 8,	 /* VMs that own the accounts of a fleet */
	TLB_QUOTA_VMS_ASKED = 4, /* VMs asked for one request */
};

/* How one VM has answered. */
enum tlb_quota_answer {
	TLB_QUOTA_NO_ANSWER,
	TLB_QUOTA_UNAVAILABLE, /* does not know the account */
	TLB_QUOTA_LEAVING,
	TLB_QUOTA_WARMING, /* has just started */
	TLB_QUOTA_GRANTED,
	TLB_QUOTA_REFUSED,
};

/* The next step of an acquisition. */
struct tlb_quota_step {
	enum {
		TLB_QUOTA_ASK,
		TLB_QUOTA_ASK_LAST_RESORT,
		TLB_QUOTA_ASK_LEAVING, /* rank those that are leaving too, from rank 0 on */
		TLB_QUOTA_DECIDE_ALONE,
	} kind;
	int rank; /* of the VM to ask, from 0 */
};

/* Decides the next step from the answers of the VMs ranked 0 to asked - 1, none of which decided;
 * last_resort: the VM that was asked as a last resort has failed too. Pure function. */
struct tlb_quota_step tlb_quota_next_step(const enum tlb_quota_answer *answers, int asked,
					  int ranked, bool last_resort);

/* Called once. ready_at: when a refused cost can be granted. May end the acquisition's owner. */
typedef void tlb_quota_done_fn(void *arg, bool granted, tlb_time ready_at);

/* One request's acquisition. Owned by the request; zero-initialised when idle. The account's cost
 * remains acquired after on_done until it is used or returned. */
struct tlb_quota_acquisition {
	struct tlb_quota_owners *owners; /* NULL when idle */
	struct tlb_peer_call call;
	char account[TLB_LABEL_LEN];
	int64_t cost;
	char ranked[TLB_QUOTA_VMS_ASKED + 1][TLB_ID_LEN];
	int ranked_count;
	int rank; /* of the VM being asked, or that granted */
	int asked;
	enum tlb_quota_answer answers[TLB_QUOTA_VMS_ASKED];
	bool last_resort;
	bool asks_leaving; /* ranked includes VMs that are leaving; each decides nevertheless */
	bool alone;	   /* granted from this VM's own fraction */
	int64_t level;	   /* refused: what the deciding bucket held, for the log */
	tlb_quota_done_fn *on_done;
	void *arg;
};

/* Caller-owned; all pointers are borrowed. */
struct tlb_quota_owners {
	struct tlb_vms *vms;
	struct tlb_quotas *quotas;
	tlb_time warm_at; /* from then on this VM decides without being the last resort */
	struct tlb_quota_ring untold; /* accounts with grants to tell */
	struct tlb_timer tell_timer;  /* set while there are any */
};

void tlb_quota_owners_init(struct tlb_quota_owners *o, struct tlb_vms *vms,
			   struct tlb_quotas *quotas);
void tlb_quota_owners_finish(struct tlb_quota_owners *o);
/* Whether the fleet is, or was recently, large enough for accounts to have owners. In a smaller one
 * every VM hears every other one, and tlb_quota_grant() decides without a round trip. */
bool tlb_quota_owners_needed(const struct tlb_quota_owners *o);
/* Handles AcquireCost and CostNotice. */
void tlb_quota_owners_on_message(struct tlb_quota_owners *o, struct tlb_peer *peer,
				 const Toucan__Envelope *msg);

/* Requests the cost from the account's owner. on_done may run within this call when this VM decides
 * by itself. */
void tlb_quota_acquire(struct tlb_quota_acquisition *a, struct tlb_quota_owners *o,
		       const struct tlb_quota *quota, int64_t cost, tlb_quota_done_fn *on_done,
		       void *arg);
/* Ends an acquisition without calling on_done; no effect when it is idle or has ended. */
void tlb_quota_acquisition_cancel(struct tlb_quota_acquisition *a);
/* The VM that decided, for the log; "" when this VM did not ask. */
const char *tlb_quota_acquisition_decider(const struct tlb_quota_acquisition *a);
/* Returns the cost of a granted request that did not run. */
void tlb_quota_acquisition_return(struct tlb_quota_acquisition *a);

#endif
