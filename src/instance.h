/*
 * Registry of the endpoints found by discovery. An instance is one incarnation of an endpoint.
 * Requests carry the instance id, so that another endpoint that has reused the address rejects
 * requests that were not meant for it.
 */
#ifndef TLB_INSTANCE_H
#define TLB_INSTANCE_H

#include <apr_ring.h>
#include <stdbool.h>

#include "evacuation.h"
#include "http.h"
#include "overload.h"
#include "selection.h"
#include "routing.h"

enum {
	TLB_INSTANCE_ID_LEN = 201,	/* that of a key in the store */
	TLB_INSTANCES_MAX = 1024,	/* candidates for one request */
	TLB_INSTANCES_REMEMBERED = 512, /* removed ones, the oldest is forgotten */
};

/* Prefill speed in tokens per second, assumed until it has been measured. */
#define TLB_INSTANCE_INITIAL_TOKENS_PER_SECOND 50000.0

/* Requests on their way when an instance asks for a pause may reach it half a second later; this
 * one leaves time to send them. */
#define TLB_INSTANCE_RESERVED_GRACE (400 * TLB_MS)

/* The discovery record of one instance. A value type. */
struct tlb_instance_row {
	char id[TLB_INSTANCE_ID_LEN];
	char service[TLB_LABEL_LEN]; /* label */
	char addr[TLB_ADDR_LEN];
	char zone[TLB_ID_LEN]; /* label */
	enum tlb_role role;
	int slots;
	int64_t started_ms; /* wall-clock time of its start; 0: not given */
	int64_t sequence;   /* rises with every write of this incarnation; 0: not given */
	bool leaving;
	int64_t cold_ms; /* how long it stays cold; -1: not given */
};

/* Reference-counted: struct tlb_instances holds one reference and each request another, so that an
 * instance removed from discovery exists until its last request has ended. */
struct tlb_instance {
	APR_RING_ENTRY(tlb_instance) link;
	struct tlb_instance_row row;
	int refcount;
	bool listed; /* its entry exists */
	bool lost;   /* its entry is missing since the store returned from an older copy */
	tlb_time unlisted_deadline; /* usable until then although not listed; 0: not usable */
	bool leaving;		    /* an answer has said so; final for the incarnation */
	struct tlb_health health;
	tlb_time backoff_until;	     /* asked this VM for no requests until then; 0: not */
	tlb_time reserved_use_until; /* in a pause, reserved capacity may be used until then */
	tlb_time full_until;	     /* treated as full until then; 0: not known to be full */
	tlb_time switching_until;    /* role change in progress until then; 0: none */
	tlb_time evacuated_until;    /* its zone is evacuated until then; 0: not */
	tlb_time cold_until;	     /* by its entry; 0: not cold */
	tlb_time maybe_cold_from;    /* may have turned cold by then; 0: not */
	tlb_time cold_next_at;	     /* while cold, no request of this VM before */
	int in_flight;		     /* requests of this VM in flight */
	int64_t prefill_in_flight;   /* prompt tokens of this VM being prefilled */
	double tokens_per_second;    /* prefill speed: recent maximum, which decays */
	int64_t queued_tokens;	     /* estimated from the last prefill */
	tlb_time queue_seen_at;	     /* time of that estimate; 0: none */
	/* Overload control of plain services (overload_control.h). */
	double weight;			       /* of the endpoint in a choice, 0 to 1 */
	struct tlb_overload_sample unreported; /* outcomes since the last report */
	tlb_time contended_until;	       /* has refused calls lately */
};

APR_RING_HEAD(tlb_instance_ring, tlb_instance);

/* The last entry of a removed instance. A value type. */
struct tlb_removed_instance {
	char id[TLB_INSTANCE_ID_LEN]; /* "" when unused */
	char addr[TLB_ADDR_LEN];
	int64_t started_ms;
	int64_t sequence;
	bool leaving;	   /* when it was removed */
	bool said_leaving; /* an answer had said so */
};

/* All instances. Owned by the board; holds a reference to each instance. */
struct tlb_instances {
	struct tlb_instance_ring all;
	struct tlb_removed_instance removed[TLB_INSTANCES_REMEMBERED];
	int next_removed; /* index that is overwritten next */
	struct tlb_evacuations evacuations;
	struct tlb_selector place;
	/* Filled for each selection; the two arrays have the same indices. */
	struct tlb_candidate candidate[TLB_INSTANCES_MAX];
	struct tlb_instance *considered[TLB_INSTANCES_MAX];
	int count;
};

void tlb_instances_init(struct tlb_instances *s, const char *zone, uint64_t seed);
void tlb_instances_finish(struct tlb_instances *s);

struct tlb_instance *tlb_instances_find(const struct tlb_instances *s, const char *id);
/* Adds or updates an instance. A new incarnation under a known id replaces the instance and
 * discards its statistics. Returns whether an instance was added, or its role or leaving state
 * changed. */
bool tlb_instances_put(struct tlb_instances *s, const struct tlb_instance_row *row);
/* Whether an entry that may come from an older copy of the store is older than what is known of the
 * instance, also when it was removed. False when the entries don't tell. */
bool tlb_instances_know_newer(const struct tlb_instances *s, const struct tlb_instance_row *row);
/* Handles the removal of an instance from discovery. It stays usable until use_deadline; 0: it is
 * removed at once. A leaving instance is always removed at once. lost: its entry was not removed
 * but is missing since the store returned from an older copy. */
void tlb_instances_remove(struct tlb_instances *s, const char *id, tlb_time use_deadline,
			  bool lost);

/* Takes in what an entry has said of how long the instance stays cold. */
void tlb_instance_note_cold(struct tlb_instance *i, int64_t cold_ms, tlb_time now);
/* Whether the instance is cold, or may be. info: of its service; NULL when not known. */
bool tlb_instance_is_cold(const struct tlb_instance *i, const struct tlb_service_info *info,
			  tlb_time now);

void tlb_instance_acquire(struct tlb_instance *i);
void tlb_instance_release(struct tlb_instance *i);
/* Calls the instance on a dedicated connection for a response with a few fields. Sets url and body
 * of spec, the caller sets the rest; body NULL: no body. */
void tlb_instance_call(const struct tlb_instance *i, struct tlb_http *http,
		       struct tlb_http_call *call, struct tlb_http_spec *spec, const char *target,
		       const char *body);
/* Stops the use of a zone's instances, those that will be added included. Returns false without
 * memory. */
bool tlb_instances_evacuate(struct tlb_instances *s, const char *zone, tlb_time now);
/* Allows the use of a zone's instances from a time on. Returns whether the zone was evacuated. */
bool tlb_instances_end_evacuation(struct tlb_instances *s, const char *zone, tlb_time until);

/* Whether the instance is listed, its zone is not evacuated, and it is neither leaving nor changing
 * its role. */
bool tlb_instance_in_service(const struct tlb_instance *i, tlb_time now);
/* Whether the instance may receive new requests: it is in service and has not asked for a pause. */
bool tlb_instance_usable(const struct tlb_instance *i, tlb_time now);

/* Instances that one request has tried. A value type. */
enum { TLB_TRIED_MAX = 4 };
struct tlb_tried_instances {
	int count;
	char id[TLB_TRIED_MAX][TLB_INSTANCE_ID_LEN];
};
void tlb_tried_instances_add(struct tlb_tried_instances *t, const char *id);

struct tlb_vms;

/* What an instance is selected for. */
struct tlb_instance_query {
	const char *service;
	const struct tlb_service_info *info; /* NULL when not known */
	const struct tlb_vms *vms; /* that share the rate of cold endpoints; NULL: only this one */
	int64_t tokens;		   /* prompt tokens to prefill; 0 for plain calls */
	bool stays; /* a plain call: in this VM's zone, unless its endpoints refuse calls */
	const char *decode_zone; /* zone of the decode endpoint; NULL if not known */
	const struct tlb_tried_instances *tried; /* already tried, not selected again */
	tlb_time now;
};

/* Selects the instance for a plain call, or returns NULL. */
struct tlb_instance *tlb_instances_select_service(struct tlb_instances *s,
						  const struct tlb_instance_query *p);
/* Whether an endpoint is left for a plain call that has not refused calls lately. */
bool tlb_instances_has_spare(const struct tlb_instances *s, const struct tlb_instance_query *p);
/* Selects a prefill endpoint by expected completion time, or returns NULL. */
struct tlb_instance *tlb_instances_select_prefill(struct tlb_instances *s,
						  const struct tlb_instance_query *p);
/* Selects a decode endpoint among those not known to be full, or returns NULL. */
struct tlb_instance *tlb_instances_select_decode(struct tlb_instances *s,
						 const struct tlb_instance_query *p);

/* Returns the number of usable instances of a service and role. */
int tlb_instances_count(const struct tlb_instances *s, const char *service, enum tlb_role role,
			tlb_time now);

/* Whether a request may be sent that has reserved capacity at the instance: as long as it is
 * usable, and at the beginning of a pause. */
bool tlb_instance_takes_reserved(const struct tlb_instance *i, tlb_time now);
/* Returns when the first instance of a service and role is usable: now, or the end of the pauses
 * that all have asked for. TLB_NEVER: none is in service. */
tlb_time tlb_instances_usable_at(const struct tlb_instances *s, const char *service,
				 enum tlb_role role, tlb_time now);

/* Records that the instance asked for no requests for so long. Returns whether a pause begins. */
bool tlb_instance_back_off(struct tlb_instance *i, int64_t pause_ms, tlb_time now);
/* Records that the instance announced its departure. Returns whether that is new. */
bool tlb_instance_mark_leaving(struct tlb_instance *i);
/* Records the outcome of a request. latency 0: not measured. Returns true if this outcome ejects
 * the instance. */
bool tlb_instances_record_outcome(struct tlb_instances *s, struct tlb_instance *i, bool ok,
				  tlb_time latency, tlb_time now);
/* Updates the estimates of prefill speed and queue from a prefill of that many tokens. */
void tlb_instance_record_prefill(struct tlb_instance *i, int64_t tokens, tlb_time took,
				 tlb_time now);

#endif
