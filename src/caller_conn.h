/*
 * Callers' connections and what libmicrohttpd holds for them. It can't answer a request whose head
 * has not arrived whole; when such heads take too much of the memory, the oldest are given up here.
 */
#ifndef TLB_CALLER_CONN_H
#define TLB_CALLER_CONN_H

#include <apr_ring.h>
#include <stdbool.h>

#include "loop.h"
#include "memory.h"

/* Memory per connection in libmicrohttpd, which sends an HTML error when a request needs more. It
 * holds the request headers with about 70 bytes of overhead each, and the response headers. */
enum { TLB_CALLER_CONN_MEMORY = 65536 };

/* Tracked so that a connection that never completes a request is closed; libmicrohttpd restarts its
 * own time-out with every byte. */
struct tlb_caller_conn {
	APR_RING_ENTRY(tlb_caller_conn) link;
	int fd;
	bool in_request;		/* from the request line to the end of the response */
	struct tlb_memory_share memory; /* what libmicrohttpd holds for the connection */
	size_t head_bytes;		/* what an incomplete head may hold; 0: none */
	bool holds_head;		/* at the last check */
	unsigned head_run;		/* tlb_caller_conns.runs at head_since */
	tlb_time head_since;	/* an incomplete head began, or was expected; TLB_NEVER: none */
	tlb_time fresh_until;	/* until then a connection without a request may still send one */
	tlb_time idle_since;	/* the end of the last response */
	tlb_time idle_deadline; /* TLB_NEVER while a request is in progress */
};

APR_RING_HEAD(tlb_caller_conn_ring, tlb_caller_conn);

/* Caller-owned; owns the connections. */
struct tlb_caller_conns {
	struct tlb_loop *loop;
	struct tlb_memory *memory; /* NULL: not limited */
	struct tlb_caller_conn_ring all;
	struct tlb_timer heads_timer; /* set while incomplete heads may hold too much */
	size_t head_bytes;	      /* of all connections */
	unsigned runs;		      /* of libmicrohttpd, which the owner counts */
};

void tlb_caller_conns_init(struct tlb_caller_conns *s, struct tlb_loop *l, struct tlb_memory *m);
void tlb_caller_conns_finish(struct tlb_caller_conns *s);

/* Adds an accepted connection, which expects a head. NULL without memory. */
struct tlb_caller_conn *tlb_caller_conn_add(struct tlb_caller_conns *s, int fd, tlb_time now);
/* Removes and frees a connection. */
void tlb_caller_conn_remove(struct tlb_caller_conns *s, struct tlb_caller_conn *c);
/* The request line has arrived; the owner keeps copied bytes of it. */
void tlb_caller_conn_begin_request(struct tlb_caller_conns *s, struct tlb_caller_conn *c,
				   size_t copied, tlb_time now);
/* The head has arrived whole. */
void tlb_caller_conn_end_head(struct tlb_caller_conns *s, struct tlb_caller_conn *c);
/* The response has ended; the next request must begin until idle_deadline. */
void tlb_caller_conn_end_request(struct tlb_caller_conn *c, tlb_time now, tlb_time idle_deadline);
/* Closes a connection without a request. A request that has arrived is read and answered first. */
void tlb_caller_conn_close_if_idle(const struct tlb_caller_conn *c);

/* Whether half of the memory is in use. Then no connection is kept: libmicrohttpd holds the whole
 * TLB_CALLER_CONN_MEMORY of each that has carried a request. */
bool tlb_caller_conns_memory_short(const struct tlb_caller_conns *s);
/* Whether a connection that was idle for a while is closed for the memory that it holds. */
bool tlb_caller_conn_gives_memory_back(const struct tlb_caller_conns *s,
				       const struct tlb_caller_conn *c, tlb_time now);
/* Keeps incomplete heads within their part of the memory: the oldest ones are given up, as heads
 * that arrive at all arrive within moments. */
void tlb_caller_conns_check_heads(struct tlb_caller_conns *s, tlb_time now);
/* Does so when they may exceed it. */
void tlb_caller_conns_check_many_heads(struct tlb_caller_conns *s, tlb_time now);

#endif
