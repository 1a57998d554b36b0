#include "request_reader.h"

#include <apr_lib.h>
#include <stdlib.h>
#include <string.h>

static const char bad_line[] = "malformed request line";
static const char bad_version[] = "the version of the request is not HTTP/1";
static const char bad_length[] = "Content-Length is not a number of bytes";
static const char bad_coding[] = "the body has a transfer coding other than chunked";
static const char two_lengths[] = "the request states its length more than once";
static const char two_hosts[] = "the request has more than one Host header";

/* The version of a request; ? stands for a digit. */
static const char version[] = "HTTP/1.?";

/* --- the head --- */

static void fail(struct tlb_request_reader *r, enum tlb_request_fault fault, const char *reason)
{
	r->state = TLB_REQUEST_INVALID;
	r->fault = fault;
	r->reason = reason;
}

static const char *read_method(struct tlb_request_reader *r, unsigned char c, size_t at)
{
	if (c == ' ' && at > 0) {
		r->state = TLB_REQUEST_TARGET;
		r->target_start = at + 1;
		return NULL;
	}
	return tlb_is_token_char(c) ? NULL : bad_line;
}

static const char *read_target(struct tlb_request_reader *r, unsigned char c, size_t at)
{
	if (c == ' ' && at > r->target_start) {
		r->state = TLB_REQUEST_VERSION;
		r->version_start = at + 1;
		return NULL;
	}
	return c > ' ' && c != 0x7f ? NULL : bad_line;
}

static const char *read_version(struct tlb_request_reader *r, unsigned char c, size_t at)
{
	size_t i = at - r->version_start;

	if (i < sizeof(version) - 1)
		return (version[i] == '?' ? apr_isdigit(c) : c == (unsigned char)version[i])
			       ? NULL
			       : bad_version;
	if (c == '\r')
		r->state = TLB_REQUEST_LINE_END;
	else if (c == '\n')
		r->state = TLB_REQUEST_HEADERS;
	else
		return bad_line;
	r->lines_start = at + 1;
	return NULL;
}

static const char *read_line_end(struct tlb_request_reader *r, unsigned char c, size_t at)
{
	r->state = TLB_REQUEST_HEADERS;
	r->lines_start = at + 1;
	return c == '\n' ? NULL : bad_line;
}

/* Checks a byte of the request line, which is at that position of the head. */
static const char *check_line_byte(struct tlb_request_reader *r, unsigned char c, size_t at)
{
	switch (r->state) {
	case TLB_REQUEST_METHOD:
		return read_method(r, c, at);
	case TLB_REQUEST_TARGET:
		return read_target(r, c, at);
	case TLB_REQUEST_VERSION:
		return read_version(r, c, at);
	case TLB_REQUEST_LINE_END:
		return read_line_end(r, c, at);
	case TLB_REQUEST_HEADERS:
	case TLB_REQUEST_BODY:
	case TLB_REQUEST_COMPLETE:
	case TLB_REQUEST_INVALID:
		break;
	}
	return NULL;
}

/* Checks bytes of the head that follow those read before. */
static const char *check_head(struct tlb_request_reader *r, const char *data, size_t len,
			      size_t *used)
{
	const char *fault = NULL;
	size_t lines = 0;
	size_t i;

	for (i = 0; i < len && !fault && r->state < TLB_REQUEST_HEADERS; i++)
		fault = check_line_byte(r, (unsigned char)data[i], r->head.len + i);
	if (!fault && r->state == TLB_REQUEST_HEADERS)
		fault = tlb_header_lines_check(&r->lines, data + i, len - i, &lines);
	*used = i + lines;
	return fault;
}

/* Takes memory that is counted but never refused: the owner limits what all heads hold. */
static bool keep_head(struct tlb_request_reader *r, const char *data, size_t len)
{
	size_t cap = r->head.cap;

	if (!tlb_buffer_append(&r->head, data, len, TLB_REQUEST_HEAD_MAX))
		return false;
	tlb_memory_charge_used(&r->memory, r->head.cap - cap);
	return true;
}

/* Ends the text at from at the next of the characters in ends; returns the position behind it. */
static char *split(char *from, const char *ends)
{
	char *end = from + strcspn(from, ends);

	*end = '\0';
	return end + 1;
}

/* Reads a checked line. Returns the begin of the next one. */
static char *split_header(char *line, struct tlb_request_header *h)
{
	char *value = split(line, ":");
	char *next = value + strcspn(value, "\n") + 1;
	char *end = next - 1;

	value += strspn(value, " \t");
	while (end > value && strchr(" \t\r", end[-1]))
		end--;
	*end = '\0';
	h->name = line;
	h->value = value;
	return next;
}

/* Splits the checked head. Returns false without memory. */
static bool split_head(struct tlb_request_reader *r)
{
	size_t size = r->lines.count * sizeof(*r->headers);
	char *line = r->head.data + r->lines_start;

	r->method = r->head.data;
	r->target = r->head.data + r->target_start;
	split(r->head.data, " ");
	split(r->head.data + r->target_start, " ");
	r->http_1_0 = r->head.data[r->version_start + sizeof(version) - 2] == '0';
	if (size == 0)
		return true;
	if (!tlb_memory_charge(&r->memory, size))
		return false;
	r->headers = malloc(size);
	if (!r->headers)
		return false;
	while (r->header_count < r->lines.count)
		line = split_header(line, &r->headers[r->header_count++]);
	return true;
}

/* Reads a number of digits only. Returns false for any other text, and beyond 64 bits. */
static bool read_length(const char *text, uint64_t *length)
{
	uint64_t n = 0;

	if (!*text)
		return false;
	for (; apr_isdigit(*text); text++) {
		if (n > (UINT64_MAX - 9) / 10)
			return false;
		n = 10 * n + (uint64_t)(*text - '0');
	}
	*length = n;
	return !*text;
}

/* Whether a list of options contains one. */
static bool has_option(const char *list, const char *option)
{
	const char *next;
	size_t len;

	while ((next = tlb_next_option(&list, &len))) {
		if (len == strlen(option) && strncasecmp(next, option, len) == 0)
			return true;
	}
	return false;
}

/* Reads how the body ends. Returns why this is not certain, or NULL. */
static const char *read_framing(struct tlb_request_reader *r)
{
	const struct tlb_request_header *length = NULL;
	const struct tlb_request_header *coding = NULL;
	const struct tlb_request_header *h;

	for (h = r->headers; h < r->headers + r->header_count; h++) {
		bool is_length = strcasecmp(h->name, "Content-Length") == 0;
		bool is_coding = strcasecmp(h->name, "Transfer-Encoding") == 0;

		if (!is_length && !is_coding)
			continue;
		if (length || coding)
			return two_lengths;
		if (is_length)
			length = h;
		else
			coding = h;
	}
	if (length) {
		r->framing = TLB_REQUEST_LENGTH;
		if (!read_length(length->value, &r->length))
			return bad_length;
		r->left = r->length;
	}
	if (coding) {
		r->framing = TLB_REQUEST_CHUNKED;
		/* HTTP/1.0 has no transfer codings (section 6.1). */
		if (r->http_1_0 || strcasecmp(coding->value, "chunked") != 0)
			return bad_coding;
	}
	return NULL;
}

static void read_connection(struct tlb_request_reader *r, const char *value)
{
	if (has_option(value, "close"))
		r->keep_alive = false;
	else if (r->http_1_0 && has_option(value, "keep-alive"))
		r->keep_alive = true;
}

/* Reads what the headers say about the connection. Returns a fault or NULL. */
static const char *read_headers(struct tlb_request_reader *r)
{
	const struct tlb_request_header *h;
	int hosts = 0;

	r->keep_alive = !r->http_1_0;
	for (h = r->headers; h < r->headers + r->header_count; h++) {
		if (strcasecmp(h->name, "Connection") == 0)
			read_connection(r, h->value);
		else if (strcasecmp(h->name, "Expect") == 0)
			r->expects_continue =
				!r->http_1_0 && strcasecmp(h->value, "100-continue") == 0;
		hosts += strcasecmp(h->name, "Host") == 0;
	}
	return hosts > 1 ? two_hosts : read_framing(r);
}

static void end_head(struct tlb_request_reader *r)
{
	const char *fault;

	if (!split_head(r)) {
		fail(r, TLB_REQUEST_NO_MEMORY, "no memory for the request's headers");
		return;
	}
	fault = read_headers(r);
	if (fault)
		fail(r, TLB_REQUEST_MALFORMED, fault);
	else if (r->framing == TLB_REQUEST_CHUNKED || r->left > 0)
		r->state = TLB_REQUEST_BODY;
	else
		r->state = TLB_REQUEST_COMPLETE;
}

/* The number of bytes of empty lines before a request line (section 2.2). */
static size_t skip_empty_lines(const struct tlb_request_reader *r, const char *data, size_t len)
{
	size_t n = 0;

	while (r->head.len == 0 && n < len && (data[n] == '\r' || data[n] == '\n'))
		n++;
	return n;
}

static size_t read_head(struct tlb_request_reader *r, const char *data, size_t len)
{
	bool in_line;
	size_t skipped = skip_empty_lines(r, data, len);
	size_t used;
	const char *fault = check_head(r, data + skipped, len - skipped, &used);

	if (fault) {
		fail(r, TLB_REQUEST_MALFORMED, fault);
		return skipped + used;
	}
	in_line = r->state < TLB_REQUEST_HEADERS || r->lines_start > TLB_REQUEST_HEAD_MAX;
	if (r->head.len + used > TLB_REQUEST_HEAD_MAX)
		fail(r, in_line ? TLB_REQUEST_LINE_TOO_LARGE : TLB_REQUEST_HEADERS_TOO_LARGE,
		     in_line ? "the request line is too large" : "the headers are too large");
	else if (!keep_head(r, data + skipped, used))
		fail(r, TLB_REQUEST_NO_MEMORY, "no memory for the request's head");
	else if (r->lines.state == TLB_HEADER_LINES_COMPLETE)
		end_head(r);
	return skipped + used;
}

/* --- the body --- */

static size_t read_chunks(struct tlb_request_reader *r, const char *data, size_t len)
{
	struct tlb_chunked_piece piece;
	const char *fault;
	size_t read = 0;
	size_t used;

	while (read < len && r->state == TLB_REQUEST_BODY) {
		fault = tlb_chunked_read(&r->chunked, data + read, len - read, &used, &piece);
		read += used;
		if (fault)
			fail(r, TLB_REQUEST_MALFORMED, fault);
		else if (piece.len > 0)
			r->on_body(r->arg, piece.data, piece.len);
		if (r->chunked.state == TLB_CHUNKED_COMPLETE)
			r->state = TLB_REQUEST_COMPLETE;
	}
	return read;
}

static size_t read_body(struct tlb_request_reader *r, const char *data, size_t len)
{
	if (r->framing == TLB_REQUEST_CHUNKED)
		return read_chunks(r, data, len);
	if (len > r->left)
		len = (size_t)r->left;
	r->left -= len;
	r->on_body(r->arg, data, len);
	if (r->left == 0)
		r->state = TLB_REQUEST_COMPLETE;
	return len;
}

size_t tlb_request_reader_read(struct tlb_request_reader *r, const char *data, size_t len)
{
	if (r->state == TLB_REQUEST_BODY)
		return read_body(r, data, len);
	if (r->state <= TLB_REQUEST_HEADERS)
		return read_head(r, data, len);
	return 0;
}

/* --- the reader --- */

bool tlb_request_reader_has_begun(const struct tlb_request_reader *r)
{
	return r->state != TLB_REQUEST_METHOD || r->head.len > 0;
}

bool tlb_request_reader_in_head(const struct tlb_request_reader *r)
{
	return r->state <= TLB_REQUEST_HEADERS && r->head.len > 0;
}

bool tlb_request_reader_has_head(const struct tlb_request_reader *r)
{
	return r->state == TLB_REQUEST_BODY || r->state == TLB_REQUEST_COMPLETE;
}

const char *tlb_request_reader_find(const struct tlb_request_reader *r, const char *name)
{
	size_t i;

	for (i = 0; i < r->header_count; i++) {
		if (strcasecmp(r->headers[i].name, name) == 0)
			return r->headers[i].value;
	}
	return NULL;
}

void tlb_request_reader_init(struct tlb_request_reader *r, struct tlb_memory *memory,
			     tlb_request_body_fn *on_body, void *arg)
{
	memset(r, 0, sizeof(*r));
	r->memory.memory = memory;
	r->on_body = on_body;
	r->arg = arg;
}

void tlb_request_reader_finish(struct tlb_request_reader *r)
{
	free(r->headers);
	tlb_buffer_finish(&r->head);
	tlb_memory_release(&r->memory);
}

void tlb_request_reader_reset(struct tlb_request_reader *r)
{
	tlb_request_reader_finish(r);
	tlb_request_reader_init(r, r->memory.memory, r->on_body, r->arg);
}
