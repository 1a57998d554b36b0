/* Rows of the platform's store, as decoded from its responses. */
#ifndef TLB_STORED_ROWS_H
#define TLB_STORED_ROWS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
	TLB_STORED_ROWS_PAGE_MAX = 500, /* most rows in one response */
	TLB_STORED_ROW_KEY_LEN = 201	/* bytes, including the terminating NUL */
};

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
	char last_key[TLB_STORED_ROW_KEY_LEN]; /* of the last row, also when its value can't be
						* read; "" when no key can be read */
};

void tlb_stored_rows_finish(struct tlb_stored_rows *r);

#endif
