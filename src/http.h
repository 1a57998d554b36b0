/*
 * HTTP client for the daemon: outgoing calls on the event loop, through libcurl's multi-socket
 * interface.
 *
 * A call is owned by its user and embedded in the user's struct. Callbacks run from the event loop,
 * never from within tlb_http_start(). After on_done, or after tlb_http_cancel(), no callback runs.
 */
#ifndef TLB_HTTP_H
#define TLB_HTTP_H

#include <curl/curl.h>
#include <stdbool.h>

#include "buffer.h"
#include "error.h"
#include "loop.h"

/* Totals over the calls that got a response or failed; bytes include the HTTP headers. */
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
	size_t body_bytes; /* collected response bodies of all calls */
};

struct tlb_http_call;

/* The result of a call. status is 0 without a complete response. sent is set when a byte of the
 * request may have reached the peer. */
struct tlb_http_result {
	int status;
	bool sent;
	bool timed_out;
	bool refused;	     /* no connection could be opened, and not for lack of time */
	bool broken_off;     /* the peer closed or reset the connection before the response's end */
	bool ended_by_close; /* has neither a length nor chunks: the closed connection ended it */
	const char *head;    /* header lines "Name: value\n" if the call keeps them; else "" */
	const char *body;    /* complete body, NUL-terminated; "" when on_data received it */
	size_t body_len;
	const char *content_type; /* "" when absent */
	char reason[120];	  /* why there is no complete response; "" when there is one */
};

/* Receives body bytes as they arrive, after a 2xx status only; tlb_http_head() returns the headers.
 * Returns false to stop the call, which then reports a failure through on_done. */
typedef bool tlb_http_data_fn(void *arg, const char *data, size_t len);
typedef void tlb_http_done_fn(void *arg, const struct tlb_http_result *result);

struct tlb_http_spec {
	const char *method; /* "GET", "POST", ... */
	const char *url;    /* absolute */
	const char *body;   /* copied; NULL for none */
	size_t body_len;
	const char *content_type;    /* NULL for "application/json" when there is a body */
	const char *idempotency_key; /* sent as that header; NULL for none */
	/* All request headers, replacing the standard ones (NULL). tlb_http_start() takes
	 * ownership. Also makes the call keep the response headers. */
	struct curl_slist *headers;
	bool keep_head;		   /* keep the response headers without own request headers too */
	const char *target;	   /* request target, sent without change; NULL: from url */
	tlb_time connect_deadline; /* for establishing the connection; 0: same as deadline */
	tlb_time deadline;	   /* for the complete call; TLB_NEVER for none */
	/* Uses a new connection, which is closed after the call. Then libcurl can't resend the
	 * request, and a late or duplicate response to another request can't be mistaken for the
	 * response to this one. */
	bool dedicated_connection;
	tlb_http_data_fn *on_data; /* NULL: the body is collected for on_done */
	tlb_http_done_fn *on_done;
	void *arg;
};

/* Zero-initialised when idle. */
struct tlb_http_call {
	struct tlb_http *http;
	bool active;
	CURL *easy; /* NULL when idle, or without memory */
	struct curl_slist *headers;
	struct tlb_timer deadline_timer;
	struct tlb_timer start_timer; /* armed when the transfer has to be added later */
	struct tlb_http_spec spec;
	struct tlb_buffer head;
	struct tlb_buffer body;
	bool keep_head;
	bool timed_out;
	bool too_large;
	long long content_length; /* of the response; -1 until the header is received */
	bool conflicting_lengths; /* the response has two different Content-Length headers */
	bool chunked;
	bool head_complete; /* of the final response */
};

/* Largest collected response body and header lines in bytes; a larger response fails the call. When
 * the bodies of all calls together exceed TLB_HTTP_BODIES_MAX, a call fails whose body is larger
 * than TLB_HTTP_SMALL_BODY: endpoints that send bytes without end must not use up the memory of a
 * small VM, nor make the answers of sound ones fail. */
enum {
	TLB_HTTP_BODY_MAX = 8 << 20,
	TLB_HTTP_BODIES_MAX = 16 << 20,
	TLB_HTTP_SMALL_BODY = 128 << 10,
	TLB_HTTP_HEAD_MAX = 65536
};

/* Returns 0, or -1 when libcurl can't be initialised. */
int tlb_http_init(struct tlb_http *h, struct tlb_loop *l);
void tlb_http_finish(struct tlb_http *h);

/* Starts a call; may be called from on_data of another call. The strings of spec are copied. A call
 * for which there is no memory ends through on_done as well. */
void tlb_http_start(struct tlb_http *h, struct tlb_http_call *c, const struct tlb_http_spec *spec);
/* Aborts a call without calling on_done and closes its connection; no effect when idle. */
void tlb_http_cancel(struct tlb_http_call *c);
/* Ends the call as when its deadline has passed; calls on_done. */
void tlb_http_time_out(struct tlb_http_call *c);
/* The response header lines received so far by a call that keeps them, else ""; valid until
 * control returns to the event loop. */
const char *tlb_http_head(const struct tlb_http_call *c);
/* The response status, or 0 before it is received. */
int tlb_http_status(const struct tlb_http_call *c);
static inline bool tlb_http_active(const struct tlb_http_call *c)
{
	return c->active;
}

#endif
