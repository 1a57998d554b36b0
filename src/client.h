/*
 * The command-line tool's HTTP client for operator listeners. Blocking; not for the daemon.
 */
#ifndef TLB_CLIENT_H
#define TLB_CLIENT_H

#include <curl/curl.h>
#include <jansson.h>
#include <stdbool.h>

#include "ident.h"
#include "table.h"

enum {
	TLB_CLIENT_ADDRESSES = 16,
	TLB_CREDENTIAL_LEN = 257,
	TLB_CLIENT_CONNECT_MS = 2000,
	TLB_CLIENT_TIMEOUT_MS = 15000,
	/* Rounds over all addresses before the listeners count as unreachable. */
	TLB_CLIENT_ROUNDS = 3,
	TLB_CLIENT_ROUND_WAIT_MS = 500,
	TLB_CLIENT_TOTAL_MS = 30000, /* no listener is asked after this */
};

/* Caller-owned. */
struct tlb_client {
	CURL *easy;
	char addresses[TLB_CLIENT_ADDRESSES][TLB_ADDR_LEN];
	int address_count;
	char credential[TLB_CREDENTIAL_LEN]; /* "" for none */
};

/* Owned by its user; ended with tlb_client_answer_finish(). */
struct tlb_client_answer {
	int status; /* HTTP status; 0 when no listener answered */
	char *body; /* NUL-terminated; NULL without an answer */
	size_t body_len;
	json_t *json;	  /* the parsed body, or NULL when it is not JSON */
	char reason[240]; /* why there is no answer */
};

/* Sets up a client for "IP:PORT[,IP:PORT...]". Returns false with a message in reason when an
 * address is not allowed. */
bool tlb_client_init(struct tlb_client *c, const char *addresses, char *reason, size_t size);
void tlb_client_finish(struct tlb_client *c);
/* Reads a secret (a credential or a key) of 8 to 256 printable characters from the first line of a
 * file that only its owner may access. Returns false with a message in reason; the message never
 * holds the secret. */
bool tlb_client_read_secret(const char *path, char *out, size_t out_size, char *reason,
			    size_t size);

/* Asks the listeners in turn until one gives an answer other than 5xx. A request must therefore be
 * safe to repeat: reads are, and changes are because of their change id. body may be NULL. */
void tlb_client_call(struct tlb_client *c, const char *method, const char *path, const json_t *body,
		     struct tlb_client_answer *a);
void tlb_client_answer_finish(struct tlb_client_answer *a);

#endif
