#include "response_head.h"

#include <ctype.h>
#include <string.h>

/* Statuses have this number of digits and are in this range (RFC 9110, section 15). */
enum { STATUS_DIGITS = 3, STATUS_MIN = 100, STATUS_FINAL_MIN = 200, STATUS_MAX = 599 };

static const char bad_version[] = "the status line does not begin with a version of HTTP/1";
static const char bad_status[] = "the status is not a number from 100 to 599";
static const char bad_name[] = "a header whose name is not a token";
static const char bad_text[] = "a control character in the head";

/* What the status line begins with; ? stands for a digit. */
static const char version[] = "HTTP/1.? ";

static bool is_text(unsigned char c)
{
	return c == '\t' || (c >= ' ' && c != 0x7f);
}

/* Whether c can be part of a header's name (RFC 9110, section 5.6.2). */
static bool is_token(unsigned char c)
{
	return isalnum(c) || (c != '\0' && strchr("!#$%&'*+-.^_`|~", c));
}

static const char *read_version(struct tlb_response_head *h, unsigned char c)
{
	unsigned char expected = (unsigned char)version[h->read++];

	if (expected == '?' ? !isdigit(c) : c != expected)
		return bad_version;
	if (h->read == sizeof(version) - 1) {
		h->state = TLB_RESPONSE_HEAD_STATUS;
		h->read = 0;
	}
	return NULL;
}

static const char *read_text(struct tlb_response_head *h, unsigned char c)
{
	h->state = TLB_RESPONSE_HEAD_TEXT;
	if (c == '\r')
		h->state = TLB_RESPONSE_HEAD_LINE_END;
	else if (c == '\n')
		h->state = TLB_RESPONSE_HEAD_LINE;
	else if (!is_text(c))
		return bad_text;
	return NULL;
}

static const char *read_status(struct tlb_response_head *h, unsigned char c)
{
	if (h->read < STATUS_DIGITS) {
		if (!isdigit(c))
			return bad_status;
		h->status = 10 * h->status + (c - '0');
		h->read++;
		return NULL;
	}
	if (h->status < STATUS_MIN || h->status > STATUS_MAX)
		return bad_status;
	if (c != ' ' && c != '\r' && c != '\n')
		return bad_status;
	return read_text(h, c);
}

static const char *read_line_end(struct tlb_response_head *h, unsigned char c)
{
	h->state = TLB_RESPONSE_HEAD_LINE;
	return c == '\n' ? NULL : bad_text;
}

/* Ends a head. That of an interim response is followed by another one. */
static const char *read_end(struct tlb_response_head *h, unsigned char c)
{
	if (c != '\n')
		return bad_text;
	h->state = h->status < STATUS_FINAL_MIN ? TLB_RESPONSE_HEAD_VERSION
						: TLB_RESPONSE_HEAD_COMPLETE;
	h->status = 0;
	h->read = 0;
	return NULL;
}

static const char *read_name(struct tlb_response_head *h, unsigned char c)
{
	if (c == ':')
		h->state = TLB_RESPONSE_HEAD_TEXT;
	else if (!is_token(c))
		return bad_name;
	return NULL;
}

/* Begins a line. One that begins with a blank would continue the value before it; a gateway may
 * refuse such a response (RFC 9112, section 5.2). */
static const char *read_line(struct tlb_response_head *h, unsigned char c)
{
	if (c == '\n')
		return read_end(h, c);
	if (c == '\r') {
		h->state = TLB_RESPONSE_HEAD_END;
		return NULL;
	}
	h->state = TLB_RESPONSE_HEAD_NAME;
	return is_token(c) ? NULL : bad_name;
}

static const char *read_byte(struct tlb_response_head *h, unsigned char c)
{
	switch (h->state) {
	case TLB_RESPONSE_HEAD_VERSION:
		return read_version(h, c);
	case TLB_RESPONSE_HEAD_STATUS:
		return read_status(h, c);
	case TLB_RESPONSE_HEAD_TEXT:
		return read_text(h, c);
	case TLB_RESPONSE_HEAD_LINE_END:
		return read_line_end(h, c);
	case TLB_RESPONSE_HEAD_LINE:
		return read_line(h, c);
	case TLB_RESPONSE_HEAD_NAME:
		return read_name(h, c);
	case TLB_RESPONSE_HEAD_END:
		return read_end(h, c);
	case TLB_RESPONSE_HEAD_COMPLETE:
		break;
	}
	return NULL;
}

const char *tlb_response_head_check(struct tlb_response_head *h, const char *data, size_t len)
{
	const char *fault = NULL;
	size_t i;

	for (i = 0; i < len && !fault && h->state != TLB_RESPONSE_HEAD_COMPLETE; i++)
		fault = read_byte(h, (unsigned char)data[i]);
	return fault;
}
