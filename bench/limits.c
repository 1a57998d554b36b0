/*
 * Weighs ways to keep one account's rate over many VMs: static shares, leased shares that move, one
 * owner, and owner with standby. One account, a load below its rate, the VM with the most to lose
 * (the owner, or the busiest VM) killed once. Prints for each way the requests refused although one
 * exact bucket would have granted them, messages between VMs and writes to the table service.
 *
 * Not modelled: message delays and losses, the fence itself (it takes TAKEOVER), settlements (each
 * request uses what it reserves).
 *
 * Usage: limits [VMS] [SEEDS]
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "delegation.h"
#include "random.h"

enum { VMS_MAX = 512, WAITING = 8192, RATE = 100000, BURST_SECONDS = 30, COST_MEAN = 4000 };

#define TICK (10 * TLB_MS)
#define RUN (120 * TLB_SECOND)
#define KILL (60 * TLB_SECOND)
#define TAKEOVER (6 * TLB_SECOND + 100 * TLB_MS)
#define PATIENCE (4 * TLB_SECOND)
#define OWNER_PATIENCE (9 * TLB_SECOND)
/* A lease is for what the VM has used in the last period of this length; one that was not used in a
 * whole period goes back. */
#define LEASE (1 * TLB_SECOND)
#define SHORTEST_SILENCE (300 * TLB_MS)

enum way { STATIC, LEASED, OWNER, OWNER_STANDBY, WAYS };
enum spread { EVEN, SKEWED, ONE_VM, SPREADS };

static const char *const way_names[] = {"static share", "leased shares", "one owner",
					"owner and standby"};
static const char *const spread_names[] = {"even", "skewed", "one VM"};

struct job {
	bool waits, conforming, asked;
	bool met_no_owner; /* waits longer, as in the daemon */
	int vm;
	int64_t cost;
	tlb_time arrived;
};

/* What one VM holds of the account under static or leased shares. */
struct share {
	struct tlb_bucket bucket; /* static */
	int64_t lease;		  /* tokens */
	int64_t recent;		  /* asked for in this period */
	int64_t last;		  /* in the one before */
	tlb_time until;
};

struct sim {
	enum way way;
	enum spread spread;
	int vms, dead;
	struct tlb_random random;
	struct share share[VMS_MAX];
	struct tlb_bucket reference;
	struct tlb_ledger owner;
	struct tlb_delegation_owner part;
	struct tlb_delegation_standby standby;
	uint64_t seq;
	tlb_time now;
	bool taken_over;
	struct job job[WAITING];
	int64_t messages, writes, requests, within, wrongful, late;
};

static bool owner_lost(const struct sim *s)
{
	return s->dead >= 0 && s->now < KILL + TAKEOVER;
}

/* VM 0 is the owner; a call to another VM costs a message each way and a return. */
static void count_call(struct sim *s, int vm)
{
	s->messages += vm == 0 ? 0 : 3;
}

static bool take_named(struct sim *s, struct tlb_ledger *l, int64_t cost)
{
	struct tlb_ledger_entry e = {.vm = "v", .tokens = cost};

	snprintf(e.id, sizeof(e.id), "%llu", (unsigned long long)++s->seq);
	return tlb_ledger_reserve(l, &e, s->now) &&
	       tlb_ledger_reconcile(l, e.id, cost, cost, s->now);
}

static void recall(struct sim *s)
{
	struct tlb_delegation_reply r = {0};

	if (s->part.mode != TLB_DELEGATION_OPEN)
		return;
	tlb_delegation_recall(&s->part, ++s->seq);
	tlb_delegation_on_close(&s->standby, s->seq);
	r.seq = s->seq;
	r.open_seq = s->standby.open_seq;
	r.level = s->standby.ledger.bucket.level;
	tlb_delegation_on_reply(&s->part, &s->owner, &r, RATE, (int64_t)RATE * BURST_SECONDS,
				s->now);
	s->messages += 2;
}

static void open_part(struct sim *s)
{
	struct tlb_vm_name standby = {.id = "s", .incarnation = 1};
	struct tlb_delegation_reply r = {.open = true};

	if (s->way != OWNER_STANDBY || !tlb_delegation_can_open(&s->part, &s->owner, s->now))
		return;
	tlb_delegation_open(&s->part, &s->owner, &standby, ++s->seq, s->now);
	tlb_delegation_on_open(&s->standby, s->seq, s->part.delegated, true,
			       (int64_t)RATE * BURST_SECONDS, s->now);
	r.seq = r.open_seq = s->seq;
	tlb_delegation_on_reply(&s->part, &s->owner, &r, RATE, (int64_t)RATE * BURST_SECONDS,
				s->now);
	s->messages += 2;
}

static bool take_owner(struct sim *s, struct job *j)
{
	if (owner_lost(s)) {
		j->met_no_owner = true;
		if (s->way != OWNER_STANDBY || s->now - j->arrived < SHORTEST_SILENCE)
			return false;
		return s->standby.open && take_named(s, &s->standby.ledger, j->cost);
	}
	tlb_delegation_record_request(&s->part, j->cost);
	if (take_named(s, &s->owner, j->cost))
		return true;
	recall(s);
	return take_named(s, &s->owner, j->cost);
}

/* Asks the owner for what the VM used in the last period, and at least for this request. The owner
 * answers a request that it can't serve at once when it has the tokens. */
static bool take_leased(struct sim *s, struct job *j)
{
	struct share *h = &s->share[j->vm];
	int64_t want = j->cost > h->last ? j->cost : h->last;

	if (h->lease < j->cost && owner_lost(s))
		j->met_no_owner = true;
	if (h->lease < j->cost && !owner_lost(s)) {
		s->messages += j->vm == 0 || j->asked ? 0 : 2;
		j->asked = true;
		if (take_named(s, &s->owner, want - h->lease))
			h->lease = want;
		else if (take_named(s, &s->owner, j->cost - h->lease))
			h->lease = j->cost;
	}
	if (h->lease < j->cost)
		return false;
	h->lease -= j->cost;
	h->recent += j->cost;
	return true;
}

static bool take(struct sim *s, struct job *j)
{
	switch (s->way) {
	case STATIC:
		return tlb_bucket_reserve(&s->share[j->vm].bucket, j->cost, 0, s->now);
	case LEASED:
		return take_leased(s, j);
	default:
		return take_owner(s, j);
	}
}

/* Unused leases go back to the owner. */
static void return_leases(struct sim *s)
{
	int i;

	for (i = 0; i < s->vms; i++) {
		if (s->now < s->share[i].until)
			continue;
		s->share[i].until = s->now + LEASE;
		s->share[i].last = s->share[i].recent;
		s->share[i].recent = 0;
		if (!s->share[i].lease || s->share[i].last || owner_lost(s) || i == s->dead)
			continue;
		tlb_ledger_deposit(&s->owner, s->share[i].lease * TLB_BUCKET_SCALE, s->now);
		s->share[i].lease = 0;
		s->messages += i == 0 ? 0 : 1;
	}
}

static int pick_vm(struct sim *s)
{
	int vm = tlb_random_below(&s->random, s->vms);

	if (s->spread == ONE_VM)
		vm = s->vms - 1;
	if (s->spread == SKEWED && tlb_random_below(&s->random, 2))
		vm = s->vms - 1;
	return vm == s->dead ? (vm + 1) % s->vms : vm;
}

static void arrive(struct sim *s)
{
	struct job j = {.waits = true, .arrived = s->now};
	int i;

	j.cost = COST_MEAN / 4 + tlb_random_below(&s->random, COST_MEAN * 3 / 2);
	j.vm = pick_vm(s);
	j.conforming = tlb_bucket_reserve(&s->reference, j.cost, 0, s->now);
	s->requests++;
	s->within += j.conforming;
	if (s->way == OWNER || s->way == OWNER_STANDBY)
		count_call(s, j.vm);
	for (i = 0; i < WAITING && s->job[i].waits; i++)
		;
	if (i == WAITING)
		abort();
	s->job[i] = j;
}

static void serve(struct sim *s)
{
	struct job *j;
	int i;

	for (i = 0; i < WAITING; i++) {
		j = &s->job[i];
		if (!j->waits)
			continue;
		if (take(s, j)) {
			j->waits = false;
			s->late += j->conforming && s->now - j->arrived > 1200 * TLB_MS;
		} else if (s->now - j->arrived > (j->met_no_owner ? OWNER_PATIENCE : PATIENCE)) {
			j->waits = false;
			s->wrongful += j->conforming;
		}
	}
}

static void take_over(struct sim *s)
{
	if (s->taken_over || s->dead < 0 || s->now < KILL + TAKEOVER)
		return;
	s->taken_over = true;
	s->writes++;
	tlb_ledger_finish(&s->owner);
	tlb_ledger_init(&s->owner, RATE, (int64_t)RATE * BURST_SECONDS, 0, s->now);
	memset(&s->part, 0, sizeof(s->part));
	if (s->way == OWNER_STANDBY)
		tlb_delegation_merge(&s->standby, &s->owner, s->now);
}

static void init(struct sim *s)
{
	int64_t burst = (int64_t)RATE * BURST_SECONDS;
	int i;

	s->dead = -1;
	tlb_bucket_init(&s->reference, RATE, burst, burst, 0);
	tlb_ledger_init(&s->owner, RATE, burst, burst, 0);
	tlb_delegation_standby_init(&s->standby, 0);
	for (i = 0; i < s->vms; i++)
		tlb_bucket_init(&s->share[i].bucket, RATE / s->vms, burst / s->vms, burst / s->vms,
				0);
}

static void run(struct sim *s, double load)
{
	double per_tick = RATE * load / COST_MEAN * TICK / TLB_SECOND;

	init(s);
	for (s->now = 0; s->now < RUN; s->now += TICK) {
		if (s->now == KILL)
			s->dead = 0;
		take_over(s);
		open_part(s);
		if (s->way == LEASED)
			return_leases(s);
		for (double p = per_tick; p > 0; p -= 1)
			if (tlb_random_unit(&s->random) < p)
				arrive(s);
		serve(s);
	}
	tlb_ledger_finish(&s->owner);
	tlb_delegation_standby_finish(&s->standby);
}

static void report(int vms, int seeds, enum way way, enum spread spread, double load)
{
	static struct sim s;
	int64_t requests = 0, within = 0, wrongful = 0, late = 0, messages = 0, writes = 0;
	int i;

	for (i = 1; i <= seeds; i++) {
		memset(&s, 0, sizeof(s));
		s.way = way;
		s.spread = spread;
		s.vms = vms;
		tlb_random_init(&s.random, (uint64_t)i * UINT64_C(0x9e3779b97f4a7c15));
		run(&s, load);
		requests += s.requests;
		within += s.within;
		wrongful += s.wrongful;
		late += s.late;
		messages += s.messages;
		writes += s.writes;
	}
	printf("vms=%d load=%.2f spread=%s way=\"%s\" wrongful=%.3f%% late=%.3f%% "
	       "messages_per_request=%.2f messages_per_s=%.1f store_writes_per_s=%.3f\n",
	       vms, load, spread_names[spread], way_names[way], 100.0 * wrongful / within,
	       100.0 * late / within, (double)messages / requests,
	       (double)messages / seeds / ((double)RUN / TLB_SECOND),
	       (double)writes / seeds / ((double)RUN / TLB_SECOND));
}

int main(int argc, char **argv)
{
	int vms = argc > 1 ? atoi(argv[1]) : 8;
	int seeds = argc > 2 ? atoi(argv[2]) : 5;
	int spread;
	int way;

	if (vms < 2 || vms > VMS_MAX || seeds < 1)
		return EXIT_FAILURE;
	for (spread = 0; spread < SPREADS; spread++)
		for (way = 0; way < WAYS; way++)
			report(vms, seeds, way, spread, 0.9);
	return EXIT_SUCCESS;
}
