#include "stream_check.h"

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

bool tlb_stream_read_id(const char *line, size_t len, struct tlb_event_id *id)
{
	size_t skip = len > 3 && line[3] == ' ' ? 4 : 3;

	len -= len > 0 && line[len - 1] == '\r';
	if (len < 4 || strncmp(line, "id:", 3) != 0)
		return false;
	*id = (struct tlb_event_id){line + skip, len - skip};
	return true;
}

static bool is_number(const struct tlb_event_id *id)
{
	size_t i;

	for (i = 0; i < id->len; i++)
		if (id->text[i] < '0' || id->text[i] > '9')
			return false;
	return id->len > 0;
}

/* Drops the leading zeros of a number. */
static struct tlb_event_id significant(struct tlb_event_id id)
{
	while (id.len > 1 && *id.text == '0') {
		id.text++;
		id.len--;
	}
	return id;
}

static bool is_greater(struct tlb_event_id a, struct tlb_event_id b)
{
	a = significant(a);
	b = significant(b);
	return a.len != b.len ? a.len > b.len : memcmp(a.text, b.text, a.len) > 0;
}

/* Whether an event with that id may follow. Ids increase; those that are no numbers have to differ.
 */
static bool may_follow(const struct tlb_event_id *before, const struct tlb_event_id *id)
{
	if (before->len == 0)
		return true;
	if (!is_number(before))
		return before->len != id->len || memcmp(before->text, id->text, id->len) != 0;
	return is_number(id) && is_greater(*id, *before);
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

/* Reads a line of an event. last: the id before it. resumed: it goes on with a stream. */
static const char *find_line_fault(struct event *e, const char *line, size_t len,
				   struct tlb_event_id *last, bool resumed)
{
	struct tlb_event_id id;
	bool unplaced = e->has_data && !e->has_id;

	if (len == 0) {
		*e = (struct event){0};
		return resumed && unplaced ? "an event without an id" : NULL;
	}
	if (is_head_line(line, len))
		return "the head of another response";
	e->has_data |= begins_with(line, len, "data");
	if (!tlb_stream_read_id(line, len, &id))
		return NULL;
	if (id.len > TLB_EVENT_ID_MAX)
		return "an event whose id is too long";
	if (resumed && !may_follow(last, &id))
		return "an event that does not follow the last one";
	e->has_id = true;
	*last = id;
	return NULL;
}

const char *tlb_stream_find_fault(const char *events, size_t len, const char *after)
{
	struct tlb_event_id last = {after, after ? strlen(after) : 0};
	const char *end = events + len;
	const char *line = events;
	const char *fault = NULL;
	struct event e = {0};
	const char *next;
	size_t n;

	for (; line < end && !fault; line = next + 1) {
		next = memchr(line, '\n', (size_t)(end - line));
		if (!next)
			break;
		n = (size_t)(next - line);
		n -= n > 0 && line[n - 1] == '\r';
		fault = find_line_fault(&e, line, n, &last, after != NULL);
	}
	return fault;
}
