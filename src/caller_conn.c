#include "caller_conn.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "log.h"
#include "socket.h"

/* Incomplete heads may hold the limit of the memory divided by this. */
enum { HEADS_DIVISOR = 2 };

/* When the whole memory is in use, heads that are incomplete for longer are given up. */
#define HEAD_GRACE (1 * TLB_SECOND)
/* How long what a caller sends behind the last response is discarded. */
#define CLOSE_TIME (1 * TLB_SECOND)

/* --- connections --- */

struct tlb_caller_conn *tlb_caller_conn_add(struct tlb_caller_conns *s, int fd,
					    tlb_request_body_fn *on_body, tlb_watch_fn *on_event)
{
	struct tlb_caller_conn *c = calloc(1, sizeof(*c));

	if (c)
		c->watch = tlb_loop_watch(s->loop, fd, TLB_READABLE, on_event, c);
	if (!c || !c->watch) {
		close(fd);
		free(c);
		return NULL;
	}
	c->fd = fd;
	c->memory.memory = s->memory;
	c->head_since = TLB_NEVER;
	tlb_request_reader_init(&c->reader, s->memory, on_body, c);
	APR_RING_INSERT_TAIL(&s->all, c, tlb_caller_conn, link);
	s->count++;
	return c;
}

static void forget_head(struct tlb_caller_conns *s, struct tlb_caller_conn *c)
{
	if (c->head_bytes == 0)
		return;
	APR_RING_REMOVE(c, head_link);
	s->head_bytes -= c->head_bytes;
	c->head_bytes = 0;
}

void tlb_caller_conn_close(struct tlb_caller_conns *s, struct tlb_caller_conn *c)
{
	if (c->state == TLB_CALLER_CONN_CLOSED)
		return;
	forget_head(s, c);
	tlb_loop_unwatch(s->loop, c->watch);
	close(c->fd);
	c->fd = -1;
	c->state = TLB_CALLER_CONN_CLOSED;
	s->count--;
}

void tlb_caller_conn_free(struct tlb_caller_conns *s, struct tlb_caller_conn *c)
{
	tlb_caller_conn_close(s, c);
	APR_RING_REMOVE(c, link);
	tlb_request_reader_finish(&c->reader);
	tlb_buffer_finish(&c->input);
	tlb_memory_release(&c->memory);
	free(c);
}

static int wanted_events(const struct tlb_caller_conn *c)
{
	switch (c->state) {
	case TLB_CALLER_CONN_READING:
	case TLB_CALLER_CONN_CLOSING:
		return TLB_READABLE;
	case TLB_CALLER_CONN_BUSY:
		if (c->output_waits)
			return TLB_WRITABLE;
		/* Changed only when something arrives, which is rare: most callers wait. */
		return c->input_waits ? 0 : TLB_READABLE;
	case TLB_CALLER_CONN_CLOSED:
		break;
	}
	return 0;
}

void tlb_caller_conn_update_events(struct tlb_caller_conns *s, struct tlb_caller_conn *c)
{
	if (c->state != TLB_CALLER_CONN_CLOSED)
		tlb_loop_set_events(s->loop, c->watch, wanted_events(c));
}

/* --- the end of a connection --- */

void tlb_caller_conn_begin_close(struct tlb_caller_conns *s, struct tlb_caller_conn *c)
{
	bool whole = c->reader.state == TLB_REQUEST_COMPLETE && c->input.len == 0 &&
		     !tlb_socket_has_unread(c->fd);

	forget_head(s, c);
	if (whole) {
		tlb_caller_conn_close(s, c);
		return;
	}
	shutdown(c->fd, SHUT_WR);
	c->state = TLB_CALLER_CONN_CLOSING;
	c->close_deadline = tlb_clock_now() + CLOSE_TIME;
	tlb_request_reader_reset(&c->reader);
	tlb_buffer_finish(&c->input);
	tlb_memory_release(&c->memory);
	tlb_caller_conn_update_events(s, c);
}

void tlb_caller_conn_discard(struct tlb_caller_conns *s, struct tlb_caller_conn *c)
{
	char byte;

	tlb_socket_discard_unread(c->fd);
	if (recv(c->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0 || errno != EAGAIN)
		tlb_caller_conn_close(s, c);
}

void tlb_caller_conn_close_if_idle(struct tlb_caller_conns *s, struct tlb_caller_conn *c)
{
	if (c->state == TLB_CALLER_CONN_READING && c->head_since == TLB_NEVER &&
	    !tlb_socket_has_unread(c->fd))
		tlb_caller_conn_close(s, c);
}

/* --- incomplete heads --- */

/* Bytes that incomplete heads may hold. */
static size_t heads_max(const struct tlb_caller_conns *s)
{
	return s->memory ? s->memory->limit / HEADS_DIVISOR : SIZE_MAX;
}

/* Refuses the request of an incomplete head. */
static void give_up_head(struct tlb_caller_conns *s, struct tlb_caller_conn *c)
{
	static const char answer[] = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n"
				     "Content-Length: 0\r\nConnection: close\r\n\r\n";

	send(c->fd, answer, sizeof(answer) - 1, MSG_DONTWAIT | MSG_NOSIGNAL);
	s->given_up++;
	tlb_caller_conn_begin_close(s, c);
}

void tlb_caller_conn_update_head(struct tlb_caller_conns *s, struct tlb_caller_conn *c)
{
	size_t bytes = tlb_request_reader_in_head(&c->reader) ? c->reader.head.cap : 0;

	if (bytes == 0) {
		forget_head(s, c);
		return;
	}
	if (c->head_bytes == 0)
		APR_RING_INSERT_TAIL(&s->heads, c, tlb_caller_conn, head_link);
	s->head_bytes += bytes - c->head_bytes;
	c->head_bytes = bytes;
	while (s->head_bytes > heads_max(s))
		give_up_head(s, APR_RING_FIRST(&s->heads));
}

void tlb_caller_conns_check_heads(struct tlb_caller_conns *s, tlb_time now)
{
	const struct tlb_memory *m = s->memory;
	struct tlb_caller_conn *c;

	while (m && m->used > m->limit && !APR_RING_EMPTY(&s->heads, tlb_caller_conn, head_link)) {
		c = APR_RING_FIRST(&s->heads);
		if (now < c->head_since + HEAD_GRACE)
			break;
		give_up_head(s, c);
	}
	if (s->given_up > 0)
		tlb_log_info("event=heads_given_up count=%d held=%zu memory=%zu", s->given_up,
			     s->head_bytes, m ? m->used : 0);
	s->given_up = 0;
}

void tlb_caller_conns_init(struct tlb_caller_conns *s, struct tlb_loop *l, struct tlb_memory *m)
{
	memset(s, 0, sizeof(*s));
	s->loop = l;
	s->memory = m;
	APR_RING_INIT(&s->all, tlb_caller_conn, link);
	APR_RING_INIT(&s->heads, tlb_caller_conn, head_link);
}

void tlb_caller_conns_finish(struct tlb_caller_conns *s)
{
	while (!APR_RING_EMPTY(&s->all, tlb_caller_conn, link))
		tlb_caller_conn_free(s, APR_RING_FIRST(&s->all));
}
