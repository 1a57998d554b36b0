/*
 * HTTP client of the command-line tool for the daemons' operator listeners. Its calls block, so the
 * daemon must not use it.
 */
#ifndef TLB_CLIENT_H
#define TLB_CLIENT_H

#include <curl/curl.h>
#include <jansson.h>
#include <stdbool.h>

#include "ident.h"
#include "table.h"

enum {
	TLB_CLIENT_ADDRESSES_MAX = 16,
	TLB_CREDENTIAL_LEN = 257,
	TLB_CLIENT_CONNECT_MS = 2000,
	TLB_CLIENT_TIMEOUT_MS = 15000,
	/* Attempts per address before a call fails, and the pause after a round over all addresses.
	 */
	TLB_CLIENT_ROUNDS = 3,
	TLB_CLIENT_ROUND_WAIT_MS = 500,
	TLB_CLIENT_TOTAL_MS = 30000, /* no new attempt is made after this */
};

/* Caller-owned. */
struct tlb_client {
	CURL *easy;
	char addresses[TLB_CLIENT_ADDRESSES_MAX][TLB_ADDR_LEN];
	int address_count;
	char credential[TLB_CREDENTIAL_LEN]; /* "" for none */
};

/* Result of a call. Caller-owned; freed with tlb_client_response_finish(). */
struct tlb_client_response {
	int status; /* HTTP status; 0 without a response */
	char *body; /* NUL-terminated; NULL when there is none */
	size_t body_len;
	json_t *json;	  /* the parsed body, or NULL when it is not JSON */
	char reason[240]; /* why there is no response */
};

/* Sets up a client for "IP:PORT[,IP:PORT...]". Returns false with a message in reason when an
 * address is invalid or libcurl can't be initialised. */
bool tlb_client_init(struct tlb_client *c, const char *addresses, char *reason, size_t size);
void tlb_client_finish(struct tlb_client *c);
/* Reads a secret (a credential or a key) of 8 to 256 printable characters from the first line of a
 * file that only its owner may access. Returns false with a message in reason, which never
 * contains the secret. */
bool tlb_client_read_secret(const char *path, char *out, size_t out_size, char *reason,
			    size_t size);

/* Sends the request to one listener after the other until one responds with a status below 500. A
 * request must therefore be safe to repeat: reads are, and changes are because of their change id.
 * body may be NULL. */
void tlb_client_call(struct tlb_client *c, const char *method, const char *path, const json_t *body,
		     struct tlb_client_response *a);
void tlb_client_response_finish(struct tlb_client_response *a);

#endif
