/* Decodes a body in the chunked coding (RFC 9112, section 7.1) while its bytes arrive. */
#ifndef TLB_CHUNKED_H
#define TLB_CHUNKED_H

#include <stdint.h>

#include "header_lines.h"

enum tlb_chunked_state {
	TLB_CHUNKED_SIZE,
	TLB_CHUNKED_EXTENSION,
	TLB_CHUNKED_SIZE_END, /* after the CR of the line with the size */
	TLB_CHUNKED_DATA,
	TLB_CHUNKED_DATA_END, /* after the data of a chunk */
	TLB_CHUNKED_DATA_LF,  /* after the CR behind it */
	TLB_CHUNKED_TRAILERS,
	TLB_CHUNKED_COMPLETE,
};

/* Caller-owned, zero-initialised before the first byte. */
struct tlb_chunked {
	enum tlb_chunked_state state;
	uint64_t left; /* the size so far, then the bytes of the chunk that have not arrived */
	int digits;    /* of the size */
	size_t framing_bytes; /* bytes that are no content */
	size_t content_bytes;
	struct tlb_header_lines trailers;
};

/* Content among the bytes that were read; borrowed from them. */
struct tlb_chunked_piece {
	const char *data;
	size_t len;
};

/* Reads bytes up to the end of a piece of content or of the body. Returns why they can't be part of
 * one, or NULL with *used set to the number of bytes read and *piece to the content among them. */
const char *tlb_chunked_read(struct tlb_chunked *c, const char *data, size_t len, size_t *used,
			     struct tlb_chunked_piece *piece);

#endif
