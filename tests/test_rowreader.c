/* Tests the reader of the store's answers. Guards against values that are damaged where the network
 * cuts an answer, and against a large answer that is decoded in one step when it is complete. */
#include <check.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "rowreader.h"

enum { VALUE_MAX = 20000, ANSWER_MAX = 64 * 1024, PIECES = 40 };

static char answer[ANSWER_MAX];
static unsigned char value[VALUE_MAX];

/* An answer with a short row, a row whose value has len bytes, and another short one. */
static size_t build_answer(size_t len)
{
	static char text[sodium_base64_ENCODED_LEN(VALUE_MAX, sodium_base64_VARIANT_ORIGINAL)];
	size_t i;

	for (i = 0; i < len; i++)
		value[i] = (unsigned char)(i * 7 + i / 256);
	sodium_bin2base64(text, sizeof(text), value, len, sodium_base64_VARIANT_ORIGINAL);
	return (size_t)snprintf(answer, sizeof(answer),
				"{\"rows\":[{\"key\":\"a\\\"b\",\"ver\":3,\"value\":\"eA==\"},"
				"{\"key\":\"config\",\"value\" : \"%s\",\"ver\":4},"
				"{\"key\":\"c\",\"ver\":5,\"value\":\"eQ==\"}],\"ver\":9}",
				text);
}

static enum tlb_code read_in_pieces(size_t len, size_t piece, struct tlb_stored_rows *rows)
{
	struct tlb_rowreader r = {0};
	struct tlb_error err;
	size_t at;

	for (at = 0; at < len; at += piece)
		tlb_rowreader_feed(&r, answer + at, len - at < piece ? len - at : piece);
	return tlb_rowreader_end(&r, rows, &err);
}

START_TEST(answer_reads_the_same_wherever_it_is_cut)
{
	static const size_t value_lens[] = {0, 1, 2, 3, 3071, 3072, 3073, 9000, VALUE_MAX};
	struct tlb_stored_rows rows;
	size_t len;
	size_t piece;
	size_t i;

	for (i = 0; i < sizeof(value_lens) / sizeof(value_lens[0]); i++) {
		len = build_answer(value_lens[i]);
		for (piece = 1; piece < len; piece += 1 + len / PIECES) {
			ck_assert_int_eq(read_in_pieces(len, piece, &rows), TLB_OK);
			ck_assert_int_eq(rows.count, 3);
			ck_assert_int_eq(rows.version, 9);
			ck_assert_str_eq(rows.rows[0].key, "a\"b");
			ck_assert_str_eq(rows.rows[0].value, "x");
			ck_assert_uint_eq(rows.rows[1].len, value_lens[i]);
			ck_assert_mem_eq(rows.rows[1].value, value, value_lens[i]);
			ck_assert_str_eq(rows.rows[2].value, "y");
			tlb_stored_rows_finish(&rows);
		}
	}
}
END_TEST

START_TEST(cut_or_damaged_long_value_is_refused)
{
	struct tlb_stored_rows rows;
	size_t len = build_answer(9000);

	ck_assert_int_eq(read_in_pieces(len - 1, 100, &rows), TLB_BAD_REQUEST);
	ck_assert_int_eq(read_in_pieces(len / 2, 100, &rows), TLB_BAD_REQUEST);
	answer[len / 2] = '!';
	ck_assert_int_eq(read_in_pieces(len, 100, &rows), TLB_BAD_REQUEST);
	len = build_answer(9000);
	answer[len / 2] = '\\';
	ck_assert_int_eq(read_in_pieces(len, 100, &rows), TLB_BAD_REQUEST);
}
END_TEST

/* Some encoders escape "/", "+" and "=" (RFC 8259, section 7). */
START_TEST(escaped_characters_of_a_long_value_are_decoded)
{
	static const char *const escapes[][2] = {{"/", "\\/"}, {"+", "\\u002B"}, {"=", "\\u003d"}};
	static char plain[ANSWER_MAX];
	struct tlb_stored_rows rows;
	size_t len = build_answer(VALUE_MAX);
	size_t value_at = (size_t)(strstr(answer, "config") - answer);
	size_t out = 0;
	size_t piece;
	size_t i;
	int e;

	strcpy(plain, answer);
	for (i = 0; i < len; i++) {
		for (e = 2; e >= 0 && escapes[e][0][0] != plain[i]; e--)
			;
		/* The beginning has none, so that the value is decoded as it arrives. */
		if (e >= 0 && i > value_at + TLB_ROWREADER_LONG_VALUE + 100)
			out += (size_t)sprintf(answer + out, "%s", escapes[e][1]);
		else if (e >= 0 && e < 2 && i > value_at)
			answer[out++] = 'A';
		else
			answer[out++] = plain[i];
	}
	for (piece = 1; piece < out; piece += 1 + out / PIECES) {
		ck_assert_int_eq(read_in_pieces(out, piece, &rows), TLB_OK);
		ck_assert_int_eq(rows.count, 3);
		ck_assert_uint_eq(rows.rows[1].len, VALUE_MAX);
		ck_assert_mem_eq(rows.rows[1].value + 3200, value + 3200, VALUE_MAX - 3200);
		tlb_stored_rows_finish(&rows);
	}
}
END_TEST

START_TEST(long_text_that_is_no_row_value_is_kept)
{
	struct tlb_stored_rows rows;
	char padding[6000];
	size_t len;

	memset(padding, 'z', sizeof(padding) - 1);
	padding[sizeof(padding) - 1] = '\0';
	len = (size_t)snprintf(
		answer, sizeof(answer),
		"{\"note\":\"%s\",\"rows\":[{\"key\":\"a\",\"value\":\"@0\",\"ver\":1},"
		"{\"key\":\"b\",\"value\":\"eA==\",\"ver\":2}],\"ver\":2}",
		padding);
	ck_assert_int_eq(read_in_pieces(len, 1000, &rows), TLB_OK);
	ck_assert_int_eq(rows.count, 1);
	ck_assert_str_eq(rows.rows[0].key, "b");
	tlb_stored_rows_finish(&rows);
}
END_TEST

/* Guards against work for each piece that grows with what was read before: this took 14 s. */
START_TEST(long_text_in_small_pieces_takes_no_longer_than_in_one)
{
	enum { TEXT_MAX = 4 << 20, PIECE = 64 };
	static char text[PIECE];
	struct tlb_rowreader r = {0};
	size_t at;

	memset(text, 'z', sizeof(text));
	ck_assert(tlb_rowreader_feed(&r, "{\"note\":\"", 9));
	for (at = 0; at < TEXT_MAX; at += PIECE)
		ck_assert(tlb_rowreader_feed(&r, text, PIECE));
	tlb_rowreader_finish(&r);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("rowreader");
	TCase *t = tcase_create("rowreader");
	SRunner *runner;
	int failed;

	tcase_add_test(t, answer_reads_the_same_wherever_it_is_cut);
	tcase_add_test(t, cut_or_damaged_long_value_is_refused);
	tcase_add_test(t, escaped_characters_of_a_long_value_are_decoded);
	tcase_add_test(t, long_text_that_is_no_row_value_is_kept);
	tcase_add_test(t, long_text_in_small_pieces_takes_no_longer_than_in_one);
	suite_add_tcase(s, t);
	runner = srunner_create(s);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
