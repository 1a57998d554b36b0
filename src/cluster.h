/*
 * The cluster layer of a daemon: links to its peers, session lease, shard map and membership behind
 * one interface.
 *
 * An incarnation is one run of a daemon on a VM. It has ended when it was fenced, has left, or was
 * replaced by a newer incarnation of the same VM; it then never acts as the owner of a shard again.
 *
 * Callbacks run from the event loop, not from within the call that requested them, except where
 * stated. None runs after tlb_cluster_finish().
 */
#ifndef TLB_CLUSTER_H
#define TLB_CLUSTER_H

#include "ident.h"
#include "membership.h"
#include "peer.h"
#include "roster.h"
#include "settings.h"
#include "store.h"

struct tlb_cluster;

/* Handles one incoming message; msg is borrowed for the duration of the call. If the message is a
 * request, the reply is sent with tlb_cluster_reply(), during the call or later. */
typedef void tlb_cluster_message_fn(void *arg, const struct tlb_peer_reply_address *from,
				    const Toucan__Envelope *msg);

/* Callbacks of the daemon; copied by tlb_cluster_init(). Any function may be NULL; arg is the first
 * argument of all of them. */
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
	tlb_cluster_message_fn *open_delegation;
	tlb_cluster_message_fn *close_delegation;

	/* The set of shards that this daemon owns has changed; tlb_cluster_owned_shards() returns
	 * the new set. A shard gained without a HandOver (see below) starts from the state that
	 * this daemon holds as its standby. */
	void (*on_shards_changed)(void *arg, tlb_shard_set gained, tlb_shard_set lost);
	/* Stores the state of these shards in out (buckets and bookings; the cluster sets the other
	 * fields). From this call on tlb_cluster_owner() no longer returns SELF for them. The state
	 * must be kept until on_shards_changed reports the shards as lost: if the write of the map
	 * fails, tlb_cluster_owner() returns SELF again without a further callback. Repeated fields
	 * and strings are allocated with malloc(); the cluster frees them. */
	void (*export_shards)(void *arg, tlb_shard_set shards, Toucan__HandOver *out);
	/* State of shards received from their former owner; called right after on_shards_changed
	 * reported these shards as gained. state is borrowed. */
	void (*import_shards)(void *arg, tlb_shard_set shards, const Toucan__HandOver *state);
	/* A newer shard map is in force; on_shards_changed has already reported its changes. */
	void (*on_map_changed)(void *arg);
	/* As the standby of these shards, this daemon has released its right to take them over, for
	 * map writes that are based on this version of the map. */
	void (*on_standby_release)(void *arg, tlb_shard_set shards, int64_t version);
	/* The incarnation has ended (see the head of this file). */
	void (*on_fenced)(void *arg, const char *vm, uint64_t incarnation);
	/* The configuration version in a peer's heartbeats has changed to this one. */
	void (*on_peer_config_version)(void *arg, const char *vm, int64_t version);
	/* A link to this VM has come up; messages sent over an earlier link may be lost. */
	void (*on_link_up)(void *arg, const char *vm);
	/* Stores in *out the load reports for the heartbeats with this number, borrowed until the
	 * next call. Returns how many there are. Called only while the session is valid. */
	size_t (*load_reports)(void *arg, uint64_t heartbeat, Toucan__LoadReport ***out);
	/* Load reports received with a heartbeat. */
	void (*on_load_reports)(void *arg, const char *vm, uint64_t incarnation, size_t count,
				Toucan__LoadReport **reports);
	/* The session has expired. This call may come late: each action as an owner must therefore
	 * be guarded by tlb_cluster_session_valid(), not by this call. */
	void (*on_session_lost)(void *arg);
	void (*on_session_regained)(void *arg);
	/* This incarnation has been fenced or gave up its session; the cluster joins again under a
	 * new incarnation. Requests in flight can no longer be accounted for. */
	void (*on_self_fenced)(void *arg);
	/* Returns the configuration version to send in heartbeats. */
	int64_t (*config_version)(void *arg);
};

enum { TLB_CLUSTER_SUFFICIENT_WITNESSES = 5, TLB_CLUSTER_CONFIG_TARGETS_MAX = 4 };

enum tlb_owner { TLB_OWNER_SELF, TLB_OWNER_PEER, TLB_OWNER_NONE };

typedef void tlb_cluster_done_fn(void *arg);

enum { TLB_HEARTBEAT_HISTORY = 8, TLB_FENCE_ATTEMPTS_MAX = 16, TLB_HAND_OVERS_MAX = 16 };

/* An attempt to fence one incarnation by the agreement of its witnesses. */
struct tlb_fence_attempt {
	struct tlb_cluster *cluster;
	struct tlb_fence fence; /* fence.vm.id is "" when the slot is free */
	struct tlb_peer_call calls[TLB_WITNESS_MAX];
	tlb_time retry_at; /* earliest time of the next requests to the witnesses */
};

/* State of shards received from their owner, kept until the map that transfers them is in force. */
struct tlb_hand_over {
	struct tlb_vm_name from;
	tlb_time received_at;
	Toucan__HandOver *state; /* owned; NULL when the slot is free */
};

/* Owns its members, except those that tlb_cluster_init() borrows. The fields are private to
 * cluster.c, fence.c, gossip.c and membership.c. */
struct tlb_cluster {
	struct tlb_loop *loop;
	const struct tlb_settings *settings;
	struct tlb_store *store;
	struct tlb_counters *counters;
	struct tlb_cluster_handlers handlers;

	struct tlb_vm_name self;
	uint64_t process_incarnation; /* first incarnation of this process; see struct tlb_vm_row */
	char instance_name[TLB_OWNER_LEN];
	bool joined;
	struct tlb_peers peers;
	struct tlb_session session;
	struct tlb_witness witness;
	struct tlb_roster roster;
	struct tlb_shard_map map;
	struct tlb_shard_release released_rights; /* takeover rights released as a standby */
	tlb_shard_set owned_shards;	   /* owned shards, as reported by on_shards_changed */
	tlb_shard_set transferring_shards; /* handed over; outcome of the map write still unknown */
	struct tlb_membership membership;

	struct tlb_timer heartbeat;
	uint64_t heartbeat_number;
	tlb_time heartbeat_sent_at[TLB_HEARTBEAT_HISTORY]; /* send time, by heartbeat number */
	struct tlb_timer session_expiry_timer;		   /* of the session */
	bool session_was_valid; /* session state last reported to the handlers */
	tlb_time session_invalid_since;
	tlb_time
		silence_counts_from; /* silence of a peer is counted from here on at the earliest */
	tlb_time witnesses_proposed_at; /* when a new witness set was proposed */
	int64_t pulled_map_version;	/* map version last pulled, see gossip.c */
	tlb_time next_map_pull_at;	/* earliest time to pull that version again */
	tlb_time next_rows_pull_at;	/* earliest time of the next pull of rows */
	tlb_time renew_links_at;	/* when to replace one of the random links */
	struct tlb_fence_attempt fence_attempts[TLB_FENCE_ATTEMPTS_MAX];
	struct tlb_hand_over hand_overs[TLB_HAND_OVERS_MAX];
};

/* Initialises a cluster in memory owned by the caller. settings, loop, store and counters are
 * borrowed and must outlive it. */
void tlb_cluster_init(struct tlb_cluster *c, struct tlb_loop *loop,
		      const struct tlb_settings *settings, struct tlb_store *store,
		      struct tlb_counters *counters, const struct tlb_cluster_handlers *handlers);
/* Binds the peer listener and starts to join. Joining needs the table service and is retried until
 * it succeeds. Returns TLB_INTERNAL if the listener can't be bound. */
enum tlb_code tlb_cluster_start(struct tlb_cluster *c, struct tlb_error *err);
void tlb_cluster_finish(struct tlb_cluster *c);
/* Applies changed peer keys of the settings, from the next frame sent or received on. */
void tlb_cluster_reload_keys(struct tlb_cluster *c);
/* Graceful shutdown: hands all shards over to other VMs, then writes the VM row as left. done runs
 * once, at the latest at the deadline. */
void tlb_cluster_leave(struct tlb_cluster *c, tlb_time deadline, tlb_cluster_done_fn *done,
		       void *arg);

/* True if this daemon has joined and its session is valid at now, so that it may act as the owner
 * of its shards. */
bool tlb_cluster_session_valid(const struct tlb_cluster *c, tlb_time now);
/* Number of witnesses in force. */
int tlb_cluster_witness_count(const struct tlb_cluster *c);
/* True if the session has as many witnesses as the fleet can provide, or at least
 * TLB_CLUSTER_SUFFICIENT_WITNESSES. With fewer, this VM could not be fenced if it failed together
 * with a witness, and its shards would remain without an owner. */
bool tlb_cluster_has_enough_witnesses(const struct tlb_cluster *c);
/* The current incarnation of this daemon. */
uint64_t tlb_cluster_incarnation(const struct tlb_cluster *c);
/* "<vm id>/<incarnation>", by which engines identify this daemon. */
const char *tlb_cluster_instance_name(const struct tlb_cluster *c);
/* The shards that this daemon owns. It may act for them only while tlb_cluster_session_valid(). */
tlb_shard_set tlb_cluster_owned_shards(const struct tlb_cluster *c);
/* The owner of an id's shard. Sets vm to the owner for TLB_OWNER_PEER, otherwise to "". */
enum tlb_owner tlb_cluster_owner(const struct tlb_cluster *c, const char *id, char vm[TLB_ID_LEN]);
/* True if the id's shard has no owner at present, or if the link to the owner is down or silent, in
 * which case the owner will be fenced unless it sends again. */
bool tlb_cluster_owner_unreachable(const struct tlb_cluster *c, const char *id);
/* The entry for an id in the map in force; an absent owner or standby has the id "". */
const struct tlb_shard_entry *tlb_cluster_shard_entry(const struct tlb_cluster *c, const char *id);
/* Sets out to the standby of an id that this VM owns by the map in force. Returns false if this VM
 * does not own it or there is no standby. */
bool tlb_cluster_standby(const struct tlb_cluster *c, const char *id, struct tlb_vm_name *out);
int64_t tlb_cluster_map_version(const struct tlb_cluster *c);
/* Whether the incarnation has ended (see the head of this file). */
bool tlb_cluster_has_ended(const struct tlb_cluster *c, const struct tlb_vm_name *vm);
/* For fencing numbers: increases whenever another VM becomes the owner of the id's shard. Twice the
 * version of the shard map, plus 1 while this VM owns the shard as the standby of a fenced owner
 * that the map still names. Meaningful only while tlb_cluster_owner() returns SELF. */
int64_t tlb_cluster_fencing_epoch(const struct tlb_cluster *c, const char *id);
/* Calls fn for each live VM except this one. fn must not modify the cluster. */
void tlb_cluster_for_each_peer(const struct tlb_cluster *c, void (*fn)(void *arg, const char *vm),
			       void *arg);

/* The configuration version last received from a VM; 0 if none. */
int64_t tlb_cluster_peer_config_version(const struct tlb_cluster *c, const char *vm);
/* Records that a VM has this configuration version, learned other than by a heartbeat. */
void tlb_cluster_record_peer_config(struct tlb_cluster *c, const char *vm, int64_t version);
/* Selects linked VMs not known to have this configuration version, at random. Returns their number.
 */
int tlb_cluster_select_config_targets(const struct tlb_cluster *c, int64_t version,
				      char vm[TLB_CLUSTER_CONFIG_TARGETS_MAX][TLB_ID_LEN]);

/* Sends a request. Only the oneof of body must be set; it is encoded before the function returns.
 * on_reply runs once, at the latest at the deadline. */
void tlb_cluster_call(struct tlb_cluster *c, const char *vm, struct tlb_peer_call *call,
		      Toucan__Envelope *body, tlb_time deadline, tlb_peer_reply_fn *on_reply,
		      void *arg);
/* Sends a one-way message. Returns false if it was dropped for lack of a link. */
bool tlb_cluster_send(struct tlb_cluster *c, const char *vm, Toucan__Envelope *body);
/* Replies to a request; dropped if the sender is disconnected or has restarted. */
void tlb_cluster_reply(struct tlb_cluster *c, const struct tlb_peer_reply_address *to,
		       Toucan__Envelope *body);

/* For fence.c, gossip.c and membership.c. */

/* Puts a shard map into force if it is newer than the current one. */
void tlb_cluster_apply_map(struct tlb_cluster *c, const struct tlb_shard_map *map);
/* Applies a VM row if it is newer than the known one. The row of a VM that has left takes effect
 * only together with the map that moved its shards. */
void tlb_cluster_apply_row(struct tlb_cluster *c, const struct tlb_vm_row *row);
/* Recomputes the shards that this daemon owns and reports changes. */
void tlb_cluster_update_shards(struct tlb_cluster *c);
/* The row of this VM was written under the current incarnation: starts the session lease. */
void tlb_cluster_on_joined(struct tlb_cluster *c, const struct tlb_vm_row *row);
/* Ends the current incarnation and joins again under a new one. reason is logged. */
void tlb_cluster_rejoin(struct tlb_cluster *c, const char *reason);
void tlb_cluster_send_map(struct tlb_cluster *c, const char *vm);
/* Selects the VMs to keep persistent links to, and updates the links. */
void tlb_cluster_select_links(struct tlb_cluster *c);
/* Selects the witnesses that the session should have now; returns their number. With linked, only
 * VMs with a link are considered. */
int tlb_cluster_select_witnesses(const struct tlb_cluster *c, bool linked, struct tlb_vm_name *out);

#endif
