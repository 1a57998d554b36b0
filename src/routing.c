#include "routing.h"

#include <apr_strings.h>
#include <ctype.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

enum { INITIAL_CAPACITY = 64 };

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
	APR_RING_INIT(&r->services, tlb_service_info, link);
	r->routes_by_key = apr_hash_make(r->pool);
	r->routes_by_content = apr_hash_make(r->pool);
	r->accounts_by_key = apr_hash_make(r->pool);
	r->accounts_by_content = apr_hash_make(r->pool);
	r->services_by_name = apr_hash_make(r->pool);
	return r;
}

struct tlb_routing *tlb_routing_acquire(struct tlb_routing *r)
{
	r->references++;
	return r;
}

static void release_route(struct tlb_forward_route *route)
{
	if (--route->references == 0)
		free(route);
}

static void release_account(struct tlb_client_account *a)
{
	if (--a->references == 0)
		free(a);
}

void tlb_routing_clear_routes(struct tlb_routing *r)
{
	apr_hash_clear(r->routes_by_key);
	apr_hash_clear(r->routes_by_content);
	while (r->route_count > 0)
		release_route(r->routes[--r->route_count]);
	r->longest_prefix = 0;
}

void tlb_routing_clear_accounts(struct tlb_routing *r)
{
	apr_hash_clear(r->accounts_by_key);
	apr_hash_clear(r->accounts_by_content);
	while (r->account_count > 0)
		release_account(r->accounts[--r->account_count]);
}

void tlb_routing_clear_services(struct tlb_routing *r)
{
	APR_RING_INIT(&r->services, tlb_service_info, link);
	apr_hash_clear(r->services_by_name);
}

void tlb_routing_release(struct tlb_routing *r)
{
	int i;

	if (!r || --r->references > 0)
		return;
	for (i = 0; i < r->route_count; i++)
		release_route(r->routes[i]);
	free(r->routes);
	for (i = 0; i < r->account_count; i++)
		release_account(r->accounts[i]);
	free(r->accounts);
	apr_pool_destroy(r->pool);
	free(r);
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

/* Returns the array of pointers with room for another one, or NULL without memory. */
static void *reserve(void *array, int count, int *capacity)
{
	int new_capacity = *capacity ? 2 * *capacity : INITIAL_CAPACITY;
	void *new_array;

	if (count < *capacity)
		return array;
	new_array = realloc(array, (size_t)new_capacity * sizeof(void *));
	if (new_array)
		*capacity = new_capacity;
	return new_array;
}

/* --- routes --- */

struct tlb_content_hash tlb_routing_hash_content(const char *text, size_t len)
{
	struct tlb_content_hash h;

	crypto_generichash(h.bytes, sizeof(h.bytes), (const unsigned char *)text, len, NULL, 0);
	return h;
}

/* Copies a string to *at, which is moved behind it. */
static const char *copy_text(char **at, const char *text)
{
	size_t size = strlen(text) + 1;
	char *copy = memcpy(*at, text, size);

	*at += size;
	return copy;
}

/* Copies a route and its strings into one block. The host is followed directly by the prefix:
 * together they are the route's key, in which a NUL separates them. */
static struct tlb_forward_route *copy_route(const struct tlb_forward_route *from)
{
	char host[TLB_NAME_LEN];
	size_t host_len = normalize_host(from->host, host, sizeof(host));
	size_t size =
		sizeof(*from) + strlen(from->name) + 1 + host_len + 1 + strlen(from->prefix) + 1;
	struct tlb_forward_route *r;
	char *at;
	int i;

	for (i = 0; i < from->target_count; i++)
		size += strlen(from->target[i].service) + 1;
	r = malloc(size);
	if (!r)
		return NULL;
	*r = *from;
	r->references = 0;
	at = (char *)(r + 1);
	r->name = copy_text(&at, from->name);
	r->host = copy_text(&at, host);
	r->prefix = copy_text(&at, from->prefix);
	for (i = 0; i < from->target_count; i++)
		r->target[i].service = copy_text(&at, from->target[i].service);
	return r;
}

static bool reserve_route(struct tlb_routing *r)
{
	void *routes = reserve(r->routes, r->route_count, &r->route_capacity);

	if (routes)
		r->routes = routes;
	return routes != NULL;
}

/* Adds a reference to the route, for which room was reserved. */
static void insert_route(struct tlb_routing *r, struct tlb_forward_route *route)
{
	size_t prefix_len = strlen(route->prefix);
	apr_ssize_t key_len = (apr_ssize_t)((size_t)(route->prefix - route->host) + prefix_len);

	route->references++;
	r->routes[r->route_count++] = route;
	apr_hash_set(r->routes_by_content, &route->content, sizeof(route->content), route);
	if (!apr_hash_get(r->routes_by_key, route->host, key_len))
		apr_hash_set(r->routes_by_key, route->host, key_len, route);
	if (prefix_len > r->longest_prefix)
		r->longest_prefix = prefix_len;
}

bool tlb_routing_add_route(struct tlb_routing *r, const struct tlb_forward_route *route)
{
	struct tlb_forward_route *copy;
	size_t len = strlen(route->prefix);

	if (route->target_count == 0 || len == 0 || len >= TLB_NAME_LEN ||
	    route->prefix[0] != '/' || route->prefix[len - 1] != '/')
		return false;
	copy = reserve_route(r) ? copy_route(route) : NULL;
	if (!copy)
		return false;
	insert_route(r, copy);
	return true;
}

bool tlb_routing_share_route(struct tlb_routing *r, const struct tlb_routing *from,
			     const struct tlb_content_hash *content)
{
	struct tlb_forward_route *route =
		apr_hash_get(from->routes_by_content, content, sizeof(*content));

	if (!route || !reserve_route(r))
		return false;
	insert_route(r, route);
	return true;
}

const struct tlb_forward_route *tlb_routing_find_route(const struct tlb_routing *r,
						       const char *host, const char *path)
{
	char key[2 * TLB_NAME_LEN];
	size_t host_size = normalize_host(host, key, TLB_NAME_LEN) + 1;
	size_t len = strnlen(path, r->longest_prefix);
	const struct tlb_forward_route *route;

	if (path[0] != '/' || strcspn(host, ":") >= TLB_NAME_LEN)
		return NULL;
	memcpy(key + host_size, path, len);
	for (; len > 0; len--) {
		if (path[len - 1] != '/')
			continue;
		route = apr_hash_get(r->routes_by_key, key, (apr_ssize_t)(host_size + len));
		if (route)
			return route;
	}
	return NULL;
}

/* --- accounts and services --- */

struct tlb_client_account *tlb_client_account_new(size_t key_count)
{
	struct tlb_client_account *a = calloc(1, sizeof(*a) + key_count * sizeof(a->key_hashes[0]));

	if (a)
		a->priority = -1;
	return a;
}

void tlb_client_account_add_key(struct tlb_client_account *a, const char *key)
{
	crypto_hash_sha256(a->key_hashes[a->key_count++], (const unsigned char *)key, strlen(key));
}

/* Adds a reference to the account. Returns false without memory. */
static bool insert_account(struct tlb_routing *r, struct tlb_client_account *a)
{
	void *accounts = reserve(r->accounts, r->account_count, &r->account_capacity);
	int i;

	if (!accounts)
		return false;
	r->accounts = accounts;
	a->references++;
	r->accounts[r->account_count++] = a;
	apr_hash_set(r->accounts_by_content, &a->content, sizeof(a->content), a);
	for (i = 0; i < a->key_count; i++)
		apr_hash_set(r->accounts_by_key, a->key_hashes[i], TLB_KEY_HASH_LEN, a);
	return true;
}

bool tlb_routing_add_account(struct tlb_routing *r, struct tlb_client_account *a)
{
	bool ok = insert_account(r, a);

	if (!ok)
		free(a);
	return ok;
}

bool tlb_routing_share_account(struct tlb_routing *r, const struct tlb_routing *from,
			       const struct tlb_content_hash *content)
{
	struct tlb_client_account *a =
		apr_hash_get(from->accounts_by_content, content, sizeof(*content));

	return a && insert_account(r, a);
}

void tlb_routing_add_service(struct tlb_routing *r, struct tlb_service_info *s)
{
	APR_RING_INSERT_TAIL(&r->services, s, tlb_service_info, link);
	apr_hash_set(r->services_by_name, s->name, APR_HASH_KEY_STRING, s);
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
