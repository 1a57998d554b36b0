/* Percent-encoding of text in URLs (RFC 3986, section 2.1). */
#ifndef TLB_PERCENT_H
#define TLB_PERCENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stddef.h>

/* Writes text to out with every character outside the unreserved set encoded. Returns false, with
 * out empty, when it does not fit. */
bool tlb_percent_encode(const char *text, char *out, size_t size);
/* The same for bytes, which may contain NUL. */
bool tlb_percent_encode_bytes(const char *bytes, size_t len, char *out, size_t size);

#endif
