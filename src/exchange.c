#include "exchange.h"

#include <jansson.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "listener.h"
#include "log.h"
#include "socket.h"

enum {
	COMPACT_FROM = 65536, /* sent bytes from which the stream buffer is compacted */
	STREAM_BUFFER_MAX = TLB_STREAM_BACKLOG_MAX + COMPACT_FROM,
};

/* --- responses --- */

/* JSON body of an error response; malloc'd, NULL without memory. */
static char *error_body(const struct tlb_exchange *x, const struct tlb_error *err)
{
	json_t *j = json_pack("{s:{s:s,s:s,s:s,s:s}}", "error", "code", tlb_error_name(err->code),
			      "message", err->message, "outcome", tlb_outcome_name(err->outcome),
			      "request_id", x->id);
	char *text = j ? json_dumps(j, JSON_COMPACT) : NULL;

	json_decref(j);
	return text;
}

static void set_reply_type(struct tlb_exchange *x, const char *type)
{
	free(x->reply_type);
	x->reply_type = strdup(type ? type : "");
}

void tlb_exchange_reply(struct tlb_exchange *x, int status, const char *content_type, char *body,
			size_t len)
{
	x->state = TLB_EXCHANGE_REPLYING;
	x->on_disconnect = NULL;
	x->status = status;
	x->reply = body;
	x->reply_len = len;
	tlb_memory_charge_used(&x->memory, len);
	set_reply_type(x, content_type);
	tlb_listener_wake(x);
}

void tlb_exchange_refuse_ms(struct tlb_exchange *x, const struct tlb_error *err, int retry_after_ms)
{
	int status = tlb_error_http_status(err->code);
	char *text = error_body(x, err);

	if (!text)
		text = strdup("{}");
	if (status == 429 || status == 503)
		x->retry_after_ms = retry_after_ms;
	tlb_exchange_reply(x, status, "application/json", text, strlen(text));
}

void tlb_exchange_refuse(struct tlb_exchange *x, const struct tlb_error *err, int retry_after_s)
{
	tlb_exchange_refuse_ms(x, err, 1000 * (retry_after_s > 0 ? retry_after_s : 1));
}

bool tlb_exchange_set_head(struct tlb_exchange *x, const char *head)
{
	/* One copy here, and one in the response. */
	if (!tlb_memory_charge(&x->memory, 2 * strlen(head)))
		return false;
	x->reply_head = strdup(head);
	return x->reply_head != NULL;
}

void tlb_exchange_forward(struct tlb_exchange *x, int status, char *body, size_t len)
{
	tlb_exchange_reply(x, status, "", body, len);
}

void tlb_exchange_stream_forward(struct tlb_exchange *x, int status)
{
	tlb_exchange_stream_begin(x);
	x->status = status;
}

const char *tlb_exchange_header(const struct tlb_exchange *x, const char *name)
{
	return tlb_request_reader_find(&x->conn->reader, name);
}

void tlb_exchange_each_header(const struct tlb_exchange *x, tlb_exchange_header_fn *fn, void *arg)
{
	const struct tlb_request_reader *r = &x->conn->reader;
	size_t i;

	for (i = 0; i < r->header_count; i++)
		fn(arg, r->headers[i].name, r->headers[i].value);
}

void tlb_exchange_log_refusal(const struct tlb_exchange *x, const char *account,
			      const struct tlb_error *err)
{
	char reason[2 * TLB_MESSAGE_LEN];

	tlb_log_info("event=refuse request=%s account=%s code=%s reason=\"%s\"", x->id, account,
		     tlb_error_name(err->code),
		     tlb_log_escape(reason, sizeof(reason), err->message));
}

void tlb_exchange_refuse_unadmitted(struct tlb_exchange *x, const char *account,
				    const struct tlb_error *err)
{
	tlb_exchange_log_refusal(x, account, err);
	tlb_exchange_refuse(x, err, 0);
}

void tlb_exchange_stream_begin(struct tlb_exchange *x)
{
	x->state = TLB_EXCHANGE_STREAMING;
	x->status = 200;
	set_reply_type(x, "text/event-stream");
	tlb_listener_wake(x);
}

/* Moves the unsent bytes to the start of the buffer. Without this the buffer would grow during the
 * whole stream when the caller never catches up completely. */
static void compact(struct tlb_exchange *x)
{
	if (x->out_pos < COMPACT_FROM)
		return;
	memmove(x->out.data, x->out.data + x->out_pos, tlb_exchange_backlog(x));
	x->out.len -= x->out_pos;
	x->out_pos = 0;
}

bool tlb_exchange_stream_write(struct tlb_exchange *x, const char *data, size_t len)
{
	if (tlb_exchange_backlog(x) + len > TLB_STREAM_BACKLOG_MAX)
		return false;
	compact(x);
	if (!tlb_memory_append(&x->memory, &x->out, data, len, STREAM_BUFFER_MAX))
		return false;
	tlb_listener_wake(x);
	return true;
}

bool tlb_exchange_hold(struct tlb_exchange *x, struct tlb_buffer *b, const char *data, size_t len,
		       size_t max)
{
	return tlb_memory_append(&x->memory, b, data, len, max);
}

void tlb_exchange_drop(struct tlb_exchange *x, struct tlb_buffer *b)
{
	tlb_memory_return(&x->memory, b->cap);
	tlb_buffer_finish(b);
}

void tlb_exchange_stream_end(struct tlb_exchange *x, bool complete)
{
	x->on_disconnect = NULL;
	x->out_done = true;
	x->out_aborted = !complete;
	tlb_listener_wake(x);
}

/* --- disconnected callers --- */

void tlb_exchange_disconnect(struct tlb_exchange *x)
{
	tlb_exchange_disconnect_fn *fn = x->on_disconnect;

	x->disconnected = true;
	x->on_disconnect = NULL;
	if (fn)
		fn(x->arg);
}

bool tlb_exchange_check_caller(struct tlb_exchange *x)
{
	const struct tlb_loop *l = x->listener->loop;

	if (x->disconnected)
		return true;
	if (!tlb_loop_was_late(l) || x->caller_checked_at >= l->polled_at)
		return false;
	x->caller_checked_at = tlb_clock_now();
	if (!tlb_socket_peer_closed(x->fd))
		return false;
	tlb_exchange_disconnect(x);
	tlb_listener_wake(x);
	return true;
}

/* --- the end --- */

void tlb_exchange_free(struct tlb_exchange *x)
{
	sodium_memzero(x->key, sizeof(x->key));
	free(x->path);
	free(x->reply_type);
	tlb_buffer_finish(&x->body);
	free(x->reply);
	free(x->reply_head);
	tlb_buffer_finish(&x->writer.framing);
	tlb_buffer_finish(&x->out);
	tlb_memory_release(&x->memory);
	free(x);
}
