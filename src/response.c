#include "response.h"

#include <errno.h>
#include <http_parser.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <time.h>

enum {
	LINE_MAX_BYTES = 128, /* of a header line that is composed here */
	COMPACT_FROM = 65536, /* capacity from which an empty stream buffer is freed */
};

/* --- the head --- */

static bool append(struct tlb_exchange *x, const char *text, size_t len)
{
	return tlb_buffer_append(&x->writer.framing, text, len, SIZE_MAX - 1);
}

static bool append_line(struct tlb_exchange *x, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

static bool append_line(struct tlb_exchange *x, const char *fmt, ...)
{
	char line[LINE_MAX_BYTES];
	va_list ap;
	int n;

	va_start(ap, fmt);
	n = vsnprintf(line, sizeof(line), fmt, ap);
	va_end(ap);
	return n >= 0 && n < (int)sizeof(line) && append(x, line, (size_t)n) &&
	       append(x, "\r\n", 2);
}

/* Appends the lines of a forwarded head, which end with line feeds only. */
static bool append_forwarded(struct tlb_exchange *x)
{
	const char *line = x->reply_head;
	size_t len;

	for (; *line; line += len + 1) {
		len = strcspn(line, "\n");
		if (!append(x, line, len) || !append(x, "\r\n", 2))
			return false;
	}
	return true;
}

static bool append_date(struct tlb_exchange *x)
{
	char text[LINE_MAX_BYTES];
	time_t now = time(NULL);
	struct tm tm;

	gmtime_r(&now, &tm);
	strftime(text, sizeof(text), "%a, %d %b %Y %H:%M:%S GMT", &tm);
	return append_line(x, "Date: %s", text);
}

static bool append_retry_after(struct tlb_exchange *x)
{
	int ms = x->retry_after_ms;

	if (ms <= 0)
		return true;
	if (ms % 1000 == 0)
		return append_line(x, "Retry-After: %d", ms / 1000);
	return append_line(x, "Retry-After: %d.%03d", ms / 1000, ms % 1000);
}

static bool append_own_headers(struct tlb_exchange *x)
{
	if (x->reply_type && *x->reply_type &&
	    (!append(x, "Content-Type: ", strlen("Content-Type: ")) ||
	     !append(x, x->reply_type, strlen(x->reply_type)) || !append(x, "\r\n", 2)))
		return false;
	return append_line(x, "X-Request-Id: %s", x->id);
}

/* Whether the response has no body, whatever its handler gives (RFC 9110, section 6.4.1). */
static bool has_no_body(const struct tlb_exchange *x)
{
	return strcmp(x->method, "HEAD") == 0 || x->status < 200 || x->status == 204 ||
	       x->status == 304;
}

/* Says where the body ends. That of a response to HEAD is not known here when it was forwarded. */
static bool append_framing(struct tlb_exchange *x)
{
	struct tlb_response_writer *w = &x->writer;

	if (x->state == TLB_EXCHANGE_STREAMING)
		return !w->chunked || append_line(x, "Transfer-Encoding: chunked");
	if (w->no_body && x->reply_len == 0)
		return true;
	return append_line(x, "Content-Length: %zu", x->reply_len);
}

static bool append_connection(struct tlb_exchange *x)
{
	const struct tlb_request_reader *r = &x->conn->reader;

	if (!x->writer.keep_connection)
		return append_line(x, "Connection: close");
	return !r->http_1_0 || append_line(x, "Connection: keep-alive");
}

/* Composes the head. Returns false without memory. */
static bool compose_head(struct tlb_exchange *x)
{
	const struct tlb_request_reader *r = &x->conn->reader;
	struct tlb_response_writer *w = &x->writer;
	bool streams = x->state == TLB_EXCHANGE_STREAMING;

	w->no_body = has_no_body(x);
	w->chunked = streams && !r->http_1_0 && !w->no_body;
	w->keep_connection = r->keep_alive && !x->close_connection &&
			     !x->listener->keepalive_disabled && r->state == TLB_REQUEST_COMPLETE &&
			     (!streams || w->chunked || w->no_body);
	return append_line(x, "HTTP/1.1 %d %s", x->status,
			   http_status_str((enum http_status)x->status)) &&
	       (x->reply_head ? append_forwarded(x) : append_own_headers(x)) &&
	       append_retry_after(x) && append_date(x) && append_framing(x) &&
	       append_connection(x) && append(x, "\r\n", 2);
}

/* --- sending --- */

/* What is sent next: framing, then body, then the line break behind a chunk. */
struct parts {
	struct iovec iov[3];
};

static const char line_break[2] = "\r\n";

static const char *next_body(const struct tlb_exchange *x)
{
	return x->state == TLB_EXCHANGE_STREAMING ? x->out.data + x->out_pos
						  : x->reply + x->reply_pos;
}

static size_t collect_parts(const struct tlb_exchange *x, struct parts *p)
{
	const struct tlb_response_writer *w = &x->writer;

	p->iov[0] =
		(struct iovec){w->framing.data + w->framing_pos, w->framing.len - w->framing_pos};
	p->iov[1] = (struct iovec){(void *)next_body(x), w->body_left};
	p->iov[2] = (struct iovec){(void *)(line_break + sizeof(line_break) - w->break_left),
				   w->break_left};
	return p->iov[0].iov_len + p->iov[1].iov_len + p->iov[2].iov_len;
}

static size_t take(size_t *sent, size_t part)
{
	size_t n = *sent < part ? *sent : part;

	*sent -= n;
	return n;
}

static void advance_stream(struct tlb_exchange *x, size_t n)
{
	x->out_pos += n;
	if (n == 0 || x->out_pos < x->out.len)
		return;
	x->out_pos = 0;
	x->out.len = 0;
	if (x->out.cap > COMPACT_FROM)
		tlb_exchange_drop(x, &x->out);
}

static void advance(struct tlb_exchange *x, size_t sent)
{
	struct tlb_response_writer *w = &x->writer;
	size_t n;

	w->framing_pos += take(&sent, w->framing.len - w->framing_pos);
	if (w->framing_pos == w->framing.len) {
		w->framing_pos = 0;
		tlb_buffer_clear(&w->framing);
	}
	n = take(&sent, w->body_left);
	w->body_left -= n;
	if (x->state == TLB_EXCHANGE_STREAMING)
		advance_stream(x, n);
	else
		x->reply_pos += n;
	w->break_left -= take(&sent, w->break_left);
}

/* Sends what was collected. Returns false when the socket takes no more, with errno set. */
static bool send_parts(struct tlb_exchange *x)
{
	struct parts p;
	size_t len = collect_parts(x, &p);
	struct msghdr m = {.msg_iov = p.iov, .msg_iovlen = 3};
	ssize_t n;

	if (len == 0)
		return true;
	n = sendmsg(x->fd, &m, MSG_DONTWAIT | MSG_NOSIGNAL);
	if (n < 0)
		return false;
	advance(x, (size_t)n);
	errno = EAGAIN;
	return (size_t)n == len;
}

/* Begins with the head and the body of a complete response. Returns false without memory. */
static bool begin(struct tlb_exchange *x)
{
	struct tlb_response_writer *w = &x->writer;

	if (!compose_head(x))
		return false;
	w->begun = true;
	if (x->state != TLB_EXCHANGE_STREAMING && !w->no_body)
		w->body_left = x->reply_len;
	return true;
}

/* Takes what there is of a stream as the next chunk. Returns whether there is something to send;
 * otherwise *progress is set. */
static bool next_chunk(struct tlb_exchange *x, enum tlb_response_progress *progress)
{
	struct tlb_response_writer *w = &x->writer;
	size_t len = tlb_exchange_backlog(x);
	char size[24];

	*progress = TLB_RESPONSE_SENT;
	if (w->last || w->no_body)
		return false;
	if (len == 0 && !x->out_done) {
		*progress = TLB_RESPONSE_WAITING;
		return false;
	}
	if (len == 0 && x->out_aborted) {
		*progress = TLB_RESPONSE_CUT_SHORT;
		return false;
	}
	w->last = len == 0;
	w->body_left = len;
	if (!w->chunked)
		return len > 0;
	w->break_left = len > 0 ? sizeof(line_break) : 0;
	snprintf(size, sizeof(size), "%zx\r\n%s", len, len > 0 ? "" : "\r\n");
	*progress = TLB_RESPONSE_CUT_SHORT;
	return append(x, size, strlen(size));
}

enum tlb_response_progress tlb_response_send(struct tlb_exchange *x)
{
	enum tlb_response_progress progress = TLB_RESPONSE_SENT;

	if (!x->writer.begun && !begin(x))
		return TLB_RESPONSE_CUT_SHORT;
	do {
		if (!send_parts(x))
			return errno == EAGAIN || errno == EINTR ? TLB_RESPONSE_BLOCKED
								 : TLB_RESPONSE_CUT_SHORT;
	} while (x->state == TLB_EXCHANGE_STREAMING && next_chunk(x, &progress));
	return progress;
}
