/* The seeded plan of a load run: which request is sent when, and what its answer must be. */
#ifndef LOAD_PLAN_H
#define LOAD_PLAN_H

#include <stdbool.h>
#include <stddef.h>

#include "clock.h"
#include "random.h"

enum load_kind { LOAD_COMPLETION, LOAD_STREAM, LOAD_STATUS, LOAD_PAID, LOAD_KINDS };

enum { LOAD_ACCOUNTS_MAX = 5 };

/* Sizes and shares of the mix; lengths in tokens. */
struct load_mix {
	double share[LOAD_KINDS];
	double account_share[LOAD_ACCOUNTS_MAX];
	int accounts;
	double rate; /* requests per second */
	double seconds;
	int prompt_median;
	int prompt_max;
	int output_median;
	int output_max;
};

/* One planned request; text is owned by the plan. */
struct load_item {
	enum load_kind kind;
	int account;	/* from 0 */
	tlb_time at;	/* microseconds from the start of the run */
	char *text;	/* prompt of a model request, body of a paid call; NULL for a status call */
	int max_tokens; /* of a model request */
	int serial;
};

struct load_plan {
	struct load_item *items;
	int count;
};

const char *load_kind_name(enum load_kind kind);

/* Parses "completions=2,stream=3,status=3,paid=2" into shares; returns false on an error. */
bool load_mix_parse(struct load_mix *m, const char *text);

/* Draws the whole plan; the same mix and seed give the same plan. Aborts without memory. */
void load_plan_init(struct load_plan *p, const struct load_mix *m, unsigned long seed);
void load_plan_finish(struct load_plan *p);

#endif
