/*
 * Balances the number of prefill and decode engines of a service. One VM monitors the load of the
 * engines and orders role changes when one role is short of capacity and the other has a surplus.
 *
 * Rule: while decode engines are full, prefill engines become decode engines, as long as the load
 * of the remaining prefill engines stays at PREFILL_LOAD_MAX or below once the added decode engines
 * are full as well. Decode engines become prefill engines one at a time, when prefill engines are
 * overloaded and decode engines have memory to spare.
 * Reason: the role that is short of capacity limits the throughput of the whole service. A change
 * makes an engine unavailable for seconds, which costs little in the role with a surplus.
 *
 * A VM may send an order only right after it has written the service's claim to the store: one
 * order per claim, within TLB_ROLES_ORDER_TIMEOUT. The version of the claim is the fencing number.
 * Another VM may acquire the claim only after TLB_ROLES_CLAIM_TTL, so that two VMs never send
 * orders to one engine within a lease, even if one of them was suspended.
 *
 * A store that returns from an older copy may have lost a claim. For TLB_ROLES_CLAIM_TTL after
 * that, only the VM may act that knows its own claim to be valid.
 */
#ifndef TLB_ROLES_H
#define TLB_ROLES_H

#include "request_info.h"
#include "instance.h"
#include "rowstore.h"
#include "table.h"

struct tlb_edge_board;
struct tlb_generation_queue;

/* Longer than any lease in the platform (3 s) and than the maximum delay of an order. */
#define TLB_ROLES_CLAIM_TTL (15 * TLB_SECOND)
/* Maximum time from the start of writing the claim to sending the order. */
#define TLB_ROLES_ORDER_TIMEOUT (1 * TLB_SECOND)

/* Load of the engines of one service, smoothed over rounds of load reports. A value type. */
struct tlb_role_load {
	int prefills; /* usable engines of each role */
	int decodes;
	double prefills_busy; /* engines with running or waiting requests */
	double decodes_used;  /* sum of used fractions of KV memory or slots (the higher one) */
};

/* Returns how many prefill engines should become decode engines; negative: how many decode engines
 * should become prefill engines. */
int tlb_roles_prefill_surplus(const struct tlb_role_load *load);

enum tlb_roles_state {
	TLB_ROLES_IDLE,
	TLB_ROLES_READING_LOAD, /* requests load reports, one engine at a time */
	TLB_ROLES_CLAIMING,	/* reading or writing the claim */
	TLB_ROLES_SENDING_ORDER,
};

/* Owned by the board. */
struct tlb_roles {
	struct tlb_edge_board *board;
	struct tlb_rowstore *store;
	struct tlb_timer timer;
	enum tlb_roles_state state;
	char service[TLB_LABEL_LEN];
	struct tlb_instance *callee; /* instance of the call in progress; a reference, or NULL */
	char report_instance[TLB_INSTANCE_ID_LEN]; /* the engine whose load report is being read */
	struct tlb_role_load round;		   /* sums of the reports of this round */
	struct tlb_role_load smoothed;
	int round_count; /* rounds of reports since the last change */
	int64_t claim_version;
	int64_t claim_era;	 /* of the store when the claim was read */
	int64_t now_ms;		 /* time of the store's clock when the claim was read */
	tlb_time claim_began_at; /* before the claim was read */
	tlb_time claimed_until;	 /* no other VM may have a claim until then; 0: none */
	int remaining;		 /* number of engines still to be changed */
	enum tlb_role role;	 /* the new role of these engines */
	char instance[TLB_INSTANCE_ID_LEN];
	int switch_ms;
	tlb_time act_deadline;
	tlb_time cooldown_until;
	struct tlb_rowstore_op op;
	struct tlb_http_call call;
};

void tlb_roles_init(struct tlb_roles *r, struct tlb_edge_board *b, struct tlb_rowstore *store);
void tlb_roles_start(struct tlb_roles *r);
void tlb_roles_finish(struct tlb_roles *r);

#endif
