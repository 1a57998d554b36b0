/* Tests the reader of requests. Guards against a body that runs as a request because the reader and
 * the client, or another reader, disagree about where the body begins or ends. */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "request_reader.h"

enum { LINE_BYTES = 2048, BODY_BYTES = 256, ENDLESS_BYTES = 4 << 20 };

struct body {
	char text[BODY_BYTES];
	size_t len;
};

static void append_body(void *arg, const char *data, size_t len)
{
	struct body *b = arg;

	ck_assert_uint_le(b->len + len, sizeof(b->text));
	memcpy(b->text + b->len, data, len);
	b->len += len;
}

/* Replaces the escapes in text; returns the length of the result. */
static size_t unescape(char *text)
{
	static const char escapes[] = "rnt0\\";
	static const char bytes[] = "\r\n\t\0\\";
	char hex[3] = "";
	char *out = text;
	const char *p;

	for (p = text; *p; p++) {
		if (*p != '\\') {
			*out++ = *p;
		} else if (*++p == 'x') {
			memcpy(hex, p + 1, 2);
			*out++ = (char)strtol(hex, NULL, 16);
			p += 2;
		} else {
			ck_assert_ptr_nonnull(strchr(escapes, *p));
			*out++ = bytes[strchr(escapes, *p) - escapes];
		}
	}
	return (size_t)(out - text);
}

/* Reads input of which the first piece ends at split, and the others have piece bytes. */
static size_t read_request(struct tlb_request_reader *r, const char *input, size_t len,
			   size_t split, size_t piece)
{
	size_t end = split;
	size_t read = 0;
	size_t n;

	while (read < len) {
		if (end > len)
			end = len;
		n = tlb_request_reader_read(r, input + read, end - read);
		read += n;
		if (r->state == TLB_REQUEST_COMPLETE || r->state == TLB_REQUEST_INVALID)
			break;
		if (read == end)
			end += piece;
	}
	return read;
}

static void describe(const struct tlb_request_reader *r, const struct body *b, const char *rest,
		     size_t rest_len, char *out)
{
	size_t i;

	if (r->state == TLB_REQUEST_INVALID) {
		sprintf(out, "refused %s", r->reason);
		return;
	}
	if (r->state != TLB_REQUEST_COMPLETE) {
		strcpy(out, "incomplete");
		return;
	}
	out += sprintf(out, "%s %s ", r->method, r->target);
	for (i = 0; i < r->header_count; i++)
		out += sprintf(out, "[%s=%s] ", r->headers[i].name, r->headers[i].value);
	out += sprintf(out, "%s body=\"%.*s\"", r->keep_alive ? "keep" : "close", (int)b->len,
		       b->text);
	if (rest_len > 0)
		sprintf(out, " rest=\"%.*s\"", (int)rest_len, rest);
}

static void expect(const char *input, size_t len, size_t split, size_t piece, const char *expected)
{
	struct tlb_request_reader r;
	struct body body = {.len = 0};
	char got[LINE_BYTES];
	size_t used;

	tlb_request_reader_init(&r, NULL, append_body, &body);
	used = read_request(&r, input, len, split, piece);
	describe(&r, &body, input + used, len - used, got);
	ck_assert_msg(strcmp(got, expected) == 0, "%.*s\n in pieces of %zu, %zu\n got %s\n not %s",
		      (int)len, input, split, piece, got, expected);
	tlb_request_reader_finish(&r);
}

START_TEST(request_reads_the_same_wherever_it_is_cut)
{
	FILE *f = fopen("tests/requests/requests.txt", "r");
	char line[LINE_BYTES];
	char *expected;
	size_t split;
	size_t len;
	int count = 0;

	ck_assert_ptr_nonnull(f);
	while (fgets(line, sizeof(line), f)) {
		line[strcspn(line, "\n")] = '\0';
		if (line[0] == '#')
			continue;
		expected = strstr(line, " => ");
		ck_assert_ptr_nonnull(expected);
		*expected = '\0';
		expected += 4;
		expected[unescape(expected)] = '\0';
		len = unescape(line);
		for (split = 1; split <= len; split++)
			expect(line, len, split, len, expected);
		expect(line, len, 1, 1, expected);
		count++;
	}
	fclose(f);
	ck_assert_int_gt(count, 60);
}
END_TEST

/* A part of a head that is repeated without end. */
static const struct {
	const char *begin;
	const char *part;
	enum tlb_request_fault fault;
} endless[] = {
	{"", "G", TLB_REQUEST_LINE_TOO_LARGE},
	{"GET /", "a", TLB_REQUEST_LINE_TOO_LARGE},
	{"GET / HTTP/1.1\r\n", "A", TLB_REQUEST_HEADERS_TOO_LARGE},
	{"GET / HTTP/1.1\r\nA: ", "a", TLB_REQUEST_HEADERS_TOO_LARGE},
	{"GET / HTTP/1.1\r\n", "A:\r\n", TLB_REQUEST_HEADERS_TOO_LARGE},
	{"GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5;", "a", TLB_REQUEST_MALFORMED},
	{"GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", "0", TLB_REQUEST_MALFORMED},
	{"GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n",
	 TLB_REQUEST_MALFORMED},
};

START_TEST(parts_without_end_are_refused)
{
	struct tlb_memory memory;
	struct tlb_request_reader r;
	struct body body = {.len = 0};
	size_t sent;

	tlb_memory_init(&memory, SIZE_MAX / 2);
	tlb_request_reader_init(&r, &memory, append_body, &body);
	tlb_request_reader_read(&r, endless[_i].begin, strlen(endless[_i].begin));
	for (sent = 0; sent < ENDLESS_BYTES && r.state != TLB_REQUEST_INVALID;)
		sent += tlb_request_reader_read(&r, endless[_i].part, strlen(endless[_i].part));
	ck_assert_int_eq(r.fault, endless[_i].fault);
	ck_assert_uint_le(memory.peak, 4 * TLB_REQUEST_HEAD_MAX);
	tlb_request_reader_finish(&r);
	ck_assert_uint_eq(memory.used, 0);
}
END_TEST

/* A connection on which one arrives is idle: else the request that it doesn't begin would time out.
 */
START_TEST(empty_line_begins_no_request)
{
	struct tlb_request_reader r;

	tlb_request_reader_init(&r, NULL, append_body, NULL);
	ck_assert_uint_eq(tlb_request_reader_read(&r, "\r\n", 2), 2);
	ck_assert(!tlb_request_reader_has_begun(&r));
	ck_assert_uint_eq(tlb_request_reader_read(&r, "G", 1), 1);
	ck_assert(tlb_request_reader_has_begun(&r));
	tlb_request_reader_finish(&r);
}
END_TEST

START_TEST(reader_reads_one_request_after_the_other)
{
	static const char two[] = "POST /1 HTTP/1.1\r\nContent-Length: 1\r\n\r\nx"
				  "GET /2 HTTP/1.1\r\n\r\n";
	struct tlb_request_reader r;
	struct body body = {.len = 0};
	size_t used = 0;

	tlb_request_reader_init(&r, NULL, append_body, &body);
	while (r.state != TLB_REQUEST_COMPLETE)
		used += tlb_request_reader_read(&r, two + used, sizeof(two) - 1 - used);
	ck_assert_str_eq(r.target, "/1");
	ck_assert_ptr_nonnull(tlb_request_reader_find(&r, "content-length"));
	tlb_request_reader_reset(&r);
	used += tlb_request_reader_read(&r, two + used, sizeof(two) - 1 - used);
	ck_assert_int_eq(r.state, TLB_REQUEST_COMPLETE);
	ck_assert_str_eq(r.target, "/2");
	ck_assert_ptr_null(tlb_request_reader_find(&r, "content-length"));
	ck_assert_uint_eq(used, sizeof(two) - 1);
	tlb_request_reader_finish(&r);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("request_reader");
	TCase *tc = tcase_create("read");
	SRunner *sr;
	int failed;

	tcase_add_test(tc, request_reads_the_same_wherever_it_is_cut);
	tcase_add_loop_test(tc, parts_without_end_are_refused, 0,
			    sizeof(endless) / sizeof(endless[0]));
	tcase_add_test(tc, empty_line_begins_no_request);
	tcase_add_test(tc, reader_reads_one_request_after_the_other);
	suite_add_tcase(s, tc);
	sr = srunner_create(s);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? 1 : 0;
}
