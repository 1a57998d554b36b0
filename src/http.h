/*
 * HTTP client for the daemon: outgoing calls on the event loop. Connections are module
 * connection's. Responses are parsed by http_parser, a piece at a time, once module response_head
 * has found no fault in the piece.
 *
 * A call is owned by its user and embedded in the user's struct. Callbacks run from the event loop,
 * never from within tlb_http_start(). After on_done, or after tlb_http_cancel(), no callback runs.
 */
#ifndef TLB_HTTP_H
#define TLB_HTTP_H

#include <http_parser.h>
#include <stdbool.h>

#include "buffer.h"
#include "connection.h"
#include "error.h"
#include "loop.h"
#include "memory.h"
#include "response_head.h"

/* Totals over the calls that got a response or failed; bytes include the HTTP headers. */
struct tlb_http_totals {
	int64_t calls;
	int64_t bytes_in;
	int64_t bytes_out;
};

struct tlb_http {
	struct tlb_loop *loop;
	struct tlb_connections connections;
	struct tlb_http_totals totals;
	struct tlb_memory *memory; /* limits what calls hold; NULL: no limit; set by the owner */
	char input[TLB_CONNECTION_READ_BYTES]; /* what is being parsed */
};

struct tlb_http_call;

/* The result of a call. status is 0 without a complete response. sent is set when a byte of the
 * request may have reached the peer. */
struct tlb_http_result {
	int status;
	bool sent;
	bool timed_out;
	bool refused;	     /* no connection could be opened, and not for lack of time */
	bool broken_off;     /* the peer closed or reset the connection before the response's end */
	bool ended_by_close; /* has neither a length nor chunks: the closed connection ended it */
	const char *head;    /* header lines "Name: value\n" of the final response; "" for none */
	const char *body;    /* complete body, NUL-terminated; "" when on_data received it */
	size_t body_len;
	struct tlb_buffer *body_buffer; /* holds body until on_done returns */
	const char *content_type;	/* "" when absent */
	char reason[120]; /* why there is no complete response; "" when there is one */
};

/* Receives body bytes as they arrive, after a 2xx status only; tlb_http_head() returns the headers.
 * Returns false to stop the call, which then reports a failure through on_done. Must not cancel its
 * own call. */
typedef bool tlb_http_data_fn(void *arg, const char *data, size_t len);
/* Called once the connection is established. Returns false to end the call with nothing sent. */
typedef bool tlb_http_before_send_fn(void *arg);
typedef void tlb_http_done_fn(void *arg, const struct tlb_http_result *result);

struct tlb_http_spec {
	const char *method; /* "GET", "POST", ... */
	const char *url;    /* "http://IP:PORT/path" */
	const char *body;   /* copied unless body_borrowed; NULL for none */
	size_t body_len;
	bool body_borrowed;	     /* body remains valid until the call has ended */
	const char *content_type;    /* NULL for "application/json" when there is a body */
	const char *idempotency_key; /* sent as that header; NULL for none */
	/* Request header lines, each with CR LF, which replace the standard ones (NULL). Host is
	 * added when it is missing, Content-Length always. */
	const char *headers;
	const char *unsendable;	   /* ends the call for this reason with nothing sent; NULL: none */
	size_t body_max;	   /* largest collected body; 0: TLB_HTTP_BODY_MAX */
	const char *target;	   /* request target, sent without change; NULL: from url */
	tlb_time connect_deadline; /* for establishing the connection; 0: same as deadline */
	tlb_time deadline;	   /* for the complete call; TLB_NEVER for none */
	/* Uses a new connection, which is closed after the call. Then a late or duplicate response
	 * to another request can't be mistaken for the response to this one. A GET on a connection
	 * that was kept is sent once more when the peer has closed it before any response byte. */
	bool dedicated_connection;
	tlb_http_before_send_fn *before_send; /* NULL: none */
	tlb_http_data_fn *on_data;	      /* NULL: the body is collected for on_done */
	tlb_http_done_fn *on_done;
	void *arg;
};

/* Zero-initialised when idle. */
struct tlb_http_call {
	struct tlb_http *http;
	bool active;
	struct tlb_connection *connection; /* NULL when idle, or when it could not be opened */
	struct tlb_timer deadline_timer;
	struct tlb_timer connect_timer;
	struct tlb_timer start_timer; /* armed when the call can't be started */
	bool refused;		      /* then: by the network, and not for lack of memory */
	struct tlb_http_spec spec;
	/* The request: its head, with a body that was copied, then a borrowed body. */
	char addr[TLB_ADDR_LEN];
	struct tlb_memory_share memory; /* what the buffers of the call take */
	struct tlb_buffer request;
	size_t sent_bytes;
	bool sent;	/* a byte was sent, on this or an earlier connection */
	bool head_only; /* the response to a HEAD request has no body */
	bool idempotent;
	/* The response. */
	struct tlb_response_head head_check;
	http_parser parser;
	struct tlb_buffer head;
	struct tlb_buffer body;
	enum { TLB_HTTP_LINE_NONE, TLB_HTTP_LINE_NAME, TLB_HTTP_LINE_VALUE } line;
	bool at_line_break; /* the parser is paused after what it took for one */
	char last_byte;	    /* that was received */
	int status;	    /* of the final response; 0 before its head is complete */
	bool complete;	    /* the final response has been received */
	bool ended_by_close;
	size_t head_bytes;	/* of all heads, interim ones included, and trailers */
	size_t received_bytes;	/* of the whole response */
	size_t delivered_bytes; /* of the body */
	const char *fault;	/* why the response is not usable; NULL: no fault */
};

/* Largest collected response body, and largest sum of status lines, header lines and trailers, in
 * bytes; a larger response fails the call, and so does one that does not fit into the memory. */
enum {
	TLB_HTTP_BODY_MAX = 8 << 20,
	/* Responses with a few fields. Parsing one as JSON can take twenty times its size. */
	TLB_HTTP_SMALL_BODY_MAX = 64 << 10,
	TLB_HTTP_HEAD_MAX = 65536,
};

void tlb_http_init(struct tlb_http *h, struct tlb_loop *l);
void tlb_http_finish(struct tlb_http *h);

/* Starts a call; may be called from on_data of another call. The strings of spec are copied. A call
 * for which there is no memory, or no connection can be opened, ends through on_done as well. */
void tlb_http_start(struct tlb_http *h, struct tlb_http_call *c, const struct tlb_http_spec *spec);
/* Returns the malloc'd body of a result, which the caller frees, in place of r->body; NULL without
 * memory. */
char *tlb_http_take_body(const struct tlb_http_result *r);
/* Aborts a call without calling on_done and closes its connection; no effect when idle. */
void tlb_http_cancel(struct tlb_http_call *c);
/* Ends the call as when its deadline has passed; calls on_done. */
void tlb_http_time_out(struct tlb_http_call *c);
/* The response header lines received so far, else ""; valid until control returns to the event
 * loop. */
const char *tlb_http_head(const struct tlb_http_call *c);
/* The status of the final response, or 0 before its head is complete. */
int tlb_http_status(const struct tlb_http_call *c);
static inline bool tlb_http_active(const struct tlb_http_call *c)
{
	return c->active;
}

#endif
