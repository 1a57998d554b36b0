/*
 * standin-engine: a language-model engine in the prefill or the decode role, in simulated time.
 *
 * A token is 4 bytes of prompt, rounded up. The output is a function of the prompt, so that a
 * checker can verify it: with h the FNV-1a hash (64 bits) of the "prompt" field, the output has
 * min(max_tokens, 8 + h mod 57) tokens, and token N is "tok<N>-<8 hexadecimal digits> ", the digits
 * being the lower half of h. Indexes count from 0 over the whole output, also in a resumed stream.
 */
#include <curl/curl.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "control.h"
#include "held.h"
#include "import.h"
#include "link.h"
#include "prefix.h"

enum {
	TOKEN_BYTES = 4,
	OUTPUT_MIN = 8,
	OUTPUT_RANGE = 57,
	OUTPUT_MAX = OUTPUT_MIN + OUTPUT_RANGE - 1,
	SLOWDOWN_PERCENT = 2, /* increase of the token time per additional running request */
	PERCENT = 100,
	ORDERS_MAX = 200,
};

/* Interval at which a queued or running prefill checks whether its caller has disconnected. */
#define DISCONNECT_CHECK_INTERVAL (20 * TLB_MS)

static const char *role_option = "prefill";
static const char *model_option = "";
static int64_t kv_blocks_option = 40;
static int64_t kv_block_tokens = 2000;
static int64_t prefill_us_per_token = 100;
static int64_t token_us = 10000;
static int64_t link_mbps = 10000;
static int64_t kv_bytes_per_token = 20000;
static int64_t evict_ms = 800;
static int64_t load_lag_ms;
static int64_t cache_blocks = 256;
static int64_t event_gap_percent;
static int64_t event_delay_ms;
static int64_t seed = 1;
static bool ignore_fencing;
/* Faulty streams: every Nth token is sent twice, or omitted; 0: never. */
static int64_t repeat_every;
static int64_t skip_every;

static const struct standin_option options[] = {
	{.name = "role", .text = &role_option},
	{.name = "model", .text = &model_option},
	{.name = "pieces", .number = &kv_blocks_option},
	{.name = "piece-tokens", .number = &kv_block_tokens},
	{.name = "prefill-us-per-token", .number = &prefill_us_per_token},
	{.name = "token-us", .number = &token_us},
	{.name = "link-mbps", .number = &link_mbps},
	{.name = "kv-bytes-per-token", .number = &kv_bytes_per_token},
	{.name = "evict-ms", .number = &evict_ms},
	{.name = "load-lag-ms", .number = &load_lag_ms},
	{.name = "cache-blocks", .number = &cache_blocks},
	{.name = "event-gap-percent", .number = &event_gap_percent},
	{.name = "event-delay-ms", .number = &event_delay_ms},
	{.name = "seed", .number = &seed},
	{.name = "ignore-fencing", .flag = &ignore_fencing},
	{.name = "repeat-every", .number = &repeat_every},
	{.name = "skip-every", .number = &skip_every},
	{.name = NULL},
};

static struct held_table table;
static struct held_counters *const counters = &table.counters;
static struct standin_link engine_link;

/* Guarded by table.lock. */
static struct standin_prefix cache;
static json_t *loaded; /* {"role","model","version","adapter"} */
static json_t *orders; /* the last ORDERS_MAX orders applied */
static json_int_t fencing;
static int64_t kv_serial;

static const char *loaded_text(const char *field)
{
	return json_string_value(json_object_get(loaded, field));
}

static bool has_role(const char *role)
{
	return strcmp(loaded_text("role"), role) == 0;
}

static bool has_model(const char *model)
{
	const char *own = loaded_text("model");

	return !own[0] || strcmp(own, model) == 0;
}

static int64_t kv_blocks_for(int64_t tokens)
{
	int64_t blocks = (tokens + kv_block_tokens - 1) / kv_block_tokens;

	return blocks > 0 ? blocks : 1;
}

/* The fields of POST /prefill. generated is output that an earlier engine already streamed. */
struct prefill {
	const char *id;
	const char *owner;
	const char *model;
	const char *priority;
	const char *prompt;
	size_t prompt_len;
	const char *generated;
	size_t generated_len;
	json_int_t prefix_tokens;
};

static bool prefill_parse(json_t *body, struct prefill *p)
{
	memset(p, 0, sizeof(*p));
	p->model = "";
	p->priority = "";
	p->owner = "";
	p->prefix_tokens = -1;
	if (json_unpack(body, "{s:s, s?s, s?s, s?s, s:s%, s?s%, s?I}", "request_id", &p->id,
			"owner", &p->owner, "model", &p->model, "priority", &p->priority, "prompt",
			&p->prompt, &p->prompt_len, "generated", &p->generated, &p->generated_len,
			"prefix_tokens", &p->prefix_tokens) != 0)
		return false;
	if (p->prefix_tokens < 0)
		p->prefix_tokens = ((json_int_t)p->generated_len + TOKEN_BYTES - 1) / TOKEN_BYTES;
	return true;
}

static struct held *prefill_add(const struct prefill *p)
{
	struct held *h = held_add(&table, p->id, p->owner, HELD_QUEUED);

	h->batch = strcmp(p->priority, "batch") == 0;
	h->prompt_hash = standin_hash(STANDIN_HASH_START, p->prompt, p->prompt_len);
	h->prompt_tokens =
		((int64_t)p->prompt_len + TOKEN_BYTES - 1) / TOKEN_BYTES + p->prefix_tokens;
	h->prefill_blocks = kv_blocks_for(h->prompt_tokens);
	return h;
}

/* Waits until the prefill may start; false if it was cancelled or the caller disconnected. */
static bool prefill_wait(struct standin_request *rq, struct held *h)
{
	while (!h->removed && !held_may_start(&table, h)) {
		held_wait(&table, tlb_clock_now() + DISCONNECT_CHECK_INTERVAL);
		if (standin_disconnected(rq))
			return false;
	}
	return !h->removed;
}

/* Waits for the simulated duration of a prefill; returns when it completed or was cancelled. */
static tlb_time prefill_simulate(struct standin_request *rq, struct held *h, tlb_time until)
{
	tlb_time now = tlb_clock_now();

	while (!h->removed && now < until) {
		held_wait(&table, until - now < DISCONNECT_CHECK_INTERVAL
					  ? until
					  : now + DISCONNECT_CHECK_INTERVAL);
		now = tlb_clock_now();
		if (standin_disconnected(rq))
			break;
	}
	return now;
}

static bool prefill_compute(struct standin_request *rq, struct held *h, const struct prefill *p,
			    int64_t *cached)
{
	tlb_time start = tlb_clock_now();
	tlb_time end;
	tlb_time length;

	*cached = standin_prefix_lookup(&cache, p->prompt, p->prompt_len);
	h->computed_tokens = h->prompt_tokens - *cached;
	length = h->computed_tokens * prefill_us_per_token;
	held_reserve(&table, h, h->prefill_blocks);
	h->state = HELD_PREFILLING;
	table.prefill_busy = true;
	end = prefill_simulate(rq, h, start + length);
	table.prefill_busy = false;
	pthread_cond_broadcast(&table.changed);
	if (end < start + length) {
		counters->cancelled++;
		counters->cancelled_tokens += (end - start) / prefill_us_per_token;
		return false;
	}
	return !h->removed;
}

static void prefill_finish(struct held *h, const struct prefill *p, int64_t cached)
{
	h->state = HELD_KV;
	h->evict_at = tlb_clock_now() + evict_ms * TLB_MS;
	snprintf(h->kv_id, sizeof(h->kv_id), "kv%d-%" PRId64, getpid(), ++kv_serial);
	standin_prefix_insert(&cache, p->prompt, p->prompt_len);
	counters->prefills++;
	counters->prefill_tokens += h->computed_tokens;
	counters->cached_tokens += cached;
}

static json_t *prefill_json(const struct held *h, int64_t cached)
{
	return json_pack("{s:s, s:I, s:I, s:I, s:I}", "kv_id", h->kv_id, "prompt_tokens",
			 (json_int_t)h->prompt_tokens, "cached_tokens", (json_int_t)cached,
			 "pieces", (json_int_t)h->blocks, "evict_ms", (json_int_t)evict_ms);
}

static void prefill_run(struct standin_request *rq, const struct prefill *p)
{
	struct held *h = prefill_add(p);
	int64_t cached = 0;

	if (h->prefill_blocks > table.total_blocks) {
		held_remove(&table, h);
		standin_reply_error(rq, MHD_HTTP_INSUFFICIENT_STORAGE, "no_memory");
	} else if (prefill_wait(rq, h) && prefill_compute(rq, h, p, &cached)) {
		prefill_finish(h, p, cached);
		standin_reply(rq, MHD_HTTP_OK, prefill_json(h, cached));
	} else {
		held_remove(&table, h);
		standin_reply_error(rq, MHD_HTTP_CONFLICT, "cancelled");
	}
	held_unref(h);
}

/* Discards an idle result of the same id, so that a request can be repeated; false if the id is
 * still in use. */
static bool discard_idle(const char *id, enum held_state idle)
{
	struct held *h = held_find(&table, id);

	if (h && h->state == idle && h->exports == 0) {
		held_cancel(&table, h);
		return true;
	}
	return !h;
}

static void prefill_start(struct standin_request *rq, const struct prefill *p)
{
	if (!has_role("prefill"))
		standin_reply_error(rq, MHD_HTTP_CONFLICT, "wrong_role");
	else if (!has_model(p->model))
		standin_reply_error(rq, MHD_HTTP_NOT_FOUND, "unknown_model");
	else if (!discard_idle(p->id, HELD_KV))
		standin_reply_error(rq, MHD_HTTP_CONFLICT, "exists");
	else
		prefill_run(rq, p);
}

static void handle_prefill(struct standin_request *rq)
{
	json_t *body = standin_body(rq);
	struct prefill p;

	if (!body)
		return;
	if (prefill_parse(body, &p)) {
		held_lock(&table);
		prefill_start(rq, &p);
		held_unlock(&table);
	} else {
		standin_reply_error(rq, MHD_HTTP_BAD_REQUEST, "bad_prefill");
	}
	json_decref(body);
}

/* One export in progress; owned by its stream. */
struct export
{
	struct held *held;
	double link_begin;
	int64_t bytes;
	int lines;
	bool done;
};

static ssize_t export_next(void *arg, struct standin_request *rq, char *buf, size_t max)
{
	struct export *ex = arg;

	switch (ex->lines++) {
	case 0:
		return snprintf(buf, max,
				"{\"prompt_hash\":\"%016" PRIx64 "\",\"prompt_tokens\":%" PRId64
				",\"bytes\":%" PRId64 "}\n",
				ex->held->prompt_hash, ex->held->prompt_tokens, ex->bytes);
	case 1:
		if (!standin_link_wait(&engine_link, rq, ex->link_begin, ex->bytes,
				       &ex->held->removed))
			return -1;
		ex->done = true;
		return snprintf(buf, max, "{\"done\":true}\n");
	default:
		return 0;
	}
}

static void export_free(void *arg)
{
	struct export *ex = arg;

	standin_link_end(&engine_link);
	held_lock(&table);
	ex->held->exports--;
	if (ex->done && !ex->held->removed) {
		counters->exported++;
		held_remove(&table, ex->held);
	}
	held_unref(ex->held);
	held_unlock(&table);
	free(ex);
}

static void handle_export(struct standin_request *rq)
{
	const char *kv_id = standin_query(rq, "kv_id");
	struct export *ex = calloc(1, sizeof(*ex));
	struct held *h;

	if (!ex)
		abort();
	held_lock(&table);
	h = held_find_kv(&table, kv_id ? kv_id : "");
	if (h) {
		h->exports++;
		ex->held = held_ref(h);
		ex->bytes = h->prompt_tokens * kv_bytes_per_token;
		ex->link_begin = standin_link_begin(&engine_link);
		standin_reply_stream(rq, "application/x-ndjson", export_next, export_free, ex);
	} else {
		free(ex);
		standin_reply_error(rq, MHD_HTTP_GONE, "evicted");
	}
	held_unlock(&table);
}

static bool import_begin(struct import *im)
{
	bool ok;

	held_lock(&table);
	im->held->prompt_hash = im->prompt_hash;
	im->held->prompt_tokens = im->prompt_tokens;
	ok = !im->held->removed &&
	     held_reserve(&table, im->held, kv_blocks_for(im->prompt_tokens + im->max_tokens));
	held_unlock(&table);
	return ok;
}

static const char *import_error(int status)
{
	switch (status) {
	case MHD_HTTP_GONE:
		return "evicted";
	case MHD_HTTP_INSUFFICIENT_STORAGE:
		return "no_memory";
	case MHD_HTTP_CONFLICT:
		return "cancelled";
	default:
		return "source_failed";
	}
}

/* Completes an import; requires the lock. status is the return value of import_run(). */
static void import_finish(struct standin_request *rq, struct held *h, int status)
{
	if (status == MHD_HTTP_OK && !h->removed) {
		h->state = HELD_READY;
		counters->imported++;
		standin_reply(rq, MHD_HTTP_OK, json_pack("{s:I}", "pieces", (json_int_t)h->blocks));
	} else {
		if (status == MHD_HTTP_OK)
			status = MHD_HTTP_CONFLICT;
		held_remove(&table, h);
		standin_reply_error(rq, status, import_error(status));
	}
	held_unref(h);
}

/* Adds a request in state HELD_IMPORTING; otherwise sets an error response and returns NULL. */
static struct held *import_add(struct standin_request *rq, const char *id, const char *owner)
{
	struct held *h = NULL;

	held_lock(&table);
	if (!has_role("decode"))
		standin_reply_error(rq, MHD_HTTP_CONFLICT, "wrong_role");
	else if (!discard_idle(id, HELD_READY))
		standin_reply_error(rq, MHD_HTTP_CONFLICT, "exists");
	else
		h = held_add(&table, id, owner, HELD_IMPORTING);
	held_unlock(&table);
	return h;
}

static void handle_import(struct standin_request *rq)
{
	json_t *body = standin_body(rq);
	struct import im = {.rq = rq, .link = &engine_link, .on_begin = import_begin};
	const char *id = "";
	const char *owner = "";
	const char *kv_id = "";
	const char *source = "";
	json_int_t max_tokens = OUTPUT_MAX;
	int status;

	if (!body)
		return;
	if (json_unpack(body, "{s:s, s?s, s:s, s:s, s?I}", "request_id", &id, "owner", &owner,
			"kv_id", &kv_id, "source", &source, "max_tokens", &max_tokens) != 0) {
		standin_reply_error(rq, MHD_HTTP_BAD_REQUEST, "bad_import");
	} else {
		im.max_tokens = max_tokens;
		im.held = import_add(rq, id, owner);
		if (im.held) {
			status = import_run(&im, source, kv_id);
			held_lock(&table);
			import_finish(rq, im.held, status);
			held_unlock(&table);
		}
	}
	json_decref(body);
}

/* One decode stream; owns a reference to its request. */
struct decode {
	struct held *held;
	int64_t index; /* of the next token */
	int64_t total;
	bool limited; /* by max_tokens */
	bool done;
	tlb_time due;
};

/* Returns the time per token, which grows by SLOWDOWN_PERCENT per additional running request. */
static tlb_time token_time(void)
{
	int64_t running;

	held_lock(&table);
	running = held_running(&table);
	held_unlock(&table);
	if (running > 0)
		running--;
	return token_us + token_us * running * SLOWDOWN_PERCENT / PERCENT;
}

static ssize_t decode_end(struct decode *d, char *buf, size_t max)
{
	held_lock(&table);
	held_remove(&table, d->held);
	counters->decoded++;
	held_unlock(&table);
	d->done = true;
	return snprintf(buf, max,
			"data: {\"done\":true,\"count\":%" PRId64 ",\"reason\":\"%s\"}\n\n",
			d->total, d->limited ? "length" : "stop");
}

/* Returns when the next token is ready. A stream delayed by more than one token time
 * continues at its usual rate and does not catch up. */
static tlb_time next_due(const struct decode *d)
{
	tlb_time now = tlb_clock_now();
	tlb_time length = token_time();

	return (now - d->due > length ? now : d->due) + length;
}

static bool is_nth_token(int64_t every, int64_t index)
{
	return every > 0 && index % every == every - 1;
}

static int print_token(const struct decode *d, char *buf, size_t max, int64_t index)
{
	if (is_nth_token(skip_every, index))
		return 0;
	return snprintf(buf, max,
			"data: {\"index\":%" PRId64 ",\"token\":\"tok%" PRId64 "-%08" PRIx32
			" \"}\n\n",
			index, index, (uint32_t)(d->held->prompt_hash & UINT32_MAX));
}

static ssize_t decode_next(void *arg, struct standin_request *rq, char *buf, size_t max)
{
	struct decode *d = arg;
	int64_t index = d->index;
	int n;

	if (d->done)
		return 0;
	if (d->held->removed)
		return -1;
	if (index >= d->total)
		return decode_end(d, buf, max);
	d->due = next_due(d);
	if (!standin_wait(rq, d->due) || d->held->removed)
		return -1;
	d->index++;
	held_lock(&table);
	counters->tokens_streamed++;
	held_unlock(&table);
	n = print_token(d, buf, max, index);
	if (is_nth_token(repeat_every, index))
		n += print_token(d, buf + n, max - n, index);
	/* Returning 0 would end the stream, so this call writes the token after an omitted one. */
	return n > 0 ? n : decode_next(d, rq, buf, max);
}

static void decode_free(void *arg)
{
	struct decode *d = arg;

	held_lock(&table);
	if (!d->done)
		counters->decodes_broken++;
	held_remove(&table, d->held);
	held_unref(d->held);
	held_unlock(&table);
	free(d);
}

static struct decode *decode_new(struct held *h, int64_t first, int64_t max_tokens)
{
	struct decode *d = calloc(1, sizeof(*d));
	int64_t length = OUTPUT_MIN + (int64_t)(h->prompt_hash % OUTPUT_RANGE);

	if (!d)
		abort();
	d->held = held_ref(h);
	d->index = first;
	d->limited = max_tokens < length;
	d->total = d->limited ? max_tokens : length;
	d->due = tlb_clock_now();
	return d;
}

static void decode_start(struct standin_request *rq, const char *id, int64_t first,
			 int64_t max_tokens)
{
	struct held *h = held_find(&table, id);

	if (!h) {
		standin_reply_error(rq, MHD_HTTP_NOT_FOUND, "unknown_request");
	} else if (h->state != HELD_READY) {
		standin_reply_error(rq, MHD_HTTP_CONFLICT, "not_ready");
	} else {
		h->state = HELD_DECODING;
		standin_reply_stream(rq, "text/event-stream", decode_next, decode_free,
				     decode_new(h, first, max_tokens));
	}
}

static void handle_decode(struct standin_request *rq)
{
	json_t *body = standin_body(rq);
	const char *id = "";
	json_int_t max_tokens = OUTPUT_MAX;
	json_int_t first = 0;

	if (!body)
		return;
	if (json_unpack(body, "{s:s, s?I, s?I}", "request_id", &id, "max_tokens", &max_tokens,
			"first_index", &first) == 0 &&
	    first >= 0 && max_tokens > 0) {
		held_lock(&table);
		decode_start(rq, id, first, max_tokens);
		held_unlock(&table);
	} else {
		standin_reply_error(rq, MHD_HTTP_BAD_REQUEST, "bad_decode");
	}
	json_decref(body);
}

static void handle_cancel(struct standin_request *rq)
{
	json_t *body = standin_body(rq);
	const char *id;
	struct held *h;

	if (!body)
		return;
	id = json_string_value(json_object_get(body, "request_id"));
	held_lock(&table);
	h = id ? held_find(&table, id) : NULL;
	if (h)
		held_cancel(&table, h);
	held_unlock(&table);
	standin_reply(rq, MHD_HTTP_OK, json_object());
	json_decref(body);
}

static void order_apply(json_t *order)
{
	static const char *const fields[] = {"role", "model", "version", "adapter"};
	json_t *value;
	size_t i;

	for (i = 0; i < sizeof(fields) / sizeof(fields[0]); i++) {
		value = json_object_get(order, fields[i]);
		if (json_is_string(value))
			json_object_set(loaded, fields[i], value);
	}
	fencing = json_integer_value(json_object_get(order, "fencing"));
	json_array_append(orders, order);
	if (json_array_size(orders) > ORDERS_MAX)
		json_array_remove(orders, 0);
}

static void handle_order(struct standin_request *rq)
{
	json_t *body = standin_body(rq);
	json_t *number;

	if (!body)
		return;
	number = json_object_get(body, "fencing");
	held_lock(&table);
	if (!json_is_integer(number)) {
		standin_reply_error(rq, MHD_HTTP_BAD_REQUEST, "bad_order");
	} else if (!ignore_fencing && json_integer_value(number) < fencing) {
		standin_reply(
			rq, MHD_HTTP_PRECONDITION_FAILED,
			json_pack("{s:s, s:I}", "error", "old_fencing_number", "fencing", fencing));
	} else {
		order_apply(body);
		standin_reply(rq, MHD_HTTP_OK, json_object());
	}
	held_unlock(&table);
	json_decref(body);
}

static void handle_events(struct standin_request *rq)
{
	const char *after = standin_query(rq, "after");
	json_t *list;

	held_lock(&table);
	list = standin_prefix_events(&cache, after ? strtoll(after, NULL, 10) : 0);
	held_unlock(&table);
	standin_reply(rq, MHD_HTTP_OK, json_pack("{s:o}", "events", list));
}

static void handle_load(struct standin_request *rq)
{
	json_t *load;

	held_lock(&table);
	load = held_load_json(&table);
	held_unlock(&table);
	standin_reply(rq, MHD_HTTP_OK, load);
}

static void handle_held(struct standin_request *rq)
{
	json_t *list;

	held_lock(&table);
	list = held_list_json(&table);
	held_unlock(&table);
	standin_reply(rq, MHD_HTTP_OK, json_pack("{s:o}", "held", list));
}

static const struct {
	const char *method;
	const char *path;
	standin_handle_fn *handle;
} routes[] = {
	{"POST", "/prefill", handle_prefill},  {"GET", "/kv/export", handle_export},
	{"POST", "/kv/import", handle_import}, {"POST", "/decode", handle_decode},
	{"POST", "/cancel", handle_cancel},    {"POST", "/order", handle_order},
	{"GET", "/events", handle_events},     {"GET", "/load", handle_load},
	{"GET", "/held", handle_held},
};

static void handle(struct standin_request *rq)
{
	size_t i;

	for (i = 0; i < sizeof(routes) / sizeof(routes[0]); i++)
		if (standin_is(rq, routes[i].method, routes[i].path))
			routes[i].handle(rq);
}

static json_t *counters_json(void)
{
	const struct held_counters *c = counters;

	return json_pack("{s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I}", "prefills",
			 (json_int_t)c->prefills, "prefill_tokens", (json_int_t)c->prefill_tokens,
			 "cached_tokens", (json_int_t)c->cached_tokens, "evicted",
			 (json_int_t)c->evicted, "evicted_tokens", (json_int_t)c->evicted_tokens,
			 "cancelled", (json_int_t)c->cancelled, "cancelled_tokens",
			 (json_int_t)c->cancelled_tokens, "exported", (json_int_t)c->exported,
			 "imported", (json_int_t)c->imported, "decoded", (json_int_t)c->decoded,
			 "decodes_broken", (json_int_t)c->decodes_broken, "tokens_streamed",
			 (json_int_t)c->tokens_streamed);
}

static void add_state(json_t *state)
{
	json_t *list;
	json_t *count;

	held_lock(&table);
	list = held_list_json(&table);
	count = counters_json();
	json_object_update(state, count);
	json_object_update(state, loaded);
	json_object_set_new(state, "held_requests",
			    json_integer((json_int_t)json_array_size(list)));
	json_object_set_new(state, "held_pieces",
			    json_integer(table.total_blocks - table.free_blocks));
	json_object_set_new(state, "total_pieces", json_integer(table.total_blocks));
	json_object_set_new(state, "running", json_integer(held_running(&table)));
	json_object_set_new(state, "fencing", json_integer(fencing));
	json_object_set_new(state, "orders", json_deep_copy(orders));
	held_unlock(&table);
	json_decref(list);
	json_decref(count);
}

static bool start(void)
{
	if (strcmp(role_option, "prefill") != 0 && strcmp(role_option, "decode") != 0) {
		fprintf(stderr, "standin-engine: --role: \"%s\"; allowed: prefill, decode\n",
			role_option);
		return false;
	}
	if (kv_block_tokens < 1 || prefill_us_per_token < 1 || token_us < 0) {
		fprintf(stderr, "standin-engine: sizes and times must be positive\n");
		return false;
	}
	curl_global_init(CURL_GLOBAL_DEFAULT);
	held_init(&table, kv_blocks_option, load_lag_ms * TLB_MS);
	standin_link_init(&engine_link, link_mbps);
	standin_prefix_init(&cache, cache_blocks, event_gap_percent, event_delay_ms * TLB_MS,
			    (unsigned int)seed);
	loaded = json_pack("{s:s, s:s, s:s, s:s}", "role", role_option, "model", model_option,
			   "version", "", "adapter", "");
	orders = json_array();
	return true;
}

static const struct standin_program program = {
	.name = "standin-engine",
	.options = options,
	.handle = handle,
	.state = add_state,
	.start = start,
};

int main(int argc, char **argv)
{
	return standin_main(argc, argv, &program);
}
