/*
 * Callers' connections, and how much of the memory heads that have not arrived whole may hold: when
 * it is too much, the oldest are given up.
 */
#ifndef TLB_CALLER_CONN_H
#define TLB_CALLER_CONN_H

#include <apr_ring.h>
#include <stdbool.h>

#include "loop.h"
#include "memory.h"
#include "request_reader.h"

struct tlb_exchange;
struct tlb_listener;

enum tlb_caller_conn_state {
	TLB_CALLER_CONN_READING, /* idle, or a request arrives */
	TLB_CALLER_CONN_BUSY,	 /* the request has arrived; its response is not complete */
	TLB_CALLER_CONN_CLOSING, /* the last response was sent; what still arrives is discarded */
	TLB_CALLER_CONN_CLOSED,	 /* to be freed */
};

/* Allocated by tlb_caller_conn_add(), owned by struct tlb_caller_conns; owns all but the listener.
 */
struct tlb_caller_conn {
	APR_RING_ENTRY(tlb_caller_conn) link;
	APR_RING_ENTRY(tlb_caller_conn) head_link;  /* in tlb_caller_conns.heads */
	APR_RING_ENTRY(tlb_caller_conn) ready_link; /* in tlb_listener.ready */
	struct tlb_listener *listener;
	struct tlb_watch *watch;
	int fd;
	enum tlb_caller_conn_state state;
	bool ready;	   /* it is in that ring */
	bool input_waits;  /* something arrived while the connection was busy */
	bool output_waits; /* the socket takes no more of the response now */
	struct tlb_request_reader reader;
	struct tlb_exchange *exchange;	/* of the request that is read or answered; NULL: none */
	struct tlb_buffer input;	/* what arrived behind that request */
	struct tlb_memory_share memory; /* what input holds */
	size_t head_bytes;		/* what an incomplete head holds; 0: none */
	tlb_time head_since; /* when the request began to arrive; TLB_NEVER: it has not */
	tlb_time arrived;    /* as tlb_exchange.arrived */
	tlb_time arrived_after;
	tlb_time fresh_until;	 /* until then a connection without a request may still send one */
	tlb_time idle_deadline;	 /* for the begin of the next request */
	tlb_time close_deadline; /* when it is closing */
};

APR_RING_HEAD(tlb_caller_conn_ring, tlb_caller_conn);

/* Caller-owned; owns the connections. */
struct tlb_caller_conns {
	struct tlb_loop *loop;
	struct tlb_memory *memory; /* NULL: not limited */
	struct tlb_caller_conn_ring all;
	struct tlb_caller_conn_ring heads; /* those with an incomplete head, oldest first */
	unsigned count;
	size_t head_bytes; /* of all connections */
	int given_up;	   /* heads given up that were not logged yet */
};

void tlb_caller_conns_init(struct tlb_caller_conns *s, struct tlb_loop *l, struct tlb_memory *m);
/* Closes and frees all connections, which have no exchange any more. */
void tlb_caller_conns_finish(struct tlb_caller_conns *s);

/* Adds an accepted connection and takes over its socket, whose events go to on_event with the
 * connection. NULL without memory; the socket is then closed. */
struct tlb_caller_conn *tlb_caller_conn_add(struct tlb_caller_conns *s, int fd,
					    tlb_request_body_fn *on_body, tlb_watch_fn *on_event);
/* Closes the socket. The connection stays until tlb_caller_conn_free(). */
void tlb_caller_conn_close(struct tlb_caller_conns *s, struct tlb_caller_conn *c);
void tlb_caller_conn_free(struct tlb_caller_conns *s, struct tlb_caller_conn *c);
/* Waits for the events that the connection's state asks for. */
void tlb_caller_conn_update_events(struct tlb_caller_conns *s, struct tlb_caller_conn *c);

/* Notes what an incomplete head holds after bytes were read, and gives up the oldest heads when all
 * of them hold too much: heads that arrive at all arrive within moments. */
void tlb_caller_conn_update_head(struct tlb_caller_conns *s, struct tlb_caller_conn *c);
/* When the whole memory is in use, gives up the heads that are incomplete for some time; logs those
 * that were given up. */
void tlb_caller_conns_check_heads(struct tlb_caller_conns *s, tlb_time now);

/* Ends the connection after its last response. What the caller still sends is discarded for a
 * while: unread bytes would reset the connection, and the caller might lose the response. */
void tlb_caller_conn_begin_close(struct tlb_caller_conns *s, struct tlb_caller_conn *c);
/* Discards what has arrived on a closing connection. */
void tlb_caller_conn_discard(struct tlb_caller_conns *s, struct tlb_caller_conn *c);
/* Closes a connection without a request. A request that has arrived is read and answered first. */
void tlb_caller_conn_close_if_idle(struct tlb_caller_conns *s, struct tlb_caller_conn *c);

#endif
