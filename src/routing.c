#include "routing.h"

#include <apr_strings.h>
#include <ctype.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

struct tlb_routing *tlb_routing_new(void)
{
	struct tlb_routing *r = calloc(1, sizeof(*r));

	if (!r)
		return NULL;
	if (apr_pool_create(&r->pool, NULL) != APR_SUCCESS) {
		free(r);
		return NULL;
	}
	r->references = 1;
	APR_RING_INIT(&r->routes, tlb_forward_route, link);
	APR_RING_INIT(&r->accounts, tlb_client_account, link);
	APR_RING_INIT(&r->services, tlb_service_info, link);
	r->routes_by_host = apr_hash_make(r->pool);
	r->accounts_by_key = apr_hash_make(r->pool);
	r->services_by_name = apr_hash_make(r->pool);
	return r;
}

struct tlb_routing *tlb_routing_acquire(struct tlb_routing *r)
{
	r->references++;
	return r;
}

void tlb_routing_release(struct tlb_routing *r)
{
	if (!r || --r->references > 0)
		return;
	apr_pool_destroy(r->pool);
	free(r);
}

struct tlb_forward_route *tlb_routing_new_route(struct tlb_routing *r)
{
	struct tlb_forward_route *route = apr_pcalloc(r->pool, sizeof(*route));

	APR_RING_ELEM_INIT(route, link);
	return route;
}

struct tlb_client_account *tlb_routing_new_account(struct tlb_routing *r)
{
	struct tlb_client_account *a = apr_pcalloc(r->pool, sizeof(*a));

	APR_RING_ELEM_INIT(a, link);
	a->priority = -1;
	return a;
}

struct tlb_service_info *tlb_routing_new_service(struct tlb_routing *r)
{
	struct tlb_service_info *s = apr_pcalloc(r->pool, sizeof(*s));

	APR_RING_ELEM_INIT(s, link);
	return s;
}

/* Host names are case-insensitive (RFC 9110, 4.2.3). Drops the port and truncates to size. */
static size_t normalize_host(const char *host, char *out, size_t size)
{
	size_t n = 0;

	while (host[n] && host[n] != ':' && n + 1 < size) {
		out[n] = (char)tolower((unsigned char)host[n]);
		n++;
	}
	out[n] = '\0';
	return n;
}

/* The routes of a host, longest prefix first. */
static struct tlb_forward_route_ring *routes_of_host(const struct tlb_routing *r, const char *host)
{
	char name[TLB_NAME_LEN];
	size_t len = normalize_host(host, name, sizeof(name));

	return apr_hash_get(r->routes_by_host, name, (apr_ssize_t)len);
}

static struct tlb_forward_route_ring *get_or_add_routes(struct tlb_routing *r, const char *host)
{
	struct tlb_forward_route_ring *ring = routes_of_host(r, host);
	char name[TLB_NAME_LEN];
	size_t len;

	if (ring)
		return ring;
	ring = apr_palloc(r->pool, sizeof(*ring));
	APR_RING_INIT(ring, tlb_forward_route, link);
	len = normalize_host(host, name, sizeof(name));
	apr_hash_set(r->routes_by_host, apr_pstrmemdup(r->pool, name, len), (apr_ssize_t)len, ring);
	return ring;
}

bool tlb_routing_add_route(struct tlb_routing *r, struct tlb_forward_route *route)
{
	struct tlb_forward_route_ring *ring;
	struct tlb_forward_route *other;
	size_t len = strlen(route->prefix);

	if (route->target_count == 0 || len == 0 || route->prefix[0] != '/')
		return false;
	ring = get_or_add_routes(r, route->host);
	APR_RING_FOREACH (other, ring, tlb_forward_route, link) {
		if (strlen(other->prefix) < len)
			break;
	}
	if (other == APR_RING_SENTINEL(ring, tlb_forward_route, link))
		APR_RING_INSERT_TAIL(ring, route, tlb_forward_route, link);
	else
		APR_RING_INSERT_BEFORE(other, route, link);
	return true;
}

void tlb_routing_add_account(struct tlb_routing *r, struct tlb_client_account *a)
{
	APR_RING_INSERT_TAIL(&r->accounts, a, tlb_client_account, link);
}

void tlb_routing_add_key(struct tlb_routing *r, struct tlb_client_account *a, const char *key)
{
	unsigned char *hash = apr_palloc(r->pool, TLB_KEY_HASH_LEN);

	crypto_hash_sha256(hash, (const unsigned char *)key, strlen(key));
	apr_hash_set(r->accounts_by_key, hash, TLB_KEY_HASH_LEN, a);
}

void tlb_routing_add_service(struct tlb_routing *r, struct tlb_service_info *s)
{
	APR_RING_INSERT_TAIL(&r->services, s, tlb_service_info, link);
	apr_hash_set(r->services_by_name, s->name, APR_HASH_KEY_STRING, s);
}

const struct tlb_forward_route *tlb_routing_find_route(const struct tlb_routing *r,
						       const char *host, const char *path)
{
	struct tlb_forward_route_ring *ring = routes_of_host(r, host);
	struct tlb_forward_route *route;

	if (!ring)
		return NULL;
	APR_RING_FOREACH (route, ring, tlb_forward_route, link) {
		if (strncmp(route->prefix, path, strlen(route->prefix)) == 0)
			return route;
	}
	return NULL;
}

const struct tlb_client_account *tlb_routing_find_account(const struct tlb_routing *r,
							  const unsigned char *key_hash)
{
	return apr_hash_get(r->accounts_by_key, key_hash, TLB_KEY_HASH_LEN);
}

const struct tlb_service_info *tlb_routing_find_service(const struct tlb_routing *r,
							const char *name)
{
	return apr_hash_get(r->services_by_name, name, APR_HASH_KEY_STRING);
}

const char *tlb_routing_pick_service(const struct tlb_forward_route *route,
				     struct tlb_random *random)
{
	int sum = 0;
	int remaining;
	int i;

	for (i = 0; i < route->target_count; i++)
		sum += route->target[i].weight;
	if (sum <= 0)
		return route->target[0].service;
	remaining = tlb_random_below(random, sum);
	for (i = 0; i < route->target_count - 1; i++) {
		remaining -= route->target[i].weight;
		if (remaining < 0)
			break;
	}
	return route->target[i].service;
}
