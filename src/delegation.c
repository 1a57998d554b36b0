#include "delegation.h"

int64_t tlb_delegation_burst(int64_t burst)
{
	return burst / TLB_DELEGATION_DIVISOR;
}

void tlb_delegation_configure(const struct tlb_delegation_owner *o, struct tlb_ledger *l,
			      int64_t rate, int64_t burst, tlb_time now)
{
	if (o->mode != TLB_DELEGATION_NONE)
		burst -= tlb_delegation_burst(burst);
	tlb_ledger_reconfigure(l, rate, burst, now);
}

void tlb_delegation_record_request(struct tlb_delegation_owner *o, int64_t tokens)
{
	if (tokens > o->largest_request)
		o->largest_request = tokens;
}

bool tlb_delegation_can_open(const struct tlb_delegation_owner *o, struct tlb_ledger *l,
			     tlb_time now)
{
	int64_t allowance = tlb_delegation_burst(l->bucket.burst);
	int64_t level;

	if (o->mode != TLB_DELEGATION_NONE || now < o->next_at)
		return false;
	if (allowance < 1 || o->largest_request > allowance)
		return false;
	level = tlb_bucket_snapshot(&l->bucket, now).level / TLB_BUCKET_SCALE;
	return level >= l->bucket.burst / 2 && l->bucket.outstanding <= l->bucket.burst - allowance;
}

void tlb_delegation_open(struct tlb_delegation_owner *o, struct tlb_ledger *l,
			 const struct tlb_vm_name *standby, uint64_t seq, tlb_time now)
{
	int64_t burst = l->bucket.burst;
	int64_t allowance = tlb_delegation_burst(burst);

	o->mode = TLB_DELEGATION_OPENING;
	o->standby = *standby;
	o->seq = seq;
	o->open_seq = seq;
	o->delegated = tlb_ledger_withdraw(l, allowance * TLB_BUCKET_SCALE, now);
	o->next_at = now + TLB_DELEGATION_REFRESH_INTERVAL;
	tlb_ledger_reconfigure(l, l->bucket.rate, burst - allowance, now);
}

void tlb_delegation_recall(struct tlb_delegation_owner *o, uint64_t seq)
{
	o->mode = TLB_DELEGATION_CLOSING;
	o->seq = seq;
}

static void end_delegation(struct tlb_delegation_owner *o, struct tlb_ledger *l, int64_t rate,
			   int64_t burst, tlb_time now)
{
	o->mode = TLB_DELEGATION_NONE;
	o->next_at = now + TLB_DELEGATION_REOPEN_DELAY;
	tlb_delegation_configure(o, l, rate, burst, now);
}

static void return_allowance(struct tlb_delegation_owner *o, struct tlb_ledger *l,
			     const struct tlb_delegation_reply *r, tlb_time now)
{
	size_t i;

	if (r->open_seq != o->open_seq) {
		/* The standby never opened the allowance, and a late opening is refused. */
		tlb_ledger_deposit(l, o->delegated, now);
		return;
	}
	for (i = 0; i < r->count; i++)
		tlb_ledger_import_grant(l, &r->entries[i], now);
	tlb_ledger_deposit(l, r->level, now);
}

void tlb_delegation_on_reply(struct tlb_delegation_owner *o, struct tlb_ledger *l,
			     const struct tlb_delegation_reply *r, int64_t rate, int64_t burst,
			     tlb_time now)
{
	if (o->mode == TLB_DELEGATION_NONE || r->seq != o->seq)
		return;
	if (!r->open) {
		end_delegation(o, l, rate, burst, now);
		return_allowance(o, l, r, now);
		return;
	}
	if (o->mode == TLB_DELEGATION_OPENING)
		o->mode = TLB_DELEGATION_OPEN;
}

void tlb_delegation_on_fence(struct tlb_delegation_owner *o, struct tlb_ledger *l,
			     const struct tlb_vm_name *vm, int64_t rate, int64_t burst,
			     tlb_time now)
{
	if (o->mode != TLB_DELEGATION_NONE && tlb_vm_name_equal(&o->standby, vm))
		end_delegation(o, l, rate, burst, now);
}

void tlb_delegation_standby_init(struct tlb_delegation_standby *s, tlb_time now)
{
	s->seq = 0;
	s->open_seq = 0;
	s->open = false;
	s->recalled = false;
	tlb_ledger_init(&s->ledger, 0, 0, 0, now);
}

void tlb_delegation_standby_finish(struct tlb_delegation_standby *s)
{
	tlb_ledger_finish(&s->ledger);
}

void tlb_delegation_on_open(struct tlb_delegation_standby *s, uint64_t seq, int64_t level,
			    bool allowed, int64_t burst, tlb_time now)
{
	if (seq <= s->seq)
		return;
	s->seq = seq;
	s->open = false;
	if (!allowed)
		return;
	tlb_ledger_finish(&s->ledger);
	tlb_ledger_init(&s->ledger, 0, tlb_delegation_burst(burst), 0, now);
	tlb_ledger_deposit(&s->ledger, level, now);
	s->open_seq = seq;
	s->open = true;
	s->recalled = false;
}

bool tlb_delegation_on_close(struct tlb_delegation_standby *s, uint64_t seq)
{
	if (seq < s->seq)
		return false;
	s->seq = seq;
	s->open = false;
	s->recalled = true;
	return true;
}

void tlb_delegation_freeze(struct tlb_delegation_standby *s)
{
	s->open = false;
}

void tlb_delegation_standby_configure(struct tlb_delegation_standby *s, int64_t burst, tlb_time now)
{
	tlb_ledger_reconfigure(&s->ledger, 0, tlb_delegation_burst(burst), now);
}

bool tlb_delegation_reserve(struct tlb_delegation_standby *s,
			    const struct tlb_ledger_entry *request, tlb_time now)
{
	return s->open && tlb_ledger_reserve(&s->ledger, request, now);
}

void tlb_delegation_merge(struct tlb_delegation_standby *s, struct tlb_ledger *l, tlb_time now)
{
	if (s->open)
		tlb_ledger_merge(l, &s->ledger, now);
	s->open = false;
	s->recalled = true;
}
