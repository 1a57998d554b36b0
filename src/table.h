/*
 * The configuration table: client accounts, keys, models, endpoints and routes under one version
 * number. The table service stores each row as one JSON object under a key of the form
 * "config/<kind>/<id>", and the version of the entire table under "config/head". A new table is
 * built from rows, validated as a unit, and then replaces the active one; the active table is never
 * modified.
 */
#ifndef TLB_TABLE_H
#define TLB_TABLE_H

#include <apr_hash.h>
#include <apr_pools.h>
#include <apr_ring.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "error.h"
#include "faults.h"

enum { TLB_ID_LEN = 48, TLB_KEY_HASH_LEN = 32, TLB_ADDR_LEN = 64, TLB_PATH_LEN = 96 };
/* Size in bytes of the keyed digest that indexes a key hash, and of the secret that keys it. */
enum { TLB_INDEX_LEN = 16 };

enum tlb_row_kind {
	TLB_ROW_ACCOUNT,
	TLB_ROW_KEY,
	TLB_ROW_MODEL,
	TLB_ROW_ENDPOINT,
	TLB_ROW_ROUTE,
	TLB_ROW_OPERATOR,
	TLB_ROW_KIND_COUNT
};

/* {"weight":1.0,"rate":1000,"burst":20000}; rate in tokens per second, burst in tokens. */
struct tlb_account {
	APR_RING_ENTRY(tlb_account) link;
	char id[TLB_ID_LEN];
	double weight;
	int64_t rate;
	int64_t burst;
};

/* {"account":"a1","hash":"<64 hex digits, SHA-256 of the key>","state":"granted"|"withdrawn"} */
struct tlb_key {
	APR_RING_ENTRY(tlb_key) link;
	char id[TLB_ID_LEN];
	char account[TLB_ID_LEN];
	unsigned char hash[TLB_KEY_HASH_LEN];
	bool withdrawn;
	unsigned char digest[TLB_INDEX_LEN];
};

/* {"version":"1","pool":"main","piece_tokens":2000,"max_output":4096,"max_prompt":65536,
 *  "adapter":""}; pool: prefill and decode endpoints that serve the model; adapter: loaded together
 * with the model ("" for none); piece_tokens: tokens in one KV block. */
struct tlb_model {
	APR_RING_ENTRY(tlb_model) link;
	char id[TLB_ID_LEN];
	char version[TLB_ID_LEN];
	char pool[TLB_ID_LEN];
	int block_tokens;
	int max_output;
	int max_prompt;
	char adapter[TLB_ID_LEN];
};

enum tlb_role { TLB_ROLE_PREFILL, TLB_ROLE_DECODE, TLB_ROLE_SERVICE };

enum tlb_endpoint_state { TLB_ENDPOINT_JOINING, TLB_ENDPOINT_ACTIVE, TLB_ENDPOINT_LEAVING };

/* {"role":"prefill"|"decode"|"service","pool":"main","zone":"z1","addr":"127.0.0.1:9001",
 *  "state":"joining"|"active"|"leaving","fencing":true,"pieces":40,"link_mbps":10000,
 *  "max_requests":24};
 * fencing: the endpoint rejects role orders with an outdated fencing number; pieces: KV blocks of
 * a decode endpoint; link_mbps: network bandwidth in Mbit/s.
 */
struct tlb_endpoint {
	APR_RING_ENTRY(tlb_endpoint) link;
	char id[TLB_ID_LEN];
	enum tlb_role role;
	char pool[TLB_ID_LEN];
	char zone[TLB_ID_LEN];
	char addr[TLB_ADDR_LEN];
	enum tlb_endpoint_state state;
	bool checks_fencing;
	int blocks;
	int link_mbps;
	int max_requests;
};

/* {"path":"/shop/orders","method":"GET","pool":"shop","open":false,"idempotent":true,"cost":10,
 *  "timeout_ms":5000}; open: no key required; cost: tokens charged to the account. Among the routes
 * with the request's method, the one with the longest matching path prefix applies. */
struct tlb_route {
	APR_RING_ENTRY(tlb_route) link;
	char id[TLB_ID_LEN];
	char path[TLB_PATH_LEN];
	char method[8];
	char pool[TLB_ID_LEN];
	bool unauthenticated;
	bool idempotent;
	int64_t cost;
	int timeout_ms;
};

/* Credential of an operator: {"hash":"<64 hex digits, SHA-256>","state":"granted"|"withdrawn"} */
struct tlb_operator {
	APR_RING_ENTRY(tlb_operator) link;
	char id[TLB_ID_LEN];
	unsigned char hash[TLB_KEY_HASH_LEN];
	bool withdrawn;
	unsigned char digest[TLB_INDEX_LEN];
};

APR_RING_HEAD(tlb_account_ring, tlb_account);
APR_RING_HEAD(tlb_key_ring, tlb_key);
APR_RING_HEAD(tlb_model_ring, tlb_model);
APR_RING_HEAD(tlb_endpoint_ring, tlb_endpoint);
APR_RING_HEAD(tlb_route_ring, tlb_route);
APR_RING_HEAD(tlb_operator_ring, tlb_operator);

/* Owned by struct tlb_board or the configuration controller. Rows and indexes are allocated from
 * pool, which belongs to the table. */
struct tlb_table {
	int64_t version;
	struct tlb_account_ring accounts;
	struct tlb_key_ring keys;
	struct tlb_model_ring models;
	struct tlb_endpoint_ring endpoints;
	struct tlb_route_ring routes;
	struct tlb_operator_ring operators;
	apr_pool_t *pool;
	apr_hash_t *by_id[TLB_ROW_KIND_COUNT];
	apr_hash_t *keys_by_hash;
	apr_hash_t *operators_by_hash;
	unsigned char index_secret[TLB_INDEX_LEN];
};

void tlb_table_init(struct tlb_table *t);
void tlb_table_finish(struct tlb_table *t);
/* Copies version and rows into an initialised, empty table. */
void tlb_table_copy(struct tlb_table *t, const struct tlb_table *from);

/* Adds or replaces one row. If the row is invalid, adds every fault to f, leaves the table
 * unchanged and returns false. strict: unknown columns are faults. */
bool tlb_table_put(struct tlb_table *t, enum tlb_row_kind kind, const char *id, const json_t *value,
		   bool strict, struct tlb_faults *f);
/* Removes a row. Returns false when it does not exist. */
bool tlb_table_remove(struct tlb_table *t, enum tlb_row_kind kind, const char *id);
/* Validates the table across rows: references between rows and duplicates are faults, pools without
 * usable endpoints are warnings. Rebuilds the hash indexes. Returns false when faults were added.
 */
bool tlb_table_check(struct tlb_table *t, struct tlb_faults *f);

/* Adds one row from its JSON value; fails when the id is already in use. On a fault the table is
 * unchanged, and err describes the first one: row, column, value and allowed values. */
enum tlb_code tlb_table_add(struct tlb_table *t, enum tlb_row_kind kind, const char *id,
			    const json_t *value, struct tlb_error *err);

/* Parses a row key such as "config/account/a1" into kind and id; id points into key. Returns false
 * when key does not have that form. */
bool tlb_table_split_key(const char *key, enum tlb_row_kind *kind, const char **id);
/* Whether id is valid: 1 to 47 characters of A-Z a-z 0-9 . _ -, starting with a letter or digit. */
bool tlb_table_id_valid(const char *id);
const char *tlb_table_kind_name(enum tlb_row_kind kind);
/* Sets *kind from a name such as "account". Returns false for an unknown name. */
bool tlb_table_kind_from_name(const char *name, enum tlb_row_kind *kind);

size_t tlb_table_count(const struct tlb_table *t, enum tlb_row_kind kind);
/* JSON value of a row, or NULL when it does not exist. New reference. */
json_t *tlb_table_row(const struct tlb_table *t, enum tlb_row_kind kind, const char *id);
/* Rows of a kind, sorted by id: [{"key":"config/<kind>/<id>","value":{...}}]. New reference. */
json_t *tlb_table_rows(const struct tlb_table *t, enum tlb_row_kind kind);

/* Keys of the rows that were added, removed or changed between two tables: ["config/<kind>/<id>"].
 * New reference. */
json_t *tlb_table_diff(const struct tlb_table *a, const struct tlb_table *b);

/* Lookups by id, in constant time. Return NULL when the row does not exist. */
struct tlb_account *tlb_table_find_account(const struct tlb_table *t, const char *id);
struct tlb_model *tlb_table_find_model(const struct tlb_table *t, const char *id);
struct tlb_endpoint *tlb_table_find_endpoint(const struct tlb_table *t, const char *id);
/* Route of this method with the longest path prefix that matches, or NULL. Scans all routes. Sets
 * *path_known to whether a route of any method matches the path. */
struct tlb_route *tlb_table_find_route(const struct tlb_table *t, const char *method,
				       const char *path, bool *path_known);
/* Key or operator with this SHA-256 hash, including withdrawn ones, or NULL. The duration of the
 * lookup does not reveal how much of a hash matches: the index is keyed with a random secret, and
 * the hash itself is compared in constant time. */
struct tlb_key *tlb_table_find_key(const struct tlb_table *t, const unsigned char *hash);
struct tlb_operator *tlb_table_find_operator(const struct tlb_table *t, const unsigned char *hash);
/* Whether any operator, or the operator with this id, exists and is not withdrawn. */
bool tlb_table_has_operator(const struct tlb_table *t);
bool tlb_table_is_operator(const struct tlb_table *t, const char *id);

#endif
