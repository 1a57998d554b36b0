/*
 * Calls to plain services. A call goes to an endpoint of its route's pool. Idempotent calls are
 * retried within a retry budget. A non-idempotent call is not retried once a byte of it may have
 * reached an endpoint; with an Idempotency-Key its response is recorded and returned to repeats.
 */
#ifndef TLB_SERVICE_H
#define TLB_SERVICE_H

#include <apr_ring.h>
#include <jansson.h>

#include "listener.h"
#include "retry.h"
#include "table.h"

struct tlb_board;
struct tlb_service_call;

APR_RING_HEAD(tlb_service_ring, tlb_service_call);

/* The calls in flight, which it owns, and their retry budget. Owned by the board. */
struct tlb_services {
	struct tlb_board *board;
	struct tlb_service_ring calls;
	struct tlb_retry_budget retry;
};

void tlb_services_init(struct tlb_services *s, struct tlb_board *b);
/* Fails every call with TLB_DRAINING. */
void tlb_services_finish(struct tlb_services *s);
size_t tlb_services_count(const struct tlb_services *s);
/* The calls in flight as a new JSON array, in the form of tlb_requests_list(). */
json_t *tlb_services_list(const struct tlb_services *s);

/* Starts a call for a route. account is "" for a request without a key on an open route. */
void tlb_service_start(struct tlb_services *s, struct tlb_exchange *x,
		       const struct tlb_route *route, const char *account);

#endif
