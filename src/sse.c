#include "sse.h"

#include <stdlib.h>
#include <string.h>

enum { FIRST = 256 };

void tlb_sse_finish(struct tlb_sse *s)
{
	free(s->line);
	free(s->data);
	memset(s, 0, sizeof(*s));
}

static bool append(char **buf, size_t *len, size_t *cap, const char *bytes, size_t n)
{
	size_t want = *cap ? *cap : FIRST;
	char *grown;

	if (*len + n > TLB_SSE_EVENT_MAX)
		return false;
	while (want < *len + n + 1)
		want *= 2;
	if (want != *cap) {
		grown = realloc(*buf, want);
		if (!grown)
			return false;
		*buf = grown;
		*cap = want;
	}
	memcpy(*buf + *len, bytes, n);
	*len += n;
	(*buf)[*len] = '\0';
	return true;
}

static bool end_event(struct tlb_sse *s, tlb_sse_event_fn *fn, void *arg)
{
	size_t len = s->data_len;

	s->data_len = 0;
	return len == 0 || fn(arg, s->data, len);
}

static bool end_line(struct tlb_sse *s, tlb_sse_event_fn *fn, void *arg)
{
	const char *value;
	size_t len = s->line_len;

	if (len > 0 && s->line[len - 1] == '\r')
		s->line[--len] = '\0';
	s->line_len = 0;
	if (len == 0)
		return end_event(s, fn, arg);
	if (strncmp(s->line, "data:", 5) != 0)
		return true;
	value = s->line + 5;
	if (*value == ' ')
		value++;
	return append(&s->data, &s->data_len, &s->data_cap, value, strlen(value));
}

bool tlb_sse_feed(struct tlb_sse *s, const char *bytes, size_t len, tlb_sse_event_fn *fn, void *arg)
{
	const char *end = bytes + len;
	const char *nl;

	while (bytes < end) {
		nl = memchr(bytes, '\n', (size_t)(end - bytes));
		if (!append(&s->line, &s->line_len, &s->line_cap, bytes,
			    (size_t)((nl ? nl : end) - bytes)))
			return false;
		if (!nl)
			return true;
		if (!end_line(s, fn, arg))
			return false;
		bytes = nl + 1;
	}
	return true;
}
