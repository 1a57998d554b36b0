/*
 * Booking table of one decode endpoint: which request has booked how many KV blocks of its memory.
 * The owner of the endpoint's shard keeps the authoritative table. Pure functions that get the
 * current time as an argument; no allocation.
 *
 * Free blocks = total - booked - orphaned. An orphan is a request that holds memory at the engine
 * without a booking. A booking is granted when it fits; a batch request must also leave
 * batch_reserve blocks free. A booking that is not renewed expires, and its blocks count as an
 * orphan until the engine's held list no longer contains the request. Orphans older than the grace
 * period are to be cancelled. No booking is granted while bookings and orphans together reach
 * max_requests.
 *
 * Why memory is booked before the prefill: a prefilled KV cache without decode memory is evicted
 * within a second and has to be computed again. Load reports lag by up to seconds, during which
 * eight routers would all book the same free block; a single table can't be overbooked.
 *
 * Why the number of requests is limited too: each running request increases the time between tokens
 * of all others, so many small requests would miss the target although memory is free.
 */
#ifndef TLB_BOOKING_TABLE_H
#define TLB_BOOKING_TABLE_H

#include <apr_ring.h>
#include <stdbool.h>

#include "clock.h"
#include "ident.h"
#include "queue.h"

enum {
	TLB_BOOKING_MAX_ORPHANS = 64,  /* per table; an engine's memory holds about 20 requests */
	TLB_SAVED_PREEMPTIONS_MAX = 24 /* limit of a table's credit for preemptions */
};

/* One booking; owned by the caller, who embeds or allocates it. Linked into the table from a
 * successful tlb_booking_table_add() or tlb_booking_table_adopt() until release, expire or pop
 * returns it. */
struct tlb_booking {
	APR_RING_ENTRY(tlb_booking) link;
	char request_id[TLB_REQUEST_ID_LEN];
	char owner[TLB_OWNER_LEN];
	int blocks;
	enum tlb_class class;
	tlb_time expires;
	int64_t resume_tokens; /* prompt plus output: the most that a resumption prefills again */
	tlb_time preemptible_until; /* batch: end of the time in which it may be preempted */
	tlb_time preemptible_from;  /* start of that time; TLB_NEVER: never preempted */
	tlb_time preempting_until; /* preemption requested: its blocks count as about to be freed */
};

APR_RING_HEAD(tlb_booking_ring, tlb_booking);

/* An orphan: a request that holds memory at the engine without a booking or after its booking
 * expired. */
struct tlb_orphan {
	char request_id[TLB_REQUEST_ID_LEN];
	int blocks;
	tlb_time first_seen;
	bool listed; /* contained in the engine's latest held list */
};

/* Booking table; caller-owned. Links bookings but does not own them. */
struct tlb_booking_table {
	struct tlb_booking_ring bookings;
	int total_blocks;
	int booked_blocks;
	int booking_count;
	int batch_reserve;     /* blocks that batch requests leave free */
	int max_requests;      /* concurrent bookings; 0 (set by init): no limit */
	tlb_time orphan_grace; /* duration: orphans older than this are cancelled */
	bool granting;	       /* false until the first reconciliation with the engine's list */
	/* Claim: freed blocks are kept for this request. No claim when claim_pieces is 0. */
	char claim_id[TLB_REQUEST_ID_LEN];
	int claim_blocks;
	tlb_time claim_expires;
	struct tlb_orphan
		*orphans; /* array of TLB_BOOKING_MAX_ORPHANS, borrowed; NULL: not recorded */
	/* Limits preemptions: a granted booking adds 1 credit, a preemption uses preempt_cost. */
	int preempt_cost; /* 0 (set by init): no preemption */
	int preempt_credit;
	int orphan_count;
};

/* One entry of the engine's held list (GET /held); the caller fills all fields but cancel. */
struct tlb_held_request {
	char request_id[TLB_REQUEST_ID_LEN];
	char owner[TLB_OWNER_LEN];
	int blocks;
	bool cancel; /* set by tlb_booking_table_reconcile() */
};

enum tlb_booking_result {
	TLB_BOOKING_OK,
	TLB_BOOKING_FULL,	  /* does not fit now */
	TLB_BOOKING_RESERVED,	  /* batch: would fit, but not leave batch_reserve free */
	TLB_BOOKING_NOT_GRANTING, /* not reconciled with the engine's held list yet */
	TLB_BOOKING_DUPLICATE,	  /* the request id is booked by another owner */
	TLB_BOOKING_PREEMPTING,	  /* does not fit yet: batch requests are being preempted for it */
	TLB_BOOKING_TOO_BIG,	  /* more blocks than the endpoint has, or not positive */
};

/* strays is a borrowed array of TLB_BOOKING_MAX_ORPHANS entries. A daemon that doesn't own the
 * endpoint's shard passes NULL, because the array is most of a table's memory. */
void tlb_booking_table_init(struct tlb_booking_table *b, struct tlb_orphan *strays,
			    int total_blocks, int batch_reserve, tlb_time grace);

/* Applies a changed endpoint row; bookings stay even when they no longer fit. */
void tlb_booking_table_resize(struct tlb_booking_table *b, int total_blocks, int batch_reserve);

/* Keeps all free and freed blocks for one interactive request that did not fit, until it is granted
 * a booking or the claim expires. Repeating the claim extends it. Returns false while another
 * request has the claim. Without claims a request for many blocks starves, because small ones book
 * every block as it is freed. */
bool tlb_booking_table_claim(struct tlb_booking_table *b, const char *request_id, int blocks,
			     tlb_time expires);

/* Chooses running batch bookings to preempt for an interactive request that did not fit, marks them
 * as being preempted and claims their blocks for the request. Those that were not asked before come
 * first, then those with the fewest tokens to prefill again, and only as many are chosen as the
 * request needs in addition to the blocks that are free or already being preempted. Writes them to
 * victims (at most max) and returns their number. Returns 0 with *claimed set when the pending
 * preemptions suffice, and 0 without it when another request has the claim, not enough may be
 * preempted, or the credit is used up. */
int tlb_booking_table_preempt(struct tlb_booking_table *b, const char *request_id, int blocks,
			      tlb_time now, tlb_time expires, struct tlb_booking **victims, int max,
			      bool *claimed);

/* Sets the credit for preemptions, within its limits, of a table that this daemon takes over. */
void tlb_booking_table_set_credit(struct tlb_booking_table *b, int64_t credit);

/* Adds *k if it may be granted. When the same owner has booked the request already, that booking is
 * renewed and TLB_BOOKING_OK returned, but *k is not added: check tlb_booking_table_find() == k. */
enum tlb_booking_result tlb_booking_table_add(struct tlb_booking_table *b, struct tlb_booking *k);

/* Adds a booking that a former owner of the shard granted, even if it does not fit. When the
 * request is booked already, renews that booking and returns false; *k is not added. */
bool tlb_booking_table_adopt(struct tlb_booking_table *b, struct tlb_booking *k);

struct tlb_booking *tlb_booking_table_find(const struct tlb_booking_table *b,
					   const char *request_id);

/* Extends the expiry time, never shortens it. Returns false when the booking is unknown or has
 * another owner. */
bool tlb_booking_table_renew(struct tlb_booking_table *b, const char *request_id, const char *owner,
			     tlb_time expires);

/* Removes a booking and returns it, or NULL when it is unknown or has another owner. Its blocks are
 * free immediately, so call this only after the stream ended or the engine confirmed the cancel. */
struct tlb_booking *tlb_booking_table_release(struct tlb_booking_table *b, const char *request_id,
					      const char *owner);

/* Removes and returns one booking that has expired by now, or returns NULL; also ends an expired
 * claim. The booking's blocks stay counted as an orphan; the caller cancels the request at the
 * engine. */
struct tlb_booking *tlb_booking_table_pop_expired(struct tlb_booking_table *b, tlb_time now);

/* Removes the orphan whose cancel the engine confirmed. No effect for unknown ids. */
void tlb_booking_table_cancel_confirmed(struct tlb_booking_table *b, const char *request_id);

/* Removes and returns any booking, to empty the table; NULL when it is empty. */
struct tlb_booking *tlb_booking_table_pop(struct tlb_booking_table *b);

/* Updates the orphans from the engine's complete held list as of now; after the first call the
 * table grants bookings. Sets cancel on the entries that have been orphans for longer than the
 * grace period and returns their number. */
int tlb_booking_table_reconcile(struct tlb_booking_table *b, struct tlb_held_request *held,
				int count, tlb_time now);

/* Blocks that an interactive request may book now; never negative, 0 at max_requests. */
int tlb_booking_table_free_blocks(const struct tlb_booking_table *b);

/* Earliest expiry time of all bookings, or TLB_NEVER. */
tlb_time tlb_booking_table_next_expiry(const struct tlb_booking_table *b);

const char *tlb_booking_result_name(enum tlb_booking_result result);

#endif
