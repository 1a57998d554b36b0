/*
 * Which VMs to keep links to: those that are needed (witnesses and the VMs witnessed for) and a few
 * chosen at random, which connect the fleet as a whole. Pure functions.
 */
#ifndef TLB_MESH_H
#define TLB_MESH_H

#include <stdbool.h>
#include <stdint.h>

#include "clock.h"

enum { TLB_GOSSIP_LINKS = 4 };

/* Every so often one of the random links is chosen anew: two halves of a fleet that have lost all
 * links to each other would otherwise never link again. */
#define TLB_MESH_RENEW (60 * TLB_SECOND)

/* What is known of one live VM. */
struct tlb_mesh_vm {
	bool needed;	/* a link must be kept */
	bool chosen;	/* is one of the random links so far */
	bool kept_by;	/* the other end keeps the link, which counts as a random one */
	bool unreached; /* the last attempt to open a link failed */
	bool keep;	/* result */
};

/* A number below bound, evenly spread. */
typedef uint32_t tlb_mesh_random_fn(void *arg, uint32_t bound);

/* Sets chosen and keep of every VM. Keeps the random links that stand, up to TLB_GOSSIP_LINKS with
 * those that others keep; replaces unreached ones; renew gives one of them up for another. */
void tlb_mesh_choose(struct tlb_mesh_vm *vms, int count, bool renew, tlb_mesh_random_fn *random,
		     void *arg);

#endif
