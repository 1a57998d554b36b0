/*
 * Operators' changes to the configuration. A change is validated completely and written as one
 * transaction that is conditional on the version of the row "config/head". When the response to the
 * write is lost, the change id shows whether the write was committed. A daemon runs its changes one
 * at a time.
 */
#ifndef TLB_CHANGE_H
#define TLB_CHANGE_H

#include "config.h"

enum {
	TLB_CHANGE_ID_LEN = 64,
	TLB_SUMMARY_LEN = 200,
	TLB_CHANGE_QUEUE_MAX = 32, /* queued changes, including the one being processed */
	TLB_CHANGE_TIMEOUT_MS = 8000,
	TLB_CHANGE_RECENT_MAX = 32, /* most recent changes listed in the head row */
};

/* The outcome of a change. All pointers are valid only during the callback.
 *   TLB_OK: version is the version that the change created, now or in an earlier attempt with the
 *   same change id.
 *   TLB_BAD_REQUEST: faults lists the validation errors.
 *   TLB_CONFLICT: winner is the head row of the change in force (config.h).
 *   TLB_INVALID_KEY: the author's credential was withdrawn while the change was queued.
 *   TLB_STORE_UNAVAILABLE, TLB_OVERLOADED: error.outcome says whether the change may have taken
 *   effect. */
struct tlb_change_result {
	struct tlb_error error;
	int64_t version;
	const struct tlb_faults *faults; /* includes warnings */
	const json_t *current_head;
};

typedef void tlb_change_done_fn(void *arg, const struct tlb_change_result *result);

/* The change that an operator requests; strings are copied. */
struct tlb_change_spec {
	const char *author;
	const char *change_id;
	const char *summary;
	int64_t base_version;
	json_t *rows; /* [{"key","value" or null}]; tlb_change_start() adds a reference */
};

struct tlb_change;
APR_RING_HEAD(tlb_change_ring, tlb_change);

/* Allocated by the caller; zeroed by tlb_changes_init(). */
struct tlb_changes {
	struct tlb_config *config;
	struct tlb_change_ring queue; /* the first one is being processed */
	size_t count;
	struct tlb_store_op op;
	struct tlb_timer timer;
};

void tlb_changes_init(struct tlb_changes *q, struct tlb_config *c);
/* Frees all queued changes without calling their callbacks. */
void tlb_changes_finish(struct tlb_changes *q);

/* Queues a change. on_done runs once, from the event loop. Returns NULL with err set when the queue
 * is full. */
struct tlb_change *tlb_change_start(struct tlb_changes *q, const struct tlb_change_spec *spec,
				    tlb_change_done_fn *on_done, void *arg, struct tlb_error *err);
/* The requester has disconnected: the change continues, but on_done will not be called. */
void tlb_change_detach(struct tlb_change *change);

/* Validates rows against the table in force without changing anything. Returns false with the
 * errors in f; warnings are added to f in either case. */
bool tlb_change_check(const struct tlb_config *c, const json_t *rows, struct tlb_faults *f);

#endif
