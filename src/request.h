/*
 * Model requests, from the parsed body to the last token: reserves tokens of the account, queues,
 * books KV memory at a decode endpoint, computes the prompt at a prefill endpoint, transfers the KV
 * cache and streams the output. A request is in exactly one of these steps; docs/design.md
 * describes them.
 */
#ifndef TLB_REQUEST_H
#define TLB_REQUEST_H

#include <apr_ring.h>
#include <jansson.h>

#include "booking.h"
#include "listener.h"
#include "limit.h"
#include "pool.h"
#include "prefix.h"

struct tlb_board;
struct tlb_request;

APR_RING_HEAD(tlb_request_ring, tlb_request);

/* The requests in flight, which it owns. Owned by the board. */
struct tlb_requests {
	struct tlb_board *board;
	struct tlb_request_ring requests;
};

void tlb_requests_init(struct tlb_requests *q, struct tlb_board *b);
/* Fails every request with TLB_DRAINING. Cancellations are queued for the engines and are sent only
 * while the event loop still runs. */
void tlb_requests_finish(struct tlb_requests *q);
size_t tlb_requests_count(const struct tlb_requests *q);
/* Fails the requests whose API key is withdrawn or missing in the current configuration table. */
void tlb_requests_sync(struct tlb_requests *q);
/* The requests in flight as a new JSON array:
 * [{"id","account","model","step","class","age_ms","tokens"}]; tokens counts output tokens. */
json_t *tlb_requests_list(const struct tlb_requests *q);

/* Starts a request for POST /v1/completions (or /v1/chat/completions with chat) of an authenticated
 * account. The response is sent from within the call or later from the event loop. */
void tlb_request_start(struct tlb_requests *q, struct tlb_exchange *x, const char *account,
		       bool chat);

#endif
