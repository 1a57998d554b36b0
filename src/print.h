/* Text output of the command-line tool: prints JSON responses as aligned tables. */
#ifndef TLB_PRINT_H
#define TLB_PRINT_H

#include <jansson.h>
#include <stdio.h>

/* Prints a list of objects as a table whose columns are the members of the first one. Rows of the
 * form {"key":"config/<kind>/<id>","value":{...}} get the column "id" and the members of the value
 * as further columns. An empty list prints nothing. */
void tlb_print_list(FILE *out, const json_t *list);
/* Prints each member of an object on a line as "name: value"; nested lists and objects as JSON. */
void tlb_print_object(FILE *out, const json_t *object);
/* Prints indented JSON followed by a newline. */
void tlb_print_json(FILE *out, const json_t *value);

#endif
