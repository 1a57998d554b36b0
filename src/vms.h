/*
 * The VMs of the fleet and the state that they exchange: membership, what each VM has granted of
 * every account's limit by itself, and how current its tables are. Every VM keeps links to a few
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
/* A neighbour that has not reported for this long is removed, even if its row remains, and its
 * share goes to the others; they are told, because only its neighbours hear from it. Longer than a
 * network partition usually lasts. */
#define TLB_VMS_EXPIRY (30 * TLB_SECOND)

enum {
	TLB_VMS_SMALL_FLEET = 16,
	TLB_VMS_NEIGHBOURS = 8,
	TLB_VMS_FANOUT = 3, /* neighbours that a grant is forwarded to; it reaches 94 VMs in 100 */
	TLB_VMS_MISSED_REPORTS = 3, /* report intervals */
	TLB_VMS_TABLES = 2,
	TLB_VMS_RANK_MAX = 8, /* VMs returned by tlb_vms_rank() */
};

/* What another VM has granted of one account's limit. */
struct tlb_vm_account_use {
	char account[TLB_LABEL_LEN];
	int64_t granted; /* total cost granted by that incarnation */
	uint64_t seq;	 /* sequence number of the report of this total */
	bool forward;	 /* changed since this VM last forwarded it */
};

/* Another VM. Owned by struct tlb_vms. */
struct tlb_vm {
	APR_RING_ENTRY(tlb_vm) link;
	char id[TLB_ID_LEN];
	char addr[TLB_ADDR_LEN];
	struct tlb_peer *peer; /* its links; borrowed, exists as long as the VM */
	uint64_t incarnation;
	uint64_t id_hash;
	uint64_t pair_weight; /* rendezvous hash of this pair of VMs; the lowest are neighbours */
	bool leaving;
	bool neighbour;
	bool keeps_link;	 /* this VM is its neighbour, as far as its reports tell */
	bool announce;		 /* joined, leaving or gone, and not forwarded yet */
	bool gone;		 /* not part of the fleet; kept until it was announced */
	tlb_time avoid_until;	 /* not ranked until then, because it did not answer; 0: ranked */
	tlb_time last_report_at; /* last report from the VM itself; 0: never */
	/* When added, chosen as a neighbour, known to be leaving, or last reported. */
	tlb_time last_seen_at;
	struct tlb_vm_account_use *uses;
	int use_count;
	/* Store version up to which the VM knows all changes of each table, by enum
	 * tlb_table_kind; 0: not known. Kept for module tables. */
	int64_t table_version[TLB_VMS_TABLES];
	tlb_time verdicts_sent_at; /* last complete transfer of verdicts; 0: none */
};

APR_RING_HEAD(tlb_vm_ring, tlb_vm);

/* What other modules add to reports, and receive over the same links. */
struct tlb_vms_handlers {
	void *arg;
	/* Adds to this VM's state before it is sent. */
	void (*fill_state)(void *arg, Toucan__VmState *state);
	/* A linked VM has reported its own state. */
	void (*on_state)(void *arg, struct tlb_vm *vm, const Toucan__VmState *state);
	/* A message about a shared table. */
	void (*on_table_message)(void *arg, const char *vm, const Toucan__Envelope *msg);
	/* A message about the quota of an account. */
	void (*on_quota_message)(void *arg, struct tlb_peer *peer, const Toucan__Envelope *msg);
	/* A report about endpoints of an overloaded service. */
	void (*on_overload_report)(void *arg, struct tlb_peer *peer, const Toucan__Envelope *msg);
	/* Evidence against prompt parts. */
	void (*on_suspect_parts)(void *arg, const Toucan__SuspectParts *msg);
};

/* The fleet as this VM sees it. Owned by the board. */
struct tlb_vms {
	struct tlb_edge_board *board;
	struct tlb_vm_rows rows;
	struct tlb_peers peers;
	struct tlb_vm_ring all;
	int count; /* VMs that are neither leaving nor gone, this one included */
	/* Largest earlier count until recent_until; VMs that have left since may still serve. */
	int recent_count;
	tlb_time recent_until;
	uint64_t incarnation;
	uint64_t id_hash;      /* of this VM's id */
	uint64_t last_use_seq; /* sequence number of the last grant total reported */
	bool leaving;
	bool listening; /* the peer key is available and the listener is open */
	struct tlb_timer report_timer;
	struct tlb_timer key_timer;	  /* until the new one of two peer keys signs */
	tlb_time last_report_at;	  /* time of the last periodic report */
	struct tlb_vms_handlers handlers; /* set by the daemon before the start */
};

void tlb_vms_init(struct tlb_vms *v, struct tlb_edge_board *b, struct tlb_rowstore *store);
/* Starts reading the store and exchanging reports with other VMs. */
void tlb_vms_start(struct tlb_vms *v);
void tlb_vms_finish(struct tlb_vms *v);
/* Announces to the other VMs that this one is leaving, so that they get its share at once. */
void tlb_vms_leave(struct tlb_vms *v);
/* Called after a grant of this VM. Brings the next report forward if the grants since the last one
 * are large. */
void tlb_vms_on_grant(struct tlb_vms *v, struct tlb_quota *q);

/* Whether this VM has the lowest id among the VMs recently seen; selects one VM for work that only
 * one should do. It can hold on two VMs at once, so such work must be claimed in the store too. */
bool tlb_vms_has_lowest_id(const struct tlb_vms *v, tlb_time now);
/* Whether reports and changes of tables are exchanged with the VM: a link is open that one of both
 * keeps. The links to bucket owners are opened on demand and carry only their requests. */
static inline bool tlb_vm_is_linked(const struct tlb_vm *m)
{
	return (m->neighbour || m->keeps_link) && tlb_peer_is_up(m->peer);
}
/* The VM with that id, or NULL; this VM is not in the list. */
struct tlb_vm *tlb_vms_find(const struct tlb_vms *v, const char *id);
/* Hash of a name, as a key for tlb_vms_rank(). The same in every process. */
uint64_t tlb_vms_hash(const char *name);
/* Weight of a VM, by the hash of its id, for a key; the lowest weight ranks first. */
uint64_t tlb_vms_weight(uint64_t key, uint64_t id_hash);
/* Writes the ids of the VMs that a rendezvous hash of the key ranks first to ids, at most `most` of
 * them (up to TLB_VMS_RANK_MAX), this VM included; returns their number. Leaves out VMs that are
 * leaving or to be avoided. VMs with the same list of VMs compute the same ranking. */
int tlb_vms_rank(const struct tlb_vms *v, uint64_t key, tlb_time now, char ids[][TLB_ID_LEN],
		 int most);
/* As tlb_vms_rank(), with the VMs that are leaving. */
int tlb_vms_rank_all(const struct tlb_vms *v, uint64_t key, tlb_time now, char ids[][TLB_ID_LEN],
		     int most);
/* As tlb_vms_rank_all(), with those to be avoided: the same at all VMs. */
int tlb_vms_rank_true(const struct tlb_vms *v, uint64_t key, char ids[][TLB_ID_LEN], int most);
/* The rank of this VM for a key among all VMs, those that are leaving included; from 0. */
int tlb_vms_own_rank(const struct tlb_vms *v, uint64_t key);
/* The VM itself has told that it is leaving, in an answer. */
void tlb_vms_set_leaving(struct tlb_vms *v, const char *id, uint64_t incarnation);
/* Leaves a VM out of rankings until then. */
void tlb_vms_avoid(struct tlb_vms *v, const char *id, tlb_time until);
/* Report interval at the current fleet size. */
tlb_time tlb_vms_report_interval(const struct tlb_vms *v);
/* Number of VMs that are not leaving, including this one; at least 1. */
int tlb_vms_count(const struct tlb_vms *v);
/* Largest number that tlb_vms_count() has returned within TLB_VMS_EXPIRY. */
int tlb_vms_recent_count(const struct tlb_vms *v);
/* Estimated share of the fleet, 0 to 1, that this VM receives reports from, itself included. Its
 * neighbours serve as a sample of the fleet. */
double tlb_vms_reachable_share(const struct tlb_vms *v, tlb_time now);

#endif
