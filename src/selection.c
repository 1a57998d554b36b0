#include "selection.h"

#include <inttypes.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Slow start: an engine that joined or recovered has cold caches and may still be faulty, so its
 * sampling weight grows from SLOW_START_MIN_WEIGHT to 1 over this time. */
#define SLOW_START (10 * TLB_SECOND)
#define SLOW_START_MIN_WEIGHT 0.1

/* Cost of decoding outside the daemon's zone, as a fraction of the endpoint's KV blocks. Crossing
 * zones delays tokens by only 1 ms, so the zone decides only between nearly equal candidates. */
#define DECODE_ZONE_COST 0.02
/* Cost in microseconds of a transfer to another zone, in addition to its time on the link: all
 * endpoints share the links between zones. */
#define PREFILL_ZONE_COST (5.0 * TLB_MS)

/* Prefill speed in tokens per second, assumed until it has been measured. */
#define PREFILL_SPEED 20000.0
/* KV cache size of one token in bytes, for a mid-sized model with grouped-query attention. */
#define KV_BYTES_PER_TOKEN (64 * 1024)

#define EJECT_FAILURES 3
/* An engine this many times slower than the pool's median makes every request miss its target. */
#define EJECT_LATENCY_RATIO 4.0
#define EJECT_BASE_TIME (2 * TLB_SECOND)
#define EJECT_MAX_TIME (60 * TLB_SECOND)
#define LATENCY_SMOOTHING 0.2

enum { MAX_CANDIDATES = 1024, MEDIAN_MIN_COUNT = 3 };

/* The candidates left after filtering, with their sampling weights. */
struct eligible {
	int index[MAX_CANDIDATES];
	double weight[MAX_CANDIDATES];
	int count;
	int usable;
	bool ejection_ignored;
};

void tlb_selector_init(struct tlb_selector *p, enum tlb_policy policy, const char *zone,
		       uint64_t seed)
{
	*p = (struct tlb_selector){0};
	p->policy = policy;
	p->zone = zone;
	p->kv_bytes_per_token = KV_BYTES_PER_TOKEN;
	p->token_gap_target_us = 43 * TLB_MS;
	tlb_random_init(&p->random, seed);
	/* Daemons that start together must not step through the endpoints in the same order. */
	p->round_robin[0] = (unsigned int)tlb_random_below(&p->random, MAX_CANDIDATES);
	p->round_robin[1] = (unsigned int)tlb_random_below(&p->random, MAX_CANDIDATES);
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

static double slow_start_weight(const struct tlb_candidate *c, tlb_time now)
{
	double share;

	if (!c->slow_start_at || now >= c->slow_start_at + SLOW_START)
		return 1;
	share = (double)(now - c->slow_start_at) / (double)SLOW_START;
	return share > SLOW_START_MIN_WEIGHT ? share : SLOW_START_MIN_WEIGHT;
}

/* KV blocks that can be booked, as far as this daemon can tell. */
static int free_pieces(const struct tlb_candidate *c)
{
	return c->free_exact ? c->free_blocks : c->free_blocks - c->local_blocks;
}

typedef bool has_capacity_fn(const struct tlb_selection_input *r, const struct tlb_candidate *c);

static bool has_free_blocks(const struct tlb_selection_input *r, const struct tlb_candidate *c)
{
	/* Without a load report, the attempt to book shows whether there is free capacity. */
	return (!c->free_exact && !c->reported_at) || free_pieces(c) >= r->blocks;
}

static bool ignore_capacity(const struct tlb_selection_input *r, const struct tlb_candidate *c)
{
	return true;
}

static void add_eligible(struct eligible *d, int i, double weight)
{
	d->index[d->count] = i;
	d->weight[d->count] = weight;
	d->count++;
}

static void collect(struct eligible *d, const struct tlb_selection_input *r,
		    const struct tlb_candidate *c, int count, has_capacity_fn *has_capacity,
		    bool skip_ejected)
{
	int i;

	d->count = 0;
	d->usable = 0;
	for (i = 0; i < count && i < MAX_CANDIDATES; i++) {
		if (!c[i].usable || c[i].tried)
			continue;
		d->usable++;
		if (skip_ejected && c[i].ejected_until > r->now)
			continue;
		if (has_capacity(r, &c[i]))
			add_eligible(d, i, slow_start_weight(&c[i], r->now));
	}
}

/* Ignores ejections if they leave no candidate. When all usable engines are ejected, the cause is
 * more likely a shared one (a link, a load peak) than a fault in each engine, and an engine that
 * may fail is better than none. */
static void filter(struct eligible *d, const struct tlb_selection_input *r,
		   const struct tlb_candidate *c, int count, has_capacity_fn *has_capacity)
{
	d->ejection_ignored = false;
	collect(d, r, c, count, has_capacity, true);
	if (d->count)
		return;
	collect(d, r, c, count, has_capacity, false);
	d->ejection_ignored = d->count > 0;
}

/* Samples a position in proportion to its weight, never the position except (-1: no exception). */
static int sample(struct tlb_selector *p, const struct eligible *d, int except)
{
	double sum = 0;
	double target;
	int last = -1;
	int i;

	for (i = 0; i < d->count; i++)
		sum += i == except ? 0 : d->weight[i];
	target = tlb_random_unit(&p->random) * sum;
	for (i = 0; i < d->count; i++) {
		if (i == except)
			continue;
		last = i;
		target -= d->weight[i];
		if (target < 0)
			break;
	}
	return last;
}

static struct tlb_selection no_selection(const struct eligible *d)
{
	return (struct tlb_selection){
		.selected = -1,
		.runner_up = -1,
		.reason = d->usable ? TLB_SELECT_NO_CAPACITY : TLB_SELECT_NONE_USABLE,
	};
}

static enum tlb_selection_reason reason_of(const struct eligible *d,
					   enum tlb_selection_reason normal)
{
	if (d->ejection_ignored)
		return TLB_SELECT_ALL_EJECTED;
	return d->count == 1 ? TLB_SELECT_ONLY_CANDIDATE : normal;
}

static struct tlb_selection select_round_robin(struct tlb_selector *p, const struct eligible *d,
					       int role)
{
	if (!d->count)
		return no_selection(d);
	return (struct tlb_selection){
		.selected = d->index[p->round_robin[role]++ % (unsigned int)d->count],
		.runner_up = -1,
		.eligible = d->count,
		.reason = reason_of(d, TLB_SELECT_ROUND_ROBIN),
	};
}

typedef double cost_fn(const struct tlb_selector *p, const struct tlb_selection_input *r,
		       const struct tlb_candidate *decode, const struct tlb_candidate *c);

/* Selects the candidate with the least reported load; ties are broken at random. */
static struct tlb_selection select_least_load(struct tlb_selector *p,
					      const struct tlb_selection_input *r,
					      const struct tlb_candidate *c,
					      const struct eligible *d, cost_fn *cost)
{
	struct tlb_selection pl = no_selection(d);
	int ties = 0;
	int i;

	for (i = 0; i < d->count; i++) {
		double v = cost(p, r, NULL, &c[d->index[i]]);

		if (pl.selected >= 0 && v > pl.cost)
			continue;
		ties = pl.selected >= 0 && v >= pl.cost ? ties + 1 : 1;
		if (ties > 1 && tlb_random_below(&p->random, ties))
			continue;
		pl.selected = d->index[i];
		pl.cost = v;
		pl.eligible = d->count;
		pl.reason = reason_of(d, TLB_SELECT_LEAST_LOAD);
	}
	return pl;
}

/* Compares the candidate at index i with the selection so far and its runner-up. */
static void compare(struct tlb_selection *pl, int i, double cost, enum tlb_selection_reason reason)
{
	if (pl->selected == i || pl->runner_up == i)
		return;
	if (pl->selected >= 0 && cost >= pl->cost) {
		if (pl->runner_up < 0 || cost < pl->runner_up_cost) {
			pl->runner_up = i;
			pl->runner_up_cost = cost;
		}
		return;
	}
	pl->runner_up = pl->selected;
	pl->runner_up_cost = pl->cost;
	pl->selected = i;
	pl->cost = cost;
	pl->reason = reason;
}

/* Selects the candidate with the lowest cost among two random ones and, unless it is -1, the
 * candidate at index preferred. */
static struct tlb_selection
select_lower_cost(struct tlb_selector *p, const struct tlb_selection_input *r,
		  const struct tlb_candidate *decode, const struct tlb_candidate *c,
		  const struct eligible *d, cost_fn *cost, int preferred,
		  enum tlb_selection_reason preferred_reason)
{
	struct tlb_selection pl = no_selection(d);
	int first;
	int i;

	if (!d->count)
		return pl;
	first = sample(p, d, -1);
	i = d->index[first];
	compare(&pl, i, cost(p, r, decode, &c[i]), TLB_SELECT_LOWER_COST);
	if (d->count > 1) {
		i = d->index[sample(p, d, first)];
		compare(&pl, i, cost(p, r, decode, &c[i]), TLB_SELECT_LOWER_COST);
	}
	if (preferred >= 0) {
		compare(&pl, preferred, cost(p, r, decode, &c[preferred]), preferred_reason);
		if (pl.selected == preferred)
			pl.reason = preferred_reason;
	}
	pl.eligible = d->count;
	pl.reason = reason_of(d, pl.reason);
	return pl;
}

static double decode_cost(const struct tlb_selector *p, const struct tlb_selection_input *r,
			  const struct tlb_candidate *decode, const struct tlb_candidate *c)
{
	double total = c->total_blocks > 0 ? c->total_blocks : 1;
	double cost = (total - free_pieces(c) + r->blocks) / total;

	if (strcmp(c->zone, p->zone) != 0)
		cost += DECODE_ZONE_COST;
	/* An engine above the inter-token target makes each of its requests miss that target. */
	if (c->token_gap_us > p->token_gap_target_us)
		cost += (double)c->token_gap_us / (double)p->token_gap_target_us - 1;
	return cost;
}

static double decode_load(const struct tlb_selector *p, const struct tlb_selection_input *r,
			  const struct tlb_candidate *decode, const struct tlb_candidate *c)
{
	return (double)(c->total_blocks - c->free_blocks);
}

static double prefill_load(const struct tlb_selector *p, const struct tlb_selection_input *r,
			   const struct tlb_candidate *decode, const struct tlb_candidate *c)
{
	return (double)c->queued_tokens;
}

struct tlb_selection tlb_select_decode(struct tlb_selector *p, const struct tlb_selection_input *r,
				       const struct tlb_candidate *c, int count)
{
	struct eligible d;

	switch (p->policy) {
	case TLB_POLICY_ROUND_ROBIN:
		filter(&d, r, c, count, ignore_capacity);
		return select_round_robin(p, &d, 0);
	case TLB_POLICY_LEAST_LOAD:
		filter(&d, r, c, count, ignore_capacity);
		return select_least_load(p, r, c, &d, decode_load);
	case TLB_POLICY_TOUCANLB:
		break;
	}
	filter(&d, r, c, count, has_free_blocks);
	return select_lower_cost(p, r, NULL, c, &d, decode_cost, -1, TLB_SELECT_LOWER_COST);
}

static double prefill_speed(const struct tlb_candidate *c)
{
	return c->tokens_per_second > 0 ? (double)c->tokens_per_second : PREFILL_SPEED;
}

/* Estimates the tokens queued at a prefill engine now: the reported ones minus those computed since
 * the report, plus those that this daemon has sent since. What other daemons have sent is unknown,
 * but equal for all engines on average. */
static double queued_now(const struct tlb_candidate *c, tlb_time now)
{
	double age = c->reported_at ? (double)(now - c->reported_at) / TLB_SECOND : 0;
	double remaining =
		(double)c->queued_tokens + (double)c->local_tokens - age * prefill_speed(c);

	return remaining > 0 ? remaining : 0;
}

static double transfer_us(const struct tlb_selector *p, const struct tlb_selection_input *r,
			  const struct tlb_candidate *decode, const struct tlb_candidate *c)
{
	double mbps = c->link_mbps;

	if (decode && decode->link_mbps > 0 && (mbps <= 0 || decode->link_mbps < mbps))
		mbps = decode->link_mbps;
	/* Megabits per second are bits per microsecond. */
	return mbps > 0 ? 8.0 * (double)r->prompt_tokens * p->kv_bytes_per_token / mbps : 0;
}

static double prefill_cost(const struct tlb_selector *p, const struct tlb_selection_input *r,
			   const struct tlb_candidate *decode, const struct tlb_candidate *c)
{
	const char *zone = decode ? decode->zone : p->zone;
	double uncached = (double)(r->prompt_tokens - c->cached_tokens);
	double work = queued_now(c, r->now) + (uncached > 0 ? uncached : 0);
	double cost = work / prefill_speed(c) * TLB_SECOND + transfer_us(p, r, decode, c);

	if (strcmp(c->zone, zone) != 0)
		cost += PREFILL_ZONE_COST;
	return cost;
}

/* Returns the index of the candidate with the longest cached prefix, or -1 if nothing is cached. */
static int longest_cached_prefix(const struct eligible *d, const struct tlb_candidate *c)
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

/* Returns the index of the candidate with the lowest cost in the zone of the decode endpoint, or
 * -1. In the same zone the KV cache needs no transfer between zones, but two candidates sampled
 * from many are rarely in that zone. */
static int best_in_decode_zone(const struct tlb_selector *p, const struct tlb_selection_input *r,
			       const struct tlb_candidate *decode, const struct eligible *d,
			       const struct tlb_candidate *c)
{
	double lowest = 0;
	double cost;
	int best = -1;
	int i;

	for (i = 0; decode && i < d->count; i++) {
		if (strcmp(c[d->index[i]].zone, decode->zone) != 0)
			continue;
		cost = prefill_cost(p, r, decode, &c[d->index[i]]);
		if (best >= 0 && cost >= lowest)
			continue;
		best = d->index[i];
		lowest = cost;
	}
	return best;
}

struct tlb_selection tlb_select_prefill(struct tlb_selector *p, const struct tlb_selection_input *r,
					const struct tlb_candidate *decode,
					const struct tlb_candidate *c, int count)
{
	struct eligible d;
	int preferred;

	filter(&d, r, c, count, ignore_capacity);
	switch (p->policy) {
	case TLB_POLICY_ROUND_ROBIN:
		return select_round_robin(p, &d, 1);
	case TLB_POLICY_LEAST_LOAD:
		return select_least_load(p, r, c, &d, prefill_load);
	case TLB_POLICY_TOUCANLB:
		break;
	}
	preferred = longest_cached_prefix(&d, c);
	if (preferred >= 0)
		return select_lower_cost(p, r, decode, c, &d, prefill_cost, preferred,
					 TLB_SELECT_CACHED_PREFIX);
	preferred = best_in_decode_zone(p, r, decode, &d, c);
	return select_lower_cost(p, r, decode, c, &d, prefill_cost, preferred,
				 TLB_SELECT_SAME_ZONE);
}

tlb_time tlb_select_prefill_time(const struct tlb_selector *p, const struct tlb_selection_input *r,
				 const struct tlb_candidate *decode, const struct tlb_candidate *c)
{
	return (tlb_time)prefill_cost(p, r, decode, c);
}

static void eject(struct tlb_health *h, tlb_time now)
{
	tlb_time duration = EJECT_BASE_TIME;
	int i;

	for (i = 0; i < h->ejections && duration < EJECT_MAX_TIME; i++)
		duration *= 2;
	if (duration > EJECT_MAX_TIME)
		duration = EJECT_MAX_TIME;
	h->ejections++;
	h->failures = 0;
	h->latency_us = 0;
	h->ejected_until = now + duration;
	h->slow_start_at = h->ejected_until;
}

static void smooth(struct tlb_health *h, tlb_time latency_us)
{
	if (h->latency_us <= 0)
		h->latency_us = (double)latency_us;
	h->latency_us += LATENCY_SMOOTHING * ((double)latency_us - h->latency_us);
}

bool tlb_health_record_outcome(struct tlb_health *h, bool ok, tlb_time latency_us,
			       tlb_time median_us, tlb_time now)
{
	bool slow;

	/* Outcomes of requests sent before the ejection must not extend it. */
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
	slow = median_us > 0 && h->latency_us > EJECT_LATENCY_RATIO * (double)median_us;
	if (slow)
		eject(h, now);
	else if (now > h->slow_start_at + SLOW_START)
		h->ejections = 0;
	return slow;
}

static int compare_latency(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

tlb_time tlb_health_median_latency(double *latency_us, int count)
{
	int known_count = 0;
	int i;

	for (i = 0; i < count; i++) {
		if (latency_us[i] > 0)
			latency_us[known_count++] = latency_us[i];
	}
	if (known_count < MEDIAN_MIN_COUNT)
		return 0;
	qsort(latency_us, (size_t)known_count, sizeof(*latency_us), compare_latency);
	return (tlb_time)latency_us[known_count / 2];
}

const char *tlb_selection_reason_name(enum tlb_selection_reason reason)
{
	switch (reason) {
	case TLB_SELECT_NONE_USABLE:
		return "none_usable";
	case TLB_SELECT_NO_CAPACITY:
		return "full";
	case TLB_SELECT_ONLY_CANDIDATE:
		return "only";
	case TLB_SELECT_SAME_ZONE:
		return "beside";
	case TLB_SELECT_CACHED_PREFIX:
		return "cached";
	case TLB_SELECT_LOWER_COST:
		return "cheaper";
	case TLB_SELECT_ROUND_ROBIN:
		return "turn";
	case TLB_SELECT_LEAST_LOAD:
		return "least";
	case TLB_SELECT_ALL_EJECTED:
		return "all_ejected";
	}
	return "unknown";
}

void tlb_selection_describe(const struct tlb_selection *pl, const struct tlb_candidate *c,
			    char *buf, size_t len)
{
	const char *chosen = pl->selected < 0 ? "-" : c[pl->selected].id;
	const char *other = pl->runner_up < 0 ? "-" : c[pl->runner_up].id;

	snprintf(buf, len, "chosen=%s other=%s weighed=%d cost=%.2f other_cost=%.2f reason=%s",
		 chosen, other, pl->eligible, pl->cost, pl->runner_up_cost,
		 tlb_selection_reason_name(pl->reason));
}
