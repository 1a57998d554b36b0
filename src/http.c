#include "http.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>

/* A connection that was idle for IDLE_AGE_MAX_S is not reused: a NAT or firewall on the path may
 * have dropped its state. */
enum {
	IDLE_AGE_MAX_S = 5,
	CONNECTION_LIFETIME_S = 60,
	USER_TIMEOUT_MS = 4000,
	CONNECTIONS_MAX = 512
};

static void on_timer(void *arg);

static CURL *acquire_handle(struct tlb_http *h)
{
	return h->idle_count > 0 ? h->idle[--h->idle_count] : curl_easy_init();
}

static void recycle_handle(struct tlb_http *h, CURL *easy)
{
	if (h->idle_count == TLB_HTTP_IDLE_HANDLES) {
		curl_easy_cleanup(easy);
		return;
	}
	curl_easy_reset(easy);
	h->idle[h->idle_count++] = easy;
}

static void call_release(struct tlb_http_call *c)
{
	tlb_timer_clear(c->http->loop, &c->deadline_timer);
	tlb_timer_clear(c->http->loop, &c->start_timer);
	if (c->easy) {
		curl_multi_remove_handle(c->http->multi, c->easy);
		recycle_handle(c->http, c->easy);
	}
	curl_slist_free_all(c->headers);
	c->active = false;
	c->easy = NULL;
	c->headers = NULL;
}

void tlb_http_cancel(struct tlb_http_call *c)
{
	if (!c->active)
		return;
	call_release(c);
	c->http->body_bytes -= c->body.len;
	tlb_buffer_finish(&c->head);
	tlb_buffer_finish(&c->body);
}

const char *tlb_http_head(const struct tlb_http_call *c)
{
	return c->head.data ? c->head.data : "";
}

int tlb_http_status(const struct tlb_http_call *c)
{
	long status = 0;

	if (c->easy)
		curl_easy_getinfo(c->easy, CURLINFO_RESPONSE_CODE, &status);
	return (int)status;
}

/* Whether any byte of the request may have been sent. libcurl counts request bytes as it writes
 * them. */
static bool request_was_sent(CURL *easy)
{
	long size = 0;

	curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &size);
	return size > 0;
}

static void add_totals(struct tlb_http_totals *t, CURL *easy)
{
	curl_off_t down = 0;
	curl_off_t up = 0;
	long header = 0;
	long request = 0;
	long connects = 0;

	curl_easy_getinfo(easy, CURLINFO_SIZE_DOWNLOAD_T, &down);
	curl_easy_getinfo(easy, CURLINFO_SIZE_UPLOAD_T, &up);
	curl_easy_getinfo(easy, CURLINFO_HEADER_SIZE, &header);
	curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &request);
	curl_easy_getinfo(easy, CURLINFO_NUM_CONNECTS, &connects);
	t->calls++;
	t->connects += connects;
	t->bytes_in += down + header;
	t->bytes_out += up + request;
}

static void call_finish(struct tlb_http_call *c, CURLcode rc)
{
	struct tlb_http_result r;
	char type[80] = "";
	char *t = NULL;
	struct tlb_buffer body = c->body;
	struct tlb_buffer head = c->head;
	long status = 0;
	bool cut_head;

	memset(&r, 0, sizeof(r));
	if (c->easy) {
		curl_easy_getinfo(c->easy, CURLINFO_RESPONSE_CODE, &status);
		curl_easy_getinfo(c->easy, CURLINFO_CONTENT_TYPE, &t);
		r.sent = request_was_sent(c->easy);
		add_totals(&c->http->totals, c->easy);
	}
	snprintf(type, sizeof(type), "%s", t ? t : "");
	r.timed_out = c->timed_out;
	r.refused = rc == CURLE_COULDNT_CONNECT;
	/* For libcurl, a response is complete when its connection ends inside the head. */
	cut_head = rc == CURLE_OK && !c->head_complete;
	r.broken_off = rc == CURLE_PARTIAL_FILE || rc == CURLE_GOT_NOTHING ||
		       rc == CURLE_RECV_ERROR || rc == CURLE_SEND_ERROR || cut_head;
	r.ended_by_close = rc == CURLE_OK && c->content_length < 0 && !c->chunked;
	if (c->timed_out)
		snprintf(r.reason, sizeof(r.reason), "no complete response before the deadline");
	else if (c->too_large)
		snprintf(r.reason, sizeof(r.reason),
			 "response body too large: %zu bytes, %zu in all calls", c->body.len,
			 c->http->body_bytes);
	else if (c->conflicting_lengths)
		snprintf(r.reason, sizeof(r.reason), "two different Content-Length headers");
	else if (rc != CURLE_OK)
		snprintf(r.reason, sizeof(r.reason), "%s", curl_easy_strerror(rc));
	else if (cut_head)
		snprintf(r.reason, sizeof(r.reason), "the response ended in its head");
	else
		r.status = (int)status;
	r.body = body.data ? body.data : "";
	r.body_len = body.len;
	r.head = head.data ? head.data : "";
	r.content_type = type;
	call_release(c);
	c->http->body_bytes -= body.len;
	/* The callback may start the call again, so body and head are detached from it first. */
	tlb_buffer_detach(&c->body);
	tlb_buffer_detach(&c->head);
	c->spec.on_done(c->spec.arg, &r);
	tlb_buffer_finish(&body);
	tlb_buffer_finish(&head);
}

void tlb_http_time_out(struct tlb_http_call *c)
{
	c->timed_out = true;
	call_finish(c, CURLE_OPERATION_TIMEDOUT);
}

static void on_deadline(void *arg)
{
	tlb_http_time_out(arg);
}

static void finish_completed_calls(struct tlb_http *h)
{
	struct tlb_http_call *c;
	CURLMsg *m;
	int left;

	while ((m = curl_multi_info_read(h->multi, &left))) {
		if (m->msg != CURLMSG_DONE)
			continue;
		c = NULL;
		curl_easy_getinfo(m->easy_handle, CURLINFO_PRIVATE, (char **)&c);
		call_finish(c, m->data.result);
	}
}

static void run_socket_action(struct tlb_http *h, curl_socket_t fd, int mask)
{
	int running;

	curl_multi_socket_action(h->multi, fd, mask, &running);
	finish_completed_calls(h);
}

static void on_timer(void *arg)
{
	run_socket_action(arg, CURL_SOCKET_TIMEOUT, 0);
}

static int set_timer(CURLM *multi, long timeout_ms, void *arg)
{
	struct tlb_http *h = arg;

	if (timeout_ms < 0)
		tlb_timer_clear(h->loop, &h->timer);
	else
		tlb_timer_set(h->loop, &h->timer, tlb_clock_now() + timeout_ms * TLB_MS);
	return 0;
}

/* Argument of a watch callback: the callback receives one pointer but needs the client and the
 * descriptor. */
struct socket_slot {
	struct tlb_http *http;
	struct tlb_watch *watch;
	curl_socket_t fd;
};

static void on_socket(void *arg, int events)
{
	struct socket_slot *slot = arg;
	int mask = 0;

	if (events & TLB_READABLE)
		mask |= CURL_CSELECT_IN;
	if (events & TLB_WRITABLE)
		mask |= CURL_CSELECT_OUT;
	if (events & TLB_HANGUP)
		mask |= CURL_CSELECT_ERR;
	run_socket_action(slot->http, slot->fd, mask);
}

static int set_socket(CURL *easy, curl_socket_t fd, int what, void *arg, void *socket_arg)
{
	struct tlb_http *h = arg;
	struct socket_slot *slot = socket_arg;
	int events = 0;

	if (what == CURL_POLL_REMOVE) {
		if (slot)
			tlb_loop_unwatch(h->loop, slot->watch);
		free(slot);
		return 0;
	}
	if (what & CURL_POLL_IN)
		events |= TLB_READABLE;
	if (what & CURL_POLL_OUT)
		events |= TLB_WRITABLE;
	if (slot) {
		tlb_loop_set_events(h->loop, slot->watch, events);
		return 0;
	}
	slot = calloc(1, sizeof(*slot));
	if (!slot)
		return -1;
	slot->http = h;
	slot->fd = fd;
	slot->watch = tlb_loop_watch(h->loop, fd, events, on_socket, slot);
	curl_multi_assign(h->multi, fd, slot);
	return slot->watch ? 0 : -1;
}

int tlb_http_init(struct tlb_http *h, struct tlb_loop *l)
{
	memset(h, 0, sizeof(*h));
	h->loop = l;
	if (curl_global_init(CURL_GLOBAL_DEFAULT) != CURLE_OK)
		return -1;
	h->multi = curl_multi_init();
	if (!h->multi)
		return -1;
	tlb_timer_init(&h->timer, on_timer, h);
	curl_multi_setopt(h->multi, CURLMOPT_SOCKETFUNCTION, set_socket);
	curl_multi_setopt(h->multi, CURLMOPT_SOCKETDATA, h);
	curl_multi_setopt(h->multi, CURLMOPT_TIMERFUNCTION, set_timer);
	curl_multi_setopt(h->multi, CURLMOPT_TIMERDATA, h);
	curl_multi_setopt(h->multi, CURLMOPT_MAXCONNECTS, (long)CONNECTIONS_MAX);
	return 0;
}

void tlb_http_finish(struct tlb_http *h)
{
	while (h->idle_count > 0)
		curl_easy_cleanup(h->idle[--h->idle_count]);
	curl_multi_cleanup(h->multi);
	tlb_timer_clear(h->loop, &h->timer);
	curl_global_cleanup();
}

static bool body_append(struct tlb_http_call *c, const char *data, size_t len)
{
	size_t size = c->body.len + len;

	c->too_large =
		size > TLB_HTTP_BODY_MAX ||
		(size > TLB_HTTP_SMALL_BODY && c->http->body_bytes + len > TLB_HTTP_BODIES_MAX);
	if (c->too_large || !tlb_buffer_append(&c->body, data, len, TLB_HTTP_BODY_MAX))
		return false;
	c->http->body_bytes += len;
	return true;
}

static size_t on_body(char *data, size_t size, size_t n, void *arg)
{
	struct tlb_http_call *c = arg;
	long status = 0;
	size_t len = size * n;

	curl_easy_getinfo(c->easy, CURLINFO_RESPONSE_CODE, &status);
	if (c->spec.on_data && status >= 200 && status < 300)
		return c->spec.on_data(c->spec.arg, data, len) ? len : 0;
	return body_append(c, data, len) ? len : 0;
}

/* Begins a head. Only the headers of the final response remain and not those of interim ones (RFC
 * 9110, section 15.2). */
static void begin_head(struct tlb_http_call *c)
{
	c->head.len = 0;
	c->content_length = -1;
	c->chunked = false;
}

static bool is_final(const struct tlb_http_call *c)
{
	long status = 0;

	curl_easy_getinfo(c->easy, CURLINFO_RESPONSE_CODE, &status);
	return status >= 200;
}

static bool store_header(struct tlb_http_call *c, const char *line, size_t len)
{
	return tlb_buffer_append(&c->head, line, len, TLB_HTTP_HEAD_MAX) &&
	       tlb_buffer_append(&c->head, "\n", 1, TLB_HTTP_HEAD_MAX);
}

static size_t line_len(const char *line, size_t len)
{
	while (len > 0 && (line[len - 1] == '\r' || line[len - 1] == '\n'))
		len--;
	return len;
}

/* Notes how the body ends. Returns false on two different Content-Length values, which leave its
 * end undefined (RFC 9112, section 6.3); libcurl would use the last one. */
static bool read_framing(struct tlb_http_call *c, const char *line, size_t len)
{
	static const char name[] = "Content-Length:";
	static const char encoding[] = "Transfer-Encoding:";
	char text[32];
	long long value;

	if (len >= sizeof(encoding) && strncasecmp(line, encoding, sizeof(encoding) - 1) == 0)
		c->chunked = true;
	if (len < sizeof(name) || strncasecmp(line, name, sizeof(name) - 1) != 0)
		return true;
	snprintf(text, sizeof(text), "%.*s", (int)(len - sizeof(name) + 1),
		 line + sizeof(name) - 1);
	value = strtoll(text, NULL, 10);
	if (c->content_length >= 0 && c->content_length != value)
		c->conflicting_lengths = true;
	c->content_length = value;
	return !c->conflicting_lengths;
}

/* Reads a line of a head. libcurl passes the trailers of a chunked body as well, which say nothing
 * about the response (RFC 9110, section 6.5.1). */
static size_t on_header(char *line, size_t size, size_t n, void *arg)
{
	struct tlb_http_call *c = arg;
	size_t all = size * n;
	size_t len = line_len(line, all);

	if (c->head_complete)
		return all;
	if (len == 0) {
		c->head_complete = is_final(c);
		return all;
	}
	if (len >= 5 && strncmp(line, "HTTP/", 5) == 0) {
		begin_head(c);
		return all;
	}
	if (c->keep_head && !store_header(c, line, len))
		return 0;
	return read_framing(c, line, len) ? all : 0;
}

static int on_sockopt(void *arg, curl_socket_t fd, curlsocktype purpose)
{
	int timeout_ms = USER_TIMEOUT_MS;

	/* Closes the connection when sent data stays unacknowledged for this long: the peer or the
	 * network path has failed. */
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms, sizeof(timeout_ms));
	return CURL_SOCKOPT_OK;
}

static void set_headers(struct tlb_http_call *c, const struct tlb_http_spec *spec)
{
	char line[160];

	if (spec->headers) {
		c->headers = curl_slist_append(spec->headers, "Expect:");
		curl_easy_setopt(c->easy, CURLOPT_HTTPHEADER, c->headers);
		return;
	}
	/* Disables the "Expect" header, with which libcurl waits up to 1 s for "100 Continue"
	 * before it sends a large body. */
	c->headers = curl_slist_append(c->headers, "Expect:");
	if (spec->body) {
		snprintf(line, sizeof(line), "Content-Type: %s",
			 spec->content_type ? spec->content_type : "application/json");
		c->headers = curl_slist_append(c->headers, line);
	}
	if (spec->idempotency_key) {
		snprintf(line, sizeof(line), "Idempotency-Key: %s", spec->idempotency_key);
		c->headers = curl_slist_append(c->headers, line);
	}
	curl_easy_setopt(c->easy, CURLOPT_HTTPHEADER, c->headers);
}

/* Milliseconds until the deadline, for libcurl; at least 1, because 0 selects libcurl's default. */
static long milliseconds_left(tlb_time deadline)
{
	tlb_time left = deadline - tlb_clock_now();

	return left > TLB_MS ? (long)(left / TLB_MS) : 1;
}

static void set_options(struct tlb_http_call *c, const struct tlb_http_spec *spec)
{
	CURL *e = c->easy;

	curl_easy_setopt(e, CURLOPT_URL, spec->url);
	curl_easy_setopt(e, CURLOPT_CUSTOMREQUEST, spec->method);
	curl_easy_setopt(e, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(e, CURLOPT_PROXY, "");
	curl_easy_setopt(e, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(e, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(e, CURLOPT_PRIVATE, c);
	curl_easy_setopt(e, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(e, CURLOPT_WRITEDATA, c);
	curl_easy_setopt(e, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(e, CURLOPT_HEADERDATA, c);
	curl_easy_setopt(e, CURLOPT_SOCKOPTFUNCTION, on_sockopt);
	curl_easy_setopt(e, CURLOPT_MAXAGE_CONN, (long)IDLE_AGE_MAX_S);
	curl_easy_setopt(e, CURLOPT_MAXLIFETIME_CONN, (long)CONNECTION_LIFETIME_S);
	if (spec->target)
		curl_easy_setopt(e, CURLOPT_REQUEST_TARGET, spec->target);
	if (spec->connect_deadline)
		curl_easy_setopt(e, CURLOPT_CONNECTTIMEOUT_MS,
				 milliseconds_left(spec->connect_deadline));
	if (strcmp(spec->method, "HEAD") == 0)
		curl_easy_setopt(e, CURLOPT_NOBODY, 1L);
	if (spec->body) {
		curl_easy_setopt(e, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)spec->body_len);
		curl_easy_setopt(e, CURLOPT_COPYPOSTFIELDS, spec->body);
	}
	/* libcurl resends a request when a reused connection closes before the first byte of the
	 * response; a connection used only once rules this out. */
	curl_easy_setopt(e, CURLOPT_FRESH_CONNECT, spec->dedicated_connection ? 1L : 0L);
	curl_easy_setopt(e, CURLOPT_FORBID_REUSE, spec->dedicated_connection ? 1L : 0L);
}

/* Adds the transfer again from the event loop, because libcurl refuses a new transfer within its
 * own callbacks, and on_done may not be called from there. */
static void on_start(void *arg)
{
	struct tlb_http_call *c = arg;
	CURLMcode rc = CURLM_OUT_OF_MEMORY;

	if (c->easy)
		rc = curl_multi_add_handle(c->http->multi, c->easy);
	if (rc == CURLM_RECURSIVE_API_CALL)
		tlb_timer_set(c->http->loop, &c->start_timer, tlb_clock_now());
	else if (rc != CURLM_OK)
		call_finish(c, CURLE_OUT_OF_MEMORY);
}

/* Prepares the transfer; without memory c->easy stays NULL. */
static void prepare(struct tlb_http_call *c, const struct tlb_http_spec *spec)
{
	c->easy = acquire_handle(c->http);
	if (!c->easy) {
		curl_slist_free_all(spec->headers);
		return;
	}
	set_headers(c, spec);
	set_options(c, spec);
}

void tlb_http_start(struct tlb_http *h, struct tlb_http_call *c, const struct tlb_http_spec *spec)
{
	memset(c, 0, sizeof(*c));
	c->http = h;
	c->active = true;
	c->content_length = -1;
	c->spec = *spec;
	c->keep_head = spec->keep_head || spec->headers != NULL;
	prepare(c, spec);
	/* These are valid during this function only; libcurl holds copies. */
	c->spec.url = NULL;
	c->spec.body = NULL;
	c->spec.method = NULL;
	c->spec.target = NULL;
	c->spec.headers = NULL;
	tlb_timer_init(&c->deadline_timer, on_deadline, c);
	tlb_timer_init(&c->start_timer, on_start, c);
	tlb_timer_set(h->loop, &c->deadline_timer, spec->deadline);
	if (!c->easy || curl_multi_add_handle(h->multi, c->easy) != CURLM_OK)
		tlb_timer_set(h->loop, &c->start_timer, tlb_clock_now());
}
