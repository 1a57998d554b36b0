/* Characters in UTF-8. Surrogates are encoded like other characters. */
#ifndef TLB_UTF8_H
#define TLB_UTF8_H

#include <stddef.h>
#include <stdint.h>

enum { TLB_UTF8_CHARACTER_MAX = 0x10FFFF, TLB_UTF8_BYTES_MAX = 4 };

/* Writes a character of up to TLB_UTF8_CHARACTER_MAX; returns its length. */
size_t tlb_utf8_encode(int32_t c, unsigned char *out);
/* Reads the character that begins at p. Returns its length, or 0 when the bytes are none. */
size_t tlb_utf8_decode(const unsigned char *p, size_t left, int32_t *c);

#endif
