/*
 * Compares schemes that enforce the rate of one account across many VMs: static shares, leased
 * shares, a single owner, and an owner with a standby. Simulates one account with a load below its
 * rate; VM 0, which is the owner, is killed once. Prints for each scheme the requests refused or
 * delayed although one exact token bucket would have granted them, the messages between VMs and the
 * writes to the table service.
 *
 * Not modelled: message delays and losses, the steps of fencing (it takes TAKEOVER_TIME),
 * settlements (each request uses what it reserves).
 *
 * Usage: limits [VMS] [SEEDS]
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "delegation.h"
#include "random.h"

enum { MAX_VMS = 512, MAX_WAITING = 8192, RATE = 100000, BURST_SECONDS = 30, COST_MEAN = 4000 };

#define TICK (10 * TLB_MS)
#define RUN_TIME (120 * TLB_SECOND)
#define KILL_AT (60 * TLB_SECOND)
#define TAKEOVER_TIME (6 * TLB_SECOND + 100 * TLB_MS)
/* A request that has waited longer is refused. */
#define WAIT_LIMIT (4 * TLB_SECOND)
#define OWNER_LOST_WAIT_LIMIT (9 * TLB_SECOND)
/* A VM leases as many tokens as it used in the last period of this length; a lease that is unused
 * for an entire period is returned. */
#define LEASE_PERIOD (1 * TLB_SECOND)
/* The standby grants tokens after the owner has not answered for this long. */
#define OWNER_SILENCE_MIN (300 * TLB_MS)

enum scheme { STATIC, LEASED, OWNER, OWNER_STANDBY, SCHEMES };
/* Distribution of the load over the VMs. */
enum distribution { EVEN, SKEWED, ONE_VM, DISTRIBUTIONS };

static const char *const scheme_names[] = {"static share", "leased shares", "one owner",
					   "owner and standby"};
static const char *const distribution_names[] = {"even", "skewed", "one VM"};

struct job {
	bool waiting, conforming, asked;
	bool owner_unreachable; /* may wait for OWNER_LOST_WAIT_LIMIT, as in the daemon */
	int vm;
	int64_t cost; /* tokens */
	tlb_time arrived;
};

/* Share of one VM of the account under STATIC or LEASED. */
struct share {
	struct tlb_bucket bucket; /* STATIC only */
	int64_t leased_tokens;
	int64_t period_tokens;	    /* used in this period */
	int64_t last_period_tokens; /* used in the previous period */
	tlb_time period_end;
};

struct sim {
	enum scheme scheme;
	enum distribution distribution;
	int vms, dead_vm;
	struct tlb_random random;
	struct share share[MAX_VMS];
	struct tlb_bucket reference;
	struct tlb_ledger owner;
	struct tlb_delegation_owner delegation;
	struct tlb_delegation_standby standby;
	uint64_t seq;
	tlb_time now;
	bool takeover_done;
	struct job job[MAX_WAITING];
	int64_t messages, writes, requests, conforming_requests, wrongful, late;
};

static bool owner_lost(const struct sim *s)
{
	return s->dead_vm >= 0 && s->now < KILL_AT + TAKEOVER_TIME;
}

/* VM 0 is the owner; a request from another VM takes three messages: request, reply, settlement. */
static void count_call(struct sim *s, int vm)
{
	s->messages += vm == 0 ? 0 : 3;
}

static bool acquire_from_ledger(struct sim *s, struct tlb_ledger *l, int64_t cost)
{
	struct tlb_ledger_entry e = {.vm = "v", .tokens = cost};

	snprintf(e.id, sizeof(e.id), "%llu", (unsigned long long)++s->seq);
	return tlb_ledger_reserve(l, &e, s->now) &&
	       tlb_ledger_reconcile(l, e.id, cost, cost, s->now);
}

static void recall_delegation(struct sim *s)
{
	struct tlb_delegation_reply r = {0};

	if (s->delegation.mode != TLB_DELEGATION_OPEN)
		return;
	tlb_delegation_recall(&s->delegation, ++s->seq);
	tlb_delegation_on_close(&s->standby, s->seq);
	r.seq = s->seq;
	r.open_seq = s->standby.open_seq;
	r.level = s->standby.ledger.bucket.level;
	tlb_delegation_on_reply(&s->delegation, &s->owner, &r, RATE, (int64_t)RATE * BURST_SECONDS,
				s->now);
	s->messages += 2;
}

static void open_delegation(struct sim *s)
{
	struct tlb_vm_name standby = {.id = "s", .incarnation = 1};
	struct tlb_delegation_reply r = {.open = true};

	if (s->scheme != OWNER_STANDBY ||
	    !tlb_delegation_can_open(&s->delegation, &s->owner, s->now))
		return;
	tlb_delegation_open(&s->delegation, &s->owner, &standby, ++s->seq, s->now);
	tlb_delegation_on_open(&s->standby, s->seq, s->delegation.delegated, true,
			       (int64_t)RATE * BURST_SECONDS, s->now);
	r.seq = r.open_seq = s->seq;
	tlb_delegation_on_reply(&s->delegation, &s->owner, &r, RATE, (int64_t)RATE * BURST_SECONDS,
				s->now);
	s->messages += 2;
}

static bool acquire_from_owner(struct sim *s, struct job *j)
{
	if (owner_lost(s)) {
		j->owner_unreachable = true;
		if (s->scheme != OWNER_STANDBY || s->now - j->arrived < OWNER_SILENCE_MIN)
			return false;
		return s->standby.open && acquire_from_ledger(s, &s->standby.ledger, j->cost);
	}
	tlb_delegation_record_request(&s->delegation, j->cost);
	if (acquire_from_ledger(s, &s->owner, j->cost))
		return true;
	recall_delegation(s);
	return acquire_from_ledger(s, &s->owner, j->cost);
}

/* Leases from the owner as many tokens as the VM used in the last period, at least the cost of this
 * request. An owner with too few tokens replies once it has them, so a retry counts no message. */
static bool acquire_leased(struct sim *s, struct job *j)
{
	struct share *h = &s->share[j->vm];
	int64_t requested = j->cost > h->last_period_tokens ? j->cost : h->last_period_tokens;

	if (h->leased_tokens < j->cost && owner_lost(s))
		j->owner_unreachable = true;
	if (h->leased_tokens < j->cost && !owner_lost(s)) {
		s->messages += j->vm == 0 || j->asked ? 0 : 2;
		j->asked = true;
		if (acquire_from_ledger(s, &s->owner, requested - h->leased_tokens))
			h->leased_tokens = requested;
		else if (acquire_from_ledger(s, &s->owner, j->cost - h->leased_tokens))
			h->leased_tokens = j->cost;
	}
	if (h->leased_tokens < j->cost)
		return false;
	h->leased_tokens -= j->cost;
	h->period_tokens += j->cost;
	return true;
}

static bool acquire(struct sim *s, struct job *j)
{
	switch (s->scheme) {
	case STATIC:
		return tlb_bucket_reserve(&s->share[j->vm].bucket, j->cost, 0, s->now);
	case LEASED:
		return acquire_leased(s, j);
	default:
		return acquire_from_owner(s, j);
	}
}

/* Returns unused leases to the owner at the end of their period. */
static void return_leases(struct sim *s)
{
	int i;

	for (i = 0; i < s->vms; i++) {
		if (s->now < s->share[i].period_end)
			continue;
		s->share[i].period_end = s->now + LEASE_PERIOD;
		s->share[i].last_period_tokens = s->share[i].period_tokens;
		s->share[i].period_tokens = 0;
		if (!s->share[i].leased_tokens || s->share[i].last_period_tokens || owner_lost(s) ||
		    i == s->dead_vm)
			continue;
		tlb_ledger_deposit(&s->owner, s->share[i].leased_tokens * TLB_BUCKET_SCALE, s->now);
		s->share[i].leased_tokens = 0;
		s->messages += i == 0 ? 0 : 1;
	}
}

static int select_vm(struct sim *s)
{
	int vm = tlb_random_below(&s->random, s->vms);

	if (s->distribution == ONE_VM)
		vm = s->vms - 1;
	if (s->distribution == SKEWED && tlb_random_below(&s->random, 2))
		vm = s->vms - 1;
	return vm == s->dead_vm ? (vm + 1) % s->vms : vm;
}

static void arrive(struct sim *s)
{
	struct job j = {.waiting = true, .arrived = s->now};
	int i;

	j.cost = COST_MEAN / 4 + tlb_random_below(&s->random, COST_MEAN * 3 / 2);
	j.vm = select_vm(s);
	j.conforming = tlb_bucket_reserve(&s->reference, j.cost, 0, s->now);
	s->requests++;
	s->conforming_requests += j.conforming;
	if (s->scheme == OWNER || s->scheme == OWNER_STANDBY)
		count_call(s, j.vm);
	for (i = 0; i < MAX_WAITING && s->job[i].waiting; i++)
		;
	if (i == MAX_WAITING)
		abort();
	s->job[i] = j;
}

static void serve_waiting(struct sim *s)
{
	struct job *j;
	int i;

	for (i = 0; i < MAX_WAITING; i++) {
		j = &s->job[i];
		if (!j->waiting)
			continue;
		if (acquire(s, j)) {
			j->waiting = false;
			s->late += j->conforming && s->now - j->arrived > 1200 * TLB_MS;
		} else if (s->now - j->arrived >
			   (j->owner_unreachable ? OWNER_LOST_WAIT_LIMIT : WAIT_LIMIT)) {
			j->waiting = false;
			s->wrongful += j->conforming;
		}
	}
}

static void replace_owner(struct sim *s)
{
	if (s->takeover_done || s->dead_vm < 0 || s->now < KILL_AT + TAKEOVER_TIME)
		return;
	s->takeover_done = true;
	s->writes++;
	tlb_ledger_finish(&s->owner);
	tlb_ledger_init(&s->owner, RATE, (int64_t)RATE * BURST_SECONDS, 0, s->now);
	memset(&s->delegation, 0, sizeof(s->delegation));
	if (s->scheme == OWNER_STANDBY)
		tlb_delegation_merge(&s->standby, &s->owner, s->now);
}

static void init(struct sim *s)
{
	int64_t burst = (int64_t)RATE * BURST_SECONDS;
	int i;

	s->dead_vm = -1;
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
	for (s->now = 0; s->now < RUN_TIME; s->now += TICK) {
		if (s->now == KILL_AT)
			s->dead_vm = 0;
		replace_owner(s);
		open_delegation(s);
		if (s->scheme == LEASED)
			return_leases(s);
		for (double p = per_tick; p > 0; p -= 1)
			if (tlb_random_unit(&s->random) < p)
				arrive(s);
		serve_waiting(s);
	}
	tlb_ledger_finish(&s->owner);
	tlb_delegation_standby_finish(&s->standby);
}

static void report(int vms, int seeds, enum scheme scheme, enum distribution distribution,
		   double load)
{
	static struct sim s;
	int64_t requests = 0, conforming_requests = 0, wrongful = 0, late = 0, messages = 0,
		writes = 0;
	int i;

	for (i = 1; i <= seeds; i++) {
		memset(&s, 0, sizeof(s));
		s.scheme = scheme;
		s.distribution = distribution;
		s.vms = vms;
		tlb_random_init(&s.random, (uint64_t)i * UINT64_C(0x9e3779b97f4a7c15));
		run(&s, load);
		requests += s.requests;
		conforming_requests += s.conforming_requests;
		wrongful += s.wrongful;
		late += s.late;
		messages += s.messages;
		writes += s.writes;
	}
	printf("vms=%d load=%.2f spread=%s way=\"%s\" wrongful=%.3f%% late=%.3f%% "
	       "messages_per_request=%.2f messages_per_s=%.1f store_writes_per_s=%.3f\n",
	       vms, load, distribution_names[distribution], scheme_names[scheme],
	       100.0 * wrongful / conforming_requests, 100.0 * late / conforming_requests,
	       (double)messages / requests,
	       (double)messages / seeds / ((double)RUN_TIME / TLB_SECOND),
	       (double)writes / seeds / ((double)RUN_TIME / TLB_SECOND));
}

int main(int argc, char **argv)
{
	int vms = argc > 1 ? atoi(argv[1]) : 8;
	int seeds = argc > 2 ? atoi(argv[2]) : 5;
	int distribution;
	int scheme;

	if (vms < 2 || vms > MAX_VMS || seeds < 1)
		return EXIT_FAILURE;
	for (distribution = 0; distribution < DISTRIBUTIONS; distribution++)
		for (scheme = 0; scheme < SCHEMES; scheme++)
			report(vms, seeds, scheme, distribution, 0.9);
	return EXIT_SUCCESS;
}
