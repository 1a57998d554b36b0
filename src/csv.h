/*
 * Rows of one kind as comma-separated values (RFC 4180). The first record names the columns: "id"
 * and those of the kind's schema, in any order.
 */
#ifndef TLB_CSV_H
#define TLB_CSV_H

#include <stdio.h>

#include "table.h"

/* Renders the rows of a kind by id. Returns malloc'd text, or NULL without memory. */
char *tlb_csv_write(const struct tlb_table *t, enum tlb_row_kind kind, size_t *len);
/* Reads records into rows [{"key":"config/<kind>/<id>","value":{...}}]. An empty field leaves the
 * column out, so that it gets its default. Writes one line per fault ("line 3: ...") to faults; on
 * any fault nothing is taken and NULL is returned. Values are only converted here; their limits are
 * checked when the rows are put into a table. New reference. */
json_t *tlb_csv_read(enum tlb_row_kind kind, const char *text, size_t len, FILE *faults);

#endif
