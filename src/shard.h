/* The shard map: which VM accounts for which ids. */
#ifndef TLB_SHARD_H
#define TLB_SHARD_H

#include <stdbool.h>
#include <stdint.h>

#include "table.h"

enum { TLB_SHARD_COUNT = 64 };

/* A set of shard numbers: bit n is shard n. */
typedef uint64_t tlb_shard_set;

static inline bool tlb_shard_in(tlb_shard_set set, int shard)
{
	return set >> shard & 1;
}

/* The shard of an account or endpoint id. */
int tlb_shard_of(const char *id);

#endif
