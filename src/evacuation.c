#include "evacuation.h"

#include <stdlib.h>
#include <string.h>

void tlb_evacuations_init(struct tlb_evacuations *e)
{
	APR_RING_INIT(&e->zones, tlb_evacuated_zone, link);
}

void tlb_evacuations_finish(struct tlb_evacuations *e)
{
	struct tlb_evacuated_zone *z;

	while (!APR_RING_EMPTY(&e->zones, tlb_evacuated_zone, link)) {
		z = APR_RING_FIRST(&e->zones);
		APR_RING_REMOVE(z, link);
		free(z);
	}
}

static struct tlb_evacuated_zone *find(const struct tlb_evacuations *e, const char *zone)
{
	struct tlb_evacuated_zone *z;

	APR_RING_FOREACH (z, &e->zones, tlb_evacuated_zone, link) {
		if (strcmp(z->zone, zone) == 0)
			return z;
	}
	return NULL;
}

bool tlb_evacuations_begin(struct tlb_evacuations *e, const char *zone, tlb_time now)
{
	struct tlb_evacuated_zone *z = find(e, zone);

	if (!z) {
		z = calloc(1, sizeof(*z));
		if (!z)
			return false;
		strcpy(z->zone, zone);
		APR_RING_INSERT_TAIL(&e->zones, z, tlb_evacuated_zone, link);
	}
	if (now >= z->until)
		z->since = now;
	z->until = TLB_NEVER;
	return true;
}

bool tlb_evacuations_end(struct tlb_evacuations *e, const char *zone, tlb_time until)
{
	struct tlb_evacuated_zone *z = find(e, zone);

	if (!z || z->until <= until)
		return false;
	z->until = until;
	return true;
}

tlb_time tlb_evacuations_until(const struct tlb_evacuations *e, const char *zone)
{
	const struct tlb_evacuated_zone *z = find(e, zone);

	return z ? z->until : 0;
}

int tlb_evacuations_count(const struct tlb_evacuations *e, tlb_time now)
{
	const struct tlb_evacuated_zone *z;
	int n = 0;

	APR_RING_FOREACH (z, &e->zones, tlb_evacuated_zone, link) {
		n += now < z->until;
	}
	return n;
}
