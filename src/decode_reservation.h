/*
 * A reservation of KV cache memory for one model request at a decode endpoint, acquired before the
 * prompt is prefilled.
 *
 * Reason: decode endpoints are shared by VMs that don't notify each other of the requests they
 * send. Without a reservation, a prefill is wasted when no decode endpoint has free capacity for
 * the request, and running requests preempt each other.
 */
#ifndef TLB_DECODE_RESERVATION_H
#define TLB_DECODE_RESERVATION_H

#include "http.h"
#include "request_info.h"
#include "instance.h"

struct tlb_edge_board;

/* How long no reservation is requested from an endpoint that had no free capacity, unless a request
 * of this VM ends there. */
#define TLB_DECODE_FULL_BACKOFF (100 * TLB_MS)

enum tlb_decode_reservation_state {
	TLB_DECODE_RESERVATION_NONE,
	TLB_DECODE_RESERVATION_PENDING,
	TLB_DECODE_RESERVATION_HELD,
};

/* Runs from the event loop or from within tlb_decode_reservation_acquire(). found: a reservation is
 * held. */
typedef void tlb_decode_reservation_done_fn(void *arg, bool found);

/* Embedded in the request; zero-initialised when idle. */
struct tlb_decode_reservation {
	struct tlb_edge_board *board;
	enum tlb_decode_reservation_state state;
	struct tlb_instance *instance; /* instance of the reservation; a reference, or NULL */
	char id[TLB_HANDLE_LEN]; /* reservation id; "" when the endpoint takes no reservations */
	tlb_time sent_at;	 /* when the request for it was sent */
	tlb_time expires_at;	 /* the reservation expires then */
	int64_t tokens;		 /* to reserve */
	int64_t headroom_tokens; /* must be free in addition to tokens, but are not reserved */
	bool probing;		 /* requests tokens + spare, to learn whether that much is free */
	int refusals;		 /* endpoints that refused or failed in this search */
	struct tlb_instance_query query;
	struct tlb_http_call call;
	tlb_decode_reservation_done_fn *on_done;
	void *arg;
};

/* Searches for a decode endpoint that has tokens + spare tokens free, and reserves tokens there
 * (trunk reservation: less important requests leave spare tokens free for others). The strings of
 * *p must stay valid until on_done. */
void tlb_decode_reservation_acquire(struct tlb_decode_reservation *r, struct tlb_edge_board *b,
				    const struct tlb_instance_query *p, int64_t tokens,
				    int64_t spare, tlb_decode_reservation_done_fn *on_done,
				    void *arg);
/* Whether a search is in progress; no other may be started then. */
static inline bool tlb_decode_reservation_is_pending(const struct tlb_decode_reservation *r)
{
	return r->state == TLB_DECODE_RESERVATION_PENDING;
}
/* Whether a reservation is held and has not expired. */
bool tlb_decode_reservation_is_held(const struct tlb_decode_reservation *r, tlb_time now);
/* The request is being sent to the endpoint, which ends the reservation with it. */
void tlb_decode_reservation_consume(struct tlb_decode_reservation *r);
/* Cancels a search, or releases the reservation at the endpoint; no effect when idle. */
void tlb_decode_reservation_release(struct tlb_decode_reservation *r);

#endif
