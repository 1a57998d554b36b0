/*
 * The VMs of the fleet that this daemon has a record of: their rows in the table service, and the
 * incarnations that have ended (were fenced, have left or were replaced).
 */
#ifndef TLB_ROSTER_H
#define TLB_ROSTER_H

#include "shard.h"

enum { TLB_ENDED_MAX = 256 };

enum tlb_vm_state {
	TLB_VM_LIVE,
	TLB_VM_FENCED,
	TLB_VM_LEFT,
};

/* The row "vm/<id>":
 * {"incarnation":"<hex>","process":"<hex>","state":"live"|"fenced"|"left","peer_addr":"...",
 * "zone":"...","region":"...","witnesses":[["<id>","<hex incarnation>"],...]}
 * and in the state left "replaced_map":<version>. */
struct tlb_vm_row {
	struct tlb_vm_name name;
	/* The first incarnation of the process, which identifies the VM as a witness. A process
	 * that joins again under a new incarnation keeps its grants and promises. If it counted as
	 * another witness, the loss of its session would invalidate the leases it has granted. */
	uint64_t process_incarnation;
	int64_t version; /* of the row; 0 when there is no row yet */
	enum tlb_vm_state state;
	char addr[TLB_ADDR_LEN];
	char zone[TLB_ID_LEN];
	char region[TLB_ID_LEN];
	struct tlb_vm_name witness[TLB_WITNESS_MAX];
	int witness_count;
	/* In the state left: the version of the shard map that the same transaction replaced; 0 if
	 * the row does not say. */
	int64_t replaced_map;
};

/* key is "vm/<id>". Returns false and leaves *row unchanged when key or value is malformed. */
bool tlb_vm_row_parse(struct tlb_vm_row *row, const char *key, int64_t version,
		      const json_t *value);
/* The caller owns the returned value. */
json_t *tlb_vm_row_json(const struct tlb_vm_row *row);

/* One VM: its row and what this daemon has received from it. */
struct tlb_member {
	struct tlb_vm_row row;
	tlb_time row_received_at;      /* when this version of the row was received */
	int64_t config_version;	       /* from its last heartbeat */
	int64_t shards_version;	       /* highest version of the shard map that it has reported */
	uint64_t promised_incarnation; /* this daemon's incarnation that it has agreed to fence */
	bool random_link;	       /* it was selected at random for a persistent link */
	bool row_stale;		       /* it has a newer row than the one recorded here */
	struct tlb_vm_row *deferred;   /* see tlb_roster_defer(); owned, or NULL */
};

/* Owns the array of members and their deferred rows. */
struct tlb_roster {
	struct tlb_member *members;
	int count;
	int cap;
	/* The incarnations that ended last. No shard map names an older one. */
	struct tlb_vm_name ended[TLB_ENDED_MAX];
	int ended_count;
	int ended_next;	 /* position in gone[] that is written next */
	uint64_t digest; /* see tlb_roster_digest(); 0 when it must be recomputed */
};

void tlb_roster_finish(struct tlb_roster *r);
struct tlb_member *tlb_roster_find(const struct tlb_roster *r, const char *id);
/* Records a VM row. A version that is not newer than the recorded one is ignored. Marks as ended
 * the incarnation that the row replaces, and the row's own one when its state is fenced or left.
 * Returns the member, which is valid until the next call that adds one. */
struct tlb_member *tlb_roster_put(struct tlb_roster *r, const struct tlb_vm_row *row, tlb_time now);
/* Keeps a row of a recorded VM, which takes effect later, until a row with this or a higher version
 * is put. Returns false if it is not newer than the rows recorded or kept. */
bool tlb_roster_defer(struct tlb_roster *r, const struct tlb_vm_row *row);
/* Whether this version of a VM's row, or a newer one, is recorded or deferred. */
bool tlb_roster_has_row(const struct tlb_roster *r, const char *id, int64_t version);
/* Records that an incarnation has ended. Returns false when that was recorded before. */
bool tlb_roster_mark_ended(struct tlb_roster *r, const struct tlb_vm_name *name);
/* Whether the incarnation is recorded as ended. */
bool tlb_roster_ended(const struct tlb_roster *r, const struct tlb_vm_name *name);
/* Marks as ended the incarnations named in the map that differ from the row of their VM. The rows
 * must have been read after the map. */
void tlb_roster_infer_ended(struct tlb_roster *r, const struct tlb_shard_map *m);
/* A hash of the recorded rows and of the fences that no row shows yet: equal at two VMs that have
 * the same ones. Never 0. */
uint64_t tlb_roster_digest(struct tlb_roster *r);
/* The position of self among the live VMs, from 0, in a pseudo-random order that number (such as
 * the version of the shard map) determines. VMs that have the same rows and fences compute the same
 * order. */
int tlb_roster_rank(const struct tlb_roster *r, const char *self, int64_t number);
/* Whether the row's incarnation is live: the row says so and it is not recorded as ended. */
static inline bool tlb_roster_live(const struct tlb_roster *r, const struct tlb_member *m)
{
	return m->row.state == TLB_VM_LIVE && !tlb_roster_ended(r, &m->row.name);
}

#endif
