/* Seeded random numbers. The caller passes the state, so that a decision can be replayed. */
#ifndef TLB_RANDOM_H
#define TLB_RANDOM_H

#include <stdint.h>
#include <stdlib.h>

/* A value type; each user keeps its own. */
struct tlb_random {
	unsigned short state[3];
};

static inline void tlb_random_init(struct tlb_random *r, uint64_t seed)
{
	r->state[0] = (unsigned short)seed;
	r->state[1] = (unsigned short)(seed >> 16);
	r->state[2] = (unsigned short)((seed >> 32) ^ (seed >> 48));
}

/* Uniform in [0, 1). */
static inline double tlb_random_unit(struct tlb_random *r)
{
	return erand48(r->state);
}

/* Uniform in 0 .. n - 1; n is at least 1. */
static inline int tlb_random_below(struct tlb_random *r, int n)
{
	return (int)(erand48(r->state) * n);
}

#endif
