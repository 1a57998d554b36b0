#include "csv.h"

#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include "row_schema.h"

/* --- writing --- */

static void write_field(FILE *f, const char *s)
{
	if (!s[strcspn(s, ",\"\r\n")]) {
		fputs(s, f);
		return;
	}
	fputc('"', f);
	for (; *s; s++) {
		if (*s == '"')
			fputc('"', f);
		fputc(*s, f);
	}
	fputc('"', f);
}

static void write_header(FILE *f, enum tlb_row_kind kind)
{
	size_t i;

	fputs("id", f);
	for (i = 0; i < tlb_row_column_count(kind); i++)
		fprintf(f, ",%s", tlb_row_column(kind, i));
	fputs("\r\n", f);
}

static void write_record(FILE *f, enum tlb_row_kind kind, const json_t *row)
{
	const json_t *value = json_object_get(row, "value");
	const char *key = json_string_value(json_object_get(row, "key"));
	char *text;
	size_t i;

	write_field(f, strrchr(key, '/') + 1);
	for (i = 0; i < tlb_row_column_count(kind); i++) {
		text = tlb_row_value_to_text(json_object_get(value, tlb_row_column(kind, i)));
		fputc(',', f);
		write_field(f, text ? text : "");
		free(text);
	}
	fputs("\r\n", f);
}

char *tlb_csv_write(const struct tlb_table *t, enum tlb_row_kind kind, size_t *len)
{
	char *text = NULL;
	FILE *f = open_memstream(&text, len);
	json_t *rows;
	json_t *row;
	size_t i;

	if (!f)
		return NULL;
	rows = tlb_table_rows(t, kind);
	write_header(f, kind);
	json_array_foreach (rows, i, row) {
		write_record(f, kind, row);
	}
	json_decref(rows);
	fclose(f);
	return text;
}

/* --- reading --- */

struct csv_reader {
	enum tlb_row_kind kind;
	const char *p;
	const char *end;
	size_t line;	    /* line number of p */
	size_t record_line; /* first line of the current record */
	FILE *faults;
	size_t fault_count;
	json_t *header;
	json_t *ids; /* id -> line of its record */
	json_t *rows;
};

static void report(struct csv_reader *r, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

static void report(struct csv_reader *r, const char *fmt, ...)
{
	va_list ap;

	r->fault_count++;
	if (!r->faults)
		return;
	fprintf(r->faults, "line %zu: ", r->record_line);
	va_start(ap, fmt);
	vfprintf(r->faults, fmt, ap);
	va_end(ap);
	fputc('\n', r->faults);
}

static bool at_field_end(const struct csv_reader *r)
{
	return r->p == r->end || *r->p == ',' || *r->p == '\n' ||
	       (*r->p == '\r' && (r->p + 1 == r->end || r->p[1] == '\n'));
}

/* Copies a quoted field to out; p points after the opening quote. */
static void read_quoted(struct csv_reader *r, FILE *out)
{
	for (; r->p < r->end; r->p++) {
		if (*r->p == '"') {
			if (r->p + 1 == r->end || r->p[1] != '"')
				break;
			r->p++;
		}
		if (*r->p == '\n')
			r->line++;
		fputc(*r->p, out);
	}
	if (r->p == r->end) {
		report(r, "quoted field without a closing quote");
		return;
	}
	r->p++;
	if (!at_field_end(r))
		report(r, "unexpected text after a closing quote");
}

static void read_field(struct csv_reader *r, FILE *out)
{
	if (r->p < r->end && *r->p == '"') {
		r->p++;
		read_quoted(r, out);
	}
	/* After an error in a quoted field, this also skips the rest of the field. */
	for (; !at_field_end(r); r->p++) {
		if (*r->p == '"')
			report(r, "quote character in an unquoted field");
		fputc(*r->p, out);
	}
}

static json_t *parse_field(struct csv_reader *r)
{
	char *text = NULL;
	size_t len = 0;
	FILE *out = open_memstream(&text, &len);
	json_t *field = NULL;

	if (out) {
		read_field(r, out);
		fclose(out);
		field = json_stringn(text, len);
	}
	free(text);
	if (!field)
		report(r, "field is not valid UTF-8 text");
	return field ? field : json_string("");
}

static void skip_line_end(struct csv_reader *r)
{
	if (r->p < r->end && *r->p == '\r')
		r->p++;
	if (r->p < r->end && *r->p == '\n')
		r->p++;
	r->line++;
}

/* Parses the next record into an array of its fields. New reference. */
static json_t *parse_record(struct csv_reader *r)
{
	json_t *fields = json_array();

	r->record_line = r->line;
	json_array_append_new(fields, parse_field(r));
	while (r->p < r->end && *r->p == ',') {
		r->p++;
		json_array_append_new(fields, parse_field(r));
	}
	skip_line_end(r);
	return fields;
}

static const char *field_text(const json_t *fields, size_t i)
{
	return json_string_value(json_array_get(fields, i));
}

static void check_column(struct csv_reader *r, size_t i)
{
	const char *name = field_text(r->header, i);
	json_t *converted = tlb_row_value_from_text(r->kind, name, "");
	size_t j;

	if (strcmp(name, "id") != 0 && !converted)
		report(r, "unknown column \"%.40s\": %s rows have no such column", name,
		       tlb_table_kind_name(r->kind));
	json_decref(converted);
	for (j = 0; j < i; j++)
		if (strcmp(field_text(r->header, j), name) == 0)
			report(r, "duplicate column \"%.40s\"", name);
}

static bool has_id(const json_t *header)
{
	size_t i;

	for (i = 0; i < json_array_size(header); i++)
		if (strcmp(field_text(header, i), "id") == 0)
			return true;
	return false;
}

static void parse_header(struct csv_reader *r)
{
	size_t i;

	r->header = parse_record(r);
	for (i = 0; i < json_array_size(r->header); i++)
		check_column(r, i);
	if (!has_id(r->header))
		report(r, "the header record has no column \"id\"");
}

static void check_id(struct csv_reader *r, const char *id)
{
	const json_t *first_line = json_object_get(r->ids, id);

	if (!*id)
		report(r, "empty id");
	else if (first_line)
		report(r, "duplicate id \"%.47s\"; first used on line %lld", id,
		       (long long)json_integer_value(first_line));
	else
		json_object_set_new(r->ids, id, json_integer((json_int_t)r->record_line));
}

static void add_row(struct csv_reader *r, const json_t *fields)
{
	json_t *value = json_object();
	const char *id = "";
	const char *column;
	const char *text;
	size_t i;

	for (i = 0; i < json_array_size(fields); i++) {
		column = field_text(r->header, i);
		text = field_text(fields, i);
		if (strcmp(column, "id") == 0)
			id = text;
		else if (*text)
			json_object_set_new(value, column,
					    tlb_row_value_from_text(r->kind, column, text));
	}
	check_id(r, id);
	json_array_append_new(
		r->rows, json_pack("{s:o, s:o}", "key",
				   json_sprintf("config/%s/%s", tlb_table_kind_name(r->kind), id),
				   "value", value));
}

static void parse_row(struct csv_reader *r)
{
	json_t *fields = parse_record(r);
	size_t n = json_array_size(fields);
	size_t column_count = json_array_size(r->header);

	if (n == column_count)
		add_row(r, fields);
	/* A single empty field is an empty line, such as editors leave at the end of a file. */
	else if (n != 1 || *field_text(fields, 0))
		report(r, "record has %zu fields, but the header record names %zu columns", n,
		       column_count);
	json_decref(fields);
}

/* Spreadsheet programs write a byte order mark before UTF-8 text. */
static void skip_byte_order_mark(struct csv_reader *r)
{
	static const char mark[] = "\xef\xbb\xbf";

	if (r->end - r->p >= 3 && memcmp(r->p, mark, 3) == 0)
		r->p += 3;
}

json_t *tlb_csv_read(enum tlb_row_kind kind, const char *text, size_t len, FILE *faults)
{
	struct csv_reader r = {.kind = kind,
			       .p = text,
			       .end = text + len,
			       .line = 1,
			       .faults = faults,
			       .ids = json_object(),
			       .rows = json_array()};
	bool header_valid;

	skip_byte_order_mark(&r);
	parse_header(&r);
	header_valid = r.fault_count == 0;
	/* Without a valid header, every record would be reported as an error. */
	while (header_valid && r.p < r.end)
		parse_row(&r);
	json_decref(r.header);
	json_decref(r.ids);
	if (r.fault_count == 0)
		return r.rows;
	json_decref(r.rows);
	return NULL;
}
