/*
 * The VMs of the fleet and the state that they exchange: membership, what each VM has granted of
 * every account's limit, and the version of its configuration. Every VM keeps links to a few
 * neighbours, sends them its own state in periodic reports (FleetState), and forwards each grant of
 * another VM once to some of them. The message volume of one VM therefore grows with the grants of
 * the fleet, not with its size. Reports never wait for the store.
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

/* Interval of a VM's reports in a fleet of up to TLB_VMS_SMALL_FLEET VMs. It grows with the fleet
 * up to the maximum; the number of a VM's links, and so of its reports, does not grow further. */
#define TLB_VMS_REPORT_INTERVAL (250 * TLB_MS)
#define TLB_VMS_REPORT_MAX_INTERVAL (500 * TLB_MS)
/* Minimum interval of reports that large grants trigger early; grows with the fleet as well. */
#define TLB_VMS_REPORT_MIN_INTERVAL (50 * TLB_MS)
/* A neighbour is presumed partitioned, and granting from its own share, when no report came from it
 * for TLB_VMS_MISSED_REPORTS intervals and at least this time. */
#define TLB_VMS_SILENCE_MIN_TIMEOUT (1500 * TLB_MS)
/* A VM that no report has mentioned for this long is removed, even if its row remains, and its
 * share goes to the others. Longer than a network partition usually lasts. */
#define TLB_VMS_EXPIRY (30 * TLB_SECOND)

enum {
	TLB_VMS_SMALL_FLEET = 16,
	TLB_VMS_NEIGHBOURS = 8,
	TLB_VMS_FANOUT = 3, /* neighbours that a grant is forwarded to; it reaches 94 VMs in 100 */
	TLB_VMS_MISSED_REPORTS = 3, /* report intervals */
	TLB_VMS_RANK_MAX = 8,	    /* VMs returned by tlb_vms_rank() */
};

/* What another VM has granted of one account's limit. */
struct tlb_vm_account_use {
	char account[TLB_NAME_LEN];
	int64_t granted; /* total cost granted by that incarnation */
	uint64_t seq;	 /* sequence number of the report of this total */
	bool forward;	 /* changed since this VM last forwarded it */
};

/* Another VM. Owned by struct tlb_vms. */
struct tlb_vm {
	APR_RING_ENTRY(tlb_vm) link;
	char id[TLB_ID_LEN];
	char addr[TLB_ADDR_LEN];
	uint64_t incarnation;
	uint64_t id_hash;
	uint64_t pair_weight; /* rendezvous hash of this pair of VMs; the lowest are neighbours */
	bool leaving;
	bool neighbour;
	bool announce;		 /* newly learned from a report, not forwarded yet */
	tlb_time avoid_until;	 /* not ranked until then, because it did not answer; 0: ranked */
	tlb_time last_report_at; /* last report from the VM itself; 0: never */
	tlb_time last_seen_at;	 /* when added, or last mentioned in any report */
	struct tlb_vm_account_use *uses;
	int use_count;
};

APR_RING_HEAD(tlb_vm_ring, tlb_vm);

/* The fleet as this VM sees it. Owned by the board. */
struct tlb_vms {
	struct tlb_edge_board *board;
	struct tlb_vm_rows rows;
	struct tlb_peers peers;
	struct tlb_vm_ring all;
	uint64_t incarnation;
	uint64_t id_hash;      /* of this VM's id */
	uint64_t last_use_seq; /* sequence number of the last grant total reported */
	bool leaving;
	bool announcements; /* some VM is to be made known to all linked VMs */
	bool listening;	    /* the peer key is available and the listener is open */
	struct tlb_timer report_timer;
	tlb_time last_report_at;	    /* time of the last periodic report */
	int64_t instances_version;	    /* of the newest endpoint entry read */
	int64_t instances_complete_version; /* all entries up to this store version were read */
	tlb_time config_behind_since;	 /* since when a neighbour has a newer version; 0: none */
	tlb_time instances_behind_since; /* the same for endpoint entries */
	tlb_time next_refresh_at;	 /* earliest next refresh outside the regular schedule */
	tlb_time next_pull_at;		 /* earliest next request for a configuration */
	/* Text of the active configuration, for VMs that can't read it from the store; owned. */
	char *document;
	size_t document_len;
	/* Receives a configuration sent by another VM. */
	void (*on_document)(void *arg, const char *text, size_t len);
	/* A neighbour has had a newer configuration, or newer endpoint entries, for some time. */
	void (*on_config_behind)(void *arg);
	void (*on_instances_behind)(void *arg);
	/* A message about the quota of an account; module quota_owner handles it. */
	void (*on_quota_message)(void *arg, struct tlb_peer *peer, const Toucan__Envelope *msg);
	void *arg;
};

void tlb_vms_init(struct tlb_vms *v, struct tlb_edge_board *b, struct tlb_rowstore *store);
/* Starts reading the store and exchanging reports with other VMs. */
void tlb_vms_start(struct tlb_vms *v);
void tlb_vms_finish(struct tlb_vms *v);
/* Announces to the other VMs that this one is leaving, so that they get its share at once. */
void tlb_vms_leave(struct tlb_vms *v);
/* Stores a copy of the active configuration's text, for other VMs. */
void tlb_vms_set_document(struct tlb_vms *v, const char *text, size_t len);

/* Called after a grant of this VM. Brings the next report forward if the grants since the last one
 * are large. */
void tlb_vms_on_grant(struct tlb_vms *v, struct tlb_quota *q);

/* Called when this VM has applied a configuration, or read an endpoint entry of this version. */
void tlb_vms_on_config_applied(struct tlb_vms *v);
void tlb_vms_record_instance_version(struct tlb_vms *v, int64_t version);
/* Called when this VM has read all endpoint entries up to this store version. */
void tlb_vms_record_instances_complete(struct tlb_vms *v, int64_t version);

/* Whether this VM has the lowest id among the VMs recently seen; selects one VM for work that only
 * one should do. It can hold on two VMs at once, so such work must be claimed in the store too. */
bool tlb_vms_has_lowest_id(const struct tlb_vms *v, tlb_time now);
/* Hash of a name, as a key for tlb_vms_rank(). The same in every process. */
uint64_t tlb_vms_hash(const char *name);
/* Writes the ids of the VMs that a rendezvous hash of the key ranks first to ids, at most `most` of
 * them (up to TLB_VMS_RANK_MAX), this VM included; returns their number. Leaves out VMs that are
 * leaving or to be avoided. VMs with the same list of VMs compute the same ranking. */
int tlb_vms_rank(const struct tlb_vms *v, uint64_t key, tlb_time now, char ids[][TLB_ID_LEN],
		 int most);
/* Leaves a VM out of rankings until then. */
void tlb_vms_avoid(struct tlb_vms *v, const char *id, tlb_time until);
/* Report interval at the current fleet size. */
tlb_time tlb_vms_report_interval(const struct tlb_vms *v);
/* Number of VMs that are not leaving, including this one; at least 1. */
int tlb_vms_count(const struct tlb_vms *v);
/* Estimated share of the fleet, 0 to 1, that this VM receives reports from, itself included. Its
 * neighbours serve as a sample of the fleet. */
double tlb_vms_reachable_share(const struct tlb_vms *v, tlb_time now);

#endif
