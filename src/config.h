/*
 * The configuration table in force. Loads it from the table service, follows its version, takes
 * rows from peers, and hands out the rows that peers lack. Accepting an operator's change is in
 * change.h. A version lower than the one in force is never applied.
 *
 * The row "config/head" is {"version":N,"author","change_id","summary","wall_ms","recent"}, where
 * "recent" lists the last changes, [{"version","change_id","author","summary"}], so that a change
 * whose answer was lost is recognised although others followed it.
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
	/* Steps kept for peers that are behind; a peer further back gets the whole table. */
	TLB_CONFIG_HISTORY = 64,
};

/* Where the table in force came from. */
enum tlb_config_source { TLB_CONFIG_FROM_STORE, TLB_CONFIG_FROM_PEER, TLB_CONFIG_FROM_CHANGE };

/* A new table is in force. The former one is freed when this returns, so that pointers to its rows
 * must be looked up again by id. */
typedef void tlb_config_table_fn(void *arg);

/* What changed from one version to the next one that was in force here. */
struct tlb_config_step {
	int64_t from;
	int64_t to;
	json_t *keys; /* array of row keys; owned */
};

/* Owned by its user. Owns the table in force. */
struct tlb_config {
	struct tlb_loop *loop;
	struct tlb_store *store;
	struct tlb_counters *counters;
	struct tlb_table *table; /* never NULL; empty with version 0 at first */
	enum tlb_config_source source;
	bool trim_due;		 /* memory of a large answer is to be given back */
	bool loaded;		 /* the store or a peer has been heard */
	int64_t refused_version; /* a stored version that failed the checks; 0 for none */
	tlb_config_table_fn *on_table;
	void *arg;
	struct tlb_random random;
	struct tlb_timer poll_timer;
	struct tlb_store_op poll_op;
	struct tlb_store_op load_op;
	struct tlb_config_step steps[TLB_CONFIG_HISTORY];
	size_t step_count;
};

/* loop, store and counters are borrowed and must outlive the controller. */
void tlb_config_init(struct tlb_config *c, struct tlb_loop *l, struct tlb_store *s,
		     struct tlb_counters *counters, tlb_config_table_fn *on_table, void *arg);
/* Begins to load and to poll. */
void tlb_config_start(struct tlb_config *c);
void tlb_config_finish(struct tlb_config *c);

static inline int64_t tlb_config_version(const struct tlb_config *c)
{
	return c->table->version;
}

/* Loads the rows from the store now, unless a load is under way. */
void tlb_config_refresh(struct tlb_config *c);
/* Puts a checked table in force when its version is higher; takes ownership of t either way. */
void tlb_config_install(struct tlb_config *c, struct tlb_table *t, enum tlb_config_source source);

/* The rows that a peer at version have lacks: [{"key","value" or null for a removed row}]. *base is
 * have, or 0 when the rows are the whole table. New reference. */
json_t *tlb_config_rows_since(const struct tlb_config *c, int64_t have, int64_t *base);
/* Applies rows from a peer, which lead from version base (0: from an empty table) to version.
 * TLB_OK when they are in force or older than what is; TLB_CONFLICT when base is not the version in
 * force, so that tlb_config_rows_since() must be asked again; TLB_BAD_REQUEST when they fail the
 * checks. */
enum tlb_code tlb_config_apply_rows(struct tlb_config *c, int64_t version, int64_t base,
				    const json_t *rows, struct tlb_error *err);

/* A new, empty table on the heap and its end. */
struct tlb_table *tlb_config_table_new(void);
void tlb_config_table_free(struct tlb_table *t);

#endif
