#include "board.h"

bool tlb_board_session_valid(const struct tlb_board *b)
{
	return !b->cluster || tlb_cluster_session_valid(b->cluster, tlb_clock_now());
}

enum tlb_owner tlb_board_owner(const struct tlb_board *b, const char *id, char vm[TLB_ID_LEN])
{
	vm[0] = '\0';
	if (!b->cluster)
		return TLB_OWNER_SELF;
	return tlb_cluster_owner(b->cluster, id, vm);
}
