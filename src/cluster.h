/*
 * The daemons as one system: links, session lease, shard map and membership behind one interface.
 *
 * Callbacks run from the loop, never from within the function that asked for them, except where
 * stated. After tlb_cluster_finish() none runs.
 */
#ifndef TLB_CLUSTER_H
#define TLB_CLUSTER_H

#include "ident.h"
#include "member.h"
#include "peer.h"
#include "roster.h"
#include "settings.h"
#include "store.h"

struct tlb_cluster;

/* Handles one incoming message; msg is borrowed for the duration of the call. The reply, if the
 * message wants one, is sent with tlb_cluster_reply(), now or later. */
typedef void tlb_cluster_message_fn(void *arg, const struct tlb_peer_return *from,
				    const Toucan__Envelope *msg);

/* What the rest of the daemon supplies; copied by tlb_cluster_init(). Any function may be NULL;
 * arg is the first argument of all of them. */
struct tlb_cluster_handlers {
	void *arg;

	/* Incoming messages. */
	tlb_cluster_message_fn *reserve_tokens;
	tlb_cluster_message_fn *return_tokens;
	tlb_cluster_message_fn *book_decode;
	tlb_cluster_message_fn *renew_bookings;
	tlb_cluster_message_fn *release_booking;
	tlb_cluster_message_fn *preempt;
	tlb_cluster_message_fn *bookings_pull;
	tlb_cluster_message_fn *config_push;
	tlb_cluster_message_fn *config_pull;
	tlb_cluster_message_fn *load_notice;
	tlb_cluster_message_fn *open_part;
	tlb_cluster_message_fn *close_part;

	/* The shards that this daemon acts for have changed; tlb_cluster_shards() has the new set.
	 * A shard that came without a HandOver (see below) starts from what its standby knows. */
	void (*on_shards_changed)(void *arg, tlb_shard_set gained, tlb_shard_set lost);
	/* Fills out with the state of these shards (buckets, bookings; the other fields are set by
	 * the cluster). From this call on tlb_cluster_owner() no longer answers SELF for them. The
	 * state must be kept until on_shards_changed reports the shards as lost: when the write of
	 * the map fails, SELF is answered again without a further call. Repeated fields and strings
	 * are malloc'd; the cluster frees them. */
	void (*hand_over)(void *arg, tlb_shard_set shards, Toucan__HandOver *out);
	/* State of shards that a former owner handed over; follows on_shards_changed with these
	 * shards in gained at once. Borrowed. */
	void (*on_hand_over)(void *arg, tlb_shard_set shards, const Toucan__HandOver *state);
	/* A newer shard map is in force; the changes that it brings have been reported. */
	void (*on_map)(void *arg);
	/* The right to take these shards over is released for writes against this version. */
	void (*on_released)(void *arg, tlb_shard_set shards, int64_t version);
	/* The incarnation is certainly not acting any more and never will again. */
	void (*on_fenced)(void *arg, const char *vm, uint64_t incarnation);
	/* A peer's heartbeat names this configuration version (called when it changes). */
	void (*on_peer_config_version)(void *arg, const char *vm, int64_t version);
	/* A link to this VM has come up; what was sent on a former one may be lost. */
	void (*on_link_up)(void *arg, const char *vm);
	/* The load reports for the heartbeats of this number, borrowed until the next call; asked
	 * only while the session is valid. Returns their number. */
	size_t (*load_reports)(void *arg, uint64_t heartbeat, Toucan__LoadReport ***out);
	/* Load reports that came with a heartbeat. */
	void (*on_load_reports)(void *arg, const char *vm, uint64_t incarnation, size_t count,
				Toucan__LoadReport **reports);
	/* Called when the session has run out; acting must already have stopped, because it is
	 * guarded by tlb_cluster_valid() and not by this call. */
	void (*on_session_lost)(void *arg);
	void (*on_session_regained)(void *arg);
	/* Another VM has fenced this incarnation: the cluster joins again under a new one; requests
	 * in flight can't be accounted for any more. */
	void (*on_self_fenced)(void *arg);
	/* The configuration version that heartbeats carry. */
	int64_t (*config_version)(void *arg);
};

enum { TLB_CLUSTER_WITNESSES_ENOUGH = 5, TLB_CLUSTER_TARGETS_MAX = 4 };

enum tlb_owner { TLB_OWNER_SELF, TLB_OWNER_PEER, TLB_OWNER_NONE };

typedef void tlb_cluster_done_fn(void *arg);

enum { TLB_HEARTBEATS_KEPT = 8, TLB_FENCES_MAX = 16, TLB_HAND_OVERS_MAX = 16 };

/* An attempt to fence one incarnation. */
struct tlb_fence_attempt {
	struct tlb_cluster *cluster;
	struct tlb_fence fence; /* fence.vm.id is "" when the slot is free */
	struct tlb_peer_call call[TLB_WITNESS_MAX];
	tlb_time next;
};

/* State of shards received from their owner, until the map says that they have moved. */
struct tlb_hand_over {
	struct tlb_vm_name from;
	tlb_time came;
	Toucan__HandOver *state; /* owned; NULL when the slot is free */
};

/* Owns all parts; the fields are private to cluster.c, fence.c, gossip.c and member.c. */
struct tlb_cluster {
	struct tlb_loop *loop;
	const struct tlb_settings *settings;
	struct tlb_store *store;
	struct tlb_counters *counters;
	struct tlb_cluster_handlers handlers;

	struct tlb_vm_name self;
	uint64_t process; /* the first incarnation; see struct tlb_vm_row */
	char owner_name[TLB_OWNER_LEN];
	bool joined;
	struct tlb_peers peers;
	struct tlb_session session;
	struct tlb_witness witness;
	struct tlb_roster roster;
	struct tlb_shard_map map;
	struct tlb_shard_release release; /* rights that this daemon has released as a standby */
	tlb_shard_set acting;		  /* as reported by on_shards_changed */
	tlb_shard_set yielding;		  /* handed over; the write is not certain yet */
	struct tlb_membership membership;

	struct tlb_timer heartbeat;
	uint64_t heartbeat_number;
	tlb_time sent[TLB_HEARTBEATS_KEPT]; /* by number */
	struct tlb_timer expiry;	    /* of the session */
	bool was_valid;
	tlb_time invalid_since;
	tlb_time listening_since; /* silence before this instant says nothing about others */
	tlb_time proposed_at;
	int64_t pull_map_version; /* what was pulled last, see gossip.c */
	tlb_time pull_map_at;	  /* not before: the next pull of the same */
	tlb_time pull_rows_at;
	tlb_time renew_links_at; /* when to choose one of the random links anew */
	struct tlb_fence_attempt fence[TLB_FENCES_MAX];
	struct tlb_hand_over hand_over[TLB_HAND_OVERS_MAX];
};

/* Sets up a cluster on memory that the caller owns. settings, loop, store and counters are borrowed
 * and must outlive it. */
void tlb_cluster_init(struct tlb_cluster *c, struct tlb_loop *loop,
		      const struct tlb_settings *settings, struct tlb_store *store,
		      struct tlb_counters *counters, const struct tlb_cluster_handlers *handlers);
/* Binds the peer listener and starts to join. Joining needs the table service and is repeated until
 * it succeeds. Returns TLB_INTERNAL when the listener can't be bound. */
enum tlb_code tlb_cluster_start(struct tlb_cluster *c, struct tlb_error *err);
void tlb_cluster_finish(struct tlb_cluster *c);
/* The peer keys in the settings have changed: they count for the next frame sent or received. */
void tlb_cluster_rekey(struct tlb_cluster *c);
/* Graceful shutdown: hands every shard to its standby, then writes the VM row as left. done runs
 * once, at the latest at the deadline. */
void tlb_cluster_leave(struct tlb_cluster *c, tlb_time deadline, tlb_cluster_done_fn *done,
		       void *arg);

/* True when this daemon has joined and its session is valid at now: it may act. */
bool tlb_cluster_valid(const struct tlb_cluster *c, tlb_time now);
/* Witnesses of the session in force. */
int tlb_cluster_witnesses(const struct tlb_cluster *c);
/* True when the session has as many witnesses as the fleet can give, or
 * TLB_CLUSTER_WITNESSES_ENOUGH: with fewer, this VM could not be fenced if it and a witness died
 * together, and its shards would stay without an owner. */
bool tlb_cluster_replaceable(const struct tlb_cluster *c);
/* The incarnation of this daemon; "<vm id>/<incarnation>" as text for engines. */
uint64_t tlb_cluster_incarnation(const struct tlb_cluster *c);
const char *tlb_cluster_owner_name(const struct tlb_cluster *c);
/* The shards that this daemon acts for (whether it may act now is tlb_cluster_valid()). */
tlb_shard_set tlb_cluster_shards(const struct tlb_cluster *c);
/* Who accounts for an id. For TLB_OWNER_PEER vm is the owner; otherwise "". */
enum tlb_owner tlb_cluster_owner(const struct tlb_cluster *c, const char *id, char vm[TLB_ID_LEN]);
/* Whether nobody accounts for an id at present: it has no owner, or its owner has fallen silent and
 * is replaced unless it is heard again. */
bool tlb_cluster_owner_lost(const struct tlb_cluster *c, const char *id);
/* The entry of the map in force for an id; "" where there is none. */
const struct tlb_shard_entry *tlb_cluster_entry(const struct tlb_cluster *c, const char *id);
/* The standby of an id that this VM owns by the map in force; false when there is none. */
bool tlb_cluster_standby(const struct tlb_cluster *c, const char *id, struct tlb_vm_name *out);
int64_t tlb_cluster_map_version(const struct tlb_cluster *c);
/* The incarnation certainly acts no more. */
bool tlb_cluster_gone(const struct tlb_cluster *c, const struct tlb_vm_name *vm);
/* For fencing numbers: grows with every change of the VM that acts for the id's shard. Twice the
 * version of the shard map, plus 1 while this VM acts as the standby on a fence that the map does
 * not show yet. Meaningful while tlb_cluster_owner() answers SELF. */
int64_t tlb_cluster_epoch(const struct tlb_cluster *c, const char *id);
/* Calls fn for each live VM except this one. fn must not change the cluster. */
void tlb_cluster_each(const struct tlb_cluster *c, void (*fn)(void *arg, const char *vm),
		      void *arg);

/* The configuration version that a VM has last shown; 0 when none. */
int64_t tlb_cluster_peer_config(const struct tlb_cluster *c, const char *vm);
/* A VM has shown this version otherwise than by a heartbeat. */
void tlb_cluster_shown_config(struct tlb_cluster *c, const char *vm, int64_t version);
/* Some VMs that have not shown this version, to send it on to; returns their number. */
int tlb_cluster_lacking_config(const struct tlb_cluster *c, int64_t version,
			       char vm[TLB_CLUSTER_TARGETS_MAX][TLB_ID_LEN]);

/* Sends a request. body needs only its oneof set; it is encoded before the function returns.
 * on_reply runs once, at the latest at the deadline. */
void tlb_cluster_call(struct tlb_cluster *c, const char *vm, struct tlb_peer_call *call,
		      Toucan__Envelope *body, tlb_time deadline, tlb_peer_reply_fn *on_reply,
		      void *arg);
/* Sends a one-way message. Returns false when it was dropped for lack of a link. */
bool tlb_cluster_send(struct tlb_cluster *c, const char *vm, Toucan__Envelope *body);
/* Replies to a request; dropped when the sender is gone or has restarted. */
void tlb_cluster_reply(struct tlb_cluster *c, const struct tlb_peer_return *to,
		       Toucan__Envelope *body);

/* For member.c. */

/* Takes a newer shard map into force. */
void tlb_cluster_take_map(struct tlb_cluster *c, const struct tlb_shard_map *map);
void tlb_cluster_take_row(struct tlb_cluster *c, const struct tlb_vm_row *row);
/* Recomputes what this daemon acts for and reports changes. */
void tlb_cluster_update(struct tlb_cluster *c);
/* The own row is written: the lease begins. */
void tlb_cluster_joined(struct tlb_cluster *c, const struct tlb_vm_row *row);
/* Starts over under a new incarnation; the one so far acts no more. */
void tlb_cluster_rejoin(struct tlb_cluster *c, const char *reason);
void tlb_cluster_send_map(struct tlb_cluster *c, const char *vm);
/* Chooses the VMs to keep links to. */
void tlb_cluster_choose_links(struct tlb_cluster *c);
/* The witnesses to have now; returns their number. Only VMs with a link when linked is set. */
int tlb_cluster_choose_witnesses(const struct tlb_cluster *c, bool linked, struct tlb_vm_name *out);

#endif
