#include "answer.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* As in standins/engine.c. */
enum { OUTPUT_MIN = 8, OUTPUT_SPREAD = 57, TOKEN_LEN = 32 };

#define HASH_START UINT64_C(0xcbf29ce484222325)
#define HASH_PRIME UINT64_C(0x100000001b3)

static uint64_t hash(const char *text)
{
	uint64_t h = HASH_START;

	for (; *text; text++)
		h = (h ^ (unsigned char)*text) * HASH_PRIME;
	return h;
}

char *load_expected_output(const char *prompt, int max_tokens, int *count, const char **reason)
{
	uint64_t h = hash(prompt);
	int length = OUTPUT_MIN + (int)(h % OUTPUT_SPREAD);
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

void load_answer_init(struct load_answer *a, const struct load_item *item, load_token_fn *on_token,
		      void *arg)
{
	memset(a, 0, sizeof(*a));
	a->item = item;
	a->on_token = on_token;
	a->arg = arg;
	if (item->kind == LOAD_STREAM)
		a->expected = load_expected_output(item->text, item->max_tokens, NULL, NULL);
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
	a->finish_seen = false;
	a->done_marks = 0;
	a->error_event = false;
}

static void set(struct load_verdict *v, enum load_outcome outcome, const char *code,
		const char *reason)
{
	v->outcome = outcome;
	snprintf(v->code, sizeof(v->code), "%s", code);
	snprintf(v->reason, sizeof(v->reason), "%s", reason);
}

/* Reads {"error":{"code","outcome"}}; an error without them is a wrong answer. */
static void judge_error(const json_t *j, struct load_verdict *v)
{
	const json_t *e = json_object_get(j, "error");
	const char *code = json_string_value(json_object_get(e, "code"));
	const char *outcome = json_string_value(json_object_get(e, "outcome"));

	if (code && outcome && strcmp(outcome, "not_run") == 0)
		set(v, LOAD_NOT_RUN, code, "");
	else if (code && outcome && strcmp(outcome, "unknown") == 0)
		set(v, LOAD_UNKNOWN, code, "");
	else
		set(v, LOAD_WRONG, "", "an error without code and outcome");
}

static const json_t *first_choice(const json_t *j)
{
	return json_array_get(json_object_get(j, "choices"), 0);
}

/* --- streams --- */

static void take_token(struct load_answer *a, const char *text)
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

static void take_event(struct load_answer *a, const char *data, size_t len)
{
	json_t *j;
	const json_t *choice;
	const char *text;

	if (len == 6 && memcmp(data, "[DONE]", 6) == 0) {
		a->done_marks++;
		return;
	}
	if (a->done_marks > 0)
		a->mismatch = true;
	j = json_loadb(data, len, 0, NULL);
	choice = first_choice(j);
	text = json_string_value(json_object_get(choice, "text"));
	if (json_object_get(j, "error")) {
		a->error_event = true;
		judge_error(j, &a->event_verdict);
	} else if (text) {
		take_token(a, text);
	} else {
		a->mismatch = true;
	}
	if (json_is_string(json_object_get(choice, "finish_reason")))
		a->finish_seen = true;
	json_decref(j);
}

static void parse_events(struct load_answer *a)
{
	char *begin = a->body + a->parsed;
	char *end;

	while ((end = strstr(begin, "\n\n")) != NULL) {
		if (strncmp(begin, "data: ", 6) == 0)
			take_event(a, begin + 6, (size_t)(end - begin - 6));
		begin = end + 2;
	}
	a->parsed = (size_t)(begin - a->body);
}

static void judge_stream(struct load_answer *a, struct load_verdict *v)
{
	if (a->error_event && a->done_marks == 0 && !a->mismatch)
		*v = a->event_verdict;
	else if (a->mismatch)
		set(v, LOAD_WRONG, "", "a token is wrong, missing or doubled");
	else if (a->expected[a->matched])
		set(v, LOAD_WRONG, "", "the stream looks complete, but tokens are missing");
	else if (a->done_marks != 1 || !a->finish_seen)
		set(v, LOAD_WRONG, "", "the end of the stream is not marked exactly once");
	else
		set(v, LOAD_ANSWERED, "", "");
}

/* --- whole answers --- */

static void judge_completion(const struct load_answer *a, const json_t *j, struct load_verdict *v)
{
	const json_t *choice = first_choice(j);
	const char *text = json_string_value(json_object_get(choice, "text"));
	const char *finish = json_string_value(json_object_get(choice, "finish_reason"));
	const json_t *usage = json_object_get(j, "usage");
	const char *reason;
	int count;
	char *want = load_expected_output(a->item->text, a->item->max_tokens, &count, &reason);

	if (!text || strcmp(text, want) != 0)
		set(v, LOAD_WRONG, "", "the text is not that of this prompt");
	else if (!finish || strcmp(finish, reason) != 0)
		set(v, LOAD_WRONG, "", "the finish reason is wrong");
	else if (json_integer_value(json_object_get(usage, "completion_tokens")) != count)
		set(v, LOAD_WRONG, "", "the count of output tokens is wrong");
	else
		set(v, LOAD_ANSWERED, "", "");
	free(want);
}

static void judge_status(const json_t *j, const char *path, struct load_verdict *v)
{
	const char *got = json_string_value(json_object_get(j, "path"));

	if (!got || strcmp(got, path) != 0 || !json_is_integer(json_object_get(j, "count")))
		set(v, LOAD_WRONG, "", "the answer is not that of the path");
	else
		set(v, LOAD_ANSWERED, "", "");
}

static void judge_paid(const struct load_answer *a, const json_t *j, struct load_verdict *v)
{
	const char *got = json_string_value(json_object_get(j, "body_hash"));
	char want[17];

	snprintf(want, sizeof(want), "%016" PRIx64, hash(a->item->text));
	if (!got || strcmp(got, want) != 0)
		set(v, LOAD_WRONG, "", "the answer is not that of this body");
	else if (json_integer_value(json_object_get(j, "executed")) != 1)
		set(v, LOAD_WRONG, "", "the call was executed more than once");
	else
		set(v, LOAD_ANSWERED, "", "");
}

bool load_answer_feed(struct load_answer *a, long status, const char *data, size_t len)
{
	size_t want = a->cap ? a->cap : 1024;
	char *grown;

	while (want < a->len + len + 1)
		want *= 2;
	if (want != a->cap) {
		grown = realloc(a->body, want);
		if (!grown)
			return false;
		a->body = grown;
		a->cap = want;
	}
	memcpy(a->body + a->len, data, len);
	a->len += len;
	a->body[a->len] = '\0';
	if (a->item->kind == LOAD_STREAM && status == 200)
		parse_events(a);
	return true;
}

void load_answer_judge(struct load_answer *a, long status, const char *path, struct load_verdict *v)
{
	json_t *j;

	if (a->item->kind == LOAD_STREAM && status == 200) {
		judge_stream(a, v);
		return;
	}
	j = json_loadb(a->body ? a->body : "", a->len, 0, NULL);
	if (status != 200)
		judge_error(j, v);
	else if (a->item->kind == LOAD_COMPLETION)
		judge_completion(a, j, v);
	else if (a->item->kind == LOAD_STATUS)
		judge_status(j, path, v);
	else
		judge_paid(a, j, v);
	json_decref(j);
}

void load_answer_judge_broken(struct load_answer *a, const char *reason, struct load_verdict *v)
{
	if (a->mismatch || a->done_marks > 1)
		set(v, LOAD_WRONG, "", "a token is wrong, missing or doubled");
	else if (a->error_event)
		*v = a->event_verdict;
	else
		set(v, LOAD_UNKNOWN, "broken", reason);
}
