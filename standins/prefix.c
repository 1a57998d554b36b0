#include "prefix.h"

#include <inttypes.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>

#include "control.h"

enum { EVENT_COUNT = 4096, PERCENT = 100 };

/* Stored at seq modulo EVENT_COUNT. */
struct standin_prefix_event {
	int64_t seq; /* 0: unused or dropped */
	tlb_time visible_at;
	const char *kind;
	uint64_t hash;
};

void standin_prefix_init(struct standin_prefix *c, int64_t limit, int64_t gap_percent,
			 tlb_time delay, unsigned int seed)
{
	c->limit = limit > 0 ? limit : 0;
	c->entries = calloc(c->limit + 1, sizeof(*c->entries));
	c->events = calloc(EVENT_COUNT, sizeof(*c->events));
	if (!c->entries || !c->events)
		abort();
	c->count = 0;
	c->uses = 0;
	c->next_seq = 1;
	c->gap_percent = gap_percent;
	c->delay = delay;
	c->seed = seed;
}

static void publish(struct standin_prefix *c, const char *kind, uint64_t hash)
{
	struct standin_prefix_event *e = &c->events[c->next_seq % EVENT_COUNT];
	bool dropped = rand_r(&c->seed) % PERCENT < c->gap_percent;

	e->seq = dropped ? 0 : c->next_seq;
	e->visible_at = tlb_clock_now() + c->delay;
	e->kind = kind;
	e->hash = hash;
	c->next_seq++;
}

static struct standin_prefix_entry *find(const struct standin_prefix *c, uint64_t hash)
{
	int64_t i;

	for (i = 0; i < c->count; i++)
		if (c->entries[i].hash == hash)
			return &c->entries[i];
	return NULL;
}

int64_t standin_prefix_lookup(const struct standin_prefix *c, const char *prompt, size_t len)
{
	uint64_t hash = STANDIN_HASH_START;
	int64_t tokens = 0;
	size_t offset;

	for (offset = 0; offset + STANDIN_BLOCK_BYTES <= len; offset += STANDIN_BLOCK_BYTES) {
		hash = standin_hash(hash, prompt + offset, STANDIN_BLOCK_BYTES);
		if (!find(c, hash))
			break;
		tokens += STANDIN_BLOCK_TOKENS;
	}
	return tokens;
}

static struct standin_prefix_entry *evict_oldest(struct standin_prefix *c)
{
	struct standin_prefix_entry *oldest = &c->entries[0];
	int64_t i;

	for (i = 1; i < c->count; i++)
		if (c->entries[i].last_used < oldest->last_used)
			oldest = &c->entries[i];
	publish(c, "evicted", oldest->hash);
	return oldest;
}

static void touch_block(struct standin_prefix *c, uint64_t hash, int64_t serial)
{
	struct standin_prefix_entry *e = find(c, hash);

	if (!e) {
		e = c->count < c->limit ? &c->entries[c->count++] : evict_oldest(c);
		e->hash = hash;
		publish(c, "cached", hash);
	}
	e->last_used = serial;
}

void standin_prefix_insert(struct standin_prefix *c, const char *prompt, size_t len)
{
	int64_t blocks = (int64_t)(len / STANDIN_BLOCK_BYTES);
	uint64_t hash = STANDIN_HASH_START;
	int64_t i;

	if (blocks > c->limit)
		blocks = c->limit;
	for (i = 0; i < blocks; i++) {
		hash = standin_hash(hash, prompt + i * STANDIN_BLOCK_BYTES, STANDIN_BLOCK_BYTES);
		/* Earlier blocks count as used more recently: without them later ones are useless.
		 */
		touch_block(c, hash, c->uses + blocks - i);
	}
	c->uses += blocks;
}

static json_t *event_json(const struct standin_prefix_event *e)
{
	char hash[17];

	snprintf(hash, sizeof(hash), "%016" PRIx64, e->hash);
	return json_pack("{s:I, s:s, s:s}", "seq", (json_int_t)e->seq, "kind", e->kind,
			 "prefix_hash", hash);
}

json_t *standin_prefix_events(const struct standin_prefix *c, int64_t after)
{
	const struct standin_prefix_event *e;
	tlb_time now = tlb_clock_now();
	json_t *list = json_array();
	int64_t seq;

	seq = after + 1;
	if (seq < c->next_seq - EVENT_COUNT)
		seq = c->next_seq - EVENT_COUNT;
	if (seq < 1)
		seq = 1;
	for (; seq < c->next_seq; seq++) {
		e = &c->events[seq % EVENT_COUNT];
		if (e->seq == seq && e->visible_at <= now)
			json_array_append_new(list, event_json(e));
	}
	return list;
}
