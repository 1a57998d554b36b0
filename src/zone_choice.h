/*
 * Which share of a VM's plain calls leaves its availability zone. Pure functions without I/O.
 *
 * Load pattern: the zones' load comes in waves out of phase, so that one zone's endpoints have a
 * queue while those of another one are idle; and calls between zones take longer and cost money.
 *
 * Leaving pays when calls in the own zone take longer than elsewhere by more than the price of a
 * crossing, which the operator states in time. The share moves by small steps from one call to the
 * next, and not at all within a band around that price, so that VMs that see the same difference do
 * not all move at once and back again.
 */
#ifndef TLB_ZONE_CHOICE_H
#define TLB_ZONE_CHOICE_H

#include <stdbool.h>

#include "clock.h"

/* Bounds of the share. The calls that leave in calm show how fast other zones are. */
#define TLB_ZONE_LEAVING_MIN 0.05
#define TLB_ZONE_LEAVING_MAX 1.0

/* The state for one service. A value type. */
struct tlb_zone_choice {
	double leaving;	      /* share of the calls that may leave the zone */
	double own_latency;   /* smoothed, in us */
	double other_latency; /* of calls to other zones */
	int own_calls;
	int other_calls;
};

void tlb_zone_choice_init(struct tlb_zone_choice *z);
/* Records a call to an endpoint of the own zone or of another one. price: the time by which a call
 * must be faster elsewhere, above 0. */
void tlb_zone_choice_record(struct tlb_zone_choice *z, bool own, tlb_time latency, tlb_time price);

#endif
