/*
 * Discrete-event simulation of eight routers in front of prefill and decode engines. Admission,
 * queueing, booking and endpoint selection call the daemon's own pure functions. The engines behave
 * as docs/design.md, section 1.3, describes and in no other way: serial prefill, continuous
 * batching in limited memory, eviction of prefill results that are not imported in time, links of
 * limited rate, delayed load reports, and cache events that are delayed or lost.
 */
#ifndef BENCH_MODEL_H
#define BENCH_MODEL_H

#include "selection.h"

enum { ROUTERS = 8, MAX_ENGINES = 16, MAX_ACCOUNTS = 5, MAX_PREFIXES = 64 };

/* Current size of a deployment (docs/design.md, section 1.4). */
struct deployment {
	const char *name;
	int zones;
	int prefill;		    /* number of prefill engines */
	int decode;		    /* number of decode engines */
	double share[MAX_ACCOUNTS]; /* of the load and of the paid rate; sums to 1 */
};

/* Order in which batch streams are preempted. */
enum victims { VICTIMS_LEAST_WASTE, VICTIMS_LATEST_DEADLINE, VICTIMS_LARGEST, VICTIMS_NEWEST };

/* Settings of one measured policy: endpoint selection, admission, preemption and load reports. */
struct policy_config {
	const char *name;
	enum tlb_policy policy;
	bool booked;		   /* fair queue; decode memory is booked before the prefill */
	int max_requests;	   /* concurrent bookings per endpoint; 0: limited by memory only */
	int batch_reserve;	   /* KV blocks that batch requests must leave free */
	tlb_time interactive_wait; /* maximum wait for tokens and a decode booking */
	tlb_time batch_slack; /* batch requests become urgent this long before their deadline */
	int claim_pieces; /* requests of at least this many blocks claim freed memory; 0: none */
	tlb_time claim_after;	/* minimum wait before a request claims */
	double standby_share;	/* of rate and burst, delegated to the standby of the shard */
	tlb_time preempt_after; /* minimum wait before an interactive request preempts batch work */
	int preempt_cost;	/* bookings to be granted per preemption; 0: no preemption */
	bool preempt_urgent;	/* urgent batch requests can be preempted as well */
	enum victims victims;
	double early; /* refuse if the expected TTFT exceeds the target by this factor; 0: never */
	tlb_time report_period; /* interval of load reports per engine */
	tlb_time report_age;	/* maximum age of a load report when it is sent */
};

enum fault {
	FAULT_NONE,
	FAULT_DECODE_LOST,
	FAULT_ROUTER_LOST,
	FAULT_ZONE_LOST,
	FAULT_LEAVING,
	FAULT_SLOW_PREFILL, /* one engine at 1 / SLOW_FACTOR of its speed */
	FAULT_SLOW_DECODE,
	FAULT_JOINING /* one engine of each role becomes active */
};

struct scenario {
	const char *name;
	double base;	     /* interactive load before and after the peak, of capacity */
	double peak;	     /* interactive load at the peak */
	double batch;	     /* batch load until the end of the peak, of capacity */
	int greedy;	     /* account that sends five times its paid rate, or -1 */
	bool few_large;	     /* three accounts send all but 3% of the load */
	enum fault fault;    /* occurs in the middle of the peak */
	double link_factor;  /* of the nominal link rate */
	tlb_time report_lag; /* delivery delay of load reports */
	double event_loss;   /* fraction of cache events lost, for each router */
	double prefix_share; /* fraction of prompts that begin with a shared prefix */
	int prefixes;	     /* number of distinct shared prefixes */
	int prefix_tokens;   /* length of each */
};

/* Results of one run. Shares are fractions from 0 to 1. */
struct measures {
	double offered;	   /* interactive requests per second */
	double goodput;	   /* interactive requests per second that meet both targets */
	double good_share; /* goodput over offered */
	double ttft_share; /* interactive requests that meet the first-token target */
	double gap_share;  /* completed requests that meet the inter-token target */
	double wasted;	   /* share of the computed prompt tokens whose result went unused, or that
			      repeat a prefill */
	double worst;	   /* lowest ratio of tokens served to fair share among the accounts */
	double wrongful;   /* refused share of the requests of accounts within rate and burst */
	double broken; /* share lost with a router or engine, or timed out before the first token */
	double queue_ms[2][2]; /* by class: median and 95th percentile of the wait for a booking */
	double batch_done;     /* share of batch requests completed by their deadline */
	double memory;	       /* mean share of decode memory in use during the peak */
	double missed_transfers; /* share of KV transfers that did not end before the eviction */
	double ejections;	 /* count, over all routers */
	double ttft_p95_ms;
	double preempted; /* count of preempted batch streams */
	int requests;
};

/* Input of one simulation; the pointers are borrowed. */
struct run {
	const struct deployment *deployment;
	const struct scenario *scenario;
	const struct policy_config *policy;
	uint64_t seed;
	double load_factor; /* multiplies the load of the scenario */
};

/* Simulates 120 s and measures the requests that arrive between 10 s and 110 s. Returns 0, or -1 if
 * memory allocation fails. */
int model_run(const struct run *r, struct measures *out);

#endif
