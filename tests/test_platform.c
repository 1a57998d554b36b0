/* Tests the adapter to the users' platform. Guards against misreading what the operator, discovery,
 * callers and endpoints send, and against guessing at malformed input instead of rejecting it. The
 * cases are in tests/platform/. */
#include <check.h>
#include <apr_general.h>
#include <inttypes.h>
#include <jansson.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "platform.h"

enum { LINE_LEN = 8192 };

/* Reads a file of lines "input => expected"; lines that begin with "#" are comments. */
struct cases {
	FILE *f;
	char line[LINE_LEN];
	char *input;
	char *expected;
};

static void cases_open(struct cases *c, const char *path)
{
	c->f = fopen(path, "r");
	ck_assert_msg(c->f != NULL, "%s can't be read", path);
}

static bool cases_next(struct cases *c)
{
	while (fgets(c->line, sizeof(c->line), c->f)) {
		c->line[strcspn(c->line, "\n")] = '\0';
		c->expected = strstr(c->line, " => ");
		if (c->line[0] == '#' || !c->expected)
			continue;
		*c->expected = '\0';
		c->expected += 4;
		c->input = c->line;
		return true;
	}
	fclose(c->f);
	return false;
}

/* Guards against prompts whose parts are not known, so that a deadly one is not found. */
START_TEST(test_prompts)
{
	struct cases c;
	struct tlb_inbound in;
	char got[512];
	size_t n;
	int i;

	cases_open(&c, "tests/platform/prompts.txt");
	while (cases_next(&c)) {
		memset(&in, 0, sizeof(in));
		tlb_platform_read_parts(c.input, &in);
		for (i = 0, n = 0; i < in.shared_part_count; i++)
			n += (size_t)snprintf(got + n, sizeof(got) - n, "%" PRIx64 " ",
					      in.shared_parts[i]);
		snprintf(got + n, sizeof(got) - n, "/ %" PRIx64, in.own_part);
		ck_assert_msg(strcmp(got, c.expected) == 0, "%s: got %s, expected %s", c.input, got,
			      c.expected);
	}
	memset(&in, 0, sizeof(in));
	tlb_platform_read_parts(NULL, &in);
	ck_assert_int_eq(in.shared_part_count, 0);
}
END_TEST

/* Guards against a deadly part that isn't noticed behind many others, and against more parts than
 * there is room for. */
START_TEST(test_prompts_of_many_parts)
{
	static const int counts[] = {31,
				     32,
				     33,
				     TLB_SHARED_PARTS_MAX,
				     TLB_SHARED_PARTS_MAX + 1,
				     TLB_SHARED_PARTS_MAX + 900};
	static char text[16384];
	struct tlb_inbound in;
	size_t len;
	size_t i;
	int read;
	int k;

	for (i = 0; i < sizeof(counts) / sizeof(counts[0]); i++) {
		for (k = 0, len = 0; k <= counts[i]; k++)
			len += (size_t)snprintf(text + len, sizeof(text) - len, "%s%x:10",
						k ? "," : "", k + 1);
		memset(&in, 0, sizeof(in));
		tlb_platform_read_parts(text, &in);
		read = counts[i] < TLB_SHARED_PARTS_MAX ? counts[i] : TLB_SHARED_PARTS_MAX;
		ck_assert_int_eq(in.shared_part_count, read);
		ck_assert_int_eq(in.ignored_part_count, counts[i] - read);
		for (k = 0; k < read; k++)
			ck_assert_uint_eq(in.shared_parts[k], (uint64_t)(counts[i] - read + k + 1));
		ck_assert_uint_eq(in.own_part, (uint64_t)counts[i] + 1);
	}
}
END_TEST

/* Guards against accepting a discovery entry with a missing or invalid field. */
START_TEST(test_instances)
{
	static const char *const roles[] = {
		[TLB_ROLE_PREFILL] = "prefill",
		[TLB_ROLE_DECODE] = "decode",
		[TLB_ROLE_SERVICE] = "service",
	};
	struct cases c;
	struct tlb_instance_row row;
	struct tlb_error err;
	char got[512];

	cases_open(&c, "tests/platform/instances.txt");
	while (cases_next(&c)) {
		if (tlb_platform_read_instance("i-1", c.input, strlen(c.input), &row, &err) ==
		    TLB_OK)
			snprintf(got, sizeof(got),
				 "%s %s %s %s slots=%d born=%lld sequence=%lld leaving=%d",
				 roles[row.role], row.service, row.addr, row.zone, row.slots,
				 (long long)row.started_ms, (long long)row.sequence, row.leaving);
		else
			snprintf(got, sizeof(got), "refused: %s", err.message);
		ck_assert_str_eq(got, c.expected);
	}
}
END_TEST

/* Guards against parsing an entry of any size or depth that another writer left, which costs memory
 * and time, or the stack. */
START_TEST(test_instance_size)
{
	enum { ROW_LEN = 65536 }; /* what a row of the store holds */
	static const char sound[] =
		"{\"service\":\"s\",\"address\":\"10.0.0.9:80\",\"zone\":\"z1\",\"slots\":8,"
		"\"state\":\"ready\"";
	static char entry[ROW_LEN + 1];
	struct tlb_instance_row row;
	struct tlb_error err;

	memset(entry, '[', sizeof(entry));
	ck_assert_int_ne(tlb_platform_read_instance("i-1", entry, sizeof(entry), &row, &err),
			 TLB_OK);
	ck_assert_str_eq(err.message, "the entry is too large or nested too deeply");
	ck_assert_int_ne(tlb_platform_read_instance("i-1", entry, 100, &row, &err), TLB_OK);
	ck_assert_str_eq(err.message, "the entry is too large or nested too deeply");
	memset(entry, ' ', sizeof(entry));
	memcpy(entry, sound, sizeof(sound) - 1);
	entry[sizeof(sound)] = '}';
	ck_assert_int_eq(tlb_platform_read_instance("i-1", entry, ROW_LEN, &row, &err), TLB_OK);
	ck_assert_int_ne(tlb_platform_read_instance("i-1", entry, sizeof(entry), &row, &err),
			 TLB_OK);
	ck_assert_str_eq(err.message, "the entry is too large or nested too deeply");
}
END_TEST

/* Guards against an id that changes the headers of requests. */
START_TEST(test_instance_ids)
{
	static const char entry[] =
		"{\"service\":\"s\",\"address\":\"10.0.0.9:80\",\"zone\":\"z1\",\"slots\":8,"
		"\"state\":\"ready\"}";
	static const char *const odd[] = {"", "a\r\nX: y", "a\n", "a b", " a", "a\t", "a\x7f"};
	struct tlb_instance_row row;
	struct tlb_error err;
	size_t i;

	for (i = 0; i < sizeof(odd) / sizeof(odd[0]); i++)
		ck_assert_int_ne(
			tlb_platform_read_instance(odd[i], entry, strlen(entry), &row, &err),
			TLB_OK);
	ck_assert_int_eq(tlb_platform_read_instance("i-7f3a91c2", entry, strlen(entry), &row, &err),
			 TLB_OK);
	ck_assert_str_eq(row.id, "i-7f3a91c2");
}
END_TEST

static void describe(const struct tlb_routing *r, char *out, size_t size)
{
	const struct tlb_forward_route *route;
	const struct tlb_client_account *a;
	size_t n;
	int i;

	n = (size_t)snprintf(out, size, "v%lld", (long long)r->version);
	for (i = 0; i < r->account_count; i++) {
		a = r->accounts[i];
		n += (size_t)snprintf(out + n, size - n, " %s:%lld/%lld", a->name,
				      (long long)a->rate, (long long)a->burst);
	}
	route = tlb_routing_find_route(r, "H.example:80", "/a/b/c");
	if (route)
		n += (size_t)snprintf(out + n, size - n, " %s work=%d attempts=%d targets=%d",
				      route->name, (int)route->request_kind, route->max_attempts,
				      route->target_count);
	if (r->keys_required && r->account_count == 0)
		n += (size_t)snprintf(out + n, size - n, " closed");
	for (i = 0; i < r->left_out_count; i++)
		n += (size_t)snprintf(out + n, size - n, " -%s[%d] %s: %s", r->left_out[i].list,
				      r->left_out[i].index, r->left_out[i].name,
				      r->left_out[i].reason);
}

/* Guards against misreading a configuration, or accepting one with a missing version or name. */
START_TEST(test_configurations)
{
	struct cases c;
	struct tlb_error err;
	char got[1024];

	cases_open(&c, "tests/platform/configurations.txt");
	while (cases_next(&c)) {
		struct tlb_routing *r = tlb_platform_read_routing(c.input, strlen(c.input), &err);

		if (r)
			describe(r, got, sizeof(got));
		else
			snprintf(got, sizeof(got), "refused: %s", err.message);
		ck_assert_str_eq(got, c.expected);
		tlb_routing_release(r);
	}
}
END_TEST

/* Guards against misreading the rows of a store response, including removed and unreadable ones. */
START_TEST(test_rows)
{
	struct cases c;
	struct tlb_error err;
	struct tlb_stored_rows rows;
	char got[512];
	size_t n;
	int i;

	cases_open(&c, "tests/platform/rows.txt");
	while (cases_next(&c)) {
		if (tlb_platform_read_rows(c.input, strlen(c.input), &rows, &err) == TLB_OK) {
			n = (size_t)snprintf(got, sizeof(got), "%lld%s", (long long)rows.version,
					     rows.more ? " more" : "");
			for (i = 0; i < rows.count; i++)
				n += (size_t)snprintf(
					got + n, sizeof(got) - n, " %s@%lld=%s", rows.rows[i].key,
					(long long)rows.rows[i].version,
					rows.rows[i].removed ? "-" : rows.rows[i].value);
		} else {
			snprintf(got, sizeof(got), "refused");
		}
		ck_assert_str_eq(got, c.expected);
		tlb_stored_rows_finish(&rows);
	}
}
END_TEST

/* Guards against treating a request as not executed without proof: an endpoint can answer 503 after
 * it ran the request. */
START_TEST(test_outcomes)
{
	struct cases c;
	struct tlb_response_info info;
	char head[512];
	char got[192];
	char *p;

	cases_open(&c, "tests/platform/outcomes.txt");
	while (cases_next(&c)) {
		int status = atoi(c.input);

		snprintf(head, sizeof(head), "%s\n", strchr(c.input, ' ') + 1);
		for (p = head; *p; p++)
			if (*p == '|')
				*p = '\n';
		tlb_platform_read_response_info(status, head, &info);
		snprintf(got, sizeof(got),
			 "not_run=%d vouched=%d leaving=%d retry_ms=%lld attempt=%.*s",
			 info.not_run, info.has_signature, info.leaving,
			 (long long)info.retry_after_ms, (int)info.attempt_id_len,
			 info.attempt_id ? info.attempt_id : "");
		ck_assert_str_eq(got, c.expected);
	}
}
END_TEST

START_TEST(test_store_era)
{
	ck_assert_int_eq(tlb_platform_store_era("A: 1\nstore-era: 7\nB: 2\n"), 7);
	ck_assert_int_eq(tlb_platform_store_era("A: 1\n"), 0);
	ck_assert_int_eq(tlb_platform_store_era(""), 0);
	ck_assert_int_eq(tlb_platform_store_era("Store-Era: -2\n"), 0);
	ck_assert_int_eq(tlb_platform_store_era("Store-Era: 3x\n"), 0);
	ck_assert_int_eq(tlb_platform_store_era("Store-Era:\n"), 0);
	ck_assert_int_eq(tlb_platform_store_era("Store-Era: 99999999999999999999999\n"), 0);
}
END_TEST

/* Guards against forwarding hop-by-hop response headers to the caller. */
START_TEST(test_forwarded_head)
{
	static const char head[] = "Content-Type: text/plain\nConnection: close\n"
				   "X-Response-Signature: s\ntransfer-encoding: chunked\n"
				   "Content-Length: 3\nKeep-Alive: timeout=5\nEtag: x\n"
				   "Server-Leaving: 1\nRetry-After: 2\n";
	char *out = tlb_platform_forwarded_head(head);

	ck_assert_str_eq(out, "Content-Type: text/plain\nX-Response-Signature: s\nEtag: x\n"
			      "Server-Leaving: 1\nRetry-After: 2\n");
	free(out);
}
END_TEST

/* Guards against a KV cache handle that would change the request target or header it is used in. */
START_TEST(test_handles)
{
	char handle[TLB_HANDLE_LEN];
	static const char valid[] = "{\"kvHandle\":\"3fa0\",\"tokens\":5,\"version\":1}";
	static const char unsafe[] = "{\"kvHandle\":\"3f/a0 x\"}";

	ck_assert(tlb_platform_read_kv_handle(valid, strlen(valid), handle));
	ck_assert_str_eq(handle, "3fa0");
	ck_assert(!tlb_platform_read_kv_handle(unsafe, strlen(unsafe), handle));
	ck_assert(!tlb_platform_read_kv_handle("{}", 2, handle));
	ck_assert(!tlb_platform_read_kv_handle("nonsense", 8, handle));
}
END_TEST

/* Load reports that lack a field on which the assignment of roles depends, or have it in another
 * type. Guards against reading such a report as that of an idle engine. */
static const struct {
	const char *body;
	bool usable;
} reports[] = {
	{"{\"running\":12,\"waiting\":1,\"kvUsed\":41000,\"kvTotal\":90000}", true},
	{"{\"running\":12,\"kvUsed\":41000,\"kvTotal\":90000}", true},
	{"{\"running\":12,\"kvTotal\":90000}", false},
	{"{\"running\":\"12\",\"kvUsed\":41000,\"kvTotal\":90000}", false},
	{"[]", false},
	{"nonsense", false},
};

START_TEST(test_load_report)
{
	struct tlb_load_report report;
	const char *body = reports[_i].body;

	ck_assert_int_eq(tlb_platform_read_load_report(body, strlen(body), &report),
			 reports[_i].usable);
	if (!reports[_i].usable)
		return;
	ck_assert_int_eq(report.running, 12);
	ck_assert_int_eq(report.kv_used, 41000);
	ck_assert_int_eq(report.kv_total, 90000);
}
END_TEST

/* Guards against a role order that lacks the sender or its fencing number. */
START_TEST(test_role_order)
{
	char *text = tlb_platform_role_order(TLB_ROLE_DECODE, "vm-1", 41);
	json_t *j = json_loads(text, 0, NULL);

	ck_assert_str_eq(json_string_value(json_object_get(j, "op")), "stage");
	ck_assert_str_eq(json_string_value(json_object_get(j, "stage")), "decode");
	ck_assert_str_eq(json_string_value(json_object_get(j, "holder")), "vm-1");
	ck_assert_int_eq(json_integer_value(json_object_get(j, "fence")), 41);
	json_decref(j);
	free(text);
}
END_TEST

/* Guards against a write that loses its version check, and against a removal written as a put. */
START_TEST(test_write_body)
{
	char *text = tlb_platform_write_body("t", "k", 0, "abc", 3);
	json_t *j = json_loads(text, 0, NULL);
	json_t *check = json_array_get(json_object_get(j, "expected"), 0);
	json_t *put = json_array_get(json_object_get(j, "puts"), 0);

	ck_assert_int_eq(json_integer_value(json_object_get(check, "ver")), 0);
	ck_assert_str_eq(json_string_value(json_object_get(put, "value")), "YWJj");
	ck_assert_int_eq((int)json_array_size(json_object_get(j, "remove")), 0);
	json_decref(j);
	free(text);
	text = tlb_platform_write_body("t", "k", -1, NULL, 0);
	j = json_loads(text, 0, NULL);
	ck_assert_int_eq((int)json_array_size(json_object_get(j, "expected")), 0);
	ck_assert_int_eq((int)json_array_size(json_object_get(j, "remove")), 1);
	json_decref(j);
	free(text);
}
END_TEST

/* Guards against a key that adds parameters to the request target. */
START_TEST(test_targets_are_escaped)
{
	struct tlb_stored_key key;
	char target[256];

	ck_assert(tlb_stored_key_set(&key, "a b&c\x01"));
	ck_assert(tlb_platform_list_target(target, sizeof(target), "vm", &key));
	ck_assert_str_eq(target, "/rows-get?table=vm&part=&limit=500&from=a%20b%26c%01");
	key.len++;
	key.text[key.len - 1] = '\0';
	ck_assert(tlb_platform_list_target(target, sizeof(target), "vm", &key));
	ck_assert_str_eq(target, "/rows-get?table=vm&part=&limit=500&from=a%20b%26c%01%00");
	ck_assert(!tlb_platform_list_target(target, 40, "vm", &key));
}
END_TEST

int main(void)
{
	Suite *s = suite_create("platform");
	TCase *t = tcase_create("platform");
	SRunner *r;
	int failed;

	if (sodium_init() < 0 || apr_initialize() != APR_SUCCESS)
		return 1;
	tcase_add_test(t, test_prompts);
	tcase_add_test(t, test_prompts_of_many_parts);
	tcase_add_test(t, test_instances);
	tcase_add_test(t, test_instance_size);
	tcase_add_test(t, test_instance_ids);
	tcase_add_test(t, test_configurations);
	tcase_add_test(t, test_rows);
	tcase_add_test(t, test_outcomes);
	tcase_add_test(t, test_store_era);
	tcase_add_test(t, test_forwarded_head);
	tcase_add_test(t, test_handles);
	tcase_add_loop_test(t, test_load_report, 0, sizeof(reports) / sizeof(reports[0]));
	tcase_add_test(t, test_role_order);
	tcase_add_test(t, test_write_body);
	tcase_add_test(t, test_targets_are_escaped);
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? 1 : 0;
}
