/* standin-table: the platform's transactional table service, kept in memory. */
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "control.h"

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static json_t *rows; /* key -> {"key","version","value"} */
static json_int_t version;
static json_int_t writes_applied;
static struct standin_rate write_rate;
static struct standin_rate read_rate;
static int64_t writes_per_second = 600;
static int64_t reads_per_second = 2000;
static const char *load_file;

static const struct standin_option options[] = {
	{.name = "write-rate", .number = &writes_per_second},
	{.name = "read-rate", .number = &reads_per_second},
	{.name = "load", .text = &load_file},
	{.name = NULL},
};

static json_int_t row_version(const char *key)
{
	return json_integer_value(json_object_get(json_object_get(rows, key), "version"));
}

static void row_set(const char *key, json_t *value)
{
	json_object_set_new(
		rows, key,
		json_pack("{s:s, s:I, s:O}", "key", key, "version", version, "value", value));
}

/* Returns the keys whose version differs from the check's. */
static json_t *find_conflicts(json_t *checks)
{
	json_t *conflicts = json_array();
	json_t *check;
	const char *key;
	size_t i;

	json_array_foreach (checks, i, check) {
		key = json_string_value(json_object_get(check, "key"));
		if (row_version(key) != json_integer_value(json_object_get(check, "version")))
			json_array_append_new(conflicts, json_string(key));
	}
	return conflicts;
}

static json_t *apply_writes(json_t *writes)
{
	json_t *versions = json_object();
	json_t *write;
	json_t *value;
	const char *key;
	size_t i;

	version++;
	writes_applied++;
	json_array_foreach (writes, i, write) {
		key = json_string_value(json_object_get(write, "key"));
		value = json_object_get(write, "value");
		if (json_is_null(value))
			json_object_del(rows, key);
		else
			row_set(key, value);
		json_object_set_new(versions, key, json_integer(row_version(key)));
	}
	return versions;
}

static bool entries_valid(json_t *list, const char *field)
{
	json_t *e;
	json_t *value;
	size_t i;

	if (list && !json_is_array(list))
		return false;
	json_array_foreach (list, i, e) {
		value = json_object_get(e, field);
		if (!json_is_string(json_object_get(e, "key")) || !value)
			return false;
		if (strcmp(field, "version") == 0 && !json_is_integer(value))
			return false;
	}
	return true;
}

static void run_txn(struct standin_request *rq, json_t *checks, json_t *writes)
{
	json_t *conflicts;

	if (!standin_rate_acquire(&write_rate)) {
		standin_reply_error(rq, MHD_HTTP_TOO_MANY_REQUESTS, "rate");
		return;
	}
	conflicts = find_conflicts(checks);
	if (json_array_size(conflicts) > 0) {
		standin_reply(rq, MHD_HTTP_CONFLICT,
			      json_pack("{s:b, s:O}", "ok", 0, "conflicts", conflicts));
	} else {
		standin_reply(rq, MHD_HTTP_OK,
			      json_pack("{s:b, s:o}", "ok", 1, "versions", apply_writes(writes)));
	}
	json_decref(conflicts);
}

static void handle_txn(struct standin_request *rq)
{
	json_t *body = standin_body(rq);
	json_t *checks;
	json_t *writes;

	if (!body)
		return;
	checks = json_object_get(body, "checks");
	writes = json_object_get(body, "writes");
	if (entries_valid(checks, "version") && entries_valid(writes, "value"))
		run_txn(rq, checks, writes);
	else
		standin_reply_error(rq, MHD_HTTP_BAD_REQUEST, "bad_txn");
	json_decref(body);
}

static int compare_rows(const void *a, const void *b)
{
	json_t *const *ra = a;
	json_t *const *rb = b;

	return strcmp(json_string_value(json_object_get(*ra, "key")),
		      json_string_value(json_object_get(*rb, "key")));
}

/* Returns the rows with this key prefix, sorted by key. */
static json_t *rows_with_prefix(const char *prefix)
{
	json_t **found = calloc(json_object_size(rows) + 1, sizeof(json_t *));
	json_t *list = json_array();
	size_t n = 0;
	size_t i;
	const char *key;
	json_t *row;

	if (!found)
		abort();
	json_object_foreach (rows, key, row) {
		if (strncmp(key, prefix, strlen(prefix)) == 0)
			found[n++] = row;
	}
	qsort(found, n, sizeof(found[0]), compare_rows);
	for (i = 0; i < n; i++)
		json_array_append(list, found[i]);
	free(found);
	return list;
}

static void handle_read(struct standin_request *rq)
{
	const char *prefix = standin_query(rq, "prefix");
	const char *key = standin_query(rq, "key");
	json_t *row = key ? json_object_get(rows, key) : NULL;

	if (!standin_rate_acquire(&read_rate))
		standin_reply_error(rq, MHD_HTTP_TOO_MANY_REQUESTS, "rate");
	else if (strcmp(rq->path, "/rows") == 0)
		standin_reply(rq, MHD_HTTP_OK,
			      json_pack("{s:o}", "rows", rows_with_prefix(prefix ? prefix : "")));
	else if (row)
		standin_reply(rq, MHD_HTTP_OK, json_incref(row));
	else
		standin_reply_error(rq, MHD_HTTP_NOT_FOUND, "absent");
}

static void handle(struct standin_request *rq)
{
	pthread_mutex_lock(&lock);
	if (standin_is(rq, "POST", "/txn"))
		handle_txn(rq);
	else if (standin_is(rq, "GET", "/rows") || standin_is(rq, "GET", "/row"))
		handle_read(rq);
	pthread_mutex_unlock(&lock);
}

static void add_state(json_t *state)
{
	pthread_mutex_lock(&lock);
	json_object_set_new(state, "version", json_integer(version));
	json_object_set_new(state, "rows", json_integer((json_int_t)json_object_size(rows)));
	json_object_set_new(state, "writes_applied", json_integer(writes_applied));
	pthread_mutex_unlock(&lock);
}

static bool load_rows(const char *file)
{
	json_error_t err;
	json_t *loaded = json_load_file(file, 0, &err);
	const char *key;
	json_t *value;

	if (!json_is_object(loaded)) {
		fprintf(stderr, "standin-table: %s:%d: %s\n", file, err.line, err.text);
		return false;
	}
	version++;
	json_object_foreach (loaded, key, value) {
		row_set(key, value);
	}
	json_decref(loaded);
	return true;
}

static bool start(void)
{
	rows = json_object();
	standin_rate_init(&write_rate, writes_per_second);
	standin_rate_init(&read_rate, reads_per_second);
	return !load_file || load_rows(load_file);
}

static const struct standin_program program = {
	.name = "standin-table",
	.options = options,
	.handle = handle,
	.state = add_state,
	.start = start,
};

int main(int argc, char **argv)
{
	return standin_main(argc, argv, &program);
}
