/* The commands of the operators' tool. Each talks to an operator listener, but for "check". */
#ifndef TLB_COMMAND_H
#define TLB_COMMAND_H

#include <stdbool.h>
#include <stddef.h>

/* Exit codes of the tool. */
enum tlb_exit {
	TLB_EXIT_OK,
	TLB_EXIT_REFUSED,     /* refused, a check failed, or not yet in force everywhere */
	TLB_EXIT_USAGE,	      /* wrong arguments or options */
	TLB_EXIT_UNREACHABLE, /* no listener gave a usable answer; a change may have taken effect */
	TLB_EXIT_CONFLICT,    /* another change won */
};

/* Options of a command line; strings are borrowed. */
struct tlb_options {
	const char *operators;	     /* NULL: TOUCANLB_OPERATORS */
	const char *credential_file; /* NULL: TOUCANLB_CREDENTIAL_FILE */
	const char *summary;	     /* NULL: made from the command */
	const char *key_file;	     /* NULL: a key is generated */
	bool json;
	bool dry_run;
	bool wait;
	bool replace;
};

/* Groups of options that a command takes, besides --json. */
enum {
	TLB_OPTIONS_REMOTE = 1, /* --operator, --credential-file */
	TLB_OPTIONS_CHANGE = 2, /* --summary, --dry-run, --wait */
	TLB_OPTIONS_REPLACE = 4,
	TLB_OPTIONS_KEY = 8,
	TLB_OPTIONS_WAIT = 16, /* --wait alone */
};

struct tlb_command {
	const char *name;
	const char *args_doc;
	const char *doc;
	int min_args;
	int max_args;
	int options; /* groups */
	enum tlb_exit (*run)(const struct tlb_options *o, char **args, int count);
};

/* The commands; the list ends with a name of NULL. */
extern const struct tlb_command tlb_commands[];
/* The command with a name, or NULL. */
const struct tlb_command *tlb_command_find(const char *name);

#endif
