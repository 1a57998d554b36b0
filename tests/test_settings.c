/* Loading tests/settings/NAME.yaml must give exactly the errors in NAME.expected, or "ok". */
#include <check.h>
#include <glob.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "settings.h"

static char *read_file(const char *path)
{
	static char text[16384];
	FILE *f = fopen(path, "r");
	size_t n;

	ck_assert_msg(f != NULL, "%s can't be read", path);
	n = fread(text, 1, sizeof(text) - 1, f);
	text[n] = '\0';
	fclose(f);
	return text;
}

/* Writes nothing when the mode is right: a write waits for the disk, for seconds when other
 * processes write much. */
static void set_mode(const char *path, mode_t mode)
{
	struct stat st;

	ck_assert_int_eq(stat(path, &st), 0);
	if ((st.st_mode & 0777) != mode)
		ck_assert_int_eq(chmod(path, mode), 0);
}

/* Creates a directory in memory, or on the disk of a system without that. */
static void make_directory(char *out, size_t size)
{
	snprintf(out, size, "/dev/shm/tlb-settings-XXXXXX");
	if (mkdtemp(out))
		return;
	snprintf(out, size, "/tmp/tlb-settings-XXXXXX");
	ck_assert_ptr_nonnull(mkdtemp(out));
}

static void check_case(const char *path)
{
	struct tlb_settings s;
	char expected[256];
	char *faults = NULL;
	size_t len = 0;
	FILE *f = open_memstream(&faults, &len);
	int n = tlb_settings_load(&s, path, f);

	fclose(f);
	snprintf(expected, sizeof(expected), "%.*s.expected", (int)(strlen(path) - 5), path);
	ck_assert_str_eq(n ? faults : "ok\n", read_file(expected));
	free(faults);
}

/* Guards against invalid settings being accepted, errors being reported one at a time, and error
 * messages that show a secret. */
START_TEST(cases)
{
	glob_t g;
	size_t i;

	/* Git records no file mode except the executable bit. */
	set_mode("tests/settings/good.secrets", 0600);
	set_mode("tests/settings/bad.secrets", 0600);
	set_mode("tests/settings/open.secrets", 0644);
	ck_assert_int_eq(glob("tests/settings/*.yaml", 0, NULL, &g), 0);
	for (i = 0; i < g.gl_pathc; i++)
		check_case(g.gl_pathv[i]);
	globfree(&g);
}
END_TEST

/* Guards against sample files in config/ that the schema no longer accepts. */
START_TEST(samples)
{
	static const char *const names[] = {"bakstehuset", "pal-and-sons"};
	struct tlb_settings s;
	char sample[64];
	char copy[64];
	char secrets[64];
	char dir[32];
	FILE *f;
	int i;

	make_directory(dir, sizeof(dir));
	for (i = 0; i < 2; i++) {
		snprintf(sample, sizeof(sample), "config/%s.yaml", names[i]);
		snprintf(copy, sizeof(copy), "%s/%s.yaml", dir, names[i]);
		snprintf(secrets, sizeof(secrets), "%s/%s.secrets", dir, names[i]);
		f = fopen(copy, "w");
		fputs(read_file(sample), f);
		fclose(f);
		f = fopen(secrets, "w");
		fputs(read_file("tests/settings/good.secrets"), f);
		fclose(f);
		ck_assert_int_eq(chmod(secrets, 0600), 0);
		ck_assert_int_eq(tlb_settings_load(&s, copy, stderr), 0);
		ck_assert_int_eq(s.peer_key_count, 2);
		ck_assert_int_eq(s.peer_keys[1].id, 7);
		ck_assert_int_eq(s.peer_keys[1].secret[31], 0xcd);
		unlink(copy);
		unlink(secrets);
	}
	rmdir(dir);
}
END_TEST

/* Guards against defaults that differ from the documented ones, and against an address changed on
 * loading. */
START_TEST(defaults)
{
	struct tlb_settings s;

	set_mode("tests/settings/good.secrets", 0600);
	ck_assert_int_eq(tlb_settings_load(&s, "tests/settings/minimal.yaml", stderr), 0);
	ck_assert_str_eq(s.peer_addr, "[::1]:8082");
	ck_assert_str_eq(s.vmlist_url, "");
	ck_assert_str_eq(s.policy, "toucanlb");
	ck_assert_int_eq(s.max_body_bytes, 4194304);
	ck_assert_int_eq(s.token_gap_target_ms, 43);
	ck_assert(s.waste_weight == 1.0);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("settings");
	TCase *tc = tcase_create("files");
	SRunner *sr = srunner_create(s);
	int failed;

	tcase_add_test(tc, cases);
	tcase_add_test(tc, samples);
	tcase_add_test(tc, defaults);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
