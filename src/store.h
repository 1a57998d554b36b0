/*
 * Client of the platform's table service: conditional transactions and reads. Protocol:
 * docs/design.md, section 7. The caller owns an operation; on_done runs once, from the event loop,
 * unless the operation is cancelled.
 */
#ifndef TLB_STORE_H
#define TLB_STORE_H

#include <jansson.h>

#include "http.h"

enum { TLB_STORE_URL_LEN = 320 };

struct tlb_store {
	struct tlb_http *http;
	char url[TLB_STORE_URL_LEN];
	tlb_time last_success; /* when the service last responded; 0 for never */
	bool up;	       /* the service responded to the last operation */
};

enum tlb_store_status {
	TLB_STORE_OK,	     /* transaction applied, or rows read */
	TLB_STORE_CONFLICT,  /* a version check failed; nothing was written */
	TLB_STORE_ABSENT,    /* the requested row does not exist */
	TLB_STORE_REFUSED,   /* proved not applied: 429, 503, or no byte was sent */
	TLB_STORE_UNCERTAIN, /* no usable response: a write may have been applied */
};

/* body is the parsed response, borrowed; meaningful only on OK or CONFLICT, NULL without one. */
typedef void tlb_store_done_fn(void *arg, enum tlb_store_status status, json_t *body,
			       const struct tlb_error *err);

/* Zero-initialise before first use. */
struct tlb_store_op {
	struct tlb_store *store;
	struct tlb_http_call call;
	json_t *expected; /* in the response: an array of written keys, or one key or prefix */
	bool prefix;	  /* expected is a prefix of keys */
	tlb_store_done_fn *on_done;
	void *arg;
};

void tlb_store_init(struct tlb_store *s, struct tlb_http *h, const char *url);

/* Runs a transaction; steals the reference to txn, {"checks":[...],"writes":[...]}. */
void tlb_store_txn(struct tlb_store *s, struct tlb_store_op *op, json_t *txn, tlb_time deadline,
		   tlb_store_done_fn *on_done, void *arg);
/* Reads all rows whose key begins with prefix: {"rows":[{"key","version","value"}]}. */
void tlb_store_rows(struct tlb_store *s, struct tlb_store_op *op, const char *prefix,
		    tlb_time deadline, tlb_store_done_fn *on_done, void *arg);
/* Reads one row: {"key","version","value"}. */
void tlb_store_row(struct tlb_store *s, struct tlb_store_op *op, const char *key, tlb_time deadline,
		   tlb_store_done_fn *on_done, void *arg);
/* Cancels an operation without calling on_done; does nothing when idle. */
void tlb_store_cancel(struct tlb_store_op *op);

/* Build a transaction: tlb_store_check() adds {"key","version"} to "checks", tlb_store_write() adds
 * {"key","value"} to "writes". The reference to value is stolen; NULL deletes the row. */
json_t *tlb_store_txn_new(void);
void tlb_store_check(json_t *txn, const char *key, int64_t version);
void tlb_store_write(json_t *txn, const char *key, json_t *value);

#endif
