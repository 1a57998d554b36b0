#include "latency.h"

#include <inttypes.h>
#include <stdio.h>

/* Upper bounds of the buckets in milliseconds, on both sides of the targets of plain calls (100 ms)
 * and of first events (900 to 1,200 ms). */
static const int bounds_ms[TLB_LATENCY_BUCKETS] = {5,	10,  25,   50,	 100,  200,
						   400, 600, 1000, 2000, 5000, 14000};

static const struct {
	const char *name;
	const char *help;
} infos[TLB_LATENCY_COUNT] = {
#define X(id, name, help) {name, help},
	TLB_LATENCIES(X)
#undef X
};

void tlb_latency_record(struct tlb_latencies *l, enum tlb_latency id, tlb_time took)
{
	int i = 0;

	while (i < TLB_LATENCY_BUCKETS && took > bounds_ms[i] * TLB_MS)
		i++;
	l->histogram[id].bucket[i]++;
	l->histogram[id].count++;
	l->histogram[id].sum += took;
}

static void render_histogram(const struct tlb_latencies *l, int id, FILE *f)
{
	int64_t sum = 0;
	int i;

	fprintf(f, "# HELP %s %s\n# TYPE %s histogram\n", infos[id].name, infos[id].help,
		infos[id].name);
	for (i = 0; i < TLB_LATENCY_BUCKETS; i++) {
		sum += l->histogram[id].bucket[i];
		fprintf(f, "%s_bucket{le=\"%g\"} %" PRId64 "\n", infos[id].name,
			bounds_ms[i] / 1000.0, sum);
	}
	fprintf(f, "%s_bucket{le=\"+Inf\"} %" PRId64 "\n", infos[id].name, l->histogram[id].count);
	fprintf(f, "%s_sum %.6f\n%s_count %" PRId64 "\n", infos[id].name,
		(double)l->histogram[id].sum / TLB_SECOND, infos[id].name, l->histogram[id].count);
}

char *tlb_latency_render(const struct tlb_latencies *l, size_t *len)
{
	char *text = NULL;
	FILE *f = open_memstream(&text, len);
	int i;

	if (!f)
		return NULL;
	for (i = 0; i < TLB_LATENCY_COUNT; i++)
		render_histogram(l, i, f);
	fclose(f);
	return text;
}
