/*
 * The owner's side of a split account bucket: opens the standby's part, recalls it when the owner
 * runs short, and repeats each operation until the standby has replied or is gone. The rules are in
 * part.h; this module has the messages and timers.
 */
#ifndef TLB_SPLIT_H
#define TLB_SPLIT_H

#include "cluster.h"
#include "part.h"

struct tlb_board;

typedef void tlb_split_change_fn(void *arg);

/* Embedded in the owner's record of an account; the pointers are borrowed from it. */
struct tlb_split {
	struct tlb_board *board;
	const char *account;
	struct tlb_ledger *ledger;
	struct tlb_part_owner part;
	struct tlb_peer_call call;
	struct tlb_timer timer;
	tlb_split_change_fn *on_change;
	void *arg;
};

/* on_change runs from the loop whenever tokens may have come back. */
void tlb_split_init(struct tlb_split *s, struct tlb_board *b, const char *account,
		    struct tlb_ledger *ledger, tlb_split_change_fn *on_change, void *arg);
void tlb_split_finish(struct tlb_split *s);
/* The owner holds the whole bucket. */
static inline bool tlb_split_whole(const struct tlb_split *s)
{
	return s->part.mode == TLB_PART_WHOLE;
}
/* Applies the account's row to the ledger. */
void tlb_split_configure(struct tlb_split *s, tlb_time now);
/* Begins to take the standby's part back, unless that is under way. */
void tlb_split_recall(struct tlb_split *s);
void tlb_split_fenced(struct tlb_split *s, const char *vm, uint64_t incarnation);

#endif
