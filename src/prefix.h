/*
 * Estimates which prompt prefixes are in the prefix cache of a prefill engine. A prompt is divided
 * into blocks; each block is identified by the hash of the prompt up to the end of the block. The
 * engine's cache events arrive late and with gaps, so a daemon also records the prompts it sent.
 */
#ifndef TLB_PREFIX_H
#define TLB_PREFIX_H

#include <stddef.h>
#include <stdint.h>

enum {
	TLB_PREFIX_BLOCK_BYTES = 1024, /* bytes, about 256 tokens */
	TLB_PREFIX_MAX_BLOCKS = 64,    /* hashed blocks of a prompt; later ones are rarely shared */
	TLB_PREFIX_CACHE_ENTRIES = 512 /* recorded blocks of one engine */
};

/* Hashes of the complete blocks of one prompt, in order; a value type. */
struct tlb_prefix {
	uint64_t hash[TLB_PREFIX_MAX_BLOCKS];
	int count;
};

/* Ring buffer of the block hashes recorded for one engine; the oldest entry is overwritten first.
 * Zero-initialised. */
struct tlb_prefix_cache {
	uint64_t hash[TLB_PREFIX_CACHE_ENTRIES];
	int next;
};

void tlb_prefix_hash(struct tlb_prefix *p, const char *prompt, size_t len);
void tlb_prefix_cache_add(struct tlb_prefix_cache *c, const struct tlb_prefix *p);
/* Returns how many bytes of the prompt are probably cached. */
size_t tlb_prefix_cache_match(const struct tlb_prefix_cache *c, const struct tlb_prefix *p);

#endif
