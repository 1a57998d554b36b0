#include "sse.h"

#include <string.h>

void tlb_sse_finish(struct tlb_sse *s)
{
	tlb_buffer_finish(&s->line);
	tlb_buffer_finish(&s->data);
}

static bool end_event(struct tlb_sse *s, tlb_sse_event_fn *fn, void *arg)
{
	size_t len = s->data.len;

	s->data.len = 0;
	return len == 0 || fn(arg, s->data.data, len);
}

static bool end_line(struct tlb_sse *s, tlb_sse_event_fn *fn, void *arg)
{
	const char *value;
	size_t len = s->line.len;

	if (len > 0 && s->line.data[len - 1] == '\r')
		s->line.data[--len] = '\0';
	s->line.len = 0;
	if (len == 0)
		return end_event(s, fn, arg);
	if (strncmp(s->line.data, "data:", 5) != 0)
		return true;
	value = s->line.data + 5;
	if (*value == ' ')
		value++;
	return tlb_buffer_append(&s->data, value, strlen(value), TLB_SSE_EVENT_MAX);
}

bool tlb_sse_feed(struct tlb_sse *s, const char *bytes, size_t len, tlb_sse_event_fn *fn, void *arg)
{
	const char *end = bytes + len;
	const char *nl;

	while (bytes < end) {
		nl = memchr(bytes, '\n', (size_t)(end - bytes));
		if (!tlb_buffer_append(&s->line, bytes, (size_t)((nl ? nl : end) - bytes),
				       TLB_SSE_EVENT_MAX))
			return false;
		if (!nl)
			return true;
		if (!end_line(s, fn, arg))
			return false;
		bytes = nl + 1;
	}
	return true;
}
