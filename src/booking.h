/*
 * Decode memory bookings. The owner of an endpoint's shard keeps the exact book; other daemons book
 * by message. A booking lives while its daemon renews it; when it expires the owner cancels the
 * request at the engine, so that no memory stays held for callers or daemons that are gone.
 */
#ifndef TLB_BOOKING_H
#define TLB_BOOKING_H

#include <apr_ring.h>

#include "book.h"
#include "cluster.h"
#include "http.h"

struct tlb_board;
struct tlb_target;
struct tlb_hold;

#define TLB_BOOKING_RENEW (1 * TLB_SECOND) /* how often a daemon looks for bookings to renew */
/* Only bookings granted or renewed longer ago are renewed: most requests end earlier. */
#define TLB_BOOKING_RENEW_AGE (2 * TLB_SECOND)
#define TLB_BOOKING_LAPSE (5 * TLB_SECOND) /* an unrenewed booking ends after this */
#define TLB_BOOKING_CLAIM (500 * TLB_MS)   /* a claim that is not repeated ends after this */
/* A booking may be preempted once it is this old: by then its stream has usually started, and the
 * holder of one that has not goes on. */
#define TLB_PREEMPTIBLE_AGE (1 * TLB_SECOND)
#define TLB_HELD_INTERVAL (2 * TLB_SECOND) /* how often an owner compares with the engine */

/* result is TLB_BOOK_OK or why not; unreachable when the owner did not answer. */
typedef void tlb_hold_done_fn(void *arg, enum tlb_book_result result, bool unreachable);

/* The owner of the book asks the holder to give its place up to an interactive request; the holder
 * may go on instead. */
typedef void tlb_hold_yield_fn(void *arg);

/* What is booked. Strings are copied. */
struct tlb_hold_spec {
	const char *request_id;
	int pieces;
	enum tlb_class class;
	bool claim;	    /* a full endpoint keeps what comes free (tlb_book_claim()) */
	bool preempt;	    /* a full endpoint asks batch work to give way (tlb_book_preempt()) */
	tlb_time urgent_at; /* batch: may be asked to give way until then; 0: never */
	int resume_tokens;  /* prompt plus output so far */
	tlb_time deadline;  /* of the question to the book's owner */
	tlb_hold_done_fn *on_done;
	tlb_hold_yield_fn *on_yield; /* NULL with urgent_at 0 */
	void *arg;
};

enum tlb_hold_state { TLB_HOLD_IDLE, TLB_HOLD_ASKING, TLB_HOLD_HELD };

/* This daemon's side of one booking. Owned by its user and embedded in the user's struct;
 * zero-initialised when idle. */
struct tlb_hold {
	APR_RING_ENTRY(tlb_hold) link;
	struct tlb_board *board;
	enum tlb_hold_state state;
	struct tlb_target *target;
	char request_id[TLB_REQUEST_ID_LEN];
	struct tlb_hold_spec spec; /* request_id points to the copy */
	tlb_time renewed_at;	   /* when the booking or its latest renewal was sent */
	struct tlb_peer_call call;
};

APR_RING_HEAD(tlb_hold_ring, tlb_hold);
APR_RING_HEAD(tlb_cancel_ring, tlb_cancel);
APR_RING_HEAD(tlb_pull_ring, tlb_pull);

/* The engine requests of these daemons are orphans: they are cancelled without a grace period. */
enum { TLB_FENCED_OWNERS = 32 };

/* Owned by the board. */
struct tlb_bookings {
	struct tlb_board *board;
	struct tlb_hold_ring holds;
	struct tlb_cancel_ring cancels;
	struct tlb_pull_ring pulls;		       /* questions to other VMs after a takeover */
	char fenced[TLB_FENCED_OWNERS][TLB_OWNER_LEN]; /* the latest, as engines see them */
	int fenced_next;
	struct tlb_timer renew_timer;
	struct tlb_timer held_timer;
};

void tlb_bookings_init(struct tlb_bookings *b, struct tlb_board *board);
void tlb_bookings_start(struct tlb_bookings *b);
void tlb_bookings_finish(struct tlb_bookings *b);

/* Books pieces at a decode endpoint. Claims and preemptions have to be repeated until the booking
 * is granted. on_done runs at once when this daemon owns the book. */
void tlb_booking_hold(struct tlb_bookings *b, struct tlb_hold *h, struct tlb_target *t,
		      const struct tlb_hold_spec *spec);
/* Ends a booking, or gives up asking; harmless when idle. With cancel the engine may still hold the
 * request: it is cancelled there first, and the pieces are free when the engine has confirmed. */
void tlb_booking_release(struct tlb_hold *h, bool cancel);

/* Cancels a request at an engine, repeated until it is confirmed or a deadline passes. */
void tlb_booking_cancel(struct tlb_bookings *b, struct tlb_target *t, const char *request_id);

/* Shards moved: a book gained without a hand-over grants nothing until the engine and the other VMs
 * have told what they hold. */
void tlb_bookings_shards_changed(struct tlb_bookings *b, tlb_shard_set gained, tlb_shard_set lost);
/* A new link to a VM: renewals sent on the former one may be lost, so what is booked there is
 * renewed with the next ones. */
void tlb_bookings_link_up(struct tlb_bookings *b, const char *vm);
/* A VM is certainly gone: its bookings end now and its requests are cancelled at the engines. */
void tlb_bookings_fenced(struct tlb_bookings *b, const char *vm, uint64_t incarnation);
/* Adds the books of these shards to a hand-over, and takes the ones that a former owner handed
 * over; malloc'd for the cluster to free. */
void tlb_bookings_hand_over(struct tlb_bookings *b, tlb_shard_set shards, Toucan__HandOver *out);
void tlb_bookings_take_over(struct tlb_bookings *b, const Toucan__HandOver *state);
/* Messages from other daemons. */
void tlb_bookings_on_book(struct tlb_bookings *b, const struct tlb_peer_return *from,
			  const Toucan__BookDecode *m);
void tlb_bookings_on_renew(struct tlb_bookings *b, const struct tlb_peer_return *from,
			   const Toucan__RenewBookings *m);
void tlb_bookings_on_release(struct tlb_bookings *b, const struct tlb_peer_return *from,
			     const Toucan__ReleaseBooking *m);
void tlb_bookings_on_preempt(struct tlb_bookings *b, const struct tlb_peer_return *from,
			     const Toucan__Preempt *m);
void tlb_bookings_on_pull(struct tlb_bookings *b, const struct tlb_peer_return *from,
			  const Toucan__BookingsPull *m);

#endif
