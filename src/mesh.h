/*
 * Selects the VMs to keep persistent links to: the required ones (this VM's witnesses and the VMs
 * that it is a witness for) and a few at random, which keep the graph of links connected across the
 * fleet. Pure functions.
 */
#ifndef TLB_MESH_H
#define TLB_MESH_H

#include <stdbool.h>
#include <stdint.h>

#include "clock.h"

enum { TLB_GOSSIP_LINKS = 4 }; /* random links per VM, including those that others keep */

/* Interval at which one random link is replaced by another. Without it two halves of a fleet that
 * have lost all links to each other would never reconnect. */
#define TLB_MESH_RENEW_INTERVAL (60 * TLB_SECOND)

/* One live VM other than this one. */
struct tlb_mesh_vm {
	bool required;		/* a link is required */
	bool random_link;	/* in, out: is one of the random links */
	bool remote_persistent; /* persistent at the other end, which counts as a random link */
	bool unreachable;	/* the last attempt to open a link failed */
	bool persistent;	/* out: whether to keep a persistent link */
};

/* Returns a uniformly distributed number below bound. */
typedef uint32_t tlb_mesh_random_fn(void *arg, uint32_t bound);

/* Sets chosen and keep of every VM. Existing random links remain, unreachable ones are replaced,
 * and new ones are added until there are TLB_GOSSIP_LINKS of them, including those kept by the
 * other end. With renew one random link is replaced by another. */
void tlb_mesh_select(struct tlb_mesh_vm *vms, int count, bool renew, tlb_mesh_random_fn *random,
		     void *arg);

#endif
