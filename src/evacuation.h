/*
 * Zones that the operator has evacuated: no requests are sent to their endpoints until the
 * evacuation is taken back. Pure data structure without I/O.
 */
#ifndef TLB_EVACUATION_H
#define TLB_EVACUATION_H

#include <apr_ring.h>
#include <stdbool.h>

#include "clock.h"
#include "table.h"

/* Owned by struct tlb_evacuations. */
struct tlb_evacuated_zone {
	APR_RING_ENTRY(tlb_evacuated_zone) link;
	char zone[TLB_ID_LEN]; /* label */
	tlb_time since;	       /* when this VM learned of it */
	tlb_time until;	       /* TLB_NEVER until it is taken back */
};

APR_RING_HEAD(tlb_evacuated_zone_ring, tlb_evacuated_zone);

/* Owned by the caller; owns its zones. */
struct tlb_evacuations {
	struct tlb_evacuated_zone_ring zones;
};

void tlb_evacuations_init(struct tlb_evacuations *e);
void tlb_evacuations_finish(struct tlb_evacuations *e);
/* Evacuates a zone, given by its label. Returns false without memory. */
bool tlb_evacuations_begin(struct tlb_evacuations *e, const char *zone, tlb_time now);
/* Ends the evacuation of a zone at a time, which may be in the future. Returns whether the zone was
 * evacuated. */
bool tlb_evacuations_end(struct tlb_evacuations *e, const char *zone, tlb_time until);
/* Until when the zone is evacuated; 0 when it has not been since the start. */
tlb_time tlb_evacuations_until(const struct tlb_evacuations *e, const char *zone);
/* The number of zones that are evacuated. */
int tlb_evacuations_count(const struct tlb_evacuations *e, tlb_time now);

#endif
