#include "memory.h"

#include <string.h>
#include <unistd.h>

enum { VM_MEMORY_DIVISOR = 2 };

void tlb_memory_init(struct tlb_memory *m, size_t limit)
{
	memset(m, 0, sizeof(*m));
	m->limit = limit;
}

size_t tlb_memory_limit(size_t most)
{
	long pages = sysconf(_SC_PHYS_PAGES);
	long page = sysconf(_SC_PAGESIZE);
	size_t half;

	if (pages <= 0 || page <= 0)
		return most;
	half = (size_t)pages * (size_t)page / VM_MEMORY_DIVISOR;
	return half < most ? half : most;
}

static void add(struct tlb_memory_share *s, size_t bytes)
{
	struct tlb_memory *m = s->memory;

	s->bytes += bytes;
	m->used += bytes;
	if (m->used > m->peak)
		m->peak = m->used;
}

bool tlb_memory_charge(struct tlb_memory_share *s, size_t bytes)
{
	struct tlb_memory *m = s->memory;
	size_t limit;

	if (!m || bytes == 0)
		return true;
	limit = m->limit;
	if (s->bytes + bytes > TLB_MEMORY_SMALL_SHARE)
		limit -= limit / TLB_MEMORY_RESERVED_DIVISOR;
	if (bytes > limit || m->used > limit - bytes) {
		m->refused++;
		return false;
	}
	add(s, bytes);
	return true;
}

void tlb_memory_charge_used(struct tlb_memory_share *s, size_t bytes)
{
	if (s->memory)
		add(s, bytes);
}

void tlb_memory_return(struct tlb_memory_share *s, size_t bytes)
{
	if (!s->memory)
		return;
	if (bytes > s->bytes)
		bytes = s->bytes;
	s->bytes -= bytes;
	s->memory->used -= bytes;
}

void tlb_memory_release(struct tlb_memory_share *s)
{
	tlb_memory_return(s, s->bytes);
}

bool tlb_memory_enlarge(struct tlb_memory_share *s, struct tlb_buffer *b, size_t capacity)
{
	size_t growth = capacity > b->cap ? capacity - b->cap : 0;

	if (!tlb_memory_charge(s, growth))
		return false;
	if (tlb_buffer_enlarge(b, capacity))
		return true;
	tlb_memory_return(s, growth);
	return false;
}

bool tlb_memory_append(struct tlb_memory_share *s, struct tlb_buffer *b, const char *bytes,
		       size_t n, size_t max)
{
	if (n > max || b->len > max - n ||
	    !tlb_memory_enlarge(s, b, tlb_buffer_capacity_for(b, b->len + n)))
		return false;
	return tlb_buffer_append(b, bytes, n, max);
}
