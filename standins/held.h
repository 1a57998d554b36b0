/*
 * The table of an engine's requests, their KV blocks, and the load report. All functions except
 * held_init() and held_lock() require the lock.
 */
#ifndef STANDIN_HELD_H
#define STANDIN_HELD_H

#include <apr_ring.h>
#include <jansson.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>

#include "clock.h"

enum { HELD_ID_LEN = 128 };

enum held_state {
	HELD_QUEUED,	 /* waiting for prefill */
	HELD_PREFILLING, /* prefill running */
	HELD_KV,	 /* prefill complete; waiting for export until evict_at */
	HELD_IMPORTING,	 /* KV cache transfer in progress */
	HELD_READY,	 /* imported; waiting for decode */
	HELD_DECODING,
};

/* Owned by the ring and by the threads that work on it; freed with the last reference. */
struct held {
	APR_RING_ENTRY(held) link;
	int refs;
	atomic_bool removed; /* from the ring: cancelled, evicted or complete */
	char id[HELD_ID_LEN];
	char owner[HELD_ID_LEN];
	char kv_id[32];
	enum held_state state;
	bool batch;
	int64_t prompt_tokens;
	uint64_t prompt_hash;
	int64_t blocks;		/* KV blocks reserved */
	int64_t prefill_blocks; /* KV blocks that the prefill needs */
	int64_t computed_tokens;
	tlb_time evict_at;
	int exports; /* in progress; they prevent eviction */
};

APR_RING_HEAD(held_ring, held);

/* Counters for GET /state. */
struct held_counters {
	int64_t prefills;
	int64_t prefill_tokens; /* computed, without cached ones */
	int64_t cached_tokens;
	int64_t evicted; /* results not exported within the eviction time */
	int64_t evicted_tokens;
	int64_t cancelled; /* cancelled results and prefills */
	int64_t cancelled_tokens;
	int64_t exported;
	int64_t imported;
	int64_t decoded;
	int64_t decodes_broken;
	int64_t tokens_streamed;
};

struct held_load;

struct held_table {
	pthread_mutex_t lock;
	pthread_cond_t changed;
	struct held_ring ring;
	int64_t total_blocks;
	int64_t free_blocks;
	bool prefill_busy;
	tlb_time load_lag;
	struct held_load *loads; /* ring buffer of the latest changes */
	int64_t load_count;
	struct held_counters counters;
};

void held_init(struct held_table *t, int64_t blocks, tlb_time load_lag);
/* Acquires the lock and evicts the results whose evict_at has passed. */
void held_lock(struct held_table *t);
/* Records the load and releases the lock. */
void held_unlock(struct held_table *t);
/* Waits for a change, at most until the given time. */
void held_wait(struct held_table *t, tlb_time until);

/* Adds a request; returns a reference that the caller must release with held_unref(). */
struct held *held_add(struct held_table *t, const char *id, const char *owner,
		      enum held_state state);
/* Adds a reference, owned by the caller. */
struct held *held_ref(struct held *h);
void held_unref(struct held *h);
struct held *held_find(struct held_table *t, const char *id);
struct held *held_find_kv(struct held_table *t, const char *kv_id);
/* Reserves KV blocks; returns false if too few are free. */
bool held_reserve(struct held_table *t, struct held *h, int64_t blocks);
/* Frees the KV blocks and removes the request from the ring; idempotent. */
void held_remove(struct held_table *t, struct held *h);
/* As held_remove(), for a cancelled request; adds a discarded result to the counters. */
void held_cancel(struct held_table *t, struct held *h);
/* Returns whether this queued request is next and its prefill may start. */
bool held_may_start(struct held_table *t, const struct held *h);
int held_running(const struct held_table *t);

/* {"running","queued","held_pieces","total_pieces","age_ms"} as of load_lag ago. */
json_t *held_load_json(struct held_table *t);
/* [{"request_id","owner","pieces"}] of all requests that have KV blocks. */
json_t *held_list_json(struct held_table *t);

#endif
