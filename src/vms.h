/*
 * The VMs of the fleet and what they tell each other: who is there, what each has granted of every
 * account's limit, and which configuration it has. Every VM keeps links to a few neighbours, states
 * itself to them, and passes grants that are new to it on to some of them once. So the messages of
 * one VM grow with what the fleet grants, not with its size. They never wait for the store.
 */
#ifndef TLB_VMS_H
#define TLB_VMS_H

#include <apr_ring.h>
#include <stdbool.h>

#include "peer.h"
#include "quota.h"
#include "routing.h"
#include "vmrows.h"

struct tlb_edge_board;

/* How often a VM states itself in a fleet of up to TLB_VMS_SMALL; the interval grows with the
 * fleet, so that its messages don't. */
#define TLB_VMS_INTERVAL (250 * TLB_MS)
/* States that tell of large grants follow each other at least this far apart; grows as well. */
#define TLB_VMS_INTERVAL_LEAST (50 * TLB_MS)
/* A neighbour that has missed this many intervals, but at least TLB_VMS_SILENT, may be cut off, and
 * grants on its own share. */
#define TLB_VMS_SILENT (1500 * TLB_MS)
/* A VM whose row is the only sign of it for this long is gone; its share goes to the others. Longer
 * than a network partition usually lasts. */
#define TLB_VMS_FORGET (30 * TLB_SECOND)

enum {
	TLB_VMS_SMALL = 16,
	TLB_VMS_NEIGHBOURS = 8,
	TLB_VMS_FANOUT = 3, /* neighbours that a grant is passed on to: 94 VMs in 100 hear of it */
	TLB_VMS_MISSED = 3,
};

/* What another VM has granted of one account. */
struct tlb_vm_use {
	char account[TLB_NAME_LEN];
	int64_t granted;
	uint64_t number;
	bool pass_on; /* new to this VM since its last state */
};

/* Another VM. Owned by struct tlb_vms. */
struct tlb_vm {
	APR_RING_ENTRY(tlb_vm) link;
	char id[TLB_ID_LEN];
	char addr[TLB_ADDR_LEN];
	uint64_t incarnation;
	bool leaving;
	bool neighbour;
	tlb_time heard_at; /* its own state came; 0: never */
	tlb_time known_at;
	struct tlb_vm_use *uses;
	int use_count;
};

APR_RING_HEAD(tlb_vm_ring, tlb_vm);

/* Owned by the board. */
struct tlb_vms {
	struct tlb_edge_board *board;
	struct tlb_vm_rows rows;
	struct tlb_peers peers;
	struct tlb_vm_ring all;
	uint64_t incarnation;
	uint64_t number; /* of the last grant that was stated */
	bool leaving;
	bool listening; /* the peer key is known and the listener is open */
	struct tlb_timer state_timer;
	tlb_time stated_at;
	int64_t instances_version; /* of the newest entry of an endpoint that was read */
	int64_t instances_known;   /* entries are known up to this version of the store */
	tlb_time behind_config;	   /* since when a neighbour has a newer one; 0: none has */
	tlb_time behind_instances;
	tlb_time refresh_deadline; /* the store is not asked out of turn again before */
	tlb_time pull_deadline;	   /* no configuration is asked for again before */
	/* The configuration in force as it was read, for VMs that can't read it; owned. */
	char *document;
	size_t document_len;
	/* Takes a configuration that another VM sent. */
	void (*on_document)(void *arg, const char *text, size_t len);
	/* Neighbours have read a newer configuration or newer entries of endpoints for a while. */
	void (*on_config_behind)(void *arg);
	void (*on_instances_behind)(void *arg);
	void *arg;
};

void tlb_vms_init(struct tlb_vms *v, struct tlb_edge_board *b, struct tlb_rowstore *store);
/* Begins to read the store and to talk to other VMs. */
void tlb_vms_start(struct tlb_vms *v);
void tlb_vms_finish(struct tlb_vms *v);
/* Tells the others that this VM is about to go, so that its share is theirs at once. */
void tlb_vms_leave(struct tlb_vms *v);
/* Keeps the text of the configuration in force. */
void tlb_vms_keep_document(struct tlb_vms *v, const char *text, size_t len);

/* An account was granted that much more here: large grants are told before the next interval. */
void tlb_vms_note_grant(struct tlb_vms *v, struct tlb_quota *q);

/* This VM has applied a configuration, or read an entry of an endpoint. */
void tlb_vms_note_config(struct tlb_vms *v);
void tlb_vms_note_instance(struct tlb_vms *v, int64_t version);
/* All entries up to this version of the store are known here. */
void tlb_vms_note_instances_known(struct tlb_vms *v, int64_t version);

/* Whether this VM has the least id of those that it hears: one VM does what one VM is to do. Two
 * may believe it; whatever they do must be claimed in the store as well. */
bool tlb_vms_is_first(const struct tlb_vms *v, tlb_time now);
/* How often each VM states itself. */
tlb_time tlb_vms_interval(const struct tlb_vms *v);
/* VMs of the fleet, this one included; at least 1. */
int tlb_vms_count(const struct tlb_vms *v);
/* Share of the fleet that this VM hears, itself included, as its neighbours are a sample of it. */
double tlb_vms_share(const struct tlb_vms *v, tlb_time now);

#endif
