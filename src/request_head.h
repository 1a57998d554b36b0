/* The head of a caller's request: what of it is invalid, and the headers that every request has. */
#ifndef TLB_REQUEST_HEAD_H
#define TLB_REQUEST_HEAD_H

#include "exchange.h"

/* Reads and checks the head, once it has arrived and method and target are set: API key, content
 * type, Idempotency-Key, header_error, headers_too_large, close_connection. */
void tlb_request_head_read(struct tlb_exchange *x);

#endif
