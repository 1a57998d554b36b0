#include "completion.h"

#include <jansson.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"

enum { BYTES_PER_TOKEN = 4, MAX_TOKENS_LIMIT = 1000000 };

static enum tlb_code bad_request(struct tlb_error *err, const char *what)
{
	return tlb_error_set(err, TLB_BAD_REQUEST, TLB_OUTCOME_NOT_RUN, "parse", "", "%s", what);
}

static enum tlb_code read_prompt(struct tlb_completion *c, const json_t *j, struct tlb_error *err)
{
	const json_t *p = json_object_get(j, "prompt");

	if (!json_is_string(p) || json_string_length(p) == 0)
		return bad_request(err, "\"prompt\" must be a non-empty string");
	if (memchr(json_string_value(p), '\0', json_string_length(p)))
		return bad_request(err, "\"prompt\" must not contain NUL characters");
	c->prompt = strdup(json_string_value(p));
	c->prompt_len = json_string_length(p);
	return c->prompt ? TLB_OK
			 : tlb_error_set(err, TLB_INTERNAL, TLB_OUTCOME_NOT_RUN, "parse", "",
					 "no memory");
}

static enum tlb_code read_messages(struct tlb_completion *c, const json_t *j, struct tlb_error *err)
{
	const json_t *list = json_object_get(j, "messages");
	const json_t *m;
	FILE *f;
	size_t i;

	if (!json_is_array(list) || json_array_size(list) == 0)
		return bad_request(err, "\"messages\" must be a non-empty array");
	json_array_foreach (list, i, m) {
		if (!json_is_string(json_object_get(m, "role")) ||
		    !json_is_string(json_object_get(m, "content")))
			return bad_request(err,
					   "each of \"messages\" needs the strings \"role\" and "
					   "\"content\"");
	}
	f = open_memstream(&c->prompt, &c->prompt_len);
	if (!f)
		return tlb_error_set(err, TLB_INTERNAL, TLB_OUTCOME_NOT_RUN, "parse", "",
				     "no memory");
	json_array_foreach (list, i, m) {
		fprintf(f, "%s: %s\n", json_string_value(json_object_get(m, "role")),
			json_string_value(json_object_get(m, "content")));
	}
	fclose(f);
	return TLB_OK;
}

static enum tlb_code read_class(struct tlb_completion *c, const json_t *j, struct tlb_error *err)
{
	const json_t *p = json_object_get(j, "priority");
	const char *s = json_string_value(p);

	c->class = TLB_INTERACTIVE;
	if (!p || (s && strcmp(s, "interactive") == 0))
		return TLB_OK;
	if (!s || strcmp(s, "batch") != 0)
		return bad_request(err, "\"priority\" must be \"interactive\" or \"batch\"");
	c->class = TLB_BATCH;
	return TLB_OK;
}

static enum tlb_code read_deadline(struct tlb_completion *c, const json_t *j, struct tlb_error *err)
{
	const json_t *d = json_object_get(j, "deadline");
	double seconds = json_number_value(d);

	if (!d)
		return TLB_OK;
	if (!json_is_number(d) || !isfinite(seconds) || seconds <= 0 || seconds > 1e11)
		return bad_request(err, "\"deadline\" must be a time in seconds since 1970");
	c->deadline_ms = (int64_t)(seconds * 1000);
	return TLB_OK;
}

static enum tlb_code read_options(struct tlb_completion *c, const json_t *j, struct tlb_error *err)
{
	const char *model = json_string_value(json_object_get(j, "model"));
	const json_t *max = json_object_get(j, "max_tokens");
	const json_t *stream = json_object_get(j, "stream");

	if (!model || !*model || strlen(model) >= sizeof(c->model))
		return bad_request(err, "\"model\" must be the name of a model");
	strcpy(c->model, model);
	if (max && (!json_is_integer(max) || json_integer_value(max) < 1 ||
		    json_integer_value(max) > MAX_TOKENS_LIMIT))
		return bad_request(err, "\"max_tokens\" must be a positive integer");
	c->max_tokens = (int)json_integer_value(max);
	if (stream && !json_is_boolean(stream))
		return bad_request(err, "\"stream\" must be true or false");
	c->stream = json_is_true(stream);
	if (read_class(c, j, err) != TLB_OK)
		return TLB_BAD_REQUEST;
	return read_deadline(c, j, err);
}

enum tlb_code tlb_completion_parse(struct tlb_completion *c, const char *body, size_t len,
				   bool chat, struct tlb_error *err)
{
	json_error_t je;
	json_t *j = json_loadb(body ? body : "", len, JSON_REJECT_DUPLICATES, &je);
	enum tlb_code code;

	memset(c, 0, sizeof(*c));
	c->chat = chat;
	if (!json_is_object(j)) {
		json_decref(j);
		return tlb_error_set(err, TLB_BAD_REQUEST, TLB_OUTCOME_NOT_RUN, "parse", "",
				     "the body must be a JSON object (line %d, column %d)",
				     j ? 1 : je.line, j ? 1 : je.column);
	}
	code = read_options(c, j, err);
	if (code == TLB_OK)
		code = chat ? read_messages(c, j, err) : read_prompt(c, j, err);
	json_decref(j);
	if (code != TLB_OK)
		tlb_completion_finish(c);
	return code;
}

void tlb_completion_finish(struct tlb_completion *c)
{
	free(c->prompt);
	c->prompt = NULL;
}

int tlb_completion_estimate_tokens(size_t bytes)
{
	return (int)((bytes + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN);
}

static json_t *response_choice(const struct tlb_completion *c, const char *text, const char *reason)
{
	if (c->chat)
		return json_pack("{s:i,s:{s:s,s:s},s:s}", "index", 0, "message", "role",
				 "assistant", "content", text, "finish_reason", reason);
	return json_pack("{s:i,s:s,s:s}", "index", 0, "text", text, "finish_reason", reason);
}

static char *dump_and_free(json_t *j)
{
	char *text = j ? json_dumps(j, JSON_COMPACT) : NULL;

	json_decref(j);
	return text;
}

char *tlb_completion_response(const struct tlb_completion *c, const char *id, const char *text,
			      const char *reason, int prompt_tokens, int output_tokens)
{
	json_t *j = json_pack("{s:s,s:s,s:I,s:s,s:[o],s:{s:i,s:i,s:i}}", "id", id, "object",
			      c->chat ? "chat.completion" : "text_completion", "created",
			      (json_int_t)(tlb_clock_wall_ms() / 1000), "model", c->model,
			      "choices", response_choice(c, text, reason), "usage", "prompt_tokens",
			      prompt_tokens, "completion_tokens", output_tokens, "total_tokens",
			      prompt_tokens + output_tokens);

	return dump_and_free(j);
}

static json_t *event_choice(const struct tlb_completion *c, const char *text, const char *reason)
{
	if (!c->chat)
		return json_pack("{s:i,s:s,s:s?}", "index", 0, "text", text, "finish_reason",
				 reason);
	if (reason)
		return json_pack("{s:i,s:{},s:s}", "index", 0, "delta", "finish_reason", reason);
	return json_pack("{s:i,s:{s:s},s:n}", "index", 0, "delta", "content", text,
			 "finish_reason");
}

static char *dump_as_event(json_t *j)
{
	char *text = dump_and_free(j);
	char *event = NULL;

	if (text && asprintf(&event, "data: %s\n\n", text) < 0)
		event = NULL;
	free(text);
	return event;
}

char *tlb_completion_event(const struct tlb_completion *c, const char *id, const char *text,
			   const char *reason)
{
	return dump_as_event(json_pack("{s:s,s:s,s:s,s:[o]}", "id", id, "object",
				       c->chat ? "chat.completion.chunk" : "text_completion",
				       "model", c->model, "choices",
				       event_choice(c, text, reason)));
}

char *tlb_completion_error_event(const char *id, const struct tlb_error *err)
{
	return dump_as_event(json_pack(
		"{s:{s:s,s:s,s:s,s:s}}", "error", "code", tlb_error_name(err->code), "message",
		err->message, "outcome", tlb_outcome_name(err->outcome), "request_id", id));
}
