#include "listener.h"

#include <arpa/inet.h>
#include <errno.h>
#include <jansson.h>
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
#include "socket.h"

enum {
	SWEEP_MS = 200, /* interval of the check for timed-out and disconnected callers */
	/* What a response needs of its connection's memory besides its headers. */
	RESPONSE_MEMORY = 1024,
	/* What a header of a response takes in libmicrohttpd besides its bytes: the list entry, and
	 * allocations of its name and value. */
	RESPONSE_HEADER_MEMORY = 128,
	/* What an exchange takes besides its bytes, with a call to an endpoint. */
	EXCHANGE_MEMORY = 8192,
	/* A caller that was refused for lack of memory may come back after this time. */
	MEMORY_RETRY_AFTER_MS = 300,
	USER_TIMEOUT_MS = 10000,
	KEEPALIVE_IDLE_S = 5,
	KEEPALIVE_INTERVAL_S = 2,
	KEEPALIVE_PROBES = 3,
	COMPACT_FROM = 65536, /* sent bytes from which the stream buffer is compacted */
	STREAM_BUFFER_MAX = TLB_STREAM_BACKLOG_MAX + COMPACT_FROM,
	LATE_RUNS = 16, /* further runs of libmicrohttpd after the loop was late, at most */
};

/* Longest time that further runs after the loop was late take before other work has its turn. */
#define LATE_RUNS_TIME (20 * TLB_MS)

/* How long handshakes in progress may still complete after new ones are refused. */
#define HANDSHAKE_TIME (200 * TLB_MS)
/* How long a new connection may take to send its request once no more are accepted. */
#define FIRST_REQUEST_TIME (1 * TLB_SECOND)
#define ACCEPT_CHECK_INTERVAL (10 * TLB_MS)
/* Longest time that tlb_listener_finish() takes for the last responses. */
#define FINISH_TIME (100 * TLB_MS)

static void schedule_run(struct tlb_listener *f)
{
	tlb_timer_set(f->loop, &f->run_timer, tlb_clock_now());
}

static void resume(struct tlb_exchange *x)
{
	if (!x->suspended)
		return;
	x->suspended = false;
	MHD_resume_connection(x->conn);
	schedule_run(x->listener);
}

/* --- responses --- */

/* JSON body of an error response; malloc'd, NULL without memory. */
static char *error_body(const struct tlb_exchange *x, const struct tlb_error *err)
{
	json_t *j = json_pack("{s:{s:s,s:s,s:s,s:s}}", "error", "code", tlb_error_name(err->code),
			      "message", err->message, "outcome", tlb_outcome_name(err->outcome),
			      "request_id", x->id);
	char *text = j ? json_dumps(j, JSON_COMPACT) : NULL;

	json_decref(j);
	return text;
}

static ssize_t read_stream(void *arg, uint64_t pos, char *buf, size_t max)
{
	struct tlb_exchange *x = arg;
	size_t n = tlb_exchange_backlog(x);

	if (x->disconnected)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	if (n == 0 && x->out_done)
		return x->out_aborted ? MHD_CONTENT_READER_END_WITH_ERROR
				      : MHD_CONTENT_READER_END_OF_STREAM;
	if (n == 0) {
		x->suspended = true;
		MHD_suspend_connection(x->conn);
		return 0;
	}
	if (n > max)
		n = max;
	memcpy(buf, x->out.data + x->out_pos, n);
	x->out_pos += n;
	if (x->out_pos == x->out.len) {
		x->out_pos = 0;
		x->out.len = 0;
		if (x->out.cap > COMPACT_FROM)
			tlb_exchange_drop(x, &x->out);
	}
	return (ssize_t)n;
}

/* Returns false without memory. */
static bool add_forwarded_headers(const char *head, struct MHD_Response *r)
{
	char *lines = strdup(head);
	char *line = lines;
	char *end;
	char *value;

	if (!lines)
		return false;
	for (; (end = strchr(line, '\n')); line = end + 1) {
		*end = '\0';
		value = strchr(line, ':');
		if (!value)
			continue;
		*value++ = '\0';
		/* libmicrohttpd leaves out headers without a value. */
		MHD_add_response_header(r, line, value + strspn(value, " \t"));
	}
	free(lines);
	return true;
}

static void format_seconds(int ms, char *out, size_t size)
{
	if (ms % 1000 == 0)
		snprintf(out, size, "%d", ms / 1000);
	else
		snprintf(out, size, "%d.%03d", ms / 1000, ms % 1000);
}

/* Returns false without memory. */
static bool add_headers(struct tlb_exchange *x, struct MHD_Response *r)
{
	char seconds[16];

	if (x->reply_head) {
		if (!add_forwarded_headers(x->reply_head, r))
			return false;
	} else {
		MHD_add_response_header(r, "Content-Type", x->reply_type ? x->reply_type : "");
		MHD_add_response_header(r, "X-Request-Id", x->id);
	}
	if (x->retry_after_ms > 0) {
		format_seconds(x->retry_after_ms, seconds, sizeof(seconds));
		MHD_add_response_header(r, "Retry-After", seconds);
	}
	if (x->listener->keepalive_disabled || x->close_connection ||
	    tlb_caller_conns_memory_short(&x->listener->conns))
		MHD_add_response_header(r, "Connection", "close");
	return true;
}

static enum MHD_Result queue_response(struct tlb_exchange *x)
{
	struct MHD_Response *r;
	enum MHD_Result ok;

	if (x->state == TLB_EXCHANGE_STREAMING) {
		r = MHD_create_response_from_callback(MHD_SIZE_UNKNOWN, 4096, read_stream, x, NULL);
	} else {
		r = MHD_create_response_from_buffer(x->reply_len, x->reply, MHD_RESPMEM_MUST_FREE);
		x->reply = NULL;
	}
	if (!r)
		return MHD_NO;
	x->response_queued = true;
	ok = add_headers(x, r) ? MHD_queue_response(x->conn, (unsigned)x->status, r) : MHD_NO;
	MHD_destroy_response(r);
	return ok;
}

static void set_reply_type(struct tlb_exchange *x, const char *type)
{
	free(x->reply_type);
	x->reply_type = strdup(type ? type : "");
}

void tlb_exchange_reply(struct tlb_exchange *x, int status, const char *content_type, char *body,
			size_t len)
{
	x->state = TLB_EXCHANGE_REPLYING;
	x->on_disconnect = NULL;
	x->status = status;
	x->reply = body;
	x->reply_len = len;
	tlb_memory_charge_used(&x->memory, len);
	set_reply_type(x, content_type);
	resume(x);
}

void tlb_exchange_refuse_ms(struct tlb_exchange *x, const struct tlb_error *err, int retry_after_ms)
{
	int status = tlb_error_http_status(err->code);
	char *text = error_body(x, err);

	if (!text)
		text = strdup("{}");
	if (status == 429 || status == 503)
		x->retry_after_ms = retry_after_ms;
	tlb_exchange_reply(x, status, "application/json", text, strlen(text));
}

void tlb_exchange_refuse(struct tlb_exchange *x, const struct tlb_error *err, int retry_after_s)
{
	tlb_exchange_refuse_ms(x, err, 1000 * (retry_after_s > 0 ? retry_after_s : 1));
}

static size_t count_lines(const char *text)
{
	size_t n = 0;

	for (; *text; text++)
		n += *text == '\n';
	return n;
}

bool tlb_exchange_set_head(struct tlb_exchange *x, const char *head)
{
	size_t len = strlen(head);

	if (x->head_memory + len + RESPONSE_MEMORY > TLB_CALLER_CONN_MEMORY ||
	    !tlb_memory_charge(&x->memory, 2 * len + count_lines(head) * RESPONSE_HEADER_MEMORY))
		return false;
	x->reply_head = strdup(head);
	return x->reply_head != NULL;
}

void tlb_exchange_forward(struct tlb_exchange *x, int status, char *body, size_t len)
{
	tlb_exchange_reply(x, status, "", body, len);
}

void tlb_exchange_stream_forward(struct tlb_exchange *x, int status)
{
	tlb_exchange_stream_begin(x);
	x->status = status;
}

const char *tlb_exchange_header(const struct tlb_exchange *x, const char *name)
{
	return MHD_lookup_connection_value(x->conn, MHD_HEADER_KIND, name);
}

struct header_visit {
	tlb_exchange_header_fn *fn;
	void *arg;
};

static enum MHD_Result visit_header(void *arg, enum MHD_ValueKind kind, const char *name,
				    const char *value)
{
	const struct header_visit *v = arg;

	v->fn(v->arg, name, value ? value : "");
	return MHD_YES;
}

void tlb_exchange_each_header(const struct tlb_exchange *x, tlb_exchange_header_fn *fn, void *arg)
{
	struct header_visit v = {fn, arg};

	MHD_get_connection_values(x->conn, MHD_HEADER_KIND, visit_header, &v);
}

static void log_refusal(const struct tlb_exchange *x, const char *account,
			const struct tlb_error *err)
{
	char reason[2 * TLB_MESSAGE_LEN];

	tlb_log_info("event=refuse request=%s account=%s code=%s reason=\"%s\"", x->id, account,
		     tlb_error_name(err->code),
		     tlb_log_escape(reason, sizeof(reason), err->message));
}

void tlb_exchange_refuse_unadmitted(struct tlb_exchange *x, const char *account,
				    const struct tlb_error *err)
{
	log_refusal(x, account, err);
	tlb_exchange_refuse(x, err, 0);
}

void tlb_exchange_stream_begin(struct tlb_exchange *x)
{
	x->state = TLB_EXCHANGE_STREAMING;
	x->status = 200;
	set_reply_type(x, "text/event-stream");
	resume(x);
}

/* Moves the unsent bytes to the start of the buffer. Without this the buffer would grow during the
 * whole stream when the caller never catches up completely. */
static void compact(struct tlb_exchange *x)
{
	if (x->out_pos < COMPACT_FROM)
		return;
	memmove(x->out.data, x->out.data + x->out_pos, tlb_exchange_backlog(x));
	x->out.len -= x->out_pos;
	x->out_pos = 0;
}

bool tlb_exchange_stream_write(struct tlb_exchange *x, const char *data, size_t len)
{
	if (tlb_exchange_backlog(x) + len > TLB_STREAM_BACKLOG_MAX)
		return false;
	compact(x);
	if (!tlb_memory_append(&x->memory, &x->out, data, len, STREAM_BUFFER_MAX))
		return false;
	resume(x);
	return true;
}

bool tlb_exchange_hold(struct tlb_exchange *x, struct tlb_buffer *b, const char *data, size_t len,
		       size_t max)
{
	return tlb_memory_append(&x->memory, b, data, len, max);
}

void tlb_exchange_drop(struct tlb_exchange *x, struct tlb_buffer *b)
{
	tlb_memory_return(&x->memory, b->cap);
	tlb_buffer_finish(b);
}

void tlb_exchange_stream_end(struct tlb_exchange *x, bool complete)
{
	x->on_disconnect = NULL;
	x->out_done = true;
	x->out_aborted = !complete;
	resume(x);
}

/* --- disconnected callers --- */

/* Whether the caller closed or half-closed the connection. Both count as disconnected. */
static bool caller_closed(int fd)
{
	struct tcp_info info;
	socklen_t len = sizeof(info);
	char byte;

	/* recv() returns 0 when nothing precedes the end of the stream. When bytes of a pipelined
	 * request do, only the TCP state shows the close. */
	if (recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0)
		return true;
	if (fd < 0 || getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &len) != 0)
		return true;
	return info.tcpi_state != TCP_ESTABLISHED;
}

static void notify_disconnect(struct tlb_exchange *x)
{
	tlb_exchange_disconnect_fn *fn = x->on_disconnect;

	x->disconnected = true;
	x->on_disconnect = NULL;
	if (fn)
		fn(x->arg);
}

bool tlb_exchange_check_caller(struct tlb_exchange *x)
{
	const struct tlb_loop *l = x->listener->loop;

	if (x->disconnected)
		return true;
	if (x->fd < 0 || !tlb_loop_was_late(l) || x->caller_checked_at >= l->polled_at)
		return false;
	x->caller_checked_at = tlb_clock_now();
	if (!caller_closed(x->fd))
		return false;
	notify_disconnect(x);
	resume(x);
	return true;
}

/* --- requests --- */

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

static void free_exchange(struct tlb_exchange *x)
{
	sodium_memzero(x->key, sizeof(x->key));
	free(x->method);
	free(x->target);
	free(x->path);
	free(x->reply_type);
	tlb_buffer_finish(&x->body);
	free(x->reply);
	free(x->reply_head);
	tlb_buffer_finish(&x->out);
	tlb_memory_release(&x->memory);
	free(x);
}

static int fd_of(struct MHD_Connection *c)
{
	const union MHD_ConnectionInfo *i;

	i = MHD_get_connection_info(c, MHD_CONNECTION_INFO_CONNECTION_FD);
	return i ? i->connect_fd : -1;
}

static struct tlb_caller_conn *conn_of(struct MHD_Connection *c)
{
	const union MHD_ConnectionInfo *i;

	i = MHD_get_connection_info(c, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
	return i ? i->socket_context : NULL;
}

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

/* Sets the arrival of a request that is read now. After the loop was late, it may have waited. */
static void set_arrival(struct tlb_exchange *x, tlb_time now)
{
	struct tlb_listener *f = x->listener;

	x->arrived = now;
	x->arrived_after = now;
	if (!tlb_loop_was_late(f->loop))
		return;
	if (read_arrival(f, x->fd, now, &x->arrived))
		x->arrived_after = x->arrived;
	else if (f->loop->late)
		x->arrived_after = f->loop->late_since;
}

/* Copies the raw request target, which libmicrohttpd passes before decoding it, unless the request
 * will be refused. Returns false without memory. */
static bool copy_target(struct tlb_exchange *x, const char *uri)
{
	size_t len = strlen(uri);

	x->headers_too_large = len > TLB_LISTENER_HEADERS_MAX;
	x->memory_refused = !x->headers_too_large && !tlb_memory_charge(&x->memory, len);
	x->target = strdup(x->headers_too_large || x->memory_refused ? "" : uri);
	return x->target != NULL;
}

/* Creates the exchange when its request line has arrived. */
static void *on_uri(void *arg, const char *uri, struct MHD_Connection *conn)
{
	struct tlb_listener *f = arg;
	struct tlb_exchange *x = calloc(1, sizeof(*x));
	struct tlb_caller_conn *fc = conn_of(conn);
	tlb_time now = tlb_clock_now();

	if (!x)
		return NULL;
	x->memory.memory = f->limits.memory;
	if (!copy_target(x, uri)) {
		tlb_memory_release(&x->memory);
		free(x);
		return NULL;
	}
	if (fc)
		tlb_caller_conn_begin_request(&f->conns, fc, strlen(x->target), now);
	x->listener = f;
	x->conn = conn;
	x->fd = fd_of(conn);
	set_arrival(x, now);
	x->read_deadline = now + f->limits.request_timeout_ms * TLB_MS;
	x->query = "";
	x->content_type = "";
	snprintf(x->id, sizeof(x->id), "%s-%llx", f->id_prefix, ++f->next_id);
	APR_RING_INSERT_TAIL(&f->exchanges, x, tlb_exchange, link);
	return x;
}

/* Reserves memory for a body whose length is stated. Returns false when it does not fit. */
static bool reserve_body(struct tlb_exchange *x)
{
	const char *text = tlb_exchange_header(x, "Content-Length");
	unsigned long long len = text ? strtoull(text, NULL, 10) : 0;

	if (len == 0 || len > x->listener->limits.max_body_bytes)
		return true;
	return tlb_memory_enlarge(&x->memory, &x->body, len + 1);
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

/* Splits the target. Returns false without memory. */
static bool split_target(struct tlb_exchange *x)
{
	size_t path_len = strcspn(x->target, "?");

	x->memory_refused |= !tlb_memory_charge(&x->memory, path_len);
	x->path = strndup(x->target, path_len);
	if (x->target[path_len])
		x->query = x->target + path_len + 1;
	return x->path != NULL;
}

/* Returns false without memory. */
static bool begin_exchange(struct tlb_exchange *x, const char *method)
{
	struct tlb_caller_conn *fc = conn_of(x->conn);

	if (fc) {
		fc->idle_deadline = TLB_NEVER;
		tlb_caller_conn_end_head(&x->listener->conns, fc);
	}
	x->method = strdup(method);
	if (!x->method || !split_target(x))
		return false;
	tlb_request_head_read(x);
	x->memory_refused |= !tlb_memory_charge(&x->memory, EXCHANGE_MEMORY) || !reserve_body(x);
	return true;
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

/* Sends 408 to a caller whose request did not arrive completely in time, and closes the connection.
 * libmicrohttpd accepts a response only before or after the request body, so the response is
 * written to the socket directly; no other response byte has been written at this point. */
static void refuse_timed_out(struct tlb_exchange *x)
{
	struct tlb_error err;
	char *body;
	char *text = NULL;
	int len;

	tlb_error_set(&err, TLB_TIMEOUT, TLB_OUTCOME_NOT_RUN, "read", "",
		      "the request did not arrive whole within %lld ms",
		      (long long)x->listener->limits.request_timeout_ms);
	log_refusal(x, "", &err);
	body = error_body(x, &err);
	len = asprintf(&text,
		       "HTTP/1.1 408 Request Timeout\r\nContent-Type: application/json\r\n"
		       "X-Request-Id: %s\r\nContent-Length: %zu\r\nConnection: close\r\n\r\n%s",
		       x->id, strlen(body ? body : ""), body ? body : "");
	if (len > 0)
		send(x->fd, text, (size_t)len, MSG_DONTWAIT | MSG_NOSIGNAL);
	if (len >= 0)
		free(text);
	free(body);
	shutdown(x->fd, SHUT_RDWR);
	/* The rest of the request may have arrived meanwhile; it must not be processed any more. */
	x->disconnected = true;
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

/* Refuses a request that does not fit into the memory. Its connection is closed, which frees what
 * libmicrohttpd holds for it. */
static void refuse_memory(struct tlb_exchange *x)
{
	struct tlb_error err;

	tlb_error_set(&err, TLB_OVERLOADED, TLB_OUTCOME_NOT_RUN, "read", "",
		      "no memory for the request");
	x->close_connection = true;
	log_refusal(x, "", &err);
	tlb_exchange_refuse_ms(x, &err, MEMORY_RETRY_AFTER_MS);
}

/* Whether the caller has left while its request waited to be read. */
static bool is_abandoned(struct tlb_exchange *x)
{
	if (!tlb_exchange_check_caller(x))
		return false;
	tlb_log_info("event=request_abandoned request=%s", x->id);
	return true;
}

static enum MHD_Result on_access(void *arg, struct MHD_Connection *conn, const char *url,
				 const char *method, const char *version, const char *data,
				 size_t *data_len, void **con_cls)
{
	struct tlb_exchange *x = *con_cls;
	struct tlb_listener *f = arg;

	if (!x || x->disconnected)
		return MHD_NO;
	if (!x->method)
		return begin_exchange(x, method) ? MHD_YES : MHD_NO;
	if (*data_len > 0) {
		store_body(x, data, *data_len);
		*data_len = 0;
		return MHD_YES;
	}
	if (x->state == TLB_EXCHANGE_READING) {
		x->state = TLB_EXCHANGE_RUNNING;
		if (x->header_error)
			refuse_headers(x);
		else if (x->headers_too_large || x->body_too_large)
			refuse_too_large(x);
		else if (f->finishing)
			refuse_stopping(x);
		else if (x->memory_refused)
			refuse_memory(x);
		else if (!is_abandoned(x))
			f->on_request(f->arg, x);
		sodium_memzero(x->key, sizeof(x->key));
	}
	if (x->disconnected)
		return MHD_NO;
	if (x->state != TLB_EXCHANGE_RUNNING)
		return queue_response(x);
	x->suspended = true;
	MHD_suspend_connection(conn);
	return MHD_YES;
}

static void on_completed(void *arg, struct MHD_Connection *conn, void **con_cls,
			 enum MHD_RequestTerminationCode code)
{
	struct tlb_exchange *x = *con_cls;
	struct tlb_caller_conn *fc = conn_of(conn);
	struct tlb_listener *f = arg;
	tlb_time now = tlb_clock_now();

	if (fc)
		tlb_caller_conn_end_request(fc, now, now + f->limits.idle_timeout_ms * TLB_MS);
	if (!x)
		return;
	*con_cls = NULL;
	notify_disconnect(x);
	APR_RING_REMOVE(x, link);
	free_exchange(x);
}

static void on_connection(void *arg, struct MHD_Connection *conn, void **socket_context,
			  enum MHD_ConnectionNotificationCode code)
{
	struct tlb_listener *f = arg;
	struct tlb_caller_conn *fc = *socket_context;
	const union MHD_ConnectionInfo *i;
	tlb_time now = tlb_clock_now();

	if (code == MHD_CONNECTION_NOTIFY_CLOSED) {
		if (fc)
			tlb_caller_conn_remove(&f->conns, fc);
		*socket_context = NULL;
		return;
	}
	i = MHD_get_connection_info(conn, MHD_CONNECTION_INFO_CONNECTION_FD);
	fc = tlb_caller_conn_add(&f->conns, i->connect_fd, now);
	if (!fc)
		return;
	fc->fresh_until = now + FIRST_REQUEST_TIME;
	fc->idle_deadline =
		f->stopping ? fc->fresh_until : now + f->limits.request_timeout_ms * TLB_MS;
	f->accepted_late += f->stopping;
	set_socket_options(fc->fd);
	*socket_context = fc;
}

/* --- periodic check of connections --- */

static bool is_readable(int fd)
{
	struct pollfd p = {.fd = fd, .events = POLLIN};

	return poll(&p, 1, 0) > 0 && (p.revents & POLLIN);
}

static void sweep_exchange(struct tlb_exchange *x, tlb_time now)
{
	if (x->disconnected || x->fd < 0)
		return;
	if (x->state == TLB_EXCHANGE_READING && now >= x->read_deadline &&
	    !(tlb_loop_was_late(x->listener->loop) && tlb_socket_has_unread(x->fd)))
		refuse_timed_out(x);
	/* libmicrohttpd does not poll a suspended connection, so it can't detect the disconnect. */
	if (!x->suspended || !caller_closed(x->fd))
		return;
	notify_disconnect(x);
	resume(x);
}

static void on_sweep(void *arg)
{
	struct tlb_listener *f = arg;
	tlb_time now = tlb_clock_now();
	struct tlb_exchange *x;
	struct tlb_exchange *next;
	struct tlb_caller_conn *fc;

	APR_RING_FOREACH_SAFE (x, next, &f->exchanges, tlb_exchange, link) {
		sweep_exchange(x, now);
	}
	tlb_caller_conns_check_heads(&f->conns, now);
	APR_RING_FOREACH (fc, &f->conns.all, tlb_caller_conn, link) {
		if ((now >= fc->idle_deadline && (!f->stopping || !fc->in_request)) ||
		    tlb_caller_conn_gives_memory_back(&f->conns, fc, now))
			tlb_caller_conn_close_if_idle(fc);
	}
	tlb_timer_set(f->loop, &f->sweep_timer, now + SWEEP_MS * TLB_MS);
}

/* --- event loop integration --- */

static bool has_more_to_do(struct tlb_listener *f)
{
	MHD_UNSIGNED_LONG_LONG ms;

	return MHD_get_timeout(f->daemon, &ms) == MHD_YES && ms == 0;
}

static void run_once(struct tlb_listener *f)
{
	f->conns.runs++;
	MHD_run(f->daemon);
}

/* libmicrohttpd reads a part of a request at a time. When the loop was late, what has arrived is
 * read before deadlines are applied. */
static void run(struct tlb_listener *f)
{
	MHD_UNSIGNED_LONG_LONG ms;
	int late_runs = tlb_loop_was_late(f->loop) ? LATE_RUNS : 0;
	tlb_time late_deadline = tlb_clock_now() + LATE_RUNS_TIME;

	run_once(f);
	while (late_runs-- > 0 && tlb_clock_now() < late_deadline && has_more_to_do(f)) {
		tlb_caller_conns_check_many_heads(&f->conns, tlb_clock_now());
		run_once(f);
	}
	if (MHD_get_timeout(f->daemon, &ms) == MHD_YES)
		tlb_timer_set(f->loop, &f->run_timer, tlb_clock_now() + (tlb_time)ms * TLB_MS);
}

static void on_readable(void *arg, int events)
{
	run(arg);
}

static void on_run_timer(void *arg)
{
	run(arg);
}

/* --- end of accepting --- */

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
	MHD_socket fd = MHD_quiesce_daemon(f->daemon);

	if (fd != MHD_INVALID_SOCKET)
		close(fd);
	f->listen_fd = -1;
	tlb_log_info("event=listener_closed addr=%s accepted_late=%d", f->addr, f->accepted_late);
}

/* Closes the socket when the accept queue is empty. libmicrohttpd accepts a few connections at a
 * time, and none while it has max_connections. */
static void on_accept_timer(void *arg)
{
	struct tlb_listener *f = arg;

	run(f);
	if (!is_readable(f->listen_fd))
		close_listen_socket(f);
	else
		tlb_timer_set(f->loop, &f->accept_timer, tlb_clock_now() + ACCEPT_CHECK_INTERVAL);
}

static enum tlb_code start_daemon(struct tlb_listener *f, const char *addr, struct tlb_error *err)
{
	struct MHD_OptionItem no_options[] = {{MHD_OPTION_END, 0, NULL}};

	f->listen_fd = tlb_address_listen(addr, f->addr, err);
	if (f->listen_fd < 0)
		return TLB_BAD_REQUEST;
	f->daemon = MHD_start_daemon(
		MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL, on_access, f,
		MHD_OPTION_LISTEN_SOCKET, f->listen_fd, MHD_OPTION_URI_LOG_CALLBACK, on_uri, f,
		MHD_OPTION_NOTIFY_COMPLETED, on_completed, f, MHD_OPTION_NOTIFY_CONNECTION,
		on_connection, f, MHD_OPTION_CONNECTION_LIMIT, f->limits.max_connections,
		MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)TLB_CALLER_CONN_MEMORY,
		MHD_OPTION_ARRAY, no_options, MHD_OPTION_END);
	if (!f->daemon) {
		close(f->listen_fd);
		return tlb_error_set(err, TLB_INTERNAL, TLB_OUTCOME_NOT_RUN, "listen", addr,
				     "the HTTP listener could not start on %s", addr);
	}
	return TLB_OK;
}

enum tlb_code tlb_listener_init(struct tlb_listener *f, struct tlb_loop *l, const char *addr,
				const char *id_prefix, const struct tlb_listener_limits *limits,
				tlb_listener_request_fn *on_request, void *arg,
				struct tlb_error *err)
{
	const union MHD_DaemonInfo *i;
	enum tlb_code code;

	memset(f, 0, sizeof(*f));
	f->loop = l;
	f->limits = *limits;
	f->on_request = on_request;
	f->arg = arg;
	snprintf(f->id_prefix, sizeof(f->id_prefix), "%s", id_prefix);
	APR_RING_INIT(&f->exchanges, tlb_exchange, link);
	tlb_caller_conns_init(&f->conns, l, limits->memory);
	tlb_timer_init(&f->run_timer, on_run_timer, f);
	tlb_timer_init(&f->sweep_timer, on_sweep, f);
	tlb_timer_init(&f->accept_timer, on_accept_timer, f);
	code = start_daemon(f, addr, err);
	if (code != TLB_OK)
		return code;
	i = MHD_get_daemon_info(f->daemon, MHD_DAEMON_INFO_EPOLL_FD);
	f->watch = tlb_loop_watch(l, i->epoll_fd, TLB_READABLE, on_readable, f);
	tlb_timer_set(l, &f->sweep_timer, tlb_clock_now() + SWEEP_MS * TLB_MS);
	return TLB_OK;
}

/* Whether a caller waits for a response that can still be sent. */
static bool has_unsent(const struct tlb_listener *f, tlb_time now)
{
	const struct tlb_caller_conn *fc;
	const struct tlb_exchange *x;

	if (f->listen_fd >= 0 && is_readable(f->listen_fd))
		return true;
	APR_RING_FOREACH (x, &f->exchanges, tlb_exchange, link) {
		if (!x->disconnected && (x->state == TLB_EXCHANGE_REPLYING || x->out_done))
			return true;
	}
	APR_RING_FOREACH (fc, &f->conns.all, tlb_caller_conn, link) {
		if (!fc->in_request && (now < fc->fresh_until || tlb_socket_has_unread(fc->fd)))
			return true;
	}
	return false;
}

/* Sends the last responses and refuses requests that have arrived and were not read. */
static void flush(struct tlb_listener *f)
{
	tlb_time deadline = tlb_clock_now() + FINISH_TIME;
	const union MHD_DaemonInfo *i;
	struct pollfd p = {.events = POLLIN};

	i = MHD_get_daemon_info(f->daemon, MHD_DAEMON_INFO_EPOLL_FD);
	p.fd = i->epoll_fd;
	f->finishing = true;
	f->keepalive_disabled = true;
	if (f->listen_fd >= 0)
		drop_new_handshakes(f->listen_fd);
	MHD_run(f->daemon);
	while (has_unsent(f, tlb_clock_now()) && tlb_clock_now() < deadline) {
		poll(&p, 1, 1);
		MHD_run(f->daemon);
	}
}

void tlb_listener_finish(struct tlb_listener *f)
{
	struct tlb_exchange *x;

	flush(f);
	APR_RING_FOREACH (x, &f->exchanges, tlb_exchange, link) {
		notify_disconnect(x);
		if (x->suspended)
			MHD_resume_connection(x->conn);
		x->suspended = false;
	}
	MHD_run(f->daemon);
	tlb_loop_unwatch(f->loop, f->watch);
	tlb_timer_clear(f->loop, &f->run_timer);
	tlb_timer_clear(f->loop, &f->sweep_timer);
	tlb_timer_clear(f->loop, &f->accept_timer);
	MHD_stop_daemon(f->daemon);
	tlb_caller_conns_finish(&f->conns);
}

void tlb_listener_disable_keepalive(struct tlb_listener *f)
{
	f->keepalive_disabled = true;
}

void tlb_listener_close_idle(struct tlb_listener *f)
{
	tlb_time now = tlb_clock_now();
	struct tlb_caller_conn *fc;

	APR_RING_FOREACH (fc, &f->conns.all, tlb_caller_conn, link) {
		if (fc->in_request)
			continue;
		if (now >= fc->fresh_until)
			tlb_caller_conn_close_if_idle(fc);
		else
			fc->idle_deadline = fc->fresh_until;
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
