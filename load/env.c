#include "env.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Returns a copy of the value if the line sets this name, otherwise NULL. */
static char *parse_value(const char *line, const char *name)
{
	size_t n = strlen(name);
	const char *end;

	if (strncmp(line, name, n) != 0 || strncmp(line + n, "=\"", 2) != 0)
		return NULL;
	line += n + 2;
	end = strchr(line, '"');
	return end ? strndup(line, (size_t)(end - line)) : NULL;
}

static void set_field(char **field, const char *line, const char *name)
{
	char *value = parse_value(line, name);

	if (!value)
		return;
	free(*field);
	*field = value;
}

/* Splits a space-separated list of addresses into out; ignores those beyond LOAD_VMS_MAX. */
static void set_list(char **out, int *count, const char *line, const char *name)
{
	char *list = parse_value(line, name);
	char *rest = NULL;
	char *word;

	if (!list)
		return;
	for (word = strtok_r(list, " ", &rest); word && *count < LOAD_VMS_MAX;
	     word = strtok_r(NULL, " ", &rest))
		out[(*count)++] = strdup(word);
	free(list);
}

bool load_env_read(struct load_env *e, const char *path)
{
	FILE *f = fopen(path, "r");
	char *line = NULL;
	size_t cap = 0;

	memset(e, 0, sizeof(*e));
	if (!f) {
		fprintf(stderr, "toucanlb-load: cannot read %s\n", path);
		return false;
	}
	while (getline(&line, &cap, f) >= 0) {
		set_list(e->caller, &e->vms, line, "CALLER_ADDRS");
		set_list(e->operator, & e->operators, line, "OPERATOR_ADDRS");
		set_field(&e->key, line, "KEY");
		set_field(&e->model, line, "MODEL");
		set_field(&e->service_path, line, "SERVICE_PATH");
		set_field(&e->paid_path, line, "PAID_PATH");
	}
	free(line);
	fclose(f);
	if (e->vms > 0 && e->key && e->model && e->service_path && e->paid_path)
		return true;
	fprintf(stderr,
		"toucanlb-load: %s must set CALLER_ADDRS, KEY, MODEL, SERVICE_PATH and PAID_PATH\n",
		path);
	return false;
}

void load_env_finish(struct load_env *e)
{
	int i;

	for (i = 0; i < e->vms; i++)
		free(e->caller[i]);
	for (i = 0; i < e->operators; i++)
		free(e->operator[i]);
	free(e->key);
	free(e->model);
	free(e->service_path);
	free(e->paid_path);
}
