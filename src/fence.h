/*
 * Fencing: monitors the VMs that name this one as a witness, asks the witnesses of a silent VM to
 * agree to its fence, and notifies the other VMs of an incarnation that has ended. The rules are in
 * session.h; "ended" is defined in cluster.h.
 */
#ifndef TLB_FENCE_H
#define TLB_FENCE_H

#include "peer.h"
#include "roster.h"

struct tlb_cluster;

/* Time without a frame from a VM after which its witnesses start to fence it. Also the time after
 * which an invalid session with silent witnesses is given up. */
#define TLB_FENCE_TIMEOUT (TLB_SESSION_LEASE + TLB_FENCE_MARGIN)

/* Starts or continues an attempt to fence the incarnation of this row. This daemon need not be one
 * of its witnesses. */
void tlb_fences_attempt(struct tlb_cluster *c, const struct tlb_vm_row *row);
/* Starts to fence silent VMs among those that name this one as a witness, and stops attempts on
 * VMs that send again. */
void tlb_fences_check(struct tlb_cluster *c);
/* When the last frame of a VM's incarnation arrived; or the time from which on its silence counts,
 * if that is later: when its row was received, the link was first kept, or this daemon joined or
 * resumed after a pause. */
tlb_time tlb_fences_last_heard(const struct tlb_cluster *c, const struct tlb_member *m);
/* Records that an incarnation has ended. source names the source of this information, for the log.
 * Returns false if it was already recorded. */
bool tlb_fences_apply(struct tlb_cluster *c, const struct tlb_vm_name *vm, const char *source);
/* Notifies all VMs that an incarnation has ended: another one that was fenced, or this one when it
 * leaves. */
void tlb_fences_announce(struct tlb_cluster *c, const struct tlb_vm_name *vm);
/* Sends a VM notices of the fences that are not yet written to any row known here. */
void tlb_fences_resend(struct tlb_cluster *c, const char *to);
/* Handlers of messages. */
void tlb_fences_on_request(struct tlb_cluster *c, const struct tlb_peer_reply_address *from,
			   const Toucan__FenceRequest *request);
void tlb_fences_on_notice(struct tlb_cluster *c, const char *from,
			  const Toucan__FenceNotice *notice);
void tlb_fences_finish(struct tlb_cluster *c);

#endif
