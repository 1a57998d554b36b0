/*
 * An operator's change of the configuration: checked whole, written as one transaction that is
 * conditional on the row "config/head", and recognised by its change id when the answer to the
 * write was lost. Changes of one daemon run one after the other.
 */
#ifndef TLB_CHANGE_H
#define TLB_CHANGE_H

#include "config.h"

enum {
	TLB_CHANGE_ID_LEN = 64,
	TLB_SUMMARY_LEN = 200,
	TLB_CHANGE_QUEUE_MAX = 32, /* changes that wait for their turn */
	TLB_CHANGE_TIMEOUT_MS = 8000,
	TLB_CHANGE_RECENT = 32, /* changes kept in the head row */
};

/* The outcome of a change. Everything is borrowed for the duration of the callback.
 *   TLB_OK: version is the new one (or the one that this change id got earlier).
 *   TLB_BAD_REQUEST: faults lists what is wrong.
 *   TLB_CONFLICT: winner is the head row of the change in force (config.h).
 *   TLB_INVALID_KEY: the author was withdrawn while the change waited.
 *   TLB_STORE_UNAVAILABLE, TLB_OVERLOADED: error.outcome tells whether it can have taken effect. */
struct tlb_change_result {
	struct tlb_error error;
	int64_t version;
	const struct tlb_faults *faults; /* warnings too */
	const json_t *winner;
};

typedef void tlb_change_done_fn(void *arg, const struct tlb_change_result *result);

/* What an operator asks for; strings are copied. */
struct tlb_change_spec {
	const char *author;
	const char *change_id;
	const char *summary;
	int64_t base_version;
	json_t *rows; /* [{"key","value" or null}]; a reference is taken */
};

struct tlb_change;
APR_RING_HEAD(tlb_change_ring, tlb_change);

/* Owned by its user; zeroed by tlb_changes_init(). */
struct tlb_changes {
	struct tlb_config *config;
	struct tlb_change_ring queue; /* the first one is being worked on */
	size_t count;
	struct tlb_store_op op;
	struct tlb_timer timer;
};

void tlb_changes_init(struct tlb_changes *q, struct tlb_config *c);
/* Drops what is queued without callbacks. */
void tlb_changes_finish(struct tlb_changes *q);

/* Queues a change. on_done runs once, from the loop. Returns NULL with err set when the queue is
 * full. */
struct tlb_change *tlb_change_start(struct tlb_changes *q, const struct tlb_change_spec *spec,
				    tlb_change_done_fn *on_done, void *arg, struct tlb_error *err);
/* The asker has gone: on_done will not run, but the change goes on. */
void tlb_change_detach(struct tlb_change *change);

/* Checks rows against the table in force without changing anything. Returns false with the faults
 * in f; warnings are added either way. */
bool tlb_change_check(const struct tlb_config *c, const json_t *rows, struct tlb_faults *f);

#endif
