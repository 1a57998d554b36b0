#include "cluster.h"

#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fence.h"
#include "gossip.h"
#include "log.h"
#include "mesh.h"

/* A witness without a link and without frames for longer than this is replaced. */
#define WITNESS_LOST_TIMEOUT (10 * TLB_SECOND)
/* Longest time for a majority of a proposed witness set to send grants. */
#define WITNESS_PROPOSAL_TIMEOUT (5 * TLB_SECOND)
/* An owner that has missed two heartbeats, which are sent once a second, has probably failed. */
#define OWNER_SILENCE_TIMEOUT (2200 * TLB_MS)
/* A heartbeat timer later than this means that the process was paused. */
#define PAUSE_THRESHOLD (2 * TLB_SECOND)

static int64_t config_version(const struct tlb_cluster *c)
{
	return c->handlers.config_version ? c->handlers.config_version(c->handlers.arg) : 0;
}

static struct tlb_fleet fleet_view(const struct tlb_cluster *c)
{
	struct tlb_fleet f = {.ended = c->roster.ended, .ended_count = c->roster.ended_count};

	return f;
}

static bool has_link(const struct tlb_cluster *c, const char *vm)
{
	return tlb_peer_is_up(tlb_peers_find(&c->peers, vm));
}

/* Session. */

bool tlb_cluster_session_valid(const struct tlb_cluster *c, tlb_time now)
{
	return c->joined && tlb_session_valid(&c->session, now);
}

static void check_session(struct tlb_cluster *c)
{
	tlb_time now = tlb_clock_now();
	bool valid = tlb_cluster_session_valid(c, now);

	tlb_timer_set(c->loop, &c->session_expiry_timer,
		      valid ? c->session.valid_until : TLB_NEVER);
	if (valid == c->session_was_valid)
		return;
	c->session_was_valid = valid;
	c->session_invalid_since = now;
	tlb_counter_set(c->counters, TLB_COUNTER_SESSION_VALID, valid);
	if (!valid)
		tlb_counter_add(c->counters, TLB_COUNTER_SESSION_LOST, 1);
	tlb_log_info("event=%s incarnation=%016" PRIx64 " witnesses=%d",
		     valid ? "session_gained" : "session_lost", c->self.incarnation,
		     c->session.set[0].count);
	if (valid && c->handlers.on_session_regained)
		c->handlers.on_session_regained(c->handlers.arg);
	if (!valid && c->handlers.on_session_lost)
		c->handlers.on_session_lost(c->handlers.arg);
}

static void expiry_timer(void *arg)
{
	check_session(arg);
}

/* Shards. */

static tlb_shard_set shard_set_from_list(const uint32_t *shards, size_t count)
{
	tlb_shard_set set = 0;
	size_t i;

	for (i = 0; i < count; i++)
		if (shards[i] < TLB_SHARD_COUNT)
			set |= (tlb_shard_set)1 << shards[i];
	return set;
}

static void free_hand_over(struct tlb_hand_over *h)
{
	toucan__hand_over__free_unpacked(h->state, NULL);
	h->state = NULL;
}

static void free_hand_overs(struct tlb_cluster *c)
{
	int i;

	for (i = 0; i < TLB_HAND_OVERS_MAX; i++)
		if (c->hand_overs[i].state)
			free_hand_over(&c->hand_overs[i]);
}

/* State received from a former owner is valid only if the owner wrote the map that moves the shards
 * right after sending it; otherwise the owner may have changed the state since. The ticket
 * identifies that write. The map in force includes it even if other VMs have written since and this
 * VM has missed the map in between: only this VM could have moved the shards on. The version of the
 * map can't be used instead, because the map previously in force here may have been older than the
 * former owner's. A shard that was owned here before, after a fence, has a newer state. */
static void deliver_hand_overs(struct tlb_cluster *c, tlb_shard_set gained)
{
	struct tlb_hand_over *h;
	tlb_shard_set shards;
	int i;

	for (i = 0; i < TLB_HAND_OVERS_MAX; i++) {
		h = &c->hand_overs[i];
		if (!h->state || !tlb_shard_map_includes(&c->map, h->state->ticket))
			continue;
		shards = shard_set_from_list(h->state->shards, h->state->n_shards) & gained;
		if (shards && c->handlers.import_shards)
			c->handlers.import_shards(c->handlers.arg, shards, h->state);
		free_hand_over(h);
	}
}

void tlb_cluster_update_shards(struct tlb_cluster *c)
{
	struct tlb_fleet f = fleet_view(c);
	tlb_shard_set now = tlb_shard_owned_set(&c->map, &f, &c->self, &c->released_rights);
	tlb_shard_set gained = now & ~c->owned_shards;
	tlb_shard_set lost = c->owned_shards & ~now;

	if (!c->joined) {
		lost = c->owned_shards;
		gained = now = 0;
	}
	c->owned_shards = now;
	if (!gained && !lost)
		return;
	tlb_counter_set(c->counters, TLB_COUNTER_SHARDS, __builtin_popcountll(now));
	tlb_log_info("event=shards map=%" PRId64 " owned=%d gained=%016" PRIx64 " lost=%016" PRIx64,
		     c->map.version, __builtin_popcountll(now), gained, lost);
	if (c->handlers.on_shards_changed)
		c->handlers.on_shards_changed(c->handlers.arg, gained, lost);
}

/* Whether the row says that a VM has left and the map that moved its shards, which was written in
 * the same transaction, is not in force here yet. */
static bool precedes_map(const struct tlb_cluster *c, const struct tlb_vm_row *row)
{
	return row->state == TLB_VM_LEFT && row->replaced_map > 0 &&
	       c->map.version <= row->replaced_map;
}

static void apply_deferred_rows(struct tlb_cluster *c)
{
	struct tlb_vm_row row;
	int i;

	for (i = 0; i < c->roster.count; i++) {
		if (!c->roster.members[i].deferred ||
		    precedes_map(c, c->roster.members[i].deferred))
			continue;
		row = *c->roster.members[i].deferred;
		tlb_cluster_apply_row(c, &row);
	}
}

void tlb_cluster_apply_map(struct tlb_cluster *c, const struct tlb_shard_map *map)
{
	tlb_shard_set owned_before = c->owned_shards;

	if (map->version <= c->map.version)
		return;
	c->map = *map;
	tlb_membership_on_map(&c->membership);
	tlb_cluster_update_shards(c);
	deliver_hand_overs(c, c->owned_shards & ~owned_before);
	apply_deferred_rows(c);
	if (c->handlers.on_map_changed)
		c->handlers.on_map_changed(c->handlers.arg);
	tlb_membership_schedule_rebalance(&c->membership);
}

tlb_shard_set tlb_cluster_owned_shards(const struct tlb_cluster *c)
{
	return c->owned_shards & ~c->transferring_shards;
}

enum tlb_owner tlb_cluster_owner(const struct tlb_cluster *c, const char *id, char vm[TLB_ID_LEN])
{
	struct tlb_fleet f = fleet_view(c);
	int shard = tlb_shard_for_id(id);
	const struct tlb_vm_name *owner = tlb_shard_effective_owner(&c->map, shard, &f);

	vm[0] = '\0';
	if (!owner)
		return TLB_OWNER_NONE;
	if (tlb_vm_name_equal(owner, &c->self))
		return tlb_shard_set_contains(tlb_cluster_owned_shards(c), shard) ? TLB_OWNER_SELF
										  : TLB_OWNER_NONE;
	memcpy(vm, owner->id, TLB_ID_LEN);
	return TLB_OWNER_PEER;
}

bool tlb_cluster_owner_unreachable(const struct tlb_cluster *c, const char *id)
{
	const struct tlb_peer *peer;
	char vm[TLB_ID_LEN];

	switch (tlb_cluster_owner(c, id, vm)) {
	case TLB_OWNER_SELF:
		return false;
	case TLB_OWNER_NONE:
		return true;
	case TLB_OWNER_PEER:
		break;
	}
	peer = tlb_peers_find(&c->peers, vm);
	return !tlb_peer_is_up(peer) ||
	       tlb_clock_now() > peer->last_received_at + OWNER_SILENCE_TIMEOUT;
}

const struct tlb_shard_entry *tlb_cluster_shard_entry(const struct tlb_cluster *c, const char *id)
{
	return &c->map.entry[tlb_shard_for_id(id)];
}

bool tlb_cluster_standby(const struct tlb_cluster *c, const char *id, struct tlb_vm_name *out)
{
	const struct tlb_shard_entry *e = tlb_cluster_shard_entry(c, id);

	if (!tlb_vm_name_equal(&e->owner, &c->self) || !e->standby.id[0] ||
	    tlb_cluster_has_ended(c, &e->standby))
		return false;
	*out = e->standby;
	return true;
}

int64_t tlb_cluster_map_version(const struct tlb_cluster *c)
{
	return c->map.version;
}

bool tlb_cluster_has_ended(const struct tlb_cluster *c, const struct tlb_vm_name *vm)
{
	return tlb_roster_ended(&c->roster, vm);
}

int64_t tlb_cluster_fencing_epoch(const struct tlb_cluster *c, const char *id)
{
	const struct tlb_shard_entry *e = &c->map.entry[tlb_shard_for_id(id)];

	return 2 * c->map.version + !tlb_vm_name_equal(&e->owner, &c->self);
}

/* Witnesses. */

int tlb_cluster_select_witnesses(const struct tlb_cluster *c, bool linked, struct tlb_vm_name *out)
{
	struct tlb_witness_candidate *candidate =
		calloc(c->roster.count + 1, sizeof(struct tlb_witness_candidate));
	const struct tlb_member *m;
	int count = 0;
	int i;
	int j;

	for (i = 0; candidate && i < c->roster.count; i++) {
		m = &c->roster.members[i];
		if (!tlb_roster_live(&c->roster, m) || strcmp(m->row.name.id, c->self.id) == 0 ||
		    strcmp(m->row.region, c->settings->region) != 0 ||
		    m->promised_incarnation == c->self.incarnation)
			continue;
		if (linked && !has_link(c, m->row.name.id))
			continue;
		tlb_vm_name_set(&candidate[count].name, m->row.name.id, m->row.process_incarnation);
		memcpy(candidate[count].zone, m->row.zone, TLB_ID_LEN);
		for (j = 0; j < c->session.set[0].count; j++)
			if (tlb_vm_name_equal(&c->session.set[0].grant[j].witness,
					      &candidate[count].name))
				candidate[count].current = true;
		count++;
	}
	count = tlb_session_choose_witnesses(c->self.id, candidate, count, out);
	free(candidate);
	return count;
}

/* Whether the witness is certain to send no more grants: its process was replaced, it has left, or
 * it has agreed to the fence of this incarnation. */
static bool witness_ended(const struct tlb_cluster *c, const struct tlb_vm_name *witness)
{
	const struct tlb_member *m = tlb_roster_find(&c->roster, witness->id);

	return !m || m->row.process_incarnation != witness->incarnation ||
	       m->row.state == TLB_VM_LEFT || m->promised_incarnation == c->self.incarnation;
}

static bool witness_silent(const struct tlb_cluster *c, const struct tlb_vm_name *witness)
{
	const struct tlb_member *m = tlb_roster_find(&c->roster, witness->id);

	return m && !has_link(c, witness->id) &&
	       tlb_clock_now() - tlb_fences_last_heard(c, m) > WITNESS_LOST_TIMEOUT;
}

static int count_witnesses(const struct tlb_cluster *c,
			   bool (*is)(const struct tlb_cluster *c, const struct tlb_vm_name *w))
{
	const struct tlb_witness_set *set = &c->session.set[0];
	int n = 0;
	int i;

	for (i = 0; i < set->count; i++)
		n += is(c, &set->grant[i].witness);
	return n;
}

static bool witness_lost(const struct tlb_cluster *c, const struct tlb_vm_name *witness)
{
	return witness_ended(c, witness) || witness_silent(c, witness);
}

static int count_live_peers(const struct tlb_cluster *c)
{
	int n = 0;
	int i;

	for (i = 0; i < c->roster.count; i++)
		n += tlb_roster_live(&c->roster, &c->roster.members[i]) &&
		     strcmp(c->roster.members[i].row.name.id, c->self.id) != 0;
	return n;
}

/* A session can't become valid again once half of its witnesses are lost. A new incarnation can
 * have a valid session if this VM has links to a majority of the witnesses that the fleet can
 * provide, which is never the case on the smaller side of a partition. */
static bool must_rejoin(const struct tlb_cluster *c, int linked_witnesses)
{
	int count = c->session.set[0].count;
	int others = count_live_peers(c);
	int max_witnesses = others < TLB_WITNESS_MAX ? others : TLB_WITNESS_MAX;
	bool majority_lost = 2 * count_witnesses(c, witness_ended) >= count;

	if (tlb_clock_now() - c->session_invalid_since > TLB_FENCE_TIMEOUT)
		majority_lost = 2 * count_witnesses(c, witness_lost) >= count;
	if (c->session_was_valid || !majority_lost)
		return false;
	return linked_witnesses > max_witnesses / 2 || others == 0;
}

static void check_witnesses(struct tlb_cluster *c)
{
	struct tlb_vm_name selected[TLB_WITNESS_MAX];
	tlb_time now = tlb_clock_now();
	int count;

	if (!c->joined)
		return;
	if (c->session.phase == TLB_SESSION_PROPOSED) {
		if (tlb_session_proposal_ready(&c->session, now))
			tlb_membership_schedule(&c->membership);
		else if (now - c->witnesses_proposed_at > WITNESS_PROPOSAL_TIMEOUT)
			tlb_session_withdraw_proposal(&c->session);
		return;
	}
	count = tlb_cluster_select_witnesses(c, true, selected);
	if (must_rejoin(c, count)) {
		tlb_cluster_rejoin(c, "witnesses lost");
		return;
	}
	if (c->session.phase != TLB_SESSION_STEADY || now < c->membership.witness_retry_at)
		return;
	if (count == 0 || (count <= c->session.set[0].count && !count_witnesses(c, witness_lost)))
		return;
	tlb_session_propose_witnesses(&c->session, selected, count);
	c->witnesses_proposed_at = now;
}

/* Links. */

static void send_heartbeat(struct tlb_cluster *c, const struct tlb_peer *peer, bool with_digest);

/* The name under which vm is a witness of this session; NULL if it is none. */
static const struct tlb_vm_name *witness_name_of(const struct tlb_cluster *c, const char *vm)
{
	const struct tlb_witness_set *set;
	int sets = c->session.phase >= TLB_SESSION_PROPOSED ? 2 : 1;
	const struct tlb_member *m = tlb_roster_find(&c->roster, vm);
	int i;
	int j;

	for (j = 0; m && j < sets; j++) {
		set = &c->session.set[j];
		for (i = 0; i < set->count; i++)
			if (strcmp(set->grant[i].witness.id, vm) == 0 &&
			    set->grant[i].witness.incarnation == m->row.process_incarnation)
				return &set->grant[i].witness;
	}
	return NULL;
}

static bool names_self_as_witness(const struct tlb_cluster *c, const struct tlb_vm_row *row)
{
	int i;

	for (i = 0; i < row->witness_count; i++)
		if (strcmp(row->witness[i].id, c->self.id) == 0)
			return true;
	return false;
}

static bool contains_vm(const struct tlb_vm_name *list, int count, const char *vm)
{
	int i;

	for (i = 0; i < count; i++)
		if (strcmp(list[i].id, vm) == 0)
			return true;
	return false;
}

static uint32_t random_below(void *arg, uint32_t bound)
{
	return randombytes_uniform(bound);
}

static void describe_link(const struct tlb_cluster *c, const struct tlb_member *m,
			  const struct tlb_vm_name *witnesses, int witness_count,
			  struct tlb_mesh_vm *out)
{
	const char *vm = m->row.name.id;
	const struct tlb_peer *peer = tlb_peers_find(&c->peers, vm);

	/* The witnesses of a fenced VM keep trying to link to it: if it restarts while the table
	 * service is down, it has no record of other VMs and learns the configuration from its
	 * witnesses. */
	out->unreachable = true;
	out->required = names_self_as_witness(c, &m->row);
	if (!tlb_roster_live(&c->roster, m))
		return;
	out->required = out->required || witness_name_of(c, vm) ||
			contains_vm(witnesses, witness_count, vm);
	out->random_link = m->random_link;
	out->remote_persistent =
		peer && peer->active_link && tlb_clock_now() < peer->remote_persistent_until;
	out->unreachable = !peer || (!peer->active_link && peer->attempts > 0);
}

/* Stops keeping a link; a last heartbeat notifies the other end. */
static void stop_keeping_link(struct tlb_cluster *c, const char *vm)
{
	const struct tlb_peer *peer = tlb_peers_find(&c->peers, vm);
	bool was_kept = peer && peer->persistent;

	tlb_peers_set_persistent(&c->peers, vm, false);
	if (was_kept && peer->active_link)
		send_heartbeat(c, peer, false);
}

static bool is_keeping_link(const struct tlb_cluster *c, const char *vm)
{
	const struct tlb_peer *peer = tlb_peers_find(&c->peers, vm);

	return peer && peer->persistent;
}

static bool can_link(const struct tlb_cluster *c, const struct tlb_member *m)
{
	return m->row.state != TLB_VM_LEFT && strcmp(m->row.name.id, c->self.id) != 0;
}

static void apply_links(struct tlb_cluster *c, const struct tlb_mesh_vm *vms)
{
	struct tlb_member *m;
	int kept = 0;
	int chosen = 0;
	bool changed = false;
	bool keep;
	int n = 0;
	int i;

	for (i = 0; i < c->roster.count; i++) {
		m = &c->roster.members[i];
		keep = false;
		m->random_link = false;
		if (can_link(c, m)) {
			m->random_link = vms[n].random_link;
			keep = vms[n++].persistent;
		}
		kept += keep;
		chosen += m->random_link;
		changed = changed || keep != is_keeping_link(c, m->row.name.id);
		if (keep)
			tlb_peers_set_persistent(&c->peers, m->row.name.id, true);
		else
			stop_keeping_link(c, m->row.name.id);
	}
	if (changed)
		tlb_log_info("event=links kept=%d random=%d", kept, chosen);
}

void tlb_cluster_select_links(struct tlb_cluster *c)
{
	struct tlb_mesh_vm *vms = calloc(c->roster.count + 1, sizeof(*vms));
	struct tlb_vm_name witnesses[TLB_WITNESS_MAX];
	int witness_count = tlb_cluster_select_witnesses(c, false, witnesses);
	tlb_time now = tlb_clock_now();
	bool renew = now >= c->renew_links_at;
	int count = 0;
	int i;

	if (!vms)
		return;
	if (renew)
		c->renew_links_at = now + TLB_MESH_RENEW_INTERVAL / 2 +
				    randombytes_uniform(TLB_MESH_RENEW_INTERVAL);
	for (i = 0; i < c->roster.count; i++)
		if (can_link(c, &c->roster.members[i]))
			describe_link(c, &c->roster.members[i], witnesses, witness_count,
				      &vms[count++]);
	tlb_mesh_select(vms, count, renew, random_below, NULL);
	apply_links(c, vms);
	free(vms);
}

/* Heartbeats. */

static int64_t own_row_version(const struct tlb_cluster *c)
{
	return c->session.set[c->session.phase == TLB_SESSION_CONFIRMING].row_version;
}

static void send_heartbeat(struct tlb_cluster *c, const struct tlb_peer *peer, bool with_digest)
{
	Toucan__Envelope envelope = TOUCAN__ENVELOPE__INIT;
	Toucan__Heartbeat heartbeat = TOUCAN__HEARTBEAT__INIT;
	const struct tlb_vm_name *witness = witness_name_of(c, peer->id);

	heartbeat.number = c->heartbeat_number;
	heartbeat.grant_wanted = c->joined && witness;
	heartbeat.witness_incarnation = witness ? witness->incarnation : 0;
	heartbeat.row_version = c->joined ? own_row_version(c) : 0;
	heartbeat.config_version = config_version(c);
	heartbeat.shards_version = c->map.version;
	heartbeat.keep = peer->persistent;
	heartbeat.rows_digest = with_digest ? tlb_roster_digest(&c->roster) : 0;
	envelope.body_case = TOUCAN__ENVELOPE__BODY_HEARTBEAT;
	envelope.heartbeat = &heartbeat;
	if (c->handlers.load_reports && tlb_cluster_session_valid(c, tlb_clock_now()))
		heartbeat.n_load_reports = c->handlers.load_reports(
			c->handlers.arg, c->heartbeat_number, &heartbeat.load_reports);
	tlb_peers_send_if_up(&c->peers, peer->id, &envelope);
}

static void begin_heartbeat(struct tlb_cluster *c)
{
	c->heartbeat_number++;
	c->heartbeat_sent_at[c->heartbeat_number % TLB_HEARTBEAT_HISTORY] = tlb_clock_now();
}

/* Peers refuse links of a fenced incarnation, so that it can learn of its fence only from its row.
 * Reads the row every other heartbeat while the session is invalid. */
static void request_own_row(struct tlb_cluster *c)
{
	if (c->joined && !c->session_was_valid && c->heartbeat_number % 2 == 0)
		tlb_membership_request_row(&c->membership, c->self.id);
}

static void heartbeat_timer(void *arg)
{
	struct tlb_cluster *c = arg;
	const struct tlb_peer *peer;
	tlb_time now = tlb_clock_now();
	bool with_digest;

	/* After a pause of this process the silence of peers says nothing about them. */
	if (now - c->heartbeat.deadline > PAUSE_THRESHOLD)
		c->silence_counts_from = now;
	tlb_timer_set(c->loop, &c->heartbeat, now + TLB_HEARTBEAT_INTERVAL);
	begin_heartbeat(c);
	with_digest = c->heartbeat_number % TLB_GOSSIP_DIGEST_HEARTBEATS == 0;
	tlb_cluster_select_links(c);
	APR_RING_FOREACH (peer, &c->peers.peers, tlb_peer, link)
		if (tlb_peer_is_up(peer) && tlb_peer_is_persistent(peer))
			send_heartbeat(c, peer, with_digest);
	check_session(c);
	request_own_row(c);
	tlb_fences_check(c);
	tlb_gossip_check_pull(c);
	tlb_membership_check_map(&c->membership);
	check_witnesses(c);
	tlb_membership_schedule(&c->membership);
}

static void ack_heartbeat(struct tlb_cluster *c, const struct tlb_vm_name *vm,
			  const Toucan__Heartbeat *heartbeat)
{
	Toucan__Envelope envelope = TOUCAN__ENVELOPE__INIT;
	Toucan__HeartbeatAck ack = TOUCAN__HEARTBEAT_ACK__INIT;

	ack.number = heartbeat->number;
	ack.granted =
		tlb_witness_on_heartbeat(&c->witness, vm, heartbeat->witness_incarnation,
					 heartbeat->row_version, tlb_clock_now(), &ack.row_version);
	ack.promised = tlb_witness_promised(&c->witness, vm);
	ack.witness_incarnation = c->witness.incarnation;
	envelope.body_case = TOUCAN__ENVELOPE__BODY_HEARTBEAT_ACK;
	envelope.heartbeat_ack = &ack;
	tlb_peers_send_if_up(&c->peers, vm->id, &envelope);
}

/* Records whether the other end keeps the link; if it has just begun to, it gets a heartbeat. */
static void handle_keep(struct tlb_cluster *c, struct tlb_peer *peer, bool keep)
{
	bool was_kept = tlb_peer_is_persistent(peer);

	peer->remote_persistent_until = keep ? tlb_clock_now() + TLB_PEER_REMOTE_PERSISTENT_TTL : 0;
	if (!was_kept && keep)
		send_heartbeat(c, peer, true);
}

static void handle_heartbeat(struct tlb_cluster *c, struct tlb_peer *peer,
			     const struct tlb_vm_name *vm, const Toucan__Heartbeat *heartbeat)
{
	struct tlb_member *m = tlb_roster_find(&c->roster, vm->id);

	handle_keep(c, peer, heartbeat->keep);
	if (heartbeat->grant_wanted)
		ack_heartbeat(c, vm, heartbeat);
	tlb_gossip_on_heartbeat(c, vm->id, heartbeat->row_version, heartbeat->shards_version,
				heartbeat->rows_digest);
	if (c->handlers.on_load_reports)
		c->handlers.on_load_reports(c->handlers.arg, vm->id, vm->incarnation,
					    heartbeat->n_load_reports, heartbeat->load_reports);
	if (!m)
		return;
	if (heartbeat->config_version == m->config_version)
		return;
	m->config_version = heartbeat->config_version;
	if (c->handlers.on_peer_config_version)
		c->handlers.on_peer_config_version(c->handlers.arg, vm->id, m->config_version);
}

static void handle_heartbeat_ack(struct tlb_cluster *c, const struct tlb_vm_name *vm,
				 const Toucan__HeartbeatAck *ack)
{
	struct tlb_member *m = tlb_roster_find(&c->roster, vm->id);
	bool known = ack->number <= c->heartbeat_number &&
		     ack->number + TLB_HEARTBEAT_HISTORY > c->heartbeat_number;
	struct tlb_vm_name witness;

	if (m && ack->promised && m->promised_incarnation != c->self.incarnation) {
		m->promised_incarnation = c->self.incarnation;
		tlb_log_info("event=grant_refused vm=%s", vm->id);
	}
	if (!known || !ack->granted)
		return;
	tlb_vm_name_set(&witness, vm->id, ack->witness_incarnation);
	tlb_session_on_grant(&c->session, &witness,
			     c->heartbeat_sent_at[ack->number % TLB_HEARTBEAT_HISTORY],
			     ack->row_version);
	check_session(c);
	if (tlb_session_proposal_ready(&c->session, tlb_clock_now()))
		tlb_membership_schedule(&c->membership);
}

/* Messages. */

static void send_done(struct tlb_cluster *c, const struct tlb_peer_reply_address *to)
{
	Toucan__Envelope envelope = TOUCAN__ENVELOPE__INIT;
	Toucan__Done done = TOUCAN__DONE__INIT;

	envelope.body_case = TOUCAN__ENVELOPE__BODY_DONE;
	envelope.done = &done;
	tlb_peers_reply(&c->peers, to, &envelope);
}

static void handle_standby_release(struct tlb_cluster *c, const struct tlb_peer_reply_address *from,
				   const Toucan__StandbyRelease *release)
{
	struct tlb_vm_name owner;

	tlb_vm_name_set(&owner, from->vm, from->incarnation);
	/* The owner has ended, so that this standby has already taken over. */
	if (tlb_roster_ended(&c->roster, &owner))
		return;
	tlb_shard_release(&c->released_rights, &c->map,
			  shard_set_from_list(release->shards, release->n_shards),
			  release->shards_version);
	if (c->handlers.on_standby_release)
		c->handlers.on_standby_release(
			c->handlers.arg, shard_set_from_list(release->shards, release->n_shards),
			release->shards_version);
	tlb_cluster_update_shards(c);
	send_done(c, from);
}

static void handle_hand_over(struct tlb_cluster *c, const struct tlb_peer_reply_address *from,
			     Toucan__Envelope *msg)
{
	struct tlb_hand_over *slot = &c->hand_overs[0];
	int i;

	/* Other VMs may read this VM's row before this daemon learns that it was written. */
	if (!c->joined)
		return;
	/* The shards were gained without it. */
	if (tlb_shard_map_includes(&c->map, msg->hand_over->ticket))
		return;
	for (i = 0; i < TLB_HAND_OVERS_MAX; i++)
		if (!c->hand_overs[i].state || c->hand_overs[i].received_at < slot->received_at) {
			slot = &c->hand_overs[i];
			if (!slot->state)
				break;
		}
	if (slot->state)
		free_hand_over(slot);
	tlb_vm_name_set(&slot->from, from->vm, from->incarnation);
	slot->received_at = tlb_clock_now();
	slot->state = msg->hand_over;
	msg->body_case = TOUCAN__ENVELOPE__BODY__NOT_SET;
	send_done(c, from);
}

static tlb_cluster_message_fn *handler_for(const struct tlb_cluster_handlers *h,
					   Toucan__Envelope__BodyCase kind)
{
	switch (kind) {
	case TOUCAN__ENVELOPE__BODY_RESERVE_TOKENS:
		return h->reserve_tokens;
	case TOUCAN__ENVELOPE__BODY_RETURN_TOKENS:
		return h->return_tokens;
	case TOUCAN__ENVELOPE__BODY_BOOK_DECODE:
		return h->book_decode;
	case TOUCAN__ENVELOPE__BODY_RENEW_BOOKINGS:
		return h->renew_bookings;
	case TOUCAN__ENVELOPE__BODY_RELEASE_BOOKING:
		return h->release_booking;
	case TOUCAN__ENVELOPE__BODY_BOOKINGS_PULL:
		return h->bookings_pull;
	case TOUCAN__ENVELOPE__BODY_PREEMPT:
		return h->preempt;
	case TOUCAN__ENVELOPE__BODY_CONFIG_PUSH:
		return h->config_push;
	case TOUCAN__ENVELOPE__BODY_CONFIG_PULL:
		return h->config_pull;
	case TOUCAN__ENVELOPE__BODY_LOAD_NOTICE:
		return h->load_notice;
	case TOUCAN__ENVELOPE__BODY_OPEN_PART:
		return h->open_delegation;
	case TOUCAN__ENVELOPE__BODY_CLOSE_PART:
		return h->close_delegation;
	default:
		return NULL;
	}
}

static void on_message(void *arg, struct tlb_peer *peer, Toucan__Envelope *msg)
{
	struct tlb_cluster *c = arg;
	struct tlb_peer_reply_address from = {.incarnation = peer->incarnation, .id = msg->id};
	tlb_cluster_message_fn *handler;
	struct tlb_vm_name vm;

	memcpy(from.vm, peer->id, TLB_ID_LEN);
	tlb_vm_name_set(&vm, peer->id, peer->incarnation);
	switch (msg->body_case) {
	case TOUCAN__ENVELOPE__BODY_HEARTBEAT:
		handle_heartbeat(c, peer, &vm, msg->heartbeat);
		break;
	case TOUCAN__ENVELOPE__BODY_HEARTBEAT_ACK:
		handle_heartbeat_ack(c, &vm, msg->heartbeat_ack);
		break;
	case TOUCAN__ENVELOPE__BODY_FENCE_REQUEST:
		tlb_fences_on_request(c, &from, msg->fence_request);
		break;
	case TOUCAN__ENVELOPE__BODY_FENCE_NOTICE:
		tlb_fences_on_notice(c, peer->id, msg->fence_notice);
		break;
	case TOUCAN__ENVELOPE__BODY_STANDBY_RELEASE:
		handle_standby_release(c, &from, msg->standby_release);
		break;
	case TOUCAN__ENVELOPE__BODY_SHARDS_NOTICE:
		tlb_gossip_on_map(c, peer->id, msg->shards_notice);
		break;
	case TOUCAN__ENVELOPE__BODY_SHARDS_PULL:
		tlb_gossip_on_map_pull(c, peer->id, msg->shards_pull);
		break;
	case TOUCAN__ENVELOPE__BODY_ROW_NOTICE:
		tlb_gossip_on_rows(c, peer->id, msg->row_notice);
		break;
	case TOUCAN__ENVELOPE__BODY_ROWS_PULL:
		tlb_gossip_on_rows_pull(c, peer->id, msg->rows_pull);
		break;
	case TOUCAN__ENVELOPE__BODY_HAND_OVER:
		handle_hand_over(c, &from, msg);
		break;
	default:
		handler = handler_for(&c->handlers, msg->body_case);
		if (handler)
			handler(c->handlers.arg, &from, msg);
	}
}

static bool accepts(void *arg, const char *vm, uint64_t incarnation)
{
	const struct tlb_cluster *c = arg;
	struct tlb_vm_name name;

	tlb_vm_name_set(&name, vm, incarnation);
	return !tlb_roster_ended(&c->roster, &name);
}

static void on_up(void *arg, struct tlb_peer *peer)
{
	struct tlb_cluster *c = arg;

	peer->last_received_at = tlb_clock_now();
	if (tlb_peer_is_persistent(peer))
		send_heartbeat(c, peer, true);
	tlb_fences_resend(c, peer->id);
	if (c->handlers.on_link_up)
		c->handlers.on_link_up(c->handlers.arg, peer->id);
}

void tlb_cluster_send_map(struct tlb_cluster *c, const char *vm)
{
	Toucan__Envelope envelope = TOUCAN__ENVELOPE__INIT;
	Toucan__ShardsNotice notice = TOUCAN__SHARDS_NOTICE__INIT;
	json_t *value = tlb_shard_map_json(&c->map);

	notice.version = c->map.version;
	notice.json = json_dumps(value, JSON_COMPACT);
	envelope.body_case = TOUCAN__ENVELOPE__BODY_SHARDS_NOTICE;
	envelope.shards_notice = &notice;
	if (notice.json)
		tlb_peers_send_if_up(&c->peers, vm, &envelope);
	free(notice.json);
	json_decref(value);
}

/* Membership. */

void tlb_cluster_apply_row(struct tlb_cluster *c, const struct tlb_vm_row *row)
{
	const struct tlb_member *m = tlb_roster_find(&c->roster, row->name.id);
	bool self = strcmp(row->name.id, c->self.id) == 0;
	bool former_ended;

	if (m && m->row.version >= row->version)
		return;
	/* By the map in force a standby would take the shards over without their state. */
	if (m && !self && precedes_map(c, row)) {
		if (tlb_roster_defer(&c->roster, row))
			tlb_log_info("event=row_deferred vm=%s row=%" PRId64 " map=%" PRId64,
				     row->name.id, row->version, c->map.version);
		return;
	}
	tlb_witness_on_row(&c->witness, &row->name, row->version);
	former_ended = !m || tlb_vm_name_equal(&m->row.name, &row->name) ||
		       tlb_roster_ended(&c->roster, &m->row.name);
	if (!former_ended)
		tlb_fences_apply(c, &m->row.name, "row");
	if (row->state != TLB_VM_LIVE)
		tlb_fences_apply(c, &row->name, "row");
	tlb_roster_put(&c->roster, row, tlb_clock_now());
	if (self && c->joined && !c->membership.leaving &&
	    (!tlb_vm_name_equal(&row->name, &c->self) || row->state != TLB_VM_LIVE))
		tlb_cluster_rejoin(c, "the VM row names another incarnation");
	if (self)
		return;
	if (row->state == TLB_VM_LIVE)
		tlb_peers_add(&c->peers, row->name.id, row->addr);
	else if (row->state == TLB_VM_LEFT)
		tlb_peers_disconnect(&c->peers, row->name.id);
	tlb_membership_schedule_rebalance(&c->membership);
}

void tlb_cluster_on_joined(struct tlb_cluster *c, const struct tlb_vm_row *row)
{
	tlb_time now = tlb_clock_now();

	c->joined = true;
	tlb_session_begin(&c->session, row->version, row->witness, row->witness_count);
	/* Only now has the former process of this VM certainly ended; see session.h. */
	if (c->witness.incarnation != c->process_incarnation)
		tlb_witness_restart(&c->witness, c->process_incarnation, now);
	c->session_invalid_since = now;
	c->silence_counts_from = now;
	tlb_log_info("event=joined vm=%s incarnation=%016" PRIx64 " row=%" PRId64 " witnesses=%d",
		     c->self.id, c->self.incarnation, row->version, row->witness_count);
	check_session(c);
	tlb_cluster_update_shards(c);
	tlb_gossip_send_rows(c, row, 1, NULL);
	heartbeat_timer(c);
}

static void set_incarnation(struct tlb_cluster *c)
{
	randombytes_buf(&c->self.incarnation, sizeof(c->self.incarnation));
	snprintf(c->instance_name, sizeof(c->instance_name), "%s/%016" PRIx64, c->self.id,
		 c->self.incarnation);
}

void tlb_cluster_rejoin(struct tlb_cluster *c, const char *reason)
{
	struct tlb_vm_name former = c->self;

	if (!c->joined)
		return;
	tlb_log_warn("event=rejoin vm=%s incarnation=%016" PRIx64 " reason=\"%s\"", c->self.id,
		     c->self.incarnation, reason);
	tlb_session_on_fence(&c->session);
	c->joined = false;
	c->transferring_shards = 0;
	check_session(c);
	set_incarnation(c);
	tlb_cluster_update_shards(c);
	free_hand_overs(c);
	/* This process ran the former incarnation itself, so that no agreement of witnesses is
	 * needed. */
	tlb_fences_apply(c, &former, "self");
	if (c->handlers.on_self_fenced)
		c->handlers.on_self_fenced(c->handlers.arg);
	tlb_peers_set_incarnation(&c->peers, c->self.incarnation);
	tlb_membership_join(&c->membership);
}

/* Interface. */

void tlb_cluster_init(struct tlb_cluster *c, struct tlb_loop *loop,
		      const struct tlb_settings *settings, struct tlb_store *store,
		      struct tlb_counters *counters, const struct tlb_cluster_handlers *handlers)
{
	struct tlb_peers_handlers peer_handlers = {
		.arg = c,
		.accepts = accepts,
		.on_up = on_up,
		.on_message = on_message,
	};

	memset(c, 0, sizeof(*c));
	c->loop = loop;
	c->settings = settings;
	c->store = store;
	c->counters = counters;
	c->handlers = *handlers;
	tlb_vm_name_set(&c->self, settings->vm_id, 0);
	set_incarnation(c);
	c->process_incarnation = c->self.incarnation;
	tlb_peers_init(&c->peers, loop, counters, settings, &peer_handlers);
	tlb_peers_set_incarnation(&c->peers, c->self.incarnation);
	tlb_witness_init(&c->witness, 0, tlb_clock_now());
	tlb_membership_init(&c->membership, c);
	tlb_timer_init(&c->heartbeat, heartbeat_timer, c);
	tlb_timer_init(&c->session_expiry_timer, expiry_timer, c);
}

enum tlb_code tlb_cluster_start(struct tlb_cluster *c, struct tlb_error *err)
{
	enum tlb_code code = tlb_peers_listen(&c->peers, c->settings->peer_addr, err);

	if (code == TLB_OK)
		tlb_membership_join(&c->membership);
	return code;
}

void tlb_cluster_finish(struct tlb_cluster *c)
{
	tlb_fences_finish(c);
	free_hand_overs(c);
	tlb_timer_clear(c->loop, &c->heartbeat);
	tlb_timer_clear(c->loop, &c->session_expiry_timer);
	tlb_membership_finish(&c->membership);
	tlb_peers_finish(&c->peers);
	tlb_timer_clear(c->loop, &c->membership.step_timer);
	tlb_witness_finish(&c->witness);
	tlb_roster_finish(&c->roster);
}

void tlb_cluster_leave(struct tlb_cluster *c, tlb_time deadline, tlb_cluster_done_fn *done,
		       void *arg)
{
	tlb_membership_leave(&c->membership, deadline, done, arg);
}

uint64_t tlb_cluster_incarnation(const struct tlb_cluster *c)
{
	return c->self.incarnation;
}

const char *tlb_cluster_instance_name(const struct tlb_cluster *c)
{
	return c->instance_name;
}

void tlb_cluster_for_each_peer(const struct tlb_cluster *c, void (*fn)(void *arg, const char *vm),
			       void *arg)
{
	int i;

	for (i = 0; i < c->roster.count; i++)
		if (tlb_roster_live(&c->roster, &c->roster.members[i]) &&
		    strcmp(c->roster.members[i].row.name.id, c->self.id) != 0)
			fn(arg, c->roster.members[i].row.name.id);
}

int tlb_cluster_witness_count(const struct tlb_cluster *c)
{
	return c->session.set[0].count;
}

bool tlb_cluster_has_enough_witnesses(const struct tlb_cluster *c)
{
	int others = count_live_peers(c);
	/* Witness sets have an odd size: an even one needs a larger majority for the same tolerance
	 * of failures. */
	int possible = others % 2 ? others : others - 1;

	if (possible > TLB_CLUSTER_SUFFICIENT_WITNESSES)
		possible = TLB_CLUSTER_SUFFICIENT_WITNESSES;
	return c->joined && tlb_cluster_witness_count(c) >= possible;
}

void tlb_cluster_reload_keys(struct tlb_cluster *c)
{
	c->peers.keys.count = c->settings->peer_key_count;
}

static int64_t known_config_version(const struct tlb_member *m)
{
	return m->config_version;
}

int tlb_cluster_select_config_targets(const struct tlb_cluster *c, int64_t version,
				      char vm[TLB_CLUSTER_CONFIG_TARGETS_MAX][TLB_ID_LEN])
{
	struct tlb_gossip_targets to;

	tlb_gossip_select_targets(c, NULL, known_config_version, version, &to);
	memcpy(vm, to.vm, sizeof(to.vm));
	return to.count;
}

void tlb_cluster_record_peer_config(struct tlb_cluster *c, const char *vm, int64_t version)
{
	struct tlb_member *m = tlb_roster_find(&c->roster, vm);

	if (m && version > m->config_version)
		m->config_version = version;
}

int64_t tlb_cluster_peer_config_version(const struct tlb_cluster *c, const char *vm)
{
	const struct tlb_member *m = tlb_roster_find(&c->roster, vm);

	return m ? m->config_version : 0;
}

void tlb_cluster_call(struct tlb_cluster *c, const char *vm, struct tlb_peer_call *call,
		      Toucan__Envelope *body, tlb_time deadline, tlb_peer_reply_fn *on_reply,
		      void *arg)
{
	tlb_peers_call(&c->peers, vm, call, body, deadline, on_reply, arg);
}

bool tlb_cluster_send(struct tlb_cluster *c, const char *vm, Toucan__Envelope *body)
{
	return tlb_peers_send(&c->peers, vm, body);
}

void tlb_cluster_reply(struct tlb_cluster *c, const struct tlb_peer_reply_address *to,
		       Toucan__Envelope *body)
{
	tlb_peers_reply(&c->peers, to, body);
}
