/*
 * Calls to plain services: a route's pool, one attempt for non-idempotent calls, retries within a
 * budget for idempotent ones.
 */
#ifndef TLB_SERVICE_H
#define TLB_SERVICE_H

#include <apr_ring.h>
#include <jansson.h>

#include "front.h"
#include "retry.h"
#include "table.h"

struct tlb_board;
struct tlb_service_call;

APR_RING_HEAD(tlb_service_ring, tlb_service_call);

/* Owned by the board; owns the calls in flight. */
struct tlb_services {
	struct tlb_board *board;
	struct tlb_service_ring calls;
	struct tlb_retry retry;
};

void tlb_services_init(struct tlb_services *s, struct tlb_board *b);
void tlb_services_finish(struct tlb_services *s);
size_t tlb_services_count(const struct tlb_services *s);
/* The calls in flight as JSON, in the form of tlb_requests_list(). */
json_t *tlb_services_list(const struct tlb_services *s);

/* Takes a request for a route. account is "" on a route open to all that came without a key. */
void tlb_service_start(struct tlb_services *s, struct tlb_exchange *x,
		       const struct tlb_route *route, const char *account);

#endif
