#include "row_schema.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "address.h"

enum column_type {
	COLUMN_ID,
	COLUMN_ADDR,
	COLUMN_PATH,
	COLUMN_METHOD,
	COLUMN_HASH,
	COLUMN_INT,
	COLUMN_NUMBER,
	COLUMN_BOOL,
	COLUMN_CHOICE,
};

/* One column and the struct member that holds it. Integers, booleans and choices (stored as the
 * index of the choice) are members of 1, 4 or 8 bytes. */
struct column {
	const char *name;
	enum column_type type;
	size_t offset;
	size_t size;
	bool optional;
	int64_t min;
	int64_t max;
	int64_t default_value;	    /* when optional */
	const char *const *choices; /* ends with NULL */
};

struct kind_schema {
	size_t size;
	size_t count;
	const struct column *columns;
};

static const char *const methods[] = {"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", NULL};
static const char *const key_states[] = {"granted", "withdrawn", NULL};
static const char *const roles[] = {"prefill", "decode", "service", NULL};
static const char *const endpoint_states[] = {"joining", "active", "leaving", NULL};

#define MEMBER(type, member)                                                                       \
	.offset = offsetof(struct type, member), .size = sizeof(((struct type *)0)->member)
#define RANGE(low, high) .min = (low), .max = (high)
#define DEFAULT(value) .optional = true, .default_value = (value)

static const struct column account_columns[] = {
	{"weight", COLUMN_NUMBER, MEMBER(tlb_account, weight), RANGE(0, 1000)},
	{"rate", COLUMN_INT, MEMBER(tlb_account, rate), RANGE(1, 1000000000)},
	{"burst", COLUMN_INT, MEMBER(tlb_account, burst), RANGE(1, 10000000000)},
};

static const struct column key_columns[] = {
	{"account", COLUMN_ID, MEMBER(tlb_key, account)},
	{"hash", COLUMN_HASH, MEMBER(tlb_key, hash)},
	{"state", COLUMN_CHOICE, MEMBER(tlb_key, withdrawn), .choices = key_states},
};

static const struct column model_columns[] = {
	{"version", COLUMN_ID, MEMBER(tlb_model, version)},
	{"pool", COLUMN_ID, MEMBER(tlb_model, pool)},
	{"piece_tokens", COLUMN_INT, MEMBER(tlb_model, block_tokens), RANGE(1, 1000000),
	 DEFAULT(2000)},
	{"max_output", COLUMN_INT, MEMBER(tlb_model, max_output), RANGE(1, 1000000), DEFAULT(4096)},
	{"max_prompt", COLUMN_INT, MEMBER(tlb_model, max_prompt), RANGE(1, 10000000),
	 DEFAULT(65536)},
	{"adapter", COLUMN_ID, MEMBER(tlb_model, adapter), .optional = true},
};

static const struct column endpoint_columns[] = {
	{"role", COLUMN_CHOICE, MEMBER(tlb_endpoint, role), .choices = roles},
	{"pool", COLUMN_ID, MEMBER(tlb_endpoint, pool)},
	{"zone", COLUMN_ID, MEMBER(tlb_endpoint, zone)},
	{"addr", COLUMN_ADDR, MEMBER(tlb_endpoint, addr)},
	{"state", COLUMN_CHOICE, MEMBER(tlb_endpoint, state), .choices = endpoint_states},
	{"fencing", COLUMN_BOOL, MEMBER(tlb_endpoint, checks_fencing), DEFAULT(0)},
	{"pieces", COLUMN_INT, MEMBER(tlb_endpoint, blocks), RANGE(1, 1000000), DEFAULT(40)},
	{"link_mbps", COLUMN_INT, MEMBER(tlb_endpoint, link_mbps), RANGE(1, 10000000),
	 DEFAULT(10000)},
	{"max_requests", COLUMN_INT, MEMBER(tlb_endpoint, max_requests), RANGE(1, 100000),
	 DEFAULT(24)},
};

static const struct column route_columns[] = {
	{"path", COLUMN_PATH, MEMBER(tlb_route, path)},
	{"method", COLUMN_METHOD, MEMBER(tlb_route, method), .choices = methods},
	{"pool", COLUMN_ID, MEMBER(tlb_route, pool)},
	{"open", COLUMN_BOOL, MEMBER(tlb_route, unauthenticated), DEFAULT(0)},
	{"idempotent", COLUMN_BOOL, MEMBER(tlb_route, idempotent), DEFAULT(0)},
	{"cost", COLUMN_INT, MEMBER(tlb_route, cost), RANGE(0, 1000000), DEFAULT(1)},
	{"timeout_ms", COLUMN_INT, MEMBER(tlb_route, timeout_ms), RANGE(1, 600000), DEFAULT(5000)},
};

static const struct column operator_columns[] = {
	{"hash", COLUMN_HASH, MEMBER(tlb_operator, hash)},
	{"state", COLUMN_CHOICE, MEMBER(tlb_operator, withdrawn), .choices = key_states},
};

#define SCHEMA(type, columns)                                                                      \
	{                                                                                          \
		sizeof(struct type), sizeof(columns) / sizeof((columns)[0]), columns               \
	}

static const struct kind_schema schemas[TLB_ROW_KIND_COUNT] = {
	[TLB_ROW_ACCOUNT] = SCHEMA(tlb_account, account_columns),
	[TLB_ROW_KEY] = SCHEMA(tlb_key, key_columns),
	[TLB_ROW_MODEL] = SCHEMA(tlb_model, model_columns),
	[TLB_ROW_ENDPOINT] = SCHEMA(tlb_endpoint, endpoint_columns),
	[TLB_ROW_ROUTE] = SCHEMA(tlb_route, route_columns),
	[TLB_ROW_OPERATOR] = SCHEMA(tlb_operator, operator_columns),
};

/* tlb_row_id() requires the id at the same offset in the structs of all kinds. */
#define SAME_ID(type)                                                                              \
	_Static_assert(offsetof(struct type, id) == offsetof(struct tlb_account, id), #type)
SAME_ID(tlb_key);
SAME_ID(tlb_model);
SAME_ID(tlb_endpoint);
SAME_ID(tlb_route);
SAME_ID(tlb_operator);

static const double WEIGHT_MIN = 0.01;

/* State while one row is read. */
struct row_reader {
	char row[TLB_ID_LEN + 16]; /* "<kind>/<id>" */
	const json_t *value;
	struct tlb_faults *faults;
	bool failed;
};

static void store_int(void *row, const struct column *c, int64_t v)
{
	unsigned char *bytes = row;
	int32_t n32 = (int32_t)v;
	bool flag = v != 0;

	bytes += c->offset;
	if (c->size == sizeof(v))
		memcpy(bytes, &v, sizeof(v));
	else if (c->size == sizeof(n32))
		memcpy(bytes, &n32, sizeof(n32));
	else
		memcpy(bytes, &flag, sizeof(flag));
}

static int64_t load_int(const void *row, const struct column *c)
{
	const unsigned char *bytes = row;
	int32_t n32;
	int64_t v;
	bool flag;

	bytes += c->offset;
	if (c->size == sizeof(v)) {
		memcpy(&v, bytes, sizeof(v));
		return v;
	}
	if (c->size == sizeof(n32)) {
		memcpy(&n32, bytes, sizeof(n32));
		return n32;
	}
	memcpy(&flag, bytes, sizeof(flag));
	return flag;
}

static void store_bytes(void *row, const struct column *c, const void *src, size_t len)
{
	unsigned char *bytes = row;

	memcpy(bytes + c->offset, src, len);
}

static int find_choice(const struct column *c, const char *s)
{
	int i;

	for (i = 0; s && c->choices[i]; i++)
		if (strcmp(c->choices[i], s) == 0)
			return i;
	return -1;
}

/* Accepts only paths that all servers interpret alike: no escapes, no empty or dotted segments. */
static bool path_valid(const char *s)
{
	if (s[0] != '/' || strstr(s, "//") || strstr(s, "/."))
		return false;
	return strspn(s, "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789/._~-") ==
	       strlen(s);
}

static bool text_valid(const struct column *c, const char *s)
{
	if (!s || strlen(s) >= c->size)
		return false;
	switch (c->type) {
	case COLUMN_ID:
		return tlb_table_id_valid(s) || (c->optional && s[0] == '\0');
	case COLUMN_ADDR:
		return tlb_address_valid(s, 1);
	case COLUMN_PATH:
		return path_valid(s);
	case COLUMN_METHOD:
		return find_choice(c, s) >= 0;
	default:
		return false;
	}
}

static void list_choices(const struct column *c, char *out, size_t size)
{
	size_t len;
	int i;

	snprintf(out, size, "one of");
	for (i = 0; c->choices[i]; i++) {
		len = strlen(out);
		snprintf(out + len, size - len, "%s%s", i ? ", " : " ", c->choices[i]);
	}
}

static void describe_allowed(const struct column *c, char *out, size_t size)
{
	switch (c->type) {
	case COLUMN_ID:
		snprintf(out, size,
			 "%s1 to %zu of A-Z a-z 0-9 . _ -, the first a letter or a digit",
			 c->optional ? "empty or " : "", c->size - 1);
		break;
	case COLUMN_ADDR:
		snprintf(out, size, "IP:PORT, such as 127.0.0.1:9001 or [::1]:9001");
		break;
	case COLUMN_PATH:
		snprintf(out, size,
			 "a path of up to %zu of A-Z a-z 0-9 / . _ ~ - that begins with / and has "
			 "no empty or dotted segment",
			 c->size - 1);
		break;
	case COLUMN_HASH:
		snprintf(out, size, "the SHA-256 hash of the key as 64 hexadecimal digits");
		break;
	case COLUMN_INT:
		snprintf(out, size, "an integer from %lld to %lld", (long long)c->min,
			 (long long)c->max);
		break;
	case COLUMN_NUMBER:
		snprintf(out, size, "a number from %g to %lld", WEIGHT_MIN, (long long)c->max);
		break;
	case COLUMN_BOOL:
		snprintf(out, size, "true or false");
		break;
	case COLUMN_METHOD:
	case COLUMN_CHOICE:
		list_choices(c, out, size);
		break;
	}
}

static void add_column_fault(struct row_reader *r, const struct column *c, const json_t *v)
{
	char allowed[160];
	json_t *hidden = NULL;

	/* The value may be a key pasted in place of its hash; it must not be displayed. */
	if (v && c->type == COLUMN_HASH)
		hidden = json_string("(hidden)");
	describe_allowed(c, allowed, sizeof(allowed));
	tlb_faults_add(r->faults, r->row, c->name, hidden ? hidden : v, allowed);
	json_decref(hidden);
	r->failed = true;
}

static bool read_hash(const char *s, unsigned char *out)
{
	size_t len = 0;

	return s && strlen(s) == 2 * TLB_KEY_HASH_LEN &&
	       sodium_hex2bin(out, TLB_KEY_HASH_LEN, s, strlen(s), NULL, &len, NULL) == 0 &&
	       len == TLB_KEY_HASH_LEN;
}

/* Stores the value of one column. Returns false when the value is not allowed. */
static bool read_value(const struct column *c, const json_t *v, void *row)
{
	const char *s = json_string_value(v);
	unsigned char hash[TLB_KEY_HASH_LEN];
	double number = json_number_value(v);
	int64_t n = json_integer_value(v);

	switch (c->type) {
	case COLUMN_INT:
		if (!json_is_integer(v) || n < c->min || n > c->max)
			return false;
		break;
	case COLUMN_BOOL:
		if (!json_is_boolean(v))
			return false;
		n = json_is_true(v);
		break;
	case COLUMN_CHOICE:
		n = find_choice(c, s);
		if (n < 0)
			return false;
		break;
	case COLUMN_NUMBER:
		if (!json_is_number(v) || number < WEIGHT_MIN || number > (double)c->max)
			return false;
		store_bytes(row, c, &number, sizeof(number));
		return true;
	case COLUMN_HASH:
		if (!read_hash(s, hash))
			return false;
		store_bytes(row, c, hash, sizeof(hash));
		return true;
	default:
		if (!text_valid(c, s) || strlen(s) != json_string_length(v))
			return false;
		store_bytes(row, c, s, strlen(s) + 1);
		return true;
	}
	store_int(row, c, n);
	return true;
}

static const struct column *find_column(enum tlb_row_kind kind, const char *name)
{
	size_t i;

	for (i = 0; i < schemas[kind].count; i++)
		if (strcmp(schemas[kind].columns[i].name, name) == 0)
			return &schemas[kind].columns[i];
	return NULL;
}

static void list_columns(enum tlb_row_kind kind, char *out, size_t size)
{
	size_t len;
	size_t i;

	snprintf(out, size, "one of the columns");
	for (i = 0; i < schemas[kind].count; i++) {
		len = strlen(out);
		snprintf(out + len, size - len, "%s%s", i ? ", " : " ",
			 schemas[kind].columns[i].name);
	}
}

static void report_unknown_columns(struct row_reader *r, enum tlb_row_kind kind)
{
	char allowed[160];
	json_t *hidden = json_string("(hidden)");
	const char *name;
	json_t *v;

	list_columns(kind, allowed, sizeof(allowed));
	json_object_foreach ((json_t *)r->value, name, v) {
		if (find_column(kind, name))
			continue;
		/* The value is hidden, because it may be a key under a mistyped column name. */
		tlb_faults_add(r->faults, r->row, name, hidden, allowed);
		r->failed = true;
	}
	json_decref(hidden);
}

static void read_columns(struct row_reader *r, enum tlb_row_kind kind, void *row)
{
	const struct column *c = schemas[kind].columns;
	const struct column *end = c + schemas[kind].count;
	const json_t *v;

	for (; c < end; c++) {
		v = json_object_get(r->value, c->name);
		if (!v && c->optional)
			store_int(row, c, c->default_value);
		else if (!v || !read_value(c, v, row))
			add_column_fault(r, c, v);
	}
}

bool tlb_row_read(enum tlb_row_kind kind, const char *id, const json_t *value, bool strict,
		  void *row, struct tlb_faults *f)
{
	struct row_reader r = {.value = value, .faults = f};
	struct tlb_account *common = row;
	json_t *name;

	snprintf(r.row, sizeof(r.row), "%s/%s", tlb_table_kind_name(kind), id);
	if (!tlb_table_id_valid(id)) {
		name = json_string(id);
		tlb_faults_add(f, r.row, "id", name,
			       "1 to 47 of A-Z a-z 0-9 . _ -, the first a letter or a digit");
		json_decref(name);
		return false;
	}
	if (!json_is_object(value)) {
		tlb_faults_add(f, r.row, "", value, "a JSON object");
		return false;
	}
	strcpy(common->id, id);
	read_columns(&r, kind, row);
	if (strict)
		report_unknown_columns(&r, kind);
	return !r.failed;
}

static json_t *write_value(const struct column *c, const void *row)
{
	const unsigned char *bytes = row;
	char hex[2 * TLB_KEY_HASH_LEN + 1];
	char text[TLB_PATH_LEN];
	double number;

	switch (c->type) {
	case COLUMN_INT:
		return json_integer(load_int(row, c));
	case COLUMN_BOOL:
		return json_boolean(load_int(row, c));
	case COLUMN_CHOICE:
		return json_string(c->choices[load_int(row, c)]);
	case COLUMN_NUMBER:
		memcpy(&number, bytes + c->offset, sizeof(number));
		return json_real(number);
	case COLUMN_HASH:
		return json_string(
			sodium_bin2hex(hex, sizeof(hex), bytes + c->offset, TLB_KEY_HASH_LEN));
	default:
		memcpy(text, bytes + c->offset, c->size);
		return json_string(text);
	}
}

json_t *tlb_row_write(enum tlb_row_kind kind, const void *row)
{
	const struct column *c = schemas[kind].columns;
	const struct column *end = c + schemas[kind].count;
	json_t *value = json_object();

	for (; c < end; c++)
		json_object_set_new(value, c->name, write_value(c, row));
	return value;
}

/* Rows are zeroed before they are filled, so the bytes after the end of a string are equal too. */
bool tlb_row_equal(enum tlb_row_kind kind, const void *a, const void *b)
{
	const struct column *c = schemas[kind].columns;
	const struct column *end = c + schemas[kind].count;
	const unsigned char *x = a;
	const unsigned char *y = b;

	for (; c < end; c++)
		if (memcmp(x + c->offset, y + c->offset, c->size) != 0)
			return false;
	return true;
}

size_t tlb_row_size(enum tlb_row_kind kind)
{
	return schemas[kind].size;
}

const char *tlb_row_id(const void *row)
{
	const struct tlb_account *common = row;

	return common->id;
}

size_t tlb_row_column_count(enum tlb_row_kind kind)
{
	return schemas[kind].count;
}

const char *tlb_row_column(enum tlb_row_kind kind, size_t i)
{
	return schemas[kind].columns[i].name;
}

/* Parses text as a JSON number or boolean; other text stays a string. */
static json_t *parse_scalar(const char *text)
{
	json_t *v = json_loads(text, JSON_DECODE_ANY, NULL);

	if (json_is_number(v) || json_is_boolean(v))
		return v;
	json_decref(v);
	return json_string(text);
}

/* Converts an integer to a real, so that equal rows have equal JSON. Takes ownership of v. */
static json_t *as_real(json_t *v)
{
	json_t *real;

	if (!json_is_integer(v))
		return v;
	real = json_real((double)json_integer_value(v));
	json_decref(v);
	return real;
}

json_t *tlb_row_value_from_text(enum tlb_row_kind kind, const char *column, const char *text)
{
	const struct column *c = find_column(kind, column);

	if (!c)
		return NULL;
	switch (c->type) {
	case COLUMN_INT:
	case COLUMN_BOOL:
		return parse_scalar(text);
	case COLUMN_NUMBER:
		return as_real(parse_scalar(text));
	default:
		return json_string(text);
	}
}

char *tlb_row_value_to_text(const json_t *value)
{
	if (json_is_string(value))
		return strdup(json_string_value(value));
	return json_dumps(value, JSON_ENCODE_ANY | JSON_REAL_PRECISION(15));
}
