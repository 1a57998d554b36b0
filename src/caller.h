/* What happens to a complete request from a caller: its key, its account, its route. */
#ifndef TLB_CALLER_H
#define TLB_CALLER_H

#include "front.h"

/* A tlb_front_request_fn; arg is the struct tlb_board. */
void tlb_caller_take(void *arg, struct tlb_exchange *x);

#endif
