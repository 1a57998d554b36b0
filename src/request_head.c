#include "request_head.h"

#include <sodium.h>
#include <stdio.h>
#include <string.h>

enum { HEADER_OVERHEAD = 4 }; /* ": " and the end of the line */

static void read_key(struct tlb_exchange *x)
{
	const char *h = tlb_exchange_header(x, "Authorization");
	size_t len;

	if (!h)
		return;
	if (strncasecmp(h, "Bearer ", 7) != 0 || !h[7]) {
		x->key_form = TLB_KEY_MALFORMED;
		return;
	}
	h += 7;
	len = strlen(h);
	x->key_form = TLB_KEY_UNUSUAL;
	crypto_hash_sha256(x->key_hash, (const unsigned char *)h, len);
	if (len < TLB_KEY_MIN_BYTES || len > TLB_KEY_MAX_BYTES)
		return;
	x->key_form = TLB_KEY_PRESENT;
	memcpy(x->key, h, len + 1);
}

static void read_idempotency_key(struct tlb_exchange *x)
{
	const char *h = tlb_exchange_header(x, "Idempotency-Key");

	if (!h)
		return;
	/* Refused and not ignored: without its key, a repeated non-idempotent call would run
	 * again. */
	if (!*h || strlen(h) >= sizeof(x->idempotency_key))
		x->header_error = "the Idempotency-Key must have 1 to 159 characters";
	snprintf(x->idempotency_key, sizeof(x->idempotency_key), "%s", h);
}

struct header_counts {
	size_t bytes;
	int authorization;
	int idempotency;
};

static void count_header(void *arg, const char *name, const char *value)
{
	struct header_counts *n = arg;

	n->bytes += strlen(name) + strlen(value) + HEADER_OVERHEAD;
	n->authorization += strcasecmp(name, "Authorization") == 0;
	n->idempotency += strcasecmp(name, "Idempotency-Key") == 0;
}

/* Rejects heads that two HTTP implementations could interpret differently although each line is
 * valid, and those that are too large. */
static void check_headers(struct tlb_exchange *x)
{
	struct header_counts n = {.bytes = strlen(x->target)};

	tlb_exchange_each_header(x, count_header, &n);
	if (n.authorization > 1 || n.idempotency > 1)
		x->header_error = "Authorization and Idempotency-Key may be sent only once";
	x->headers_too_large = n.bytes > TLB_LISTENER_HEADERS_MAX;
	x->close_connection = x->header_error || x->headers_too_large;
}

void tlb_request_head_read(struct tlb_exchange *x)
{
	const char *h;

	read_key(x);
	h = tlb_exchange_header(x, "Content-Type");
	x->content_type = h ? h : "";
	read_idempotency_key(x);
	check_headers(x);
}
