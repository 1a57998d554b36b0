/*
 * The VMs of the fleet as this daemon knows them: their rows in the table service, and which
 * incarnations are gone.
 */
#ifndef TLB_ROSTER_H
#define TLB_ROSTER_H

#include "shard.h"

enum { TLB_GONE_MAX = 256 };

enum tlb_vm_state {
	TLB_VM_LIVE,
	TLB_VM_FENCED,
	TLB_VM_LEFT,
};

/* The row "vm/<id>":
 * {"incarnation":"<hex>","process":"<hex>","state":"live"|"fenced"|"left","peer_addr":"...",
 * "zone":"...","region":"...","witnesses":[["<id>","<hex incarnation>"],...]} */
struct tlb_vm_row {
	struct tlb_vm_name name;
	/* The first incarnation of the process. As a witness a VM goes by this one, because a
	 * process that joins again keeps its grants and promises; were it to count as another
	 * witness, one lost session would cost others theirs. */
	uint64_t process;
	int64_t version; /* of the row; 0 while there is none */
	enum tlb_vm_state state;
	char addr[TLB_ADDR_LEN];
	char zone[TLB_ID_LEN];
	char region[TLB_ID_LEN];
	struct tlb_vm_name witness[TLB_WITNESS_MAX];
	int witness_count;
};

bool tlb_vm_row_parse(struct tlb_vm_row *row, const char *key, int64_t version,
		      const json_t *value);
json_t *tlb_vm_row_json(const struct tlb_vm_row *row);

/* One VM. Beside its row, what this daemon has seen of it. */
struct tlb_member {
	struct tlb_vm_row row;
	tlb_time since;		/* when this row became known */
	int64_t config_version; /* from its last heartbeat */
	int64_t shards_version; /* highest version of the shard map that it has shown */
	uint64_t promised;	/* our incarnation that it promised not to grant any more */
	bool gossip;		/* a link to it is kept as one of the random ones */
	bool stale;		/* it runs under a row newer than the one known */
};

/* Owns its members. */
struct tlb_roster {
	struct tlb_member *member;
	int count;
	int cap;
	struct tlb_vm_name gone[TLB_GONE_MAX]; /* the latest; older ones are in no shard map */
	int gone_count;
	int gone_next;
	uint64_t digest; /* see tlb_roster_digest(); 0 when it must be computed anew */
};

void tlb_roster_finish(struct tlb_roster *r);
struct tlb_member *tlb_roster_find(const struct tlb_roster *r, const char *id);
/* Takes a row as read; older versions are ignored. An incarnation that it replaces is gone, and so
 * is one that it calls fenced or left. Returns the member. */
struct tlb_member *tlb_roster_put(struct tlb_roster *r, const struct tlb_vm_row *row, tlb_time now);
/* Returns false when it was known. */
bool tlb_roster_set_gone(struct tlb_roster *r, const struct tlb_vm_name *name);
bool tlb_roster_gone(const struct tlb_roster *r, const struct tlb_vm_name *name);
/* Incarnations named in the map that differ from the row of their VM are gone; only for rows that
 * were read after the map. */
void tlb_roster_infer_gone(struct tlb_roster *r, const struct tlb_shard_map *m);
/* Equal at two VMs that know the same rows and the same fences that no row shows yet; never 0. */
uint64_t tlb_roster_digest(struct tlb_roster *r);
/* The position of self among the live VMs, from 0, in an order that a number such as the version of
 * the shard map decides: the same at VMs that know the same rows and fences. */
int tlb_roster_rank(const struct tlb_roster *r, const char *self, int64_t number);
/* Whether the row's incarnation can be given work. */
static inline bool tlb_roster_live(const struct tlb_roster *r, const struct tlb_member *m)
{
	return m->row.state == TLB_VM_LIVE && !tlb_roster_gone(r, &m->row.name);
}

#endif
