/*
 * The prefix cache of an engine and its events. A cache entry stands for the first N blocks of a
 * prompt and is named by the FNV-1a hash of these bytes. Not locked.
 */
#ifndef STANDIN_PREFIX_H
#define STANDIN_PREFIX_H

#include <jansson.h>
#include <stdint.h>

#include "clock.h"

/* One block is 256 tokens of 4 bytes. */
enum { STANDIN_BLOCK_BYTES = 1024, STANDIN_BLOCK_TOKENS = 256 };

struct standin_prefix_entry {
	uint64_t hash;
	int64_t last_used; /* serial number of the last use; the lowest is evicted first */
};

struct standin_prefix_event;

struct standin_prefix {
	struct standin_prefix_entry *entries;
	int64_t limit;
	int64_t count;
	int64_t uses;
	struct standin_prefix_event *events;
	int64_t next_seq;
	int64_t gap_percent;
	tlb_time delay;
	unsigned int seed;
};

/* limit: cached blocks. An event is published after delay, or never for gap_percent of them. */
void standin_prefix_init(struct standin_prefix *c, int64_t limit, int64_t gap_percent,
			 tlb_time delay, unsigned int seed);
/* Returns how many leading tokens of the prompt are cached. */
int64_t standin_prefix_lookup(const struct standin_prefix *c, const char *prompt, size_t len);
/* Caches the prompt's complete blocks, evicting the least recently used entries. */
void standin_prefix_insert(struct standin_prefix *c, const char *prompt, size_t len);
/* The published events with a greater seq: [{"seq","kind","prefix_hash"}]. A dropped event leaves a
 * gap in seq. */
json_t *standin_prefix_events(const struct standin_prefix *c, int64_t after);

#endif
