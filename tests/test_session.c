/* The session lease: holder, witness and requester of a fence, with times set by the tests. */
#include <check.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "session.h"

#define S TLB_SECOND
#define LEASE TLB_SESSION_LEASE
#define MARGIN TLB_FENCE_MARGIN

static struct tlb_vm_name witness_vm[8];
static const struct tlb_vm_name holder = {.id = "x", .incarnation = 100};

static void setup(void)
{
	char id[2] = "a";
	int i;

	for (i = 0; i < 8; i++, id[0]++)
		tlb_vm_name_set(&witness_vm[i], id, 1);
}

/* Guards against a wrong count of the majority, and a lease that starts at the reply instead of the
 * sending of the heartbeat. sent_at[i] is when the heartbeat that witness i granted was sent; -1
 * when it granted none. */
START_TEST(majority_of_grants)
{
	static const struct {
		int witnesses;
		tlb_time sent_at[7];
		tlb_time valid_until;
	} cases[] = {
		{0, {0}, TLB_NEVER},
		{1, {-1}, 0},
		{1, {10 * S}, 10 * S + LEASE},
		{3, {10 * S, -1, -1}, 0},
		{3, {10 * S, 12 * S, -1}, 10 * S + LEASE},
		{3, {10 * S, 12 * S, 11 * S}, 11 * S + LEASE},
		{7, {10 * S, 10 * S, 10 * S, -1, -1, -1, -1}, 0},
		{7, {10 * S, 20 * S, 20 * S, 9 * S, 1 * S, 20 * S, 2 * S}, 10 * S + LEASE},
	};
	struct tlb_session s;
	size_t c;
	int i;

	for (c = 0; c < sizeof(cases) / sizeof(cases[0]); c++) {
		tlb_session_begin(&s, 1, witness_vm, cases[c].witnesses);
		for (i = 0; i < cases[c].witnesses; i++)
			if (cases[c].sent_at[i] >= 0)
				tlb_session_on_grant(&s, &witness_vm[i], cases[c].sent_at[i], 1);
		ck_assert_int_eq(s.valid_until, cases[c].valid_until);
		ck_assert(!tlb_session_valid(&s, cases[c].valid_until));
		ck_assert(cases[c].valid_until == 0 ||
			  tlb_session_valid(&s, cases[c].valid_until - 1));
	}
}
END_TEST

/* Guards against a lease that is extended by the grant of a restarted witness, of a VM that is no
 * witness, for an older heartbeat, or after the fence. */
START_TEST(ignored_grants)
{
	struct tlb_session s;
	struct tlb_vm_name restarted = witness_vm[0];

	restarted.incarnation++;
	tlb_session_begin(&s, 1, witness_vm, 1);
	tlb_session_on_grant(&s, &restarted, 10 * S, 1);
	tlb_session_on_grant(&s, &witness_vm[1], 10 * S, 1);
	ck_assert(!tlb_session_valid(&s, 10 * S));
	tlb_session_on_grant(&s, &witness_vm[0], 10 * S, 1);
	tlb_session_on_grant(&s, &witness_vm[0], 8 * S, 1);
	ck_assert(tlb_session_valid(&s, 10 * S + LEASE - 1));
	tlb_session_on_fence(&s);
	tlb_session_on_grant(&s, &witness_vm[0], 11 * S, 1);
	ck_assert(!tlb_session_valid(&s, 11 * S));
}
END_TEST

static void grant_all(struct tlb_session *s, int from, int to, tlb_time sent_at, int64_t row)
{
	int i;

	for (i = from; i < to; i++)
		tlb_session_on_grant(s, &witness_vm[i], sent_at, row);
}

/* Guards against a holder that requires grants of only one of two sets while either can fence it.
 * Old set: a, b, c under row 1; new set: c, d, e under row 2. */
START_TEST(both_sets_required_during_replacement)
{
	struct tlb_session s;

	tlb_session_begin(&s, 1, witness_vm, 3);
	grant_all(&s, 0, 3, 10 * S, 1);
	tlb_session_propose_witnesses(&s, witness_vm + 2, 3);
	ck_assert(!tlb_session_proposal_ready(&s, 11 * S));
	ck_assert(tlb_session_valid(&s, 10 * S + LEASE - 1));
	grant_all(&s, 2, 5, 11 * S, 1);
	ck_assert(tlb_session_proposal_ready(&s, 12 * S));

	tlb_session_write_begun(&s);
	grant_all(&s, 0, 2, 20 * S, 1);
	ck_assert_msg(!tlb_session_valid(&s, 20 * S),
		      "a majority of the new set could have fenced the holder");
	grant_all(&s, 3, 5, 20 * S, 1);
	ck_assert(tlb_session_valid(&s, 20 * S + LEASE - 1));

	tlb_session_write_committed(&s, 2);
	grant_all(&s, 3, 5, 30 * S, 2);
	ck_assert_msg(!tlb_session_valid(&s, 30 * S),
		      "a majority of the old set has not received the new row");
	tlb_session_on_grant(&s, &witness_vm[0], 30 * S, 2);
	ck_assert_int_eq(s.phase, TLB_SESSION_CONFIRMING);
	tlb_session_on_grant(&s, &witness_vm[1], 30 * S, 2);
	ck_assert_int_eq(s.phase, TLB_SESSION_STEADY);
	ck_assert_int_eq(s.set[0].row_version, 2);
	grant_all(&s, 3, 5, 40 * S, 2);
	ck_assert(tlb_session_valid(&s, 40 * S + LEASE - 1));
}
END_TEST

/* Guards against a holder that uses the new set after its write was refused. */
START_TEST(refused_write_keeps_old_set)
{
	struct tlb_session s;

	tlb_session_begin(&s, 1, witness_vm, 1);
	tlb_session_propose_witnesses(&s, witness_vm + 1, 1);
	tlb_session_on_grant(&s, &witness_vm[1], 10 * S, 1);
	tlb_session_write_begun(&s);
	tlb_session_write_aborted(&s);
	ck_assert(!tlb_session_valid(&s, 10 * S));
	tlb_session_on_grant(&s, &witness_vm[0], 10 * S, 1);
	ck_assert(tlb_session_valid(&s, 10 * S));
}
END_TEST

/* Guards against a witness that agrees to a fence while the lease may be valid. Times are relative
 * to the start of the witness at 100 s; last_grant is -1 when it granted nothing. */
START_TEST(fence_refused_while_lease_may_be_valid)
{
	static const struct {
		tlb_time last_grant;
		bool rows_read;
		int64_t recorded_row;
		int64_t request_row;
		tlb_time request_at;
		enum tlb_fence_answer answer;
	} cases[] = {
		{10 * S, true, 1, 1, 10 * S + LEASE, TLB_FENCE_REFUSED},
		{10 * S, true, 1, 1, 10 * S + LEASE + MARGIN, TLB_FENCE_REFUSED},
		{10 * S, true, 1, 1, 10 * S + LEASE + MARGIN + 1, TLB_FENCE_AGREED},
		/* The former incarnation of a restarted witness may have granted. */
		{-1, true, 1, 1, LEASE + MARGIN - 1, TLB_FENCE_REFUSED},
		{-1, true, 1, 1, LEASE + MARGIN, TLB_FENCE_AGREED},
		/* It may not have a row that its former incarnation had. */
		{-1, false, 1, 1, 60 * S, TLB_FENCE_REFUSED},
		{10 * S, true, 2, 1, 60 * S, TLB_FENCE_SUPERSEDED},
		{10 * S, true, 1, 2, 60 * S, TLB_FENCE_AGREED},
		{10 * S, true, 1, 2, 12 * S, TLB_FENCE_REFUSED},
	};
	struct tlb_witness w;
	int64_t known_version;
	size_t c;

	for (c = 0; c < sizeof(cases) / sizeof(cases[0]); c++) {
		tlb_witness_init(&w, 7, 100 * S);
		w.rows_read = cases[c].rows_read;
		tlb_witness_on_row(&w, &holder, cases[c].recorded_row);
		if (cases[c].last_grant >= 0)
			ck_assert(tlb_witness_on_heartbeat(&w, &holder, 7, cases[c].recorded_row,
							   100 * S + cases[c].last_grant,
							   &known_version));
		ck_assert_int_eq(tlb_witness_on_fence_request(&w, &holder, cases[c].request_row,
							      100 * S + cases[c].request_at,
							      &known_version),
				 cases[c].answer);
		/* An agreement is permanent, and nothing else prevents grants. */
		ck_assert(tlb_witness_on_heartbeat(&w, &holder, 7, 2, 1000 * S, &known_version) ==
			  (cases[c].answer != TLB_FENCE_AGREED));
		tlb_witness_finish(&w);
	}
}
END_TEST

/* Guards against grants to an incarnation that was replaced, and grants to a heartbeat that names a
 * former incarnation of the witness. */
START_TEST(witness_grants)
{
	struct tlb_vm_name replacement = {.id = "x", .incarnation = 101};
	struct tlb_witness w;
	int64_t known_version;

	tlb_witness_init(&w, 7, 0);
	ck_assert(!tlb_witness_on_heartbeat(&w, &holder, 6, 1, S, &known_version));
	ck_assert(tlb_witness_on_heartbeat(&w, &holder, 7, 1, S, &known_version));
	ck_assert(tlb_witness_on_heartbeat(&w, &replacement, 7, 2, S, &known_version));
	ck_assert(!tlb_witness_on_heartbeat(&w, &holder, 7, 1, 2 * S, &known_version));
	ck_assert_int_eq(known_version, 2);
	ck_assert_int_eq(tlb_witness_on_fence_request(&w, &holder, 1, 60 * S, &known_version),
			 TLB_FENCE_SUPERSEDED);
	tlb_witness_finish(&w);
}
END_TEST

/* Guards against a fence that is proven without a majority of the witnesses. agreements is a string
 * of witness ids. */
START_TEST(fence_needs_majority)
{
	static const struct {
		int witnesses;
		const char *agreements;
		bool proven;
	} cases[] = {
		{0, "abc", false}, {1, "", false},	 {1, "b", false},   {1, "a", true},
		{3, "a", false},   {3, "aaa", false},	 {3, "ac", true},   {3, "ade", false},
		{7, "abc", false}, {7, "abcabc", false}, {7, "gfed", true}, {7, "abch", false},
	};
	struct tlb_fence f;
	char id[2] = "";
	size_t c;
	const char *p;

	for (c = 0; c < sizeof(cases) / sizeof(cases[0]); c++) {
		tlb_fence_init(&f, &holder, 1, witness_vm, cases[c].witnesses);
		for (p = cases[c].agreements; *p; p++) {
			id[0] = *p;
			tlb_fence_add_agreement(&f, id);
		}
		ck_assert(tlb_fence_proven(&f) == cases[c].proven);
	}
}
END_TEST

/* Guards against a set of even size, a set that covers fewer zones than possible, and a needless
 * change of witnesses. */
START_TEST(selection_of_witnesses)
{
	static const struct {
		const char *zones;   /* one letter for each candidate */
		const char *current; /* y: candidate is a current witness */
		int count;
		const char *must_include;
	} cases[] = {
		{"", "", 0, ""},
		{"z", "-", 1, "a"},
		{"zz", "-y", 1, "b"},
		{"zzz", "---", 3, "abc"},
		{"zzyy", "----", 3, ""},
		{"zzzzzzy", "yyyyyyy", 7, "abcdefg"},
		{"zzzzzzzy", "yyyyyyy-", 7, "h"},
		{"zzzzzzzz", "-yyyyyyy", 7, "bcdefgh"},
	};
	struct tlb_witness_candidate candidate[8];
	struct tlb_vm_name out[TLB_WITNESS_MAX];
	bool found;
	size_t c;
	int n;
	int i;
	const char *p;

	for (c = 0; c < sizeof(cases) / sizeof(cases[0]); c++) {
		memset(candidate, 0, sizeof(candidate));
		n = (int)strlen(cases[c].zones);
		for (i = 0; i < n; i++) {
			candidate[i].name = witness_vm[i];
			candidate[i].zone[0] = cases[c].zones[i];
			candidate[i].current = cases[c].current[i] == 'y';
		}
		n = tlb_session_choose_witnesses("x", candidate, n, out);
		ck_assert_int_eq(n, cases[c].count);
		for (p = cases[c].must_include; *p; p++) {
			found = false;
			for (i = 0; i < n; i++)
				found = found || out[i].id[0] == *p;
			ck_assert(found);
		}
	}
}
END_TEST

int main(void)
{
	Suite *s = suite_create("session");
	TCase *tc = tcase_create("session");
	SRunner *sr = srunner_create(s);
	int failed;

	if (sodium_init() < 0)
		return EXIT_FAILURE;
	tcase_add_checked_fixture(tc, setup, NULL);
	tcase_add_test(tc, majority_of_grants);
	tcase_add_test(tc, ignored_grants);
	tcase_add_test(tc, both_sets_required_during_replacement);
	tcase_add_test(tc, refused_write_keeps_old_set);
	tcase_add_test(tc, fence_refused_while_lease_may_be_valid);
	tcase_add_test(tc, witness_grants);
	tcase_add_test(tc, fence_needs_majority);
	tcase_add_test(tc, selection_of_witnesses);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_NORMAL);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
