/*
 * Admission control for plain services under overload: which share of the requests is sent, and how
 * they are spread over the endpoints. Pure functions without I/O.
 *
 * Load pattern: many VMs, of which each sees a few requests a second, together send a service half
 * as many requests again as its endpoints can run. The queue that decides then stands at the
 * endpoints. It makes every answer late, and endpoints refuse calls and reset connections, so that
 * most of their work is lost. Admission keeps that queue short: what exceeds the capacity is
 * refused by the VMs, at once and as not run.
 *
 * The share is the capacity of the endpoints divided by the demand. The capacity is what they
 * answer while requests wait there; the demand is what the VMs report. The latency corrects both.
 * Requests that can still meet their target come first: what is left goes to callers that return
 * too late for it. Refusing those of them that exceed the capacity makes none of the others late.
 */
#ifndef TLB_OVERLOAD_H
#define TLB_OVERLOAD_H

#include <stdbool.h>

#include "clock.h"

/* How long after a refusal slow answers count as the result of a queue. */
#define TLB_OVERLOAD_CONTENDED_TIME (4 * TLB_SECOND)

/* Outcomes of calls to one endpoint in an interval. A value type. */
struct tlb_overload_sample {
	int answered;
	int refused;	  /* the endpoint was full */
	tlb_time latency; /* sum over the calls that were answered */
	tlb_time target;  /* lowest target latency of their routes; 0: none */
};

/* Adds the outcomes of one sample to another. */
void tlb_overload_add(struct tlb_overload_sample *sum, const struct tlb_overload_sample *s);

/* What is known of one endpoint. A value type. */
struct tlb_overload_endpoint {
	double capacity; /* calls a second; 0: not known */
	double pace;	 /* share of the capacity that is used, above 0; falls while it is slow */
	tlb_time contended_until;
};

void tlb_overload_endpoint_init(struct tlb_overload_endpoint *e);
/* Takes in the outcomes of an interval of that length. */
void tlb_overload_endpoint_step(struct tlb_overload_endpoint *e,
				const struct tlb_overload_sample *s, tlb_time elapsed,
				tlb_time now);
/* Calls a second that the endpoint should get. */
double tlb_overload_endpoint_rate(const struct tlb_overload_endpoint *e);

/* Requests a second that arrive for a service at all VMs. */
struct tlb_overload_demand {
	double on_time; /* can meet their target */
	double late;
};

/* Smooths the demand with what was reported, times a factor that makes up for the VMs that have not
 * reported yet. */
void tlb_overload_demand_add(struct tlb_overload_demand *d,
			     const struct tlb_overload_demand *reported, double factor);

/* Shares of the requests that are sent, 0 to 1. A value type; TLB_OVERLOAD_ALL without overload. */
struct tlb_overload_shares {
	double on_time;
	double late;
};

static const struct tlb_overload_shares TLB_OVERLOAD_ALL = {1, 1};

/* rate: sum of tlb_overload_endpoint_rate() over the endpoints. */
struct tlb_overload_shares tlb_overload_divide(double rate, const struct tlb_overload_demand *d);
/* Whether shares leave out any request. */
static inline bool tlb_overload_sheds(const struct tlb_overload_shares *s)
{
	return s->on_time < 1 || s->late < 1;
}

#endif
