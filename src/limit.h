/*
 * Rate and burst of client accounts across all VMs. The owner of an account's shard keeps its token
 * bucket; other daemons reserve there by message. A request that finds too few tokens waits at the
 * owner, first in, first out for each account, until its deadline. While the owner is silent, the
 * standby grants from its part (split.h, standby.h).
 */
#ifndef TLB_LIMIT_H
#define TLB_LIMIT_H

#include <apr_ring.h>

#include "cluster.h"
#include "ident.h"
#include "standby.h"

struct tlb_board;
struct tlb_limit_account;

/* Silence of the owner after which the standby is asked. */
#define TLB_LIMIT_OWNER_SILENT (300 * TLB_MS)
/* How long a request waits for an account's shard to get a new owner. A dead owner is replaced
 * within the session lease, the fence margin and a heartbeat; refusing requests meanwhile would
 * refuse accounts that are within their rate. */
#define TLB_LIMIT_OWNER_WAIT (9 * TLB_SECOND)
struct tlb_reservation;

/* granted, or err says why not: rate_limited (retry_after_us is set), not_ready. */
typedef void tlb_limit_done_fn(void *arg, bool granted, tlb_time retry_after_us,
			       const struct tlb_error *err);

enum tlb_reservation_state {
	TLB_RESERVATION_IDLE,
	TLB_RESERVATION_WAITING, /* at this daemon's own bucket */
	TLB_RESERVATION_REMOTE,	 /* asked the owner, and later the standby */
	TLB_RESERVATION_RETRY,	 /* no owner answers: waits for a takeover */
	TLB_RESERVATION_GRANTED,
};

/* Owned by its user, embedded in the user's struct; zero-initialised when idle. */
struct tlb_reservation {
	struct tlb_board *board;
	enum tlb_reservation_state state;
	char account[TLB_ID_LEN];
	char request_id[TLB_REQUEST_ID_LEN];
	char id[TLB_REQUEST_ID_LEN]; /* of this attempt */
	int64_t tokens;		     /* booked and not yet settled */
	tlb_time deadline;	     /* of the wait for tokens */
	tlb_time owner_deadline;     /* of the wait for an owner */
	struct tlb_timer timer;
	int attempt; /* keeps an attempt apart from earlier ones whose fate is unknown */
	struct tlb_limit_waiter *waiter;
	struct tlb_peer_call call; /* to the owner */
	struct tlb_peer_call standby_call;
	bool standby_asked;
	bool owner_failed; /* its call has ended without a reply to count on */
	char standby[TLB_ID_LEN];
	char granter[TLB_ID_LEN]; /* that holds the grant */
	tlb_limit_done_fn *on_done;
	void *arg;
};

APR_RING_HEAD(tlb_limit_account_ring, tlb_limit_account);

/* Owned by the board; owns the accounts' ledgers and waiters, and the parts held as standby. */
struct tlb_limit {
	struct tlb_board *board;
	struct tlb_limit_account_ring accounts;
	struct tlb_standby standby;
};

void tlb_limit_init(struct tlb_limit *l, struct tlb_board *b);
void tlb_limit_finish(struct tlb_limit *l);
/* Applies changed account rows. */
void tlb_limit_sync(struct tlb_limit *l);

/* Reserves tokens for a request; on_done runs from the loop or, when the tokens are there, at once.
 */
void tlb_limit_reserve(struct tlb_limit *l, struct tlb_reservation *r, const char *account,
		       const char *request_id, int64_t tokens, tlb_time deadline,
		       tlb_limit_done_fn *on_done, void *arg);
/* Settles part of a granted reservation: booked tokens end, of which used were used. */
void tlb_limit_settle(struct tlb_reservation *r, int64_t booked, int64_t used);
/* Ends a reservation: gives up waiting, or returns all that is still booked. Harmless when idle. */
void tlb_limit_release(struct tlb_reservation *r);

/* Shards moved here or away: buckets gained without a hand-over start empty, lost ones end. */
void tlb_limit_shards_changed(struct tlb_limit *l, tlb_shard_set gained, tlb_shard_set lost);
/* Adds the buckets of these shards to a hand-over; strings and arrays are malloc'd for the cluster
 * to free. */
void tlb_limit_hand_over(struct tlb_limit *l, tlb_shard_set shards, Toucan__HandOver *out);
/* Takes buckets that a former owner handed over. */
void tlb_limit_take_over(struct tlb_limit *l, const Toucan__HandOver *state);
/* A VM is gone: what it had booked counts as used. */
void tlb_limit_fenced(struct tlb_limit *l, const char *vm, uint64_t incarnation);
/* Buckets of the accounts that this daemon accounts for, as JSON:
 * [{"account","level","outstanding","waiting"}]. */
json_t *tlb_limit_list(struct tlb_limit *l);
/* Messages from other daemons. */
void tlb_limit_on_reserve(struct tlb_limit *l, const struct tlb_peer_return *from,
			  const Toucan__ReserveTokens *m);
void tlb_limit_on_return(struct tlb_limit *l, const struct tlb_peer_return *from,
			 const Toucan__ReturnTokens *m);

#endif
