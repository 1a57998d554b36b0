/*
 * HTTP/1 listener, for callers and for other clients of the daemon. Receives each request
 * completely, passes it to a handler, and sends the response or the token stream. Runs on the event
 * loop. Requests that HTTP implementations could read differently are refused (request_reader.h).
 */
#ifndef TLB_LISTENER_H
#define TLB_LISTENER_H

#include <stdbool.h>

#include "caller_conn.h"
#include "error.h"
#include "exchange.h"
#include "loop.h"
#include "memory.h"
#include "table.h"

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
	struct tlb_watch *watch; /* of the listening socket */
	struct tlb_timer ready_timer;
	struct tlb_timer sweep_timer;
	struct tlb_timer accept_timer;	   /* the next look at the accept queue */
	struct tlb_caller_conn_ring ready; /* connections with work to do, or to be freed */
	size_t ready_count;
	struct tlb_exchange_ring exchanges;
	struct tlb_caller_conns conns;
	struct tlb_listener_limits limits;
	tlb_listener_request_fn *on_request;
	void *arg;
	char id_prefix[TLB_REQUEST_PREFIX_LEN];
	unsigned long long next_id;
	int64_t heads_refused;	 /* requests that were malformed or too large to be read */
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
/* Has what a handler did with an exchange sent, from the event loop. */
void tlb_listener_wake(struct tlb_exchange *x);

#endif
