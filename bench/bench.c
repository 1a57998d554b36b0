/*
 * Policy benchmark: measures routing policies under load in a simulation (model.h). Prints a table
 * of medians over the seeds, or every run as CSV with --csv. For a given seed every policy gets the
 * same arrivals; the policies of a seed run one after another.
 */
#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "model.h"

enum { MAX_SEEDS = 100, MAX_POLICIES = 32 };

#define ROWS(table) (int)(sizeof(table) / sizeof((table)[0]))

/* In each deployment a few large accounts send most of the load. */
static const struct deployment deployments[] = {
	{"bakstehuset", 4, 5, 7, {0.40, 0.25, 0.20, 0.10, 0.05}},
	{"pal", 3, 4, 4, {0.45, 0.30, 0.15, 0.07, 0.03}},
};

/* Load reports as in the daemon: the owner of an endpoint polls it every 500 ms and sends the
 * report with its next heartbeat, up to 100 ms later. */
#define TIMING                                                                                     \
	.interactive_wait = 4000 * TLB_MS, .batch_slack = 10 * TLB_SECOND,                         \
	.report_period = 500 * TLB_MS, .report_age = 100 * TLB_MS

#define BOOKING                                                                                    \
	.booked = true, .max_requests = 24, .batch_reserve = 8, .standby_share = 0.25,             \
	.claim_pieces = 9, .claim_after = 2 * TLB_SECOND

#define PREEMPTION .preempt_after = 1 * TLB_SECOND, .preempt_cost = 20

/* round_robin and least_load forward a request at once, as a plain proxy does: no booking, no fair
 * queue, no priorities at the engines. The _booked variants are the daemon with these policies:
 * only endpoint selection differs from toucanlb. toucanlb_waiting does not preempt batch work. The
 * last entry is the base of --set and --variant. */
static const struct policy_config policies[] = {
	{.name = "round_robin", .policy = TLB_POLICY_ROUND_ROBIN, TIMING},
	{.name = "least_load", .policy = TLB_POLICY_LEAST_LOAD, TIMING},
	{.name = "round_robin_booked",
	 .policy = TLB_POLICY_ROUND_ROBIN,
	 TIMING,
	 BOOKING,
	 PREEMPTION},
	{.name = "least_load_booked", .policy = TLB_POLICY_LEAST_LOAD, TIMING, BOOKING, PREEMPTION},
	{.name = "toucanlb_waiting", .policy = TLB_POLICY_TOUCANLB, TIMING, BOOKING},
	{.name = "toucanlb", .policy = TLB_POLICY_TOUCANLB, TIMING, BOOKING, PREEMPTION},
};

#define REPORT_LAG (100 * TLB_MS)

/* Columns as in struct scenario. No request depends on the store, so "store_down" simulates the one
 * event that would use it: a router is lost, and the standby takes over by fencing alone. */
/* clang-format off */
static const struct scenario scenarios[] = {
	/* load: base, peak, batch; greedy, few; fault; links, lag, loss; prefixes */
	{"sustain",       0.90, 0.90, 0.00, -1, false, FAULT_NONE,        1.0, REPORT_LAG, 0.02, 0.3, 48, 1500},
	{"peak",          0.55, 0.85, 0.40, -1, false, FAULT_NONE,        1.0, REPORT_LAG, 0.02, 0.3, 48, 1500},
	{"greedy",        0.55, 0.55, 0.00,  2, false, FAULT_NONE,        1.0, REPORT_LAG, 0.02, 0.3, 48, 1500},
	{"few_large",     1.20, 1.20, 0.00, -1, true,  FAULT_NONE,        1.0, REPORT_LAG, 0.02, 0.3, 48, 1500},
	{"decode_lost",   0.55, 0.85, 0.40, -1, false, FAULT_DECODE_LOST, 1.0, REPORT_LAG, 0.02, 0.3, 48, 1500},
	{"zone_lost",     0.55, 0.85, 0.40, -1, false, FAULT_ZONE_LOST,   1.0, REPORT_LAG, 0.02, 0.3, 48, 1500},
	{"store_down",    0.55, 0.85, 0.40, -1, false, FAULT_ROUTER_LOST, 1.0, REPORT_LAG, 0.02, 0.3, 48, 1500},
	{"leaving",       0.55, 0.85, 0.40, -1, false, FAULT_LEAVING,     1.0, REPORT_LAG, 0.02, 0.3, 48, 1500},
	{"slow_prefill",  0.55, 0.85, 0.40, -1, false, FAULT_SLOW_PREFILL, 1.0, REPORT_LAG, 0.02, 0.3, 48, 1500},
	{"slow_decode",   0.55, 0.85, 0.40, -1, false, FAULT_SLOW_DECODE, 1.0, REPORT_LAG, 0.02, 0.3, 48, 1500},
	{"joining",       0.55, 0.85, 0.40, -1, false, FAULT_JOINING,     1.0, REPORT_LAG, 0.02, 0.3, 48, 1500},
	{"half_links",    0.55, 0.85, 0.40, -1, false, FAULT_NONE,        0.5, REPORT_LAG, 0.02, 0.3, 48, 1500},
	{"old_reports",   0.55, 0.85, 0.40, -1, false, FAULT_NONE,        1.0, 2 * TLB_SECOND, 0.02, 0.3, 48, 1500},
	{"cache_gaps",    0.55, 0.85, 0.40, -1, false, FAULT_NONE,        1.0, REPORT_LAG, 0.33, 0.3, 48, 1500},
	{"shared_prefix", 0.55, 0.85, 0.40, -1, false, FAULT_NONE,        1.0, REPORT_LAG, 0.02, 0.9,  8, 2000},
	{"no_prefix",     0.55, 0.85, 0.40, -1, false, FAULT_NONE,        1.0, REPORT_LAG, 0.02, 0.0, 48, 1500},
};
/* clang-format on */

struct options {
	const char *deployment; /* NULL: all */
	const char *scenario;
	const char *policy;
	int seeds;
	double load;
	bool csv;
	int policy_count;
	/* The built-in policies with --set applied, then the variants. */
	struct policy_config policies[MAX_POLICIES];
};

static const struct argp_option argp_options[] = {
	{"deployment", 'd', "NAME", 0, "Only this deployment", 0},
	{"scenario", 's', "NAME", 0, "Only this scenario", 0},
	{"policy", 'p', "NAME", 0, "Only this policy", 0},
	{"seeds", 'n', "N", 0, "Seeds 1 to N (default 3)", 0},
	{"load", 'l', "FACTOR", 0, "Multiplies the load (default 1)", 0},
	{"set", 'o', "NAME=VALUE", 0, "Changes a setting of toucanlb (struct policy_config; ms)",
	 0},
	{"variant", 'v', "NAME=VALUE:...", 0, "Also measures toucanlb with these settings", 0},
	{"csv", 'c', NULL, 0, "Print every run as CSV", 0},
	{0},
};

/* Applies "name=value" to a policy; times are in ms. Returns false for an unknown name. */
static bool apply_setting(struct policy_config *p, const char *setting)
{
	const char *value = strchr(setting, '=');
	size_t len = value ? (size_t)(value - setting) : 0;
	double v = value ? strtod(value + 1, NULL) : 0;

#define SET(member, factor)                                                                        \
	if (len == strlen(#member) && !strncmp(setting, #member, len)) {                           \
		p->member = v * (factor);                                                          \
		return true;                                                                       \
	}
	SET(booked, 1)
	SET(max_requests, 1)
	SET(batch_reserve, 1)
	SET(interactive_wait, TLB_MS)
	SET(batch_slack, TLB_MS)
	SET(standby_share, 1)
	SET(claim_after, TLB_MS)
	SET(claim_pieces, 1)
	SET(preempt_after, TLB_MS)
	SET(preempt_cost, 1)
	SET(victims, 1)
	SET(preempt_urgent, 1)
	SET(early, 1)
	SET(report_period, TLB_MS)
	SET(report_age, TLB_MS)
#undef SET
	return false;
}

/* Adds a variant of toucanlb with the settings "name=value:...", which are also its name. Returns
 * false for an unknown setting or too many variants. */
static bool add_variant(struct options *o, char *settings)
{
	struct policy_config *p = &o->policies[o->policy_count];
	char *at = strdup(settings);
	char *rest = at;
	char *one;
	bool ok = o->policy_count < MAX_POLICIES;

	if (ok) {
		*p = o->policies[ROWS(policies) - 1];
		p->name = settings;
		o->policy_count++;
	}
	while (ok && (one = strsep(&rest, ":")))
		ok = apply_setting(p, one);
	free(at);
	return ok;
}

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct options *o = state->input;

	switch (key) {
	case 'd':
		o->deployment = arg;
		return 0;
	case 's':
		o->scenario = arg;
		return 0;
	case 'p':
		o->policy = arg;
		return 0;
	case 'n':
		o->seeds = (int)strtol(arg, NULL, 10);
		if (o->seeds < 1 || o->seeds > MAX_SEEDS)
			argp_error(state, "seeds: %s; allowed: 1 to %d", arg, MAX_SEEDS);
		return 0;
	case 'l':
		o->load = strtod(arg, NULL);
		return 0;
	case 'o':
		if (!apply_setting(&o->policies[ROWS(policies) - 1], arg))
			argp_error(state, "unknown setting: %s", arg);
		return 0;
	case 'v':
		if (!add_variant(o, arg))
			argp_error(state, "unknown setting, or too many variants: %s", arg);
		return 0;
	case 'c':
		o->csv = true;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

/* Measures in the order of the CSV header (print_csv_head); X(member, factor). */
#define COLUMNS(X)                                                                                 \
	X(offered, 1)                                                                              \
	X(goodput, 1)                                                                              \
	X(good_share, 100)                                                                         \
	X(ttft_share, 100)                                                                         \
	X(gap_share, 100)                                                                          \
	X(ttft_p95_ms, 1)                                                                          \
	X(wasted, 100)                                                                             \
	X(worst, 1)                                                                                \
	X(wrongful, 100)                                                                           \
	X(broken, 100)                                                                             \
	X(queue_ms[0][0], 1)                                                                       \
	X(queue_ms[0][1], 1)                                                                       \
	X(queue_ms[1][0], 1)                                                                       \
	X(queue_ms[1][1], 1)                                                                       \
	X(batch_done, 100)                                                                         \
	X(memory, 100)                                                                             \
	X(missed_transfers, 100)                                                                   \
	X(preempted, 1)                                                                            \
	X(ejections, 1)

static void print_csv_head(void)
{
	printf("deployment,scenario,policy,seed,load,requests,offered_rps,goodput_rps,"
	       "good_pct,ttft_ok_pct,gap_ok_pct,ttft_p95_ms,wasted_pct,worst_share,"
	       "wrongful_pct,broken_pct,queue_interactive_p50_ms,queue_interactive_p95_ms,"
	       "queue_batch_p50_ms,queue_batch_p95_ms,batch_done_pct,memory_pct,"
	       "missed_transfers_pct,preempted,ejections\n");
}

static void print_csv(const struct run *r, const struct measures *m)
{
	printf("%s,%s,%s,%lu,%.2f,%d", r->deployment->name, r->scenario->name, r->policy->name,
	       (unsigned long)r->seed, r->load_factor, m->requests);
#define X(column, factor) printf(",%.4f", m->column *(factor));
	COLUMNS(X)
#undef X
	printf("\n");
	fflush(stdout);
}

static int compare_doubles(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

static void print_cell(double *v, int n)
{
	qsort(v, (size_t)n, sizeof(*v), compare_doubles);
	printf(" %7.2f", v[n / 2]);
}

static void print_head(const struct deployment *d, const struct scenario *s)
{
	printf("\n%s %s (medians of the seeds; shares in %%)\n%-20s %7s %7s %7s %7s %7s %7s %7s "
	       "%7s %7s %7s %7s %7s %7s\n",
	       d->name, s->name, "policy", "goodput", "good", "ttftp95", "gap_ok", "wasted",
	       "worst", "wrongfl", "broken", "batch", "memory", "missed", "preempt", "eject");
}

static void print_row(const struct policy_config *p, const struct measures *m, int n)
{
	double v[MAX_SEEDS];
	int i;

	printf("%-20s", p->name);
#define CELL(column, factor)                                                                       \
	do {                                                                                       \
		for (i = 0; i < n; i++)                                                            \
			v[i] = m[i].column * (factor);                                             \
		print_cell(v, n);                                                                  \
	} while (0)
	CELL(goodput, 1);
	CELL(good_share, 100);
	CELL(ttft_p95_ms, 1);
	CELL(gap_share, 100);
	CELL(wasted, 100);
	CELL(worst, 1);
	CELL(wrongful, 100);
	CELL(broken, 100);
	CELL(batch_done, 100);
	CELL(memory, 100);
	CELL(missed_transfers, 100);
	CELL(preempted, 1);
	CELL(ejections, 1);
#undef CELL
	printf("\n");
}

static bool matches_filter(const char *filter, const char *name)
{
	return !filter || !strcmp(filter, name);
}

static void measure_all(const struct options *o, const struct deployment *d,
			const struct scenario *s)
{
	static struct measures m[MAX_POLICIES][MAX_SEEDS];
	int seed;
	int p;

	for (seed = 0; seed < o->seeds; seed++) {
		for (p = 0; p < o->policy_count; p++) {
			struct run r = {d, s, &o->policies[p], (uint64_t)seed + 1, o->load};

			if (!matches_filter(o->policy, o->policies[p].name))
				continue;
			if (model_run(&r, &m[p][seed])) {
				fprintf(stderr, "out of memory\n");
				exit(EXIT_FAILURE);
			}
			if (o->csv)
				print_csv(&r, &m[p][seed]);
		}
	}
	if (o->csv)
		return;
	print_head(d, s);
	for (p = 0; p < o->policy_count; p++) {
		if (matches_filter(o->policy, o->policies[p].name))
			print_row(&o->policies[p], m[p], o->seeds);
	}
}

int main(int argc, char **argv)
{
	struct options o = {.seeds = 3, .load = 1, .policy_count = ROWS(policies)};
	const struct argp argp = {
		argp_options, parse_option, NULL, "Measures the policies in a model.",
		NULL,	      NULL,	    NULL};
	int d;
	int s;

	memcpy(o.policies, policies, sizeof(policies));
	argp_parse(&argp, argc, argv, 0, NULL, &o);
	if (o.csv)
		print_csv_head();
	for (d = 0; d < ROWS(deployments); d++) {
		for (s = 0; s < ROWS(scenarios); s++) {
			if (matches_filter(o.deployment, deployments[d].name) &&
			    matches_filter(o.scenario, scenarios[s].name))
				measure_all(&o, &deployments[d], &scenarios[s]);
		}
	}
	return 0;
}
