/*
 * The shard map assigns each shard, a set of account and endpoint ids, an owner VM and a standby VM
 * that takes over when the owner is fenced. The functions do no I/O. The map in force is the row
 * "shards" of the table service.
 *
 * A shard never has two owners, for these reasons. Its entry is changed only by its owner, or by a
 * VM that can prove that the owner or the standby has ended. An owner stops acting for a shard
 * before it writes an entry that moves the shard. A standby takes over on a fence alone, without
 * the table service. An entry that names another standby or owner is therefore written only after
 * the former standby has released its right to take over, or has ended.
 *
 * An incarnation has ended when it was fenced, has left or was replaced by another incarnation of
 * its VM: it certainly acts no more.
 */
#ifndef TLB_SHARD_H
#define TLB_SHARD_H

#include <jansson.h>

#include "session.h"

enum { TLB_SHARD_COUNT = 64, TLB_SHARD_WRITES_KEPT = 16 };

/* A set of shard numbers: bit n is shard n. */
typedef uint64_t tlb_shard_set;

static inline bool tlb_shard_set_contains(tlb_shard_set set, int shard)
{
	return set >> shard & 1;
}

/* The shard of an account or endpoint id. */
int tlb_shard_for_id(const char *id);

/* An empty id means none. */
struct tlb_shard_entry {
	struct tlb_vm_name owner;
	struct tlb_vm_name standby;
};

/* Plain data, copied by assignment. As JSON:
 * {"ticket":"<hex>","former_tickets":["<hex>",...],"vms":[["<id>","<hex incarnation>"],...],
 * "owner":[<index of vms>,...],"standby":[<index or -1>,...]} */
struct tlb_shard_map {
	int64_t version;   /* of the row; 0 before the first write */
	uint64_t write_id; /* random number that identifies the write */
	/* Of the writes before, the latest first; 0: none. */
	uint64_t former_write_id[TLB_SHARD_WRITES_KEPT];
	struct tlb_shard_entry entry[TLB_SHARD_COUNT];
};

/* Makes m, a copy of the map in force, the one that the next write replaces it by. */
void tlb_shard_map_begin_write(struct tlb_shard_map *m);
/* Whether m is the map of this write or follows it by at most TLB_SHARD_WRITES_KEPT writes. */
bool tlb_shard_map_includes(const struct tlb_shard_map *m, uint64_t write_id);

/* Returns false and leaves *m unchanged when value is malformed. */
bool tlb_shard_map_parse(struct tlb_shard_map *m, int64_t version, const json_t *value);
/* The caller owns the returned value. */
json_t *tlb_shard_map_json(const struct tlb_shard_map *m);

/* A VM that can be given shards. */
struct tlb_shard_vm {
	struct tlb_vm_name name;
	char zone[TLB_ID_LEN];
};

/* The VMs that one daemon has a record of. The arrays belong to the caller. */
struct tlb_fleet {
	const struct tlb_shard_vm *live;
	int live_count;
	const struct tlb_vm_name *ended; /* fenced, left or replaced: certainly act no more */
	int ended_count;
};

bool tlb_fleet_ended(const struct tlb_fleet *f, const struct tlb_vm_name *name);

/* The VM that may act for a shard: the owner or, when the owner has ended, the standby. NULL when
 * both have ended. */
const struct tlb_vm_name *tlb_shard_effective_owner(const struct tlb_shard_map *m, int shard,
						    const struct tlb_fleet *f);

/* Makes the first map of a fleet: self owns every shard. */
void tlb_shard_create(struct tlb_shard_map *m, const struct tlb_vm_name *self);

/* Replaces VMs that have ended: an owner by its standby, or by the live VM with the fewest shards
 * when both have ended, and a standby by a live VM. Returns the number of changed entries. */
int tlb_shard_replace_ended(struct tlb_shard_map *m, const struct tlb_fleet *f);

/* Rebalances the entries that self owns: the numbers of shards that live VMs own become even, and
 * standbys are distributed over the other VMs, preferably in another zone. Every owner computes the
 * same moves from the same map and applies its own. Returns the number of changed entries. */
int tlb_shard_rebalance(struct tlb_shard_map *m, const struct tlb_fleet *f,
			const struct tlb_vm_name *self);
/* Moves all shards from self to their standbys (or the live VM with the fewest shards) and all
 * standby roles of self to other VMs. The live VMs of f must not include self. Returns the number
 * of changed entries. */
int tlb_shard_drain(struct tlb_shard_map *m, const struct tlb_fleet *f,
		    const struct tlb_vm_name *self);

/* The shards that self owns in before and vm owns in after. */
tlb_shard_set tlb_shard_transferred(const struct tlb_shard_map *before,
				    const struct tlb_shard_map *after,
				    const struct tlb_vm_name *self, const struct tlb_vm_name *vm);
/* The shards of self whose standby vm must release its right to take over before the map after may
 * be written. */
tlb_shard_set tlb_shard_needs_release(const struct tlb_shard_map *before,
				      const struct tlb_shard_map *after,
				      const struct tlb_vm_name *self, const struct tlb_vm_name *vm);

/* The shards that a standby has released its right to take over. They stay released until the
 * standby has a map newer than version: with an older map it can't determine which of the writes
 * took effect. */
struct tlb_shard_release {
	tlb_shard_set shards;
	int64_t version; /* highest version of a map that a released write replaces */
};

/* Adds the release of shards for a write that replaces this version of the map. m is the map in
 * force at the standby. */
void tlb_shard_release(struct tlb_shard_release *r, const struct tlb_shard_map *m,
		       tlb_shard_set shards, int64_t version);
/* The shards that self may act for: those it owns, and those it takes over as standby unless it has
 * released its right to. r holds the releases of self. */
tlb_shard_set tlb_shard_owned_set(const struct tlb_shard_map *m, const struct tlb_fleet *f,
				  const struct tlb_vm_name *self,
				  const struct tlb_shard_release *r);

#endif
