/*
 * Idempotency records in the table service. A non-idempotent call is claimed before it is
 * dispatched; the claim is an insert that only one VM can win. The record then holds the response.
 * Row: "idem/<account>/<SHA-256 of account and Idempotency-Key>". The hash is also what endpoints
 * get as Idempotency-Key, so that the keys of two accounts never meet there.
 */
#ifndef TLB_IDEM_H
#define TLB_IDEM_H

#include "store.h"
#include "table.h"

enum tlb_idem_result {
	TLB_IDEM_CLAIMED,     /* ours to dispatch, once */
	TLB_IDEM_RECORDED,    /* done before: the recorded response is given again */
	TLB_IDEM_NOT_KEPT,    /* done before, but its response was too large to be recorded */
	TLB_IDEM_IN_PROGRESS, /* claimed before, no response recorded: outcome unknown */
	TLB_IDEM_MISMATCH,    /* the key was used with another request */
	TLB_IDEM_UNAVAILABLE, /* the table service can't confirm a claim: nothing may be dispatched
			       */
};

/* A recorded response; pointers are borrowed for the duration of the callback. */
struct tlb_idem_record {
	int status;
	const char *content_type;
	const char *body;
	size_t body_len;
};

typedef void tlb_idem_done_fn(void *arg, enum tlb_idem_result result,
			      const struct tlb_idem_record *record);
typedef void tlb_idem_recorded_fn(void *arg, bool recorded);

/* Largest response body that is recorded, in bytes; a row of the table service holds it. */
enum { TLB_IDEM_BODY_MAX = 65536 };

enum { TLB_IDEM_ROW_LEN = 160, TLB_IDEM_CLAIM_LEN = 40, TLB_IDEM_HASH_LEN = 65 };

/* Owned by its user, embedded in the user's struct; zero-initialised when idle. */
struct tlb_idem {
	struct tlb_store *store;
	struct tlb_store_op op;
	char row[TLB_IDEM_ROW_LEN];
	char claim[TLB_IDEM_CLAIM_LEN]; /* tells our own claim from another's */
	char request_hash[TLB_IDEM_HASH_LEN];
	char vm[TLB_ID_LEN];
	int64_t version; /* of the row once it is ours */
	int attempts;
	struct tlb_timer timer; /* backoff of the recording */
	int record_attempts;
	tlb_time deadline;
	json_t *response; /* to be recorded */
	tlb_idem_done_fn *on_done;
	tlb_idem_recorded_fn *on_recorded;
	void *arg;
};

/* Claims a key for a request (method, path and query, body). on_done runs from the loop. */
void tlb_idem_claim(struct tlb_idem *i, struct tlb_store *s, const char *account, const char *key,
		    const char *vm, const char *method, const char *target, const char *body,
		    size_t body_len, tlb_time deadline, tlb_idem_done_fn *on_done, void *arg);
/* Records the response of a claimed call; repeated until the deadline. */
void tlb_idem_record(struct tlb_idem *i, const struct tlb_idem_record *r, tlb_time deadline,
		     tlb_idem_recorded_fn *on_recorded, void *arg);
/* Withdraws the claim of a call that provably did not run, so that it can be sent again. */
void tlb_idem_withdraw(struct tlb_idem *i, tlb_time deadline, tlb_idem_recorded_fn *on_recorded,
		       void *arg);
/* Ends without a callback; harmless when idle. */
void tlb_idem_cancel(struct tlb_idem *i);

#endif
