/*
 * Results of a completed run.
 */
#include "parts.h"

#include <math.h>
#include <stdlib.h>

static int compare_doubles(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

static double percentile(double *v, int count, double p)
{
	if (!count)
		return 0;
	qsort(v, (size_t)count, sizeof(*v), compare_doubles);
	return v[(int)(p * (count - 1))];
}

static bool is_measured(const struct job *j)
{
	return j->arrived >= WARM_UP && j->arrived < DURATION - WARM_UP && j->end != END_CANCELLED;
}

static void measure_queue(const struct model *m, struct measures *out, double *v)
{
	int c;
	int i;

	for (c = 0; c < TLB_CLASS_COUNT; c++) {
		int count = 0;

		for (i = 0; i < m->job_count; i++) {
			const struct job *j = &m->jobs[i];

			if (is_measured(j) && (int)j->class == c && j->admitted_at)
				v[count++] = (double)(j->admitted_at - j->arrived) / TLB_MS;
		}
		out->queue_ms[c][0] = percentile(v, count, 0.5);
		out->queue_ms[c][1] = percentile(v, count, 0.95);
	}
}

/* Weighted max-min fair shares of the served tokens, each limited to the demand of the account
 * within its rate. Returns the lowest ratio of tokens served to fair share, at most 1. */
static double worst_served(const struct model *m)
{
	double due[MAX_ACCOUNTS] = {0};
	double left = 0;
	double worst = 1;
	int round;
	int i;

	for (i = 0; i < MAX_ACCOUNTS; i++)
		left += m->accounts[i].served_tokens;
	for (round = 0; round < MAX_ACCOUNTS && left > 1; round++) {
		double weights = 0;
		double remaining = left;

		for (i = 0; i < MAX_ACCOUNTS; i++)
			weights += due[i] < m->accounts[i].demand_tokens
					   ? m->run->deployment->share[i]
					   : 0;
		if (weights <= 0)
			break;
		for (i = 0; i < MAX_ACCOUNTS; i++) {
			double more = remaining * m->run->deployment->share[i] / weights;

			if (due[i] >= m->accounts[i].demand_tokens)
				continue;
			more = fmin(more, m->accounts[i].demand_tokens - due[i]);
			due[i] += more;
			left -= more;
		}
	}
	for (i = 0; i < MAX_ACCOUNTS; i++) {
		if (due[i] > 0)
			worst = fmin(worst, m->accounts[i].served_tokens / due[i]);
	}
	return worst;
}

/* Request counts; the good ones meet both targets. */
struct tally {
	int interactive, good, ttft, done, gap, conforming, wrongful, broken, batch, batch_done;
	int ttft_count;
};

static void tally_interactive(struct tally *t, const struct job *j, double *ttft)
{
	double first = (double)(j->first_token - j->arrived);
	bool ttft_ok = j->first_token && first <= TTFT_TARGET;
	bool gap_ok = false;

	t->interactive++;
	t->ttft += ttft_ok;
	if (j->first_token)
		ttft[t->ttft_count++] = first / TLB_MS;
	if (j->end != END_DONE)
		return;
	gap_ok = (double)(j->ended_at - j->first_token) <=
		 (double)TOKEN_GAP_TARGET * (j->output - 1);
	t->done++;
	t->gap += gap_ok;
	t->good += ttft_ok && gap_ok;
}

static void tally_job(struct model *m, struct tally *t, const struct job *j, double *ttft)
{
	struct account *a = &m->accounts[j->account];

	t->conforming += j->conforming;
	a->demand_tokens += j->within_rate ? (double)(j->prompt + j->output) : 0;
	t->wrongful += j->conforming && j->end == END_REFUSED;
	t->broken += j->end == END_BROKEN;
	if (j->end == END_DONE)
		a->served_tokens += (double)(j->prompt + j->output);
	if (j->class == TLB_BATCH) {
		t->batch++;
		t->batch_done += j->end == END_DONE && j->ended_at <= j->deadline;
		return;
	}
	tally_interactive(t, j, ttft);
}

static double ratio(double a, double b)
{
	return b > 0 ? a / b : 0;
}

void model_measure(struct model *m, struct measures *out, double *v)
{
	double seconds = (double)(DURATION - 2 * WARM_UP) / TLB_SECOND;
	struct tally t = {0};
	int i;

	for (i = 0; i < m->job_count; i++) {
		if (is_measured(&m->jobs[i]))
			tally_job(m, &t, &m->jobs[i], v);
	}
	out->offered = t.interactive / seconds;
	out->goodput = t.good / seconds;
	out->good_share = ratio(t.good, t.interactive);
	out->ttft_share = ratio(t.ttft, t.interactive);
	out->gap_share = ratio(t.gap, t.done);
	out->ttft_p95_ms = percentile(v, t.ttft_count, 0.95);
	out->wasted = ratio(m->wasted_tokens, m->computed_tokens);
	out->wrongful = ratio(t.wrongful, t.conforming);
	out->broken = ratio(t.broken, t.interactive + t.batch);
	out->batch_done = t.batch ? ratio(t.batch_done, t.batch) : 1;
	out->memory = ratio(m->memory_sum, m->memory_count);
	out->ejections = m->ejections;
	out->preempted = m->preempted;
	out->missed_transfers = ratio(m->missed_transfers, m->transfers);
	out->requests = t.interactive + t.batch;
	out->worst = worst_served(m);
	measure_queue(m, out, v);
}
