#include "spread.h"

#include <stdlib.h>
#include <string.h>

#include "log.h"

#define PULL_TIMEOUT (2 * TLB_SECOND)

/* Rows as messages; the strings borrow from rows and texts. */
struct row_messages {
	json_t *rows;
	size_t count;
	Toucan__ConfigRow *list;
	Toucan__ConfigRow **pointers;
};

static void pull(struct tlb_spread *s, const char *vm, int64_t have);

void tlb_spread_init(struct tlb_spread *s, struct tlb_cluster *c, struct tlb_config *config)
{
	memset(s, 0, sizeof(*s));
	s->cluster = c;
	s->config = config;
}

void tlb_spread_finish(struct tlb_spread *s)
{
	tlb_peer_cancel(&s->call);
}

static bool messages_init(struct row_messages *m, const struct tlb_config *c, int64_t have,
			  int64_t *base)
{
	json_t *row;
	json_t *value;
	size_t i;

	memset(m, 0, sizeof(*m));
	m->rows = tlb_config_rows_since(c, have, base);
	m->count = json_array_size(m->rows);
	m->list = calloc(m->count + 1, sizeof(*m->list));
	m->pointers = calloc(m->count + 1, sizeof(Toucan__ConfigRow *));
	if (!m->list || !m->pointers)
		return false;
	json_array_foreach (m->rows, i, row) {
		value = json_object_get(row, "value");
		toucan__config_row__init(&m->list[i]);
		m->list[i].key = (char *)json_string_value(json_object_get(row, "key"));
		m->list[i].json =
			json_is_null(value) ? strdup("") : json_dumps(value, JSON_COMPACT);
		m->pointers[i] = &m->list[i];
	}
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

static json_t *rows_from(Toucan__ConfigRow *const *list, size_t n)
{
	json_t *rows = json_array();
	json_t *value;
	size_t i;

	for (i = 0; i < n; i++) {
		value = list[i]->json[0] ? json_loads(list[i]->json, JSON_DECODE_ANY, NULL)
					 : json_null();
		json_array_append_new(rows, json_pack("{s:s,s:o}", "key", list[i]->key, "value",
						      value ? value : json_null()));
	}
	return rows;
}

static enum tlb_code apply(struct tlb_spread *s, const char *vm, int64_t version, int64_t base,
			   Toucan__ConfigRow *const *list, size_t n)
{
	json_t *rows = rows_from(list, n);
	struct tlb_error err = {0};
	enum tlb_code code = tlb_config_apply_rows(s->config, version, base, rows, &err);

	if (code == TLB_BAD_REQUEST)
		tlb_log_error("event=config_rows_refused peer=%s version=%lld reason=\"%s\"", vm,
			      (long long)version, err.message);
	json_decref(rows);
	return code;
}

struct push {
	struct tlb_spread *spread;
	Toucan__Envelope *envelope;
};

static void push_to(void *arg, const char *vm)
{
	struct push *p = arg;

	tlb_cluster_send(p->spread->cluster, vm, p->envelope);
}

void tlb_spread_push(struct tlb_spread *s, int64_t base)
{
	Toucan__Envelope e = TOUCAN__ENVELOPE__INIT;
	Toucan__ConfigPush m = TOUCAN__CONFIG_PUSH__INIT;
	struct push p = {s, &e};
	struct row_messages rows;
	int64_t from;

	if (messages_init(&rows, s->config, base, &from)) {
		m.version = tlb_config_version(s->config);
		m.base_version = from;
		m.n_rows = rows.count;
		m.rows = rows.pointers;
		e.body_case = TOUCAN__ENVELOPE__BODY_CONFIG_PUSH;
		e.config_push = &m;
		tlb_cluster_each(s->cluster, push_to, &p);
	}
	messages_finish(&rows);
}

static void pull_next(struct tlb_spread *s)
{
	char vm[TLB_ID_LEN];

	if (!s->next_vm[0] || s->next_version <= tlb_config_version(s->config))
		return;
	strcpy(vm, s->next_vm);
	s->next_vm[0] = '\0';
	pull(s, vm, tlb_config_version(s->config));
}

static void on_rows(void *arg, const Toucan__Envelope *reply, const struct tlb_error *err)
{
	struct tlb_spread *s = arg;
	const Toucan__ConfigRows *m;

	if (reply && reply->body_case == TOUCAN__ENVELOPE__BODY_CONFIG_ROWS) {
		m = reply->config_rows;
		apply(s, reply->source, m->version, m->base_version, m->rows, m->n_rows);
	}
	pull_next(s);
}

static void pull(struct tlb_spread *s, const char *vm, int64_t have)
{
	Toucan__Envelope e = TOUCAN__ENVELOPE__INIT;
	Toucan__ConfigPull m = TOUCAN__CONFIG_PULL__INIT;

	m.have_version = have;
	e.body_case = TOUCAN__ENVELOPE__BODY_CONFIG_PULL;
	e.config_pull = &m;
	tlb_cluster_call(s->cluster, vm, &s->call, &e, tlb_clock_now() + PULL_TIMEOUT, on_rows, s);
}

void tlb_spread_on_version(struct tlb_spread *s, const char *vm, int64_t version)
{
	if (version <= tlb_config_version(s->config))
		return;
	if (tlb_peer_call_active(&s->call)) {
		snprintf(s->next_vm, sizeof(s->next_vm), "%s", vm);
		s->next_version = version;
		return;
	}
	pull(s, vm, tlb_config_version(s->config));
}

void tlb_spread_on_push(struct tlb_spread *s, const struct tlb_peer_return *from,
			const Toucan__ConfigPush *m)
{
	if (apply(s, from->vm, m->version, m->base_version, m->rows, m->n_rows) == TLB_CONFLICT)
		tlb_spread_on_version(s, from->vm, m->version);
}

void tlb_spread_on_pull(struct tlb_spread *s, const struct tlb_peer_return *from,
			const Toucan__ConfigPull *m)
{
	Toucan__Envelope e = TOUCAN__ENVELOPE__INIT;
	Toucan__ConfigRows r = TOUCAN__CONFIG_ROWS__INIT;
	struct row_messages rows;
	int64_t base;

	if (messages_init(&rows, s->config, m->have_version, &base)) {
		r.version = tlb_config_version(s->config);
		r.base_version = base;
		r.n_rows = rows.count;
		r.rows = rows.pointers;
		e.body_case = TOUCAN__ENVELOPE__BODY_CONFIG_ROWS;
		e.config_rows = &r;
		tlb_cluster_reply(s->cluster, from, &e);
	}
	messages_finish(&rows);
}
