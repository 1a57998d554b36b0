#include "command.h"

#include <sodium.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "change.h"
#include "client.h"
#include "csv.h"
#include "print.h"
#include "row_schema.h"
#include "settings.h"

enum {
	PATH_LEN = 160,
	KEY_BYTES = 32,	       /* random bytes of a generated key */
	REBASE_ATTEMPTS = 5,   /* while changes to other rows are committed first */
	FORCE_WAIT_MS = 10000, /* limit of --wait */
	FORCE_POLL_MS = 250,
	IMPORT_MAX_BYTES = 16 << 20,
};

static void print_error(const char *fmt, ...) __attribute__((format(printf, 1, 2)));

static void print_error(const char *fmt, ...)
{
	va_list ap;

	fputs("toucanlb: ", stderr);
	va_start(ap, fmt);
	vfprintf(stderr, fmt, ap);
	va_end(ap);
	fputc('\n', stderr);
}

/* --- connection to a listener --- */

static const char *option_or_env(const char *option, const char *variable)
{
	return option ? option : getenv(variable);
}

static bool load_credential(struct tlb_client *c, const struct tlb_options *o)
{
	const char *path = option_or_env(o->credential_file, "TOUCANLB_CREDENTIAL_FILE");
	char reason[240];

	if (!path) {
		print_error("no credential: give --credential-file or TOUCANLB_CREDENTIAL_FILE");
		return false;
	}
	if (tlb_client_read_secret(path, c->credential, sizeof(c->credential), reason,
				   sizeof(reason)))
		return true;
	print_error("%s", reason);
	return false;
}

/* Initializes a client from the options. On failure prints the error and returns false. */
static bool open_client(struct tlb_client *c, const struct tlb_options *o, bool credential)
{
	const char *operators = option_or_env(o->operators, "TOUCANLB_OPERATORS");
	char reason[240];

	if (!operators) {
		print_error("no operator address: give --operator or TOUCANLB_OPERATORS");
		return false;
	}
	if (!tlb_client_init(c, operators, reason, sizeof(reason))) {
		print_error("%s", reason);
		return false;
	}
	if (!credential || load_credential(c, o))
		return true;
	tlb_client_finish(c);
	return false;
}

static enum tlb_exit exit_code(const struct tlb_client_response *a)
{
	if (a->status == 200)
		return TLB_EXIT_OK;
	if (a->status == 409)
		return TLB_EXIT_CONFLICT;
	if (a->status >= 400 && a->status < 500)
		return TLB_EXIT_REFUSED;
	return TLB_EXIT_UNREACHABLE;
}

static void print_messages(const char *what, const json_t *list)
{
	const json_t *item;
	const char *message;
	size_t i;

	json_array_foreach (list, i, item) {
		message = json_string_value(json_object_get(item, "message"));
		fprintf(stderr, "%s: %s\n", what, message ? message : "");
	}
}

static void print_change(const char *what, const json_t *change)
{
	const char *author = json_string_value(json_object_get(change, "author"));
	const char *summary = json_string_value(json_object_get(change, "summary"));

	fprintf(stderr, "%s: version %lld by %s: %s\n", what,
		(long long)json_integer_value(json_object_get(change, "version")),
		author ? author : "?", summary ? summary : "");
}

/* Prints the changes committed since the base version or, when they are not listed, the one that
 * won. */
static void print_conflict(const json_t *body)
{
	const json_t *since = json_object_get(body, "since");
	const json_t *winner = json_object_get(body, "winner");
	const json_t *change;
	size_t i;

	json_array_foreach (since, i, change) {
		print_change("came first", change);
	}
	if (winner && json_array_size(since) == 0)
		print_change("came first", winner);
}

/* Prints the error of an unsuccessful call. */
static void print_failure(const struct tlb_options *o, const struct tlb_client_response *a)
{
	const json_t *error = json_object_get(a->json, "error");
	const char *code = json_string_value(json_object_get(error, "code"));
	const char *message = json_string_value(json_object_get(error, "message"));
	const char *outcome = json_string_value(json_object_get(error, "outcome"));

	if (o->json && a->json)
		tlb_print_json(stdout, a->json);
	if (a->status == 0)
		print_error("no operator listener can be reached: %s", a->reason);
	else if (json_array_size(json_object_get(a->json, "faults")) == 0)
		print_error("%s: %s (outcome: %s)", code ? code : "error", message ? message : "",
			    outcome ? outcome : "unknown");
	print_messages("fault", json_object_get(a->json, "faults"));
	print_messages("warning", json_object_get(a->json, "warnings"));
	print_conflict(a->json);
}

/* --- reading --- */

typedef void print_fn(const struct tlb_client_response *a);

static enum tlb_exit read_path(const struct tlb_options *o, const char *path, bool credential,
			       print_fn *print)
{
	struct tlb_client_response a;
	struct tlb_client c;
	enum tlb_exit code;

	if (!open_client(&c, o, credential))
		return TLB_EXIT_USAGE;
	tlb_client_call(&c, "GET", path, NULL, &a);
	code = exit_code(&a);
	if (code != TLB_EXIT_OK)
		print_failure(o, &a);
	else if (o->json && a.json)
		tlb_print_json(stdout, a.json);
	else
		print(&a);
	tlb_client_response_finish(&a);
	tlb_client_finish(&c);
	return code;
}

static void print_body(const struct tlb_client_response *a)
{
	fputs(a->body ? a->body : "", stdout);
}

static void print_status(const struct tlb_client_response *a)
{
	tlb_print_object(stdout, a->json);
}

static void print_requests(const struct tlb_client_response *a)
{
	tlb_print_list(stdout, json_object_get(a->json, "requests"));
}

static void print_accounts(const struct tlb_client_response *a)
{
	tlb_print_list(stdout, json_object_get(a->json, "accounts"));
}

static void print_endpoints(const struct tlb_client_response *a)
{
	tlb_print_list(stdout, json_object_get(a->json, "endpoints"));
}

/* Returns the rows of one kind. New reference. */
static json_t *rows_of_kind(const json_t *rows, enum tlb_row_kind requested)
{
	json_t *list = json_array();
	enum tlb_row_kind kind;
	const char *key;
	const char *id;
	json_t *row;
	size_t i;

	json_array_foreach (rows, i, row) {
		key = json_string_value(json_object_get(row, "key"));
		if (key && tlb_table_split_key(key, &kind, &id) && kind == requested)
			json_array_append(list, row);
	}
	return list;
}

static void print_table(const struct tlb_client_response *a)
{
	json_t *list;
	int kind;

	printf("version: %lld\n",
	       (long long)json_integer_value(json_object_get(a->json, "version")));
	for (kind = 0; kind < TLB_ROW_KIND_COUNT; kind++) {
		list = rows_of_kind(json_object_get(a->json, "rows"), kind);
		if (json_array_size(list) > 0)
			printf("\n%s\n", tlb_table_kind_name(kind));
		tlb_print_list(stdout, list);
		json_decref(list);
	}
}

static bool parse_kind(const char *name, enum tlb_row_kind *kind)
{
	if (tlb_table_kind_from_name(name, kind))
		return true;
	print_error("kind \"%s\" is not allowed; expected one of account, key, model, endpoint, "
		    "route, operator",
		    name);
	return false;
}

static bool check_id(const char *id)
{
	if (tlb_table_id_valid(id))
		return true;
	print_error("id \"%s\" is not allowed; expected 1 to 47 of A-Z a-z 0-9 . _ -, the first a "
		    "letter or a digit",
		    id);
	return false;
}

static enum tlb_exit run_show(const struct tlb_options *o, char **args, int count)
{
	enum tlb_row_kind kind;
	char path[PATH_LEN] = "/v1/table";

	if (count > 0 && !parse_kind(args[0], &kind))
		return TLB_EXIT_USAGE;
	if (count > 0)
		snprintf(path, sizeof(path), "/v1/table?kind=%s", args[0]);
	return read_path(o, path, true, print_table);
}

static enum tlb_exit run_export(const struct tlb_options *o, char **args, int count)
{
	enum tlb_row_kind kind;
	char path[PATH_LEN];

	if (!parse_kind(args[0], &kind))
		return TLB_EXIT_USAGE;
	snprintf(path, sizeof(path), o->json ? "/v1/table?kind=%s" : "/v1/table.csv?kind=%s",
		 args[0]);
	return read_path(o, path, true, print_body);
}

static enum tlb_exit run_status(const struct tlb_options *o, char **args, int count)
{
	return read_path(o, "/v1/status", true, print_status);
}

static enum tlb_exit run_requests(const struct tlb_options *o, char **args, int count)
{
	return read_path(o, "/v1/requests", true, print_requests);
}

static enum tlb_exit run_accounts(const struct tlb_options *o, char **args, int count)
{
	return read_path(o, "/v1/accounts", true, print_accounts);
}

static enum tlb_exit run_endpoints(const struct tlb_options *o, char **args, int count)
{
	return read_path(o, "/v1/endpoints", true, print_endpoints);
}

/* Parses "<name> <value>" lines into an object, skipping comments. New reference. */
static json_t *parse_metrics(const char *text)
{
	json_t *values = json_object();
	char name[100];
	long long n;

	for (; text && *text; text += strcspn(text, "\n"), text += *text == '\n')
		if (*text != '#' && sscanf(text, "%99s %lld", name, &n) == 2)
			json_object_set_new(values, name, json_integer(n));
	return values;
}

static void print_metrics_json(const struct tlb_client_response *a)
{
	json_t *values = parse_metrics(a->body);

	tlb_print_json(stdout, values);
	json_decref(values);
}

static enum tlb_exit run_metrics(const struct tlb_options *o, char **args, int count)
{
	return read_path(o, "/metrics", false, o->json ? print_metrics_json : print_body);
}

/* --- versions in force on the VMs --- */

static void sleep_poll_interval(void)
{
	struct timespec step = {.tv_nsec = FORCE_POLL_MS * 1000000L};

	nanosleep(&step, NULL);
}

/* Polls until the version is in force on all VMs or the time is up; without wait asks once. */
static enum tlb_exit poll_force(struct tlb_client *c, const char *path, bool wait,
				struct tlb_client_response *a)
{
	tlb_time end = tlb_clock_now() + (wait ? FORCE_WAIT_MS * TLB_MS : 0);
	enum tlb_exit code;

	for (;;) {
		tlb_client_call(c, "GET", path, NULL, a);
		code = exit_code(a);
		if (code != TLB_EXIT_OK || json_is_true(json_object_get(a->json, "everywhere")))
			return code;
		if (tlb_clock_now() >= end)
			return TLB_EXIT_REFUSED;
		tlb_client_response_finish(a);
		sleep_poll_interval();
	}
}

static void print_force(const struct tlb_options *o, const struct tlb_client_response *a)
{
	bool all_have_version = json_is_true(json_object_get(a->json, "everywhere"));

	if (o->json) {
		tlb_print_json(stdout, a->json);
		return;
	}
	tlb_print_list(stdout, json_object_get(a->json, "vms"));
	printf("version %lld is %s\n",
	       (long long)json_integer_value(json_object_get(a->json, "version")),
	       all_have_version ? "in force everywhere" : "not in force everywhere");
}

static enum tlb_exit run_force(const struct tlb_options *o, char **args, int count)
{
	struct tlb_client_response a;
	struct tlb_client c;
	enum tlb_exit code;
	char path[PATH_LEN] = "/v1/force";

	if (count > 0 && (strlen(args[0]) > 18 || args[0][strspn(args[0], "0123456789")])) {
		print_error("version \"%s\" is not allowed; expected an integer", args[0]);
		return TLB_EXIT_USAGE;
	}
	if (count > 0)
		snprintf(path, sizeof(path), "/v1/force?version=%s", args[0]);
	if (!open_client(&c, o, true))
		return TLB_EXIT_USAGE;
	code = poll_force(&c, path, o->wait, &a);
	if (a.status == 200)
		print_force(o, &a);
	else
		print_failure(o, &a);
	tlb_client_response_finish(&a);
	tlb_client_finish(&c);
	return code;
}

/* --- changes --- */

/* A change being made and the last response. */
struct edit {
	const struct tlb_options *options;
	struct tlb_client client;
	struct tlb_client_response response;
	char change_id[2 * 16 + 1];
	char summary[TLB_SUMMARY_LEN];
	const char *secret; /* generated key, printed on success; borrowed, may be NULL */
	json_t *before; /* the row as read by the first attempt; JSON null when it did not exist */
};

static bool open_edit(struct edit *e, const struct tlb_options *o, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

/* fmt is the default summary. On failure prints the error and returns false. */
static bool open_edit(struct edit *e, const struct tlb_options *o, const char *fmt, ...)
{
	unsigned char id[16];
	va_list ap;

	memset(e, 0, sizeof(*e));
	e->options = o;
	randombytes_buf(id, sizeof(id));
	sodium_bin2hex(e->change_id, sizeof(e->change_id), id, sizeof(id));
	va_start(ap, fmt);
	vsnprintf(e->summary, sizeof(e->summary), fmt, ap);
	va_end(ap);
	if (o->summary && strlen(o->summary) >= sizeof(e->summary)) {
		print_error("the summary is longer than %d bytes", TLB_SUMMARY_LEN - 1);
		return false;
	}
	if (o->summary)
		strcpy(e->summary, o->summary);
	return open_client(&e->client, o, true);
}

static void close_edit(struct edit *e)
{
	tlb_client_response_finish(&e->response);
	tlb_client_finish(&e->client);
	json_decref(e->before);
}

/* Sends rows as one change based on version base; steals the reference to rows. */
static enum tlb_exit send_rows(struct edit *e, int64_t base, json_t *rows)
{
	json_t *body = json_pack("{s:s, s:I, s:s, s:o}", "change_id", e->change_id, "base_version",
				 (json_int_t)base, "summary", e->summary, "rows", rows);

	tlb_client_response_finish(&e->response);
	tlb_client_call(&e->client, "POST", e->options->dry_run ? "/v1/check" : "/v1/change", body,
			&e->response);
	json_decref(body);
	return exit_code(&e->response);
}

static enum tlb_exit wait_everywhere(struct edit *e, int64_t version)
{
	struct tlb_client_response a;
	char path[PATH_LEN];
	enum tlb_exit code;

	snprintf(path, sizeof(path), "/v1/force?version=%lld", (long long)version);
	code = poll_force(&e->client, path, true, &a);
	json_object_set_new(e->response.json, "everywhere", json_boolean(code == TLB_EXIT_OK));
	if (code == TLB_EXIT_REFUSED && a.status == 200)
		print_error("version %lld is not in force everywhere after %d s; see \"toucanlb "
			    "force\"",
			    (long long)version, FORCE_WAIT_MS / 1000);
	else if (code != TLB_EXIT_OK)
		print_failure(e->options, &a);
	tlb_client_response_finish(&a);
	return code;
}

static void print_success(const struct edit *e, int64_t version)
{
	const struct tlb_options *o = e->options;

	if (e->secret && o->json)
		json_object_set_new(e->response.json, "key", json_string(e->secret));
	if (o->json)
		tlb_print_json(stdout, e->response.json);
	else if (e->secret)
		/* Nothing else goes to standard output, so that the key can be redirected to a
		 * file. */
		printf("%s\n", e->secret);
	else if (o->dry_run)
		printf("the change passes the checks on version %lld\n", (long long)version);
	else
		printf("version %lld\n", (long long)version);
}

/* Prints the result of a change and returns the exit code of the command. */
static enum tlb_exit finish_edit(struct edit *e, enum tlb_exit code)
{
	int64_t version = json_integer_value(json_object_get(e->response.json, "version"));

	if (code != TLB_EXIT_OK) {
		print_failure(e->options, &e->response);
		return code;
	}
	if (e->options->wait && !e->options->dry_run)
		code = wait_everywhere(e, version);
	print_messages("warning", json_object_get(e->response.json, "warnings"));
	print_success(e, version);
	return code;
}

/* The change of one row. */
struct row_edit {
	enum tlb_row_kind kind;
	const char *id;
	json_t *columns; /* columns to set; NULL deletes the row. Owned by the caller */
	bool must_exist;
	bool must_be_new;
};

/* Reads the row and the version of the table. *row is borrowed from the response, NULL when the row
 * does not exist. */
static enum tlb_exit fetch_row(struct edit *e, const struct row_edit *r, int64_t *version,
			       json_t **row)
{
	char path[PATH_LEN];
	enum tlb_exit code;

	snprintf(path, sizeof(path), "/v1/table?kind=%s&id=%s", tlb_table_kind_name(r->kind),
		 r->id);
	tlb_client_response_finish(&e->response);
	tlb_client_call(&e->client, "GET", path, NULL, &e->response);
	code = exit_code(&e->response);
	*version = json_integer_value(json_object_get(e->response.json, "version"));
	*row = json_object_get(json_array_get(json_object_get(e->response.json, "rows"), 0),
			       "value");
	return code;
}

/* Builds the rows of the change from the current row. New reference. */
static json_t *make_rows(const struct row_edit *r, const json_t *row)
{
	json_t *value = NULL;

	if (r->columns) {
		value = row ? json_deep_copy(row) : json_object();
		json_object_update(value, r->columns);
	}
	return json_pack("[{s:o, s:o}]", "key",
			 json_sprintf("config/%s/%s", tlb_table_kind_name(r->kind), r->id), "value",
			 value ? value : json_null());
}

static bool check_existence(const struct row_edit *r, const json_t *row)
{
	if (r->must_exist && !row)
		print_error("there is no row %s/%s", tlb_table_kind_name(r->kind), r->id);
	else if (r->must_be_new && row)
		print_error("row %s/%s exists already", tlb_table_kind_name(r->kind), r->id);
	else
		return true;
	return false;
}

/* Called when another change modified the row after it was read. Sends the change again based on
 * the version at which it was read: this attempt fails by design, and its conflict response lists
 * the changes since then. */
static enum tlb_exit report_row_conflict(struct edit *e, const struct row_edit *r, int64_t read_at)
{
	enum tlb_exit code = send_rows(e, read_at, make_rows(r, NULL));

	print_error("%s/%s was changed by someone else in the meantime",
		    tlb_table_kind_name(r->kind), r->id);
	if (code == TLB_EXIT_CONFLICT)
		return finish_edit(e, code);
	return TLB_EXIT_CONFLICT;
}

/* Whether the row equals the one that the first attempt read. */
static bool row_is_unchanged(struct edit *e, json_t *row)
{
	json_t *now = row ? json_incref(row) : json_null();
	bool same;

	if (!e->before)
		e->before = json_incref(now);
	same = json_equal(e->before, now);
	json_decref(now);
	return same;
}

/* Changes one row by compare-and-set on the version read. When a change to another row was
 * committed first, retries on the new version. */
static enum tlb_exit edit_row(struct edit *e, const struct row_edit *r)
{
	enum tlb_exit code = TLB_EXIT_CONFLICT;
	int64_t read_at = 0;
	int64_t version;
	json_t *row;
	int i;

	for (i = 0; i < REBASE_ATTEMPTS; i++) {
		/* Give a lagging daemon time to receive the version that was committed first. */
		if (i > 0)
			sleep_poll_interval();
		code = fetch_row(e, r, &version, &row);
		if (code != TLB_EXIT_OK)
			return finish_edit(e, code);
		if (!row_is_unchanged(e, row))
			return report_row_conflict(e, r, read_at);
		if (!check_existence(r, row))
			return TLB_EXIT_REFUSED;
		code = send_rows(e, version, make_rows(r, row));
		if (code != TLB_EXIT_CONFLICT)
			break;
		if (i == 0)
			read_at = version;
	}
	return finish_edit(e, code);
}

/* --- commands that change one row --- */

static void print_column_error(enum tlb_row_kind kind, const char *arg)
{
	size_t i;

	fprintf(stderr, "toucanlb: \"%s\" is not allowed; expected COLUMN=VALUE, with each of",
		arg);
	for (i = 0; i < tlb_row_column_count(kind); i++)
		fprintf(stderr, "%s %s", i ? "," : "", tlb_row_column(kind, i));
	fputs(" at most once\n", stderr);
}

/* Adds one COLUMN=VALUE argument. Returns false when it is not allowed; arg is then truncated at
 * "=". */
static bool add_column(json_t *columns, enum tlb_row_kind kind, char *arg)
{
	char *equals = strchr(arg, '=');
	json_t *value;

	if (!equals)
		return false;
	*equals = '\0';
	if (json_object_get(columns, arg))
		return false;
	value = tlb_row_value_from_text(kind, arg, equals + 1);
	return value && json_object_set_new(columns, arg, value) == 0;
}

/* Parses COLUMN=VALUE arguments. On failure prints the error and returns NULL. New reference. */
static json_t *parse_columns(enum tlb_row_kind kind, char **args, int count)
{
	json_t *columns = json_object();
	int i;

	for (i = 0; i < count; i++) {
		if (add_column(columns, kind, args[i]))
			continue;
		print_column_error(kind, args[i]);
		json_decref(columns);
		return NULL;
	}
	return columns;
}

static enum tlb_exit run_set(const struct tlb_options *o, char **args, int count)
{
	struct row_edit r = {.id = args[1]};
	struct edit e;
	enum tlb_exit code = TLB_EXIT_USAGE;

	if (!parse_kind(args[0], &r.kind) || !check_id(args[1]))
		return TLB_EXIT_USAGE;
	r.columns = parse_columns(r.kind, args + 2, count - 2);
	if (r.columns && open_edit(&e, o, "set %s %s", args[0], args[1])) {
		code = edit_row(&e, &r);
		close_edit(&e);
	}
	json_decref(r.columns);
	return code;
}

static enum tlb_exit run_delete(const struct tlb_options *o, char **args, int count)
{
	struct row_edit r = {.id = args[1], .must_exist = true};
	struct edit e;
	enum tlb_exit code;

	if (!parse_kind(args[0], &r.kind) || !check_id(args[1]) ||
	    !open_edit(&e, o, "delete %s %s", args[0], args[1]))
		return TLB_EXIT_USAGE;
	code = edit_row(&e, &r);
	close_edit(&e);
	return code;
}

/* Sets the column "state" of an existing row. */
static enum tlb_exit set_state(const struct tlb_options *o, enum tlb_row_kind kind, const char *id,
			       const char *state)
{
	struct row_edit r = {.kind = kind, .id = id, .must_exist = true};
	struct edit e;
	enum tlb_exit code;

	if (!check_id(id) || !open_edit(&e, o, "%s %s is %s", tlb_table_kind_name(kind), id, state))
		return TLB_EXIT_USAGE;
	r.columns = json_pack("{s:s}", "state", state);
	code = edit_row(&e, &r);
	json_decref(r.columns);
	close_edit(&e);
	return code;
}

static enum tlb_exit run_leave(const struct tlb_options *o, char **args, int count)
{
	return set_state(o, TLB_ROW_ENDPOINT, args[0], "leaving");
}

static enum tlb_exit run_withdraw_key(const struct tlb_options *o, char **args, int count)
{
	return set_state(o, TLB_ROW_KEY, args[0], "withdrawn");
}

static enum tlb_exit run_withdraw_operator(const struct tlb_options *o, char **args, int count)
{
	return set_state(o, TLB_ROW_OPERATOR, args[0], "withdrawn");
}

static void generate_key(char *key, size_t size)
{
	unsigned char random[KEY_BYTES];

	randombytes_buf(random, sizeof(random));
	sodium_bin2base64(key, size, random, sizeof(random),
			  sodium_base64_VARIANT_URLSAFE_NO_PADDING);
	sodium_memzero(random, sizeof(random));
}

/* Reads the key from --key-file or generates one. On failure prints the error and returns false. */
static bool load_or_generate_key(const struct tlb_options *o, char *key, size_t size)
{
	char reason[240];

	if (!o->key_file) {
		generate_key(key, size);
		return true;
	}
	if (tlb_client_read_secret(o->key_file, key, size, reason, sizeof(reason)))
		return true;
	print_error("%s", reason);
	return false;
}

/* Columns of a row in state "granted". account is NULL for an operator. New reference. */
static json_t *granted_columns(const char *key, const char *account)
{
	unsigned char hash[TLB_KEY_HASH_LEN];
	char hex[2 * TLB_KEY_HASH_LEN + 1];
	json_t *columns;

	crypto_hash_sha256(hash, (const unsigned char *)key, strlen(key));
	sodium_bin2hex(hex, sizeof(hex), hash, sizeof(hash));
	columns = json_pack("{s:s, s:s}", "hash", hex, "state", "granted");
	if (account)
		json_object_set_new(columns, "account", json_string(account));
	return columns;
}

static enum tlb_exit grant(const struct tlb_options *o, enum tlb_row_kind kind, const char *id,
			   const char *account)
{
	struct row_edit r = {.kind = kind, .id = id, .must_be_new = true};
	char key[TLB_CREDENTIAL_LEN];
	struct edit e;
	enum tlb_exit code;

	if (!check_id(id) || !load_or_generate_key(o, key, sizeof(key)) ||
	    !open_edit(&e, o, "grant %s %s", tlb_table_kind_name(kind), id))
		return TLB_EXIT_USAGE;
	/* A key read from a file need not be printed. */
	e.secret = o->key_file || o->dry_run ? NULL : key;
	r.columns = granted_columns(key, account);
	code = edit_row(&e, &r);
	json_decref(r.columns);
	close_edit(&e);
	sodium_memzero(key, sizeof(key));
	return code;
}

static enum tlb_exit run_grant_key(const struct tlb_options *o, char **args, int count)
{
	if (!check_id(args[1]))
		return TLB_EXIT_USAGE;
	return grant(o, TLB_ROW_KEY, args[0], args[1]);
}

static enum tlb_exit run_grant_operator(const struct tlb_options *o, char **args, int count)
{
	return grant(o, TLB_ROW_OPERATOR, args[0], NULL);
}

/* --- import --- */

/* Reads a file; "-" is standard input. Returns malloc'd text; on failure prints the error and
 * returns NULL. */
static char *read_file(const char *path, size_t *len)
{
	FILE *f = strcmp(path, "-") == 0 ? stdin : fopen(path, "re");
	char *text = f ? malloc(IMPORT_MAX_BYTES) : NULL;

	*len = text ? fread(text, 1, IMPORT_MAX_BYTES, f) : 0;
	if (!text || ferror(f) || *len == IMPORT_MAX_BYTES) {
		print_error("%s can't be read or is larger than %d bytes", path,
			    IMPORT_MAX_BYTES - 1);
		free(text);
		text = NULL;
	}
	if (f && f != stdin)
		fclose(f);
	return text;
}

/* Reads the rows of a CSV file. On failure prints the errors and returns NULL. New reference. */
static json_t *read_import(enum tlb_row_kind kind, const char *path)
{
	size_t len = 0;
	char *text = read_file(path, &len);
	json_t *rows;

	if (!text)
		return NULL;
	rows = tlb_csv_read(kind, text, len, stderr);
	free(text);
	if (!rows)
		print_error("%s is not imported: no row was changed", path);
	return rows;
}

/* Maps each row's key to its value. New reference. */
static json_t *index_by_key(const json_t *rows)
{
	json_t *map = json_object();
	json_t *row;
	size_t i;

	json_array_foreach (rows, i, row) {
		json_object_set(map, json_string_value(json_object_get(row, "key")),
				json_object_get(row, "value"));
	}
	return map;
}

/* Appends the deletion of every row that is in the table but not in the file. */
static void add_removals(json_t *rows, const json_t *current)
{
	json_t *imported = index_by_key(rows);
	const char *key;
	json_t *row;
	size_t i;

	json_array_foreach (current, i, row) {
		key = json_string_value(json_object_get(row, "key"));
		if (!json_object_get(imported, key))
			json_array_append_new(rows, json_pack("{s:s, s:n}", "key", key, "value"));
	}
	json_decref(imported);
}

/* Returns the rows of the file that differ from those of the table. New reference. */
static json_t *filter_changed(const json_t *rows, const json_t *current)
{
	json_t *before = index_by_key(current);
	json_t *changed = json_array();
	json_t *row;
	size_t i;

	json_array_foreach (rows, i, row) {
		if (!json_equal(json_object_get(row, "value"),
				json_object_get(before,
						json_string_value(json_object_get(row, "key")))))
			json_array_append(changed, row);
	}
	json_decref(before);
	return changed;
}

/* Sends the rows that differ from the table as one change based on the version in force. */
static enum tlb_exit import_rows(struct edit *e, const char *kind, json_t *rows)
{
	const json_t *current;
	json_t *changed;
	char path[PATH_LEN];
	enum tlb_exit code;
	int64_t version;

	snprintf(path, sizeof(path), "/v1/table?kind=%s", kind);
	tlb_client_call(&e->client, "GET", path, NULL, &e->response);
	code = exit_code(&e->response);
	if (code != TLB_EXIT_OK)
		return finish_edit(e, code);
	current = json_object_get(e->response.json, "rows");
	version = json_integer_value(json_object_get(e->response.json, "version"));
	if (e->options->replace)
		add_removals(rows, current);
	changed = filter_changed(rows, current);
	if (json_array_size(changed) > 0)
		return finish_edit(e, send_rows(e, version, changed));
	json_decref(changed);
	/* Nothing to change: report the version that was read. */
	json_object_del(e->response.json, "rows");
	return finish_edit(e, TLB_EXIT_OK);
}

static enum tlb_exit run_import(const struct tlb_options *o, char **args, int count)
{
	enum tlb_row_kind kind;
	struct edit e;
	enum tlb_exit code;
	json_t *rows;

	if (!parse_kind(args[0], &kind))
		return TLB_EXIT_USAGE;
	rows = read_import(kind, args[1]);
	if (!rows)
		return TLB_EXIT_REFUSED;
	if (!open_edit(&e, o, "import %zu rows of %s", json_array_size(rows), args[0])) {
		json_decref(rows);
		return TLB_EXIT_USAGE;
	}
	code = import_rows(&e, args[0], rows);
	close_edit(&e);
	json_decref(rows);
	return code;
}

/* --- check --- */

/* Prints {"ok","faults":[one string per line]}. */
static void print_check_json(const char *faults)
{
	json_t *list = json_array();
	size_t len;

	for (; *faults; faults += len + (faults[len] == '\n')) {
		len = strcspn(faults, "\n");
		json_array_append_new(list, json_stringn(faults, len));
	}
	list = json_pack("{s:b, s:o}", "ok", json_array_size(list) == 0, "faults", list);
	tlb_print_json(stdout, list);
	json_decref(list);
}

static enum tlb_exit run_check(const struct tlb_options *o, char **args, int count)
{
	struct tlb_settings s;
	char *faults = NULL;
	size_t len = 0;
	FILE *f = open_memstream(&faults, &len);
	int n;

	if (!f)
		return TLB_EXIT_REFUSED;
	n = tlb_settings_load(&s, args[0], f);
	sodium_memzero(&s, sizeof(s));
	fclose(f);
	if (o->json)
		print_check_json(faults);
	else if (n > 0)
		fputs(faults, stderr);
	else
		printf("%s: ok\n", args[0]);
	free(faults);
	return n > 0 ? TLB_EXIT_REFUSED : TLB_EXIT_OK;
}

/* --- command table --- */

enum {
	READ_OPTIONS = TLB_OPTIONS_REMOTE,
	WRITE_OPTIONS = TLB_OPTIONS_REMOTE | TLB_OPTIONS_CHANGE | TLB_OPTIONS_WAIT,
};

const struct tlb_command tlb_commands[] = {
	{"check", "FILE", "Check a settings file and report every fault in it.", 1, 1, 0,
	 run_check},
	{"show", "[KIND]", "Show the rows of the configuration table.", 0, 1, READ_OPTIONS,
	 run_show},
	{"set", "KIND ID COLUMN=VALUE...",
	 "Set columns of a row; a row that does not exist is added.", 3, 64, WRITE_OPTIONS,
	 run_set},
	{"delete", "KIND ID", "Remove a row.", 2, 2, WRITE_OPTIONS, run_delete},
	{"grant-key", "ID ACCOUNT",
	 "Grant a key to a client account. The key is printed once; the table holds its hash.", 2,
	 2, WRITE_OPTIONS | TLB_OPTIONS_KEY, run_grant_key},
	{"withdraw-key", "ID", "Withdraw a key.", 1, 1, WRITE_OPTIONS, run_withdraw_key},
	{"grant-operator", "ID",
	 "Grant a credential to an operator. The credential is printed once.", 1, 1,
	 WRITE_OPTIONS | TLB_OPTIONS_KEY, run_grant_operator},
	{"withdraw-operator", "ID", "Withdraw an operator's credential.", 1, 1, WRITE_OPTIONS,
	 run_withdraw_operator},
	{"leave", "ENDPOINT", "Let an endpoint leave: it gets no new work.", 1, 1, WRITE_OPTIONS,
	 run_leave},
	{"export", "KIND", "Write the rows of a kind to standard output as CSV.", 1, 1,
	 READ_OPTIONS, run_export},
	{"import", "KIND FILE",
	 "Add and change rows from a CSV file (\"-\" is standard input), all or none.", 2, 2,
	 WRITE_OPTIONS | TLB_OPTIONS_REPLACE, run_import},
	{"status", "", "Show the state of a daemon.", 0, 0, READ_OPTIONS, run_status},
	{"force", "[VERSION]", "Show which configuration version is in force on which VM.", 0, 1,
	 READ_OPTIONS | TLB_OPTIONS_WAIT, run_force},
	{"requests", "", "Show the requests in flight.", 0, 0, READ_OPTIONS, run_requests},
	{"accounts", "", "Show the client accounts and their use.", 0, 0, READ_OPTIONS,
	 run_accounts},
	{"endpoints", "", "Show the endpoints and their load.", 0, 0, READ_OPTIONS, run_endpoints},
	{"metrics", "", "Show the counters of a daemon. Needs no credential.", 0, 0, READ_OPTIONS,
	 run_metrics},
	{NULL, NULL, NULL, 0, 0, 0, NULL},
};

const struct tlb_command *tlb_command_find(const char *name)
{
	const struct tlb_command *c;

	for (c = tlb_commands; c->name; c++)
		if (strcmp(c->name, name) == 0)
			return c;
	return NULL;
}
