/* Tests labels: names that are long must neither be cut into one another nor break UTF-8. */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "label.h"

START_TEST(short_name_is_its_own_label)
{
	char name[TLB_LABEL_LEN - 1];
	char label[TLB_LABEL_LEN];

	ck_assert_str_eq(tlb_label_set(label, ""), "");
	ck_assert_str_eq(tlb_label_set(label, "kundenotat"), "kundenotat");
	memset(name, 'a', sizeof(name) - 1);
	name[sizeof(name) - 1] = '\0';
	ck_assert_str_eq(tlb_label_set(label, name), name);
}
END_TEST

START_TEST(long_names_with_the_same_beginning_differ)
{
	char a[TLB_LABEL_LEN] = "";
	char b[TLB_LABEL_LEN] = "";
	char name[70000];
	size_t len;

	memset(name, 'a', sizeof(name));
	for (len = TLB_LABEL_LEN - 1; len < sizeof(name); len += 1 + len / 3) {
		name[len] = '\0';
		tlb_label_set(b, name);
		ck_assert_uint_eq(strlen(b), TLB_LABEL_LEN - 1);
		ck_assert(strncmp(b, "aaaaaaaaaa", 10) == 0);
		ck_assert_str_ne(a, b);
		strcpy(a, b);
		name[len] = 'a';
	}
}
END_TEST

/* No name is the label of a longer one: a label of a long name is longer than any short name. */
START_TEST(label_of_a_long_name_is_no_short_name)
{
	char name[300];
	char label[TLB_LABEL_LEN];
	char again[TLB_LABEL_LEN];

	memset(name, 'a', sizeof(name) - 1);
	name[sizeof(name) - 1] = '\0';
	tlb_label_set(label, name);
	ck_assert_str_ne(tlb_label_set(again, label), label);
}
END_TEST

START_TEST(characters_are_not_cut)
{
	char name[400];
	char label[TLB_LABEL_LEN];
	size_t shift;
	size_t i;

	for (shift = 0; shift < 3; shift++) {
		memset(name, 'a', shift);
		for (i = shift; i + 3 < sizeof(name); i += 3)
			memcpy(name + i, "\xe0\xa4\x85", 4);
		tlb_label_set(label, name);
		for (i = shift; (unsigned char)label[i] == 0xe0; i += 3)
			ck_assert(strncmp(label + i, "\xe0\xa4\x85", 3) == 0);
		ck_assert_int_eq(label[i], '.');
		ck_assert_uint_eq(strlen(label), TLB_LABEL_LEN - 1);
	}
}
END_TEST

START_TEST(label_fits_into_a_smaller_buffer)
{
	char label[48];

	tlb_label_fit(label, sizeof(label), "brg-hall1");
	ck_assert_str_eq(label, "brg-hall1");
	tlb_label_fit(label, sizeof(label), "front-brg-hall1-with-a-name-of-more-than-47-bytes-1");
	ck_assert_uint_eq(strlen(label), sizeof(label) - 1);
	ck_assert(strncmp(label, "front", 5) == 0);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("label");
	TCase *t = tcase_create("label");
	SRunner *r;
	int failed;

	tcase_add_test(t, short_name_is_its_own_label);
	tcase_add_test(t, long_names_with_the_same_beginning_differ);
	tcase_add_test(t, label_of_a_long_name_is_no_short_name);
	tcase_add_test(t, characters_are_not_cut);
	tcase_add_test(t, label_fits_into_a_smaller_buffer);
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
