#include "vms.h"

#include <inttypes.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "address.h"
#include "edgeboard.h"
#include "log.h"

#define REFRESH_INTERVAL (1 * TLB_SECOND)
#define PULL_INTERVAL (500 * TLB_MS)
/* Share of an account's burst that is granted before the others are told out of turn. */
#define TELL_SHARE 0.03
/* Share of an account's burst that is granted before it is told at all. */
#define STATE_SHARE 0.002
/* A neighbour that has something newer for this long has it from a store that tells this VM
 * nothing: an open connection may have gone silent. */
#define BEHIND_WAIT (300 * TLB_MS)
enum { KEY_ID = 1 };

/* --- the list of VMs --- */

static struct tlb_vm *find(const struct tlb_vms *v, const char *id)
{
	struct tlb_vm *m;

	APR_RING_FOREACH (m, &v->all, tlb_vm, link) {
		if (strcmp(m->id, id) == 0)
			return m;
	}
	return NULL;
}

/* Rendezvous weight of a pair; both ends compute the same. */
static uint64_t pair_weight(const char *a, const char *b)
{
	static const unsigned char key[crypto_shorthash_KEYBYTES];
	char pair[2 * TLB_ID_LEN + 2];
	uint64_t out;

	snprintf(pair, sizeof(pair), "%s/%s", strcmp(a, b) < 0 ? a : b, strcmp(a, b) < 0 ? b : a);
	crypto_shorthash((unsigned char *)&out, (const unsigned char *)pair, strlen(pair), key);
	return out;
}

/* The VMs with the least weight are neighbours: the choice changes little when VMs come and go. */
static void choose_neighbours(struct tlb_vms *v)
{
	const char *self = v->peers.self;
	struct tlb_vm *m;
	struct tlb_vm *other;
	int rank;

	APR_RING_FOREACH (m, &v->all, tlb_vm, link) {
		rank = 0;
		APR_RING_FOREACH (other, &v->all, tlb_vm, link) {
			rank += pair_weight(self, other->id) < pair_weight(self, m->id);
		}
		m->neighbour = rank < TLB_VMS_NEIGHBOURS;
		tlb_peers_keep(&v->peers, m->id, m->neighbour);
	}
}

static struct tlb_vm *add(struct tlb_vms *v, const char *id, const char *addr)
{
	struct tlb_vm *m;

	if (strcmp(id, v->peers.self) == 0 || strlen(id) >= TLB_ID_LEN ||
	    strlen(addr) >= TLB_ADDR_LEN || !tlb_table_id_valid(id) || !tlb_address_valid(addr, 1))
		return NULL;
	m = find(v, id);
	if (m && strcmp(m->addr, addr) == 0)
		return m;
	if (!m) {
		m = calloc(1, sizeof(*m));
		if (!m)
			return NULL;
		strcpy(m->id, id);
		m->known_at = tlb_clock_now();
		APR_RING_INSERT_TAIL(&v->all, m, tlb_vm, link);
		tlb_log_info("event=vm_known vm=%s addr=%s", id, addr);
	}
	strcpy(m->addr, addr);
	tlb_peers_add(&v->peers, id, addr);
	choose_neighbours(v);
	return m;
}

static void forget(struct tlb_vms *v, struct tlb_vm *m)
{
	tlb_log_info("event=vm_forgotten vm=%s leaving=%d", m->id, m->leaving);
	tlb_peers_drop(&v->peers, m->id);
	APR_RING_REMOVE(m, link);
	free(m->uses);
	free(m);
}

tlb_time tlb_vms_interval(const struct tlb_vms *v)
{
	int n = tlb_vms_count(v);

	return n > TLB_VMS_SMALL ? TLB_VMS_INTERVAL * n / TLB_VMS_SMALL : TLB_VMS_INTERVAL;
}

static bool is_silent(const struct tlb_vms *v, const struct tlb_vm *m, tlb_time now)
{
	tlb_time wait = TLB_VMS_MISSED * tlb_vms_interval(v);

	return now >= m->heard_at + (wait > TLB_VMS_SILENT ? wait : TLB_VMS_SILENT);
}

static bool is_over(const struct tlb_vms *v, const struct tlb_vm *m, tlb_time now)
{
	tlb_time since = m->heard_at > m->known_at ? m->heard_at : m->known_at;

	return now >= since + TLB_VMS_FORGET || (m->leaving && is_silent(v, m, now));
}

static void forget_lost(struct tlb_vms *v, tlb_time now)
{
	struct tlb_vm *m;
	struct tlb_vm *next;
	bool any = false;

	APR_RING_FOREACH_SAFE (m, next, &v->all, tlb_vm, link) {
		if (!is_over(v, m, now))
			continue;
		forget(v, m);
		any = true;
	}
	if (any)
		choose_neighbours(v);
}

int tlb_vms_count(const struct tlb_vms *v)
{
	const struct tlb_vm *m;
	int n = 1;

	APR_RING_FOREACH (m, &v->all, tlb_vm, link) {
		n += !m->leaving;
	}
	return n;
}

double tlb_vms_share(const struct tlb_vms *v, tlb_time now)
{
	const struct tlb_vm *m;
	int neighbours = 0;
	int heard = 0;

	APR_RING_FOREACH (m, &v->all, tlb_vm, link) {
		if (!m->neighbour || m->leaving)
			continue;
		neighbours++;
		heard += !is_silent(v, m, now);
	}
	if (heard == 0)
		return 1.0 / tlb_vms_count(v);
	return (double)(heard + 1) / (neighbours + 1);
}

bool tlb_vms_is_first(const struct tlb_vms *v, tlb_time now)
{
	const struct tlb_vm *m;

	if (!v->listening || v->leaving)
		return false;
	APR_RING_FOREACH (m, &v->all, tlb_vm, link) {
		if (!m->leaving && now < m->known_at + TLB_VMS_FORGET / 3 &&
		    strcmp(m->id, v->peers.self) < 0)
			return false;
	}
	return true;
}

static void apply_share(struct tlb_vms *v, tlb_time now)
{
	struct tlb_quotas *q = &v->board->quotas;
	double share = tlb_vms_share(v, now);

	if (share >= q->share && share <= q->share)
		return;
	tlb_log_info("event=fleet_share share=%.3f before=%.3f vms=%d", share, q->share,
		     tlb_vms_count(v));
	tlb_quotas_set_share(q, share, now);
}

/* --- states --- */

enum { USES_MAX = 512, PASSED_MAX = 256 };

/* One message. Strings are borrowed from the board for the time of the send. */
struct statement {
	Toucan__FleetState fleet;
	Toucan__VmState own;
	Toucan__VmState passed[PASSED_MAX];
	Toucan__VmState *vms[1 + PASSED_MAX];
	Toucan__AccountUse use[USES_MAX];
	Toucan__AccountUse *uses[USES_MAX];
	size_t use_count;
};

static void add_use(struct statement *s, Toucan__VmState *state, char *account, int64_t granted,
		    uint64_t number)
{
	Toucan__AccountUse *u = &s->use[s->use_count];

	toucan__account_use__init(u);
	u->account = account;
	u->granted = granted;
	u->number = number;
	if (state->n_uses == 0)
		state->uses = &s->uses[s->use_count];
	s->uses[s->use_count++] = u;
	state->n_uses++;
}

/* Grants below this are told with the next ones: they exceed the limit by little. */
static bool is_worth_telling(const struct tlb_quota *q)
{
	double change = (double)(q->granted - q->stated);

	return q->rate > 0 && (change < 0 || change > (double)q->burst * STATE_SHARE);
}

static void state_own(struct tlb_vms *v, struct statement *s)
{
	struct tlb_quota *q;

	toucan__fleet_state__init(&s->fleet);
	toucan__vm_state__init(&s->own);
	s->use_count = 0;
	s->own.id = v->peers.self;
	s->own.incarnation = v->incarnation;
	s->own.addr = v->peers.addr;
	s->own.config_version = v->board->routing->version;
	s->own.instances_version = v->instances_version;
	s->own.leaving = v->leaving;
	s->vms[0] = &s->own;
	s->fleet.vms = s->vms;
	s->fleet.n_vms = 1;
	APR_RING_FOREACH (q, &v->board->quotas.all, tlb_quota, link) {
		if (!is_worth_telling(q) || s->use_count == USES_MAX)
			continue;
		add_use(s, &s->own, q->account, q->granted, ++v->number);
		q->stated = q->granted;
	}
}

static void pass_on(struct statement *s, struct tlb_vm *m)
{
	Toucan__VmState *state = &s->passed[s->fleet.n_vms - 1];
	int i;

	toucan__vm_state__init(state);
	state->id = m->id;
	state->incarnation = m->incarnation;
	state->addr = m->addr;
	for (i = 0; i < m->use_count && s->use_count < USES_MAX; i++) {
		if (!m->uses[i].pass_on)
			continue;
		m->uses[i].pass_on = false;
		add_use(s, state, m->uses[i].account, m->uses[i].granted, m->uses[i].number);
	}
	if (state->n_uses > 0)
		s->vms[s->fleet.n_vms++] = state;
}

static void tell(struct tlb_vms *v, const char *vm, struct statement *s)
{
	Toucan__Envelope e = TOUCAN__ENVELOPE__INIT;

	e.body_case = TOUCAN__ENVELOPE__BODY_FLEET_STATE;
	e.fleet_state = &s->fleet;
	tlb_peers_tell(&v->peers, vm, &e);
}

static size_t linked_neighbours(const struct tlb_vms *v, struct tlb_vm **out, size_t most)
{
	struct tlb_vm *m;
	size_t n = 0;

	APR_RING_FOREACH (m, &v->all, tlb_vm, link) {
		if (n < most && tlb_peer_is_up(tlb_peers_find(&v->peers, m->id)))
			out[n++] = m;
	}
	return n;
}

/* Everyone linked hears this VM's own state; the grants of others go to a few at random, and to
 * nobody in a fleet in which all are neighbours. */
static void send_states(struct tlb_vms *v)
{
	static struct statement s;
	struct tlb_vm *to[4 * TLB_VMS_NEIGHBOURS];
	size_t n = linked_neighbours(v, to, sizeof(to) / sizeof(to[0]));
	bool small = tlb_vms_count(v) <= TLB_VMS_NEIGHBOURS + 1;
	struct tlb_vm *m;
	size_t left = n;
	size_t i;

	state_own(v, &s);
	while (n - left < TLB_VMS_FANOUT && left > 0 && !small) {
		if (left == n) {
			APR_RING_FOREACH (m, &v->all, tlb_vm, link) {
				if (s.fleet.n_vms < PASSED_MAX)
					pass_on(&s, m);
			}
		}
		i = (size_t)tlb_random_below(&v->board->random, (int)left);
		tell(v, to[i]->id, &s);
		to[i] = to[--left];
	}
	s.fleet.n_vms = 1;
	for (i = 0; i < left; i++)
		tell(v, to[i]->id, &s);
}

static struct tlb_vm_use *use_of(struct tlb_vm *m, const char *account)
{
	struct tlb_vm_use *grown;
	int i;

	for (i = 0; i < m->use_count; i++)
		if (strcmp(m->uses[i].account, account) == 0)
			return &m->uses[i];
	if (strlen(account) >= TLB_NAME_LEN || m->use_count == USES_MAX)
		return NULL;
	grown = realloc(m->uses, (size_t)(m->use_count + 1) * sizeof(*grown));
	if (!grown)
		return NULL;
	m->uses = grown;
	memset(&grown[m->use_count], 0, sizeof(*grown));
	strcpy(grown[m->use_count].account, account);
	return &grown[m->use_count++];
}

/* Whether a VM has been up no longer than this one, so that all it has granted is news here. */
static bool started_later(const struct tlb_vms *v, uint64_t incarnation)
{
	/* The upper bits are milliseconds; VMs that start together differ by some hundred. */
	return (incarnation >> 16) + 2000 >= (v->incarnation >> 16);
}

static void take_use(struct tlb_vms *v, struct tlb_vm *m, const Toucan__AccountUse *u, bool counts,
		     tlb_time now)
{
	struct tlb_vm_use *mine = use_of(m, u->account);
	struct tlb_quota *q = tlb_quotas_find(&v->board->quotas, u->account);

	if (!mine || u->number <= mine->number)
		return;
	if (mine->number == 0 && !started_later(v, m->incarnation))
		counts = false;
	if (q && counts)
		tlb_quota_granted_elsewhere(&v->board->quotas, q, u->granted - mine->granted, now);
	mine->granted = u->granted;
	mine->number = u->number;
	mine->pass_on = true;
}

/* A VM that was cut off granted from its own share, which this VM's bucket did not refill either;
 * only what it grants from now on is taken from the bucket. */
static void take_state(struct tlb_vms *v, const Toucan__VmState *s, bool own)
{
	struct tlb_vm *m = add(v, s->id, s->addr);
	tlb_time now = tlb_clock_now();
	bool counts;
	size_t i;

	if (!m || s->incarnation < m->incarnation)
		return;
	counts = !m->neighbour || m->heard_at == 0 || !is_silent(v, m, now);
	if (s->incarnation > m->incarnation) {
		m->use_count = 0;
		counts = true;
	}
	m->incarnation = s->incarnation;
	for (i = 0; i < s->n_uses; i++)
		take_use(v, m, s->uses[i], counts, now);
	m->known_at = now;
	if (!own)
		return;
	if (m->heard_at && is_silent(v, m, now))
		tlb_log_info("event=vm_heard_again vm=%s after_ms=%lld", m->id,
			     (long long)((now - m->heard_at) / TLB_MS));
	m->leaving = s->leaving;
	m->heard_at = now;
}

static bool is_behind(tlb_time since, tlb_time now)
{
	return since > 0 && now >= since + BEHIND_WAIT;
}

static void note_behind(tlb_time *since, bool behind)
{
	if (!behind)
		*since = 0;
	else if (*since == 0)
		*since = tlb_clock_now();
}

static void compare_versions(struct tlb_vms *v, const Toucan__VmState *s)
{
	if (s->config_version > v->board->routing->version)
		note_behind(&v->behind_config, true);
	if (s->instances_version > v->instances_known)
		note_behind(&v->behind_instances, true);
}

/* --- configurations --- */

/* The store usually tells this VM a moment later or earlier; a neighbour is asked when it has not.
 */
static void pull_document(struct tlb_vms *v, const char *vm)
{
	Toucan__ConfigPull pull = TOUCAN__CONFIG_PULL__INIT;
	Toucan__Envelope e = TOUCAN__ENVELOPE__INIT;
	tlb_time now = tlb_clock_now();

	if (now < v->pull_deadline || !is_behind(v->behind_config, now))
		return;
	v->pull_deadline = now + PULL_INTERVAL;
	pull.have_version = v->board->routing->version;
	e.body_case = TOUCAN__ENVELOPE__BODY_CONFIG_PULL;
	e.config_pull = &pull;
	tlb_log_info("event=config_pull from=%s have=%lld", vm, (long long)pull.have_version);
	tlb_peers_tell(&v->peers, vm, &e);
}

static void send_document(struct tlb_vms *v, const char *vm, int64_t have)
{
	Toucan__ConfigRow row = TOUCAN__CONFIG_ROW__INIT;
	Toucan__ConfigRow *rows[1] = {&row};
	Toucan__ConfigRows answer = TOUCAN__CONFIG_ROWS__INIT;
	Toucan__Envelope e = TOUCAN__ENVELOPE__INIT;

	if (!v->document || v->board->routing->version <= have)
		return;
	row.key = "document";
	row.version = v->board->routing->version;
	row.json = v->document;
	answer.version = row.version;
	answer.rows = rows;
	answer.n_rows = 1;
	e.body_case = TOUCAN__ENVELOPE__BODY_CONFIG_ROWS;
	e.config_rows = &answer;
	if (!tlb_peers_tell(&v->peers, vm, &e))
		tlb_log_warn("event=config_not_sent to=%s version=%lld bytes=%zu", vm,
			     (long long)answer.version, v->document_len);
}

static void take_document(struct tlb_vms *v, const Toucan__ConfigRows *rows)
{
	if (rows->n_rows == 1 && rows->version > v->board->routing->version)
		v->on_document(v->arg, rows->rows[0]->json, strlen(rows->rows[0]->json));
}

void tlb_vms_keep_document(struct tlb_vms *v, const char *text, size_t len)
{
	free(v->document);
	v->document = malloc(len + 1);
	if (!v->document)
		return;
	memcpy(v->document, text, len);
	v->document[len] = '\0';
	v->document_len = len;
}

/* --- messages --- */

static void on_message(void *arg, struct tlb_peer *peer, Toucan__Envelope *msg)
{
	struct tlb_vms *v = arg;
	size_t i;

	switch (msg->body_case) {
	case TOUCAN__ENVELOPE__BODY_FLEET_STATE:
		for (i = 0; i < msg->fleet_state->n_vms; i++)
			take_state(v, msg->fleet_state->vms[i], i == 0);
		apply_share(v, tlb_clock_now());
		if (msg->fleet_state->n_vms == 0)
			return;
		compare_versions(v, msg->fleet_state->vms[0]);
		if (msg->fleet_state->vms[0]->config_version > v->board->routing->version)
			pull_document(v, peer->id);
		return;
	case TOUCAN__ENVELOPE__BODY_CONFIG_PULL:
		send_document(v, peer->id, msg->config_pull->have_version);
		return;
	case TOUCAN__ENVELOPE__BODY_CONFIG_ROWS:
		take_document(v, msg->config_rows);
		return;
	default:
		tlb_log_warn("event=peer_message_unknown vm=%s kind=%d", peer->id,
			     (int)msg->body_case);
	}
}

static bool accepts(void *arg, const char *vm, uint64_t incarnation)
{
	return true;
}

static void on_up(void *arg, struct tlb_peer *peer)
{
	tlb_log_info("event=peer_up vm=%s", peer->id);
}

/* --- timers and notes --- */

/* Acts on neighbours' knowledge that the store has still not told this VM. */
static void check_behind(struct tlb_vms *v, tlb_time now)
{
	if (now < v->refresh_deadline)
		return;
	if (is_behind(v->behind_config, now))
		v->on_config_behind(v->arg);
	if (is_behind(v->behind_instances, now))
		v->on_instances_behind(v->arg);
	if (is_behind(v->behind_config, now) || is_behind(v->behind_instances, now))
		v->refresh_deadline = now + REFRESH_INTERVAL;
}

static void on_state_timer(void *arg)
{
	struct tlb_vms *v = arg;
	tlb_time now = tlb_clock_now();

	forget_lost(v, now);
	apply_share(v, now);
	check_behind(v, now);
	send_states(v);
	v->stated_at = now;
	tlb_timer_set(v->board->loop, &v->state_timer, now + tlb_vms_interval(v));
}

void tlb_vms_note_grant(struct tlb_vms *v, struct tlb_quota *q)
{
	tlb_time scale = tlb_vms_interval(v) / TLB_VMS_INTERVAL;
	tlb_time at = v->stated_at + TLB_VMS_INTERVAL_LEAST * scale;

	if (!v->listening || q->rate == 0 ||
	    (double)(q->granted - q->stated) < (double)q->burst * TELL_SHARE)
		return;
	if (at < v->state_timer.deadline)
		tlb_timer_set(v->board->loop, &v->state_timer, at);
}

void tlb_vms_note_config(struct tlb_vms *v)
{
	v->behind_config = 0;
}

void tlb_vms_note_instance(struct tlb_vms *v, int64_t version)
{
	if (version <= v->instances_version)
		return;
	v->instances_version = version;
}

void tlb_vms_note_instances_known(struct tlb_vms *v, int64_t version)
{
	if (version <= v->instances_known)
		return;
	v->instances_known = version;
	v->behind_instances = 0;
}

/* The secret is known: VMs can be talked to. */
static void open_listener(void *arg, const char *hex)
{
	struct tlb_vms *v = arg;
	struct tlb_settings *s = v->board->settings;
	struct tlb_error err;
	size_t len = 0;

	s->peer_keys[0].id = KEY_ID;
	if (sodium_hex2bin(s->peer_keys[0].secret, sizeof(s->peer_keys[0].secret), hex, strlen(hex),
			   NULL, &len, NULL) != 0 ||
	    len != TLB_SECRET_LEN) {
		tlb_log_error("event=peer_key_unreadable");
		return;
	}
	s->peer_key_count = 1;
	v->peers.keys.key = s->peer_keys;
	v->peers.keys.count = 1;
	if (tlb_peers_listen(&v->peers, s->peer_addr, &err) != TLB_OK) {
		tlb_log_error("event=peer_listen_failed reason=\"%s\"", err.message);
		return;
	}
	v->listening = true;
	tlb_vm_rows_announce(&v->rows, v->peers.addr);
	on_state_timer(v);
}

static void on_vm_row(void *arg, const char *id, const char *addr)
{
	struct tlb_vms *v = arg;

	if (!find(v, id))
		add(v, id, addr);
}

static int count_vms(void *arg)
{
	return tlb_vms_count(arg);
}

/* --- start and end --- */

void tlb_vms_init(struct tlb_vms *v, struct tlb_edge_board *b, struct tlb_rowstore *store)
{
	const struct tlb_peers_handlers handlers = {
		.arg = v,
		.accepts = accepts,
		.on_up = on_up,
		.on_message = on_message,
	};

	const struct tlb_vm_rows_handlers row_handlers = {
		.arg = v,
		.on_secret = open_listener,
		.on_vm = on_vm_row,
		.count = count_vms,
	};

	memset(v, 0, sizeof(*v));
	v->board = b;
	tlb_vm_rows_init(&v->rows, store, &b->random, b->settings->vm_id, &row_handlers);
	/* Later starts have greater numbers, as far as the wall clock goes forward. */
	v->incarnation = ((uint64_t)tlb_clock_wall_ms() << 16) | randombytes_uniform(1 << 16);
	APR_RING_INIT(&v->all, tlb_vm, link);
	tlb_timer_init(&v->state_timer, on_state_timer, v);
	tlb_peers_init(&v->peers, b->loop, &b->counters, b->settings, &handlers);
	tlb_peers_set_incarnation(&v->peers, v->incarnation);
}

void tlb_vms_start(struct tlb_vms *v)
{
	tlb_vm_rows_start(&v->rows);
}

void tlb_vms_leave(struct tlb_vms *v)
{
	v->leaving = true;
	if (!v->listening)
		return;
	send_states(v);
	tlb_vm_rows_withdraw(&v->rows);
}

void tlb_vms_finish(struct tlb_vms *v)
{
	struct tlb_vm *m;

	tlb_vm_rows_finish(&v->rows);
	tlb_timer_clear(v->board->loop, &v->state_timer);
	tlb_peers_finish(&v->peers);
	while (!APR_RING_EMPTY(&v->all, tlb_vm, link)) {
		m = APR_RING_FIRST(&v->all);
		APR_RING_REMOVE(m, link);
		free(m->uses);
		free(m);
	}
	free(v->document);
}
