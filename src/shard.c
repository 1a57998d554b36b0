#include "shard.h"

#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { NONE = -1, HEX_BASE = 16, HEX_LEN = 17 };

int tlb_shard_for_id(const char *id)
{
	/* The key is constant because all daemons must compute the same shard for an id. */
	static const unsigned char key[crypto_shorthash_KEYBYTES];
	unsigned char out[crypto_shorthash_BYTES];

	crypto_shorthash(out, (const unsigned char *)id, strlen(id), key);
	return out[0] % TLB_SHARD_COUNT;
}

static bool is_none(const struct tlb_vm_name *name)
{
	return name->id[0] == '\0';
}

static bool parse_hex(const json_t *value, uint64_t *out)
{
	const char *text = json_string_value(value);
	char *end = NULL;

	if (!text || !*text)
		return false;
	*out = strtoull(text, &end, HEX_BASE);
	return *end == '\0';
}

static bool parse_name(struct tlb_vm_name *name, const json_t *vms, const json_t *index)
{
	const json_t *pair;
	const char *id;

	memset(name, 0, sizeof(*name));
	if (!json_is_integer(index))
		return false;
	if (json_integer_value(index) == NONE)
		return true;
	pair = json_array_get(vms, json_integer_value(index));
	id = json_string_value(json_array_get(pair, 0));
	if (!id || !*id || strlen(id) >= TLB_ID_LEN)
		return false;
	tlb_vm_name_set(name, id, 0);
	return parse_hex(json_array_get(pair, 1), &name->incarnation);
}

void tlb_shard_map_begin_write(struct tlb_shard_map *m)
{
	memmove(&m->former_write_id[1], &m->former_write_id[0],
		sizeof(m->former_write_id) - sizeof(m->former_write_id[0]));
	m->former_write_id[0] = m->write_id;
	do
		randombytes_buf(&m->write_id, sizeof(m->write_id));
	while (!m->write_id);
}

bool tlb_shard_map_includes(const struct tlb_shard_map *m, uint64_t write_id)
{
	int i;

	if (!write_id || write_id == m->write_id)
		return write_id != 0;
	for (i = 0; i < TLB_SHARD_WRITES_KEPT; i++)
		if (m->former_write_id[i] == write_id)
			return true;
	return false;
}

/* Absent in the map of an older daemon. */
static bool parse_former_tickets(struct tlb_shard_map *m, const json_t *list)
{
	size_t i;

	if (json_array_size(list) > TLB_SHARD_WRITES_KEPT)
		return false;
	for (i = 0; i < json_array_size(list); i++)
		if (!parse_hex(json_array_get(list, i), &m->former_write_id[i]))
			return false;
	return true;
}

bool tlb_shard_map_parse(struct tlb_shard_map *m, int64_t version, const json_t *value)
{
	const json_t *vms = json_object_get(value, "vms");
	const json_t *owner = json_object_get(value, "owner");
	const json_t *standby = json_object_get(value, "standby");
	struct tlb_shard_map read;
	int i;

	memset(&read, 0, sizeof(read));
	read.version = version;
	if (json_array_size(owner) != TLB_SHARD_COUNT ||
	    json_array_size(standby) != TLB_SHARD_COUNT)
		return false;
	if (!parse_hex(json_object_get(value, "ticket"), &read.write_id) ||
	    !parse_former_tickets(&read, json_object_get(value, "former_tickets")))
		return false;
	for (i = 0; i < TLB_SHARD_COUNT; i++) {
		if (!parse_name(&read.entry[i].owner, vms, json_array_get(owner, i)))
			return false;
		if (!parse_name(&read.entry[i].standby, vms, json_array_get(standby, i)))
			return false;
	}
	*m = read;
	return true;
}

/* The distinct VM names of a map, as the array "vms" of its JSON form lists them. */
struct name_list {
	struct tlb_vm_name name[2 * TLB_SHARD_COUNT];
	int count;
};

static int name_index(struct name_list *l, const struct tlb_vm_name *name)
{
	int i;

	if (is_none(name))
		return NONE;
	for (i = 0; i < l->count; i++)
		if (tlb_vm_name_equal(&l->name[i], name))
			return i;
	l->name[l->count++] = *name;
	return i;
}

static json_t *hex_json(uint64_t value)
{
	char text[HEX_LEN];

	snprintf(text, sizeof(text), "%016" PRIx64, value);
	return json_string(text);
}

json_t *tlb_shard_map_json(const struct tlb_shard_map *m)
{
	struct name_list names = {.count = 0};
	json_t *vms = json_array();
	json_t *owner = json_array();
	json_t *standby = json_array();
	json_t *former = json_array();
	json_t *value = json_object();
	json_t *pair;
	int i;

	for (i = 0; i < TLB_SHARD_COUNT; i++) {
		json_array_append_new(owner, json_integer(name_index(&names, &m->entry[i].owner)));
		json_array_append_new(standby,
				      json_integer(name_index(&names, &m->entry[i].standby)));
	}
	for (i = 0; i < names.count; i++) {
		pair = json_array();
		json_array_append_new(pair, json_string(names.name[i].id));
		json_array_append_new(pair, hex_json(names.name[i].incarnation));
		json_array_append_new(vms, pair);
	}
	for (i = 0; i < TLB_SHARD_WRITES_KEPT && m->former_write_id[i]; i++)
		json_array_append_new(former, hex_json(m->former_write_id[i]));
	json_object_set_new(value, "ticket", hex_json(m->write_id));
	json_object_set_new(value, "former_tickets", former);
	json_object_set_new(value, "vms", vms);
	json_object_set_new(value, "owner", owner);
	json_object_set_new(value, "standby", standby);
	return value;
}

bool tlb_fleet_ended(const struct tlb_fleet *f, const struct tlb_vm_name *name)
{
	int i;

	for (i = 0; i < f->ended_count; i++)
		if (tlb_vm_name_equal(&f->ended[i], name))
			return true;
	return false;
}

static bool is_usable(const struct tlb_fleet *f, const struct tlb_vm_name *name)
{
	return !is_none(name) && !tlb_fleet_ended(f, name);
}

const struct tlb_vm_name *tlb_shard_effective_owner(const struct tlb_shard_map *m, int shard,
						    const struct tlb_fleet *f)
{
	const struct tlb_shard_entry *e = &m->entry[shard];

	if (is_usable(f, &e->owner))
		return &e->owner;
	return is_usable(f, &e->standby) ? &e->standby : NULL;
}

void tlb_shard_create(struct tlb_shard_map *m, const struct tlb_vm_name *self)
{
	int i;

	memset(m, 0, sizeof(*m));
	for (i = 0; i < TLB_SHARD_COUNT; i++)
		m->entry[i].owner = *self;
}

static int owned_count(const struct tlb_shard_map *m, const struct tlb_vm_name *vm)
{
	int n = 0;
	int i;

	for (i = 0; i < TLB_SHARD_COUNT; i++)
		n += tlb_vm_name_equal(&m->entry[i].owner, vm);
	return n;
}

enum load_extreme { LEAST_LOADED, MOST_LOADED };

/* The live VM that owns the fewest or the most shards, among equals the one with the lowest id.
 * NULL when there are no live VMs. */
static const struct tlb_shard_vm *vm_by_load(const struct tlb_shard_map *m,
					     const struct tlb_fleet *f, enum load_extreme extreme)
{
	const struct tlb_shard_vm *best = NULL;
	int sign = extreme == LEAST_LOADED ? 1 : -1;
	int best_count = 0;
	int count;
	int i;

	for (i = 0; i < f->live_count; i++) {
		count = sign * owned_count(m, &f->live[i].name);
		if (best && (count > best_count || (count == best_count &&
						    strcmp(f->live[i].name.id, best->name.id) > 0)))
			continue;
		best = &f->live[i];
		best_count = count;
	}
	return best;
}

static const char *zone_of(const struct tlb_fleet *f, const struct tlb_vm_name *vm)
{
	int i;

	for (i = 0; i < f->live_count; i++)
		if (tlb_vm_name_equal(&f->live[i].name, vm))
			return f->live[i].zone;
	return "";
}

/* The number of shards of owner that have vm as standby. Equal numbers distribute the shards
 * of a failed owner evenly. */
static int standby_count(const struct tlb_shard_map *m, const struct tlb_vm_name *owner,
			 const struct tlb_vm_name *vm)
{
	int n = 0;
	int i;

	for (i = 0; i < TLB_SHARD_COUNT; i++)
		n += tlb_vm_name_equal(&m->entry[i].owner, owner) &&
		     tlb_vm_name_equal(&m->entry[i].standby, vm);
	return n;
}

/* Lower is better. Being in the owner's zone costs as much as two further shards. */
static int standby_cost(const struct tlb_shard_map *m, const struct tlb_fleet *f,
			const struct tlb_vm_name *owner, const struct tlb_shard_vm *vm)
{
	int same_zone = strcmp(zone_of(f, owner), vm->zone) == 0;

	return standby_count(m, owner, &vm->name) + 2 * same_zone;
}

static const struct tlb_shard_vm *best_standby(const struct tlb_shard_map *m,
					       const struct tlb_fleet *f,
					       const struct tlb_vm_name *owner)
{
	const struct tlb_shard_vm *best = NULL;
	int best_cost = 0;
	int cost;
	int i;

	for (i = 0; i < f->live_count; i++) {
		if (tlb_vm_name_equal(&f->live[i].name, owner))
			continue;
		cost = standby_cost(m, f, owner, &f->live[i]);
		if (best && cost >= best_cost)
			continue;
		best = &f->live[i];
		best_cost = cost;
	}
	return best;
}

static void set_standby(struct tlb_shard_map *m, const struct tlb_fleet *f,
			struct tlb_shard_entry *e)
{
	const struct tlb_shard_vm *vm;

	memset(&e->standby, 0, sizeof(e->standby));
	vm = best_standby(m, f, &e->owner);
	if (vm)
		e->standby = vm->name;
}

static void replace_ended(struct tlb_shard_map *m, const struct tlb_fleet *f,
			  struct tlb_shard_entry *e)
{
	const struct tlb_shard_vm *vm;

	if (!is_usable(f, &e->owner)) {
		vm = vm_by_load(m, f, LEAST_LOADED);
		if (is_usable(f, &e->standby))
			e->owner = e->standby;
		else if (vm)
			e->owner = vm->name;
		set_standby(m, f, e);
	}
	if (!is_none(&e->standby) && tlb_fleet_ended(f, &e->standby))
		set_standby(m, f, e);
}

static bool entry_equal(const struct tlb_shard_entry *a, const struct tlb_shard_entry *b)
{
	return tlb_vm_name_equal(&a->owner, &b->owner) &&
	       tlb_vm_name_equal(&a->standby, &b->standby);
}

static int count_changes(const struct tlb_shard_map *a, const struct tlb_shard_map *b)
{
	int n = 0;
	int i;

	for (i = 0; i < TLB_SHARD_COUNT; i++)
		n += !entry_equal(&a->entry[i], &b->entry[i]);
	return n;
}

int tlb_shard_replace_ended(struct tlb_shard_map *m, const struct tlb_fleet *f)
{
	struct tlb_shard_map before = *m;
	int i;

	for (i = 0; i < TLB_SHARD_COUNT; i++)
		replace_ended(m, f, &m->entry[i]);
	return count_changes(&before, m);
}

/* The shard to move between two VMs: one whose standby is the receiver if possible, because a
 * standby already has the state. NONE when from owns no shard. */
static int shard_to_move(const struct tlb_shard_map *m, const struct tlb_vm_name *from,
			 const struct tlb_vm_name *to)
{
	int last = NONE;
	int i;

	for (i = 0; i < TLB_SHARD_COUNT; i++) {
		if (!tlb_vm_name_equal(&m->entry[i].owner, from))
			continue;
		if (tlb_vm_name_equal(&m->entry[i].standby, to))
			return i;
		last = i;
	}
	return last;
}

static void move_shard(struct tlb_shard_entry *e, const struct tlb_vm_name *to)
{
	/* The former owner has the latest state, so it becomes the standby of its own standby. */
	if (tlb_vm_name_equal(&e->standby, to))
		e->standby = e->owner;
	e->owner = *to;
}

/* Computes moves that make the counts of all VMs even, and keeps only the moves away from self. */
static void rebalance_owners(struct tlb_shard_map *m, const struct tlb_fleet *f,
			     const struct tlb_vm_name *self)
{
	struct tlb_shard_map even = *m;
	const struct tlb_shard_vm *from;
	const struct tlb_shard_vm *to;
	int i;

	if (f->live_count == 0)
		return;
	for (i = 0; i < TLB_SHARD_COUNT; i++) {
		from = vm_by_load(&even, f, MOST_LOADED);
		to = vm_by_load(&even, f, LEAST_LOADED);
		if (owned_count(&even, &from->name) - owned_count(&even, &to->name) <= 1)
			break;
		move_shard(&even.entry[shard_to_move(&even, &from->name, &to->name)], &to->name);
	}
	for (i = 0; i < TLB_SHARD_COUNT; i++)
		if (tlb_vm_name_equal(&m->entry[i].owner, self))
			m->entry[i] = even.entry[i];
}

static bool standby_is_good(const struct tlb_shard_map *m, const struct tlb_fleet *f,
			    const struct tlb_shard_entry *e)
{
	const struct tlb_shard_vm *best = best_standby(m, f, &e->owner);
	int i;

	if (!best)
		return true;
	for (i = 0; i < f->live_count; i++)
		if (tlb_vm_name_equal(&f->live[i].name, &e->standby))
			return standby_cost(m, f, &e->owner, &f->live[i]) <=
			       standby_cost(m, f, &e->owner, best) + 1;
	/* A standby that is not among the live VMs keeps its right to take over until it ends. */
	return is_usable(f, &e->standby);
}

int tlb_shard_rebalance(struct tlb_shard_map *m, const struct tlb_fleet *f,
			const struct tlb_vm_name *self)
{
	struct tlb_shard_map before = *m;
	int i;

	rebalance_owners(m, f, self);
	for (i = 0; i < TLB_SHARD_COUNT; i++)
		if (tlb_vm_name_equal(&m->entry[i].owner, self) &&
		    !standby_is_good(m, f, &m->entry[i]))
			set_standby(m, f, &m->entry[i]);
	return count_changes(&before, m);
}

int tlb_shard_drain(struct tlb_shard_map *m, const struct tlb_fleet *f,
		    const struct tlb_vm_name *self)
{
	struct tlb_shard_map before = *m;
	struct tlb_shard_entry *e;
	const struct tlb_shard_vm *vm;
	int i;

	for (i = 0; i < TLB_SHARD_COUNT; i++) {
		e = &m->entry[i];
		if (tlb_vm_name_equal(&e->owner, self)) {
			vm = vm_by_load(m, f, LEAST_LOADED);
			if (is_usable(f, &e->standby))
				e->owner = e->standby;
			else if (vm)
				e->owner = vm->name;
			set_standby(m, f, e);
		} else if (tlb_vm_name_equal(&e->standby, self)) {
			set_standby(m, f, e);
		}
	}
	return count_changes(&before, m);
}

tlb_shard_set tlb_shard_transferred(const struct tlb_shard_map *before,
				    const struct tlb_shard_map *after,
				    const struct tlb_vm_name *self, const struct tlb_vm_name *vm)
{
	tlb_shard_set set = 0;
	int i;

	for (i = 0; i < TLB_SHARD_COUNT; i++)
		if (tlb_vm_name_equal(&before->entry[i].owner, self) &&
		    tlb_vm_name_equal(&after->entry[i].owner, vm) && !tlb_vm_name_equal(self, vm))
			set |= (tlb_shard_set)1 << i;
	return set;
}

tlb_shard_set tlb_shard_needs_release(const struct tlb_shard_map *before,
				      const struct tlb_shard_map *after,
				      const struct tlb_vm_name *self, const struct tlb_vm_name *vm)
{
	const struct tlb_shard_entry *a;
	const struct tlb_shard_entry *b;
	tlb_shard_set set = 0;
	int i;

	for (i = 0; i < TLB_SHARD_COUNT; i++) {
		a = &before->entry[i];
		b = &after->entry[i];
		if (!tlb_vm_name_equal(&a->owner, self) || !tlb_vm_name_equal(&a->standby, vm))
			continue;
		if (!entry_equal(a, b) && !tlb_vm_name_equal(&b->owner, vm))
			set |= (tlb_shard_set)1 << i;
	}
	return set;
}

void tlb_shard_release(struct tlb_shard_release *r, const struct tlb_shard_map *m,
		       tlb_shard_set shards, int64_t version)
{
	if (m->version > r->version)
		r->shards = 0;
	r->shards |= shards;
	if (version > r->version)
		r->version = version;
}

tlb_shard_set tlb_shard_owned_set(const struct tlb_shard_map *m, const struct tlb_fleet *f,
				  const struct tlb_vm_name *self, const struct tlb_shard_release *r)
{
	const struct tlb_vm_name *owner;
	tlb_shard_set released = m->version <= r->version ? r->shards : 0;
	tlb_shard_set set = 0;
	int i;

	for (i = 0; i < TLB_SHARD_COUNT; i++) {
		owner = tlb_shard_effective_owner(m, i, f);
		if (!owner || !tlb_vm_name_equal(owner, self))
			continue;
		if (tlb_shard_set_contains(released, i) &&
		    !tlb_vm_name_equal(&m->entry[i].owner, self))
			continue;
		set |= (tlb_shard_set)1 << i;
	}
	return set;
}
