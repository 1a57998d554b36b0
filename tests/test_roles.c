/* The balance of engines between prefill and decode for the load patterns in
 * tests/roles/surplus.txt. Guards against prefill engines that are idle while decode engines are
 * full, against a role change that only moves the shortage to the other role, and against a role
 * with a single engine. */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>

#include "roles.h"

static void check_line(const char *line, int number)
{
	struct tlb_role_load l;
	int expected;

	if (line[0] == '#')
		return;
	ck_assert_int_eq(sscanf(line, "%d %lf %d %lf %d", &l.prefills, &l.prefills_busy, &l.decodes,
				&l.decodes_used, &expected),
			 5);
	ck_assert_msg(tlb_roles_prefill_surplus(&l) == expected, "line %d: got %d: %s", number,
		      tlb_roles_prefill_surplus(&l), line);
}

START_TEST(surplus_by_load_pattern)
{
	FILE *f = fopen("tests/roles/surplus.txt", "r");
	char line[256];
	int number = 0;

	ck_assert_ptr_nonnull(f);
	while (fgets(line, sizeof(line), f))
		check_line(line, ++number);
	fclose(f);
	ck_assert_int_gt(number, 10);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("roles");
	TCase *t = tcase_create("surplus");
	SRunner *r = srunner_create(s);
	int failed;

	tcase_add_test(t, surplus_by_load_pattern);
	suite_add_tcase(s, t);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed > 0;
}
