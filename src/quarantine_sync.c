#include "quarantine_sync.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "edgeboard.h"
#include "log.h"

/* The router's table in the platform's store: one row for each part with lasting evidence. */
static const char table[] = "toucanlb-quarantine";
/* Key of the ranking that selects the collectors. */
static const char collectors_key[] = "quarantine";

#define CHECK_INTERVAL (100 * TLB_MS)

enum { HEX_LEN = 17 };

static void reconcile(struct tlb_quarantine_sync *s);

/* --- logs --- */

static void log_verdict(const struct tlb_quarantine *q, const struct tlb_suspect_part *p)
{
	uint64_t account;

	if (p->quarantined)
		tlb_log_warn("event=part_quarantined part=%" PRIx64
			     " crashes=%d common_parts=%d accounts=%d probe_ms=%lld",
			     p->part, p->crash_count, p->common_count,
			     tlb_quarantine_accounts(p, &account),
			     (long long)((tlb_quarantine_next_probe_at(q, p) - tlb_clock_now()) /
					 TLB_MS));
	else
		tlb_log_warn("event=part_released part=%" PRIx64 " crashes=%d answered=%d", p->part,
			     p->crash_count, p->sound_at != TLB_QUARANTINE_NEVER);
}

/* Logs the verdicts that have changed since the last call. */
static void log_verdicts(struct tlb_quarantine_sync *s)
{
	struct tlb_suspect_part *p;

	APR_RING_FOREACH (p, &s->quarantine->parts, tlb_suspect_part, link) {
		if (p->quarantined != p->logged)
			log_verdict(s->quarantine, p);
		p->logged = p->quarantined;
	}
	tlb_counter_set(&s->board->counters, TLB_COUNTER_QUARANTINED_PARTS,
			s->quarantine->quarantined);
}

/* --- messages --- */

/* One message. Arrays of entries are borrowed from the quarantine until it is sent. */
struct message {
	Toucan__SuspectParts body;
	Toucan__SuspectPart *parts[TLB_QUARANTINE_PARTS_SENT_MAX];
	Toucan__SuspectPart part[TLB_QUARANTINE_PARTS_SENT_MAX];
	Toucan__PartCrash *crashes[TLB_QUARANTINE_PARTS_SENT_MAX][TLB_QUARANTINE_CRASHES_KEPT];
	Toucan__PartCrash crash[TLB_QUARANTINE_PARTS_SENT_MAX][TLB_QUARANTINE_CRASHES_KEPT];
	uint64_t crashed[TLB_QUARANTINE_NOTICES_MAX];
};

static void begin_message(struct message *m)
{
	toucan__suspect_parts__init(&m->body);
	m->body.parts = m->parts;
	m->body.crashed = m->crashed;
}

static void add_notices(struct message *m, struct tlb_quarantine *q)
{
	struct tlb_crash_notice *n;

	for (n = q->notices; n < q->notices + TLB_QUARANTINE_NOTICES_MAX; n++) {
		if (n->changed)
			m->crashed[m->body.n_crashed++] = n->endpoint;
		n->changed = false;
	}
}

/* 0 stands for none. */
static uint64_t age_of_time(tlb_time now, tlb_time at)
{
	if (at == TLB_QUARANTINE_NEVER)
		return 0;
	return now > at ? (uint64_t)(now - at) : 1;
}

static void add_to_message(struct message *m, struct tlb_suspect_part *p, tlb_time now)
{
	size_t n = m->body.n_parts++;
	Toucan__SuspectPart *out = &m->part[n];
	int i;

	toucan__suspect_part__init(out);
	m->parts[n] = out;
	out->part = p->part;
	out->common = p->common;
	out->n_common = (size_t)p->common_count;
	out->crashes = m->crashes[n];
	out->n_crashes = (size_t)p->crash_count;
	for (i = 0; i < p->crash_count; i++) {
		toucan__part_crash__init(&m->crash[n][i]);
		m->crash[n][i].endpoint = p->crashes[i].endpoint;
		m->crash[n][i].account = p->crashes[i].account;
		m->crash[n][i].request = p->crashes[i].request;
		m->crash[n][i].age_us = (uint64_t)(now - p->crashes[i].at);
		m->crashes[n][i] = &m->crash[n][i];
	}
	out->sound_age_us = age_of_time(now, p->sound_at);
	out->probe_age_us = age_of_time(now, p->probe_at);
}

static void send_message(struct tlb_quarantine_sync *s, struct message *m, const char *vm)
{
	Toucan__Envelope e = TOUCAN__ENVELOPE__INIT;

	e.body_case = TOUCAN__ENVELOPE__BODY_SUSPECT_PARTS;
	e.suspect_parts = &m->body;
	/* What is lost is sent again when the reports show different verdicts. */
	if (!tlb_peers_send(&s->board->vms.peers, vm, &e))
		tlb_log_info("event=suspect_parts_not_sent vm=%s", vm);
}

static void send_to_linked(struct tlb_quarantine_sync *s, struct message *m)
{
	struct tlb_vm *vm;

	if (m->body.n_parts == 0 && m->body.n_crashed == 0)
		return;
	APR_RING_FOREACH (vm, &s->board->vms.all, tlb_vm, link) {
		if (tlb_vm_is_linked(vm))
			send_message(s, m, vm->id);
	}
}

static void send_to_collectors(struct tlb_quarantine_sync *s, struct message *m)
{
	char ids[TLB_QUARANTINE_COLLECTORS][TLB_ID_LEN];
	const struct tlb_vms *v = &s->board->vms;
	int n = tlb_vms_rank(v, tlb_vms_hash(collectors_key), tlb_clock_now(), ids,
			     TLB_QUARANTINE_COLLECTORS);
	int i;

	for (i = 0; i < n && m->body.n_parts > 0; i++)
		if (strcmp(ids[i], v->peers.self) != 0)
			send_message(s, m, ids[i]);
}

/* Whether all VMs should know the evidence, not only the collectors. */
static bool concerns_all(const struct tlb_quarantine_sync *s, const struct tlb_suspect_part *p)
{
	return tlb_vms_count(&s->board->vms) <= TLB_VMS_SMALL_FLEET ||
	       p->sound_at != TLB_QUARANTINE_NEVER || p->crash_count > 1;
}

/* Sends the entries that have changed. */
static void flush(void *arg)
{
	static struct message for_all;
	static struct message for_collectors;
	struct tlb_quarantine_sync *s = arg;
	struct tlb_suspect_part *p;
	struct message *m;
	tlb_time now = tlb_clock_now();

	log_verdicts(s);
	begin_message(&for_all);
	begin_message(&for_collectors);
	APR_RING_FOREACH (p, &s->quarantine->parts, tlb_suspect_part, link) {
		m = concerns_all(s, p) ? &for_all : &for_collectors;
		if (!p->changed)
			continue;
		if (m->body.n_parts == TLB_QUARANTINE_PARTS_SENT_MAX) {
			tlb_quarantine_sync_notify(s);
			break;
		}
		p->changed = false;
		add_to_message(m, p, now);
	}
	add_notices(&for_all, s->quarantine);
	send_to_linked(s, &for_all);
	send_to_collectors(s, &for_collectors);
}

void tlb_quarantine_sync_notify(struct tlb_quarantine_sync *s)
{
	tlb_time at = tlb_clock_now() + TLB_QUARANTINE_FLUSH_DELAY;

	if (!tlb_timer_active(&s->flush_timer))
		tlb_timer_set(s->board->loop, &s->flush_timer, at);
}

/* Sends the entries with lasting evidence, or the others that an answer has cleared, to one VM. */
static void send_entries(struct tlb_quarantine_sync *s, struct tlb_vm *vm, bool lasting,
			 tlb_time now)
{
	static struct message m;
	struct tlb_suspect_part *p;

	begin_message(&m);
	APR_RING_FOREACH (p, &s->quarantine->parts, tlb_suspect_part, link) {
		if (tlb_quarantine_is_lasting(p) != lasting ||
		    (!lasting && p->sound_at == TLB_QUARANTINE_NEVER))
			continue;
		if (m.body.n_parts == TLB_QUARANTINE_PARTS_SENT_MAX) {
			send_message(s, &m, vm->id);
			begin_message(&m);
		}
		add_to_message(&m, p, now);
	}
	if (m.body.n_parts > 0)
		send_message(s, &m, vm->id);
}

/* Sends the verdicts, and the answers that ended verdicts, to one VM. */
static void send_verdicts(struct tlb_quarantine_sync *s, struct tlb_vm *vm, tlb_time now)
{
	vm->verdicts_sent_at = now;
	send_entries(s, vm, true, now);
	send_entries(s, vm, false, now);
}

static void merge_received(struct tlb_quarantine_sync *s, const Toucan__SuspectPart *in,
			   tlb_time now)
{
	struct tlb_suspect_part p;
	size_t i;

	/* A list that was cut short would widen the verdict. */
	if (in->n_common > TLB_SHARED_PARTS_MAX)
		return;
	tlb_quarantine_init_part(&p, in->part);
	p.common_count = (int)in->n_common;
	if (in->n_common > 0)
		memcpy(p.common, in->common, in->n_common * sizeof(p.common[0]));
	for (i = 0; i < in->n_crashes && i < TLB_QUARANTINE_CRASHES_KEPT; i++)
		p.crashes[p.crash_count++] = (struct tlb_part_crash){
			in->crashes[i]->endpoint,
			tlb_quarantine_time_of_age(now, in->crashes[i]->age_us),
			in->crashes[i]->account, in->crashes[i]->request};
	if (in->sound_age_us > 0)
		p.sound_at = tlb_quarantine_time_of_age(now, in->sound_age_us);
	if (in->probe_age_us > 0)
		p.probe_at = tlb_quarantine_time_of_age(now, in->probe_age_us);
	if (tlb_quarantine_merge(s->quarantine, &p, now))
		tlb_quarantine_sync_notify(s);
}

void tlb_quarantine_sync_on_message(struct tlb_quarantine_sync *s, const Toucan__SuspectParts *msg)
{
	tlb_time now = tlb_clock_now();
	size_t i;

	for (i = 0; i < msg->n_parts; i++)
		merge_received(s, msg->parts[i], now);
	for (i = 0; i < msg->n_crashed; i++)
		tlb_quarantine_note_crash(s->quarantine, msg->crashed[i], now);
	if (msg->n_crashed > 0)
		tlb_quarantine_sync_notify(s);
}

/* Whether the store is known to have these verdicts. */
static bool is_stored(const struct tlb_quarantine_sync *s, uint64_t verdicts)
{
	return s->store_known && s->store_era == s->store->era && s->store_verdicts == verdicts;
}

void tlb_quarantine_sync_fill_state(const struct tlb_quarantine_sync *s, Toucan__VmState *state)
{
	state->verdicts = tlb_quarantine_digest(s->quarantine);
	state->verdicts_stored = is_stored(s, state->verdicts);
}

/* Whether the sender's tables are of that era. */
static bool is_in_era(const Toucan__VmState *state, int64_t era)
{
	return state->n_tables > 0 && state->tables[0]->era == era;
}

void tlb_quarantine_sync_on_state(struct tlb_quarantine_sync *s, struct tlb_vm *vm,
				  const Toucan__VmState *state)
{
	tlb_time now = tlb_clock_now();
	uint64_t own = tlb_quarantine_digest(s->quarantine);

	if (state->verdicts == own && state->verdicts_stored && is_in_era(state, s->store->era)) {
		s->store_known = true;
		s->store_era = s->store->era;
		s->store_verdicts = own;
	} else if (state->verdicts != own &&
		   now >= vm->verdicts_sent_at + TLB_QUARANTINE_RESEND_INTERVAL) {
		send_verdicts(s, vm, now);
	}
}

/* --- the store --- */

static void put_hex(json_t *list, uint64_t value)
{
	char text[HEX_LEN];

	snprintf(text, sizeof(text), "%" PRIx64, value);
	json_array_append_new(list, json_string(text));
}

/* The row of an entry, malloc'd; times on the store's clock. */
static char *format_row(const struct tlb_quarantine_sync *s, const struct tlb_suspect_part *p)
{
	json_t *j = json_pack("{s:[],s:[],s:[],s:[],s:[]}", "common", "accounts", "requests",
			      "endpoints", "at_us");
	char *text;
	int i;

	for (i = 0; i < p->common_count; i++)
		put_hex(json_object_get(j, "common"), p->common[i]);
	for (i = 0; i < p->crash_count; i++) {
		put_hex(json_object_get(j, "endpoints"), p->crashes[i].endpoint);
		put_hex(json_object_get(j, "accounts"), p->crashes[i].account);
		put_hex(json_object_get(j, "requests"), p->crashes[i].request);
		json_array_append_new(json_object_get(j, "at_us"),
				      json_integer(p->crashes[i].at + s->store_clock_offset));
	}
	text = json_dumps(j, JSON_COMPACT);
	json_decref(j);
	return text;
}

static int get_hex_list(const json_t *list, uint64_t *out, int most)
{
	const char *text;
	size_t i;

	for (i = 0; i < json_array_size(list) && i < (size_t)most; i++) {
		text = json_string_value(json_array_get(list, i));
		out[i] = text ? strtoull(text, NULL, 16) : 0;
	}
	return (int)i;
}

/* Reads a row, times on this VM's clock. Returns false when it has no crash or no common part. */
static bool read_row(const struct tlb_quarantine_sync *s, const struct tlb_stored_row *row,
		     struct tlb_suspect_part *p)
{
	json_t *j = json_loadb(row->value, row->len, 0, NULL);
	const json_t *times = json_object_get(j, "at_us");
	uint64_t endpoints[TLB_QUARANTINE_CRASHES_KEPT];
	uint64_t accounts[TLB_QUARANTINE_CRASHES_KEPT] = {0};
	uint64_t requests[TLB_QUARANTINE_CRASHES_KEPT] = {0};
	int i;

	tlb_quarantine_init_part(p, strtoull(row->key, NULL, 16));
	p->common_count =
		get_hex_list(json_object_get(j, "common"), p->common, TLB_SHARED_PARTS_MAX);
	get_hex_list(json_object_get(j, "accounts"), accounts, TLB_QUARANTINE_CRASHES_KEPT);
	get_hex_list(json_object_get(j, "requests"), requests, TLB_QUARANTINE_CRASHES_KEPT);
	p->crash_count = get_hex_list(json_object_get(j, "endpoints"), endpoints,
				      TLB_QUARANTINE_CRASHES_KEPT);
	for (i = 0; i < p->crash_count; i++)
		p->crashes[i] = (struct tlb_part_crash){
			endpoints[i],
			json_integer_value(json_array_get(times, (size_t)i)) -
				s->store_clock_offset,
			accounts[i], requests[i]};
	json_decref(j);
	return p->crash_count > 0 && p->common_count > 0;
}

static void retry_later(struct tlb_quarantine_sync *s, const char *reason)
{
	tlb_time spread = TLB_QUARANTINE_STORE_SPREAD * tlb_vms_count(&s->board->vms);

	tlb_log_info("event=quarantine_not_stored reason=\"%s\"", reason);
	s->adjusting = false;
	s->store_deadline = tlb_clock_now() + TLB_QUARANTINE_STORE_RETRY +
			    (tlb_time)(tlb_random_unit(&s->board->random) * (double)spread);
}

/* After a write the rows are read again, until nothing is left to write. */
static void on_written(void *arg, enum tlb_rowstore_status status,
		       const struct tlb_stored_rows *rows, const char *reason)
{
	if (status == TLB_ROWS_OK)
		reconcile(arg);
	else
		retry_later(arg, reason);
}

static void write_row(struct tlb_quarantine_sync *s, const char *key, const char *value)
{
	tlb_rowstore_write(s->store, &s->op, table, key, -1, value, on_written, s);
}

static struct tlb_suspect_part *lasting_part(const struct tlb_quarantine *q, uint64_t part)
{
	struct tlb_suspect_part *p;

	APR_RING_FOREACH (p, &q->parts, tlb_suspect_part, link) {
		if (p->part == part && tlb_quarantine_is_lasting(p))
			return p;
	}
	return NULL;
}

/* Removes the first row without lasting evidence. Returns whether there was one. */
static bool remove_stale_row(struct tlb_quarantine_sync *s, const struct tlb_stored_rows *rows)
{
	int i;

	for (i = 0; i < rows->count; i++) {
		if (lasting_part(s->quarantine, strtoull(rows->rows[i].key, NULL, 16)))
			continue;
		write_row(s, rows->rows[i].key, NULL);
		return true;
	}
	return false;
}

/* Whether the row holds as much evidence as the entry. */
static bool row_matches(const struct tlb_quarantine_sync *s, const struct tlb_stored_row *row,
			const struct tlb_suspect_part *p)
{
	struct tlb_suspect_part stored;
	uint64_t stored_account = 0;
	uint64_t account = 0;

	return read_row(s, row, &stored) && stored.common_count == p->common_count &&
	       stored.crash_count >= p->crash_count &&
	       tlb_quarantine_accounts(&stored, &stored_account) ==
		       tlb_quarantine_accounts(p, &account);
}

static bool has_row(const struct tlb_quarantine_sync *s, const struct tlb_stored_rows *rows,
		    const struct tlb_suspect_part *p, const char *key)
{
	int i;

	for (i = 0; i < rows->count; i++)
		if (strcmp(rows->rows[i].key, key) == 0)
			return row_matches(s, &rows->rows[i], p);
	return false;
}

/* Writes the first lasting evidence that the rows lack. Returns whether there was one. */
static bool write_missing_row(struct tlb_quarantine_sync *s, const struct tlb_stored_rows *rows)
{
	const struct tlb_suspect_part *p;
	char key[HEX_LEN];
	char *value;

	APR_RING_FOREACH (p, &s->quarantine->parts, tlb_suspect_part, link) {
		snprintf(key, sizeof(key), "%" PRIx64, p->part);
		if (!tlb_quarantine_is_lasting(p) || has_row(s, rows, p, key))
			continue;
		value = format_row(s, p);
		/* Without a value the row would be removed. */
		if (value)
			write_row(s, key, value);
		else
			retry_later(s, "no memory for the row");
		free(value);
		return true;
	}
	return false;
}

static void on_listed(void *arg, enum tlb_rowstore_status status,
		      const struct tlb_stored_rows *rows, const char *reason)
{
	struct tlb_quarantine_sync *s = arg;
	struct tlb_suspect_part p;
	tlb_time now = tlb_clock_now();
	int i;

	if (status != TLB_ROWS_OK) {
		retry_later(s, reason);
		return;
	}
	s->store_clock_offset = rows->now_ms * TLB_MS - now;
	for (i = 0; i < rows->count; i++)
		if (read_row(s, &rows->rows[i], &p) && tlb_quarantine_merge(s->quarantine, &p, now))
			tlb_quarantine_sync_notify(s);
	if (remove_stale_row(s, rows) || write_missing_row(s, rows))
		return;
	s->store_known = true;
	s->store_era = tlb_stored_era(rows->version);
	s->store_verdicts = tlb_quarantine_digest(s->quarantine);
	s->adjusting = false;
}

/* Reads the store's verdicts and makes them the same as this VM's, one row at a time. */
static void reconcile(struct tlb_quarantine_sync *s)
{
	s->adjusting = true;
	tlb_rowstore_cancel(&s->op);
	tlb_rowstore_list_first(s->store, &s->op, table, on_listed, s);
}

/* When this VM reads or adjusts the store's verdicts. In a small fleet every VM reads them at its
 * start; otherwise one VM acts, and the others only if it has not after some time. */
static tlb_time store_deadline(struct tlb_quarantine_sync *s, tlb_time now)
{
	const struct tlb_vms *v = &s->board->vms;
	bool small = tlb_vms_count(v) <= TLB_VMS_SMALL_FLEET;

	if ((!s->store_known && small) || tlb_vms_has_lowest_id(v, now))
		return now;
	return now + TLB_QUARANTINE_STORE_TAKEOVER +
	       (tlb_time)(tlb_random_unit(&s->board->random) *
			  (double)(TLB_QUARANTINE_STORE_SPREAD * tlb_vms_count(v)));
}

static void adjust_store(struct tlb_quarantine_sync *s, tlb_time now)
{
	bool agrees = is_stored(s, tlb_quarantine_digest(s->quarantine));

	if (agrees)
		s->store_deadline = 0;
	else if (s->store_deadline == 0)
		s->store_deadline = store_deadline(s, now);
	if (!agrees && !s->adjusting && now >= s->store_deadline)
		reconcile(s);
}

static void check(void *arg)
{
	struct tlb_quarantine_sync *s = arg;
	tlb_time now = tlb_clock_now();

	tlb_quarantine_expire(s->quarantine, now);
	log_verdicts(s);
	/* Who adjusts the store depends on the list of VMs. */
	if (s->board->vms.rows.listed)
		adjust_store(s, now);
	tlb_timer_set(s->board->loop, &s->check_timer, now + CHECK_INTERVAL);
}

/* --- start and end --- */

void tlb_quarantine_sync_init(struct tlb_quarantine_sync *s, struct tlb_edge_board *b,
			      struct tlb_rowstore *store)
{
	memset(s, 0, sizeof(*s));
	s->board = b;
	s->quarantine = &b->quarantine;
	s->store = store;
	tlb_timer_init(&s->flush_timer, flush, s);
	tlb_timer_init(&s->check_timer, check, s);
}

void tlb_quarantine_sync_start(struct tlb_quarantine_sync *s)
{
	check(s);
}

void tlb_quarantine_sync_finish(struct tlb_quarantine_sync *s)
{
	tlb_rowstore_cancel(&s->op);
	tlb_timer_clear(s->board->loop, &s->flush_timer);
	tlb_timer_clear(s->board->loop, &s->check_timer);
}
