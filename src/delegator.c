#include "delegator.h"

#include <stdlib.h>
#include <string.h>

#include "board.h"
#include "log.h"

/* Interval of the check whether a delegation can be opened, or an open one has another standby. */
#define CHECK_INTERVAL (1 * TLB_SECOND)
#define RETRY_DELAY (300 * TLB_MS)
#define CALL_TIMEOUT (1 * TLB_SECOND)

/* Shared by all accounts of this process. A standby compares only numbers of one owner
 * incarnation, so the numbers may start at 0 in each process. */
static uint64_t last_seq;

static const char *const mode_names[] = {
	[TLB_DELEGATION_NONE] = "whole",
	[TLB_DELEGATION_OPENING] = "opening",
	[TLB_DELEGATION_OPEN] = "open",
	[TLB_DELEGATION_CLOSING] = "closing",
};

static void log_mode(const struct tlb_delegator *s, const char *reason)
{
	tlb_log_info("event=part account=%s standby=%s mode=%s reason=%s", s->account,
		     s->delegation.standby.id, mode_names[s->delegation.mode], reason);
}

static const struct tlb_account *account_row(const struct tlb_delegator *s)
{
	return tlb_table_account(s->board->table, s->account);
}

static void on_reply(void *arg, const Toucan__Envelope *reply, const struct tlb_error *err);

static void call_standby(struct tlb_delegator *s, Toucan__Envelope *e)
{
	tlb_cluster_call(s->board->cluster, s->delegation.standby.id, &s->call, e,
			 tlb_clock_now() + CALL_TIMEOUT, on_reply, s);
}

static void send_open(struct tlb_delegator *s)
{
	Toucan__Envelope e = TOUCAN__ENVELOPE__INIT;
	Toucan__OpenPart m = TOUCAN__OPEN_PART__INIT;
	char account[TLB_ID_LEN];

	snprintf(account, sizeof(account), "%s", s->account);
	m.account = account;
	m.seq = s->delegation.seq;
	m.level = s->delegation.delegated;
	m.shards_version = tlb_cluster_map_version(s->board->cluster);
	m.standby_incarnation = s->delegation.standby.incarnation;
	e.body_case = TOUCAN__ENVELOPE__BODY_OPEN_PART;
	e.open_part = &m;
	call_standby(s, &e);
}

static void send_close(struct tlb_delegator *s)
{
	Toucan__Envelope e = TOUCAN__ENVELOPE__INIT;
	Toucan__ClosePart m = TOUCAN__CLOSE_PART__INIT;
	char account[TLB_ID_LEN];

	snprintf(account, sizeof(account), "%s", s->account);
	m.account = account;
	m.seq = s->delegation.seq;
	m.standby_incarnation = s->delegation.standby.incarnation;
	e.body_case = TOUCAN__ENVELOPE__BODY_CLOSE_PART;
	e.close_part = &m;
	call_standby(s, &e);
}

static struct tlb_ledger_entry *entries_from_reply(const Toucan__PartReply *m)
{
	struct tlb_ledger_entry *list = calloc(m->n_grants + 1, sizeof(*list));
	size_t i;

	for (i = 0; list && i < m->n_grants; i++) {
		snprintf(list[i].id, sizeof(list[i].id), "%s", m->grants[i]->reservation_id);
		snprintf(list[i].vm, sizeof(list[i].vm), "%s", m->grants[i]->vm);
		list[i].incarnation = m->grants[i]->incarnation;
		list[i].tokens = m->grants[i]->tokens;
	}
	return list;
}

/* The standby has used more than half of its allowance: it is recalled, and later opened again at
 * its full size. */
static bool below_half(const struct tlb_delegator *s, const Toucan__PartReply *m, int64_t burst)
{
	return s->delegation.mode == TLB_DELEGATION_OPEN &&
	       m->level < tlb_delegation_burst(burst) * TLB_BUCKET_SCALE / 2;
}

static void apply_reply(struct tlb_delegator *s, const Toucan__PartReply *m)
{
	const struct tlb_account *row = account_row(s);
	enum tlb_delegation_mode before = s->delegation.mode;
	struct tlb_ledger_entry *list = entries_from_reply(m);
	struct tlb_delegation_reply r = {
		.seq = m->seq,
		.open_seq = m->part_seq,
		.open = m->open,
		.level = m->level,
		.entries = list,
		.count = list ? m->n_grants : 0,
	};

	tlb_delegation_on_reply(&s->delegation, s->ledger, &r, row ? row->rate : 0,
				row ? row->burst : 0, tlb_clock_now());
	free(list);
	if (s->delegation.mode != before)
		log_mode(s, "reply");
	if (before == TLB_DELEGATION_OPEN && below_half(s, m, row ? row->burst : 0))
		tlb_delegator_recall(s);
}

static void on_reply(void *arg, const Toucan__Envelope *reply, const struct tlb_error *err)
{
	struct tlb_delegator *s = arg;

	tlb_timer_set(s->board->loop, &s->timer, tlb_clock_now() + RETRY_DELAY);
	/* A later incarnation of the standby has no record of the delegation. */
	if (!reply || reply->body_case != TOUCAN__ENVELOPE__BODY_PART_REPLY ||
	    reply->incarnation != s->delegation.standby.incarnation)
		return;
	apply_reply(s, reply->part_reply);
	s->on_change(s->arg);
}

static bool current_standby(const struct tlb_delegator *s, struct tlb_vm_name *out)
{
	char vm[TLB_ID_LEN];

	if (!s->board->cluster || !tlb_board_valid(s->board) ||
	    tlb_board_owner(s->board, s->account, vm) != TLB_OWNER_SELF)
		return false;
	return tlb_cluster_standby(s->board->cluster, s->account, out);
}

static void open_if_possible(struct tlb_delegator *s, tlb_time now)
{
	struct tlb_vm_name standby;

	if (!tlb_delegation_can_open(&s->delegation, s->ledger, now) ||
	    !current_standby(s, &standby) || !account_row(s))
		return;
	tlb_delegation_open(&s->delegation, s->ledger, &standby, ++last_seq, now);
	log_mode(s, "level");
	send_open(s);
}

static void check_delegation(struct tlb_delegator *s, tlb_time now)
{
	struct tlb_vm_name standby;

	if (current_standby(s, &standby) && !tlb_vm_name_equal(&standby, &s->delegation.standby)) {
		tlb_delegator_recall(s);
		return;
	}
	if (now < s->delegation.next_at)
		return;
	s->delegation.next_at = now + TLB_DELEGATION_REFRESH_INTERVAL;
	send_open(s);
}

static void on_timer(void *arg)
{
	struct tlb_delegator *s = arg;
	tlb_time now = tlb_clock_now();

	tlb_timer_set(s->board->loop, &s->timer, now + CHECK_INTERVAL);
	if (tlb_peer_call_active(&s->call))
		return;
	switch (s->delegation.mode) {
	case TLB_DELEGATION_NONE:
		open_if_possible(s, now);
		break;
	case TLB_DELEGATION_OPENING:
		send_open(s);
		break;
	case TLB_DELEGATION_OPEN:
		check_delegation(s, now);
		break;
	case TLB_DELEGATION_CLOSING:
		send_close(s);
		break;
	}
}

void tlb_delegator_init(struct tlb_delegator *s, struct tlb_board *b, const char *account,
			struct tlb_ledger *ledger, tlb_delegator_change_fn *on_change, void *arg)
{
	memset(s, 0, sizeof(*s));
	s->board = b;
	s->account = account;
	s->ledger = ledger;
	s->on_change = on_change;
	s->arg = arg;
	tlb_timer_init(&s->timer, on_timer, s);
	if (b->cluster)
		tlb_timer_set(b->loop, &s->timer, tlb_clock_now() + CHECK_INTERVAL);
}

void tlb_delegator_finish(struct tlb_delegator *s)
{
	tlb_peer_cancel(&s->call);
	tlb_timer_clear(s->board->loop, &s->timer);
}

void tlb_delegator_configure(struct tlb_delegator *s, tlb_time now)
{
	const struct tlb_account *row = account_row(s);

	tlb_delegation_configure(&s->delegation, s->ledger, row ? row->rate : 0,
				 row ? row->burst : 0, now);
}

void tlb_delegator_recall(struct tlb_delegator *s)
{
	if (s->delegation.mode != TLB_DELEGATION_OPEN &&
	    s->delegation.mode != TLB_DELEGATION_OPENING)
		return;
	tlb_delegation_recall(&s->delegation, ++last_seq);
	log_mode(s, "recall");
	tlb_peer_cancel(&s->call);
	send_close(s);
}

void tlb_delegator_on_fence(struct tlb_delegator *s, const char *vm, uint64_t incarnation)
{
	const struct tlb_account *row = account_row(s);
	struct tlb_vm_name name;

	if (tlb_delegator_undivided(s))
		return;
	tlb_vm_name_set(&name, vm, incarnation);
	tlb_delegation_on_fence(&s->delegation, s->ledger, &name, row ? row->rate : 0,
				row ? row->burst : 0, tlb_clock_now());
	if (!tlb_delegator_undivided(s))
		return;
	log_mode(s, "fence");
	tlb_peer_cancel(&s->call);
}
