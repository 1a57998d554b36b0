/*
 * Detects account keys in request data that would be forwarded to an endpoint. Callers sometimes
 * repeat their key in the query or the body; it must not reach an endpoint.
 */
#ifndef TLB_KEYSCAN_H
#define TLB_KEYSCAN_H

#include <stdbool.h>
#include <stddef.h>

#include "table.h"

enum {
	TLB_KEY_MIN_BYTES = 8, /* shortest and longest valid key, in bytes */
	TLB_KEY_MAX_BYTES = 256,
	/* When the caller presented no key, every word that ends within this many bytes of the
	 * data is hashed and looked up. Otherwise, and after that, only words with the prefix of
	 * generated keys are, so that scanning a long prompt stays cheap. */
	TLB_KEYSCAN_FULL_SCAN_BYTES = 65536,
};

/* Prefix of the keys that the command-line tool generates. */
#define TLB_KEY_PREFIX "tlb_"

/* Whether data contains the key that the caller presented ("" for none), or a word whose hash is in
 * the table as that of a granted or withdrawn key. Words are runs of A-Z a-z 0-9 _ - . ~ */
bool tlb_keyscan_contains_key(const struct tlb_table *t, const char *presented, const char *data,
			      size_t len);

#endif
