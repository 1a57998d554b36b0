/*
 * Internal header of the simulation (model.h): its constants, its state and the functions shared
 * between its source files.
 */
#ifndef BENCH_PARTS_H
#define BENCH_PARTS_H

#include <apr_ring.h>
#include <stdio.h>

#include "booking_table.h"
#include "bucket.h"
#include "model.h"

/* Load: long prompts and short outputs, both lognormal, with means of 4,000 and 100 tokens. */
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
	BLOCK_TOKENS = 2000,
};

/* Engines: the memory of a decode engine holds about 20 requests, and 20 concurrent streams just
 * meet the inter-token target. A mean prefill (133 ms) uses as much engine time as 66 output tokens
 * (40 ms / 20 each). */
enum {
	DECODE_BLOCKS = 56,
	DECODE_REQUESTS = 20,
	PREFILL_SPEED = 30000, /* tokens per second */
	LINK_MBPS = 40000,
	KV_BYTES = 65536, /* per token */
	CACHE_SLOTS = 24, /* prefixes in the cache of a prefill engine */
};
#define TOKEN_GAP_BASE (20.0 * TLB_MS)
#define TOKEN_GAP_PER_STREAM (1.0 * TLB_MS)
/* A prefill result that has not been imported by then is evicted. */
#define EVICT_TIMEOUT (800 * TLB_MS)

#define HOP_DELAY TLB_MS /* one-way network delay between VMs */
#define CACHE_EVENT_DELAY (300 * TLB_MS)
#define RECONCILE_PERIOD (2 * TLB_SECOND)
#define RECONCILE_GRACE (2 * TLB_SECOND)
/* Remaining life of the bookings of a dead router. */
#define BOOKING_TTL (5 * TLB_SECOND)
/* Until a new owner replaces a dead one: lease, safety margin and one round of fencing. */
#define TAKEOVER_TIME (6 * TLB_SECOND + 100 * TLB_MS)
/* Time in which health checks detect a dead engine: routers stop using one without a load report
 * for this long plus the report delay. */
#define FAILURE_DETECTION_TIME (1750 * TLB_MS)
/* Until a router treats a stream without tokens as lost. */
#define STREAM_TIMEOUT (2 * TLB_SECOND)
/* Until all routers have the state "leaving" of an engine. */
#define LEAVE_PROPAGATION_TIME (1 * TLB_SECOND)

#define TTFT_TARGET (1200 * TLB_MS)
#define TOKEN_GAP_TARGET (43 * TLB_MS)
#define CALLER_TIMEOUT (10 * TLB_SECOND)
#define BATCH_DEADLINE (60 * TLB_SECOND)
#define CANCEL_SHARE 0.01 /* of the interactive requests, cancelled by the caller */

/* Deadline of a request to another daemon. */
#define PEER_TIMEOUT (100 * TLB_MS)
#define QUEUE_RETRY_DELAY (20 * TLB_MS)
#define CLAIM_TTL (500 * TLB_MS)
#define PREEMPT_RETRY_DELAY (100 * TLB_MS)
#define TOKENS_RETRY_DELAY (50 * TLB_MS)
#define IMPORT_RETRY_DELAY (20 * TLB_MS)

#define DURATION (120 * TLB_SECOND)
#define PEAK_START (30 * TLB_SECOND)
#define PEAK_END (90 * TLB_SECOND)
#define FAULT_AT (60 * TLB_SECOND)
#define WARM_UP (10 * TLB_SECOND)

/* Paid rates sum to more than the capacity of the engines, as accounts peak at different times. */
#define RATE_FACTOR 1.3
#define BURST_SECONDS 30 /* burst of an account, in seconds of its rate */

enum { MAX_JOBS = 40000, SENT_SLOTS = 64, MAX_PREEMPTIONS = 2, SLOW_FACTOR = 5 };

enum stage {
	STAGE_TOKENS, /* waits for tokens of the account's bucket */
	STAGE_QUEUED,
	STAGE_BOOKING,
	STAGE_PREFILL_WAIT,
	STAGE_PREFILL,
	STAGE_IMPORT, /* KV data waits at the prefill engine or is in transfer */
	STAGE_DECODE,
	STAGE_ENDED,
};

/* Outcome of a request. END_BROKEN: lost with a router or engine, or timed out. */
enum end { END_NONE, END_DONE, END_REFUSED, END_CANCELLED, END_BROKEN };

/* One request. Owned by the model; linked in at most one list of an engine. */
struct job {
	struct tlb_queue_item item; /* must be the first member: a queue item is cast to its job */
	struct tlb_booking booking;
	APR_RING_ENTRY(job) link;
	unsigned int gen; /* events scheduled under an earlier generation are ignored */
	enum stage stage;
	enum end end;
	enum tlb_class class;
	int account;
	int router;
	int prefill; /* engine index */
	int decode;  /* engine index, -1: none */
	bool booked;
	tlb_time claim_from;   /* earliest time of a claim */
	tlb_time preempt_from; /* earliest time of a preemption of batch work */
	bool preempts;	       /* the booking may preempt batch work */
	int preemptions;       /* times that this request was preempted */
	bool claims; /* waits at one endpoint for blocks to be freed, as too few are free */
	bool has_tokens;
	int allowance;	  /* index of the allowance that granted the tokens or is asked for them */
	bool within_rate; /* granted by the reference bucket */
	bool conforming;  /* the account has had no refusal there for BURST_SECONDS */
	bool in_engine;
	bool holds_blocks; /* counted in used_blocks of the decode engine */
	bool tried[MAX_ENGINES];
	int prefix;	    /* -1: none */
	int64_t prompt;	    /* tokens */
	int64_t computed;   /* tokens of a prefill whose result has not been used yet */
	int output;	    /* tokens */
	int tokens_done;    /* output tokens generated before the stream was interrupted */
	double vtime_start; /* vtime of the decode engine at the start of the stream */
	double vtime_end;
	tlb_time arrived;
	tlb_time deadline;
	tlb_time admitted_at; /* first booking granted, or admitted without booking; 0: not yet */
	tlb_time prefill_at;  /* sent to the prefill engine */
	tlb_time stream_at;   /* start of the stream */
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
	bool absent;	    /* FAULT_JOINING: not active yet */
	double slow;	    /* slowdown factor; 1 is nominal */
	tlb_time link_free; /* end of the last transfer on the network link */
	/* prefill */
	struct job_ring waiting[TLB_CLASS_COUNT];
	struct job *running;
	tlb_time running_until;
	int64_t waiting_tokens;
	int cache[CACHE_SLOTS]; /* prefixes in LRU order, most recently used first; -1: none */
	/* decode */
	struct job_ring streams;
	int stream_count;
	int used_blocks;
	double vtime; /* virtual time: output tokens of a stream running since the start */
	tlb_time vtime_at;
	unsigned int gen;
	struct tlb_booking_table book;
	struct tlb_orphan strays[TLB_BOOKING_MAX_ORPHANS];
	int owner;	      /* router that keeps the booking table */
	tlb_time owner_ready; /* the owner answers from then on */
};

/* The state of one engine as one router has it, which may be outdated. */
struct view {
	bool leaving;
	tlb_time token_gap_us;
	int free_blocks;
	int running;
	int64_t queued_tokens;
	tlb_time reported_at;
	struct {
		tlb_time at;
		int64_t amount;
	} sent[SENT_SLOTS]; /* own work sent to the engine: blocks (decode) or tokens (prefill) */
	int next_sent;
	bool cached[MAX_PREFIXES];
	struct tlb_health health;
};

struct router {
	int zone_no;
	bool alive;
	bool dispatch_scheduled;
	/* No endpoint granted a booking of hold_blocks: requests of at least that size stay queued
	 * until hold_until. */
	tlb_time hold_until[TLB_CLASS_COUNT];
	int hold_blocks[TLB_CLASS_COUNT];
	struct tlb_selector place;
	struct tlb_queue queue;
	struct tlb_flow flows[MAX_ACCOUNTS];
	struct view views[MAX_ENGINES];
};

/* The share of an account's rate and burst that one daemon grants from. */
struct allowance {
	struct tlb_bucket bucket;
	int owner;	      /* router */
	tlb_time owner_ready; /* the owner answers from then on */
};

struct account {
	struct allowance allowances[2]; /* of the shard's owner and of its standby */
	struct tlb_bucket
		reference; /* undivided; charged at arrival with the tokens that the request uses */
	tlb_time exceeded_at; /* last arrival that the reference bucket refused */
	double demand_tokens; /* of the requests within rate and burst */
	double served_tokens;
};

struct model {
	const struct run *run;
	struct event **events; /* binary min-heap by time, then by seq */
	int event_count;
	int event_capacity;
	uint64_t seq;
	tlb_time now;
	struct tlb_random random;
	struct tlb_random load; /* for arrivals only, so that they are the same for every policy */
	struct engine engines[MAX_ENGINES];
	int engine_count;
	struct router routers[ROUTERS];
	struct account accounts[MAX_ACCOUNTS];
	struct job *jobs;
	int job_count;
	double capacity; /* requests per second */
	double computed_tokens;
	double wasted_tokens;
	double memory_sum; /* of memory_count samples of the used share of an engine's memory */
	int memory_count;
	int transfers;
	int missed_transfers;
	int preempted;
	int ejections;
};

struct event;
typedef void event_fn(struct model *m, const struct event *e);

struct event {
	tlb_time at;
	uint64_t seq;
	event_fn *fn;
	struct job *job;  /* NULL: concerns no job */
	unsigned int gen; /* of the job, or of the engine's streams; UINT32_MAX: always valid */
	int engine;
	int a; /* a, b, c: arguments whose meaning depends on fn */
	int b;
	int64_t c;
	tlb_time created_at; /* of a load report */
};

/* event.c: event queue and random numbers */

/* The caller frees the event; NULL: none left. */
struct event *model_pop_event(struct model *m);
/* Schedules fn, at the current time if at has passed. The queue owns the event; the caller may set
 * its arguments. */
struct event *model_schedule(struct model *m, tlb_time at, event_fn *fn, struct job *j);
int64_t model_lognormal(struct tlb_random *r, double median, double sigma, int min, int max);

/* view.c: view that a router has of the engines, and endpoint selection */
void model_record_sent(struct view *v, tlb_time at, int64_t amount);
int model_blocks_needed(const struct job *j);
int model_candidates(const struct model *m, const struct router *r, const struct job *j,
		     bool decode, struct tlb_candidate *c, int *index);
int model_select_decode(struct model *m, const struct job *j);
int model_select_prefill(struct model *m, const struct job *j);
void model_record_outcome(struct model *m, int router, int engine, tlb_time took, int64_t tokens);
void model_record_stream(struct model *m, const struct job *j);

/* engine.c: prefill and decode engines and the KV transfers between them */
void model_advance_streams(const struct model *m, struct engine *e);
void model_schedule_stream_end(struct model *m, struct engine *e);
void model_free_blocks(struct model *m, struct job *j);
void model_remove_stream(struct model *m, struct job *j);
void model_start_prefill(struct model *m, struct job *j);
void model_restart_prefill(struct model *m, struct job *j);
void model_on_import(struct model *m, const struct event *ev);

/* admit.c: admission of a request by its router: tokens, queue, booking, release */
void model_release_booking(struct model *m, struct job *j);
void model_end_job(struct model *m, struct job *j, enum end end);
void model_cancel_at_engine(struct model *m, struct engine *e, const char *request_id);
void model_expire_bookings(struct model *m, struct engine *e);
void model_schedule_dispatch(struct model *m, struct router *r, tlb_time at);
void model_start_booking(struct model *m, struct job *j);
void model_on_reserve(struct model *m, const struct event *e);

/* caller.c: arrivals, cancellations and deadlines of requests */
void model_schedule_arrival(struct model *m, enum tlb_class class, int account);

/* fault.c: load reports, reconciliation of bookings with the engines, and faults */
void model_on_report(struct model *m, const struct event *e);
void model_on_reconcile(struct model *m, const struct event *e);
void model_on_fault(struct model *m, const struct event *e);

/* measure.c: results of a completed run; v is scratch space for MAX_JOBS values */
void model_measure(struct model *m, struct measures *out, double *v);

#endif
