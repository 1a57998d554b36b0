#include "control.h"

#include <getopt.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "serve.h"

enum {
	RECORD_BYTES_MAX = 32 << 20,
	FAULT_MAX = 32,
	OPTION_MAX = 32,
	PATHS_MAX = 1000,     /* distinct paths counted; further paths are not */
	BURST_PER_SECOND = 5, /* the burst is 1/5 s of the rate */
};

struct record {
	char *method;
	char *url;
	json_t *headers;
	char *body;
	size_t body_len;
};

/* The most recent requests, and the faults in the order in which they were injected. */
static struct {
	pthread_mutex_t lock;
	struct record *records;
	int64_t record_limit;
	size_t first;
	size_t count;
	size_t bytes;
	int64_t requests_seen;
	json_t *seen_by_path;
	struct standin_fault faults[FAULT_MAX];
	size_t fault_count;
	const struct standin_program *program;
	struct standin_listener service;
	struct standin_listener control;
} harness = {.lock = PTHREAD_MUTEX_INITIALIZER, .record_limit = 200};

static const char *const kind_names[STANDIN_FAULT_KINDS] = {
	[STANDIN_NONE] = "none",     [STANDIN_DELAY] = "delay",
	[STANDIN_STALL] = "stall",   [STANDIN_DROP_ANSWER] = "drop_answer",
	[STANDIN_SILENT] = "silent", [STANDIN_REFUSE] = "refuse",
	[STANDIN_DIE] = "die",	     [STANDIN_CLOSE_AFTER_READ] = "close_after_read",
	[STANDIN_CUT] = "cut",
};

uint64_t standin_hash(uint64_t hash, const char *data, size_t len)
{
	size_t i;

	for (i = 0; i < len; i++)
		hash = (hash ^ (unsigned char)data[i]) * UINT64_C(0x100000001b3);
	return hash;
}

static double rate_burst(const struct standin_rate *r)
{
	double burst = (double)r->per_second / BURST_PER_SECOND;

	return burst < 1 ? 1 : burst;
}

void standin_rate_init(struct standin_rate *r, int64_t per_second)
{
	r->per_second = per_second;
	r->level = rate_burst(r);
	r->updated = tlb_clock_now();
}

bool standin_rate_acquire(struct standin_rate *r)
{
	tlb_time now = tlb_clock_now();

	r->level += (double)(now - r->updated) * (double)r->per_second / TLB_SECOND;
	r->updated = now;
	if (r->level > rate_burst(r))
		r->level = rate_burst(r);
	if (r->level < 1)
		return false;
	r->level -= 1;
	return true;
}

static void record_drop_first(void)
{
	struct record *r = &harness.records[harness.first];

	harness.bytes -= r->body_len;
	free(r->method);
	free(r->url);
	free(r->body);
	json_decref(r->headers);
	harness.first = (harness.first + 1) % harness.record_limit;
	harness.count--;
}

/* Returns bytes as received: a string, or {"hex":"..."} when they are not UTF-8. */
static json_t *bytes_json(const char *data, size_t len)
{
	json_t *text = json_stringn(data, len);
	char *hex;
	size_t i;

	if (text)
		return text;
	hex = calloc(2, len + 1);
	if (!hex)
		abort();
	for (i = 0; i < len; i++)
		snprintf(hex + 2 * i, 3, "%02x", (unsigned char)data[i]);
	text = json_pack("{s:s}", "hex", hex);
	free(hex);
	return text;
}

/* Adds a header; one that occurs more than once becomes a list. */
static void header_add(json_t *headers, const char *name, json_t *value)
{
	json_t *old = json_object_get(headers, name);

	if (!old) {
		json_object_set_new(headers, name, value);
		return;
	}
	if (!json_is_array(old)) {
		old = json_pack("[O]", old);
		json_object_set_new(headers, name, old);
	}
	json_array_append_new(old, value);
}

static json_t *headers_json(const struct standin_request *rq)
{
	json_t *headers = json_object();
	const struct standin_header *h;

	for (h = rq->headers; h < rq->headers + rq->header_count; h++)
		header_add(headers, h->name, bytes_json(h->value, strlen(h->value)));
	return headers;
}

static void record_add(const struct standin_request *rq)
{
	struct record *r;

	while (harness.count == (size_t)harness.record_limit ||
	       (harness.count > 0 && harness.bytes + rq->body_len > RECORD_BYTES_MAX))
		record_drop_first();
	r = &harness.records[(harness.first + harness.count++) % harness.record_limit];
	r->method = strdup(rq->method);
	r->url = strdup(rq->url);
	r->headers = headers_json(rq);
	r->body = malloc(rq->body_len + 1);
	if (!r->body)
		abort();
	memcpy(r->body, rq->body, rq->body_len + 1);
	r->body_len = rq->body_len;
	harness.bytes += r->body_len;
}

static void fault_remove(size_t i)
{
	harness.fault_count--;
	memmove(&harness.faults[i], &harness.faults[i + 1],
		(harness.fault_count - i) * sizeof(harness.faults[0]));
}

/* Assigns the first fault that matches the path to the request and decrements its count. */
static void fault_match(struct standin_request *rq)
{
	struct standin_fault *f;
	size_t i;

	for (i = 0; i < harness.fault_count; i++) {
		f = &harness.faults[i];
		if (strncmp(rq->path, f->path, strlen(f->path)) != 0)
			continue;
		rq->fault = *f;
		if (f->count > 0 && --f->count == 0)
			fault_remove(i);
		return;
	}
}

static void count_path(const char *path)
{
	json_t *n = json_object_get(harness.seen_by_path, path);

	if (n)
		json_integer_set(n, json_integer_value(n) + 1);
	else if (json_object_size(harness.seen_by_path) < PATHS_MAX)
		json_object_set_new(harness.seen_by_path, path, json_integer(1));
}

static void on_read(struct standin_request *rq)
{
	pthread_mutex_lock(&harness.lock);
	harness.requests_seen++;
	count_path(rq->path);
	record_add(rq);
	fault_match(rq);
	pthread_mutex_unlock(&harness.lock);
}

/* The recorded requests whose URL begins with prefix, oldest first. */
static json_t *records_json(const char *prefix)
{
	json_t *list = json_array();
	struct record *r;
	json_t *out;
	size_t i;

	for (i = 0; i < harness.count; i++) {
		r = &harness.records[(harness.first + i) % harness.record_limit];
		if (strncmp(r->url, prefix, strlen(prefix)) != 0)
			continue;
		out = json_pack("{s:s, s:o, s:O, s:o}", "method", r->method, "url",
				bytes_json(r->url, strlen(r->url)), "headers", r->headers, "body",
				bytes_json(r->body, r->body_len));
		json_array_append_new(list, out);
	}
	return list;
}

static bool kind_parse(const char *name, enum standin_fault_kind *kind)
{
	int i;

	for (i = 0; i < STANDIN_FAULT_KINDS; i++) {
		if (strcmp(kind_names[i], name) != 0)
			continue;
		*kind = i;
		return true;
	}
	return false;
}

static bool fault_parse(json_t *body, struct standin_fault *f)
{
	const char *kind = "";
	const char *path = "";
	json_int_t ms = 0;
	json_int_t count = 1;
	json_int_t after = 0;

	if (json_unpack(body, "{s:s, s?I, s?s, s?I, s?I}", "kind", &kind, "ms", &ms, "path", &path,
			"count", &count, "after_tokens", &after) != 0)
		return false;
	f->duration = ms * TLB_MS;
	f->count = count;
	f->after_tokens = after;
	snprintf(f->path, sizeof(f->path), "%s", path);
	return kind_parse(kind, &f->kind);
}

static bool fault_add(const struct standin_fault *f)
{
	bool added;

	pthread_mutex_lock(&harness.lock);
	added = harness.fault_count < FAULT_MAX;
	if (added)
		harness.faults[harness.fault_count++] = *f;
	pthread_mutex_unlock(&harness.lock);
	return added;
}

static void fault_clear(void)
{
	pthread_mutex_lock(&harness.lock);
	harness.fault_count = 0;
	pthread_mutex_unlock(&harness.lock);
}

static void fault_set(struct standin_request *rq, const struct standin_fault *f)
{
	bool ok = true;

	if (f->kind == STANDIN_NONE)
		fault_clear();
	else if (f->kind == STANDIN_SILENT)
		standin_silence(&harness.service);
	else if (f->kind == STANDIN_DIE && !f->path[0] && !f->after_tokens)
		rq->exit_after = true;
	else
		ok = fault_add(f);
	if (ok)
		standin_reply(rq, MHD_HTTP_OK, json_object());
	else
		standin_reply_error(rq, MHD_HTTP_INSUFFICIENT_STORAGE, "too_many_faults");
}

static void handle_fault(struct standin_request *rq)
{
	struct standin_fault f = {0};
	json_t *body = standin_body(rq);

	if (!body)
		return;
	if (fault_parse(body, &f))
		fault_set(rq, &f);
	else
		standin_reply_error(rq, MHD_HTTP_BAD_REQUEST, "bad_fault");
	json_decref(body);
}

static void handle_state(struct standin_request *rq)
{
	json_t *state = json_pack("{s:i, s:i}", "held_requests", 0, "held_pieces", 0);

	pthread_mutex_lock(&harness.lock);
	json_object_set_new(state, "requests_seen", json_integer(harness.requests_seen));
	json_object_set_new(state, "seen_by_path", json_deep_copy(harness.seen_by_path));
	json_object_set_new(state, "faults", json_integer((json_int_t)harness.fault_count));
	pthread_mutex_unlock(&harness.lock);
	if (harness.program->state)
		harness.program->state(state);
	standin_reply(rq, MHD_HTTP_OK, state);
}

static void handle_control(struct standin_request *rq)
{
	const char *prefix = standin_query(rq, "path");
	json_t *list;

	if (standin_is(rq, "GET", "/state")) {
		handle_state(rq);
	} else if (standin_is(rq, "POST", "/fault")) {
		handle_fault(rq);
	} else if (standin_is(rq, "GET", "/requests")) {
		pthread_mutex_lock(&harness.lock);
		list = records_json(prefix ? prefix : "");
		pthread_mutex_unlock(&harness.lock);
		standin_reply(rq, MHD_HTTP_OK, list);
	} else if (harness.program->control) {
		harness.program->control(rq);
	}
}

static bool option_set(const struct standin_option *o, const char *value)
{
	char *end;

	if (o->flag)
		*o->flag = true;
	if (o->text)
		*o->text = value;
	if (!o->number)
		return true;
	*o->number = strtoll(value, &end, 10);
	return *value && !*end;
}

/* Parses --listen, --control, --record-count and the program's own options. */
static bool parse_options(int argc, char **argv, const struct standin_option *const program_options,
			  const char **listen, const char **control)
{
	struct standin_option options[OPTION_MAX] = {
		{.name = "listen", .text = listen},
		{.name = "control", .text = control},
		{.name = "record-count", .number = &harness.record_limit}};
	struct option long_options[OPTION_MAX] = {{0}};
	const struct standin_option *o;
	int n = 3;
	int i;

	for (o = program_options; o && o->name && n < OPTION_MAX - 1; o++)
		options[n++] = *o;
	for (i = 0; i < n; i++) {
		long_options[i].name = options[i].name;
		long_options[i].has_arg = options[i].flag ? no_argument : required_argument;
		long_options[i].val = i + 1;
	}
	while ((i = getopt_long(argc, argv, "", long_options, NULL)) != -1) {
		if (i < 1 || i > n)
			return false;
		if (!option_set(&options[i - 1], optarg)) {
			fprintf(stderr, "%s: --%s: \"%s\" is not a number\n", argv[0],
				options[i - 1].name, optarg);
			return false;
		}
	}
	return optind == argc;
}

static bool start_listeners(const char *listen, const char *control)
{
	harness.service.handle = harness.program->handle;
	harness.service.on_read = on_read;
	harness.control.handle = handle_control;
	if (!standin_listen(&harness.service, listen)) {
		fprintf(stderr, "%s: cannot listen on %s\n", harness.program->name, listen);
		return false;
	}
	if (!standin_listen(&harness.control, control)) {
		fprintf(stderr, "%s: cannot listen on %s\n", harness.program->name, control);
		return false;
	}
	return true;
}

static void harness_init(void)
{
	if (harness.record_limit < 1)
		harness.record_limit = 1;
	harness.records = calloc(harness.record_limit, sizeof(struct record));
	harness.seen_by_path = json_object();
	if (!harness.records || !harness.seen_by_path)
		abort();
}

int standin_main(int argc, char **argv, const struct standin_program *p)
{
	const char *listen = "127.0.0.1:0";
	const char *control = "127.0.0.1:0";
	sigset_t stop;
	int sig;

	harness.program = p;
	json_object_seed(0);
	if (!parse_options(argc, argv, p->options, &listen, &control))
		return EXIT_FAILURE;
	harness_init();
	if (p->start && !p->start())
		return EXIT_FAILURE;
	sigemptyset(&stop);
	sigaddset(&stop, SIGTERM);
	sigaddset(&stop, SIGINT);
	pthread_sigmask(SIG_BLOCK, &stop, NULL);
	signal(SIGPIPE, SIG_IGN);
	if (!start_listeners(listen, control))
		return EXIT_FAILURE;
	printf("ready listen=%s control=%s\n", harness.service.address, harness.control.address);
	fflush(stdout);
	sigwait(&stop, &sig);
	/* Connection threads may block in a fault; there is nothing to save, so they are not
	 * joined. */
	_exit(EXIT_SUCCESS);
}
