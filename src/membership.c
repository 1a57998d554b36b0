#include "membership.h"

#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cluster.h"
#include "fence.h"
#include "gossip.h"
#include "log.h"

#define STORE_TIMEOUT (2 * TLB_SECOND)
#define CALL_TIMEOUT (2 * TLB_SECOND)
#define BACKOFF_MIN (100 * TLB_MS)
#define BACKOFF_MAX (4 * TLB_SECOND)
/* Time for links to come up between reading the rows and selecting witnesses. */
#define JOIN_DELAY (300 * TLB_MS)
#define JOIN_BLOCKED_RETRY (500 * TLB_MS)
/* Usually a single daemon writes the fences: the first in a ranking that all daemons compute alike.
 * FENCE_DELAY lets fences of VMs that failed at the same moment arrive first. Each further daemon
 * in the ranking writes FENCE_RANK_STEP later if the ones before it have not. */
#define FENCE_DELAY (1 * TLB_SECOND)
#define FENCE_RANK_STEP (3 * TLB_SECOND)
/* Shards move only some time after a change of the fleet, with a random part in the delay;
 * otherwise all owners would write at once. */
#define REBALANCE_DELAY (300 * TLB_MS)
#define REBALANCE_JITTER (500 * TLB_MS)
#define REBALANCE_RETRY (3 * TLB_SECOND)
#define WITNESS_RETRY (5 * TLB_SECOND)
/* Time for the row of a VM named in the map to arrive by gossip; after it the rows are read. */
#define MISSING_ROW_DELAY (2 * TLB_SECOND)
#define REFRESH_INTERVAL (60 * TLB_SECOND)

enum { BACKOFF_DOUBLINGS = 6, KEY_LEN = TLB_ID_LEN + 3 };

static const char shards_key[] = "shards";

static tlb_time random_delay(tlb_time range)
{
	return randombytes_uniform(range);
}

static void vm_key(char key[KEY_LEN], const char *id)
{
	snprintf(key, KEY_LEN, "vm/%s", id);
}

static const struct tlb_vm_row *own_row(const struct tlb_cluster *c)
{
	const struct tlb_member *member = tlb_roster_find(&c->roster, c->self.id);

	return member ? &member->row : NULL;
}

static int64_t own_row_version(const struct tlb_cluster *c)
{
	const struct tlb_vm_row *row = own_row(c);

	return row ? row->version : 0;
}

static void set_if_earlier(tlb_time *at, tlb_time when)
{
	if (when < *at)
		*at = when;
}

/* The VMs that shards can be assigned to: live by their row and not fenced, whether or not there is
 * a link to them. Owns the list. */
struct fleet {
	struct tlb_fleet view;
	struct tlb_shard_vm *live;
};

static void fleet_add(struct fleet *f, const struct tlb_vm_name *name, const char *zone)
{
	struct tlb_shard_vm *vm = &f->live[f->view.live_count++];

	vm->name = *name;
	snprintf(vm->zone, sizeof(vm->zone), "%s", zone);
}

static void fleet_init(struct fleet *f, const struct tlb_cluster *c, bool with_self)
{
	const struct tlb_member *member;
	int i;

	memset(f, 0, sizeof(*f));
	f->live = calloc(c->roster.count + 1, sizeof(struct tlb_shard_vm));
	if (!f->live)
		abort();
	f->view.live = f->live;
	f->view.ended = c->roster.ended;
	f->view.ended_count = c->roster.ended_count;
	if (with_self)
		fleet_add(f, &c->self, c->settings->zone);
	for (i = 0; i < c->roster.count; i++) {
		member = &c->roster.members[i];
		if (strcmp(member->row.name.id, c->self.id) != 0 &&
		    tlb_roster_live(&c->roster, member))
			fleet_add(f, &member->row.name, member->row.zone);
	}
}

static void fleet_finish(struct fleet *f)
{
	free(f->live);
}

/* Outcomes of operations. */

static void schedule_retry(struct tlb_membership *m)
{
	int doublings = m->failures < BACKOFF_DOUBLINGS ? m->failures : BACKOFF_DOUBLINGS;
	tlb_time delay = BACKOFF_MIN << doublings;

	if (delay > BACKOFF_MAX)
		delay = BACKOFF_MAX;
	m->failures++;
	m->retry_at = tlb_clock_now() + delay / 2 + random_delay(delay);
}

static void request_all_reads(struct tlb_membership *m)
{
	m->map_read_requested = true;
	m->rows_read_requested = true;
}

static const char *status_name(enum tlb_store_status status)
{
	switch (status) {
	case TLB_STORE_OK:
		return "ok";
	case TLB_STORE_CONFLICT:
		return "conflict";
	case TLB_STORE_ABSENT:
		return "absent";
	case TLB_STORE_REFUSED:
		return "refused";
	case TLB_STORE_UNCERTAIN:
		return "uncertain";
	}
	return "";
}

/* Common end of all store operations; schedules the retry after a failure. Returns true if the
 * operation took effect. */
static bool finish_op(struct tlb_membership *m, const char *op_name, enum tlb_store_status status)
{
	m->op_in_progress = false;
	tlb_membership_schedule(m);
	if (status == TLB_STORE_OK || status == TLB_STORE_ABSENT) {
		m->failures = 0;
		return true;
	}
	tlb_log_info("event=store_retry step=%s status=%s", op_name, status_name(status));
	if (status == TLB_STORE_CONFLICT)
		m->retry_at = tlb_clock_now() + random_delay(BACKOFF_MIN);
	else
		schedule_retry(m);
	return false;
}

static int64_t written_version(const json_t *body, const char *key)
{
	return json_integer_value(json_object_get(json_object_get(body, "versions"), key));
}

static tlb_time op_deadline(struct tlb_membership *m)
{
	m->op_in_progress = true;
	return tlb_clock_now() + STORE_TIMEOUT;
}

static void send_txn(struct tlb_membership *m, json_t *txn, tlb_store_done_fn *on_done)
{
	tlb_store_txn(m->cluster->store, &m->op, txn, op_deadline(m), on_done, m);
}

/* Reads. */

static void on_shards_read(void *arg, enum tlb_store_status status, json_t *body,
			   const struct tlb_error *err)
{
	struct tlb_membership *m = arg;
	int64_t version;
	struct tlb_shard_map map;

	if (!finish_op(m, "read_shards", status))
		return;
	m->map_read_requested = false;
	if (status == TLB_STORE_ABSENT)
		return;
	version = json_integer_value(json_object_get(body, "version"));
	if (tlb_shard_map_parse(&map, version, json_object_get(body, "value")))
		tlb_cluster_apply_map(m->cluster, &map);
	else
		tlb_log_error("event=bad_row key=shards version=%" PRId64, version);
}

static void apply_row(struct tlb_membership *m, const json_t *entry)
{
	const char *key = json_string_value(json_object_get(entry, "key"));
	int64_t version = json_integer_value(json_object_get(entry, "version"));
	const struct tlb_member *member;
	struct tlb_vm_row row;

	if (!key)
		return;
	if (!tlb_vm_row_parse(&row, key, version, json_object_get(entry, "value"))) {
		tlb_log_error("event=bad_row key=%s version=%" PRId64, key, version);
		return;
	}
	tlb_cluster_apply_row(m->cluster, &row);
	/* The map that the row waits for is in the table service as well. */
	member = tlb_roster_find(&m->cluster->roster, row.name.id);
	if (member && member->deferred)
		tlb_membership_request_map(m);
}

static void on_rows_read(void *arg, enum tlb_store_status status, json_t *body,
			 const struct tlb_error *err)
{
	struct tlb_membership *m = arg;
	struct tlb_cluster *c = m->cluster;
	const json_t *entry;
	size_t i;

	if (!finish_op(m, "read_rows", status))
		return;
	m->rows_read_requested = false;
	m->refresh_at = tlb_clock_now() + REFRESH_INTERVAL + random_delay(REFRESH_INTERVAL / 4);
	json_array_foreach (json_object_get(body, "rows"), i, entry)
		apply_row(m, entry);
	if (m->map_at_read == c->map.version)
		tlb_roster_infer_ended(&c->roster, &c->map);
	if (m->joined_at_read && c->joined)
		c->witness.rows_read = true;
	if (!c->joined)
		tlb_cluster_select_links(c);
	if (!c->joined && m->join_at == TLB_NEVER)
		m->join_at = tlb_clock_now() + JOIN_DELAY;
	tlb_cluster_update_shards(c);
}

static void on_row_read(void *arg, enum tlb_store_status status, json_t *body,
			const struct tlb_error *err)
{
	struct tlb_membership *m = arg;

	if (!finish_op(m, "read_row", status))
		return;
	m->row_read_requested[0] = '\0';
	if (status == TLB_STORE_OK)
		apply_row(m, body);
}

/* Starts the next requested read; returns false if none is requested. The map is read before the
 * rows, so that an incarnation named in the map but in no row has certainly ended. */
static bool start_read(struct tlb_membership *m)
{
	struct tlb_cluster *c = m->cluster;
	char key[KEY_LEN];

	if (m->map_read_requested) {
		tlb_store_row(c->store, &m->op, shards_key, op_deadline(m), on_shards_read, m);
	} else if (m->rows_read_requested) {
		m->map_at_read = c->map.version;
		m->joined_at_read = c->joined;
		tlb_store_rows(c->store, &m->op, "vm/", op_deadline(m), on_rows_read, m);
	} else if (m->row_read_requested[0]) {
		vm_key(key, m->row_read_requested);
		tlb_store_row(c->store, &m->op, key, op_deadline(m), on_row_read, m);
	} else {
		return false;
	}
	return true;
}

void tlb_membership_request_map(struct tlb_membership *m)
{
	m->map_read_requested = true;
	tlb_membership_schedule(m);
}

void tlb_membership_request_row(struct tlb_membership *m, const char *vm)
{
	if (strcmp(m->row_read_requested, vm) == 0 || m->rows_read_requested)
		return;
	if (m->row_read_requested[0])
		m->rows_read_requested = true;
	else
		snprintf(m->row_read_requested, sizeof(m->row_read_requested), "%s", vm);
	tlb_membership_schedule(m);
}

/* Transactions. */

static void check_row(json_t *txn, const char *id, int64_t version)
{
	char key[KEY_LEN];

	vm_key(key, id);
	tlb_store_check(txn, key, version);
}

static void write_row(json_t *txn, const struct tlb_vm_row *row)
{
	char key[KEY_LEN];

	vm_key(key, row->name.id);
	tlb_store_write(txn, key, tlb_vm_row_json(row));
}

static void write_map(struct tlb_membership *m, json_t *txn)
{
	tlb_store_write(txn, shards_key, tlb_shard_map_json(&m->next_map));
}

/* A new owner uses the state handed over only under the very map that transfers the shards to it.
 * From other VMs it could receive a newer map first, so this VM sends the map directly. */
static void send_map_to_new_owners(struct tlb_cluster *c, const struct tlb_shard_map *before)
{
	const struct tlb_vm_name *vm;
	int i;

	for (i = 0; i < c->roster.count; i++) {
		vm = &c->roster.members[i].row.name;
		if (tlb_shard_transferred(before, &c->map, &c->self, vm))
			tlb_cluster_send_map(c, vm->id);
	}
}

/* Puts the map that a transaction wrote into force and sends it to other VMs. */
static void apply_next_map(struct tlb_membership *m, const json_t *body)
{
	struct tlb_cluster *c = m->cluster;
	struct tlb_shard_map before = c->map;

	m->next_map.version = written_version(body, shards_key);
	if (m->next_map.version <= c->map.version)
		return;
	tlb_cluster_apply_map(c, &m->next_map);
	send_map_to_new_owners(c, &before);
	tlb_gossip_send_map(c);
}

/* Join. */

static const char *advertised_addr(const struct tlb_cluster *c)
{
	return c->settings->peer_advertised[0] ? c->settings->peer_advertised : c->peers.addr;
}

static void fill_row(const struct tlb_cluster *c, struct tlb_vm_row *row)
{
	memset(row, 0, sizeof(*row));
	row->name = c->self;
	row->process_incarnation = c->process_incarnation;
	row->state = TLB_VM_LIVE;
	strcpy(row->addr, advertised_addr(c));
	strcpy(row->zone, c->settings->zone);
	strcpy(row->region, c->settings->region);
}

/* A former incarnation of this VM must have ended before the new one may join. The proof is that
 * this process could bind the same address, or else the agreement of its witnesses to fence it. */
static bool former_incarnation_ended(struct tlb_membership *m)
{
	struct tlb_cluster *c = m->cluster;
	const struct tlb_vm_row *row = own_row(c);

	if (!row || row->state != TLB_VM_LIVE || tlb_roster_ended(&c->roster, &row->name))
		return true;
	/* An advertised address is not bound by this process, so that it proves nothing. */
	if (!c->settings->peer_advertised[0] && strcmp(row->addr, c->peers.addr) == 0) {
		tlb_log_info("event=fence vm=%s incarnation=%016" PRIx64 " source=bind",
			     row->name.id, row->name.incarnation);
		tlb_roster_mark_ended(&c->roster, &row->name);
		return true;
	}
	tlb_log_warn("event=join_blocked vm=%s addr=%s former_addr=%s", c->self.id, c->peers.addr,
		     row->addr);
	tlb_fences_attempt(c, row);
	return false;
}

static void on_join_written(void *arg, enum tlb_store_status status, json_t *body,
			    const struct tlb_error *err)
{
	struct tlb_membership *m = arg;

	if (finish_op(m, "join", status))
		apply_next_map(m, body);
	/* Also after success: the own row with its witnesses is read back, and the rows of all VMs
	 * must be read again before this daemon may agree to fences. */
	request_all_reads(m);
}

static void write_join(struct tlb_membership *m)
{
	struct tlb_cluster *c = m->cluster;
	json_t *txn = tlb_store_txn_new();
	struct tlb_vm_row row;
	struct fleet f;
	int changed = TLB_SHARD_COUNT;

	fleet_init(&f, c, true);
	m->next_map = c->map;
	if (c->map.version == 0)
		tlb_shard_create(&m->next_map, &c->self);
	else
		changed = tlb_shard_replace_ended(&m->next_map, &f.view);
	fleet_finish(&f);
	tlb_shard_map_begin_write(&m->next_map);
	fill_row(c, &row);
	row.witness_count = tlb_cluster_select_witnesses(c, true, row.witness);
	if (row.witness_count == 0)
		row.witness_count = tlb_cluster_select_witnesses(c, false, row.witness);
	check_row(txn, c->self.id, own_row_version(c));
	tlb_store_check(txn, shards_key, c->map.version);
	write_row(txn, &row);
	if (changed)
		write_map(m, txn);
	send_txn(m, txn, on_join_written);
}

/* The next step of joining. Returns when to run again. */
static tlb_time step_join(struct tlb_membership *m, tlb_time now)
{
	struct tlb_cluster *c = m->cluster;
	const struct tlb_vm_row *row = own_row(c);

	if (now < m->join_at)
		return m->join_at;
	if (row && tlb_vm_name_equal(&row->name, &c->self) && row->state == TLB_VM_LIVE) {
		tlb_cluster_on_joined(c, row);
		m->rows_read_requested = true;
		tlb_membership_schedule_rebalance(m);
		return now;
	}
	if (!former_incarnation_ended(m))
		return now + JOIN_BLOCKED_RETRY;
	write_join(m);
	return TLB_NEVER;
}

/* Fences. */

/* Applies the rows that a transaction has set to fenced and sends them to other VMs, so that these
 * need not write them. */
static void apply_fenced_rows(struct tlb_membership *m, const json_t *body)
{
	char key[KEY_LEN];
	int i;

	for (i = 0; i < m->fenced_row_count; i++) {
		vm_key(key, m->fenced_rows[i].name.id);
		m->fenced_rows[i].version = written_version(body, key);
		tlb_cluster_apply_row(m->cluster, &m->fenced_rows[i]);
	}
	tlb_gossip_send_rows(m->cluster, m->fenced_rows, m->fenced_row_count, NULL);
}

static void on_fences_written(void *arg, enum tlb_store_status status, json_t *body,
			      const struct tlb_error *err)
{
	struct tlb_membership *m = arg;

	if (finish_op(m, "fence", status)) {
		tlb_log_info("event=fence_written map=%" PRId64, written_version(body, shards_key));
		apply_next_map(m, body);
		apply_fenced_rows(m, body);
		return;
	}
	/* The write may have taken effect or not: fences still missing from the rows are written
	 * again. */
	request_all_reads(m);
}

/* Adds the row of each VM that is live by its row but has ended. Returns their number. */
static int add_fenced_rows(struct tlb_membership *m, json_t *txn)
{
	const struct tlb_cluster *c = m->cluster;
	const struct tlb_member *member;
	struct tlb_vm_row row;
	int n = 0;
	int i;

	free(m->fenced_rows);
	m->fenced_rows = calloc(c->roster.count + 1, sizeof(*m->fenced_rows));
	m->fenced_row_count = 0;
	if (!m->fenced_rows)
		abort();

	for (i = 0; i < c->roster.count; i++) {
		member = &c->roster.members[i];
		if (member->row.state != TLB_VM_LIVE || tlb_roster_live(&c->roster, member))
			continue;
		row = member->row;
		row.state = TLB_VM_FENCED;
		check_row(txn, row.name.id, row.version);
		write_row(txn, &row);
		m->fenced_rows[n++] = row;
	}
	m->fenced_row_count = n;
	return n;
}

/* Writes the fences of all VMs that have ended, in one transaction. Returns false if there is
 * nothing to write. */
static bool write_fences(struct tlb_membership *m)
{
	struct tlb_cluster *c = m->cluster;
	json_t *txn = tlb_store_txn_new();
	struct fleet f;
	int changed;
	int rows;

	fleet_init(&f, c, !m->leaving);
	m->next_map = c->map;
	tlb_shard_map_begin_write(&m->next_map);
	changed = f.view.live_count ? tlb_shard_replace_ended(&m->next_map, &f.view) : 0;
	fleet_finish(&f);
	rows = add_fenced_rows(m, txn);
	m->fence_at = TLB_NEVER;
	if (!changed && !rows) {
		json_decref(txn);
		return false;
	}
	tlb_log_info("event=fence_write vms=%d shards=%d base=%" PRId64, rows, changed,
		     c->map.version);
	tlb_store_check(txn, shards_key, c->map.version);
	if (changed)
		write_map(m, txn);
	m->fence_at = tlb_clock_now() + FENCE_RANK_STEP;
	send_txn(m, txn, on_fences_written);
	return true;
}

static void schedule_fences(struct tlb_membership *m)
{
	const struct tlb_cluster *c = m->cluster;
	int rank = tlb_roster_rank(&c->roster, c->self.id, c->map.version);

	set_if_earlier(&m->fence_at, tlb_clock_now() + FENCE_DELAY + rank * FENCE_RANK_STEP);
	tlb_membership_schedule(m);
}

void tlb_membership_on_fence(struct tlb_membership *m)
{
	schedule_fences(m);
}

/* Whether neither a row nor a fence of this incarnation is known. */
static bool is_unknown(const struct tlb_cluster *c, const struct tlb_vm_name *name)
{
	const struct tlb_member *member = tlb_roster_find(&c->roster, name->id);

	return name->id[0] && !tlb_roster_ended(&c->roster, name) &&
	       !(member && tlb_vm_name_equal(&member->row.name, name));
}

/* Counts the map entries with an owner or standby that has ended, and those
 * with an unknown one. */
static void count_invalid_entries(const struct tlb_cluster *c, int *ended_count, int *unknown_count)
{
	const struct tlb_shard_entry *e;
	int i;

	*ended_count = 0;
	*unknown_count = 0;
	for (i = 0; i < TLB_SHARD_COUNT; i++) {
		e = &c->map.entry[i];
		*ended_count += tlb_roster_ended(&c->roster, &e->owner) ||
				tlb_roster_ended(&c->roster, &e->standby);
		*unknown_count += is_unknown(c, &e->owner) || is_unknown(c, &e->standby);
	}
}

void tlb_membership_check_map(struct tlb_membership *m)
{
	tlb_time now = tlb_clock_now();
	int ended_count;
	int unknown_count;

	if (!m->cluster->joined)
		return;
	count_invalid_entries(m->cluster, &ended_count, &unknown_count);
	if (ended_count && m->fence_at == TLB_NEVER)
		schedule_fences(m);
	if (!unknown_count) {
		m->reread_at = TLB_NEVER;
	} else if (m->reread_at == TLB_NEVER) {
		m->reread_at = now + MISSING_ROW_DELAY + random_delay(MISSING_ROW_DELAY);
	} else if (now >= m->reread_at) {
		tlb_log_info("event=names_unknown map=%" PRId64 " shards=%d",
			     m->cluster->map.version, unknown_count);
		m->reread_at = now + MISSING_ROW_DELAY + random_delay(MISSING_ROW_DELAY);
		request_all_reads(m);
		tlb_membership_schedule(m);
	}
}

/* Open writes. */

static void stop_calls(struct tlb_membership *m)
{
	int i;

	for (i = 0; i < m->call_count; i++)
		tlb_peer_cancel(&m->calls[i]);
	free(m->calls);
	m->calls = NULL;
	m->call_count = 0;
	m->calls_pending = 0;
	m->any_call_failed = false;
}

static void close_write(struct tlb_membership *m)
{
	stop_calls(m);
	m->open_write_kind = TLB_WRITE_NONE;
	m->uncertain = false;
	m->cluster->transferring_shards = 0;
	tlb_membership_schedule(m);
}

static void abandon_rebalance(struct tlb_membership *m, const char *reason)
{
	tlb_log_info("event=rebalance_abandoned map=%" PRId64 " reason=\"%s\"", m->base_shards,
		     reason);
	m->rebalance_at = tlb_clock_now() + REBALANCE_RETRY + random_delay(REBALANCE_RETRY);
	close_write(m);
}

static void open_write(struct tlb_membership *m, enum tlb_membership_write kind,
		       enum tlb_membership_phase phase)
{
	m->open_write_kind = kind;
	m->phase = phase;
	m->uncertain = false;
	m->base_row = own_row_version(m->cluster);
	m->base_shards = m->cluster->map.version;
}

static void finish_leave(struct tlb_membership *m)
{
	void (*on_left)(void *arg) = m->on_left;

	tlb_timer_clear(m->cluster->loop, &m->leave_timer);
	m->on_left = NULL;
	if (on_left)
		on_left(m->on_left_arg);
}

static void witnesses_committed(struct tlb_membership *m, int64_t version)
{
	struct tlb_cluster *c = m->cluster;
	struct tlb_vm_row row = *own_row(c);
	int i;

	row.version = version;
	row.witness_count = c->session.set[1].count;
	for (i = 0; i < row.witness_count; i++)
		row.witness[i] = c->session.set[1].grant[i].witness;
	tlb_session_write_committed(&c->session, version);
	tlb_log_info("event=witnesses row=%" PRId64 " count=%d", version, row.witness_count);
	close_write(m);
	tlb_cluster_apply_row(c, &row);
	tlb_gossip_send_rows(c, &row, 1, NULL);
}

/* Sends the row that says that this VM has left; it isn't applied here, as this daemon ends now. */
static void notify_left(struct tlb_membership *m, int64_t version)
{
	struct tlb_vm_row row = *own_row(m->cluster);

	row.state = TLB_VM_LEFT;
	row.replaced_map = m->base_shards;
	row.version = version;
	tlb_gossip_send_row_to_all(m->cluster, &row);
}

static void write_aborted(struct tlb_membership *m)
{
	switch (m->open_write_kind) {
	case TLB_WRITE_WITNESSES:
		tlb_session_write_aborted(&m->cluster->session);
		m->witness_retry_at = tlb_clock_now() + WITNESS_RETRY;
		close_write(m);
		break;
	case TLB_WRITE_REBALANCE:
		abandon_rebalance(m, "the shard map was not written");
		break;
	case TLB_WRITE_LEAVE:
		close_write(m);
		break;
	case TLB_WRITE_NONE:
		break;
	}
}

static void write_committed(struct tlb_membership *m, const json_t *body)
{
	struct tlb_cluster *c = m->cluster;
	char key[KEY_LEN];

	vm_key(key, c->self.id);
	switch (m->open_write_kind) {
	case TLB_WRITE_WITNESSES:
		witnesses_committed(m, written_version(body, key));
		break;
	case TLB_WRITE_REBALANCE:
		tlb_log_info("event=rebalance base=%" PRId64 " map=%" PRId64, m->base_shards,
			     written_version(body, shards_key));
		apply_next_map(m, body);
		close_write(m);
		break;
	case TLB_WRITE_LEAVE:
		tlb_log_info("event=left vm=%s map=%" PRId64, c->self.id,
			     written_version(body, shards_key));
		apply_next_map(m, body);
		tlb_gossip_send_map_to_all(c);
		notify_left(m, written_version(body, key));
		close_write(m);
		finish_leave(m);
		break;
	case TLB_WRITE_NONE:
		break;
	}
}

static void on_written(void *arg, enum tlb_store_status status, json_t *body,
		       const struct tlb_error *err)
{
	struct tlb_membership *m = arg;
	bool committed = finish_op(m, "write", status);

	/* A rejoin may have closed the write in the meantime. */
	if (m->open_write_kind == TLB_WRITE_NONE)
		return;
	if (committed) {
		write_committed(m, body);
	} else if (status == TLB_STORE_REFUSED && !m->uncertain) {
		write_aborted(m);
	} else if (status != TLB_STORE_REFUSED) {
		m->uncertain = m->uncertain || status == TLB_STORE_UNCERTAIN;
		m->phase = TLB_PHASE_READ_BACK;
		request_all_reads(m);
	}
}

static void send_write(struct tlb_membership *m)
{
	struct tlb_cluster *c = m->cluster;
	json_t *txn = tlb_store_txn_new();
	struct tlb_vm_row row = *own_row(c);
	int i;

	check_row(txn, c->self.id, m->base_row);
	if (m->open_write_kind == TLB_WRITE_WITNESSES) {
		row.witness_count = c->session.set[1].count;
		for (i = 0; i < row.witness_count; i++)
			row.witness[i] = c->session.set[1].grant[i].witness;
		write_row(txn, &row);
	} else {
		tlb_store_check(txn, shards_key, m->base_shards);
		write_map(m, txn);
	}
	if (m->open_write_kind == TLB_WRITE_LEAVE) {
		row.state = TLB_VM_LEFT;
		row.replaced_map = m->base_shards;
		write_row(txn, &row);
	}
	send_txn(m, txn, on_written);
}

static bool same_witnesses(const struct tlb_vm_row *row, const struct tlb_witness_set *set)
{
	int i;

	for (i = 0; i < row->witness_count && i < set->count; i++)
		if (!tlb_vm_name_equal(&row->witness[i], &set->grant[i].witness))
			return false;
	return row->witness_count == set->count;
}

/* Decides the outcome of the open write after the rows were read back following a conflict or an
 * uncertain outcome. If one of the rows that the write depends on has a new version, the write has
 * either taken effect or never will. */
static void resolve_open_write(struct tlb_membership *m)
{
	struct tlb_cluster *c = m->cluster;
	bool rows_changed = own_row_version(c) > m->base_row;

	if (m->open_write_kind != TLB_WRITE_WITNESSES)
		rows_changed = rows_changed || c->map.version > m->base_shards;
	if (!rows_changed && m->uncertain) {
		m->phase = TLB_PHASE_WRITE;
		send_write(m);
	} else if (rows_changed && m->open_write_kind == TLB_WRITE_WITNESSES &&
		   same_witnesses(own_row(c), &c->session.set[1])) {
		witnesses_committed(m, own_row_version(c));
	} else {
		write_aborted(m);
	}
}

void tlb_membership_on_map(struct tlb_membership *m)
{
	/* The ranking of the daemons depends on the version of the map. */
	if (m->fence_at != TLB_NEVER)
		schedule_fences(m);
	if (m->open_write_kind != TLB_WRITE_REBALANCE && m->open_write_kind != TLB_WRITE_LEAVE)
		return;
	if (m->cluster->map.version <= m->base_shards)
		return;
	/* The write has taken effect or never will; either way the new map names the owners. */
	m->cluster->transferring_shards = 0;
	if (m->phase == TLB_PHASE_RELEASE || m->phase == TLB_PHASE_HAND_OVER)
		close_write(m);
}

/* Moves. */

static void on_call_done(void *arg, const Toucan__Envelope *reply, const struct tlb_error *err)
{
	struct tlb_membership *m = arg;

	if (!reply || reply->body_case != TOUCAN__ENVELOPE__BODY_DONE)
		m->any_call_failed = true;
	m->calls_pending--;
	if (m->calls_pending == 0)
		tlb_membership_schedule(m);
}

static void call_vm(struct tlb_membership *m, const char *vm, Toucan__Envelope *envelope)
{
	m->calls_pending++;
	tlb_peers_call(&m->cluster->peers, vm, &m->calls[m->call_count++], envelope,
		       tlb_clock_now() + CALL_TIMEOUT, on_call_done, m);
}

static void prepare_calls(struct tlb_membership *m)
{
	stop_calls(m);
	m->calls = calloc(m->cluster->roster.count + 1, sizeof(struct tlb_peer_call));
	if (!m->calls)
		abort();
}

static size_t list_shards(tlb_shard_set set, uint32_t *out)
{
	size_t n = 0;
	int i;

	for (i = 0; i < TLB_SHARD_COUNT; i++)
		if (tlb_shard_set_contains(set, i))
			out[n++] = i;
	return n;
}

static void send_release(struct tlb_membership *m, const char *vm, tlb_shard_set set)
{
	Toucan__Envelope envelope = TOUCAN__ENVELOPE__INIT;
	Toucan__StandbyRelease release = TOUCAN__STANDBY_RELEASE__INIT;
	uint32_t shards[TLB_SHARD_COUNT];

	release.n_shards = list_shards(set, shards);
	release.shards = shards;
	release.shards_version = m->base_shards;
	envelope.body_case = TOUCAN__ENVELOPE__BODY_STANDBY_RELEASE;
	envelope.standby_release = &release;
	call_vm(m, vm, &envelope);
}

/* The shards whose standby must release its takeover right before the next map is written. */
static tlb_shard_set rights_to_release(const struct tlb_membership *m)
{
	const struct tlb_cluster *c = m->cluster;
	const struct tlb_vm_name *standby;
	tlb_shard_set set = 0;
	int i;

	for (i = 0; i < TLB_SHARD_COUNT; i++) {
		standby = &c->map.entry[i].standby;
		if (standby->id[0] && !tlb_roster_ended(&c->roster, standby))
			set |= tlb_shard_needs_release(&c->map, &m->next_map, &c->self, standby);
	}
	return set;
}

static void request_releases(struct tlb_membership *m)
{
	struct tlb_cluster *c = m->cluster;
	tlb_shard_set remaining = rights_to_release(m);
	tlb_shard_set set;
	int i;

	prepare_calls(m);
	for (i = 0; i < c->roster.count; i++) {
		set = tlb_shard_needs_release(&c->map, &m->next_map, &c->self,
					      &c->roster.members[i].row.name) &
		      remaining;
		remaining &= ~set;
		if (set)
			send_release(m, c->roster.members[i].row.name.id, set);
	}
	/* The remaining standbys run under incarnations that no row names and can't be reached. */
	if (remaining)
		m->any_call_failed = true;
	if (m->calls_pending == 0)
		tlb_membership_schedule(m);
}

static void free_hand_over_state(Toucan__HandOver *state)
{
	size_t i;

	for (i = 0; i < state->n_buckets; i++) {
		free(state->buckets[i]->account);
		free(state->buckets[i]->grants);
		free(state->buckets[i]);
	}
	for (i = 0; i < state->n_bookings; i++) {
		free(state->bookings[i]->endpoint);
		free(state->bookings[i]->request_id);
		free(state->bookings[i]->owner);
		free(state->bookings[i]);
	}
	free(state->buckets);
	free(state->bookings);
}

static void send_hand_over(struct tlb_membership *m, const char *vm, tlb_shard_set set)
{
	const struct tlb_cluster_handlers *h = &m->cluster->handlers;
	Toucan__Envelope envelope = TOUCAN__ENVELOPE__INIT;
	Toucan__HandOver state = TOUCAN__HAND_OVER__INIT;
	uint32_t shards[TLB_SHARD_COUNT];

	if (h->export_shards)
		h->export_shards(h->arg, set, &state);
	state.n_shards = list_shards(set, shards);
	state.shards = shards;
	state.ticket = m->next_map.write_id;
	envelope.body_case = TOUCAN__ENVELOPE__BODY_HAND_OVER;
	envelope.hand_over = &state;
	call_vm(m, vm, &envelope);
	free_hand_over_state(&state);
}

static void send_hand_overs(struct tlb_membership *m)
{
	struct tlb_cluster *c = m->cluster;
	tlb_shard_set set;
	int i;

	m->phase = TLB_PHASE_HAND_OVER;
	prepare_calls(m);
	for (i = 0; i < c->roster.count; i++)
		c->transferring_shards |= tlb_shard_transferred(&c->map, &m->next_map, &c->self,
								&c->roster.members[i].row.name);
	for (i = 0; i < c->roster.count; i++) {
		set = tlb_shard_transferred(&c->map, &m->next_map, &c->self,
					    &c->roster.members[i].row.name);
		if (set)
			send_hand_over(m, c->roster.members[i].row.name.id, set);
	}
	if (m->calls_pending == 0)
		tlb_membership_schedule(m);
}

static void advance_write(struct tlb_membership *m)
{
	if (m->calls_pending > 0)
		return;
	switch (m->phase) {
	case TLB_PHASE_RELEASE:
		if (m->any_call_failed)
			abandon_rebalance(m, "a standby did not release its takeover right");
		else
			send_hand_overs(m);
		break;
	case TLB_PHASE_HAND_OVER:
		/* A leaving daemon can't wait for a retry: the new owner starts from the state it
		 * has. */
		if (m->any_call_failed && m->open_write_kind == TLB_WRITE_REBALANCE) {
			abandon_rebalance(m, "the new owner did not take the state");
			break;
		}
		m->phase = TLB_PHASE_WRITE;
		send_write(m);
		break;
	case TLB_PHASE_WRITE:
		send_write(m);
		break;
	case TLB_PHASE_READ_BACK:
		resolve_open_write(m);
		break;
	}
}

/* Starts to move shards to other VMs. Returns false if none has to move. */
static bool begin_rebalance(struct tlb_membership *m)
{
	struct tlb_cluster *c = m->cluster;
	struct fleet f;
	int changed;

	m->rebalance_at = TLB_NEVER;
	if (!tlb_cluster_session_valid(c, tlb_clock_now()))
		return false;
	fleet_init(&f, c, true);
	m->next_map = c->map;
	changed = tlb_shard_rebalance(&m->next_map, &f.view, &c->self);
	fleet_finish(&f);
	if (!changed)
		return false;
	tlb_shard_map_begin_write(&m->next_map);
	open_write(m, TLB_WRITE_REBALANCE, TLB_PHASE_RELEASE);
	request_releases(m);
	return true;
}

static void begin_leave(struct tlb_membership *m)
{
	struct tlb_cluster *c = m->cluster;
	struct fleet f;

	fleet_init(&f, c, false);
	m->next_map = c->map;
	if (f.view.live_count > 0)
		tlb_shard_drain(&m->next_map, &f.view, &c->self);
	fleet_finish(&f);
	tlb_shard_map_begin_write(&m->next_map);
	open_write(m, TLB_WRITE_LEAVE, TLB_PHASE_RELEASE);
	request_releases(m);
}

static bool begin_witnesses(struct tlb_membership *m)
{
	struct tlb_cluster *c = m->cluster;

	if (!tlb_session_proposal_ready(&c->session, tlb_clock_now()))
		return false;
	open_write(m, TLB_WRITE_WITNESSES, TLB_PHASE_WRITE);
	tlb_session_write_begun(&c->session);
	send_write(m);
	return true;
}

/* Deciding what to do next. */

static tlb_time step_joined(struct tlb_membership *m, tlb_time now)
{
	tlb_time next;

	if (m->open_write_kind != TLB_WRITE_NONE) {
		advance_write(m);
		return TLB_NEVER;
	}
	if (now >= m->fence_at && write_fences(m))
		return TLB_NEVER;
	if (m->leaving) {
		if (m->on_left)
			begin_leave(m);
		return TLB_NEVER;
	}
	if (begin_witnesses(m))
		return TLB_NEVER;
	if (now >= m->rebalance_at && begin_rebalance(m))
		return TLB_NEVER;
	if (now >= m->refresh_at) {
		m->rows_read_requested = true;
		return now;
	}
	next = m->refresh_at;
	set_if_earlier(&next, m->fence_at);
	set_if_earlier(&next, m->rebalance_at);
	return next;
}

static void step(void *arg)
{
	struct tlb_membership *m = arg;
	tlb_time now = tlb_clock_now();
	tlb_time next;

	if (m->op_in_progress)
		return;
	if (now < m->retry_at) {
		tlb_timer_set(m->cluster->loop, &m->step_timer, m->retry_at);
		return;
	}
	if (start_read(m))
		return;
	next = m->cluster->joined ? step_joined(m, now) : step_join(m, now);
	/* The step above may have scheduled the next one itself. */
	if (!m->step_timer.index && !m->op_in_progress)
		tlb_timer_set(m->cluster->loop, &m->step_timer, next);
}

void tlb_membership_schedule(struct tlb_membership *m)
{
	tlb_timer_set(m->cluster->loop, &m->step_timer, tlb_clock_now());
}

void tlb_membership_schedule_rebalance(struct tlb_membership *m)
{
	set_if_earlier(&m->rebalance_at,
		       tlb_clock_now() + REBALANCE_DELAY + random_delay(REBALANCE_JITTER));
	tlb_membership_schedule(m);
}

void tlb_membership_init(struct tlb_membership *m, struct tlb_cluster *c)
{
	memset(m, 0, sizeof(*m));
	m->cluster = c;
	m->join_at = TLB_NEVER;
	m->fence_at = TLB_NEVER;
	m->reread_at = TLB_NEVER;
	m->rebalance_at = TLB_NEVER;
	m->refresh_at = TLB_NEVER;
	tlb_timer_init(&m->step_timer, step, m);
}

void tlb_membership_finish(struct tlb_membership *m)
{
	stop_calls(m);
	free(m->fenced_rows);
	tlb_store_cancel(&m->op);
	tlb_timer_clear(m->cluster->loop, &m->step_timer);
	if (m->on_left)
		tlb_timer_clear(m->cluster->loop, &m->leave_timer);
}

void tlb_membership_join(struct tlb_membership *m)
{
	stop_calls(m);
	m->open_write_kind = TLB_WRITE_NONE;
	m->join_at = TLB_NEVER;
	request_all_reads(m);
	tlb_membership_schedule(m);
}

static void leave_expired(void *arg)
{
	struct tlb_membership *m = arg;

	tlb_log_warn("event=leave_expired vm=%s", m->cluster->self.id);
	finish_leave(m);
}

void tlb_membership_leave(struct tlb_membership *m, tlb_time deadline, void (*on_left)(void *arg),
			  void *arg)
{
	m->leaving = true;
	m->on_left = on_left;
	m->on_left_arg = arg;
	tlb_timer_init(&m->leave_timer, leave_expired, m);
	/* Before the join there are no shards to transfer. */
	tlb_timer_set(m->cluster->loop, &m->leave_timer,
		      m->cluster->joined ? deadline : tlb_clock_now());
	tlb_membership_schedule(m);
}
