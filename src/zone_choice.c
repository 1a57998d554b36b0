#include "zone_choice.h"

/* Share before both latencies are known. */
#define LEAVING_INITIAL 0.3
/* Weight of a new sample in the latencies. */
#define LATENCY_SMOOTHING 0.15
/* Calls on each side from which the latencies can be compared. */
enum { CALLS_MIN = 5 };
/* Steps of the share. Leaving begins faster than it ends: a queue that forms makes callers late. */
#define STEP_OUT 0.1
#define STEP_BACK 0.03
/* Width of the band without a step on each side of the price, as a share of it. */
#define BAND 0.5

void tlb_zone_choice_init(struct tlb_zone_choice *z)
{
	*z = (struct tlb_zone_choice){.leaving = LEAVING_INITIAL};
}

static void smooth(double *mean, int *calls, tlb_time latency)
{
	if (*calls == 0)
		*mean = (double)latency;
	*mean += LATENCY_SMOOTHING * ((double)latency - *mean);
	if (*calls < CALLS_MIN)
		(*calls)++;
}

void tlb_zone_choice_record(struct tlb_zone_choice *z, bool own, tlb_time latency, tlb_time price)
{
	double gain;

	if (own)
		smooth(&z->own_latency, &z->own_calls, latency);
	else
		smooth(&z->other_latency, &z->other_calls, latency);
	if (z->own_calls < CALLS_MIN || z->other_calls < CALLS_MIN)
		return;
	gain = z->own_latency - z->other_latency - (double)price;
	if (gain > BAND * (double)price)
		z->leaving += STEP_OUT;
	else if (gain < -BAND * (double)price)
		z->leaving -= STEP_BACK;
	if (z->leaving > TLB_ZONE_LEAVING_MAX)
		z->leaving = TLB_ZONE_LEAVING_MAX;
	if (z->leaving < TLB_ZONE_LEAVING_MIN)
		z->leaving = TLB_ZONE_LEAVING_MIN;
}
