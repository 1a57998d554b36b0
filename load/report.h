/* Counts and latencies of a load run, printed as a table or as JSON. */
#ifndef LOAD_REPORT_H
#define LOAD_REPORT_H

#include <jansson.h>
#include <stdio.h>

#include "answer.h"

/* Latency samples in microseconds; the report owns the values. */
struct load_samples {
	tlb_time *values;
	size_t count;
	size_t cap;
};

/* Statistics of one account. */
struct load_stats {
	int sent;
	int outcome[LOAD_OUTCOME_COUNT];
	int kind_sent[LOAD_KIND_COUNT];
	int kind_answered[LOAD_KIND_COUNT];
	long output_tokens;
	struct load_samples first_token; /* of streams, since the request was sent */
	struct load_samples token_gap;	 /* between consecutive tokens of a stream */
	struct load_samples latency;	 /* of answered requests, to the end of the response */
};

/* Owns its samples and codes. */
struct load_report {
	struct load_stats account[LOAD_ACCOUNTS_MAX];
	int accounts;
	json_t *codes;	/* error code -> count */
	json_t *faults; /* reason text of a result -> count */
	int retried;	/* failed connections that were retried with another VM */
	int repeated;	/* paid calls sent again with the same Idempotency-Key */
	double seconds;
};

void load_report_init(struct load_report *r, int accounts);
void load_report_finish(struct load_report *r);

void load_samples_add(struct load_samples *s, tlb_time value);
void load_report_add(struct load_report *r, const struct load_request *request,
		     const struct load_result *result);

void load_report_print(struct load_report *r, FILE *out);
/* Returns a new reference to a JSON object. */
json_t *load_report_json(struct load_report *r);

#endif
