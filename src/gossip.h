/*
 * Gossip between daemons: VM rows, the shard map and fences reach every VM over established links,
 * so that not every VM has to read them from the table service. A VM forwards what is new to it to
 * a few others. Versions decide what is new, so that a late, duplicate or reordered message has no
 * effect. Heartbeats carry versions and a digest; a VM that is behind pulls what it lacks.
 */
#ifndef TLB_GOSSIP_H
#define TLB_GOSSIP_H

#include "peer.h"
#include "roster.h"

struct tlb_cluster;

enum {
	/* Number of VMs to which an update is forwarded. With 4, e^-4 = 2% of the VMs receive no
	 * copy and learn of the update from a heartbeat. */
	TLB_GOSSIP_FANOUT = 4,
	/* One in this many heartbeats carries the digest of the rows. */
	TLB_GOSSIP_DIGEST_HEARTBEATS = 4,
};

/* The VMs to send a message to; a value type. */
struct tlb_gossip_targets {
	int count;
	char vm[TLB_GOSSIP_FANOUT][TLB_ID_LEN];
};

/* The highest version (of the map or the configuration) that a VM is known to have. */
typedef int64_t tlb_gossip_version_fn(const struct tlb_member *m);

/* Selects at random up to TLB_GOSSIP_FANOUT VMs with a persistent link that are not known to have
 * this version by version_of; if that is NULL, among all VMs with such a link. except is the VM
 * that sent the update, or NULL. */
void tlb_gossip_select_targets(const struct tlb_cluster *c, const char *except,
			       tlb_gossip_version_fn *version_of, int64_t version,
			       struct tlb_gossip_targets *out);

/* Sends rows to a few VMs; except is the VM that sent them, or NULL. */
void tlb_gossip_send_rows(struct tlb_cluster *c, const struct tlb_vm_row *rows, int count,
			  const char *except);
/* Sends a row to all VMs with a link. */
void tlb_gossip_send_row_to_all(struct tlb_cluster *c, const struct tlb_vm_row *row);
/* Sends the map that this VM has written to a few VMs, or, when this daemon leaves, to all VMs with
 * a link. A VM that accepts it announces its version to others, which pull it. */
void tlb_gossip_send_map(struct tlb_cluster *c);
void tlb_gossip_send_map_to_all(struct tlb_cluster *c);
/* Called once per heartbeat: reads the map from the table service if an announced version could not
 * be pulled. */
void tlb_gossip_check_pull(struct tlb_cluster *c);
/* Pulls the map or the rows if the versions in a heartbeat of vm show that this VM is behind.
 * row_version is that of the sender's own row; rows_digest is 0 if the heartbeat has none. */
void tlb_gossip_on_heartbeat(struct tlb_cluster *c, const char *vm, int64_t row_version,
			     int64_t shards_version, uint64_t rows_digest);
/* Handlers of messages. */
void tlb_gossip_on_rows(struct tlb_cluster *c, const char *from, const Toucan__RowNotice *notice);
void tlb_gossip_on_rows_pull(struct tlb_cluster *c, const char *from, const Toucan__RowsPull *pull);
void tlb_gossip_on_map(struct tlb_cluster *c, const char *from, const Toucan__ShardsNotice *notice);
void tlb_gossip_on_map_pull(struct tlb_cluster *c, const char *from,
			    const Toucan__ShardsPull *pull);

#endif
