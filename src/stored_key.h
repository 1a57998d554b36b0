/*
 * Where a listing of the platform's store goes on. Keys are texts of any characters, U+0000
 * included, in byte order; other writers' keys may be none that this program can hold.
 */
#ifndef TLB_STORED_KEY_H
#define TLB_STORED_KEY_H

#include <stdbool.h>
#include <stddef.h>

enum { TLB_STORED_KEY_MAX = 200 }; /* bytes of a key */

/* A value type. len 0: before all keys. */
struct tlb_stored_key {
	char text[TLB_STORED_KEY_MAX]; /* valid UTF-8 without a terminating NUL */
	size_t len;
};

/* Sets a key to a text. Returns false, with the key before all others, when it is too long. */
bool tlb_stored_key_set(struct tlb_stored_key *k, const char *text);
/* Byte order: negative, 0 or positive. */
int tlb_stored_key_compare(const struct tlb_stored_key *a, const struct tlb_stored_key *b);
/* Sets *next to the least key of at most TLB_STORED_KEY_MAX bytes behind the one that a JSON string
 * holds; string is its text without the quotes. A character that is none (an unpaired surrogate,
 * bytes that are no UTF-8) and what comes behind it are passed over. Returns false when no key can
 * follow. */
bool tlb_stored_key_after(const char *string, size_t len, struct tlb_stored_key *next);

#endif
