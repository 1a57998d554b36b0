/*
 * Finds account keys in bytes that would be passed on to an endpoint. Callers sometimes put their
 * key into the query or the body as well; no endpoint may see it.
 */
#ifndef TLB_KEYSCAN_H
#define TLB_KEYSCAN_H

#include <stdbool.h>
#include <stddef.h>

#include "table.h"

enum {
	TLB_KEY_MIN = 8, /* shortest and longest key that is accepted, in bytes */
	TLB_KEY_MAX = 256,
	/* Without a presented key every word up to this many bytes is hashed and looked up. With
	 * one, and beyond, only words that look like a generated key are, so that long prompts stay
	 * cheap. */
	TLB_KEYSCAN_EVERY_WORD = 65536,
};

/* The keys that the command-line tool generates begin with this. */
#define TLB_KEY_PREFIX "tlb_"

/* Whether data contains the presented key ("" for none), or a word whose hash is that of a key in
 * the table, granted or withdrawn. */
bool tlb_keyscan(const struct tlb_table *t, const char *presented, const char *data, size_t len);

#endif
