#include "http.h"

#include <errno.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
	/* Reads of one connection in a round after the loop was late, so that what has arrived is
	 * read before deadlines are applied. */
	LATE_READS = 4,
	/* Bytes of a response that are neither counted as head nor delivered as body, such as chunk
	 * sizes and their extensions: a fixed number and a multiple of the body, which allows for
	 * chunks of one byte. */
	FRAMING_MAX = 2 * TLB_HTTP_HEAD_MAX,
	FRAMING_PER_BODY_BYTE = 8,
	/* What a line of a head, or a head without lines, takes besides its text. */
	LINE_OVERHEAD = 16,
};

/* How a call has ended. */
enum call_end {
	END_COMPLETE,
	END_TIMED_OUT,
	END_NOT_CONNECTED,
	END_CONNECT_TIMED_OUT,
	END_NOT_SENT,
	END_BROKEN_OFF,
	END_UNUSABLE, /* the response, or on_data stopped the call */
};

static void on_event(void *arg, struct tlb_connection *conn, int events);

/* --- end of a call --- */

static void release(struct tlb_http_call *c)
{
	struct tlb_loop *l = c->http->loop;

	tlb_timer_clear(l, &c->deadline_timer);
	tlb_timer_clear(l, &c->connect_timer);
	tlb_timer_clear(l, &c->start_timer);
	tlb_connection_close(c->connection);
	c->connection = NULL;
	c->active = false;
	tlb_memory_release(&c->memory);
	tlb_buffer_finish(&c->request);
}

void tlb_http_cancel(struct tlb_http_call *c)
{
	if (!c->active)
		return;
	release(c);
	tlb_buffer_finish(&c->head);
	tlb_buffer_finish(&c->body);
}

const char *tlb_http_head(const struct tlb_http_call *c)
{
	return c->head.data ? c->head.data : "";
}

int tlb_http_status(const struct tlb_http_call *c)
{
	return c->active ? (int)c->parser.status_code : 0;
}

static void add_totals(struct tlb_http_totals *t, const struct tlb_http_call *c)
{
	t->calls++;
	t->bytes_in += (int64_t)c->received_bytes;
	t->bytes_out += (int64_t)c->sent_bytes;
}

/* Finds the first header of that name, which ends with ": ", in the lines of a head. Returns its
 * value of *len bytes, or NULL when it is absent. */
static const char *find_value(const char *head, const char *name, size_t *len)
{
	size_t name_len = strlen(name);
	const char *end;

	for (; (end = strchr(head, '\n')); head = end + 1) {
		if (strncasecmp(head, name, name_len) != 0)
			continue;
		*len = (size_t)(end - head) - name_len;
		return head + name_len;
	}
	return NULL;
}

/* The malloc'd value of Content-Type; NULL when it is absent, or without memory. */
static char *copy_content_type(const char *head)
{
	size_t len;
	const char *value = find_value(head, "Content-Type: ", &len);

	return value ? strndup(value, len) : NULL;
}

static void finish(struct tlb_http_call *c, enum call_end end, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

static void finish(struct tlb_http_call *c, enum call_end end, const char *fmt, ...)
{
	struct tlb_http_result r;
	struct tlb_buffer head = c->head;
	struct tlb_buffer body = c->body;
	char *type;
	va_list ap;

	memset(&r, 0, sizeof(r));
	va_start(ap, fmt);
	vsnprintf(r.reason, sizeof(r.reason), fmt, ap);
	va_end(ap);
	add_totals(&c->http->totals, c);
	r.sent = c->sent;
	r.timed_out = end == END_TIMED_OUT;
	r.refused = end == END_NOT_CONNECTED;
	r.broken_off = end == END_BROKEN_OFF;
	r.head = head.data ? head.data : "";
	r.body = body.data ? body.data : "";
	r.body_len = body.len;
	r.body_buffer = &body;
	type = copy_content_type(r.head);
	r.content_type = type ? type : "";
	if (end == END_COMPLETE) {
		r.status = c->status;
		r.ended_by_close = c->ended_by_close;
	}
	release(c);
	/* The callback may start the call again, so body and head are detached from it first. */
	tlb_buffer_detach(&c->head);
	tlb_buffer_detach(&c->body);
	c->spec.on_done(c->spec.arg, &r);
	free(type);
	tlb_buffer_finish(&head);
	tlb_buffer_finish(&body);
}

char *tlb_http_take_body(const struct tlb_http_result *r)
{
	char *body = tlb_buffer_detach(r->body_buffer);

	return body ? body : strdup("");
}

void tlb_http_time_out(struct tlb_http_call *c)
{
	finish(c, END_TIMED_OUT, "no complete response before the deadline");
}

static void on_deadline(void *arg)
{
	tlb_http_time_out(arg);
}

static void on_connect_deadline(void *arg)
{
	finish(arg, END_CONNECT_TIMED_OUT, "no connection before its deadline");
}

/* --- the response --- */

/* Notes what makes the response unusable; stops the parser as the result of its callback. */
static int fail(struct tlb_http_call *c, const char *fault)
{
	if (!c->fault)
		c->fault = fault;
	return -1;
}

/* Counts bytes of a head or a trailer. */
static int count_head(struct tlb_http_call *c, size_t len)
{
	c->head_bytes += len;
	return c->head_bytes <= TLB_HTTP_HEAD_MAX ? 0 : fail(c, "response head too large");
}

/* Appends to the lines of the final head. Trailers say nothing about the response (RFC 9110,
 * section 6.5.1). */
static int append_head(struct tlb_http_call *c, const char *text, size_t len)
{
	if (c->status > 0 ||
	    tlb_memory_append(&c->memory, &c->head, text, len, 2 * TLB_HTTP_HEAD_MAX))
		return 0;
	return fail(c, "no memory for the response head");
}

/* Begins a head. Only the headers of the final response remain and not those of interim ones (RFC
 * 9110, section 15.2). */
static int on_message_begin(http_parser *p)
{
	struct tlb_http_call *c = p->data;

	tlb_buffer_clear(&c->head);
	c->line = TLB_HTTP_LINE_NONE;
	return count_head(c, LINE_OVERHEAD);
}

static int on_status(http_parser *p, const char *text, size_t len)
{
	return count_head(p->data, len);
}

static int end_line(struct tlb_http_call *c)
{
	if (c->line == TLB_HTTP_LINE_NONE)
		return 0;
	c->line = TLB_HTTP_LINE_NONE;
	return append_head(c, "\n", 1);
}

/* Name and value of a header may come in several pieces. */
static int on_header_field(http_parser *p, const char *text, size_t len)
{
	struct tlb_http_call *c = p->data;
	bool begins = c->line != TLB_HTTP_LINE_NAME;

	if (begins && (end_line(c) != 0 || count_head(c, LINE_OVERHEAD) != 0))
		return -1;
	c->line = TLB_HTTP_LINE_NAME;
	return count_head(c, len) == 0 ? append_head(c, text, len) : -1;
}

static int on_header_value(http_parser *p, const char *text, size_t len)
{
	struct tlb_http_call *c = p->data;

	if (c->line == TLB_HTTP_LINE_NAME && append_head(c, ": ", 2) != 0)
		return -1;
	c->line = TLB_HTTP_LINE_VALUE;
	return count_head(c, len) == 0 ? append_head(c, text, len) : -1;
}

static bool is_passed_on(const struct tlb_http_call *c)
{
	return c->spec.on_data && c->status >= 200 && c->status < 300;
}

/* Whether the response has no body, whatever its headers say (RFC 9112, section 6.3). */
static bool has_no_body(const struct tlb_http_call *c, unsigned status)
{
	return c->head_only || status < 200 || status == 204 || status == 304;
}

/* Whether the body has a transfer coding other than chunked, the only one that is decoded. */
static bool has_unknown_coding(const char *head)
{
	static const char name[] = "Transfer-Encoding: ";
	static const char chunked[] = "chunked";
	size_t len;
	size_t next_len;
	const char *value = find_value(head, name, &len);

	if (!value)
		return false;
	if (find_value(value + len + 1, name, &next_len))
		return true;
	while (len > 0 && value[len - 1] == ' ')
		len--;
	return len != sizeof(chunked) - 1 || strncasecmp(value, chunked, len) != 0;
}

/* Returns 1 when the parser must expect no body. */
static int on_headers_complete(http_parser *p)
{
	struct tlb_http_call *c = p->data;

	if (end_line(c) != 0)
		return -1;
	if (p->status_code == 101)
		return fail(c, "the peer changes the protocol");
	if (has_unknown_coding(tlb_http_head(c)))
		return fail(c, "the body has an unknown transfer coding");
	if (p->status_code >= 200)
		c->status = (int)p->status_code;
	return has_no_body(c, p->status_code);
}

static int append_body(struct tlb_http_call *c, const char *data, size_t len)
{
	if (c->body.len + len > c->spec.body_max)
		return fail(c, "response body too large");
	if (!tlb_memory_append(&c->memory, &c->body, data, len, c->spec.body_max))
		return fail(c, "no memory for the response body");
	return 0;
}

static int on_body(http_parser *p, const char *data, size_t len)
{
	struct tlb_http_call *c = p->data;

	c->delivered_bytes += len;
	if (!is_passed_on(c))
		return append_body(c, data, len);
	return c->spec.on_data(c->spec.arg, data, len) ? 0
						       : fail(c, "the response was not accepted");
}

/* Stops after the final response: what follows belongs to no request. */
static int on_message_complete(http_parser *p)
{
	struct tlb_http_call *c = p->data;

	if (c->status > 0) {
		c->complete = true;
		http_parser_pause(p, 1);
	}
	return 0;
}

static void pause_at_line_break(http_parser *p)
{
	struct tlb_http_call *c = p->data;

	c->at_line_break = true;
	http_parser_pause(p, 1);
}

/* The last chunk completes the response (RFC 9112, section 8). The trailers after it are read only
 * from a connection that will be used again. */
static int on_chunk_header(http_parser *p)
{
	struct tlb_http_call *c = p->data;

	pause_at_line_break(p);
	if (p->content_length == 0 && c->spec.dedicated_connection)
		on_message_complete(p);
	return 0;
}

static int on_chunk_complete(http_parser *p)
{
	/* The last chunk has no data; its end is that of the trailers. */
	if (!(p->flags & F_TRAILING))
		pause_at_line_break(p);
	return 0;
}

static const http_parser_settings parser_settings = {
	.on_message_begin = on_message_begin,
	.on_status = on_status,
	.on_header_field = on_header_field,
	.on_header_value = on_header_value,
	.on_headers_complete = on_headers_complete,
	.on_body = on_body,
	.on_chunk_header = on_chunk_header,
	.on_chunk_complete = on_chunk_complete,
	.on_message_complete = on_message_complete,
};

/* Why a response that was parsed so far is not usable, or NULL. */
static const char *find_fault(const struct tlb_http_call *c)
{
	size_t framing = c->received_bytes - c->delivered_bytes;
	enum http_errno error = HTTP_PARSER_ERRNO(&c->parser);

	if (c->fault)
		return c->fault;
	if (error == HPE_UNEXPECTED_CONTENT_LENGTH)
		return "the response states its length more than once";
	if (error != HPE_OK)
		return http_errno_description(error);
	if (framing > FRAMING_MAX + FRAMING_PER_BODY_BYTE * c->delivered_bytes)
		return "the response has hardly any content";
	return NULL;
}

/* Whether the bytes received up to and including data[len - 1] end with a line break. */
static bool ends_with_line_break(const struct tlb_http_call *c, const char *data, size_t len)
{
	return data[len - 1] == '\n' && (len > 1 ? data[len - 2] : c->last_byte) == '\r';
}

/* Runs the parser over a piece of the response. It takes any two bytes for the line break after a
 * chunk's size and data, and is paused there. Returns the number of bytes parsed. */
static size_t execute(struct tlb_http_call *c, const char *data, size_t len)
{
	size_t parsed = 0;

	do {
		c->at_line_break = false;
		parsed += http_parser_execute(&c->parser, &parser_settings, data + parsed,
					      len - parsed);
		if (!c->at_line_break)
			break;
		if (!ends_with_line_break(c, data, parsed))
			fail(c, "a chunk without its line break");
		else if (!c->complete)
			http_parser_pause(&c->parser, 0);
	} while (!c->complete && !c->fault && parsed < len);
	c->last_byte = data[len - 1];
	return parsed;
}

/* Parses a piece of the response. Returns whether the call goes on; else it has ended. */
static bool parse(struct tlb_http_call *c, const char *data, size_t len)
{
	struct tlb_connection *conn = c->connection;
	const char *fault;
	size_t parsed = 0;

	c->received_bytes += len;
	c->fault = tlb_response_head_check(&c->head_check, data, len);
	if (!c->fault)
		parsed = execute(c, data, len);
	if (c->complete && !c->fault) {
		if (parsed == len && c->sent_bytes == c->request.len &&
		    !c->spec.dedicated_connection && http_should_keep_alive(&c->parser)) {
			c->connection = NULL;
			tlb_connection_keep(conn);
		}
		finish(c, END_COMPLETE, "%s", "");
		return false;
	}
	fault = find_fault(c);
	if (fault)
		finish(c, END_UNUSABLE, "%s (%zu bytes received)", fault, c->received_bytes);
	return !fault;
}

/* Sends the request again, on a new connection, when a kept one proves to be closed. Returns
 * whether it does. */
static bool restart(struct tlb_http_call *c)
{
	if (!c->connection->reused || !c->idempotent || c->received_bytes > 0)
		return false;
	tlb_connection_close(c->connection);
	c->sent_bytes = 0;
	c->connection = tlb_connections_get(&c->http->connections, c->addr, true, on_event, c);
	if (!c->connection)
		finish(c, END_NOT_CONNECTED, "%s", strerror(errno));
	return true;
}

static void on_end_of_stream(struct tlb_http_call *c)
{
	if (restart(c))
		return;
	http_parser_execute(&c->parser, &parser_settings, NULL, 0);
	if (c->complete) {
		c->ended_by_close = true;
		finish(c, END_COMPLETE, "%s", "");
	} else if (c->received_bytes == 0) {
		finish(c, END_BROKEN_OFF, "the connection was closed without a response");
	} else if (c->status == 0) {
		finish(c, END_BROKEN_OFF, "the response ended in its head");
	} else {
		finish(c, END_BROKEN_OFF, "the response ended after %zu bytes of its body",
		       c->delivered_bytes);
	}
}

static void receive(struct tlb_http_call *c)
{
	int reads = tlb_loop_was_late(c->http->loop) ? LATE_READS : 1;
	char *input = c->http->input;
	ssize_t n;

	while (reads-- > 0) {
		n = tlb_connection_read(c->connection, input);
		if (n < 0 && errno == EAGAIN)
			return;
		if (n == 0)
			on_end_of_stream(c);
		else if (n < 0 && !restart(c))
			finish(c, END_BROKEN_OFF, "%s", strerror(errno));
		if (n <= 0 || !parse(c, input, (size_t)n) || n < TLB_CONNECTION_READ_BYTES)
			return;
	}
}

/* --- the request --- */

static size_t borrowed_len(const struct tlb_http_call *c)
{
	return c->spec.body_borrowed ? c->spec.body_len : 0;
}

/* Sends as much as the connection takes. Returns false when it takes no more for good. */
static bool send_request(struct tlb_http_call *c)
{
	size_t head_left = c->sent_bytes < c->request.len ? c->request.len - c->sent_bytes : 0;
	size_t body_sent = c->sent_bytes - (c->request.len - head_left);
	size_t body_left = borrowed_len(c) - body_sent;
	ssize_t n;

	n = tlb_connection_send(c->connection, c->request.data + c->request.len - head_left,
				head_left, body_left > 0 ? c->spec.body + body_sent : NULL,
				body_left);
	if (n < 0)
		return false;
	c->sent |= n > 0;
	c->sent_bytes += (size_t)n;
	if (c->sent_bytes == c->request.len + borrowed_len(c))
		tlb_connection_set_events(c->connection, TLB_READABLE);
	else
		tlb_connection_set_events(c->connection, TLB_READABLE | TLB_WRITABLE);
	return true;
}

/* Returns whether the connection can be used; else the call has ended. */
static bool on_established(struct tlb_http_call *c)
{
	int error = tlb_connection_established(c->connection);

	tlb_timer_clear(c->http->loop, &c->connect_timer);
	if (error != 0) {
		finish(c, END_NOT_CONNECTED, "%s", strerror(error));
		return false;
	}
	if (c->spec.before_send && !c->spec.before_send(c->spec.arg)) {
		finish(c, END_NOT_SENT, "not sent any more");
		return false;
	}
	return true;
}

static void on_event(void *arg, struct tlb_connection *conn, int events)
{
	struct tlb_http_call *c = arg;

	if (conn->state == TLB_CONNECTION_CONNECTING && !on_established(c))
		return;
	/* A peer that takes no more may have answered before. */
	if ((events & TLB_WRITABLE) && !send_request(c))
		events = TLB_READABLE;
	if (events & (TLB_READABLE | TLB_HANGUP))
		receive(c);
}

static bool append(struct tlb_buffer *b, const char *text)
{
	return tlb_buffer_append(b, text, strlen(text), SIZE_MAX - 1);
}

static bool append_line(struct tlb_buffer *b, const char *name, const char *value)
{
	return append(b, name) && append(b, ": ") && append(b, value) && append(b, "\r\n");
}

/* Whether one of some header lines has that name. */
static bool has_header(const char *lines, const char *name)
{
	size_t len = strlen(name);

	while (lines) {
		if (strncasecmp(lines, name, len) == 0 && lines[len] == ':')
			return true;
		lines = strchr(lines, '\n');
		lines = lines ? lines + 1 : NULL;
	}
	return false;
}

static bool append_standard_headers(struct tlb_buffer *b, const struct tlb_http_spec *spec)
{
	const char *type = spec->content_type ? spec->content_type : "application/json";

	if (spec->body && !append_line(b, "Content-Type", type))
		return false;
	if (spec->idempotency_key && !append_line(b, "Idempotency-Key", spec->idempotency_key))
		return false;
	return append_line(b, "Accept", "*/*");
}

static bool append_headers(struct tlb_http_call *c, const struct tlb_http_spec *spec)
{
	struct tlb_buffer *b = &c->request;
	char length[24];

	if (!(spec->headers ? append(b, spec->headers) : append_standard_headers(b, spec)))
		return false;
	if (!has_header(spec->headers, "Host") && !append_line(b, "Host", c->addr))
		return false;
	if (!spec->body)
		return append(b, "\r\n");
	snprintf(length, sizeof(length), "%zu", spec->body_len);
	return append_line(b, "Content-Length", length) && append(b, "\r\n");
}

/* Composes the request. Returns false without memory. */
static bool compose(struct tlb_http_call *c, const struct tlb_http_spec *spec, const char *path)
{
	struct tlb_buffer *b = &c->request;

	if (!append(b, spec->method) || !append(b, " ") ||
	    !append(b, spec->target ? spec->target : path) || !append(b, " HTTP/1.1\r\n") ||
	    !append_headers(c, spec))
		return false;
	return !spec->body || spec->body_borrowed ||
	       tlb_buffer_append(b, spec->body, spec->body_len, SIZE_MAX - 1);
}

/* Splits "http://IP:PORT/path". Returns the path, or NULL for another form. */
static const char *split_url(const char *url, char addr[TLB_ADDR_LEN])
{
	static const char scheme[] = "http://";
	size_t len;

	if (strncmp(url, scheme, sizeof(scheme) - 1) != 0)
		return NULL;
	url += sizeof(scheme) - 1;
	len = strcspn(url, "/");
	if (len >= TLB_ADDR_LEN)
		return NULL;
	memcpy(addr, url, len);
	addr[len] = '\0';
	return url[len] ? url + len : "/";
}

/* Whether a connection could not be opened because of the peer or the network. */
static bool is_network_error(int error)
{
	return error == ECONNREFUSED || error == ECONNRESET || error == ETIMEDOUT ||
	       error == EHOSTUNREACH || error == ENETUNREACH;
}

/* Returns why the call can't be started, or NULL when it was. */
static const char *try_start(struct tlb_http_call *c, const struct tlb_http_spec *spec)
{
	const char *path = split_url(spec->url, c->addr);

	if (spec->unsendable)
		return spec->unsendable;
	if (!path)
		return "the URL is not http://IP:PORT";
	if (!compose(c, spec, path) || !tlb_memory_charge(&c->memory, c->request.cap))
		return "no memory for the request";
	c->connection = tlb_connections_get(&c->http->connections, c->addr,
					    spec->dedicated_connection, on_event, c);
	if (!c->connection) {
		c->refused = is_network_error(errno);
		return strerror(errno);
	}
	if (c->connection->state == TLB_CONNECTION_CONNECTING && spec->connect_deadline)
		tlb_timer_set(c->http->loop, &c->connect_timer, spec->connect_deadline);
	return NULL;
}

/* Ends a call that could not be started, from the event loop. */
static void on_start_failed(void *arg)
{
	struct tlb_http_call *c = arg;

	finish(c, c->refused ? END_NOT_CONNECTED : END_NOT_SENT, "%s", c->fault);
}

void tlb_http_start(struct tlb_http *h, struct tlb_http_call *c, const struct tlb_http_spec *spec)
{
	memset(c, 0, sizeof(*c));
	c->http = h;
	c->memory.memory = h->memory;
	c->active = true;
	c->spec = *spec;
	if (c->spec.body_max == 0)
		c->spec.body_max = TLB_HTTP_BODY_MAX;
	c->head_only = strcmp(spec->method, "HEAD") == 0;
	c->idempotent = strcmp(spec->method, "GET") == 0;
	http_parser_init(&c->parser, HTTP_RESPONSE);
	c->parser.data = c;
	c->parser.allow_chunked_length = 1;
	tlb_timer_init(&c->deadline_timer, on_deadline, c);
	tlb_timer_init(&c->connect_timer, on_connect_deadline, c);
	tlb_timer_init(&c->start_timer, on_start_failed, c);
	c->fault = try_start(c, spec);
	if (c->fault)
		tlb_timer_set(h->loop, &c->start_timer, tlb_clock_now());
	tlb_timer_set(h->loop, &c->deadline_timer, spec->deadline);
	/* These are valid during this function only. */
	c->spec.url = NULL;
	c->spec.method = NULL;
	c->spec.target = NULL;
	c->spec.headers = NULL;
	c->spec.unsendable = NULL;
	if (!spec->body_borrowed)
		c->spec.body = NULL;
}

void tlb_http_init(struct tlb_http *h, struct tlb_loop *l)
{
	memset(h, 0, sizeof(*h));
	h->loop = l;
	tlb_connections_init(&h->connections, l);
}

void tlb_http_finish(struct tlb_http *h)
{
	tlb_connections_finish(&h->connections);
}
