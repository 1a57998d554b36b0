#include "stream_check.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* The event that is being read. */
struct event {
	bool has_data;
	bool has_id;
};

static bool begins_with(const char *line, size_t len, const char *text)
{
	size_t n = strlen(text);

	return len >= n && strncasecmp(line, text, n) == 0;
}

bool tlb_stream_read_id(const char *line, size_t len, char id[TLB_EVENT_ID_LEN])
{
	size_t skip = len > 3 && line[3] == ' ' ? 4 : 3;

	if (len < 4 || strncmp(line, "id:", 3) != 0)
		return false;
	snprintf(id, TLB_EVENT_ID_LEN, "%.*s", (int)(len - skip), line + skip);
	return true;
}

static bool read_number(const char *text, unsigned long long *value)
{
	char *end;

	*value = strtoull(text, &end, 10);
	return *text >= '0' && *text <= '9' && *end == '\0';
}

/* Whether an event with that id may follow. Ids increase; those that are no numbers have to differ.
 */
static bool may_follow(const char *before, const char *id)
{
	unsigned long long a;
	unsigned long long b;

	if (!*before)
		return true;
	if (!read_number(before, &a))
		return strcmp(before, id) != 0;
	return read_number(id, &b) && b > a;
}

/* Whether the line is one of a response's head, which an event stream has not. */
static bool is_head_line(const char *line, size_t len)
{
	static const char *const starts[] = {
		"HTTP/1.", "Content-Type:", "Content-Length:", "Transfer-Encoding:", "Connection:"};
	size_t i;

	for (i = 0; i < sizeof(starts) / sizeof(starts[0]); i++)
		if (begins_with(line, len, starts[i]))
			return true;
	return false;
}

/* Reads a line of an event that goes on with a stream. last: the id before it. */
static const char *find_order_fault(struct event *e, const char *line, size_t len, char *last)
{
	char id[TLB_EVENT_ID_LEN];
	bool unplaced = e->has_data && !e->has_id;

	if (len == 0) {
		*e = (struct event){0};
		return unplaced ? "an event without an id" : NULL;
	}
	e->has_data |= begins_with(line, len, "data");
	if (!tlb_stream_read_id(line, len, id))
		return NULL;
	if (!may_follow(last, id))
		return "an event that does not follow the last one";
	e->has_id = true;
	strcpy(last, id);
	return NULL;
}

const char *tlb_stream_find_fault(const char *events, size_t len, const char *after)
{
	const char *end = events + len;
	const char *line = events;
	const char *fault = NULL;
	struct event e = {0};
	char last[TLB_EVENT_ID_LEN];
	const char *next;
	size_t n;

	snprintf(last, sizeof(last), "%s", after ? after : "");
	for (; line < end && !fault; line = next + 1) {
		next = memchr(line, '\n', (size_t)(end - line));
		if (!next)
			break;
		n = (size_t)(next - line);
		n -= n > 0 && line[n - 1] == '\r';
		if (is_head_line(line, n))
			fault = "the head of another response";
		else if (after)
			fault = find_order_fault(&e, line, n, last);
	}
	return fault;
}
