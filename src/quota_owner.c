#include "quota_owner.h"

#include <stdio.h>
#include <string.h>

#include "edgeboard.h"
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
	for (i = 0; i < asked; i++)
		if (answers[i] == TLB_QUOTA_LEAVING)
			return (struct tlb_quota_step){TLB_QUOTA_ASK_LEAVING, 0};
	return alone;
}

/* --- the ranking of owners --- */

/* Key of the ranking that selects the group of owners. */
static const char group_key[] = "quota-owners";

/* Which VMs a ranking leaves out. */
enum ranking { RANK_USABLE, RANK_WITH_LEAVING, RANK_TRUE };

/* Sorts the VMs of the owners' group by the account's rendezvous hash. All accounts share the few
 * VMs of the group, so that every VM needs links to these only. */
static int rank_owners(const struct tlb_vms *v, const char *account, enum ranking ranking,
		       char ids[][TLB_ID_LEN], int most)
{
	char group[TLB_QUOTA_OWNERS][TLB_ID_LEN];
	struct tlb_ranked ranked[TLB_QUOTA_OWNERS];
	uint64_t key = tlb_vms_hash(account);
	uint64_t group_hash = tlb_vms_hash(group_key);
	tlb_time now = tlb_clock_now();
	int count = 0;
	int size = 0;
	int i;

	switch (ranking) {
	case RANK_USABLE:
		size = tlb_vms_rank(v, group_hash, now, group, TLB_QUOTA_OWNERS);
		break;
	case RANK_WITH_LEAVING:
		size = tlb_vms_rank_all(v, group_hash, now, group, TLB_QUOTA_OWNERS);
		break;
	case RANK_TRUE:
		size = tlb_vms_rank_true(v, group_hash, group, TLB_QUOTA_OWNERS);
		break;
	}
	for (i = 0; i < size; i++)
		count = tlb_rank_offer(ranked, count, most,
				       tlb_vms_weight(key, tlb_vms_hash(group[i])), group[i]);
	for (i = 0; i < count; i++)
		strcpy(ids[i], ranked[i].item);
	return count;
}

/* --- grants of several owners at a time --- */

static bool send_cost_notice(struct tlb_quota_owners *o, const char *vm, const char *account,
			     int64_t cost)
{
	Toucan__CostNotice n = TOUCAN__COST_NOTICE__INIT;
	Toucan__Envelope e = TOUCAN__ENVELOPE__INIT;

	n.account = (char *)account;
	n.cost = cost;
	e.body_case = TOUCAN__ENVELOPE__BODY_COST_NOTICE;
	e.cost_notice = &n;
	return tlb_peers_send(&o->vms->peers, vm, &e);
}

/* Tells the other owners of the account what this VM has granted. The VM ranked after it is told of
 * each grant by the VM that asked for it. */
static void tell_grants(struct tlb_quota_owners *o, struct tlb_quota *q)
{
	char ids[TLB_QUOTA_VMS_ASKED][TLB_ID_LEN];
	const char *self = o->vms->peers.self;
	int count = rank_owners(o->vms, q->account, RANK_TRUE, ids, TLB_QUOTA_VMS_ASKED);
	int64_t cost = q->untold;
	int own = 0;
	int i;

	while (own < count && strcmp(ids[own], self) != 0)
		own++;
	q->untold = 0;
	if (own == 0 && tlb_clock_now() >= q->contested_until)
		return;
	for (i = 0; i < count; i++)
		if (i != own && i != own + 1)
			send_cost_notice(o, ids[i], q->account, cost);
}

static void on_tell_timer(void *arg)
{
	struct tlb_quota_owners *o = arg;
	struct tlb_quota *q;

	while (!APR_RING_EMPTY(&o->untold, tlb_quota, untold_link)) {
		q = APR_RING_FIRST(&o->untold);
		APR_RING_REMOVE(q, untold_link);
		tell_grants(o, q);
	}
}

static void note_grant(struct tlb_quota_owners *o, struct tlb_quota *q, int64_t cost)
{
	if (cost == 0)
		return;
	if (q->untold == 0)
		APR_RING_INSERT_TAIL(&o->untold, q, tlb_quota, untold_link);
	q->untold += cost;
	if (!tlb_timer_active(&o->tell_timer))
		tlb_timer_set(o->vms->board->loop, &o->tell_timer,
			      tlb_clock_now() + TLB_QUOTA_TELL_DELAY);
}

/* --- the owner's side --- */

/* Applies what the asking VM knows to the bucket before a decision. */
static void learn_level(struct tlb_quota_owners *o, struct tlb_quota *q,
			const Toucan__AcquireCost *r, tlb_time now)
{
	uint64_t self = o->vms->incarnation;
	bool warm = now >= o->warm_at;
	/* A level that this VM has told itself may lack cost that was returned since. */
	bool told = r->level_source != 0 && r->level_source != self;

	/* The level with which a VM starts is arbitrary. */
	if (told && q->level_source == 0 && !warm)
		tlb_quota_set_level(o->quotas, q, r->level, self, now);
	else if (told)
		tlb_quota_limit_level(o->quotas, q, r->level, now);
	if (told || warm || q->level_source != 0)
		q->level_source = self;
}

/* Decides on a request for cost that came from any VM, this one included. */
static enum tlb_quota_answer decide(struct tlb_quota_owners *o, const Toucan__AcquireCost *r,
				    tlb_time *ready_at)
{
	struct tlb_quota *q = tlb_quotas_find(o->quotas, r->account);
	tlb_time now = tlb_clock_now();

	if (!q)
		return TLB_QUOTA_UNAVAILABLE;
	if (o->vms->leaving && !r->last_resort)
		return TLB_QUOTA_LEAVING;
	if (now < o->warm_at && !r->last_resort)
		return TLB_QUOTA_WARMING;
	learn_level(o, q, r, now);
	if (!tlb_quota_take(o->quotas, q, r->cost, now, ready_at))
		return TLB_QUOTA_REFUSED;
	note_grant(o, q, r->cost);
	return TLB_QUOTA_GRANTED;
}

/* Adds what the account has left to a decision, unless this VM has started too recently to know. */
static void add_levels(const struct tlb_quota *q, Toucan__CostReply *reply)
{
	reply->fleet_level = tlb_quota_fleet_level(q, tlb_clock_now());
	reply->fleet_level_known = q->rate > 0 && q->level_source != 0;
	if (reply->result == TOUCAN__COST_REPLY__RESULT__REFUSED)
		reply->level = (int64_t)q->level;
}

static void on_acquire(struct tlb_quota_owners *o, struct tlb_peer *peer,
		       const Toucan__Envelope *msg)
{
	static const Toucan__CostReply__Result results[] = {
		[TLB_QUOTA_NO_ANSWER] = TOUCAN__COST_REPLY__RESULT__UNAVAILABLE,
		[TLB_QUOTA_UNAVAILABLE] = TOUCAN__COST_REPLY__RESULT__UNAVAILABLE,
		[TLB_QUOTA_LEAVING] = TOUCAN__COST_REPLY__RESULT__LEAVING,
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
		answer = decide(o, r, &ready_at);
	reply.result = results[answer];
	if (answer == TLB_QUOTA_REFUSED)
		reply.ready_in_us = ready_at - tlb_clock_now();
	if (answer == TLB_QUOTA_GRANTED || answer == TLB_QUOTA_REFUSED)
		add_levels(tlb_quotas_find(o->quotas, r->account), &reply);
	snprintf(to.vm, sizeof(to.vm), "%s", peer->id);
	e.body_case = TOUCAN__ENVELOPE__BODY_COST_REPLY;
	e.cost_reply = &reply;
	tlb_peers_reply(&o->vms->peers, &to, &e);
}

static void on_notice(struct tlb_quota_owners *o, const Toucan__CostNotice *n)
{
	struct tlb_quota *q = tlb_quotas_find(o->quotas, n->account);
	tlb_time now = tlb_clock_now();

	if (!q || q->rate == 0)
		return;
	tlb_quota_add_remote(o->quotas, q, n->cost, now);
	if (n->cost > 0)
		q->contested_until = now + TLB_QUOTA_CONTEST_TIME;
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

static void ask_next(struct tlb_quota_acquisition *a);

/* Tells a ranked VM of cost that another one granted or that was returned. */
static void send_notice(struct tlb_quota_acquisition *a, int rank, int64_t cost)
{
	Toucan__CostNotice n = TOUCAN__COST_NOTICE__INIT;

	if (rank >= a->ranked_count)
		return;
	if (strcmp(a->ranked[rank], a->owners->vms->peers.self) == 0) {
		n.account = a->account;
		n.cost = cost;
		on_notice(a->owners, &n);
		return;
	}
	/* Without this notice the next VM would grant a little more after a takeover. */
	if (!send_cost_notice(a->owners, a->ranked[rank], a->account, cost))
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

/* Remembers what the account has left, to tell it to a VM that decides next. */
static void record_level(struct tlb_quota_acquisition *a, const Toucan__Envelope *reply)
{
	struct tlb_quota *q = tlb_quotas_find(a->owners->quotas, a->account);

	if (q && reply && reply->cost_reply->fleet_level_known)
		tlb_quota_set_level(a->owners->quotas, q, reply->cost_reply->fleet_level,
				    reply->incarnation, tlb_clock_now());
}

/* reply: NULL when this VM has decided by itself, or without a reply. */
static void handle_answer(struct tlb_quota_acquisition *a, enum tlb_quota_answer answer,
			  tlb_time ready_at, const Toucan__Envelope *reply)
{
	switch (answer) {
	case TLB_QUOTA_GRANTED:
		send_notice(a, a->rank + 1, a->cost);
		/* The level includes the grant, which this VM may have been notified of. */
		record_level(a, reply);
		finish(a, true, 0);
		return;
	case TLB_QUOTA_REFUSED:
		record_refusal(a, ready_at);
		record_level(a, reply);
		finish(a, false, ready_at);
		return;
	case TLB_QUOTA_NO_ANSWER:
	case TLB_QUOTA_UNAVAILABLE:
		tlb_vms_avoid(a->owners->vms, a->ranked[a->rank],
			      tlb_clock_now() + TLB_QUOTA_AVOID_TIME);
		break;
	case TLB_QUOTA_LEAVING:
		/* Its announcement has not arrived yet. */
		if (reply)
			tlb_vms_set_leaving(a->owners->vms, a->ranked[a->rank], reply->incarnation);
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
	case TOUCAN__COST_REPLY__RESULT__LEAVING:
		return TLB_QUOTA_LEAVING;
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
		handle_answer(a, TLB_QUOTA_NO_ANSWER, 0, NULL);
		return;
	}
	a->level = reply->cost_reply->level;
	handle_answer(a, answer_of(reply->cost_reply),
		      tlb_clock_now() + reply->cost_reply->ready_in_us, reply);
}

static void ask(struct tlb_quota_acquisition *a)
{
	struct tlb_peers *peers = &a->owners->vms->peers;
	const struct tlb_quota *q = tlb_quotas_find(a->owners->quotas, a->account);
	Toucan__AcquireCost r = TOUCAN__ACQUIRE_COST__INIT;
	Toucan__Envelope e = TOUCAN__ENVELOPE__INIT;
	enum tlb_quota_answer answer;
	tlb_time ready_at = 0;

	r.account = a->account;
	r.cost = a->cost;
	r.last_resort = a->last_resort || a->asks_leaving;
	if (q && q->level_source != 0) {
		r.level = tlb_quota_fleet_level(q, tlb_clock_now());
		r.level_source = q->level_source;
	}
	if (strcmp(a->ranked[a->rank], peers->self) == 0) {
		answer = decide(a->owners, &r, &ready_at);
		handle_answer(a, answer, ready_at, NULL);
		return;
	}
	e.body_case = TOUCAN__ENVELOPE__BODY_ACQUIRE_COST;
	e.acquire_cost = &r;
	tlb_peers_call(peers, a->ranked[a->rank], &a->call, &e,
		       tlb_clock_now() + TLB_QUOTA_ANSWER_TIMEOUT, on_reply, a);
}

static void decide_alone(struct tlb_quota_acquisition *a)
{
	struct tlb_quota *q = tlb_quotas_find(a->owners->quotas, a->account);
	int vms = tlb_vms_recent_count(a->owners->vms);
	tlb_time ready_at = 0;
	bool granted =
		!q || tlb_quota_take_alone(q, a->cost, 1.0 / vms, tlb_clock_now(), &ready_at);

	a->alone = true;
	tlb_log_info("event=quota_alone account=%s cost=%lld granted=%d asked=%d vms=%d",
		     a->account, (long long)a->cost, granted, a->asked, vms);
	finish(a, granted, ready_at);
}

/* The ranking of all VMs does not depend on how many of them this one knows to be leaving. */
static void ask_leaving(struct tlb_quota_acquisition *a)
{
	if (a->asks_leaving) {
		decide_alone(a);
		return;
	}
	a->asks_leaving = true;
	a->asked = 0;
	a->ranked_count = rank_owners(a->owners->vms, a->account, RANK_WITH_LEAVING, a->ranked,
				      TLB_QUOTA_VMS_ASKED + 1);
	ask_next(a);
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
	case TLB_QUOTA_ASK_LEAVING:
		ask_leaving(a);
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
	a->ranked_count = rank_owners(o->vms, quota->account, RANK_USABLE, a->ranked,
				      TLB_QUOTA_VMS_ASKED + 1);
	if (a->ranked_count == 0)
		ask_leaving(a);
	else
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
	const char *self = a->owners->vms->peers.self;
	bool notifies_self = false;
	int rank;

	if (!q || q->rate == 0)
		return;
	if (a->alone) {
		q->alone_level += (double)a->cost;
		return;
	}
	for (rank = a->rank; rank <= a->rank + 1 && rank < a->ranked_count; rank++) {
		notifies_self |= strcmp(a->ranked[rank], self) == 0;
		send_notice(a, rank, -a->cost);
	}
	if (!notifies_self)
		tlb_quota_add_remote(a->owners->quotas, q, -a->cost, tlb_clock_now());
}

void tlb_quota_owners_init(struct tlb_quota_owners *o, struct tlb_vms *vms,
			   struct tlb_quotas *quotas)
{
	o->vms = vms;
	o->quotas = quotas;
	o->warm_at = tlb_clock_now() + TLB_QUOTA_WARMUP;
	APR_RING_INIT(&o->untold, tlb_quota, untold_link);
	tlb_timer_init(&o->tell_timer, on_tell_timer, o);
}

void tlb_quota_owners_finish(struct tlb_quota_owners *o)
{
	tlb_timer_clear(o->vms->board->loop, &o->tell_timer);
}

bool tlb_quota_owners_needed(const struct tlb_quota_owners *o)
{
	return tlb_vms_recent_count(o->vms) > TLB_VMS_NEIGHBOURS + 1;
}
