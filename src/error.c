#include "error.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

static const struct {
	const char *name;
	int status;
} codes[TLB_CODE_COUNT] = {
	[TLB_OK] = {"ok", 200},
	[TLB_BAD_REQUEST] = {"bad_request", 400},
	[TLB_TOO_LARGE] = {"too_large", 413},
	[TLB_HEADERS_TOO_LARGE] = {"too_large", 431},
	[TLB_TARGET_TOO_LARGE] = {"too_large", 414},
	[TLB_METHOD_NOT_ALLOWED] = {"method_not_allowed", 405},
	[TLB_NOT_FOUND] = {"not_found", 404},
	[TLB_UNKNOWN_MODEL] = {"unknown_model", 404},
	[TLB_MISSING_KEY] = {"missing_key", 401},
	[TLB_INVALID_KEY] = {"invalid_key", 401},
	[TLB_FORBIDDEN] = {"forbidden", 403},
	[TLB_RATE_LIMITED] = {"rate_limited", 429},
	[TLB_OVERLOADED] = {"overloaded", 503},
	[TLB_QUARANTINED] = {"prompt_quarantined", 503},
	[TLB_EXPIRED] = {"expired", 408},
	[TLB_NO_ENDPOINT] = {"no_endpoint", 503},
	[TLB_ENDPOINT_FAILED] = {"endpoint_failed", 502},
	[TLB_IN_PROGRESS] = {"in_progress", 409},
	[TLB_BODY_MISMATCH] = {"body_mismatch", 422},
	[TLB_RESPONSE_NOT_KEPT] = {"response_not_kept", 409},
	[TLB_CONFLICT] = {"conflict", 409},
	[TLB_STORE_UNAVAILABLE] = {"store_unavailable", 503},
	[TLB_NOT_READY] = {"not_ready", 503},
	[TLB_DRAINING] = {"draining", 503},
	[TLB_TIMEOUT] = {"timeout", 504},
	[TLB_CANCELLED] = {"cancelled", 499},
	[TLB_INTERNAL] = {"internal", 500},
};

enum tlb_code tlb_error_set(struct tlb_error *err, enum tlb_code code, enum tlb_outcome outcome,
			    const char *step, const char *peer, const char *fmt, ...)
{
	va_list ap;

	if (!err)
		return code;
	err->code = code;
	err->outcome = outcome;
	snprintf(err->step, sizeof(err->step), "%s", step ? step : "");
	snprintf(err->peer, sizeof(err->peer), "%s", peer ? peer : "");
	va_start(ap, fmt);
	vsnprintf(err->message, sizeof(err->message), fmt, ap);
	va_end(ap);
	return code;
}

const char *tlb_error_name(enum tlb_code code)
{
	return (unsigned)code < TLB_CODE_COUNT ? codes[code].name : "internal";
}

const char *tlb_outcome_name(enum tlb_outcome outcome)
{
	return outcome == TLB_OUTCOME_NOT_RUN ? "not_run" : "unknown";
}

int tlb_error_http_status(enum tlb_code code)
{
	return (unsigned)code < TLB_CODE_COUNT ? codes[code].status : 500;
}
