#include "print.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>

#include "row_schema.h"

enum { COLUMNS_MAX = 32, CELL_GAP = 2 };

/* Returns the object whose members are the columns: a table row's value, else the item itself. */
static const json_t *get_cells(const json_t *item)
{
	const json_t *value = json_object_get(item, "value");

	return json_is_object(value) && json_object_get(item, "key") ? value : item;
}

static const char *row_id(const json_t *item)
{
	const char *key = json_string_value(json_object_get(item, "key"));
	const char *slash = key ? strrchr(key, '/') : NULL;

	return slash ? slash + 1 : "";
}

struct columns {
	const char *names[COLUMNS_MAX];
	int widths[COLUMNS_MAX];
	int count;
	bool has_row_id; /* the items are table rows; the first column is the row's id */
};

static void add_column(struct columns *c, const char *name)
{
	if (c->count == COLUMNS_MAX)
		return;
	c->names[c->count] = name;
	c->widths[c->count] = (int)strlen(name);
	c->count++;
}

/* Replaces control characters, because text from callers could contain terminal escape sequences.
 * malloc'd. */
static char *sanitize_text(const json_t *v)
{
	char *text = tlb_row_value_to_text(v);
	char *p;

	for (p = text; p && *p; p++)
		if (iscntrl((unsigned char)*p))
			*p = '?';
	return text;
}

/* Returns the text of a cell, "-" when it is empty. malloc'd. */
static char *format_cell(const struct columns *c, const json_t *item, int i)
{
	const json_t *v;

	if (c->has_row_id && i == 0)
		return strdup(row_id(item));
	v = json_object_get(get_cells(item), c->names[i]);
	return v && !json_is_null(v) ? sanitize_text(v) : strdup("-");
}

static void init_columns(struct columns *c, const json_t *list)
{
	const json_t *first = json_array_get(list, 0);
	json_t *cells = (json_t *)get_cells(first);
	const char *name;
	json_t *v;

	memset(c, 0, sizeof(*c));
	c->has_row_id = cells != first;
	if (c->has_row_id)
		add_column(c, "id");
	json_object_foreach (cells, name, v) {
		add_column(c, name);
	}
}

static void update_widths(struct columns *c, const json_t *item)
{
	char *text;
	int len;
	int i;

	for (i = 0; i < c->count; i++) {
		text = format_cell(c, item, i);
		len = text ? (int)strlen(text) : 0;
		if (len > c->widths[i])
			c->widths[i] = len;
		free(text);
	}
}

static void print_cell(FILE *out, const struct columns *c, int i, const char *text)
{
	/* The last column is not padded. */
	if (i == c->count - 1)
		fprintf(out, "%s\n", text);
	else
		fprintf(out, "%-*s", c->widths[i] + CELL_GAP, text);
}

static void print_item(FILE *out, const struct columns *c, const json_t *item)
{
	char *text;
	int i;

	for (i = 0; i < c->count; i++) {
		text = format_cell(c, item, i);
		print_cell(out, c, i, text ? text : "");
		free(text);
	}
}

void tlb_print_list(FILE *out, const json_t *list)
{
	struct columns c;
	const json_t *item;
	size_t n;
	int i;

	if (json_array_size(list) == 0)
		return;
	init_columns(&c, list);
	json_array_foreach (list, n, item) {
		update_widths(&c, item);
	}
	for (i = 0; i < c.count; i++)
		print_cell(out, &c, i, c.names[i]);
	json_array_foreach (list, n, item) {
		print_item(out, &c, item);
	}
}

void tlb_print_object(FILE *out, const json_t *object)
{
	const char *name;
	json_t *v;
	char *text;

	json_object_foreach ((json_t *)object, name, v) {
		text = sanitize_text(v);
		fprintf(out, "%s: %s\n", name, text ? text : "");
		free(text);
	}
}

void tlb_print_json(FILE *out, const json_t *value)
{
	json_dumpf(value, out, JSON_ENCODE_ANY | JSON_INDENT(2) | JSON_REAL_PRECISION(15));
	fputc('\n', out);
}
