#include "roster.h"

#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { MEMBERS_INITIAL_CAP = 16, HEX_BASE = 16, HEX_LEN = 17, NUMBERS_LEN = 32 };

static const char *const state_names[] = {"live", "fenced", "left"};

static bool read_text(char *out, size_t size, const json_t *value, const char *column)
{
	const char *text = json_string_value(json_object_get(value, column));

	if (!text || strlen(text) >= size)
		return false;
	strcpy(out, text);
	return true;
}

static bool read_hex(uint64_t *out, const json_t *value)
{
	const char *text = json_string_value(value);
	char *end = NULL;

	if (!text || !*text)
		return false;
	*out = strtoull(text, &end, HEX_BASE);
	return *end == '\0';
}

static bool read_state(enum tlb_vm_state *out, const json_t *value)
{
	const char *text = json_string_value(json_object_get(value, "state"));
	int i;

	for (i = TLB_VM_LIVE; text && i <= TLB_VM_LEFT; i++)
		if (strcmp(text, state_names[i]) == 0) {
			*out = i;
			return true;
		}
	return false;
}

static bool read_witness(struct tlb_vm_name *out, const json_t *pair)
{
	const char *id = json_string_value(json_array_get(pair, 0));

	if (!id || strlen(id) >= TLB_ID_LEN)
		return false;
	tlb_vm_name_set(out, id, 0);
	return read_hex(&out->incarnation, json_array_get(pair, 1));
}

bool tlb_vm_row_parse(struct tlb_vm_row *row, const char *key, int64_t version, const json_t *value)
{
	const json_t *witnesses = json_object_get(value, "witnesses");
	struct tlb_vm_row read;
	size_t i;

	memset(&read, 0, sizeof(read));
	read.version = version;
	if (strncmp(key, "vm/", 3) != 0 || strlen(key + 3) >= TLB_ID_LEN)
		return false;
	tlb_vm_name_set(&read.name, key + 3, 0);
	if (!read_hex(&read.name.incarnation, json_object_get(value, "incarnation")) ||
	    !read_hex(&read.process_incarnation, json_object_get(value, "process")) ||
	    !read_state(&read.state, value) ||
	    !read_text(read.addr, sizeof(read.addr), value, "peer_addr") ||
	    !read_text(read.zone, sizeof(read.zone), value, "zone") ||
	    !read_text(read.region, sizeof(read.region), value, "region") ||
	    json_array_size(witnesses) > TLB_WITNESS_MAX)
		return false;
	if (read.state == TLB_VM_LEFT)
		read.replaced_map = json_integer_value(json_object_get(value, "replaced_map"));
	for (i = 0; i < json_array_size(witnesses); i++)
		if (!read_witness(&read.witness[read.witness_count++],
				  json_array_get(witnesses, i)))
			return false;
	*row = read;
	return true;
}

static json_t *hex_json(uint64_t value)
{
	char text[HEX_LEN];

	snprintf(text, sizeof(text), "%016" PRIx64, value);
	return json_string(text);
}

json_t *tlb_vm_row_json(const struct tlb_vm_row *row)
{
	json_t *witnesses = json_array();
	json_t *value;
	json_t *pair;
	int i;

	for (i = 0; i < row->witness_count; i++) {
		pair = json_array();
		json_array_append_new(pair, json_string(row->witness[i].id));
		json_array_append_new(pair, hex_json(row->witness[i].incarnation));
		json_array_append_new(witnesses, pair);
	}
	value = json_pack("{s:o,s:o,s:s,s:s,s:s,s:s,s:o}", "incarnation",
			  hex_json(row->name.incarnation), "process",
			  hex_json(row->process_incarnation), "state", state_names[row->state],
			  "peer_addr", row->addr, "zone", row->zone, "region", row->region,
			  "witnesses", witnesses);
	if (row->state == TLB_VM_LEFT)
		json_object_set_new(value, "replaced_map", json_integer(row->replaced_map));
	return value;
}

void tlb_roster_finish(struct tlb_roster *r)
{
	int i;

	for (i = 0; i < r->count; i++)
		free(r->members[i].deferred);
	free(r->members);
	memset(r, 0, sizeof(*r));
}

struct tlb_member *tlb_roster_find(const struct tlb_roster *r, const char *id)
{
	int i;

	for (i = 0; i < r->count; i++)
		if (strcmp(r->members[i].row.name.id, id) == 0)
			return &r->members[i];
	return NULL;
}

static struct tlb_member *add_member(struct tlb_roster *r)
{
	if (r->count == r->cap) {
		r->cap = r->cap ? 2 * r->cap : MEMBERS_INITIAL_CAP;
		r->members = realloc(r->members, r->cap * sizeof(*r->members));
		/* Without the list of VMs the daemon can't determine the owners of shards. */
		if (!r->members)
			abort();
	}
	memset(&r->members[r->count], 0, sizeof(*r->members));
	return &r->members[r->count++];
}

struct tlb_member *tlb_roster_put(struct tlb_roster *r, const struct tlb_vm_row *row, tlb_time now)
{
	struct tlb_member *m = tlb_roster_find(r, row->name.id);

	if (m && row->version <= m->row.version)
		return m;
	if (m && !tlb_vm_name_equal(&m->row.name, &row->name))
		tlb_roster_mark_ended(r, &m->row.name);
	if (!m)
		m = add_member(r);
	if (m->deferred && m->deferred->version <= row->version) {
		free(m->deferred);
		m->deferred = NULL;
	}
	r->digest = 0;
	m->row = *row;
	m->row_received_at = now;
	m->row_stale = false;
	if (row->state != TLB_VM_LIVE)
		tlb_roster_mark_ended(r, &row->name);
	return m;
}

bool tlb_roster_has_row(const struct tlb_roster *r, const char *id, int64_t version)
{
	const struct tlb_member *m = tlb_roster_find(r, id);

	return m && (m->row.version >= version || (m->deferred && m->deferred->version >= version));
}

bool tlb_roster_defer(struct tlb_roster *r, const struct tlb_vm_row *row)
{
	struct tlb_member *m = tlb_roster_find(r, row->name.id);

	if (!m || tlb_roster_has_row(r, row->name.id, row->version))
		return false;
	if (!m->deferred)
		m->deferred = malloc(sizeof(*m->deferred));
	/* The row will be pulled again, because the digests differ. */
	if (!m->deferred)
		return false;
	*m->deferred = *row;
	return true;
}

bool tlb_roster_mark_ended(struct tlb_roster *r, const struct tlb_vm_name *name)
{
	if (tlb_roster_ended(r, name))
		return false;
	r->digest = 0;
	r->ended[r->ended_next] = *name;
	r->ended_next = (r->ended_next + 1) % TLB_ENDED_MAX;
	if (r->ended_count < TLB_ENDED_MAX)
		r->ended_count++;
	return true;
}

bool tlb_roster_ended(const struct tlb_roster *r, const struct tlb_vm_name *name)
{
	int i;

	for (i = 0; i < r->ended_count; i++)
		if (tlb_vm_name_equal(&r->ended[i], name))
			return true;
	return false;
}

static void infer_ended(struct tlb_roster *r, const struct tlb_vm_name *name)
{
	const struct tlb_member *m = tlb_roster_find(r, name->id);

	if (m && m->row.version > 0 && !tlb_vm_name_equal(&m->row.name, name))
		tlb_roster_mark_ended(r, name);
}

void tlb_roster_infer_ended(struct tlb_roster *r, const struct tlb_shard_map *m)
{
	int i;

	for (i = 0; i < TLB_SHARD_COUNT; i++) {
		infer_ended(r, &m->entry[i].owner);
		infer_ended(r, &m->entry[i].standby);
	}
}

static uint64_t hash_text(const char *text, int len)
{
	static const unsigned char key[crypto_shorthash_KEYBYTES];
	unsigned char out[crypto_shorthash_BYTES];
	uint64_t value;

	crypto_shorthash(out, (const unsigned char *)text, len, key);
	memcpy(&value, out, sizeof(value));
	return value;
}

/* A hash of the id, the version, and whether a fence is recorded that the row does not show. */
static uint64_t row_digest(const struct tlb_roster *r, const struct tlb_member *m)
{
	char text[TLB_ID_LEN + NUMBERS_LEN];
	bool unwritten_fence = m->row.state == TLB_VM_LIVE && !tlb_roster_live(r, m);
	int len;

	len = snprintf(text, sizeof(text), "%s/%" PRId64 "/%d", m->row.name.id, m->row.version,
		       unwritten_fence);
	return hash_text(text, len);
}

uint64_t tlb_roster_digest(struct tlb_roster *r)
{
	uint64_t digest = 0;
	int i;

	if (r->digest)
		return r->digest;
	for (i = 0; i < r->count; i++)
		digest ^= row_digest(r, &r->members[i]);
	r->digest = digest ? digest : 1;
	return r->digest;
}

static uint64_t rank_hash(const char *id, int64_t number)
{
	char text[TLB_ID_LEN + NUMBERS_LEN];
	int len = snprintf(text, sizeof(text), "%s/%" PRId64, id, number);

	return hash_text(text, len);
}

int tlb_roster_rank(const struct tlb_roster *r, const char *self, int64_t number)
{
	uint64_t self_hash = rank_hash(self, number);
	const struct tlb_member *m;
	int rank = 0;
	int i;

	for (i = 0; i < r->count; i++) {
		m = &r->members[i];
		rank += tlb_roster_live(r, m) && strcmp(m->row.name.id, self) != 0 &&
			rank_hash(m->row.name.id, number) < self_hash;
	}
	return rank;
}
