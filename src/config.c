#include "config.h"

#include <malloc.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "row_schema.h"

enum {
	READ_TIMEOUT_MS = 5000,
	/* A delta of more rows than this is not kept; peers then get all rows. */
	DELTA_KEYS_MAX = 2048,
	/* After a response with more rows than this, malloc_trim() returns the memory of the parsed
	 * JSON to the system: 22,000 rows take about 25 MB. */
	TRIM_ROWS = 1000,
};

static const char *const source_names[] = {"store", "peer", "change"};

static void on_poll_timer(void *arg);

struct tlb_table *tlb_config_table_new(void)
{
	struct tlb_table *t = malloc(sizeof(*t));

	if (!t)
		abort();
	tlb_table_init(t);
	return t;
}

void tlb_config_table_free(struct tlb_table *t)
{
	if (!t)
		return;
	tlb_table_finish(t);
	free(t);
}

void tlb_config_init(struct tlb_config *c, struct tlb_loop *l, struct tlb_store *s,
		     struct tlb_counters *counters, tlb_config_table_fn *on_table, void *arg)
{
	uint64_t seed;

	memset(c, 0, sizeof(*c));
	c->loop = l;
	c->store = s;
	c->counters = counters;
	c->on_table = on_table;
	c->arg = arg;
	c->table = tlb_config_table_new();
	randombytes_buf(&seed, sizeof(seed));
	tlb_random_init(&c->random, seed);
	tlb_timer_init(&c->poll_timer, on_poll_timer, c);
}

static void clear_deltas(struct tlb_config *c)
{
	size_t i;

	for (i = 0; i < c->delta_count; i++)
		json_decref(c->deltas[i].keys);
	c->delta_count = 0;
}

void tlb_config_finish(struct tlb_config *c)
{
	tlb_timer_clear(c->loop, &c->poll_timer);
	tlb_store_cancel(&c->poll_op);
	tlb_store_cancel(&c->load_op);
	clear_deltas(c);
	tlb_config_table_free(c->table);
	c->table = NULL;
}

/* --- installing a table --- */

static void record_delta(struct tlb_config *c, int64_t from, int64_t to, json_t *keys)
{
	if (json_array_size(keys) > DELTA_KEYS_MAX) {
		clear_deltas(c);
		json_decref(keys);
		return;
	}
	if (c->delta_count == TLB_CONFIG_HISTORY) {
		json_decref(c->deltas[0].keys);
		c->delta_count--;
		memmove(&c->deltas[0], &c->deltas[1], c->delta_count * sizeof(c->deltas[0]));
	}
	c->deltas[c->delta_count].from = from;
	c->deltas[c->delta_count].to = to;
	c->deltas[c->delta_count].keys = keys;
	c->delta_count++;
}

void tlb_config_install(struct tlb_config *c, struct tlb_table *t, enum tlb_config_source source)
{
	struct tlb_table *previous = c->table;

	if (t->version <= previous->version) {
		tlb_config_table_free(t);
		return;
	}
	record_delta(c, previous->version, t->version, tlb_table_diff(previous, t));
	c->table = t;
	c->source = source;
	c->loaded = true;
	tlb_counter_set(c->counters, TLB_COUNTER_CONFIG_VERSION, t->version);
	tlb_log_info("event=config version=%lld former=%lld source=%s accounts=%zu keys=%zu "
		     "endpoints=%zu",
		     (long long)t->version, (long long)previous->version, source_names[source],
		     tlb_table_count(t, TLB_ROW_ACCOUNT), tlb_table_count(t, TLB_ROW_KEY),
		     tlb_table_count(t, TLB_ROW_ENDPOINT));
	if (c->on_table)
		c->on_table(c->arg);
	tlb_config_table_free(previous);
}

/* Inserts or replaces one row, or removes it when its value is null. Keys of unknown kinds belong
 * to a later release and are ignored. */
static void apply_row(struct tlb_table *t, const json_t *row, struct tlb_faults *f)
{
	const char *key = json_string_value(json_object_get(row, "key"));
	const json_t *value = json_object_get(row, "value");
	enum tlb_row_kind kind;
	const char *id;

	if (!key || !tlb_table_split_key(key, &kind, &id))
		return;
	if (!value || json_is_null(value))
		tlb_table_remove(t, kind, id);
	else
		tlb_table_put(t, kind, id, value, false, f);
}

/* Applies rows to t and validates the result. Returns false with the errors in f. */
static bool build_table(struct tlb_table *t, const json_t *rows, struct tlb_faults *f)
{
	const json_t *row;
	size_t i;

	json_array_foreach (rows, i, row) {
		apply_row(t, row, f);
	}
	tlb_table_check(t, f);
	return f->fault_count == 0;
}

static enum tlb_code reject_table(struct tlb_config *c, const struct tlb_table *t,
				  enum tlb_config_source source, const struct tlb_faults *f,
				  struct tlb_error *err)
{
	/* Every poll sees the same stored version, so the rejection is logged only once. */
	if (c->rejected_version != t->version)
		tlb_log_error(
			"event=config_refused version=%lld source=%s faults=%zu reason=\"%s\"",
			(long long)t->version, source_names[source], f->fault_count,
			tlb_faults_first(f));
	c->rejected_version = t->version;
	return tlb_error_set(err, TLB_BAD_REQUEST, TLB_OUTCOME_NOT_RUN, "config",
			     source_names[source], "%s", tlb_faults_first(f));
}

/* Builds a table from rows, on top of a copy of base_table unless that is NULL, and installs it. */
static enum tlb_code replace_table(struct tlb_config *c, int64_t version,
				   const struct tlb_table *base_table, const json_t *rows,
				   enum tlb_config_source source, struct tlb_error *err)
{
	struct tlb_table *t = tlb_config_table_new();
	struct tlb_faults f;
	enum tlb_code code = TLB_OK;

	tlb_faults_init(&f);
	if (base_table)
		tlb_table_copy(t, base_table);
	t->version = version;
	if (build_table(t, rows, &f)) {
		tlb_config_install(c, t, source);
	} else {
		code = reject_table(c, t, source, &f, err);
		tlb_config_table_free(t);
	}
	tlb_faults_finish(&f);
	return code;
}

/* --- the store --- */

static const json_t *find_head(const json_t *rows)
{
	const json_t *row;
	const char *key;
	size_t i;

	json_array_foreach (rows, i, row) {
		key = json_string_value(json_object_get(row, "key"));
		if (key && strcmp(key, TLB_CONFIG_HEAD) == 0)
			return row;
	}
	return NULL;
}

static int64_t head_version(const json_t *row)
{
	return json_integer_value(json_object_get(json_object_get(row, "value"), "version"));
}

static void on_empty_store(struct tlb_config *c)
{
	if (c->loaded)
		return;
	c->loaded = true;
	tlb_log_warn("event=config_empty source=store");
	if (c->on_table)
		c->on_table(c->arg);
}

static void on_rows(void *arg, enum tlb_store_status status, json_t *body,
		    const struct tlb_error *err)
{
	struct tlb_config *c = arg;
	const json_t *rows = json_object_get(body, "rows");
	const json_t *head = find_head(rows);

	c->malloc_trim_due = json_array_size(rows) > TRIM_ROWS;
	if (status != TLB_STORE_OK) {
		tlb_log_warn("event=config_load_failed reason=\"%s\"", err->message);
		return;
	}
	if (!head)
		on_empty_store(c);
	else if (head_version(head) > c->table->version)
		replace_table(c, head_version(head), NULL, rows, TLB_CONFIG_FROM_STORE, NULL);
}

void tlb_config_refresh(struct tlb_config *c)
{
	if (tlb_http_active(&c->load_op.call))
		return;
	tlb_store_rows(c->store, &c->load_op, "config/", tlb_clock_now() + READ_TIMEOUT_MS * TLB_MS,
		       on_rows, c);
}

/* Adds jitter of up to 10 % either way, so that the VMs don't poll the store at the same time. */
static void schedule_poll(struct tlb_config *c)
{
	tlb_time wait = TLB_CONFIG_POLL_MS * TLB_MS * 9 / 10;

	wait += (tlb_time)(tlb_random_unit(&c->random) * TLB_CONFIG_POLL_MS * TLB_MS / 5);
	tlb_timer_set(c->loop, &c->poll_timer, tlb_clock_now() + wait);
}

static void on_head(void *arg, enum tlb_store_status status, json_t *body,
		    const struct tlb_error *err)
{
	struct tlb_config *c = arg;

	schedule_poll(c);
	if (status == TLB_STORE_ABSENT)
		on_empty_store(c);
	if (status != TLB_STORE_OK)
		return;
	/* A version that failed validation is not loaded again until it has been replaced. */
	if (head_version(body) > c->table->version && head_version(body) != c->rejected_version)
		tlb_config_refresh(c);
}

static void on_poll_timer(void *arg)
{
	struct tlb_config *c = arg;

	if (c->malloc_trim_due)
		malloc_trim(0);
	c->malloc_trim_due = false;
	tlb_store_row(c->store, &c->poll_op, TLB_CONFIG_HEAD,
		      tlb_clock_now() + TLB_CONFIG_POLL_MS * TLB_MS, on_head, c);
}

void tlb_config_start(struct tlb_config *c)
{
	tlb_config_refresh(c);
	schedule_poll(c);
}

/* --- peers --- */

static json_t *all_rows(const struct tlb_config *c)
{
	json_t *all = json_array();
	json_t *rows;
	int kind;

	for (kind = 0; kind < TLB_ROW_KIND_COUNT; kind++) {
		rows = tlb_table_rows(c->table, kind);
		json_array_extend(all, rows);
		json_decref(rows);
	}
	return all;
}

static json_t *current_row(const struct tlb_config *c, const char *key)
{
	enum tlb_row_kind kind;
	const char *id;
	json_t *value = NULL;

	if (tlb_table_split_key(key, &kind, &id))
		value = tlb_table_row(c->table, kind, id);
	return json_pack("{s:s, s:o}", "key", key, "value", value ? value : json_null());
}

/* The current rows of all keys in delta i and the later ones, without duplicates. */
static json_t *rows_from_delta(const struct tlb_config *c, size_t i)
{
	json_t *seen = json_object();
	json_t *rows = json_array();
	const char *key;
	json_t *item;
	size_t j;

	for (; i < c->delta_count; i++) {
		json_array_foreach (c->deltas[i].keys, j, item) {
			key = json_string_value(item);
			if (json_object_get(seen, key))
				continue;
			json_object_set_new(seen, key, json_true());
			json_array_append_new(rows, current_row(c, key));
		}
	}
	json_decref(seen);
	return rows;
}

json_t *tlb_config_rows_since(const struct tlb_config *c, int64_t peer_version, int64_t *base)
{
	size_t i;

	*base = peer_version;
	if (peer_version == c->table->version)
		return json_array();
	/* Start only from a delta whose base is exactly this version: a delta from an older base
	 * may omit a row that was changed and then changed back, and the peer would keep the
	 * intermediate value. */
	for (i = 0; i < c->delta_count; i++)
		if (peer_version > 0 && c->deltas[i].from == peer_version)
			return rows_from_delta(c, i);
	*base = 0;
	return all_rows(c);
}

enum tlb_code tlb_config_apply_rows(struct tlb_config *c, int64_t version, int64_t base,
				    const json_t *rows, struct tlb_error *err)
{
	if (version <= c->table->version)
		return TLB_OK;
	if (base != 0 && base != c->table->version)
		return tlb_error_set(err, TLB_CONFLICT, TLB_OUTCOME_NOT_RUN, "config", "peer",
				     "rows are based on version %lld, but %lld is in force",
				     (long long)base, (long long)c->table->version);
	return replace_table(c, version, base ? c->table : NULL, rows, TLB_CONFIG_FROM_PEER, err);
}
