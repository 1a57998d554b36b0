/* The addresses and keys of a fleet, read from the fleet.env file that scripts/fleet writes. */
#ifndef LOAD_ENV_H
#define LOAD_ENV_H

#include <stdbool.h>

enum { LOAD_VMS_MAX = 64 };

/* Owns its strings. */
struct load_env {
	char *caller[LOAD_VMS_MAX]; /* host:port of each VM's caller listener */
	int vms;
	char *operator[LOAD_VMS_MAX]; /* host:port of each VM's operator listener; may be empty */
	int operators;
	char *key; /* API key of account 1 */
	char *model;
	char *service_path;
	char *paid_path;
};

/* Reads NAME="value" lines. On failure prints an error to standard error and returns false; the
 * caller calls load_env_finish in either case. */
bool load_env_read(struct load_env *e, const char *path);
void load_env_finish(struct load_env *e);

#endif
