/*
 * Exact book of the memory pieces of one decode endpoint, kept by the owner of the endpoint's
 * shard. Pure functions with a given clock; no allocation.
 *
 * Rule: free pieces = total - booked - strays, where a stray is held at the engine without a
 * booking. A booking is granted when it fits; batch work must also leave batch_reserve pieces free.
 * A booking that is not renewed expires and stays counted as a stray until the engine's list no
 * longer names it. A stray seen for longer than the grace period is to be cancelled.
 *
 * No more than max_requests are booked at once.
 *
 * Reason: a prefill without a place at a decode engine is evicted within a second and has to be
 * computed again, so the place is booked first. Load reports lag by up to seconds, during which
 * eight routers would all book the same free piece; one book can't be overbooked.
 * Each running request lengthens the time between tokens of all: memory alone does not keep an
 * engine with many small requests within the target.
 */
#ifndef TLB_BOOK_H
#define TLB_BOOK_H

#include <apr_ring.h>
#include <stdbool.h>

#include "clock.h"
#include "ident.h"
#include "queue.h"

enum { TLB_BOOK_STRAYS = 64 }; /* an engine's memory holds about 20 requests */

/* One booking; owned by the caller, who embeds or allocates it. In the book from a successful
 * tlb_book_add() or tlb_book_adopt() until release, expire or pop returns it. */
struct tlb_booking {
	APR_RING_ENTRY(tlb_booking) link;
	char request_id[TLB_REQUEST_ID_LEN];
	char owner[TLB_OWNER_LEN];
	int pieces;
	enum tlb_class class;
	tlb_time expires;
	int64_t resume_tokens;	 /* prompt plus output: what a resumption prefills again, at most */
	tlb_time urgent_at;	 /* batch: is not preempted from then on */
	tlb_time preemptible_at; /* TLB_NEVER: not asked to give way */
	tlb_time yields_until;	 /* asked to give way: its pieces count as coming free until then */
};

APR_RING_HEAD(tlb_booking_ring, tlb_booking);

/* Memory held at the engine without a booking, or about to be cancelled. */
struct tlb_stray {
	char request_id[TLB_REQUEST_ID_LEN];
	int pieces;
	tlb_time first_seen;
	bool listed; /* named by the engine's latest list */
};

/* Caller-owned; holds bookings but does not own them. */
struct tlb_book {
	struct tlb_booking_ring bookings;
	int total_pieces;
	int booked_pieces;
	int booking_count;
	int batch_reserve; /* pieces that batch work leaves free */
	int max_requests;  /* bookings at once; 0, as init sets it: no limit */
	tlb_time grace;	   /* a length of time: how long a stray may live */
	bool granting;	   /* false until the engine's list has been seen */
	/* Pieces that come free are kept for this request; none when claim_pieces is 0. */
	char claim_id[TLB_REQUEST_ID_LEN];
	int claim_pieces;
	tlb_time claim_expires;
	struct tlb_stray *strays; /* TLB_BOOK_STRAYS of them, the caller's; NULL: none kept */
	/* Preemptions are paid from credit: each granted booking earns 1, each costs preempt_cost.
	 */
	int preempt_cost; /* 0, as init sets it: no preemption */
	int preempt_credit;
	int stray_count;
};

/* One entry of the engine's held list; filled by the caller but for cancel. */
struct tlb_held {
	char request_id[TLB_REQUEST_ID_LEN];
	char owner[TLB_OWNER_LEN];
	int pieces;
	bool cancel; /* set by tlb_book_reconcile() */
};

enum tlb_book_result {
	TLB_BOOK_OK,
	TLB_BOOK_FULL,	       /* does not fit now */
	TLB_BOOK_RESERVED,     /* would fit, but batch work must leave room */
	TLB_BOOK_NOT_GRANTING, /* a new owner has not seen the engine's list */
	TLB_BOOK_DUPLICATE,    /* the request id is booked by another owner */
	TLB_BOOK_YIELDING,     /* does not fit yet: batch work gives way to this request */
	TLB_BOOK_TOO_BIG,      /* more than the endpoint has, or not positive */
};

/* strays has room for TLB_BOOK_STRAYS and is borrowed. A daemon that doesn't own the endpoint's
 * shard passes NULL: they are most of a book's memory. */
void tlb_book_init(struct tlb_book *b, struct tlb_stray *strays, int total_pieces,
		   int batch_reserve, tlb_time grace);

/* The row changed; bookings stay even when they no longer fit. */
void tlb_book_resize(struct tlb_book *b, int total_pieces, int batch_reserve);

/* Keeps what is free and comes free for one interactive request that found the book full, until it
 * books or expires passes. Repeating the claim extends it. Returns false while another request has
 * the claim. Without claims a request for many pieces starves, because small ones take every piece
 * as it comes free. */
bool tlb_book_claim(struct tlb_book *b, const char *request_id, int pieces, tlb_time expires);

/* Chooses running batch bookings that give way to an interactive request that found the book full,
 * marks them as yielding and claims their pieces for the request. Chosen first are those whose
 * resumption wastes least, and only as many as the request needs beside what is free and what
 * yields already. Writes them to victims and returns their number. Returns 0 with *claimed set when
 * enough yields already, and without it when another request has the claim, too little may be
 * preempted, or the credit is used up. */
int tlb_book_preempt(struct tlb_book *b, const char *request_id, int pieces, tlb_time now,
		     tlb_time expires, struct tlb_booking **victims, int max, bool *claimed);

/* Adds *k if it may be granted. Repeating a booking of the same request and owner renews the one in
 * the book and returns TLB_BOOK_OK; *k then is not in the book: check tlb_book_find() == k. */
enum tlb_book_result tlb_book_add(struct tlb_book *b, struct tlb_booking *k);

/* Enters a booking that another owner granted, whether it fits or not. Returns false, with *k not
 * in the book, when the request is already booked (it is renewed instead). */
bool tlb_book_adopt(struct tlb_book *b, struct tlb_booking *k);

struct tlb_booking *tlb_book_find(const struct tlb_book *b, const char *request_id);

/* Moves the expiry deadline. Returns false when the booking is unknown or owned by another: the
 * caller adopts it (new owner) or tells the VM to stop. */
bool tlb_book_renew(struct tlb_book *b, const char *request_id, const char *owner,
		    tlb_time expires);

/* Takes a booking out and returns it, or NULL when it is unknown or owned by another. The pieces
 * are free at once: release follows the end of the stream or the answer to the cancel. */
struct tlb_booking *tlb_book_release(struct tlb_book *b, const char *request_id, const char *owner);

/* Takes out the next booking that expired by now, or returns NULL; ends an expired claim. Its
 * pieces stay counted as a stray; the caller cancels the request at the engine. */
struct tlb_booking *tlb_book_expire(struct tlb_book *b, tlb_time now);

/* The engine confirmed a cancel: the stray's pieces are free. Harmless for unknown ids. */
void tlb_book_cancelled(struct tlb_book *b, const char *request_id);

/* Takes out any booking, for hand-over and finish; NULL when the book is empty. */
struct tlb_booking *tlb_book_pop(struct tlb_book *b);

/* Compares with the engine's complete held list as of now, which starts granting. Sets cancel on
 * the entries that have been strays for longer than the grace period and returns their number. */
int tlb_book_reconcile(struct tlb_book *b, struct tlb_held *held, int count, tlb_time now);

/* Pieces that an interactive request may book now; never negative, 0 at max_requests. */
int tlb_book_free(const struct tlb_book *b);

/* Earliest expiry deadline in the book, or TLB_NEVER. */
tlb_time tlb_book_next_expiry(const struct tlb_book *b);

const char *tlb_book_result_name(enum tlb_book_result result);

#endif
