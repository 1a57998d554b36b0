/*
 * Follows one table of the platform's store: lists all rows, then receives changes by long polling.
 * When the store's change history no longer covers the last version seen, or the store has returned
 * from an older copy, it lists the table again.
 */
#ifndef TLB_WATCH_H
#define TLB_WATCH_H

#include "random.h"
#include "rowstore.h"

/* Long-poll wait with TLB_WATCH_SMALL_FLEET_VMS VMs or fewer. It grows with the number of VMs that
 * follow the table up to the maximum, so that the load on the store does not. It also bounds how
 * long a dead connection is mistaken for a table without changes, unless another VM reports a
 * change. */
#define TLB_WATCH_POLL_WAIT_MS 3000
#define TLB_WATCH_MAX_POLL_WAIT_MS 25000
enum { TLB_WATCH_SMALL_FLEET_VMS = 8 };
/* Delay after a change before the next poll, per VM that follows the table if there are more than
 * TLB_WATCH_SMALL_FLEET_VMS; the maximum is a fifth of the time within which a change must be
 * applied. */
#define TLB_WATCH_BATCH_DELAY_PER_VM (6 * TLB_MS)
#define TLB_WATCH_MAX_BATCH_DELAY (500 * TLB_MS)

struct tlb_watcher_handlers {
	void *arg;
	/* A listing of the entire table begins; on_row follows for each row, then on_listed. */
	void (*on_list_begin)(void *arg);
	void (*on_row)(void *arg, const struct tlb_stored_row *row);
	void (*on_list_complete)(void *arg);
	/* All changes up to the watcher's version have been delivered. */
	void (*on_progress)(void *arg, int64_t version);
};

enum tlb_watch_state { TLB_WATCH_LISTING, TLB_WATCH_FOLLOWING };

/* Owned by the caller. */
struct tlb_watcher {
	struct tlb_rowstore *store;
	struct tlb_random random;
	int vms; /* VMs that follow the table, including this one; set by the user */
	tlb_time min_batch_delay; /* least delay after a change before the next poll; set by the
				     user */
	bool paused;
	const char *table;
	struct tlb_watcher_handlers handlers;
	enum tlb_watch_state state;
	int64_t version;	 /* changes up to this version were applied */
	int64_t listing_version; /* version of the listing's first page */
	int64_t listing_era;	 /* latest era known when the listing's first page was requested */
	struct tlb_stored_key place; /* of the listing: first key of the next page */
	int failures;		     /* consecutive failed calls */
	int restarts;		     /* listings begun anew since changes were followed */
	bool listed;		     /* a listing has completed */
	tlb_time last_success_at;    /* time of the last successful call; 0: none */
	tlb_time recovered_at;	     /* first success after the last failure; 0: none */
	struct tlb_rowstore_op op;
	struct tlb_rowstore_observer observer;
	struct tlb_timer timer;
};

/* Sets up a paused watcher; tlb_watcher_resume() starts it. */
void tlb_watcher_init(struct tlb_watcher *w, struct tlb_rowstore *store, const char *table,
		      const struct tlb_watcher_handlers *handlers, uint64_t seed);
void tlb_watcher_finish(struct tlb_watcher *w);
/* Ends the polling; changes come from other VMs until tlb_watcher_resume(). */
void tlb_watcher_pause(struct tlb_watcher *w);
/* Polls again for changes after a version up to which all are known; 0: none are, so the table is
 * listed. outage: the store was not readable by any VM meanwhile, so that entries may have expired.
 */
void tlb_watcher_resume(struct tlb_watcher *w, int64_t version, bool outage);
/* The table as of a version is known from another VM. A listing between two pages ends: with rows
 * of both, those missing in it would not be known to be removed. */
void tlb_watcher_skip_listing(struct tlb_watcher *w, int64_t version);
/* Whether the store is reachable: the last call succeeded and the current one is not overdue. */
bool tlb_watcher_store_reachable(const struct tlb_watcher *w, tlb_time now);

#endif
