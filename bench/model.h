/*
 * A small discrete-event model of eight routers in front of prefill and decode engines, which
 * calls the same pure functions as the daemon does. It models what docs/design.md, section 1.3,
 * says of the engines and nothing else: serial prefill, continuous batching in limited memory,
 * eviction of results that are not imported, links of limited rate, lagging load reports, cache
 * events that come late and with gaps.
 */
#ifndef BENCH_MODEL_H
#define BENCH_MODEL_H

#include "selection.h"

enum { ROUTERS = 8, MAX_ENGINES = 16, MAX_ACCOUNTS = 5, MAX_PREFIXES = 64 };

/* Sizes of today (docs/design.md, section 1.4). */
struct deployment {
	const char *name;
	int zones;
	int prefill;
	int decode;
	double share[MAX_ACCOUNTS]; /* of the load and of the paid rate; sums to 1 */
};

/* Which batch streams give way first. */
enum victims { VICTIMS_LEAST_WASTE, VICTIMS_LATEST_DEADLINE, VICTIMS_LARGEST, VICTIMS_NEWEST };

/* How requests pass through a router. */
struct flow {
	const char *name;
	enum tlb_policy policy;
	bool booked;	   /* decode memory is booked before the prefill, with a fair queue */
	int max_requests;  /* bookings of an endpoint at once; 0: as many as memory holds */
	int batch_reserve; /* pieces that batch work leaves free */
	tlb_time interactive_wait; /* longest wait for tokens and a place */
	tlb_time batch_slack;	/* batch requests become urgent this long before their deadline */
	int claim_pieces;	/* requests from this size on claim what comes free; 0: none */
	tlb_time claim_after;	/* they have waited this long */
	double standby_share;	/* of rate and burst that the standby of the shard grants from */
	tlb_time preempt_after; /* interactive requests preempt batch work after this wait */
	int preempt_cost;	/* granted bookings that pay for one preemption; 0: none */
	bool preempt_urgent;	/* urgent batch requests give way, too */
	enum victims victims;
	double early;		/* refuse when the target is missed by this factor; 0: never */
	tlb_time report_period; /* a router gets a load report of each engine this often */
	tlb_time report_age;	/* it is up to this old when it is sent */
};

enum fault {
	FAULT_NONE,
	FAULT_DECODE_LOST,
	FAULT_ROUTER_LOST,
	FAULT_ZONE_LOST,
	FAULT_LEAVING,
	FAULT_SLOW_PREFILL, /* one engine at a fifth of its speed */
	FAULT_SLOW_DECODE,
	FAULT_JOINING /* one engine of each role becomes active */
};

struct scenario {
	const char *name;
	double base;	    /* interactive load before and after the peak, of capacity */
	double peak;	    /* interactive load at the peak */
	double batch;	    /* batch load until the end of the peak, of capacity */
	int greedy;	    /* account that sends five times its rate, or -1 */
	bool few_large;	    /* three accounts send all but 3% of the load */
	enum fault fault;   /* in the middle of the peak */
	double link_factor; /* of the nominal link rate */
	tlb_time report_lag;
	double event_loss;   /* share of the cache events that get lost */
	double prefix_share; /* share of the prompts that begin with a shared prefix */
	int prefixes;
	int prefix_tokens;
};

struct measures {
	double offered;	   /* interactive requests per second */
	double goodput;	   /* interactive requests per second that meet both targets */
	double good_share; /* of the interactive requests */
	double ttft_share; /* share that meets the first-token target */
	double gap_share;  /* share of the completed that meets the target between tokens */
	double wasted;	   /* share of the prompt tokens computed */
	double worst;	   /* share got over share due of the worst-served account */
	double wrongful;   /* refused, share of the requests of accounts within rate and burst */
	double broken;	   /* lost with a router or engine, or given up by the caller */
	double queue_ms[2][2];	 /* by class: median and 95th percentile until a place is booked */
	double batch_done;	 /* batch jobs done by their deadline, share */
	double memory;		 /* decode memory in use at the peak, share */
	double missed_transfers; /* share of the transfers */
	double ejections;	 /* by all routers */
	double ttft_p95_ms;
	double preempted; /* batch streams that gave way */
	int requests;
};

struct run {
	const struct deployment *deployment;
	const struct scenario *scenario;
	const struct flow *flow;
	uint64_t seed;
	double load_factor; /* multiplies the load; 1 is the scenario's own */
};

/* Simulates 120 s and measures the requests that arrive in 10..110 s. Returns 0, or -1 without
 * memory. */
int model_run(const struct run *r, struct measures *out);

#endif
