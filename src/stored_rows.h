/* Rows of the platform's store, as decoded from its responses. */
#ifndef TLB_STORED_ROWS_H
#define TLB_STORED_ROWS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "stored_key.h"

enum {
	TLB_STORED_ROWS_PAGE_MAX = 500,			/* most rows in one response */
	TLB_STORED_ROW_KEY_LEN = TLB_STORED_KEY_MAX + 1 /* with the terminating NUL */
};

/*
 * Versions in the router's memory contain the era in their high bits, so that they are ordered by
 * era first: a store that was restored from an older copy gives out versions again, in a new era.
 * The store itself, other VMs and logs have the two as separate numbers.
 */
enum { TLB_STORED_VERSION_BITS = 40, TLB_STORED_FIRST_ERA = 1, TLB_STORED_ERA_MAX = (1 << 22) - 1 };

static inline int64_t tlb_stored_version(int64_t era, int64_t number)
{
	return (era << TLB_STORED_VERSION_BITS) + number;
}

static inline int64_t tlb_stored_era(int64_t version)
{
	return version >> TLB_STORED_VERSION_BITS;
}

/* The version as the store knows it. */
static inline int64_t tlb_stored_number(int64_t version)
{
	return version & ((INT64_C(1) << TLB_STORED_VERSION_BITS) - 1);
}

/* A number that does not fit is taken for none, which is before all others. */
static inline int64_t tlb_stored_checked_number(int64_t number)
{
	return number == tlb_stored_number(number) ? number : 0;
}

struct tlb_stored_row {
	char key[TLB_STORED_ROW_KEY_LEN];
	int64_t version;
	bool removed;
	char *value; /* decoded, NUL-terminated; NULL when removed */
	size_t len;
};

/* Owns its rows. */
struct tlb_stored_rows {
	int64_t version; /* the store's latest version at the time of the response */
	int64_t now_ms;	 /* the store's monotonic clock at the time of the response */
	bool more;	 /* there are further rows after the last one */
	int count;
	int unreadable; /* rows that were passed over */
	struct tlb_stored_row *rows;
	/* Where the listing goes on: behind the last row that has a key, also when the row can't be
	 * read. len 0: no row has one. */
	struct tlb_stored_key next;
};

/* Adds the era of the response to the versions that the store has sent. */
void tlb_stored_rows_set_era(struct tlb_stored_rows *r, int64_t era);
void tlb_stored_rows_finish(struct tlb_stored_rows *r);

#endif
