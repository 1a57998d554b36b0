#include "connection.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#include "address.h"
#include "socket.h"

enum {
	/* Closes the connection when sent data stays unacknowledged for this long: the peer or the
	 * network path has failed. */
	USER_TIMEOUT_MS = 4000,
	IDLE_MAX = 64, /* idle connections kept */
};

/* A connection that was idle longer is not reused: a NAT or firewall on the path may have dropped
 * its state. */
#define IDLE_TIME (5 * TLB_SECOND)
/* A connection is not reused for longer than this after it was opened. */
#define LIFETIME (60 * TLB_SECOND)

static void on_event(void *arg, int events)
{
	struct tlb_connection *c = arg;

	/* The other end has closed an idle connection, or sent bytes that belong to no call. */
	if (c->state == TLB_CONNECTION_IDLE)
		tlb_connection_close(c);
	else
		c->on_event(c->arg, c, events);
}

static void set_options(int fd)
{
	int timeout_ms = USER_TIMEOUT_MS;
	int one = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms, sizeof(timeout_ms));
}

/* Returns a socket whose connection is being established, or -1 with errno set. */
static int connect_to(const char *addr)
{
	struct sockaddr_storage a;
	socklen_t len;
	int error;
	int fd;

	if (!tlb_address_parse(addr, &a, &len)) {
		errno = EINVAL;
		return -1;
	}
	fd = socket(a.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return -1;
	set_options(fd);
	if (connect(fd, (struct sockaddr *)&a, len) == 0 || errno == EINPROGRESS)
		return fd;
	error = errno;
	close(fd);
	errno = error;
	return -1;
}

static struct tlb_connection *open_connection(struct tlb_connections *p, const char *addr)
{
	struct tlb_connection *c = calloc(1, sizeof(*c));

	if (!c)
		return NULL;
	c->pool = p;
	c->state = TLB_CONNECTION_CONNECTING;
	c->reusable_until = tlb_clock_now() + LIFETIME;
	APR_RING_ELEM_INIT(c, link);
	snprintf(c->addr, sizeof(c->addr), "%s", addr);
	c->fd = connect_to(addr);
	if (c->fd < 0) {
		free(c);
		return NULL;
	}
	c->watch = tlb_loop_watch(p->loop, c->fd, TLB_WRITABLE, on_event, c);
	if (!c->watch) {
		close(c->fd);
		free(c);
		errno = ENOMEM;
		return NULL;
	}
	p->opened++;
	return c;
}

/* Removes and returns a usable idle connection to addr, or NULL. Closes those that are too old, and
 * those to addr on which something has arrived that the loop has not reported yet. */
static struct tlb_connection *take_idle(struct tlb_connections *p, const char *addr)
{
	tlb_time now = tlb_clock_now();
	struct tlb_connection *c;
	struct tlb_connection *next;

	APR_RING_FOREACH_SAFE (c, next, &p->idle, tlb_connection, link) {
		bool matches = strcmp(c->addr, addr) == 0;

		if (now >= c->idle_until || now >= c->reusable_until ||
		    (matches && !tlb_socket_is_quiet(c->fd))) {
			tlb_connection_close(c);
		} else if (matches) {
			APR_RING_REMOVE(c, link);
			p->idle_count--;
			return c;
		}
	}
	return NULL;
}

struct tlb_connection *tlb_connections_get(struct tlb_connections *p, const char *addr, bool fresh,
					   tlb_connection_fn *on_event_fn, void *arg)
{
	struct tlb_connection *c = fresh ? NULL : take_idle(p, addr);

	if (c) {
		c->state = TLB_CONNECTION_OPEN;
		c->reused = true;
		tlb_connection_set_events(c, TLB_WRITABLE);
	} else {
		c = open_connection(p, addr);
	}
	if (!c)
		return NULL;
	c->on_event = on_event_fn;
	c->arg = arg;
	return c;
}

int tlb_connection_established(struct tlb_connection *c)
{
	socklen_t len = sizeof(int);
	int error = 0;

	getsockopt(c->fd, SOL_SOCKET, SO_ERROR, &error, &len);
	if (error == 0)
		c->state = TLB_CONNECTION_OPEN;
	return error;
}

void tlb_connection_set_events(struct tlb_connection *c, int events)
{
	tlb_loop_set_events(c->pool->loop, c->watch, events);
}

ssize_t tlb_connection_send(struct tlb_connection *c, const char *head, size_t head_len,
			    const char *body, size_t body_len)
{
	struct iovec parts[2] = {
		{.iov_base = (void *)head, .iov_len = head_len},
		{.iov_base = (void *)body, .iov_len = body_len},
	};
	struct msghdr m = {.msg_iov = parts, .msg_iovlen = body_len > 0 ? 2 : 1};
	ssize_t n = sendmsg(c->fd, &m, MSG_NOSIGNAL);

	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return 0;
	if (n < 0 && c->send_error == 0)
		c->send_error = errno;
	return n;
}

/* Whether the connection failed before the peer had ended its stream. A socket reports an error
 * once, and afterwards the end of the stream; a send that fails after the peer's end gets EPIPE. */
static bool failed_before_end(const struct tlb_connection *c)
{
	return c->send_error != 0 && c->send_error != EPIPE;
}

ssize_t tlb_connection_read(struct tlb_connection *c, char *out)
{
	ssize_t n = recv(c->fd, out, TLB_CONNECTION_READ_BYTES, 0);

	if (n < 0 && errno == EINTR)
		errno = EAGAIN;
	if (n == 0 && failed_before_end(c)) {
		errno = c->send_error;
		return -1;
	}
	return n;
}

void tlb_connection_close(struct tlb_connection *c)
{
	if (!c)
		return;
	if (c->state == TLB_CONNECTION_IDLE) {
		APR_RING_REMOVE(c, link);
		c->pool->idle_count--;
	}
	tlb_loop_unwatch(c->pool->loop, c->watch);
	close(c->fd);
	free(c);
}

void tlb_connection_keep(struct tlb_connection *c)
{
	tlb_time now = tlb_clock_now();

	if (c->pool->idle_count == IDLE_MAX || now >= c->reusable_until) {
		tlb_connection_close(c);
		return;
	}
	c->state = TLB_CONNECTION_IDLE;
	c->idle_until = now + IDLE_TIME;
	APR_RING_INSERT_HEAD(&c->pool->idle, c, tlb_connection, link);
	c->pool->idle_count++;
	tlb_connection_set_events(c, TLB_READABLE);
}

void tlb_connections_init(struct tlb_connections *p, struct tlb_loop *l)
{
	memset(p, 0, sizeof(*p));
	p->loop = l;
	APR_RING_INIT(&p->idle, tlb_connection, link);
}

void tlb_connections_finish(struct tlb_connections *p)
{
	while (!APR_RING_EMPTY(&p->idle, tlb_connection, link))
		tlb_connection_close(APR_RING_FIRST(&p->idle));
}
