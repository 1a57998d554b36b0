/*
 * Idempotency records in the table service. Before a non-idempotent call is dispatched, its key is
 * claimed by a conditional insert, which succeeds for one VM only. The response is added to the
 * record later and returned to repeats.
 * Row: "idem/<account>/<SHA-256 of account and Idempotency-Key>". The hash is also sent to
 * endpoints as Idempotency-Key, so that equal keys of two accounts differ there.
 */
#ifndef TLB_IDEM_H
#define TLB_IDEM_H

#include "store.h"
#include "table.h"

enum tlb_idem_result {
	TLB_IDEM_CLAIMED,     /* claimed by this operation, which dispatches the call once */
	TLB_IDEM_RECORDED,    /* completed before: the recorded response is returned */
	TLB_IDEM_NOT_STORED,  /* completed before, but the response body was not recorded */
	TLB_IDEM_IN_PROGRESS, /* claimed before, no response recorded: outcome unknown */
	TLB_IDEM_MISMATCH,    /* the key was used for a different request */
	TLB_IDEM_UNAVAILABLE, /* claim not confirmed: the call must not be dispatched */
};

/* A recorded response; pointers are borrowed for the duration of the callback. */
struct tlb_idem_record {
	int status;
	const char *content_type;
	const char *body;
	size_t body_len;
};

/* Reports the result of a claim; record is NULL except for TLB_IDEM_RECORDED and
 * TLB_IDEM_NOT_STORED. */
typedef void tlb_idem_done_fn(void *arg, enum tlb_idem_result result,
			      const struct tlb_idem_record *record);
/* Reports whether the response was recorded or the claim withdrawn before the deadline. */
typedef void tlb_idem_recorded_fn(void *arg, bool recorded);

/* Largest response body that is recorded, in bytes; a row of the table service has to hold it. */
enum { TLB_IDEM_BODY_MAX = 65536 };

enum { TLB_IDEM_ROW_LEN = 160, TLB_IDEM_CLAIM_LEN = 40, TLB_IDEM_HASH_LEN = 65 };

/* The claim of one call. Owned by its user, embedded in the user's struct; zero-initialised when
 * idle. */
struct tlb_idem {
	struct tlb_store *store;
	struct tlb_store_op op;
	char row[TLB_IDEM_ROW_LEN];
	char claim_nonce[TLB_IDEM_CLAIM_LEN]; /* random id, to recognise this claim in the row */
	char request_hash[TLB_IDEM_HASH_LEN];
	char vm[TLB_ID_LEN];
	int64_t version; /* of the claimed row */
	int attempts;
	struct tlb_timer timer; /* backoff between attempts to record */
	int record_attempts;
	tlb_time deadline;
	json_t *response; /* to be recorded; NULL to withdraw the claim */
	tlb_idem_done_fn *on_done;
	tlb_idem_recorded_fn *on_recorded;
	void *arg;
};

/* Claims an account's key for a request (method, target: path and query, body). on_done runs from
 * the event loop. */
void tlb_idem_claim(struct tlb_idem *i, struct tlb_store *s, const char *account, const char *key,
		    const char *vm, const char *method, const char *target, const char *body,
		    size_t body_len, tlb_time deadline, tlb_idem_done_fn *on_done, void *arg);
/* Records the response of a claimed call; failed attempts are repeated until the deadline. */
void tlb_idem_record(struct tlb_idem *i, const struct tlb_idem_record *r, tlb_time deadline,
		     tlb_idem_recorded_fn *on_recorded, void *arg);
/* Deletes the claim of a call that certainly did not run, so that a repeat can run. */
void tlb_idem_withdraw(struct tlb_idem *i, tlb_time deadline, tlb_idem_recorded_fn *on_recorded,
		       void *arg);
/* Stops without calling a callback; no effect when idle. */
void tlb_idem_cancel(struct tlb_idem *i);

#endif
