/*
 * Spreads the configuration between daemons. A VM that accepted a change, or took a newer version
 * from a peer, pushes it to some VMs that have not shown it; a VM that sees a higher version in a
 * heartbeat pulls what it lacks. So a change reaches every VM while the table service is down.
 */
#ifndef TLB_SPREAD_H
#define TLB_SPREAD_H

#include "cluster.h"
#include "config.h"

/* Caller-owned. */
struct tlb_spread {
	struct tlb_loop *loop;
	struct tlb_cluster *cluster;
	struct tlb_config *config;
	struct tlb_timer timer;
	struct tlb_peer_call call; /* the pull under way */
	json_t *pages;		   /* rows of the pull under way */
	int64_t pages_version;
	char next_vm[TLB_ID_LEN]; /* a VM that named a higher version meanwhile */
	int64_t next_version;
};

void tlb_spread_init(struct tlb_spread *s, struct tlb_loop *l, struct tlb_cluster *c,
		     struct tlb_config *config);
void tlb_spread_finish(struct tlb_spread *s);
/* Pushes what came after version base to some VMs that have not shown the version in force. */
void tlb_spread_push(struct tlb_spread *s, int64_t base);
/* A peer's heartbeat names this version. */
void tlb_spread_on_version(struct tlb_spread *s, const char *vm, int64_t version);
/* Messages from other daemons. */
void tlb_spread_on_push(struct tlb_spread *s, const struct tlb_peer_return *from,
			const Toucan__ConfigPush *m);
void tlb_spread_on_pull(struct tlb_spread *s, const struct tlb_peer_return *from,
			const Toucan__ConfigPull *m);

#endif
