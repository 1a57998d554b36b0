#include "standby.h"

#include <stdlib.h>
#include <string.h>

#include "board.h"
#include "log.h"

/* Maximum grants in one reply, because a frame holds at most 1 MiB. The others count as used. */
enum { REPLY_GRANTS_MAX = 4096 };

void tlb_standby_init(struct tlb_standby *s, struct tlb_board *b)
{
	memset(s, 0, sizeof(*s));
	s->board = b;
	APR_RING_INIT(&s->allowances, tlb_standby_allowance, link);
}

static void free_allowance(struct tlb_standby_allowance *p)
{
	tlb_delegation_standby_finish(&p->delegation);
	APR_RING_REMOVE(p, link);
	free(p);
}

void tlb_standby_finish(struct tlb_standby *s)
{
	while (!APR_RING_EMPTY(&s->allowances, tlb_standby_allowance, link))
		free_allowance(APR_RING_FIRST(&s->allowances));
}

void tlb_standby_reset(struct tlb_standby *s)
{
	tlb_standby_finish(s);
}

static struct tlb_standby_allowance *find_allowance(struct tlb_standby *s, const char *account,
						    const struct tlb_vm_name *owner)
{
	struct tlb_standby_allowance *p;

	APR_RING_FOREACH (p, &s->allowances, tlb_standby_allowance, link) {
		if (strcmp(p->account, account) == 0 && tlb_vm_name_equal(&p->owner, owner))
			return p;
	}
	return NULL;
}

static struct tlb_standby_allowance *
find_or_add_allowance(struct tlb_standby *s, const char *account, const struct tlb_vm_name *owner)
{
	struct tlb_standby_allowance *p = find_allowance(s, account, owner);

	if (p || strlen(account) >= TLB_ID_LEN)
		return p;
	p = calloc(1, sizeof(*p));
	if (!p)
		return NULL;
	strcpy(p->account, account);
	p->owner = *owner;
	tlb_delegation_standby_init(&p->delegation, tlb_clock_now());
	APR_RING_INSERT_TAIL(&s->allowances, p, tlb_standby_allowance, link);
	return p;
}

static struct tlb_vm_name sender_name(const struct tlb_peer_reply_address *from)
{
	struct tlb_vm_name name;

	tlb_vm_name_set(&name, from->vm, from->incarnation);
	return name;
}

/* True when the current shard map names this owner and this daemon as its standby, this daemon's
 * session is valid, and the owner was not fenced. */
static bool may_act_as_standby(const struct tlb_standby *s, const char *account,
			       const struct tlb_vm_name *owner)
{
	const struct tlb_cluster *c = s->board->cluster;
	const struct tlb_shard_entry *e = tlb_cluster_shard_entry(c, account);

	return tlb_board_valid(s->board) && tlb_vm_name_equal(&e->owner, owner) &&
	       tlb_vm_name_equal(&e->standby, &c->self) && !tlb_cluster_has_ended(c, owner);
}

struct grant_list {
	Toucan__Grant *grants;
	Toucan__Grant **pointers;
	size_t count;
};

static void list_grants(struct grant_list *list, struct tlb_ledger *ledger)
{
	size_t max_grants = ledger->count < REPLY_GRANTS_MAX ? ledger->count : REPLY_GRANTS_MAX;
	struct tlb_ledger_grant *g;
	Toucan__Grant *m;

	list->count = 0;
	list->grants = calloc(max_grants + 1, sizeof(*list->grants));
	list->pointers = calloc(max_grants + 1, sizeof(*list->pointers));
	if (!list->grants || !list->pointers)
		return;
	APR_RING_FOREACH (g, &ledger->grants, tlb_ledger_grant, link) {
		if (list->count == max_grants)
			break;
		m = &list->grants[list->count];
		toucan__grant__init(m);
		m->reservation_id = g->entry.id;
		m->vm = g->entry.vm;
		m->incarnation = g->entry.incarnation;
		m->tokens = g->entry.tokens;
		list->pointers[list->count++] = m;
	}
}

static void send_reply(struct tlb_standby *s, const struct tlb_peer_reply_address *to, uint64_t seq,
		       struct tlb_delegation_standby *allowance)
{
	Toucan__Envelope e = TOUCAN__ENVELOPE__INIT;
	Toucan__PartReply m = TOUCAN__PART_REPLY__INIT;
	struct grant_list list = {0};

	m.seq = seq;
	m.part_seq = allowance->open_seq;
	m.open = allowance->open;
	m.level = allowance->ledger.bucket.level;
	if (!allowance->open) {
		list_grants(&list, &allowance->ledger);
		m.grants = list.pointers;
		m.n_grants = list.count;
	}
	e.body_case = TOUCAN__ENVELOPE__BODY_PART_REPLY;
	e.part_reply = &m;
	tlb_cluster_reply(s->board->cluster, to, &e);
	free(list.grants);
	free(list.pointers);
}

static void log_allowance(const struct tlb_standby_allowance *p, const char *action)
{
	tlb_log_info("event=reserve account=%s owner=%s open=%d action=%s", p->account, p->owner.id,
		     p->delegation.open, action);
}

void tlb_standby_on_open(struct tlb_standby *s, const struct tlb_peer_reply_address *from,
			 const Toucan__OpenPart *m)
{
	const struct tlb_account *row = tlb_table_account(s->board->table, m->account);
	struct tlb_vm_name owner = sender_name(from);
	struct tlb_standby_allowance *p;
	bool allowed;

	if (m->standby_incarnation != tlb_cluster_incarnation(s->board->cluster))
		return;
	allowed = row && may_act_as_standby(s, m->account, &owner) &&
		  m->shards_version >= s->min_map_version[tlb_shard_for_id(m->account)];
	p = find_or_add_allowance(s, m->account, &owner);
	if (!p)
		return;
	if (m->seq > p->delegation.seq) {
		tlb_delegation_on_open(&p->delegation, m->seq, m->level, allowed,
				       row ? row->burst : 0, tlb_clock_now());
		log_allowance(p, allowed ? "open" : "refuse");
	}
	if (m->seq == p->delegation.seq)
		send_reply(s, from, m->seq, &p->delegation);
}

void tlb_standby_on_close(struct tlb_standby *s, const struct tlb_peer_reply_address *from,
			  const Toucan__ClosePart *m)
{
	struct tlb_vm_name owner = sender_name(from);
	struct tlb_standby_allowance *p;

	if (m->standby_incarnation != tlb_cluster_incarnation(s->board->cluster))
		return;
	p = find_or_add_allowance(s, m->account, &owner);
	if (!p || !tlb_delegation_on_close(&p->delegation, m->seq))
		return;
	log_allowance(p, "close");
	send_reply(s, from, m->seq, &p->delegation);
}

bool tlb_standby_reserve(struct tlb_standby *s, const char *account,
			 const struct tlb_ledger_entry *request)
{
	const struct tlb_shard_entry *e;
	struct tlb_standby_allowance *p;

	if (!s->board->cluster)
		return false;
	e = tlb_cluster_shard_entry(s->board->cluster, account);
	p = find_allowance(s, account, &e->owner);
	if (!p || !may_act_as_standby(s, account, &e->owner) ||
	    !tlb_delegation_reserve(&p->delegation, request, tlb_clock_now()))
		return false;
	tlb_counter_add(&s->board->counters, TLB_COUNTER_RESERVE_GRANTS, 1);
	return true;
}

enum tlb_standby_reconcile_result tlb_standby_reconcile(struct tlb_standby *s, const char *account,
							const char *id, int64_t booked,
							int64_t used)
{
	struct tlb_standby_allowance *p;

	APR_RING_FOREACH (p, &s->allowances, tlb_standby_allowance, link) {
		if (strcmp(p->account, account) != 0 ||
		    !tlb_ledger_reconcile(&p->delegation.ledger, id, booked, used, tlb_clock_now()))
			continue;
		return p->delegation.open ? TLB_STANDBY_RECONCILED : TLB_STANDBY_FORWARD;
	}
	return TLB_STANDBY_NO_GRANT;
}

void tlb_standby_merge_into(struct tlb_standby *s, const char *account, struct tlb_ledger *ledger)
{
	struct tlb_standby_allowance *p;

	APR_RING_FOREACH (p, &s->allowances, tlb_standby_allowance, link) {
		if (strcmp(p->account, account) != 0)
			continue;
		if (p->delegation.open)
			log_allowance(p, "adopt");
		tlb_delegation_merge(&p->delegation, ledger, tlb_clock_now());
	}
}

void tlb_standby_sync(struct tlb_standby *s)
{
	const struct tlb_account *row;
	struct tlb_standby_allowance *p;

	APR_RING_FOREACH (p, &s->allowances, tlb_standby_allowance, link) {
		row = tlb_table_account(s->board->table, p->account);
		tlb_delegation_standby_configure(&p->delegation, row ? row->burst : 0,
						 tlb_clock_now());
	}
}

static void record_map_entries(struct tlb_standby *s)
{
	const struct tlb_shard_map *map = &s->board->cluster->map;
	const struct tlb_shard_entry *e;
	int i;

	for (i = 0; i < TLB_SHARD_COUNT; i++) {
		e = &map->entry[i];
		if (tlb_vm_name_equal(&e->owner, &s->last_entries[i].owner) &&
		    tlb_vm_name_equal(&e->standby, &s->last_entries[i].standby))
			continue;
		s->last_entries[i] = *e;
		if (map->version > s->min_map_version[i])
			s->min_map_version[i] = map->version;
	}
}

void tlb_standby_on_map(struct tlb_standby *s)
{
	const struct tlb_cluster *c = s->board->cluster;
	const struct tlb_shard_entry *e;
	struct tlb_standby_allowance *p;
	struct tlb_standby_allowance *next;

	record_map_entries(s);
	APR_RING_FOREACH_SAFE (p, next, &s->allowances, tlb_standby_allowance, link) {
		e = tlb_cluster_shard_entry(c, p->account);
		if (tlb_cluster_has_ended(c, &p->owner))
			free_allowance(p);
		else if (!tlb_vm_name_equal(&e->owner, &p->owner) ||
			 !tlb_vm_name_equal(&e->standby, &c->self))
			tlb_delegation_freeze(&p->delegation);
	}
}

void tlb_standby_on_release(struct tlb_standby *s, tlb_shard_set shards, int64_t version)
{
	struct tlb_standby_allowance *p;
	int i;

	for (i = 0; i < TLB_SHARD_COUNT; i++) {
		if (tlb_shard_set_contains(shards, i) && s->min_map_version[i] <= version)
			s->min_map_version[i] = version + 1;
	}
	APR_RING_FOREACH (p, &s->allowances, tlb_standby_allowance, link) {
		if (!p->delegation.open ||
		    !tlb_shard_set_contains(shards, tlb_shard_for_id(p->account)))
			continue;
		tlb_delegation_freeze(&p->delegation);
		log_allowance(p, "release");
	}
}

void tlb_standby_on_fence(struct tlb_standby *s, const char *vm, uint64_t incarnation)
{
	struct tlb_standby_allowance *p;

	APR_RING_FOREACH (p, &s->allowances, tlb_standby_allowance, link) {
		tlb_ledger_on_fence(&p->delegation.ledger, vm, incarnation, tlb_clock_now());
	}
}
