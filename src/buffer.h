/* A growing, NUL-terminated byte buffer. */
#ifndef TLB_BUFFER_H
#define TLB_BUFFER_H

#include <stdbool.h>
#include <stddef.h>

/* Owns data. Zero-initialised when empty; data is NULL until something was appended. */
struct tlb_buffer {
	char *data;
	size_t len;
	size_t cap;
};

/* Appends n bytes and an end mark behind them. Returns false, with the buffer unchanged, without
 * memory or when the length would pass max. */
bool tlb_buffer_append(struct tlb_buffer *b, const char *bytes, size_t n, size_t max);
/* Hands the bytes over to the caller, who frees them; the buffer is empty then. */
char *tlb_buffer_take(struct tlb_buffer *b);
void tlb_buffer_finish(struct tlb_buffer *b);

#endif
