/*
 * Propagation of the configuration between daemons. A VM that accepted a change, or applied a newer
 * version from a peer, pushes it to some VMs not known to have it; a VM that sees a higher version
 * in a heartbeat pulls the rows it lacks. A change thus reaches every VM even while the table
 * service is down.
 */
#ifndef TLB_PROPAGATION_H
#define TLB_PROPAGATION_H

#include "cluster.h"
#include "config.h"

/* Caller-owned. */
struct tlb_propagation {
	struct tlb_loop *loop;
	struct tlb_cluster *cluster;
	struct tlb_config *config;
	struct tlb_timer retry_timer;	/* retries failed pulls */
	struct tlb_peer_call pull_call; /* the pull in progress */
	json_t *pulled_rows;		/* rows received so far by that pull; owned */
	int64_t pulled_version;		/* configuration version of these rows; 0 if none */
	char next_pull_vm[TLB_ID_LEN]; /* a VM that reported a higher version during the pull, or ""
					*/
	int64_t next_pull_version;     /* the version that it reported */
};

void tlb_propagation_init(struct tlb_propagation *s, struct tlb_loop *l, struct tlb_cluster *c,
			  struct tlb_config *config);
void tlb_propagation_finish(struct tlb_propagation *s);
/* Pushes the rows changed since version base to some VMs not known to have the version in force. */
void tlb_propagation_push(struct tlb_propagation *s, int64_t base);
/* A VM reports this version: pulls it if it is newer than the version in force. */
void tlb_propagation_on_version(struct tlb_propagation *s, const char *vm, int64_t version);
/* Messages from other daemons. */
void tlb_propagation_on_push(struct tlb_propagation *s, const struct tlb_peer_reply_address *from,
			     const Toucan__ConfigPush *m);
void tlb_propagation_on_pull(struct tlb_propagation *s, const struct tlb_peer_reply_address *from,
			     const Toucan__ConfigPull *m);

#endif
