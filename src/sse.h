/* Incremental parser of server-sent events, limited to the subset that engines use: "data:" lines
 * up to an empty line. Other fields are ignored. */
#ifndef TLB_SSE_H
#define TLB_SSE_H

#include <stdbool.h>
#include <stddef.h>

#include "buffer.h"

enum { TLB_SSE_EVENT_MAX = 65536 }; /* limit for the data of one event and for one line, in bytes */

/* Receives the data of one event, NUL-terminated. Returns false to stop parsing. */
typedef bool tlb_sse_event_fn(void *arg, const char *data, size_t len);

/* Parser state. Caller-owned, zero-initialised; owns its buffers. */
struct tlb_sse {
	struct tlb_buffer line;
	struct tlb_buffer data;
};

void tlb_sse_finish(struct tlb_sse *s);
/* Parses bytes and calls fn for each complete event. Returns false when fn returned false, an event
 * or line is too large, or memory is out. */
bool tlb_sse_feed(struct tlb_sse *s, const char *bytes, size_t len, tlb_sse_event_fn *fn,
		  void *arg);

#endif
