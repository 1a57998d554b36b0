#include "overload.h"

/* Bounds of the mean latency, as shares of the target. Above the upper one, requests that wait a
 * little longer than the mean miss their target. */
#define SLOW_SHARE 0.5
#define FAST_SHARE 0.4
/* Refusals below this share of the calls are no sign of overload. */
#define REFUSED_SHARE_MIN 0.02
/* Weight of a new measurement of the capacity. */
#define CAPACITY_SMOOTHING 0.3
#define DEMAND_SMOOTHING 0.5
/* Changes of the pace in one step, and its bounds. The queue that stands at a full endpoint drains
 * within some steps at PACE_MIN. */
#define PACE_FALL 0.85
#define PACE_RISE 1.12
#define PACE_MIN 0.7
#define PACE_MAX 1.5
/* Answers from which the capacity can be told. */
enum { CAPACITY_ANSWERED_MIN = 10 };
/* Share of late requests that is sent in any case: none are kept out for good. */
#define LATE_SHARE_MIN 0.05

void tlb_overload_add(struct tlb_overload_sample *sum, const struct tlb_overload_sample *s)
{
	sum->answered += s->answered;
	sum->refused += s->refused;
	sum->latency += s->latency;
	if (s->target > 0 && (sum->target == 0 || s->target < sum->target))
		sum->target = s->target;
}

void tlb_overload_endpoint_init(struct tlb_overload_endpoint *e)
{
	*e = (struct tlb_overload_endpoint){.pace = 1};
}

static void smooth(double *mean, double value, double weight)
{
	*mean += weight * (value - *mean);
}

static double clamp(double x, double low, double high)
{
	return x < low ? low : x > high ? high : x;
}

void tlb_overload_endpoint_step(struct tlb_overload_endpoint *e,
				const struct tlb_overload_sample *s, tlb_time elapsed, tlb_time now)
{
	int calls = s->answered + s->refused;
	double mean = s->answered > 0 ? (double)s->latency / s->answered : 0;
	bool full = s->refused > REFUSED_SHARE_MIN * calls;
	bool slow = mean > SLOW_SHARE * (double)s->target;
	double answered_rate = s->answered * (double)TLB_SECOND / (double)elapsed;

	if (full)
		e->contended_until = now + TLB_OVERLOAD_CONTENDED_TIME;
	if (full || (slow && now < e->contended_until)) {
		if (e->capacity > 0)
			smooth(&e->capacity, answered_rate, CAPACITY_SMOOTHING);
		else if (s->answered >= CAPACITY_ANSWERED_MIN)
			e->capacity = answered_rate;
		e->pace = clamp(e->pace * PACE_FALL, PACE_MIN, PACE_MAX);
	} else if (calls == 0 || mean < FAST_SHARE * (double)s->target ||
		   now >= e->contended_until) {
		e->pace = clamp(e->pace * PACE_RISE, PACE_MIN, PACE_MAX);
		/* Without a queue the endpoint can run at least what it has answered. */
		if (answered_rate > e->capacity)
			e->capacity = answered_rate;
	}
}

double tlb_overload_endpoint_rate(const struct tlb_overload_endpoint *e)
{
	return e->capacity * e->pace;
}

void tlb_overload_demand_add(struct tlb_overload_demand *d,
			     const struct tlb_overload_demand *reported, double factor)
{
	bool first = d->on_time + d->late <= 0;

	smooth(&d->on_time, reported->on_time * factor, first ? 1 : DEMAND_SMOOTHING);
	smooth(&d->late, reported->late * factor, first ? 1 : DEMAND_SMOOTHING);
}

struct tlb_overload_shares tlb_overload_divide(double rate, const struct tlb_overload_demand *d)
{
	struct tlb_overload_shares s = TLB_OVERLOAD_ALL;

	if (rate >= d->on_time + d->late)
		return s;
	if (d->late > 0)
		s.late = clamp((rate - d->on_time) / d->late, LATE_SHARE_MIN, 1);
	if (d->on_time > 0)
		s.on_time = clamp((rate - s.late * d->late) / d->on_time, LATE_SHARE_MIN, 1);
	return s;
}
