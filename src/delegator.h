/*
 * The owner's side of the delegation of an account's bucket: opens the standby's allowance, recalls
 * it when the owner has too few tokens for a request, and repeats each operation until the standby
 * has replied or was fenced. The rules are in delegation.h; this module has the messages and
 * timers.
 */
#ifndef TLB_DELEGATOR_H
#define TLB_DELEGATOR_H

#include "cluster.h"
#include "delegation.h"

struct tlb_board;

typedef void tlb_delegator_change_fn(void *arg);

/* Embedded in the owner's record of an account, from which the pointers are borrowed. */
struct tlb_delegator {
	struct tlb_board *board;
	const char *account;
	struct tlb_ledger *ledger;
	struct tlb_delegation_owner delegation;
	struct tlb_peer_call call;
	struct tlb_timer timer;
	tlb_delegator_change_fn *on_change;
	void *arg;
};

/* on_change runs from the loop after a reply of the standby, which may return tokens. */
void tlb_delegator_init(struct tlb_delegator *s, struct tlb_board *b, const char *account,
			struct tlb_ledger *ledger, tlb_delegator_change_fn *on_change, void *arg);
void tlb_delegator_finish(struct tlb_delegator *s);
/* True when nothing is delegated: the owner holds the undivided bucket. */
static inline bool tlb_delegator_undivided(const struct tlb_delegator *s)
{
	return s->delegation.mode == TLB_DELEGATION_NONE;
}
/* Applies rate and burst of the account's row to the ledger. */
void tlb_delegator_configure(struct tlb_delegator *s, tlb_time now);
/* Starts to recall the standby's allowance. Does nothing when none is open or opening. */
void tlb_delegator_recall(struct tlb_delegator *s);
/* A VM incarnation was fenced or has left: ends the delegation if it was the standby. */
void tlb_delegator_on_fence(struct tlb_delegator *s, const char *vm, uint64_t incarnation);

#endif
