/*
 * The standby's side of the delegation of account buckets: the allowances that this daemon holds
 * for the owners of other shards, and the messages about them. The rules are in delegation.h.
 */
#ifndef TLB_STANDBY_H
#define TLB_STANDBY_H

#include "cluster.h"
#include "delegation.h"

struct tlb_board;

/* The allowance of one account from one incarnation of its owner. The record is kept after the
 * allowance was closed, until that incarnation was fenced or has left, because its sequence number
 * is needed to refuse late openings. */
struct tlb_standby_allowance {
	APR_RING_ENTRY(tlb_standby_allowance) link;
	char account[TLB_ID_LEN];
	struct tlb_vm_name owner;
	struct tlb_delegation_standby delegation;
};

APR_RING_HEAD(tlb_standby_ring, tlb_standby_allowance);

/* Owned by struct tlb_limit; owns the allowances. */
struct tlb_standby {
	struct tlb_board *board;
	struct tlb_standby_ring allowances;
	struct tlb_shard_entry last_entries[TLB_SHARD_COUNT]; /* entries of the map last applied */
	/* Lowest map version under which openings are accepted. One sent under an older map may
	 * date from before a move of the shard, or from before this daemon released its right to
	 * take the shard over. */
	int64_t min_map_version[TLB_SHARD_COUNT];
};

enum tlb_standby_reconcile_result {
	TLB_STANDBY_NO_GRANT,	/* no grant with this id */
	TLB_STANDBY_RECONCILED, /* reconciled in an open allowance */
	/* reconciled in a closed allowance: also to be forwarded to the owner, which may have
	 * received the grant */
	TLB_STANDBY_FORWARD,
};

void tlb_standby_init(struct tlb_standby *s, struct tlb_board *b);
void tlb_standby_finish(struct tlb_standby *s);
/* Messages from owners. */
void tlb_standby_on_open(struct tlb_standby *s, const struct tlb_peer_reply_address *from,
			 const Toucan__OpenPart *m);
void tlb_standby_on_close(struct tlb_standby *s, const struct tlb_peer_reply_address *from,
			  const Toucan__ClosePart *m);
/* Books tokens from the account's open allowance. Returns false when there is none, when it has too
 * few tokens, or when this daemon may not act as the standby. */
bool tlb_standby_reserve(struct tlb_standby *s, const char *account,
			 const struct tlb_ledger_entry *request);
/* Reconciles booked tokens of a grant made from an allowance, of which used were used. */
enum tlb_standby_reconcile_result tlb_standby_reconcile(struct tlb_standby *s, const char *account,
							const char *id, int64_t booked,
							int64_t used);
/* This daemon has become the owner: moves the account's open allowances into the owner's ledger. */
void tlb_standby_merge_into(struct tlb_standby *s, const char *account, struct tlb_ledger *ledger);
/* Applies changed account rows. */
void tlb_standby_sync(struct tlb_standby *s);
/* Applies a newer shard map. To be called after the changes of ownership in it were applied. */
void tlb_standby_on_map(struct tlb_standby *s);
/* This daemon has released its right to take these shards over, for map writes based on this
 * version: their allowances stop granting. */
void tlb_standby_on_release(struct tlb_standby *s, tlb_shard_set shards, int64_t version);
/* A VM was fenced or has left: its grants count as used. */
void tlb_standby_on_fence(struct tlb_standby *s, const char *vm, uint64_t incarnation);
/* This daemon's incarnation was fenced: discards all allowances. */
void tlb_standby_reset(struct tlb_standby *s);

#endif
