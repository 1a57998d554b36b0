/* A request and its attempts at endpoints as the decisions see them, whatever protocol carries
 * them. */
#ifndef TLB_INBOUND_H
#define TLB_INBOUND_H

#include <stdbool.h>
#include <stdint.h>

#include "clock.h"
#include "table.h"

enum {
	TLB_ATTEMPT_ID_LEN = 80,
	TLB_HANDLE_LEN = 80,
	TLB_EVENT_ID_LEN = 32,
};

/* What a caller's request states. A value type. */
struct tlb_inbound {
	char host[128];
	char attempt_id[TLB_ATTEMPT_ID_LEN]; /* the caller's; "" when it states none */
	tlb_time deadline;		     /* TLB_NEVER when the caller states none */
	bool states_tokens;
	int64_t prompt_tokens;
	int64_t max_output_tokens;
	int64_t expected_output_tokens;	      /* the caller's estimate, often far off; 0 for none */
	char last_event_id[TLB_EVENT_ID_LEN]; /* the stream is to go on behind it; "" for none */
};

/* What an attempt asks of an endpoint. */
enum tlb_attempt_kind {
	TLB_ATTEMPT_CALL,    /* run it and answer */
	TLB_ATTEMPT_PREFILL, /* compute the KV cache of the prompt, run nothing */
	TLB_ATTEMPT_DECODE,  /* take over a KV cache and generate */
};

/* One attempt. Strings are borrowed. */
struct tlb_outbound {
	enum tlb_attempt_kind kind;
	const char *instance; /* the only one that may take it */
	const char *account;  /* "" on a route open to all */
	tlb_time deadline;    /* the endpoint stops work then */
	int urgency;	      /* 0 first, 9 last; -1: the endpoint's default */
	const char *kv_addr;  /* TLB_ATTEMPT_DECODE: where the KV cache lies */
	const char *kv_handle;
	const char *hold;	   /* reservation at the decode endpoint; "" for none */
	const char *last_event_id; /* "" for a stream from the start */
};

/* What the headers of an endpoint's response state. A value type. */
struct tlb_outcome_info {
	bool not_run; /* the endpoint proves that the request did not run */
	bool vouched; /* carries the endpoint's signature */
	char attempt_id[TLB_ATTEMPT_ID_LEN];
};

/* What an endpoint reports of its load, some hundred ms old; memory in tokens. */
struct tlb_load_report {
	int running;
	int waiting;
	int64_t kv_used; /* by requests and reservations */
	int64_t kv_total;
};

#endif
