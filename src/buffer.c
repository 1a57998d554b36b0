#include "buffer.h"

#include <stdlib.h>
#include <string.h>

enum { INITIAL_CAP = 256 };

static bool reserve(struct tlb_buffer *b, size_t len)
{
	size_t cap = b->cap ? b->cap : INITIAL_CAP;
	char *new_data;

	while (cap < len)
		cap *= 2;
	if (cap == b->cap)
		return true;
	new_data = realloc(b->data, cap);
	if (!new_data)
		return false;
	b->data = new_data;
	b->cap = cap;
	return true;
}

bool tlb_buffer_append(struct tlb_buffer *b, const char *bytes, size_t n, size_t max)
{
	if (n > max || b->len > max - n || !reserve(b, b->len + n + 1))
		return false;
	memcpy(b->data + b->len, bytes, n);
	b->len += n;
	b->data[b->len] = '\0';
	return true;
}

char *tlb_buffer_detach(struct tlb_buffer *b)
{
	char *data = b->data;

	b->data = NULL;
	b->len = 0;
	b->cap = 0;
	return data;
}

void tlb_buffer_clear(struct tlb_buffer *b)
{
	b->len = 0;
	if (b->data)
		b->data[0] = '\0';
}

void tlb_buffer_finish(struct tlb_buffer *b)
{
	free(b->data);
	tlb_buffer_detach(b);
}
