/* Errors: code, outcome, step, peer and message of a failure, and their form in HTTP responses. */
#ifndef TLB_ERROR_H
#define TLB_ERROR_H

/* Error codes; callers see the names that tlb_error_name() returns. */
enum tlb_code {
	TLB_OK = 0,
	TLB_BAD_REQUEST,
	TLB_TOO_LARGE,
	TLB_HEADERS_TOO_LARGE,
	TLB_TARGET_TOO_LARGE,
	TLB_METHOD_NOT_ALLOWED,
	TLB_NOT_FOUND,
	TLB_UNKNOWN_MODEL,
	TLB_MISSING_KEY,
	TLB_INVALID_KEY,
	TLB_FORBIDDEN,
	TLB_RATE_LIMITED,
	TLB_OVERLOADED,
	TLB_QUARANTINED,
	TLB_EXPIRED,
	TLB_NO_ENDPOINT,
	TLB_ENDPOINT_FAILED,
	TLB_IN_PROGRESS,
	TLB_BODY_MISMATCH,
	TLB_RESPONSE_NOT_KEPT,
	TLB_CONFLICT,
	TLB_STORE_UNAVAILABLE,
	TLB_NOT_READY,
	TLB_DRAINING,
	TLB_TIMEOUT,
	TLB_CANCELLED,
	TLB_INTERNAL,
	TLB_CODE_COUNT
};

/* Whether a failed request may have had an effect. */
enum tlb_outcome {
	TLB_OUTCOME_NOT_RUN, /* no byte of the request reached an endpoint, or the endpoint proved
				it */
	TLB_OUTCOME_UNKNOWN, /* the request may have run */
};

enum { TLB_PEER_LEN = 64, TLB_STEP_LEN = 24, TLB_MESSAGE_LEN = 200 };

/* A value type: no ownership, copied by assignment. */
struct tlb_error {
	enum tlb_code code;
	enum tlb_outcome outcome;
	char step[TLB_STEP_LEN]; /* "parse", "reserve", "prefill", "import", "decode", ... */
	char peer[TLB_PEER_LEN]; /* endpoint id, VM id or host:port; "" when there is none */
	char message[TLB_MESSAGE_LEN];
};

/* Fills *err (may be NULL) and returns code, so that callers can return tlb_error_set(...). */
enum tlb_code tlb_error_set(struct tlb_error *err, enum tlb_code code, enum tlb_outcome outcome,
			    const char *step, const char *peer, const char *fmt, ...)
	__attribute__((format(printf, 6, 7)));

/* The name of a code, for example "rate_limited"; part of the API, so it must not change. */
const char *tlb_error_name(enum tlb_code code);

/* The name of an outcome: "not_run" or "unknown". */
const char *tlb_outcome_name(enum tlb_outcome outcome);

/* The HTTP status that carries a code to a caller. */
int tlb_error_http_status(enum tlb_code code);

#endif
