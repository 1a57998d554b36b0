/*
 * The session lease of a daemon, as pure rules over a given clock: what the holder may conclude
 * from grants, what a witness may answer, and when a fence is proven. See docs/design.md, 3.1.
 *
 * Why no incarnation acts after its fence is proven: a grant counts for TLB_SESSION_LEASE from the
 * sending of the heartbeat on the holder's clock; a witness agrees to a fence only when its last
 * grant is older than the lease plus TLB_FENCE_MARGIN on its own clock, and grants that incarnation
 * nothing afterwards. The majority that agreed and a majority that grants share a witness. The
 * margin covers clocks of different rates and the time between the holder's check and its act.
 */
#ifndef TLB_SESSION_H
#define TLB_SESSION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "clock.h"
#include "table.h"

#define TLB_SESSION_LEASE (3 * TLB_SECOND)
/* Covers clock rates 5% off either way and 300 ms from a check to its act: 3 s / 0.95 + 0.3 s must
 * be less than 3.7 s / 1.05. */
#define TLB_FENCE_MARGIN (700 * TLB_MS)
#define TLB_HEARTBEAT_INTERVAL (1 * TLB_SECOND)

enum { TLB_WITNESS_MAX = 7 };

/* One run of a daemon on a VM. Compared by both parts. */
struct tlb_vm_name {
	char id[TLB_ID_LEN];
	uint64_t incarnation;
};

bool tlb_vm_name_equal(const struct tlb_vm_name *a, const struct tlb_vm_name *b);
void tlb_vm_name_set(struct tlb_vm_name *name, const char *id, uint64_t incarnation);

/* Holder. */

struct tlb_grant {
	struct tlb_vm_name witness;
	tlb_time valid_until;
	int64_t row_version; /* highest version of our row that the witness knows */
};

struct tlb_witness_set {
	int64_t row_version; /* of the VM row that names the set */
	int count;
	struct tlb_grant grant[TLB_WITNESS_MAX];
};

/* Replacing witnesses. The new set is asked for grants before it is written, because from the
 * moment at which the write may have taken effect the new set can fence the holder. The old set
 * counts until a majority of it knows the new row, because until then the old set can as well. */
enum tlb_session_phase {
	TLB_SESSION_IDLE,	/* no row yet; never valid */
	TLB_SESSION_STEADY,	/* set[0] counts */
	TLB_SESSION_PROPOSED,	/* set[0] counts; set[1] is asked for grants */
	TLB_SESSION_WRITING,	/* both count: the row that names set[1] may exist */
	TLB_SESSION_CONFIRMING, /* both count: set[0] may not know the row yet */
};

/* A value type. Zero-initialised: idle. */
struct tlb_session {
	enum tlb_session_phase phase;
	struct tlb_witness_set set[2];
	tlb_time valid_until; /* derived from the grants */
	bool fenced;
};

/* Begins a lease with the witnesses that the row names; without any it is always valid. */
void tlb_session_begin(struct tlb_session *s, int64_t row_version,
		       const struct tlb_vm_name *witnesses, int count);
bool tlb_session_valid(const struct tlb_session *s, tlb_time now);
/* Takes a grant for a heartbeat that was sent at sent. */
void tlb_session_grant(struct tlb_session *s, const struct tlb_vm_name *witness, tlb_time sent,
		       int64_t row_version);
/* Ends the lease for good: the incarnation is fenced. */
void tlb_session_fence(struct tlb_session *s);

/* Proposes a new set; only in the steady phase. */
void tlb_session_propose(struct tlb_session *s, const struct tlb_vm_name *witnesses, int count);
void tlb_session_withdraw(struct tlb_session *s);
/* True when the proposed set grants the session, so that its row may be written. */
bool tlb_session_proposal_ready(const struct tlb_session *s, tlb_time now);
/* Call before the write is sent; afterwards exactly one of the two below, once it is certain. */
void tlb_session_write_begun(struct tlb_session *s);
void tlb_session_write_done(struct tlb_session *s, int64_t row_version);
void tlb_session_write_undone(struct tlb_session *s);

/* A candidate for a witness. */
struct tlb_witness_candidate {
	struct tlb_vm_name name;
	char zone[TLB_ID_LEN];
	bool current; /* is in the set in force */
};

/* Chooses an odd number of witnesses, at most TLB_WITNESS_MAX, spread over zones; those in force
 * are kept first. Sorts the candidates. Returns the count. */
int tlb_session_choose(const char *self, struct tlb_witness_candidate *candidates, int count,
		       struct tlb_vm_name *out);

/* Witness. */

enum tlb_fence_answer { TLB_FENCE_REFUSED, TLB_FENCE_AGREED, TLB_FENCE_SUPERSEDED };

/* What a witness knows of one VM. Row versions order the incarnations of a VM. */
struct tlb_witness_record {
	struct tlb_vm_name name;
	int64_t row_version;
	bool granted;
	tlb_time last_grant;
	bool promised; /* agreed to a fence: never grants this incarnation again */
};

/* Owns its records. */
struct tlb_witness {
	uint64_t incarnation;
	/* A witness that restarted has forgotten its grants. It stands in for its former
	 * incarnation in fences (which it must, or a VM that dies together with most of its
	 * witnesses could never be fenced), but only after the grants of the former one have run
	 * out and it has read the VM rows from the store: a holder that has moved on to other
	 * witnesses had written so before the former incarnation ended. */
	tlb_time silent_until;
	bool rows_read;
	tlb_time fence_after; /* silence after which a fence is agreed to */
	struct tlb_witness_record *records;
	size_t count;
	size_t cap;
};

void tlb_witness_init(struct tlb_witness *w, uint64_t incarnation, tlb_time now);
void tlb_witness_finish(struct tlb_witness *w);
/* Begins to answer under this incarnation, once the former process of this VM is certainly gone. */
void tlb_witness_restart(struct tlb_witness *w, uint64_t incarnation, tlb_time now);
/* Takes a VM row. After all rows were read, set rows_read. */
void tlb_witness_row(struct tlb_witness *w, const struct tlb_vm_name *vm, int64_t row_version);
/* Answers a heartbeat that names the incarnation of the witness it was meant for. *known is the
 * highest version of the VM's row seen. */
bool tlb_witness_heartbeat(struct tlb_witness *w, const struct tlb_vm_name *vm, uint64_t meant_for,
			   int64_t row_version, tlb_time now, int64_t *known);
bool tlb_witness_promised(const struct tlb_witness *w, const struct tlb_vm_name *vm);
/* Answers a request to fence vm under the row of this version. */
enum tlb_fence_answer tlb_witness_fence(struct tlb_witness *w, const struct tlb_vm_name *vm,
					int64_t row_version, tlb_time now, int64_t *known);

/* Fencing side. */

/* The answers to one attempt, under one version of the row of vm. A value type. */
struct tlb_fence {
	struct tlb_vm_name vm;
	int64_t row_version;
	int count;
	char witness[TLB_WITNESS_MAX][TLB_ID_LEN];
	bool agreed[TLB_WITNESS_MAX];
};

void tlb_fence_init(struct tlb_fence *f, const struct tlb_vm_name *vm, int64_t row_version,
		    const struct tlb_vm_name *witnesses, int count);
/* Takes an agreement. Agreements stay good: they are promises. */
void tlb_fence_agree(struct tlb_fence *f, const char *witness);
/* True when the incarnation certainly acts no more. A VM without witnesses can't be fenced. */
bool tlb_fence_proven(const struct tlb_fence *f);

#endif
