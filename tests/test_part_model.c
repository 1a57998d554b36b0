/*
 * Random simulation of split account buckets: four VMs, one account whose shard moves, is taken
 * over and gets other standbys, while VMs freeze, die and come back, messages are lost, late or
 * doubled, map writes fail and rate and burst change. Guards against tokens beyond burst + rate *
 * window over the whole fleet, in any window. Run with a seed as the argument to replay one run.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "part.h"
#include "random.h"

enum { VMS = 4, MESSAGES = 256, GRANTS = 8192, INCS = 256, RECORDS = 32, ENTRIES = 64 };
enum { SEEDS = 200, CONFIGS = 8 };

#define STEP (10 * TLB_MS)
#define RUN_TIME (120 * TLB_SECOND)
#define SILENCE_MAX (20 * TLB_SECOND)
#define SPREAD_MAX (7 * TLB_SECOND)

enum kind { RESERVE, RESERVE_PART, RETURN, OPEN, CLOSE, REPLY, RELEASE, RELEASED, HAND_OVER };

struct map {
	int64_t version;
	int64_t ticket;
	struct tlb_vm_name owner, standby;
};

struct message {
	enum kind kind;
	int to;
	struct tlb_vm_name from, meant;
	struct tlb_ledger_entry entry;
	int64_t booked, used, level, version, ticket;
	bool forwarded, open;
	uint64_t seq, part_seq;
	struct tlb_ledger_entry list[ENTRIES];
	size_t count;
};

struct record {
	bool used;
	struct tlb_vm_name owner;
	struct tlb_part_standby part;
};

enum move { STILL, RELEASING, WRITING };

struct vm {
	struct tlb_vm_name self;
	tlb_time offset;
	tlb_time silent_since, silent_until; /* true time; 0: not silent */
	bool frozen, dead, refreshed;
	bool gone[INCS];
	struct map map;
	int64_t released, floor;
	bool acting, yielding;
	struct tlb_ledger ledger;
	struct tlb_part_owner part;
	tlb_time send_at;
	struct record record[RECORDS];
	enum move move;
	struct map next;
	tlb_time move_until;
	struct message handed;
	int config;
	tlb_time config_at;
	int64_t map_seen;
	tlb_time map_at; /* when it takes the newest map */
};

/* What is left out of the rules, to show that the model would notice. */
enum weakness {
	NOTHING,
	NO_WITHDRAWAL,	/* the reserve is added to the owner's level instead of taken from it */
	NO_SHRINKING,	/* the owner's burst stays whole while the part is open */
	NO_SEQ,		/* late and doubled openings open again */
	NO_RELEASE,	/* a standby that released its right still grants */
	NO_WAIT,	/* the owner takes the lent level back without the standby's reply */
	ADOPT_RECALLED, /* a takeover counts a recalled part */
	NO_SESSION,	/* a standby whose session ran out still grants */
	ANY_SETTLEMENT, /* a settlement of an unknown grant gives back */
	NO_YIELD,	/* an owner grants after it has handed over */
	WEAKNESS_COUNT
};

static const char *const weakness_names[] = {"nothing",		"withdrawal",
					     "shrinking",	"sequence numbers",
					     "release",		"wait",
					     "recalled marker", "session check",
					     "grant names",	"end of acting at a hand-over"};

struct grant {
	tlb_time at;
	int64_t counted;
	tlb_time ends;
	int64_t booked, used;
	int granter, requester;
	struct tlb_ledger_entry entry;
	bool open;
};

struct world {
	struct tlb_random random;
	enum weakness weakness;
	tlb_time now;
	struct vm vm[VMS];
	tlb_time due[MESSAGES]; /* 0: the slot is free */
	struct message message[MESSAGES];
	struct map map;
	tlb_time write_at;
	struct grant grant[GRANTS];
	int grant_count, first_open;
	uint64_t last_inc, last_seq;
	int last_id;
	double loss;
	bool busy;
	int64_t rate[CONFIGS], burst[CONFIGS];
	tlb_time since[CONFIGS];
	int configs;
	bool fixed; /* one configuration, so that the bound is tight */
	int opened, part_grants, takeovers, moves, recalls, recall_merges;
};

static bool chance(struct world *w, double p)
{
	return tlb_random_unit(&w->random) < p;
}

static tlb_time within(struct world *w, tlb_time max)
{
	return (tlb_time)(tlb_random_unit(&w->random) * (double)max);
}

static bool same(const struct tlb_vm_name *a, const struct tlb_vm_name *b)
{
	return tlb_vm_name_equal(a, b);
}

static int index_of(const struct tlb_vm_name *name)
{
	return name->id[0] - 'a';
}

static tlb_time local(const struct world *w, const struct vm *v)
{
	return w->now + v->offset;
}

static bool running(const struct world *w, const struct vm *v)
{
	return !v->dead && !(v->frozen && w->now < v->silent_until);
}

/* Whether its session lets it act. A VM that was silent beyond the lease needs new grants first. */
static bool valid(const struct world *w, const struct vm *v)
{
	if (v->dead)
		return false;
	return !v->silent_since || w->now - v->silent_since < TLB_SESSION_LEASE;
}

static void post(struct world *w, const struct vm *v, int to, struct message m)
{
	int copies = chance(w, 0.05) ? 2 : 1;
	int i;

	m.from = v->self;
	m.to = to;
	for (i = 0; i < MESSAGES && copies; i++) {
		if (w->due[i])
			continue;
		copies--;
		if (chance(w, w->loss) || (v->silent_since && !v->frozen))
			continue;
		w->message[i] = m;
		w->due[i] = w->now + 1 + within(w, chance(w, 0.05) ? 8 * TLB_SECOND : 50 * TLB_MS);
	}
}

static int64_t rate_of(const struct world *w, const struct vm *v)
{
	return w->rate[v->config];
}

static int64_t burst_of(const struct world *w, const struct vm *v)
{
	return w->burst[v->config];
}

static const struct tlb_vm_name *owner_of(const struct vm *v)
{
	if (v->map.owner.id[0] && !v->gone[v->map.owner.incarnation])
		return &v->map.owner;
	if (v->map.standby.id[0] && !v->gone[v->map.standby.incarnation])
		return &v->map.standby;
	return NULL;
}

static struct record *record_of(const struct world *w, struct vm *v,
				const struct tlb_vm_name *owner)
{
	struct record *free_one = NULL;
	int i;

	for (i = 0; i < RECORDS; i++) {
		if (v->record[i].used && same(&v->record[i].owner, owner))
			return &v->record[i];
		if (!v->record[i].used)
			free_one = &v->record[i];
	}
	if (!free_one)
		abort();
	free_one->used = true;
	free_one->owner = *owner;
	tlb_part_standby_init(&free_one->part, local(w, v));
	return free_one;
}

static void free_record(struct record *r)
{
	if (r->used)
		tlb_part_standby_finish(&r->part);
	r->used = false;
}

static void drop_state(struct vm *v)
{
	int i;

	if (v->acting)
		tlb_ledger_finish(&v->ledger);
	v->acting = v->yielding = false;
	v->move = STILL;
	for (i = 0; i < RECORDS; i++)
		free_record(&v->record[i]);
}

/* Recomputes whether the VM acts for the shard. */
static void update(struct world *w, struct vm *v)
{
	const struct tlb_vm_name *owner = owner_of(v);
	bool act = owner && same(owner, &v->self);
	int i;

	if (act && !same(&v->map.owner, &v->self) && v->map.version <= v->released)
		act = false;
	if (act == v->acting)
		return;
	v->acting = act;
	v->yielding = false;
	v->move = STILL;
	if (!act) {
		tlb_ledger_finish(&v->ledger);
		return;
	}
	w->takeovers++;
	memset(&v->part, 0, sizeof(v->part));
	tlb_ledger_init(&v->ledger, rate_of(w, v), burst_of(w, v),
			w->takeovers == 1 ? burst_of(w, v) : 0, local(w, v));
	for (i = 0; i < RECORDS; i++) {
		if (!v->record[i].used)
			continue;
		if (w->weakness == ADOPT_RECALLED && v->record[i].part.recalled)
			v->record[i].part.open = true;
		tlb_part_adopt(&v->record[i].part, &v->ledger, local(w, v));
	}
}

static void learn_gone(struct world *w, struct vm *v, uint64_t inc)
{
	int i;

	if (v->gone[inc])
		return;
	v->gone[inc] = true;
	for (i = 0; i < VMS; i++) {
		struct tlb_vm_name name = w->vm[i].self;

		name.incarnation = inc;
		if (v->acting)
			tlb_part_gone(&v->part, &v->ledger, &name, rate_of(w, v), burst_of(w, v),
				      local(w, v));
	}
	update(w, v);
}

static void take_map(struct world *w, struct vm *v)
{
	struct map before = v->map;
	struct record *r;
	int i;

	if (w->map.version <= v->map.version)
		return;
	v->map = w->map;
	v->yielding = false;
	v->move = STILL;
	update(w, v);
	if (v->acting && v->handed.kind == HAND_OVER && v->handed.ticket == v->map.ticket &&
	    same(&v->handed.from, &before.owner) && !same(&before.owner, &v->self)) {
		for (i = 0; i < (int)v->handed.count; i++)
			tlb_ledger_adopt(&v->ledger, &v->handed.list[i], local(w, v));
		tlb_ledger_deposit(&v->ledger, v->handed.level, local(w, v));
		v->handed.kind = RESERVE;
	}
	if (!same(&before.owner, &v->map.owner) || !same(&before.standby, &v->map.standby))
		v->floor = v->map.version > v->floor ? v->map.version : v->floor;
	for (i = 0; i < RECORDS; i++) {
		r = &v->record[i];
		if (r->used && v->gone[r->owner.incarnation])
			free_record(r);
		else if (r->used &&
			 (!same(&r->owner, &v->map.owner) || !same(&v->self, &v->map.standby)))
			tlb_part_freeze(&r->part);
	}
}

/* Grants. */

static void record_grant(struct world *w, const struct vm *v, const struct tlb_ledger_entry *e)
{
	struct grant *g = &w->grant[w->grant_count];

	if (w->grant_count == GRANTS)
		abort();
	w->grant_count++;
	g->at = w->now;
	g->entry = *e;
	g->counted = e->tokens;
	g->booked = e->tokens;
	g->used = chance(w, 0.2) ? tlb_random_below(&w->random, (int)e->tokens + 1) : e->tokens;
	g->ends = w->now + within(w, chance(w, 0.2) ? 20 * TLB_SECOND : 2 * TLB_SECOND);
	g->granter = (int)(v - w->vm);
	g->requester = e->vm[0] - 'a';
	g->open = true;
}

static void take(struct world *w, struct vm *v, struct tlb_ledger *l,
		 const struct tlb_ledger_entry *e)
{
	size_t before = l->count;

	if (tlb_ledger_take(l, e, local(w, v)) && l->count > before)
		record_grant(w, v, e);
}

static void recall(struct world *w, struct vm *v)
{
	struct tlb_part_reply early;

	if (v->part.mode != TLB_PART_OPEN && v->part.mode != TLB_PART_OPENING)
		return;
	w->recalls++;
	tlb_part_recall(&v->part, ++w->last_seq);
	v->send_at = w->now;
	early = (struct tlb_part_reply){.seq = v->part.seq, .part_seq = 0};
	if (w->weakness == NO_WAIT)
		tlb_part_on_reply(&v->part, &v->ledger, &early, rate_of(w, v), burst_of(w, v),
				  local(w, v));
}

static void on_reserve(struct world *w, struct vm *v, const struct message *m)
{
	size_t before;

	if (!valid(w, v) || !v->acting || (v->yielding && w->weakness != NO_YIELD))
		return;
	if (m->entry.tokens <= burst_of(w, v))
		tlb_part_note(&v->part, m->entry.tokens);
	before = v->ledger.count;
	take(w, v, &v->ledger, &m->entry);
	if (v->ledger.count == before)
		recall(w, v);
}

static void on_reserve_part(struct world *w, struct vm *v, const struct message *m)
{
	struct record *r = record_of(w, v, &v->map.owner);
	bool right = same(&v->map.standby, &v->self) && !v->gone[v->map.owner.incarnation];
	int before = w->grant_count;

	if (!valid(w, v) && w->weakness != NO_SESSION)
		return;
	if (w->weakness == NO_SESSION)
		right = true;
	if (!right || !r->part.open)
		return;
	take(w, v, &r->part.ledger, &m->entry);
	w->part_grants += w->grant_count - before;
}

static bool settle_here(struct world *w, struct vm *v, const struct message *m)
{
	int i;

	if (v->acting &&
	    tlb_ledger_settle(&v->ledger, m->entry.id, m->booked, m->used, local(w, v)))
		return true;
	for (i = 0; i < RECORDS; i++)
		if (v->record[i].used && tlb_ledger_settle(&v->record[i].part.ledger, m->entry.id,
							   m->booked, m->used, local(w, v)))
			return v->record[i].part.open;
	return false;
}

static void on_return(struct world *w, struct vm *v, const struct message *m)
{
	const struct tlb_vm_name *owner = owner_of(v);
	struct message next = *m;

	if (settle_here(w, v, m))
		return;
	if (w->weakness == ANY_SETTLEMENT && v->acting) {
		tlb_bucket_settle(&v->ledger.bucket, m->booked, m->used, local(w, v));
		return;
	}
	if (m->forwarded || !owner || same(owner, &v->self))
		return;
	next.forwarded = true;
	post(w, v, index_of(owner), next);
}

/* Parts. */

static void reply(struct world *w, struct vm *v, const struct message *to, struct record *r)
{
	struct message m = {.kind = REPLY, .meant = to->from, .seq = to->seq};
	struct tlb_ledger_grant *g;

	m.part_seq = r->part.part_seq;
	m.open = r->part.open;
	m.level = r->part.ledger.bucket.level;
	APR_RING_FOREACH (g, &r->part.ledger.grants, tlb_ledger_grant, link) {
		if (m.count < ENTRIES)
			m.list[m.count++] = g->entry;
	}
	post(w, v, index_of(&to->from), m);
}

static void on_open(struct world *w, struct vm *v, const struct message *m)
{
	struct record *r;
	bool allowed = valid(w, v) && same(&v->map.owner, &m->from) &&
		       same(&v->map.standby, &v->self) && m->version >= v->floor;

	if (!same(&m->meant, &v->self))
		return;
	r = record_of(w, v, &m->from);
	if (w->weakness == NO_SEQ && !r->part.open)
		r->part.seq = 0;
	if (m->seq > r->part.seq)
		tlb_part_on_open(&r->part, m->seq, m->level, allowed, burst_of(w, v), local(w, v));
	if (m->seq == r->part.seq)
		reply(w, v, m, r);
}

static void on_close(struct world *w, struct vm *v, const struct message *m)
{
	struct record *r;

	if (!same(&m->meant, &v->self))
		return;
	r = record_of(w, v, &m->from);
	if (tlb_part_on_close(&r->part, m->seq))
		reply(w, v, m, r);
}

static void on_part_reply(struct world *w, struct vm *v, const struct message *m)
{
	struct tlb_part_reply r = {m->seq, m->part_seq, m->open, m->level, m->list, m->count};
	enum tlb_part_mode before = v->part.mode;

	if (!v->acting || !same(&m->meant, &v->self) || !same(&m->from, &v->part.standby))
		return;
	tlb_part_on_reply(&v->part, &v->ledger, &r, rate_of(w, v), burst_of(w, v), local(w, v));
	w->opened += before == TLB_PART_OPENING && v->part.mode == TLB_PART_OPEN;
	w->recall_merges += before == TLB_PART_CLOSING && v->part.mode == TLB_PART_WHOLE;
}

static void send_part(struct world *w, struct vm *v)
{
	struct message m = {.meant = v->part.standby, .seq = v->part.seq, .level = v->part.lent};

	m.kind = v->part.mode == TLB_PART_CLOSING ? CLOSE : OPEN;
	m.version = v->map.version;
	v->send_at = w->now + (v->part.mode == TLB_PART_OPEN ? 3 : 1) * 300 * TLB_MS;
	post(w, v, index_of(&v->part.standby), m);
}

static void step_part(struct world *w, struct vm *v)
{
	if (!v->acting || v->yielding || !valid(w, v))
		return;
	if (v->part.mode == TLB_PART_WHOLE) {
		if (!same(&v->map.owner, &v->self) || !v->map.standby.id[0] ||
		    v->gone[v->map.standby.incarnation] ||
		    !tlb_part_can_open(&v->part, &v->ledger, local(w, v)))
			return;
		tlb_part_open(&v->part, &v->ledger, &v->map.standby, ++w->last_seq, local(w, v));
		if (w->weakness == NO_WITHDRAWAL)
			tlb_ledger_deposit(&v->ledger, v->part.lent, local(w, v));
		if (w->weakness == NO_SHRINKING)
			tlb_ledger_resize(&v->ledger, rate_of(w, v), burst_of(w, v), local(w, v));
		v->send_at = w->now;
	}
	if (v->part.mode == TLB_PART_OPEN &&
	    (!same(&v->part.standby, &v->map.standby) || chance(w, 0.001)))
		recall(w, v);
	if (v->part.mode != TLB_PART_WHOLE && w->now >= v->send_at)
		send_part(w, v);
}

/* Moves of the shard. */

static void pick_others(struct world *w, const struct vm *v, struct map *m)
{
	int a = tlb_random_below(&w->random, VMS);
	int b = (a + 1 + tlb_random_below(&w->random, VMS - 1)) % VMS;

	if (chance(w, 0.5))
		a = (int)(v - w->vm);
	if (a == b)
		b = (a + 1) % VMS;
	m->owner = w->vm[a].self;
	m->standby = w->vm[b].self;
}

static void hand_over(struct world *w, struct vm *v)
{
	struct message m = {.kind = HAND_OVER, .ticket = v->next.ticket};
	struct tlb_ledger_grant *g;

	v->move = WRITING;
	v->move_until = w->now + within(w, 500 * TLB_MS);
	if (same(&v->next.owner, &v->self))
		return;
	v->yielding = true;
	m.level = tlb_bucket_snapshot(&v->ledger.bucket, local(w, v)).level;
	APR_RING_FOREACH (g, &v->ledger.grants, tlb_ledger_grant, link) {
		if (m.count < ENTRIES)
			m.list[m.count++] = g->entry;
	}
	post(w, v, index_of(&v->next.owner), m);
}

static void begin_move(struct world *w, struct vm *v)
{
	struct message m = {.kind = RELEASE, .version = v->map.version};

	v->next = v->map;
	pick_others(w, v, &v->next);
	if (v->gone[v->next.owner.incarnation] || v->gone[v->next.standby.incarnation] ||
	    w->vm[index_of(&v->next.owner)].dead || w->vm[index_of(&v->next.standby)].dead ||
	    (same(&v->next.owner, &v->map.owner) && same(&v->next.standby, &v->map.standby)))
		return;
	v->next.ticket = (int64_t)++w->last_seq;
	if (!v->map.standby.id[0] || same(&v->next.owner, &v->map.standby) ||
	    v->gone[v->map.standby.incarnation]) {
		hand_over(w, v);
		return;
	}
	v->move = RELEASING;
	v->move_until = w->now + 2 * TLB_SECOND;
	post(w, v, index_of(&v->map.standby), m);
}

static void on_release(struct world *w, struct vm *v, const struct message *m)
{
	struct message out = {.kind = RELEASED, .version = m->version};
	int i;

	if (v->gone[m->from.incarnation])
		return;
	if (m->version > v->released)
		v->released = m->version;
	if (w->weakness != NO_RELEASE) {
		if (v->floor <= m->version)
			v->floor = m->version + 1;
		for (i = 0; i < RECORDS; i++)
			if (v->record[i].used)
				tlb_part_freeze(&v->record[i].part);
	}
	update(w, v);
	post(w, v, index_of(&m->from), out);
}

static void step_move(struct world *w, struct vm *v)
{
	if (!v->acting || !same(&v->map.owner, &v->self) || !valid(w, v))
		return;
	if (v->move == STILL) {
		if (chance(w, 0.001) && v->map.version == w->map.version)
			begin_move(w, v);
		return;
	}
	if (w->now < v->move_until)
		return;
	if (v->move == WRITING && w->map.version == v->map.version && chance(w, 0.7)) {
		w->map = v->next;
		w->map.version = v->map.version + 1;
		w->moves++;
		take_map(w, v);
		return;
	}
	v->move = STILL;
	v->yielding = false;
}

/* Whoever has fenced a VM replaces it in the map. */
static void step_writes(struct world *w)
{
	struct map next = w->map;
	bool owner_gone, standby_gone;
	int a = tlb_random_below(&w->random, VMS);
	int b = (a + 1 + tlb_random_below(&w->random, VMS - 1)) % VMS;

	if (!chance(w, 0.02) || w->now < w->write_at)
		return;
	owner_gone = w->vm[a].gone[next.owner.incarnation];
	standby_gone = next.standby.id[0] && w->vm[a].gone[next.standby.incarnation];
	if (!(owner_gone || standby_gone) || !running(w, &w->vm[a]) ||
	    w->vm[a].map.version != w->map.version || w->vm[b].dead)
		return;
	if (owner_gone)
		next.owner = standby_gone || !next.standby.id[0] ? w->vm[a].self : next.standby;
	next.standby = w->vm[same(&w->vm[b].self, &next.owner) ? a : b].self;
	if (same(&next.owner, &next.standby) || w->vm[a].gone[next.standby.incarnation])
		return;
	next.ticket = (int64_t)++w->last_seq;
	next.version++;
	w->map = next;
	w->write_at = w->now + (chance(w, 0.2) ? within(w, 10 * TLB_SECOND) : 0);
}

/* VMs. */

static void restart(struct world *w, struct vm *v)
{
	bool gone[INCS];

	drop_state(v);
	memcpy(gone, v->gone, sizeof(gone));
	gone[v->self.incarnation] = true;
	if (++w->last_inc == INCS)
		abort();
	v->self.incarnation = w->last_inc;
	memcpy(v->gone, gone, sizeof(gone));
	v->silent_since = 0;
	v->dead = v->frozen = false;
	v->released = 0;
	v->floor = v->map.version;
	v->handed.kind = RESERVE;
	update(w, v);
}

static void silence(struct world *w, struct vm *v)
{
	v->silent_since = w->now;
	v->silent_until = w->now + within(w, SILENCE_MAX);
	v->frozen = chance(w, 0.6);
	v->refreshed = false;
	v->dead = chance(w, 0.3);
	if (v->dead)
		v->silent_until = w->now + 4 * TLB_SECOND + within(w, 5 * TLB_SECOND);
}

static bool fenced(const struct world *w, const struct vm *v)
{
	int i;

	for (i = 0; i < VMS; i++)
		if (w->vm[i].gone[v->self.incarnation])
			return true;
	return false;
}

static void step_silence(struct world *w, struct vm *v)
{
	int i;

	if (!v->silent_since) {
		if (chance(w, w->busy ? 0.001 : 0.0002))
			silence(w, v);
		return;
	}
	if (w->now - v->silent_since > TLB_SESSION_LEASE + TLB_FENCE_MARGIN)
		for (i = 0; i < VMS; i++)
			if (&w->vm[i] != v && running(w, &w->vm[i]) && !w->vm[i].silent_since &&
			    chance(w, 0.02))
				learn_gone(w, &w->vm[i], v->self.incarnation);
	if (w->now < v->silent_until)
		return;
	/* For a moment it runs without knowing what has happened. */
	if (w->now < v->silent_until + TLB_SECOND && !v->dead)
		return;
	if (v->dead || fenced(w, v))
		restart(w, v);
	else
		v->silent_since = 0;
}

static void draw_limits(struct world *w, int i)
{
	w->burst[i] = 300 + tlb_random_below(&w->random, 1000);
	w->rate[i] = w->burst[i] / (4 + tlb_random_below(&w->random, 40));
}

static void change_config(struct world *w)
{
	int i;

	if (w->fixed || w->configs == CONFIGS || !chance(w, 0.001))
		return;
	draw_limits(w, w->configs);
	w->since[w->configs++] = w->now;
	for (i = 0; i < VMS; i++)
		w->vm[i].config_at = w->now + within(w, SPREAD_MAX);
}

static void step_config(struct world *w, struct vm *v)
{
	int i;

	if (v->config == w->configs - 1 || w->now < v->config_at)
		return;
	v->config = w->configs - 1;
	if (v->acting)
		tlb_part_configure(&v->part, &v->ledger, rate_of(w, v), burst_of(w, v),
				   local(w, v));
	for (i = 0; i < RECORDS; i++)
		if (v->record[i].used)
			tlb_part_standby_configure(&v->record[i].part, burst_of(w, v), local(w, v));
}

static void step_requests(struct world *w, struct vm *v)
{
	const struct tlb_vm_name *owner = owner_of(v);
	const struct tlb_vm_name *standby;
	struct message m = {.kind = RESERVE};

	if (!owner || !chance(w, w->busy ? 0.25 : 0.0005))
		return;
	snprintf(m.entry.id, sizeof(m.entry.id), "r%d", ++w->last_id);
	snprintf(m.entry.vm, sizeof(m.entry.vm), "%s", v->self.id);
	m.entry.incarnation = v->self.incarnation;
	m.entry.tokens = 1 + tlb_random_below(&w->random, (int)(burst_of(w, v) / 5));
	if (chance(w, 0.0001))
		m.entry.tokens = burst_of(w, v);
	post(w, v, index_of(owner), m);
	/* Also at VMs that are the standby under an old map only, or not at all. */
	standby = &w->vm[tlb_random_below(&w->random, VMS)].self;
	if (chance(w, 0.5))
		standby = &v->map.standby;
	if (standby->id[0] && chance(w, 0.6)) {
		m.kind = RESERVE_PART;
		strcat(m.entry.id, "s");
		post(w, v, index_of(standby), m);
	}
}

static void step_ends(struct world *w)
{
	struct message m;
	struct grant *g;
	int64_t part;
	int i;

	while (w->first_open < w->grant_count && !w->grant[w->first_open].open)
		w->first_open++;
	for (i = w->first_open; i < w->grant_count; i++) {
		g = &w->grant[i];
		if (!g->open || w->now < g->ends)
			continue;
		g->open = false;
		g->counted = g->used;
		m = (struct message){.kind = RETURN, .entry = g->entry};
		part = g->used > 1 && chance(w, 0.5) ? g->used / 2 : 0;
		m.booked = m.used = part;
		if (part)
			post(w, &w->vm[g->requester], g->granter, m);
		m.booked = g->booked - part;
		m.used = g->used - part;
		post(w, &w->vm[g->requester], g->granter, m);
	}
}

static void receive(struct world *w, const struct message *m)
{
	struct vm *v = &w->vm[m->to];

	if (v->gone[m->from.incarnation])
		return;
	switch (m->kind) {
	case RESERVE:
		on_reserve(w, v, m);
		break;
	case RESERVE_PART:
		on_reserve_part(w, v, m);
		break;
	case RETURN:
		on_return(w, v, m);
		break;
	case OPEN:
		on_open(w, v, m);
		break;
	case CLOSE:
		on_close(w, v, m);
		break;
	case REPLY:
		on_part_reply(w, v, m);
		break;
	case RELEASE:
		on_release(w, v, m);
		break;
	case RELEASED:
		if (v->move == RELEASING && m->version == v->map.version && valid(w, v))
			hand_over(w, v);
		break;
	case HAND_OVER:
		v->handed = *m;
		break;
	}
}

static void step(struct world *w)
{
	static struct message m;
	struct vm *v;
	int i;

	w->now += STEP;
	if (chance(w, 0.01))
		w->loss = chance(w, 0.8) ? 0.02 : tlb_random_unit(&w->random) * 0.5;
	/* Quiet times let the bucket fill, so that a part can be opened. */
	if (chance(w, w->busy ? 0.02 : 0.002))
		w->busy = !w->busy;
	change_config(w);
	for (i = 0; i < VMS; i++) {
		step_silence(w, &w->vm[i]);
		if (running(w, &w->vm[i]))
			step_config(w, &w->vm[i]);
	}
	for (i = 0; i < MESSAGES; i++) {
		if (!w->due[i] || w->now < w->due[i])
			continue;
		v = &w->vm[w->message[i].to];
		if (!running(w, v) && !v->dead)
			continue;
		m = w->message[i];
		w->due[i] = 0;
		if (running(w, v))
			receive(w, &m);
	}
	for (i = 0; i < VMS; i++) {
		v = &w->vm[i];
		if (!running(w, v))
			continue;
		if (v->map_seen != w->map.version)
			v->map_at =
				w->now + within(w, chance(w, 0.3) ? 20 * TLB_SECOND : TLB_SECOND);
		v->map_seen = w->map.version;
		if (!v->silent_since && w->now >= v->map_at)
			take_map(w, v);
		step_move(w, v);
		step_part(w, v);
		step_requests(w, v);
	}
	step_writes(w);
	step_ends(w);
}

/* The highest rate and burst that some VM may have had in force in a window. */
static void limits(const struct world *w, tlb_time from, tlb_time to, int64_t *rate, int64_t *burst)
{
	/* A frozen VM takes a configuration over when it continues. */
	tlb_time late = SPREAD_MAX + SILENCE_MAX;
	int i;

	*rate = *burst = 0;
	for (i = 0; i < w->configs; i++) {
		if (w->since[i] > to || (i + 1 < w->configs && w->since[i + 1] + late < from))
			continue;
		*rate = w->rate[i] > *rate ? w->rate[i] : *rate;
		*burst = w->burst[i] > *burst ? w->burst[i] : *burst;
	}
}

/* Every window that can be worst begins and ends at a grant. */
static bool exceeded(const struct world *w)
{
	int64_t rate, burst, sum;
	int from, to;

	for (from = 0; from < w->grant_count; from++) {
		sum = 0;
		for (to = from; to < w->grant_count; to++) {
			tlb_time window = w->grant[to].at - w->grant[from].at;

			sum += w->grant[to].counted;
			limits(w, w->grant[from].at, w->grant[to].at, &rate, &burst);
			if (sum * TLB_BUCKET_SCALE > burst * TLB_BUCKET_SCALE + rate * window)
				return true;
		}
	}
	return false;
}

static struct world *run(uint64_t seed, enum weakness weakness)
{
	struct world *w = calloc(1, sizeof(*w));
	char id[2] = "a";
	int i;

	if (!w)
		abort();
	tlb_random_init(&w->random, seed * UINT64_C(0x9e3779b97f4a7c15));
	w->weakness = weakness;
	w->configs = 1;
	draw_limits(w, 0);
	w->fixed = seed % 2;
	for (i = 0; i < VMS; i++) {
		id[0] = (char)('a' + i);
		tlb_vm_name_set(&w->vm[i].self, id, ++w->last_inc);
		w->vm[i].offset = within(w, 1000 * TLB_SECOND);
	}
	w->map = (struct map){.version = 1, .owner = w->vm[0].self, .standby = w->vm[1].self};
	while (w->now < RUN_TIME)
		step(w);
	for (i = 0; i < VMS; i++)
		drop_state(&w->vm[i]);
	return w;
}

static uint64_t first_seed = 1;
static int seeds = SEEDS;

START_TEST(no_window_exceeds_burst_and_rate)
{
	int opened = 0, part_grants = 0, takeovers = 0, moves = 0, recalls = 0, grants = 0;
	struct world *w;
	uint64_t seed;

	for (seed = first_seed; seed < first_seed + seeds; seed++) {
		w = run(seed, NOTHING);
		ck_assert_msg(!exceeded(w), "more than burst and rate with seed %llu",
			      (unsigned long long)seed);
		opened += w->opened;
		part_grants += w->part_grants;
		takeovers += w->takeovers;
		moves += w->moves;
		recalls += w->recall_merges;
		grants += w->grant_count;
		free(w);
	}
	printf("part model: %d seeds, %d grants, %d of them by standbys, %d parts opened, %d "
	       "recalled, %d takeovers, %d moves\n",
	       seeds, grants, part_grants, opened, recalls, takeovers, moves);
	/* A model in which nothing happens would prove nothing. */
	if (seeds < SEEDS)
		return;
	ck_assert_int_gt(opened, seeds);
	ck_assert_int_gt(recalls, seeds / 2);
	ck_assert_int_gt(part_grants, seeds);
	ck_assert_int_gt(takeovers, 2 * seeds);
	ck_assert_int_gt(moves, seeds);
}
END_TEST

/* Each rule left out must show, or the model does not reach what the rule is for. */
START_TEST(weakened_rules_are_noticed)
{
	bool found = false;
	struct world *w;
	uint64_t seed;

	for (seed = 1; seed <= 40 * SEEDS && !found; seed += 2) {
		w = run(seed, _i);
		found = exceeded(w);
		free(w);
	}
	printf("part model without %s: excess %s by seed %llu\n", weakness_names[_i],
	       found ? "found" : "not found", (unsigned long long)seed - 2);
	ck_assert(found);
}
END_TEST

/* An owner that can reach its standby grants exactly what one whole bucket would, up to requests of
 * the whole burst: the split must not refuse or slow an account within its rate. */
START_TEST(split_grants_what_the_whole_would)
{
	struct tlb_vm_name standby = {.id = "s", .incarnation = 1};
	struct tlb_ledger whole, l;
	struct tlb_part_owner o = {0};
	struct tlb_part_standby s;
	struct tlb_ledger_entry e = {.vm = "a"};
	struct tlb_part_reply r;
	struct tlb_random random;
	struct {
		char id[TLB_REQUEST_ID_LEN];
		int64_t tokens;
	} open[64];
	int count = 0, opened = 0, i, k;
	uint64_t seq = 0;
	tlb_time now = 0;
	bool want, got;

	tlb_random_init(&random, (uint64_t)_i);
	tlb_ledger_init(&whole, 100 + _i, 1001 + 13 * _i, 1001 + 13 * _i, now);
	tlb_ledger_init(&l, 100 + _i, 1001 + 13 * _i, 1001 + 13 * _i, now);
	tlb_part_standby_init(&s, now);
	for (i = 0; i < 3000; i++) {
		now += tlb_random_below(&random, 1 + 500000 * (i / 50 % 4));
		if (tlb_part_can_open(&o, &l, now)) {
			tlb_part_open(&o, &l, &standby, ++seq, now);
			tlb_part_on_open(&s, seq, o.lent, true, whole.bucket.burst, now);
			r = (struct tlb_part_reply){.seq = seq, .part_seq = seq, .open = s.open};
			tlb_part_on_reply(&o, &l, &r, whole.bucket.rate, whole.bucket.burst, now);
			opened++;
		}
		if (count && (count == 64 || tlb_random_below(&random, 2))) {
			k = tlb_random_below(&random, count);
			tlb_ledger_settle(&whole, open[k].id, open[k].tokens, open[k].tokens / 2,
					  now);
			tlb_ledger_settle(&l, open[k].id, open[k].tokens, open[k].tokens / 2, now);
			open[k] = open[--count];
			continue;
		}
		snprintf(e.id, sizeof(e.id), "%d", i);
		e.tokens = 1 + tlb_random_below(&random, (int)whole.bucket.burst / 5);
		if (i > 2500 && tlb_random_below(&random, 10) == 0)
			e.tokens = whole.bucket.burst;
		tlb_part_note(&o, e.tokens);
		want = tlb_ledger_take(&whole, &e, now);
		got = tlb_ledger_take(&l, &e, now);
		if (!got && o.mode == TLB_PART_OPEN) {
			tlb_part_recall(&o, ++seq);
			ck_assert(tlb_part_on_close(&s, seq));
			r = (struct tlb_part_reply){
				.seq = seq, .part_seq = s.part_seq, .level = s.ledger.bucket.level};
			tlb_part_on_reply(&o, &l, &r, whole.bucket.rate, whole.bucket.burst, now);
			got = tlb_ledger_take(&l, &e, now);
		}
		ck_assert_msg(want == got, "step %d of seed %d", i, _i);
		if (got) {
			memcpy(open[count].id, e.id, sizeof(e.id));
			open[count++].tokens = e.tokens;
		}
	}
	ck_assert_int_gt(opened, 10);
	tlb_ledger_finish(&whole);
	tlb_ledger_finish(&l);
	tlb_part_standby_finish(&s);
}
END_TEST

int main(int argc, char **argv)
{
	Suite *s = suite_create("part_model");
	TCase *tc = tcase_create("model");
	SRunner *sr = srunner_create(s);
	int failed;

	if (argc > 1) {
		first_seed = strtoull(argv[1], NULL, 10);
		seeds = argc > 2 ? atoi(argv[2]) : 1;
	}
	tcase_set_timeout(tc, 600);
	tcase_add_test(tc, no_window_exceeds_burst_and_rate);
	tcase_add_loop_test(tc, split_grants_what_the_whole_would, 0, 100);
	suite_add_tcase(s, tc);
	tc = tcase_create("weakened");
	tcase_set_timeout(tc, 600);
	tcase_add_loop_test(tc, weakened_rules_are_noticed, NOTHING + 1, WEAKNESS_COUNT);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
