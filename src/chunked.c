#include "chunked.h"

#include <apr_lib.h>
#include <stdlib.h>

enum {
	SIZE_DIGITS_MAX = 15,
	/* Bytes of sizes, their extensions and trailers: a fixed number and a multiple of the
	 * content, which allows for chunks of one byte. */
	FRAMING_MAX = 32768,
	FRAMING_PER_CONTENT_BYTE = 8,
};

static const char bad_size[] = "the size of a chunk is not a hexadecimal number";
static const char bad_line[] = "a control character in the line of a chunk's size";
static const char bad_end[] = "a chunk without its line break";
static const char too_much[] = "the body has hardly any content";

static int digit_value(unsigned char c)
{
	return apr_isdigit(c) ? c - '0' : apr_tolower(c) - 'a' + 10;
}

static const char *read_size(struct tlb_chunked *c, unsigned char byte)
{
	if (apr_isxdigit(byte)) {
		c->left = 16 * c->left + (uint64_t)digit_value(byte);
		return ++c->digits <= SIZE_DIGITS_MAX ? NULL : bad_size;
	}
	if (c->digits == 0)
		return bad_size;
	switch (byte) {
	case '\r':
		c->state = TLB_CHUNKED_SIZE_END;
		return NULL;
	case ';':
	case ' ':
	case '\t':
		c->state = TLB_CHUNKED_EXTENSION;
		return NULL;
	default:
		return bad_size;
	}
}

static const char *read_extension(struct tlb_chunked *c, unsigned char byte)
{
	if (byte == '\r')
		c->state = TLB_CHUNKED_SIZE_END;
	else if (!tlb_is_text_char(byte))
		return bad_line;
	return NULL;
}

static const char *read_size_end(struct tlb_chunked *c, unsigned char byte)
{
	if (byte != '\n')
		return bad_line;
	c->state = c->left > 0 ? TLB_CHUNKED_DATA : TLB_CHUNKED_TRAILERS;
	return NULL;
}

static const char *read_data_end(struct tlb_chunked *c, unsigned char byte)
{
	c->state = TLB_CHUNKED_DATA_LF;
	return byte == '\r' ? NULL : bad_end;
}

static const char *read_data_lf(struct tlb_chunked *c, unsigned char byte)
{
	c->state = TLB_CHUNKED_SIZE;
	c->digits = 0;
	return byte == '\n' ? NULL : bad_end;
}

static const char *read_framing_byte(struct tlb_chunked *c, unsigned char byte)
{
	switch (c->state) {
	case TLB_CHUNKED_SIZE:
		return read_size(c, byte);
	case TLB_CHUNKED_EXTENSION:
		return read_extension(c, byte);
	case TLB_CHUNKED_SIZE_END:
		return read_size_end(c, byte);
	case TLB_CHUNKED_DATA_END:
		return read_data_end(c, byte);
	case TLB_CHUNKED_DATA_LF:
		return read_data_lf(c, byte);
	case TLB_CHUNKED_DATA:
	case TLB_CHUNKED_TRAILERS:
	case TLB_CHUNKED_COMPLETE:
		break;
	}
	return NULL;
}

static void read_data(struct tlb_chunked *c, const char *data, size_t len,
		      struct tlb_chunked_piece *piece)
{
	piece->data = data;
	piece->len = len < c->left ? len : (size_t)c->left;
	c->left -= piece->len;
	c->content_bytes += piece->len;
	if (c->left == 0)
		c->state = TLB_CHUNKED_DATA_END;
}

static const char *read_framing(struct tlb_chunked *c, const char *data, size_t len, size_t *used)
{
	const char *fault = NULL;
	size_t i;

	if (c->state == TLB_CHUNKED_TRAILERS) {
		fault = tlb_header_lines_check(&c->trailers, data, len, &i);
		if (c->trailers.state == TLB_HEADER_LINES_COMPLETE)
			c->state = TLB_CHUNKED_COMPLETE;
	} else {
		for (i = 0; i < len && !fault && c->state != TLB_CHUNKED_DATA &&
			    c->state != TLB_CHUNKED_TRAILERS;
		     i++)
			fault = read_framing_byte(c, (unsigned char)data[i]);
	}
	*used = i;
	c->framing_bytes += i;
	if (c->framing_bytes > FRAMING_MAX + FRAMING_PER_CONTENT_BYTE * c->content_bytes)
		return too_much;
	return fault;
}

const char *tlb_chunked_read(struct tlb_chunked *c, const char *data, size_t len, size_t *used,
			     struct tlb_chunked_piece *piece)
{
	const char *fault = NULL;
	size_t n;

	*piece = (struct tlb_chunked_piece){0};
	*used = 0;
	while (*used < len && !fault && piece->len == 0 && c->state != TLB_CHUNKED_COMPLETE) {
		if (c->state == TLB_CHUNKED_DATA) {
			read_data(c, data + *used, len - *used, piece);
			n = piece->len;
		} else {
			fault = read_framing(c, data + *used, len - *used, &n);
		}
		*used += n;
	}
	return fault;
}
