#include "listener.h"

#include <errno.h>
#include <linux/filter.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "address.h"
#include "log.h"
#include "request_head.h"
#include "response.h"
#include "socket.h"

enum {
	SWEEP_MS = 200, /* interval of the check for timed-out and disconnected callers */
	/* What an exchange takes besides its bytes, with a call to an endpoint. */
	EXCHANGE_MEMORY = 8192,
	/* A caller that was refused for lack of memory may come back after this time. */
	MEMORY_RETRY_AFTER_MS = 300,
	USER_TIMEOUT_MS = 10000,
	KEEPALIVE_IDLE_S = 5,
	KEEPALIVE_INTERVAL_S = 2,
	KEEPALIVE_PROBES = 3,
	READ_BYTES = 16384, /* of one connection in one read */
	/* Reads of one connection in a round after the loop was late, so that what has arrived is
	 * read before deadlines are applied. */
	LATE_READS = 4,
	ACCEPTS_PER_ROUND = 64,
	TIMED_OUT_STATUS = 408, /* of a request that did not arrive whole in time */
};

/* How long handshakes in progress may still complete after new ones are refused. */
#define HANDSHAKE_TIME (200 * TLB_MS)
/* How long a new connection may take to send its request once no more are accepted. */
#define FIRST_REQUEST_TIME (1 * TLB_SECOND)
#define ACCEPT_CHECK_INTERVAL (10 * TLB_MS)
/* Pause after connections could not be accepted for lack of descriptors or memory. */
#define ACCEPT_RETRY_INTERVAL (100 * TLB_MS)
/* Longest time that tlb_listener_finish() takes for the last responses. */
#define FINISH_TIME (100 * TLB_MS)

/* --- connections with work to do --- */

static void add_ready(struct tlb_listener *f, struct tlb_caller_conn *c)
{
	if (c->ready)
		return;
	c->ready = true;
	APR_RING_INSERT_TAIL(&f->ready, c, tlb_caller_conn, ready_link);
	f->ready_count++;
	if (!tlb_timer_active(&f->ready_timer))
		tlb_timer_set(f->loop, &f->ready_timer, tlb_clock_now());
}

void tlb_listener_wake(struct tlb_exchange *x)
{
	add_ready(x->listener, x->conn);
}

/* --- the end of requests and connections --- */

static void end_exchange(struct tlb_caller_conn *c)
{
	struct tlb_exchange *x = c->exchange;

	if (!x)
		return;
	c->exchange = NULL;
	tlb_exchange_disconnect(x);
	APR_RING_REMOVE(x, link);
	tlb_exchange_free(x);
}

/* Closes a connection at once. It is freed from the event loop. */
static void close_conn(struct tlb_caller_conn *c)
{
	end_exchange(c);
	tlb_caller_conn_close(&c->listener->conns, c);
	add_ready(c->listener, c);
}

/* Ends a request whose response was sent. */
static void finish_exchange(struct tlb_caller_conn *c)
{
	struct tlb_listener *f = c->listener;
	bool keep = c->exchange->writer.keep_connection;

	end_exchange(c);
	c->head_since = TLB_NEVER;
	c->fresh_until = 0;
	c->input_waits = false;
	if (!keep) {
		tlb_caller_conn_begin_close(&f->conns, c);
		add_ready(f, c);
		return;
	}
	c->idle_deadline = tlb_clock_now() + f->limits.idle_timeout_ms * TLB_MS;
	c->state = TLB_CALLER_CONN_READING;
	tlb_request_reader_reset(&c->reader);
	if (c->input.len > 0)
		add_ready(f, c);
	tlb_caller_conn_update_events(&f->conns, c);
}

/* Sends what there is of the response. */
static void respond(struct tlb_caller_conn *c)
{
	struct tlb_exchange *x = c->exchange;

	if (x->disconnected) {
		close_conn(c);
		return;
	}
	if (x->state == TLB_EXCHANGE_READING || x->state == TLB_EXCHANGE_RUNNING)
		return;
	c->output_waits = false;
	switch (tlb_response_send(x)) {
	case TLB_RESPONSE_SENT:
		finish_exchange(c);
		return;
	case TLB_RESPONSE_BLOCKED:
		c->output_waits = true;
		break;
	case TLB_RESPONSE_WAITING:
		break;
	case TLB_RESPONSE_CUT_SHORT:
		close_conn(c);
		return;
	}
	tlb_caller_conn_update_events(&c->listener->conns, c);
}

/* --- requests --- */

/* Whether the system tells when the last bytes on the connection arrived, and when that was.
 * Network stacks in user space may leave this at 0, which otherwise means now. */
static bool read_arrival(struct tlb_listener *f, int fd, tlb_time now, tlb_time *at)
{
	struct tcp_info info;
	socklen_t len = sizeof(info);

	if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &len) != 0)
		return false;
	f->arrivals_known |= info.tcpi_last_data_recv > 0;
	*at = now - (tlb_time)info.tcpi_last_data_recv * TLB_MS;
	return f->arrivals_known;
}

/* Notes when a request began to arrive. After the loop was late, it may have waited. */
static void begin_request(struct tlb_caller_conn *c, tlb_time now)
{
	struct tlb_listener *f = c->listener;

	c->head_since = now;
	c->idle_deadline = TLB_NEVER;
	c->fresh_until = 0;
	c->arrived = now;
	c->arrived_after = now;
	if (!tlb_loop_was_late(f->loop))
		return;
	if (read_arrival(f, c->fd, now, &c->arrived))
		c->arrived_after = c->arrived;
	else if (f->loop->late)
		c->arrived_after = f->loop->late_since;
}

static tlb_time read_deadline(const struct tlb_caller_conn *c)
{
	return c->head_since == TLB_NEVER
		       ? TLB_NEVER
		       : c->head_since + c->listener->limits.request_timeout_ms * TLB_MS;
}

/* Reserves memory for a body whose length is stated. Returns false when it does not fit. */
static bool reserve_body(struct tlb_exchange *x)
{
	uint64_t len = x->conn->reader.length;

	if (len == 0 || len > x->listener->limits.max_body_bytes)
		return true;
	return tlb_memory_enlarge(&x->memory, &x->body, (size_t)len + 1);
}

/* Stores a part of the body; the rest of one that is refused is read and discarded. */
static void store_body(struct tlb_exchange *x, const char *data, size_t len)
{
	size_t max = x->listener->limits.max_body_bytes;

	if (x->body.len + len > max)
		x->body_too_large = true;
	else if (!x->memory_refused)
		x->memory_refused = !tlb_memory_append(&x->memory, &x->body, data, len, max);
	if (x->body_too_large || x->memory_refused)
		tlb_exchange_drop(x, &x->body);
}

static void on_body(void *arg, const char *data, size_t len)
{
	struct tlb_caller_conn *c = arg;

	store_body(c->exchange, data, len);
}

/* Reads the parts of a valid head. Returns false without memory. */
static bool read_head(struct tlb_exchange *x)
{
	const struct tlb_request_reader *r = &x->conn->reader;
	size_t path_len = strcspn(r->target, "?");

	x->method = r->method;
	x->target = r->target;
	x->path = strndup(x->target, path_len);
	if (!x->path)
		return false;
	if (x->target[path_len])
		x->query = x->target + path_len + 1;
	tlb_request_head_read(x);
	x->memory_refused =
		!tlb_memory_charge(&x->memory, EXCHANGE_MEMORY + path_len) || !reserve_body(x);
	return true;
}

/* Creates the exchange of a request whose head has arrived or is refused. NULL without memory; the
 * connection is closed then. */
static struct tlb_exchange *begin_exchange(struct tlb_caller_conn *c)
{
	struct tlb_listener *f = c->listener;
	struct tlb_exchange *x = calloc(1, sizeof(*x));

	if (!x) {
		close_conn(c);
		return NULL;
	}
	x->listener = f;
	x->conn = c;
	x->fd = c->fd;
	x->memory.memory = f->limits.memory;
	x->arrived = c->arrived;
	x->arrived_after = c->arrived_after;
	x->method = "";
	x->target = "";
	x->query = "";
	x->content_type = "";
	snprintf(x->id, sizeof(x->id), "%s-%llx", f->id_prefix, ++f->next_id);
	c->exchange = x;
	APR_RING_INSERT_TAIL(&f->exchanges, x, tlb_exchange, link);
	if (tlb_request_reader_has_head(&c->reader) && !read_head(x)) {
		close_conn(c);
		return NULL;
	}
	return x;
}

static void refuse_too_large(struct tlb_exchange *x)
{
	struct tlb_error err;

	tlb_error_set(&err, x->headers_too_large ? TLB_HEADERS_TOO_LARGE : TLB_TOO_LARGE,
		      TLB_OUTCOME_NOT_RUN, "read", "", "the request %s larger than %zu bytes",
		      x->headers_too_large ? "line and headers are" : "body is",
		      x->headers_too_large ? (size_t)TLB_LISTENER_HEADERS_MAX
					   : x->listener->limits.max_body_bytes);
	tlb_exchange_refuse_unadmitted(x, "", &err);
}

static void refuse_headers(struct tlb_exchange *x)
{
	struct tlb_error err;

	tlb_error_set(&err, TLB_BAD_REQUEST, TLB_OUTCOME_NOT_RUN, "read", "", "%s",
		      x->header_error);
	tlb_exchange_refuse_unadmitted(x, "", &err);
}

static void refuse_stopping(struct tlb_exchange *x)
{
	struct tlb_error err;

	tlb_error_set(&err, TLB_DRAINING, TLB_OUTCOME_NOT_RUN, "read", "",
		      "this VM is shutting down");
	tlb_exchange_refuse_unadmitted(x, "", &err);
}

/* Refuses a request that does not fit into the memory. */
static void refuse_memory(struct tlb_exchange *x)
{
	struct tlb_error err;

	tlb_error_set(&err, TLB_OVERLOADED, TLB_OUTCOME_NOT_RUN, "read", "",
		      "no memory for the request");
	tlb_exchange_log_refusal(x, "", &err);
	tlb_exchange_refuse_ms(x, &err, MEMORY_RETRY_AFTER_MS);
}

/* Refuses a request that can't be read. Where it ends is not known, so the connection is closed. */
static void refuse_unreadable(struct tlb_exchange *x)
{
	struct tlb_caller_conn *c = x->conn;
	struct tlb_error err;
	enum tlb_code code = TLB_BAD_REQUEST;

	switch (c->reader.fault) {
	case TLB_REQUEST_NO_MEMORY:
		refuse_memory(x);
		return;
	case TLB_REQUEST_LINE_TOO_LARGE:
		code = TLB_TARGET_TOO_LARGE;
		break;
	case TLB_REQUEST_HEADERS_TOO_LARGE:
		code = TLB_HEADERS_TOO_LARGE;
		break;
	case TLB_REQUEST_MALFORMED:
	case TLB_REQUEST_NO_FAULT:
		break;
	}
	if (code != TLB_BAD_REQUEST)
		tlb_log_info("event=head_not_read bytes=%zu", c->reader.head.len);
	x->listener->heads_refused++;
	tlb_error_set(&err, code, TLB_OUTCOME_NOT_RUN, "read", "", "%s", c->reader.reason);
	tlb_exchange_refuse_unadmitted(x, "", &err);
}

/* Refuses a request that did not arrive completely in time. */
static void refuse_timed_out(struct tlb_exchange *x)
{
	struct tlb_error err;

	tlb_error_set(&err, TLB_TIMEOUT, TLB_OUTCOME_NOT_RUN, "read", "",
		      "the request did not arrive whole within %lld ms",
		      (long long)x->listener->limits.request_timeout_ms);
	tlb_exchange_refuse_unadmitted(x, "", &err);
	x->status = TIMED_OUT_STATUS;
}

/* Whether the caller has left while its request waited to be read. */
static bool is_abandoned(struct tlb_exchange *x)
{
	if (!tlb_exchange_check_caller(x))
		return false;
	tlb_log_info("event=request_abandoned request=%s", x->id);
	return true;
}

/* Refuses a request that is not handed out. Returns whether it was. */
static bool refuse(struct tlb_exchange *x)
{
	if (x->conn->reader.state == TLB_REQUEST_INVALID)
		refuse_unreadable(x);
	else if (x->header_error)
		refuse_headers(x);
	else if (x->headers_too_large || x->body_too_large)
		refuse_too_large(x);
	else if (x->listener->finishing)
		refuse_stopping(x);
	else if (x->memory_refused)
		refuse_memory(x);
	else
		return false;
	return true;
}

/* Handles a request that has arrived, or can't be read further. */
static void handle(struct tlb_exchange *x)
{
	struct tlb_caller_conn *c = x->conn;
	struct tlb_listener *f = x->listener;

	c->state = TLB_CALLER_CONN_BUSY;
	x->state = TLB_EXCHANGE_RUNNING;
	if (!refuse(x) && !is_abandoned(x))
		f->on_request(f->arg, x);
	sodium_memzero(x->key, sizeof(x->key));
	respond(c);
}

/* Answers a caller that waits before it sends the body: with "100 Continue", or with the refusal
 * that is certain by now. */
static void answer_expectation(struct tlb_caller_conn *c)
{
	static const char go_on[] = "HTTP/1.1 100 Continue\r\n\r\n";
	struct tlb_exchange *x = c->exchange;

	x->body_too_large = c->reader.length > c->listener->limits.max_body_bytes;
	if (x->header_error || x->headers_too_large || x->body_too_large || x->memory_refused)
		handle(x);
	else
		send(c->fd, go_on, sizeof(go_on) - 1, MSG_DONTWAIT | MSG_NOSIGNAL);
}

/* --- reading --- */

/* Goes on with a request after bytes of it were read. */
static void proceed(struct tlb_caller_conn *c)
{
	struct tlb_listener *f = c->listener;

	tlb_caller_conn_update_head(&f->conns, c);
	if (c->state != TLB_CALLER_CONN_READING) {
		add_ready(f, c);
		return;
	}
	switch (c->reader.state) {
	case TLB_REQUEST_BODY:
		if (!c->exchange && begin_exchange(c) && c->reader.expects_continue)
			answer_expectation(c);
		break;
	case TLB_REQUEST_COMPLETE:
	case TLB_REQUEST_INVALID:
		if (c->exchange || begin_exchange(c))
			handle(c->exchange);
		break;
	case TLB_REQUEST_METHOD:
	case TLB_REQUEST_TARGET:
	case TLB_REQUEST_VERSION:
	case TLB_REQUEST_LINE_END:
	case TLB_REQUEST_HEADERS:
		break;
	}
}

/* Keeps what arrived behind the request in progress. */
static void keep_input(struct tlb_caller_conn *c, const char *data, size_t len)
{
	c->input_waits = true;
	if (tlb_memory_append(&c->memory, &c->input, data, len, READ_BYTES))
		return;
	c->exchange->close_connection = true;
	c->exchange->writer.keep_connection = false;
}

static void feed(struct tlb_caller_conn *c, const char *data, size_t len)
{
	size_t n;

	while (len > 0 && c->state == TLB_CALLER_CONN_READING) {
		n = tlb_request_reader_read(&c->reader, data, len);
		if (c->head_since == TLB_NEVER && tlb_request_reader_has_begun(&c->reader))
			begin_request(c, tlb_clock_now());
		data += n;
		len -= n;
		proceed(c);
	}
	if (len > 0 && c->state == TLB_CALLER_CONN_BUSY)
		keep_input(c, data, len);
	tlb_caller_conn_update_events(&c->listener->conns, c);
}

/* Reads what was kept. */
static void feed_input(struct tlb_caller_conn *c)
{
	struct tlb_buffer input = c->input;

	c->input = (struct tlb_buffer){0};
	tlb_memory_release(&c->memory);
	feed(c, input.data, input.len);
	tlb_buffer_finish(&input);
}

static void receive(struct tlb_caller_conn *c)
{
	static char data[READ_BYTES];
	int reads = tlb_loop_was_late(c->listener->loop) ? LATE_READS : 1;
	ssize_t n = READ_BYTES;

	if (c->input.len > 0)
		feed_input(c);
	while (reads-- > 0 && n == READ_BYTES && c->state == TLB_CALLER_CONN_READING) {
		n = recv(c->fd, data, sizeof(data), MSG_DONTWAIT);
		if (n > 0)
			feed(c, data, (size_t)n);
		else if (n == 0 || (errno != EAGAIN && errno != EINTR))
			close_conn(c);
	}
}

/* Something happened to a connection whose request is processed or answered. */
static void on_busy_event(struct tlb_caller_conn *c, int events)
{
	if (events & TLB_HANGUP) {
		close_conn(c);
		return;
	}
	if (events & TLB_WRITABLE) {
		respond(c);
		return;
	}
	c->input_waits = true;
	tlb_caller_conn_update_events(&c->listener->conns, c);
}

static void on_event(void *arg, int events)
{
	struct tlb_caller_conn *c = arg;

	switch (c->state) {
	case TLB_CALLER_CONN_READING:
		receive(c);
		break;
	case TLB_CALLER_CONN_BUSY:
		on_busy_event(c, events);
		break;
	case TLB_CALLER_CONN_CLOSING:
		tlb_caller_conn_discard(&c->listener->conns, c);
		if (c->state == TLB_CALLER_CONN_CLOSED)
			add_ready(c->listener, c);
		break;
	case TLB_CALLER_CONN_CLOSED:
		break;
	}
}

static void serve(struct tlb_listener *f, struct tlb_caller_conn *c)
{
	switch (c->state) {
	case TLB_CALLER_CONN_READING:
		if (c->input.len > 0)
			feed_input(c);
		break;
	case TLB_CALLER_CONN_BUSY:
		respond(c);
		break;
	case TLB_CALLER_CONN_CLOSING:
		break;
	case TLB_CALLER_CONN_CLOSED:
		tlb_caller_conn_free(&f->conns, c);
		break;
	}
}

/* Serves the connections that are ready now. Those that become so meanwhile have their turn in the
 * next round. */
static void serve_ready(struct tlb_listener *f)
{
	size_t left = f->ready_count;
	struct tlb_caller_conn *c;

	while (left-- > 0) {
		c = APR_RING_FIRST(&f->ready);
		APR_RING_REMOVE(c, ready_link);
		f->ready_count--;
		c->ready = false;
		serve(f, c);
	}
}

static void on_ready_timer(void *arg)
{
	serve_ready(arg);
}

/* --- accepting --- */

static void set_socket_options(int fd)
{
	int one = 1;
	int user_ms = USER_TIMEOUT_MS;
	int idle = KEEPALIVE_IDLE_S;
	int interval = KEEPALIVE_INTERVAL_S;
	int probes = KEEPALIVE_PROBES;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_ms, sizeof(user_ms));
	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &one, sizeof(one));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof(idle));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval, sizeof(interval));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
}

static void add_conn(struct tlb_listener *f, int fd)
{
	tlb_time now = tlb_clock_now();
	struct tlb_caller_conn *c;

	set_socket_options(fd);
	c = tlb_caller_conn_add(&f->conns, fd, on_body, on_event);
	if (!c)
		return;
	c->listener = f;
	c->fresh_until = now + FIRST_REQUEST_TIME;
	c->idle_deadline =
		f->stopping ? c->fresh_until : now + f->limits.request_timeout_ms * TLB_MS;
	f->accepted_late += f->stopping;
}

static void set_accepting(struct tlb_listener *f, bool accepting)
{
	tlb_loop_set_events(f->loop, f->watch, accepting ? TLB_READABLE : 0);
}

/* Accepts connections up to the limits of a round and of the listener. */
static void accept_conns(struct tlb_listener *f)
{
	int left = ACCEPTS_PER_ROUND;
	int fd;

	while (left-- > 0 && f->conns.count < f->limits.max_connections) {
		fd = accept4(f->listen_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
		if (fd >= 0) {
			add_conn(f, fd);
		} else if (errno == EAGAIN) {
			return;
		} else if (errno != EINTR && errno != ECONNABORTED) {
			tlb_log_warn("event=accept_failed addr=%s reason=\"%s\"", f->addr,
				     strerror(errno));
			break;
		}
	}
	if (left < 0)
		return;
	/* The queue stays readable meanwhile. */
	set_accepting(f, false);
	if (!f->stopping)
		tlb_timer_set(f->loop, &f->accept_timer, tlb_clock_now() + ACCEPT_RETRY_INTERVAL);
}

static void on_acceptable(void *arg, int events)
{
	accept_conns(arg);
}

static bool is_readable(int fd)
{
	struct pollfd p = {.fd = fd, .events = POLLIN};

	return poll(&p, 1, 0) > 0 && (p.revents & POLLIN);
}

/* Drops new handshakes, so that the accept queue can be emptied before the socket is closed:
 * closing resets what is still queued. Callers repeat the dropped segment and are then refused.
 * Filters see segments from the TCP header on. */
static bool drop_new_handshakes(int fd)
{
	enum { FLAGS_OFFSET = 13, SYN = 0x02, ACK = 0x10 };
	struct sock_filter code[] = {
		BPF_STMT(BPF_LD | BPF_B | BPF_ABS, FLAGS_OFFSET),
		BPF_STMT(BPF_ALU | BPF_AND | BPF_K, SYN | ACK),
		BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, SYN, 0, 1),
		BPF_STMT(BPF_RET | BPF_K, 0),
		BPF_STMT(BPF_RET | BPF_K, UINT32_MAX),
	};
	struct sock_fprog program = {.len = sizeof(code) / sizeof(code[0]), .filter = code};

	return setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program)) == 0;
}

static void close_listen_socket(struct tlb_listener *f)
{
	tlb_loop_unwatch(f->loop, f->watch);
	f->watch = NULL;
	close(f->listen_fd);
	f->listen_fd = -1;
	tlb_log_info("event=listener_closed addr=%s accepted_late=%d", f->addr, f->accepted_late);
}

/* When stopping, closes the socket once the accept queue is empty. */
static void on_accept_timer(void *arg)
{
	struct tlb_listener *f = arg;

	if (!f->stopping) {
		set_accepting(f, true);
		return;
	}
	accept_conns(f);
	if (!is_readable(f->listen_fd))
		close_listen_socket(f);
	else
		tlb_timer_set(f->loop, &f->accept_timer, tlb_clock_now() + ACCEPT_CHECK_INTERVAL);
}

/* --- periodic check of connections --- */

static void check_reading(struct tlb_caller_conn *c, tlb_time now)
{
	struct tlb_listener *f = c->listener;

	if (now >= c->idle_deadline) {
		tlb_caller_conn_close_if_idle(&f->conns, c);
		if (c->state == TLB_CALLER_CONN_CLOSED)
			add_ready(f, c);
	}
	if (now < read_deadline(c) || (tlb_loop_was_late(f->loop) && tlb_socket_has_unread(c->fd)))
		return;
	if (!c->exchange && !begin_exchange(c))
		return;
	c->exchange->close_connection = true;
	c->state = TLB_CALLER_CONN_BUSY;
	refuse_timed_out(c->exchange);
	respond(c);
}

/* A caller that has gone or half-closed its connection is taken for disconnected, but for one that
 * takes the rest of its response. */
static void check_busy(struct tlb_caller_conn *c)
{
	struct tlb_exchange *x = c->exchange;

	if (x->disconnected || c->output_waits || !tlb_socket_peer_closed(c->fd))
		return;
	tlb_exchange_disconnect(x);
	add_ready(c->listener, c);
}

static void check_conn(struct tlb_listener *f, struct tlb_caller_conn *c, tlb_time now)
{
	switch (c->state) {
	case TLB_CALLER_CONN_READING:
		check_reading(c, now);
		break;
	case TLB_CALLER_CONN_BUSY:
		check_busy(c);
		break;
	case TLB_CALLER_CONN_CLOSING:
		if (now >= c->close_deadline)
			close_conn(c);
		break;
	case TLB_CALLER_CONN_CLOSED:
		break;
	}
}

static void on_sweep(void *arg)
{
	struct tlb_listener *f = arg;
	tlb_time now = tlb_clock_now();
	struct tlb_caller_conn *c;

	APR_RING_FOREACH (c, &f->conns.all, tlb_caller_conn, link) {
		check_conn(f, c, now);
	}
	tlb_caller_conns_check_heads(&f->conns, now);
	tlb_timer_set(f->loop, &f->sweep_timer, now + SWEEP_MS * TLB_MS);
}

/* --- the listener --- */

enum tlb_code tlb_listener_init(struct tlb_listener *f, struct tlb_loop *l, const char *addr,
				const char *id_prefix, const struct tlb_listener_limits *limits,
				tlb_listener_request_fn *on_request, void *arg,
				struct tlb_error *err)
{
	memset(f, 0, sizeof(*f));
	f->loop = l;
	f->limits = *limits;
	f->on_request = on_request;
	f->arg = arg;
	snprintf(f->id_prefix, sizeof(f->id_prefix), "%s", id_prefix);
	APR_RING_INIT(&f->exchanges, tlb_exchange, link);
	APR_RING_INIT(&f->ready, tlb_caller_conn, ready_link);
	tlb_caller_conns_init(&f->conns, l, limits->memory);
	tlb_timer_init(&f->ready_timer, on_ready_timer, f);
	tlb_timer_init(&f->sweep_timer, on_sweep, f);
	tlb_timer_init(&f->accept_timer, on_accept_timer, f);
	f->listen_fd = tlb_address_listen(addr, f->addr, err);
	if (f->listen_fd < 0)
		return TLB_BAD_REQUEST;
	f->watch = tlb_loop_watch(l, f->listen_fd, TLB_READABLE, on_acceptable, f);
	if (!f->watch) {
		close(f->listen_fd);
		return tlb_error_set(err, TLB_INTERNAL, TLB_OUTCOME_NOT_RUN, "listen", addr,
				     "the HTTP listener could not start on %s", addr);
	}
	tlb_timer_set(l, &f->sweep_timer, tlb_clock_now() + SWEEP_MS * TLB_MS);
	return TLB_OK;
}

/* Whether a caller waits for a response that can still be sent. */
static bool has_unsent(const struct tlb_listener *f, tlb_time now)
{
	const struct tlb_caller_conn *c;
	const struct tlb_exchange *x;

	if (f->listen_fd >= 0 && is_readable(f->listen_fd))
		return true;
	APR_RING_FOREACH (x, &f->exchanges, tlb_exchange, link) {
		if (!x->disconnected && (x->state == TLB_EXCHANGE_REPLYING || x->out_done))
			return true;
	}
	APR_RING_FOREACH (c, &f->conns.all, tlb_caller_conn, link) {
		if (c->state == TLB_CALLER_CONN_READING &&
		    (now < c->fresh_until || tlb_socket_has_unread(c->fd)))
			return true;
	}
	return false;
}

static void serve_all(struct tlb_listener *f)
{
	struct tlb_caller_conn *c;

	if (f->listen_fd >= 0)
		accept_conns(f);
	APR_RING_FOREACH (c, &f->conns.all, tlb_caller_conn, link) {
		if (c->state == TLB_CALLER_CONN_READING)
			receive(c);
		else if (c->state == TLB_CALLER_CONN_BUSY)
			respond(c);
	}
	serve_ready(f);
}

/* Sends the last responses and refuses requests that have arrived and were not read. */
static void flush(struct tlb_listener *f)
{
	tlb_time deadline = tlb_clock_now() + FINISH_TIME;

	f->finishing = true;
	f->stopping = true;
	f->keepalive_disabled = true;
	if (f->listen_fd >= 0)
		drop_new_handshakes(f->listen_fd);
	serve_all(f);
	while (has_unsent(f, tlb_clock_now()) && tlb_clock_now() < deadline) {
		poll(NULL, 0, 1);
		serve_all(f);
	}
}

void tlb_listener_finish(struct tlb_listener *f)
{
	struct tlb_caller_conn *c;

	flush(f);
	APR_RING_FOREACH (c, &f->conns.all, tlb_caller_conn, link) {
		end_exchange(c);
	}
	tlb_caller_conns_finish(&f->conns);
	if (f->listen_fd >= 0) {
		tlb_loop_unwatch(f->loop, f->watch);
		close(f->listen_fd);
	}
	tlb_timer_clear(f->loop, &f->ready_timer);
	tlb_timer_clear(f->loop, &f->sweep_timer);
	tlb_timer_clear(f->loop, &f->accept_timer);
}

void tlb_listener_disable_keepalive(struct tlb_listener *f)
{
	f->keepalive_disabled = true;
}

void tlb_listener_close_idle(struct tlb_listener *f)
{
	tlb_time now = tlb_clock_now();
	struct tlb_caller_conn *c;

	APR_RING_FOREACH (c, &f->conns.all, tlb_caller_conn, link) {
		if (c->state != TLB_CALLER_CONN_READING || c->head_since != TLB_NEVER)
			continue;
		if (now < c->fresh_until) {
			c->idle_deadline = c->fresh_until;
			continue;
		}
		tlb_caller_conn_close_if_idle(&f->conns, c);
		if (c->state == TLB_CALLER_CONN_CLOSED)
			add_ready(f, c);
	}
}

void tlb_listener_stop_accepting(struct tlb_listener *f)
{
	tlb_time wait = 0;

	if (f->stopping)
		return;
	f->stopping = true;
	f->keepalive_disabled = true;
	tlb_listener_close_idle(f);
	if (drop_new_handshakes(f->listen_fd))
		wait = HANDSHAKE_TIME;
	else
		tlb_log_warn("event=listener_unfiltered addr=%s reason=\"%s\"", f->addr,
			     strerror(errno));
	tlb_timer_set(f->loop, &f->accept_timer, tlb_clock_now() + wait);
}

bool tlb_listener_stopped(const struct tlb_listener *f)
{
	return f->listen_fd < 0 && APR_RING_EMPTY(&f->exchanges, tlb_exchange, link) &&
	       APR_RING_EMPTY(&f->conns.all, tlb_caller_conn, link);
}

size_t tlb_listener_in_flight(const struct tlb_listener *f)
{
	const struct tlb_exchange *x;
	size_t n = 0;

	APR_RING_FOREACH (x, &f->exchanges, tlb_exchange, link) {
		n++;
	}
	return n;
}
