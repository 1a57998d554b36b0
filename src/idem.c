#include "idem.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

enum { ATTEMPTS_MAX = 4 };

#define ATTEMPT_TIMEOUT (1 * TLB_SECOND)
/* Backoff between attempts to record, so that a table service that refuses writes is not
 * overloaded. */
#define RECORD_BACKOFF (100 * TLB_MS)
#define RECORD_BACKOFF_MAX (2 * TLB_SECOND)

static void insert_claim(struct tlb_idem *i);
static void read_back(struct tlb_idem *i);
static void write_record(struct tlb_idem *i);
static void on_backoff(void *arg);

static void hash_hex(char out[TLB_IDEM_HASH_LEN], const char *const *fields, const size_t *lens,
		     int n)
{
	crypto_hash_sha256_state st;
	unsigned char digest[crypto_hash_sha256_BYTES];
	uint64_t len;
	int k;

	crypto_hash_sha256_init(&st);
	for (k = 0; k < n; k++) {
		/* Hashing the length makes ("ab","c") differ from ("a","bc"). */
		len = lens[k];
		crypto_hash_sha256_update(&st, (const unsigned char *)&len, sizeof(len));
		crypto_hash_sha256_update(&st, (const unsigned char *)fields[k], lens[k]);
	}
	crypto_hash_sha256_final(&st, digest);
	sodium_bin2hex(out, TLB_IDEM_HASH_LEN, digest, sizeof(digest));
}

static tlb_time attempt_deadline(const struct tlb_idem *i)
{
	tlb_time d = tlb_clock_now() + ATTEMPT_TIMEOUT;

	return d < i->deadline ? d : i->deadline;
}

static void report_result(struct tlb_idem *i, enum tlb_idem_result result,
			  const struct tlb_idem_record *record)
{
	i->on_done(i->arg, result, record);
}

/* Repeats a step of the claim, or reports TLB_IDEM_UNAVAILABLE after the last attempt or the
 * deadline. */
static void retry_or_fail(struct tlb_idem *i, void (*step)(struct tlb_idem *i))
{
	if (i->attempts++ < ATTEMPTS_MAX && tlb_clock_now() < i->deadline)
		step(i);
	else
		report_result(i, TLB_IDEM_UNAVAILABLE, NULL);
}

/* Reports a recorded response. Its body is base64 in the row, because JSON strings can't hold
 * arbitrary bytes. */
static void report_recorded(struct tlb_idem *i, const json_t *response)
{
	const char *text = json_string_value(json_object_get(response, "body"));
	size_t text_len = json_string_length(json_object_get(response, "body"));
	struct tlb_idem_record rec = {0};
	unsigned char *body;

	rec.status = (int)json_integer_value(json_object_get(response, "status"));
	rec.content_type = json_string_value(json_object_get(response, "content_type"));
	if (!text) {
		report_result(i, TLB_IDEM_NOT_STORED, &rec);
		return;
	}
	body = malloc(text_len + 1);
	if (!body || sodium_base642bin(body, text_len + 1, text, text_len, NULL, &rec.body_len,
				       NULL, sodium_base64_VARIANT_ORIGINAL) != 0) {
		free(body);
		report_result(i, TLB_IDEM_NOT_STORED, &rec);
		return;
	}
	rec.body = (const char *)body;
	report_result(i, TLB_IDEM_RECORDED, &rec);
	free(body);
}

/* Derives the result of the claim from the row that exists under its key. */
static void evaluate_row(struct tlb_idem *i, json_t *row)
{
	const json_t *v = json_object_get(row, "value");
	const char *claim = json_string_value(json_object_get(v, "claim"));
	const char *hash = json_string_value(json_object_get(v, "request_hash"));
	const json_t *response = json_object_get(v, "response");

	if (claim && strcmp(claim, i->claim_nonce) == 0 && !response) {
		i->version = json_integer_value(json_object_get(row, "version"));
		report_result(i, TLB_IDEM_CLAIMED, NULL);
		return;
	}
	if (!hash || strcmp(hash, i->request_hash) != 0) {
		report_result(i, TLB_IDEM_MISMATCH, NULL);
		return;
	}
	if (!response) {
		report_result(i, TLB_IDEM_IN_PROGRESS, NULL);
		return;
	}
	report_recorded(i, response);
}

static void on_row(void *arg, enum tlb_store_status status, json_t *body,
		   const struct tlb_error *err)
{
	struct tlb_idem *i = arg;

	switch (status) {
	case TLB_STORE_OK:
		evaluate_row(i, body);
		break;
	case TLB_STORE_ABSENT:
		/* The insert was not applied. */
		retry_or_fail(i, insert_claim);
		break;
	case TLB_STORE_CONFLICT:
	case TLB_STORE_REFUSED:
	case TLB_STORE_UNCERTAIN:
		retry_or_fail(i, read_back);
		break;
	}
}

static void read_back(struct tlb_idem *i)
{
	tlb_store_row(i->store, &i->op, i->row, attempt_deadline(i), on_row, i);
}

static void on_insert(void *arg, enum tlb_store_status status, json_t *body,
		      const struct tlb_error *err)
{
	struct tlb_idem *i = arg;

	switch (status) {
	case TLB_STORE_OK:
		i->version = json_integer_value(
			json_object_get(json_object_get(body, "versions"), i->row));
		report_result(i, TLB_IDEM_CLAIMED, NULL);
		break;
	case TLB_STORE_REFUSED:
		retry_or_fail(i, insert_claim);
		break;
	case TLB_STORE_CONFLICT:
	case TLB_STORE_UNCERTAIN:
	case TLB_STORE_ABSENT:
		/* Another claim exists, or this one was applied and the response was lost. */
		read_back(i);
		break;
	}
}

static json_t *row_value(const struct tlb_idem *i)
{
	return json_pack("{s:s,s:s,s:s,s:I}", "claim", i->claim_nonce, "request_hash",
			 i->request_hash, "vm", i->vm, "wall_ms", (json_int_t)tlb_clock_wall_ms());
}

static void insert_claim(struct tlb_idem *i)
{
	json_t *txn = tlb_store_txn_new();

	tlb_store_check(txn, i->row, 0);
	tlb_store_write(txn, i->row, row_value(i));
	tlb_store_txn(i->store, &i->op, txn, attempt_deadline(i), on_insert, i);
}

void tlb_idem_claim(struct tlb_idem *i, struct tlb_store *s, const char *account, const char *key,
		    const char *vm, const char *method, const char *target, const char *body,
		    size_t body_len, tlb_time deadline, tlb_idem_done_fn *on_done, void *arg)
{
	const char *request[] = {method, target, body ? body : ""};
	size_t lens[] = {strlen(method), strlen(target), body_len};
	const char *names[] = {account, key};
	size_t name_lens[] = {strlen(account), strlen(key)};
	char key_hash[TLB_IDEM_HASH_LEN];
	unsigned char nonce[16];

	memset(i, 0, sizeof(*i));
	tlb_timer_init(&i->timer, on_backoff, i);
	i->store = s;
	i->deadline = deadline;
	i->on_done = on_done;
	i->arg = arg;
	hash_hex(key_hash, names, name_lens, 2);
	hash_hex(i->request_hash, request, lens, 3);
	snprintf(i->row, sizeof(i->row), "idem/%s/%s", account, key_hash);
	snprintf(i->vm, sizeof(i->vm), "%s", vm);
	randombytes_buf(nonce, sizeof(nonce));
	sodium_bin2hex(i->claim_nonce, sizeof(i->claim_nonce), nonce, sizeof(nonce));
	i->attempts = 1;
	insert_claim(i);
}

/* --- recording --- */

static void report_written(struct tlb_idem *i, bool ok)
{
	json_decref(i->response);
	i->response = NULL;
	i->on_recorded(i->arg, ok);
}

static tlb_time next_backoff(struct tlb_idem *i)
{
	tlb_time wait = RECORD_BACKOFF << (i->record_attempts < 5 ? i->record_attempts : 5);

	i->record_attempts++;
	if (wait > RECORD_BACKOFF_MAX)
		wait = RECORD_BACKOFF_MAX;
	return wait / 2 + randombytes_uniform((uint32_t)(wait / 2));
}

static void on_backoff(void *arg)
{
	write_record(arg);
}

/* Decides by reading whether an uncertain write was applied: the row then has a new version, or is
 * absent after a withdrawal. */
static void on_check(void *arg, enum tlb_store_status status, json_t *body,
		     const struct tlb_error *err)
{
	struct tlb_idem *i = arg;
	bool absent = status == TLB_STORE_ABSENT;

	if (status == TLB_STORE_OK &&
	    json_integer_value(json_object_get(body, "version")) != i->version) {
		report_written(i, true);
		return;
	}
	if (absent || tlb_clock_now() >= i->deadline) {
		report_written(i, absent);
		return;
	}
	tlb_timer_set(i->store->http->loop, &i->timer, tlb_clock_now() + next_backoff(i));
}

static void on_written(void *arg, enum tlb_store_status status, json_t *body,
		       const struct tlb_error *err)
{
	struct tlb_idem *i = arg;

	if (status == TLB_STORE_OK) {
		report_written(i, true);
		return;
	}
	if (tlb_clock_now() >= i->deadline) {
		report_written(i, false);
		return;
	}
	tlb_store_row(i->store, &i->op, i->row, attempt_deadline(i), on_check, i);
}

static void write_record(struct tlb_idem *i)
{
	json_t *txn = tlb_store_txn_new();
	json_t *value = NULL;

	if (i->response) {
		value = row_value(i);
		json_object_set(value, "response", i->response);
	}
	tlb_store_check(txn, i->row, i->version);
	tlb_store_write(txn, i->row, value);
	tlb_store_txn(i->store, &i->op, txn, attempt_deadline(i), on_written, i);
}

/* The response body as a base64 JSON string; NULL when it exceeds TLB_IDEM_BODY_MAX, or without
 * memory. */
static json_t *encode_body(const struct tlb_idem_record *r)
{
	size_t len = sodium_base64_encoded_len(r->body_len, sodium_base64_VARIANT_ORIGINAL);
	char *text = r->body_len <= TLB_IDEM_BODY_MAX ? malloc(len) : NULL;
	json_t *j;

	if (!text)
		return NULL;
	sodium_bin2base64(text, len, (const unsigned char *)r->body, r->body_len,
			  sodium_base64_VARIANT_ORIGINAL);
	j = json_string(text);
	free(text);
	return j;
}

void tlb_idem_record(struct tlb_idem *i, const struct tlb_idem_record *r, tlb_time deadline,
		     tlb_idem_recorded_fn *on_recorded, void *arg)
{
	i->deadline = deadline;
	i->on_recorded = on_recorded;
	i->arg = arg;
	i->response = json_pack("{s:i,s:s,s:o*}", "status", r->status, "content_type",
				r->content_type, "body", encode_body(r));
	write_record(i);
}

void tlb_idem_withdraw(struct tlb_idem *i, tlb_time deadline, tlb_idem_recorded_fn *on_recorded,
		       void *arg)
{
	i->deadline = deadline;
	i->on_recorded = on_recorded;
	i->arg = arg;
	i->response = NULL;
	write_record(i);
}

void tlb_idem_cancel(struct tlb_idem *i)
{
	if (!i->store)
		return;
	tlb_timer_clear(i->store->http->loop, &i->timer);
	tlb_store_cancel(&i->op);
	json_decref(i->response);
	i->response = NULL;
}
