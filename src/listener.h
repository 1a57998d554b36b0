/*
 * HTTP listener, for callers and for other clients of the daemon. Receives each request completely,
 * passes it to a handler, and sends the response or the token stream. Runs on the event loop;
 * libmicrohttpd uses no thread of its own.
 */
#ifndef TLB_LISTENER_H
#define TLB_LISTENER_H

#include <apr_ring.h>
#include <microhttpd.h>
#include <stdbool.h>

#include "buffer.h"
#include "caller_conn.h"
#include "error.h"
#include "ident.h"
#include "keyscan.h"
#include "loop.h"
#include "memory.h"
#include "table.h"

enum {
	TLB_REQUEST_PREFIX_LEN = 20,
	TLB_IDEMPOTENCY_KEY_LEN = 160,
	TLB_LISTENER_HEADERS_MAX = 32768, /* bytes of a request's path, query and headers */
	/* Unread bytes of a stream above which a caller is treated as disconnected. */
	TLB_STREAM_BACKLOG_MAX = 1 << 20,
};

enum tlb_exchange_state {
	TLB_EXCHANGE_READING,	/* the request has not arrived completely */
	TLB_EXCHANGE_RUNNING,	/* the handler processes the request */
	TLB_EXCHANGE_REPLYING,	/* the response is queued; the handler is done with it */
	TLB_EXCHANGE_STREAMING, /* the handler appends to the response as it is produced */
};

/* Form of the request's API key. */
enum tlb_key_form {
	TLB_KEY_NONE,
	TLB_KEY_MALFORMED,
	TLB_KEY_UNUSUAL, /* not from TLB_KEY_MIN_BYTES to TLB_KEY_MAX_BYTES long; only hashed */
	TLB_KEY_PRESENT,
};

struct tlb_listener;
struct tlb_exchange;

/* Called once when the caller has disconnected before the response was complete. The exchange is
 * freed afterwards. */
typedef void tlb_exchange_disconnect_fn(void *arg);

/* One request and its response. Owned by the listener. */
struct tlb_exchange {
	APR_RING_ENTRY(tlb_exchange) link;
	struct tlb_listener *listener;
	struct MHD_Connection *conn;
	int fd;
	enum tlb_exchange_state state;
	bool suspended;
	bool disconnected;
	bool response_queued;
	bool close_connection; /* the connection is closed after the response */
	char id[TLB_REQUEST_ID_LEN];
	char *method;
	char *target;		  /* as the caller sent it */
	char *path;		  /* without the query */
	const char *query;	  /* in target, after "?"; "" when there is none */
	const char *content_type; /* borrowed from the headers; "" when absent */
	enum tlb_key_form key_form;
	unsigned char key_hash[TLB_KEY_HASH_LEN];
	char key[TLB_KEY_MAX_BYTES + 1]; /* API key of that form; wiped when the handler returns */
	char idempotency_key[TLB_IDEMPOTENCY_KEY_LEN];
	const char *header_error; /* why the headers are invalid; NULL when they are valid */
	bool headers_too_large;
	size_t head_memory; /* that the request's headers take of the connection's memory */
	struct tlb_memory_share memory; /* what the exchange holds */
	bool memory_refused;		/* the request does not fit into the memory */
	struct tlb_buffer body;
	bool body_too_large;
	tlb_time read_deadline; /* for the complete request */
	tlb_time arrived; /* when its bytes arrived, as far as this is known, else when it was read
			   */
	tlb_time arrived_after;	    /* before arrived when this is not known exactly */
	tlb_time caller_checked_at; /* by tlb_exchange_check_caller() */
	/* The response. */
	int status;
	char *reply;
	size_t reply_len;
	char *reply_type;
	int retry_after_ms;
	/* Header lines "Name: value\n" of a forwarded response; they replace Content-Type and
	 * X-Request-Id. */
	char *reply_head;
	/* The stream: the bytes of out from out_pos on have not been read by libmicrohttpd. */
	struct tlb_buffer out;
	size_t out_pos;
	bool out_done;
	bool out_aborted;
	/* Set by the handler. */
	tlb_exchange_disconnect_fn *on_disconnect;
	void *arg;
};

APR_RING_HEAD(tlb_exchange_ring, tlb_exchange);

/* Idle time-out of listeners that have no setting for it. */
enum { TLB_LISTENER_IDLE_MS = 30000 };

/* Handles a complete request. Must either set on_disconnect and arg, or send the response, before
 * it returns. */
typedef void tlb_listener_request_fn(void *arg, struct tlb_exchange *x);

struct tlb_listener_limits {
	struct tlb_memory *memory; /* for what requests and connections hold; NULL: not limited */
	size_t max_body_bytes;
	unsigned max_connections;
	int request_timeout_ms;
	int idle_timeout_ms; /* closes a connection without a request */
};

struct tlb_listener {
	struct tlb_loop *loop;
	struct MHD_Daemon *daemon;
	struct tlb_watch *watch;
	struct tlb_timer run_timer;
	struct tlb_timer sweep_timer;
	struct tlb_timer accept_timer; /* when stopping: the next check of the accept queue */
	struct tlb_exchange_ring exchanges;
	struct tlb_caller_conns conns;
	struct tlb_listener_limits limits;
	tlb_listener_request_fn *on_request;
	void *arg;
	char id_prefix[TLB_REQUEST_PREFIX_LEN];
	unsigned long long next_id;
	char addr[TLB_ADDR_LEN]; /* bound address, with the actual port */
	bool keepalive_disabled; /* every response closes its connection */
	int listen_fd;		 /* -1 when it is closed */
	bool arrivals_known;	 /* the system tells when bytes arrived */
	bool stopping;		 /* tlb_listener_stop_accepting() was called */
	bool finishing;		 /* further requests are refused as not run */
	int accepted_late;	 /* connections accepted when stopping */
};

/* Binds addr (host:port; port 0 selects a free one) and starts serving. id_prefix makes request ids
 * unique across VMs. Returns TLB_OK or an error that names the address. */
enum tlb_code tlb_listener_init(struct tlb_listener *f, struct tlb_loop *l, const char *addr,
				const char *id_prefix, const struct tlb_listener_limits *limits,
				tlb_listener_request_fn *on_request, void *arg,
				struct tlb_error *err);
/* Sends the responses that are complete, for a short time, aborts the remaining exchanges and
 * closes the listener. */
void tlb_listener_finish(struct tlb_listener *f);
/* Adds "Connection: close" to all further responses, so that callers reconnect to other VMs. */
void tlb_listener_disable_keepalive(struct tlb_listener *f);
/* Closes the connections that carry no request, but those on which one has begun to arrive; those
 * just accepted only when none follows soon. */
void tlb_listener_close_idle(struct tlb_listener *f);
/* Refuses new connections and closes idle ones. Connections that are established or in handshake
 * are still accepted and their requests served; then the socket is closed. */
void tlb_listener_stop_accepting(struct tlb_listener *f);
/* Whether, after tlb_listener_stop_accepting(), the socket and all connections are closed. */
bool tlb_listener_stopped(const struct tlb_listener *f);
/* Requests whose response has not been sent completely. */
size_t tlb_listener_in_flight(const struct tlb_listener *f);

/* Sends a complete response; takes ownership of the malloc'd body. */
void tlb_exchange_reply(struct tlb_exchange *x, int status, const char *content_type, char *body,
			size_t len);
/* Sends an error as JSON {"error":{"code","message","outcome","request_id"}}; 429 and 503
 * carry Retry-After (at least 1 s). */
void tlb_exchange_refuse(struct tlb_exchange *x, const struct tlb_error *err, int retry_after_s);
/* Like tlb_exchange_refuse() for a request that was not admitted; also logs event=refuse, the last
 * log line of the request. account is "" when it is not known. */
void tlb_exchange_refuse_unadmitted(struct tlb_exchange *x, const char *account,
				    const struct tlb_error *err);
/* Like tlb_exchange_refuse() with Retry-After in milliseconds, sent as seconds with a fraction. */
void tlb_exchange_refuse_ms(struct tlb_exchange *x, const struct tlb_error *err,
			    int retry_after_ms);
/* Takes the header lines "Name: value\n" of an endpoint's response (copied), which is forwarded
 * next. Returns false when they can't be sent: they share the connection's memory with those of the
 * request, and libmicrohttpd closes the connection without a response otherwise; or there is no
 * memory. */
bool tlb_exchange_set_head(struct tlb_exchange *x, const char *head);
/* Sends an endpoint's response: status and the malloc'd body, of which it takes ownership. */
void tlb_exchange_forward(struct tlb_exchange *x, int status, char *body, size_t len);
/* Starts a stream with an endpoint's status. */
void tlb_exchange_stream_forward(struct tlb_exchange *x, int status);
/* A header of the request, or NULL; valid until the exchange ends. */
const char *tlb_exchange_header(const struct tlb_exchange *x, const char *name);
/* Whether the caller has disconnected; on_disconnect is called when this shows here. The periodic
 * check notices it soon, so that this one costs system calls only after the loop was late, and once
 * for each poll. */
bool tlb_exchange_check_caller(struct tlb_exchange *x);
/* Calls fn for every header of the request. */
typedef void tlb_exchange_header_fn(void *arg, const char *name, const char *value);
void tlb_exchange_each_header(const struct tlb_exchange *x, tlb_exchange_header_fn *fn, void *arg);
/* Starts a server-sent event stream with status 200. */
void tlb_exchange_stream_begin(struct tlb_exchange *x);
/* Appends bytes to a buffer of the handler that holds them for this exchange. Returns false when
 * that would exceed max or the memory. */
bool tlb_exchange_hold(struct tlb_exchange *x, struct tlb_buffer *b, const char *data, size_t len,
		       size_t max);
/* Frees such a buffer. */
void tlb_exchange_drop(struct tlb_exchange *x, struct tlb_buffer *b);
/* Appends to the stream. Returns false when the backlog would exceed TLB_STREAM_BACKLOG_MAX, or
 * without memory. */
bool tlb_exchange_stream_write(struct tlb_exchange *x, const char *data, size_t len);
/* Bytes of the stream that libmicrohttpd has not read for sending. */
static inline size_t tlb_exchange_backlog(const struct tlb_exchange *x)
{
	return x->out.len - x->out_pos;
}
/* Ends the stream. With complete false the connection is closed without the last chunk, so that the
 * caller can't mistake the response for a complete one. */
void tlb_exchange_stream_end(struct tlb_exchange *x, bool complete);

#endif
