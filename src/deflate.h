/* Compression of values that are sent to other VMs, in zlib format. */
#ifndef TLB_DEFLATE_H
#define TLB_DEFLATE_H

#include <stddef.h>

/* Returns the compressed bytes, malloc'd, and sets *out_len; NULL when they are not smaller or
 * there is no memory. */
unsigned char *tlb_deflate(const void *data, size_t len, size_t *out_len);
/* Returns the original bytes, malloc'd, which must be exactly out_len > 0; NULL when the input is
 * damaged, has another size, or there is no memory. */
unsigned char *tlb_inflate(const void *data, size_t len, size_t out_len);

#endif
