/*
 * Checks the heads of a response against the grammar of RFC 9112 while their bytes arrive.
 * http_parser, which reads them, takes more than the grammar allows for a response.
 */
#ifndef TLB_RESPONSE_HEAD_H
#define TLB_RESPONSE_HEAD_H

#include "header_lines.h"

enum tlb_response_head_state {
	TLB_RESPONSE_HEAD_VERSION, /* the status line up to the status */
	TLB_RESPONSE_HEAD_STATUS,
	TLB_RESPONSE_HEAD_LINES,    /* the reason and the header lines */
	TLB_RESPONSE_HEAD_COMPLETE, /* the head of the final response has ended */
};

/* What was read of a response. Caller-owned, zero-initialised before the first byte. */
struct tlb_response_head {
	enum tlb_response_head_state state;
	int status;  /* its digits so far */
	size_t read; /* bytes of the version, then digits of the status */
	struct tlb_header_lines lines;
};

/* Reads bytes of a response that follow those read before. Returns why they can't be part of one,
 * or NULL. What follows the head of the final response is not read. */
const char *tlb_response_head_check(struct tlb_response_head *h, const char *data, size_t len);

#endif
