#include "session.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

enum { RECORDS_INITIAL_CAP = 16, RANK_BYTES = 8 };

bool tlb_vm_name_equal(const struct tlb_vm_name *a, const struct tlb_vm_name *b)
{
	return a->incarnation == b->incarnation && strcmp(a->id, b->id) == 0;
}

void tlb_vm_name_set(struct tlb_vm_name *name, const char *id, uint64_t incarnation)
{
	size_t len = strnlen(id, TLB_ID_LEN - 1);

	memset(name, 0, sizeof(*name));
	memcpy(name->id, id, len);
	name->incarnation = incarnation;
}

static int majority(int count)
{
	return count / 2 + 1;
}

/* The time until which a majority of the grants is valid. */
static tlb_time set_valid_until(const struct tlb_witness_set *set)
{
	tlb_time best = 0;
	int i;
	int j;
	int n;

	if (set->count == 0)
		return TLB_NEVER;
	for (i = 0; i < set->count; i++) {
		n = 0;
		for (j = 0; j < set->count; j++)
			n += set->grant[j].valid_until >= set->grant[i].valid_until;
		if (n >= majority(set->count) && set->grant[i].valid_until > best)
			best = set->grant[i].valid_until;
	}
	return best;
}

static void update_valid_until(struct tlb_session *s)
{
	tlb_time until = s->phase == TLB_SESSION_IDLE || s->fenced ? 0 : set_valid_until(s->set);
	tlb_time next;

	if (s->phase == TLB_SESSION_WRITING || s->phase == TLB_SESSION_CONFIRMING) {
		next = set_valid_until(&s->set[1]);
		until = next < until ? next : until;
	}
	s->valid_until = until;
}

static void set_fill(struct tlb_witness_set *set, int64_t row_version,
		     const struct tlb_vm_name *witnesses, int count)
{
	int i;

	memset(set, 0, sizeof(*set));
	set->row_version = row_version;
	set->count = count;
	for (i = 0; i < count; i++)
		set->grant[i].witness = witnesses[i];
}

void tlb_session_begin(struct tlb_session *s, int64_t row_version,
		       const struct tlb_vm_name *witnesses, int count)
{
	memset(s, 0, sizeof(*s));
	s->phase = TLB_SESSION_STEADY;
	set_fill(&s->set[0], row_version, witnesses, count);
	update_valid_until(s);
}

bool tlb_session_valid(const struct tlb_session *s, tlb_time now)
{
	return now < s->valid_until;
}

static struct tlb_lease_grant *find_grant(struct tlb_witness_set *set,
					  const struct tlb_vm_name *witness)
{
	int i;

	for (i = 0; i < set->count; i++)
		if (tlb_vm_name_equal(&set->grant[i].witness, witness))
			return &set->grant[i];
	return NULL;
}

static bool majority_has_row(const struct tlb_witness_set *set, int64_t row_version)
{
	int n = 0;
	int i;

	if (set->count == 0)
		return true;
	for (i = 0; i < set->count; i++)
		n += set->grant[i].row_version >= row_version;
	return n >= majority(set->count);
}

static void finish_replacement(struct tlb_session *s)
{
	if (s->phase != TLB_SESSION_CONFIRMING)
		return;
	if (!majority_has_row(&s->set[0], s->set[1].row_version))
		return;
	s->set[0] = s->set[1];
	s->phase = TLB_SESSION_STEADY;
}

void tlb_session_on_grant(struct tlb_session *s, const struct tlb_vm_name *witness,
			  tlb_time sent_at, int64_t row_version)
{
	struct tlb_lease_grant *g;
	int i;

	for (i = 0; i < 2; i++) {
		if (i == 1 && s->phase < TLB_SESSION_PROPOSED)
			break;
		g = find_grant(&s->set[i], witness);
		if (!g)
			continue;
		if (sent_at + TLB_SESSION_LEASE > g->valid_until)
			g->valid_until = sent_at + TLB_SESSION_LEASE;
		if (row_version > g->row_version)
			g->row_version = row_version;
	}
	finish_replacement(s);
	update_valid_until(s);
}

void tlb_session_on_fence(struct tlb_session *s)
{
	s->fenced = true;
	update_valid_until(s);
}

void tlb_session_propose_witnesses(struct tlb_session *s, const struct tlb_vm_name *witnesses,
				   int count)
{
	struct tlb_lease_grant *g;
	int i;

	set_fill(&s->set[1], 0, witnesses, count);
	for (i = 0; i < count; i++) {
		g = find_grant(&s->set[0], &witnesses[i]);
		if (g)
			s->set[1].grant[i] = *g;
	}
	s->phase = TLB_SESSION_PROPOSED;
}

void tlb_session_withdraw_proposal(struct tlb_session *s)
{
	if (s->phase == TLB_SESSION_PROPOSED)
		s->phase = TLB_SESSION_STEADY;
}

bool tlb_session_proposal_ready(const struct tlb_session *s, tlb_time now)
{
	return s->phase == TLB_SESSION_PROPOSED && now < set_valid_until(&s->set[1]);
}

void tlb_session_write_begun(struct tlb_session *s)
{
	s->phase = TLB_SESSION_WRITING;
	update_valid_until(s);
}

void tlb_session_write_committed(struct tlb_session *s, int64_t row_version)
{
	s->phase = TLB_SESSION_CONFIRMING;
	s->set[1].row_version = row_version;
	finish_replacement(s);
	update_valid_until(s);
}

void tlb_session_write_aborted(struct tlb_session *s)
{
	s->phase = TLB_SESSION_STEADY;
	update_valid_until(s);
}

/* A hash of both ids. VMs prefer different witnesses, which balances the load in a large fleet. */
static uint64_t rank_hash(const char *self, const char *other)
{
	static const unsigned char key[crypto_shorthash_KEYBYTES];
	unsigned char out[crypto_shorthash_BYTES];
	char text[2 * TLB_ID_LEN] = "";
	uint64_t value;

	strncat(text, self, TLB_ID_LEN - 1);
	strncat(text, other, TLB_ID_LEN - 1);
	crypto_shorthash(out, (const unsigned char *)text, strlen(text), key);
	memcpy(&value, out, RANK_BYTES);
	return value;
}

static bool ranks_before(const char *self, const struct tlb_witness_candidate *a,
			 const struct tlb_witness_candidate *b)
{
	if (a->current != b->current)
		return a->current;
	return rank_hash(self, a->name.id) < rank_hash(self, b->name.id);
}

static int zone_count(const struct tlb_witness_candidate *selected, int count, const char *zone)
{
	int n = 0;
	int i;

	for (i = 0; i < count; i++)
		n += strcmp(selected[i].zone, zone) == 0;
	return n;
}

static void swap(struct tlb_witness_candidate *a, struct tlb_witness_candidate *b)
{
	struct tlb_witness_candidate t = *a;

	*a = *b;
	*b = t;
}

/* Moves the best of the candidates from position on to position. The best one is in the zone with
 * the fewest selected candidates; among equals ranks_before() decides. */
static void select_next(const char *self, struct tlb_witness_candidate *c, int count, int position)
{
	int best = position;
	int zone_members;
	int best_zone_members;
	int i;

	for (i = position + 1; i < count; i++) {
		zone_members = zone_count(c, position, c[i].zone);
		best_zone_members = zone_count(c, position, c[best].zone);
		if (zone_members < best_zone_members ||
		    (zone_members == best_zone_members && ranks_before(self, &c[i], &c[best])))
			best = i;
	}
	swap(&c[position], &c[best]);
}

int tlb_session_choose_witnesses(const char *self, struct tlb_witness_candidate *candidates,
				 int count, struct tlb_vm_name *out)
{
	int selected = count < TLB_WITNESS_MAX ? count : TLB_WITNESS_MAX;
	int i;

	if (selected > 0 && selected % 2 == 0)
		selected--;
	for (i = 0; i < selected; i++) {
		select_next(self, candidates, count, i);
		out[i] = candidates[i].name;
	}
	return selected;
}

void tlb_witness_init(struct tlb_witness *w, uint64_t incarnation, tlb_time now)
{
	memset(w, 0, sizeof(*w));
	w->fence_timeout = TLB_SESSION_LEASE + TLB_FENCE_MARGIN;
	tlb_witness_restart(w, incarnation, now);
}

void tlb_witness_finish(struct tlb_witness *w)
{
	free(w->records);
	memset(w, 0, sizeof(*w));
}

void tlb_witness_restart(struct tlb_witness *w, uint64_t incarnation, tlb_time now)
{
	w->incarnation = incarnation;
	w->no_fence_until = now + w->fence_timeout;
	w->rows_read = false;
}

static struct tlb_witness_record *find_record(const struct tlb_witness *w, const char *id)
{
	size_t i;

	for (i = 0; i < w->count; i++)
		if (strcmp(w->records[i].name.id, id) == 0)
			return &w->records[i];
	return NULL;
}

static struct tlb_witness_record *add_record(struct tlb_witness *w, const struct tlb_vm_name *vm)
{
	struct tlb_witness_record *r;

	if (w->count == w->cap) {
		w->cap = w->cap ? 2 * w->cap : RECORDS_INITIAL_CAP;
		w->records = realloc(w->records, w->cap * sizeof(*w->records));
		/* A witness that can't record a promise could grant a lease it agreed to fence. */
		if (!w->records)
			abort();
	}
	r = &w->records[w->count++];
	memset(r, 0, sizeof(*r));
	r->name = *vm;
	return r;
}

/* Updates the record of vm to this row version and returns it, or returns NULL when the record is
 * of another incarnation with a row that is as new or newer. */
static struct tlb_witness_record *update_record(struct tlb_witness *w, const struct tlb_vm_name *vm,
						int64_t row_version)
{
	struct tlb_witness_record *r = find_record(w, vm->id);

	if (!r)
		r = add_record(w, vm);
	if (r->name.incarnation != vm->incarnation) {
		if (row_version <= r->row_version)
			return NULL;
		memset(r, 0, sizeof(*r));
		r->name = *vm;
	}
	if (row_version > r->row_version)
		r->row_version = row_version;
	return r;
}

void tlb_witness_on_row(struct tlb_witness *w, const struct tlb_vm_name *vm, int64_t row_version)
{
	update_record(w, vm, row_version);
}

bool tlb_witness_on_heartbeat(struct tlb_witness *w, const struct tlb_vm_name *vm,
			      uint64_t witness_incarnation, int64_t row_version, tlb_time now,
			      int64_t *known_version)
{
	struct tlb_witness_record *r = update_record(w, vm, row_version);

	*known_version = r ? r->row_version : find_record(w, vm->id)->row_version;
	if (!r || r->promised || witness_incarnation != w->incarnation)
		return false;
	r->granted = true;
	r->last_grant = now;
	return true;
}

bool tlb_witness_promised(const struct tlb_witness *w, const struct tlb_vm_name *vm)
{
	const struct tlb_witness_record *r = find_record(w, vm->id);

	return r && r->name.incarnation == vm->incarnation && r->promised;
}

enum tlb_fence_answer tlb_witness_on_fence_request(struct tlb_witness *w,
						   const struct tlb_vm_name *vm,
						   int64_t row_version, tlb_time now,
						   int64_t *known_version)
{
	struct tlb_witness_record *r = update_record(w, vm, row_version);

	*known_version = r ? r->row_version : find_record(w, vm->id)->row_version;
	if (!r || r->row_version > row_version)
		return TLB_FENCE_SUPERSEDED;
	if (r->promised)
		return TLB_FENCE_AGREED;
	if (!w->rows_read || now < w->no_fence_until)
		return TLB_FENCE_REFUSED;
	if (r->granted && now - r->last_grant <= w->fence_timeout)
		return TLB_FENCE_REFUSED;
	r->promised = true;
	return TLB_FENCE_AGREED;
}

void tlb_fence_init(struct tlb_fence *f, const struct tlb_vm_name *vm, int64_t row_version,
		    const struct tlb_vm_name *witnesses, int count)
{
	int i;

	memset(f, 0, sizeof(*f));
	f->vm = *vm;
	f->row_version = row_version;
	f->count = count;
	for (i = 0; i < count; i++)
		memcpy(f->witness[i], witnesses[i].id, TLB_ID_LEN);
}

void tlb_fence_add_agreement(struct tlb_fence *f, const char *witness)
{
	int i;

	for (i = 0; i < f->count; i++)
		if (strcmp(f->witness[i], witness) == 0)
			f->agreed[i] = true;
}

bool tlb_fence_proven(const struct tlb_fence *f)
{
	int n = 0;
	int i;

	for (i = 0; i < f->count; i++)
		n += f->agreed[i];
	return f->count > 0 && n >= majority(f->count);
}
