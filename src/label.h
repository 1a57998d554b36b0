/*
 * Labels: forms of bounded length for names that others choose, such as accounts, services and
 * request ids. A short name is its own label. A longer one keeps its beginning and ends with a hash
 * of the whole, so that two names have the same label only if they are equal. For the log, for
 * frames between VMs, and as keys.
 */
#ifndef TLB_LABEL_H
#define TLB_LABEL_H

#include <stddef.h>

enum { TLB_LABEL_LEN = 128 };

/* Writes the label of a name to out, a buffer of size bytes, at least TLB_LABEL_MIN. Names of up to
 * size - 2 bytes are short. Returns out. */
char *tlb_label_fit(char *out, size_t size, const char *name);
/* The same for a buffer of TLB_LABEL_LEN bytes. */
char *tlb_label_set(char out[TLB_LABEL_LEN], const char *name);

/* Hexadecimal digits of the hash, and the smallest size of a label. */
enum { TLB_LABEL_HASH_LEN = 40, TLB_LABEL_MIN = TLB_LABEL_HASH_LEN + 3 };

#endif
