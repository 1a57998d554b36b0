/*
 * Membership: the rows of the VMs and of the shard map in the table service. Joins, writes fences,
 * replaces witnesses, moves shards, leaves.
 *
 * One operation runs at a time. Every write is one transaction, conditional on the versions of the
 * rows it was computed from. After a conflict the rows are read again and the write is computed
 * anew. After an uncertain outcome the rows are read back; while they are unchanged the same write
 * is repeated, because the first one may still take effect.
 */
#ifndef TLB_MEMBER_H
#define TLB_MEMBER_H

#include "peer.h"
#include "roster.h"
#include "store.h"

struct tlb_cluster;

/* A write that has effects before it is certain, and must therefore be carried to an end. */
enum tlb_member_write {
	TLB_WRITE_NONE,
	TLB_WRITE_WITNESSES, /* while it is open, both witness sets count */
	TLB_WRITE_MOVE,	     /* while it is open, nobody acts for the shards given away */
	TLB_WRITE_LEAVE,     /* a move of everything, and the row becomes "left" */
};

enum tlb_member_phase {
	TLB_PHASE_RELEASE,   /* waiting for standbys to release their rights */
	TLB_PHASE_HAND_OVER, /* waiting for the new owners to take the state */
	TLB_PHASE_WRITE,
	TLB_PHASE_READ_BACK,
};

/* Part of struct tlb_cluster. */
struct tlb_membership {
	struct tlb_cluster *cluster;
	struct tlb_store_op op;
	bool busy;
	struct tlb_timer step;
	struct tlb_timer leave_timer;
	tlb_time retry_at; /* not before this instant, after a failure */
	int failures;

	bool shards_wanted;
	bool rows_wanted;
	char row_wanted[TLB_ID_LEN]; /* one row to read; "" for none */
	int64_t map_at_read;	     /* version of the map when the rows were asked for */
	bool joined_at_read;	     /* whether the daemon had joined then */
	tlb_time join_at;	     /* when to write the join; TLB_NEVER before the first reads */

	tlb_time fence_at;   /* when to write fences that others have not written */
	tlb_time unknown_at; /* when to read rows that the map names and that have not arrived */
	tlb_time move_at;    /* when to look for shards to move */
	tlb_time refresh_at; /* when to read all rows again */
	tlb_time witness_at; /* not before: the next replacement of witnesses */

	struct tlb_vm_row *fenced; /* rows in the last write of fences; owned */
	int fenced_count;

	enum tlb_member_write write;
	enum tlb_member_phase phase;
	bool uncertain;
	struct tlb_shard_map next; /* what the open write, a fence or a join puts into force */
	int64_t base_row;	   /* versions that the open write depends on */
	int64_t base_shards;
	struct tlb_peer_call *call; /* one per VM that must reply in this phase */
	int call_count;
	int call_waiting;
	bool call_failed;

	bool leaving;
	void (*on_left)(void *arg);
	void *on_left_arg;
};

void tlb_member_init(struct tlb_membership *m, struct tlb_cluster *c);
void tlb_member_finish(struct tlb_membership *m);
/* Begins to join, also again under a new incarnation. Drops what was under way. */
void tlb_member_join(struct tlb_membership *m);
void tlb_member_leave(struct tlb_membership *m, tlb_time deadline, void (*on_left)(void *arg),
		      void *arg);
/* Something has changed: decides what to do next, from the loop. */
void tlb_member_kick(struct tlb_membership *m);
/* A newer map is in force, from whatever source: decides a move that is under way. */
void tlb_member_map_changed(struct tlb_membership *m);
void tlb_member_want_shards(struct tlb_membership *m);
void tlb_member_want_row(struct tlb_membership *m, const char *vm);
/* An incarnation is gone: its fence must be written, here if no other daemon does. */
void tlb_member_gone(struct tlb_membership *m);
/* Once a heartbeat: an owner whose row was late may have given a shard to an incarnation that was
 * gone already, and nothing else would change that entry. */
void tlb_member_check(struct tlb_membership *m);
/* The live VMs or the map have changed: shards may have to move. */
void tlb_member_changed(struct tlb_membership *m);

#endif
