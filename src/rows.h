/* Rows of the platform's store as its answers carry them. */
#ifndef TLB_ROWS_H
#define TLB_ROWS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum { TLB_ROWS_PAGE = 500, TLB_ROW_KEY_LEN = 201 };

struct tlb_stored_row {
	char key[TLB_ROW_KEY_LEN];
	int64_t version;
	bool removed;
	char *value; /* decoded, NUL-terminated; NULL when removed */
	size_t len;
};

/* Owns its rows. */
struct tlb_rows {
	int64_t version; /* the newest of the store when it answered */
	int64_t now_ms;	 /* the store's steady clock when it answered */
	bool more;	 /* the listing goes on behind the last row */
	int count;
	struct tlb_stored_row *row;
};

void tlb_rows_finish(struct tlb_rows *r);

#endif
