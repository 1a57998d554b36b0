#include "fence.h"

#include <inttypes.h>
#include <string.h>

#include "cluster.h"
#include "gossip.h"
#include "log.h"

/* Each further witness of a VM starts to fence it this much later, so that usually only one does.
 */
#define FENCE_WITNESS_STEP (200 * TLB_MS)
#define FENCE_RETRY (1 * TLB_SECOND)
#define FENCE_CALL_TIMEOUT (1 * TLB_SECOND)

static void send_fence_notice(struct tlb_cluster *c, const char *to, const struct tlb_vm_name *vm)
{
	Toucan__Envelope envelope = TOUCAN__ENVELOPE__INIT;
	Toucan__FenceNotice notice = TOUCAN__FENCE_NOTICE__INIT;
	Toucan__Vm name = TOUCAN__VM__INIT;
	struct tlb_vm_name copy = *vm;

	name.id = copy.id;
	name.incarnation = copy.incarnation;
	notice.vm = &name;
	envelope.body_case = TOUCAN__ENVELOPE__BODY_FENCE_NOTICE;
	envelope.fence_notice = &notice;
	tlb_peers_send_if_up(&c->peers, to, &envelope);
}

void tlb_fences_announce(struct tlb_cluster *c, const struct tlb_vm_name *vm)
{
	const struct tlb_peer *peer;

	APR_RING_FOREACH (peer, &c->peers.peers, tlb_peer, link)
		send_fence_notice(c, peer->id, vm);
}

static void stop_attempt(struct tlb_fence_attempt *a)
{
	int i;

	for (i = 0; i < TLB_WITNESS_MAX; i++)
		tlb_peer_cancel(&a->calls[i]);
	a->fence.vm.id[0] = '\0';
}

static struct tlb_fence_attempt *find_attempt(struct tlb_cluster *c, const struct tlb_vm_name *vm)
{
	int i;

	for (i = 0; i < TLB_FENCE_ATTEMPTS_MAX; i++)
		if (c->fence_attempts[i].fence.vm.id[0] &&
		    tlb_vm_name_equal(&c->fence_attempts[i].fence.vm, vm))
			return &c->fence_attempts[i];
	return NULL;
}

bool tlb_fences_apply(struct tlb_cluster *c, const struct tlb_vm_name *vm, const char *source)
{
	struct tlb_vm_name name = *vm;
	struct tlb_fence_attempt *a = find_attempt(c, &name);
	tlb_shard_set owned_before = c->owned_shards;

	if (a)
		stop_attempt(a);
	if (!tlb_roster_mark_ended(&c->roster, &name))
		return false;
	tlb_counter_add(c->counters, TLB_COUNTER_FENCES, 1);
	tlb_log_info("event=fence vm=%s incarnation=%016" PRIx64 " source=%s", name.id,
		     name.incarnation, source);
	if (c->handlers.on_fenced)
		c->handlers.on_fenced(c->handlers.arg, name.id, name.incarnation);
	tlb_cluster_update_shards(c);
	if (c->owned_shards & ~owned_before)
		tlb_log_info("event=takeover from=%s shards=%d", name.id,
			     __builtin_popcountll(c->owned_shards & ~owned_before));
	tlb_membership_on_fence(&c->membership);
	return true;
}

static void check_proof(struct tlb_fence_attempt *a)
{
	struct tlb_cluster *c = a->cluster;
	struct tlb_vm_name vm = a->fence.vm;

	if (!tlb_fence_proven(&a->fence))
		return;
	tlb_fences_apply(c, &vm, "witnesses");
	tlb_fences_announce(c, &vm);
}

static void on_fence_reply(void *arg, const Toucan__Envelope *reply, const struct tlb_error *err)
{
	struct tlb_fence_attempt *a = arg;

	if (!reply || reply->body_case != TOUCAN__ENVELOPE__BODY_FENCE_REPLY)
		return;
	if (reply->fence_reply->answer == TOUCAN__FENCE_REPLY__ANSWER__SUPERSEDED)
		tlb_membership_request_row(&a->cluster->membership, a->fence.vm.id);
	if (reply->fence_reply->answer != TOUCAN__FENCE_REPLY__ANSWER__AGREED)
		return;
	tlb_fence_add_agreement(&a->fence, reply->source);
	check_proof(a);
}

static void request_agreement(struct tlb_fence_attempt *a, int i)
{
	Toucan__Envelope envelope = TOUCAN__ENVELOPE__INIT;
	Toucan__FenceRequest request = TOUCAN__FENCE_REQUEST__INIT;
	Toucan__Vm name = TOUCAN__VM__INIT;

	name.id = a->fence.vm.id;
	name.incarnation = a->fence.vm.incarnation;
	request.vm = &name;
	request.row_version = a->fence.row_version;
	envelope.body_case = TOUCAN__ENVELOPE__BODY_FENCE_REQUEST;
	envelope.fence_request = &request;
	tlb_peer_cancel(&a->calls[i]);
	tlb_peers_call(&a->cluster->peers, a->fence.witness[i], &a->calls[i], &envelope,
		       tlb_clock_now() + FENCE_CALL_TIMEOUT, on_fence_reply, a);
}

static int missing_agreements(const struct tlb_fence *f)
{
	int missing = f->count / 2 + 1;
	int i;

	for (i = 0; i < f->count; i++)
		missing -= f->agreed[i];
	return missing;
}

/* Adds the agreement of this witness once it completes the majority. It comes last because it can't
 * be withdrawn: without a majority it would only cost the other VM a witness. */
static void add_own_agreement(struct tlb_fence_attempt *a)
{
	struct tlb_cluster *c = a->cluster;
	int64_t known;

	if (missing_agreements(&a->fence) > 1)
		return;
	if (tlb_witness_on_fence_request(&c->witness, &a->fence.vm, a->fence.row_version,
					 tlb_clock_now(), &known) == TLB_FENCE_AGREED)
		tlb_fence_add_agreement(&a->fence, c->self.id);
}

static void run_attempt(struct tlb_fence_attempt *a)
{
	int i;

	a->retry_at = tlb_clock_now() + FENCE_RETRY;
	for (i = 0; i < a->fence.count; i++) {
		if (a->fence.agreed[i])
			continue;
		if (strcmp(a->fence.witness[i], a->cluster->self.id) == 0)
			add_own_agreement(a);
		else
			request_agreement(a, i);
	}
	check_proof(a);
}

void tlb_fences_attempt(struct tlb_cluster *c, const struct tlb_vm_row *row)
{
	struct tlb_fence_attempt *a = find_attempt(c, &row->name);
	int i;

	if (a && a->fence.row_version != row->version) {
		stop_attempt(a);
		a = NULL;
	}
	for (i = 0; !a && i < TLB_FENCE_ATTEMPTS_MAX; i++)
		if (!c->fence_attempts[i].fence.vm.id[0]) {
			a = &c->fence_attempts[i];
			a->cluster = c;
			a->retry_at = 0;
			tlb_fence_init(&a->fence, &row->name, row->version, row->witness,
				       row->witness_count);
			tlb_log_info("event=fence_attempt vm=%s incarnation=%016" PRIx64
				     " witnesses=%d",
				     row->name.id, row->name.incarnation, row->witness_count);
		}
	if (a && tlb_clock_now() >= a->retry_at)
		run_attempt(a);
}

tlb_time tlb_fences_last_heard(const struct tlb_cluster *c, const struct tlb_member *m)
{
	const struct tlb_peer *peer = tlb_peers_find(&c->peers, m->row.name.id);
	tlb_time at = m->row_received_at > c->silence_counts_from ? m->row_received_at
								  : c->silence_counts_from;

	if (peer && peer->persistent && peer->persistent_since > at)
		at = peer->persistent_since;
	if (peer && peer->incarnation == m->row.name.incarnation && peer->last_received_at > at)
		at = peer->last_received_at;
	return at;
}

/* The position of this daemon among the witnesses of a VM, or -1. */
static int witness_position(const struct tlb_cluster *c, const struct tlb_vm_row *row)
{
	int i;

	for (i = 0; i < row->witness_count; i++)
		if (strcmp(row->witness[i].id, c->self.id) == 0)
			return i;
	return -1;
}

void tlb_fences_check(struct tlb_cluster *c)
{
	tlb_time now = tlb_clock_now();
	struct tlb_fence_attempt *a;
	const struct tlb_member *m;
	int position;
	int i;

	for (i = 0; i < c->roster.count; i++) {
		m = &c->roster.members[i];
		position = witness_position(c, &m->row);
		if (position < 0 || !tlb_roster_live(&c->roster, m))
			continue;
		if (now - tlb_fences_last_heard(c, m) >
		    TLB_FENCE_TIMEOUT + position * FENCE_WITNESS_STEP) {
			tlb_fences_attempt(c, &m->row);
			continue;
		}
		a = find_attempt(c, &m->row.name);
		if (a && now - tlb_fences_last_heard(c, m) < TLB_PEER_SILENCE_TIMEOUT)
			stop_attempt(a);
	}
}

void tlb_fences_on_request(struct tlb_cluster *c, const struct tlb_peer_reply_address *from,
			   const Toucan__FenceRequest *request)
{
	Toucan__Envelope envelope = TOUCAN__ENVELOPE__INIT;
	Toucan__FenceReply reply = TOUCAN__FENCE_REPLY__INIT;
	struct tlb_vm_name vm;

	if (!request->vm || strlen(request->vm->id) >= TLB_ID_LEN)
		return;
	tlb_vm_name_set(&vm, request->vm->id, request->vm->incarnation);
	switch (tlb_witness_on_fence_request(&c->witness, &vm, request->row_version,
					     tlb_clock_now(), &reply.row_version)) {
	case TLB_FENCE_AGREED:
		reply.answer = TOUCAN__FENCE_REPLY__ANSWER__AGREED;
		break;
	case TLB_FENCE_SUPERSEDED:
		reply.answer = TOUCAN__FENCE_REPLY__ANSWER__SUPERSEDED;
		break;
	case TLB_FENCE_REFUSED:
		reply.answer = TOUCAN__FENCE_REPLY__ANSWER__REFUSED;
		break;
	}
	envelope.body_case = TOUCAN__ENVELOPE__BODY_FENCE_REPLY;
	envelope.fence_reply = &reply;
	tlb_peers_reply(&c->peers, from, &envelope);
}

/* Forwards a notice to a few VMs. */
static void forward_notice(struct tlb_cluster *c, const char *from, const struct tlb_vm_name *vm)
{
	struct tlb_gossip_targets to;
	int i;

	tlb_gossip_select_targets(c, from, NULL, 0, &to);
	for (i = 0; i < to.count; i++)
		send_fence_notice(c, to.vm[i], vm);
}

void tlb_fences_on_notice(struct tlb_cluster *c, const char *from,
			  const Toucan__FenceNotice *notice)
{
	struct tlb_vm_name vm;

	if (!notice->vm || strlen(notice->vm->id) >= TLB_ID_LEN)
		return;
	tlb_vm_name_set(&vm, notice->vm->id, notice->vm->incarnation);
	if (tlb_vm_name_equal(&vm, &c->self)) {
		tlb_cluster_rejoin(c, "fenced");
		return;
	}
	if (tlb_fences_apply(c, &vm, "notice"))
		forward_notice(c, from, &vm);
}

/* The peer may have missed the notice of a fence that is not written yet, if it had no link when
 * the notice was sent. */
void tlb_fences_resend(struct tlb_cluster *c, const char *to)
{
	const struct tlb_member *m;
	int i;

	for (i = 0; i < c->roster.count; i++) {
		m = &c->roster.members[i];
		if (m->row.state == TLB_VM_LIVE && !tlb_roster_live(&c->roster, m))
			send_fence_notice(c, to, &m->row.name);
	}
}

void tlb_fences_finish(struct tlb_cluster *c)
{
	int i;

	for (i = 0; i < TLB_FENCE_ATTEMPTS_MAX; i++)
		if (c->fence_attempts[i].cluster)
			stop_attempt(&c->fence_attempts[i]);
}
