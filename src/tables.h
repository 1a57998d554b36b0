/*
 * The tables of the platform's store that every VM needs: the configuration and the endpoints. In a
 * small fleet every VM follows them in the store. In a larger one only a few do, chosen by a hash,
 * and changes are passed on from VM to VM over the peer links, so that calls to the store do not
 * grow with the number of VMs.
 *
 * Load pattern: hundreds of VMs and bursts of changes, each of which would be answered to every VM;
 * and outages, in which every VM would retry.
 *
 * Every VM knows when its tables were last known to be current: now, while it follows the store
 * itself; otherwise the latest time that its linked VMs report. When that is too long ago, VMs
 * start following by themselves, one after the other; a VM that hears from nobody, or can't get a
 * change that others have, at once.
 */
#ifndef TLB_TABLES_H
#define TLB_TABLES_H

#include "replica.h"
#include "vms.h"
#include "watch.h"

/* Fleets up to this size have no chosen followers: every VM follows the store. */
enum { TLB_TABLES_SMALL_FLEET = 16, TLB_TABLES_FOLLOWERS = 6 };
/* Least delay of a chosen follower after a change before its next poll; changes come in bursts. */
#define TLB_TABLES_BATCH_DELAY (150 * TLB_MS)
/* Age of the tables beyond which VMs start following: several report intervals, and short enough
 * to find a change within the time in which it must be in force. */
#define TLB_TABLES_MAX_AGE (2 * TLB_SECOND)
/* A VM that lacks a change that others have for this long reads it from the store. */
#define TLB_TABLES_MAX_BEHIND (1 * TLB_SECOND)
/* Time for which a VM that started following by itself continues, at least. */
#define TLB_TABLES_FOLLOW_TIME (4 * TLB_SECOND)
/* Time from the start within which the tables are expected from other VMs, and the random time
 * after it until a VM reads them itself. */
#define TLB_TABLES_START_WAIT (3 * TLB_SECOND)
#define TLB_TABLES_START_SPREAD (2 * TLB_SECOND)
/* With outdated tables, the first attempt of a VM is at a random time within this time, per VM of
 * the fleet, so that an outage does not bring attempts of all VMs. */
#define TLB_TABLES_ATTEMPT_SPREAD (50 * TLB_MS)

enum tlb_table_kind { TLB_TABLE_CONFIG, TLB_TABLE_ENDPOINTS, TLB_TABLE_COUNT = TLB_VMS_TABLES };

/* What decides whether a VM follows the store. */
struct tlb_follow_input {
	int vms;
	bool vms_known; /* the list of VMs has been read */
	bool listed;	/* all tables are known, from the store or from a VM */
	bool chosen;	/* this VM is one of the chosen followers */
	bool following;
	bool heard; /* a report has come from some VM within TLB_TABLES_MAX_AGE */
	tlb_time now;
	tlb_time confirmed_at; /* when other VMs knew the tables to be current */
	tlb_time behind_since; /* since when another VM has a change that this one lacks; 0: none */
	tlb_time attempt_at;   /* when this VM may follow with outdated tables */
	tlb_time follow_until; /* end of the least time of following; 0: none */
	tlb_time start_deadline; /* until then a VM that has just started awaits the tables of
				    others */
};

/* Whether to follow the store. Pure function. */
bool tlb_tables_should_follow(const struct tlb_follow_input *i);

struct tlb_table_handlers {
	void *arg;
	/* A row has changed or was removed; use_deadline: a removed entry stays in use until then,
	 * 0: not. restored: the row may be older than what was known, or missing without having
	 * been removed, because the store has returned from an older copy. */
	void (*on_row)(void *arg, const struct tlb_stored_row *row, tlb_time use_deadline,
		       bool restored);
	/* Called after each group of changes. */
	void (*on_changed)(void *arg);
};

/* One table. Owned by struct tlb_tables. */
struct tlb_shared_table {
	struct tlb_tables *tables;
	enum tlb_table_kind kind;
	struct tlb_watcher watcher;
	struct tlb_replica replica;
	struct tlb_table_handlers handlers;
	bool listed;	       /* the complete table is known */
	const char *source;    /* of the rows being applied, for the log: "store" or "peer" */
	tlb_time behind_since; /* since when another VM has a newer row; 0: none */
	tlb_time next_pull_at; /* earliest next request to another VM */
};

/* Owned by the daemon; board, vms and store are borrowed. */
struct tlb_tables {
	struct tlb_edge_board *board;
	struct tlb_vms *vms;
	struct tlb_shared_table table[TLB_TABLE_COUNT];
	struct tlb_timer push_timer;
	struct tlb_timer role_timer;
	bool following;
	tlb_time confirmed_at; /* latest time at which another VM knew its tables to be current */
	tlb_time heard_at;     /* last report of any VM */
	tlb_time attempt_at;
	tlb_time follow_until;
	tlb_time start_deadline;
};

void tlb_tables_init(struct tlb_tables *t, struct tlb_edge_board *b, struct tlb_rowstore *store);
/* Handlers must be set before the start. */
void tlb_tables_start(struct tlb_tables *t);
void tlb_tables_finish(struct tlb_tables *t);
/* Whether all tables are known. */
bool tlb_tables_listed(const struct tlb_tables *t);
/* Time since the tables were known to be current, from the store or from other VMs. */
tlb_time tlb_tables_age(const struct tlb_tables *t, tlb_time now);

/* Fills tables and confirmed_age_ms of this VM's state; the storage is static. */
void tlb_tables_fill_state(struct tlb_tables *t, Toucan__VmState *state);
/* Handles the state that a linked VM reports. */
void tlb_tables_on_state(struct tlb_tables *t, struct tlb_vm *vm, const Toucan__VmState *state);
/* Handles TableRows and TablePull. */
void tlb_tables_on_message(struct tlb_tables *t, const char *vm, const Toucan__Envelope *msg);

#endif
