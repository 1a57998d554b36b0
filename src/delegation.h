/*
 * Delegation of part of an account's token bucket from the owner of the account's shard to the
 * standby. These are the rules; messages and timers are in delegator.h (owner) and standby.h
 * (standby). The functions have no side effects outside their arguments; the caller passes the
 * time. See docs/design.md, 3.6.
 *
 * While a delegation is open, the standby holds an allowance of 1/TLB_DELEGATION_DIVISOR of the
 * burst, from which it grants while the owner does not answer. The owner refills at the full rate
 * and keeps the rest of the burst. Opening moves the allowance out of the owner's level; a recall
 * moves its remaining level and its bookings back. Both together therefore never grant more than
 * burst + rate * window in any window, with or without a fence.
 *
 * Each operation of an owner has a sequence number that increases within the owner's incarnation.
 * The standby refuses to open with a number not above the highest that it has seen, so a late or
 * duplicated message opens nothing.
 */
#ifndef TLB_DELEGATION_H
#define TLB_DELEGATION_H

#include "ledger.h"
#include "session.h"

/* The allowance is the burst divided by this. If the burst equals 24 s of the rate, the allowance
 * covers the 6 s that a takeover takes at the full rate. */
enum { TLB_DELEGATION_DIVISOR = 4 };

/* Minimum time from a recall or a refusal to the next opening. */
#define TLB_DELEGATION_REOPEN_DELAY (1 * TLB_SECOND)
/* Interval at which the owner queries the level of an open allowance. One below half of its burst
 * is recalled, and opened again at its full size later. */
#define TLB_DELEGATION_REFRESH_INTERVAL (30 * TLB_SECOND)

/* The burst of the standby's allowance, in tokens. */
int64_t tlb_delegation_burst(int64_t burst);

/* The standby's reply to an operation. The entries are borrowed. */
struct tlb_delegation_reply {
	uint64_t seq;	   /* of the operation that is answered */
	uint64_t open_seq; /* of the operation that opened the allowance; 0: none */
	bool open;	   /* may grant; if false, no operation up to seq can open it any more */
	int64_t level;	   /* of the allowance, micro-tokens */
	const struct tlb_ledger_entry *entries; /* grants; only when not open */
	size_t count;
};

enum tlb_delegation_mode {
	TLB_DELEGATION_NONE,	/* nothing is delegated */
	TLB_DELEGATION_OPENING, /* owner's burst is reduced; the standby may have opened */
	TLB_DELEGATION_OPEN,
	TLB_DELEGATION_CLOSING, /* owner's burst is reduced; the standby may still grant */
};

/* The owner's state. Zero-initialised: nothing is delegated. Holds no resources. */
struct tlb_delegation_owner {
	enum tlb_delegation_mode mode;
	struct tlb_vm_name standby; /* valid unless the mode is TLB_DELEGATION_NONE */
	uint64_t seq;		    /* of the latest operation */
	uint64_t open_seq;	    /* of the operation that opened the delegation */
	int64_t delegated;	    /* level of the allowance when opened, micro-tokens */
	int64_t largest_request;    /* tokens of the largest request so far */
	tlb_time next_at;	    /* earliest next opening, or next level query */
};

/* Applies rate and burst of the account row to the owner's ledger, with the burst reduced by the
 * allowance while one is delegated. */
void tlb_delegation_configure(const struct tlb_delegation_owner *o, struct tlb_ledger *l,
			      int64_t rate, int64_t burst, tlb_time now);
/* Records the size of a request. */
void tlb_delegation_record_request(struct tlb_delegation_owner *o, int64_t tokens);
/* True when a delegation can be opened without delaying requests: the allowance covers the largest
 * request so far, the level is at least half of the burst, and the outstanding bookings fit into
 * the reduced burst. */
bool tlb_delegation_can_open(const struct tlb_delegation_owner *o, struct tlb_ledger *l,
			     tlb_time now);
/* Reduces the owner's burst and moves the allowance out of its level. The caller sends o->seq and
 * o->delegated until the standby has replied. seq must be larger than that of all earlier
 * operations. */
void tlb_delegation_open(struct tlb_delegation_owner *o, struct tlb_ledger *l,
			 const struct tlb_vm_name *standby, uint64_t seq, tlb_time now);
/* Starts to end the delegation. The caller sends o->seq until the standby has replied. */
void tlb_delegation_recall(struct tlb_delegation_owner *o, uint64_t seq);
/* Applies a reply, which must come from the standby incarnation that the delegation was opened
 * with. rate and burst are those of the account row. */
void tlb_delegation_on_reply(struct tlb_delegation_owner *o, struct tlb_ledger *l,
			     const struct tlb_delegation_reply *r, int64_t rate, int64_t burst,
			     tlb_time now);
/* A VM incarnation was fenced or has left. If it was the standby, the delegation ends: the owner
 * has the undivided bucket again, and the tokens of the allowance are lost. */
void tlb_delegation_on_fence(struct tlb_delegation_owner *o, struct tlb_ledger *l,
			     const struct tlb_vm_name *vm, int64_t rate, int64_t burst,
			     tlb_time now);

/* The standby's state for one account and one incarnation of its owner. Owns its ledger. */
struct tlb_delegation_standby {
	uint64_t seq;	   /* highest received */
	uint64_t open_seq; /* of the operation that opened the ledger; 0: none */
	bool open;
	bool recalled; /* the owner may have merged the ledger into its own */
	struct tlb_ledger ledger;
};

void tlb_delegation_standby_init(struct tlb_delegation_standby *s, tlb_time now);
void tlb_delegation_standby_finish(struct tlb_delegation_standby *s);
/* Handles an opening with a level in micro-tokens. allowed: the current shard map names the sender
 * as the owner and this incarnation as the standby, and this standby has not released its right to
 * take over. */
void tlb_delegation_on_open(struct tlb_delegation_standby *s, uint64_t seq, int64_t level,
			    bool allowed, int64_t burst, tlb_time now);
/* Handles a recall. Returns false for an outdated one, which must not be answered. */
bool tlb_delegation_on_close(struct tlb_delegation_standby *s, uint64_t seq);
/* Stops granting from this allowance permanently, because the right to take over was released or
 * the shard map names other VMs. */
void tlb_delegation_freeze(struct tlb_delegation_standby *s);
/* Applies a changed burst of the account row. */
void tlb_delegation_standby_configure(struct tlb_delegation_standby *s, int64_t burst,
				      tlb_time now);
/* Books tokens from an open allowance; false when there are too few. The caller has checked that
 * its session is valid and that the shard map names it as the standby. */
bool tlb_delegation_reserve(struct tlb_delegation_standby *s,
			    const struct tlb_ledger_entry *request, tlb_time now);
/* The standby has become the owner: moves an open allowance into the owner's ledger. A recalled
 * allowance is discarded, because the former owner may have granted its tokens. */
void tlb_delegation_merge(struct tlb_delegation_standby *s, struct tlb_ledger *l, tlb_time now);

#endif
