/* Entry point of toucanlbd: settings, start, the loop, and the graceful shutdown. */
#include <apr_general.h>
#include <argp.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include "board.h"
#include "caller.h"
#include "log.h"

#define CONFIG_INTERVAL (2 * TLB_SECOND)
#define CONFIG_TIMEOUT (2 * TLB_SECOND)

struct daemon {
	struct tlb_settings settings;
	struct tlb_loop loop;
	struct tlb_http http;
	struct tlb_store store;
	struct tlb_store_op config_op;
	struct tlb_timer config_timer;
	struct tlb_table tables[2];
	int current;
	struct tlb_front front;
	struct tlb_board board;
	int signal_fd;
	struct tlb_watch *signal_watch;
};

static void add_row(struct tlb_table *t, const json_t *row)
{
	const char *key = json_string_value(json_object_get(row, "key"));
	enum tlb_row_kind kind;
	const char *id;
	struct tlb_error err;

	if (!key || !tlb_table_split_key(key, &kind, &id))
		return;
	if (tlb_table_add(t, kind, id, json_object_get(row, "value"), &err) != TLB_OK)
		tlb_log_error("event=config_row_refused reason=\"%s\"", err.message);
}

static void use_table(struct daemon *d, json_t *rows)
{
	struct tlb_table *t = &d->tables[!d->current];
	const json_t *row;
	size_t i;

	tlb_table_finish(t);
	tlb_table_init(t);
	json_array_foreach (rows, i, row) {
		add_row(t, row);
	}
	t->version = 1;
	d->current = !d->current;
	d->board.table = t;
	tlb_load_sync(&d->board.load);
	tlb_limit_sync(&d->board.limit);
	tlb_pools_sync(&d->board.pools);
}

static void on_config(void *arg, enum tlb_store_status status, json_t *body,
		      const struct tlb_error *err)
{
	struct daemon *d = arg;

	if (status == TLB_STORE_OK && d->board.table->version == 0)
		use_table(d, json_object_get(body, "rows"));
	tlb_timer_set(&d->loop, &d->config_timer, tlb_clock_now() + CONFIG_INTERVAL);
}

static void ask_config(void *arg)
{
	struct daemon *d = arg;

	tlb_store_rows(&d->store, &d->config_op, "config/", tlb_clock_now() + CONFIG_TIMEOUT,
		       on_config, d);
}

static void on_signal(void *arg, int events)
{
	struct daemon *d = arg;
	struct signalfd_siginfo info;

	if (read(d->signal_fd, &info, sizeof(info)) == sizeof(info))
		tlb_loop_stop(&d->loop);
}

static void init_board(struct daemon *d)
{
	struct tlb_board *b = &d->board;
	enum tlb_policy policy = TLB_POLICY_TOUCANLB;
	uint64_t seed;

	b->settings = &d->settings;
	b->loop = &d->loop;
	b->http = &d->http;
	b->store = &d->store;
	b->table = &d->tables[0];
	randombytes_buf(&seed, sizeof(seed));
	tlb_policy_parse(d->settings.policy, &policy);
	tlb_place_init(&b->place, policy, d->settings.zone, seed);
	snprintf(b->owner, sizeof(b->owner), "%s/%016llx", d->settings.vm_id,
		 (unsigned long long)seed);
	tlb_load_init(&b->load, b);
	tlb_limit_init(&b->limit, b);
	tlb_bookings_init(&b->bookings, b);
	tlb_pools_init(&b->pools, b);
	tlb_requests_init(&b->requests, b);
	tlb_services_init(&b->services, b);
	tlb_bookings_start(&b->bookings);
}

static int start_front(struct daemon *d)
{
	struct tlb_front_limits limits = {
		.max_body_bytes = (size_t)d->settings.max_body_bytes,
		.max_connections = (unsigned)d->settings.max_connections,
		.request_timeout_ms = d->settings.request_timeout_ms,
	};
	struct tlb_error err;

	if (tlb_front_init(&d->front, &d->loop, d->settings.caller_addr, d->settings.vm_id, &limits,
			   tlb_caller_take, &d->board, &err) == TLB_OK)
		return 0;
	fprintf(stderr, "toucanlbd: %s\n", err.message);
	return -1;
}

static void watch_signals(struct daemon *d)
{
	sigset_t set;

	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	sigprocmask(SIG_BLOCK, &set, NULL);
	signal(SIGPIPE, SIG_IGN);
	d->signal_fd = signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
	d->signal_watch = tlb_loop_watch(&d->loop, d->signal_fd, TLB_READABLE, on_signal, d);
}

static int run(struct daemon *d)
{
	tlb_table_init(&d->tables[0]);
	tlb_table_init(&d->tables[1]);
	tlb_loop_init(&d->loop);
	tlb_http_init(&d->http, &d->loop);
	tlb_store_init(&d->store, &d->http, d->settings.store_url);
	watch_signals(d);
	init_board(d);
	if (start_front(d) != 0)
		return EXIT_FAILURE;
	tlb_timer_init(&d->config_timer, ask_config, d);
	ask_config(d);
	printf("ready caller=%s\n", d->front.addr);
	fflush(stdout);
	tlb_loop_run(&d->loop);
	return EXIT_SUCCESS;
}

int main(int argc, char **argv)
{
	static struct daemon d;

	if (argc != 2) {
		fprintf(stderr, "usage: toucanlbd SETTINGS\n");
		return EXIT_FAILURE;
	}
	if (apr_initialize() != APR_SUCCESS || sodium_init() < 0)
		return EXIT_FAILURE;
	if (tlb_settings_load(&d.settings, argv[1], stderr) != 0)
		return EXIT_FAILURE;
	if (tlb_log_init(d.settings.log_file, d.settings.log_level) != 0) {
		fprintf(stderr, "toucanlbd: can't open the log %s\n", d.settings.log_file);
		return EXIT_FAILURE;
	}
	return run(&d);
}
