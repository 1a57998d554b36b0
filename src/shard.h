/*
 * The shard map: which VM accounts for which ids, and which VM takes over when that one is fenced.
 * Pure functions; the map in force is the row "shards" of the table service.
 *
 * Why a shard never has two owners: only the owner of a shard changes its entry, or whoever can
 * prove that the owner or the standby is gone. An owner that moves a shard stops acting for it
 * first. A standby takes over on a fence alone, without the store, so an entry that names another
 * standby or owner is written only after the former standby has released its right (or is gone).
 */
#ifndef TLB_SHARD_H
#define TLB_SHARD_H

#include <jansson.h>

#include "session.h"

enum { TLB_SHARD_COUNT = 64 };

/* A set of shard numbers: bit n is shard n. */
typedef uint64_t tlb_shard_set;

static inline bool tlb_shard_in(tlb_shard_set set, int shard)
{
	return set >> shard & 1;
}

/* The shard of an account or endpoint id. */
int tlb_shard_of(const char *id);

/* id "" means none. */
struct tlb_shard_entry {
	struct tlb_vm_name owner;
	struct tlb_vm_name standby;
};

/* A value type. {"ticket":"<hex>","vms":[["<id>","<hex incarnation>"],...],
 * "owner":[<index of vms>,...],"standby":[<index or -1>,...]} */
struct tlb_shard_map {
	int64_t version; /* of the row; 0 for none */
	uint64_t ticket; /* random number of the write */
	struct tlb_shard_entry entry[TLB_SHARD_COUNT];
};

bool tlb_shard_map_parse(struct tlb_shard_map *m, int64_t version, const json_t *value);
json_t *tlb_shard_map_json(const struct tlb_shard_map *m);

/* A VM that can be given shards. */
struct tlb_shard_vm {
	struct tlb_vm_name name;
	char zone[TLB_ID_LEN];
};

/* The VMs as one daemon knows them; borrowed. */
struct tlb_fleet {
	const struct tlb_shard_vm *live;
	int live_count;
	const struct tlb_vm_name *gone; /* fenced, left or replaced: certainly not acting */
	int gone_count;
};

bool tlb_fleet_gone(const struct tlb_fleet *f, const struct tlb_vm_name *name);

/* The VM that may act for a shard: the owner or, when that is gone, the standby; NULL for none. */
const struct tlb_vm_name *tlb_shard_owner(const struct tlb_shard_map *m, int shard,
					  const struct tlb_fleet *f);

/* The first map: every shard belongs to self. */
void tlb_shard_create(struct tlb_shard_map *m, const struct tlb_vm_name *self);

/* Replaces VMs that are gone: an owner by its standby, or by the least loaded live VM when both are
 * gone; a standby by a live VM. Returns the number of changed entries. */
int tlb_shard_apply_gone(struct tlb_shard_map *m, const struct tlb_fleet *f);

/* What the owner self changes in its own entries: even counts of shards among the live VMs, and
 * standbys spread over the others, preferably in another zone. Every owner computes the same moves
 * from the same map. Returns the number of changed entries. */
int tlb_shard_plan(struct tlb_shard_map *m, const struct tlb_fleet *f,
		   const struct tlb_vm_name *self);
/* Moves everything away from self, which is not among the live VMs of f: shards to their standbys
 * (or the least loaded VM), standby roles to others. */
int tlb_shard_leave(struct tlb_shard_map *m, const struct tlb_fleet *f,
		    const struct tlb_vm_name *self);

/* The shards that self owns in before and vm owns in after. */
tlb_shard_set tlb_shard_given(const struct tlb_shard_map *before, const struct tlb_shard_map *after,
			      const struct tlb_vm_name *self, const struct tlb_vm_name *vm);
/* The shards of self whose standby vm must release its right before after is written. */
tlb_shard_set tlb_shard_released(const struct tlb_shard_map *before,
				 const struct tlb_shard_map *after, const struct tlb_vm_name *self,
				 const struct tlb_vm_name *vm);

/* The rights to take over that a standby has released for writes against versions up to this one.
 * All stay released until the standby has a newer map: with an older one it can't tell which of the
 * writes took effect. */
struct tlb_shard_release {
	tlb_shard_set shards;
	int64_t version;
};

/* Adds a release for a write against version; m is the map in force here. */
void tlb_shard_release(struct tlb_shard_release *r, const struct tlb_shard_map *m,
		       tlb_shard_set shards, int64_t version);
/* The shards that self acts for, takeovers included. */
tlb_shard_set tlb_shard_acting(const struct tlb_shard_map *m, const struct tlb_fleet *f,
			       const struct tlb_vm_name *self, const struct tlb_shard_release *r);

#endif
