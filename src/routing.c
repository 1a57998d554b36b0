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
	r->prefix_len_count = 0;
	r->longest_host = 0;
}

void tlb_routing_clear_accounts(struct tlb_routing *r)
{
	apr_hash_clear(r->accounts_by_key);
	apr_hash_clear(r->accounts_by_content);
	while (r->account_count > 0)
		release_account(r->accounts[--r->account_count]);
	r->keys_required = false;
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
	free(r->prefix_lens);
	free(r->key);
	apr_pool_destroy(r->pool);
	free(r);
}

struct tlb_service_info *tlb_routing_new_service(struct tlb_routing *r)
{
	struct tlb_service_info *s = apr_pcalloc(r->pool, sizeof(*s));

	APR_RING_ELEM_INIT(s, link);
	return s;
}

/* Host names are case-insensitive (RFC 9110, 4.2.3). Copies one without its port; out has room for
 * it and a NUL. Returns its length. */
static size_t normalize_host(const char *host, char *out)
{
	size_t n = 0;

	for (; host[n] && host[n] != ':'; n++)
		out[n] = (char)tolower((unsigned char)host[n]);
	out[n] = '\0';
	return n;
}

static size_t host_len(const char *host)
{
	return strcspn(host, ":");
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

/* Copies a route with its targets and strings into one block. The host is followed directly by the
 * prefix: together they are the route's key, in which a NUL separates them. */
static struct tlb_forward_route *copy_route(const struct tlb_forward_route *from)
{
	size_t targets_size = (size_t)from->target_count * sizeof(*from->target);
	size_t size = sizeof(*from) + targets_size + strlen(from->name) + 1 + host_len(from->host) +
		      1 + strlen(from->prefix) + 1;
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
	r->target = (struct tlb_split_target *)(r + 1);
	memcpy(r->target, from->target, targets_size);
	at = (char *)r->target + targets_size;
	r->name = copy_text(&at, from->name);
	r->host = at;
	at += normalize_host(from->host, at) + 1;
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

/* Makes room in the key for look-ups. */
static bool reserve_key(struct tlb_routing *r, size_t size)
{
	char *key;

	if (size <= r->key_size)
		return true;
	key = realloc(r->key, size);
	if (!key)
		return false;
	r->key = key;
	r->key_size = size;
	return true;
}

/* Adds a length to the sorted lengths of prefixes. */
static bool add_prefix_len(struct tlb_routing *r, size_t len)
{
	int low = 0;
	int high = r->prefix_len_count;
	int middle;
	size_t *lens;

	while (low < high) {
		middle = (low + high) / 2;
		if (r->prefix_lens[middle] < len)
			low = middle + 1;
		else
			high = middle;
	}
	if (low < r->prefix_len_count && r->prefix_lens[low] == len)
		return true;
	lens = realloc(r->prefix_lens, (size_t)(r->prefix_len_count + 1) * sizeof(*lens));
	if (!lens)
		return false;
	memmove(lens + low + 1, lens + low, (size_t)(r->prefix_len_count - low) * sizeof(*lens));
	lens[low] = len;
	r->prefix_lens = lens;
	r->prefix_len_count++;
	return true;
}

/* Adds a reference to the route. Returns false without memory. */
static bool insert_route(struct tlb_routing *r, struct tlb_forward_route *route)
{
	size_t prefix_len = strlen(route->prefix);
	size_t longest = strlen(route->host);
	apr_ssize_t key_len = (apr_ssize_t)((size_t)(route->prefix - route->host) + prefix_len);

	if (r->longest_host > longest)
		longest = r->longest_host;
	if (!reserve_route(r) || !add_prefix_len(r, prefix_len) ||
	    !reserve_key(r, longest + 1 + r->prefix_lens[r->prefix_len_count - 1]))
		return false;
	r->longest_host = longest;
	route->references++;
	r->routes[r->route_count++] = route;
	apr_hash_set(r->routes_by_content, &route->content, sizeof(route->content), route);
	if (!apr_hash_get(r->routes_by_key, route->host, key_len))
		apr_hash_set(r->routes_by_key, route->host, key_len, route);
	return true;
}

bool tlb_routing_prefix_valid(const char *prefix)
{
	return prefix[0] == '/' && prefix[strlen(prefix) - 1] == '/';
}

bool tlb_routing_add_route(struct tlb_routing *r, const struct tlb_forward_route *route)
{
	struct tlb_forward_route *copy;

	if (route->target_count == 0 || !tlb_routing_prefix_valid(route->prefix))
		return false;
	copy = copy_route(route);
	if (!copy)
		return false;
	if (insert_route(r, copy))
		return true;
	free(copy);
	return false;
}

bool tlb_routing_share_route(struct tlb_routing *r, const struct tlb_routing *from,
			     const struct tlb_content_hash *content)
{
	struct tlb_forward_route *route =
		apr_hash_get(from->routes_by_content, content, sizeof(*content));

	return route && insert_route(r, route);
}

const struct tlb_forward_route *tlb_routing_find_route(const struct tlb_routing *r,
						       const char *host, const char *path)
{
	const struct tlb_forward_route *route;
	size_t host_size = host_len(host) + 1;
	size_t path_len;
	size_t len;
	int i;

	if (path[0] != '/' || r->route_count == 0 || host_size > r->longest_host + 1)
		return NULL;
	path_len = strnlen(path, r->prefix_lens[r->prefix_len_count - 1]);
	normalize_host(host, r->key);
	memcpy(r->key + host_size, path, path_len);
	for (i = r->prefix_len_count - 1; i >= 0; i--) {
		len = r->prefix_lens[i];
		if (len > path_len || path[len - 1] != '/')
			continue;
		route = apr_hash_get(r->routes_by_key, r->key, (apr_ssize_t)(host_size + len));
		if (route)
			return route;
	}
	return NULL;
}

void tlb_routing_leave_out(struct tlb_routing *r, const char *list, int index, const char *name,
			   const char *reason)
{
	struct tlb_left_out_entry *e;

	if (r->left_out_count < TLB_LEFT_OUT_KEPT) {
		e = &r->left_out[r->left_out_count];
		*e = (struct tlb_left_out_entry){.list = list, .index = index, .reason = reason};
		tlb_label_set(e->name, name);
	}
	r->left_out_count++;
}

/* --- accounts and services --- */

/* The name follows the keys in the same block. */
struct tlb_client_account *tlb_client_account_new(const char *name, size_t key_count)
{
	size_t keys_size = key_count * sizeof(((struct tlb_client_account *)0)->key_hashes[0]);
	struct tlb_client_account *a = calloc(1, sizeof(*a) + keys_size + strlen(name) + 1);

	if (!a)
		return NULL;
	a->priority = -1;
	a->full_name = strcpy((char *)a->key_hashes + keys_size, name);
	tlb_label_set(a->name, name);
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
	r->keys_required = true;
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
