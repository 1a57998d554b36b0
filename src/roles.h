/*
 * How many engines of a service prefill and how many decode. One VM watches the engines' load and
 * changes roles, when one role is full and the other has work for fewer engines than it has.
 *
 * Rule: while decode engines are full, prefill engines become decode engines, as long as those that
 * remain are loaded to PREFILL_LOAD_MOST at most once the added ones are full as well; the other
 * way round one at a time, when prefill engines are overloaded and decode engines are not full.
 * Reason: whichever role is short limits the whole service. A change takes an engine away for
 * seconds, which costs little where it had little to do.
 *
 * An order is sent only by the VM that has just written the service's claim in the store, once,
 * within TLB_ROLES_ACT. The claim's version is the fencing number. Another VM takes the claim over
 * only after TLB_ROLES_CLAIM, so that two VMs never give orders to one engine within a lease, also
 * when one of them was frozen.
 */
#ifndef TLB_ROLES_H
#define TLB_ROLES_H

#include "inbound.h"
#include "instance.h"
#include "rowstore.h"
#include "table.h"

struct tlb_edge_board;
struct tlb_generation_pool;

/* Longer than any lease that the platform judges (3 s) and than what delays an order. */
#define TLB_ROLES_CLAIM (15 * TLB_SECOND)
/* From the writing of the claim to the sending of the order. */
#define TLB_ROLES_ACT (1 * TLB_SECOND)

/* Load of the engines of one service, smoothed over some rounds of reports. A value type. */
struct tlb_role_load {
	int prefills; /* usable engines of each role */
	int decodes;
	double prefills_busy;  /* engines with work */
	double decodes_filled; /* engines' worth of memory in use, or of slots where that is more */
};

/* How many prefill engines should decode instead; negative: decode engines that should prefill. */
int tlb_roles_surplus(const struct tlb_role_load *load);

enum tlb_roles_step {
	TLB_ROLES_IDLE,
	TLB_ROLES_READING,  /* asks engines for their load, one after the other */
	TLB_ROLES_CLAIMING, /* reads or writes the claim */
	TLB_ROLES_ORDERING,
};

/* Owned by the board. */
struct tlb_roles {
	struct tlb_edge_board *board;
	struct tlb_rowstore *store;
	struct tlb_timer timer;
	enum tlb_roles_step step;
	char service[TLB_NAME_LEN];
	char next[TLB_INSTANCE_ID_LEN]; /* the engine whose report is read */
	struct tlb_role_load round;	/* sums of the reports read so far */
	struct tlb_role_load smoothed;
	int rounds; /* of reports since the last change */
	int64_t claim_version;
	int64_t now_ms;	    /* the store's clock when the claim was read */
	int wanted;	    /* engines still to be changed */
	enum tlb_role role; /* that they get */
	char instance[TLB_INSTANCE_ID_LEN];
	int switch_ms;
	tlb_time act_deadline;
	tlb_time settled_until;
	struct tlb_rowstore_op op;
	struct tlb_http_call call;
};

void tlb_roles_init(struct tlb_roles *r, struct tlb_edge_board *b, struct tlb_rowstore *store);
void tlb_roles_start(struct tlb_roles *r);
void tlb_roles_finish(struct tlb_roles *r);

#endif
