/*
 * Faults and warnings found in a configuration change. All of them are collected, so that an
 * operator corrects a change in one go.
 */
#ifndef TLB_FAULTS_H
#define TLB_FAULTS_H

#include <jansson.h>
#include <stddef.h>

/* Listed faults or warnings of one change; further ones are only counted. */
enum { TLB_FAULTS_LISTED = 200 };

/* Owns its arrays. Each element is {"row":"key/k1","column":"account","value":"a9" or null,
 * "allowed":"...","message":"<the whole as one line>"}. */
struct tlb_faults {
	json_t *faults;
	json_t *warnings;
	size_t fault_count;
	size_t warning_count;
};

void tlb_faults_init(struct tlb_faults *f);
void tlb_faults_finish(struct tlb_faults *f);

/* Adds a fault. column may be "" when the row as a whole is at fault. value is borrowed and may be
 * NULL when it is missing; allowed completes "expected ...". */
void tlb_faults_add(struct tlb_faults *f, const char *row, const char *column, const json_t *value,
		    const char *allowed);
/* Adds a warning, which does not stop a change. */
void tlb_faults_warn(struct tlb_faults *f, const char *row, const char *column, const json_t *value,
		     const char *allowed);
/* The message of the first fault; "" without one. Valid until the next change of f. */
const char *tlb_faults_first(const struct tlb_faults *f);

#endif
