/* Leaving the zone for plain calls. Guards against calls that cross zones in calm, against a queue
 * in one zone while another one is idle, and against load that swings between zones. The load is
 * replayed: two zones with waves out of phase, each with the VMs that call it. */
#include <check.h>
#include <math.h>

#include "zone_choice.h"

enum { ZONES = 2, VMS = 10, STEPS = 400 };
#define PRICE (5 * TLB_MS)
#define CROSSING (1 * TLB_MS)
#define SERVICE_TIME (15 * TLB_MS)
/* Calls that a zone runs, and that one VM sends, in a step of 50 ms. */
#define CAPACITY 12.0
#define CALLS_PER_VM 0.8
#define STEP_US (50.0 * TLB_MS)

struct result {
	double crossed; /* share of the calls */
	double worst;	/* longest latency of a step, in ms */
	int turns;	/* changes of the direction in which zone 0's VMs move */
};

static double queue_wait(double queue)
{
	return queue / CAPACITY * STEP_US;
}

/* swing: of the waves. price 0: calls never leave. */
static struct result replay(double swing, tlb_time price)
{
	struct tlb_zone_choice z[ZONES][VMS];
	double queue[ZONES] = {0};
	double calls = 0;
	double crossed = 0;
	double before = 0;
	int direction = 0;
	struct result r = {0};
	int step;
	int zone;
	int vm;

	for (zone = 0; zone < ZONES; zone++)
		for (vm = 0; vm < VMS; vm++)
			tlb_zone_choice_init(&z[zone][vm]);
	for (step = 0; step < STEPS; step++) {
		double sent[ZONES] = {0};
		double mean = 0;

		for (zone = 0; zone < ZONES; zone++) {
			double wave = 1 + swing * sin(step * 0.05 + zone * 3.14);

			for (vm = 0; vm < VMS; vm++) {
				double n = CALLS_PER_VM * wave;
				double out = price > 0 ? n * z[zone][vm].leaving / 2 : 0;

				sent[zone] += n - out;
				sent[!zone] += out;
				calls += n;
				crossed += out;
			}
		}
		for (zone = 0; zone < ZONES; zone++) {
			double latency = (double)SERVICE_TIME + queue_wait(queue[zone]);

			queue[zone] = fmax(0, queue[zone] + sent[zone] - CAPACITY);
			r.worst = fmax(r.worst, latency / TLB_MS);
			for (vm = 0; vm < VMS && price > 0; vm++) {
				tlb_zone_choice_record(&z[zone][vm], true, (tlb_time)latency,
						       price);
				tlb_zone_choice_record(&z[!zone][vm], false,
						       (tlb_time)latency + CROSSING, price);
			}
		}
		for (vm = 0; vm < VMS; vm++)
			mean += z[0][vm].leaving / VMS;
		if (fabs(mean - before) > 0.01) {
			r.turns += direction != 0 && direction != (mean > before ? 1 : -1);
			direction = mean > before ? 1 : -1;
		}
		before = mean;
	}
	r.crossed = crossed / calls;
	return r;
}

START_TEST(test_calm_stays_in_the_zone)
{
	struct result r = replay(0.2, PRICE);

	ck_assert_double_lt(r.crossed, 0.05);
}
END_TEST

/* At the top of a wave a zone gets 1.1 times what its endpoints run. */
START_TEST(test_wave_leaves_the_zone)
{
	struct result stay = replay(0.7, 0);
	struct result leave = replay(0.7, PRICE);

	ck_assert_double_lt(leave.worst, stay.worst / 2);
	ck_assert_double_lt(leave.crossed, 0.35);
}
END_TEST

/* There are some three waves in the replay: out and back for each. */
START_TEST(test_load_does_not_swing)
{
	struct result r = replay(0.7, PRICE);

	ck_assert_int_le(r.turns, 8);
}
END_TEST

START_TEST(test_equal_zones_do_not_pay)
{
	struct tlb_zone_choice z;
	int i;

	tlb_zone_choice_init(&z);
	for (i = 0; i < 100; i++)
		tlb_zone_choice_record(&z, i % 2, SERVICE_TIME, PRICE);
	ck_assert_double_le(z.leaving, TLB_ZONE_LEAVING_MIN);
	for (i = 0; i < 100; i++)
		tlb_zone_choice_record(&z, i % 2, i % 2 ? 4 * SERVICE_TIME : SERVICE_TIME, PRICE);
	ck_assert_double_ge(z.leaving, TLB_ZONE_LEAVING_MAX);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("zone_choice");
	TCase *t = tcase_create("zone_choice");
	SRunner *r;
	int failed;

	tcase_add_test(t, test_calm_stays_in_the_zone);
	tcase_add_test(t, test_wave_leaves_the_zone);
	tcase_add_test(t, test_load_does_not_swing);
	tcase_add_test(t, test_equal_zones_do_not_pay);
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? 1 : 0;
}
