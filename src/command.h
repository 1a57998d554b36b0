/* The commands of toucanlb, the operators' command-line tool. All except "check" call an operator
 * listener (operator.h) over HTTP. */
#ifndef TLB_COMMAND_H
#define TLB_COMMAND_H

#include <stdbool.h>
#include <stddef.h>

/* Exit codes of the tool. */
enum tlb_exit {
	TLB_EXIT_OK,
	TLB_EXIT_REFUSED, /* rejected, a check failed, or the version is not in force on all VMs */
	TLB_EXIT_USAGE,	  /* wrong arguments or options */
	TLB_EXIT_UNREACHABLE, /* no usable response; a change may have taken effect */
	TLB_EXIT_CONFLICT,    /* a concurrent change was committed first */
};

/* Parsed options; strings are borrowed. */
struct tlb_options {
	const char *operators;	     /* NULL: environment variable TOUCANLB_OPERATORS */
	const char *credential_file; /* NULL: environment variable TOUCANLB_CREDENTIAL_FILE */
	const char *summary;	     /* NULL: generated from the command's arguments */
	const char *key_file;	     /* NULL: a key is generated */
	bool json;
	bool dry_run;
	bool wait;
	bool replace;
};

/* Bit flags: groups of options that a command accepts in addition to --json. */
enum {
	TLB_OPTIONS_REMOTE = 1,	 /* --operator, --credential-file */
	TLB_OPTIONS_CHANGE = 2,	 /* --summary, --dry-run */
	TLB_OPTIONS_REPLACE = 4, /* --replace */
	TLB_OPTIONS_KEY = 8,	 /* --key-file */
	TLB_OPTIONS_WAIT = 16,	 /* --wait */
};

struct tlb_command {
	const char *name;
	const char *args_doc;
	const char *doc;
	int min_args;
	int max_args;
	int options; /* TLB_OPTIONS_... bits */
	enum tlb_exit (*run)(const struct tlb_options *o, char **args, int count);
};

/* All commands, terminated by an entry whose name is NULL. */
extern const struct tlb_command tlb_commands[];
/* Returns the command with the given name, or NULL. */
const struct tlb_command *tlb_command_find(const char *name);

#endif
