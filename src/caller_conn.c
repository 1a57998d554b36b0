#include "caller_conn.h"

#include <inttypes.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "log.h"
#include "socket.h"

enum {
	HEAD_RUNS = 16, /* runs of libmicrohttpd that read a head which has arrived, at most */
	/* Incomplete heads may hold the limit of the memory divided by this. */
	HEADS_DIVISOR = 2,
	/* An incomplete head of this size may have been refused for it. */
	LARGE_HEAD_MIN = TLB_CALLER_CONN_MEMORY / 2,
};

#define HEADS_CHECK_INTERVAL (20 * TLB_MS) /* while they may exceed that */
/* When the whole memory is in use, heads that are incomplete for longer are given up. */
#define HEAD_GRACE (1 * TLB_SECOND)
/* Connections that were idle for this long are closed when memory is short. */
#define SHORT_IDLE_TIME (1 * TLB_SECOND)

/* --- incomplete heads --- */

/* Bytes that incomplete heads may hold. */
static size_t heads_max(const struct tlb_caller_conns *s)
{
	return s->memory ? s->memory->limit / HEADS_DIVISOR : SIZE_MAX;
}

static bool may_exceed(const struct tlb_caller_conns *s)
{
	return s->head_bytes > heads_max(s);
}

static void schedule_heads_check(struct tlb_caller_conns *s, tlb_time now)
{
	if (may_exceed(s) && !tlb_timer_active(&s->heads_timer))
		tlb_timer_set(s->loop, &s->heads_timer, now + HEADS_CHECK_INTERVAL);
}

static void add_head_bytes(struct tlb_caller_conns *s, struct tlb_caller_conn *c, size_t bytes)
{
	c->head_bytes += bytes;
	s->head_bytes += bytes;
}

static void begin_head(struct tlb_caller_conns *s, struct tlb_caller_conn *c, tlb_time now)
{
	if (c->head_since != TLB_NEVER)
		return;
	c->head_since = now;
	c->head_run = s->runs;
	add_head_bytes(s, c, TLB_CALLER_CONN_MEMORY);
	schedule_heads_check(s, now);
}

void tlb_caller_conn_end_head(struct tlb_caller_conns *s, struct tlb_caller_conn *c)
{
	s->head_bytes -= c->head_bytes;
	c->head_bytes = 0;
	c->head_since = TLB_NEVER;
}

static void charge(struct tlb_caller_conn *c)
{
	if (c->memory.bytes == 0)
		tlb_memory_charge_used(&c->memory, TLB_CALLER_CONN_MEMORY);
}

/* Whether libmicrohttpd holds bytes of an incomplete head. It holds none of a connection that is
 * silent; a head that has arrived whole is read in HEAD_RUNS. */
static bool holds_part_of_head(const struct tlb_caller_conns *s, const struct tlb_caller_conn *c)
{
	if (c->head_since == TLB_NEVER)
		return false;
	if (s->runs < c->head_run + HEAD_RUNS && tlb_socket_has_unread(c->fd))
		return false;
	return c->in_request || tlb_socket_received_bytes(c->fd) > 0;
}

/* Refuses the request of an incomplete head, which libmicrohttpd can't answer yet. */
static void give_up_head(struct tlb_caller_conns *s, struct tlb_caller_conn *c)
{
	static const char answer[] = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n"
				     "Content-Length: 0\r\nConnection: close\r\n\r\n";

	tlb_socket_discard_unread(c->fd);
	send(c->fd, answer, sizeof(answer) - 1, MSG_DONTWAIT | MSG_NOSIGNAL);
	shutdown(c->fd, SHUT_RDWR);
	tlb_caller_conn_end_head(s, c);
}

/* Returns the bytes of all incomplete heads, and notes which connections hold one. */
static size_t count_heads(struct tlb_caller_conns *s)
{
	struct tlb_caller_conn *c;
	size_t held = 0;

	APR_RING_FOREACH (c, &s->all, tlb_caller_conn, link) {
		c->holds_head = holds_part_of_head(s, c);
		if (!c->holds_head)
			continue;
		held += c->head_bytes;
		charge(c);
	}
	return held;
}

void tlb_caller_conns_check_heads(struct tlb_caller_conns *s, tlb_time now)
{
	const struct tlb_memory *m = s->memory;
	struct tlb_caller_conn *c;
	int given_up = 0;
	size_t held;

	if (!m)
		return;
	held = count_heads(s);
	APR_RING_FOREACH (c, &s->all, tlb_caller_conn, link) {
		if (!c->holds_head)
			continue;
		if (held <= heads_max(s) &&
		    (m->used <= m->limit || now < c->head_since + HEAD_GRACE))
			continue;
		held -= c->head_bytes;
		give_up_head(s, c);
		given_up++;
	}
	if (given_up > 0)
		tlb_log_info("event=heads_given_up count=%d held=%zu memory=%zu", given_up, held,
			     m->used);
}

void tlb_caller_conns_check_many_heads(struct tlb_caller_conns *s, tlb_time now)
{
	if (may_exceed(s))
		tlb_caller_conns_check_heads(s, now);
}

static void on_heads_timer(void *arg)
{
	struct tlb_caller_conns *s = arg;
	tlb_time now = tlb_clock_now();

	tlb_caller_conns_check_heads(s, now);
	schedule_heads_check(s, now);
}

/* --- connections --- */

struct tlb_caller_conn *tlb_caller_conn_add(struct tlb_caller_conns *s, int fd, tlb_time now)
{
	struct tlb_caller_conn *c = calloc(1, sizeof(*c));

	if (!c)
		return NULL;
	c->fd = fd;
	c->memory.memory = s->memory;
	c->head_since = TLB_NEVER;
	begin_head(s, c, now);
	APR_RING_INSERT_TAIL(&s->all, c, tlb_caller_conn, link);
	return c;
}

/* libmicrohttpd answers a head that exceeds the connection's memory by itself and tells nobody. */
static void log_large_head(const struct tlb_caller_conn *c)
{
	uint64_t bytes = c->head_since == TLB_NEVER ? 0 : tlb_socket_received_bytes(c->fd);

	if (bytes > LARGE_HEAD_MIN)
		tlb_log_info("event=head_not_read bytes=%" PRIu64, bytes);
}

void tlb_caller_conn_remove(struct tlb_caller_conns *s, struct tlb_caller_conn *c)
{
	log_large_head(c);
	APR_RING_REMOVE(c, link);
	tlb_caller_conn_end_head(s, c);
	tlb_memory_release(&c->memory);
	free(c);
}

void tlb_caller_conn_begin_request(struct tlb_caller_conns *s, struct tlb_caller_conn *c,
				   size_t copied, tlb_time now)
{
	c->in_request = true;
	c->fresh_until = 0;
	begin_head(s, c, now);
	add_head_bytes(s, c, copied);
	charge(c);
}

void tlb_caller_conn_end_request(struct tlb_caller_conn *c, tlb_time now, tlb_time idle_deadline)
{
	c->in_request = false;
	c->idle_since = now;
	c->idle_deadline = idle_deadline;
}

void tlb_caller_conn_close_if_idle(const struct tlb_caller_conn *c)
{
	if (!tlb_socket_has_unread(c->fd))
		shutdown(c->fd, SHUT_RDWR);
}

bool tlb_caller_conns_memory_short(const struct tlb_caller_conns *s)
{
	return s->memory && s->memory->used > s->memory->limit / 2;
}

bool tlb_caller_conn_gives_memory_back(const struct tlb_caller_conns *s,
				       const struct tlb_caller_conn *c, tlb_time now)
{
	return tlb_caller_conns_memory_short(s) && !c->in_request && c->head_since == TLB_NEVER &&
	       now >= c->idle_since + SHORT_IDLE_TIME;
}

void tlb_caller_conns_init(struct tlb_caller_conns *s, struct tlb_loop *l, struct tlb_memory *m)
{
	memset(s, 0, sizeof(*s));
	s->loop = l;
	s->memory = m;
	APR_RING_INIT(&s->all, tlb_caller_conn, link);
	tlb_timer_init(&s->heads_timer, on_heads_timer, s);
}

void tlb_caller_conns_finish(struct tlb_caller_conns *s)
{
	tlb_timer_clear(s->loop, &s->heads_timer);
	while (!APR_RING_EMPTY(&s->all, tlb_caller_conn, link))
		tlb_caller_conn_remove(s, APR_RING_FIRST(&s->all));
}
