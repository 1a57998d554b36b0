/* Tests listings of several pages against a model of the store. Guards against a listing that
 * begins anew, stops or passes rows over because of the key at the end of a page: machines that
 * started found no endpoint any more. */
#include <apr_general.h>
#include <check.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "platform.h"
#include "random.h"
#include "utf8.h"

enum {
	TABLES = 4000,
	ROWS_MAX = 40,
	PAGE_MAX = 6,
	KEY_MAX = 210, /* bytes; more than a key may have */
	ANSWER_BYTES = 128 << 10,
	TARGET_BYTES = 1024,
};

struct row {
	unsigned char key[KEY_MAX]; /* UTF-8, unpaired surrogates encoded like other characters */
	size_t len;
	char json[6 * KEY_MAX + 16]; /* the key as a JSON string */
	bool usable;
	int delivered;
};

struct model {
	struct row rows[ROWS_MAX];
	int count;
	int page_rows;
	int calls;
};

static int random_below(struct tlb_random *r, int n)
{
	return (int)(tlb_random_unit(r) * n);
}

/* Few characters, so that keys share beginnings and differ by what is hard to carry. */
static int random_character(struct tlb_random *r)
{
	static const int characters[] = {0,	 1,	  2,	   'a',	    'b',    '"',    '\\',
					 '&',	 '%',	  ' ',	   0x7F,    0x80,   0x7FF,  0x800,
					 0xD7FF, 0xD800,  0xDBFF,  0xDC00,  0xDFFF, 0xE000, 0xFFFD,
					 0xFFFF, 0x10000, 0x1F600, 0x10FFFF};

	return characters[random_below(r, (int)(sizeof(characters) / sizeof(characters[0])))];
}

static bool is_surrogate(int c)
{
	return c >= 0xD800 && c < 0xE000;
}

/* Writes a character of a JSON string, as it is where that is possible. */
static char *write_json(char *out, int c, bool escaped)
{
	unsigned char bytes[TLB_UTF8_BYTES_MAX];
	size_t len = tlb_utf8_encode(c, bytes);

	if (c == '"' || c == '\\')
		return out + sprintf(out, "\\%c", c);
	if (c >= 0x10000 && escaped)
		return out + sprintf(out, "\\u%04x\\u%04X", 0xD800 + ((c - 0x10000) >> 10),
				     0xDC00 + ((c - 0x10000) & 0x3FF));
	if (c < ' ' || is_surrogate(c) || escaped)
		return out + sprintf(out, "\\u%04x", c);
	memcpy(out, bytes, len);
	return out + len;
}

static void append(struct row *k, char **json, int c, bool escaped)
{
	k->usable &= c != 0 && !is_surrogate(c);
	k->len += tlb_utf8_encode(c, k->key + k->len);
	*json = write_json(*json, c, escaped);
}

static void make_key(struct tlb_random *r, struct row *k)
{
	static const int lengths[] = {0, 1, 2, 3, 5, 198, 199, 200, 201, 204};
	int len = lengths[random_below(r, (int)(sizeof(lengths) / sizeof(lengths[0])))];
	int fill = random_character(r);
	char *json = k->json;
	int previous = 0;
	int c;

	*k = (struct row){.usable = true};
	*json++ = '"';
	while ((int)k->len < len) {
		c = (int)k->len + 8 < len ? fill : random_character(r);
		/* Two surrogates would be one character. */
		if (is_surrogate(c) && is_surrogate(previous))
			c = 'c';
		previous = c;
		append(k, &json, c, random_below(r, 2) == 0);
	}
	strcpy(json, "\"");
	k->usable &= k->len <= TLB_STORED_KEY_MAX;
}

static int compare_bytes(const unsigned char *a, size_t a_len, const unsigned char *b, size_t b_len)
{
	int order = memcmp(a, b, a_len < b_len ? a_len : b_len);

	return order != 0 ? order : a_len < b_len ? -1 : a_len > b_len;
}

static int compare_rows(const void *a, const void *b)
{
	const struct row *x = a;
	const struct row *y = b;

	return compare_bytes(x->key, x->len, y->key, y->len);
}

static void make_table(struct tlb_random *r, struct model *m)
{
	int wanted = random_below(r, ROWS_MAX);
	int i;

	*m = (struct model){.page_rows = 1 + random_below(r, PAGE_MAX)};
	for (i = 0; i < wanted; i++)
		make_key(r, &m->rows[i]);
	qsort(m->rows, (size_t)wanted, sizeof(m->rows[0]), compare_rows);
	for (i = 0; i < wanted; i++) {
		if (m->count > 0 && compare_rows(&m->rows[m->count - 1], &m->rows[i]) == 0)
			continue;
		m->rows[m->count++] = m->rows[i];
	}
}

/* The key that a target states, as the store reads it. */
static size_t read_from(const char *target, unsigned char *from)
{
	const char *p = strstr(target, "&from=");
	char hex[3] = "";
	size_t len = 0;

	if (!p)
		return 0;
	for (p += strlen("&from="); *p; p++) {
		if (*p == '%') {
			memcpy(hex, p + 1, 2);
			from[len++] = (unsigned char)strtol(hex, NULL, 16);
			p += 2;
		} else {
			from[len++] = (unsigned char)*p;
		}
	}
	return len;
}

/* The store's answer to a listing. */
static void answer(const struct model *m, const char *target, char *out)
{
	unsigned char from[KEY_MAX];
	size_t from_len = read_from(target, from);
	char *p = out + sprintf(out, "{\"rows\":[");
	int rows = 0;
	int i;

	ck_assert_uint_le(from_len, TLB_STORED_KEY_MAX);
	for (i = 0; i < m->count && rows <= m->page_rows; i++) {
		if (compare_bytes(m->rows[i].key, m->rows[i].len, from, from_len) < 0)
			continue;
		if (rows++ == m->page_rows)
			break;
		p += sprintf(
			p,
			"%s{\"table\":\"t\",\"part\":\"\",\"key\":%s,\"value\":\"eA==\",\"ver\":1}",
			rows > 1 ? "," : "", m->rows[i].json);
	}
	sprintf(p, "],\"truncated\":%s,\"ver\":1,\"nowMs\":1}",
		rows > m->page_rows ? "true" : "false");
}

static void deliver(struct model *m, const struct tlb_stored_rows *rows)
{
	int i;
	int j;

	for (i = 0; i < rows->count; i++) {
		for (j = 0; j < m->count; j++) {
			if (m->rows[j].usable && m->rows[j].len == strlen(rows->rows[i].key) &&
			    memcmp(m->rows[j].key, rows->rows[i].key, m->rows[j].len) == 0)
				break;
		}
		ck_assert_msg(j < m->count, "a key that is none of the table");
		m->rows[j].delivered++;
	}
}

static void list(struct model *m, int seed)
{
	static char text[ANSWER_BYTES];
	struct tlb_stored_key place = {.len = 0};
	struct tlb_stored_rows rows;
	char target[TARGET_BYTES];
	bool more = true;

	while (more) {
		ck_assert(tlb_platform_list_target(target, sizeof(target), "t", &place));
		m->calls++;
		ck_assert_msg(m->calls <= m->count / m->page_rows + 1,
			      "seed %d: call %d of %d rows", seed, m->calls, m->count);
		answer(m, target, text);
		ck_assert_int_eq(tlb_platform_read_rows(text, strlen(text), &rows, NULL), TLB_OK);
		deliver(m, &rows);
		more = rows.more;
		ck_assert_msg(!more || tlb_stored_key_compare(&rows.next, &place) > 0,
			      "seed %d: a page does not move on", seed);
		place = rows.next;
		tlb_stored_rows_finish(&rows);
	}
}

START_TEST(each_row_is_listed_once_whatever_its_key)
{
	static struct model m;
	struct tlb_random r;
	int seed;
	int i;

	for (seed = 1; seed <= TABLES; seed++) {
		tlb_random_init(&r, (uint64_t)seed);
		make_table(&r, &m);
		list(&m, seed);
		for (i = 0; i < m.count; i++)
			ck_assert_msg(m.rows[i].delivered == m.rows[i].usable,
				      "seed %d: %s was listed %d times", seed, m.rows[i].json,
				      m.rows[i].delivered);
	}
}
END_TEST

/* Places behind keys, as JSON strings, which the model above does not make. */
static const struct {
	const char *string;
	const char *next; /* NULL: no key can follow */
	size_t next_len;
} places[] = {
	{"", "\0", 1},
	{"a\\/\\n\\t", "a/\n\t\0", 5},
	{"\\ud83d\\ude00", "\xf0\x9f\x98\x80\0", 5},
	{"a\\ud83d", "a\xee\x80\x80", 4},
	{"a\\ude00\\ud83d", "a\xee\x80\x80", 4},
	{"a\\ud83dx", "a\xee\x80\x80", 4},
	/* Bytes that are no UTF-8. */
	{"a\x80", "a\xc2\x80", 3},
	{"a\xc3(", "a\xc4\x80", 3},
	{"a\xdf", "a\xe0\xa0\x80", 4},
	{"a\xef\xbf", "a\xf0\x90\x80\x80", 5},
	{"a\xff", "b", 1},
	{"\xf4\x8f\xbf\xbf\xff", NULL, 0},
	/* An escape that is none: the begin of the key is known. */
	{"ab\\u12", "ab\0", 3},
};

START_TEST(place_behind_a_key)
{
	struct tlb_stored_key next;
	const char *string = places[_i].string;

	if (!places[_i].next) {
		ck_assert(!tlb_stored_key_after(string, strlen(string), &next));
		return;
	}
	ck_assert(tlb_stored_key_after(string, strlen(string), &next));
	ck_assert_uint_eq(next.len, places[_i].next_len);
	ck_assert_mem_eq(next.text, places[_i].next, next.len);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("listing");
	TCase *t = tcase_create("listing");
	SRunner *r;
	int failed;

	if (sodium_init() < 0 || apr_initialize() != APR_SUCCESS)
		return 1;
	tcase_add_test(t, each_row_is_listed_once_whatever_its_key);
	tcase_add_loop_test(t, place_behind_a_key, 0, sizeof(places) / sizeof(places[0]));
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? 1 : 0;
}
