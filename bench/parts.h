/*
 * The parts of the model (model.h): constants, state and what the files in bench/ use of each
 * other.
 */
#ifndef BENCH_PARTS_H
#define BENCH_PARTS_H

#include <apr_ring.h>
#include <stdio.h>

#include "booking_table.h"
#include "bucket.h"
#include "model.h"

/* Load: long prompts, short outputs. Lognormal with a mean of 4,000 and of 100 tokens. */
#define PROMPT_MEDIAN 2900.0
#define PROMPT_SIGMA 0.8
#define OUTPUT_MEDIAN 88.0
#define OUTPUT_SIGMA 0.5
enum {
	PROMPT_MEAN = 4000,
	PROMPT_MIN = 50,
	PROMPT_MAX = 24000,
	OUTPUT_MEAN = 100,
	OUTPUT_MIN = 5,
	MAX_OUTPUT = 256,
	PIECE_TOKENS = 2000,
};

/* Engines: a decode engine's memory holds about 20 requests, and 20 running requests stay just
 * below the target between tokens. A mean prefill (133 ms) costs as much engine time as 66 output
 * tokens (40 ms / 20 each). */
enum {
	DECODE_PIECES = 56,
	DECODE_REQUESTS = 20,
	PREFILL_SPEED = 30000, /* tokens per second */
	LINK_MBPS = 40000,
	KV_BYTES = 65536, /* per token */
	CACHE_SLOTS = 24, /* prefixes a prefill engine keeps */
};
#define GAP_BASE (20.0 * TLB_MS)
#define GAP_PER_REQUEST (1.0 * TLB_MS)
#define EVICT_AFTER (800 * TLB_MS)

#define HOP TLB_MS /* one way between VMs */
#define EVENT_LAG (300 * TLB_MS)
#define HELD_PERIOD (2 * TLB_SECOND)
#define HELD_GRACE (2 * TLB_SECOND)
#define BOOKING_LIFE (5 * TLB_SECOND)
/* Lease, margin and one round of fencing. */
#define TAKEOVER (6 * TLB_SECOND + 100 * TLB_MS)
/* Engine and router deaths are seen by the balancer and by health checks. */
#define DEAD_AFTER (1750 * TLB_MS)
#define SILENCE (2 * TLB_SECOND)
#define LEAVE_KNOWN (1 * TLB_SECOND)

#define TTFT_TARGET (1200 * TLB_MS)
#define GAP_TARGET (43 * TLB_MS)
#define CALLER_PATIENCE (10 * TLB_SECOND)
#define BATCH_DEADLINE (60 * TLB_SECOND)
#define CANCEL_SHARE 0.01

/* Deadline of a message to another daemon. */
#define SILENT_PEER (100 * TLB_MS)
#define RETRY_QUEUE (20 * TLB_MS)
#define CLAIM_LIFE (500 * TLB_MS)
#define PREEMPT_RETRY (100 * TLB_MS)
#define RETRY_TOKENS (50 * TLB_MS)
#define RETRY_IMPORT (20 * TLB_MS)

#define DURATION (120 * TLB_SECOND)
#define PEAK_START (30 * TLB_SECOND)
#define PEAK_END (90 * TLB_SECOND)
#define FAULT_AT (60 * TLB_SECOND)
#define WARM (10 * TLB_SECOND)

/* Paid rates add up to more than the engines sustain, because accounts don't peak together. */
#define RATE_FACTOR 1.3
#define BURST_SECONDS 30

enum { MAX_JOBS = 40000, SENT_SLOTS = 64, PREEMPTIONS_MAX = 2, SLOW_FACTOR = 5 };

enum stage {
	STAGE_TOKENS,
	STAGE_QUEUED,
	STAGE_BOOKING,
	STAGE_PREFILL_WAIT,
	STAGE_PREFILL,
	STAGE_IMPORT, /* result waits at the prefill engine, or moves */
	STAGE_DECODE,
	STAGE_ENDED,
};

enum end { END_NONE, END_DONE, END_REFUSED, END_CANCELLED, END_BROKEN };

/* One request. Owned by the model; in at most one engine list. */
struct job {
	struct tlb_queue_item item; /* first, so that an item is its job */
	struct tlb_booking booking;
	APR_RING_ENTRY(job) link;
	unsigned int gen; /* events of an earlier generation are void */
	enum stage stage;
	enum end end;
	enum tlb_class class;
	int account;
	int router;
	int prefill;
	int decode; /* engine index, -1: none */
	bool booked;
	tlb_time claim_from;   /* may claim from then on */
	tlb_time preempt_from; /* may preempt batch work from then on */
	bool preempts;	       /* books with preemption */
	int preemptions;       /* how often it gave way */
	bool claims;	       /* too large for what is free: waits at one endpoint for pieces */
	bool has_tokens;
	int part;	  /* that granted the tokens, or is asked for them */
	bool within_rate; /* the reference bucket grants it */
	bool conforming;  /* and has granted all of the account's for BURST_SECONDS */
	bool in_engine;
	bool holds_pieces; /* counted in the decode engine's memory */
	bool tried[MAX_ENGINES];
	int prefix; /* -1: none */
	int64_t prompt;
	int64_t computed; /* tokens of the prefill whose result is not yet used */
	int out;
	int tokens_done; /* before a resume */
	double v_start;
	double v_end;
	tlb_time arrived;
	tlb_time deadline;
	tlb_time place_at;
	tlb_time prefill_at; /* sent to the prefill engine */
	tlb_time stream_at;
	tlb_time evict_at;
	tlb_time first_token;
	tlb_time ended_at;
};

APR_RING_HEAD(job_ring, job);

struct engine {
	char id[16];
	const char *zone;
	int zone_no;
	bool decode;
	bool alive;
	bool leaving;
	bool absent; /* has not joined yet */
	double slow; /* how many times slower than nominal */
	tlb_time link_free;
	/* prefill */
	struct job_ring waiting[TLB_CLASS_COUNT];
	struct job *running;
	tlb_time running_until;
	int64_t waiting_tokens;
	int cache[CACHE_SLOTS]; /* prefixes, the latest used first; -1: none */
	/* decode */
	struct job_ring streams;
	int stream_count;
	int used_pieces;
	double v; /* tokens that each stream has got since the start */
	tlb_time v_at;
	unsigned int gen;
	struct tlb_booking_table book;
	struct tlb_orphan strays[TLB_BOOKING_MAX_ORPHANS];
	int owner;
	tlb_time owner_ready;
};

/* What one router believes of one engine. */
struct view {
	bool leaving;
	tlb_time token_gap_us;
	int free_pieces;
	int running;
	int64_t queued_tokens;
	tlb_time reported_at;
	struct {
		tlb_time at;
		int64_t amount;
	} sent[SENT_SLOTS];
	int next;
	bool cached[MAX_PREFIXES];
	struct tlb_health health;
};

struct router {
	int zone_no;
	bool alive;
	bool retry_set;
	/* No endpoint took a request of that many pieces: none as large is tried until then. */
	tlb_time hold_until[TLB_CLASS_COUNT];
	int hold_pieces[TLB_CLASS_COUNT];
	struct tlb_selector place;
	struct tlb_queue queue;
	struct tlb_flow flows[MAX_ACCOUNTS];
	struct view views[MAX_ENGINES];
};

/* A part of an account's rate and burst that one daemon grants from. */
struct part {
	struct tlb_bucket bucket;
	int owner;
	tlb_time owner_ready;
};

struct account {
	struct part parts[2];	     /* the shard's owner's, and its standby's */
	struct tlb_bucket reference; /* charged with what is used, at arrival */
	tlb_time exceeded_at;	     /* the account last sent more than rate and burst */
	double demand;
	double got;
};

struct model {
	const struct run *run;
	struct event **events; /* a binary heap, the earliest first */
	int event_count;
	int event_room;
	uint64_t seq;
	tlb_time now;
	struct tlb_random random;
	struct tlb_random load; /* arrivals: the same for every policy */
	struct engine engines[MAX_ENGINES];
	int engine_count;
	struct router routers[ROUTERS];
	struct account accounts[MAX_ACCOUNTS];
	struct job *jobs;
	int job_count;
	double capacity; /* requests per second */
	double computed_tokens;
	double wasted_tokens;
	double memory_sum;
	int memory_count;
	int transfers;
	int missed;
	int preempted;
	int ejections;
};

struct event;
typedef void event_fn(struct model *m, const struct event *e);

struct event {
	tlb_time at;
	uint64_t seq;
	event_fn *fn;
	struct job *job; /* NULL: not about a job */
	unsigned int gen;
	int engine;
	int a;
	int b;
	int64_t c;
	tlb_time made;
};

/* event.c: the event queue of the model, and random draws */
struct event *model_pop_event(struct model *m);
struct event *model_post(struct model *m, tlb_time at, event_fn *fn, struct job *j);
int64_t model_lognormal(struct tlb_random *r, double median, double sigma, int least, int most);

/* view.c: what one router believes of the engines, and its choices among them */
void model_note_sent(struct view *v, tlb_time at, int64_t amount);
int model_true_pieces(const struct job *j);
int model_candidates(const struct model *m, const struct router *r, const struct job *j,
		     bool decode, struct tlb_candidate *c, int *index);
int model_choose_decode(struct model *m, const struct job *j);
int model_choose_prefill(struct model *m, const struct job *j);
void model_note_outcome(struct model *m, int router, int engine, tlb_time took, int64_t tokens);
void model_note_stream(struct model *m, const struct job *j);

/* engine.c: prefill and decode engines and the transfers between them */
void model_advance(const struct model *m, struct engine *e);
void model_plan_streams(struct model *m, struct engine *e);
void model_free_pieces(struct model *m, struct job *j);
void model_leave_streams(struct model *m, struct job *j);
void model_start_prefill(struct model *m, struct job *j);
void model_redo_prefill(struct model *m, struct job *j);
void model_on_import(struct model *m, const struct event *ev);

/* admit.c: a request at its router: tokens, queue, booking, end */
void model_release_booking(struct model *m, struct job *j);
void model_end_job(struct model *m, struct job *j, enum end end);
void model_cancel_at_engine(struct model *m, struct engine *e, const char *request_id);
void model_expire_bookings(struct model *m, struct engine *e);
void model_wake(struct model *m, struct router *r, tlb_time at);
void model_start_booking(struct model *m, struct job *j);
void model_on_reserve(struct model *m, const struct event *e);

/* caller.c: arrivals, cancels and deadlines */
void model_plan_arrival(struct model *m, enum tlb_class class, int account);

/* fault.c: load reports, reconciliation with the engines, and faults */
void model_on_report(struct model *m, const struct event *e);
void model_on_reconcile(struct model *m, const struct event *e);
void model_on_fault(struct model *m, const struct event *e);

/* measure.c: measures of a run that has ended */
void model_measure(struct model *m, struct measures *out, double *v);

#endif
