/*
 * Fences: watching the VMs that name this one as a witness, asking the witnesses of a silent VM,
 * and telling the others of an incarnation that is gone. The rules are in session.h.
 */
#ifndef TLB_FENCE_H
#define TLB_FENCE_H

#include "peer.h"
#include "roster.h"

struct tlb_cluster;

/* Silence after which a VM's witnesses begin to fence it, and a session is given up as lost. */
#define TLB_FENCE_SILENCE (TLB_SESSION_LEASE + TLB_FENCE_MARGIN)

/* Attempts to fence an incarnation, for which this daemon need not be a witness. */
void tlb_fences_attempt(struct tlb_cluster *c, const struct tlb_vm_row *row);
/* Looks for silent VMs among those that name this one as a witness. */
void tlb_fences_check(struct tlb_cluster *c);
/* When a VM was last heard, or from when on its silence counts. */
tlb_time tlb_fences_heard_at(const struct tlb_cluster *c, const struct tlb_member *m);
/* The incarnation certainly acts no more. why is the source for the log. Returns false when it was
 * known. */
bool tlb_fences_take(struct tlb_cluster *c, const struct tlb_vm_name *vm, const char *why);
/* Tells all VMs that an incarnation is gone: fenced, or itself leaving. */
void tlb_fences_announce(struct tlb_cluster *c, const struct tlb_vm_name *vm);
/* Tells a VM of the fences that no row known here shows yet. */
void tlb_fences_repeat(struct tlb_cluster *c, const char *to);
/* Messages. */
void tlb_fences_on_request(struct tlb_cluster *c, const struct tlb_peer_return *from,
			   const Toucan__FenceRequest *request);
void tlb_fences_on_notice(struct tlb_cluster *c, const char *from,
			  const Toucan__FenceNotice *notice);
void tlb_fences_finish(struct tlb_cluster *c);

#endif
