/*
 * The endpoints that discovery knows. An instance is one start of an endpoint: requests name it, so
 * that an address that was given to another endpoint meanwhile gets nothing that is not for it.
 */
#ifndef TLB_INSTANCE_H
#define TLB_INSTANCE_H

#include <apr_ring.h>
#include <stdbool.h>

#include "http.h"
#include "place.h"
#include "routing.h"

enum {
	TLB_INSTANCE_ID_LEN = 64,
	TLB_INSTANCES_MAX = 1024, /* weighed for one request */
};

/* Learned prefill speed until something was measured, in tokens a second. */
#define TLB_INSTANCE_SPEED 50000.0

/* What discovery states of one instance. A value type. */
struct tlb_instance_row {
	char id[TLB_INSTANCE_ID_LEN];
	char service[TLB_NAME_LEN];
	char addr[TLB_ADDR_LEN];
	char zone[TLB_NAME_LEN];
	enum tlb_role role;
	int slots;
	int64_t born_ms; /* wall clock of its start; 0 when not stated */
	bool leaving;
};

/* Owned by struct tlb_instances; requests hold references, so that one that is gone from discovery
 * lives until its last request has ended. */
struct tlb_instance {
	APR_RING_ENTRY(tlb_instance) link;
	struct tlb_instance_row row;
	int references;
	bool listed;		    /* discovery names it */
	tlb_time unlisted_deadline; /* in use until then although not listed; 0: not */
	struct tlb_health health;
	tlb_time full_until;	   /* had no room a moment ago; 0: not known to be full */
	tlb_time switching_until;  /* its role is being changed; 0: it is not */
	int in_flight;		   /* requests of this VM */
	int64_t prefill_in_flight; /* prompt tokens of this VM being prefilled */
	double tokens_per_second;  /* prefill speed, the best of late */
	int64_t queued_tokens;	   /* as the last prefill showed it */
	tlb_time queue_seen_at;	   /* 0: never */
};

APR_RING_HEAD(tlb_instance_ring, tlb_instance);

/* Owned by the board; owns the instances. */
struct tlb_instances {
	struct tlb_instance_ring all;
	struct tlb_place place;
	/* Filled anew for each choice. */
	struct tlb_candidate candidate[TLB_INSTANCES_MAX];
	struct tlb_instance *weighed[TLB_INSTANCES_MAX];
	int count;
};

void tlb_instances_init(struct tlb_instances *s, const char *zone, uint64_t seed);
void tlb_instances_finish(struct tlb_instances *s);

struct tlb_instance *tlb_instances_find(const struct tlb_instances *s, const char *id);
/* Adds or changes an instance; a new start under a known id forgets what was learned of the old
 * one. Returns whether anything but counters changed. */
bool tlb_instances_put(struct tlb_instances *s, const struct tlb_instance_row *row);
/* Discovery no longer names the instance. It stays in use until the deadline; 0: not at all. */
void tlb_instances_remove(struct tlb_instances *s, const char *id, tlb_time use_deadline);
/* Marks all as not listed, before a whole listing is taken; then ends those that it did not name.
 */
void tlb_instances_begin_listing(struct tlb_instances *s);
void tlb_instances_end_listing(struct tlb_instances *s, tlb_time use_deadline);

void tlb_instance_hold(struct tlb_instance *i);
void tlb_instance_release(struct tlb_instance *i);
/* Calls the instance on a connection of its own. spec has all but url; body NULL: none. Returns as
 * tlb_http_start(). */
enum tlb_code tlb_instance_call(const struct tlb_instance *i, struct tlb_http *http,
				struct tlb_http_call *call, struct tlb_http_spec *spec,
				const char *target, const char *body, struct tlb_error *err);
/* Whether new work may go there. */
bool tlb_instance_usable(const struct tlb_instance *i, tlb_time now);

/* Instances that one request has tried. A value type. */
enum { TLB_TRIED_MAX = 4 };
struct tlb_tried {
	int count;
	char id[TLB_TRIED_MAX][TLB_INSTANCE_ID_LEN];
};
void tlb_tried_add(struct tlb_tried *t, const char *id);

/* What is to be placed. */
struct tlb_placing {
	const char *service;
	const struct tlb_service_info *info; /* NULL when not known */
	int64_t tokens;			     /* prompt tokens to prefill; 0 for plain calls */
	const char *decode_zone;	     /* where a prefill is decoded; NULL when not known */
	const struct tlb_tried *tried;	     /* left out while others are left */
	tlb_time now;
};

/* The instance for a plain call, or NULL. */
struct tlb_instance *tlb_instances_for_call(struct tlb_instances *s, const struct tlb_placing *p);
/* The prefill endpoint that is expected to be done first, or NULL. */
struct tlb_instance *tlb_instances_for_prefill(struct tlb_instances *s,
					       const struct tlb_placing *p);
/* The decode endpoint for a request, of those that are not known to be full, or NULL. */
struct tlb_instance *tlb_instances_for_decode(struct tlb_instances *s, const struct tlb_placing *p);

/* How many instances of a service and role are usable. */
int tlb_instances_count(const struct tlb_instances *s, const char *service, enum tlb_role role,
			tlb_time now);

/* Records how a request ended there. latency 0: says nothing of its speed. Returns true when this
 * takes it out of use for a time. */
bool tlb_instances_note(struct tlb_instances *s, struct tlb_instance *i, bool ok, tlb_time latency,
			tlb_time now);
/* Records a prefill of that many tokens, for speed and queue. */
void tlb_instance_note_prefill(struct tlb_instance *i, int64_t tokens, tlb_time took, tlb_time now);

#endif
