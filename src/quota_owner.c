#include "quota_owner.h"

#include <stdio.h>
#include <string.h>

#include "log.h"
#include "rank.h"

/* --- the decision --- */

struct tlb_quota_step tlb_quota_next_step(const enum tlb_quota_answer *answers, int asked,
					  int ranked, bool last_resort)
{
	struct tlb_quota_step alone = {TLB_QUOTA_DECIDE_ALONE, 0};
	int i;

	if (last_resort)
		return alone;
	if (asked < ranked)
		return (struct tlb_quota_step){TLB_QUOTA_ASK, asked};
	for (i = 0; i < asked; i++)
		if (answers[i] == TLB_QUOTA_WARMING)
			return (struct tlb_quota_step){TLB_QUOTA_ASK_LAST_RESORT, i};
	return alone;
}

/* --- the owner's side --- */

/* Decides on a request for cost that came from any VM, this one included. */
static enum tlb_quota_answer decide(struct tlb_quota_owners *o, const char *account, int64_t cost,
				    bool last_resort, tlb_time *ready_at)
{
	struct tlb_quota *q = tlb_quotas_find(o->quotas, account);
	tlb_time now = tlb_clock_now();

	if (!q || o->vms->leaving)
		return TLB_QUOTA_UNAVAILABLE;
	if (now < o->warm_at && !last_resort)
		return TLB_QUOTA_WARMING;
	return tlb_quota_take(o->quotas, q, cost, now, ready_at) ? TLB_QUOTA_GRANTED
								 : TLB_QUOTA_REFUSED;
}

static void on_acquire(struct tlb_quota_owners *o, struct tlb_peer *peer,
		       const Toucan__Envelope *msg)
{
	static const Toucan__CostReply__Result results[] = {
		[TLB_QUOTA_NO_ANSWER] = TOUCAN__COST_REPLY__RESULT__UNAVAILABLE,
		[TLB_QUOTA_UNAVAILABLE] = TOUCAN__COST_REPLY__RESULT__UNAVAILABLE,
		[TLB_QUOTA_WARMING] = TOUCAN__COST_REPLY__RESULT__WARMING,
		[TLB_QUOTA_GRANTED] = TOUCAN__COST_REPLY__RESULT__GRANTED,
		[TLB_QUOTA_REFUSED] = TOUCAN__COST_REPLY__RESULT__REFUSED,
	};
	const Toucan__AcquireCost *r = msg->acquire_cost;
	struct tlb_peer_reply_address to = {.incarnation = peer->incarnation, .id = msg->id};
	Toucan__CostReply reply = TOUCAN__COST_REPLY__INIT;
	Toucan__Envelope e = TOUCAN__ENVELOPE__INIT;
	tlb_time ready_at = 0;
	enum tlb_quota_answer answer = TLB_QUOTA_UNAVAILABLE;

	if (r->cost >= 0)
		answer = decide(o, r->account, r->cost, r->last_resort, &ready_at);
	reply.result = results[answer];
	if (answer == TLB_QUOTA_REFUSED) {
		reply.ready_in_us = ready_at - tlb_clock_now();
		reply.level = (int64_t)tlb_quotas_find(o->quotas, r->account)->level;
	}
	snprintf(to.vm, sizeof(to.vm), "%s", peer->id);
	e.body_case = TOUCAN__ENVELOPE__BODY_COST_REPLY;
	e.cost_reply = &reply;
	tlb_peers_reply(&o->vms->peers, &to, &e);
}

static void on_notice(struct tlb_quota_owners *o, const Toucan__CostNotice *n)
{
	struct tlb_quota *q = tlb_quotas_find(o->quotas, n->account);

	if (q && q->rate > 0)
		tlb_quota_add_remote(o->quotas, q, n->cost, tlb_clock_now());
}

void tlb_quota_owners_on_message(struct tlb_quota_owners *o, struct tlb_peer *peer,
				 const Toucan__Envelope *msg)
{
	if (msg->body_case == TOUCAN__ENVELOPE__BODY_ACQUIRE_COST)
		on_acquire(o, peer, msg);
	else if (msg->body_case == TOUCAN__ENVELOPE__BODY_COST_NOTICE)
		on_notice(o, msg->cost_notice);
}

/* --- the asking side --- */

/* Key of the ranking that selects the group of owners. */
static const char group_key[] = "quota-owners";

/* Sorts the VMs of the owners' group by the account's rendezvous hash. All accounts share the few
 * VMs of the group, so that every VM needs links to these only. */
static int rank_owners(const struct tlb_vms *v, const char *account, char ids[][TLB_ID_LEN],
		       int most)
{
	char group[TLB_QUOTA_OWNERS][TLB_ID_LEN];
	struct tlb_ranked ranked[TLB_QUOTA_OWNERS];
	uint64_t key = tlb_vms_hash(account);
	int size =
		tlb_vms_rank(v, tlb_vms_hash(group_key), tlb_clock_now(), group, TLB_QUOTA_OWNERS);
	int count = 0;
	int i;

	for (i = 0; i < size; i++)
		count = tlb_rank_offer(ranked, count, most,
				       tlb_vms_weight(key, tlb_vms_hash(group[i])), group[i]);
	for (i = 0; i < count; i++)
		strcpy(ids[i], ranked[i].item);
	return count;
}

static void ask_next(struct tlb_quota_acquisition *a);

/* Tells a ranked VM of cost that another one granted or that was returned. */
static void send_notice(struct tlb_quota_acquisition *a, int rank, int64_t cost)
{
	struct tlb_peers *peers = &a->owners->vms->peers;
	Toucan__CostNotice n = TOUCAN__COST_NOTICE__INIT;
	Toucan__Envelope e = TOUCAN__ENVELOPE__INIT;

	if (rank >= a->ranked_count)
		return;
	n.account = a->account;
	n.cost = cost;
	if (strcmp(a->ranked[rank], peers->self) == 0) {
		on_notice(a->owners, &n);
		return;
	}
	e.body_case = TOUCAN__ENVELOPE__BODY_COST_NOTICE;
	e.cost_notice = &n;
	/* Without this notice the next VM would grant a little more after a takeover. */
	if (!tlb_peers_send(peers, a->ranked[rank], &e))
		tlb_log_info("event=quota_notice_not_sent vm=%s account=%s cost=%lld",
			     a->ranked[rank], a->account, (long long)cost);
}

static void finish(struct tlb_quota_acquisition *a, bool granted, tlb_time ready_at)
{
	a->on_done(a->arg, granted, ready_at);
}

/* Remembers a refusal, so that further requests of that size need not ask again. */
static void record_refusal(struct tlb_quota_acquisition *a, tlb_time ready_at)
{
	struct tlb_quota *q = tlb_quotas_find(a->owners->quotas, a->account);
	tlb_time until = tlb_clock_now() + TLB_QUOTA_REFUSAL_TTL;

	if (!q)
		return;
	q->refused_until = ready_at < until ? ready_at : until;
	q->refused_ready_at = ready_at;
	q->refused_cost = a->cost;
}

static void handle_answer(struct tlb_quota_acquisition *a, enum tlb_quota_answer answer,
			  tlb_time ready_at)
{
	switch (answer) {
	case TLB_QUOTA_GRANTED:
		send_notice(a, a->rank + 1, a->cost);
		finish(a, true, 0);
		return;
	case TLB_QUOTA_REFUSED:
		record_refusal(a, ready_at);
		finish(a, false, ready_at);
		return;
	case TLB_QUOTA_NO_ANSWER:
	case TLB_QUOTA_UNAVAILABLE:
		tlb_vms_avoid(a->owners->vms, a->ranked[a->rank],
			      tlb_clock_now() + TLB_QUOTA_AVOID_TIME);
		break;
	case TLB_QUOTA_WARMING:
		break;
	}
	if (!a->last_resort)
		a->answers[a->asked++] = answer;
	ask_next(a);
}

static enum tlb_quota_answer answer_of(const Toucan__CostReply *r)
{
	switch (r->result) {
	case TOUCAN__COST_REPLY__RESULT__GRANTED:
		return TLB_QUOTA_GRANTED;
	case TOUCAN__COST_REPLY__RESULT__REFUSED:
		return TLB_QUOTA_REFUSED;
	case TOUCAN__COST_REPLY__RESULT__WARMING:
		return TLB_QUOTA_WARMING;
	default:
		return TLB_QUOTA_UNAVAILABLE;
	}
}

static void on_reply(void *arg, const Toucan__Envelope *reply, const struct tlb_error *err)
{
	struct tlb_quota_acquisition *a = arg;

	if (!reply || reply->body_case != TOUCAN__ENVELOPE__BODY_COST_REPLY) {
		tlb_log_info("event=quota_owner_silent vm=%s account=%s rank=%d reason=\"%s\"",
			     a->ranked[a->rank], a->account, a->rank,
			     err ? err->message : "unexpected reply");
		handle_answer(a, TLB_QUOTA_NO_ANSWER, 0);
		return;
	}
	a->level = reply->cost_reply->level;
	handle_answer(a, answer_of(reply->cost_reply),
		      tlb_clock_now() + reply->cost_reply->ready_in_us);
}

static void ask(struct tlb_quota_acquisition *a)
{
	struct tlb_peers *peers = &a->owners->vms->peers;
	Toucan__AcquireCost r = TOUCAN__ACQUIRE_COST__INIT;
	Toucan__Envelope e = TOUCAN__ENVELOPE__INIT;
	enum tlb_quota_answer answer;
	tlb_time ready_at = 0;

	if (strcmp(a->ranked[a->rank], peers->self) == 0) {
		answer = decide(a->owners, a->account, a->cost, a->last_resort, &ready_at);
		handle_answer(a, answer, ready_at);
		return;
	}
	r.account = a->account;
	r.cost = a->cost;
	r.last_resort = a->last_resort;
	e.body_case = TOUCAN__ENVELOPE__BODY_ACQUIRE_COST;
	e.acquire_cost = &r;
	tlb_peers_call(peers, a->ranked[a->rank], &a->call, &e,
		       tlb_clock_now() + TLB_QUOTA_ANSWER_TIMEOUT, on_reply, a);
}

static void decide_alone(struct tlb_quota_acquisition *a)
{
	struct tlb_quota *q = tlb_quotas_find(a->owners->quotas, a->account);
	int vms = tlb_vms_count(a->owners->vms);
	tlb_time ready_at = 0;
	bool granted =
		!q || tlb_quota_take_alone(q, a->cost, 1.0 / vms, tlb_clock_now(), &ready_at);

	a->alone = true;
	tlb_log_info("event=quota_alone account=%s cost=%lld granted=%d asked=%d vms=%d",
		     a->account, (long long)a->cost, granted, a->asked, vms);
	finish(a, granted, ready_at);
}

static void ask_next(struct tlb_quota_acquisition *a)
{
	int most = a->ranked_count < TLB_QUOTA_VMS_ASKED ? a->ranked_count : TLB_QUOTA_VMS_ASKED;
	struct tlb_quota_step s = tlb_quota_next_step(a->answers, a->asked, most, a->last_resort);

	switch (s.kind) {
	case TLB_QUOTA_ASK:
	case TLB_QUOTA_ASK_LAST_RESORT:
		a->last_resort = s.kind == TLB_QUOTA_ASK_LAST_RESORT;
		a->rank = s.rank;
		ask(a);
		return;
	case TLB_QUOTA_DECIDE_ALONE:
		decide_alone(a);
		return;
	}
}

void tlb_quota_acquire(struct tlb_quota_acquisition *a, struct tlb_quota_owners *o,
		       const struct tlb_quota *quota, int64_t cost, tlb_quota_done_fn *on_done,
		       void *arg)
{
	tlb_time now = tlb_clock_now();

	memset(a, 0, sizeof(*a));
	a->owners = o;
	snprintf(a->account, sizeof(a->account), "%s", quota->account);
	a->cost = cost;
	a->on_done = on_done;
	a->arg = arg;
	if (quota->rate == 0) {
		finish(a, true, 0);
		return;
	}
	if (now < quota->refused_until && cost >= quota->refused_cost) {
		finish(a, false, quota->refused_ready_at);
		return;
	}
	a->ranked_count = rank_owners(o->vms, quota->account, a->ranked, TLB_QUOTA_VMS_ASKED + 1);
	ask_next(a);
}

void tlb_quota_acquisition_cancel(struct tlb_quota_acquisition *a)
{
	if (tlb_peer_call_active(&a->call))
		tlb_peer_cancel(&a->call);
}

const char *tlb_quota_acquisition_decider(const struct tlb_quota_acquisition *a)
{
	return a->alone || a->ranked_count == 0 ? "" : a->ranked[a->rank];
}

void tlb_quota_acquisition_return(struct tlb_quota_acquisition *a)
{
	struct tlb_quota *q = tlb_quotas_find(a->owners->quotas, a->account);

	if (!q || q->rate == 0)
		return;
	if (a->alone) {
		q->alone_level += (double)a->cost;
		return;
	}
	send_notice(a, a->rank, -a->cost);
	send_notice(a, a->rank + 1, -a->cost);
}

void tlb_quota_owners_init(struct tlb_quota_owners *o, struct tlb_vms *vms,
			   struct tlb_quotas *quotas)
{
	o->vms = vms;
	o->quotas = quotas;
	o->warm_at = tlb_clock_now() + TLB_QUOTA_WARMUP;
}

bool tlb_quota_owners_needed(const struct tlb_quota_owners *o)
{
	return tlb_vms_count(o->vms) > TLB_VMS_NEIGHBOURS + 1;
}
