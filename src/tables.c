#include "tables.h"

#include <stdlib.h>
#include <string.h>

#include "deflate.h"
#include "edgeboard.h"
#include "log.h"
#include "platform.h"

/* Endpoints whose store entries expired while the store was not reachable, or are missing since it
 * returned from an older copy, stay in use for this long after its return: live endpoints have
 * renewed their entries by then. Must stay below the drain bound of 2 s. */
#define EXPIRED_ENTRY_GRACE (1900 * TLB_MS)
/* Changes are passed on after a random delay up to this long; a linked VM that has them by then,
 * from somebody else, is left out. */
#define PUSH_DELAY (30 * TLB_MS)
#define PULL_INTERVAL (300 * TLB_MS)
#define ROLE_INTERVAL (200 * TLB_MS)
#define ROLE_START_INTERVAL (20 * TLB_MS) /* until the tables are known */
/* Rows of one message to another VM. Larger changes, such as a new configuration, are announced,
 * and each VM requests them once. */
enum { PUSH_BYTES_MAX = 8 << 10, PULL_BYTES_MAX = 900 << 10, MESSAGE_ROWS_MAX = 2048 };

static const char follower_key[] = "table-follower";

/* --- the decision --- */

bool tlb_tables_should_follow(const struct tlb_follow_input *i)
{
	bool outdated = i->now >= i->confirmed_at + TLB_TABLES_MAX_AGE;

	if (!i->listed)
		return i->following || i->now >= i->start_deadline ||
		       (i->vms_known && (i->vms <= TLB_TABLES_SMALL_FLEET || i->chosen));
	if (i->vms <= TLB_TABLES_SMALL_FLEET || i->chosen || !i->heard)
		return true;
	if (i->behind_since > 0 && i->now >= i->behind_since + TLB_TABLES_MAX_BEHIND)
		return true;
	if (i->following && i->now < i->follow_until)
		return true;
	return outdated && (i->following || i->now >= i->attempt_at);
}

/* --- changes --- */

static void schedule_push(struct tlb_tables *t)
{
	tlb_time delay = (tlb_time)(tlb_random_unit(&t->board->random) * PUSH_DELAY);

	if (t->push_timer.index == 0)
		tlb_timer_set(t->board->loop, &t->push_timer, tlb_clock_now() + delay);
}

static tlb_time grace_deadline(tlb_time returned_at)
{
	tlb_time until = returned_at + EXPIRED_ENTRY_GRACE;

	return returned_at > 0 && until > tlb_clock_now() ? until : 0;
}

/* Until when an endpoint stays in use that is missing since the store returned from an older copy;
 * 0: not. */
static tlb_time lost_entry_deadline(const struct tlb_shared_table *s)
{
	return grace_deadline(s->watcher.store->era_began_at);
}

/* Until when a removed endpoint stays in use; 0: not. */
static tlb_time expired_entry_deadline(const struct tlb_shared_table *s)
{
	tlb_time expired = grace_deadline(s->watcher.recovered_at);
	tlb_time lost = lost_entry_deadline(s);

	return lost > expired ? lost : expired;
}

/* Whether the row belongs to the first complete table of an era. */
static bool is_restored(const struct tlb_shared_table *s, const struct tlb_stored_row *row)
{
	return s->listed &&
	       tlb_stored_era(row->version) > tlb_stored_era(s->replica.complete_version);
}

static void apply_row(struct tlb_shared_table *s, const struct tlb_stored_row *row,
		      tlb_time use_deadline)
{
	const struct tlb_replica_row *e = tlb_replica_put(&s->replica, row, use_deadline);

	if (!e)
		return;
	s->handlers.on_row(s->handlers.arg, &e->row, use_deadline, is_restored(s, &e->row));
	schedule_push(s->tables);
}

static void on_vanished(void *arg, const struct tlb_replica_row *e)
{
	struct tlb_shared_table *s = arg;

	s->handlers.on_row(s->handlers.arg, &e->row, e->use_deadline, is_restored(s, &e->row));
	schedule_push(s->tables);
}

static void on_list_begin(void *arg)
{
	struct tlb_shared_table *s = arg;

	tlb_replica_begin_listing(&s->replica);
}

static void on_store_row(void *arg, const struct tlb_stored_row *row)
{
	struct tlb_shared_table *s = arg;

	s->source = "store";
	apply_row(s, row, row->removed ? expired_entry_deadline(s) : 0);
}

static void on_list_complete(void *arg)
{
	struct tlb_shared_table *s = arg;

	tlb_replica_end_listing(&s->replica, s->watcher.version, expired_entry_deadline(s),
				on_vanished, s);
	s->listed = true;
	/* Rows that are the same as before have new versions in a new era. */
	schedule_push(s->tables);
}

static void on_progress(void *arg, int64_t version)
{
	struct tlb_shared_table *s = arg;

	tlb_replica_set_complete(&s->replica, version);
	s->behind_since = 0;
	s->handlers.on_changed(s->handlers.arg);
}

/* --- messages --- */

/* Messages have the era apart from the numbers of versions; the number 0 stands for none. */
static int64_t version_in(int64_t era, int64_t number)
{
	if (era < 0 || era > TLB_STORED_ERA_MAX || tlb_stored_checked_number(number) == 0)
		return 0;
	return tlb_stored_version(era, number);
}

/* A TableRows message under construction. Its strings are borrowed from the replica. */
struct rows_message {
	Toucan__TableRows rows;
	Toucan__TableRow row[MESSAGE_ROWS_MAX];
	Toucan__TableRow *list[MESSAGE_ROWS_MAX];
	size_t bytes;
};

static void add_row(struct rows_message *m, struct tlb_replica_row *e, bool compress)
{
	Toucan__TableRow *r = &m->row[m->rows.n_rows];
	tlb_time now = tlb_clock_now();

	toucan__table_row__init(r);
	r->key = (char *)e->row.key;
	r->version = tlb_stored_number(e->row.version);
	r->removed = e->row.removed;
	r->value.data = (uint8_t *)e->row.value;
	r->value.len = e->row.len;
	if (compress && tlb_replica_deflate(e)) {
		r->value.data = e->deflated;
		r->value.len = e->deflated_len;
		r->inflated_bytes = (uint32_t)e->row.len;
	}
	if (e->use_deadline > now)
		r->use_ms = (e->use_deadline - now) / TLB_MS;
	m->bytes += strlen(r->key) + r->value.len;
	m->list[m->rows.n_rows++] = r;
}

/* A message up to a version. base: it has all changes after that one; 0: the complete table. */
static void begin_rows(struct rows_message *m, const struct tlb_shared_table *s, int64_t base,
		       int64_t version)
{
	toucan__table_rows__init(&m->rows);
	m->bytes = 0;
	m->rows.table = s->kind;
	m->rows.era = tlb_stored_era(version);
	m->rows.base_version = tlb_stored_number(base);
	m->rows.version = tlb_stored_number(version);
	m->rows.rows = m->list;
}

/* Whether the first listing of an era is in progress: rows are of two eras. */
static bool is_changing_era(const struct tlb_replica *r)
{
	return tlb_stored_era(r->rows_version) > tlb_stored_era(r->complete_version);
}

/* Collects the changes after a version. Returns false when they exceed the limits. */
static bool collect_rows(struct rows_message *m, const struct tlb_shared_table *s, int64_t since,
			 size_t max_bytes, bool compress)
{
	int64_t base = tlb_replica_covers(&s->replica, since) ? since : 0;
	struct tlb_replica_row *e;

	begin_rows(m, s, base, s->replica.complete_version);
	APR_RING_FOREACH (e, &s->replica.rows, tlb_replica_row, link) {
		if (e->row.version <= base || (e->row.removed && base == 0))
			continue;
		if (m->rows.n_rows == MESSAGE_ROWS_MAX)
			return false;
		add_row(m, e, compress);
		if (m->bytes > max_bytes)
			return false;
	}
	return true;
}

static bool send_rows(struct tlb_tables *t, const char *vm, struct rows_message *m)
{
	Toucan__Envelope e = TOUCAN__ENVELOPE__INIT;

	e.body_case = TOUCAN__ENVELOPE__BODY_TABLE_ROWS;
	e.table_rows = &m->rows;
	return tlb_peers_send_if_up(&t->vms->peers, vm, &e);
}

/* Sends the changes that a linked VM lacks as far as its reports tell. */
static void push_to(struct tlb_shared_table *s, struct tlb_vm *vm)
{
	static struct rows_message m;
	int64_t known = vm->table_version[s->kind];
	int64_t rows_version = s->replica.rows_version;

	if (known >= rows_version || is_changing_era(&s->replica))
		return;
	if (known == 0 || !collect_rows(&m, s, known, PUSH_BYTES_MAX, false))
		begin_rows(&m, s, rows_version, rows_version);
	if (send_rows(s->tables, vm->id, &m))
		vm->table_version[s->kind] = version_in(m.rows.era, m.rows.version);
}

static void on_push_timer(void *arg)
{
	struct tlb_tables *t = arg;
	struct tlb_vm *m;
	int i;

	APR_RING_FOREACH (m, &t->vms->all, tlb_vm, link) {
		if (!tlb_vm_is_linked(m))
			continue;
		for (i = 0; i < TLB_TABLE_COUNT; i++)
			push_to(&t->table[i], m);
	}
}

static void pull(struct tlb_shared_table *s, const char *vm)
{
	struct tlb_tables *t = s->tables;
	Toucan__TablePull p = TOUCAN__TABLE_PULL__INIT;
	Toucan__Envelope e = TOUCAN__ENVELOPE__INIT;
	tlb_time now = tlb_clock_now();

	if (now < s->next_pull_at)
		return;
	s->next_pull_at = now + PULL_INTERVAL;
	p.table = s->kind;
	if (s->listed) {
		p.have_version = tlb_stored_number(s->replica.complete_version);
		p.era = tlb_stored_era(s->replica.complete_version);
	}
	p.inflates = true;
	e.body_case = TOUCAN__ENVELOPE__BODY_TABLE_PULL;
	e.table_pull = &p;
	tlb_log_info("event=table_pull table=%d from=%s have=%lld", (int)s->kind, vm,
		     (long long)p.have_version);
	tlb_peers_send_if_up(&t->vms->peers, vm, &e);
}

static void on_pull(struct tlb_shared_table *s, const char *vm, const Toucan__TablePull *p)
{
	static struct rows_message m;
	int64_t have = version_in(p->era, p->have_version);

	if (!s->listed || s->replica.complete_version <= have || is_changing_era(&s->replica))
		return;
	if (!collect_rows(&m, s, have, PULL_BYTES_MAX, p->inflates)) {
		tlb_log_warn("event=table_too_large table=%d to=%s bytes=%zu", (int)s->kind, vm,
			     m.bytes);
		return;
	}
	send_rows(s->tables, vm, &m);
}

/* Notes that another VM has rows that this one lacks, and requests them from it. */
static void note_behind(struct tlb_shared_table *s, const char *vm)
{
	if (s->behind_since == 0)
		s->behind_since = tlb_clock_now();
	pull(s, vm);
}

static void apply_peer_row(struct tlb_shared_table *s, const Toucan__TableRow *r, int64_t version,
			   tlb_time now)
{
	/* The data of an empty value is NULL. */
	char empty[] = "";
	char *value = r->value.data ? (char *)r->value.data : empty;
	struct tlb_stored_row row = {
		.version = version,
		.removed = r->removed,
		.value = r->removed ? NULL : value,
		.len = r->removed ? 0 : r->value.len,
	};
	int64_t use_ms = r->use_ms;

	if (strlen(r->key) >= sizeof(row.key)) {
		tlb_log_warn("event=table_row_ignored table=%d key=%.40s version=%lld",
			     (int)s->kind, r->key, (long long)r->version);
		return;
	}
	if (use_ms > EXPIRED_ENTRY_GRACE / TLB_MS)
		use_ms = EXPIRED_ENTRY_GRACE / TLB_MS;
	strcpy(row.key, r->key);
	s->source = "peer";
	apply_row(s, &row, use_ms > 0 ? now + use_ms * TLB_MS : 0);
}

/* Replaces compressed values by the original ones. Returns false when one is damaged. */
static bool inflate_values(const Toucan__TableRows *m)
{
	Toucan__TableRow *r;
	unsigned char *value;
	size_t i;

	for (i = 0; i < m->n_rows; i++) {
		r = m->rows[i];
		if (r->inflated_bytes == 0)
			continue;
		value = r->inflated_bytes <= TLB_HTTP_BODY_MAX
				? tlb_inflate(r->value.data, r->value.len, r->inflated_bytes)
				: NULL;
		if (!value)
			return false;
		free(r->value.data);
		r->value.data = value;
		r->value.len = r->inflated_bytes;
		r->inflated_bytes = 0;
	}
	return true;
}

/* An era that comes from a release without eras says nothing. */
static void note_era(struct tlb_shared_table *s, int64_t era)
{
	if (era > 0 && era <= TLB_STORED_ERA_MAX)
		tlb_rowstore_note_era(s->watcher.store, era);
}

static void on_rows(struct tlb_shared_table *s, const char *vm, const Toucan__TableRows *m)
{
	struct tlb_vm *sender = tlb_vms_find(s->tables->vms, vm);
	bool complete_table = m->base_version == 0;
	int64_t base = version_in(m->era, m->base_version);
	int64_t version = version_in(m->era, m->version);
	int64_t row_version;
	tlb_time now = tlb_clock_now();
	size_t i;

	note_era(s, m->era);
	if (sender && version > sender->table_version[s->kind])
		sender->table_version[s->kind] = version;
	if (version <= s->replica.complete_version)
		return;
	if (!complete_table && (!s->listed || base > s->replica.complete_version ||
				m->era != tlb_stored_era(s->replica.complete_version))) {
		note_behind(s, vm);
		return;
	}
	if (!inflate_values(m)) {
		tlb_log_warn("event=table_rows_damaged table=%d from=%s version=%lld", (int)s->kind,
			     vm, (long long)m->version);
		note_behind(s, vm);
		return;
	}
	if (complete_table)
		tlb_replica_begin_listing(&s->replica);
	for (i = 0; i < m->n_rows; i++) {
		row_version = version_in(m->era, m->rows[i]->version);
		if (complete_table || row_version > s->replica.complete_version)
			apply_peer_row(s, m->rows[i], row_version, now);
	}
	if (complete_table) {
		tlb_replica_end_listing(&s->replica, version, lost_entry_deadline(s), on_vanished,
					s);
		tlb_watcher_skip_listing(&s->watcher, version);
	}
	tlb_replica_set_complete(&s->replica, version);
	s->listed = true;
	s->behind_since = 0;
	s->handlers.on_changed(s->handlers.arg);
}

void tlb_tables_on_message(struct tlb_tables *t, const char *vm, const Toucan__Envelope *msg)
{
	switch (msg->body_case) {
	case TOUCAN__ENVELOPE__BODY_TABLE_ROWS:
		if (msg->table_rows->table < TLB_TABLE_COUNT)
			on_rows(&t->table[msg->table_rows->table], vm, msg->table_rows);
		return;
	case TOUCAN__ENVELOPE__BODY_TABLE_PULL:
		if (msg->table_pull->table < TLB_TABLE_COUNT)
			on_pull(&t->table[msg->table_pull->table], vm, msg->table_pull);
		return;
	default:
		return;
	}
}

/* --- states of VMs --- */

static bool follows_store(const struct tlb_tables *t, tlb_time now)
{
	int i;

	for (i = 0; i < TLB_TABLE_COUNT; i++)
		if (!tlb_watcher_store_reachable(&t->table[i].watcher, now))
			return false;
	return true;
}

tlb_time tlb_tables_age(const struct tlb_tables *t, tlb_time now)
{
	return follows_store(t, now) ? 0 : now - t->confirmed_at;
}

static void fill_table_state(const struct tlb_replica *r, Toucan__TableState *state)
{
	state->era = tlb_stored_era(r->complete_version);
	state->complete_version = tlb_stored_number(r->complete_version);
	/* No row, or only some, may be of that era yet. */
	state->rows_version = tlb_stored_era(r->rows_version) == state->era
				      ? tlb_stored_number(r->rows_version)
				      : state->complete_version;
}

void tlb_tables_fill_state(struct tlb_tables *t, Toucan__VmState *state)
{
	static Toucan__TableState states[TLB_TABLE_COUNT];
	static Toucan__TableState *list[TLB_TABLE_COUNT];
	tlb_time age = tlb_tables_age(t, tlb_clock_now());
	int i;

	for (i = 0; i < TLB_TABLE_COUNT; i++) {
		toucan__table_state__init(&states[i]);
		if (t->table[i].listed)
			fill_table_state(&t->table[i].replica, &states[i]);
		list[i] = &states[i];
	}
	state->tables = list;
	state->n_tables = TLB_TABLE_COUNT;
	state->confirmed_age_ms = age < UINT32_MAX * TLB_MS ? (uint32_t)(age / TLB_MS) : UINT32_MAX;
}

/* Whether the sender's tables are of an earlier era than this VM's: it does not know what has
 * changed in this one. */
static bool is_of_earlier_era(const struct tlb_tables *t, const Toucan__VmState *state)
{
	size_t i;

	for (i = 0; i < state->n_tables && i < TLB_TABLE_COUNT; i++)
		if (state->tables[i]->era < tlb_stored_era(t->table[i].replica.complete_version))
			return true;
	return false;
}

void tlb_tables_on_state(struct tlb_tables *t, struct tlb_vm *vm, const Toucan__VmState *state)
{
	tlb_time now = tlb_clock_now();
	tlb_time confirmed_at = now - (tlb_time)state->confirmed_age_ms * TLB_MS;
	struct tlb_shared_table *s;
	int64_t era;
	size_t i;

	t->heard_at = now;
	if (confirmed_at > t->confirmed_at && !is_of_earlier_era(t, state))
		t->confirmed_at = confirmed_at;
	for (i = 0; i < state->n_tables && i < TLB_TABLE_COUNT; i++) {
		s = &t->table[i];
		era = state->tables[i]->era;
		note_era(s, era);
		vm->table_version[i] = version_in(era, state->tables[i]->complete_version);
		if (version_in(era, state->tables[i]->rows_version) > s->replica.complete_version)
			note_behind(s, vm->id);
		else if (s->listed && vm->table_version[i] < s->replica.rows_version)
			schedule_push(t);
	}
}

/* --- who follows the store --- */

static bool is_chosen(const struct tlb_tables *t, tlb_time now)
{
	char ids[TLB_TABLES_FOLLOWERS][TLB_ID_LEN];
	int n = tlb_vms_rank(t->vms, tlb_vms_hash(follower_key), now, ids, TLB_TABLES_FOLLOWERS);
	int i;

	for (i = 0; i < n; i++)
		if (strcmp(ids[i], t->vms->peers.self) == 0)
			return true;
	return false;
}

static tlb_time first_behind_since(const struct tlb_tables *t)
{
	tlb_time first = 0;
	int i;

	for (i = 0; i < TLB_TABLE_COUNT; i++)
		if (t->table[i].behind_since > 0 &&
		    (first == 0 || t->table[i].behind_since < first))
			first = t->table[i].behind_since;
	return first;
}

static void set_following(struct tlb_tables *t, bool following, bool outage)
{
	struct tlb_shared_table *s;
	int i;

	t->following = following;
	for (i = 0; i < TLB_TABLE_COUNT; i++) {
		s = &t->table[i];
		if (following)
			tlb_watcher_resume(&s->watcher, s->listed ? s->replica.complete_version : 0,
					   outage);
		else
			tlb_watcher_pause(&s->watcher);
	}
}

static void set_pace(struct tlb_tables *t, int vms)
{
	bool small = vms <= TLB_TABLES_SMALL_FLEET;
	int i;

	for (i = 0; i < TLB_TABLE_COUNT; i++) {
		t->table[i].watcher.vms = small ? vms : TLB_TABLES_FOLLOWERS;
		t->table[i].watcher.min_batch_delay = small ? 0 : TLB_TABLES_BATCH_DELAY;
	}
}

static void on_role_timer(void *arg)
{
	struct tlb_tables *t = arg;
	tlb_time now = tlb_clock_now();
	struct tlb_follow_input in = {
		.vms = tlb_vms_count(t->vms),
		.vms_known = t->vms->rows.listed,
		.listed = tlb_tables_listed(t),
		.chosen = is_chosen(t, now),
		.following = t->following,
		.heard = t->heard_at > 0 && now < t->heard_at + TLB_TABLES_MAX_AGE,
		.now = now,
		.confirmed_at = t->confirmed_at,
		.behind_since = first_behind_since(t),
		.attempt_at = t->attempt_at,
		.follow_until = t->follow_until,
		.start_deadline = t->start_deadline,
	};
	bool outdated = now >= t->confirmed_at + TLB_TABLES_MAX_AGE;
	bool follow;

	set_pace(t, in.vms);
	/* Drawn anew while the tables are current, and counted from the time at which they will be
	 * outdated. */
	if (!outdated)
		t->attempt_at = t->confirmed_at + TLB_TABLES_MAX_AGE +
				(tlb_time)(tlb_random_unit(&t->board->random) *
					   (double)(TLB_TABLES_ATTEMPT_SPREAD * in.vms));
	follow = tlb_tables_should_follow(&in);
	if (follow != t->following) {
		tlb_log_info("event=table_follow on=%d chosen=%d age_ms=%lld heard=%d behind=%d "
			     "vms=%d",
			     follow, in.chosen, (long long)((now - t->confirmed_at) / TLB_MS),
			     in.heard, in.behind_since > 0, in.vms);
		if (follow)
			t->follow_until = now + TLB_TABLES_FOLLOW_TIME;
		set_following(t, follow, outdated && in.listed);
	}
	tlb_timer_set(t->board->loop, &t->role_timer,
		      now + (in.listed ? ROLE_INTERVAL : ROLE_START_INTERVAL));
}

/* --- start and end --- */

static void init_table(struct tlb_tables *t, enum tlb_table_kind kind, const char *name,
		       struct tlb_rowstore *store)
{
	struct tlb_shared_table *s = &t->table[kind];
	const struct tlb_watcher_handlers handlers = {s, on_list_begin, on_store_row,
						      on_list_complete, on_progress};
	uint64_t seed = (uint64_t)(tlb_random_unit(&t->board->random) * (double)(1ULL << 48));

	s->tables = t;
	s->kind = kind;
	tlb_replica_init(&s->replica);
	tlb_watcher_init(&s->watcher, store, name, &handlers, seed);
}

void tlb_tables_init(struct tlb_tables *t, struct tlb_edge_board *b, struct tlb_rowstore *store)
{
	memset(t, 0, sizeof(*t));
	t->board = b;
	t->vms = &b->vms;
	t->confirmed_at = tlb_clock_now();
	init_table(t, TLB_TABLE_CONFIG, tlb_platform_config_table, store);
	init_table(t, TLB_TABLE_ENDPOINTS, tlb_platform_instance_table, store);
	tlb_timer_init(&t->push_timer, on_push_timer, t);
	tlb_timer_init(&t->role_timer, on_role_timer, t);
}

void tlb_tables_start(struct tlb_tables *t)
{
	t->start_deadline =
		tlb_clock_now() + TLB_TABLES_START_WAIT +
		(tlb_time)(tlb_random_unit(&t->board->random) * TLB_TABLES_START_SPREAD);
	on_role_timer(t);
}

void tlb_tables_finish(struct tlb_tables *t)
{
	int i;

	tlb_timer_clear(t->board->loop, &t->push_timer);
	tlb_timer_clear(t->board->loop, &t->role_timer);
	for (i = 0; i < TLB_TABLE_COUNT; i++) {
		tlb_watcher_finish(&t->table[i].watcher);
		tlb_replica_finish(&t->table[i].replica);
	}
}

bool tlb_tables_listed(const struct tlb_tables *t)
{
	int i;

	for (i = 0; i < TLB_TABLE_COUNT; i++)
		if (!t->table[i].listed)
			return false;
	return true;
}
