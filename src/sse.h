/* Incremental parser of server-sent events, as far as engines use them: "data:" lines that are
 * ended by an empty line. */
#ifndef TLB_SSE_H
#define TLB_SSE_H

#include <stdbool.h>
#include <stddef.h>

#include "buffer.h"

enum { TLB_SSE_EVENT_MAX = 65536 }; /* bytes of one event's data */

/* Takes the data of one event, NUL-terminated. Returns false to stop. */
typedef bool tlb_sse_event_fn(void *arg, const char *data, size_t len);

/* Caller-owned; zero-initialised; owns its buffers. */
struct tlb_sse {
	struct tlb_buffer line;
	struct tlb_buffer data;
};

void tlb_sse_finish(struct tlb_sse *s);
/* Feeds bytes; calls fn for each complete event. Returns false when fn stopped, an event is too
 * large, or there is no memory. */
bool tlb_sse_feed(struct tlb_sse *s, const char *bytes, size_t len, tlb_sse_event_fn *fn,
		  void *arg);

#endif
