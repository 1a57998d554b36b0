/*
 * The harness shared by all stand-ins: two HTTP listeners (the simulated service and its control
 * interface), command-line options, fault injection and a log of recent requests. Each connection
 * has its own thread, so a handler may block. Each stand-in guards its state with its own lock.
 */
#ifndef STANDIN_CONTROL_H
#define STANDIN_CONTROL_H

#include <jansson.h>
#include <microhttpd.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#include "clock.h"

/* Faults that can be injected into a request. With after_tokens, delay, stall, die and cut apply to
 * a stream after that many events; responses that are not streams are then unaffected, except that
 * cut truncates them. */
enum standin_fault_kind {
	STANDIN_NONE,
	STANDIN_DELAY,		  /* executed normally after ms */
	STANDIN_STALL,		  /* not executed; no byte for ms (0: forever), then closed */
	STANDIN_DROP_ANSWER,	  /* executed, then closed without a response */
	STANDIN_SILENT,		  /* connections open now never send another byte */
	STANDIN_REFUSE,		  /* 503, not executed */
	STANDIN_DIE,		  /* the process exits */
	STANDIN_CLOSE_AFTER_READ, /* read, then closed without a response; not executed */
	STANDIN_CUT,		  /* executed; the response is truncated */
	STANDIN_FAULT_KINDS
};

enum { STANDIN_PATH_LEN = 128 };

struct standin_fault {
	enum standin_fault_kind kind;
	tlb_time duration; /* microseconds */
	char path[STANDIN_PATH_LEN];
	int64_t count; /* remaining requests to affect; -1 for all */
	int64_t after_tokens;
};

struct standin_header {
	char *name;
	char *value;
};

struct standin_conn;
struct standin_listener;
struct standin_request;

/* Writes the next event of a stream into buf; blocks until it is due. Returns its length, 0 at the
 * end, -1 to abort the connection. */
typedef ssize_t standin_stream_fn(void *arg, struct standin_request *rq, char *buf, size_t max);

/* One request; owned by its connection's thread, freed once the response is sent or aborted. */
struct standin_request {
	struct standin_listener *listener;
	struct standin_conn *conn;
	struct MHD_Connection *mhd;
	char *method;
	char *url;  /* as received, with the query */
	char *path; /* without the query */
	struct standin_header *headers;
	size_t header_count;
	char *body; /* NUL-terminated */
	size_t body_len;
	struct standin_fault fault;

	int status;
	const char *content_type;
	char *response_body;
	size_t response_len;
	standin_stream_fn *stream;
	void (*stream_free)(void *arg);
	void *stream_arg;
	int64_t events_sent;
	bool exit_after; /* the process exits after sending the response */
};

typedef void standin_handle_fn(struct standin_request *rq);
/* Adds the stand-in's own fields to the response of GET /state. */
typedef void standin_state_fn(json_t *state);

/* An option --name; exactly one of number, text and flag is set. */
struct standin_option {
	const char *name;
	int64_t *number;
	const char **text;
	bool *flag;
};

struct standin_program {
	const char *name;
	const struct standin_option *options; /* ends with a NULL name; may be NULL */
	standin_handle_fn *handle;
	standin_state_fn *state;
	standin_handle_fn *control; /* handles further control requests; may be NULL */
	bool (*start)(void);	    /* called after option parsing; may be NULL */
};

/* Runs a stand-in until SIGTERM; returns the exit status. */
int standin_main(int argc, char **argv, const struct standin_program *p);

/* Sets a JSON response; takes ownership of the reference to body. */
void standin_reply(struct standin_request *rq, int status, json_t *body);
/* Sets {"error":code} as the response. */
void standin_reply_error(struct standin_request *rq, int status, const char *code);
/* Sets a copy of the bytes as the response. */
void standin_reply_bytes(struct standin_request *rq, int status, const char *data, size_t len);
/* Sets a stream as the response; free_fn runs once, whether or not the request completes. */
void standin_reply_stream(struct standin_request *rq, const char *content_type,
			  standin_stream_fn *fn, void (*free_fn)(void *arg), void *arg);

bool standin_is(const struct standin_request *rq, const char *method, const char *path);
/* Returns the named header's value or NULL. */
const char *standin_header(const struct standin_request *rq, const char *name);
/* Returns the named query argument or NULL; owned by the request. */
const char *standin_query(const struct standin_request *rq, const char *name);
/* Parses the body; answers 400 and returns NULL unless it is a JSON object. */
json_t *standin_body(struct standin_request *rq);

/* Waits until the given time; returns false if the peer closes the connection earlier. The close of
 * a silent connection is ignored, as if the peer had failed without closing it. */
bool standin_wait(struct standin_request *rq, tlb_time until);
bool standin_disconnected(struct standin_request *rq);

/* FNV-1a, 64 bits; start with STANDIN_HASH_START. Clients verify outputs with the same hash. */
#define STANDIN_HASH_START UINT64_C(0xcbf29ce484222325)
uint64_t standin_hash(uint64_t hash, const char *data, size_t len);

/* A token bucket; the burst is a fifth of a second, at least one. Not locked. */
struct standin_rate {
	int64_t per_second;
	double level;
	tlb_time updated;
};

void standin_rate_init(struct standin_rate *r, int64_t per_second);
bool standin_rate_acquire(struct standin_rate *r);

#endif
