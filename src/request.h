/*
 * Model requests: from the parsed body to the last token. The steps are those of docs/design.md,
 * section 4; each request is in exactly one.
 */
#ifndef TLB_REQUEST_H
#define TLB_REQUEST_H

#include <apr_ring.h>
#include <jansson.h>

#include "booking.h"
#include "front.h"
#include "limit.h"
#include "pool.h"
#include "prefix.h"

struct tlb_board;
struct tlb_request;

APR_RING_HEAD(tlb_request_ring, tlb_request);

/* Owned by the board; owns the requests in flight. */
struct tlb_requests {
	struct tlb_board *board;
	struct tlb_request_ring requests;
};

void tlb_requests_init(struct tlb_requests *q, struct tlb_board *b);
/* Ends every request: engines are told to cancel as far as the loop still runs. */
void tlb_requests_finish(struct tlb_requests *q);
size_t tlb_requests_count(const struct tlb_requests *q);
/* Ends the requests whose key is no longer granted by the table in force. */
void tlb_requests_sync(struct tlb_requests *q);
/* The requests in flight as JSON: [{"id","account","model","step","class","age_ms","tokens"}]. */
json_t *tlb_requests_list(const struct tlb_requests *q);

/* Takes a request for POST /v1/completions or /v1/chat/completions from an account. The exchange
 * is answered now or later. */
void tlb_request_start(struct tlb_requests *q, struct tlb_exchange *x, const char *account,
		       bool chat);

#endif
