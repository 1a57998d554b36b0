#include "table.h"

#include <apr_general.h>
#include <apr_strings.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "row_schema.h"

static const char *const kind_names[TLB_ROW_KIND_COUNT] = {"account",  "key",	"model",
							   "endpoint", "route", "operator"};

bool tlb_table_id_valid(const char *id)
{
	size_t len = strlen(id);

	return len > 0 && len < TLB_ID_LEN && strchr("._-", id[0]) == NULL &&
	       strspn(id, "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789._-") ==
		       len;
}

/* Aborts: without its table the daemon can't check whether a request is allowed. */
static int abort_on_no_memory(int rv)
{
	abort();
}

static apr_pool_t *make_pool(apr_pool_t *parent)
{
	apr_pool_t *pool;

	if (apr_pool_create_ex(&pool, parent, abort_on_no_memory, NULL) != APR_SUCCESS)
		abort();
	return pool;
}

void tlb_table_init(struct tlb_table *t)
{
	int i;

	memset(t, 0, sizeof(*t));
	/* APR counts its initialisations, so repeated calls are safe. */
	apr_initialize();
	t->pool = make_pool(NULL);
	APR_RING_INIT(&t->accounts, tlb_account, link);
	APR_RING_INIT(&t->keys, tlb_key, link);
	APR_RING_INIT(&t->models, tlb_model, link);
	APR_RING_INIT(&t->endpoints, tlb_endpoint, link);
	APR_RING_INIT(&t->routes, tlb_route, link);
	APR_RING_INIT(&t->operators, tlb_operator, link);
	for (i = 0; i < TLB_ROW_KIND_COUNT; i++)
		t->by_id[i] = apr_hash_make(t->pool);
	t->keys_by_hash = apr_hash_make(t->pool);
	t->operators_by_hash = apr_hash_make(t->pool);
	randombytes_buf(t->index_secret, sizeof(t->index_secret));
}

void tlb_table_finish(struct tlb_table *t)
{
	if (t->pool)
		apr_pool_destroy(t->pool);
	memset(t, 0, sizeof(*t));
}

/* --- rows --- */

static void make_digest(const struct tlb_table *t, const unsigned char *hash, unsigned char *out)
{
	_Static_assert(TLB_INDEX_LEN == crypto_shorthash_siphashx24_BYTES, "digest length");
	_Static_assert(TLB_INDEX_LEN == crypto_shorthash_siphashx24_KEYBYTES, "secret length");
	crypto_shorthash_siphashx24(out, hash, TLB_KEY_HASH_LEN, t->index_secret);
}

static void index_key(struct tlb_table *t, struct tlb_key *k)
{
	make_digest(t, k->hash, k->digest);
	apr_hash_set(t->keys_by_hash, k->digest, TLB_INDEX_LEN, k);
}

static void index_operator(struct tlb_table *t, struct tlb_operator *o)
{
	make_digest(t, o->hash, o->digest);
	apr_hash_set(t->operators_by_hash, o->digest, TLB_INDEX_LEN, o);
}

/* Removes a row's entry from an index, unless another row with the same hash has replaced it. */
static void remove_digest(apr_hash_t *index, const unsigned char *digest, const void *row)
{
	if (apr_hash_get(index, digest, TLB_INDEX_LEN) == row)
		apr_hash_set(index, digest, TLB_INDEX_LEN, NULL);
}

#define APPEND(ring, type, row_ptr)                                                                \
	do {                                                                                       \
		struct type *typed = row_ptr;                                                      \
		APR_RING_ELEM_INIT(typed, link);                                                   \
		APR_RING_INSERT_TAIL(ring, typed, type, link);                                     \
	} while (0)

static void insert(struct tlb_table *t, enum tlb_row_kind kind, void *row)
{
	apr_hash_set(t->by_id[kind], tlb_row_id(row), APR_HASH_KEY_STRING, row);
	switch (kind) {
	case TLB_ROW_ACCOUNT:
		APPEND(&t->accounts, tlb_account, row);
		break;
	case TLB_ROW_KEY:
		APPEND(&t->keys, tlb_key, row);
		index_key(t, row);
		break;
	case TLB_ROW_MODEL:
		APPEND(&t->models, tlb_model, row);
		break;
	case TLB_ROW_ENDPOINT:
		APPEND(&t->endpoints, tlb_endpoint, row);
		break;
	case TLB_ROW_ROUTE:
		APPEND(&t->routes, tlb_route, row);
		break;
	case TLB_ROW_OPERATOR:
		APPEND(&t->operators, tlb_operator, row);
		index_operator(t, row);
		break;
	case TLB_ROW_KIND_COUNT:
		break;
	}
}

#define UNLINK(type, row_ptr)                                                                      \
	do {                                                                                       \
		struct type *typed = row_ptr;                                                      \
		APR_RING_REMOVE(typed, link);                                                      \
	} while (0)

static void unlink_key(struct tlb_table *t, struct tlb_key *k)
{
	remove_digest(t->keys_by_hash, k->digest, k);
	APR_RING_REMOVE(k, link);
}

static void unlink_operator(struct tlb_table *t, struct tlb_operator *o)
{
	remove_digest(t->operators_by_hash, o->digest, o);
	APR_RING_REMOVE(o, link);
}

bool tlb_table_remove(struct tlb_table *t, enum tlb_row_kind kind, const char *id)
{
	void *row = apr_hash_get(t->by_id[kind], id, APR_HASH_KEY_STRING);

	if (!row)
		return false;
	apr_hash_set(t->by_id[kind], id, APR_HASH_KEY_STRING, NULL);
	switch (kind) {
	case TLB_ROW_ACCOUNT:
		UNLINK(tlb_account, row);
		break;
	case TLB_ROW_KEY:
		unlink_key(t, row);
		break;
	case TLB_ROW_MODEL:
		UNLINK(tlb_model, row);
		break;
	case TLB_ROW_ENDPOINT:
		UNLINK(tlb_endpoint, row);
		break;
	case TLB_ROW_ROUTE:
		UNLINK(tlb_route, row);
		break;
	case TLB_ROW_OPERATOR:
		unlink_operator(t, row);
		break;
	case TLB_ROW_KIND_COUNT:
		break;
	}
	return true;
}

bool tlb_table_put(struct tlb_table *t, enum tlb_row_kind kind, const char *id, const json_t *value,
		   bool strict, struct tlb_faults *f)
{
	void *row = apr_pcalloc(t->pool, tlb_row_size(kind));

	if (!tlb_row_read(kind, id, value, strict, row, f))
		return false;
	tlb_table_remove(t, kind, id);
	insert(t, kind, row);
	return true;
}

static enum tlb_code add_checked(struct tlb_table *t, enum tlb_row_kind kind, const char *id,
				 const json_t *value, struct tlb_faults *f, struct tlb_error *err)
{
	if (apr_hash_get(t->by_id[kind], id, APR_HASH_KEY_STRING))
		return tlb_error_set(err, TLB_BAD_REQUEST, TLB_OUTCOME_NOT_RUN, "check", "",
				     "row %s/%s: the id is used twice", kind_names[kind], id);
	if (!tlb_table_put(t, kind, id, value, true, f))
		return tlb_error_set(err, TLB_BAD_REQUEST, TLB_OUTCOME_NOT_RUN, "check", "", "%s",
				     tlb_faults_first(f));
	return TLB_OK;
}

enum tlb_code tlb_table_add(struct tlb_table *t, enum tlb_row_kind kind, const char *id,
			    const json_t *value, struct tlb_error *err)
{
	struct tlb_faults f;
	enum tlb_code code;

	tlb_faults_init(&f);
	code = add_checked(t, kind, id, value, &f, err);
	tlb_faults_finish(&f);
	return code;
}

static void copy_kind(struct tlb_table *t, const struct tlb_table *from, enum tlb_row_kind kind)
{
	apr_hash_index_t *i = apr_hash_first(t->pool, from->by_id[kind]);

	for (; i; i = apr_hash_next(i))
		insert(t, kind, apr_pmemdup(t->pool, apr_hash_this_val(i), tlb_row_size(kind)));
}

void tlb_table_copy(struct tlb_table *t, const struct tlb_table *from)
{
	int kind;

	t->version = from->version;
	for (kind = 0; kind < TLB_ROW_KIND_COUNT; kind++)
		copy_kind(t, from, kind);
}

/* --- validation across rows --- */

/* State of a validation across rows. */
struct checker {
	struct tlb_table *t;
	struct tlb_faults *faults;
	size_t faults_before;
};

enum { ROW_NAME_LEN = TLB_ID_LEN + 16 };

static void row_name(enum tlb_row_kind kind, const char *id, char *out)
{
	snprintf(out, ROW_NAME_LEN, "%s/%s", kind_names[kind], id);
}

static void add_cross_row_fault(struct checker *c, enum tlb_row_kind kind, const char *id,
				const char *column, const char *value, const char *allowed)
{
	char name[ROW_NAME_LEN];
	json_t *v = json_string(value);

	row_name(kind, id, name);
	tlb_faults_add(c->faults, name, column, v, allowed);
	json_decref(v);
}

static void add_duplicate_fault(struct checker *c, enum tlb_row_kind kind, const char *id,
				const char *column, const char *value, enum tlb_row_kind other_kind,
				const char *other)
{
	char name[ROW_NAME_LEN];
	char allowed[ROW_NAME_LEN + 64];

	row_name(other_kind, other, name);
	snprintf(allowed, sizeof(allowed), "a value that row %s does not have", name);
	add_cross_row_fault(c, kind, id, column, value, allowed);
}

static void check_key(struct checker *c, struct tlb_key *k)
{
	struct tlb_key *other = tlb_table_find_key(c->t, k->hash);

	if (!tlb_table_find_account(c->t, k->account))
		add_cross_row_fault(c, TLB_ROW_KEY, k->id, "account", k->account,
				    "the id of an account in the table");
	if (other)
		add_duplicate_fault(c, TLB_ROW_KEY, k->id, "hash", "(hidden)", TLB_ROW_KEY,
				    other->id);
	else
		index_key(c->t, k);
}

/* Rebuilds the index: between single changes of rows, two rows can have the same hash, and then the
 * index lacks one of them. */
static void check_keys(struct checker *c)
{
	struct tlb_key *k;

	apr_hash_clear(c->t->keys_by_hash);
	APR_RING_FOREACH (k, &c->t->keys, tlb_key, link) {
		check_key(c, k);
	}
}

static void check_operator(struct checker *c, struct tlb_operator *o)
{
	struct tlb_operator *other = tlb_table_find_operator(c->t, o->hash);
	struct tlb_key *k = tlb_table_find_key(c->t, o->hash);

	if (other)
		add_duplicate_fault(c, TLB_ROW_OPERATOR, o->id, "hash", "(hidden)",
				    TLB_ROW_OPERATOR, other->id);
	else
		index_operator(c->t, o);
	if (k)
		add_duplicate_fault(c, TLB_ROW_OPERATOR, o->id, "hash", "(hidden)", TLB_ROW_KEY,
				    k->id);
}

static void check_operators(struct checker *c)
{
	struct tlb_operator *o;

	apr_hash_clear(c->t->operators_by_hash);
	APR_RING_FOREACH (o, &c->t->operators, tlb_operator, link) {
		check_operator(c, o);
	}
}

static void check_endpoints(struct checker *c, apr_pool_t *pool)
{
	apr_hash_t *by_addr = apr_hash_make(pool);
	struct tlb_endpoint *other;
	struct tlb_endpoint *e;

	APR_RING_FOREACH (e, &c->t->endpoints, tlb_endpoint, link) {
		other = apr_hash_get(by_addr, e->addr, APR_HASH_KEY_STRING);
		if (other)
			add_duplicate_fault(c, TLB_ROW_ENDPOINT, e->id, "addr", e->addr,
					    TLB_ROW_ENDPOINT, other->id);
		else
			apr_hash_set(by_addr, e->addr, APR_HASH_KEY_STRING, e);
	}
}

static bool pool_has(const struct tlb_table *t, const char *pool, enum tlb_role role)
{
	struct tlb_endpoint *e;

	APR_RING_FOREACH (e, &t->endpoints, tlb_endpoint, link) {
		if (e->role == role && e->state != TLB_ENDPOINT_LEAVING &&
		    strcmp(e->pool, pool) == 0)
			return true;
	}
	return false;
}

static void warn_pool(struct checker *c, enum tlb_row_kind kind, const char *id, const char *pool,
		      const char *role)
{
	char name[ROW_NAME_LEN];
	char allowed[80];
	json_t *v = json_string(pool);

	row_name(kind, id, name);
	snprintf(allowed, sizeof(allowed), "a pool with a %s endpoint that is not leaving", role);
	tlb_faults_warn(c->faults, name, "pool", v, allowed);
	json_decref(v);
}

static void check_models(struct checker *c)
{
	struct tlb_model *m;

	APR_RING_FOREACH (m, &c->t->models, tlb_model, link) {
		if (!pool_has(c->t, m->pool, TLB_ROLE_PREFILL))
			warn_pool(c, TLB_ROW_MODEL, m->id, m->pool, "prefill");
		if (!pool_has(c->t, m->pool, TLB_ROLE_DECODE))
			warn_pool(c, TLB_ROW_MODEL, m->id, m->pool, "decode");
	}
}

/* Model requests are dispatched by path before routes are looked up, so a route with such a path
 * would never match. */
static bool is_model_path(const char *path)
{
	return strcmp(path, "/v1/completions") == 0 || strcmp(path, "/v1/chat/completions") == 0;
}

static void check_routes(struct checker *c, apr_pool_t *pool)
{
	apr_hash_t *by_path = apr_hash_make(pool);
	struct tlb_route *other;
	struct tlb_route *r;
	char *path;

	APR_RING_FOREACH (r, &c->t->routes, tlb_route, link) {
		path = apr_pstrcat(pool, r->method, " ", r->path, NULL);
		other = apr_hash_get(by_path, path, APR_HASH_KEY_STRING);
		if (other)
			add_duplicate_fault(c, TLB_ROW_ROUTE, r->id, "path", path, TLB_ROW_ROUTE,
					    other->id);
		else
			apr_hash_set(by_path, path, APR_HASH_KEY_STRING, r);
		if (is_model_path(r->path))
			add_cross_row_fault(c, TLB_ROW_ROUTE, r->id, "path", r->path,
					    "a path that is not one of model requests");
		if (!pool_has(c->t, r->pool, TLB_ROLE_SERVICE))
			warn_pool(c, TLB_ROW_ROUTE, r->id, r->pool, "service");
	}
}

bool tlb_table_check(struct tlb_table *t, struct tlb_faults *f)
{
	struct checker c = {t, f, f->fault_count};
	apr_pool_t *pool = make_pool(t->pool);

	check_keys(&c);
	check_operators(&c);
	check_endpoints(&c, pool);
	check_models(&c);
	check_routes(&c, pool);
	apr_pool_destroy(pool);
	return f->fault_count == c.faults_before;
}

/* --- names and lookups --- */

bool tlb_table_split_key(const char *key, enum tlb_row_kind *kind, const char **id)
{
	const char *name;
	size_t len;
	int i;

	if (strncmp(key, "config/", 7) != 0)
		return false;
	name = key + 7;
	for (i = 0; i < TLB_ROW_KIND_COUNT; i++) {
		len = strlen(kind_names[i]);
		if (strncmp(name, kind_names[i], len) != 0 || name[len] != '/')
			continue;
		*kind = i;
		*id = name + len + 1;
		return true;
	}
	return false;
}

const char *tlb_table_kind_name(enum tlb_row_kind kind)
{
	return kind_names[kind];
}

bool tlb_table_kind_from_name(const char *name, enum tlb_row_kind *kind)
{
	int i;

	for (i = 0; i < TLB_ROW_KIND_COUNT; i++) {
		if (strcmp(kind_names[i], name) != 0)
			continue;
		*kind = i;
		return true;
	}
	return false;
}

size_t tlb_table_count(const struct tlb_table *t, enum tlb_row_kind kind)
{
	return apr_hash_count(t->by_id[kind]);
}

json_t *tlb_table_row(const struct tlb_table *t, enum tlb_row_kind kind, const char *id)
{
	const void *row = apr_hash_get(t->by_id[kind], id, APR_HASH_KEY_STRING);

	return row ? tlb_row_write(kind, row) : NULL;
}

static int compare_ids(const void *a, const void *b)
{
	const char *const *x = a;
	const char *const *y = b;

	return strcmp(*x, *y);
}

/* Sorted, NULL-terminated list of the ids of a kind, allocated from pool. */
static const char **sorted_ids(const struct tlb_table *t, enum tlb_row_kind kind, apr_pool_t *pool)
{
	const char **ids = apr_palloc(pool, (tlb_table_count(t, kind) + 1) * sizeof(const char *));
	apr_hash_index_t *i = apr_hash_first(pool, t->by_id[kind]);
	size_t n = 0;

	for (; i; i = apr_hash_next(i))
		ids[n++] = apr_hash_this_key(i);
	ids[n] = NULL;
	qsort(ids, n, sizeof(const char *), compare_ids);
	return ids;
}

json_t *tlb_table_rows(const struct tlb_table *t, enum tlb_row_kind kind)
{
	json_t *rows = json_array();
	char key[TLB_ID_LEN + 24];
	apr_pool_t *pool = make_pool(NULL);
	const char **id;

	for (id = sorted_ids(t, kind, pool); *id; id++) {
		snprintf(key, sizeof(key), "config/%s/%s", kind_names[kind], *id);
		json_array_append_new(rows, json_pack("{s:s, s:o}", "key", key, "value",
						      tlb_table_row(t, kind, *id)));
	}
	apr_pool_destroy(pool);
	return rows;
}

static void append_row_key(json_t *keys, enum tlb_row_kind kind, const char *id)
{
	json_array_append_new(keys, json_sprintf("config/%s/%s", kind_names[kind], id));
}

static void add_kind_diff(const struct tlb_table *a, const struct tlb_table *b,
			  enum tlb_row_kind kind, apr_pool_t *pool, json_t *keys)
{
	apr_hash_index_t *i;
	const void *other;
	const char *id;

	for (i = apr_hash_first(pool, a->by_id[kind]); i; i = apr_hash_next(i)) {
		id = apr_hash_this_key(i);
		other = apr_hash_get(b->by_id[kind], id, APR_HASH_KEY_STRING);
		if (!other || !tlb_row_equal(kind, apr_hash_this_val(i), other))
			append_row_key(keys, kind, id);
	}
	for (i = apr_hash_first(pool, b->by_id[kind]); i; i = apr_hash_next(i)) {
		id = apr_hash_this_key(i);
		if (!apr_hash_get(a->by_id[kind], id, APR_HASH_KEY_STRING))
			append_row_key(keys, kind, id);
	}
}

json_t *tlb_table_diff(const struct tlb_table *a, const struct tlb_table *b)
{
	json_t *keys = json_array();
	apr_pool_t *pool = make_pool(NULL);
	int kind;

	for (kind = 0; kind < TLB_ROW_KIND_COUNT; kind++)
		add_kind_diff(a, b, kind, pool, keys);
	apr_pool_destroy(pool);
	return keys;
}

struct tlb_account *tlb_table_find_account(const struct tlb_table *t, const char *id)
{
	return apr_hash_get(t->by_id[TLB_ROW_ACCOUNT], id, APR_HASH_KEY_STRING);
}

struct tlb_model *tlb_table_find_model(const struct tlb_table *t, const char *id)
{
	return apr_hash_get(t->by_id[TLB_ROW_MODEL], id, APR_HASH_KEY_STRING);
}

struct tlb_endpoint *tlb_table_find_endpoint(const struct tlb_table *t, const char *id)
{
	return apr_hash_get(t->by_id[TLB_ROW_ENDPOINT], id, APR_HASH_KEY_STRING);
}

static bool is_prefix(const char *prefix, const char *path)
{
	size_t len = strlen(prefix);

	if (strncmp(prefix, path, len) != 0)
		return false;
	return path[len] == '\0' || path[len] == '/' || (len > 0 && prefix[len - 1] == '/');
}

struct tlb_route *tlb_table_find_route(const struct tlb_table *t, const char *method,
				       const char *path, bool *path_known)
{
	struct tlb_route *best = NULL;
	struct tlb_route *r;

	*path_known = false;
	APR_RING_FOREACH (r, &t->routes, tlb_route, link) {
		if (!is_prefix(r->path, path))
			continue;
		*path_known = true;
		if (strcmp(r->method, method) != 0)
			continue;
		if (!best || strlen(r->path) > strlen(best->path))
			best = r;
	}
	return best;
}

struct tlb_key *tlb_table_find_key(const struct tlb_table *t, const unsigned char *hash)
{
	unsigned char digest[TLB_INDEX_LEN];
	struct tlb_key *k;

	make_digest(t, hash, digest);
	k = apr_hash_get(t->keys_by_hash, digest, TLB_INDEX_LEN);
	return k && sodium_memcmp(k->hash, hash, TLB_KEY_HASH_LEN) == 0 ? k : NULL;
}

struct tlb_operator *tlb_table_find_operator(const struct tlb_table *t, const unsigned char *hash)
{
	unsigned char digest[TLB_INDEX_LEN];
	struct tlb_operator *o;

	make_digest(t, hash, digest);
	o = apr_hash_get(t->operators_by_hash, digest, TLB_INDEX_LEN);
	return o && sodium_memcmp(o->hash, hash, TLB_KEY_HASH_LEN) == 0 ? o : NULL;
}

bool tlb_table_has_operator(const struct tlb_table *t)
{
	const struct tlb_operator *o;

	APR_RING_FOREACH (o, &t->operators, tlb_operator, link) {
		if (!o->withdrawn)
			return true;
	}
	return false;
}

bool tlb_table_is_operator(const struct tlb_table *t, const char *id)
{
	const struct tlb_operator *o =
		apr_hash_get(t->by_id[TLB_ROW_OPERATOR], id, APR_HASH_KEY_STRING);

	return o && !o->withdrawn;
}
