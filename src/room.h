/*
 * Room for one model request at a decode endpoint, reserved there before the prompt is prefilled.
 *
 * Reason: decode endpoints are shared by VMs that don't tell each other what they send. Without a
 * reservation a prompt is prefilled for nothing when no endpoint has room for it, and running
 * requests are preempted by each other.
 */
#ifndef TLB_ROOM_H
#define TLB_ROOM_H

#include "http.h"
#include "inbound.h"
#include "instance.h"

struct tlb_edge_board;

/* How long an endpoint that had no room is not asked again, unless a request ends there. */
#define TLB_ROOM_FULL (100 * TLB_MS)

enum tlb_room_state {
	TLB_ROOM_NONE,
	TLB_ROOM_ASKING,
	TLB_ROOM_HELD,
};

/* Runs from the loop or from within tlb_room_ask(). found: the room is held. */
typedef void tlb_room_done_fn(void *arg, bool found);

/* Embedded in the request; zero-initialised when idle. */
struct tlb_room {
	struct tlb_edge_board *board;
	enum tlb_room_state state;
	struct tlb_instance *at;   /* a reference, or NULL */
	char hold[TLB_HANDLE_LEN]; /* "" where the endpoint takes no reservations */
	tlb_time deadline;	   /* the reservation is gone then */
	int64_t tokens;
	int64_t spare; /* must be free beside them */
	bool probing;  /* asks for both together, to see whether that much is free */
	int refusals;  /* endpoints that had no room in this search */
	struct tlb_placing placing;
	struct tlb_http_call call;
	tlb_room_done_fn *on_done;
	void *arg;
};

/* Looks for an endpoint with room for that many tokens, and for spare ones beside them that stay
 * free (trunk reservation: requests that matter less leave room for others). The placing's strings
 * stay valid until on_done. */
void tlb_room_ask(struct tlb_room *r, struct tlb_edge_board *b, const struct tlb_placing *p,
		  int64_t tokens, int64_t spare, tlb_room_done_fn *on_done, void *arg);
/* Whether the room is still held. */
bool tlb_room_is_held(const struct tlb_room *r, tlb_time now);
/* The request was sent there: the reservation is the endpoint's to end. */
void tlb_room_used(struct tlb_room *r);
/* Ends a search, or gives the room back; harmless when idle. */
void tlb_room_drop(struct tlb_room *r);

#endif
