#include "engine.h"

#include <jansson.h>
#include <limits.h>
#include <string.h>

static const char *priority_name(enum tlb_class class)
{
	return class == TLB_BATCH ? "batch" : "interactive";
}

static char *dump_and_free(json_t *j)
{
	char *text = j ? json_dumps(j, JSON_COMPACT) : NULL;

	json_decref(j);
	return text;
}

char *tlb_engine_prefill_body(const struct tlb_engine_attempt *j, const char *model,
			      const char *prompt)
{
	json_t *body =
		json_pack("{s:s,s:s,s:s,s:s,s:s}", "request_id", j->request_id, "owner", j->owner,
			  "model", model, "prompt", prompt, "priority", priority_name(j->class));

	if (body && j->generated_tokens > 0) {
		json_object_set_new(body, "generated", json_string(j->generated));
		json_object_set_new(body, "prefix_tokens", json_integer(j->generated_tokens));
	}
	return dump_and_free(body);
}

char *tlb_engine_import_body(const struct tlb_engine_attempt *j, const char *kv_id,
			     const char *source)
{
	return dump_and_free(json_pack("{s:s,s:s,s:s,s:s,s:i}", "request_id", j->request_id,
				       "owner", j->owner, "kv_id", kv_id, "source", source,
				       "max_tokens", j->max_tokens - j->generated_tokens));
}

char *tlb_engine_decode_body(const struct tlb_engine_attempt *j)
{
	return dump_and_free(json_pack("{s:s,s:s,s:i,s:i,s:s}", "request_id", j->request_id,
				       "owner", j->owner, "max_tokens", j->max_tokens,
				       "first_index", j->generated_tokens, "priority",
				       priority_name(j->class)));
}

bool tlb_engine_read_prefill(const char *body, size_t len, char kv_id[TLB_REQUEST_ID_LEN])
{
	json_t *j = json_loadb(body, len, 0, NULL);
	const char *kv = json_string_value(json_object_get(j, "kv_id"));
	bool ok = kv && strlen(kv) < TLB_REQUEST_ID_LEN;

	if (ok)
		strcpy(kv_id, kv);
	json_decref(j);
	return ok;
}

static bool read_int(const json_t *j, const char *name, int *out)
{
	const json_t *v = json_object_get(j, name);
	json_int_t n = json_integer_value(v);

	if (!json_is_integer(v) || n < 0 || n > INT_MAX)
		return false;
	*out = (int)n;
	return true;
}

static void read_done(const json_t *j, struct tlb_engine_event *e)
{
	const char *reason = json_string_value(json_object_get(j, "reason"));

	if (!read_int(j, "count", &e->done.count))
		return;
	snprintf(e->done.reason, sizeof(e->done.reason), "%s", reason ? reason : "stop");
	e->kind = TLB_ENGINE_DONE;
}

static void read_token(const json_t *j, struct tlb_engine_event *e)
{
	const char *text = json_string_value(json_object_get(j, "token"));

	if (!text || strlen(text) >= sizeof(e->token.text) ||
	    !read_int(j, "index", &e->token.index))
		return;
	strcpy(e->token.text, text);
	e->kind = TLB_ENGINE_TOKEN;
}

void tlb_engine_read_event(const char *data, size_t len, struct tlb_engine_event *e)
{
	json_t *j = json_loadb(data, len, 0, NULL);

	e->kind = TLB_ENGINE_INVALID;
	if (json_is_true(json_object_get(j, "done")))
		read_done(j, e);
	else
		read_token(j, e);
	json_decref(j);
}
