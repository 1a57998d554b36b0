/*
 * Tests the configuration table and its CSV form. Each tests/table/NAME.txt contains changes, one
 * per line, then a line "--" and the expected faults and warnings, or "ok". Reading
 * tests/csv/NAME.csv must give the rows or faults in NAME.expected.
 */
#include <check.h>
#include <glob.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "csv.h"

/* Returns the content of a file, in one of two buffers that calls use in alternation. */
static char *read_file(const char *path)
{
	static char text[2][16384];
	static int next;
	FILE *f = fopen(path, "r");
	size_t n;

	next = !next;
	ck_assert_msg(f != NULL, "%s can't be read", path);
	n = fread(text[next], 1, sizeof(text[next]) - 1, f);
	text[next][n] = '\0';
	fclose(f);
	return text[next];
}

/* Applies a change of the form "<key> <json>"; JSON null removes the row. */
static void apply_change(struct tlb_table *t, char *line, struct tlb_faults *f)
{
	char *space = strchr(line, ' ');
	enum tlb_row_kind kind;
	const char *id;
	json_t *value;

	if (line[0] == '#' || line[0] == '\0')
		return;
	ck_assert_msg(space != NULL, "no value in: %s", line);
	*space = '\0';
	value = json_loads(space + 1, JSON_DECODE_ANY, NULL);
	ck_assert_msg(value != NULL, "not JSON: %s", space + 1);
	ck_assert_msg(tlb_table_split_key(line, &kind, &id), "no row key: %s", line);
	if (json_is_null(value))
		tlb_table_remove(t, kind, id);
	else
		tlb_table_put(t, kind, id, value, true, f);
	json_decref(value);
}

static void print_messages(FILE *out, const char *what, const json_t *list)
{
	json_t *item;
	size_t i;

	json_array_foreach (list, i, item) {
		fprintf(out, "%s: %s\n", what, json_string_value(json_object_get(item, "message")));
	}
}

static void check_table_case(const char *path)
{
	char *input = read_file(path);
	char *expected = strstr(input, "\n--\n");
	struct tlb_faults f;
	struct tlb_table t;
	char *got = NULL;
	size_t len = 0;
	FILE *out = open_memstream(&got, &len);
	char *save = NULL;
	char *line;

	ck_assert_msg(expected != NULL, "%s has no line --", path);
	*expected = '\0';
	tlb_table_init(&t);
	tlb_faults_init(&f);
	for (line = strtok_r(input, "\n", &save); line; line = strtok_r(NULL, "\n", &save))
		apply_change(&t, line, &f);
	tlb_table_check(&t, &f);
	print_messages(out, "fault", f.faults);
	print_messages(out, "warning", f.warnings);
	if (f.fault_count + f.warning_count == 0)
		fputs("ok\n", out);
	fclose(out);
	ck_assert_msg(strcmp(got, expected + 4) == 0, "%s gives:\n%s", path, got);
	free(got);
	tlb_faults_finish(&f);
	tlb_table_finish(&t);
}

/* Guards against accepting a change that has a fault, and against reporting only its first fault.
 */
START_TEST(table_cases)
{
	glob_t g;
	size_t i;

	ck_assert_int_eq(glob("tests/table/*.txt", 0, NULL, &g), 0);
	for (i = 0; i < g.gl_pathc; i++)
		check_table_case(g.gl_pathv[i]);
	globfree(&g);
}
END_TEST

static void check_csv_case(const char *path)
{
	const char *name = strrchr(path, '/') + 1;
	char *input = read_file(path);
	char expected[256];
	enum tlb_row_kind kind;
	char kind_name[16];
	char *got = NULL;
	size_t len = 0;
	FILE *out = open_memstream(&got, &len);
	json_t *rows;
	json_t *row;
	size_t i;

	snprintf(kind_name, sizeof(kind_name), "%.*s", (int)strcspn(name, "-"), name);
	ck_assert_msg(tlb_table_kind_from_name(kind_name, &kind), "%s does not begin with a kind",
		      name);
	rows = tlb_csv_read(kind, input, strlen(input), out);
	json_array_foreach (rows, i, row) {
		fprintf(out, "%s ", json_string_value(json_object_get(row, "key")));
		json_dumpf(json_object_get(row, "value"), out, JSON_COMPACT);
		fputc('\n', out);
	}
	json_decref(rows);
	fclose(out);
	snprintf(expected, sizeof(expected), "%.*s.expected", (int)(strlen(path) - 4), path);
	ck_assert_msg(strcmp(got, read_file(expected)) == 0, "%s gives:\n%s", path, got);
	free(got);
}

/* Guards against an import that accepts the valid records of a file that has faults. */
START_TEST(csv_cases)
{
	glob_t g;
	size_t i;

	ck_assert_int_eq(glob("tests/csv/*.csv", 0, NULL, &g), 0);
	for (i = 0; i < g.gl_pathc; i++)
		check_csv_case(g.gl_pathv[i]);
	globfree(&g);
}
END_TEST

static void make_key_hash(int i, unsigned char *hash)
{
	char text[32];

	snprintf(text, sizeof(text), "key %d", i);
	crypto_hash_sha256(hash, (const unsigned char *)text, strlen(text));
}

static void fill(struct tlb_table *t, int accounts)
{
	char hex[2 * TLB_KEY_HASH_LEN + 1];
	unsigned char hash[TLB_KEY_HASH_LEN];
	json_t *v = json_pack("{s:f, s:i, s:i}", "weight", 1.5, "rate", 100, "burst", 2000);
	char account[16];
	char id[16];
	int i;

	for (i = 0; i < accounts; i++) {
		snprintf(account, sizeof(account), "a%d", i);
		ck_assert_int_eq(tlb_table_add(t, TLB_ROW_ACCOUNT, account, v, NULL), TLB_OK);
	}
	json_decref(v);
	for (i = 0; i < accounts; i++) {
		make_key_hash(i, hash);
		sodium_bin2hex(hex, sizeof(hex), hash, sizeof(hash));
		snprintf(account, sizeof(account), "a%d", i);
		snprintf(id, sizeof(id), "k%d", i);
		v = json_pack("{s:s, s:s, s:s}", "account", account, "hash", hex, "state",
			      "granted");
		ck_assert_int_eq(tlb_table_add(t, TLB_ROW_KEY, id, v, NULL), TLB_OK);
		json_decref(v);
	}
}

/* Guards against copies, checks and lookups whose cost grows quadratically with the table. A change
 * blocks the event loop and with it all streams, and scanning a ring for each key takes seconds at
 * this size. */
START_TEST(large_table)
{
	enum { ACCOUNTS = 11000 };
	unsigned char hash[TLB_KEY_HASH_LEN];
	struct tlb_table t;
	struct tlb_table copy;
	struct tlb_faults f;
	struct tlb_key *k;
	char id[16];
	tlb_time started;
	tlb_time elapsed;
	int i;

	tlb_table_init(&t);
	tlb_table_init(&copy);
	tlb_faults_init(&f);
	fill(&t, ACCOUNTS);
	started = tlb_clock_now();
	tlb_table_copy(&copy, &t);
	ck_assert(tlb_table_check(&copy, &f));
	elapsed = tlb_clock_now() - started;
	ck_assert_msg(elapsed < 500 * TLB_MS, "copy and check took %lld us", (long long)elapsed);
	for (i = 0; i < ACCOUNTS; i++) {
		make_key_hash(i, hash);
		snprintf(id, sizeof(id), "k%d", i);
		k = tlb_table_find_key(&copy, hash);
		ck_assert_ptr_nonnull(k);
		ck_assert_str_eq(k->id, id);
	}
	make_key_hash(ACCOUNTS, hash);
	ck_assert_ptr_null(tlb_table_find_key(&copy, hash));
	tlb_faults_finish(&f);
	tlb_table_finish(&copy);
	tlb_table_finish(&t);
}
END_TEST

/* Guards against a copy that shares rows with its source, and against a removed key that lookups
 * still find. */
START_TEST(copy_is_independent)
{
	unsigned char hash[TLB_KEY_HASH_LEN];
	struct tlb_table t;
	struct tlb_table copy;

	make_key_hash(0, hash);
	tlb_table_init(&t);
	tlb_table_init(&copy);
	fill(&t, 2);
	tlb_table_copy(&copy, &t);
	ck_assert(tlb_table_remove(&copy, TLB_ROW_KEY, "k0"));
	ck_assert(!tlb_table_remove(&copy, TLB_ROW_KEY, "k0"));
	ck_assert_ptr_null(tlb_table_find_key(&copy, hash));
	ck_assert_ptr_nonnull(tlb_table_find_key(&t, hash));
	tlb_table_finish(&t);
	ck_assert_str_eq(tlb_table_find_account(&copy, "a1")->id, "a1");
	tlb_table_finish(&copy);
}
END_TEST

/* Guards against an export that differs from the table when imported again. */
START_TEST(csv_round_trip)
{
	struct tlb_table t;
	json_t *before;
	json_t *after;
	char *text;
	size_t len;
	int kind;

	tlb_table_init(&t);
	fill(&t, 3);
	for (kind = 0; kind < TLB_ROW_KIND_COUNT; kind++) {
		text = tlb_csv_write(&t, kind, &len);
		before = tlb_table_rows(&t, kind);
		after = tlb_csv_read(kind, text, len, stderr);
		ck_assert(json_equal(before, after));
		json_decref(before);
		json_decref(after);
		free(text);
	}
	tlb_table_finish(&t);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("table");
	TCase *tc = tcase_create("cases");
	SRunner *sr = srunner_create(s);
	int failed;

	tcase_add_test(tc, table_cases);
	tcase_add_test(tc, csv_cases);
	tcase_add_test(tc, large_table);
	tcase_add_test(tc, copy_is_independent);
	tcase_add_test(tc, csv_round_trip);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
