/*
 * Measures what one new configuration costs on the event loop: loads a configuration, and then one
 * that differs from it in some routes. Prints the processor time of the second one, in all and of
 * the longest round of the event loop, which other events wait for.
 *
 * Not measured: receiving the text, from the store or from another VM.
 *
 * Usage: config_load ROUTES CHANGED [ACCOUNTS]
 */
#include <apr_general.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "loop.h"
#include "quota.h"
#include "routing_load.h"

enum {
	TEXT_MAX = 8 << 20,
	ROUTES_PER_HOST = 20,
	BASE_TIMEOUT_MS = 1000,
	CHANGED_TIMEOUT_MS = 1001
};

struct measurement {
	double total_ms;
	double longest_ms;
};

struct table_in_force {
	struct tlb_routing *routing;
	struct tlb_quotas quotas;
};

static char text[TEXT_MAX];

static size_t write_route(char *out, size_t size, int i, int timeout_ms)
{
	int n = snprintf(out, size,
			 "%s{\"name\":\"route-%d\",\"hostname\":\"host%d.example\","
			 "\"prefix\":\"/part%d/items/\",\"kind\":\"idempotent\","
			 "\"service\":\"service-%d\",\"timeoutMs\":%d,\"targetLatencyMs\":400,"
			 "\"priority\":1,\"maxAttempts\":3}",
			 i ? "," : "", i, i / ROUTES_PER_HOST, i, i % 8, timeout_ms);

	return (size_t)n;
}

static size_t write_account(char *out, size_t size, int i)
{
	int n = snprintf(out, size,
			 "%s{\"name\":\"account-%d\",\"apiKeys\":[\"key-%d\"],\"ratePerS\":100,"
			 "\"burst\":200}",
			 i ? "," : "", i, i);

	return (size_t)n;
}

/* Returns the length, or 0 when the text does not fit. */
static size_t write_config(int version, int routes, int changed, int accounts)
{
	size_t len = (size_t)snprintf(text, sizeof(text), "{\"version\":%d,\"tenants\":[", version);
	int i;

	for (i = 0; i < accounts && len < sizeof(text); i++)
		len += write_account(text + len, sizeof(text) - len, i);
	if (len < sizeof(text))
		len += (size_t)snprintf(text + len, sizeof(text) - len, "],\"routes\":[");
	for (i = 0; i < routes && len < sizeof(text); i++)
		len += write_route(text + len, sizeof(text) - len, i,
				   i < changed ? CHANGED_TIMEOUT_MS : BASE_TIMEOUT_MS);
	if (len < sizeof(text))
		len += (size_t)snprintf(text + len, sizeof(text) - len, "]}");
	return len < sizeof(text) ? len : 0;
}

static double processor_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
	return (double)t.tv_sec * 1e3 + (double)t.tv_nsec / 1e6;
}

static void add_round(struct measurement *m, double started_at)
{
	double ms = processor_ms() - started_at;

	m->total_ms += ms;
	if (ms > m->longest_ms)
		m->longest_ms = ms;
}

/* As in the daemon. */
static void on_loaded(void *arg, struct tlb_routing *r, const struct tlb_error *err)
{
	struct table_in_force *t = arg;

	if (!r) {
		fprintf(stderr, "%s\n", err->message);
		exit(EXIT_FAILURE);
	}
	tlb_routing_release(t->routing);
	t->routing = r;
	tlb_quotas_configure(&t->quotas, r, tlb_clock_now());
}

static struct measurement load(struct tlb_loop *loop, struct tlb_routing_load *l,
			       const struct table_in_force *t, size_t len, int version)
{
	struct measurement m = {0};
	double start = processor_ms();

	tlb_routing_load_start(l, text, len, "bench", false);
	add_round(&m, start);
	while (t->routing->version != version) {
		start = processor_ms();
		tlb_loop_once(loop, TLB_NEVER);
		add_round(&m, start);
	}
	return m;
}

static int run(int routes, int changed, int accounts)
{
	struct table_in_force t = {.routing = tlb_routing_new()};
	struct tlb_routing_load l;
	struct tlb_loop loop;
	struct measurement m;
	size_t len = write_config(1, routes, 0, accounts);

	if (len == 0 || !t.routing || tlb_loop_init(&loop) != APR_SUCCESS)
		return EXIT_FAILURE;
	tlb_quotas_init(&t.quotas);
	tlb_routing_load_init(&l, &loop, &t.routing, on_loaded, &t);
	load(&loop, &l, &t, len, 1);
	len = write_config(2, routes, changed, accounts);
	m = load(&loop, &l, &t, len, 2);
	printf("routes=%d changed=%d accounts=%d bytes=%zu total_ms=%.2f longest_ms=%.2f\n", routes,
	       changed, accounts, len, m.total_ms, m.longest_ms);
	tlb_routing_load_finish(&l);
	tlb_routing_release(t.routing);
	tlb_quotas_finish(&t.quotas);
	tlb_loop_finish(&loop);
	return EXIT_SUCCESS;
}

int main(int argc, char **argv)
{
	int routes = argc > 2 ? atoi(argv[1]) : 0;
	int changed = argc > 2 ? atoi(argv[2]) : 0;
	int accounts = argc > 3 ? atoi(argv[3]) : 0;

	if (routes < 1 || changed < 0 || changed > routes || accounts < 0) {
		fprintf(stderr, "usage: config_load ROUTES CHANGED [ACCOUNTS]\n");
		return EXIT_FAILURE;
	}
	if (sodium_init() < 0 || apr_initialize() != APR_SUCCESS)
		return EXIT_FAILURE;
	return run(routes, changed, accounts);
}
