#include "report.h"

#include <stdlib.h>
#include <string.h>

enum { PERCENTILES = 3 };

static const int percentiles[PERCENTILES] = {50, 95, 99};

static const char *const outcome_names[LOAD_OUTCOME_COUNT] = {
	[LOAD_ANSWERED] = "answered", [LOAD_NOT_RUN] = "not_run", [LOAD_UNKNOWN] = "unknown",
	[LOAD_LOST] = "lost",	      [LOAD_WRONG] = "wrong",
};

void load_report_init(struct load_report *r, int accounts)
{
	memset(r, 0, sizeof(*r));
	r->accounts = accounts;
	r->codes = json_object();
	r->faults = json_object();
}

void load_report_finish(struct load_report *r)
{
	int i;

	for (i = 0; i < r->accounts; i++) {
		free(r->account[i].first_token.values);
		free(r->account[i].token_gap.values);
		free(r->account[i].latency.values);
	}
	json_decref(r->codes);
	json_decref(r->faults);
}

void load_samples_add(struct load_samples *s, tlb_time value)
{
	tlb_time *grown;

	if (s->count == s->cap) {
		s->cap = s->cap ? s->cap * 2 : 256;
		grown = realloc(s->values, s->cap * sizeof(*grown));
		if (!grown)
			abort();
		s->values = grown;
	}
	s->values[s->count++] = value;
}

static void increment(json_t *counts, const char *name)
{
	json_object_set_new(counts, name,
			    json_integer(json_integer_value(json_object_get(counts, name)) + 1));
}

void load_report_add(struct load_report *r, const struct load_request *request,
		     const struct load_result *result)
{
	struct load_stats *f = &r->account[request->account];

	f->sent++;
	f->kind_sent[request->kind]++;
	f->outcome[result->outcome]++;
	if (result->outcome == LOAD_ANSWERED)
		f->kind_answered[request->kind]++;
	if (result->code[0])
		increment(r->codes, result->code);
	if (result->reason[0])
		increment(r->faults, result->reason);
}

static int compare_times(const void *a, const void *b)
{
	const tlb_time *x = a;
	const tlb_time *y = b;

	return (*x > *y) - (*x < *y);
}

/* Returns a percentile in milliseconds by the nearest-rank method; 0 without samples. Sorts the
 * samples. */
static double percentile(struct load_samples *s, int percent)
{
	size_t rank;

	if (s->count == 0)
		return 0;
	qsort(s->values, s->count, sizeof(*s->values), compare_times);
	rank = (s->count * (size_t)percent + 99) / 100;
	return (double)s->values[rank > 0 ? rank - 1 : 0] / TLB_MS;
}

static void append_samples(struct load_samples *to, const struct load_samples *from)
{
	size_t i;

	for (i = 0; i < from->count; i++)
		load_samples_add(to, from->values[i]);
}

static struct load_stats sum_accounts(const struct load_report *r)
{
	struct load_stats all = {0};
	const struct load_stats *f;
	int i;

	for (f = r->account; f < r->account + r->accounts; f++) {
		all.sent += f->sent;
		all.output_tokens += f->output_tokens;
		for (i = 0; i < LOAD_OUTCOME_COUNT; i++)
			all.outcome[i] += f->outcome[i];
		for (i = 0; i < LOAD_KIND_COUNT; i++) {
			all.kind_sent[i] += f->kind_sent[i];
			all.kind_answered[i] += f->kind_answered[i];
		}
		append_samples(&all.first_token, &f->first_token);
		append_samples(&all.token_gap, &f->token_gap);
		append_samples(&all.latency, &f->latency);
	}
	return all;
}

static void free_samples(struct load_stats *f)
{
	free(f->first_token.values);
	free(f->token_gap.values);
	free(f->latency.values);
}

static void print_row(FILE *out, const char *name, struct load_stats *f)
{
	int i;

	fprintf(out, "%-10s %6d", name, f->sent);
	for (i = 0; i < LOAD_OUTCOME_COUNT; i++)
		fprintf(out, " %8d", f->outcome[i]);
	fprintf(out, "  %6.0f %6.0f %6.0f", percentile(&f->first_token, 50),
		percentile(&f->first_token, 95), percentile(&f->first_token, 99));
	fprintf(out, "  %5.1f %5.1f %5.1f\n", percentile(&f->token_gap, 50),
		percentile(&f->token_gap, 95), percentile(&f->token_gap, 99));
}

static void print_counts(FILE *out, const char *title, json_t *counts)
{
	const char *name;
	json_t *n;

	if (json_object_size(counts) == 0)
		return;
	fprintf(out, "%s:", title);
	json_object_foreach (counts, name, n) {
		fprintf(out, " [%s] %d", name, (int)json_integer_value(n));
	}
	fprintf(out, "\n");
}

void load_report_print(struct load_report *r, FILE *out)
{
	struct load_stats all = sum_accounts(r);
	char name[24];
	int i;

	fprintf(out, "%-10s %6s %8s %8s %8s %8s %8s  %20s  %17s\n", "", "", "", "refused",
		"failed,", "", "wrong or", "first token, ms", "token gap, ms");
	fprintf(out, "%-10s %6s %8s %8s %8s %8s %8s  %6s %6s %6s  %5s %5s %5s\n", "account", "sent",
		"answered", "not run", "unknown", "lost", "doubled", "50%", "95%", "99%", "50%",
		"95%", "99%");
	for (i = 0; i < r->accounts; i++) {
		snprintf(name, sizeof(name), "account-%d", i + 1);
		print_row(out, name, &r->account[i]);
	}
	print_row(out, "all", &all);
	print_counts(out, "codes", r->codes);
	print_counts(out, "faults", r->faults);
	fprintf(out, "tried at another VM: %d, paid calls repeated with their key: %d\n",
		r->retried, r->repeated);
	free_samples(&all);
}

static json_t *samples_json(struct load_samples *s)
{
	json_t *j = json_object();
	char name[8];
	int i;

	for (i = 0; i < PERCENTILES; i++) {
		snprintf(name, sizeof(name), "p%d", percentiles[i]);
		json_object_set_new(j, name, json_real(percentile(s, percentiles[i])));
	}
	json_object_set_new(j, "count", json_integer((json_int_t)s->count));
	return j;
}

static json_t *stats_json(struct load_stats *f)
{
	json_t *j = json_pack("{s:i,s:I,s:o,s:o,s:o}", "sent", f->sent, "output_tokens",
			      (json_int_t)f->output_tokens, "first_token_ms",
			      samples_json(&f->first_token), "token_gap_ms",
			      samples_json(&f->token_gap), "total_ms", samples_json(&f->latency));
	json_t *kinds = json_object();
	int i;

	for (i = 0; i < LOAD_OUTCOME_COUNT; i++)
		json_object_set_new(j, outcome_names[i], json_integer(f->outcome[i]));
	for (i = 0; i < LOAD_KIND_COUNT; i++)
		json_object_set_new(kinds, load_kind_name(i),
				    json_pack("{s:i,s:i}", "sent", f->kind_sent[i], "answered",
					      f->kind_answered[i]));
	json_object_set_new(j, "kinds", kinds);
	return j;
}

json_t *load_report_json(struct load_report *r)
{
	struct load_stats all = sum_accounts(r);
	json_t *j = stats_json(&all);
	json_t *accounts = json_object();
	char name[24];
	int i;

	for (i = 0; i < r->accounts; i++) {
		snprintf(name, sizeof(name), "account-%d", i + 1);
		json_object_set_new(accounts, name, stats_json(&r->account[i]));
	}
	json_object_set_new(j, "accounts", accounts);
	json_object_set(j, "codes", r->codes);
	json_object_set(j, "faults", r->faults);
	json_object_set_new(j, "retried", json_integer(r->retried));
	json_object_set_new(j, "repeated", json_integer(r->repeated));
	json_object_set_new(j, "seconds", json_real(r->seconds));
	free_samples(&all);
	return j;
}
