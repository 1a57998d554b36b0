/*
 * The standby's side of split account buckets: the parts that this daemon holds for the owners of
 * other shards, and their messages. The rules are in part.h.
 */
#ifndef TLB_STANDBY_H
#define TLB_STANDBY_H

#include "cluster.h"
#include "part.h"

struct tlb_board;

/* What this daemon knows of one account's part from one incarnation of its owner. Kept after the
 * part is closed, until that incarnation is gone: its number refuses late openings. */
struct tlb_standby_part {
	APR_RING_ENTRY(tlb_standby_part) link;
	char account[TLB_ID_LEN];
	struct tlb_vm_name owner;
	struct tlb_part_standby part;
};

APR_RING_HEAD(tlb_standby_ring, tlb_standby_part);

/* Owned by struct tlb_limit; owns the parts. */
struct tlb_standby {
	struct tlb_board *board;
	struct tlb_standby_ring parts;
	struct tlb_shard_entry seen[TLB_SHARD_COUNT];
	/* Openings sent under older maps are refused: they may be from before a move of the shard,
	 * or from before the right to take it over was released. */
	int64_t floor[TLB_SHARD_COUNT];
};

enum tlb_standby_settled {
	TLB_STANDBY_UNKNOWN,
	TLB_STANDBY_SETTLED,
	TLB_STANDBY_PASS_ON, /* settled in a closed part: the owner may have the grant by now */
};

void tlb_standby_init(struct tlb_standby *s, struct tlb_board *b);
void tlb_standby_finish(struct tlb_standby *s);
/* Messages from owners. */
void tlb_standby_on_open(struct tlb_standby *s, const struct tlb_peer_return *from,
			 const Toucan__OpenPart *m);
void tlb_standby_on_close(struct tlb_standby *s, const struct tlb_peer_return *from,
			  const Toucan__ClosePart *m);
/* Books tokens from the open part of an account; false when there is none with enough in it. */
bool tlb_standby_take(struct tlb_standby *s, const char *account,
		      const struct tlb_ledger_entry *wanted);
enum tlb_standby_settled tlb_standby_settle(struct tlb_standby *s, const char *account,
					    const char *id, int64_t booked, int64_t used);
/* This daemon has become the owner: moves an open part into the owner's ledger. */
void tlb_standby_adopt(struct tlb_standby *s, const char *account, struct tlb_ledger *ledger);
/* Applies changed account rows. */
void tlb_standby_sync(struct tlb_standby *s);
/* A newer shard map is in force; called after the changes of ownership that it brings. */
void tlb_standby_map(struct tlb_standby *s);
/* The right to take these shards over is released for writes against this version of the map. */
void tlb_standby_released(struct tlb_standby *s, tlb_shard_set shards, int64_t version);
/* The grants of a VM that is gone count as used. */
void tlb_standby_fenced(struct tlb_standby *s, const char *vm, uint64_t incarnation);
/* This incarnation is fenced: it stands by for nobody any more. */
void tlb_standby_reset(struct tlb_standby *s);

#endif
