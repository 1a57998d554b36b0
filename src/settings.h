/*
 * Settings of one daemon, read from a YAML file and validated completely against a schema before
 * anything starts. One run reports all errors, each with file, line, key, value and the allowed
 * range. Unknown keys are errors.
 */
#ifndef TLB_SETTINGS_H
#define TLB_SETTINGS_H

#include <stdbool.h>
#include <stdio.h>

#include "table.h"

enum { TLB_URL_LEN = 128, TLB_FILE_LEN = 256, TLB_SECRET_LEN = 32 };

/* A key that authenticates frames between daemons; id 1 to 255. */
struct tlb_peer_key {
	int id;
	unsigned char secret[TLB_SECRET_LEN];
};

/* Caller-owned, no pointers. */
struct tlb_settings {
	/* vm: */
	char vm_id[TLB_ID_LEN];
	char zone[TLB_ID_LEN];
	char region[TLB_ID_LEN];
	/* listen: IP:PORT; port 0 lets the system choose a free port */
	char caller_addr[TLB_ADDR_LEN];
	char operator_addr[TLB_ADDR_LEN];
	char peer_addr[TLB_ADDR_LEN];
	char peer_advertised[TLB_ADDR_LEN]; /* the address other VMs connect to; "": peer_addr */
	char ready_addr[TLB_ADDR_LEN];	    /* load balancer's readiness checks; "": no adapter */
	/* platform: base URLs, "http://127.0.0.1:7000" */
	char store_url[TLB_URL_LEN];
	char vmlist_url[TLB_URL_LEN]; /* "" when the platform has none */
	/* "none" (default): the platform implements the protocols of docs/design.md, section 7;
	 * "rows": it implements the protocol in platform/ */
	char adapter[8];
	/* log: */
	char log_file[TLB_FILE_LEN]; /* "-" is standard error */
	char log_level[16];
	/* secrets: file with the peer keys, one "peer_key: <id> <64 hex digits>" a line; the first
	 * key signs frames, and frames signed with either key are accepted */
	char secrets_file[TLB_FILE_LEN];
	struct tlb_peer_key peer_keys[2];
	int peer_key_count;
	/* The secrets file may also hold one "operator: <64 hex digits>", the SHA-256 hash of a
	 * credential that is accepted only while the configuration table has no granted operator */
	bool has_bootstrap_operator;
	unsigned char bootstrap_operator[TLB_KEY_HASH_LEN];
	/* limits: on requests and connections of callers */
	int max_body_bytes;	/* default 4194304 */
	int max_connections;	/* default 2000 */
	int request_memory_mb;	/* for what requests in flight hold, default 48; also at most half
				 * of the VM's memory */
	int request_timeout_ms; /* time a caller has to send a complete request, default 10000 */
	int drain_timeout_ms;	/* longest graceful shutdown, default 120000 */
	/* policy: */
	int interactive_wait_ms; /* longest wait for tokens and a free endpoint, default 4000 */
	int batch_wait_ms;	 /* default 30000 */
	int ttft_target_ms;	 /* default 1200 */
	int token_gap_target_ms; /* default 43 */
	double goodput_weight;	 /* weights of the four scoring measures, default 1.0 each */
	double waste_weight;
	double worst_weight;
	double refusal_weight;
	/* Retry budget of one service, shared by all VMs: a fraction of its requests plus a fixed
	 * number of retries, per accounting window of the platform */
	double retry_ratio;   /* default 0.2 */
	double retry_slack;   /* default 50 */
	int zone_price_ms;    /* time by which calls must be faster in another zone; 0: any zone */
	int overload_control; /* 1: overload control of plain services; default 0 */
	char policy[24];      /* "toucanlb" (default), "round_robin", "least_load" */
};

/* Whether an adapter translates the platform's own protocol (module edge). */
bool tlb_settings_uses_adapter(const struct tlb_settings *s);

/* Reads and validates a file. Writes one line per error to faults (may be NULL). Returns the number
 * of errors; 0 means that *s is complete, secrets included. */
int tlb_settings_load(struct tlb_settings *s, const char *path, FILE *faults);

#endif
