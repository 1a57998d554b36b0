/* What happens to a complete request from a caller: its key, its account, its route. */
#ifndef TLB_CALLER_H
#define TLB_CALLER_H

#include "front.h"

struct tlb_board;

/* A tlb_front_request_fn; arg is the struct tlb_board. */
void tlb_caller_take(void *arg, struct tlb_exchange *x);

/* Refuses a request before its admission, with one log line. account is "" when it is not known.
 */
void tlb_caller_refuse(struct tlb_board *b, struct tlb_exchange *x, const char *account,
		       const struct tlb_error *err);

#endif
