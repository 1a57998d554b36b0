/*
 * Outgoing TCP connections of the HTTP client: established without blocking, used by one call at a
 * time, and kept for reuse when the call leaves them in a known state.
 *
 * One readiness event reads at most TLB_CONNECTION_READ_BYTES, so that a peer that sends without
 * end takes its turn like all others.
 */
#ifndef TLB_CONNECTION_H
#define TLB_CONNECTION_H

#include <apr_ring.h>
#include <stdbool.h>
#include <sys/types.h>

#include "loop.h"
#include "table.h"

enum { TLB_CONNECTION_READ_BYTES = 16384 };

struct tlb_connection;

/* Called for the events of a connection in use; it may close the connection or stop its use. */
typedef void tlb_connection_fn(void *arg, struct tlb_connection *c, int events);

enum tlb_connection_state {
	TLB_CONNECTION_CONNECTING,
	TLB_CONNECTION_OPEN, /* in use by a call */
	TLB_CONNECTION_IDLE,
};

/* Allocated by tlb_connections_get(), owned by the pool while idle and by its user otherwise. */
struct tlb_connection {
	APR_RING_ENTRY(tlb_connection) link;
	struct tlb_connections *pool;
	struct tlb_watch *watch;
	int fd;
	enum tlb_connection_state state;
	bool reused; /* carried an earlier call */
	char addr[TLB_ADDR_LEN];
	tlb_time reusable_until; /* its age limit */
	tlb_time idle_until;
	int send_error; /* errno of the first send that failed; 0: none */
	tlb_connection_fn *on_event;
	void *arg;
};

APR_RING_HEAD(tlb_connection_ring, tlb_connection);

/* Caller-owned; owns the idle connections. */
struct tlb_connections {
	struct tlb_loop *loop;
	struct tlb_connection_ring idle;
	int idle_count;
	int64_t opened; /* connections opened since the start */
};

void tlb_connections_init(struct tlb_connections *p, struct tlb_loop *l);
void tlb_connections_finish(struct tlb_connections *p);

/* Returns a connection to addr, "IP:PORT": an idle one, or with fresh or without one a new one that
 * is being established. Its user gets the events; a new connection is writable when it is
 * established or has failed. NULL with errno set when no connection can be opened. */
struct tlb_connection *tlb_connections_get(struct tlb_connections *p, const char *addr, bool fresh,
					   tlb_connection_fn *on_event, void *arg);
/* Ends the establishment of a connection that has become writable. Returns 0 or an errno value. */
int tlb_connection_established(struct tlb_connection *c);
/* Sets the events that the user wants. */
void tlb_connection_set_events(struct tlb_connection *c, int events);
/* Sends what the socket takes at once of two buffers. Returns the number of bytes, 0 for none now,
 * or -1 with errno set. */
ssize_t tlb_connection_send(struct tlb_connection *c, const char *head, size_t head_len,
			    const char *body, size_t body_len);
/* Reads up to TLB_CONNECTION_READ_BYTES. Returns the number of bytes, 0 when the peer has ended the
 * stream, or -1 with errno set; EAGAIN: nothing now. A reset is reported after what arrived before
 * it, also when sending has failed for it. */
ssize_t tlb_connection_read(struct tlb_connection *c, char *out);
/* Closes and frees a connection. NULL is allowed. */
void tlb_connection_close(struct tlb_connection *c);
/* Keeps a connection for reuse; its user must have read the complete response. */
void tlb_connection_keep(struct tlb_connection *c);

#endif
