/* Text output of the command-line tool: JSON answers as aligned tables. */
#ifndef TLB_PRINT_H
#define TLB_PRINT_H

#include <jansson.h>
#include <stdio.h>

/* Prints a list of objects as a table whose columns are the members of the first one. Rows of the
 * form {"key":"config/<kind>/<id>","value":{...}} get the column "id" and those of the value. */
void tlb_print_list(FILE *out, const json_t *list);
/* Prints the members of an object one a line; lists and objects as JSON. */
void tlb_print_object(FILE *out, const json_t *object);
/* Prints JSON and a line break. */
void tlb_print_json(FILE *out, const json_t *value);

#endif
