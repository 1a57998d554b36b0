#include "counter.h"

#include <inttypes.h>
#include <stdio.h>

static const struct {
	const char *name;
	const char *type;
	const char *help;
} infos[TLB_COUNTER_COUNT] = {
#define X(id, name, type, help) {name, type, help},
	TLB_COUNTERS(X)
#undef X
};

char *tlb_counter_render(const struct tlb_counters *c, size_t *len)
{
	char *text = NULL;
	FILE *f = open_memstream(&text, len);
	int i;

	if (!f)
		return NULL;
	for (i = 0; i < TLB_COUNTER_COUNT; i++) {
		fprintf(f, "# HELP %s %s\n# TYPE %s %s\n", infos[i].name, infos[i].help,
			infos[i].name, infos[i].type);
		fprintf(f, "%s %" PRId64 "\n", infos[i].name, c->value[i]);
	}
	fclose(f);
	return text;
}
