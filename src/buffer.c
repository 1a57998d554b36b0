#include "buffer.h"

#include <stdlib.h>
#include <string.h>

enum {
	INITIAL_CAP = 256,
	DOUBLING_MAX = 65536, /* above, capacities grow by a quarter */
};

size_t tlb_buffer_capacity_for(const struct tlb_buffer *b, size_t len)
{
	size_t cap = b->cap ? b->cap : INITIAL_CAP;

	while (cap < len + 1)
		cap += cap < DOUBLING_MAX ? cap : cap / 4;
	return cap;
}

bool tlb_buffer_enlarge(struct tlb_buffer *b, size_t capacity)
{
	char *new_data;

	if (capacity <= b->cap)
		return true;
	new_data = realloc(b->data, capacity);
	if (!new_data)
		return false;
	if (!b->data)
		new_data[0] = '\0';
	b->data = new_data;
	b->cap = capacity;
	return true;
}

bool tlb_buffer_append(struct tlb_buffer *b, const char *bytes, size_t n, size_t max)
{
	if (n > max || b->len > max - n ||
	    !tlb_buffer_enlarge(b, tlb_buffer_capacity_for(b, b->len + n)))
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
