#include "answer.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Must equal the values in standins/engine.c. */
enum { OUTPUT_MIN = 8, OUTPUT_RANGE = 57, TOKEN_LEN = 32 };

#define FNV_OFFSET_BASIS UINT64_C(0xcbf29ce484222325)
#define FNV_PRIME UINT64_C(0x100000001b3)

static uint64_t fnv1a(const char *text)
{
	uint64_t h = FNV_OFFSET_BASIS;

	for (; *text; text++)
		h = (h ^ (unsigned char)*text) * FNV_PRIME;
	return h;
}

char *load_expected_output(const char *prompt, int max_tokens, int *count, const char **reason)
{
	uint64_t h = fnv1a(prompt);
	int length = OUTPUT_MIN + (int)(h % OUTPUT_RANGE);
	int n = max_tokens < length ? max_tokens : length;
	char *text = calloc((size_t)n + 1, TOKEN_LEN);
	size_t len = 0;
	int i;

	if (!text)
		abort();
	for (i = 0; i < n; i++)
		len += (size_t)snprintf(text + len, TOKEN_LEN, "tok%d-%08" PRIx32 " ", i,
					(uint32_t)(h & UINT32_MAX));
	if (count)
		*count = n;
	if (reason)
		*reason = max_tokens < length ? "length" : "stop";
	return text;
}

void load_answer_init(struct load_answer *a, const struct load_request *request,
		      load_token_fn *on_token, void *arg)
{
	memset(a, 0, sizeof(*a));
	a->request = request;
	a->on_token = on_token;
	a->arg = arg;
	if (request->kind == LOAD_STREAM)
		a->expected = load_expected_output(request->text, request->max_tokens, NULL, NULL);
}

void load_answer_finish(struct load_answer *a)
{
	free(a->body);
	free(a->expected);
}

void load_answer_reset(struct load_answer *a)
{
	a->len = 0;
	a->parsed = 0;
	a->matched = 0;
	a->mismatch = false;
	a->finish_reason_seen = false;
	a->done_events = 0;
	a->error_event = false;
}

static void set_result(struct load_result *result, enum load_outcome outcome, const char *code,
		       const char *reason)
{
	result->outcome = outcome;
	snprintf(result->code, sizeof(result->code), "%s", code);
	snprintf(result->reason, sizeof(result->reason), "%s", reason);
}

/* Checks {"error":{"code","outcome"}}; an error that lacks either counts as LOAD_WRONG. */
static void check_error(const json_t *j, struct load_result *result)
{
	const json_t *e = json_object_get(j, "error");
	const char *code = json_string_value(json_object_get(e, "code"));
	const char *outcome = json_string_value(json_object_get(e, "outcome"));

	if (code && outcome && strcmp(outcome, "not_run") == 0)
		set_result(result, LOAD_NOT_RUN, code, "");
	else if (code && outcome && strcmp(outcome, "unknown") == 0)
		set_result(result, LOAD_UNKNOWN, code, "");
	else
		set_result(result, LOAD_WRONG, "", "error without a code and a known outcome");
}

static const json_t *first_choice(const json_t *j)
{
	return json_array_get(json_object_get(j, "choices"), 0);
}

/* --- streams --- */

static void check_token(struct load_answer *a, const char *text)
{
	size_t n = strlen(text);

	if (strncmp(a->expected + a->matched, text, n) != 0) {
		a->mismatch = true;
		return;
	}
	a->matched += n;
	if (n > 0 && a->on_token)
		a->on_token(a->arg);
}

static void check_event(struct load_answer *a, const char *data, size_t len)
{
	json_t *j;
	const json_t *choice;
	const char *text;

	if (len == 6 && memcmp(data, "[DONE]", 6) == 0) {
		a->done_events++;
		return;
	}
	if (a->done_events > 0)
		a->mismatch = true;
	j = json_loadb(data, len, 0, NULL);
	choice = first_choice(j);
	text = json_string_value(json_object_get(choice, "text"));
	if (json_object_get(j, "error")) {
		a->error_event = true;
		check_error(j, &a->event_result);
	} else if (text) {
		check_token(a, text);
	} else {
		a->mismatch = true;
	}
	if (json_is_string(json_object_get(choice, "finish_reason")))
		a->finish_reason_seen = true;
	json_decref(j);
}

static void parse_events(struct load_answer *a)
{
	char *begin = a->body + a->parsed;
	char *end;

	while ((end = strstr(begin, "\n\n")) != NULL) {
		if (strncmp(begin, "data: ", 6) == 0)
			check_event(a, begin + 6, (size_t)(end - begin - 6));
		begin = end + 2;
	}
	a->parsed = (size_t)(begin - a->body);
}

static void check_stream(struct load_answer *a, struct load_result *result)
{
	if (a->error_event && a->done_events == 0 && !a->mismatch)
		*result = a->event_result;
	else if (a->mismatch)
		set_result(result, LOAD_WRONG, "", "a token is wrong, missing or doubled");
	else if (a->expected[a->matched])
		set_result(result, LOAD_WRONG, "",
			   "the stream ended normally, but tokens are missing");
	else if (a->done_events != 1 || !a->finish_reason_seen)
		set_result(result, LOAD_WRONG, "",
			   "no finish reason, or [DONE] not sent exactly once at the end of the "
			   "stream");
	else
		set_result(result, LOAD_ANSWERED, "", "");
}

/* --- unstreamed responses --- */

static void check_completion(const struct load_answer *a, const json_t *j,
			     struct load_result *result)
{
	const json_t *choice = first_choice(j);
	const char *text = json_string_value(json_object_get(choice, "text"));
	const char *finish = json_string_value(json_object_get(choice, "finish_reason"));
	const json_t *usage = json_object_get(j, "usage");
	const char *reason;
	int count;
	char *expected =
		load_expected_output(a->request->text, a->request->max_tokens, &count, &reason);

	if (!text || strcmp(text, expected) != 0)
		set_result(result, LOAD_WRONG, "", "the text does not match the prompt");
	else if (!finish || strcmp(finish, reason) != 0)
		set_result(result, LOAD_WRONG, "", "the finish reason is wrong");
	else if (json_integer_value(json_object_get(usage, "completion_tokens")) != count)
		set_result(result, LOAD_WRONG, "", "the count of output tokens is wrong");
	else
		set_result(result, LOAD_ANSWERED, "", "");
	free(expected);
}

static void check_status(const json_t *j, const char *path, struct load_result *result)
{
	const char *actual = json_string_value(json_object_get(j, "path"));

	if (!actual || strcmp(actual, path) != 0 || !json_is_integer(json_object_get(j, "count")))
		set_result(result, LOAD_WRONG, "", "the answer does not match the request path");
	else
		set_result(result, LOAD_ANSWERED, "", "");
}

static void check_paid(const struct load_answer *a, const json_t *j, struct load_result *result)
{
	const char *actual = json_string_value(json_object_get(j, "body_hash"));
	char expected[17];

	snprintf(expected, sizeof(expected), "%016" PRIx64, fnv1a(a->request->text));
	if (!actual || strcmp(actual, expected) != 0)
		set_result(result, LOAD_WRONG, "", "the answer does not match the request body");
	else if (json_integer_value(json_object_get(j, "executed")) != 1)
		set_result(result, LOAD_WRONG, "", "the call was executed more than once");
	else
		set_result(result, LOAD_ANSWERED, "", "");
}

bool load_answer_feed(struct load_answer *a, long status, const char *data, size_t len)
{
	size_t capacity = a->cap ? a->cap : 1024;
	char *grown;

	while (capacity < a->len + len + 1)
		capacity *= 2;
	if (capacity != a->cap) {
		grown = realloc(a->body, capacity);
		if (!grown)
			return false;
		a->body = grown;
		a->cap = capacity;
	}
	memcpy(a->body + a->len, data, len);
	a->len += len;
	a->body[a->len] = '\0';
	if (a->request->kind == LOAD_STREAM && status == 200)
		parse_events(a);
	return true;
}

void load_answer_check(struct load_answer *a, long status, const char *path,
		       struct load_result *result)
{
	json_t *j;

	if (a->request->kind == LOAD_STREAM && status == 200) {
		check_stream(a, result);
		return;
	}
	j = json_loadb(a->body ? a->body : "", a->len, 0, NULL);
	if (status != 200)
		check_error(j, result);
	else if (a->request->kind == LOAD_COMPLETION)
		check_completion(a, j, result);
	else if (a->request->kind == LOAD_STATUS)
		check_status(j, path, result);
	else
		check_paid(a, j, result);
	json_decref(j);
}

void load_answer_check_interrupted(struct load_answer *a, const char *reason,
				   struct load_result *result)
{
	if (a->mismatch || a->done_events > 1)
		set_result(result, LOAD_WRONG, "", "a token is wrong, missing or doubled");
	else if (a->error_event)
		*result = a->event_result;
	else
		set_result(result, LOAD_UNKNOWN, "broken", reason);
}
