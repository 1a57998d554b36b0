/*
 * Requests that are forwarded to endpoints unchanged: routing, authentication by key, quotas,
 * deadlines, and plain calls with their retries. Module generation handles model requests after
 * admission.
 */
#ifndef TLB_FORWARD_H
#define TLB_FORWARD_H

#include <apr_ring.h>

#include "listener.h"
#include "http.h"
#include "request_info.h"
#include "instance.h"
#include "queue.h"
#include "quota_owner.h"
#include "retry.h"
#include "decode_reservation.h"
#include "routing.h"
#include "zone_choice.h"

struct tlb_edge_board;

/* The final answer is sent this long before the caller's deadline, so that it arrives in time. */
#define TLB_FORWARD_DEADLINE_MARGIN (25 * TLB_MS)
/* Timeout for connecting to an endpoint; nothing has been sent then, so that a retry is safe.
 * Endpoints accept within some milliseconds; a lost packet is retransmitted after 200 ms. */
#define TLB_FORWARD_CONNECT_TIMEOUT (300 * TLB_MS)
/* A request whose time to its deadline is below this share of the longest one seen counts as a
 * retry by the caller. Callers' time budgets vary by less than the difference, and a caller that
 * was refused with a retry-after time has used up more. */
#define TLB_FORWARD_FIRST_TRY_SHARE 0.8
/* Maximum attempts for one request, including refused ones. A stream needs at least two: one
 * prefill and one decode. */
enum { TLB_FORWARD_MAX_ATTEMPTS = 3, TLB_FORWARD_STREAM_MAX_ATTEMPTS = 6 };

enum tlb_forward_step {
	TLB_FORWARD_ADMITTING,	 /* acquiring the cost from the account's quota */
	TLB_FORWARD_CALLING,	 /* a plain call is in progress */
	TLB_FORWARD_BACKING_OFF, /* backoff before another attempt */
	TLB_FORWARD_QUEUED,	 /* in the queue of its service */
	TLB_FORWARD_RESERVING,	 /* acquiring a decode reservation */
	TLB_FORWARD_PREFILLING,
	TLB_FORWARD_DECODING, /* a stream is in progress */
};

/* How an attempt ended. */
enum tlb_attempt_result {
	TLB_ATTEMPT_ANSWERED,  /* complete response with the endpoint's signature */
	TLB_ATTEMPT_NOT_RUN,   /* the response proves that it did not run, or nothing was sent */
	TLB_ATTEMPT_UNKNOWN,   /* no valid response; it may have run */
	TLB_ATTEMPT_TIMED_OUT, /* no response before the attempt's deadline; it may have run */
};

/* The state of a model request in addition to that of a plain call. */
struct tlb_generation {
	struct tlb_queue_item item; /* entry in the queue of its service */
	struct tlb_generation_queue *service_queue;
	bool in_window;		/* occupies a slot of the pool's window */
	int64_t prefill_tokens; /* counted in prefill_in_flight of the prefilling instance */
	tlb_time dispatched_at; /* when the prefill was started */
	struct tlb_decode_reservation decode_reservation; /* reservation at the decode endpoint */
	struct tlb_instance *kv_source; /* instance that holds the KV cache; a reference, or NULL */
	char kv_handle[TLB_HANDLE_LEN]; /* identifies the KV cache at source; "" when there is none
					 */
	tlb_time kv_deadline;		/* the KV cache is not used after this */
	struct tlb_buffer partial;	/* received bytes of an incomplete event */
	struct tlb_buffer last_event_id; /* id of the last event sent to the caller */
	tlb_time event_deadline;	 /* the endpoint counts as silent from then on */
	int events;			 /* new events received, from all attempts */
	int events_before_attempt;
	bool begun_soundly;    /* some attempt got beyond the beginning of the answer */
	bool streaming;	       /* the response to the caller has begun */
	bool head_verified;    /* of the attempt in progress */
	bool resuming;	       /* the attempt in progress goes on with a response that has begun */
	bool empty_rest;       /* an endpoint that resumed the stream had no event left */
	bool resumed_in_place; /* was resumed at the endpoint that interrupted it */
};

/* One request in flight. Owned by struct tlb_forwards. */
struct tlb_forward {
	APR_RING_ENTRY(tlb_forward) link;
	struct tlb_edge_board *board;
	struct tlb_exchange *exchange;
	struct tlb_routing *routing; /* a reference */
	const struct tlb_forward_route *route;
	const struct tlb_client_account *account; /* NULL on a route open to all */
	const struct tlb_service_info *info;	  /* NULL when the configuration has none */
	char service[TLB_LABEL_LEN];
	struct tlb_inbound inbound;
	enum tlb_forward_step step;
	tlb_time deadline; /* of the final answer */
	int64_t cost;	   /* granted by the quota */
	struct tlb_quota_acquisition acquisition;
	bool stays;	   /* the first attempt of a plain call is made in this VM's zone */
	int attempts;	   /* attempts, including those that were refused */
	int possible_runs; /* attempts that may have run */
	bool unsent;	   /* nothing of the last attempt was sent: it has reached no endpoint */
	struct tlb_tried_instances tried;
	struct tlb_instance
		*instance;   /* instance of the attempt in progress; a reference, or NULL */
	tlb_time attempt_at; /* when the attempt was sent */
	struct tlb_http_call call;
	struct tlb_timer timer; /* deadline while the cost is acquired, end of a backoff, next check
				   of a slow call, or time limit for the next event */
	struct tlb_generation gen;
};

APR_RING_HEAD(tlb_forward_ring, tlb_forward);

/* What this VM keeps for one service: its retry budget, and what its requests and calls have shown.
 */
struct tlb_forward_service {
	APR_RING_ENTRY(tlb_forward_service) link;
	char service[TLB_LABEL_LEN];
	struct tlb_retry_budget retry;
	struct tlb_zone_choice zones;
	tlb_time max_time_budget; /* longest time from the arrival of a request to its deadline */
};

APR_RING_HEAD(tlb_forward_service_ring, tlb_forward_service);

/* Owned by struct tlb_edge_board; owns requests and services. */
struct tlb_forwards {
	struct tlb_edge_board *board;
	struct tlb_forward_ring requests;
	struct tlb_forward_service_ring services;
	int count;
};

void tlb_forwards_init(struct tlb_forwards *s, struct tlb_edge_board *b);
/* Ends with an error every request in flight whose response has not begun. */
void tlb_forwards_fail_unanswered(struct tlb_forwards *s);
/* Ends every request in flight without an answer and frees the services. */
void tlb_forwards_finish(struct tlb_forwards *s);

/* Handles a request from the callers' listener; arg is the struct tlb_edge_board. */
void tlb_forward_accept(void *arg, struct tlb_exchange *x);

/* --- used by module generation only --- */

/* Starts an attempt at an instance and sets f->instance. */
void tlb_forward_send(struct tlb_forward *f, struct tlb_instance *i, const struct tlb_outbound *o,
		      tlb_time deadline, tlb_http_data_fn *on_data, tlb_http_done_fn *on_done);
/* Records what the head of the response, as far as it has arrived, says about f->instance. */
void tlb_forward_read_notice(struct tlb_forward *f);
/* Whether the response states no id of a request, or that of this one. */
bool tlb_forward_owns_response(const struct tlb_forward *f, const struct tlb_response_info *info);
/* Classifies the result of an attempt, records it in the health of the instance, and releases
 * f->instance. */
enum tlb_attempt_result tlb_forward_record_result(struct tlb_forward *f,
						  const struct tlb_http_result *r);
/* Whether the request has had fewer attempts than the maximum. */
bool tlb_forward_attempts_left(const struct tlb_forward *f);
/* Whether the retry budget of the service allows a retry. */
bool tlb_forward_retry_affordable(struct tlb_forward *f);
/* Whether a retry is allowed after an attempt that ended like this; charges the retry budget,
 * unless that attempt has reached no endpoint. */
bool tlb_forward_may_retry(struct tlb_forward *f, enum tlb_attempt_result end);
/* Forwards the endpoint's complete response to the caller and ends the request. */
void tlb_forward_answer(struct tlb_forward *f, const struct tlb_http_result *r);
/* Ends the request with an error of the router that states that it has not run. Not to be used when
 * an attempt may have run. */
void tlb_forward_refuse(struct tlb_forward *f, enum tlb_code code, int retry_after_ms,
			const char *reason);
/* Ends a request whose deadline has passed before an attempt: with 408 when it has not run. */
void tlb_forward_expire(struct tlb_forward *f);
/* Ends a request whose attempts failed. When one may have run: 504 after the deadline, else 502.
 * When none has: refused as overloaded. */
void tlb_forward_fail(struct tlb_forward *f, const char *reason);
/* Logs the outcome, releases everything that the request holds, and frees it. Sends nothing: the
 * calling function answers the exchange, unless the caller has disconnected. */
void tlb_forward_end(struct tlb_forward *f, const char *outcome, int status);
/* The number of endpoints at which the request may have run. */
int tlb_forward_endpoints_used(const struct tlb_forward *f);
/* Whether the request may run more than once: an idempotent call or a resumable stream. */
bool tlb_forward_repeatable(const struct tlb_forward *f);
/* Parameters for endpoint selection: service, instances already tried, current time. */
struct tlb_instance_query tlb_forward_instance_query(const struct tlb_forward *f);
/* Retry-after time for the caller in ms: from base_wait to twice that, by random jitter, but at
 * most a third of the time left before its deadline. */
int tlb_forward_retry_after_ms(const struct tlb_forward *f, tlb_time base_wait);
/* The same for a request that no endpoint takes. When all of the service have asked for a pause, it
 * is the time until the first takes requests again. */
int tlb_forward_unserved_retry_after_ms(const struct tlb_forward *f, tlb_time base_wait);

#endif
