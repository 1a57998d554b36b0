#include "settings.h"

#include <ctype.h>
#include <errno.h>
#include <fcntl.h>
#include <sodium.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>
#include <yaml.h>

#include "address.h"
#include "label.h"

enum field_kind {
	FIELD_ID,
	FIELD_ADDR,
	FIELD_URL,
	FIELD_FILE,
	FIELD_CHOICE,
	FIELD_INT,
	FIELD_NUMBER,
};

/* One key of the schema and the member that it fills. */
struct field {
	const char *section;
	const char *key;
	enum field_kind kind;
	bool required;
	const char *default_text; /* text of the default, when not required */
	char *text;		  /* FIELD_ID to FIELD_CHOICE */
	size_t size;
	const char *const *choices; /* FIELD_CHOICE; ends with NULL */
	int *integer;		    /* FIELD_INT */
	double *number;		    /* FIELD_NUMBER */
	double min;
	double max;
	size_t line; /* line of the key in the file; 0 while absent */
};

struct loader {
	const char *path;
	FILE *faults;
	int fault_count;
	yaml_document_t doc;
	struct field *fields;
	size_t field_count;
	bool shortens_names; /* a users' platform chooses the names, of any length */
};

static const char *const level_names[] = {"error", "warn",  "notice", "info",
					  "debug", "trace", NULL};
static const char no_adapter[] = "none";
static const char *const adapter_names[] = {no_adapter, "rows", NULL};
static const char *const policy_names[] = {"toucanlb", "round_robin", "least_load", NULL};

enum {
	VALUE_SHOWN_MAX = 64, /* bytes of a value that an error message quotes */
	SECRET_HEX_RUN = 32   /* this many hex digits in a row are treated as a secret */
};

static void report(struct loader *l, const char *path, size_t line, const char *fmt, ...)
	__attribute__((format(printf, 4, 5)));

static void report(struct loader *l, const char *path, size_t line, const char *fmt, ...)
{
	va_list ap;

	l->fault_count++;
	if (!l->faults)
		return;
	fprintf(l->faults, "%s:%zu: ", path, line);
	va_start(ap, fmt);
	vfprintf(l->faults, fmt, ap);
	va_end(ap);
	fputc('\n', l->faults);
}

/* Detects a key pasted into the settings by mistake, which must not reach a terminal or a log. */
static bool looks_like_secret(const char *s)
{
	size_t run = 0;

	for (; *s; s++) {
		run = isxdigit((unsigned char)*s) ? run + 1 : 0;
		if (run >= SECRET_HEX_RUN)
			return true;
	}
	return false;
}

static const char *printable_value(const char *value, char *out)
{
	size_t i;

	if (looks_like_secret(value))
		return "(hidden)";
	for (i = 0; i < VALUE_SHOWN_MAX && value[i]; i++)
		out[i] = iscntrl((unsigned char)value[i]) ? '?' : value[i];
	out[i] = '\0';
	return out;
}

static void report_value(struct loader *l, const struct field *f, const char *value,
			 const char *expected)
{
	char text[VALUE_SHOWN_MAX + 1];

	report(l, l->path, f->line, "%s.%s: value \"%s\" is not allowed; expected %s", f->section,
	       f->key, printable_value(value, text), expected);
}

static bool url_valid(const char *s)
{
	if (strncmp(s, "http://", 7) == 0)
		return tlb_address_valid(s + 7, 1);
	if (strncmp(s, "https://", 8) == 0)
		return tlb_address_valid(s + 8, 1);
	return false;
}

static bool text_valid(const struct field *f, const char *value)
{
	const char *const *c;

	switch (f->kind) {
	case FIELD_ID:
		return tlb_table_id_valid(value);
	case FIELD_ADDR:
		return tlb_address_valid(value, 0) || (!f->required && !*value);
	case FIELD_URL:
		return url_valid(value) || (!f->required && !*value);
	case FIELD_FILE:
		return *value != '\0' || !f->required;
	case FIELD_CHOICE:
		for (c = f->choices; *c; c++)
			if (strcmp(*c, value) == 0)
				return true;
		return false;
	case FIELD_INT:
	case FIELD_NUMBER:
		break;
	}
	return false;
}

static void describe_expected(const struct field *f, char *out, size_t size)
{
	const char *const *c;
	size_t len;

	switch (f->kind) {
	case FIELD_ID:
		snprintf(out, size, "1 to %zu of A-Z a-z 0-9 . _ -, the first a letter or a digit",
			 f->size - 1);
		return;
	case FIELD_ADDR:
		snprintf(out, size, "IP:PORT, such as 127.0.0.1:8080 or [::1]:8080");
		return;
	case FIELD_URL:
		snprintf(out, size, "http://IP:PORT or https://IP:PORT, without a path");
		return;
	case FIELD_FILE:
		snprintf(out, size, "a file name of 1 to %zu bytes", f->size - 1);
		return;
	default:
		break;
	}
	snprintf(out, size, "one of");
	for (c = f->choices; c && *c; c++) {
		len = strlen(out);
		snprintf(out + len, size - len, "%s%s", c == f->choices ? " " : ", ", *c);
	}
}

static void set_text(struct loader *l, struct field *f, const char *value)
{
	char expected[160];

	char label[TLB_ID_LEN];

	if (strlen(value) < f->size && text_valid(f, value)) {
		strcpy(f->text, value);
		return;
	}
	if (f->kind == FIELD_ID && l->shortens_names && strlen(value) >= f->size &&
	    text_valid(f, tlb_label_fit(label, sizeof(label), value))) {
		strcpy(f->text, label);
		return;
	}
	describe_expected(f, expected, sizeof(expected));
	report_value(l, f, value, expected);
}

static void set_int(struct loader *l, struct field *f, const char *value)
{
	size_t len = strlen(value);
	char expected[80];
	long long n = -1;

	if (len > 0 && len <= 12 && strspn(value, "0123456789") == len)
		n = strtoll(value, NULL, 10);
	if (n >= 0 && (double)n >= f->min && (double)n <= f->max) {
		*f->integer = (int)n;
		return;
	}
	snprintf(expected, sizeof(expected), "an integer from %.0f to %.0f", f->min, f->max);
	report_value(l, f, value, expected);
}

static void set_number(struct loader *l, struct field *f, const char *value)
{
	size_t len = strlen(value);
	char expected[80];
	char *end = NULL;
	double n = 0;

	/* strtod() alone would also accept "inf", "nan" and hexadecimal numbers. */
	if (len > 0 && strspn(value, "0123456789.eE+-") == len)
		n = strtod(value, &end);
	if (end && !*end && n >= f->min && n <= f->max) {
		*f->number = n;
		return;
	}
	snprintf(expected, sizeof(expected), "a number from %g to %g", f->min, f->max);
	report_value(l, f, value, expected);
}

static void set_field(struct loader *l, struct field *f, const char *value)
{
	if (f->kind == FIELD_INT)
		set_int(l, f, value);
	else if (f->kind == FIELD_NUMBER)
		set_number(l, f, value);
	else
		set_text(l, f, value);
}

/* The text of a scalar, or NULL for other nodes and for scalars with a NUL byte inside. */
static const char *scalar(const yaml_node_t *n)
{
	const char *s;

	if (!n || n->type != YAML_SCALAR_NODE)
		return NULL;
	s = (const char *)n->data.scalar.value;
	return strlen(s) == n->data.scalar.length ? s : NULL;
}

static bool known_section(const struct loader *l, const char *name)
{
	size_t i;

	for (i = 0; i < l->field_count; i++)
		if (strcmp(l->fields[i].section, name) == 0)
			return true;
	return false;
}

static struct field *find_field(const struct loader *l, const char *section, const char *key)
{
	size_t i;

	for (i = 0; i < l->field_count; i++)
		if (strcmp(l->fields[i].section, section) == 0 &&
		    strcmp(l->fields[i].key, key) == 0)
			return &l->fields[i];
	return NULL;
}

/* Lists the keys of a section, or the sections when section is NULL. */
static void list_names(const struct loader *l, const char *section, char *out, size_t size)
{
	const char *name;
	size_t len = 0;
	size_t i;

	out[0] = '\0';
	for (i = 0; i < l->field_count; i++) {
		if (section && strcmp(l->fields[i].section, section) != 0)
			continue;
		/* The fields of a section are adjacent in the schema. */
		if (!section && i > 0 &&
		    strcmp(l->fields[i].section, l->fields[i - 1].section) == 0)
			continue;
		name = section ? l->fields[i].key : l->fields[i].section;
		snprintf(out + len, size - len, "%s%s", len ? ", " : "", name);
		len = strlen(out);
	}
}

static void report_unknown(struct loader *l, const char *section, const char *key, size_t line)
{
	char text[VALUE_SHOWN_MAX + 1];
	char names[256];

	list_names(l, section, names, sizeof(names));
	report(l, l->path, line, "%s%s%s: key is not allowed; expected one of %s",
	       section ? section : "", section ? "." : "", printable_value(key, text), names);
}

static void load_pair(struct loader *l, const char *section, const yaml_node_t *key_node,
		      const yaml_node_t *value_node)
{
	const char *key = scalar(key_node);
	const char *value = scalar(value_node);
	size_t line = key_node->start_mark.line + 1;
	struct field *f = key ? find_field(l, section, key) : NULL;

	if (!f) {
		report_unknown(l, section, key ? key : "?", line);
		return;
	}
	if (f->line) {
		report(l, l->path, line, "%s.%s: duplicate key; first defined on line %zu", section,
		       key, f->line);
		return;
	}
	f->line = line;
	if (value)
		set_field(l, f, value);
	else
		report(l, l->path, line,
		       "%s.%s: value is a list or a mapping; expected a single value", section,
		       key);
}

static void load_section(struct loader *l, const char *section, const yaml_node_t *node)
{
	yaml_node_pair_t *p;
	const char *value = scalar(node);

	/* "section:" with nothing below it is an empty section. */
	if (value && !*value)
		return;
	if (node->type != YAML_MAPPING_NODE) {
		report(l, l->path, node->start_mark.line + 1, "%s: expected a mapping of keys",
		       section);
		return;
	}
	for (p = node->data.mapping.pairs.start; p < node->data.mapping.pairs.top; p++)
		load_pair(l, section, yaml_document_get_node(&l->doc, p->key),
			  yaml_document_get_node(&l->doc, p->value));
}

/* Whether the mapping has the same key before p. */
static bool is_duplicate_key(struct loader *l, const yaml_node_t *map, const yaml_node_pair_t *p)
{
	const char *name = scalar(yaml_document_get_node(&l->doc, p->key));
	const yaml_node_pair_t *q;
	const char *other;

	for (q = map->data.mapping.pairs.start; q < p; q++) {
		other = scalar(yaml_document_get_node(&l->doc, q->key));
		if (name && other && strcmp(name, other) == 0)
			return true;
	}
	return false;
}

/* The value of a key in a mapping, or NULL. */
static const yaml_node_t *find_node(struct loader *l, const yaml_node_t *map, const char *key)
{
	const yaml_node_pair_t *p;
	const char *name;

	if (!map || map->type != YAML_MAPPING_NODE)
		return NULL;
	for (p = map->data.mapping.pairs.start; p < map->data.mapping.pairs.top; p++) {
		name = scalar(yaml_document_get_node(&l->doc, p->key));
		if (name && strcmp(name, key) == 0)
			return yaml_document_get_node(&l->doc, p->value);
	}
	return NULL;
}

/* Whether the settings name a users' platform. Read first, as it decides how others are read. */
static bool has_adapter(struct loader *l, const yaml_node_t *root)
{
	const yaml_node_t *adapter = find_node(l, find_node(l, root, "platform"), "adapter");
	const char *name = adapter ? scalar(adapter) : NULL;

	return name && strcmp(name, no_adapter) != 0;
}

static void load_root(struct loader *l, const yaml_node_t *root)
{
	const yaml_node_t *key_node;
	yaml_node_pair_t *p;
	const char *key;
	size_t line;

	if (!root)
		return;
	if (root->type != YAML_MAPPING_NODE) {
		report(l, l->path, root->start_mark.line + 1, "expected a mapping of sections");
		return;
	}
	l->shortens_names = has_adapter(l, root);
	for (p = root->data.mapping.pairs.start; p < root->data.mapping.pairs.top; p++) {
		key_node = yaml_document_get_node(&l->doc, p->key);
		key = scalar(key_node);
		line = key_node->start_mark.line + 1;
		if (!key || !known_section(l, key))
			report_unknown(l, NULL, key ? key : "?", line);
		else if (is_duplicate_key(l, root, p))
			report(l, l->path, line, "%s: duplicate section", key);
		else
			load_section(l, key, yaml_document_get_node(&l->doc, p->value));
	}
}

static void report_syntax(struct loader *l, const yaml_parser_t *parser)
{
	report(l, l->path, parser->problem_mark.line + 1, "invalid YAML: %s",
	       parser->problem ? parser->problem : "unknown fault");
}

static void check_single_document(struct loader *l, yaml_parser_t *parser)
{
	yaml_document_t extra;

	if (!yaml_parser_load(parser, &extra)) {
		report_syntax(l, parser);
		return;
	}
	if (yaml_document_get_root_node(&extra))
		report(l, l->path, extra.start_mark.line + 1, "only one YAML document is allowed");
	yaml_document_delete(&extra);
}

/* Returns false when the file holds no YAML document that can be parsed. */
static bool load_document(struct loader *l, FILE *f)
{
	yaml_parser_t parser;
	bool loaded;

	if (!yaml_parser_initialize(&parser)) {
		report(l, l->path, 0, "out of memory");
		return false;
	}
	yaml_parser_set_input_file(&parser, f);
	loaded = yaml_parser_load(&parser, &l->doc);
	if (loaded) {
		load_root(l, yaml_document_get_root_node(&l->doc));
		yaml_document_delete(&l->doc);
		check_single_document(l, &parser);
	} else {
		report_syntax(l, &parser);
	}
	yaml_parser_delete(&parser);
	return loaded;
}

static void apply_defaults(struct loader *l)
{
	struct field *f;
	size_t i;

	for (i = 0; i < l->field_count; i++) {
		f = &l->fields[i];
		if (f->line)
			continue;
		if (f->required)
			report(l, l->path, 1, "%s.%s: missing; this key is required", f->section,
			       f->key);
		else
			set_field(l, f, f->default_text);
	}
}

static size_t key_line(const struct loader *l, const char *section, const char *key)
{
	const struct field *f = find_field(l, section, key);

	return f && f->line ? f->line : 1;
}

static void check_distinct(struct loader *l, const char *key, const char *addr,
			   const char *other_key, const char *other)
{
	struct sockaddr_storage a;
	socklen_t len;

	if (strcmp(addr, other) != 0 || !tlb_address_parse(addr, &a, &len) ||
	    tlb_address_port(&a) == 0)
		return;
	report(l, l->path, key_line(l, "listen", key),
	       "listen.%s: value \"%s\" is not allowed; expected an address different from "
	       "listen.%s",
	       key, addr, other_key);
}

/* Checks the address that is published in the VM row, to which the other daemons connect. */
static void check_reachable(struct loader *l, const struct tlb_settings *s)
{
	const char *key = s->peer_advertised[0] ? "peer_advertised" : "peer";
	const char *addr = s->peer_advertised[0] ? s->peer_advertised : s->peer_addr;

	if (tlb_address_is_wildcard(addr))
		report(l, l->path, key_line(l, "listen", key),
		       "listen.%s: value \"%s\" is not allowed; expected an address that other VMs "
		       "can connect to, here or in listen.peer_advertised",
		       key, addr);
	if (s->peer_advertised[0] && !tlb_address_valid(s->peer_advertised, 1))
		report(l, l->path, key_line(l, "listen", "peer_advertised"),
		       "listen.peer_advertised: value \"%s\" is not allowed; expected a port from "
		       "1 "
		       "to 65535",
		       s->peer_advertised);
}

static void check_present(struct loader *l, const char *section, const char *key, const char *value)
{
	if (!*value && !find_field(l, section, key)->line)
		report(l, l->path, 1, "%s.%s: missing; this key is required", section, key);
}

/* With an adapter, the secret shared by the daemons comes from the platform's store, not from a
 * file. */
static void check_adapter(struct loader *l, const struct tlb_settings *s)
{
	if (tlb_settings_uses_adapter(s))
		check_present(l, "listen", "ready", s->ready_addr);
	else
		check_present(l, "secrets", "file", s->secrets_file);
}

static void check_settings(struct loader *l, const struct tlb_settings *s)
{
	check_distinct(l, "operator", s->operator_addr, "caller", s->caller_addr);
	check_distinct(l, "peer", s->peer_addr, "caller", s->caller_addr);
	check_distinct(l, "peer", s->peer_addr, "operator", s->operator_addr);
	check_reachable(l, s);
	check_adapter(l, s);
	if (s->goodput_weight + s->waste_weight + s->worst_weight + s->refusal_weight <= 0)
		report(l, l->path, key_line(l, "policy", "goodput_weight"),
		       "policy: expected at least one weight above 0");
}

/* Resolves the name of the secrets file relative to the directory of the settings file. */
static void resolve_path(const char *settings_path, const char *name, char *out, size_t size)
{
	const char *slash = strrchr(settings_path, '/');

	if (name[0] == '/' || !slash)
		snprintf(out, size, "%s", name);
	else
		snprintf(out, size, "%.*s/%s", (int)(slash - settings_path), settings_path, name);
}

static bool key_id_used(const struct tlb_settings *s, int id)
{
	int i;

	for (i = 0; i < s->peer_key_count; i++)
		if (s->peer_keys[i].id == id)
			return true;
	return false;
}

static bool read_hex(const char *s, unsigned char *out, size_t size)
{
	size_t len = 0;

	return strlen(s) == 2 * size &&
	       sodium_hex2bin(out, size, s, strlen(s), NULL, &len, NULL) == 0 && len == size;
}

/* Parses "<id> <64 hex digits>". Returns an error message, or NULL. */
static const char *parse_peer_key(struct tlb_settings *s, const char *value)
{
	static const char expected[] =
		"peer_key: expected an id from 1 to 255 and 64 hexadecimal digits";
	struct tlb_peer_key key;
	int used = 0;

	if (sscanf(value, "%3d %n", &key.id, &used) != 1 || used == 0 || key.id < 1 || key.id > 255)
		return expected;
	if (!read_hex(value + used, key.secret, sizeof(key.secret)))
		return expected;
	if (s->peer_key_count == (int)(sizeof(s->peer_keys) / sizeof(s->peer_keys[0])))
		return "peer_key: at most two keys are allowed";
	if (key_id_used(s, key.id))
		return "peer_key: this id is used twice";
	s->peer_keys[s->peer_key_count++] = key;
	sodium_memzero(&key, sizeof(key));
	return NULL;
}

/* Parses "<64 hex digits>". Returns an error message, or NULL. */
static const char *parse_operator(struct tlb_settings *s, const char *value)
{
	if (s->has_bootstrap_operator)
		return "operator: duplicate key";
	if (!read_hex(value + strspn(value, " "), s->bootstrap_operator,
		      sizeof(s->bootstrap_operator)))
		return "operator: expected the SHA-256 hash of a credential as 64 hexadecimal "
		       "digits";
	s->has_bootstrap_operator = true;
	return NULL;
}

static const char *parse_secret_line(struct tlb_settings *s, const char *line)
{
	if (strncmp(line, "peer_key:", 9) == 0)
		return parse_peer_key(s, line + 9);
	if (strncmp(line, "operator:", 9) == 0)
		return parse_operator(s, line + 9);
	return "key is not allowed; expected one of peer_key, operator";
}

static void load_secret_lines(struct loader *l, struct tlb_settings *s, const char *path, FILE *f)
{
	char line[200];
	size_t number = 0;
	const char *problem;

	while (fgets(line, sizeof(line), f)) {
		number++;
		line[strcspn(line, "\r\n")] = '\0';
		if (line[0] == '\0' || line[0] == '#')
			continue;
		problem = parse_secret_line(s, line);
		if (problem)
			report(l, path, number, "%s", problem);
	}
	sodium_memzero(line, sizeof(line));
	if (s->peer_key_count == 0 && l->fault_count == 0)
		report(l, path, 1, "peer_key: missing; at least one is required");
}

static void load_secrets(struct loader *l, struct tlb_settings *s)
{
	size_t line = key_line(l, "secrets", "file");
	char path[2 * TLB_FILE_LEN];
	char text[VALUE_SHOWN_MAX + 1];
	struct stat st;
	FILE *f;
	int fd;

	resolve_path(l->path, s->secrets_file, path, sizeof(path));
	fd = open(path, O_RDONLY | O_CLOEXEC | O_NONBLOCK);
	f = fd >= 0 ? fdopen(fd, "r") : NULL;
	if (!f || fstat(fd, &st) != 0) {
		report(l, l->path, line,
		       "secrets.file: value \"%s\" is not allowed; expected %s (%s)",
		       printable_value(s->secrets_file, text), "a readable file", strerror(errno));
		if (f)
			fclose(f);
		else if (fd >= 0)
			close(fd);
		return;
	}
	if (!S_ISREG(st.st_mode) || (st.st_mode & (S_IRWXG | S_IRWXO)))
		report(l, l->path, line,
		       "secrets.file: value \"%s\" is not allowed; expected a regular file that "
		       "only its owner can read or write (mode 0600)",
		       printable_value(s->secrets_file, text));
	else
		load_secret_lines(l, s, path, f);
	fclose(f);
}

bool tlb_settings_uses_adapter(const struct tlb_settings *s)
{
	return strcmp(s->adapter, "rows") == 0;
}

#define TEXT(member) .text = (member), .size = sizeof(member)
#define INTEGER(member, low, high, text)                                                           \
	.kind = FIELD_INT, .integer = &(member), .min = (low), .max = (high), .default_text = (text)
#define WEIGHT(member)                                                                             \
	.kind = FIELD_NUMBER, .number = &(member), .min = 0, .max = 100, .default_text = "1.0"

static void load_settings(struct loader *l, struct tlb_settings *s, FILE *f)
{
	struct field fields[] = {
		{"vm", "id", FIELD_ID, true, NULL, TEXT(s->vm_id)},
		{"vm", "zone", FIELD_ID, true, NULL, TEXT(s->zone)},
		{"vm", "region", FIELD_ID, true, NULL, TEXT(s->region)},
		{"listen", "caller", FIELD_ADDR, true, NULL, TEXT(s->caller_addr)},
		{"listen", "operator", FIELD_ADDR, true, NULL, TEXT(s->operator_addr)},
		{"listen", "peer", FIELD_ADDR, true, NULL, TEXT(s->peer_addr)},
		{"listen", "peer_advertised", FIELD_ADDR, false, "", TEXT(s->peer_advertised)},
		{"listen", "ready", FIELD_ADDR, false, "", TEXT(s->ready_addr)},
		{"platform", "store_url", FIELD_URL, true, NULL, TEXT(s->store_url)},
		{"platform", "vmlist_url", FIELD_URL, false, "", TEXT(s->vmlist_url)},
		{"platform", "adapter", FIELD_CHOICE, false, "none", TEXT(s->adapter),
		 .choices = adapter_names},
		{"log", "file", FIELD_FILE, false, "-", TEXT(s->log_file)},
		{"log", "level", FIELD_CHOICE, false, "info", TEXT(s->log_level),
		 .choices = level_names},
		{"secrets", "file", FIELD_FILE, false, "", TEXT(s->secrets_file)},
		{"limits", "max_body_bytes", INTEGER(s->max_body_bytes, 1024, 1 << 26, "4194304")},
		{"limits", "max_connections", INTEGER(s->max_connections, 1, 100000, "2000")},
		{"limits", "request_memory_mb", INTEGER(s->request_memory_mb, 1, 65536, "48")},
		{"limits", "request_timeout_ms",
		 INTEGER(s->request_timeout_ms, 100, 600000, "10000")},
		{"limits", "drain_timeout_ms", INTEGER(s->drain_timeout_ms, 0, 3600000, "120000")},
		{"policy", "interactive_wait_ms",
		 INTEGER(s->interactive_wait_ms, 0, 600000, "4000")},
		{"policy", "batch_wait_ms", INTEGER(s->batch_wait_ms, 0, 3600000, "30000")},
		{"policy", "ttft_target_ms", INTEGER(s->ttft_target_ms, 1, 600000, "1200")},
		{"policy", "token_gap_target_ms", INTEGER(s->token_gap_target_ms, 1, 60000, "43")},
		{"policy", "goodput_weight", WEIGHT(s->goodput_weight)},
		{"policy", "waste_weight", WEIGHT(s->waste_weight)},
		{"policy", "worst_weight", WEIGHT(s->worst_weight)},
		{"policy", "refusal_weight", WEIGHT(s->refusal_weight)},
		{"policy", "zone_price_ms", INTEGER(s->zone_price_ms, 0, 1000, "0")},
		{"policy", "overload_control", INTEGER(s->overload_control, 0, 1, "0")},
		{"policy", "retry_ratio", FIELD_NUMBER, false, "0.2", .number = &s->retry_ratio,
		 .min = 0, .max = 10},
		{"policy", "retry_slack", FIELD_NUMBER, false, "50", .number = &s->retry_slack,
		 .min = 0, .max = 1000000},
		{"policy", "policy", FIELD_CHOICE, false, "toucanlb", TEXT(s->policy),
		 .choices = policy_names},
	};

	l->fields = fields;
	l->field_count = sizeof(fields) / sizeof(fields[0]);
	if (load_document(l, f)) {
		apply_defaults(l);
		check_settings(l, s);
	}
	if (s->secrets_file[0])
		load_secrets(l, s);
	l->fields = NULL;
}

int tlb_settings_load(struct tlb_settings *s, const char *path, FILE *faults)
{
	struct loader l = {.path = path, .faults = faults};
	FILE *f;

	memset(s, 0, sizeof(*s));
	f = fopen(path, "re");
	if (!f) {
		report(&l, path, 0, "can't be read: %s", strerror(errno));
		return l.fault_count;
	}
	load_settings(&l, s, f);
	fclose(f);
	if (l.fault_count > 0)
		sodium_memzero(s->peer_keys, sizeof(s->peer_keys));
	return l.fault_count;
}
