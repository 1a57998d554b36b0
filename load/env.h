/* The addresses and keys of a fleet, read from the fleet.env that scripts/fleet writes. */
#ifndef LOAD_ENV_H
#define LOAD_ENV_H

#include <stdbool.h>

enum { LOAD_VMS_MAX = 64 };

/* Owns its strings. */
struct load_env {
	char *caller[LOAD_VMS_MAX]; /* host:port of each VM's caller listener */
	int vms;
	char *
	operator[LOAD_VMS_MAX]; /* host:port of each VM's operator listener, when it has one */
	int operators;
	char *key;
	char *model;
	char *service_path;
	char *paid_path;
};

/* Reads NAME="value" lines. On failure prints what is missing and returns false. */
bool load_env_read(struct load_env *e, const char *path);
void load_env_finish(struct load_env *e);

#endif
