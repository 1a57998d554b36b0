/* Load reports between daemons: an old or repeated report must not replace a newer one, each
 * endpoint must get into the heartbeats regularly, and tokens sent must be counted until a report
 * includes them. */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "report.h"

#define S TLB_SECOND

enum { OWNER = 7, FORMER = 3 };

static const tlb_time now = 100 * S;

/* Whether the next report replaces the stored one. Ages in ms before now; -1: no stored report. */
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
	{"older one delayed on the way, so that it looks newer", OWNER, 5, 300, OWNER, 4, 100,
	 false},
	{"repeated one that came a faster way, so that it looks newer", OWNER, 5, 101, OWNER, 5,
	 100, false},
	{"newer one after a delayed one", OWNER, 4, 100, OWNER, 5, 200, true},
	{"new owner", FORMER, 900, 3000, OWNER, 1, 100, true},
	{"former owner that was paused for 10 s", OWNER, 3, 100, FORMER, 901, 10000, false},
	{"first report of all", 0, 0, -1, OWNER, 1, 100, true},
};

START_TEST(only_newer_reports_replace)
{
	struct tlb_report r = {.source = replace_cases[_i].source,
			       .number = replace_cases[_i].number};
	struct tlb_report next = {.source = replace_cases[_i].next_source,
				  .number = replace_cases[_i].next_number};

	if (replace_cases[_i].age_ms >= 0)
		r.measured_at = now - replace_cases[_i].age_ms * TLB_MS;
	next.measured_at = now - replace_cases[_i].next_age_ms * TLB_MS;
	ck_assert_msg(tlb_report_replaces(&next, &r) == replace_cases[_i].replaces, "%s",
		      replace_cases[_i].name);
}
END_TEST

static const struct {
	tlb_time made_at;
	bool usable;
} age_cases[] = {
	{0, false}, {now, true}, {now - 3 * S, true}, {now - 3 * S - 1, false}, {1, false},
};

START_TEST(old_reports_are_not_usable)
{
	struct tlb_report r = {.measured_at = age_cases[_i].made_at};

	ck_assert_int_eq(tlb_report_fresh(&r, now), age_cases[_i].usable);
}
END_TEST

/* 40 endpoints, 16 to a heartbeat: each must be sent within three heartbeats, but never the one
 * whose report is too old. */
START_TEST(every_endpoint_is_sent_in_turn)
{
	enum { COUNT = 40, EXPIRED = 17 };
	struct tlb_report_candidate list[COUNT];
	tlb_time sent[COUNT] = {0};
	int heartbeat;
	int i;
	int n;

	for (heartbeat = 1; heartbeat <= 6; heartbeat++) {
		for (i = 0; i < COUNT; i++)
			list[i] = (struct tlb_report_candidate){i == EXPIRED ? now - 4 * S : now,
								sent[i], i};
		n = tlb_report_select(list, COUNT, now);
		ck_assert_int_eq(n, TLB_LOAD_REPORTS_MAX);
		for (i = 0; i < n; i++)
			sent[list[i].index] = heartbeat;
		for (i = 0; heartbeat >= 3 && i < COUNT; i++)
			ck_assert(i == EXPIRED ? !sent[i] : sent[i] > heartbeat - 3);
	}
}
END_TEST

/* Expected sum for three requests of 1000 tokens each, sent 0.2, 0.8 and 2 s ago. */
static const struct {
	tlb_time made_at;
	int64_t tokens;
} sent_cases[] = {
	{now, 0},
	{now - S / 2, 1000},
	{now - S, 2000},
	{now - 5 * S / 2, 3000},
	{0, 2000},	     /* no report: the last second */
	{now - 9 * S, 2000}, /* a report that is too old */
};

START_TEST(sent_tokens_count_until_reported)
{
	struct tlb_report r = {.measured_at = sent_cases[_i].made_at};
	struct tlb_dispatch_log s = {.next = 0};
	int i;

	tlb_dispatch_log_record(&s, 1000, now - 2 * S);
	tlb_dispatch_log_record(&s, 1000, now - 8 * S / 10);
	tlb_dispatch_log_record(&s, 1000, now - 2 * S / 10);
	ck_assert_int_eq(tlb_dispatch_log_tokens_since(&s, &r, now), sent_cases[_i].tokens);
	for (i = 0; i < TLB_DISPATCH_SLOTS; i++)
		tlb_dispatch_log_record(&s, 1, now - 3 * S);
	ck_assert_int_eq(tlb_dispatch_log_tokens_since(&s, &r, now), 0);
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
	tcase_add_loop_test(tc, old_reports_are_not_usable, 0, ROWS(age_cases));
	tcase_add_test(tc, every_endpoint_is_sent_in_turn);
	tcase_add_loop_test(tc, sent_tokens_count_until_reported, 0, ROWS(sent_cases));
	suite_add_tcase(s, tc);
	sr = srunner_create(s);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
