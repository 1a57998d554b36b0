/*
 * The session lease of a daemon: when a holder's lease is valid, what a witness replies to
 * heartbeats and fence requests, and when a fence is proven. The functions do no I/O and receive
 * the time from the caller. See docs/design.md, 3.1.
 *
 * An incarnation does not act after its fence is proven, for these reasons. On the holder's clock a
 * grant is valid for TLB_SESSION_LEASE from the time at which the heartbeat was sent. On its own
 * clock a witness agrees to a fence only when its last grant is older than the lease plus
 * TLB_FENCE_MARGIN, and it never grants to that incarnation again. Any majority that agreed to the
 * fence and any majority that grants have a witness in common. The margin covers clocks of
 * different rates and the time between the holder's check of the lease and the action that depends
 * on it.
 */
#ifndef TLB_SESSION_H
#define TLB_SESSION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "clock.h"
#include "table.h"

#define TLB_SESSION_LEASE (3 * TLB_SECOND)
/* Covers clock rates that are up to 5% too fast or too slow, and 300 ms from the check of a lease
 * to the action that depends on it: 3 s / 0.95 + 0.3 s must be less than 3.7 s / 1.05. */
#define TLB_FENCE_MARGIN (700 * TLB_MS)
#define TLB_HEARTBEAT_INTERVAL (1 * TLB_SECOND)

enum { TLB_WITNESS_MAX = 7 };

/* One run of a daemon on a VM, identified by VM id and incarnation together. */
struct tlb_vm_name {
	char id[TLB_ID_LEN];
	uint64_t incarnation;
};

bool tlb_vm_name_equal(const struct tlb_vm_name *a, const struct tlb_vm_name *b);
void tlb_vm_name_set(struct tlb_vm_name *name, const char *id, uint64_t incarnation);

/* Holder of a lease. */

struct tlb_lease_grant {
	struct tlb_vm_name witness;
	tlb_time valid_until; /* on the holder's clock */
	int64_t row_version;  /* highest version of the holder's row that the witness reported */
};

struct tlb_witness_set {
	int64_t row_version; /* of the VM row that lists these witnesses */
	int count;
	struct tlb_lease_grant grant[TLB_WITNESS_MAX];
};

/*
 * Phases of the replacement of witnesses. The holder needs grants from a majority of every set that
 * can fence it. The new set can do so as soon as the write of the new row may have taken effect, so
 * its grants are collected before the write. The old set can do so until a majority of it has
 * received the new row, so its grants are required until then.
 */
enum tlb_session_phase {
	TLB_SESSION_IDLE,	/* no VM row yet; never valid */
	TLB_SESSION_STEADY,	/* grants of set[0] are required */
	TLB_SESSION_PROPOSED,	/* as STEADY, while grants of set[1] are collected */
	TLB_SESSION_WRITING,	/* both required: the row that lists set[1] may exist */
	TLB_SESSION_CONFIRMING, /* both required: set[0] may not have received the row yet */
};

/* Plain data, copied by assignment. All zero means TLB_SESSION_IDLE. */
struct tlb_session {
	enum tlb_session_phase phase;
	struct tlb_witness_set set[2];
	tlb_time valid_until; /* computed from the grants */
	bool fenced;
};

/* Begins a lease with the witnesses that the row lists. Without witnesses it is always valid. */
void tlb_session_begin(struct tlb_session *s, int64_t row_version,
		       const struct tlb_vm_name *witnesses, int count);
bool tlb_session_valid(const struct tlb_session *s, tlb_time now);
/* Records a grant. sent_at is when the granted heartbeat was sent, on the holder's clock;
 * row_version is the highest version of the holder's row that the witness has received. */
void tlb_session_on_grant(struct tlb_session *s, const struct tlb_vm_name *witness,
			  tlb_time sent_at, int64_t row_version);
/* Ends the lease permanently because the incarnation was fenced. */
void tlb_session_on_fence(struct tlb_session *s);

/* Starts to collect grants of a new set. Only call this in TLB_SESSION_STEADY. */
void tlb_session_propose_witnesses(struct tlb_session *s, const struct tlb_vm_name *witnesses,
				   int count);
/* Drops the proposed set. Has no effect once the write of its row has begun. */
void tlb_session_withdraw_proposal(struct tlb_session *s);
/* Whether a majority of the proposed set has granted the lease, so that its row may be written. */
bool tlb_session_proposal_ready(const struct tlb_session *s, tlb_time now);
/* Call this before the write is sent. Once the result of the write is certain, call exactly one of
 * the next two: the first when the row was written, under this version, the second when it was not.
 */
void tlb_session_write_begun(struct tlb_session *s);
void tlb_session_write_committed(struct tlb_session *s, int64_t row_version);
void tlb_session_write_aborted(struct tlb_session *s);

struct tlb_witness_candidate {
	struct tlb_vm_name name;
	char zone[TLB_ID_LEN];
	bool current; /* already in the set in force */
};

/* Selects an odd number of witnesses, at most TLB_WITNESS_MAX, into out and returns their number.
 * Zones with the fewest selected witnesses come first, then current witnesses. self is the id of
 * the holder. Reorders the candidates. */
int tlb_session_choose_witnesses(const char *self, struct tlb_witness_candidate *candidates,
				 int count, struct tlb_vm_name *out);

/* Witness of leases. */

enum tlb_fence_answer {
	TLB_FENCE_REFUSED,   /* the lease may still be valid */
	TLB_FENCE_AGREED,    /* this witness never grants to the incarnation again */
	TLB_FENCE_SUPERSEDED /* the witness has received a newer row of the VM */
};

/* State of a witness for one VM. Row versions order the incarnations of a VM. */
struct tlb_witness_record {
	struct tlb_vm_name name;
	int64_t row_version;
	bool granted;	     /* last_grant is set */
	tlb_time last_grant; /* on the clock of the witness */
	bool promised;	     /* agreed to a fence: never grants to this incarnation again */
};

/* Owns the array of records. */
struct tlb_witness {
	uint64_t incarnation;
	/* A restarted witness has lost its record of grants, but still answers fence requests in
	 * place of its former incarnation: otherwise a VM that fails together with most of its
	 * witnesses could never be fenced. It refuses fences until the grants of the former
	 * incarnation have expired and it has read the VM rows from the table service. The rows
	 * show a holder that replaced this witness, because the holder wrote its new row before
	 * the former incarnation ended. */
	tlb_time no_fence_until;
	bool rows_read;
	tlb_time fence_timeout; /* a fence is refused while the last grant is at most this old */
	struct tlb_witness_record *records;
	size_t count;
	size_t cap;
};

void tlb_witness_init(struct tlb_witness *w, uint64_t incarnation, tlb_time now);
void tlb_witness_finish(struct tlb_witness *w);
/* Begins to grant leases under this incarnation. Only call this when the former process of this VM
 * has certainly ended. */
void tlb_witness_restart(struct tlb_witness *w, uint64_t incarnation, tlb_time now);
/* Records the version of a VM row. Set rows_read after all rows were read. */
void tlb_witness_on_row(struct tlb_witness *w, const struct tlb_vm_name *vm, int64_t row_version);
/* Whether a heartbeat of vm is granted. witness_incarnation is the incarnation of the witness that
 * the heartbeat names; another one than that of w gets no grant. *known_version receives the
 * highest version of the VM's row seen. */
bool tlb_witness_on_heartbeat(struct tlb_witness *w, const struct tlb_vm_name *vm,
			      uint64_t witness_incarnation, int64_t row_version, tlb_time now,
			      int64_t *known_version);
/* Whether the witness has agreed to a fence of this incarnation. */
bool tlb_witness_promised(const struct tlb_witness *w, const struct tlb_vm_name *vm);
/* Answers a request to fence vm. row_version is the version of the VM row that lists w as a
 * witness; *known_version receives the highest version seen. */
enum tlb_fence_answer tlb_witness_on_fence_request(struct tlb_witness *w,
						   const struct tlb_vm_name *vm,
						   int64_t row_version, tlb_time now,
						   int64_t *known_version);

/* Requester of a fence. */

/* Agreements to one attempt to fence vm, from the witnesses that one version of its row lists.
 * Plain data, copied by assignment. */
struct tlb_fence {
	struct tlb_vm_name vm;
	int64_t row_version;
	int count;
	char witness[TLB_WITNESS_MAX][TLB_ID_LEN];
	bool agreed[TLB_WITNESS_MAX];
};

void tlb_fence_init(struct tlb_fence *f, const struct tlb_vm_name *vm, int64_t row_version,
		    const struct tlb_vm_name *witnesses, int count);
/* Records the agreement of a witness, given by VM id. Other ids are ignored. Agreements don't
 * expire: they are promises. */
void tlb_fence_add_agreement(struct tlb_fence *f, const char *witness);
/* Whether a majority of the witnesses has agreed, so that the incarnation certainly acts no more. A
 * VM without witnesses can't be fenced. */
bool tlb_fence_proven(const struct tlb_fence *f);

#endif
