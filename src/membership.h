/*
 * Membership: the rows of the VMs and of the shard map in the table service. Joins, writes fences,
 * replaces witnesses, rebalances shards, leaves.
 *
 * One store operation runs at a time. Every write is one transaction, conditional on the versions
 * of the rows it was computed from. After a conflict the rows are read again and the write is
 * computed anew. After an uncertain outcome the rows are read back; as long as they are unchanged
 * the same write is repeated, because the first one may still take effect.
 */
#ifndef TLB_MEMBERSHIP_H
#define TLB_MEMBERSHIP_H

#include "peer.h"
#include "roster.h"
#include "store.h"

struct tlb_cluster;

/* A write that has effects on this daemon before its outcome is known. It stays open until the
 * outcome is certain. */
enum tlb_membership_write {
	TLB_WRITE_NONE,
	TLB_WRITE_WITNESSES, /* replaces the witnesses; both sets count while it is open */
	TLB_WRITE_REBALANCE, /* transfers shards, which have no owner while it is open */
	TLB_WRITE_LEAVE,     /* transfers all shards and sets the row to "left" */
};

enum tlb_membership_phase {
	TLB_PHASE_RELEASE,   /* waiting for standbys to release their takeover rights */
	TLB_PHASE_HAND_OVER, /* waiting for the new owners to accept the state */
	TLB_PHASE_WRITE,     /* the transaction is to be sent or under way */
	TLB_PHASE_READ_BACK, /* reading the rows to find out whether the write took effect */
};

/* Part of struct tlb_cluster. */
struct tlb_membership {
	struct tlb_cluster *cluster;
	struct tlb_store_op op;
	bool op_in_progress; /* op is running */
	struct tlb_timer step_timer;
	struct tlb_timer leave_timer;
	tlb_time retry_at; /* after a failure: earliest time of the next operation */
	int failures;	   /* consecutive ones, for the backoff */

	bool map_read_requested;	     /* the shard map is to be read */
	bool rows_read_requested;	     /* all VM rows are to be read */
	char row_read_requested[TLB_ID_LEN]; /* VM id of the one row to read; "" for none */
	int64_t map_at_read; /* version of the map when the read of the rows began */
	bool joined_at_read; /* whether the daemon had joined when that read began */
	tlb_time join_at;    /* when to write the join; TLB_NEVER before the rows are read */

	tlb_time fence_at;  /* when to write fences unless another VM has */
	tlb_time reread_at; /* when to read rows of VMs named in the map that are still missing */
	tlb_time rebalance_at;	   /* when to check whether shards must move */
	tlb_time refresh_at;	   /* when to read all rows again */
	tlb_time witness_retry_at; /* earliest time of the next replacement of witnesses */

	struct tlb_vm_row *fenced_rows; /* rows set to fenced by the last write of fences; owned */
	int fenced_row_count;

	enum tlb_membership_write open_write_kind; /* the open write */
	enum tlb_membership_phase phase;	   /* of the open write */
	bool uncertain;				   /* a write was sent whose outcome is unknown */
	struct tlb_shard_map next_map; /* the map that the open write, a fence or a join writes */
	int64_t base_row;	       /* version of the own row that the open write depends on */
	int64_t base_shards;	       /* version of the map that the open write depends on */
	struct tlb_peer_call *calls;   /* one per VM that must reply in this phase; owned */
	int call_count;
	int calls_pending;    /* calls without a reply so far */
	bool any_call_failed; /* at least one of the calls */

	bool leaving;
	void (*on_left)(void *arg);
	void *on_left_arg;
};

void tlb_membership_init(struct tlb_membership *m, struct tlb_cluster *c);
void tlb_membership_finish(struct tlb_membership *m);
/* Starts to join, the first time or again under a new incarnation. Abandons an open write. */
void tlb_membership_join(struct tlb_membership *m);
/* Transfers all shards and writes the row as left. on_left runs once, at the latest at deadline. */
void tlb_membership_leave(struct tlb_membership *m, tlb_time deadline, void (*on_left)(void *arg),
			  void *arg);
/* Schedules the decision on the next operation, which runs from the event loop. */
void tlb_membership_schedule(struct tlb_membership *m);
/* A newer map is in force, whoever wrote it: it determines the outcome of an open transfer of
 * shards. */
void tlb_membership_on_map(struct tlb_membership *m);
/* Requests a read of the shard map, or of one VM row, from the table service. */
void tlb_membership_request_map(struct tlb_membership *m);
void tlb_membership_request_row(struct tlb_membership *m, const char *vm);
/* An incarnation has ended: schedules the write of its fence unless another daemon writes it first.
 */
void tlb_membership_on_fence(struct tlb_membership *m);
/* Checks the map once per heartbeat for incarnations that have ended or are unknown. An owner that
 * received a row late may have assigned a shard to an incarnation that had already ended, and no
 * other event would correct that entry. */
void tlb_membership_check_map(struct tlb_membership *m);
/* The live VMs or the map have changed: schedules a check whether shards must move. */
void tlb_membership_schedule_rebalance(struct tlb_membership *m);

#endif
