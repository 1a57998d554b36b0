/* Entry point of toucanlb, the operators' command-line tool: options and dispatch. */
#include <argp.h>
#include <curl/curl.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "command.h"

enum { ARGS_MAX = 64 };

/* Keys of options without a short form. */
enum { OPTION_REPLACE = 0x100, OPTION_KEY_FILE };

const char *argp_program_version = "toucanlb 1";

/* The parsed command line. */
struct line {
	const struct tlb_command *command;
	struct tlb_options options;
	char *args[ARGS_MAX];
	int count;
};

static const struct argp_option output_options[] = {
	{"json", 'j', NULL, 0, "Print one JSON document", 0},
	{0},
};

static const struct argp_option remote_options[] = {
	{"operator", 'o', "IP:PORT[,IP:PORT...]", 0,
	 "Operator listeners, asked in turn (or TOUCANLB_OPERATORS)", 0},
	{"credential-file", 'c', "FILE", 0,
	 "File with the operator's credential (or TOUCANLB_CREDENTIAL_FILE)", 0},
	{0},
};

static const struct argp_option change_options[] = {
	{"summary", 's', "TEXT", 0, "What the change is for; shown to whoever loses against it", 0},
	{"dry-run", 'n', NULL, 0, "Only check the change", 0},
	{0},
};

static const struct argp_option wait_options[] = {
	{"wait", 'w', NULL, 0, "Wait until the version is in force on every VM (up to 10 s)", 0},
	{0},
};

static const struct argp_option replace_options[] = {
	{"replace", OPTION_REPLACE, NULL, 0, "Remove the rows that are not in the file", 0},
	{0},
};

static const struct argp_option key_options[] = {
	{"key-file", OPTION_KEY_FILE, "FILE", 0, "Take the key from a file instead of making one",
	 0},
	{0},
};

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct tlb_options *o = state->input;

	switch (key) {
	case 'o':
		o->operators = arg;
		return 0;
	case 'c':
		o->credential_file = arg;
		return 0;
	case 'j':
		o->json = true;
		return 0;
	case 's':
		o->summary = arg;
		return 0;
	case 'n':
		o->dry_run = true;
		return 0;
	case 'w':
		o->wait = true;
		return 0;
	case OPTION_REPLACE:
		o->replace = true;
		return 0;
	case OPTION_KEY_FILE:
		o->key_file = arg;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

/* Each group of options has its own parser, so that a command's --help lists only the options that
 * it accepts. */
static const struct {
	int group;
	struct argp argp;
} option_groups[] = {
	{0, {output_options, parse_option, NULL, NULL, NULL, NULL, NULL}},
	{TLB_OPTIONS_REMOTE, {remote_options, parse_option, NULL, NULL, NULL, NULL, NULL}},
	{TLB_OPTIONS_CHANGE, {change_options, parse_option, NULL, NULL, NULL, NULL, NULL}},
	{TLB_OPTIONS_WAIT, {wait_options, parse_option, NULL, NULL, NULL, NULL, NULL}},
	{TLB_OPTIONS_REPLACE, {replace_options, parse_option, NULL, NULL, NULL, NULL, NULL}},
	{TLB_OPTIONS_KEY, {key_options, parse_option, NULL, NULL, NULL, NULL, NULL}},
};

enum { OPTION_GROUP_COUNT = sizeof(option_groups) / sizeof(option_groups[0]) };

static error_t parse_command_arg(int key, char *arg, struct argp_state *state)
{
	struct line *l = state->input;
	int i;

	switch (key) {
	case ARGP_KEY_INIT:
		for (i = 0; i < OPTION_GROUP_COUNT; i++)
			state->child_inputs[i] = &l->options;
		return 0;
	case ARGP_KEY_ARG:
		if (l->count == l->command->max_args || l->count == ARGS_MAX)
			argp_error(state, "too many arguments");
		else
			l->args[l->count++] = arg;
		return 0;
	case ARGP_KEY_END:
		if (l->count < l->command->min_args)
			argp_error(state, "too few arguments");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

/* Parses the arguments that follow the command; argv[0] is the command's name and is replaced by
 * "toucanlb <name>" for messages. */
static void parse_command(struct line *l, int argc, char **argv)
{
	struct argp_child children[OPTION_GROUP_COUNT + 1] = {{0}};
	struct argp argp = {
		.parser = parse_command_arg,
		.args_doc = l->command->args_doc,
		.doc = l->command->doc,
		.children = children,
	};
	static char name[64];
	int n = 0;
	int i;

	for (i = 0; i < OPTION_GROUP_COUNT; i++)
		if (option_groups[i].group == 0 || (l->command->options & option_groups[i].group))
			children[n++].argp = &option_groups[i].argp;
	snprintf(name, sizeof(name), "toucanlb %s", l->command->name);
	argv[0] = name;
	argp_parse(&argp, argc, argv, 0, NULL, l);
}

static error_t parse_main_arg(int key, char *arg, struct argp_state *state)
{
	struct line *l = state->input;

	switch (key) {
	case ARGP_KEY_INIT:
		state->child_inputs[0] = &l->options;
		state->child_inputs[1] = &l->options;
		return 0;
	case ARGP_KEY_ARG:
		l->command = tlb_command_find(arg);
		if (!l->command) {
			argp_error(state, "there is no command \"%s\"", arg);
			return 0;
		}
		parse_command(l, state->argc - state->next + 1, state->argv + state->next - 1);
		state->next = state->argc;
		return 0;
	case ARGP_KEY_NO_ARGS:
		argp_error(state, "a command is missing");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

/* Returns the text of the main --help, which lists the commands. malloc'd; NULL when out of memory.
 */
static char *format_help(void)
{
	const struct tlb_command *c;
	char *text = NULL;
	size_t len = 0;
	FILE *f = open_memstream(&text, &len);

	if (!f)
		return NULL;
	fputs("Operate toucanlb through the operator listeners of its daemons.\vCommands:\n\n", f);
	for (c = tlb_commands; c->name; c++)
		fprintf(f, "  %s %s\n        %s\n", c->name, c->args_doc, c->doc);
	fputs("\nEach command has its own --help.\n\nExit codes: 0 done; 1 refused, or a check "
	      "failed; 2 wrong usage; 3 no listener gave a usable answer, and a change may have "
	      "taken effect; 4 another change won.\n",
	      f);
	fclose(f);
	return text;
}

static void parse_main(struct line *l, int argc, char **argv)
{
	struct argp_child children[] = {
		{&option_groups[0].argp, 0, NULL, 0}, {&option_groups[1].argp, 0, NULL, 0}, {0}};
	char *doc = format_help();
	struct argp argp = {
		.parser = parse_main_arg,
		.args_doc = "COMMAND [ARGUMENT...]",
		.doc = doc,
		.children = children,
	};

	argp_parse(&argp, argc, argv, ARGP_IN_ORDER, NULL, l);
	free(doc);
}

int main(int argc, char **argv)
{
	struct line l = {0};
	enum tlb_exit code;

	argp_err_exit_status = TLB_EXIT_USAGE;
	if (sodium_init() < 0 || curl_global_init(CURL_GLOBAL_DEFAULT) != CURLE_OK) {
		fputs("toucanlb: libsodium or libcurl could not start\n", stderr);
		return TLB_EXIT_REFUSED;
	}
	parse_main(&l, argc, argv);
	code = l.command->run(&l.options, l.args, l.count);
	curl_global_cleanup();
	if (fflush(stdout) != 0) {
		perror("toucanlb: standard output");
		return TLB_EXIT_REFUSED;
	}
	return code;
}
