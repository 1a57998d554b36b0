/* Value types for a caller's request, its attempts at endpoints and their responses, independent of
 * the platform's protocol. Module platform translates to and from headers. */
#ifndef TLB_REQUEST_INFO_H
#define TLB_REQUEST_INFO_H

#include <stdbool.h>
#include <stdint.h>

#include "clock.h"
#include "label.h"
#include "table.h"

enum {
	TLB_HANDLE_LEN = 256,
	TLB_EVENT_ID_MAX = 4096,    /* bytes of an event's id */
	TLB_SHARED_PARTS_MAX = 256, /* the last ones of a prompt are read */
};

/* Parameters of a caller's request. A value type; the strings are borrowed from its exchange. */
struct tlb_inbound {
	const char *host;
	const char *attempt_id;		   /* chosen by the caller; "" for none */
	char attempt_label[TLB_LABEL_LEN]; /* of attempt_id, for the log */
	tlb_time deadline;		   /* TLB_NEVER for none */
	bool has_token_counts;		   /* prompt_tokens and max_output_tokens are set */
	int64_t prompt_tokens;
	int64_t max_output_tokens;
	int64_t expected_output_tokens; /* the caller's estimate, often far off; 0 for none */
	const char *last_event_id;	/* resume the stream after this event; "" for none */
	/* The parts of the prompt that other requests may share, in order: all but the last one. */
	uint64_t shared_parts[TLB_SHARED_PARTS_MAX];
	int shared_part_count;
	int ignored_part_count; /* before them */
	uint64_t own_part; /* id of the last part, the same when the caller retries; 0 for none */
};

/* The kind of work that an attempt requests from an endpoint. */
enum tlb_attempt_kind {
	TLB_ATTEMPT_CALL,    /* run the request and respond */
	TLB_ATTEMPT_PREFILL, /* compute the KV cache of the prompt, generate nothing */
	TLB_ATTEMPT_DECODE,  /* import a KV cache and generate */
};

/* Parameters of one attempt. Strings are borrowed. */
struct tlb_outbound {
	enum tlb_attempt_kind kind;
	const char *instance; /* id; any other instance at the address must refuse the request */
	const char *account;  /* "" on a route open to all */
	tlb_time deadline;    /* the endpoint stops working on the request then */
	int urgency;	      /* 0 most urgent, 9 least; -1: the endpoint's default */
	const char *kv_addr;  /* TLB_ATTEMPT_DECODE: address of the instance that holds it */
	const char *kv_handle;
	const char *reservation_id; /* id of the decode reservation; "" for none */
	const char *last_event_id;  /* "" for a stream from the start */
};

/* Contents of the headers of an endpoint's response. A value type; strings are borrowed from them.
 */
struct tlb_response_info {
	bool not_run;		/* the endpoint proves that the request did not run */
	bool has_signature;	/* the response carries the endpoint's signature */
	bool event_stream;	/* the body is an event stream without an encoding */
	bool leaving;		/* the endpoint is about to leave */
	int64_t retry_after_ms; /* a refusal: no requests are wanted for so long; 0: not stated */
	const char
		*attempt_id; /* of the request that it answers; not terminated, NULL: not stated */
	size_t attempt_id_len;
};

/* Load reported by an endpoint, some hundred ms old; memory in tokens. */
struct tlb_load_report {
	int running;
	int waiting;
	int64_t kv_used; /* by requests and reservations */
	int64_t kv_total;
};

#endif
