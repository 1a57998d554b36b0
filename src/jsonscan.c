#include "jsonscan.h"

#include <string.h>

const char *tlb_json_skip_space(const char *p, const char *end)
{
	while (p < end && (*p == ' ' || *p == '\t' || *p == '\r' || *p == '\n'))
		p++;
	return p;
}

/* p is behind the opening quote. Returns the position behind the closing one, or NULL. */
static const char *string_end(const char *p, const char *end)
{
	for (; p < end; p++) {
		if (*p == '"')
			return p + 1;
		if (*p == '\\')
			p++;
	}
	return NULL;
}

static const char *scalar_end(const char *p, const char *end)
{
	while (p < end && !strchr(",:]}[{\" \t\r\n", *p))
		p++;
	return p;
}

const char *tlb_json_value_end(const char *p, const char *end)
{
	int depth = 0;

	while (p && p < end) {
		switch (*p) {
		case '"':
			p = string_end(p + 1, end);
			break;
		case '{':
		case '[':
			depth++;
			p++;
			break;
		case '}':
		case ']':
			depth--;
			p++;
			break;
		case ',':
		case ':':
		case ' ':
		case '\t':
		case '\r':
		case '\n':
			p++;
			continue;
		default:
			p = scalar_end(p + 1, end);
			break;
		}
		if (depth <= 0)
			return p;
	}
	return NULL;
}

int tlb_json_depth(const char *p, const char *end)
{
	int depth = 0;
	int max = 0;

	while (p && p < end) {
		switch (*p++) {
		case '"':
			p = string_end(p, end);
			break;
		case '{':
		case '[':
			if (++depth > max)
				max = depth;
			break;
		case '}':
		case ']':
			depth--;
			break;
		default:
			break;
		}
	}
	return max;
}
