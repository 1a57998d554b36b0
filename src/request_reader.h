/*
 * Reads one HTTP/1 request of a connection while its bytes arrive. Every byte of the head, of the
 * lines between chunks and of the trailers is checked against RFC 9112 before any of it is used, so
 * that no two implementations can see different requests in it: a server that reads the length of a
 * body otherwise than its client takes the body for a request (section 11.2).
 */
#ifndef TLB_REQUEST_READER_H
#define TLB_REQUEST_READER_H

#include <stdint.h>

#include "chunked.h"
#include "memory.h"

/* Bytes of a request line and headers that are read. */
enum { TLB_REQUEST_HEAD_MAX = 65536 };

enum tlb_request_state {
	TLB_REQUEST_METHOD,
	TLB_REQUEST_TARGET,
	TLB_REQUEST_VERSION,
	TLB_REQUEST_LINE_END, /* after the CR of the request line */
	TLB_REQUEST_HEADERS,
	TLB_REQUEST_BODY, /* the head is complete */
	TLB_REQUEST_COMPLETE,
	TLB_REQUEST_INVALID,
};

/* Why a request is invalid. */
enum tlb_request_fault {
	TLB_REQUEST_NO_FAULT,
	TLB_REQUEST_MALFORMED,
	TLB_REQUEST_LINE_TOO_LARGE,
	TLB_REQUEST_HEADERS_TOO_LARGE,
	TLB_REQUEST_NO_MEMORY,
};

/* How the end of the body is found (RFC 9112, section 6.3). */
enum tlb_request_framing { TLB_REQUEST_NO_BODY, TLB_REQUEST_LENGTH, TLB_REQUEST_CHUNKED };

/* Both are parts of the head. */
struct tlb_request_header {
	const char *name;
	const char *value; /* without the blanks around it */
};

/* Called for each piece of the body; data is borrowed. */
typedef void tlb_request_body_fn(void *arg, const char *data, size_t len);

/* Caller-owned; owns the head and the headers. */
struct tlb_request_reader {
	enum tlb_request_state state;
	enum tlb_request_fault fault;
	const char *reason; /* of a fault */
	tlb_request_body_fn *on_body;
	void *arg;
	struct tlb_memory_share memory; /* what the head and the headers hold */
	struct tlb_buffer head;
	size_t target_start; /* in the head */
	size_t version_start;
	size_t lines_start;
	struct tlb_header_lines lines;
	/* Set when the head is complete. */
	const char *method;
	const char *target;
	struct tlb_request_header *headers;
	size_t header_count;
	bool keep_alive;       /* the client keeps the connection */
	bool http_1_0;	       /* the client knows no chunked coding */
	bool expects_continue; /* the client waits for "100 Continue" before it sends the body */
	enum tlb_request_framing framing;
	uint64_t length; /* of a body with a length */
	uint64_t left;	 /* bytes of it that have not arrived */
	struct tlb_chunked chunked;
};

/* Sets up a reader for the first request of a connection. memory: NULL when it is not limited. */
void tlb_request_reader_init(struct tlb_request_reader *r, struct tlb_memory *memory,
			     tlb_request_body_fn *on_body, void *arg);
void tlb_request_reader_finish(struct tlb_request_reader *r);
/* Makes it ready for the next request. */
void tlb_request_reader_reset(struct tlb_request_reader *r);

/* Reads bytes up to the end of the head, of the body, or of a fault. Returns how many were read. */
size_t tlb_request_reader_read(struct tlb_request_reader *r, const char *data, size_t len);
/* Whether anything of a request has arrived; empty lines before it are none. */
bool tlb_request_reader_has_begun(const struct tlb_request_reader *r);
/* Whether a part of a head has arrived. */
bool tlb_request_reader_in_head(const struct tlb_request_reader *r);
/* Whether the head has arrived whole and is valid. */
bool tlb_request_reader_has_head(const struct tlb_request_reader *r);
/* The value of the first header of that name, or NULL. */
const char *tlb_request_reader_find(const struct tlb_request_reader *r, const char *name);

#endif
