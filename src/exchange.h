/*
 * One request of a caller and its response, as handlers see them. Handlers call these functions at
 * any time until the caller has disconnected or the response is complete; sending is left to the
 * listener.
 */
#ifndef TLB_EXCHANGE_H
#define TLB_EXCHANGE_H

#include <apr_ring.h>
#include <stdbool.h>

#include "buffer.h"
#include "clock.h"
#include "error.h"
#include "ident.h"
#include "keyscan.h"
#include "memory.h"

enum {
	TLB_REQUEST_PREFIX_LEN = 20,
	TLB_IDEMPOTENCY_KEY_LEN = 160,
	TLB_LISTENER_HEADERS_MAX = 32768, /* bytes of a request's path, query and headers */
	/* Unread bytes of a stream above which a caller is treated as disconnected. */
	TLB_STREAM_BACKLOG_MAX = 1 << 20,
};

enum tlb_exchange_state {
	TLB_EXCHANGE_READING,	/* the request has not arrived completely */
	TLB_EXCHANGE_RUNNING,	/* the handler processes the request */
	TLB_EXCHANGE_REPLYING,	/* the response is queued; the handler is done with it */
	TLB_EXCHANGE_STREAMING, /* the handler appends to the response as it is produced */
};

/* Form of the request's API key. */
enum tlb_key_form {
	TLB_KEY_NONE,
	TLB_KEY_MALFORMED,
	TLB_KEY_UNUSUAL, /* not from TLB_KEY_MIN_BYTES to TLB_KEY_MAX_BYTES long; only hashed */
	TLB_KEY_PRESENT,
};

struct tlb_caller_conn;
struct tlb_exchange;
struct tlb_listener;

/* Called once when the caller has disconnected before the response was complete. The exchange is
 * freed afterwards. */
typedef void tlb_exchange_disconnect_fn(void *arg);

/* How far a response was sent (response.h). */
struct tlb_response_writer {
	bool begun;
	bool chunked;
	bool no_body;
	bool keep_connection;
	bool last;		   /* the end of the stream is among what is sent */
	struct tlb_buffer framing; /* the head, or the size of a chunk */
	size_t framing_pos;
	size_t body_left;  /* of the body or the chunk in progress */
	size_t break_left; /* of the line break behind that chunk */
};

/* One request and its response. Owned by the listener. */
struct tlb_exchange {
	APR_RING_ENTRY(tlb_exchange) link;
	struct tlb_listener *listener;
	struct tlb_caller_conn *conn; /* which owns the request's head */
	int fd;
	enum tlb_exchange_state state;
	bool disconnected;
	bool close_connection; /* the connection is closed after the response */
	char id[TLB_REQUEST_ID_LEN];
	const char *method;	  /* borrowed from the head, like target, query and content_type */
	const char *target;	  /* as the caller sent it */
	char *path;		  /* without the query */
	const char *query;	  /* in target, after "?"; "" when there is none */
	const char *content_type; /* "" when absent */
	enum tlb_key_form key_form;
	unsigned char key_hash[TLB_KEY_HASH_LEN];
	char key[TLB_KEY_MAX_BYTES + 1]; /* API key of that form; wiped when the handler returns */
	char idempotency_key[TLB_IDEMPOTENCY_KEY_LEN];
	const char *header_error; /* why the headers are invalid; NULL when they are valid */
	bool headers_too_large;
	struct tlb_memory_share memory; /* what the exchange holds */
	bool memory_refused;		/* the request does not fit into the memory */
	struct tlb_buffer body;
	bool body_too_large;
	tlb_time read_deadline; /* for the complete request */
	tlb_time arrived; /* when its bytes arrived, as far as this is known, else when it was read
			   */
	tlb_time arrived_after;	    /* before arrived when this is not known exactly */
	tlb_time caller_checked_at; /* by tlb_exchange_check_caller() */
	/* The response. */
	int status;
	char *reply;
	size_t reply_len;
	size_t reply_pos; /* what was sent of it */
	char *reply_type;
	int retry_after_ms;
	/* Header lines "Name: value\n" of a forwarded response; they replace Content-Type and
	 * X-Request-Id. */
	char *reply_head;
	struct tlb_response_writer writer;
	/* The stream: the bytes of out from out_pos on have not been sent. */
	struct tlb_buffer out;
	size_t out_pos;
	bool out_done;
	bool out_aborted;
	/* Set by the handler. */
	tlb_exchange_disconnect_fn *on_disconnect;
	void *arg;
};

APR_RING_HEAD(tlb_exchange_ring, tlb_exchange);

/* Sends a complete response; takes ownership of the malloc'd body. */
void tlb_exchange_reply(struct tlb_exchange *x, int status, const char *content_type, char *body,
			size_t len);
/* Sends an error as JSON {"error":{"code","message","outcome","request_id"}}; 429 and 503
 * carry Retry-After (at least 1 s). */
void tlb_exchange_refuse(struct tlb_exchange *x, const struct tlb_error *err, int retry_after_s);
/* Like tlb_exchange_refuse() for a request that was not admitted; also logs event=refuse, the last
 * log line of the request. account is "" when it is not known. */
void tlb_exchange_refuse_unadmitted(struct tlb_exchange *x, const char *account,
				    const struct tlb_error *err);
/* Like tlb_exchange_refuse() with Retry-After in milliseconds, sent as seconds with a fraction. */
void tlb_exchange_refuse_ms(struct tlb_exchange *x, const struct tlb_error *err,
			    int retry_after_ms);
/* Takes the header lines "Name: value\n" of an endpoint's response (copied), which is forwarded
 * next. Returns false without memory. */
bool tlb_exchange_set_head(struct tlb_exchange *x, const char *head);
/* Sends an endpoint's response: status and the malloc'd body, of which it takes ownership. */
void tlb_exchange_forward(struct tlb_exchange *x, int status, char *body, size_t len);
/* Starts a stream with an endpoint's status. */
void tlb_exchange_stream_forward(struct tlb_exchange *x, int status);
/* A header of the request, or NULL; valid until the exchange ends. */
const char *tlb_exchange_header(const struct tlb_exchange *x, const char *name);
/* Whether the caller has disconnected; on_disconnect is called when this shows here. The periodic
 * check notices it soon, so that this one costs system calls only after the loop was late, and once
 * for each poll. */
bool tlb_exchange_check_caller(struct tlb_exchange *x);
/* Calls fn for every header of the request. */
typedef void tlb_exchange_header_fn(void *arg, const char *name, const char *value);
void tlb_exchange_each_header(const struct tlb_exchange *x, tlb_exchange_header_fn *fn, void *arg);
/* Starts a server-sent event stream with status 200. */
void tlb_exchange_stream_begin(struct tlb_exchange *x);
/* Appends bytes to a buffer of the handler that holds them for this exchange. Returns false when
 * that would exceed max or the memory. */
bool tlb_exchange_hold(struct tlb_exchange *x, struct tlb_buffer *b, const char *data, size_t len,
		       size_t max);
/* Frees such a buffer. */
void tlb_exchange_drop(struct tlb_exchange *x, struct tlb_buffer *b);
/* Appends to the stream. Returns false when the backlog would exceed TLB_STREAM_BACKLOG_MAX, or
 * without memory. */
bool tlb_exchange_stream_write(struct tlb_exchange *x, const char *data, size_t len);
/* Bytes of the stream that have not been sent. */
static inline size_t tlb_exchange_backlog(const struct tlb_exchange *x)
{
	return x->out.len - x->out_pos;
}
/* Ends the stream. With complete false the connection is closed without the last chunk, so that the
 * caller can't mistake the response for a complete one. */
void tlb_exchange_stream_end(struct tlb_exchange *x, bool complete);

/* For the listener: tells the handler that the caller has disconnected. */
void tlb_exchange_disconnect(struct tlb_exchange *x);
/* For the listener: writes the last log line of a request that is refused. */
void tlb_exchange_log_refusal(const struct tlb_exchange *x, const char *account,
			      const struct tlb_error *err);
void tlb_exchange_free(struct tlb_exchange *x);

#endif
