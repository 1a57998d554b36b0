/* Growable byte buffer whose contents are always NUL-terminated. */
#ifndef TLB_BUFFER_H
#define TLB_BUFFER_H

#include <stdbool.h>
#include <stddef.h>

/* Owns data. Zero-initialised when empty; data is NULL until the first append. */
struct tlb_buffer {
	char *data;
	size_t len;
	size_t cap;
};

/* Appends n bytes and a terminating NUL. Returns false, with the buffer unchanged, without memory
 * or when the length would exceed max. */
bool tlb_buffer_append(struct tlb_buffer *b, const char *bytes, size_t n, size_t max);
/* The capacity for len bytes and the NUL, grown in steps that keep repeated appending cheap. */
size_t tlb_buffer_capacity_for(const struct tlb_buffer *b, size_t len);
/* Enlarges the buffer to that capacity. Returns false without memory. */
bool tlb_buffer_enlarge(struct tlb_buffer *b, size_t capacity);
/* Returns the malloc'd data, which the caller frees, and leaves the buffer empty. */
char *tlb_buffer_detach(struct tlb_buffer *b);
/* Empties the buffer, which keeps its memory. */
void tlb_buffer_clear(struct tlb_buffer *b);
void tlb_buffer_finish(struct tlb_buffer *b);

#endif
