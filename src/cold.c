#include "cold.h"

#define USED_SHARE (1.0 / 3)

struct tlb_cold_share tlb_cold_share(double rate, int vms, int rank)
{
	double used = rate * USED_SHARE;
	int senders = used < vms ? (int)used : vms;

	if (senders < 1)
		senders = 1;
	return (struct tlb_cold_share){
		.sends = rank < senders,
		.interval = (tlb_time)(senders / used * TLB_SECOND),
	};
}
