#include "place.h"

#include <inttypes.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A joining or recovered engine has cold caches and proves itself on a share of the draws that
 * grows from the least weight to a full one. */
#define SLOW_START (10 * TLB_SECOND)
#define SLOW_START_LEAST 0.1

/* Cost of decoding in another zone than the daemon's, as a share of memory: the tokens cross zones
 * (1 ms), so the zone decides only between nearly equal candidates. */
#define DECODE_ZONE_COST 0.02
/* Cost of a transfer to another zone in microseconds beside its time on the link: the links between
 * zones are shared by everyone. */
#define PREFILL_ZONE_COST (5.0 * TLB_MS)

/* Prefill speed assumed until one is measured, in tokens per second. */
#define PREFILL_SPEED 20000.0
/* KV cache of one token of a mid-sized model with grouped attention, in bytes. */
#define KV_BYTES_PER_TOKEN (64 * 1024)

#define EJECT_FAILURES 3
/* An engine this many times slower than the pool's median delays every request past its target. */
#define EJECT_SLOWNESS 4.0
#define EJECT_FIRST (2 * TLB_SECOND)
#define EJECT_MOST (60 * TLB_SECOND)
#define LATENCY_SMOOTHING 0.2

enum { MAX_CANDIDATES = 1024, MEDIAN_LEAST = 3 };

/* The candidates left after filtering, with their draw weights. */
struct draw {
	int index[MAX_CANDIDATES];
	double weight[MAX_CANDIDATES];
	int count;
	int usable;
	bool ejection_ignored;
};

void tlb_place_init(struct tlb_place *p, enum tlb_policy policy, const char *zone, uint64_t seed)
{
	*p = (struct tlb_place){0};
	p->policy = policy;
	p->zone = zone;
	p->kv_bytes_per_token = KV_BYTES_PER_TOKEN;
	p->token_gap_target_us = 43 * TLB_MS;
	tlb_random_init(&p->random, seed);
	/* Daemons that start together must not take turns in step. */
	p->turn[0] = (unsigned int)tlb_random_below(&p->random, MAX_CANDIDATES);
	p->turn[1] = (unsigned int)tlb_random_below(&p->random, MAX_CANDIDATES);
}

static const char *const policy_names[] = {
	[TLB_POLICY_TOUCANLB] = "toucanlb",
	[TLB_POLICY_ROUND_ROBIN] = "round_robin",
	[TLB_POLICY_LEAST_LOAD] = "least_load",
};

bool tlb_policy_parse(const char *name, enum tlb_policy *policy)
{
	int i;

	for (i = TLB_POLICY_TOUCANLB; i <= TLB_POLICY_LEAST_LOAD; i++) {
		if (strcmp(name, policy_names[i]) != 0)
			continue;
		*policy = i;
		return true;
	}
	return false;
}

const char *tlb_policy_name(enum tlb_policy policy)
{
	return policy_names[policy];
}

static double slow_start(const struct tlb_candidate *c, tlb_time now)
{
	double share;

	if (!c->joined_at || now >= c->joined_at + SLOW_START)
		return 1;
	share = (double)(now - c->joined_at) / (double)SLOW_START;
	return share > SLOW_START_LEAST ? share : SLOW_START_LEAST;
}

/* Pieces that can be booked, as far as this daemon knows. */
static int free_pieces(const struct tlb_candidate *c)
{
	return c->exact ? c->free_pieces : c->free_pieces - c->own_pieces;
}

typedef bool room_fn(const struct tlb_place_request *r, const struct tlb_candidate *c);

static bool has_room(const struct tlb_place_request *r, const struct tlb_candidate *c)
{
	/* Without a report the booking itself finds out. */
	return (!c->exact && !c->reported_at) || free_pieces(c) >= r->pieces;
}

static bool any_room(const struct tlb_place_request *r, const struct tlb_candidate *c)
{
	return true;
}

static void add(struct draw *d, int i, double weight)
{
	d->index[d->count] = i;
	d->weight[d->count] = weight;
	d->count++;
}

static void collect(struct draw *d, const struct tlb_place_request *r,
		    const struct tlb_candidate *c, int count, room_fn *room, bool heed_ejection)
{
	int i;

	d->count = 0;
	d->usable = 0;
	for (i = 0; i < count && i < MAX_CANDIDATES; i++) {
		if (!c[i].usable || c[i].tried)
			continue;
		d->usable++;
		if (heed_ejection && c[i].ejected_until > r->now)
			continue;
		if (room(r, &c[i]))
			add(d, i, slow_start(&c[i], r->now));
	}
}

/* When everything that could serve is ejected, the fault is more likely common to all (a link, a
 * load peak) than in each engine: a doubtful engine is better than none. */
static void filter(struct draw *d, const struct tlb_place_request *r, const struct tlb_candidate *c,
		   int count, room_fn *room)
{
	d->ejection_ignored = false;
	collect(d, r, c, count, room, true);
	if (d->count)
		return;
	collect(d, r, c, count, room, false);
	d->ejection_ignored = d->count > 0;
}

/* Draws a position by weight, leaving out one position (-1: none). */
static int draw_one(struct tlb_place *p, const struct draw *d, int except)
{
	double sum = 0;
	double at;
	int last = -1;
	int i;

	for (i = 0; i < d->count; i++)
		sum += i == except ? 0 : d->weight[i];
	at = tlb_random_unit(&p->random) * sum;
	for (i = 0; i < d->count; i++) {
		if (i == except)
			continue;
		last = i;
		at -= d->weight[i];
		if (at < 0)
			break;
	}
	return last;
}

static struct tlb_placement nothing(const struct draw *d)
{
	return (struct tlb_placement){
		.chosen = -1,
		.other = -1,
		.reason = d->usable ? TLB_PLACE_FULL : TLB_PLACE_NONE,
	};
}

static enum tlb_place_reason reason_of(const struct draw *d, enum tlb_place_reason usual)
{
	if (d->ejection_ignored)
		return TLB_PLACE_ALL_EJECTED;
	return d->count == 1 ? TLB_PLACE_ONLY : usual;
}

static struct tlb_placement take_turn(struct tlb_place *p, const struct draw *d, int which)
{
	if (!d->count)
		return nothing(d);
	return (struct tlb_placement){
		.chosen = d->index[p->turn[which]++ % (unsigned int)d->count],
		.other = -1,
		.weighed = d->count,
		.reason = reason_of(d, TLB_PLACE_TURN),
	};
}

typedef double cost_fn(const struct tlb_place *p, const struct tlb_place_request *r,
		       const struct tlb_candidate *decode, const struct tlb_candidate *c);

/* The least of all by reported load; equal ones are drawn from at random. */
static struct tlb_placement take_least(struct tlb_place *p, const struct tlb_place_request *r,
				       const struct tlb_candidate *c, const struct draw *d,
				       cost_fn *cost)
{
	struct tlb_placement pl = nothing(d);
	int equal = 0;
	int i;

	for (i = 0; i < d->count; i++) {
		double v = cost(p, r, NULL, &c[d->index[i]]);

		if (pl.chosen >= 0 && v > pl.cost)
			continue;
		equal = pl.chosen >= 0 && v >= pl.cost ? equal + 1 : 1;
		if (equal > 1 && tlb_random_below(&p->random, equal))
			continue;
		pl.chosen = d->index[i];
		pl.cost = v;
		pl.weighed = d->count;
		pl.reason = reason_of(d, TLB_PLACE_LEAST);
	}
	return pl;
}

/* Weighs index i against the choice so far. */
static void weigh(struct tlb_placement *pl, int i, double cost, enum tlb_place_reason reason)
{
	if (pl->chosen == i || pl->other == i)
		return;
	if (pl->chosen >= 0 && cost >= pl->cost) {
		if (pl->other < 0 || cost < pl->other_cost) {
			pl->other = i;
			pl->other_cost = cost;
		}
		return;
	}
	pl->other = pl->chosen;
	pl->other_cost = pl->cost;
	pl->chosen = i;
	pl->cost = cost;
	pl->reason = reason;
}

/* The cheaper of two random ones and, if given, of a favourite (index into c, or -1). */
static struct tlb_placement take_cheaper(struct tlb_place *p, const struct tlb_place_request *r,
					 const struct tlb_candidate *decode,
					 const struct tlb_candidate *c, const struct draw *d,
					 cost_fn *cost, int favourite,
					 enum tlb_place_reason favoured)
{
	struct tlb_placement pl = nothing(d);
	int first;
	int i;

	if (!d->count)
		return pl;
	first = draw_one(p, d, -1);
	i = d->index[first];
	weigh(&pl, i, cost(p, r, decode, &c[i]), TLB_PLACE_CHEAPER);
	if (d->count > 1) {
		i = d->index[draw_one(p, d, first)];
		weigh(&pl, i, cost(p, r, decode, &c[i]), TLB_PLACE_CHEAPER);
	}
	if (favourite >= 0) {
		weigh(&pl, favourite, cost(p, r, decode, &c[favourite]), favoured);
		if (pl.chosen == favourite)
			pl.reason = favoured;
	}
	pl.weighed = d->count;
	pl.reason = reason_of(d, pl.reason);
	return pl;
}

static double decode_cost(const struct tlb_place *p, const struct tlb_place_request *r,
			  const struct tlb_candidate *decode, const struct tlb_candidate *c)
{
	double total = c->total_pieces > 0 ? c->total_pieces : 1;
	double cost = (total - free_pieces(c) + r->pieces) / total;

	if (strcmp(c->zone, p->zone) != 0)
		cost += DECODE_ZONE_COST;
	/* An engine above the target between tokens spoils every request it takes. */
	if (c->token_gap_us > p->token_gap_target_us)
		cost += (double)c->token_gap_us / (double)p->token_gap_target_us - 1;
	return cost;
}

static double decode_report(const struct tlb_place *p, const struct tlb_place_request *r,
			    const struct tlb_candidate *decode, const struct tlb_candidate *c)
{
	return (double)(c->total_pieces - c->free_pieces);
}

static double prefill_report(const struct tlb_place *p, const struct tlb_place_request *r,
			     const struct tlb_candidate *decode, const struct tlb_candidate *c)
{
	return (double)c->queued_tokens;
}

struct tlb_placement tlb_place_decode(struct tlb_place *p, const struct tlb_place_request *r,
				      const struct tlb_candidate *c, int count)
{
	struct draw d;

	switch (p->policy) {
	case TLB_POLICY_ROUND_ROBIN:
		filter(&d, r, c, count, any_room);
		return take_turn(p, &d, 0);
	case TLB_POLICY_LEAST_LOAD:
		filter(&d, r, c, count, any_room);
		return take_least(p, r, c, &d, decode_report);
	case TLB_POLICY_TOUCANLB:
		break;
	}
	filter(&d, r, c, count, has_room);
	return take_cheaper(p, r, NULL, c, &d, decode_cost, -1, TLB_PLACE_CHEAPER);
}

static double speed_of(const struct tlb_candidate *c)
{
	return c->tokens_per_second > 0 ? (double)c->tokens_per_second : PREFILL_SPEED;
}

/* Tokens queued at a prefill engine now: the report less what was computed since, plus what this
 * daemon sent since. What the others sent is unknown and the same for all on average. */
static double queued_now(const struct tlb_candidate *c, tlb_time now)
{
	double age = c->reported_at ? (double)(now - c->reported_at) / TLB_SECOND : 0;
	double left = (double)c->queued_tokens + (double)c->own_tokens - age * speed_of(c);

	return left > 0 ? left : 0;
}

static double transfer_us(const struct tlb_place *p, const struct tlb_place_request *r,
			  const struct tlb_candidate *decode, const struct tlb_candidate *c)
{
	double mbps = c->link_mbps;

	if (decode && decode->link_mbps > 0 && (mbps <= 0 || decode->link_mbps < mbps))
		mbps = decode->link_mbps;
	/* Megabits per second are bits per microsecond. */
	return mbps > 0 ? 8.0 * (double)r->prompt_tokens * p->kv_bytes_per_token / mbps : 0;
}

static double prefill_cost(const struct tlb_place *p, const struct tlb_place_request *r,
			   const struct tlb_candidate *decode, const struct tlb_candidate *c)
{
	const char *zone = decode ? decode->zone : p->zone;
	double missing = (double)(r->prompt_tokens - c->cached_tokens);
	double work = queued_now(c, r->now) + (missing > 0 ? missing : 0);
	double cost = work / speed_of(c) * TLB_SECOND + transfer_us(p, r, decode, c);

	if (strcmp(c->zone, zone) != 0)
		cost += PREFILL_ZONE_COST;
	return cost;
}

/* The candidate with the longest cached prefix, or -1 when nothing is cached. */
static int best_cached(const struct draw *d, const struct tlb_candidate *c)
{
	int best = -1;
	int i;

	for (i = 0; i < d->count; i++) {
		int64_t cached = c[d->index[i]].cached_tokens;

		if (cached > (best < 0 ? 0 : c[best].cached_tokens))
			best = d->index[i];
	}
	return best;
}

/* The cheapest candidate in the zone of the decode endpoint, or -1. Two drawn at random of many are
 * seldom there, and its zone saves the KV cache's way between zones. */
static int best_beside(const struct tlb_place *p, const struct tlb_place_request *r,
		       const struct tlb_candidate *decode, const struct draw *d,
		       const struct tlb_candidate *c)
{
	double least = 0;
	double cost;
	int best = -1;
	int i;

	for (i = 0; decode && i < d->count; i++) {
		if (strcmp(c[d->index[i]].zone, decode->zone) != 0)
			continue;
		cost = prefill_cost(p, r, decode, &c[d->index[i]]);
		if (best >= 0 && cost >= least)
			continue;
		best = d->index[i];
		least = cost;
	}
	return best;
}

struct tlb_placement tlb_place_prefill(struct tlb_place *p, const struct tlb_place_request *r,
				       const struct tlb_candidate *decode,
				       const struct tlb_candidate *c, int count)
{
	struct draw d;
	int favourite;

	filter(&d, r, c, count, any_room);
	switch (p->policy) {
	case TLB_POLICY_ROUND_ROBIN:
		return take_turn(p, &d, 1);
	case TLB_POLICY_LEAST_LOAD:
		return take_least(p, r, c, &d, prefill_report);
	case TLB_POLICY_TOUCANLB:
		break;
	}
	favourite = best_cached(&d, c);
	if (favourite >= 0)
		return take_cheaper(p, r, decode, c, &d, prefill_cost, favourite, TLB_PLACE_CACHED);
	favourite = best_beside(p, r, decode, &d, c);
	return take_cheaper(p, r, decode, c, &d, prefill_cost, favourite, TLB_PLACE_BESIDE);
}

tlb_time tlb_place_prefill_time(const struct tlb_place *p, const struct tlb_place_request *r,
				const struct tlb_candidate *decode, const struct tlb_candidate *c)
{
	return (tlb_time)prefill_cost(p, r, decode, c);
}

static void eject(struct tlb_health *h, tlb_time now)
{
	tlb_time length = EJECT_FIRST;
	int i;

	for (i = 0; i < h->ejections && length < EJECT_MOST; i++)
		length *= 2;
	if (length > EJECT_MOST)
		length = EJECT_MOST;
	h->ejections++;
	h->failures = 0;
	h->latency_us = 0;
	h->ejected_until = now + length;
	h->joined_at = h->ejected_until;
}

static void smooth(struct tlb_health *h, tlb_time latency_us)
{
	if (h->latency_us <= 0)
		h->latency_us = (double)latency_us;
	h->latency_us += LATENCY_SMOOTHING * ((double)latency_us - h->latency_us);
}

bool tlb_place_eject(struct tlb_health *h, bool ok, tlb_time latency_us, tlb_time median_us,
		     tlb_time now)
{
	bool slow;

	/* Answers to what was sent before the ejection say nothing new. */
	if (h->ejected_until > now)
		return false;
	if (!ok) {
		if (++h->failures < EJECT_FAILURES)
			return false;
		eject(h, now);
		return true;
	}
	h->failures = 0;
	smooth(h, latency_us);
	slow = median_us > 0 && h->latency_us > EJECT_SLOWNESS * (double)median_us;
	if (slow)
		eject(h, now);
	else if (now > h->joined_at + SLOW_START)
		h->ejections = 0;
	return slow;
}

static int compare_latency(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

tlb_time tlb_place_median(double *latency_us, int count)
{
	int known = 0;
	int i;

	for (i = 0; i < count; i++) {
		if (latency_us[i] > 0)
			latency_us[known++] = latency_us[i];
	}
	if (known < MEDIAN_LEAST)
		return 0;
	qsort(latency_us, (size_t)known, sizeof(*latency_us), compare_latency);
	return (tlb_time)latency_us[known / 2];
}

const char *tlb_place_reason_name(enum tlb_place_reason reason)
{
	switch (reason) {
	case TLB_PLACE_NONE:
		return "none_usable";
	case TLB_PLACE_FULL:
		return "full";
	case TLB_PLACE_ONLY:
		return "only";
	case TLB_PLACE_BESIDE:
		return "beside";
	case TLB_PLACE_CACHED:
		return "cached";
	case TLB_PLACE_CHEAPER:
		return "cheaper";
	case TLB_PLACE_TURN:
		return "turn";
	case TLB_PLACE_LEAST:
		return "least";
	case TLB_PLACE_ALL_EJECTED:
		return "all_ejected";
	}
	return "unknown";
}

void tlb_place_describe(const struct tlb_placement *pl, const struct tlb_candidate *c, char *buf,
			size_t len)
{
	const char *chosen = pl->chosen < 0 ? "-" : c[pl->chosen].id;
	const char *other = pl->other < 0 ? "-" : c[pl->other].id;

	snprintf(buf, len, "chosen=%s other=%s weighed=%d cost=%.2f other_cost=%.2f reason=%s",
		 chosen, other, pl->weighed, pl->cost, pl->other_cost,
		 tlb_place_reason_name(pl->reason));
}
