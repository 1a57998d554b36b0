/*
 * The operators' HTTP listener. GET /healthz, /readyz and /metrics need no credential; everything
 * under /v1/ needs "Authorization: Bearer <credential>" with the credential of an operator row in
 * state "granted" or, while the table holds none, of the first operator in the secrets file.
 *
 *   GET  /v1/table[?kind=K[&id=I]]
 *                                {"version","rows":[{"key","value"}]}
 *   GET  /v1/table.csv?kind=K    the rows of a kind (csv.h)
 *   POST /v1/change              {"change_id","base_version","summary","rows":[{"key","value"}]}
 *                                -> 200 {"version","warnings"}, 400 {"error","faults","warnings"},
 *                                409 {"error","winner","since"}
 *   POST /v1/check               the same body; validates it without changing the table
 *   GET  /v1/status, /v1/requests, /v1/endpoints, /v1/accounts
 *   GET  /v1/force?version=N     {"version","everywhere","vms":[{"vm","version"}]}; "everywhere"
 *                                is null while the versions on the other VMs are not known
 *
 * "GET /v1/table" without kind returns all rows. Errors are {"error":{"code","message","outcome"}}.
 */
#ifndef TLB_OPERATOR_H
#define TLB_OPERATOR_H

#include "change.h"
#include "listener.h"
#include "settings.h"

enum {
	TLB_OPERATOR_BODY_MAX = 6 << 20, /* bytes; 11,000 keys in one import take about 3 MB */
	TLB_OPERATOR_CONNECTIONS = 64,
	TLB_OPERATOR_REQUEST_MS = 10000, /* time limit of one request */
	TLB_OPERATOR_ROWS_MAX = 25000,	 /* rows in one change */
};

/* Callbacks that supply the state of other modules; copied by tlb_operator_init(). Any may be NULL.
 * Those that return JSON return a new reference, or NULL when out of memory. */
struct tlb_operator_callbacks {
	void *arg;
	/* Members of GET /v1/status: {"incarnation","session_valid","shards",...}. */
	json_t *(*status)(void *arg);
	/* GET /v1/requests: array of requests in flight. */
	json_t *(*requests)(void *arg);
	/* GET /v1/endpoints and /v1/accounts: arrays. A NULL callback stands for the rows of the
	 * table. */
	json_t *(*endpoints)(void *arg);
	json_t *(*accounts)(void *arg);
	/* The other VMs: [{"vm","version",...}] with the configuration in force on each. */
	json_t *(*peers)(void *arg);
	/* Whether callers' requests are served; if not, *reason is set to a static string. */
	bool (*ready)(void *arg, const char **reason);
	/* Updates the counters that are kept elsewhere, before GET /metrics renders them. */
	void (*refresh_counters)(void *arg);
};

/* Allocated by the caller; pointers are borrowed. */
struct tlb_operator_listener {
	struct tlb_listener listener;
	struct tlb_config *config;
	struct tlb_changes *changes;
	struct tlb_counters *counters;
	const struct tlb_settings *settings;
	struct tlb_operator_callbacks callbacks;
};

/* Binds settings->operator_addr and starts serving. config, changes, counters and settings are
 * borrowed. Returns TLB_OK or the error in err. */
enum tlb_code tlb_operator_init(struct tlb_operator_listener *o, struct tlb_loop *l,
				struct tlb_config *config, struct tlb_changes *changes,
				struct tlb_counters *counters, const struct tlb_settings *settings,
				const struct tlb_operator_callbacks *source, struct tlb_error *err);
/* Call before tlb_changes_finish(). */
void tlb_operator_finish(struct tlb_operator_listener *o);

#endif
