/*
 * The split of one account's bucket between the owner of the account's shard and its standby, as
 * rules over a given clock. See docs/design.md, 3.6.
 *
 * While the part is open, the standby holds up to TLB_PART_DIVISOR-th of the burst as a reserve
 * that it can grant from while the owner is silent; the owner refills at the whole rate and keeps
 * the rest of the burst. Level and bookings of the reserve come out of the owner's level when it is
 * opened and go back when it is recalled, so that both together never exceed burst + rate * window
 * in a window, whether or not a fence has happened.
 *
 * Every operation of an owner has a sequence number that grows within its incarnation. The standby
 * never opens under a number that it has passed, so that a late or doubled message opens nothing.
 */
#ifndef TLB_PART_H
#define TLB_PART_H

#include "ledger.h"
#include "session.h"

/* The standby's reserve is this fraction of the burst: at the full rate it lasts a takeover (6 s)
 * when the burst is worth 24 s. */
enum { TLB_PART_DIVISOR = 4 };

/* The owner opens again at the earliest this long after a recall or refusal. */
#define TLB_PART_REOPEN (1 * TLB_SECOND)
/* An open part is asked for its level this often, and filled up again when it is below half. */
#define TLB_PART_REFRESH (30 * TLB_SECOND)

int64_t tlb_part_standby_burst(int64_t burst);

/* What the standby answers to an operation. Borrowed entries. */
struct tlb_part_reply {
	uint64_t seq;	   /* of the operation */
	uint64_t part_seq; /* under which the part below was opened; 0 for none */
	bool open;	   /* it may grant; otherwise it never will under numbers up to seq */
	int64_t level;	   /* micro-tokens */
	const struct tlb_ledger_entry *entries;
	size_t count;
};

enum tlb_part_mode {
	TLB_PART_WHOLE,	  /* the owner holds the whole bucket */
	TLB_PART_OPENING, /* shrunk; the standby may have opened */
	TLB_PART_OPEN,
	TLB_PART_CLOSING, /* shrunk; the standby may still be granting */
};

/* The owner's side; no pointers. Zero-initialised: whole. */
struct tlb_part_owner {
	enum tlb_part_mode mode;
	struct tlb_vm_name standby; /* meaningful unless whole */
	uint64_t seq;		    /* of the operation in progress */
	uint64_t part_seq;	    /* of the opening */
	int64_t lent;		    /* micro-tokens sent with the opening */
	int64_t largest;	    /* tokens of the largest request seen */
	tlb_time next;		    /* when to open again, or to refresh */
};

/* Applies rate and burst of the row to the owner's ledger, as the mode has it. */
void tlb_part_configure(const struct tlb_part_owner *o, struct tlb_ledger *l, int64_t rate,
			int64_t burst, tlb_time now);
/* Notes the size of a request. */
void tlb_part_note(struct tlb_part_owner *o, int64_t tokens);
/* True when a part can be opened without loss: the reserve covers every request seen, and at least
 * half of the burst is there. */
bool tlb_part_can_open(const struct tlb_part_owner *o, struct tlb_ledger *l, tlb_time now);
/* Shrinks the ledger and moves the reserve out of it; o->seq and o->lent are to be sent until the
 * standby has replied. seq must be larger than any used before. */
void tlb_part_open(struct tlb_part_owner *o, struct tlb_ledger *l,
		   const struct tlb_vm_name *standby, uint64_t seq, tlb_time now);
/* Begins to close; o->seq is to be sent until the standby has replied. */
void tlb_part_recall(struct tlb_part_owner *o, uint64_t seq);
/* Takes a reply of the standby's incarnation that the part was opened at. rate and burst are the
 * row's. */
void tlb_part_on_reply(struct tlb_part_owner *o, struct tlb_ledger *l,
		       const struct tlb_part_reply *r, int64_t rate, int64_t burst, tlb_time now);
/* An incarnation certainly acts no more: what it held is lost, and the owner has the whole. */
void tlb_part_gone(struct tlb_part_owner *o, struct tlb_ledger *l, const struct tlb_vm_name *vm,
		   int64_t rate, int64_t burst, tlb_time now);

/* The standby's side, for one account and one incarnation of its owner. Owns its ledger. */
struct tlb_part_standby {
	uint64_t seq;	   /* highest seen */
	uint64_t part_seq; /* under which the ledger was opened; 0 for none */
	bool open;
	bool recalled; /* the owner may have taken the ledger back */
	struct tlb_ledger ledger;
};

void tlb_part_standby_init(struct tlb_part_standby *s, tlb_time now);
void tlb_part_standby_finish(struct tlb_part_standby *s);
/* Takes an opening with a level in micro-tokens. allowed: the map in force names the sender as the
 * owner and this incarnation as the standby, and that right is not released. */
void tlb_part_on_open(struct tlb_part_standby *s, uint64_t seq, int64_t level, bool allowed,
		      int64_t burst, tlb_time now);
/* Takes a recall. Returns false for one that is out of date and gets no reply. */
bool tlb_part_on_close(struct tlb_part_standby *s, uint64_t seq);
/* Ends granting for good: the right to act as the standby is released, or the map names others. */
void tlb_part_freeze(struct tlb_part_standby *s);
/* Applies a changed burst of the row. */
void tlb_part_standby_configure(struct tlb_part_standby *s, int64_t burst, tlb_time now);
/* Books tokens from an open part. The caller has checked its session and the map. */
bool tlb_part_take(struct tlb_part_standby *s, const struct tlb_ledger_entry *wanted, tlb_time now);
/* The standby has become the owner: moves an open part into the owner's ledger. A recalled one is
 * worth nothing, because the former owner may have granted it. */
void tlb_part_adopt(struct tlb_part_standby *s, struct tlb_ledger *l, tlb_time now);

#endif
