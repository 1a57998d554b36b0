/*
 * Verdicts over prompt parts that crash endpoints: tests/quarantine/evidence.txt, replayed. Guards
 * against requests of one kind that crash one endpoint after the other, against sound requests that
 * are rejected with them, and against VMs that reach different verdicts from the same evidence.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "quarantine.h"

enum { LINE_LEN = 256, CASES_MIN = 10, MERGE_ROUNDS = 20 };
/* The clock does not start at 0, which stands for "never". */
static const tlb_time start = 1000 * TLB_SECOND;

struct text_prompt {
	uint64_t parts[TLB_SHARED_PARTS_MAX];
	struct tlb_prompt prompt;
};

/* Every prompt is another request, unless its parts end in ".N": then it is the request number N.
 */
static void set_prompt(struct text_prompt *p, const char *account, const char *parts)
{
	static uint64_t last_request = 1000;
	int n = 0;

	for (; *parts && *parts != '.'; parts++)
		if (*parts != '-')
			p->parts[n++] = (uint64_t)*parts;
	p->prompt = (struct tlb_prompt){p->parts, n, (uint64_t)*account,
					*parts ? (uint64_t)atoi(parts + 1) : ++last_request};
}

static uint64_t endpoint(const char *name)
{
	return (uint64_t)atoi(name + 1);
}

/* Applies one line of a case, or checks it. */
static void apply(struct tlb_quarantine *q, const char *line, int number)
{
	struct text_prompt p;
	char event[16];
	char a[16];
	char b[32];
	char c[32];
	int ms;
	int n = sscanf(line, "%d %15s %15s %31s %31s", &ms, event, a, b, c);
	tlb_time now = start + ms * TLB_MS;

	ck_assert_msg(n >= 3, "line %d: %s", number, line);
	tlb_quarantine_expire(q, now);
	if (strcmp(event, "crash") == 0) {
		ck_assert_int_eq(n, 5);
		set_prompt(&p, b, c);
		tlb_quarantine_add_crash(q, &p.prompt, endpoint(a), now);
		return;
	}
	if (strcmp(event, "abandon") == 0) {
		ck_assert_int_eq(n, 5);
		set_prompt(&p, b, c);
		tlb_quarantine_add_abandoned(q, &p.prompt, endpoint(a), now);
		return;
	}
	if (strcmp(event, "broken") == 0) {
		tlb_quarantine_note_crash(q, endpoint(a), now);
		return;
	}
	ck_assert_int_eq(n, 4);
	set_prompt(&p, a, b);
	if (strcmp(event, "answer") == 0) {
		tlb_quarantine_add_answer(q, &p.prompt, now);
		return;
	}
	ck_assert_msg(!tlb_quarantine_find(q, &p.prompt, now) == !strcmp(event, "serves"),
		      "line %d: %s", number, line);
	if (strcmp(event, "serves") == 0)
		tlb_quarantine_begin_probe(q, &p.prompt, now);
}

START_TEST(which_prompts_are_rejected)
{
	FILE *f = fopen("tests/quarantine/evidence.txt", "r");
	struct tlb_quarantine q;
	char line[LINE_LEN];
	int number = 0;
	int cases = 0;

	ck_assert_ptr_nonnull(f);
	tlb_quarantine_init(&q, 0);
	while (fgets(line, sizeof(line), f)) {
		number++;
		if (strncmp(line, "case", 4) == 0) {
			tlb_quarantine_finish(&q);
			tlb_quarantine_init(&q, 0);
			cases++;
		} else if (line[0] != '#' && line[0] != '\n') {
			apply(&q, line, number);
		}
	}
	tlb_quarantine_finish(&q);
	fclose(f);
	ck_assert_int_gt(cases, CASES_MIN);
}
END_TEST

static void crash(struct tlb_quarantine *q, const char *at, const char *account, const char *parts,
		  int ms)
{
	struct text_prompt p;

	set_prompt(&p, account, parts);
	tlb_quarantine_add_crash(q, &p.prompt, endpoint(at), start + ms * TLB_MS);
}

static void answer(struct tlb_quarantine *q, const char *account, const char *parts, int ms)
{
	struct text_prompt p;

	set_prompt(&p, account, parts);
	tlb_quarantine_add_answer(q, &p.prompt, start + ms * TLB_MS);
}

static bool rejects(struct tlb_quarantine *q, const char *account, const char *parts)
{
	struct text_prompt p;

	set_prompt(&p, account, parts);
	return tlb_quarantine_find(q, &p.prompt, start + TLB_SECOND) != NULL;
}

static bool merge_all(struct tlb_quarantine *to, const struct tlb_quarantine *from, int ms)
{
	const struct tlb_suspect_part *s;
	bool changed = false;

	APR_RING_FOREACH (s, &from->parts, tlb_suspect_part, link) {
		changed |= tlb_quarantine_merge(to, s, start + ms * TLB_MS);
	}
	return changed;
}

START_TEST(vms_that_each_see_a_few_crashes_reach_the_same_verdict)
{
	struct tlb_quarantine q[3];
	int i;

	for (i = 0; i < 3; i++)
		tlb_quarantine_init(&q[i], 0);
	crash(&q[0], "e1", "x", "ad", 0);
	crash(&q[1], "e2", "x", "ad", 200);
	crash(&q[2], "e3", "y", "bd", 400);
	merge_all(&q[1], &q[0], 500);
	merge_all(&q[2], &q[1], 600);
	merge_all(&q[0], &q[2], 700);
	merge_all(&q[1], &q[0], 800);
	for (i = 0; i < 3; i++) {
		ck_assert(rejects(&q[i], "x", "ad"));
		ck_assert(rejects(&q[i], "z", "d"));
		ck_assert(!rejects(&q[i], "x", "ab"));
		ck_assert(tlb_quarantine_digest(&q[i]) == tlb_quarantine_digest(&q[0]));
		ck_assert(!merge_all(&q[i], &q[(i + 1) % 3], 900));
	}
	ck_assert(tlb_quarantine_digest(&q[0]) != 0);
	for (i = 0; i < 3; i++)
		tlb_quarantine_finish(&q[i]);
}
END_TEST

/* A pseudo-random history of VMs that see crashes, often several at a time, and answers. */
static void random_history(struct tlb_quarantine q[3], unsigned int seed)
{
	char parts[4] = "";
	char at[8];
	int ms = 0;
	int n = 3 + rand_r(&seed) % 20;
	int vm;
	int i;

	for (i = 0; i < n; i++) {
		snprintf(parts, sizeof(parts), "%c%s%s", 'a' + rand_r(&seed) % 3,
			 rand_r(&seed) % 3 ? "d" : "", rand_r(&seed) % 3 ? "" : "s");
		snprintf(at, sizeof(at), "e%d", i);
		ms += rand_r(&seed) % (rand_r(&seed) % 3 ? 30 : 250);
		vm = rand_r(&seed) % 3;
		if (rand_r(&seed) % 8 == 0)
			answer(&q[vm], "x", parts, ms);
		else
			crash(&q[vm], at, rand_r(&seed) % 2 ? "x" : "y", parts, ms);
		if (rand_r(&seed) % 4 == 0)
			merge_all(&q[rand_r(&seed) % 3], &q[rand_r(&seed) % 3], ms + 1);
	}
}

START_TEST(vms_come_to_the_same_verdicts_whatever_crashes_of_a_burst_each_has_seen)
{
	struct tlb_quarantine q[3];
	unsigned int seed;
	bool changed;
	int round;
	int i;

	for (seed = 1; seed <= 1000; seed++) {
		for (i = 0; i < 3; i++)
			tlb_quarantine_init(&q[i], 0);
		random_history(q, seed);
		changed = true;
		for (round = 0; round < 10 && changed; round++)
			for (i = 0, changed = false; i < 6; i++)
				changed |= merge_all(&q[i % 3], &q[(i + 1 + i / 3) % 3], 10000);
		ck_assert_msg(!changed, "seed %u: messages go on", seed);
		for (i = 1; i < 3; i++)
			ck_assert_msg(tlb_quarantine_digest(&q[i]) == tlb_quarantine_digest(&q[0]),
				      "seed %u: VM %d", seed, i);
		for (i = 0; i < 3; i++)
			tlb_quarantine_finish(&q[i]);
	}
}
END_TEST

/* Otherwise the store and other VMs would keep the shorter wait of a verdict with fewer crashes. */
START_TEST(a_crash_after_the_verdict_is_a_difference_to_be_stored_and_sent)
{
	struct tlb_quarantine q[2];
	uint64_t verdict;

	tlb_quarantine_init(&q[0], 0);
	tlb_quarantine_init(&q[1], 0);
	crash(&q[0], "e1", "x", "ad", 0);
	crash(&q[0], "e2", "x", "ad", 200);
	crash(&q[0], "e3", "x", "ad", 400);
	verdict = tlb_quarantine_digest(&q[0]);
	merge_all(&q[1], &q[0], 500);
	ck_assert(tlb_quarantine_digest(&q[1]) == verdict);
	crash(&q[0], "e4", "x", "ad", 600);
	ck_assert(tlb_quarantine_digest(&q[0]) != verdict);
	merge_all(&q[1], &q[0], 700);
	ck_assert(tlb_quarantine_digest(&q[0]) == tlb_quarantine_digest(&q[1]));
	tlb_quarantine_finish(&q[0]);
	tlb_quarantine_finish(&q[1]);
}
END_TEST

START_TEST(an_old_message_does_not_bring_back_a_verdict_that_an_answer_ended)
{
	struct tlb_quarantine now;
	struct tlb_quarantine old;

	tlb_quarantine_init(&now, 0);
	tlb_quarantine_init(&old, 0);
	crash(&old, "e1", "x", "a", 0);
	crash(&old, "e2", "x", "a", 200);
	crash(&old, "e3", "x", "a", 400);
	merge_all(&now, &old, 500);
	ck_assert(rejects(&now, "x", "a"));
	answer(&now, "x", "a", 600);
	ck_assert(!rejects(&now, "x", "a"));
	ck_assert(!merge_all(&now, &old, 700));
	ck_assert(!rejects(&now, "x", "a"));
	merge_all(&old, &now, 800);
	ck_assert(!rejects(&old, "x", "a"));
	tlb_quarantine_finish(&now);
	tlb_quarantine_finish(&old);
}
END_TEST

START_TEST(vms_that_count_different_crashes_of_a_burst_come_to_the_same_number)
{
	struct tlb_quarantine q[2];
	char name[8];
	int i;

	tlb_quarantine_init(&q[0], 0);
	tlb_quarantine_init(&q[1], 0);
	for (i = 0; i < 40; i++) {
		snprintf(name, sizeof(name), "e%d", i);
		crash(&q[i % 2], name, "x", "ad", i * 37 % 1000);
	}
	crash(&q[0], "e50", "x", "ad", 3000);
	crash(&q[0], "e51", "x", "ad", 3010);
	for (i = 0; i < 20 && (merge_all(&q[0], &q[1], 4000) | merge_all(&q[1], &q[0], 4000)); i++)
		;
	ck_assert_int_lt(i, 20);
	ck_assert(rejects(&q[0], "x", "ad"));
	ck_assert(rejects(&q[1], "x", "ad"));
	ck_assert(tlb_quarantine_digest(&q[0]) == tlb_quarantine_digest(&q[1]));
	tlb_quarantine_finish(&q[0]);
	tlb_quarantine_finish(&q[1]);
}
END_TEST

START_TEST(a_late_message_does_not_bring_back_a_verdict_that_an_answer_ended)
{
	struct tlb_suspect_part late;
	struct tlb_quarantine q[2];
	int i;

	tlb_quarantine_init(&q[0], 0);
	tlb_quarantine_init(&q[1], 0);
	crash(&q[0], "e1", "x", "a", 0);
	crash(&q[0], "e2", "x", "a", 200);
	crash(&q[0], "e3", "x", "a", 400);
	late = *APR_RING_FIRST(&q[0].parts);
	answer(&q[0], "x", "a", 1000);
	/* Three seconds under way, for example to a VM that was frozen. */
	for (i = 0; i < late.crash_count; i++)
		late.crashes[i].at += 3 * TLB_SECOND;
	tlb_quarantine_merge(&q[1], &late, start + 3500 * TLB_MS);
	merge_all(&q[0], &q[1], 3600);
	ck_assert(!rejects(&q[0], "x", "a"));
	tlb_quarantine_finish(&q[0]);
	tlb_quarantine_finish(&q[1]);
}
END_TEST

/* The clock counts from the boot, so that the times of earlier evidence are negative. */
START_TEST(vm_that_has_just_booted_learns_earlier_crashes_and_answers)
{
	const tlb_time now = 20 * TLB_SECOND;
	struct tlb_suspect_part from;
	struct text_prompt p;
	struct tlb_quarantine q;
	int i;

	tlb_quarantine_init(&q, 0);
	tlb_quarantine_init_part(&from, 'd');
	from.common[from.common_count++] = 'd';
	for (i = 0; i < 5; i++)
		from.crashes[from.crash_count++] = (struct tlb_part_crash){
			(uint64_t)i + 1,
			tlb_quarantine_time_of_age(now, (uint64_t)((60 - i) * TLB_SECOND)), 'x',
			(uint64_t)i + 1};
	ck_assert(tlb_quarantine_merge(&q, &from, now));
	set_prompt(&p, "x", "d");
	ck_assert_ptr_nonnull(tlb_quarantine_find(&q, &p.prompt, now));
	from.sound_at = tlb_quarantine_time_of_age(now, (uint64_t)(50 * TLB_SECOND));
	ck_assert(tlb_quarantine_merge(&q, &from, now));
	ck_assert_ptr_null(tlb_quarantine_find(&q, &p.prompt, now));
	tlb_quarantine_finish(&q);
}
END_TEST

START_TEST(evidence_of_any_age_is_dated)
{
	ck_assert(tlb_quarantine_time_of_age(1, UINT64_MAX) < 1 - TLB_QUARANTINE_MEMORY);
	ck_assert(tlb_quarantine_time_of_age(1, 0) == 1);
}
END_TEST

/* A long message delay must not make a notice new for ever. */
START_TEST(notices_do_not_circulate_over_a_slow_link)
{
	struct tlb_quarantine q[2];
	tlb_time at = start;
	int hops = 0;

	tlb_quarantine_init(&q[0], 0);
	tlb_quarantine_init(&q[1], 0);
	while (hops < 20 && tlb_quarantine_note_crash(&q[hops % 2], 1, at)) {
		at += 2200 * TLB_MS;
		hops++;
	}
	ck_assert_int_lt(hops, 20);
	tlb_quarantine_finish(&q[0]);
	tlb_quarantine_finish(&q[1]);
}
END_TEST

/* The time at which a VM with that seed lets a prompt through, in ms. */
static int probe_ms(uint64_t seed)
{
	struct tlb_quarantine q;
	int ms;

	tlb_quarantine_init(&q, seed);
	crash(&q, "e1", "x", "a", 0);
	crash(&q, "e2", "x", "a", 200);
	crash(&q, "e3", "x", "a", 400);
	ms = (int)((tlb_quarantine_next_probe_at(&q, APR_RING_FIRST(&q.parts)) - start) / TLB_MS);
	tlb_quarantine_finish(&q);
	return ms;
}

/* Otherwise requests at all VMs would reach endpoints at the same moment. */
START_TEST(vms_do_not_probe_at_the_same_time)
{
	const int earliest = 400 + (int)(TLB_QUARANTINE_MIN_TIME / TLB_MS);
	const int latest = earliest + (int)(TLB_QUARANTINE_MIN_TIME / TLB_MS) / 2;
	int first = latest;
	int last = earliest;
	int ms;
	int i;

	for (i = 1; i <= 100; i++) {
		ms = probe_ms((uint64_t)i);
		ck_assert(ms >= earliest && ms <= latest);
		first = ms < first ? ms : first;
		last = ms > last ? ms : last;
	}
	ck_assert_int_ge(last - first, (latest - earliest) * 3 / 4);
}
END_TEST

static bool lets_through(struct tlb_quarantine *q, const char *parts, int ms)
{
	struct text_prompt p;

	set_prompt(&p, "x", parts);
	if (tlb_quarantine_find(q, &p.prompt, start + ms * TLB_MS))
		return false;
	tlb_quarantine_begin_probe(q, &p.prompt, start + ms * TLB_MS);
	return true;
}

START_TEST(a_probe_of_one_vm_holds_back_the_others)
{
	struct tlb_suspect_part *s;
	struct tlb_quarantine q[2];

	tlb_quarantine_init(&q[0], 0);
	tlb_quarantine_init(&q[1], 0);
	crash(&q[0], "e1", "x", "ad", 0);
	crash(&q[0], "e2", "x", "ad", 200);
	crash(&q[0], "e3", "x", "ad", 400);
	merge_all(&q[1], &q[0], 500);
	ck_assert(lets_through(&q[0], "ad.7", 31000));
	ck_assert(merge_all(&q[1], &q[0], 31050));
	/* Under way for a second. */
	APR_RING_FOREACH (s, &q[1].parts, tlb_suspect_part, link) {
		s->probe_at += TLB_SECOND;
	}
	ck_assert(!merge_all(&q[0], &q[1], 31100));
	ck_assert(!lets_through(&q[1], "ad.8", 31100));
	ck_assert(!lets_through(&q[1], "ad.7", 31100));
	ck_assert(lets_through(&q[0], "ad.7", 31200));
	answer(&q[0], "x", "ad.7", 32000);
	merge_all(&q[1], &q[0], 32050);
	ck_assert(lets_through(&q[1], "ad.9", 32100));
	ck_assert(lets_through(&q[1], "ad.10", 32100));
	tlb_quarantine_finish(&q[0]);
	tlb_quarantine_finish(&q[1]);
}
END_TEST

START_TEST(memory_is_bounded_and_verdicts_are_kept)
{
	struct tlb_quarantine q;
	uint64_t part;
	struct tlb_prompt p = {&part, 1, 'x', 1};
	int i;

	tlb_quarantine_init(&q, 0);
	crash(&q, "e1", "x", "d", 0);
	crash(&q, "e2", "x", "d", 200);
	crash(&q, "e3", "x", "d", 400);
	for (i = 0; i < 3 * TLB_QUARANTINE_PARTS_MAX; i++) {
		part = 1000 + (uint64_t)i;
		tlb_quarantine_add_crash(&q, &p, 100 + (uint64_t)i, start + (1000 + i) * TLB_MS);
	}
	ck_assert_int_le(q.count, TLB_QUARANTINE_PARTS_MAX);
	ck_assert(rejects(&q, "x", "d"));
	tlb_quarantine_finish(&q);
}
END_TEST

static double processor_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
	return (double)t.tv_sec * 1e3 + (double)t.tv_nsec / 1e6;
}

/* Processor time to learn of one crash for each of that many parts. */
static double time_to_merge(int parts)
{
	struct tlb_quarantine q;
	struct tlb_suspect_part p;
	double started_at = processor_ms();
	int round;
	int i;

	for (round = 0; round < MERGE_ROUNDS; round++) {
		tlb_quarantine_init(&q, 1);
		for (i = 1; i <= parts; i++) {
			tlb_quarantine_init_part(&p, (uint64_t)i);
			p.common_count = 1;
			p.common[0] = p.part;
			p.crash_count = 1;
			p.crashes[0] = (struct tlb_part_crash){
				.endpoint = (uint64_t)i, .at = start, .request = (uint64_t)i};
			tlb_quarantine_merge(&q, &p, start);
		}
		tlb_quarantine_finish(&q);
	}
	return processor_ms() - started_at;
}

START_TEST(many_crashes_are_merged_in_time)
{
	double few = time_to_merge(TLB_QUARANTINE_PARTS_MAX / 8);
	double many = time_to_merge(TLB_QUARANTINE_PARTS_MAX);

	/* Eight times the parts. */
	ck_assert_msg(many < 32 * few, "%.2f ms and %.2f ms", few, many);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("quarantine");
	TCase *t = tcase_create("quarantine");
	SRunner *sr = srunner_create(s);
	int failed;

	tcase_add_test(t, which_prompts_are_rejected);
	tcase_add_test(t, vms_that_each_see_a_few_crashes_reach_the_same_verdict);
	tcase_add_test(t, vms_come_to_the_same_verdicts_whatever_crashes_of_a_burst_each_has_seen);
	tcase_add_test(t, a_crash_after_the_verdict_is_a_difference_to_be_stored_and_sent);
	tcase_add_test(t, an_old_message_does_not_bring_back_a_verdict_that_an_answer_ended);
	tcase_add_test(t, vms_that_count_different_crashes_of_a_burst_come_to_the_same_number);
	tcase_add_test(t, a_late_message_does_not_bring_back_a_verdict_that_an_answer_ended);
	tcase_add_test(t, vm_that_has_just_booted_learns_earlier_crashes_and_answers);
	tcase_add_test(t, evidence_of_any_age_is_dated);
	tcase_add_test(t, notices_do_not_circulate_over_a_slow_link);
	tcase_add_test(t, vms_do_not_probe_at_the_same_time);
	tcase_add_test(t, a_probe_of_one_vm_holds_back_the_others);
	tcase_add_test(t, memory_is_bounded_and_verdicts_are_kept);
	tcase_add_test(t, many_crashes_are_merged_in_time);
	suite_add_tcase(s, t);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed > 0;
}
