/*
 * Choice of the decode endpoint and of the prefill endpoint for one request. Pure functions over
 * arrays of candidates that the caller fills from the board; no allocation.
 *
 * Rule (policy "toucanlb"): leave out unusable, ejected and already tried candidates; draw two at
 * random, in proportion to their slow-start weight; take the cheaper by expected time.
 *   decode:  cost = share of memory in use after this request, plus penalties for another zone and
 *            for a slow engine. Candidates without room by own knowledge are left out first.
 *   prefill: cost = expected queue time + compute time of the tokens not cached + transfer time
 *            over the slower of the two links + zone penalty.
 * Reason: eight routers see the same old load report. If each took the best, all would take the
 * same; of two random ones, each takes the better, which spreads them and still avoids the worst.
 */
#ifndef TLB_PLACE_H
#define TLB_PLACE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "clock.h"
#include "queue.h"
#include "random.h"

enum tlb_policy { TLB_POLICY_TOUCANLB, TLB_POLICY_ROUND_ROBIN, TLB_POLICY_LEAST_LOAD };

/* What is known of one endpoint of either role. Strings are borrowed. */
struct tlb_candidate {
	const char *id;
	const char *zone;
	bool usable; /* active, reachable, serves the model, not leaving */
	bool tried;  /* refused this request already */
	int link_mbps;
	tlb_time reported_at;	/* when the last load report was made (arrival - age_ms); 0: none */
	tlb_time joined_at;	/* when it became active or recovered; 0: long ago */
	tlb_time ejected_until; /* from tlb_place_eject(); 0: not ejected */

	/* decode */
	int total_pieces;
	int free_pieces;       /* by the last report or by the book when this daemon owns it */
	bool exact;	       /* free_pieces comes from the book and counts everything */
	int own_pieces;	       /* booked by this daemon since the report */
	int running;	       /* requests, by the report */
	tlb_time token_gap_us; /* smoothed time between tokens seen by this daemon; 0: unknown */

	/* prefill */
	int64_t queued_tokens;	   /* prompt tokens waiting or running, by the report */
	int64_t own_tokens;	   /* dispatched by this daemon since the report */
	int64_t cached_tokens;	   /* expected prefix of this prompt in its cache */
	int64_t tokens_per_second; /* measured prefill speed; 0: unknown */
};

enum tlb_place_reason {
	TLB_PLACE_NONE,	      /* no usable candidate */
	TLB_PLACE_FULL,	      /* usable candidates, but none has room */
	TLB_PLACE_ONLY,	      /* one candidate was left */
	TLB_PLACE_BESIDE,     /* cheaper in the zone of the decode endpoint */
	TLB_PLACE_CACHED,     /* cheaper because of its cached prefix */
	TLB_PLACE_CHEAPER,    /* cheaper of two */
	TLB_PLACE_TURN,	      /* round robin */
	TLB_PLACE_LEAST,      /* least reported load */
	TLB_PLACE_ALL_EJECTED /* every candidate is ejected; ejection ignored */
};

/* One daemon's state for choosing; caller-owned, no pointers but zone (borrowed). */
struct tlb_place {
	enum tlb_policy policy;
	const char *zone; /* this daemon's */
	struct tlb_random random;
	unsigned int turn[2];	/* round robin, decode and prefill */
	int kv_bytes_per_token; /* init sets 64 KiB */
	tlb_time token_gap_target_us;
};

struct tlb_place_request {
	int64_t prompt_tokens;
	int pieces; /* decode memory needed */
	enum tlb_class class;
	tlb_time now;
};

/* What was decided and why, for the decision log line. */
struct tlb_placement {
	int chosen;  /* index into the candidates, or -1 */
	int other;   /* the runner-up that was weighed against it, or -1 */
	int weighed; /* candidates that were left after filtering */
	double cost; /* of the chosen; microseconds, or share of memory for decode */
	double other_cost;
	enum tlb_place_reason reason;
};

void tlb_place_init(struct tlb_place *p, enum tlb_policy policy, const char *zone, uint64_t seed);

/* "toucanlb", "round_robin", "least_load". Returns false for other names. */
bool tlb_policy_parse(const char *name, enum tlb_policy *policy);
const char *tlb_policy_name(enum tlb_policy policy);

struct tlb_placement tlb_place_decode(struct tlb_place *p, const struct tlb_place_request *r,
				      const struct tlb_candidate *c, int count);
/* decode is the chosen decode endpoint (its zone and link count), or NULL when not known. */
struct tlb_placement tlb_place_prefill(struct tlb_place *p, const struct tlb_place_request *r,
				       const struct tlb_candidate *decode,
				       const struct tlb_candidate *c, int count);

/* Expected time from dispatch until the KV cache is at the decode endpoint, in microseconds. */
tlb_time tlb_place_prefill_time(const struct tlb_place *p, const struct tlb_place_request *r,
				const struct tlb_candidate *decode, const struct tlb_candidate *c);

/* Outcome statistics of one endpoint, kept by each daemon. Caller-owned, zero-initialised. */
struct tlb_health {
	int failures;	   /* in a row */
	double latency_us; /* smoothed */
	int ejections;	   /* in a row; lengthens the next one */
	tlb_time ejected_until;
	tlb_time joined_at; /* end of the last ejection, for the slow start */
};

/* Records one outcome; latency_us is the time from dispatch to answer (scaled per token by the
 * caller if sizes differ). Returns true when this outcome ejects the endpoint. median_us is the
 * median of the pool's smoothed latencies, 0 when unknown. */
bool tlb_place_eject(struct tlb_health *h, bool ok, tlb_time latency_us, tlb_time median_us,
		     tlb_time now);

/* The median of the known (positive) smoothed latencies of a pool; 0 with fewer than three, among
 * which a slow one can't be told from a fast one. Reorders the array. */
tlb_time tlb_place_median(double *latency_us, int count);

const char *tlb_place_reason_name(enum tlb_place_reason reason);
/* Writes "chosen=d1 other=d3 weighed=6 cost=0.45 other_cost=0.60 reason=cheaper". */
void tlb_place_describe(const struct tlb_placement *pl, const struct tlb_candidate *c, char *buf,
			size_t len);

#endif
