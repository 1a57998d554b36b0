/* Entry point of toucanlbd: options, settings, log, then the daemon. */
#include <apr_general.h>
#include <argp.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>

#include "daemon.h"
#include "edge.h"
#include "log.h"
#include "signals.h"

/* Exit codes, documented in man/toucanlbd.8. */
enum { EXIT_START = 1, EXIT_SETTINGS = 2 };

static char doc[] =
	"toucanlbd -- the daemon of the toucanlb router"
	"\vSIGTERM ends it gracefully: requests in flight are completed. SIGHUP reloads "
	"the peer keys of the secrets file.";
static char args_doc[] = "SETTINGS";

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	const char **settings = state->input;

	switch (key) {
	case ARGP_KEY_ARG:
		if (state->arg_num > 0)
			argp_usage(state);
		*settings = arg;
		return 0;
	case ARGP_KEY_NO_ARGS:
		argp_usage(state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static int run_daemon(struct tlb_daemon *d)
{
	struct tlb_error err;

	if (tlb_daemon_init(d, &err) != TLB_OK) {
		fprintf(stderr, "toucanlbd: %s\n", err.message);
		return EXIT_START;
	}
	printf("ready caller=%s operator=%s\n", d->caller_listener.addr,
	       d->operator_listener.listener.addr);
	fflush(stdout);
	tlb_daemon_run(d);
	tlb_daemon_finish(d);
	return EXIT_SUCCESS;
}

static int run_edge(struct tlb_edge *e)
{
	struct tlb_error err;

	if (tlb_edge_init(e, &err) != TLB_OK) {
		tlb_log_error("event=edge_start_failed step=%s peer=%s reason=\"%s\"", err.step,
			      err.peer, err.message);
		return EXIT_START;
	}
	tlb_edge_run(e);
	tlb_edge_finish(e);
	return EXIT_SUCCESS;
}

/* The two structs are large and only one daemon runs, so they share memory. */
static int run_configured(const struct tlb_settings *s, const char *path)
{
	static union {
		struct tlb_daemon daemon;
		struct tlb_edge edge;
	} u;

	if (tlb_settings_uses_adapter(s)) {
		u.edge.settings = *s;
		u.edge.settings_path = path;
		return run_edge(&u.edge);
	}
	u.daemon.settings = *s;
	u.daemon.settings_path = path;
	return run_daemon(&u.daemon);
}

int main(int argc, char **argv)
{
	static struct tlb_settings s;
	const char *settings = NULL;
	struct argp argp = {.parser = parse_option, .doc = doc, .args_doc = args_doc};
	int rc;

	tlb_signals_hold_reload();
	argp_err_exit_status = EXIT_SETTINGS;
	argp_parse(&argp, argc, argv, 0, NULL, &settings);
	if (apr_initialize() != APR_SUCCESS || sodium_init() < 0)
		return EXIT_START;
	if (tlb_settings_load(&s, settings, stderr) != 0)
		return EXIT_SETTINGS;
	if (tlb_log_init(s.log_file, s.log_level) != 0) {
		fprintf(stderr, "toucanlbd: can't open the log file %s\n", s.log_file);
		return EXIT_START;
	}
	rc = run_configured(&s, settings);
	tlb_log_finish();
	apr_terminate();
	return rc;
}
