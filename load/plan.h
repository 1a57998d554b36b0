/* The schedule of a load run, generated from a seed: what each request contains and when it is
 * sent. */
#ifndef LOAD_PLAN_H
#define LOAD_PLAN_H

#include <stdbool.h>
#include <stddef.h>

#include "clock.h"
#include "random.h"

enum load_kind { LOAD_COMPLETION, LOAD_STREAM, LOAD_STATUS, LOAD_PAID, LOAD_KIND_COUNT };

enum { LOAD_ACCOUNTS_MAX = 5 };

/* The distribution from which requests are generated; lengths in tokens. Shares are relative
 * weights. */
struct load_mix {
	double share[LOAD_KIND_COUNT];
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
struct load_request {
	enum load_kind kind;
	int account;	  /* zero-based */
	tlb_time send_at; /* microseconds from the start of the run */
	char *text;	/* prompt of a model request, body of a paid call; NULL for a status call */
	int max_tokens; /* model requests only */
	int serial;	/* 1-based number in the plan */
};

struct load_plan {
	struct load_request *requests;
	int count;
};

const char *load_kind_name(enum load_kind kind);

/* Parses a list such as "completions=2,stream=3,status=3,paid=2" into m->share. Returns false on a
 * syntax error, an unknown kind or a negative share. */
bool load_mix_parse(struct load_mix *m, const char *text);

/* Generates the plan; the same mix and seed give the same plan. Aborts when out of memory. */
void load_plan_init(struct load_plan *p, const struct load_mix *m, unsigned long seed);
void load_plan_finish(struct load_plan *p);

#endif
