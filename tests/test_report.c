/* Guards load reports between daemons: no old or repeated report takes the place of a newer one, no
 * endpoint is left out of the heartbeats for good, and what was sent is counted until reported. */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "report.h"

#define S TLB_SECOND

enum { OWNER = 7, FORMER = 3 };

static const tlb_time now = 100 * S;

/* Whether the report next takes the place of the one known. made_at in ms before now. */
static const struct {
	const char *name;
	uint64_t source, number;
	int64_t age_ms;
	uint64_t next_source, next_number;
	int64_t next_age_ms;
	bool replaces;
} replace_cases[] = {
	{"newer of the same owner", OWNER, 4, 600, OWNER, 5, 100, true},
	{"older one that arrives late", OWNER, 5, 100, OWNER, 4, 600, false},
	{"older one delayed on its way, so that it looks fresh", OWNER, 5, 300, OWNER, 4, 100,
	 false},
	{"the same one, dated otherwise by its way", OWNER, 5, 101, OWNER, 5, 100, false},
	{"newer one after a delayed one", OWNER, 4, 100, OWNER, 5, 200, true},
	{"new owner", FORMER, 900, 3000, OWNER, 1, 100, true},
	{"former owner that was paused for 10 s", OWNER, 3, 100, FORMER, 901, 10000, false},
	{"first of all", 0, 0, -1, OWNER, 1, 100, true},
};

START_TEST(only_newer_reports_replace)
{
	struct tlb_report r = {.source = replace_cases[_i].source,
			       .number = replace_cases[_i].number};
	struct tlb_report next = {.source = replace_cases[_i].next_source,
				  .number = replace_cases[_i].next_number};

	if (replace_cases[_i].age_ms >= 0)
		r.made_at = now - replace_cases[_i].age_ms * TLB_MS;
	next.made_at = now - replace_cases[_i].next_age_ms * TLB_MS;
	ck_assert_msg(tlb_report_replaces(&next, &r) == replace_cases[_i].replaces, "%s",
		      replace_cases[_i].name);
}
END_TEST

static const struct {
	tlb_time made_at;
	bool known;
} known_cases[] = {
	{0, false}, {now, true}, {now - 3 * S, true}, {now - 3 * S - 1, false}, {1, false},
};

START_TEST(old_reports_say_nothing)
{
	struct tlb_report r = {.made_at = known_cases[_i].made_at};

	ck_assert_int_eq(tlb_report_known(&r, now), known_cases[_i].known);
}
END_TEST

/* 40 endpoints: each is sent within three heartbeats, one without a known report never. */
START_TEST(every_endpoint_is_sent_in_turn)
{
	enum { COUNT = 40, SILENT = 17 };
	struct tlb_report_sending list[COUNT];
	tlb_time sent[COUNT] = {0};
	int beat;
	int i;
	int n;

	for (beat = 1; beat <= 6; beat++) {
		for (i = 0; i < COUNT; i++)
			list[i] = (struct tlb_report_sending){i == SILENT ? now - 4 * S : now,
							      sent[i], i};
		n = tlb_report_pick(list, COUNT, now);
		ck_assert_int_eq(n, TLB_LOAD_REPORTS_MAX);
		for (i = 0; i < n; i++)
			sent[list[i].index] = beat;
		for (i = 0; beat >= 3 && i < COUNT; i++)
			ck_assert(i == SILENT ? !sent[i] : sent[i] > beat - 3);
	}
}
END_TEST

/* Three sendings of 1000 tokens, 0.2, 0.8 and 2 s ago. */
static const struct {
	tlb_time made_at;
	int64_t tokens;
} sent_cases[] = {
	{now, 0},
	{now - S / 2, 1000},
	{now - S, 2000},
	{now - 5 * S / 2, 3000},
	{0, 2000},	     /* no report: the last second */
	{now - 9 * S, 2000}, /* one that says nothing */
};

START_TEST(sendings_count_until_reported)
{
	struct tlb_report r = {.made_at = sent_cases[_i].made_at};
	struct tlb_sent s = {.next = 0};
	int i;

	tlb_sent_note(&s, 1000, now - 2 * S);
	tlb_sent_note(&s, 1000, now - 8 * S / 10);
	tlb_sent_note(&s, 1000, now - 2 * S / 10);
	ck_assert_int_eq(tlb_sent_since(&s, &r, now), sent_cases[_i].tokens);
	for (i = 0; i < TLB_SENT_SLOTS; i++)
		tlb_sent_note(&s, 1, now - 3 * S);
	ck_assert_int_eq(tlb_sent_since(&s, &r, now), 0);
}
END_TEST

#define ROWS(table) (int)(sizeof(table) / sizeof((table)[0]))

int main(void)
{
	Suite *s = suite_create("report");
	TCase *tc = tcase_create("report");
	SRunner *sr;
	int failed;

	tcase_add_loop_test(tc, only_newer_reports_replace, 0, ROWS(replace_cases));
	tcase_add_loop_test(tc, old_reports_say_nothing, 0, ROWS(known_cases));
	tcase_add_test(tc, every_endpoint_is_sent_in_turn);
	tcase_add_loop_test(tc, sendings_count_until_reported, 0, ROWS(sent_cases));
	suite_add_tcase(s, tc);
	sr = srunner_create(s);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
