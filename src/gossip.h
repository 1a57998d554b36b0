/*
 * Forwarding between daemons: VM rows, the shard map and fences reach every VM over the links that
 * stand, so that not every VM has to read them from the table service. What a VM did not know it
 * sends on to a few others; versions decide, so that a message that is late, doubled or out of
 * order changes nothing. Heartbeats carry versions and a digest, and a VM that lacks something
 * pulls it.
 */
#ifndef TLB_GOSSIP_H
#define TLB_GOSSIP_H

#include "peer.h"
#include "roster.h"

struct tlb_cluster;

enum {
	/* VMs to which news is sent on. e^-4 = 2% of the VMs hear of it only from a heartbeat.
	 */
	TLB_GOSSIP_FANOUT = 4,
	/* Every so many heartbeats one carries the digest. */
	TLB_GOSSIP_DIGEST_EVERY = 4,
};

/* VMs to send to; a value type. */
struct tlb_gossip_targets {
	int count;
	char vm[TLB_GOSSIP_FANOUT][TLB_ID_LEN];
};

/* The highest version of something that a VM has shown. */
typedef int64_t tlb_gossip_shown_fn(const struct tlb_member *m);

/* Chooses at random among the VMs with a link that have not shown this version; shown NULL: among
 * all. except is the VM that the news came from, or NULL. */
void tlb_gossip_pick(const struct tlb_cluster *c, const char *except, tlb_gossip_shown_fn *shown,
		     int64_t version, struct tlb_gossip_targets *out);

/* Sends on rows. */
void tlb_gossip_rows(struct tlb_cluster *c, const struct tlb_vm_row *rows, int count,
		     const char *except);
/* Sends the map that this VM has written to a few VMs, or to all with a link because this one ends.
 * Whoever takes it announces its version to others, which pull it. */
void tlb_gossip_map(struct tlb_cluster *c);
void tlb_gossip_map_to_all(struct tlb_cluster *c);
/* Once a heartbeat: reads what was announced and can't be pulled. */
void tlb_gossip_check(struct tlb_cluster *c);
/* What a heartbeat tells about its sender: pulls what is lacking here. row_version is that of the
 * sender's own row. */
void tlb_gossip_on_heartbeat(struct tlb_cluster *c, const char *vm, int64_t row_version,
			     int64_t shards_version, uint64_t rows_digest);
/* Messages. */
void tlb_gossip_on_rows(struct tlb_cluster *c, const char *from, const Toucan__RowNotice *notice);
void tlb_gossip_on_rows_pull(struct tlb_cluster *c, const char *from, const Toucan__RowsPull *pull);
void tlb_gossip_on_map(struct tlb_cluster *c, const char *from, const Toucan__ShardsNotice *notice);
void tlb_gossip_on_map_pull(struct tlb_cluster *c, const char *from,
			    const Toucan__ShardsPull *pull);

#endif
