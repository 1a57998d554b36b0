/*
 * The routing table: routes, services, client accounts and limits of one configuration version. It
 * is built whole, checked, and then replaces the one in force; it is never changed in place.
 */
#ifndef TLB_ROUTING_H
#define TLB_ROUTING_H

#include <apr_hash.h>
#include <apr_pools.h>
#include <apr_ring.h>
#include <stdbool.h>
#include <stdint.h>

#include "random.h"
#include "table.h"

enum { TLB_NAME_LEN = 128, TLB_ROUTING_SPLITS = 8 };

/* What the requests of a route are, and how often they may run. */
enum tlb_work {
	TLB_WORK_IDEMPOTENT,
	TLB_WORK_NON_IDEMPOTENT,
	TLB_WORK_STREAM, /* runs at most once unless the route is resumable */
};

/* One share of a route's requests. */
struct tlb_split_target {
	char service[TLB_NAME_LEN];
	int weight;
};

struct tlb_forward_route {
	APR_RING_ENTRY(tlb_forward_route) link;
	char name[TLB_NAME_LEN];
	char host[TLB_NAME_LEN];
	char prefix[TLB_NAME_LEN]; /* begins and ends with "/" */
	enum tlb_work work;
	int timeout_ms;	       /* longest time that a request may be kept */
	int target_latency_ms; /* time to the response or the first event */
	int gap_target_ms;     /* longest pause between events */
	int priority;	       /* 0 is the most urgent */
	int max_attempts;      /* endpoints on which one request may run */
	bool open;	       /* needs no key */
	bool generates;	       /* carries model requests */
	bool resumable;
	int target_count;
	struct tlb_split_target target[TLB_ROUTING_SPLITS];
};

/* A client account as the configuration states it. */
struct tlb_client_account {
	APR_RING_ENTRY(tlb_client_account) link;
	char name[TLB_NAME_LEN];
	int priority;	    /* -1: the route's */
	int64_t rate;	    /* cost per second; 0: no limit */
	int64_t burst;	    /* cost */
	bool counts_tokens; /* cost in tokens; else every request costs 1 */
	int64_t plain_cost; /* of a request that states no tokens */
};

struct tlb_service_info {
	APR_RING_ENTRY(tlb_service_info) link;
	char name[TLB_NAME_LEN];
	bool is_engine;	     /* has prefill and decode endpoints */
	int max_connections; /* of one endpoint, from all VMs together */
	int slots;	     /* requests that an engine runs at once */
	int64_t kv_tokens;   /* memory of an engine */
	int kv_bytes_per_token;
	int link_mbps;
	int role_switch_ms; /* time without work when its role is changed; 0: it can't be */
	int hold_ms;	    /* longest reservation at a decode endpoint; 0: it takes none */
	int handle_life_ms; /* how long a prefilled KV cache is kept */
};

/* Bounds on what callers may send. */
struct tlb_caller_limits {
	int64_t max_header_bytes;
	int64_t max_body_bytes;
	int header_timeout_ms;
	int idle_timeout_ms;
};

APR_RING_HEAD(tlb_forward_route_ring, tlb_forward_route);
APR_RING_HEAD(tlb_client_account_ring, tlb_client_account);
APR_RING_HEAD(tlb_service_info_ring, tlb_service_info);

/* Owns its rows, which live in pool. Reference-counted: requests keep the table that they began
 * with. */
struct tlb_routing {
	int references;
	int64_t version; /* 0: none yet */
	struct tlb_caller_limits limits;
	struct tlb_forward_route_ring routes;
	struct tlb_client_account_ring accounts;
	struct tlb_service_info_ring services;
	apr_pool_t *pool;
	apr_hash_t *routes_by_host;  /* host -> struct tlb_forward_route_ring */
	apr_hash_t *accounts_by_key; /* SHA-256 of the key -> struct tlb_client_account */
	apr_hash_t *services_by_name;
};

/* An empty table with one reference, or NULL without memory. */
struct tlb_routing *tlb_routing_new(void);
struct tlb_routing *tlb_routing_hold(struct tlb_routing *r);
/* Drops a reference; the last one frees the table. NULL is allowed. */
void tlb_routing_release(struct tlb_routing *r);

/* Rows for the caller to fill, then to add. */
struct tlb_forward_route *tlb_routing_new_route(struct tlb_routing *r);
struct tlb_client_account *tlb_routing_new_account(struct tlb_routing *r);
struct tlb_service_info *tlb_routing_new_service(struct tlb_routing *r);
/* Returns false for a route without a target or with a prefix that no path can have. */
bool tlb_routing_add_route(struct tlb_routing *r, struct tlb_forward_route *route);
void tlb_routing_add_account(struct tlb_routing *r, struct tlb_client_account *a);
/* Gives an account a key, in the clear; only its hash is kept. */
void tlb_routing_add_key(struct tlb_routing *r, struct tlb_client_account *a, const char *key);
void tlb_routing_add_service(struct tlb_routing *r, struct tlb_service_info *s);

/* The route of the host with the longest prefix that begins the path, or NULL. A port behind the
 * host is ignored, and so is the case of the host. */
const struct tlb_forward_route *tlb_routing_route(const struct tlb_routing *r, const char *host,
						  const char *path);
/* The account that holds the key with this SHA-256 hash, or NULL. */
const struct tlb_client_account *tlb_routing_account(const struct tlb_routing *r,
						     const unsigned char *key_hash);
const struct tlb_service_info *tlb_routing_service(const struct tlb_routing *r, const char *name);
/* The service for one request, drawn by weight. */
const char *tlb_routing_draw(const struct tlb_forward_route *route, struct tlb_random *random);

#endif
