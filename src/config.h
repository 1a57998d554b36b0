/*
 * The configuration table in force. Loads the table from the table service, polls for new
 * versions, applies rows received from peers, and computes the rows that a peer is missing.
 * Operators' changes are in change.h. A version lower than the one in force is never applied.
 *
 * The row "config/head" is {"version":N,"author","change_id","summary","wall_ms","recent"}.
 * "recent" lists the last changes, [{"version","change_id","author","summary"}], so that a daemon
 * that lost the response to its write can still find the change after later ones were committed.
 */
#ifndef TLB_CONFIG_H
#define TLB_CONFIG_H

#include "counter.h"
#include "random.h"
#include "store.h"
#include "table.h"

#define TLB_CONFIG_HEAD "config/head"

enum {
	TLB_CONFIG_POLL_MS = 2000,
	/* Deltas kept for peers with an older version; a peer older than these gets all rows. */
	TLB_CONFIG_HISTORY = 64,
};

/* Where the table in force came from. */
enum tlb_config_source { TLB_CONFIG_FROM_STORE, TLB_CONFIG_FROM_PEER, TLB_CONFIG_FROM_CHANGE };

/* Called when a new table has been installed. The previous table is freed when this returns, so
 * pointers into it must be replaced by looking the rows up again by id. */
typedef void tlb_config_table_fn(void *arg);

/* The keys that changed between two consecutive versions in force on this daemon. */
struct tlb_config_delta {
	int64_t from;
	int64_t to;
	json_t *keys; /* array of row keys; owned */
};

/* Allocated by the caller. Owns the table in force. */
struct tlb_config {
	struct tlb_loop *loop;
	struct tlb_store *store;
	struct tlb_counters *counters;
	struct tlb_table *table; /* never NULL; initially empty, with version 0 */
	enum tlb_config_source source;
	bool malloc_trim_due;	  /* call malloc_trim() after a large response */
	bool loaded;		  /* a table was received, or the store is known to be empty */
	int64_t rejected_version; /* a stored version that failed validation; 0 for none */
	tlb_config_table_fn *on_table;
	void *arg;
	struct tlb_random random;
	struct tlb_timer poll_timer;
	struct tlb_store_op poll_op;
	struct tlb_store_op load_op;
	struct tlb_config_delta deltas[TLB_CONFIG_HISTORY];
	size_t delta_count;
};

/* loop, store and counters are borrowed and must outlive the controller. */
void tlb_config_init(struct tlb_config *c, struct tlb_loop *l, struct tlb_store *s,
		     struct tlb_counters *counters, tlb_config_table_fn *on_table, void *arg);
/* Loads the table and starts polling the store. */
void tlb_config_start(struct tlb_config *c);
void tlb_config_finish(struct tlb_config *c);

static inline int64_t tlb_config_version(const struct tlb_config *c)
{
	return c->table->version;
}

/* Loads the rows from the store now, unless a load is already in progress. */
void tlb_config_refresh(struct tlb_config *c);
/* Puts a validated table in force if its version is higher than the current one. Takes ownership of
 * t in either case. */
void tlb_config_install(struct tlb_config *c, struct tlb_table *t, enum tlb_config_source source);

/* Returns the rows that a peer at peer_version is missing: [{"key","value" or null for a removed
 * row}]. *base is peer_version, or 0 when the rows are the complete table. New reference. */
json_t *tlb_config_rows_since(const struct tlb_config *c, int64_t peer_version, int64_t *base);
/* Applies rows from a peer that turn version base (0: an empty table) into the given version.
 * Returns TLB_OK when they are now in force or are not newer than the table in force; TLB_CONFLICT
 * when base is not the version in force, in which case the rows must be requested again from
 * the version in force; TLB_BAD_REQUEST when they fail validation. */
enum tlb_code tlb_config_apply_rows(struct tlb_config *c, int64_t version, int64_t base,
				    const json_t *rows, struct tlb_error *err);

/* Allocates an empty table; aborts when out of memory. tlb_config_table_free() accepts NULL. */
struct tlb_table *tlb_config_table_new(void);
void tlb_config_table_free(struct tlb_table *t);

#endif
