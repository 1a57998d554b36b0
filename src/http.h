/*
 * Outgoing HTTP calls on the loop, through libcurl's multi-socket interface.
 *
 * A call is owned by its user and embedded in the user's struct. Callbacks run from the loop, never
 * from within tlb_http_start(). After on_done, or after tlb_http_cancel(), no callback runs.
 */
#ifndef TLB_HTTP_H
#define TLB_HTTP_H

#include <curl/curl.h>
#include <stdbool.h>

#include "buffer.h"
#include "error.h"
#include "loop.h"

/* What the calls that have ended cost; bytes of HTTP, headers included. */
struct tlb_http_totals {
	int64_t calls;
	int64_t connects;
	int64_t bytes_in;
	int64_t bytes_out;
};

enum { TLB_HTTP_IDLE_HANDLES = 64 };

struct tlb_http {
	struct tlb_loop *loop;
	CURLM *multi;
	CURL *idle[TLB_HTTP_IDLE_HANDLES]; /* handles kept for reuse */
	int idle_count;
	struct tlb_timer timer;
	struct tlb_http_totals totals;
};

struct tlb_http_call;

/* The result of a call. status is 0 when no response came. sent tells whether any byte of the
 * request can have reached the peer. */
struct tlb_http_result {
	int status;
	bool sent;
	bool timed_out;
	const char *head; /* header lines "Name: value\n" of a call with own headers; else "" */
	const char *body; /* the whole body, NUL-terminated; "" when on_data takes it */
	size_t body_len;
	const char *content_type; /* "" when absent */
	char reason[120];	  /* what failed below HTTP, "" on success */
};

/* Takes body bytes as they come (after a 2xx status only; tlb_http_head() has its headers). Returns
 * false to end the call, which then reports a failure through on_done. */
typedef bool tlb_http_data_fn(void *arg, const char *data, size_t len);
typedef void tlb_http_done_fn(void *arg, const struct tlb_http_result *result);

struct tlb_http_spec {
	const char *method; /* "GET", "POST", ... */
	const char *url;    /* absolute */
	const char *body;   /* copied; NULL for none */
	size_t body_len;
	const char *content_type;    /* NULL for "application/json" when there is a body */
	const char *idempotency_key; /* sent as that header; NULL for none */
	/* The whole set of headers, taken over, also when the call fails to start; the response's
	 * headers are then kept, too. NULL for the standard set. */
	struct curl_slist *headers;
	const char *target; /* request target as it stands in the request line; NULL: from url */
	tlb_time connect_deadline; /* for the connection to stand; 0 for deadline */
	tlb_time deadline;	   /* for the whole call; TLB_NEVER for none */
	/* Uses a connection of its own, so that libcurl can't resend the request and no late or
	 * doubled response of another request can be taken for this one's. */
	bool own_connection;
	tlb_http_data_fn *on_data; /* NULL: the body is collected */
	tlb_http_done_fn *on_done;
	void *arg;
};

/* Zero-initialised when idle. */
struct tlb_http_call {
	struct tlb_http *http;
	CURL *easy;
	struct curl_slist *headers;
	struct tlb_timer deadline_timer;
	struct tlb_timer start_timer; /* set while the transfer could not be added at once */
	struct tlb_http_spec spec;
	struct tlb_buffer head;
	struct tlb_buffer body;
	bool own_headers;
	bool timed_out;
	bool too_large;
	long long content_length; /* of the response; -1 before the header came */
	bool ambiguous;		  /* two different lengths */
};

/* Largest collected response body in bytes; longer ones fail the call. */
enum { TLB_HTTP_BODY_MAX = 8 << 20, TLB_HTTP_HEAD_MAX = 65536 };

int tlb_http_init(struct tlb_http *h, struct tlb_loop *l);
void tlb_http_finish(struct tlb_http *h);

/* Starts a call; also from within on_data of another one. Returns TLB_OK, or TLB_INTERNAL without
 * memory. */
enum tlb_code tlb_http_start(struct tlb_http *h, struct tlb_http_call *c,
			     const struct tlb_http_spec *spec, struct tlb_error *err);
/* Ends a call without on_done and closes its connection; harmless when idle. */
void tlb_http_cancel(struct tlb_http_call *c);
/* The header lines that have come so far of a call with own headers; valid until the next round. */
const char *tlb_http_head(const struct tlb_http_call *c);
/* The status that has come so far, or 0. */
int tlb_http_status(const struct tlb_http_call *c);
static inline bool tlb_http_active(const struct tlb_http_call *c)
{
	return c->easy != NULL;
}

#endif
