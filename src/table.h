/*
 * The configuration table: client accounts, keys, models, endpoints and routes under one version
 * number. Each row is kept in the table service as one JSON object under a key of the form
 * "config/<kind>/<id>"; "config/head" holds the version of the whole. A table is built from rows,
 * checked whole, and then replaces the one in force; it is never changed in place.
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
/* Length of the keyed digest under which a hash is indexed, and of its secret. */
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
 *  "adapter":""}; the pool whose prefill and decode endpoints serve the model, and the adapter that
 * they load with it ("" for none). */
struct tlb_model {
	APR_RING_ENTRY(tlb_model) link;
	char id[TLB_ID_LEN];
	char version[TLB_ID_LEN];
	char pool[TLB_ID_LEN];
	int piece_tokens;
	int max_output;
	int max_prompt;
	char adapter[TLB_ID_LEN];
};

enum tlb_role { TLB_ROLE_PREFILL, TLB_ROLE_DECODE, TLB_ROLE_SERVICE };

enum tlb_endpoint_state { TLB_ENDPOINT_JOINING, TLB_ENDPOINT_ACTIVE, TLB_ENDPOINT_LEAVING };

/* {"role":"prefill"|"decode"|"service","pool":"main","zone":"z1","addr":"127.0.0.1:9001",
 *  "state":"joining"|"active"|"leaving","fencing":true,"pieces":40,"link_mbps":10000,
 *  "max_requests":24};
 * fencing: whether the endpoint refuses orders with an old fencing number; pieces: decode memory.
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
	int pieces;
	int link_mbps;
	int max_requests;
};

/* {"path":"/shop/orders","method":"GET","pool":"shop","open":false,"idempotent":true,"cost":10,
 *  "timeout_ms":5000}; cost in tokens against the account's rate. The longest path prefix with the
 * request's method wins. */
struct tlb_route {
	APR_RING_ENTRY(tlb_route) link;
	char id[TLB_ID_LEN];
	char path[TLB_PATH_LEN];
	char method[8];
	char pool[TLB_ID_LEN];
	bool open;
	bool idempotent;
	int64_t cost;
	int timeout_ms;
};

/* {"hash":"<64 hex digits>","state":"granted"|"withdrawn"}: an operator's credential. */
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

/* Owned by the board or the configuration controller; owns its rows, which live in pool. */
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
/* Copies version and rows into an empty table. */
void tlb_table_copy(struct tlb_table *t, const struct tlb_table *from);

/* Adds or replaces one row. Every fault of the row is added to f, and then the table is unchanged
 * and false is returned. With strict, unknown columns are faults. */
bool tlb_table_put(struct tlb_table *t, enum tlb_row_kind kind, const char *id, const json_t *value,
		   bool strict, struct tlb_faults *f);
/* Removes a row. Returns false when there is none. */
bool tlb_table_remove(struct tlb_table *t, enum tlb_row_kind kind, const char *id);
/* Checks the table as a whole (references, duplicates, pools without endpoints). Returns false when
 * there was a fault; warnings don't count. */
bool tlb_table_check(struct tlb_table *t, struct tlb_faults *f);

/* Adds one row from its JSON value; a second row with one id is refused. A fault leaves the table
 * unchanged; err names row, column, value and what is allowed, for the first fault. */
enum tlb_code tlb_table_add(struct tlb_table *t, enum tlb_row_kind kind, const char *id,
			    const json_t *value, struct tlb_error *err);

/* Splits "config/account/a1" into kind and id (a pointer into key). Returns false for other keys.
 */
bool tlb_table_split_key(const char *key, enum tlb_row_kind *kind, const char **id);
/* Whether an id is allowed: 1 to 47 of A-Z a-z 0-9 . _ -, the first a letter or a digit. */
bool tlb_table_id_valid(const char *id);
const char *tlb_table_kind_name(enum tlb_row_kind kind);
/* The kind of a name such as "account". Returns false when there is none. */
bool tlb_table_kind(const char *name, enum tlb_row_kind *kind);

size_t tlb_table_count(const struct tlb_table *t, enum tlb_row_kind kind);
/* The JSON value of a row, or NULL. New reference. */
json_t *tlb_table_row(const struct tlb_table *t, enum tlb_row_kind kind, const char *id);
/* The rows of a kind by id: [{"key":"config/<kind>/<id>","value":{...}}]. New reference. */
json_t *tlb_table_rows(const struct tlb_table *t, enum tlb_row_kind kind);

/* The keys of the rows that differ between two tables: ["config/<kind>/<id>"]. New reference. */
json_t *tlb_table_diff(const struct tlb_table *a, const struct tlb_table *b);

/* Lookups take constant time, whatever the size of the table. */
struct tlb_account *tlb_table_account(const struct tlb_table *t, const char *id);
struct tlb_model *tlb_table_model(const struct tlb_table *t, const char *id);
struct tlb_endpoint *tlb_table_endpoint(const struct tlb_table *t, const char *id);
/* The route with the longest path prefix for this method, or NULL. If *path_known is set on return,
 * some route has this path with another method. */
struct tlb_route *tlb_table_route(const struct tlb_table *t, const char *method, const char *path,
				  bool *path_known);
/* The key or operator with this SHA-256 hash, or NULL; withdrawn ones included. The time taken
 * tells nothing about how much of a hash matches: the index is keyed with a random secret, and the
 * hash itself is compared in constant time. */
struct tlb_key *tlb_table_key(const struct tlb_table *t, const unsigned char *hash);
struct tlb_operator *tlb_table_operator(const struct tlb_table *t, const unsigned char *hash);
/* Whether some operator is granted, and whether the one with this id is. */
bool tlb_table_has_operator(const struct tlb_table *t);
bool tlb_table_is_operator(const struct tlb_table *t, const char *id);

#endif
