/*
 * Which prompt prefixes a prefill engine probably holds. Prompts are cut into blocks; each block is
 * named by the hash of the prompt up to its end. The engine's cache events come late and with gaps,
 * so a daemon also notes what it sent.
 */
#ifndef TLB_PREFIX_H
#define TLB_PREFIX_H

#include <stddef.h>
#include <stdint.h>

enum {
	TLB_PREFIX_BLOCK = 1024, /* bytes; about 256 tokens */
	TLB_PREFIX_BLOCKS = 64,	 /* blocks of a prompt that are named; the rest is rarely shared */
	TLB_PREFIX_ENTRIES = 512 /* remembered blocks of one engine */
};

/* The named blocks of one prompt; a value type. */
struct tlb_prefix {
	uint64_t hash[TLB_PREFIX_BLOCKS];
	int count;
};

/* Zero-initialised when empty; the oldest entries are overwritten first. */
struct tlb_prefix_cache {
	uint64_t hash[TLB_PREFIX_ENTRIES];
	int next;
};

void tlb_prefix_of(struct tlb_prefix *p, const char *prompt, size_t len);
void tlb_prefix_note(struct tlb_prefix_cache *c, const struct tlb_prefix *p);
/* Bytes of the prompt that the cache probably covers. */
size_t tlb_prefix_match(const struct tlb_prefix_cache *c, const struct tlb_prefix *p);

#endif
