#include "faults.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* In bytes; longer values are truncated in messages. */
enum { VALUE_LEN_MAX = 64, MESSAGE_LEN = 400 };

void tlb_faults_init(struct tlb_faults *f)
{
	memset(f, 0, sizeof(*f));
	f->faults = json_array();
	f->warnings = json_array();
}

void tlb_faults_finish(struct tlb_faults *f)
{
	json_decref(f->faults);
	json_decref(f->warnings);
	memset(f, 0, sizeof(*f));
}

static json_t *make_fault(const char *row, const char *column, const json_t *value,
			  const char *suffix, const char *allowed)
{
	char *text = value ? json_dumps(value, JSON_ENCODE_ANY | JSON_ENSURE_ASCII) : NULL;
	char message[MESSAGE_LEN];

	if (!value && !*column)
		snprintf(message, sizeof(message), "row %s: expected %s", row, allowed);
	else
		snprintf(message, sizeof(message), "row %s%s%s: value %.*s%s; expected %s", row,
			 *column ? ", column " : "", column, VALUE_LEN_MAX,
			 text ? text : "(missing)", suffix, allowed);
	free(text);
	return json_pack("{s:s, s:s, s:o, s:s, s:s}", "row", row, "column", column, "value",
			 value ? json_deep_copy(value) : json_null(), "allowed", allowed, "message",
			 message);
}

static void append_or_count(json_t *list, size_t *count, json_t *fault)
{
	(*count)++;
	if (json_array_size(list) < TLB_FAULTS_LISTED_MAX)
		json_array_append_new(list, fault);
	else
		json_decref(fault);
}

void tlb_faults_add(struct tlb_faults *f, const char *row, const char *column, const json_t *value,
		    const char *allowed)
{
	append_or_count(f->faults, &f->fault_count,
			make_fault(row, column, value, " is not allowed", allowed));
}

void tlb_faults_warn(struct tlb_faults *f, const char *row, const char *column, const json_t *value,
		     const char *allowed)
{
	append_or_count(f->warnings, &f->warning_count,
			make_fault(row, column, value, "", allowed));
}

const char *tlb_faults_first(const struct tlb_faults *f)
{
	const char *s = json_string_value(json_object_get(json_array_get(f->faults, 0), "message"));

	return s ? s : "";
}
