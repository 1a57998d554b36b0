#include "header_lines.h"

#include <ctype.h>
#include <string.h>

static const char bad_name[] = "a header whose name is not a token";
static const char bad_text[] = "a control character in the head";

bool tlb_is_token_char(unsigned char c)
{
	return isalnum(c) || (c != '\0' && strchr("!#$%&'*+-.^_`|~", c));
}

bool tlb_is_text_char(unsigned char c)
{
	return c == '\t' || (c >= ' ' && c != 0x7f);
}

static bool separates_options(char c)
{
	return c == ',' || c == ' ' || c == '\t';
}

/* Scans bytes: strcspn() takes longer for options as short as these, of which there may be
 * thousands. */
const char *tlb_next_option(const char **list, size_t *len)
{
	const char *p = *list;
	const char *begin;

	while (separates_options(*p))
		p++;
	begin = p;
	while (*p && !separates_options(*p))
		p++;
	*list = p;
	*len = (size_t)(p - begin);
	return *len > 0 ? begin : NULL;
}

static const char *read_begin(struct tlb_header_lines *h, unsigned char c)
{
	if (c == '\n') {
		h->state = TLB_HEADER_LINES_COMPLETE;
		return NULL;
	}
	if (c == '\r') {
		h->state = TLB_HEADER_LINES_END;
		return NULL;
	}
	h->state = TLB_HEADER_LINES_NAME;
	h->count++;
	return tlb_is_token_char(c) ? NULL : bad_name;
}

static const char *read_name(struct tlb_header_lines *h, unsigned char c)
{
	if (c == ':')
		h->state = TLB_HEADER_LINES_VALUE;
	else if (!tlb_is_token_char(c))
		return bad_name;
	return NULL;
}

static const char *read_value(struct tlb_header_lines *h, unsigned char c)
{
	if (c == '\r')
		h->state = TLB_HEADER_LINES_LINE_END;
	else if (c == '\n')
		h->state = TLB_HEADER_LINES_BEGIN;
	else if (!tlb_is_text_char(c))
		return bad_text;
	return NULL;
}

static const char *read_line_feed(struct tlb_header_lines *h, unsigned char c,
				  enum tlb_header_lines_state next)
{
	h->state = next;
	return c == '\n' ? NULL : bad_text;
}

static const char *read_byte(struct tlb_header_lines *h, unsigned char c)
{
	switch (h->state) {
	case TLB_HEADER_LINES_BEGIN:
		return read_begin(h, c);
	case TLB_HEADER_LINES_NAME:
		return read_name(h, c);
	case TLB_HEADER_LINES_VALUE:
		return read_value(h, c);
	case TLB_HEADER_LINES_LINE_END:
		return read_line_feed(h, c, TLB_HEADER_LINES_BEGIN);
	case TLB_HEADER_LINES_END:
		return read_line_feed(h, c, TLB_HEADER_LINES_COMPLETE);
	case TLB_HEADER_LINES_COMPLETE:
		break;
	}
	return NULL;
}

const char *tlb_header_lines_check(struct tlb_header_lines *h, const char *data, size_t len,
				   size_t *used)
{
	const char *fault = NULL;
	size_t i;

	for (i = 0; i < len && !fault && h->state != TLB_HEADER_LINES_COMPLETE; i++)
		fault = read_byte(h, (unsigned char)data[i]);
	*used = i;
	return fault;
}
