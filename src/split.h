/*
 * The owner's side of the delegation of an account's bucket: opens the standby's allowance, recalls
 * it when the owner has too few tokens for a request, and repeats each operation until the standby
 * has replied or was fenced. The rules are in part.h; this module has the messages and timers.
 */
#ifndef TLB_SPLIT_H
#define TLB_SPLIT_H

#include "cluster.h"
#include "part.h"

struct tlb_board;

typedef void tlb_split_change_fn(void *arg);

/* Embedded in the owner's record of an account, from which the pointers are borrowed. */
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

/* on_change runs from the loop after a reply of the standby, which may return tokens. */
void tlb_split_init(struct tlb_split *s, struct tlb_board *b, const char *account,
		    struct tlb_ledger *ledger, tlb_split_change_fn *on_change, void *arg);
void tlb_split_finish(struct tlb_split *s);
/* True when nothing is delegated: the owner holds the undivided bucket. */
static inline bool tlb_split_whole(const struct tlb_split *s)
{
	return s->part.mode == TLB_PART_WHOLE;
}
/* Applies rate and burst of the account's row to the ledger. */
void tlb_split_configure(struct tlb_split *s, tlb_time now);
/* Starts to recall the standby's allowance. Does nothing when none is open or opening. */
void tlb_split_recall(struct tlb_split *s);
/* A VM incarnation was fenced or has left: ends the delegation if it was the standby. */
void tlb_split_fenced(struct tlb_split *s, const char *vm, uint64_t incarnation);

#endif
