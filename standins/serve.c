#include "serve.h"

#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <unistd.h>

enum {
	STACK_BYTES = 512 * 1024,
	CONNECTION_LIMIT = 4096,
	STREAM_BLOCK = 4096,
	BODY_MAX = 64 << 20,
};

#define POLL_MAX (3600 * TLB_SECOND)

bool standin_is(const struct standin_request *rq, const char *method, const char *path)
{
	return strcmp(rq->method, method) == 0 && strcmp(rq->path, path) == 0;
}

const char *standin_header(const struct standin_request *rq, const char *name)
{
	size_t i;

	for (i = 0; i < rq->header_count; i++)
		if (strcasecmp(rq->headers[i].name, name) == 0)
			return rq->headers[i].value;
	return NULL;
}

const char *standin_query(const struct standin_request *rq, const char *name)
{
	return MHD_lookup_connection_value(rq->mhd, MHD_GET_ARGUMENT_KIND, name);
}

json_t *standin_body(struct standin_request *rq)
{
	json_t *body = json_loadb(rq->body, rq->body_len, 0, NULL);

	if (json_is_object(body))
		return body;
	json_decref(body);
	standin_reply_error(rq, MHD_HTTP_BAD_REQUEST, "bad_json");
	return NULL;
}

void standin_reply_bytes(struct standin_request *rq, int status, const char *data, size_t len)
{
	free(rq->response_body);
	rq->response_body = malloc(len + 1);
	if (!rq->response_body)
		abort();
	memcpy(rq->response_body, data, len);
	rq->response_len = len;
	rq->status = status;
	rq->content_type = "application/octet-stream";
}

void standin_reply(struct standin_request *rq, int status, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT | JSON_SORT_KEYS);

	json_decref(body);
	if (!text) {
		/* The request contained text that is not UTF-8. */
		status = MHD_HTTP_BAD_REQUEST;
		text = strdup("{\"error\":\"not_utf8\"}");
	}
	if (!text)
		abort();
	standin_reply_bytes(rq, status, text, strlen(text));
	rq->content_type = "application/json";
	free(text);
}

void standin_reply_error(struct standin_request *rq, int status, const char *code)
{
	standin_reply(rq, status, json_pack("{s:s}", "error", code));
}

void standin_reply_stream(struct standin_request *rq, const char *content_type,
			  standin_stream_fn *fn, void (*free_fn)(void *arg), void *arg)
{
	rq->status = MHD_HTTP_OK;
	rq->content_type = content_type;
	rq->stream = fn;
	rq->stream_free = free_fn;
	rq->stream_arg = arg;
}

/* Waits for the peer to close; returns whether it did so before until. */
static bool poll_closed(const struct standin_conn *conn, tlb_time until)
{
	struct pollfd p = {.fd = conn->fd, .events = POLLRDHUP};
	struct timespec ts;
	tlb_time left;
	int n;

	for (;;) {
		left = until - tlb_clock_now();
		if (left < 0)
			left = 0;
		if (left > POLL_MAX)
			left = POLL_MAX;
		ts.tv_sec = left / TLB_SECOND;
		ts.tv_nsec = left % TLB_SECOND * 1000;
		n = ppoll(&p, 1, &ts, NULL);
		if (n > 0)
			return true;
		if (n == 0 && left < POLL_MAX)
			return false;
		if (n < 0 && errno != EINTR)
			return true;
	}
}

bool standin_wait(struct standin_request *rq, tlb_time until)
{
	tlb_time left;

	if (!poll_closed(rq->conn, until))
		return true;
	if (!rq->conn->silent)
		return false;
	left = until - tlb_clock_now();
	if (left > 0)
		usleep(left);
	return true;
}

bool standin_disconnected(struct standin_request *rq)
{
	return !rq->conn->silent && poll_closed(rq->conn, 0);
}

/* Keeps the connection open without sending, until the peer closes or duration has passed (0: no
 * limit). */
static void hold_open(struct standin_request *rq, tlb_time duration)
{
	poll_closed(rq->conn, duration ? tlb_clock_now() + duration : TLB_NEVER);
}

static void request_free(struct standin_request *rq)
{
	size_t i;

	if (rq->stream_free)
		rq->stream_free(rq->stream_arg);
	for (i = 0; i < rq->header_count; i++) {
		free(rq->headers[i].name);
		free(rq->headers[i].value);
	}
	free(rq->headers);
	free(rq->method);
	free(rq->url);
	free(rq->path);
	free(rq->body);
	free(rq->response_body);
	free(rq);
}

static void *on_uri(void *cls, const char *uri, struct MHD_Connection *mhd)
{
	struct standin_request *rq = calloc(1, sizeof(*rq));

	if (!rq)
		abort();
	rq->listener = cls;
	rq->mhd = mhd;
	rq->url = strdup(uri);
	return rq;
}

static enum MHD_Result on_header(void *cls, enum MHD_ValueKind kind, const char *name,
				 const char *value)
{
	struct standin_request *rq = cls;
	struct standin_header *h;

	h = realloc(rq->headers, (rq->header_count + 1) * sizeof(*h));
	if (!h)
		return MHD_NO;
	rq->headers = h;
	h += rq->header_count++;
	h->name = strdup(name);
	h->value = strdup(value ? value : "");
	return MHD_YES;
}

static enum MHD_Result begin(struct standin_request *rq, const char *method, const char *path)
{
	const union MHD_ConnectionInfo *info;

	info = MHD_get_connection_info(rq->mhd, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
	rq->conn = info->socket_context;
	rq->method = strdup(method);
	rq->path = strdup(path);
	rq->body = calloc(1, 1);
	if (rq->conn->silent) {
		hold_open(rq, 0);
		return MHD_NO;
	}
	MHD_get_connection_values(rq->mhd, MHD_HEADER_KIND, on_header, rq);
	return MHD_YES;
}

static enum MHD_Result append(struct standin_request *rq, const char *data, size_t len)
{
	char *body;

	if (rq->body_len + len > BODY_MAX)
		return MHD_NO;
	body = realloc(rq->body, rq->body_len + len + 1);
	if (!body)
		return MHD_NO;
	memcpy(body + rq->body_len, data, len);
	rq->body = body;
	rq->body_len += len;
	body[rq->body_len] = '\0';
	return MHD_YES;
}

/* Applies a fault within a stream; returns false if the stream must end. */
static bool stream_fault(struct standin_request *rq)
{
	if (rq->events_sent != rq->fault.after_tokens)
		return true;
	switch (rq->fault.kind) {
	case STANDIN_DELAY:
		return rq->fault.after_tokens == 0 ||
		       standin_wait(rq, tlb_clock_now() + rq->fault.duration);
	case STANDIN_STALL:
		hold_open(rq, rq->fault.duration);
		return false;
	case STANDIN_DIE:
		_exit(STANDIN_DIE_STATUS);
	case STANDIN_CUT:
		return false;
	default:
		return true;
	}
}

static ssize_t on_stream(void *cls, uint64_t pos, char *buf, size_t max)
{
	struct standin_request *rq = cls;
	ssize_t n;

	if (!stream_fault(rq))
		return MHD_CONTENT_READER_END_WITH_ERROR;
	n = rq->stream(rq->stream_arg, rq, buf, max);
	if (rq->conn->silent) {
		/* The service cannot detect the lost connection and produces the whole stream. */
		while (n > 0)
			n = rq->stream(rq->stream_arg, rq, buf, max);
		rq->stream_free(rq->stream_arg);
		rq->stream_free = NULL;
		hold_open(rq, 0);
		return MHD_CONTENT_READER_END_WITH_ERROR;
	}
	rq->events_sent++;
	if (n == 0)
		return MHD_CONTENT_READER_END_OF_STREAM;
	return n > 0 ? n : MHD_CONTENT_READER_END_WITH_ERROR;
}

/* Sends the first half of the response, then aborts the connection. */
static ssize_t on_cut(void *cls, uint64_t pos, char *buf, size_t max)
{
	struct standin_request *rq = cls;
	size_t half = rq->response_len / 2;
	size_t n = half - pos;

	if (pos >= half)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	if (n > max)
		n = max;
	memcpy(buf, rq->response_body + pos, n);
	return n;
}

static struct MHD_Response *make_response(struct standin_request *rq)
{
	if (rq->stream)
		return MHD_create_response_from_callback(MHD_SIZE_UNKNOWN, STREAM_BLOCK, on_stream,
							 rq, NULL);
	if (rq->fault.kind == STANDIN_CUT)
		return MHD_create_response_from_callback(rq->response_len, STREAM_BLOCK, on_cut, rq,
							 NULL);
	return MHD_create_response_from_buffer(rq->response_len, rq->response_body,
					       MHD_RESPMEM_PERSISTENT);
}

static enum MHD_Result send_response(struct standin_request *rq)
{
	struct MHD_Response *rsp = make_response(rq);
	enum MHD_Result rv;

	if (!rsp)
		return MHD_NO;
	MHD_add_response_header(rsp, MHD_HTTP_HEADER_CONTENT_TYPE, rq->content_type);
	rv = MHD_queue_response(rq->mhd, rq->status, rsp);
	MHD_destroy_response(rsp);
	return rv;
}

/* Applies a fault before execution; returns false if the request must not be executed. */
static bool fault_before(struct standin_request *rq)
{
	bool later = rq->fault.after_tokens > 0;

	switch (rq->fault.kind) {
	case STANDIN_DELAY:
		return later || standin_wait(rq, tlb_clock_now() + rq->fault.duration);
	case STANDIN_STALL:
		if (!later)
			hold_open(rq, rq->fault.duration);
		return later;
	case STANDIN_CLOSE_AFTER_READ:
		return false;
	case STANDIN_DIE:
		if (!later)
			_exit(STANDIN_DIE_STATUS);
		return true;
	default:
		return true;
	}
}

static enum MHD_Result serve(struct standin_request *rq)
{
	if (rq->listener->on_read)
		rq->listener->on_read(rq);
	if (!fault_before(rq))
		return MHD_NO;
	if (rq->fault.kind == STANDIN_REFUSE)
		standin_reply_error(rq, MHD_HTTP_SERVICE_UNAVAILABLE, "refused");
	else
		rq->listener->handle(rq);
	if (!rq->status)
		standin_reply_error(rq, MHD_HTTP_NOT_FOUND, "not_found");
	if (rq->fault.kind == STANDIN_DROP_ANSWER)
		return MHD_NO;
	if (rq->conn->silent && !rq->stream) {
		hold_open(rq, 0);
		return MHD_NO;
	}
	return send_response(rq);
}

static enum MHD_Result on_request(void *cls, struct MHD_Connection *mhd, const char *url,
				  const char *method, const char *version, const char *data,
				  size_t *data_len, void **con_cls)
{
	struct standin_request *rq = *con_cls;
	size_t len = *data_len;

	if (!rq->method)
		return begin(rq, method, url);
	if (len == 0)
		return serve(rq);
	*data_len = 0;
	return append(rq, data, len);
}

static void on_completed(void *cls, struct MHD_Connection *mhd, void **con_cls,
			 enum MHD_RequestTerminationCode code)
{
	struct standin_request *rq = *con_cls;

	if (!rq)
		return;
	if (rq->exit_after)
		_exit(STANDIN_DIE_STATUS);
	request_free(rq);
	*con_cls = NULL;
}

static void on_connection(void *cls, struct MHD_Connection *mhd, void **socket_context,
			  enum MHD_ConnectionNotificationCode code)
{
	struct standin_listener *l = cls;
	struct standin_conn *conn = *socket_context;

	pthread_mutex_lock(&l->lock);
	if (code == MHD_CONNECTION_NOTIFY_STARTED) {
		conn = calloc(1, sizeof(*conn));
		if (!conn)
			abort();
		conn->fd =
			MHD_get_connection_info(mhd, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
		APR_RING_INSERT_TAIL(&l->conns, conn, standin_conn, link);
		*socket_context = conn;
	} else {
		APR_RING_REMOVE(conn, link);
		free(conn);
	}
	pthread_mutex_unlock(&l->lock);
}

void standin_silence(struct standin_listener *l)
{
	struct standin_conn *conn;

	pthread_mutex_lock(&l->lock);
	APR_RING_FOREACH (conn, &l->conns, standin_conn, link) {
		conn->silent = true;
	}
	pthread_mutex_unlock(&l->lock);
}

static bool parse_address(const char *address, struct sockaddr_in *sin)
{
	const char *colon = strrchr(address, ':');
	char host[INET_ADDRSTRLEN];
	char *end;
	long port;

	if (!colon || colon - address >= (ptrdiff_t)sizeof(host))
		return false;
	memcpy(host, address, colon - address);
	host[colon - address] = '\0';
	port = strtol(colon + 1, &end, 10);
	if (*end || end == colon + 1 || port < 0 || port > UINT16_MAX)
		return false;
	memset(sin, 0, sizeof(*sin));
	sin->sin_family = AF_INET;
	sin->sin_port = htons(port);
	return inet_pton(AF_INET, host, &sin->sin_addr) == 1;
}

bool standin_listen(struct standin_listener *l, const char *address)
{
	unsigned int flags =
		MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL;
	struct sockaddr_in sin;
	char host[INET_ADDRSTRLEN];

	if (!parse_address(address, &sin))
		return false;
	pthread_mutex_init(&l->lock, NULL);
	APR_RING_INIT(&l->conns, standin_conn, link);
	l->daemon = MHD_start_daemon(
		flags, 0, NULL, NULL, on_request, l, MHD_OPTION_SOCK_ADDR, &sin,
		MHD_OPTION_URI_LOG_CALLBACK, on_uri, l, MHD_OPTION_NOTIFY_COMPLETED, on_completed,
		l, MHD_OPTION_NOTIFY_CONNECTION, on_connection, l, MHD_OPTION_CONNECTION_LIMIT,
		(unsigned int)CONNECTION_LIMIT, MHD_OPTION_THREAD_STACK_SIZE, (size_t)STACK_BYTES,
		MHD_OPTION_END);
	if (!l->daemon)
		return false;
	inet_ntop(AF_INET, &sin.sin_addr, host, sizeof(host));
	snprintf(l->address, sizeof(l->address), "%s:%u", host,
		 MHD_get_daemon_info(l->daemon, MHD_DAEMON_INFO_BIND_PORT)->port);
	return true;
}
