/*
 * Limits rate and burst of client accounts across all VMs. The owner of an account's shard keeps
 * the account's token bucket; the other daemons send it messages to reserve tokens. A request for
 * which there are too few tokens waits at the owner until its deadline, in order of arrival for
 * each account. While the owner does not answer, the standby grants from its allowance
 * (delegator.h, standby.h).
 */
#ifndef TLB_LIMIT_H
#define TLB_LIMIT_H

#include <apr_ring.h>

#include "cluster.h"
#include "ident.h"
#include "standby.h"

struct tlb_board;
struct tlb_limit_account;

/* Time without a reply of the owner after which the standby is called too. */
#define TLB_LIMIT_OWNER_TIMEOUT (300 * TLB_MS)
/* How long a request waits until the account's shard has a new owner. A failed owner is replaced
 * within the session lease plus the fence margin plus a heartbeat interval; refusing requests
 * before that would refuse accounts that are within their rate. */
#define TLB_LIMIT_OWNER_WAIT (9 * TLB_SECOND)
struct tlb_reservation;

/* Reports the outcome of a reservation. When not granted, err is set to rate_limited (with
 * retry_after_us), too_large or not_ready. */
typedef void tlb_limit_done_fn(void *arg, bool granted, tlb_time retry_after_us,
			       const struct tlb_error *err);

enum tlb_reservation_state {
	TLB_RESERVATION_IDLE,
	TLB_RESERVATION_WAITING, /* waits for tokens in this daemon's own bucket */
	TLB_RESERVATION_REMOTE,	 /* waits for a reply of the owner, later also of the standby */
	TLB_RESERVATION_RETRY,	 /* waits for a new owner, because none answers */
	TLB_RESERVATION_GRANTED,
};

/* Tokens reserved for one request. Embedded in the user's struct; zero-initialised when idle. */
struct tlb_reservation {
	struct tlb_board *board;
	enum tlb_reservation_state state;
	char account[TLB_ID_LEN];
	char request_id[TLB_REQUEST_ID_LEN];
	char id[TLB_REQUEST_ID_LEN]; /* of the current attempt */
	int64_t tokens;		     /* booked, not yet reconciled */
	tlb_time deadline;	     /* of the wait for tokens */
	tlb_time owner_deadline;     /* of the wait for an owner */
	struct tlb_timer timer;
	int attempt; /* distinguishes an attempt from earlier ones with unknown outcome */
	struct tlb_limit_waiter *waiter;
	struct tlb_peer_call call; /* to the owner */
	struct tlb_peer_call standby_call;
	bool standby_called;
	bool owner_failed; /* its call ended without a usable reply */
	char standby[TLB_ID_LEN];
	char granter[TLB_ID_LEN]; /* VM that holds the grant */
	tlb_limit_done_fn *on_done;
	void *arg;
};

APR_RING_HEAD(tlb_limit_account_ring, tlb_limit_account);

/* Owned by the board. Owns the ledgers and waiters of accounts and the allowances held as standby.
 */
struct tlb_limit {
	struct tlb_board *board;
	struct tlb_limit_account_ring accounts;
	struct tlb_standby standby;
};

void tlb_limit_init(struct tlb_limit *l, struct tlb_board *b);
void tlb_limit_finish(struct tlb_limit *l);
/* Applies changed account rows. */
void tlb_limit_sync(struct tlb_limit *l);

/* Reserves tokens for a request. on_done runs from the loop or, when the outcome is known at once,
 * before this function returns. */
void tlb_limit_reserve(struct tlb_limit *l, struct tlb_reservation *r, const char *account,
		       const char *request_id, int64_t tokens, tlb_time deadline,
		       tlb_limit_done_fn *on_done, void *arg);
/* Reconciles booked tokens of a granted reservation, of which used were used. */
void tlb_limit_reconcile(struct tlb_reservation *r, int64_t booked, int64_t used);
/* Ends a reservation: cancels its wait, or returns all tokens that are still booked. Does nothing
 * when idle. */
void tlb_limit_release(struct tlb_reservation *r);

/* Shards moved to or from this daemon. The buckets of gained shards start empty, unless a hand-over
 * or an open allowance fills them; those of lost shards are freed. */
void tlb_limit_shards_changed(struct tlb_limit *l, tlb_shard_set gained, tlb_shard_set lost);
/* Adds the buckets of these shards to a hand-over message. The strings and arrays are allocated
 * with malloc; the cluster frees them. */
void tlb_limit_export_buckets(struct tlb_limit *l, tlb_shard_set shards, Toucan__HandOver *out);
/* Imports the buckets in a hand-over message of a former owner. */
void tlb_limit_import_buckets(struct tlb_limit *l, const Toucan__HandOver *state);
/* A VM was fenced or has left: its grants count as used. */
void tlb_limit_on_fence(struct tlb_limit *l, const char *vm, uint64_t incarnation);
/* Buckets of the accounts in the shards that this daemon owns, as JSON:
 * [{"account","level","outstanding","waiting"}]. */
json_t *tlb_limit_list(struct tlb_limit *l);
/* Messages from other daemons. */
void tlb_limit_on_reserve(struct tlb_limit *l, const struct tlb_peer_reply_address *from,
			  const Toucan__ReserveTokens *m);
void tlb_limit_on_return(struct tlb_limit *l, const struct tlb_peer_reply_address *from,
			 const Toucan__ReturnTokens *m);

#endif
