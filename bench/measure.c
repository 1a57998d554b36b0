/*
 * Measures of a run that has ended.
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

static bool counted(const struct job *j)
{
	return j->arrived >= WARM && j->arrived < DURATION - WARM && j->end != END_CANCELLED;
}

static void measure_queue(const struct model *m, struct measures *out, double *v)
{
	int c;
	int i;

	for (c = 0; c < TLB_CLASS_COUNT; c++) {
		int count = 0;

		for (i = 0; i < m->job_count; i++) {
			const struct job *j = &m->jobs[i];

			if (counted(j) && (int)j->class == c && j->place_at)
				v[count++] = (double)(j->place_at - j->arrived) / TLB_MS;
		}
		out->queue_ms[c][0] = percentile(v, count, 0.5);
		out->queue_ms[c][1] = percentile(v, count, 0.95);
	}
}

/* Weighted max-min shares of what was served, each at most what the account asked for within its
 * rate; the least of got over due. */
static double worst_served(const struct model *m)
{
	double due[MAX_ACCOUNTS] = {0};
	double left = 0;
	double worst = 1;
	int round;
	int i;

	for (i = 0; i < MAX_ACCOUNTS; i++)
		left += m->accounts[i].got;
	for (round = 0; round < MAX_ACCOUNTS && left > 1; round++) {
		double weights = 0;
		double part = left;

		for (i = 0; i < MAX_ACCOUNTS; i++)
			weights +=
				due[i] < m->accounts[i].demand ? m->run->deployment->share[i] : 0;
		if (weights <= 0)
			break;
		for (i = 0; i < MAX_ACCOUNTS; i++) {
			double more = part * m->run->deployment->share[i] / weights;

			if (due[i] >= m->accounts[i].demand)
				continue;
			more = fmin(more, m->accounts[i].demand - due[i]);
			due[i] += more;
			left -= more;
		}
	}
	for (i = 0; i < MAX_ACCOUNTS; i++) {
		if (due[i] > 0)
			worst = fmin(worst, m->accounts[i].got / due[i]);
	}
	return worst;
}

struct tally {
	int interactive, good, ttft, done, gap, within, wrongful, broken, batch, batch_done;
	int ttft_count;
};

static void tally_interactive(struct tally *t, const struct job *j, double *ttft)
{
	double first = (double)(j->first_token - j->arrived);
	bool fast = j->first_token && first <= TTFT_TARGET;
	bool smooth = false;

	t->interactive++;
	t->ttft += fast;
	if (j->first_token)
		ttft[t->ttft_count++] = first / TLB_MS;
	if (j->end != END_DONE)
		return;
	smooth = (double)(j->ended_at - j->first_token) <= (double)GAP_TARGET * (j->out - 1);
	t->done++;
	t->gap += smooth;
	t->good += fast && smooth;
}

static void tally_job(struct model *m, struct tally *t, const struct job *j, double *ttft)
{
	struct account *a = &m->accounts[j->account];

	t->within += j->conforming;
	a->demand += j->within_rate ? (double)(j->prompt + j->out) : 0;
	t->wrongful += j->conforming && j->end == END_REFUSED;
	t->broken += j->end == END_BROKEN;
	if (j->end == END_DONE)
		a->got += (double)(j->prompt + j->out);
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
	double seconds = (double)(DURATION - 2 * WARM) / TLB_SECOND;
	struct tally t = {0};
	int i;

	for (i = 0; i < m->job_count; i++) {
		if (counted(&m->jobs[i]))
			tally_job(m, &t, &m->jobs[i], v);
	}
	out->offered = t.interactive / seconds;
	out->goodput = t.good / seconds;
	out->good_share = ratio(t.good, t.interactive);
	out->ttft_share = ratio(t.ttft, t.interactive);
	out->gap_share = ratio(t.gap, t.done);
	out->ttft_p95_ms = percentile(v, t.ttft_count, 0.95);
	out->wasted = ratio(m->wasted_tokens, m->computed_tokens);
	out->wrongful = ratio(t.wrongful, t.within);
	out->broken = ratio(t.broken, t.interactive + t.batch);
	out->batch_done = t.batch ? ratio(t.batch_done, t.batch) : 1;
	out->memory = ratio(m->memory_sum, m->memory_count);
	out->ejections = m->ejections;
	out->preempted = m->preempted;
	out->missed_transfers = ratio(m->missed, m->transfers);
	out->requests = t.interactive + t.batch;
	out->worst = worst_served(m);
	measure_queue(m, out, v);
}
