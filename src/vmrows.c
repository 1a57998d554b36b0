#include "vmrows.h"

#include <jansson.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "settings.h"

/* The router's tables in the platform's store. */
static const char vm_table[] = "toucanlb-vm";
static const char secret_table[] = "toucanlb-secret";
static const char secret_key[] = "peer";

#define RETRY_INTERVAL (300 * TLB_MS)
/* Rows are needed only to find VMs that no report has mentioned yet. */
#define LIST_INTERVAL (10 * TLB_SECOND)
#define LIST_RETRY_INTERVAL (1 * TLB_SECOND)
enum { LIST_INTERVAL_VMS = 8 }; /* fleet size above which the interval grows */
/* A VM that finds no secret creates one after a random time up to this, unless another one has by
 * then: VMs that start together would all try. */
#define CREATE_DELAY (500 * TLB_MS)
/* The rows are read again this long after this VM has written its own: when a large fleet starts
 * for the first time, VMs take seconds to start, and one that finds only a few rows takes the fleet
 * for a small one. */
#define REREAD_DELAY (2 * TLB_SECOND)

/* In a new era of the store the rows are read again after a random time up to this, per VM of the
 * fleet: VMs that find each other only by the rows must not wait for the next regular reading. */
#define REREAD_SPREAD_PER_VM (20 * TLB_MS)

static void list_rows(void *arg);
static void read_secret(void *arg);

static void schedule_list(struct tlb_vm_rows *r, tlb_time at)
{
	tlb_timer_set(r->store->http->loop, &r->list_timer, at);
}

static tlb_time list_interval(const struct tlb_vm_rows *r)
{
	int n = r->handlers.count(r->handlers.arg);

	return n > LIST_INTERVAL_VMS ? LIST_INTERVAL * n / LIST_INTERVAL_VMS : LIST_INTERVAL;
}

/* Jitter: VMs started together would otherwise read the rows at the same time for ever. */
static void schedule_next_list(struct tlb_vm_rows *r, tlb_time delay)
{
	delay = (tlb_time)((double)delay * (0.75 + tlb_random_unit(r->random) / 2));
	schedule_list(r, tlb_clock_now() + delay);
}

/* The rows are read after this VM's own row was written, so that of two VMs that start together at
 * least one finds the other. */
static void on_written(void *arg, enum tlb_rowstore_status status,
		       const struct tlb_stored_rows *rows, const char *reason)
{
	struct tlb_vm_rows *r = arg;

	if (status != TLB_ROWS_OK)
		tlb_log_warn("event=vm_row_not_written reason=\"%s\"", reason);
	if (r->leaving)
		return;
	schedule_next_list(r, status == TLB_ROWS_OK ? REREAD_DELAY : LIST_RETRY_INTERVAL);
}

static void write_row(struct tlb_vm_rows *r)
{
	json_t *j = json_pack("{s:s}", "addr", r->addr);
	char *text = json_dumps(j, JSON_COMPACT);

	tlb_rowstore_cancel(&r->write_op);
	tlb_rowstore_write(r->store, &r->write_op, vm_table, r->self, -1, text, on_written, r);
	free(text);
	json_decref(j);
}

/* Returns whether the row is this VM's own and has the right address. */
static bool handle_row(struct tlb_vm_rows *r, const struct tlb_stored_row *row)
{
	json_t *j = row->removed ? NULL : json_loadb(row->value, row->len, 0, NULL);
	const char *addr = json_string_value(json_object_get(j, "addr"));
	bool own = strcmp(row->key, r->self) == 0;
	bool matches = own && addr && strcmp(addr, r->addr) == 0;

	if (!own && addr)
		r->handlers.on_vm(r->handlers.arg, row->key, addr);
	json_decref(j);
	return matches;
}

static void on_listed(void *arg, enum tlb_rowstore_status status,
		      const struct tlb_stored_rows *rows, const char *reason)
{
	struct tlb_vm_rows *r = arg;
	bool own = false;
	int i;

	for (i = 0; i < rows->count; i++)
		own |= handle_row(r, &rows->rows[i]);
	if (status != TLB_ROWS_OK) {
		tlb_log_info("event=vm_rows_not_read reason=\"%s\"", reason);
		schedule_next_list(r, LIST_RETRY_INTERVAL);
		return;
	}
	r->listed |= own;
	if (!own && !r->leaving)
		write_row(r);
	else
		schedule_next_list(r, list_interval(r));
}

static void list_rows(void *arg)
{
	struct tlb_vm_rows *r = arg;

	tlb_rowstore_cancel(&r->list_op);
	tlb_rowstore_list_first(r->store, &r->list_op, vm_table, on_listed, r);
}

static void retry_secret(struct tlb_vm_rows *r, const char *reason)
{
	tlb_log_info("event=peer_key_not_read reason=\"%s\"", reason);
	tlb_timer_set(r->store->http->loop, &r->secret_timer, tlb_clock_now() + RETRY_INTERVAL);
}

/* Reads the row after a conflict too, as it then has the secret of another VM. */
static void on_secret_written(void *arg, enum tlb_rowstore_status status,
			      const struct tlb_stored_rows *rows, const char *reason)
{
	if (status == TLB_ROWS_OK || status == TLB_ROWS_CONFLICT)
		read_secret(arg);
	else
		retry_secret(arg, reason);
}

/* Writes the secret if there is none. */
static void write_secret(struct tlb_vm_rows *r, const char *hex)
{
	tlb_rowstore_write(r->store, &r->secret_op, secret_table, secret_key, 0, hex,
			   on_secret_written, r);
}

static void create_secret(struct tlb_vm_rows *r)
{
	unsigned char secret[TLB_SECRET_LEN];
	char hex[2 * TLB_SECRET_LEN + 1];

	randombytes_buf(secret, sizeof(secret));
	sodium_bin2hex(hex, sizeof(hex), secret, sizeof(secret));
	write_secret(r, hex);
	sodium_memzero(secret, sizeof(secret));
	sodium_memzero(hex, sizeof(hex));
}

/* Gives other VMs that have just started the time to create the secret. */
static void await_secret(struct tlb_vm_rows *r)
{
	tlb_time delay = (tlb_time)(tlb_random_unit(r->random) * CREATE_DELAY);

	r->secret_missed = true;
	tlb_timer_set(r->store->http->loop, &r->secret_timer, tlb_clock_now() + delay);
}

static void take_secret(struct tlb_vm_rows *r, const char *hex)
{
	if (strcmp(hex, r->secret) != 0 && r->handlers.on_secret(r->handlers.arg, hex))
		snprintf(r->secret, sizeof(r->secret), "%s", hex);
}

static void on_secret(void *arg, enum tlb_rowstore_status status,
		      const struct tlb_stored_rows *rows, const char *reason)
{
	struct tlb_vm_rows *r = arg;

	if (status != TLB_ROWS_OK)
		retry_secret(r, reason);
	else if (rows->count > 0 && !rows->rows[0].removed)
		take_secret(r, rows->rows[0].value);
	else if (*r->secret)
		write_secret(r, r->secret);
	else if (r->secret_missed)
		create_secret(r);
	else
		await_secret(r);
}

static void read_secret(void *arg)
{
	struct tlb_vm_rows *r = arg;

	tlb_rowstore_cancel(&r->secret_op);
	tlb_rowstore_list_first(r->store, &r->secret_op, secret_table, on_secret, r);
}

tlb_time tlb_vm_rows_reread_time(const struct tlb_vm_rows *r)
{
	return REREAD_SPREAD_PER_VM * r->handlers.count(r->handlers.arg);
}

static tlb_time reread_at(const struct tlb_vm_rows *r)
{
	return tlb_clock_now() +
	       (tlb_time)(tlb_random_unit(r->random) * (double)tlb_vm_rows_reread_time(r));
}

static void on_new_era(void *arg)
{
	struct tlb_vm_rows *r = arg;

	if (r->leaving || !*r->secret)
		return;
	tlb_timer_set(r->store->http->loop, &r->secret_timer, reread_at(r));
	schedule_list(r, reread_at(r));
}

void tlb_vm_rows_init(struct tlb_vm_rows *r, struct tlb_rowstore *store, struct tlb_random *random,
		      const char *self, const struct tlb_vm_rows_handlers *handlers)
{
	memset(r, 0, sizeof(*r));
	r->store = store;
	r->random = random;
	r->self = self;
	r->addr = "";
	r->handlers = *handlers;
	tlb_timer_init(&r->secret_timer, read_secret, r);
	tlb_timer_init(&r->list_timer, list_rows, r);
	r->observer = (struct tlb_rowstore_observer){.on_new_era = on_new_era, .arg = r};
	tlb_rowstore_observe(store, &r->observer);
}

void tlb_vm_rows_start(struct tlb_vm_rows *r)
{
	read_secret(r);
}

void tlb_vm_rows_announce(struct tlb_vm_rows *r, const char *addr)
{
	r->addr = addr;
	/* After a restart the row is usually still there. */
	list_rows(r);
}

void tlb_vm_rows_withdraw(struct tlb_vm_rows *r)
{
	r->leaving = true;
	tlb_rowstore_cancel(&r->write_op);
	tlb_rowstore_write(r->store, &r->write_op, vm_table, r->self, -1, NULL, on_written, r);
}

void tlb_vm_rows_finish(struct tlb_vm_rows *r)
{
	tlb_rowstore_unobserve(&r->observer);
	tlb_rowstore_cancel(&r->secret_op);
	tlb_rowstore_cancel(&r->write_op);
	tlb_rowstore_cancel(&r->list_op);
	tlb_timer_clear(r->store->http->loop, &r->secret_timer);
	tlb_timer_clear(r->store->http->loop, &r->list_timer);
}
