/*
 * The routing table: routes, services, client accounts and limits of one configuration version. A
 * new table is built completely and checked before it replaces the one in force; a table in force
 * is never modified.
 */
#ifndef TLB_ROUTING_H
#define TLB_ROUTING_H

#include <apr_hash.h>
#include <apr_pools.h>
#include <apr_ring.h>
#include <stdbool.h>
#include <stdint.h>

#include "label.h"
#include "random.h"
#include "table.h"

/* Kind of the requests of a route; decides whether they may be executed more than once. */
enum tlb_request_kind {
	TLB_REQUEST_IDEMPOTENT,
	TLB_REQUEST_NON_IDEMPOTENT,
	TLB_REQUEST_STREAM, /* runs at most once unless the route is resumable */
};

/* One service of a route's traffic split. */
struct tlb_split_target {
	const char *service; /* label */
	int weight;
};

/* Identifies the text from which a route or an account was read. */
struct tlb_content_hash {
	unsigned char bytes[16];
};

/* Reference-counted, and never modified once it is in a table: a table shares the routes that did
 * not change with the one before it. */
struct tlb_forward_route {
	int references;
	struct tlb_content_hash content;
	const char *name; /* label */
	const char *host;
	const char *prefix; /* begins and ends with "/" */
	enum tlb_request_kind request_kind;
	int timeout_ms;	       /* limit on the total time of a request */
	int target_latency_ms; /* target time to the response or first event */
	int gap_target_ms;     /* target for the longest gap between events */
	int priority;	       /* 0 is the most urgent */
	int max_attempts;      /* endpoints at which one request may be tried */
	bool unauthenticated;  /* no API key required */
	bool model_requests;   /* requests go to language models */
	bool resumable;
	int target_count;
	struct tlb_split_target *target;
};

/* A client account of the configuration. Shared between tables like a route. */
struct tlb_client_account {
	int references;
	struct tlb_content_hash content;
	char name[TLB_LABEL_LEN]; /* label */
	char *full_name;
	int priority;	      /* -1: the route's */
	int64_t rate;	      /* cost per second; 0: no limit */
	int64_t burst;	      /* cost */
	bool counts_tokens;   /* cost is the number of tokens; else 1 per request */
	int64_t default_cost; /* cost of a request without a token count */
	int key_count;
	unsigned char key_hashes[][TLB_KEY_HASH_LEN];
};

struct tlb_service_info {
	APR_RING_ENTRY(tlb_service_info) link;
	char name[TLB_LABEL_LEN]; /* label */
	bool is_engine;		  /* has prefill and decode endpoints */
	int max_connections;	  /* to one endpoint, summed over all VMs */
	int slots;		  /* concurrent requests of an engine */
	int64_t kv_tokens;	  /* KV cache capacity of an engine */
	int kv_bytes_per_token;
	int link_mbps;
	int role_switch_ms;	/* downtime of a role change; 0: not supported */
	int max_reservation_ms; /* longest decode reservation; 0: not supported */
	int cold_ms;		/* how long an endpoint is cold after its start; 0: never */
	double cold_rate;	/* requests a second that a cold endpoint bears; 0: any */
	int kv_ttl_ms;		/* how long a prefilled KV cache is kept */
};

/* Bounds on what callers may send. */
struct tlb_caller_limits {
	int64_t max_header_bytes;
	int64_t max_body_bytes;
	int header_timeout_ms;
	int idle_timeout_ms;
};

/* An entry of the configuration that can't be used and is not in the table. */
struct tlb_left_out_entry {
	const char *list; /* the member it is in */
	int index;	  /* in the list; -1: the member itself */
	const char *reason;
	char name[TLB_LABEL_LEN]; /* label; "" when it has none */
};

enum { TLB_LEFT_OUT_KEPT = 16 };

APR_RING_HEAD(tlb_service_info_ring, tlb_service_info);

/* Owns its services, which are allocated from pool, and a reference to each route and account.
 * Reference-counted: a request uses the table with which it started until it ends. */
struct tlb_routing {
	int references;
	int64_t version; /* 0: none yet */
	struct tlb_caller_limits limits;
	struct tlb_forward_route **routes; /* malloc'd */
	int route_count;
	int route_capacity;
	size_t *prefix_lens; /* the different lengths of prefixes, ascending; malloc'd */
	int prefix_len_count;
	size_t longest_host;
	char *key; /* for look-ups: host, NUL and path; malloc'd */
	size_t key_size;
	/* The configuration has accounts, whether they can be used or not: then routes that are not
	 * open to all require a key. */
	bool keys_required;
	struct tlb_client_account **accounts; /* malloc'd */
	int account_count;
	int account_capacity;
	struct tlb_service_info_ring services;
	apr_pool_t *pool;
	apr_hash_t *routes_by_key;     /* host, NUL and prefix */
	apr_hash_t *routes_by_content; /* struct tlb_content_hash */
	apr_hash_t *accounts_by_key;   /* SHA-256 of the key -> struct tlb_client_account */
	apr_hash_t *accounts_by_content;
	apr_hash_t *services_by_name;
	struct tlb_left_out_entry left_out[TLB_LEFT_OUT_KEPT]; /* the first ones */
	int left_out_count;				       /* of all */
};

/* Returns an empty table with one reference, or NULL when out of memory. */
struct tlb_routing *tlb_routing_new(void);
struct tlb_routing *tlb_routing_acquire(struct tlb_routing *r);
/* Drops a reference; the last one frees the table. NULL is allowed. */
void tlb_routing_release(struct tlb_routing *r);

/* Allocates a row for the caller to fill and then add. */
struct tlb_service_info *tlb_routing_new_service(struct tlb_routing *r);
/* Adds a copy of a route, whose strings and targets are borrowed. Of two routes with the same host
 * and prefix the first one is used. Returns false for a route without a target or with a prefix
 * that is not valid, and without memory. */
bool tlb_routing_add_route(struct tlb_routing *r, const struct tlb_forward_route *route);
/* Whether a prefix begins and ends with "/". */
bool tlb_routing_prefix_valid(const char *prefix);
/* Notes an entry that can't be used. name: "" when it has none. */
void tlb_routing_leave_out(struct tlb_routing *r, const char *list, int index, const char *name,
			   const char *reason);
/* Adds the route with that content from another table. Returns false when the table has none. */
bool tlb_routing_share_route(struct tlb_routing *r, const struct tlb_routing *from,
			     const struct tlb_content_hash *content);
/* The hash of the text of a route or an account; comparable within one process. */
struct tlb_content_hash tlb_routing_hash_content(const char *text, size_t len);
/* Allocates an account with that name, for the caller to fill, with room for that many keys; NULL
 * without memory. */
struct tlb_client_account *tlb_client_account_new(const char *name, size_t key_count);
/* Adds an API key, given in plain text, for which there is room; only its hash is stored. */
void tlb_client_account_add_key(struct tlb_client_account *a, const char *key);
/* Takes an account over. Returns false without memory; the account is freed then. */
bool tlb_routing_add_account(struct tlb_routing *r, struct tlb_client_account *a);
/* Adds the account with that content from another table. Returns false when the table has none. */
bool tlb_routing_share_account(struct tlb_routing *r, const struct tlb_routing *from,
			       const struct tlb_content_hash *content);
void tlb_routing_add_service(struct tlb_routing *r, struct tlb_service_info *s);
/* Remove what was added to a table that is not in force yet. */
void tlb_routing_clear_routes(struct tlb_routing *r);
void tlb_routing_clear_accounts(struct tlb_routing *r);
void tlb_routing_clear_services(struct tlb_routing *r);

/* Returns the host's route with the longest matching path prefix, or NULL. The port and the case of
 * host are ignored. */
const struct tlb_forward_route *tlb_routing_find_route(const struct tlb_routing *r,
						       const char *host, const char *path);
/* Returns the account of the key with this SHA-256 hash, or NULL. */
const struct tlb_client_account *tlb_routing_find_account(const struct tlb_routing *r,
							  const unsigned char *key_hash);
const struct tlb_service_info *tlb_routing_find_service(const struct tlb_routing *r,
							const char *name);
/* Picks the service for one request at random, in proportion to the weights. */
const char *tlb_routing_pick_service(const struct tlb_forward_route *route,
				     struct tlb_random *random);

#endif
