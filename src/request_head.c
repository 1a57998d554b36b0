#include "request_head.h"

#include <apr_lib.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

enum {
	HEADER_OVERHEAD = 4, /* ": " and the end of the line */
	HEADER_MEMORY = 72,  /* what libmicrohttpd takes for a header besides its bytes */
};

static void read_key(struct tlb_exchange *x)
{
	const char *h = MHD_lookup_connection_value(x->conn, MHD_HEADER_KIND, "Authorization");
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
	const char *h = MHD_lookup_connection_value(x->conn, MHD_HEADER_KIND, "Idempotency-Key");

	if (!h)
		return;
	/* Refused and not ignored: without its key, a repeated non-idempotent call would run
	 * again. */
	if (!*h || strlen(h) >= sizeof(x->idempotency_key))
		x->header_error = "the Idempotency-Key must have 1 to 159 characters";
	snprintf(x->idempotency_key, sizeof(x->idempotency_key), "%s", h);
}

/* A method or the name of a header (RFC 9110, section 5.6.2). */
static bool is_token(const char *text, size_t len)
{
	size_t i;

	for (i = 0; i < len; i++) {
		if (!apr_isalnum(text[i]) && (!text[i] || !strchr("!#$%&'*+-.^_`|~", text[i])))
			return false;
	}
	return len > 0;
}

static bool has_control_characters(const char *text, size_t len)
{
	size_t i;

	for (i = 0; i < len; i++) {
		if (apr_iscntrl(text[i]) && text[i] != '\t')
			return true;
	}
	return false;
}

struct header_counts {
	size_t bytes;
	size_t count;
	bool malformed;
	int length;
	int encoding;
	int authorization;
	int idempotency;
};

static enum MHD_Result count_header(void *arg, enum MHD_ValueKind kind, const char *name,
				    size_t name_len, const char *value, size_t value_len)
{
	struct header_counts *n = arg;

	n->bytes += name_len + value_len + HEADER_OVERHEAD;
	n->count++;
	if (!is_token(name, name_len) || has_control_characters(value, value_len))
		n->malformed = true;
	n->length += strcasecmp(name, "Content-Length") == 0;
	n->encoding += strcasecmp(name, "Transfer-Encoding") == 0;
	n->authorization += strcasecmp(name, "Authorization") == 0;
	n->idempotency += strcasecmp(name, "Idempotency-Key") == 0;
	return MHD_YES;
}

/* Whether the request line can be passed on: libmicrohttpd accepts blanks and control characters.
 */
static bool is_sound_line(const struct tlb_exchange *x)
{
	return is_token(x->method, strlen(x->method)) && !strpbrk(x->target, " \t") &&
	       !has_control_characters(x->target, strlen(x->target));
}

/* Rejects heads that two HTTP implementations could interpret differently: malformed lines (RFC
 * 9112, sections 2.2 and 5.1), duplicate length (section 6.3), Authorization or Idempotency-Key
 * headers. */
static void check_headers(struct tlb_exchange *x)
{
	struct header_counts n = {.bytes = strlen(x->path) + strlen(x->query)};

	MHD_get_connection_values_n(x->conn, MHD_HEADER_KIND, count_header, &n);
	if (n.malformed || !is_sound_line(x))
		x->header_error = "malformed request line or header";
	if (n.length + n.encoding > 1)
		x->header_error = "the request states its length more than once";
	if (n.authorization > 1 || n.idempotency > 1)
		x->header_error = "Authorization and Idempotency-Key may be sent only once";
	x->headers_too_large |= n.bytes > TLB_LISTENER_HEADERS_MAX;
	x->head_memory = n.bytes + n.count * HEADER_MEMORY;
	x->close_connection = x->header_error || x->headers_too_large;
}

void tlb_request_head_read(struct tlb_exchange *x)
{
	const char *h;

	read_key(x);
	h = MHD_lookup_connection_value(x->conn, MHD_HEADER_KIND, "Content-Type");
	x->content_type = h ? h : "";
	read_idempotency_key(x);
	check_headers(x);
}
