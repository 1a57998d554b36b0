/*
 * Minimal HTTP proxy built from the same libraries as the daemon: receives a request with
 * libmicrohttpd, forwards it to one address with libcurl and returns the response, for /decode as a
 * stream. scripts/overhead and scripts/streams use it as the baseline for the overhead of the
 * daemon.
 *
 *   passthrough HOST:PORT
 */
#include <apr_general.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "listener.h"
#include "http.h"

static struct tlb_loop loop;
static struct tlb_http http;
static struct tlb_listener front;
static const char *target;

/* One forwarded request; freed on completion or when the caller disconnects. */
struct forward {
	struct tlb_exchange *x;
	struct tlb_http_call call;
	bool streaming;
};

static void on_disconnect(void *arg)
{
	struct forward *f = arg;

	tlb_http_cancel(&f->call);
	free(f);
}

static bool on_data(void *arg, const char *data, size_t len)
{
	struct forward *f = arg;

	if (!f->streaming)
		tlb_exchange_stream_begin(f->x);
	f->streaming = true;
	return tlb_exchange_stream_write(f->x, data, len);
}

static void on_done(void *arg, const struct tlb_http_result *r)
{
	struct forward *f = arg;
	char *body;

	if (f->streaming) {
		tlb_exchange_stream_end(f->x, r->status == 200);
		free(f);
		return;
	}
	body = malloc(r->body_len + 1);
	if (!body)
		abort();
	memcpy(body, r->body, r->body_len + 1);
	tlb_exchange_reply(f->x, r->status ? r->status : 502, r->content_type, body, r->body_len);
	free(f);
}

static void on_request(void *arg, struct tlb_exchange *x)
{
	struct forward *f = calloc(1, sizeof(*f));
	char url[512];
	struct tlb_http_spec spec = {
		.method = x->method,
		.url = url,
		.body = x->body.data,
		.body_len = x->body.len,
		.deadline = TLB_NEVER,
		.on_data = strcmp(x->path, "/decode") == 0 ? on_data : NULL,
		.on_done = on_done,
		.arg = f,
	};

	if (!f)
		abort();
	f->x = x;
	x->on_disconnect = on_disconnect;
	x->arg = f;
	snprintf(url, sizeof(url), "http://%s%s", target, x->path);
	tlb_http_start(&http, &f->call, &spec);
}

int main(int argc, char **argv)
{
	struct tlb_listener_limits limits = {NULL, 1 << 22, 2000, 10000, TLB_LISTENER_IDLE_MS};
	struct tlb_error err;

	if (argc != 2) {
		fprintf(stderr, "usage: passthrough HOST:PORT\n");
		return EXIT_FAILURE;
	}
	target = argv[1];
	if (apr_initialize() != APR_SUCCESS || sodium_init() < 0 ||
	    tlb_loop_init(&loop) != APR_SUCCESS)
		return EXIT_FAILURE;
	tlb_http_init(&http, &loop);
	if (tlb_listener_init(&front, &loop, "127.0.0.1:0", "p", &limits, on_request, NULL, &err) !=
	    TLB_OK) {
		fprintf(stderr, "passthrough: %s\n", err.message);
		return EXIT_FAILURE;
	}
	printf("ready listen=%s\n", front.addr);
	fflush(stdout);
	tlb_loop_run(&loop);
	return EXIT_SUCCESS;
}
