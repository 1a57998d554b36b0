#include "propagation.h"

#include <stdlib.h>
#include <string.h>

#include "log.h"

#define PULL_TIMEOUT (2 * TLB_SECOND)
#define CHECK_INTERVAL (1 * TLB_SECOND)

enum {
	/* Bytes of rows in one message, well below the largest frame. */
	PAGE_BYTES = 256 << 10,
	/* Base version of a push without rows: they exceed one message and must be pulled. */
	BASE_PULL_REQUIRED = -1
};

/* One page of rows as messages; the keys are borrowed from rows. */
struct row_messages {
	json_t *rows;
	size_t count; /* in this page */
	size_t next;  /* offset of the next page; 0 after the last one */
	Toucan__ConfigRow *list;
	Toucan__ConfigRow **pointers;
};

static void pull(struct tlb_propagation *s, const char *vm, int64_t offset);

static void pull_if_newer(void *arg, const char *vm)
{
	struct tlb_propagation *s = arg;

	tlb_propagation_on_version(s, vm, tlb_cluster_peer_config_version(s->cluster, vm));
}

/* Retries failed pulls; a heartbeat starts a pull only when its version changes. */
static void retry_pulls(void *arg)
{
	struct tlb_propagation *s = arg;

	tlb_cluster_for_each_peer(s->cluster, pull_if_newer, s);
	tlb_timer_set(s->loop, &s->retry_timer, tlb_clock_now() + CHECK_INTERVAL);
}

void tlb_propagation_init(struct tlb_propagation *s, struct tlb_loop *l, struct tlb_cluster *c,
			  struct tlb_config *config)
{
	memset(s, 0, sizeof(*s));
	s->loop = l;
	s->cluster = c;
	s->config = config;
	tlb_timer_init(&s->retry_timer, retry_pulls, s);
	tlb_timer_set(l, &s->retry_timer, tlb_clock_now() + CHECK_INTERVAL);
}

void tlb_propagation_finish(struct tlb_propagation *s)
{
	tlb_timer_clear(s->loop, &s->retry_timer);
	tlb_peer_cancel(&s->pull_call);
	json_decref(s->pulled_rows);
}

/* Returns the size of the message in bytes; 0 without memory. */
static size_t message_init(Toucan__ConfigRow *m, json_t *row)
{
	json_t *value = json_object_get(row, "value");

	toucan__config_row__init(m);
	m->key = (char *)json_string_value(json_object_get(row, "key"));
	m->json = json_is_null(value) ? strdup("") : json_dumps(value, JSON_COMPACT);
	return m->json ? strlen(m->json) + strlen(m->key) : 0;
}

/* Fills a page with rows that a peer at version have lacks, from offset on. Sets *base to the
 * version that the rows apply to. Returns false without memory. */
static bool messages_init(struct row_messages *m, const struct tlb_config *c, int64_t have,
			  size_t offset, int64_t *base)
{
	size_t total;
	size_t bytes = 0;
	size_t i;

	memset(m, 0, sizeof(*m));
	m->rows = tlb_config_rows_since(c, have, base);
	total = json_array_size(m->rows);
	m->list = calloc(total + 1, sizeof(*m->list));
	m->pointers = calloc(total + 1, sizeof(Toucan__ConfigRow *));
	if (!m->list || !m->pointers)
		return false;
	for (i = offset; i < total && bytes < PAGE_BYTES; i++) {
		bytes += message_init(&m->list[m->count], json_array_get(m->rows, i));
		m->pointers[m->count] = &m->list[m->count];
		m->count++;
	}
	m->next = i < total ? i : 0;
	return true;
}

static void messages_finish(struct row_messages *m)
{
	size_t i;

	for (i = 0; m->list && i < m->count; i++)
		free(m->list[i].json);
	free(m->list);
	free(m->pointers);
	json_decref(m->rows);
}

static void add_rows(json_t *rows, Toucan__ConfigRow *const *list, size_t n)
{
	json_t *value;
	size_t i;

	for (i = 0; i < n; i++) {
		value = list[i]->json[0] ? json_loads(list[i]->json, JSON_DECODE_ANY, NULL)
					 : json_null();
		json_array_append_new(rows, json_pack("{s:s,s:o}", "key", list[i]->key, "value",
						      value ? value : json_null()));
	}
}

static enum tlb_code apply_rows(struct tlb_propagation *s, const char *vm, int64_t version,
				int64_t base, const json_t *rows)
{
	struct tlb_error err = {0};
	enum tlb_code code = tlb_config_apply_rows(s->config, version, base, rows, &err);

	if (code == TLB_BAD_REQUEST)
		tlb_log_error("event=config_rows_refused peer=%s version=%lld reason=\"%s\"", vm,
			      (long long)version, err.message);
	return code;
}

void tlb_propagation_push(struct tlb_propagation *s, int64_t base)
{
	Toucan__Envelope e = TOUCAN__ENVELOPE__INIT;
	Toucan__ConfigPush m = TOUCAN__CONFIG_PUSH__INIT;
	char vm[TLB_CLUSTER_CONFIG_TARGETS_MAX][TLB_ID_LEN];
	struct row_messages rows;
	int64_t from;
	int count;
	int i;

	if (messages_init(&rows, s->config, base, 0, &from)) {
		m.version = tlb_config_version(s->config);
		m.base_version = rows.next ? BASE_PULL_REQUIRED : from;
		m.n_rows = rows.next ? 0 : rows.count;
		m.rows = rows.pointers;
		e.body_case = TOUCAN__ENVELOPE__BODY_CONFIG_PUSH;
		e.config_push = &m;
		count = tlb_cluster_select_config_targets(s->cluster, m.version, vm);
		for (i = 0; i < count; i++)
			tlb_cluster_send(s->cluster, vm[i], &e);
	}
	messages_finish(&rows);
}

static void discard_pages(struct tlb_propagation *s)
{
	json_decref(s->pulled_rows);
	s->pulled_rows = NULL;
	s->pulled_version = 0;
}

static void pull_next(struct tlb_propagation *s)
{
	char vm[TLB_ID_LEN];

	discard_pages(s);
	if (!s->next_pull_vm[0] || s->next_pull_version <= tlb_config_version(s->config))
		return;
	strcpy(vm, s->next_pull_vm);
	s->next_pull_vm[0] = '\0';
	pull(s, vm, 0);
}

/* Adds a page of rows. If the configuration has changed during the pull, the peer starts again with
 * the first page, and the rows received so far are discarded. */
static void add_page(struct tlb_propagation *s, const Toucan__ConfigRows *m)
{
	if (s->pulled_version != m->version)
		discard_pages(s);
	if (!s->pulled_rows)
		s->pulled_rows = json_array();
	s->pulled_version = m->version;
	add_rows(s->pulled_rows, m->rows, m->n_rows);
}

static void on_rows(void *arg, const Toucan__Envelope *reply, const struct tlb_error *err)
{
	struct tlb_propagation *s = arg;
	const Toucan__ConfigRows *m;

	if (!reply || reply->body_case != TOUCAN__ENVELOPE__BODY_CONFIG_ROWS) {
		pull_next(s);
		return;
	}
	m = reply->config_rows;
	add_page(s, m);
	if (m->next_offset > 0) {
		pull(s, reply->source, m->next_offset);
		return;
	}
	apply_rows(s, reply->source, m->version, m->base_version, s->pulled_rows);
	pull_next(s);
}

static void pull(struct tlb_propagation *s, const char *vm, int64_t offset)
{
	Toucan__Envelope e = TOUCAN__ENVELOPE__INIT;
	Toucan__ConfigPull m = TOUCAN__CONFIG_PULL__INIT;

	m.have_version = tlb_config_version(s->config);
	m.offset = offset;
	m.version = s->pulled_version;
	e.body_case = TOUCAN__ENVELOPE__BODY_CONFIG_PULL;
	e.config_pull = &m;
	tlb_cluster_call(s->cluster, vm, &s->pull_call, &e, tlb_clock_now() + PULL_TIMEOUT, on_rows,
			 s);
}

void tlb_propagation_on_version(struct tlb_propagation *s, const char *vm, int64_t version)
{
	if (version <= tlb_config_version(s->config))
		return;
	if (tlb_peer_call_active(&s->pull_call)) {
		snprintf(s->next_pull_vm, sizeof(s->next_pull_vm), "%s", vm);
		s->next_pull_version = version;
		return;
	}
	pull(s, vm, 0);
}

void tlb_propagation_on_push(struct tlb_propagation *s, const struct tlb_peer_reply_address *from,
			     const Toucan__ConfigPush *m)
{
	json_t *rows = json_array();
	enum tlb_code code = TLB_CONFLICT;

	tlb_cluster_record_peer_config(s->cluster, from->vm, m->version);
	add_rows(rows, m->rows, m->n_rows);
	if (m->base_version != BASE_PULL_REQUIRED)
		code = apply_rows(s, from->vm, m->version, m->base_version, rows);
	json_decref(rows);
	if (code == TLB_CONFLICT)
		tlb_propagation_on_version(s, from->vm, m->version);
}

void tlb_propagation_on_pull(struct tlb_propagation *s, const struct tlb_peer_reply_address *from,
			     const Toucan__ConfigPull *m)
{
	Toucan__Envelope e = TOUCAN__ENVELOPE__INIT;
	Toucan__ConfigRows r = TOUCAN__CONFIG_ROWS__INIT;
	struct row_messages rows;
	int64_t version = tlb_config_version(s->config);
	int64_t base;
	/* If the configuration has changed since the first page, start again with that page. */
	int64_t offset = m->version == 0 || m->version == version ? m->offset : 0;

	if (messages_init(&rows, s->config, m->have_version, (size_t)offset, &base)) {
		r.version = version;
		r.base_version = base;
		r.n_rows = rows.count;
		r.rows = rows.pointers;
		r.next_offset = (int64_t)rows.next;
		e.body_case = TOUCAN__ENVELOPE__BODY_CONFIG_ROWS;
		e.config_rows = &r;
		tlb_cluster_reply(s->cluster, from, &e);
	}
	messages_finish(&rows);
}
