/*
 * Rows of one kind as comma-separated values (RFC 4180). The header record names the columns: "id"
 * and those of the kind's schema, in any order.
 */
#ifndef TLB_CSV_H
#define TLB_CSV_H

#include <stdio.h>

#include "table.h"

/* Writes the rows of a kind in order of their ids. The caller frees the text. Returns NULL when out
 * of memory. */
char *tlb_csv_write(const struct tlb_table *t, enum tlb_row_kind kind, size_t *len);
/* Reads records into rows [{"key":"config/<kind>/<id>","value":{...}}]. An empty field leaves the
 * column out, so that it gets its default. Writes one line per error ("line 3: ...") to faults; any
 * error makes it return NULL. Values are only converted here; their limits are checked when the
 * rows are put into a table. New reference. */
json_t *tlb_csv_read(enum tlb_row_kind kind, const char *text, size_t len, FILE *faults);

#endif
