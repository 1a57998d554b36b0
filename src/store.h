/*
 * Client of the platform's table service: conditional transactions and reads. Protocol:
 * docs/design.md, section 7. Each operation is owned by its user; on_done runs once, from the loop.
 */
#ifndef TLB_STORE_H
#define TLB_STORE_H

#include <jansson.h>

#include "http.h"

enum { TLB_STORE_URL_LEN = 320 };

struct tlb_store {
	struct tlb_http *http;
	char url[TLB_STORE_URL_LEN];
	tlb_time last_success; /* when the last answer came; 0 for never */
	bool up;	       /* the last operation was answered */
};

enum tlb_store_status {
	TLB_STORE_OK,	     /* applied, or rows read */
	TLB_STORE_CONFLICT,  /* a check failed; nothing was written */
	TLB_STORE_ABSENT,    /* the row read does not exist */
	TLB_STORE_REFUSED,   /* proved not applied: 429, 503, or no byte was sent */
	TLB_STORE_UNCERTAIN, /* no answer: a write may have taken effect */
};

/* body is the parsed answer, borrowed; NULL unless OK or CONFLICT. */
typedef void tlb_store_done_fn(void *arg, enum tlb_store_status status, json_t *body,
			       const struct tlb_error *err);

/* Zero-initialised when idle. */
struct tlb_store_op {
	struct tlb_store *store;
	struct tlb_http_call call;
	json_t *expected; /* keys that the answer must name: an array, or the one key or prefix */
	bool prefix;
	tlb_store_done_fn *on_done;
	void *arg;
};

void tlb_store_init(struct tlb_store *s, struct tlb_http *h, const char *url);

/* A transaction; steals the reference to txn, {"checks":[...],"writes":[...]}. */
void tlb_store_txn(struct tlb_store *s, struct tlb_store_op *op, json_t *txn, tlb_time deadline,
		   tlb_store_done_fn *on_done, void *arg);
/* All rows whose key begins with prefix: {"rows":[{"key","version","value"}]}. */
void tlb_store_rows(struct tlb_store *s, struct tlb_store_op *op, const char *prefix,
		    tlb_time deadline, tlb_store_done_fn *on_done, void *arg);
/* One row: {"key","version","value"}. */
void tlb_store_row(struct tlb_store *s, struct tlb_store_op *op, const char *key, tlb_time deadline,
		   tlb_store_done_fn *on_done, void *arg);
/* Ends an operation without on_done; harmless when idle. */
void tlb_store_cancel(struct tlb_store_op *op);

/* Builders: add {"key","version"} to "checks" and {"key","value"} to "writes"; value is stolen and
 * NULL deletes the row. */
json_t *tlb_store_txn_new(void);
void tlb_store_check(json_t *txn, const char *key, int64_t version);
void tlb_store_write(json_t *txn, const char *key, json_t *value);

#endif
