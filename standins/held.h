/*
 * The requests that an engine knows, their memory, and the load report. All functions but
 * held_lock() need the lock.
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
	HELD_QUEUED,	 /* waits for its prefill */
	HELD_PREFILLING, /* being computed */
	HELD_KV,	 /* computed; waits for its export until evict_at */
	HELD_IMPORTING,	 /* KV on its way */
	HELD_READY,	 /* imported; waits for its decode */
	HELD_DECODING,
};

/* Owned by the ring and by the threads that work on it; freed with the last reference. */
struct held {
	APR_RING_ENTRY(held) link;
	int refs;
	atomic_bool cancelled; /* no longer in the ring */
	char id[HELD_ID_LEN];
	char owner[HELD_ID_LEN];
	char kv_id[32];
	enum held_state state;
	bool batch;
	int64_t prompt_tokens;
	uint64_t prompt_hash;
	int64_t pieces; /* taken */
	int64_t wanted; /* pieces that its prefill needs */
	int64_t computed_tokens;
	tlb_time evict_at;
	int exports; /* in progress; they keep it from eviction */
};

APR_RING_HEAD(held_ring, held);

/* Counters for GET /state. */
struct held_counters {
	int64_t prefills;
	int64_t prefill_tokens; /* computed, without cached ones */
	int64_t cached_tokens;
	int64_t evicted; /* results that nobody imported in time */
	int64_t evicted_tokens;
	int64_t cancelled; /* results or computations given up */
	int64_t cancelled_tokens;
	int64_t exported;
	int64_t imported;
	int64_t decoded;
	int64_t decodes_broken;
	int64_t tokens_streamed;
};

struct held_table {
	pthread_mutex_t lock;
	pthread_cond_t changed;
	struct held_ring ring;
	int64_t total_pieces;
	int64_t free_pieces;
	bool prefill_busy;
	tlb_time load_lag;
	struct held_counters counters;
};

void held_init(struct held_table *t, int64_t pieces, tlb_time load_lag);
/* Takes the lock and evicts what is due. */
void held_lock(struct held_table *t);
/* Records the load and releases the lock. */
void held_unlock(struct held_table *t);
/* Waits for a change, at most until the given time. */
void held_wait(struct held_table *t, tlb_time until);

/* Adds a request; the caller has a reference. */
struct held *held_add(struct held_table *t, const char *id, const char *owner,
		      enum held_state state);
/* Gives the caller another reference. */
struct held *held_ref(struct held *h);
void held_unref(struct held *h);
struct held *held_find(struct held_table *t, const char *id);
struct held *held_find_kv(struct held_table *t, const char *kv_id);
bool held_take(struct held_table *t, struct held *h, int64_t pieces);
/* Frees the memory and takes the request out of the ring; harmless when done already. */
void held_remove(struct held_table *t, struct held *h);
/* As held_remove(), for a request given up; counts the loss. */
void held_cancel(struct held_table *t, struct held *h);
/* Whether this queued request is the next one and may start. */
bool held_may_start(struct held_table *t, const struct held *h);
int held_running(const struct held_table *t);

/* {"running","queued","held_pieces","total_pieces","age_ms"} as of load_lag ago. */
json_t *held_load_json(struct held_table *t);
/* [{"request_id","owner","pieces"}] of all requests with memory. */
json_t *held_list_json(struct held_table *t);

#endif
