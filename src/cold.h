/*
 * The rate at which one VM may send requests to a cold endpoint, which bears only so many a second
 * from all VMs together. Pure function without I/O.
 *
 * Load pattern: the endpoints of a zone come back together, cold, while every VM has requests for
 * them. Even shares of all VMs would let each send one request in many seconds, and a first request
 * of every VM at the same moment would exceed the rate.
 *
 * No messages are needed, so that the bound holds for VMs that are cut off or have just started as
 * well: a rendezvous hash of the endpoint ranks the VMs, and only the first ones send, each at most
 * once in an interval. Together they use a third of the rate. In any second they send at most twice
 * that, and VMs that see two different fleets at most four times.
 */
#ifndef TLB_COLD_H
#define TLB_COLD_H

#include <stdbool.h>

#include "clock.h"

struct tlb_cold_share {
	bool sends;	   /* this VM may send to the endpoint */
	tlb_time interval; /* least time between two of its requests */
};

/* rate: requests a second that the endpoint bears, above 0. rank: of this VM among all, from 0. */
struct tlb_cold_share tlb_cold_share(double rate, int vms, int rank);

#endif
