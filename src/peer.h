/*
 * TCP links to other daemons: connect and accept, reconnect with backoff, frames, requests and
 * replies. Either side opens a missing link; of two that cross, the one that the lower VM id opened
 * stays.
 *
 * A kept link carries heartbeats; when no frame arrives for TLB_PEER_SILENCE it is closed and
 * opened again. Any other link is opened on demand, is silent only when a call has waited for
 * TLB_PEER_SILENCE without a frame, and is closed after TLB_PEER_IDLE without a frame. The side
 * that opened it says so first (LinkClose) and the other side closes, after its own calls have
 * ended: so a call that crosses with the end of a link is never lost.
 */
#ifndef TLB_PEER_H
#define TLB_PEER_H

#include <stdbool.h>

#include "counter.h"
#include "frame.h"
#include "loop.h"

#define TLB_PEER_SILENCE (3 * TLB_SECOND)	/* longest time without a frame */
#define TLB_PEER_BACKOFF_MIN (50 * TLB_MS)	/* first delay before a reconnect */
#define TLB_PEER_BACKOFF_MAX (2 * TLB_SECOND)	/* longest delay before a reconnect */
#define TLB_PEER_HELLO_TIMEOUT (2 * TLB_SECOND) /* for connecting and the exchange of Hello */
#define TLB_PEER_IDLE (30 * TLB_SECOND)		/* a link on demand without a frame is closed */
#define TLB_PEER_KEPT_BY (4 * TLB_SECOND)	/* how long a heartbeat of the other end counts */
#define TLB_PEER_HEALTHY (1500 * TLB_MS)	/* a link with a frame this recent is in use */

enum {
	TLB_PEER_QUEUE_MAX = 8 << 20, /* bytes waiting to be written to one link */
	TLB_PEER_UNKNOWN_MAX = 64,    /* accepted connections before their Hello */
	TLB_PEER_WAITING_MAX = 1024,  /* frames that wait for one link to be opened */
};

struct tlb_peers;
struct tlb_peer;
struct tlb_peer_link;
struct tlb_peer_waiting;

/* reply is borrowed for the duration of the call; NULL means that there is none and err tells why:
 * outcome TLB_NOT_RUN when no byte of the request was written to a connection. */
typedef void tlb_peer_reply_fn(void *arg, const Toucan__Envelope *reply,
			       const struct tlb_error *err);

/* A request that waits for its reply. Owned by its user and embedded in the user's struct;
 * zero-initialised when idle. */
struct tlb_peer_call {
	APR_RING_ENTRY(tlb_peer_call) link;
	struct tlb_peers *peers; /* NULL when idle */
	struct tlb_peer_link *on;
	struct tlb_peer_waiting *waiting; /* until the link is open */
	tlb_time since;
	struct tlb_timer timer;
	uint64_t id;
	uint64_t starts_at; /* position of the request in the link's stream of bytes */
	enum tlb_code failed;
	char vm[TLB_ID_LEN];
	tlb_peer_reply_fn *on_reply;
	void *arg;
};

APR_RING_HEAD(tlb_peer_call_ring, tlb_peer_call);

static inline bool tlb_peer_call_active(const struct tlb_peer_call *call)
{
	return call->peers != NULL;
}

/* Ends a call without on_reply; harmless when idle. */
void tlb_peer_cancel(struct tlb_peer_call *call);

/* Where to send a reply; a value type, so that a handler can keep it and reply later. */
struct tlb_peer_return {
	char vm[TLB_ID_LEN];
	uint64_t incarnation;
	uint64_t id; /* 0: the message was one-way and a reply is dropped */
};

APR_RING_HEAD(tlb_peer_waiting_ring, tlb_peer_waiting);

/* One other VM. Owned by struct tlb_peers. */
struct tlb_peer {
	APR_RING_ENTRY(tlb_peer) link;
	struct tlb_peers *peers;
	char id[TLB_ID_LEN];
	char addr[TLB_ADDR_LEN]; /* "" when not known */
	bool kept;		 /* a missing link is opened, heartbeats are sent */
	tlb_time kept_since;
	tlb_time kept_by;     /* until then the other end keeps the link */
	uint64_t incarnation; /* of the process at the other end of up */
	struct tlb_peer_link *up;
	struct tlb_peer_link *opening;
	struct tlb_peer_waiting_ring waiting; /* frames for the link that is being opened */
	int waiting_count;
	int attempts;
	tlb_time not_before;	/* of the next attempt */
	tlb_time crossed_until; /* until then a link that the other side opens is awaited */
	struct tlb_timer retry;
	tlb_time heard; /* when the last frame came */
};

APR_RING_HEAD(tlb_peer_ring, tlb_peer);
APR_RING_HEAD(tlb_peer_link_ring, tlb_peer_link);

struct tlb_peers_handlers {
	void *arg;
	/* Whether a connection of this incarnation is taken. */
	bool (*accepts)(void *arg, const char *vm, uint64_t incarnation);
	void (*on_up)(void *arg, struct tlb_peer *peer);
	/* Every message that is no reply. msg is borrowed, but its body may be taken out. */
	void (*on_message)(void *arg, struct tlb_peer *peer, Toucan__Envelope *msg);
};

/* Owns peers and links. */
struct tlb_peers {
	struct tlb_loop *loop;
	struct tlb_counters *counters;
	struct tlb_frame_keys keys;
	struct tlb_peers_handlers handlers;
	char self[TLB_ID_LEN];
	uint64_t incarnation;
	char addr[TLB_ADDR_LEN]; /* where the listener is bound */
	int listener;
	struct tlb_watch *watch;
	struct tlb_peer_ring peers;
	struct tlb_peer_link_ring links;
	struct tlb_peer_link_ring closed;  /* freed by reaper, because callers may still use them */
	struct tlb_peer_call_ring failing; /* calls without a link, until their timer runs */
	struct tlb_timer reaper;
	uint64_t last_id;
	int unknown_links;
	tlb_time idle_after; /* TLB_PEER_IDLE, but in tests */
};

void tlb_peers_init(struct tlb_peers *p, struct tlb_loop *loop, struct tlb_counters *counters,
		    const struct tlb_settings *settings, const struct tlb_peers_handlers *handlers);
/* Closes everything; calls that wait become idle without on_reply. */
void tlb_peers_finish(struct tlb_peers *p);
/* Binds and listens at host:port by IP number; port 0 takes a free one. */
enum tlb_code tlb_peers_listen(struct tlb_peers *p, const char *addr, struct tlb_error *err);
/* Closes all links: the next ones are opened under the new incarnation. */
void tlb_peers_set_incarnation(struct tlb_peers *p, uint64_t incarnation);

struct tlb_peer *tlb_peers_find(const struct tlb_peers *p, const char *vm);
/* Makes a VM known, or changes its address. */
void tlb_peers_add(struct tlb_peers *p, const char *vm, const char *addr);
/* Closes the link to a VM and opens none any more. */
void tlb_peers_drop(struct tlb_peers *p, const char *vm);
/* Whether a link to a VM is kept from now on. */
void tlb_peers_keep(struct tlb_peers *p, const char *vm, bool keep);
/* Whether this side or the other one keeps the link, so that it carries heartbeats. */
static inline bool tlb_peer_is_kept(const struct tlb_peer *peer)
{
	return peer && (peer->kept || tlb_clock_now() < peer->kept_by);
}
static inline bool tlb_peer_is_up(const struct tlb_peer *peer)
{
	return peer && peer->up;
}

/* Sends a request, opening a link if there is none. Until that is open nothing of the request is
 * written, so that a failure has the outcome TLB_NOT_RUN. */
void tlb_peers_call(struct tlb_peers *p, const char *vm, struct tlb_peer_call *call,
		    Toucan__Envelope *body, tlb_time deadline, tlb_peer_reply_fn *on_reply,
		    void *arg);
/* Sends a one-way message, opening a link if there is none; false when it was dropped. */
bool tlb_peers_send(struct tlb_peers *p, const char *vm, Toucan__Envelope *body);
/* The same over a link that stands; opens none. */
bool tlb_peers_tell(struct tlb_peers *p, const char *vm, Toucan__Envelope *body);
void tlb_peers_reply(struct tlb_peers *p, const struct tlb_peer_return *to, Toucan__Envelope *body);

#endif
