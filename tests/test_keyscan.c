/* Guards against forwarding an account key to an endpoint within a path, a query or a body. */
#include <check.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "keyscan.h"

static struct tlb_table table;

static void add_key(const char *id, const char *key)
{
	unsigned char hash[TLB_KEY_HASH_LEN];
	char hex[2 * TLB_KEY_HASH_LEN + 1];
	struct tlb_error err;
	json_t *row;

	crypto_hash_sha256(hash, (const unsigned char *)key, strlen(key));
	sodium_bin2hex(hex, sizeof(hex), hash, sizeof(hash));
	row = json_pack("{s:s,s:s,s:s}", "account", "a1", "hash", hex, "state", "granted");
	ck_assert_int_eq(tlb_table_add(&table, TLB_ROW_KEY, id, row, &err), TLB_OK);
	json_decref(row);
}

static const struct {
	const char *presented;
	const char *data;
	bool found;
} cases[] = {
	{"", "", false},
	{"", "q=1&page=2", false},
	{"", "api_key=tlb_first-key&page=2", true},
	{"", "{\"key\":\"second+key\"}", false},
	{"", "/v1/plainkey123/x", true},
	{"plainkey123", "/v1/plainkey123/x", true},
	{"plainkey123", "prompt that mentions tlb_first-key here", true},
	{"plainkey123", "prompt that mentions tlb_other-key here", false},
	{"x y z key", "say x y z key now", true},
};

START_TEST(finds_keys)
{
	const char *d = cases[_i].data;

	tlb_table_init(&table);
	add_key("k1", "tlb_first-key");
	add_key("k2", "plainkey123");
	ck_assert_int_eq(tlb_keyscan_contains_key(&table, cases[_i].presented, d, strlen(d)),
			 cases[_i].found);
	tlb_table_finish(&table);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("keyscan");
	TCase *tc = tcase_create("cases");
	SRunner *sr = srunner_create(s);
	int failed;

	if (sodium_init() < 0)
		return EXIT_FAILURE;
	tcase_add_loop_test(tc, finds_keys, 0, sizeof(cases) / sizeof(cases[0]));
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
