/* Latency histograms of a daemon, exposed at GET /metrics with the counters (counter.h). */
#ifndef TLB_LATENCY_H
#define TLB_LATENCY_H

#include <stddef.h>
#include <stdint.h>

#include "clock.h"

/* X(identifier, exposed name, help) */
#define TLB_LATENCIES(X)                                                                           \
	X(CALL, "toucanlb_call_seconds", "From a request to its whole answer, plain calls")        \
	X(FIRST_EVENT, "toucanlb_first_event_seconds",                                             \
	  "From a request to the first event of its stream")                                       \
	X(QUEUE, "toucanlb_queue_seconds", "Wait of model requests before their prefill")          \
	X(PREFILL, "toucanlb_prefill_seconds", "From dispatch to the end of a prefill")

enum tlb_latency {
#define X(id, name, help) TLB_LATENCY_##id,
	TLB_LATENCIES(X)
#undef X
		TLB_LATENCY_COUNT
};

enum { TLB_LATENCY_BUCKETS = 12 };

/* Owned by the board; zero-initialised. */
struct tlb_latencies {
	struct {
		int64_t bucket[TLB_LATENCY_BUCKETS +
			       1]; /* the last one counts values above all bounds */
		int64_t count;
		tlb_time sum;
	} histogram[TLB_LATENCY_COUNT];
};

void tlb_latency_record(struct tlb_latencies *l, enum tlb_latency id, tlb_time took);
/* Renders all histograms as exposition text. Returns malloc'd memory, or NULL if out of memory. */
char *tlb_latency_render(const struct tlb_latencies *l, size_t *len);

#endif
