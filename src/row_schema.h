/*
 * Schema of the configuration rows: the columns of each kind with their types, limits and defaults.
 * Rows are parsed, validated and written as JSON or as text according to it.
 */
#ifndef TLB_ROW_SCHEMA_H
#define TLB_ROW_SCHEMA_H

#include "faults.h"
#include "table.h"

/* Size in bytes of the struct that holds a row of a kind. */
size_t tlb_row_size(enum tlb_row_kind kind);
/* The id of a row of any kind. */
const char *tlb_row_id(const void *row);

/* Fills a zeroed row from its JSON value and adds every error to f. If strict, an unknown column is
 * an error; otherwise it is ignored, so that rows written by a later release can be read. Returns
 * false when there was an error. */
bool tlb_row_read(enum tlb_row_kind kind, const char *id, const json_t *value, bool strict,
		  void *row, struct tlb_faults *f);
/* The JSON value of a row with all columns. New reference. */
json_t *tlb_row_write(enum tlb_row_kind kind, const void *row);
/* Whether two rows of the same kind are equal in all columns. The id is not compared. */
bool tlb_row_equal(enum tlb_row_kind kind, const void *a, const void *b);

size_t tlb_row_column_count(enum tlb_row_kind kind);
/* The name of column i, in the order of the schema. */
const char *tlb_row_column(enum tlb_row_kind kind, size_t i);
/* Converts text ("5", "true", "a1") to the JSON type of a column. Text that is neither
 * a number nor a boolean stays a string, which tlb_row_read() then rejects, stating the column's
 * limits. Returns NULL for an unknown column. New reference. */
json_t *tlb_row_value_from_text(enum tlb_row_kind kind, const char *column, const char *text);
/* The text of a column's value: strings unchanged, other values as JSON. The caller frees it. */
char *tlb_row_value_to_text(const json_t *value);

#endif
