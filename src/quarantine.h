/*
 * Quarantine of prompt parts that crash endpoints: evidence, verdicts, and which requests to
 * reject. Pure data structure without I/O; module quarantine_sync exchanges it between VMs.
 *
 * Load pattern: prompts that share one part, no two alike, arrive at all VMs, and the endpoint that
 * begins to answer one crashes and breaks off its other streams. Retries crash the next endpoints.
 * Every VM sees only a few of the crashes.
 *
 * A crash is evidence against every shared part of the prompts whose answers had just begun at the
 * endpoint. A part is quarantined after TLB_QUARANTINE_CRASHES crashes of different endpoints, one
 * after the other, by different requests, without a complete answer to a prompt with this part
 * since. What sound requests use is therefore cleared by their next answer. After a time that grows
 * with the number of crashes, one prompt at a time is let through as a probe: an answer ends the
 * verdict, a crash confirms it. Crashes with the same more specific explanation (a quarantined part
 * that occurs together with more other parts) count as one against other parts, and a single one
 * not at all.
 *
 * Rejected are only prompts that have all parts in common that the crashed prompts had, and, while
 * all of these came from one client account, only this account's: no account can have the sound
 * requests of another one rejected.
 *
 * tlb_quarantine_merge() never takes a counted crash away and is idempotent, so that VMs that
 * exchange their entries in any order come to the same number of crashes. Which crashes of a burst
 * they count can differ.
 */
#ifndef TLB_QUARANTINE_H
#define TLB_QUARANTINE_H

#include <apr_ring.h>
#include <stdbool.h>
#include <stdint.h>

#include "clock.h"
#include "request_info.h"

/* A prompt is let through as a probe this long after the last crash, and up to half as long again,
 * different at each VM: one VM finds out first whether the part is still deadly. Each crash beyond
 * TLB_QUARANTINE_CRASHES doubles the time, up to TLB_QUARANTINE_MAX_TIME. */
#define TLB_QUARANTINE_MIN_TIME (30 * TLB_SECOND)
#define TLB_QUARANTINE_MAX_TIME (600 * TLB_SECOND)
/* Time for the outcome of a probe; the next one follows after it, or up to half as long again. */
#define TLB_QUARANTINE_PROBE_TIME (5 * TLB_SECOND)
/* Crashes and answers after this are forgotten. */
#define TLB_QUARANTINE_MEMORY (2 * TLB_QUARANTINE_MAX_TIME)
/* Crashes that follow each other faster count as one: they can have a common cause, such as a
 * rack that loses power, and a request that is retried takes longer. */
#define TLB_QUARANTINE_CRASH_SPACING (100 * TLB_MS)

/* An endpoint that crashes within this time after an attempt was abandoned may have crashed because
 * of it. */
#define TLB_QUARANTINE_ABANDONED_TIME (2 * TLB_SECOND)
/* Time for which the crash of an incarnation is told to other VMs only once; longer than any
 * message is under way, so that notices do not circulate. */
#define TLB_QUARANTINE_NOTICE_TIME (60 * TLB_SECOND)

enum {
	/* Crashes before the verdict, and different requests that they must come from. */
	TLB_QUARANTINE_CRASHES = 3,
	TLB_QUARANTINE_REQUESTS = 2,
	TLB_QUARANTINE_CRASHES_KEPT = 8, /* of one part, the latest */
	TLB_QUARANTINE_PARTS_MAX = 512,	 /* suspected parts known at a time */
	TLB_QUARANTINE_ABANDONED_MAX = 64,
	TLB_QUARANTINE_NOTICES_MAX = 1024,   /* all endpoints can break off at the same time */
	TLB_QUARANTINE_EARLY_EVENTS_MAX = 2, /* an answer with more events has begun soundly */
};

/* What a request contributes to the evidence. Borrows the parts. */
struct tlb_prompt {
	const uint64_t *parts;
	int count;
	uint64_t account; /* hash of the name; 0: no account */
	uint64_t own;	  /* id of the part that no other request has */
};

/* No time: earlier than any other. Times before this machine's boot are negative, and 0 is one. */
#define TLB_QUARANTINE_NEVER INT64_MIN

/* Stands for the account of a crash that broke off prompts of several accounts. */
#define TLB_QUARANTINE_MIXED_ACCOUNTS UINT64_MAX

struct tlb_part_crash {
	uint64_t endpoint; /* hash of the incarnation */
	tlb_time at;
	uint64_t account; /* of the prompts with the part; or TLB_QUARANTINE_MIXED_ACCOUNTS */
	uint64_t request; /* own part of one of these prompts */
};

/* The evidence against one part. Owned by struct tlb_quarantine; a value type otherwise. */
struct tlb_suspect_part {
	APR_RING_ENTRY(tlb_suspect_part) link;
	uint64_t part;
	uint64_t common[TLB_SHARED_PARTS_MAX]; /* parts that all crashed prompts had, with this one
						*/
	int common_count;
	/* Those that count, oldest first. */
	struct tlb_part_crash crashes[TLB_QUARANTINE_CRASHES_KEPT];
	int crash_count;
	/* Endpoints whose crashes an answer has cleared. A message that was long under way dates
	 * them later than the answer. */
	uint64_t cleared[TLB_QUARANTINE_CRASHES_KEPT];
	int next_cleared;
	tlb_time sound_at;	/* latest complete answer since it was suspected */
	tlb_time probe_at;	/* latest probe, of any VM */
	uint64_t probe_request; /* own part of the probe, if it is this VM's; otherwise 0 */
	bool quarantined;	/* as of the last evaluation */
	bool logged;		/* as quarantined */
	bool changed;		/* not yet sent to other VMs */
};

APR_RING_HEAD(tlb_suspect_part_ring, tlb_suspect_part);

/* An attempt that this VM cancelled before or just after the first event, for example because the
 * caller left, so that it can't see how it would have ended. */
struct tlb_abandoned_attempt {
	uint64_t endpoint;
	uint64_t account;
	uint64_t own;
	uint64_t parts[TLB_SHARED_PARTS_MAX];
	int count;
	tlb_time deadline; /* a later crash has another cause; 0: unused */
};

/* A crash that VMs tell each other, whatever the prompts. */
struct tlb_crash_notice {
	uint64_t endpoint;
	tlb_time deadline; /* until then further notices are not passed on */
	bool changed;	   /* not yet sent to other VMs */
};

/* Owned by the caller; owns the entries. */
struct tlb_quarantine {
	uint64_t seed; /* differs between VMs, so that they do not probe at the same time */
	struct tlb_suspect_part_ring parts;
	int count;
	int quarantined; /* parts */
	struct tlb_abandoned_attempt abandoned[TLB_QUARANTINE_ABANDONED_MAX];
	int next_abandoned;
	struct tlb_crash_notice notices[TLB_QUARANTINE_NOTICES_MAX];
	int next_notice;
};

/* seed: see struct tlb_quarantine; 0: probes at the earliest time. */
void tlb_quarantine_init(struct tlb_quarantine *q, uint64_t seed);
void tlb_quarantine_finish(struct tlb_quarantine *q);

/* Records that an endpoint crashed as it began to answer the prompt. Returns whether this was new.
 */
bool tlb_quarantine_add_crash(struct tlb_quarantine *q, const struct tlb_prompt *p,
			      uint64_t endpoint, tlb_time now);
/* Remembers an attempt that was cancelled as the endpoint began to answer. */
void tlb_quarantine_add_abandoned(struct tlb_quarantine *q, const struct tlb_prompt *p,
				  uint64_t endpoint, tlb_time now);
/* An endpoint has broken off answers or refused a connection, seen by this VM or another one;
 * counts against the prompts of attempts that this VM abandoned there just before. Returns whether
 * other VMs are to be told. */
bool tlb_quarantine_note_crash(struct tlb_quarantine *q, uint64_t endpoint, tlb_time now);
/* Records a complete answer to the prompt. Returns whether it cleared a suspicion. */
bool tlb_quarantine_add_answer(struct tlb_quarantine *q, const struct tlb_prompt *p, tlb_time now);
/* Empties an entry that is to be filled with what another VM, or the store, knows of the part. */
void tlb_quarantine_init_part(struct tlb_suspect_part *s, uint64_t part);
/* The time that long ago, on this VM's clock; it can lie before its boot. */
tlb_time tlb_quarantine_time_of_age(tlb_time now, uint64_t age_us);
/* Adds what another VM, or the store, knows of a part; times on this VM's clock. Returns whether
 * something was new. */
bool tlb_quarantine_merge(struct tlb_quarantine *q, const struct tlb_suspect_part *from,
			  tlb_time now);
/* Forgets what is older than TLB_QUARANTINE_MEMORY, which ends verdicts. */
void tlb_quarantine_expire(struct tlb_quarantine *q, tlb_time now);

/* The quarantined part because of which the prompt is rejected, or NULL. */
const struct tlb_suspect_part *tlb_quarantine_find(const struct tlb_quarantine *q,
						   const struct tlb_prompt *p, tlb_time now);
/* Called when a prompt that is not rejected is sent to an endpoint: makes it the probe of the
 * verdicts that concern it. Returns whether other VMs are to be told. */
bool tlb_quarantine_begin_probe(struct tlb_quarantine *q, const struct tlb_prompt *p, tlb_time now);
/* Whether the crashes prove that the part is deadly for the prompts of this account: it is the only
 * one that the crashes can have come from, or they came from several accounts. */
bool tlb_quarantine_concerns(const struct tlb_suspect_part *s, uint64_t account);
/* Accounts that crashes came from; crashes with TLB_QUARANTINE_MIXED_ACCOUNTS are not counted. At
 * most 2. Sets *first to one of them unless there is none. */
int tlb_quarantine_accounts(const struct tlb_suspect_part *s, uint64_t *first);
/* When this VM lets a prompt with a quarantined part through, unless another crash happens or
 * another VM does before. */
tlb_time tlb_quarantine_next_probe_at(const struct tlb_quarantine *q,
				      const struct tlb_suspect_part *s);
/* Whether the evidence must survive a restart of all VMs: a verdict, or crashes that can lead to
 * one. Those of a single crash are frequent and mostly unrelated. */
bool tlb_quarantine_is_lasting(const struct tlb_suspect_part *s);
/* Hash of the verdicts and the other lasting evidence; VMs with the same have the same. 0: none. */
uint64_t tlb_quarantine_digest(const struct tlb_quarantine *q);

#endif
