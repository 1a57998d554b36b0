#include "change.h"

#include <stdlib.h>
#include <string.h>

#include "log.h"

enum {
	STEP_TIMEOUT_MS = 2000, /* one read or write of the store */
	RETRY_MS = 200,		/* delay before the store is contacted again */
	RETRY_JITTER_MS = 100,
	RELOAD_CHECK_MS = 20,	/* delay between checks whether a newer table has been loaded */
	RELOAD_CHECKS_MAX = 50, /* checks before the result is reported without that table */
};

/* Owned by the queue. */
struct tlb_change {
	APR_RING_ENTRY(tlb_change) link;
	struct tlb_changes *queue;
	char author[TLB_ID_LEN];
	char change_id[TLB_CHANGE_ID_LEN];
	char summary[TLB_SUMMARY_LEN];
	int64_t base_version;
	json_t *rows;
	tlb_time deadline;
	int reload_checks;	     /* checks so far whether a newer table has been loaded */
	bool uncertain;		     /* a write without a response may have been committed */
	struct tlb_table *candidate; /* the table to install when the write succeeds */
	struct tlb_faults faults;
	tlb_change_done_fn *on_done;
	void *arg;
};

static void read_head(struct tlb_changes *q);
static void on_timer(void *arg);

void tlb_changes_init(struct tlb_changes *q, struct tlb_config *c)
{
	memset(q, 0, sizeof(*q));
	q->config = c;
	APR_RING_INIT(&q->queue, tlb_change, link);
	tlb_timer_init(&q->timer, on_timer, q);
}

static void free_change(struct tlb_change *x)
{
	x->queue->count--;
	APR_RING_REMOVE(x, link);
	json_decref(x->rows);
	tlb_config_table_free(x->candidate);
	tlb_faults_finish(&x->faults);
	free(x);
}

static struct tlb_change *first_change(struct tlb_changes *q)
{
	return APR_RING_EMPTY(&q->queue, tlb_change, link) ? NULL : APR_RING_FIRST(&q->queue);
}

void tlb_changes_finish(struct tlb_changes *q)
{
	struct tlb_change *x;

	tlb_store_cancel(&q->op);
	tlb_timer_clear(q->config->loop, &q->timer);
	while ((x = first_change(q)))
		free_change(x);
}

/* --- validation --- */

static void add_row_fault(struct tlb_faults *f, const char *row, const char *allowed)
{
	tlb_faults_add(f, row, "", NULL, allowed);
}

static void apply_row(struct tlb_table *t, const json_t *row, json_t *seen, struct tlb_faults *f)
{
	const char *key = json_string_value(json_object_get(row, "key"));
	const json_t *value = json_object_get(row, "value");
	enum tlb_row_kind kind;
	const char *id;

	if (!key || !tlb_table_split_key(key, &kind, &id)) {
		add_row_fault(f, key ? key : "(without a key)",
			      "a key of the form config/<kind>/<id>");
		return;
	}
	key += strlen("config/");
	if (json_object_get(seen, key))
		add_row_fault(f, key, "each row once in a change");
	json_object_set_new(seen, key, json_true());
	if (value && !json_is_null(value))
		tlb_table_put(t, kind, id, value, true, f);
	else if (!tlb_table_remove(t, kind, id))
		add_row_fault(f, key, "a row of the table, because it is to be removed");
}

/* Applies rows to t, a copy of the table previous, and validates the result. */
static bool build_candidate(struct tlb_table *t, const struct tlb_table *previous,
			    const json_t *rows, struct tlb_faults *f)
{
	json_t *seen = json_object();
	const json_t *row;
	size_t i;

	json_array_foreach (rows, i, row) {
		apply_row(t, row, seen, f);
	}
	json_decref(seen);
	tlb_table_check(t, f);
	if (tlb_table_has_operator(previous) && !tlb_table_has_operator(t))
		add_row_fault(f, "operator", "at least one granted operator, who can make changes");
	return f->fault_count == 0;
}

bool tlb_change_check(const struct tlb_config *c, const json_t *rows, struct tlb_faults *f)
{
	struct tlb_table t;
	bool valid;

	tlb_table_init(&t);
	tlb_table_copy(&t, c->table);
	valid = build_candidate(&t, c->table, rows, f);
	tlb_table_finish(&t);
	return valid;
}

/* --- results --- */

static void count_result(struct tlb_counters *c, enum tlb_code code)
{
	if (code == TLB_OK)
		tlb_counter_add(c, TLB_COUNTER_CONFIG_CHANGES, 1);
	else if (code == TLB_CONFLICT)
		tlb_counter_add(c, TLB_COUNTER_CONFIG_CONFLICTS, 1);
	else
		tlb_counter_add(c, TLB_COUNTER_CONFIG_REFUSED, 1);
}

static void finish(struct tlb_change *x, struct tlb_change_result *r)
{
	struct tlb_changes *q = x->queue;

	tlb_log_info("event=change id=%s author=%s base=%lld rows=%zu result=%s version=%lld",
		     x->change_id, x->author, (long long)x->base_version, json_array_size(x->rows),
		     tlb_error_name(r->error.code), (long long)r->version);
	count_result(q->config->counters, r->error.code);
	r->faults = &x->faults;
	if (x->on_done)
		x->on_done(x->arg, r);
	free_change(x);
	/* The next change is started by the event loop, so that a callback may queue a change. */
	if (first_change(q))
		tlb_timer_set(q->config->loop, &q->timer, tlb_clock_now());
}

static void finish_ok(struct tlb_change *x, int64_t version)
{
	struct tlb_change_result r = {.version = version};

	finish(x, &r);
}

static void finish_invalid(struct tlb_change *x)
{
	struct tlb_change_result r = {.version = 0};

	tlb_error_set(&r.error, TLB_BAD_REQUEST, TLB_OUTCOME_NOT_RUN, "check", "", "%s",
		      tlb_faults_first(&x->faults));
	finish(x, &r);
}

static void finish_conflict(struct tlb_change *x, const json_t *head)
{
	struct tlb_change_result r = {.version = 0};
	const char *author = json_string_value(json_object_get(head, "author"));
	int64_t version = json_integer_value(json_object_get(head, "version"));

	/* The head has a newer version, so a write still in flight can no longer be committed. If
	 * one had been committed earlier, its change id would still be among the recent ones, as
	 * long as no more changes followed than that list holds. */
	bool not_run = !x->uncertain || version - x->base_version <= TLB_CHANGE_RECENT_MAX;

	r.current_head = head;
	tlb_error_set(&r.error, TLB_CONFLICT, not_run ? TLB_OUTCOME_NOT_RUN : TLB_OUTCOME_UNKNOWN,
		      "change", "",
		      "the change is based on version %lld, but version %lld by %s is in force",
		      (long long)x->base_version, (long long)version, author ? author : "nobody");
	finish(x, &r);
}

static void finish_unavailable(struct tlb_change *x)
{
	struct tlb_change_result r = {.version = 0};

	tlb_error_set(&r.error, TLB_STORE_UNAVAILABLE,
		      x->uncertain ? TLB_OUTCOME_UNKNOWN : TLB_OUTCOME_NOT_RUN, "change",
		      x->queue->config->store->url,
		      x->uncertain ? "the table service did not answer; the change may have taken "
				     "effect, send it again with the same change id"
				   : "the table service is not available; nothing was changed");
	finish(x, &r);
}

static void finish_withdrawn(struct tlb_change *x)
{
	struct tlb_change_result r = {.version = 0};

	tlb_error_set(&r.error, TLB_INVALID_KEY, TLB_OUTCOME_NOT_RUN, "change", "",
		      "the credential of operator %s has been withdrawn", x->author);
	finish(x, &r);
}

/* --- processing the first change of the queue --- */

static void retry_after(struct tlb_change *x, tlb_time wait)
{
	struct tlb_changes *q = x->queue;
	tlb_time now = tlb_clock_now();

	if (now + wait >= x->deadline)
		finish_unavailable(x);
	else
		tlb_timer_set(q->config->loop, &q->timer, now + wait);
}

static void retry_with_jitter(struct tlb_change *x)
{
	struct tlb_random *random = &x->queue->config->random;

	retry_after(x, (RETRY_MS + tlb_random_below(random, RETRY_JITTER_MS)) * TLB_MS);
}

static tlb_time step_deadline(const struct tlb_change *x)
{
	tlb_time step = tlb_clock_now() + STEP_TIMEOUT_MS * TLB_MS;

	return step < x->deadline ? step : x->deadline;
}

static void on_written(void *arg, enum tlb_store_status status, json_t *body,
		       const struct tlb_error *err)
{
	struct tlb_changes *q = arg;
	struct tlb_change *x = first_change(q);
	int64_t version = x->candidate->version;

	switch (status) {
	case TLB_STORE_OK:
		tlb_config_install(q->config, x->candidate, TLB_CONFIG_FROM_CHANGE);
		x->candidate = NULL;
		finish_ok(x, version);
		break;
	case TLB_STORE_CONFLICT:
		/* The head row shows which change was committed instead; after a lost response it
		 * may be this one. */
		read_head(q);
		break;
	case TLB_STORE_UNCERTAIN:
		/* The write may still be committed. Repeating it is safe, because both writes are
		 * conditional on the same version of the head row. */
		x->uncertain = true;
		retry_with_jitter(x);
		break;
	case TLB_STORE_REFUSED:
	case TLB_STORE_ABSENT:
		retry_with_jitter(x);
		break;
	}
}

/* The list of recent changes, including this one. New reference. */
static json_t *make_recent(const struct tlb_change *x, const json_t *head)
{
	json_t *recent = json_copy(json_object_get(head, "recent"));

	if (!json_is_array(recent)) {
		json_decref(recent);
		recent = json_array();
	}
	json_array_append_new(recent,
			      json_pack("{s:I, s:s, s:s, s:s}", "version",
					(json_int_t)x->candidate->version, "change_id",
					x->change_id, "author", x->author, "summary", x->summary));
	while (json_array_size(recent) > TLB_CHANGE_RECENT_MAX)
		json_array_remove(recent, 0);
	return recent;
}

static json_t *make_head(const struct tlb_change *x, const json_t *head)
{
	return json_pack("{s:I, s:s, s:s, s:s, s:I, s:o}", "version",
			 (json_int_t)x->candidate->version, "author", x->author, "change_id",
			 x->change_id, "summary", x->summary, "wall_ms",
			 (json_int_t)tlb_clock_wall_ms(), "recent", make_recent(x, head));
}

/* Rows are written with every column, defaults included, so that releases with other defaults read
 * the same values. */
static json_t *make_txn(const struct tlb_change *x, const json_t *head, int64_t row_version)
{
	json_t *txn = tlb_store_txn_new();
	enum tlb_row_kind kind;
	const char *key;
	const char *id;
	json_t *row;
	size_t i;

	tlb_store_check(txn, TLB_CONFIG_HEAD, row_version);
	json_array_foreach (x->rows, i, row) {
		key = json_string_value(json_object_get(row, "key"));
		if (tlb_table_split_key(key, &kind, &id))
			tlb_store_write(txn, key, tlb_table_row(x->candidate, kind, id));
	}
	tlb_store_write(txn, TLB_CONFIG_HEAD, make_head(x, head));
	return txn;
}

static void write_change(struct tlb_change *x, const json_t *head, int64_t row_version)
{
	struct tlb_changes *q = x->queue;

	/* The table may be newer than the one against which the credential was checked. The write
	 * is conditional on the version of this table, so a withdrawn operator can't commit a
	 * change. */
	if (tlb_table_has_operator(q->config->table) &&
	    !tlb_table_is_operator(q->config->table, x->author)) {
		finish_withdrawn(x);
		return;
	}
	tlb_config_table_free(x->candidate);
	tlb_faults_finish(&x->faults);
	tlb_faults_init(&x->faults);
	x->candidate = tlb_config_table_new();
	tlb_table_copy(x->candidate, q->config->table);
	x->candidate->version = x->base_version + 1;
	if (!build_candidate(x->candidate, q->config->table, x->rows, &x->faults)) {
		finish_invalid(x);
		return;
	}
	tlb_store_txn(q->config->store, &q->op, make_txn(x, head, row_version), step_deadline(x),
		      on_written, q);
}

/* The version that this change got when it was committed; 0 if it is not in the head row. */
static int64_t find_recent(const struct tlb_change *x, const json_t *head)
{
	const json_t *item;
	const char *id;
	size_t i;

	json_array_foreach (json_object_get(head, "recent"), i, item) {
		id = json_string_value(json_object_get(item, "change_id"));
		if (id && strcmp(id, x->change_id) == 0)
			return json_integer_value(json_object_get(item, "version"));
	}
	id = json_string_value(json_object_get(head, "change_id"));
	if (id && strcmp(id, x->change_id) == 0)
		return json_integer_value(json_object_get(head, "version"));
	return 0;
}

/* Handles a store whose version is newer than the table in force on this daemon. */
static void handle_newer_store(struct tlb_change *x, const json_t *head, int64_t own_version)
{
	tlb_config_refresh(x->queue->config);
	if (!own_version && json_integer_value(json_object_get(head, "version")) != x->base_version)
		finish_conflict(x, head);
	/* A committed change is reported once it is in force here, or after
	 * RELOAD_CHECKS_MAX checks. */
	else if (own_version && x->reload_checks++ == RELOAD_CHECKS_MAX)
		finish_ok(x, own_version);
	else
		retry_after(x, RELOAD_CHECK_MS * TLB_MS);
}

static void handle_head(struct tlb_change *x, const json_t *head, int64_t row_version)
{
	int64_t stored = json_integer_value(json_object_get(head, "version"));
	int64_t in_force = tlb_config_version(x->queue->config);
	int64_t own_version = find_recent(x, head);

	if (stored > in_force)
		handle_newer_store(x, head, own_version);
	else if (own_version)
		finish_ok(x, own_version);
	/* A store restored from an older state has a lower version than the table in force. The
	 * table never reverts; further changes continue from its version. */
	else if (in_force != x->base_version)
		finish_conflict(x, head);
	else
		write_change(x, head, row_version);
}

static void on_head(void *arg, enum tlb_store_status status, json_t *body,
		    const struct tlb_error *err)
{
	struct tlb_change *x = first_change(arg);

	if (status == TLB_STORE_OK)
		handle_head(x, json_object_get(body, "value"),
			    json_integer_value(json_object_get(body, "version")));
	else if (status == TLB_STORE_ABSENT)
		handle_head(x, NULL, 0);
	else
		retry_with_jitter(x);
}

/* Every attempt first reads the head row, which shows whether an earlier one was committed. */
static void read_head(struct tlb_changes *q)
{
	tlb_store_row(q->config->store, &q->op, TLB_CONFIG_HEAD, step_deadline(first_change(q)),
		      on_head, q);
}

static void on_timer(void *arg)
{
	struct tlb_changes *q = arg;
	struct tlb_change *x = first_change(q);

	if (!x || tlb_http_active(&q->op.call))
		return;
	if (tlb_clock_now() >= x->deadline)
		finish_unavailable(x);
	else
		read_head(q);
}

struct tlb_change *tlb_change_start(struct tlb_changes *q, const struct tlb_change_spec *spec,
				    tlb_change_done_fn *on_done, void *arg, struct tlb_error *err)
{
	struct tlb_change *x = NULL;

	if (q->count < TLB_CHANGE_QUEUE_MAX)
		x = calloc(1, sizeof(*x));
	if (!x) {
		tlb_error_set(err, TLB_OVERLOADED, TLB_OUTCOME_NOT_RUN, "change", "",
			      "%d changes are waiting already", TLB_CHANGE_QUEUE_MAX);
		return NULL;
	}
	x->queue = q;
	snprintf(x->author, sizeof(x->author), "%s", spec->author);
	snprintf(x->change_id, sizeof(x->change_id), "%s", spec->change_id);
	snprintf(x->summary, sizeof(x->summary), "%s", spec->summary);
	x->base_version = spec->base_version;
	x->rows = json_incref(spec->rows);
	x->deadline = tlb_clock_now() + TLB_CHANGE_TIMEOUT_MS * TLB_MS;
	tlb_faults_init(&x->faults);
	x->on_done = on_done;
	x->arg = arg;
	APR_RING_ELEM_INIT(x, link);
	APR_RING_INSERT_TAIL(&q->queue, x, tlb_change, link);
	q->count++;
	if (q->count == 1)
		tlb_timer_set(q->config->loop, &q->timer, tlb_clock_now());
	return x;
}

void tlb_change_detach(struct tlb_change *change)
{
	change->on_done = NULL;
}
