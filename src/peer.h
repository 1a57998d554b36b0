/*
 * TCP links to other daemons: connect and accept, reconnect with backoff, frames, requests and
 * replies. A link on which no frame arrived for TLB_PEER_SILENCE is closed and opened again.
 */
#ifndef TLB_PEER_H
#define TLB_PEER_H

#include <stdbool.h>

#include "counter.h"
#include "frame.h"
#include "loop.h"

#define TLB_PEER_SILENCE (3 * TLB_SECOND)	  /* longest time without a frame */
#define TLB_PEER_BACKOFF_MIN (50 * TLB_MS)	  /* first delay before a reconnect */
#define TLB_PEER_BACKOFF_MAX (2 * TLB_SECOND)	  /* longest delay before a reconnect */
#define TLB_PEER_CONNECT_TIMEOUT (2 * TLB_SECOND) /* includes the exchange of Hello */

enum { TLB_PEER_QUEUE_MAX = 8 << 20 }; /* bytes waiting to be written to one link */

struct tlb_peers;
struct tlb_peer;

/* reply is borrowed for the duration of the call; NULL means that there is none and err tells why:
 * outcome TLB_NOT_RUN when the request was never written to a connection. */
typedef void tlb_peer_reply_fn(void *arg, const Toucan__Envelope *reply,
			       const struct tlb_error *err);

/* A request that waits for its reply. Owned by its user and embedded in the user's struct;
 * zero-initialised when idle. */
struct tlb_peer_call {
	APR_RING_ENTRY(tlb_peer_call) link;
	struct tlb_peers *peers; /* NULL when idle */
	struct tlb_peer *peer;
	struct tlb_timer timer;
	uint64_t id;
	bool written;
	tlb_peer_reply_fn *on_reply;
	void *arg;
};

APR_RING_HEAD(tlb_peer_call_ring, tlb_peer_call);

static inline bool tlb_peer_call_active(const struct tlb_peer_call *call)
{
	return call->peers != NULL;
}

/* Where to send a reply; a value type, so that a handler can keep it and reply later. */
struct tlb_peer_return {
	char vm[TLB_ID_LEN];
	uint64_t incarnation;
	uint64_t id; /* 0: the message was one-way and a reply is dropped */
};

/* Ends a call without on_reply; harmless when idle. */
void tlb_peer_cancel(struct tlb_peer_call *call);

#endif
