/*
 * TCP links to other daemons: connect and accept, reconnect with backoff, frames, requests and
 * replies. Either side opens a missing link. When both open one at the same time, the link opened
 * by the VM with the lower id is used.
 *
 * A persistent link carries heartbeats; it is closed and reopened when no frame arrives for
 * TLB_PEER_SILENCE_TIMEOUT. Any other link is opened on demand. It counts as silent only when a
 * call has waited for TLB_PEER_SILENCE_TIMEOUT without a frame, and is closed after
 * TLB_PEER_IDLE_TIMEOUT without a frame: the side that opened it sends LinkClose, and the other
 * side closes the connection once its own calls have ended. A call that is sent while the link is
 * being closed is therefore not lost.
 */
#ifndef TLB_PEER_H
#define TLB_PEER_H

#include <stdbool.h>

#include "counter.h"
#include "frame.h"
#include "loop.h"

#define TLB_PEER_SILENCE_TIMEOUT (3 * TLB_SECOND)	/* maximum time without a frame */
#define TLB_PEER_BACKOFF_MIN (50 * TLB_MS)		/* initial reconnect delay */
#define TLB_PEER_BACKOFF_MAX (2 * TLB_SECOND)		/* maximum reconnect delay */
#define TLB_PEER_HELLO_TIMEOUT (2 * TLB_SECOND)		/* connect and Hello exchange */
#define TLB_PEER_IDLE_TIMEOUT (30 * TLB_SECOND)		/* idle time of an on-demand link */
#define TLB_PEER_REMOTE_PERSISTENT_TTL (4 * TLB_SECOND) /* validity of the remote keep flag */
#define TLB_PEER_HEALTHY_MAX_AGE (1500 * TLB_MS) /* age of the last frame of a healthy link */

enum {
	TLB_PEER_QUEUE_MAX = 8 << 20,	   /* bytes queued for writing on one link */
	TLB_PEER_UNIDENTIFIED_MAX = 64,	   /* accepted connections not yet confirmed */
	TLB_PEER_QUEUED_FRAMES_MAX = 1024, /* frames queued for a link that is being opened */
};

struct tlb_peers;
struct tlb_peer;
struct tlb_peer_link;
struct tlb_peer_queued_frame;

/* Receives the reply of a call, borrowed for the duration of the callback, or NULL when the call
 * failed. err then has the reason; its outcome is TLB_OUTCOME_NOT_RUN when no byte of the request
 * was written to a connection. */
typedef void tlb_peer_reply_fn(void *arg, const Toucan__Envelope *reply,
			       const struct tlb_error *err);

/* A request awaiting its reply. Owned by the caller and embedded in the caller's struct;
 * zero-initialised when idle. */
struct tlb_peer_call {
	APR_RING_ENTRY(tlb_peer_call) link;
	struct tlb_peers *peers; /* NULL when idle */
	struct tlb_peer_link *sent_link;
	struct tlb_peer_queued_frame *queued_frame; /* set until the link is open */
	tlb_time sent_at;			    /* when the request was sent */
	struct tlb_timer timer;
	uint64_t id;
	uint64_t stream_offset;	    /* byte offset of the request in the link's outgoing stream */
	enum tlb_code failure_code; /* TLB_OK, or the failure that the timer reports */
	char vm[TLB_ID_LEN];
	tlb_peer_reply_fn *on_reply;
	void *arg;
};

APR_RING_HEAD(tlb_peer_call_ring, tlb_peer_call);

static inline bool tlb_peer_call_active(const struct tlb_peer_call *call)
{
	return call->peers != NULL;
}

/* Ends a call without calling on_reply; does nothing when the call is idle. */
void tlb_peer_cancel(struct tlb_peer_call *call);

/* Address of a reply; a value type, so that a handler can copy it and reply later. */
struct tlb_peer_reply_address {
	char vm[TLB_ID_LEN];
	uint64_t incarnation;
	uint64_t id; /* request id; 0: the message was one-way and a reply is dropped */
};

APR_RING_HEAD(tlb_peer_queued_frame_ring, tlb_peer_queued_frame);

/* One other VM. Owned by struct tlb_peers. */
struct tlb_peer {
	APR_RING_ENTRY(tlb_peer) link;
	struct tlb_peers *peers;
	char id[TLB_ID_LEN];
	char addr[TLB_ADDR_LEN]; /* "" when unknown */
	bool persistent;	 /* persistent: reopened when missing, sends heartbeats */
	tlb_time persistent_since;
	tlb_time remote_persistent_until;   /* until then the link is persistent at the other end */
	uint64_t incarnation;		    /* of the process at the other end of the active link */
	struct tlb_peer_link *active_link;  /* the established link, or NULL */
	struct tlb_peer_link *opening_link; /* the link being opened from here, or NULL */
	struct tlb_peer_queued_frame_ring queued_frames; /* frames to send once a link is open */
	int queued_frame_count;
	int attempts;		     /* since the last frame, for the backoff */
	tlb_time next_attempt_at;    /* earliest time of the next attempt */
	tlb_time inbound_wait_until; /* until then a link opened by the other side is awaited */
	struct tlb_timer retry;
	tlb_time last_received_at; /* when the last frame was received */
};

APR_RING_HEAD(tlb_peer_ring, tlb_peer);
APR_RING_HEAD(tlb_peer_link_ring, tlb_peer_link);

struct tlb_peers_handlers {
	void *arg;
	/* Whether to accept a connection of this incarnation. */
	bool (*accepts)(void *arg, const char *vm, uint64_t incarnation);
	void (*on_up)(void *arg, struct tlb_peer *peer);
	/* Called for every message that is not a reply. msg is borrowed, but the handler may detach
	 * its body. */
	void (*on_message)(void *arg, struct tlb_peer *peer, Toucan__Envelope *msg);
};

/* All peers and links of this daemon; owns them. */
struct tlb_peers {
	struct tlb_loop *loop;
	struct tlb_counters *counters;
	struct tlb_frame_keys keys;
	struct tlb_peers_handlers handlers;
	char self[TLB_ID_LEN];
	uint64_t incarnation;
	char addr[TLB_ADDR_LEN]; /* the listener's bound address */
	int listener;
	struct tlb_watch *watch;
	struct tlb_peer_ring peers;
	struct tlb_peer_link_ring links;
	/* Freed by the reaper timer, because functions on the stack may still use them. */
	struct tlb_peer_link_ring closed;
	struct tlb_peer_call_ring failing; /* failed calls, until their timer reports them */
	struct tlb_timer reaper;
	uint64_t last_id;
	int unidentified_links; /* accepted connections not yet confirmed */
	tlb_time idle_timeout;	/* TLB_PEER_IDLE_TIMEOUT; tests use less */
};

void tlb_peers_init(struct tlb_peers *p, struct tlb_loop *loop, struct tlb_counters *counters,
		    const struct tlb_settings *settings, const struct tlb_peers_handlers *handlers);
/* Closes all links and the listener; pending calls become idle without on_reply. */
void tlb_peers_finish(struct tlb_peers *p);
/* Listens on addr, a numeric "host:port"; port 0 selects a free port. */
enum tlb_code tlb_peers_listen(struct tlb_peers *p, const char *addr, struct tlb_error *err);
/* Closes all links; new ones are opened under the new incarnation. */
void tlb_peers_set_incarnation(struct tlb_peers *p, uint64_t incarnation);

struct tlb_peer *tlb_peers_find(const struct tlb_peers *p, const char *vm);
/* Adds a VM, or changes its address. Returns the VM, which exists until tlb_peers_finish(), or NULL
 * without memory or when a name is too long. */
struct tlb_peer *tlb_peers_add(struct tlb_peers *p, const char *vm, const char *addr);
/* Closes the link to a VM and opens no new one until tlb_peers_add(). */
void tlb_peers_disconnect(struct tlb_peers *p, const char *vm);
/* Sets whether the link to a VM is persistent. */
void tlb_peers_set_persistent(struct tlb_peers *p, const char *vm, bool keep);
/* Whether the link is persistent at this or the other end, so that it carries heartbeats. */
static inline bool tlb_peer_is_persistent(const struct tlb_peer *peer)
{
	return peer && (peer->persistent || tlb_clock_now() < peer->remote_persistent_until);
}
static inline bool tlb_peer_is_up(const struct tlb_peer *peer)
{
	return peer && peer->active_link;
}

/* Sends a request, opening a link if there is none. No byte of the request is written before the
 * link is open, so a failure until then has the outcome TLB_OUTCOME_NOT_RUN. */
void tlb_peers_call(struct tlb_peers *p, const char *vm, struct tlb_peer_call *call,
		    Toucan__Envelope *msg, tlb_time deadline, tlb_peer_reply_fn *on_reply,
		    void *arg);
/* Sends a one-way message, opening a link if there is none. Returns false if it was dropped. */
bool tlb_peers_send(struct tlb_peers *p, const char *vm, Toucan__Envelope *msg);
/* As tlb_peers_send(), but drops the message if no link is established. */
bool tlb_peers_send_if_up(struct tlb_peers *p, const char *vm, Toucan__Envelope *msg);
/* Sends a reply; drops it if the requesting incarnation is no longer linked. */
void tlb_peers_reply(struct tlb_peers *p, const struct tlb_peer_reply_address *to,
		     Toucan__Envelope *msg);

#endif
