/*
 * Authentication and routing of complete requests from callers: checks the API key and starts a
 * model request or a service call for its account.
 */
#ifndef TLB_INGRESS_H
#define TLB_INGRESS_H

#include "listener.h"

struct tlb_board;

/* Handles a request that has arrived completely. A tlb_listener_request_fn; arg is the struct
 * tlb_board. */
void tlb_ingress_handle(void *arg, struct tlb_exchange *x);

/* Refuses a request that was not admitted: counts it, logs event=refuse and sends the error.
 * account is "" when it is not known. */
void tlb_ingress_refuse(struct tlb_board *b, struct tlb_exchange *x, const char *account,
			const struct tlb_error *err);

#endif
