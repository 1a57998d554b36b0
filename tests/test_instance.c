/* The registry of endpoints. Guards against an endpoint with a reused id or address that inherits
 * the statistics of its predecessor, against entries that disappear from discovery in an outage and
 * stay usable past their deadline, and against the selection of an endpoint that is full, queued or
 * of another role. */
#include <check.h>
#include <stdio.h>
#include <string.h>

#include "instance.h"

static struct tlb_instances instances;
static const tlb_time now = 100 * TLB_SECOND;

static struct tlb_instance_row row(const char *id, enum tlb_role role)
{
	struct tlb_instance_row r = {.role = role, .slots = 4, .started_ms = 1};

	strcpy(r.id, id);
	strcpy(r.service, "s");
	strcpy(r.addr, "10.0.0.1:80");
	strcpy(r.zone, "z1");
	return r;
}

static struct tlb_instance *put(const char *id, enum tlb_role role)
{
	struct tlb_instance_row r = row(id, role);

	tlb_instances_put(&instances, &r);
	return tlb_instances_find(&instances, id);
}

static struct tlb_instance_query query(void)
{
	return (struct tlb_instance_query){.service = "s", .now = now, .tokens = 1000};
}

static void setup(void)
{
	tlb_instances_init(&instances, "z1", 1);
}

static void teardown(void)
{
	tlb_instances_finish(&instances);
}

START_TEST(test_new_incarnation_discards_statistics)
{
	struct tlb_instance_row r = row("a", TLB_ROLE_SERVICE);
	struct tlb_instance *i = put("a", TLB_ROLE_SERVICE);
	int n;

	for (n = 0; n < 3; n++)
		tlb_instances_record_outcome(&instances, i, false, 0, now);
	ck_assert_int_gt(i->health.ejected_until, now);
	r.started_ms = 2;
	tlb_instances_put(&instances, &r);
	ck_assert_int_eq(tlb_instances_find(&instances, "a")->health.ejected_until, 0);
}
END_TEST

START_TEST(test_role_change_keeps_instance)
{
	struct tlb_instance_row r = row("a", TLB_ROLE_DECODE);
	struct tlb_instance *i = put("a", TLB_ROLE_PREFILL);

	ck_assert(tlb_instances_put(&instances, &r));
	ck_assert_ptr_eq(tlb_instances_find(&instances, "a"), i);
	ck_assert_int_eq(i->row.role, TLB_ROLE_DECODE);
}
END_TEST

START_TEST(test_removed_entry_is_usable_until_deadline)
{
	struct tlb_instance *i = put("a", TLB_ROLE_SERVICE);

	tlb_instances_remove(&instances, "a", now + TLB_SECOND, false);
	ck_assert(tlb_instance_usable(i, now));
	ck_assert(!tlb_instance_usable(i, now + TLB_SECOND));
	put("a", TLB_ROLE_SERVICE);
	ck_assert(tlb_instance_usable(i, now + 10 * TLB_SECOND));
}
END_TEST

/* The entry was removed because the endpoint left, not because of a store outage. */
START_TEST(test_leaving_entry_is_removed_at_once)
{
	struct tlb_instance_row r = row("a", TLB_ROLE_SERVICE);

	r.leaving = true;
	tlb_instances_put(&instances, &r);
	tlb_instances_remove(&instances, "a", now + TLB_SECOND, false);
	ck_assert_ptr_null(tlb_instances_find(&instances, "a"));
}
END_TEST

/* Discovery reads entries that were written before the endpoint said that it leaves, or returns to
 * an earlier state. */
START_TEST(test_ready_entry_does_not_take_back_leaving)
{
	struct tlb_instance_row r = row("a", TLB_ROLE_SERVICE);
	struct tlb_instance *i = put("a", TLB_ROLE_SERVICE);
	struct tlb_instance_query p = query();

	ck_assert(tlb_instance_mark_leaving(i));
	ck_assert(!tlb_instance_mark_leaving(i));
	tlb_instances_put(&instances, &r);
	ck_assert(!tlb_instance_usable(i, now));
	tlb_instances_remove(&instances, "a", now + TLB_SECOND, false);
	ck_assert_ptr_null(tlb_instances_find(&instances, "a"));
	ck_assert(tlb_instances_put(&instances, &r));
	i = tlb_instances_find(&instances, "a");
	ck_assert(!tlb_instance_usable(i, now));
	ck_assert_ptr_null(tlb_instances_select_service(&instances, &p));
	ck_assert_int_eq(tlb_instances_count(&instances, "s", TLB_ROLE_SERVICE, now), 0);
}
END_TEST

/* The operator's evacuation holds for every kind of use, for endpoints that join later, and until
 * the time from which it is taken back. */
START_TEST(test_evacuated_zone_is_not_used)
{
	struct tlb_instance *i = put("a", TLB_ROLE_SERVICE);
	struct tlb_instance_query p = query();

	ck_assert(tlb_instances_evacuate(&instances, "z1", now));
	ck_assert(!tlb_instance_in_service(i, now));
	ck_assert(!tlb_instance_takes_reserved(i, now));
	put("b", TLB_ROLE_SERVICE);
	ck_assert_ptr_null(tlb_instances_select_service(&instances, &p));
	ck_assert_int_eq(tlb_instances_usable_at(&instances, "s", TLB_ROLE_SERVICE, now),
			 TLB_NEVER);
	ck_assert(tlb_instances_end_evacuation(&instances, "z1", now + TLB_SECOND));
	ck_assert_int_eq(tlb_evacuations_count(&instances.evacuations, now), 1);
	ck_assert(!tlb_instance_usable(i, now));
	ck_assert(tlb_instance_usable(i, now + TLB_SECOND));
	ck_assert_int_eq(tlb_evacuations_count(&instances.evacuations, now + TLB_SECOND), 0);
}
END_TEST

START_TEST(test_evacuation_of_another_zone_changes_nothing)
{
	struct tlb_instance *i = put("a", TLB_ROLE_SERVICE);

	tlb_instances_evacuate(&instances, "z2", now);
	ck_assert(tlb_instance_usable(i, now));
	ck_assert(!tlb_instances_end_evacuation(&instances, "z1", now));
}
END_TEST

/* The evacuation was asked for again before the end of the former one. */
START_TEST(test_evacuation_that_begins_again_goes_on)
{
	struct tlb_instance *i = put("a", TLB_ROLE_SERVICE);

	tlb_instances_evacuate(&instances, "z1", now);
	tlb_instances_end_evacuation(&instances, "z1", now + TLB_SECOND);
	tlb_instances_evacuate(&instances, "z1", now);
	ck_assert(!tlb_instance_usable(i, now + 2 * TLB_SECOND));
}
END_TEST

/* A cold endpoint bears a limited rate. When it is not known whether it is cold, because its entry
 * does not say or its zone was evacuated, it counts as cold for the time of a start. */
START_TEST(test_cold_endpoint_gets_requests_at_its_rate)
{
	struct tlb_service_info info = {.cold_ms = 3000, .cold_rate = 3};
	struct tlb_instance *i = put("a", TLB_ROLE_SERVICE);
	struct tlb_instance_query p = query();

	p.info = &info;
	tlb_instance_note_cold(i, 2000, now);
	ck_assert_ptr_nonnull(tlb_instances_select_service(&instances, &p));
	ck_assert_ptr_null(tlb_instances_select_service(&instances, &p));
	p.now = now + TLB_SECOND;
	ck_assert_ptr_nonnull(tlb_instances_select_service(&instances, &p));
	tlb_instance_note_cold(i, 0, p.now);
	ck_assert_ptr_nonnull(tlb_instances_select_service(&instances, &p));
	tlb_instance_note_cold(i, -1, p.now);
	ck_assert(tlb_instance_is_cold(i, &info, p.now + 2 * TLB_SECOND));
	ck_assert(!tlb_instance_is_cold(i, &info, p.now + 3 * TLB_SECOND));
	tlb_instances_evacuate(&instances, "z1", p.now);
	ck_assert(tlb_instance_is_cold(i, &info, p.now + 10 * TLB_SECOND));
	tlb_instances_end_evacuation(&instances, "z1", p.now + 10 * TLB_SECOND);
	ck_assert(tlb_instance_is_cold(i, &info, p.now + 12 * TLB_SECOND));
	info.cold_rate = 0;
	ck_assert(!tlb_instance_is_cold(i, &info, p.now));
}
END_TEST

START_TEST(test_new_incarnation_is_not_leaving)
{
	struct tlb_instance_row r = row("a", TLB_ROLE_SERVICE);

	tlb_instance_mark_leaving(put("a", TLB_ROLE_SERVICE));
	r.started_ms = 2;
	tlb_instances_put(&instances, &r);
	ck_assert(tlb_instance_usable(tlb_instances_find(&instances, "a"), now));
	tlb_instance_mark_leaving(tlb_instances_find(&instances, "a"));
	tlb_instances_remove(&instances, "a", 0, false);
	r.started_ms = 3;
	tlb_instances_put(&instances, &r);
	ck_assert(tlb_instance_usable(tlb_instances_find(&instances, "a"), now));
}
END_TEST

/* An entry that says draining is taken back by a newer one, before and after its removal; an answer
 * is not. */
START_TEST(test_newer_entry_takes_back_a_leaving_entry)
{
	struct tlb_instance_row r = row("a", TLB_ROLE_SERVICE);
	int removed;

	for (removed = 0; removed < 2; removed++) {
		r.sequence = 10 * removed + 1;
		r.leaving = true;
		tlb_instances_put(&instances, &r);
		if (removed)
			tlb_instances_remove(&instances, "a", 0, false);
		r.sequence++;
		r.leaving = false;
		tlb_instances_put(&instances, &r);
		ck_assert(tlb_instance_usable(tlb_instances_find(&instances, "a"), now));
	}
	tlb_instance_mark_leaving(tlb_instances_find(&instances, "a"));
	tlb_instances_remove(&instances, "a", 0, false);
	r.sequence++;
	tlb_instances_put(&instances, &r);
	ck_assert(!tlb_instance_usable(tlb_instances_find(&instances, "a"), now));
}
END_TEST

/* Every endpoint of a large release leaves; what is remembered of them must not grow. */
START_TEST(test_many_leaving_instances_are_forgotten)
{
	struct tlb_instance_row r = row("", TLB_ROLE_SERVICE);
	int n;

	for (n = 0; n < 2000; n++) {
		sprintf(r.id, "i-%d", n);
		r.leaving = true;
		tlb_instances_put(&instances, &r);
		tlb_instances_remove(&instances, r.id, 0, false);
	}
	r.leaving = false;
	for (n = 0; n < 2000; n++) {
		sprintf(r.id, "i-%d", n);
		tlb_instances_put(&instances, &r);
		ck_assert_int_eq(tlb_instance_usable(tlb_instances_find(&instances, r.id), now),
				 n < 2000 - TLB_INSTANCES_REMEMBERED);
	}
}
END_TEST

/* A refusal with a time: no requests until then, also where no other endpoint is left. */
START_TEST(test_instance_that_asked_for_a_pause_is_not_selected)
{
	static const enum tlb_role roles[] = {TLB_ROLE_PREFILL, TLB_ROLE_DECODE, TLB_ROLE_SERVICE};
	enum tlb_role role = roles[_i];
	struct tlb_instance *a = put("a", role);
	struct tlb_instance *b = put("b", role);
	struct tlb_instance_query p = query();
	struct tlb_instance *(*select)(struct tlb_instances *, const struct tlb_instance_query *) =
		role == TLB_ROLE_PREFILL  ? tlb_instances_select_prefill
		: role == TLB_ROLE_DECODE ? tlb_instances_select_decode
					  : tlb_instances_select_service;
	int n;

	ck_assert(tlb_instance_back_off(a, 2000, now));
	for (n = 0; n < 20; n++)
		ck_assert_ptr_eq(select(&instances, &p), b);
	ck_assert_int_eq(tlb_instances_usable_at(&instances, "s", role, now), now);
	ck_assert(tlb_instance_back_off(b, 1000, now));
	ck_assert_ptr_null(select(&instances, &p));
	ck_assert_int_eq(tlb_instances_count(&instances, "s", role, now), 0);
	ck_assert_int_eq(tlb_instances_usable_at(&instances, "s", role, now), now + TLB_SECOND);
	p.now = now + TLB_SECOND;
	ck_assert_ptr_eq(select(&instances, &p), b);
	ck_assert_int_eq(tlb_instances_usable_at(&instances, "other", role, now), TLB_NEVER);
	tlb_instance_mark_leaving(b);
	ck_assert_int_eq(tlb_instances_usable_at(&instances, "s", role, now), now + 2 * TLB_SECOND);
}
END_TEST

/* The answers to requests in flight at the refusal must neither shorten the pause nor count as a
 * second one, and a long pause must not end early. */
START_TEST(test_pause_is_kept)
{
	struct tlb_instance *i = put("a", TLB_ROLE_SERVICE);

	ck_assert(tlb_instance_back_off(i, 5000, now));
	ck_assert(!tlb_instance_back_off(i, 100, now + TLB_MS));
	ck_assert_int_eq(i->backoff_until, now + 5 * TLB_SECOND);
	ck_assert(!tlb_instance_back_off(i, 90000, now));
	ck_assert_int_eq(i->backoff_until, now + 90 * TLB_SECOND);
	ck_assert(!tlb_instance_usable(i, now + 90 * TLB_SECOND - 1));
	ck_assert(tlb_instance_usable(i, now + 90 * TLB_SECOND));
	ck_assert(tlb_instance_in_service(i, now));
	ck_assert(tlb_instance_takes_reserved(i, now + 400 * TLB_MS - 1));
	ck_assert(!tlb_instance_takes_reserved(i, now + 400 * TLB_MS));
	ck_assert(tlb_instance_takes_reserved(i, now + 90 * TLB_SECOND));
	ck_assert(tlb_instance_back_off(i, 100, now + 91 * TLB_SECOND));
	ck_assert(!tlb_instance_back_off(i, INT64_MAX, now + 91 * TLB_SECOND));
	ck_assert_int_eq(i->backoff_until, TLB_NEVER);
}
END_TEST

START_TEST(test_new_incarnation_has_asked_for_no_pause)
{
	struct tlb_instance_row r = row("a", TLB_ROLE_SERVICE);
	struct tlb_instance *i = put("a", TLB_ROLE_SERVICE);

	tlb_instance_back_off(i, 5000, now);
	tlb_instances_put(&instances, &r);
	ck_assert(!tlb_instance_usable(i, now));
	r.started_ms = 2;
	tlb_instances_put(&instances, &r);
	ck_assert(tlb_instance_usable(tlb_instances_find(&instances, "a"), now));
}
END_TEST

START_TEST(test_full_decode_endpoints_are_not_selected)
{
	struct tlb_instance *a = put("a", TLB_ROLE_DECODE);
	struct tlb_instance *b = put("b", TLB_ROLE_DECODE);
	struct tlb_instance_query p = query();
	int n;

	a->full_until = now + TLB_MS;
	for (n = 0; n < 20; n++)
		ck_assert_ptr_eq(tlb_instances_select_decode(&instances, &p), b);
	b->full_until = now + TLB_MS;
	ck_assert_ptr_null(tlb_instances_select_decode(&instances, &p));
}
END_TEST

/* The queue of an endpoint is estimated from the time that its last prefill waited, and it drains
 * over time. */
START_TEST(test_prefill_avoids_queue)
{
	struct tlb_instance *a = put("a", TLB_ROLE_PREFILL);
	struct tlb_instance *b = put("b", TLB_ROLE_PREFILL);
	struct tlb_instance_query p = query();
	int n;

	tlb_instance_record_prefill(a, 5000, 600 * TLB_MS, now);
	tlb_instance_record_prefill(b, 5000, 100 * TLB_MS, now);
	for (n = 0; n < 20; n++)
		ck_assert_ptr_eq(tlb_instances_select_prefill(&instances, &p), b);
	b->prefill_in_flight = 100000;
	p.now = now + 2 * TLB_SECOND;
	for (n = 0; n < 20; n++)
		ck_assert_ptr_eq(tlb_instances_select_prefill(&instances, &p), a);
}
END_TEST

START_TEST(test_selection_respects_roles)
{
	struct tlb_instance_query p = query();

	put("a", TLB_ROLE_PREFILL);
	ck_assert_ptr_null(tlb_instances_select_decode(&instances, &p));
	ck_assert_ptr_null(tlb_instances_select_service(&instances, &p));
	ck_assert_int_eq(tlb_instances_count(&instances, "s", TLB_ROLE_PREFILL, now), 1);
	ck_assert_int_eq(tlb_instances_count(&instances, "other", TLB_ROLE_PREFILL, now), 0);
}
END_TEST

static struct tlb_instance_row entry(int64_t started_ms, int64_t sequence)
{
	struct tlb_instance_row r = row("a", TLB_ROLE_SERVICE);

	r.started_ms = started_ms;
	r.sequence = sequence;
	return r;
}

static bool knows_newer(int64_t started_ms, int64_t sequence)
{
	struct tlb_instance_row r = entry(started_ms, sequence);

	return tlb_instances_know_newer(&instances, &r);
}

START_TEST(test_restored_entry_is_older)
{
	struct tlb_instance_row r = entry(5, 10);

	ck_assert(!knows_newer(5, 9));
	tlb_instances_put(&instances, &r);
	ck_assert(knows_newer(5, 9));
	ck_assert(!knows_newer(5, 10));
	ck_assert(!knows_newer(5, 11));
	ck_assert(knows_newer(4, 90));
	ck_assert(!knows_newer(6, 1));
	ck_assert(!knows_newer(0, 9));
	ck_assert(!knows_newer(5, 0));
	/* Missing from the copy, not removed. */
	tlb_instances_remove(&instances, "a", now, true);
	ck_assert(!knows_newer(5, 10));
	tlb_instances_put(&instances, &r);
	tlb_instances_remove(&instances, "a", 0, true);
	ck_assert(!knows_newer(5, 10));
	tlb_instances_put(&instances, &r);
	tlb_instances_remove(&instances, "a", 0, false);
	ck_assert(knows_newer(5, 10));
	ck_assert(knows_newer(4, 90));
	ck_assert(!knows_newer(5, 11));
	ck_assert(!knows_newer(6, 1));
}
END_TEST

START_TEST(test_removed_instances_are_bounded)
{
	struct tlb_instance_row r = entry(5, 10);
	int n;

	tlb_instances_put(&instances, &r);
	tlb_instances_remove(&instances, "a", 0, false);
	for (n = 0; n < TLB_INSTANCES_REMEMBERED; n++) {
		ck_assert(knows_newer(5, 10));
		snprintf(r.id, sizeof(r.id), "b%d", n);
		tlb_instances_put(&instances, &r);
		tlb_instances_remove(&instances, r.id, 0, false);
	}
	ck_assert(!knows_newer(5, 10));
	ck_assert(tlb_instances_know_newer(&instances, &r));
}
END_TEST

int main(void)
{
	Suite *s = suite_create("instance");
	TCase *t = tcase_create("instance");
	SRunner *r;
	int failed;

	tcase_add_checked_fixture(t, setup, teardown);
	tcase_add_test(t, test_new_incarnation_discards_statistics);
	tcase_add_test(t, test_role_change_keeps_instance);
	tcase_add_test(t, test_removed_entry_is_usable_until_deadline);
	tcase_add_test(t, test_leaving_entry_is_removed_at_once);
	tcase_add_test(t, test_ready_entry_does_not_take_back_leaving);
	tcase_add_test(t, test_new_incarnation_is_not_leaving);
	tcase_add_test(t, test_newer_entry_takes_back_a_leaving_entry);
	tcase_add_test(t, test_many_leaving_instances_are_forgotten);
	tcase_add_loop_test(t, test_instance_that_asked_for_a_pause_is_not_selected, 0, 3);
	tcase_add_test(t, test_pause_is_kept);
	tcase_add_test(t, test_new_incarnation_has_asked_for_no_pause);
	tcase_add_test(t, test_full_decode_endpoints_are_not_selected);
	tcase_add_test(t, test_prefill_avoids_queue);
	tcase_add_test(t, test_selection_respects_roles);
	tcase_add_test(t, test_restored_entry_is_older);
	tcase_add_test(t, test_removed_instances_are_bounded);
	tcase_add_test(t, test_evacuated_zone_is_not_used);
	tcase_add_test(t, test_cold_endpoint_gets_requests_at_its_rate);
	tcase_add_test(t, test_evacuation_of_another_zone_changes_nothing);
	tcase_add_test(t, test_evacuation_that_begins_again_goes_on);
	suite_add_tcase(s, t);
	r = srunner_create(s);
	srunner_run_all(r, CK_NORMAL);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? 1 : 0;
}
