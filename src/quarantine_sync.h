/*
 * Exchanges the evidence of module quarantine between VMs and keeps what is lasting, verdicts and
 * crashes that can lead to one, in the platform's store, so that it survives a restart of all VMs.
 * Nothing waits for the store.
 *
 * New evidence is sent within TLB_QUARANTINE_FLUSH_DELAY. In a small fleet it goes to all VMs. In a
 * larger one, where crashes of endpoints are frequent and mostly unrelated, evidence of a single
 * crash goes only to a few collectors chosen by a hash, and is passed on to all VMs once a second
 * crash confirms it. That an endpoint has broken off answers, whatever the prompts, is told to all
 * VMs once for each incarnation, for those whose callers had left.
 *
 * Reports carry a hash of the sender's lasting evidence; a linked VM with another one sends its
 * own, so that VMs that were restarted, cut off or partitioned learn what they missed.
 *
 * One VM writes to the store; others do so if it has not after some time.
 */
#ifndef TLB_QUARANTINE_SYNC_H
#define TLB_QUARANTINE_SYNC_H

#include "quarantine.h"
#include "rowstore.h"
#include "vms.h"

#define TLB_QUARANTINE_FLUSH_DELAY (30 * TLB_MS)
/* Least time between two complete transfers of the verdicts to one VM. */
#define TLB_QUARANTINE_RESEND_INTERVAL (1 * TLB_SECOND)
#define TLB_QUARANTINE_STORE_RETRY (1 * TLB_SECOND)
/* Time after which a VM of a large fleet other than the one with the lowest id reads or adjusts the
 * store's verdicts, and the random time added to it for each VM of the fleet. */
#define TLB_QUARANTINE_STORE_TAKEOVER (4 * TLB_SECOND)
#define TLB_QUARANTINE_STORE_SPREAD (50 * TLB_MS)

enum {
	TLB_QUARANTINE_COLLECTORS = 3,
	TLB_QUARANTINE_PARTS_SENT_MAX = 64, /* in one message */
};

/* Owned by the daemon's board; the pointers are borrowed. */
struct tlb_quarantine_sync {
	struct tlb_edge_board *board;
	struct tlb_quarantine *quarantine;
	struct tlb_rowstore *store;
	struct tlb_timer flush_timer;
	struct tlb_timer check_timer; /* expiry, and differences from the store */
	struct tlb_rowstore_op op;
	bool store_known;  /* the store's verdicts are known: their hash is store_verdicts */
	int64_t store_era; /* to which they belong; in a later one rows may be gone */
	uint64_t store_verdicts;
	tlb_time store_deadline;    /* when this VM adjusts the store's verdicts; 0: they agree */
	bool adjusting;		    /* does so now */
	int64_t store_clock_offset; /* store's clock minus this VM's, in us */
};

void tlb_quarantine_sync_init(struct tlb_quarantine_sync *s, struct tlb_edge_board *b,
			      struct tlb_rowstore *store);
void tlb_quarantine_sync_start(struct tlb_quarantine_sync *s);
void tlb_quarantine_sync_finish(struct tlb_quarantine_sync *s);
/* Called after evidence of this VM has changed an entry: it is sent soon. */
void tlb_quarantine_sync_notify(struct tlb_quarantine_sync *s);

/* Fills the verdicts of this VM's state. */
void tlb_quarantine_sync_fill_state(const struct tlb_quarantine_sync *s, Toucan__VmState *state);
/* Handles the state that a linked VM reports. */
void tlb_quarantine_sync_on_state(struct tlb_quarantine_sync *s, struct tlb_vm *vm,
				  const Toucan__VmState *state);
void tlb_quarantine_sync_on_message(struct tlb_quarantine_sync *s, const Toucan__SuspectParts *msg);

#endif
