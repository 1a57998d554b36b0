/* Tests the routing table and how it is read. Guards against a request that goes by another route
 * than the longest matching one, and against configurations whose reading occupies the event loop:
 * in one step, or longer than in proportion to what changed. */
#include <apr_general.h>
#include <check.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "jsonscan.h"
#include "loop.h"
#include "platform.h"
#include "routing_load.h"
#include "routing_reader.h"

enum { TEXT_MAX = 8 << 20, FEW_ROUTES = 2000, MANY_ROUTES = 20000, WAIT_S = 10 };

static char text[TEXT_MAX];

/* Writes a configuration with n routes, of which the first `changed` have that time-out. */
static size_t write_config(int version, int n, int changed, int timeout_ms)
{
	size_t len;
	int i;

	len = (size_t)snprintf(text, sizeof(text),
			       "{\"version\":%d, \"services\":[{\"name\":\"s\"}],\"routes\":[",
			       version);
	for (i = 0; i < n; i++)
		len += (size_t)snprintf(
			text + len, sizeof(text) - len,
			"%s{\"name\":\"r%d\",\"hostname\":\"h.example\",\"prefix\":\"/p%d/q/\","
			"\"kind\":\"idempotent\",\"service\":\"s\",\"timeoutMs\":%d}",
			i ? "," : "", i, i, i < changed ? timeout_ms : 1000);
	len += (size_t)snprintf(text + len, sizeof(text) - len,
				"],\"limits\":{\"idleTimeoutMs\":15000}}");
	ck_assert_uint_lt(len, sizeof(text));
	return len;
}

static struct tlb_routing *read_text(size_t len)
{
	struct tlb_error err;
	struct tlb_routing *r = tlb_platform_read_routing(text, len, &err);

	ck_assert_msg(r != NULL, "%s", err.message);
	return r;
}

static void add_route(struct tlb_routing *r, const char *name, const char *host, const char *prefix,
		      bool expected)
{
	struct tlb_split_target target = {"s", 1};
	struct tlb_forward_route route = {
		.name = name,
		.host = host,
		.prefix = prefix,
		.target = &target,
		.target_count = 1,
	};

	route.content = tlb_routing_hash_content(name, strlen(name));
	ck_assert_msg(tlb_routing_add_route(r, &route) == expected, "%s", name);
}

START_TEST(longest_matching_prefix_wins)
{
	static const char *const cases[][3] = {
		{"h.example", "/a/b/c", "ab"},	  {"H.Example:80", "/a/b/", "ab"},
		{"h.example", "/a/bc", "a"},	  {"h.example", "/a/", "a"},
		{"h.example", "/a", "root"},	  {"h.example", "/", "root"},
		{"h.example", "/x/a/b/", "root"}, {"other.example", "/a/b/c", NULL},
		{"h.example", "", NULL},	  {"h.exampl", "e/a/b/", NULL},
	};
	struct tlb_routing *r = tlb_routing_new();
	const struct tlb_forward_route *found;
	size_t i;

	add_route(r, "a", "h.example", "/a/", true);
	add_route(r, "root", "h.example", "/", true);
	add_route(r, "ab", "h.EXAMPLE", "/a/b/", true);
	add_route(r, "second", "h.example", "/a/b/", true);
	add_route(r, "no slash at the end", "h.example", "/a/b", false);
	add_route(r, "no slash at the start", "h.example", "a/b/", false);
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		found = tlb_routing_find_route(r, cases[i][0], cases[i][1]);
		ck_assert_msg(found ? cases[i][2] && strcmp(found->name, cases[i][2]) == 0
				    : !cases[i][2],
			      "%s %s: %s", cases[i][0], cases[i][1], found ? found->name : "none");
	}
	tlb_routing_release(r);
}
END_TEST

START_TEST(host_is_not_continued_by_the_path)
{
	struct tlb_routing *r = tlb_routing_new();

	add_route(r, "ab", "h.example", "/a/b/", true);
	add_route(r, "host with a slash", "g.example/a", "/b/", true);
	add_route(r, "g", "g.example", "/a/b/", true);
	ck_assert_ptr_null(tlb_routing_find_route(r, "h.example/a", "/b/c"));
	ck_assert_str_eq(tlb_routing_find_route(r, "g.example", "/a/b/c")->name, "g");
	tlb_routing_release(r);
}
END_TEST

/* Guards against names and prefixes that are cut, or left out, beyond the length of a buffer. */
START_TEST(long_names_and_prefixes_are_used_whole)
{
	enum { LONG = 60000 };
	static char host[LONG];
	static char prefix[LONG + 2];
	static char path[LONG + 10];
	struct tlb_routing *r = tlb_routing_new();

	memset(host, 'h', sizeof(host) - 1);
	memset(prefix, 'p', sizeof(prefix) - 1);
	prefix[0] = '/';
	prefix[LONG] = '/';
	add_route(r, "long", host, prefix, true);
	add_route(r, "long prefix", "h.example", prefix, true);
	add_route(r, "short", "h.example", "/p/", true);
	snprintf(path, sizeof(path), "%sx", prefix);
	ck_assert_str_eq(tlb_routing_find_route(r, host, path)->name, "long");
	ck_assert_str_eq(tlb_routing_find_route(r, "h.example", path)->name, "long prefix");
	ck_assert_str_eq(tlb_routing_find_route(r, "h.example", "/p/x")->name, "short");
	path[LONG] = 'x';
	ck_assert_ptr_null(tlb_routing_find_route(r, host, path));
	host[LONG - 2] = 'x';
	path[LONG] = '/';
	ck_assert_ptr_null(tlb_routing_find_route(r, host, path));
	tlb_routing_release(r);
}
END_TEST

/* Guards against a look-up whose work grows with the square of a path of slashes. */
START_TEST(path_of_slashes_is_looked_up_in_time)
{
	enum { LONG = 60000, LOOK_UPS = 300 };
	static char prefix[LONG + 1];
	static char path[LONG + 1];
	struct tlb_routing *r = tlb_routing_new();
	int i;

	memset(prefix, 'p', sizeof(prefix) - 1);
	memset(path, '/', sizeof(path) - 1);
	prefix[0] = '/';
	prefix[LONG - 1] = '/';
	add_route(r, "long", "h.example", prefix, true);
	add_route(r, "root", "h.example", "/", true);
	for (i = 0; i < LOOK_UPS; i++)
		ck_assert_str_eq(tlb_routing_find_route(r, "h.example", path)->name, "root");
	tlb_routing_release(r);
}
END_TEST

START_TEST(configuration_that_is_not_valid_json_is_refused)
{
	static const char *const cases[] = {
		"",
		"{",
		"[]",
		"{\"version\":1",
		"{\"version\":1}}",
		"{\"version\":1} x",
		"{,\"version\":1}",
		"{\"version\":1,}",
		"{\"version\":1,,\"limits\":{}}",
		"{\"version\":1 \"limits\":{}}",
		"{\"version\":1,\"services\":[] \"routes\":[]}",
		"{\"version\":1,\"services\":[{\"name\":\"s\"},]}",
		"{\"version\":1,\"services\":[,{\"name\":\"s\"}]}",
		"{\"version\":1,\"services\":[{\"name\":\"s\"},,{\"name\":\"t\"}]}",
		"{\"version\":1,\"services\":[{\"name\":\"s\"}{\"name\":\"t\"}]}",
		"{\"version\":1,\"services\":[{\"name\":\"s\"} {\"name\":\"t\"}]}",
		"{\"version\":1,\"services\":[{\"name\":\"s\"}}",
		"{\"version\":1,\"services\":[}",
		"{\"version\":1,\"services\":[{\"name\":\"s\"}]",
		"{\"version\":1,\"services\":[{\"name\":}]}",
	};
	static const char nul_at_end[] = "{\"version\":1}\0x";
	struct tlb_error err;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		ck_assert_msg(!tlb_platform_read_routing(cases[i], strlen(cases[i]), &err), "%s",
			      cases[i]);
	ck_assert_ptr_null(tlb_platform_read_routing(nul_at_end, sizeof(nul_at_end) - 1, &err));
}
END_TEST

/* As a parser of the whole text does. */
START_TEST(last_of_several_lists_with_a_name_holds)
{
	static const char config[] =
		"{\"version\":1,"
		"\"routes\":[{\"name\":\"old\",\"hostname\":\"h.example\",\"prefix\":\"/\","
		"\"service\":\"s\"}],"
		"\"tenants\":[{\"name\":\"old\",\"apiKeys\":[\"k\"]}],"
		"\"services\":[{\"name\":\"old\"}],"
		"\"services\":[],\"tenants\":[],"
		"\"routes\":[{\"name\":\"new\",\"hostname\":\"h.example\",\"prefix\":\"/\","
		"\"service\":\"s\"}]}";
	struct tlb_routing *r = read_text((size_t)snprintf(text, sizeof(text), "%s", config));
	unsigned char hash[TLB_KEY_HASH_LEN];

	crypto_hash_sha256(hash, (const unsigned char *)"k", 1);
	ck_assert_str_eq(tlb_routing_find_route(r, "h.example", "/x")->name, "new");
	ck_assert_int_eq(r->route_count, 1);
	ck_assert_ptr_null(tlb_routing_find_account(r, hash));
	ck_assert_int_eq(r->account_count, 0);
	ck_assert_ptr_null(tlb_routing_find_service(r, "old"));
	tlb_routing_release(r);
}
END_TEST

START_TEST(only_changed_routes_are_parsed)
{
	struct tlb_routing *before = read_text(write_config(1, FEW_ROUTES, 0, 0));
	size_t len = write_config(2, FEW_ROUTES + 10, 5, 777);
	struct tlb_routing_reader reader;
	struct tlb_routing *after;

	tlb_routing_reader_init(&reader, text, len, before);
	ck_assert_int_eq(tlb_routing_reader_step(&reader, TLB_NEVER), TLB_READ_DONE);
	ck_assert_int_eq(reader.parsed_routes, 15);
	ck_assert_int_eq(reader.shared_routes, FEW_ROUTES - 5);
	after = tlb_routing_reader_take(&reader);
	tlb_routing_reader_finish(&reader);
	/* Shared routes outlive the table from which they came. */
	tlb_routing_release(before);
	ck_assert_int_eq(tlb_routing_find_route(after, "h.example", "/p4/q/x")->timeout_ms, 777);
	ck_assert_int_eq(tlb_routing_find_route(after, "h.example", "/p5/q/x")->timeout_ms, 1000);
	ck_assert_ptr_nonnull(tlb_routing_find_route(after, "h.example", "/p2009/q/x"));
	ck_assert_ptr_null(tlb_routing_find_route(after, "h.example", "/p2010/q/x"));
	ck_assert_int_eq(after->limits.idle_timeout_ms, 15000);
	tlb_routing_release(after);
}
END_TEST

/* Writes a configuration with n accounts, of which the first `changed` have that rate. */
static size_t write_accounts(int version, int n, int changed, int rate)
{
	size_t len = (size_t)snprintf(text, sizeof(text), "{\"version\":%d,\"tenants\":[", version);
	int i;

	for (i = 0; i < n; i++)
		len += (size_t)snprintf(
			text + len, sizeof(text) - len,
			"%s{\"name\":\"a%d\",\"apiKeys\":[\"k%d\",\"l%d\"],\"ratePerS\":%d}",
			i ? "," : "", i, i, i, i < changed ? rate : 1);
	return len + (size_t)snprintf(text + len, sizeof(text) - len, "]}");
}

static const struct tlb_client_account *find_key(const struct tlb_routing *r, const char *key)
{
	unsigned char hash[TLB_KEY_HASH_LEN];

	crypto_hash_sha256(hash, (const unsigned char *)key, strlen(key));
	return tlb_routing_find_account(r, hash);
}

START_TEST(only_changed_accounts_are_parsed)
{
	struct tlb_routing *before = read_text(write_accounts(1, FEW_ROUTES, 0, 0));
	size_t len = write_accounts(2, FEW_ROUTES - 10, 5, 77);
	struct tlb_routing_reader reader;
	struct tlb_routing *after;

	tlb_routing_reader_init(&reader, text, len, before);
	ck_assert_int_eq(tlb_routing_reader_step(&reader, TLB_NEVER), TLB_READ_DONE);
	ck_assert_int_eq(reader.parsed_accounts, 5);
	ck_assert_int_eq(reader.shared_accounts, FEW_ROUTES - 15);
	after = tlb_routing_reader_take(&reader);
	tlb_routing_reader_finish(&reader);
	/* Shared accounts outlive the table from which they came. */
	tlb_routing_release(before);
	ck_assert_int_eq(find_key(after, "k4")->rate, 77);
	ck_assert_int_eq(find_key(after, "l5")->rate, 1);
	ck_assert_str_eq(find_key(after, "k1989")->name, "a1989");
	ck_assert_ptr_null(find_key(after, "k1990"));
	tlb_routing_release(after);
}
END_TEST

START_TEST(large_configuration_is_read_in_slices)
{
	size_t len = write_config(1, FEW_ROUTES, 0, 0);
	struct tlb_routing_reader reader;
	int slices = 1;

	tlb_routing_reader_init(&reader, text, len, NULL);
	while (tlb_routing_reader_step(&reader, 0) == TLB_READ_MORE)
		slices++;
	ck_assert_int_ge(slices, FEW_ROUTES);
	ck_assert_int_eq(reader.routing->route_count, FEW_ROUTES);
	tlb_routing_reader_finish(&reader);
}
END_TEST

static double processor_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
	return (double)t.tv_sec * 1e3 + (double)t.tv_nsec / 1e6;
}

static double time_to_read(int routes)
{
	size_t len = write_config(1, routes, 0, 0);
	double start = processor_ms();

	tlb_routing_release(read_text(len));
	return processor_ms() - start;
}

START_TEST(reading_takes_time_in_proportion_to_the_routes)
{
	double few = time_to_read(FEW_ROUTES);
	double many = time_to_read(MANY_ROUTES);

	/* Ten times the routes; with a list of all routes it takes over a hundred times as long. */
	ck_assert_msg(many < 40 * few, "%.1f ms and %.1f ms", few, many);
}
END_TEST

static struct tlb_routing *in_force;
static int loaded_count;
static int refused_count;

static void on_loaded(void *arg, struct tlb_routing *r, const struct tlb_error *err)
{
	if (!r) {
		refused_count++;
		return;
	}
	loaded_count++;
	tlb_routing_release(in_force);
	in_force = r;
}

START_TEST(newest_configuration_replaces_those_that_wait)
{
	tlb_time give_up_at = tlb_clock_now() + WAIT_S * TLB_SECOND;
	struct tlb_loop loop;
	struct tlb_routing_load load;
	int version;

	in_force = tlb_routing_new();
	ck_assert_int_eq(tlb_loop_init(&loop), APR_SUCCESS);
	tlb_routing_load_init(&load, &loop, &in_force, on_loaded, NULL);
	for (version = 1; version <= 5; version++)
		tlb_routing_load_start(&load, text, write_config(version, FEW_ROUTES, 0, 0), "test",
				       false);
	while (in_force->version != 5 && tlb_clock_now() < give_up_at)
		tlb_loop_once(&loop, give_up_at);
	ck_assert_int_eq(in_force->version, 5);
	ck_assert_int_eq(loaded_count, 2);
	tlb_routing_load_start(&load, "", 0, "test", false);
	tlb_routing_load_start(&load, "{\"version\":", 11, "test", false);
	while (refused_count < 2 && tlb_clock_now() < give_up_at)
		tlb_loop_once(&loop, give_up_at);
	ck_assert_int_eq(refused_count, 2);
	tlb_routing_load_start(&load, text, write_config(6, FEW_ROUTES, 0, 0), "test", false);
	tlb_loop_once(&loop, give_up_at);
	tlb_routing_load_finish(&load);
	tlb_routing_release(in_force);
	tlb_loop_finish(&loop);
}
END_TEST

/* A configuration that waited to be read was lost when the store returned from an older copy. */
START_TEST(restored_configuration_does_not_replace_those_that_wait)
{
	tlb_time give_up_at = tlb_clock_now() + WAIT_S * TLB_SECOND;
	struct tlb_loop loop;
	struct tlb_routing_load load;
	int64_t highest = 0;
	int loaded_before = loaded_count;
	int version;

	in_force = tlb_routing_new();
	ck_assert_int_eq(tlb_loop_init(&loop), APR_SUCCESS);
	tlb_routing_load_init(&load, &loop, &in_force, on_loaded, NULL);
	for (version = 11; version <= 14; version++)
		tlb_routing_load_start(&load, text, write_config(version, FEW_ROUTES, 0, 0), "test",
				       false);
	tlb_routing_load_start(&load, text, write_config(8, FEW_ROUTES, 0, 0), "test", true);
	tlb_routing_load_start(&load, text, write_config(9, FEW_ROUTES, 0, 0), "test", false);
	while (in_force->version != 9 && tlb_clock_now() < give_up_at) {
		tlb_loop_once(&loop, give_up_at);
		if (in_force->version > highest)
			highest = in_force->version;
	}
	ck_assert_int_eq(highest, 14);
	ck_assert_int_eq(in_force->version, 9);
	ck_assert_int_eq(loaded_count - loaded_before, 3);
	for (version = 20; version <= 30; version++)
		tlb_routing_load_start(&load, text, write_config(version, FEW_ROUTES, 0, 0), "test",
				       true);
	while (in_force->version != 30 && tlb_clock_now() < give_up_at)
		tlb_loop_once(&loop, give_up_at);
	ck_assert_int_eq(in_force->version, 30);
	ck_assert_int_eq(loaded_count - loaded_before, 7);
	tlb_routing_load_finish(&load);
	tlb_routing_release(in_force);
	tlb_loop_finish(&loop);
}
END_TEST

START_TEST(json_values_end_where_they_end)
{
	static const char *const cases[][2] = {
		{"1,2", "1"},
		{"true}", "true"},
		{"\"a\\\"],\" x", "\"a\\\"],\""},
		{"{\"a\":[1,{}],\"b\":\"}\"},", "{\"a\":[1,{}],\"b\":\"}\"}"},
		{"[]]", "[]"},
		{"[ [\"]\"] ] ", "[ [\"]\"] ]"},
		{"{\"a\":", NULL},
		{"\"a\\\"", NULL},
		{"[[]", NULL},
	};
	const char *end;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		end = tlb_json_value_end(cases[i][0], cases[i][0] + strlen(cases[i][0]));
		if (cases[i][1])
			ck_assert_ptr_eq(end, cases[i][0] + strlen(cases[i][1]));
		else
			ck_assert_ptr_null(end);
	}
}
END_TEST

int main(void)
{
	Suite *s = suite_create("routing");
	TCase *t = tcase_create("routing");
	SRunner *runner;
	int failed;

	if (sodium_init() < 0 || apr_initialize() != APR_SUCCESS)
		return EXIT_FAILURE;
	tcase_add_test(t, longest_matching_prefix_wins);
	tcase_add_test(t, host_is_not_continued_by_the_path);
	tcase_add_test(t, long_names_and_prefixes_are_used_whole);
	tcase_add_test(t, path_of_slashes_is_looked_up_in_time);
	tcase_add_test(t, configuration_that_is_not_valid_json_is_refused);
	tcase_add_test(t, last_of_several_lists_with_a_name_holds);
	tcase_add_test(t, only_changed_routes_are_parsed);
	tcase_add_test(t, only_changed_accounts_are_parsed);
	tcase_add_test(t, large_configuration_is_read_in_slices);
	tcase_add_test(t, reading_takes_time_in_proportion_to_the_routes);
	tcase_add_test(t, newest_configuration_replaces_those_that_wait);
	tcase_add_test(t, restored_configuration_does_not_replace_those_that_wait);
	tcase_add_test(t, json_values_end_where_they_end);
	suite_add_tcase(s, t);
	runner = srunner_create(s);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
