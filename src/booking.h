/*
 * Decode memory bookings across daemons. The owner of an endpoint's shard keeps the endpoint's
 * booking table; other daemons book by message to the owner. A booking is a lease that its daemon
 * renews. When it expires, the owner cancels the request at the engine, so that no memory stays
 * allocated for disconnected callers or failed daemons.
 */
#ifndef TLB_BOOKING_H
#define TLB_BOOKING_H

#include <apr_ring.h>

#include "booking_table.h"
#include "cluster.h"
#include "http.h"

struct tlb_board;
struct tlb_target;
struct tlb_booking_handle;

#define TLB_BOOKING_RENEW_INTERVAL (1 * TLB_SECOND) /* how often a daemon sends due renewals */
/* A booking is renewed when it was granted or last renewed longer ago than this: most requests end
 * earlier and need no renewal. */
#define TLB_BOOKING_RENEW_MIN_AGE (2 * TLB_SECOND)
#define TLB_BOOKING_TTL (5 * TLB_SECOND)     /* lifetime of a booking without a renewal */
#define TLB_BOOKING_CLAIM_TTL (500 * TLB_MS) /* lifetime of a claim that is not repeated */
/* A booking may be preempted from this age on: by then its stream has usually started. The holder
 * ignores the preemption if the stream has not started. */
#define TLB_PREEMPTIBLE_MIN_AGE (1 * TLB_SECOND)
#define TLB_RECONCILE_INTERVAL                                                                     \
	(2 * TLB_SECOND) /* how often an owner reconciles with the held list */

/* result is TLB_BOOKING_OK or the reason for the refusal. unreachable is set when there is no owner
 * or it did not answer. */
typedef void tlb_booking_done_fn(void *arg, enum tlb_booking_result result, bool unreachable);

/* The owner of the booking table requests a preemption for an interactive request; the holder may
 * ignore it. */
typedef void tlb_booking_preempt_fn(void *arg);

/* Parameters of a booking. Strings are copied. */
struct tlb_booking_spec {
	const char *request_id;
	int blocks;
	enum tlb_class class;
	bool claim;   /* when full: reserve freed blocks (tlb_booking_table_claim()) */
	bool preempt; /* when full: preempt batch requests (tlb_booking_table_preempt()) */
	tlb_time preemptible_until; /* batch: may be preempted until then; 0: never */
	int resume_tokens;	    /* prompt plus output so far */
	tlb_time deadline;	    /* for the answer of the shard's owner */
	tlb_booking_done_fn *on_done;
	tlb_booking_preempt_fn *on_preempt; /* NULL with preemptible_until 0 */
	void *arg;
};

enum tlb_booking_handle_state {
	TLB_BOOKING_HANDLE_IDLE,
	TLB_BOOKING_HANDLE_REQUESTED,
	TLB_BOOKING_HANDLE_GRANTED
};

/* Handle of one booking on the daemon that requested it. Owned by its user and embedded in the
 * user's struct; zero-initialised when idle. */
struct tlb_booking_handle {
	APR_RING_ENTRY(tlb_booking_handle) link;
	struct tlb_board *board;
	enum tlb_booking_handle_state state;
	struct tlb_target *target;
	char request_id[TLB_REQUEST_ID_LEN];
	struct tlb_booking_spec spec; /* request_id points to the copy */
	tlb_time renewed_at;	      /* when the booking or its latest renewal was sent */
	struct tlb_peer_call call;
};

APR_RING_HEAD(tlb_booking_handle_ring, tlb_booking_handle);
APR_RING_HEAD(tlb_cancel_ring, tlb_cancel);
APR_RING_HEAD(tlb_pull_ring, tlb_pull);

/* How many fenced daemons are remembered. Their requests at engines are cancelled without a grace
 * period. */
enum { TLB_FENCED_OWNERS = 32 };

/* Owned by the board. */
struct tlb_bookings {
	struct tlb_board *board;
	struct tlb_booking_handle_ring handles;
	struct tlb_cancel_ring cancels;
	struct tlb_pull_ring pulls; /* queries to other VMs after a shard was gained */
	char fenced_owners[TLB_FENCED_OWNERS]
			  [TLB_OWNER_LEN]; /* ring of the latest; "vm/incarnation" */
	int fenced_next;
	struct tlb_timer renew_timer;
	struct tlb_timer reconcile_timer;
};

void tlb_bookings_init(struct tlb_bookings *b, struct tlb_board *board);
void tlb_bookings_start(struct tlb_bookings *b);
void tlb_bookings_finish(struct tlb_bookings *b);

/* Requests a booking at a decode endpoint. Claims and preemptions have to be repeated until the
 * booking is granted. on_done runs before the function returns when this daemon owns the endpoint's
 * shard or no owner is known. */
void tlb_booking_request(struct tlb_bookings *b, struct tlb_booking_handle *h, struct tlb_target *t,
			 const struct tlb_booking_spec *spec);
/* Releases a booking or abandons a pending booking request; no effect when idle. Set cancel when
 * the engine may still hold the request: it is cancelled there first, and the blocks are freed when
 * the engine has confirmed. */
void tlb_booking_release(struct tlb_booking_handle *h, bool cancel);

/* Cancels a request at an engine; retried until the engine confirms it or a deadline passes. */
void tlb_booking_cancel(struct tlb_bookings *b, struct tlb_target *t, const char *request_id);

/* Handles a change of the shards that this daemon owns. The booking table of a gained endpoint
 * grants nothing until the other VMs have reported their bookings (or timed out) and the engine its
 * held list. */
void tlb_bookings_shards_changed(struct tlb_bookings *b, tlb_shard_set gained, tlb_shard_set lost);
/* Handles a new link to a VM: renewals sent on the previous link may be lost, so all bookings at
 * that VM become due for renewal. */
void tlb_bookings_on_link_up(struct tlb_bookings *b, const char *vm);
/* Handles a VM that has been fenced: its bookings expire now, and its requests are cancelled at the
 * engines. */
void tlb_bookings_on_fence(struct tlb_bookings *b, const char *vm, uint64_t incarnation);
/* Hand-over of shards: the former owner adds the bookings of these shards to out (malloc'd, freed
 * by the cluster), the new owner adopts them from state. */
void tlb_bookings_export(struct tlb_bookings *b, tlb_shard_set shards, Toucan__HandOver *out);
void tlb_bookings_import(struct tlb_bookings *b, const Toucan__HandOver *state);
/* Messages from other daemons. */
void tlb_bookings_on_book(struct tlb_bookings *b, const struct tlb_peer_reply_address *from,
			  const Toucan__BookDecode *m);
void tlb_bookings_on_renew(struct tlb_bookings *b, const struct tlb_peer_reply_address *from,
			   const Toucan__RenewBookings *m);
void tlb_bookings_on_release(struct tlb_bookings *b, const struct tlb_peer_reply_address *from,
			     const Toucan__ReleaseBooking *m);
void tlb_bookings_on_preempt(struct tlb_bookings *b, const struct tlb_peer_reply_address *from,
			     const Toucan__Preempt *m);
void tlb_bookings_on_pull(struct tlb_bookings *b, const struct tlb_peer_reply_address *from,
			  const Toucan__BookingsPull *m);

#endif
