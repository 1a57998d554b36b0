#include "prefix.h"

#include <string.h>

/* FNV-1a. Not collision-resistant: a false match only leads to a worse endpoint selection. */
static uint64_t fnv1a(uint64_t h, const char *data, size_t len)
{
	size_t i;

	for (i = 0; i < len; i++) {
		h ^= (unsigned char)data[i];
		h *= UINT64_C(1099511628211);
	}
	return h;
}

void tlb_prefix_hash(struct tlb_prefix *p, const char *prompt, size_t len)
{
	uint64_t h = UINT64_C(14695981039346656037);
	size_t offset = 0;

	p->count = 0;
	while (p->count < TLB_PREFIX_MAX_BLOCKS && offset + TLB_PREFIX_BLOCK_BYTES <= len) {
		h = fnv1a(h, prompt + offset, TLB_PREFIX_BLOCK_BYTES);
		offset += TLB_PREFIX_BLOCK_BYTES;
		p->hash[p->count++] = h;
	}
}

static int find(const struct tlb_prefix_cache *c, uint64_t hash)
{
	int i;

	for (i = 0; i < TLB_PREFIX_CACHE_ENTRIES; i++)
		if (c->hash[i] == hash)
			return i;
	return -1;
}

void tlb_prefix_cache_add(struct tlb_prefix_cache *c, const struct tlb_prefix *p)
{
	int i;

	for (i = 0; i < p->count; i++) {
		if (find(c, p->hash[i]) >= 0)
			continue;
		c->hash[c->next] = p->hash[i];
		c->next = (c->next + 1) % TLB_PREFIX_CACHE_ENTRIES;
	}
}

size_t tlb_prefix_cache_match(const struct tlb_prefix_cache *c, const struct tlb_prefix *p)
{
	int n = p->count;

	while (n > 0 && find(c, p->hash[n - 1]) < 0)
		n--;
	return (size_t)n * TLB_PREFIX_BLOCK_BYTES;
}
