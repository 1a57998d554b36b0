#include "response_head.h"

#include <ctype.h>
#include <string.h>

/* Statuses have this number of digits and are in this range (RFC 9110, section 15). */
enum { STATUS_DIGITS = 3, STATUS_MIN = 100, STATUS_FINAL_MIN = 200, STATUS_MAX = 599 };

static const char bad_version[] = "the status line does not begin with a version of HTTP/1";
static const char bad_status[] = "the status is not a number from 100 to 599";

/* What the status line begins with; ? stands for a digit. */
static const char version[] = "HTTP/1.? ";

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

/* Ends a head. That of an interim response is followed by another one. */
static void end_head(struct tlb_response_head *h)
{
	bool interim = h->status < STATUS_FINAL_MIN;

	memset(h, 0, sizeof(*h));
	h->state = interim ? TLB_RESPONSE_HEAD_VERSION : TLB_RESPONSE_HEAD_COMPLETE;
}

static const char *read_lines(struct tlb_response_head *h, const char *data, size_t len,
			      size_t *used)
{
	const char *fault = tlb_header_lines_check(&h->lines, data, len, used);

	if (!fault && h->lines.state == TLB_HEADER_LINES_COMPLETE)
		end_head(h);
	return fault;
}

static const char *read_status(struct tlb_response_head *h, unsigned char c)
{
	size_t used;

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
	/* The reason is text like the value of a header. */
	h->state = TLB_RESPONSE_HEAD_LINES;
	h->lines.state = TLB_HEADER_LINES_VALUE;
	return read_lines(h, (const char *)&c, 1, &used);
}

const char *tlb_response_head_check(struct tlb_response_head *h, const char *data, size_t len)
{
	const char *fault = NULL;
	size_t i = 0;
	size_t used;

	while (i < len && !fault) {
		used = 1;
		switch (h->state) {
		case TLB_RESPONSE_HEAD_VERSION:
			fault = read_version(h, (unsigned char)data[i]);
			break;
		case TLB_RESPONSE_HEAD_STATUS:
			fault = read_status(h, (unsigned char)data[i]);
			break;
		case TLB_RESPONSE_HEAD_LINES:
			fault = read_lines(h, data + i, len - i, &used);
			break;
		case TLB_RESPONSE_HEAD_COMPLETE:
			return NULL;
		}
		i += used;
	}
	return fault;
}
