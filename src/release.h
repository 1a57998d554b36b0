/* Releases a resource (KV cache or reservation) that an endpoint holds for a request. */
#ifndef TLB_RELEASE_H
#define TLB_RELEASE_H

#include "http.h"
#include "instance.h"

/* Sends DELETE for a request target, without retries. A failure is only logged, because a resource
 * that is not released expires at the endpoint. */
void tlb_release_send(struct tlb_http *http, struct tlb_instance *i, const char *target);

#endif
