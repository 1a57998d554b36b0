/* Counts and times of a load run, as a table and as JSON. */
#ifndef LOAD_REPORT_H
#define LOAD_REPORT_H

#include <jansson.h>
#include <stdio.h>

#include "answer.h"

/* Samples in microseconds; owned by the report. */
struct load_samples {
	tlb_time *values;
	size_t count;
	size_t cap;
};

/* The figures of one account. */
struct load_figures {
	int sent;
	int outcome[LOAD_OUTCOMES];
	int kind_sent[LOAD_KINDS];
	int kind_answered[LOAD_KINDS];
	long output_tokens;
	struct load_samples first_token; /* of streams, from the sending of the request */
	struct load_samples gap;	 /* between tokens of one stream */
	struct load_samples total;	 /* of answered requests */
};

/* Owns its samples and codes. */
struct load_report {
	struct load_figures account[LOAD_ACCOUNTS_MAX];
	int accounts;
	json_t *codes;	/* code of a refusal or failure -> count */
	json_t *faults; /* reason of a wrong or lost answer -> count */
	int retried;	/* connections refused by a VM and tried at another */
	int repeated;	/* paid calls repeated with their Idempotency-Key */
	double seconds;
};

void load_report_init(struct load_report *r, int accounts);
void load_report_finish(struct load_report *r);

void load_samples_add(struct load_samples *s, tlb_time value);
void load_report_add(struct load_report *r, const struct load_item *item,
		     const struct load_verdict *v);

void load_report_print(struct load_report *r, FILE *out);
/* Returns a new reference. */
json_t *load_report_json(struct load_report *r);

#endif
