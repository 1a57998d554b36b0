/*
 * Client of the row store of the users' platform: lists rows, follows changes and writes rows
 * conditionally. The caller owns an operation; on_done runs once, from the event loop, unless the
 * operation is cancelled.
 */
#ifndef TLB_ROWSTORE_H
#define TLB_ROWSTORE_H

#include <apr_ring.h>

#include "http.h"
#include "rowreader.h"
#include "stored_rows.h"

/* Time allowed for a response beyond the wait that the store was asked for. */
#define TLB_ROWSTORE_RESPONSE_MARGIN (1000 * TLB_MS)
/* Connect timeout; about a hundred round trips between zones. */
#define TLB_ROWSTORE_CONNECT_TIMEOUT (500 * TLB_MS)

/* Called when the store has returned from an older copy: rows may be gone or older than before.
 * Owned by its user. */
struct tlb_rowstore_observer {
	APR_RING_ENTRY(tlb_rowstore_observer) link;
	void (*on_new_era)(void *arg);
	void *arg;
};

APR_RING_HEAD(tlb_rowstore_observer_ring, tlb_rowstore_observer);

/* A store that returns from an older copy loses its latest rows and gives out their versions again,
 * in a new era. Responses of an era before the latest one known are not used. */
struct tlb_rowstore {
	struct tlb_http *http;
	char addr[TLB_PEER_LEN]; /* "host:port" */
	int64_t calls;		 /* calls started; the platform charges for each one */
	int64_t era;		 /* latest one known */
	bool era_known;
	/* When this VM learned of the era; 0: the store has never returned from a copy. */
	tlb_time era_began_at;
	struct tlb_rowstore_observer_ring observers;
};

enum tlb_rowstore_status {
	TLB_ROWS_OK,
	TLB_ROWS_CONFLICT,  /* the row has another version than expected; nothing written */
	TLB_ROWS_EXPIRED,   /* the change history no longer contains the requested version */
	TLB_ROWS_REFUSED,   /* proved not applied: 429, 503, or nothing was sent */
	TLB_ROWS_UNCERTAIN, /* no usable response: a write may be applied, now or later */
};

/* rows is borrowed, its versions contain the era; it is empty unless status is OK, or CONFLICT,
 * when it holds the current row. reason is "" on OK. */
typedef void tlb_rowstore_done_fn(void *arg, enum tlb_rowstore_status status,
				  const struct tlb_stored_rows *rows, const char *reason);

/* Zero-initialise before first use. */
struct tlb_rowstore_op {
	struct tlb_rowstore *store;
	struct tlb_http_call call;
	struct tlb_rowreader reader; /* of the answer in progress */
	tlb_rowstore_done_fn *on_done;
	void *arg;
};

void tlb_rowstore_init(struct tlb_rowstore *s, struct tlb_http *http, const char *addr);
void tlb_rowstore_observe(struct tlb_rowstore *s, struct tlb_rowstore_observer *o);
void tlb_rowstore_unobserve(struct tlb_rowstore_observer *o);
/* Another VM knows of this era. Calls the observers if it is a new one. */
void tlb_rowstore_note_era(struct tlb_rowstore *s, int64_t era);
/* Lists rows of a table in key order, starting at key `from`; at most TLB_STORED_ROWS_PAGE_MAX
 * rows. */
void tlb_rowstore_list(struct tlb_rowstore *s, struct tlb_rowstore_op *op, const char *table,
		       const struct tlb_stored_key *from, tlb_rowstore_done_fn *on_done, void *arg);
/* Lists the rows from the begin of a table. */
void tlb_rowstore_list_first(struct tlb_rowstore *s, struct tlb_rowstore_op *op, const char *table,
			     tlb_rowstore_done_fn *on_done, void *arg);
/* Long poll for rows that changed after version `after`; the store delays its response until a row
 * changes, for up to wait_ms. */
void tlb_rowstore_follow(struct tlb_rowstore *s, struct tlb_rowstore_op *op, const char *table,
			 int64_t after, int wait_ms, tlb_rowstore_done_fn *on_done, void *arg);
/* Writes one row, or removes it when value is NULL. expected_version: the version that the row must
 * have, 0 when it must not exist, -1 for any (as tlb_platform_write_body()). A version of an
 * earlier era never matches, unless the new era is not known yet. */
void tlb_rowstore_write(struct tlb_rowstore *s, struct tlb_rowstore_op *op, const char *table,
			const char *key, int64_t expected_version, const char *value,
			tlb_rowstore_done_fn *on_done, void *arg);
/* Cancels an operation without calling on_done; does nothing when idle. */
void tlb_rowstore_cancel(struct tlb_rowstore_op *op);

#endif
