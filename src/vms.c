#include "vms.h"

#include <inttypes.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "address.h"
#include "edgeboard.h"
#include "log.h"
#include "rank.h"

/* Unreported grants, as a share of the account's burst, that trigger an early report. */
#define EARLY_REPORT_SHARE 0.03
/* Unreported grants, as a share of the account's burst, below which a report omits the account. */
#define MIN_REPORT_SHARE 0.002
enum { KEY_ID = 1 };
/* After a change of the peer key, the former one signs for the time in which all VMs learn of the
 * new one and this long beyond. */
#define KEY_CHANGE_MARGIN (3 * TLB_SECOND)

/* --- list of VMs --- */

uint64_t tlb_vms_hash(const char *name)
{
	static const unsigned char key[crypto_shorthash_KEYBYTES];
	uint64_t out;

	crypto_shorthash((unsigned char *)&out, (const unsigned char *)name, strlen(name), key);
	return out;
}

struct tlb_vm *tlb_vms_find(const struct tlb_vms *v, const char *id)
{
	uint64_t hash = tlb_vms_hash(id);
	struct tlb_vm *m;

	APR_RING_FOREACH (m, &v->all, tlb_vm, link) {
		if (m->id_hash == hash && strcmp(m->id, id) == 0)
			return m;
	}
	return NULL;
}

/* Rendezvous hash of a pair of ids; both ends compute the same value. */
static uint64_t pair_weight(const char *a, const char *b)
{
	static const unsigned char key[crypto_shorthash_KEYBYTES];
	char pair[2 * TLB_ID_LEN + 2];
	uint64_t out;

	snprintf(pair, sizeof(pair), "%s/%s", strcmp(a, b) < 0 ? a : b, strcmp(a, b) < 0 ? b : a);
	crypto_shorthash((unsigned char *)&out, (const unsigned char *)pair, strlen(pair), key);
	return out;
}

/* The finalizer of splitmix64 over a combination of both hashes. */
uint64_t tlb_vms_weight(uint64_t a, uint64_t b)
{
	uint64_t x = a ^ (b * 0x9e3779b97f4a7c15ULL);

	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
	x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
	return x ^ (x >> 31);
}

static int rank(const struct tlb_vms *v, uint64_t key, bool with_leaving, tlb_time now,
		char ids[][TLB_ID_LEN], int most)
{
	struct tlb_ranked lowest[TLB_VMS_RANK_MAX];
	struct tlb_vm *m;
	int count = 0;
	int i;

	if (most > TLB_VMS_RANK_MAX)
		most = TLB_VMS_RANK_MAX;
	if (!v->leaving || with_leaving)
		count = tlb_rank_offer(lowest, count, most, tlb_vms_weight(key, v->id_hash), NULL);
	APR_RING_FOREACH (m, &v->all, tlb_vm, link) {
		if ((!m->leaving || with_leaving) && !m->gone && m->avoid_until <= now)
			count = tlb_rank_offer(lowest, count, most, tlb_vms_weight(key, m->id_hash),
					       m);
	}
	for (i = 0; i < count; i++) {
		m = lowest[i].item;
		strcpy(ids[i], m ? m->id : v->peers.self);
	}
	return count;
}

int tlb_vms_rank(const struct tlb_vms *v, uint64_t key, tlb_time now, char ids[][TLB_ID_LEN],
		 int most)
{
	return rank(v, key, false, now, ids, most);
}

int tlb_vms_rank_all(const struct tlb_vms *v, uint64_t key, tlb_time now, char ids[][TLB_ID_LEN],
		     int most)
{
	return rank(v, key, true, now, ids, most);
}

int tlb_vms_rank_true(const struct tlb_vms *v, uint64_t key, char ids[][TLB_ID_LEN], int most)
{
	return rank(v, key, true, TLB_NEVER, ids, most);
}

int tlb_vms_own_rank(const struct tlb_vms *v, uint64_t key)
{
	uint64_t own = tlb_vms_weight(key, v->id_hash);
	const struct tlb_vm *m;
	int n = 0;

	APR_RING_FOREACH (m, &v->all, tlb_vm, link) {
		n += !m->gone && tlb_vms_weight(key, m->id_hash) < own;
	}
	return n;
}

void tlb_vms_avoid(struct tlb_vms *v, const char *id, tlb_time until)
{
	struct tlb_vm *m = tlb_vms_find(v, id);

	if (m)
		m->avoid_until = until;
}

static void count_vms(struct tlb_vms *v)
{
	const struct tlb_vm *m;
	tlb_time now = tlb_clock_now();

	if (v->count >= v->recent_count || now >= v->recent_until) {
		v->recent_count = v->count;
		v->recent_until = now + TLB_VMS_EXPIRY;
	}
	v->count = 1;
	APR_RING_FOREACH (m, &v->all, tlb_vm, link) {
		v->count += !m->leaving && !m->gone;
	}
}

static void set_leaving(struct tlb_vms *v, struct tlb_vm *m, bool leaving)
{
	m->leaving = leaving;
	m->last_seen_at = tlb_clock_now();
	count_vms(v);
}

void tlb_vms_set_leaving(struct tlb_vms *v, const char *id, uint64_t incarnation)
{
	struct tlb_vm *m = tlb_vms_find(v, id);

	if (!m || m->gone || m->leaving || incarnation != m->incarnation)
		return;
	m->announce = true;
	set_leaving(v, m, true);
}

/* The VMs with the lowest weights are neighbours, so the selection changes little when VMs join or
 * leave. Runs for every VM that is learned, so it makes a single pass over weights that were
 * computed when the VMs were added. */
static void choose_neighbours(struct tlb_vms *v)
{
	struct tlb_ranked lowest[TLB_VMS_NEIGHBOURS];
	struct tlb_vm *m;
	bool selected;
	int count = 0;
	int i;

	APR_RING_FOREACH (m, &v->all, tlb_vm, link) {
		if (!m->gone && (!m->leaving || m->neighbour))
			count = tlb_rank_offer(lowest, count, TLB_VMS_NEIGHBOURS, m->pair_weight,
					       m);
	}
	APR_RING_FOREACH (m, &v->all, tlb_vm, link) {
		selected = false;
		for (i = 0; i < count; i++)
			selected |= lowest[i].item == m;
		if (m->neighbour == selected)
			continue;
		m->neighbour = selected;
		m->last_seen_at = tlb_clock_now();
		tlb_peers_set_persistent(&v->peers, m->id, selected);
	}
	count_vms(v);
}

static struct tlb_vm *add_vm(struct tlb_vms *v, const char *id, const char *addr)
{
	struct tlb_vm *m;

	if (strcmp(id, v->peers.self) == 0 || strlen(id) >= TLB_ID_LEN ||
	    strlen(addr) >= TLB_ADDR_LEN || !tlb_table_id_valid(id) || !tlb_address_valid(addr, 1))
		return NULL;
	m = tlb_vms_find(v, id);
	if (m && strcmp(m->addr, addr) == 0)
		return m;
	if (!m) {
		m = calloc(1, sizeof(*m));
		if (!m)
			return NULL;
		strcpy(m->id, id);
		m->pair_weight = pair_weight(v->peers.self, id);
		m->id_hash = tlb_vms_hash(id);
		m->last_seen_at = tlb_clock_now();
		APR_RING_INSERT_TAIL(&v->all, m, tlb_vm, link);
		tlb_log_info("event=vm_known vm=%s addr=%s", id, addr);
	}
	strcpy(m->addr, addr);
	m->peer = tlb_peers_add(&v->peers, id, addr);
	choose_neighbours(v);
	return m;
}

static void remove_vm(struct tlb_vms *v, struct tlb_vm *m)
{
	tlb_log_info("event=vm_forgotten vm=%s leaving=%d", m->id, m->leaving);
	tlb_peers_disconnect(&v->peers, m->id);
	APR_RING_REMOVE(m, link);
	free(m->uses);
	free(m);
}

tlb_time tlb_vms_report_interval(const struct tlb_vms *v)
{
	int n = tlb_vms_count(v);
	tlb_time interval = TLB_VMS_REPORT_INTERVAL;

	if (n > TLB_VMS_SMALL_FLEET)
		interval = TLB_VMS_REPORT_INTERVAL * n / TLB_VMS_SMALL_FLEET;
	return interval < TLB_VMS_REPORT_MAX_INTERVAL ? interval : TLB_VMS_REPORT_MAX_INTERVAL;
}

static bool is_silent(const struct tlb_vms *v, const struct tlb_vm *m, tlb_time now)
{
	tlb_time wait = TLB_VMS_MISSED_REPORTS * tlb_vms_report_interval(v);

	return now >=
	       m->last_report_at +
		       (wait > TLB_VMS_SILENCE_MIN_TIMEOUT ? wait : TLB_VMS_SILENCE_MIN_TIMEOUT);
}

/* Only linked VMs are expected to report; of other VMs it is known by those linked to them that
 * they are gone. */
static bool has_expired(const struct tlb_vms *v, const struct tlb_vm *m, tlb_time now)
{
	tlb_time since = m->last_report_at > m->last_seen_at ? m->last_report_at : m->last_seen_at;

	if (m->leaving && (m->neighbour || m->keeps_link))
		return is_silent(v, m, now);
	return (m->neighbour || m->leaving) && now >= since + TLB_VMS_EXPIRY;
}

/* Takes a VM out of the fleet. The entry is freed once the other VMs were told. */
static void set_gone(struct tlb_vms *v, struct tlb_vm *m)
{
	m->gone = true;
	m->announce = true;
	if (m->neighbour)
		tlb_peers_set_persistent(&v->peers, m->id, false);
	m->neighbour = false;
}

static void remove_expired_vms(struct tlb_vms *v, tlb_time now)
{
	struct tlb_vm *m;
	struct tlb_vm *next;
	bool removed = false;

	APR_RING_FOREACH_SAFE (m, next, &v->all, tlb_vm, link) {
		if (m->gone && !m->announce) {
			remove_vm(v, m);
		} else if (!m->gone && has_expired(v, m, now)) {
			set_gone(v, m);
			removed = true;
		}
	}
	if (removed)
		choose_neighbours(v);
}

int tlb_vms_count(const struct tlb_vms *v)
{
	return v->count;
}

int tlb_vms_recent_count(const struct tlb_vms *v)
{
	return v->recent_count > v->count && tlb_clock_now() < v->recent_until ? v->recent_count
									       : v->count;
}

double tlb_vms_reachable_share(const struct tlb_vms *v, tlb_time now)
{
	const struct tlb_vm *m;
	int neighbours = 0;
	int reachable = 0;

	APR_RING_FOREACH (m, &v->all, tlb_vm, link) {
		/* One that is leaving reports until it stops. */
		if (!m->neighbour || (m->leaving && is_silent(v, m, now)))
			continue;
		neighbours++;
		reachable += !is_silent(v, m, now);
	}
	if (reachable == 0)
		return 1.0 / tlb_vms_count(v);
	return (double)(reachable + 1) / (neighbours + 1);
}

/* Whether the VM, to which this one keeps a link, has not reported for a while. */
static bool is_lost_neighbour(const struct tlb_vms *v, const struct tlb_vm *m, tlb_time now)
{
	return m->neighbour && is_silent(v, m, now) && now >= m->last_seen_at + TLB_VMS_EXPIRY / 3;
}

bool tlb_vms_has_lowest_id(const struct tlb_vms *v, tlb_time now)
{
	const struct tlb_vm *m;

	if (!v->listening || v->leaving)
		return false;
	APR_RING_FOREACH (m, &v->all, tlb_vm, link) {
		if (!m->leaving && !m->gone && !is_lost_neighbour(v, m, now) &&
		    strcmp(m->id, v->peers.self) < 0)
			return false;
	}
	return true;
}

static void apply_share(struct tlb_vms *v, tlb_time now)
{
	struct tlb_quotas *q = &v->board->quotas;
	double share = tlb_vms_reachable_share(v, now);

	if (share >= q->share && share <= q->share)
		return;
	tlb_log_info("event=fleet_share share=%.3f before=%.3f vms=%d", share, q->share,
		     tlb_vms_count(v));
	tlb_quotas_set_share(q, share, now);
}

/* --- state reports --- */

/* LINKED_MAX: VMs that get reports; on average twice TLB_VMS_NEIGHBOURS. */
enum { USES_MAX = 512, FORWARDED_MAX = 256, LINKED_MAX = 8 * TLB_VMS_NEIGHBOURS };

/* One FleetState message. Strings are borrowed from the board until it is sent. */
struct fleet_report {
	Toucan__FleetState fleet;
	Toucan__VmState own;
	Toucan__VmState forwarded[FORWARDED_MAX];
	Toucan__VmState *vms[1 + FORWARDED_MAX];
	Toucan__AccountUse use[USES_MAX];
	Toucan__AccountUse *uses[USES_MAX];
	size_t use_count;
};

static void add_use(struct fleet_report *s, Toucan__VmState *state, char *account, int64_t granted,
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

/* Smaller grants are reported with later ones; until then they exceed the limit by little. */
static bool needs_report(const struct tlb_quota *q)
{
	double change = (double)(q->granted - q->reported);

	return q->rate > 0 && (change < 0 || change > (double)q->burst * MIN_REPORT_SHARE);
}

/* with_grants: adds the grants that are not reported yet, which counts them as reported. */
static void add_own_state(struct tlb_vms *v, struct fleet_report *s, bool with_grants)
{
	struct tlb_quota *q;

	toucan__fleet_state__init(&s->fleet);
	toucan__vm_state__init(&s->own);
	s->use_count = 0;
	s->own.id = v->peers.self;
	s->own.incarnation = v->incarnation;
	s->own.addr = v->peers.addr;
	s->own.config_version = v->board->routing->version;
	s->own.leaving = v->leaving;
	v->handlers.fill_state(v->handlers.arg, &s->own);
	s->vms[0] = &s->own;
	s->fleet.vms = s->vms;
	s->fleet.n_vms = 1;
	APR_RING_FOREACH (q, &v->board->quotas.all, tlb_quota, link) {
		if (!with_grants || !needs_report(q) || s->use_count == USES_MAX)
			continue;
		add_use(s, &s->own, q->account, q->granted, ++v->last_use_seq);
		q->reported = q->granted;
	}
}

static void add_forwarded_uses(struct fleet_report *s, struct tlb_vm *m)
{
	Toucan__VmState *state = &s->forwarded[s->fleet.n_vms - 1];
	int i;

	toucan__vm_state__init(state);
	state->id = m->id;
	state->incarnation = m->incarnation;
	state->addr = m->addr;
	state->leaving = m->leaving;
	state->gone = m->gone;
	for (i = 0; i < m->use_count && s->use_count < USES_MAX; i++) {
		if (!m->uses[i].forward)
			continue;
		m->uses[i].forward = false;
		add_use(s, state, m->uses[i].account, m->uses[i].granted, m->uses[i].seq);
	}
	if (state->n_uses > 0 || m->announce)
		s->vms[s->fleet.n_vms++] = state;
	m->announce = false;
}

static void send_report(struct tlb_vms *v, const char *vm, struct fleet_report *s)
{
	const struct tlb_vm *m = tlb_vms_find(v, vm);
	Toucan__Envelope e = TOUCAN__ENVELOPE__INIT;

	s->own.keeps_link = m && m->neighbour;
	e.body_case = TOUCAN__ENVELOPE__BODY_FLEET_STATE;
	e.fleet_state = &s->fleet;
	tlb_peers_send_if_up(&v->peers, vm, &e);
}

static size_t linked_vms(const struct tlb_vms *v, struct tlb_vm **out, size_t max)
{
	struct tlb_vm *m;
	size_t n = 0;

	APR_RING_FOREACH (m, &v->all, tlb_vm, link) {
		if (n < max && tlb_vm_is_linked(m))
			out[n++] = m;
	}
	return n;
}

static bool has_announcements(const struct tlb_vms *v)
{
	const struct tlb_vm *m;

	APR_RING_FOREACH (m, &v->all, tlb_vm, link) {
		if (m->announce)
			return true;
	}
	return false;
}

static void clear_announcements(struct tlb_vms *v)
{
	struct tlb_vm *m;

	APR_RING_FOREACH (m, &v->all, tlb_vm, link) {
		m->announce = false;
	}
}

/* Sends this VM's own state to every linked VM, and the grants of other VMs to a few of these at
 * random. Changes of the membership are made known to every linked VM, because the ranking of VMs
 * must soon be the same everywhere. In a fleet where all VMs are neighbours nothing needs to
 * be forwarded. */
static void send_reports(struct tlb_vms *v)
{
	static struct fleet_report s;
	struct tlb_vm *to[LINKED_MAX];
	size_t n = linked_vms(v, to, sizeof(to) / sizeof(to[0]));
	bool all_neighbours = tlb_vms_count(v) <= TLB_VMS_NEIGHBOURS + 1;
	struct tlb_vm *m;
	size_t fanout = has_announcements(v) ? n : TLB_VMS_FANOUT;
	size_t remaining = n;
	size_t i;

	add_own_state(v, &s, true);
	if (all_neighbours)
		clear_announcements(v);
	while (n - remaining < fanout && remaining > 0 && !all_neighbours) {
		if (remaining == n) {
			APR_RING_FOREACH (m, &v->all, tlb_vm, link) {
				if (s.fleet.n_vms < FORWARDED_MAX)
					add_forwarded_uses(&s, m);
			}
		}
		i = (size_t)tlb_random_below(&v->board->random, (int)remaining);
		send_report(v, to[i]->id, &s);
		to[i] = to[--remaining];
	}
	s.fleet.n_vms = 1;
	for (i = 0; i < remaining; i++)
		send_report(v, to[i]->id, &s);
}

static struct tlb_vm_account_use *get_use(struct tlb_vm *m, const char *account)
{
	struct tlb_vm_account_use *new_uses;
	int i;

	for (i = 0; i < m->use_count; i++)
		if (strcmp(m->uses[i].account, account) == 0)
			return &m->uses[i];
	if (strlen(account) >= TLB_LABEL_LEN || m->use_count == USES_MAX)
		return NULL;
	new_uses = realloc(m->uses, (size_t)(m->use_count + 1) * sizeof(*new_uses));
	if (!new_uses)
		return NULL;
	m->uses = new_uses;
	memset(&new_uses[m->use_count], 0, sizeof(*new_uses));
	strcpy(new_uses[m->use_count].account, account);
	return &new_uses[m->use_count++];
}

/* Whether a VM started no earlier than this one, so that none of its grants preceded this VM's
 * bucket. */
static bool started_no_earlier(const struct tlb_vms *v, uint64_t incarnation)
{
	/* The upper bits are milliseconds. VMs started together differ by some hundred. */
	return (incarnation >> 16) + 2000 >= (v->incarnation >> 16);
}

static void apply_use(struct tlb_vms *v, struct tlb_vm *m, const Toucan__AccountUse *u, bool deduct,
		      tlb_time now)
{
	struct tlb_vm_account_use *known = get_use(m, u->account);
	struct tlb_quota *q = tlb_quotas_find(&v->board->quotas, u->account);

	if (!known || u->number <= known->seq)
		return;
	if (known->seq == 0 && !started_no_earlier(v, m->incarnation))
		deduct = false;
	if (q && deduct)
		tlb_quota_add_remote(&v->board->quotas, q, u->granted - known->granted, now);
	known->granted = u->granted;
	known->seq = u->number;
	known->forward = true;
}

/* Applies what another VM says of a third one that has left the fleet. A VM that this one hears
 * from itself stays, and so does a later incarnation. */
static void apply_gone(struct tlb_vms *v, const Toucan__VmState *s, tlb_time now)
{
	struct tlb_vm *m = tlb_vms_find(v, s->id);

	if (!m || m->gone || s->incarnation < m->incarnation ||
	    (m->last_report_at > 0 && !is_silent(v, m, now)))
		return;
	set_gone(v, m);
	choose_neighbours(v);
}

/* Finds or adds the VM that a report describes, and marks it for forwarding when it is new. */
static struct tlb_vm *vm_of_report(struct tlb_vms *v, const Toucan__VmState *s, bool own)
{
	struct tlb_vm *m = tlb_vms_find(v, s->id);

	/* An old rumour must not bring back a VM that is known to be gone. */
	if (m && m->gone && !own && s->incarnation <= m->incarnation)
		return NULL;
	if (m && !m->gone)
		return add_vm(v, s->id, s->addr);
	if (s->leaving)
		return NULL;
	m = add_vm(v, s->id, s->addr);
	if (!m)
		return NULL;
	m->announce = true;
	if (m->gone) {
		m->gone = false;
		m->leaving = false;
		tlb_peers_add(&v->peers, m->id, m->addr);
		choose_neighbours(v);
	}
	return m;
}

/* What a VM granted while partitioned came from its own share, which this VM's bucket was not
 * refilled with either. Only its later grants are deducted from the bucket. */
static void apply_state(struct tlb_vms *v, const Toucan__VmState *s, bool own)
{
	tlb_time now = tlb_clock_now();
	struct tlb_vm *m;
	bool deduct;
	size_t i;

	if (s->gone && !own) {
		apply_gone(v, s, now);
		return;
	}
	m = vm_of_report(v, s, own);
	if (!m || s->incarnation < m->incarnation)
		return;
	deduct = !m->neighbour || m->last_report_at == 0 || !is_silent(v, m, now);
	/* A VM that has returned after its shutdown was announced to all as leaving. */
	if (m->leaving != s->leaving && (own || s->leaving || s->incarnation > m->incarnation)) {
		m->announce = true;
		set_leaving(v, m, s->leaving);
	}
	if (s->incarnation > m->incarnation) {
		m->use_count = 0;
		m->avoid_until = 0;
		deduct = true;
	}
	m->incarnation = s->incarnation;
	for (i = 0; i < s->n_uses; i++)
		apply_use(v, m, s->uses[i], deduct, now);
	if (!own)
		return;
	m->keeps_link = s->keeps_link;
	if (m->last_report_at && is_silent(v, m, now))
		tlb_log_info("event=vm_heard_again vm=%s after_ms=%lld", m->id,
			     (long long)((now - m->last_report_at) / TLB_MS));
	m->last_seen_at = now;
	m->last_report_at = now;
}

/* --- messages --- */

static void on_message(void *arg, struct tlb_peer *peer, Toucan__Envelope *msg)
{
	struct tlb_vms *v = arg;
	struct tlb_vm *sender;
	size_t i;

	switch (msg->body_case) {
	case TOUCAN__ENVELOPE__BODY_FLEET_STATE:
		for (i = 0; i < msg->fleet_state->n_vms; i++)
			apply_state(v, msg->fleet_state->vms[i], i == 0);
		sender = tlb_vms_find(v, peer->id);
		if (sender && msg->fleet_state->n_vms > 0)
			v->handlers.on_state(v->handlers.arg, sender, msg->fleet_state->vms[0]);
		return;
	case TOUCAN__ENVELOPE__BODY_TABLE_ROWS:
	case TOUCAN__ENVELOPE__BODY_TABLE_PULL:
		v->handlers.on_table_message(v->handlers.arg, peer->id, msg);
		return;
	case TOUCAN__ENVELOPE__BODY_ACQUIRE_COST:
	case TOUCAN__ENVELOPE__BODY_COST_NOTICE:
		v->handlers.on_quota_message(v->handlers.arg, peer, msg);
		return;
	case TOUCAN__ENVELOPE__BODY_OVERLOAD_REPORT:
		v->handlers.on_overload_report(v->handlers.arg, peer, msg);
		return;
	case TOUCAN__ENVELOPE__BODY_SUSPECT_PARTS:
		v->handlers.on_suspect_parts(v->handlers.arg, msg->suspect_parts);
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

/* The report tells the other VM at once what this one knows and lacks. */
static void on_up(void *arg, struct tlb_peer *peer)
{
	static struct fleet_report s;
	struct tlb_vms *v = arg;

	tlb_log_info("event=peer_up vm=%s", peer->id);
	add_own_state(v, &s, false);
	send_report(v, peer->id, &s);
}

/* --- timers and local events --- */

/* A VM that no longer has this one as its neighbour stops reporting to it. */
static void forget_unkept_links(struct tlb_vms *v, tlb_time now)
{
	struct tlb_vm *m;

	APR_RING_FOREACH (m, &v->all, tlb_vm, link) {
		if (m->keeps_link && is_silent(v, m, now))
			m->keeps_link = false;
	}
}

static void on_report_timer(void *arg)
{
	struct tlb_vms *v = arg;
	tlb_time now = tlb_clock_now();

	remove_expired_vms(v, now);
	forget_unkept_links(v, now);
	apply_share(v, now);
	send_reports(v);
	v->last_report_at = now;
	tlb_timer_set(v->board->loop, &v->report_timer, now + tlb_vms_report_interval(v));
}

void tlb_vms_on_grant(struct tlb_vms *v, struct tlb_quota *q)
{
	tlb_time scale = tlb_vms_report_interval(v) / TLB_VMS_REPORT_INTERVAL;
	tlb_time at = v->last_report_at + TLB_VMS_REPORT_MIN_INTERVAL * scale;

	if (!v->listening || q->rate == 0 ||
	    (double)(q->granted - q->reported) < (double)q->burst * EARLY_REPORT_SHARE)
		return;
	if (at < v->report_timer.deadline)
		tlb_timer_set(v->board->loop, &v->report_timer, at);
}

static bool has_secret(const struct tlb_peer_key *a, const struct tlb_peer_key *b)
{
	return sodium_memcmp(a->secret, b->secret, sizeof(a->secret)) == 0;
}

/* Accepts another key, which signs later: other VMs may not know it yet. */
static void change_key(struct tlb_vms *v, const struct tlb_peer_key *key)
{
	struct tlb_peer_key *keys = v->board->settings->peer_keys;
	tlb_time delay = tlb_vm_rows_reread_time(&v->rows) + KEY_CHANGE_MARGIN;

	tlb_timer_clear(v->board->loop, &v->key_timer);
	if (has_secret(&keys[0], key))
		return;
	keys[1] = *key;
	v->board->settings->peer_key_count = 2;
	v->peers.keys.count = 2;
	tlb_timer_set(v->board->loop, &v->key_timer, tlb_clock_now() + delay);
	tlb_log_warn("event=peer_key_changed signs_in_ms=%lld", (long long)(delay / TLB_MS));
}

/* The former key is still accepted, from VMs that learn of the change late. */
static void on_key_timer(void *arg)
{
	struct tlb_vms *v = arg;
	struct tlb_peer_key *keys = v->board->settings->peer_keys;
	struct tlb_peer_key former = keys[0];

	keys[0] = keys[1];
	keys[1] = former;
}

static void open_listener(struct tlb_vms *v)
{
	struct tlb_error err;

	if (tlb_peers_listen(&v->peers, v->board->settings->peer_addr, &err) != TLB_OK) {
		tlb_log_error("event=peer_listen_failed reason=\"%s\"", err.message);
		return;
	}
	v->listening = true;
	tlb_vm_rows_announce(&v->rows, v->peers.addr);
	on_report_timer(v);
}

/* Called with the peer key, in hexadecimal digits. With the first one links to other VMs can be
 * opened. */
static bool on_secret(void *arg, const char *hex)
{
	struct tlb_vms *v = arg;
	struct tlb_settings *s = v->board->settings;
	struct tlb_peer_key key = {.id = KEY_ID};
	size_t len = 0;

	if (sodium_hex2bin(key.secret, sizeof(key.secret), hex, strlen(hex), NULL, &len, NULL) !=
		    0 ||
	    len != TLB_SECRET_LEN) {
		tlb_log_error("event=peer_key_unreadable");
		return false;
	}
	if (v->listening) {
		change_key(v, &key);
		return true;
	}
	s->peer_keys[0] = key;
	s->peer_key_count = 1;
	v->peers.keys.key = s->peer_keys;
	v->peers.keys.count = 1;
	open_listener(v);
	return true;
}

static void on_vm_row(void *arg, const char *id, const char *addr)
{
	struct tlb_vms *v = arg;

	if (!tlb_vms_find(v, id))
		add_vm(v, id, addr);
}

static int count_of_fleet(void *arg)
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
		.on_secret = on_secret,
		.on_vm = on_vm_row,
		.count = count_of_fleet,
	};

	memset(v, 0, sizeof(*v));
	v->board = b;
	tlb_vm_rows_init(&v->rows, store, &b->random, b->settings->vm_id, &row_handlers);
	/* Incarnations increase with every start as long as the wall clock does not go back. */
	v->incarnation = ((uint64_t)tlb_clock_wall_ms() << 16) | randombytes_uniform(1 << 16);
	APR_RING_INIT(&v->all, tlb_vm, link);
	tlb_timer_init(&v->report_timer, on_report_timer, v);
	tlb_timer_init(&v->key_timer, on_key_timer, v);
	tlb_peers_init(&v->peers, b->loop, &b->counters, b->settings, &handlers);
	tlb_peers_set_incarnation(&v->peers, v->incarnation);
	v->id_hash = tlb_vms_hash(v->peers.self);
	v->count = 1;
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
	send_reports(v);
	tlb_vm_rows_withdraw(&v->rows);
}

void tlb_vms_finish(struct tlb_vms *v)
{
	struct tlb_vm *m;

	tlb_vm_rows_finish(&v->rows);
	tlb_timer_clear(v->board->loop, &v->report_timer);
	tlb_timer_clear(v->board->loop, &v->key_timer);
	tlb_peers_finish(&v->peers);
	while (!APR_RING_EMPTY(&v->all, tlb_vm, link)) {
		m = APR_RING_FIRST(&v->all);
		APR_RING_REMOVE(m, link);
		free(m->uses);
		free(m);
	}
}
