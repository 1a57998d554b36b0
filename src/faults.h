/*
 * Faults and warnings found in a configuration change. All are collected, so that an operator can
 * correct a change in one pass.
 */
#ifndef TLB_FAULTS_H
#define TLB_FAULTS_H

#include <jansson.h>
#include <stddef.h>

/* Maximum number of faults, and of warnings, listed for one change; more are only counted. */
enum { TLB_FAULTS_LISTED_MAX = 200 };

/* Owns its arrays. Each element is {"row":"key/k1","column":"account","value":"a9" or null,
 * "allowed":"...","message":"<all of it as one line>"}. */
struct tlb_faults {
	json_t *faults;
	json_t *warnings;
	size_t fault_count;
	size_t warning_count;
};

void tlb_faults_init(struct tlb_faults *f);
void tlb_faults_finish(struct tlb_faults *f);

/* Adds a fault. column is "" when the fault concerns the entire row. value is borrowed, NULL when
 * it is missing; allowed completes "expected ...". */
void tlb_faults_add(struct tlb_faults *f, const char *row, const char *column, const json_t *value,
		    const char *allowed);
/* Adds a warning, which does not prevent the change. */
void tlb_faults_warn(struct tlb_faults *f, const char *row, const char *column, const json_t *value,
		     const char *allowed);
/* Returns the message of the first fault, "" if there is none. Valid until f is modified. */
const char *tlb_faults_first(const struct tlb_faults *f);

#endif
