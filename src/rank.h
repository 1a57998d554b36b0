/* Selects the items with the lowest weights, for rendezvous hashing, in one pass over all items. */
#ifndef TLB_RANK_H
#define TLB_RANK_H

#include <stdint.h>

struct tlb_ranked {
	uint64_t weight;
	void *item; /* borrowed */
};

/* Offers an item to a list of at most `most` entries, sorted by weight, that has `count` entries;
 * returns the new count. */
static inline int tlb_rank_offer(struct tlb_ranked *lowest, int count, int most, uint64_t weight,
				 void *item)
{
	int i;

	if (count > 0 && count == most && weight >= lowest[count - 1].weight)
		return count;
	if (count < most)
		count++;
	for (i = count - 1; i > 0 && lowest[i - 1].weight > weight; i--)
		lowest[i] = lowest[i - 1];
	lowest[i] = (struct tlb_ranked){weight, item};
	return count;
}

#endif
