#include "part.h"

int64_t tlb_part_standby_burst(int64_t burst)
{
	return burst / TLB_PART_DIVISOR;
}

void tlb_part_configure(const struct tlb_part_owner *o, struct tlb_ledger *l, int64_t rate,
			int64_t burst, tlb_time now)
{
	if (o->mode != TLB_PART_WHOLE)
		burst -= tlb_part_standby_burst(burst);
	tlb_ledger_resize(l, rate, burst, now);
}

void tlb_part_note(struct tlb_part_owner *o, int64_t tokens)
{
	if (tokens > o->largest)
		o->largest = tokens;
}

bool tlb_part_can_open(const struct tlb_part_owner *o, struct tlb_ledger *l, tlb_time now)
{
	int64_t allowance = tlb_part_standby_burst(l->bucket.burst);
	int64_t level;

	if (o->mode != TLB_PART_WHOLE || now < o->next)
		return false;
	if (allowance < 1 || o->largest > allowance)
		return false;
	level = tlb_bucket_snapshot(&l->bucket, now).level / TLB_BUCKET_SCALE;
	return level >= l->bucket.burst / 2 && l->bucket.outstanding <= l->bucket.burst - allowance;
}

void tlb_part_open(struct tlb_part_owner *o, struct tlb_ledger *l,
		   const struct tlb_vm_name *standby, uint64_t seq, tlb_time now)
{
	int64_t burst = l->bucket.burst;
	int64_t allowance = tlb_part_standby_burst(burst);

	o->mode = TLB_PART_OPENING;
	o->standby = *standby;
	o->seq = seq;
	o->part_seq = seq;
	o->lent = tlb_ledger_withdraw(l, allowance * TLB_BUCKET_SCALE, now);
	o->next = now + TLB_PART_REFRESH;
	tlb_ledger_resize(l, l->bucket.rate, burst - allowance, now);
}

void tlb_part_recall(struct tlb_part_owner *o, uint64_t seq)
{
	o->mode = TLB_PART_CLOSING;
	o->seq = seq;
}

static void end_delegation(struct tlb_part_owner *o, struct tlb_ledger *l, int64_t rate,
			   int64_t burst, tlb_time now)
{
	o->mode = TLB_PART_WHOLE;
	o->next = now + TLB_PART_REOPEN;
	tlb_part_configure(o, l, rate, burst, now);
}

static void return_allowance(struct tlb_part_owner *o, struct tlb_ledger *l,
			     const struct tlb_part_reply *r, tlb_time now)
{
	size_t i;

	if (r->part_seq != o->part_seq) {
		/* The standby never opened the allowance, and a late opening is refused. */
		tlb_ledger_deposit(l, o->lent, now);
		return;
	}
	for (i = 0; i < r->count; i++)
		tlb_ledger_adopt(l, &r->entries[i], now);
	tlb_ledger_deposit(l, r->level, now);
}

void tlb_part_on_reply(struct tlb_part_owner *o, struct tlb_ledger *l,
		       const struct tlb_part_reply *r, int64_t rate, int64_t burst, tlb_time now)
{
	if (o->mode == TLB_PART_WHOLE || r->seq != o->seq)
		return;
	if (!r->open) {
		end_delegation(o, l, rate, burst, now);
		return_allowance(o, l, r, now);
		return;
	}
	if (o->mode == TLB_PART_OPENING)
		o->mode = TLB_PART_OPEN;
}

void tlb_part_gone(struct tlb_part_owner *o, struct tlb_ledger *l, const struct tlb_vm_name *vm,
		   int64_t rate, int64_t burst, tlb_time now)
{
	if (o->mode != TLB_PART_WHOLE && tlb_vm_name_equal(&o->standby, vm))
		end_delegation(o, l, rate, burst, now);
}

void tlb_part_standby_init(struct tlb_part_standby *s, tlb_time now)
{
	s->seq = 0;
	s->part_seq = 0;
	s->open = false;
	s->recalled = false;
	tlb_ledger_init(&s->ledger, 0, 0, 0, now);
}

void tlb_part_standby_finish(struct tlb_part_standby *s)
{
	tlb_ledger_finish(&s->ledger);
}

void tlb_part_on_open(struct tlb_part_standby *s, uint64_t seq, int64_t level, bool allowed,
		      int64_t burst, tlb_time now)
{
	if (seq <= s->seq)
		return;
	s->seq = seq;
	s->open = false;
	if (!allowed)
		return;
	tlb_ledger_finish(&s->ledger);
	tlb_ledger_init(&s->ledger, 0, tlb_part_standby_burst(burst), 0, now);
	tlb_ledger_deposit(&s->ledger, level, now);
	s->part_seq = seq;
	s->open = true;
	s->recalled = false;
}

bool tlb_part_on_close(struct tlb_part_standby *s, uint64_t seq)
{
	if (seq < s->seq)
		return false;
	s->seq = seq;
	s->open = false;
	s->recalled = true;
	return true;
}

void tlb_part_freeze(struct tlb_part_standby *s)
{
	s->open = false;
}

void tlb_part_standby_configure(struct tlb_part_standby *s, int64_t burst, tlb_time now)
{
	tlb_ledger_resize(&s->ledger, 0, tlb_part_standby_burst(burst), now);
}

bool tlb_part_take(struct tlb_part_standby *s, const struct tlb_ledger_entry *request, tlb_time now)
{
	return s->open && tlb_ledger_take(&s->ledger, request, now);
}

void tlb_part_adopt(struct tlb_part_standby *s, struct tlb_ledger *l, tlb_time now)
{
	if (s->open)
		tlb_ledger_merge(l, &s->ledger, now);
	s->open = false;
	s->recalled = true;
}
