/* Timers must fire in the order of their deadlines, and a cleared timer must not fire. Input that
 * waited while the loop stood still must be read before deadlines that passed meanwhile are
 * applied.
 */
#include <apr_general.h>
#include <check.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "loop.h"

static int order[4];
static int fired;

static void record_fired(void *arg)
{
	order[fired++] = *(int *)arg;
}

START_TEST(timers_fire_in_order)
{
	struct tlb_loop l;
	struct tlb_timer t[3];
	int ids[3] = {0, 1, 2};
	tlb_time now = tlb_clock_now();
	int i;

	ck_assert_int_eq(tlb_loop_init(&l), APR_SUCCESS);
	for (i = 0; i < 3; i++)
		tlb_timer_init(&t[i], record_fired, &ids[i]);
	tlb_timer_set(&l, &t[0], now + 3 * TLB_MS);
	tlb_timer_set(&l, &t[1], now + 2 * TLB_MS);
	tlb_timer_set(&l, &t[2], now + TLB_MS);
	tlb_timer_clear(&l, &t[1]);
	while (fired < 2)
		tlb_loop_once(&l, TLB_NEVER);
	ck_assert_int_eq(order[0], 2);
	ck_assert_int_eq(order[1], 0);
	tlb_loop_finish(&l);
}
END_TEST

/* A loop with a timer and two pipes. */
struct late_loop {
	struct tlb_loop loop;
	struct tlb_timer timer;
	struct tlb_timer blocker;
	int pipe[2][2];
	bool keeps_input;
	int reads;	   /* of the second pipe */
	int reads_at_fire; /* reads when the timer fired; -1 before that */
};

static void stall(void)
{
	usleep(TLB_LOOP_LATE + 20 * TLB_MS);
}

static void on_fire(void *arg)
{
	struct late_loop *t = arg;

	t->reads_at_fire = t->reads;
}

static void on_input(void *arg, int events)
{
	struct late_loop *t = arg;
	char byte;

	t->reads++;
	if (!t->keeps_input)
		ck_assert_int_eq(read(t->pipe[1][0], &byte, 1), 1);
}

/* Makes the second pipe readable, as an accepted connection brings its request. */
static void on_first_input(void *arg, int events)
{
	struct late_loop *t = arg;
	char byte;

	ck_assert_int_eq(read(t->pipe[0][0], &byte, 1), 1);
	ck_assert_int_eq(write(t->pipe[1][1], "x", 1), 1);
}

static void on_first_input_stalling(void *arg, int events)
{
	on_first_input(arg, events);
	stall();
}

static void on_blocker(void *arg)
{
	struct late_loop *t = arg;

	ck_assert_int_eq(write(t->pipe[1][1], "x", 1), 1);
	stall();
}

static void late_loop_init(struct late_loop *t, tlb_watch_fn *on_first)
{
	memset(t, 0, sizeof(*t));
	t->reads_at_fire = -1;
	ck_assert_int_eq(tlb_loop_init(&t->loop), APR_SUCCESS);
	ck_assert_int_eq(pipe(t->pipe[0]), 0);
	ck_assert_int_eq(pipe(t->pipe[1]), 0);
	ck_assert_ptr_nonnull(tlb_loop_watch(&t->loop, t->pipe[0][0], TLB_READABLE, on_first, t));
	ck_assert_ptr_nonnull(tlb_loop_watch(&t->loop, t->pipe[1][0], TLB_READABLE, on_input, t));
	tlb_timer_init(&t->timer, on_fire, t);
	tlb_timer_init(&t->blocker, on_blocker, t);
	tlb_loop_once(&t->loop, tlb_clock_now());
}

static void late_loop_finish(struct late_loop *t)
{
	int i;

	tlb_loop_finish(&t->loop);
	for (i = 0; i < 4; i++)
		close(t->pipe[i / 2][i % 2]);
}

START_TEST(input_that_arrives_during_a_callback_is_read_before_deadlines)
{
	struct late_loop t;

	late_loop_init(&t, on_first_input_stalling);
	tlb_timer_set(&t.loop, &t.timer, tlb_clock_now() + TLB_MS);
	ck_assert_int_eq(write(t.pipe[0][1], "x", 1), 1);
	tlb_loop_once(&t.loop, TLB_NEVER);
	ck_assert_int_eq(t.reads_at_fire, 1);
	late_loop_finish(&t);
}
END_TEST

START_TEST(input_behind_other_input_is_read_before_deadlines)
{
	struct late_loop t;

	late_loop_init(&t, on_first_input);
	tlb_timer_set(&t.loop, &t.timer, tlb_clock_now() + TLB_MS);
	ck_assert_int_eq(write(t.pipe[0][1], "x", 1), 1);
	stall();
	tlb_loop_once(&t.loop, TLB_NEVER);
	ck_assert_int_eq(t.reads_at_fire, 1);
	late_loop_finish(&t);
}
END_TEST

START_TEST(input_that_arrives_during_a_timer_is_read_before_further_deadlines)
{
	struct late_loop t;

	late_loop_init(&t, on_first_input);
	tlb_timer_set(&t.loop, &t.blocker, tlb_clock_now());
	tlb_timer_set(&t.loop, &t.timer, tlb_clock_now() + TLB_MS);
	tlb_loop_once(&t.loop, TLB_NEVER);
	ck_assert_int_eq(t.reads_at_fire, 1);
	late_loop_finish(&t);
}
END_TEST

START_TEST(input_without_end_does_not_hold_up_deadlines)
{
	struct late_loop t;

	late_loop_init(&t, on_first_input);
	t.keeps_input = true;
	tlb_timer_set(&t.loop, &t.timer, tlb_clock_now() + TLB_MS);
	ck_assert_int_eq(write(t.pipe[1][1], "x", 1), 1);
	stall();
	tlb_loop_once(&t.loop, TLB_NEVER);
	ck_assert_int_gt(t.reads_at_fire, 1);
	late_loop_finish(&t);
}
END_TEST

struct busy_timer {
	struct tlb_loop loop;
	struct tlb_timer timer;
	int fired;
};

/* Works for 2 ms and is due again at once, like a connection that always has more to read. */
static void on_busy_timer(void *arg)
{
	struct busy_timer *b = arg;
	tlb_time end = tlb_clock_now() + 2 * TLB_MS;

	b->fired++;
	while (tlb_clock_now() < end)
		;
	tlb_timer_set(&b->loop, &b->timer, tlb_clock_now());
}

/* A timer that was due again at once ran for up to 100 ms before descriptors were polled. */
START_TEST(timer_that_is_always_due_does_not_hold_up_input)
{
	struct busy_timer b = {0};

	ck_assert_int_eq(tlb_loop_init(&b.loop), APR_SUCCESS);
	tlb_timer_init(&b.timer, on_busy_timer, &b);
	tlb_timer_set(&b.loop, &b.timer, tlb_clock_now());
	tlb_loop_once(&b.loop, tlb_clock_now());
	ck_assert_int_gt(b.fired, 0);
	ck_assert_int_lt(b.fired, 10);
	tlb_loop_finish(&b.loop);
}
END_TEST

static void on_late(void *arg, tlb_time late_by, tlb_time busy)
{
	tlb_time *total = arg;

	*total += late_by;
}

START_TEST(waiting_for_events_is_not_late)
{
	struct late_loop t;
	tlb_time late = 0;

	late_loop_init(&t, on_first_input);
	t.loop.on_late = on_late;
	t.loop.late_arg = &late;
	tlb_loop_once(&t.loop, tlb_clock_now() + 2 * TLB_LOOP_LATE);
	tlb_timer_set(&t.loop, &t.timer, tlb_clock_now() - TLB_SECOND);
	tlb_loop_once(&t.loop, tlb_clock_now());
	ck_assert(!tlb_loop_was_late(&t.loop));
	ck_assert_int_eq(late, 0);
	stall();
	tlb_loop_once(&t.loop, tlb_clock_now());
	ck_assert(tlb_loop_was_late(&t.loop));
	ck_assert_int_ge(late, TLB_LOOP_LATE);
	late_loop_finish(&t);
}
END_TEST

static tlb_time slice; /* length of the last slice of a job */
static int slices;

static bool record_slice(void *arg, tlb_time slice_deadline)
{
	slice = slice_deadline - tlb_clock_now();
	slices++;
	return slices % 100 != 0;
}

static void take_long(void *arg)
{
	usleep(30 * TLB_MS);
}

/* A process that is short of processor time has long rounds. With one short slice in each of them a
 * job takes seconds, and a configuration is not in force in time. */
START_TEST(job_gets_longer_slices_in_long_rounds)
{
	struct tlb_loop l;
	struct tlb_timer t;
	struct tlb_job j;
	int round;

	ck_assert_int_eq(tlb_loop_init(&l), APR_SUCCESS);
	tlb_timer_init(&t, take_long, NULL);
	tlb_job_init(&j, record_slice, NULL);
	tlb_job_start(&l, &j);
	for (round = 0; round < 3; round++) {
		tlb_timer_set(&l, &t, tlb_clock_now());
		tlb_loop_once(&l, TLB_NEVER);
		ck_assert_int_eq(slices, round + 1);
		ck_assert_int_gt(slice, 3 * TLB_JOB_SLICE);
		ck_assert_int_le(slice, TLB_JOB_SLICE_MAX);
	}
	/* Unless the test itself is held up, a short round has a short slice. */
	while (slice > TLB_JOB_SLICE && slices < 99)
		tlb_loop_once(&l, TLB_NEVER);
	ck_assert_int_le(slice, TLB_JOB_SLICE);
	tlb_job_cancel(&j);
	tlb_loop_finish(&l);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("loop");
	TCase *tc = tcase_create("timers");
	SRunner *sr = srunner_create(s);
	int failed;

	apr_initialize();
	tcase_add_test(tc, timers_fire_in_order);
	suite_add_tcase(s, tc);
	tc = tcase_create("late rounds");
	tcase_add_test(tc, input_that_arrives_during_a_callback_is_read_before_deadlines);
	tcase_add_test(tc, input_behind_other_input_is_read_before_deadlines);
	tcase_add_test(tc, input_that_arrives_during_a_timer_is_read_before_further_deadlines);
	tcase_add_test(tc, input_without_end_does_not_hold_up_deadlines);
	tcase_add_test(tc, timer_that_is_always_due_does_not_hold_up_input);
	tcase_add_test(tc, waiting_for_events_is_not_late);
	suite_add_tcase(s, tc);
	tc = tcase_create("jobs");
	tcase_add_test(tc, job_gets_longer_slices_in_long_rounds);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
