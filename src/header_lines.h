/*
 * Checks the lines of a header or trailer section against the grammar of RFC 9112, section 5, while
 * their bytes arrive. Folded lines (section 5.2) are faults: implementations read them differently.
 */
#ifndef TLB_HEADER_LINES_H
#define TLB_HEADER_LINES_H

#include <stdbool.h>
#include <stddef.h>

enum tlb_header_lines_state {
	TLB_HEADER_LINES_BEGIN, /* the begin of a line */
	TLB_HEADER_LINES_NAME,
	TLB_HEADER_LINES_VALUE,
	TLB_HEADER_LINES_LINE_END, /* after the CR of a line */
	TLB_HEADER_LINES_END,	   /* after the CR of the empty line */
	TLB_HEADER_LINES_COMPLETE, /* the empty line has ended */
};

/* Caller-owned, zero-initialised before the first byte. */
struct tlb_header_lines {
	enum tlb_header_lines_state state;
	size_t count; /* lines that have begun */
};

/* Whether c can be part of a method or a header's name (RFC 9110, section 5.6.2). */
bool tlb_is_token_char(unsigned char c);
/* Whether c can be part of a header's value or a reason: no control character but the tab. */
bool tlb_is_text_char(unsigned char c);

/* Returns the next option of a Connection header, of *len bytes, and moves *list behind it; NULL at
 * the end. */
const char *tlb_next_option(const char **list, size_t *len);

/* Reads bytes that follow those read before, up to the end of the empty line. Returns why they
 * can't be part of a section, or NULL with *used set to the number of bytes read. */
const char *tlb_header_lines_check(struct tlb_header_lines *h, const char *data, size_t len,
				   size_t *used);

#endif
