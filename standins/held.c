#include "held.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { LOAD_COUNT = 4096 };

/* One change of the load. */
struct held_load {
	tlb_time since;
	int running;
	int queued;
	int64_t held_blocks;
};

void held_init(struct held_table *t, int64_t blocks, tlb_time load_lag)
{
	pthread_condattr_t attr;

	pthread_mutex_init(&t->lock, NULL);
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&t->changed, &attr);
	pthread_condattr_destroy(&attr);
	APR_RING_INIT(&t->ring, held, link);
	t->total_blocks = blocks;
	t->free_blocks = blocks;
	t->load_lag = load_lag;
	t->loads = calloc(LOAD_COUNT, sizeof(struct held_load));
	if (!t->loads)
		abort();
	t->load_count = 1;
}

void held_unref(struct held *h)
{
	if (--h->refs == 0)
		free(h);
}

struct held *held_ref(struct held *h)
{
	h->refs++;
	return h;
}

struct held *held_add(struct held_table *t, const char *id, const char *owner,
		      enum held_state state)
{
	struct held *h = calloc(1, sizeof(*h));

	if (!h)
		abort();
	h->refs = 2;
	h->state = state;
	snprintf(h->id, sizeof(h->id), "%s", id);
	snprintf(h->owner, sizeof(h->owner), "%s", owner);
	APR_RING_INSERT_TAIL(&t->ring, h, held, link);
	return h;
}

struct held *held_find(struct held_table *t, const char *id)
{
	struct held *h;

	APR_RING_FOREACH (h, &t->ring, held, link) {
		if (strcmp(h->id, id) == 0)
			return h;
	}
	return NULL;
}

struct held *held_find_kv(struct held_table *t, const char *kv_id)
{
	struct held *h;

	APR_RING_FOREACH (h, &t->ring, held, link) {
		if (h->state == HELD_KV && strcmp(h->kv_id, kv_id) == 0)
			return h;
	}
	return NULL;
}

bool held_reserve(struct held_table *t, struct held *h, int64_t blocks)
{
	if (blocks > t->free_blocks)
		return false;
	t->free_blocks -= blocks;
	h->blocks += blocks;
	return true;
}

void held_remove(struct held_table *t, struct held *h)
{
	if (h->removed)
		return;
	h->removed = true;
	t->free_blocks += h->blocks;
	h->blocks = 0;
	APR_RING_REMOVE(h, link);
	pthread_cond_broadcast(&t->changed);
	held_unref(h);
}

void held_cancel(struct held_table *t, struct held *h)
{
	if (h->removed)
		return;
	if (h->state == HELD_KV) {
		t->counters.cancelled++;
		t->counters.cancelled_tokens += h->computed_tokens;
	}
	held_remove(t, h);
}

static void evict_due(struct held_table *t)
{
	tlb_time now = tlb_clock_now();
	struct held *h;
	struct held *next;

	APR_RING_FOREACH_SAFE (h, next, &t->ring, held, link) {
		if (h->state != HELD_KV || h->exports > 0 || h->evict_at > now)
			continue;
		t->counters.evicted++;
		t->counters.evicted_tokens += h->computed_tokens;
		held_remove(t, h);
	}
}

static bool is_running(const struct held *h)
{
	return h->state == HELD_PREFILLING || h->state == HELD_DECODING;
}

static struct held_load load_now(const struct held_table *t)
{
	struct held_load l = {.since = tlb_clock_now(),
			      .held_blocks = t->total_blocks - t->free_blocks};
	const struct held *h;

	APR_RING_FOREACH (h, &t->ring, held, link) {
		if (is_running(h))
			l.running++;
		else if (h->state != HELD_KV)
			l.queued++;
	}
	return l;
}

int held_running(const struct held_table *t)
{
	return load_now(t).running;
}

static void record_load(struct held_table *t)
{
	const struct held_load *last = &t->loads[(t->load_count - 1) % LOAD_COUNT];
	struct held_load l = load_now(t);

	if (l.running != last->running || l.queued != last->queued ||
	    l.held_blocks != last->held_blocks)
		t->loads[t->load_count++ % LOAD_COUNT] = l;
}

void held_lock(struct held_table *t)
{
	pthread_mutex_lock(&t->lock);
	evict_due(t);
}

void held_unlock(struct held_table *t)
{
	record_load(t);
	pthread_mutex_unlock(&t->lock);
}

void held_wait(struct held_table *t, tlb_time until)
{
	struct timespec ts = {.tv_sec = until / TLB_SECOND, .tv_nsec = until % TLB_SECOND * 1000};

	record_load(t);
	pthread_cond_timedwait(&t->changed, &t->lock, &ts);
	evict_due(t);
}

/* Returns the first queued request of the priority class, or NULL. */
static const struct held *first_queued(const struct held_table *t, bool batch)
{
	const struct held *h;

	APR_RING_FOREACH (h, &t->ring, held, link) {
		if (h->state == HELD_QUEUED && h->batch == batch)
			return h;
	}
	return NULL;
}

bool held_may_start(struct held_table *t, const struct held *h)
{
	const struct held *next = first_queued(t, false);

	if (!next)
		next = first_queued(t, true);
	return next && next == h && !t->prefill_busy && next->prefill_blocks <= t->free_blocks;
}

json_t *held_load_json(struct held_table *t)
{
	tlb_time as_of = tlb_clock_now() - t->load_lag;
	int64_t i;

	record_load(t);
	i = t->load_count - 1;
	while (i > 0 && i > t->load_count - LOAD_COUNT && t->loads[i % LOAD_COUNT].since > as_of)
		i--;
	return json_pack("{s:i, s:i, s:I, s:I, s:I}", "running", t->loads[i % LOAD_COUNT].running,
			 "queued", t->loads[i % LOAD_COUNT].queued, "held_pieces",
			 (json_int_t)t->loads[i % LOAD_COUNT].held_blocks, "total_pieces",
			 (json_int_t)t->total_blocks, "age_ms", (json_int_t)(t->load_lag / TLB_MS));
}

json_t *held_list_json(struct held_table *t)
{
	json_t *list = json_array();
	const struct held *h;

	APR_RING_FOREACH (h, &t->ring, held, link) {
		if (h->blocks > 0)
			json_array_append_new(list, json_pack("{s:s, s:s, s:I}", "request_id",
							      h->id, "owner", h->owner, "pieces",
							      (json_int_t)h->blocks));
	}
	return list;
}
