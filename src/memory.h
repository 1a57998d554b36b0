/*
 * Memory that requests and responses in flight hold, under one limit for the daemon: bodies and
 * heads in both directions, bytes between an endpoint and its caller, and what libraries keep for
 * them. Whoever keeps bytes of a message charges them to the share of its exchange, call or
 * connection first. A charge that does not fit is refused, and the message with it, before it is
 * stored.
 */
#ifndef TLB_MEMORY_H
#define TLB_MEMORY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "buffer.h"

enum {
	/* A share up to this size may use the whole limit. A larger one grows only while a part of
	 * the limit is left for others, so that a few large messages don't refuse all small ones.
	 */
	TLB_MEMORY_SMALL_SHARE = 128 << 10,
	TLB_MEMORY_RESERVED_DIVISOR = 4, /* that part: the limit divided by this */
};

/* Caller-owned. */
struct tlb_memory {
	size_t limit; /* bytes */
	size_t used;
	size_t peak;
	int64_t refused; /* charges that did not fit */
};

/* What one exchange, call or connection holds. Zero-initialised without a memory: charges always
 * succeed and are not counted. */
struct tlb_memory_share {
	struct tlb_memory *memory;
	size_t bytes;
};

void tlb_memory_init(struct tlb_memory *m, size_t limit);
/* The limit for this VM: most at the most, and at most half of the VM's memory. */
size_t tlb_memory_limit(size_t most);
/* Charges bytes. Returns false, with nothing charged, when they do not fit. */
bool tlb_memory_charge(struct tlb_memory_share *s, size_t bytes);
/* Charges bytes that are already in use, also above the limit. */
void tlb_memory_charge_used(struct tlb_memory_share *s, size_t bytes);
/* Returns some bytes, or all that the share holds. */
void tlb_memory_return(struct tlb_memory_share *s, size_t bytes);
void tlb_memory_release(struct tlb_memory_share *s);

/* As the functions of struct tlb_buffer, with the growth charged to a share; false also when that
 * does not fit. The share's user releases it when the buffer is freed. */
bool tlb_memory_append(struct tlb_memory_share *s, struct tlb_buffer *b, const char *bytes,
		       size_t n, size_t max);
bool tlb_memory_enlarge(struct tlb_memory_share *s, struct tlb_buffer *b, size_t capacity);

#endif
