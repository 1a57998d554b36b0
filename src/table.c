#include "table.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

static const char *const kind_names[TLB_ROW_KIND_COUNT] = {"account",  "key",	"model",
							   "endpoint", "route", "operator"};

bool tlb_table_id_valid(const char *id)
{
	size_t len = strlen(id);

	return len > 0 && len < TLB_ID_LEN && strchr("._-", id[0]) == NULL &&
	       strspn(id, "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789._-") ==
		       len;
}

void tlb_table_init(struct tlb_table *t)
{
	memset(t, 0, sizeof(*t));
	APR_RING_INIT(&t->accounts, tlb_account, link);
	APR_RING_INIT(&t->keys, tlb_key, link);
	APR_RING_INIT(&t->models, tlb_model, link);
	APR_RING_INIT(&t->endpoints, tlb_endpoint, link);
	APR_RING_INIT(&t->routes, tlb_route, link);
	APR_RING_INIT(&t->operators, tlb_operator, link);
}

#define FREE_RING(ring, type)                                                                      \
	while (!APR_RING_EMPTY(ring, type, link)) {                                                \
		struct type *row = APR_RING_FIRST(ring);                                           \
		APR_RING_REMOVE(row, link);                                                        \
		free(row);                                                                         \
	}

void tlb_table_finish(struct tlb_table *t)
{
	FREE_RING(&t->accounts, tlb_account)
	FREE_RING(&t->keys, tlb_key)
	FREE_RING(&t->models, tlb_model)
	FREE_RING(&t->endpoints, tlb_endpoint)
	FREE_RING(&t->routes, tlb_route)
	FREE_RING(&t->operators, tlb_operator)
}

/* Reads the columns of one row; the first fault is kept in err. */
struct reader {
	const char *kind;
	const char *id;
	const json_t *value;
	struct tlb_error *err;
	bool failed;
};

static void fault(struct reader *r, const char *column, const char *allowed)
{
	char *text = json_dumps(json_object_get(r->value, column), JSON_ENCODE_ANY);

	if (!r->failed)
		tlb_error_set(r->err, TLB_BAD_REQUEST, TLB_NOT_RUN, "check", "",
			      "row %s/%s, column %s: value %.60s is not allowed; expected %s",
			      r->kind, r->id, column, text ? text : "(missing)", allowed);
	r->failed = true;
	free(text);
}

static void read_text(struct reader *r, const char *column, char *out, size_t size)
{
	const json_t *v = json_object_get(r->value, column);
	const char *s = json_string_value(v);

	if (!s || !*s || strlen(s) >= size)
		fault(r, column, "a non-empty string of limited length");
	else
		strcpy(out, s);
}

static int64_t read_int(struct reader *r, const char *column, int64_t min, int64_t max,
			int64_t fallback)
{
	const json_t *v = json_object_get(r->value, column);
	char allowed[80];

	if (!v && fallback >= min)
		return fallback;
	if (json_is_integer(v) && json_integer_value(v) >= min && json_integer_value(v) <= max)
		return json_integer_value(v);
	snprintf(allowed, sizeof(allowed), "an integer from %lld to %lld", (long long)min,
		 (long long)max);
	fault(r, column, allowed);
	return min;
}

static bool read_bool(struct reader *r, const char *column, bool fallback)
{
	const json_t *v = json_object_get(r->value, column);

	if (!v)
		return fallback;
	if (!json_is_boolean(v))
		fault(r, column, "true or false");
	return json_is_true(v);
}

static int read_choice(struct reader *r, const char *column, const char *const *names, int n,
		       const char *allowed)
{
	const char *s = json_string_value(json_object_get(r->value, column));
	int i;

	for (i = 0; s && i < n; i++)
		if (strcmp(s, names[i]) == 0)
			return i;
	fault(r, column, allowed);
	return 0;
}

static void read_hash(struct reader *r, unsigned char *out)
{
	const char *s = json_string_value(json_object_get(r->value, "hash"));
	size_t len = 0;

	if (!s || strlen(s) != 2 * TLB_KEY_HASH_LEN ||
	    sodium_hex2bin(out, TLB_KEY_HASH_LEN, s, strlen(s), NULL, &len, NULL) != 0 ||
	    len != TLB_KEY_HASH_LEN)
		fault(r, "hash", "64 hex digits");
}

static const char *const key_states[] = {"granted", "withdrawn"};
static const char *const roles[] = {"prefill", "decode", "service"};
static const char *const endpoint_states[] = {"joining", "active", "leaving"};

static double read_weight(struct reader *r)
{
	const json_t *v = json_object_get(r->value, "weight");
	double weight = json_number_value(v);

	if (!json_is_number(v) || !(weight >= 0.01 && weight <= 1000))
		fault(r, "weight", "a number from 0.01 to 1000");
	return weight;
}

static struct tlb_account *read_account(struct reader *r)
{
	struct tlb_account *a = calloc(1, sizeof(*a));

	if (!a)
		return NULL;
	a->weight = read_weight(r);
	a->rate = read_int(r, "rate", 1, 1000000000, 0);
	a->burst = read_int(r, "burst", 1, 10000000000, 0);
	return a;
}

static struct tlb_key *read_key(struct reader *r)
{
	struct tlb_key *k = calloc(1, sizeof(*k));

	if (!k)
		return NULL;
	read_text(r, "account", k->account, sizeof(k->account));
	read_hash(r, k->hash);
	k->withdrawn = read_choice(r, "state", key_states, 2, "granted or withdrawn") == 1;
	return k;
}

static struct tlb_model *read_model(struct reader *r)
{
	struct tlb_model *m = calloc(1, sizeof(*m));

	if (!m)
		return NULL;
	read_text(r, "version", m->version, sizeof(m->version));
	read_text(r, "pool", m->pool, sizeof(m->pool));
	m->piece_tokens = (int)read_int(r, "piece_tokens", 1, 1000000, 2000);
	m->max_output = (int)read_int(r, "max_output", 1, 1000000, 4096);
	m->max_prompt = (int)read_int(r, "max_prompt", 1, 10000000, 65536);
	return m;
}

static struct tlb_endpoint *read_endpoint(struct reader *r)
{
	struct tlb_endpoint *e = calloc(1, sizeof(*e));

	if (!e)
		return NULL;
	e->role = read_choice(r, "role", roles, 3, "prefill, decode or service");
	read_text(r, "pool", e->pool, sizeof(e->pool));
	read_text(r, "zone", e->zone, sizeof(e->zone));
	read_text(r, "addr", e->addr, sizeof(e->addr));
	e->state = read_choice(r, "state", endpoint_states, 3, "joining, active or leaving");
	e->checks_fencing = read_bool(r, "fencing", false);
	e->pieces = (int)read_int(r, "pieces", 1, 1000000, 40);
	e->link_mbps = (int)read_int(r, "link_mbps", 1, 10000000, 10000);
	return e;
}

static struct tlb_route *read_route(struct reader *r)
{
	struct tlb_route *o = calloc(1, sizeof(*o));

	if (!o)
		return NULL;
	read_text(r, "path", o->path, sizeof(o->path));
	read_text(r, "method", o->method, sizeof(o->method));
	read_text(r, "pool", o->pool, sizeof(o->pool));
	o->open = read_bool(r, "open", false);
	o->idempotent = read_bool(r, "idempotent", false);
	o->cost = read_int(r, "cost", 0, 1000000, 1);
	o->timeout_ms = (int)read_int(r, "timeout_ms", 1, 600000, 5000);
	return o;
}

static struct tlb_operator *read_operator(struct reader *r)
{
	struct tlb_operator *o = calloc(1, sizeof(*o));

	if (!o)
		return NULL;
	read_hash(r, o->hash);
	o->withdrawn = read_choice(r, "state", key_states, 2, "granted or withdrawn") == 1;
	return o;
}

#define ADD_ROW(type, ring, make)                                                                  \
	do {                                                                                       \
		struct type *row = make;                                                           \
		if (!row || r.failed) {                                                            \
			free(row);                                                                 \
			break;                                                                     \
		}                                                                                  \
		strcpy(row->id, id);                                                               \
		APR_RING_INSERT_TAIL(ring, row, type, link);                                       \
	} while (0)

enum tlb_code tlb_table_add(struct tlb_table *t, enum tlb_row_kind kind, const char *id,
			    const json_t *value, struct tlb_error *err)
{
	struct reader r = {kind_names[kind], id, value, err, false};

	if (!*id || strlen(id) >= TLB_ID_LEN)
		return tlb_error_set(err, TLB_BAD_REQUEST, TLB_NOT_RUN, "check", "",
				     "row id of %s must have 1 to %d characters", kind_names[kind],
				     TLB_ID_LEN - 1);
	switch (kind) {
	case TLB_ROW_ACCOUNT:
		ADD_ROW(tlb_account, &t->accounts, read_account(&r));
		break;
	case TLB_ROW_KEY:
		ADD_ROW(tlb_key, &t->keys, read_key(&r));
		break;
	case TLB_ROW_MODEL:
		ADD_ROW(tlb_model, &t->models, read_model(&r));
		break;
	case TLB_ROW_ENDPOINT:
		ADD_ROW(tlb_endpoint, &t->endpoints, read_endpoint(&r));
		break;
	case TLB_ROW_ROUTE:
		ADD_ROW(tlb_route, &t->routes, read_route(&r));
		break;
	case TLB_ROW_OPERATOR:
		ADD_ROW(tlb_operator, &t->operators, read_operator(&r));
		break;
	case TLB_ROW_KIND_COUNT:
		r.failed = true;
		break;
	}
	return r.failed ? TLB_BAD_REQUEST : TLB_OK;
}

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

#define FIND_ROW(type, ring, wanted)                                                               \
	struct type *row;                                                                          \
	APR_RING_FOREACH (row, ring, type, link) {                                                 \
		if (strcmp(row->id, wanted) == 0)                                                  \
			return row;                                                                \
	}                                                                                          \
	return NULL

struct tlb_account *tlb_table_account(const struct tlb_table *t, const char *id)
{
	FIND_ROW(tlb_account, &t->accounts, id);
}

struct tlb_model *tlb_table_model(const struct tlb_table *t, const char *id)
{
	FIND_ROW(tlb_model, &t->models, id);
}

struct tlb_endpoint *tlb_table_endpoint(const struct tlb_table *t, const char *id)
{
	FIND_ROW(tlb_endpoint, &t->endpoints, id);
}

static bool is_prefix(const char *prefix, const char *path)
{
	size_t len = strlen(prefix);

	if (strncmp(prefix, path, len) != 0)
		return false;
	return path[len] == '\0' || path[len] == '/' || (len > 0 && prefix[len - 1] == '/');
}

struct tlb_route *tlb_table_route(const struct tlb_table *t, const char *method, const char *path,
				  bool *path_known)
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

struct tlb_key *tlb_table_key(const struct tlb_table *t, const unsigned char *hash)
{
	struct tlb_key *found = NULL;
	struct tlb_key *k;

	/* Every key is compared, so that the time taken tells nothing about the match. */
	APR_RING_FOREACH (k, &t->keys, tlb_key, link) {
		if (sodium_memcmp(k->hash, hash, TLB_KEY_HASH_LEN) == 0)
			found = k;
	}
	return found;
}
