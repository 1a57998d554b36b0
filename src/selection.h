/*
 * Selects the decode endpoint and the prefill endpoint of one request. Pure functions over arrays
 * of candidates that the caller fills from the board; no allocation.
 *
 * Policy "toucanlb" (power of two choices): filters out unusable, ejected and already tried
 * candidates, samples two of the rest at random, weighted by slow start, and selects the one with
 * the lower cost.
 *   decode:  cost = fraction of KV blocks in use after this request, plus penalties for another
 *            zone and for a slow engine. Candidates without enough free KV blocks, as far as this
 *            daemon can tell, are filtered out first.
 *   prefill: cost = expected queue time + compute time of the uncached tokens + transfer time over
 *            the slower of the two links + zone penalty. The candidate with the longest cached
 *            prefix or, if nothing is cached, the best one in the zone of the decode endpoint is
 *            compared with the two random ones.
 * Reason: eight routers act on the same stale load report. If each selected the best candidate, all
 * would select the same one. The better of two random candidates distributes the requests and still
 * avoids the worst endpoint.
 */
#ifndef TLB_SELECTION_H
#define TLB_SELECTION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "clock.h"
#include "queue.h"
#include "random.h"

enum tlb_policy { TLB_POLICY_TOUCANLB, TLB_POLICY_ROUND_ROBIN, TLB_POLICY_LEAST_LOAD };

/* State of one endpoint of either role. Strings are borrowed. */
struct tlb_candidate {
	const char *id;
	const char *zone;
	bool usable; /* active, reachable, serves the model, not leaving */
	bool tried;  /* has already refused this request */
	int link_mbps;
	tlb_time reported_at;	/* time of the last load report (arrival - age_ms); 0: none */
	tlb_time slow_start_at; /* became active or recovered; 0: slow start is over */
	tlb_time ejected_until; /* from tlb_health_record_outcome(); 0: not ejected */

	/* decode */
	int total_blocks;
	int free_blocks;       /* from the last report, or from the booking table if owned here */
	bool free_exact;       /* free_blocks comes from the booking table and is current */
	int local_blocks;      /* booked by this daemon since the last report */
	int running;	       /* requests running, from the last report */
	tlb_time token_gap_us; /* smoothed inter-token latency seen by this daemon; 0: unknown */

	/* prefill */
	int64_t queued_tokens;	   /* prompt tokens waiting or running, from the report */
	int64_t local_tokens;	   /* dispatched by this daemon since the last report */
	int64_t cached_tokens;	   /* expected length of the cached prefix of this prompt */
	int64_t tokens_per_second; /* measured prefill speed; 0: unknown */
};

enum tlb_selection_reason {
	TLB_SELECT_NONE_USABLE,	   /* no usable candidate */
	TLB_SELECT_NO_CAPACITY,	   /* usable candidates, but none has free capacity */
	TLB_SELECT_ONLY_CANDIDATE, /* one candidate was left after filtering */
	TLB_SELECT_SAME_ZONE,	   /* lower cost in the zone of the decode endpoint */
	TLB_SELECT_CACHED_PREFIX,  /* lower cost because of its cached prefix */
	TLB_SELECT_LOWER_COST,	   /* lower cost of two sampled candidates */
	TLB_SELECT_ROUND_ROBIN,	   /* round robin */
	TLB_SELECT_LEAST_LOAD,	   /* least reported load */
	TLB_SELECT_ALL_EJECTED	   /* every candidate is ejected; ejections are ignored */
};

/* Selection state of one daemon. Caller-owned; its only pointer, zone, is borrowed. */
struct tlb_selector {
	enum tlb_policy policy;
	const char *zone; /* zone of this daemon */
	struct tlb_random random;
	unsigned int round_robin[2]; /* round-robin positions for decode and prefill */
	int kv_bytes_per_token;	     /* set to 64 KiB by tlb_selector_init() */
	tlb_time token_gap_target_us;
};

struct tlb_selection_input {
	int64_t prompt_tokens;
	int blocks; /* KV blocks needed at the decode endpoint */
	enum tlb_class class;
	tlb_time now;
};

/* Result of a selection and its reason, for the decision log line. */
struct tlb_selection {
	int selected;  /* index into the candidates, or -1 */
	int runner_up; /* index of the runner-up, or -1 */
	int eligible;  /* number of candidates left after filtering */
	double cost;   /* of the selected one: microseconds, or fraction of KV blocks for decode */
	double runner_up_cost;
	enum tlb_selection_reason reason;
};

void tlb_selector_init(struct tlb_selector *p, enum tlb_policy policy, const char *zone,
		       uint64_t seed);

/* Accepts "toucanlb", "round_robin" and "least_load". Returns false for other names. */
bool tlb_policy_parse(const char *name, enum tlb_policy *policy);
const char *tlb_policy_name(enum tlb_policy policy);

struct tlb_selection tlb_select_decode(struct tlb_selector *p, const struct tlb_selection_input *r,
				       const struct tlb_candidate *c, int count);
/* decode is the selected decode endpoint, of which zone and link_mbps are used, or NULL if it is
 * not known. */
struct tlb_selection tlb_select_prefill(struct tlb_selector *p, const struct tlb_selection_input *r,
					const struct tlb_candidate *decode,
					const struct tlb_candidate *c, int count);

/* Expected time in microseconds from dispatch until the decode endpoint has the KV cache. */
tlb_time tlb_select_prefill_time(const struct tlb_selector *p, const struct tlb_selection_input *r,
				 const struct tlb_candidate *decode, const struct tlb_candidate *c);

/* Outcome statistics of one endpoint for outlier ejection, kept by each daemon. Caller-owned,
 * zero-initialised. */
struct tlb_health {
	int failures;	   /* consecutive */
	double latency_us; /* exponential moving average; 0: unknown */
	int ejections;	   /* consecutive; each one doubles the duration of the next */
	tlb_time ejected_until;
	tlb_time slow_start_at; /* end of the last ejection, where the slow start begins */
};

/* Records the outcome of one request; returns true if it ejects the endpoint. latency_us is the
 * time from dispatch to response, scaled per token by the caller if request sizes differ.
 * median_us is the median of the pool's smoothed latencies, 0 if unknown. */
bool tlb_health_record_outcome(struct tlb_health *h, bool ok, tlb_time latency_us,
			       tlb_time median_us, tlb_time now);

/* Returns the median of the known (positive) smoothed latencies of a pool, or 0 if there are fewer
 * than three: an outlier can't be identified among two. Reorders the array. */
tlb_time tlb_health_median_latency(double *latency_us, int count);

const char *tlb_selection_reason_name(enum tlb_selection_reason reason);
/* Writes "chosen=d1 other=d3 weighed=6 cost=0.45 other_cost=0.60 reason=cheaper" to buf. */
void tlb_selection_describe(const struct tlb_selection *pl, const struct tlb_candidate *c,
			    char *buf, size_t len);

#endif
