#include "gossip.h"

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cluster.h"
#include "fence.h"
#include "log.h"

/* Shortest time between two pulls of the same version: the reply to the first may still arrive. */
#define PULL_INTERVAL (500 * TLB_MS)
/* Time after PULL_INTERVAL without a reply to a pull of the map after which the map is read from
 * the table service, because the VM that announced it may have failed. */
#define PULL_REPLY_TIMEOUT (1 * TLB_SECOND)

enum { KEY_LEN = TLB_ID_LEN + 3 };

void tlb_gossip_select_targets(const struct tlb_cluster *c, const char *except,
			       tlb_gossip_version_fn *version_of, int64_t version,
			       struct tlb_gossip_targets *out)
{
	const struct tlb_member *m;
	const struct tlb_peer *peer;
	int candidates = 0;
	int slot;
	int i;

	memset(out, 0, sizeof(*out));
	for (i = 0; i < c->roster.count; i++) {
		m = &c->roster.members[i];
		peer = tlb_peers_find(&c->peers, m->row.name.id);
		if (!tlb_peer_is_up(peer) || !tlb_peer_is_persistent(peer) ||
		    (except && strcmp(m->row.name.id, except) == 0) ||
		    (version_of && version_of(m) >= version))
			continue;
		/* Reservoir sampling: every candidate is equally likely to stay. */
		candidates++;
		slot = out->count < TLB_GOSSIP_FANOUT ? out->count++
						      : (int)randombytes_uniform(candidates);
		if (slot < TLB_GOSSIP_FANOUT)
			memcpy(out->vm[slot], m->row.name.id, TLB_ID_LEN);
	}
}

/* Rows. */

/* Rows as messages; the row ids are borrowed. */
struct row_messages {
	Toucan__VmRow *list;
	Toucan__VmRow **pointers;
	size_t count;
};

static bool messages_init(struct row_messages *m, int cap)
{
	memset(m, 0, sizeof(*m));
	m->list = calloc(cap + 1, sizeof(*m->list));
	m->pointers = calloc(cap + 1, sizeof(*m->pointers));
	return m->list && m->pointers;
}

static void messages_add(struct row_messages *m, const struct tlb_vm_row *row)
{
	Toucan__VmRow *r = &m->list[m->count];
	json_t *value = tlb_vm_row_json(row);

	toucan__vm_row__init(r);
	r->id = (char *)row->name.id;
	r->version = row->version;
	r->json = json_dumps(value, JSON_COMPACT);
	json_decref(value);
	if (r->json)
		m->pointers[m->count++] = r;
}

static void messages_finish(struct row_messages *m)
{
	size_t i;

	for (i = 0; i < m->count; i++)
		free(m->list[i].json);
	free(m->list);
	free(m->pointers);
}

static void send_rows_to(struct tlb_cluster *c, const struct row_messages *m, const char *vm)
{
	Toucan__Envelope envelope = TOUCAN__ENVELOPE__INIT;
	Toucan__RowNotice notice = TOUCAN__ROW_NOTICE__INIT;

	if (m->count == 0)
		return;
	notice.n_rows = m->count;
	notice.rows = m->pointers;
	envelope.body_case = TOUCAN__ENVELOPE__BODY_ROW_NOTICE;
	envelope.row_notice = &notice;
	tlb_peers_send_if_up(&c->peers, vm, &envelope);
}

static void send_rows(struct tlb_cluster *c, const struct row_messages *m,
		      const struct tlb_gossip_targets *to)
{
	int i;

	for (i = 0; i < to->count; i++)
		send_rows_to(c, m, to->vm[i]);
}

void tlb_gossip_send_row_to_all(struct tlb_cluster *c, const struct tlb_vm_row *row)
{
	const struct tlb_peer *peer;
	struct row_messages m;

	if (messages_init(&m, 1)) {
		messages_add(&m, row);
		APR_RING_FOREACH (peer, &c->peers.peers, tlb_peer, link)
			send_rows_to(c, &m, peer->id);
	}
	messages_finish(&m);
}

void tlb_gossip_send_rows(struct tlb_cluster *c, const struct tlb_vm_row *rows, int count,
			  const char *except)
{
	struct tlb_gossip_targets to;
	struct row_messages m;
	int i;

	tlb_gossip_select_targets(c, except, NULL, 0, &to);
	if (messages_init(&m, count)) {
		for (i = 0; i < count; i++)
			messages_add(&m, &rows[i]);
		send_rows(c, &m, &to);
	}
	messages_finish(&m);
}

/* Applies a received row. Returns true if it was newer than the known one and valid. */
static bool apply_row_message(struct tlb_cluster *c, const Toucan__VmRow *r, struct tlb_vm_row *row)
{
	json_t *value;
	char key[KEY_LEN];
	bool ok;

	if (strlen(r->id) >= TLB_ID_LEN || tlb_roster_has_row(&c->roster, r->id, r->version))
		return false;
	snprintf(key, sizeof(key), "vm/%s", r->id);
	value = json_loads(r->json, 0, NULL);
	ok = value && tlb_vm_row_parse(row, key, r->version, value);
	json_decref(value);
	if (ok)
		tlb_cluster_apply_row(c, row);
	return ok;
}

void tlb_gossip_on_rows(struct tlb_cluster *c, const char *from, const Toucan__RowNotice *notice)
{
	struct tlb_vm_row *new_rows = calloc(notice->n_rows + 1, sizeof(*new_rows));
	int count = 0;
	size_t i;

	for (i = 0; new_rows && i < notice->n_rows; i++)
		count += apply_row_message(c, notice->rows[i], &new_rows[count]);
	if (count > 0)
		tlb_gossip_send_rows(c, new_rows, count, from);
	free(new_rows);
}

static void pull_rows(struct tlb_cluster *c, const char *vm)
{
	Toucan__Envelope envelope = TOUCAN__ENVELOPE__INIT;
	Toucan__RowsPull pull = TOUCAN__ROWS_PULL__INIT;
	Toucan__RowVersion *list = calloc(c->roster.count + 1, sizeof(*list));
	Toucan__RowVersion **pointers = calloc(c->roster.count + 1, sizeof(*pointers));
	int i;

	for (i = 0; list && pointers && i < c->roster.count; i++) {
		toucan__row_version__init(&list[i]);
		list[i].id = c->roster.members[i].row.name.id;
		list[i].version = c->roster.members[i].row.version;
		pointers[i] = &list[i];
	}
	pull.n_have = i;
	pull.have = pointers;
	envelope.body_case = TOUCAN__ENVELOPE__BODY_ROWS_PULL;
	envelope.rows_pull = &pull;
	if (list && pointers)
		tlb_peers_send_if_up(&c->peers, vm, &envelope);
	free(list);
	free(pointers);
}

/* The version of a row that the sender of a pull has; 0 if none. */
static int64_t sender_row_version(const Toucan__RowsPull *pull, const char *id)
{
	size_t i;

	for (i = 0; i < pull->n_have; i++)
		if (strcmp(pull->have[i]->id, id) == 0)
			return pull->have[i]->version;
	return 0;
}

void tlb_gossip_on_rows_pull(struct tlb_cluster *c, const char *from, const Toucan__RowsPull *pull)
{
	struct tlb_gossip_targets to = {.count = 1};
	const struct tlb_vm_row *row;
	struct row_messages m;
	int i;

	snprintf(to.vm[0], TLB_ID_LEN, "%s", from);
	if (messages_init(&m, c->roster.count)) {
		for (i = 0; i < c->roster.count; i++) {
			row = &c->roster.members[i].row;
			if (row->version > sender_row_version(pull, row->name.id))
				messages_add(&m, row);
		}
		send_rows(c, &m, &to);
	}
	messages_finish(&m);
	tlb_fences_resend(c, from);
}

/* Map. */

static int64_t known_map_version(const struct tlb_member *m)
{
	return m->shards_version;
}

/* Sends only the version of the map, because the map of a large fleet has 20 KB; receivers pull it
 * once. */
static void announce_map(struct tlb_cluster *c, const char *except)
{
	Toucan__Envelope envelope = TOUCAN__ENVELOPE__INIT;
	Toucan__ShardsNotice notice = TOUCAN__SHARDS_NOTICE__INIT;
	struct tlb_gossip_targets to;
	int i;

	notice.version = c->map.version;
	envelope.body_case = TOUCAN__ENVELOPE__BODY_SHARDS_NOTICE;
	envelope.shards_notice = &notice;
	tlb_gossip_select_targets(c, except, known_map_version, c->map.version, &to);
	for (i = 0; i < to.count; i++)
		tlb_peers_send_if_up(&c->peers, to.vm[i], &envelope);
}

void tlb_gossip_send_map(struct tlb_cluster *c)
{
	struct tlb_gossip_targets to;
	int i;

	tlb_gossip_select_targets(c, NULL, known_map_version, c->map.version, &to);
	for (i = 0; i < to.count; i++)
		tlb_cluster_send_map(c, to.vm[i]);
}

void tlb_gossip_send_map_to_all(struct tlb_cluster *c)
{
	const struct tlb_peer *peer;

	APR_RING_FOREACH (peer, &c->peers.peers, tlb_peer, link)
		if (tlb_peer_is_up(peer))
			tlb_cluster_send_map(c, peer->id);
}

static void record_map_version(struct tlb_cluster *c, const char *vm, int64_t version)
{
	struct tlb_member *m = tlb_roster_find(&c->roster, vm);

	if (m && version > m->shards_version)
		m->shards_version = version;
}

/* Pulls a version once, and again only if no reply has arrived within PULL_INTERVAL. */
static void pull_map(struct tlb_cluster *c, const char *vm, int64_t version)
{
	Toucan__Envelope envelope = TOUCAN__ENVELOPE__INIT;
	Toucan__ShardsPull pull = TOUCAN__SHARDS_PULL__INIT;

	if (version <= c->map.version)
		return;
	if (version <= c->pulled_map_version && tlb_clock_now() < c->next_map_pull_at)
		return;
	c->pulled_map_version = version;
	c->next_map_pull_at = tlb_clock_now() + PULL_INTERVAL;
	pull.have_version = c->map.version;
	envelope.body_case = TOUCAN__ENVELOPE__BODY_SHARDS_PULL;
	envelope.shards_pull = &pull;
	tlb_peers_send_if_up(&c->peers, vm, &envelope);
}

void tlb_gossip_on_map(struct tlb_cluster *c, const char *from, const Toucan__ShardsNotice *notice)
{
	struct tlb_shard_map map;
	json_t *value;
	bool ok;

	record_map_version(c, from, notice->version);
	if (notice->version <= c->map.version)
		return;
	if (!notice->json[0]) {
		pull_map(c, from, notice->version);
		return;
	}
	value = json_loads(notice->json, 0, NULL);
	ok = value && tlb_shard_map_parse(&map, notice->version, value);
	json_decref(value);
	if (!ok)
		return;
	tlb_cluster_apply_map(c, &map);
	announce_map(c, from);
}

void tlb_gossip_on_map_pull(struct tlb_cluster *c, const char *from, const Toucan__ShardsPull *pull)
{
	if (pull->have_version < c->map.version)
		tlb_cluster_send_map(c, from);
}

/* Heartbeats. */

void tlb_gossip_on_heartbeat(struct tlb_cluster *c, const char *vm, int64_t row_version,
			     int64_t shards_version, uint64_t rows_digest)
{
	const struct tlb_member *m = tlb_roster_find(&c->roster, vm);
	bool lacks_rows = row_version > (m ? m->row.version : 0) ||
			  (rows_digest && rows_digest != tlb_roster_digest(&c->roster));
	tlb_time now = tlb_clock_now();

	record_map_version(c, vm, shards_version);
	pull_map(c, vm, shards_version);
	if (!lacks_rows || now < c->next_rows_pull_at)
		return;
	c->next_rows_pull_at = now + PULL_INTERVAL;
	pull_rows(c, vm);
}

void tlb_gossip_check_pull(struct tlb_cluster *c)
{
	if (c->pulled_map_version > c->map.version &&
	    tlb_clock_now() > c->next_map_pull_at + PULL_REPLY_TIMEOUT)
		tlb_membership_request_map(&c->membership);
}
