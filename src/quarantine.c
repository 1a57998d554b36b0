#include "quarantine.h"

#include <stdlib.h>
#include <string.h>

enum { EXPLAINED_MAX = TLB_QUARANTINE_PARTS_MAX * TLB_QUARANTINE_CRASHES_KEPT };

static bool contains(const uint64_t *list, int count, uint64_t value)
{
	int i;

	for (i = 0; i < count; i++)
		if (list[i] == value)
			return true;
	return false;
}

/* The finalizer of splitmix64. */
static uint64_t mix(uint64_t x)
{
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
	x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
	return x ^ (x >> 31);
}

/* --- entries --- */

static struct tlb_suspect_part *find_part(const struct tlb_quarantine *q, uint64_t part)
{
	struct tlb_suspect_part *s;

	APR_RING_FOREACH (s, &q->parts, tlb_suspect_part, link) {
		if (s->part == part)
			return s;
	}
	return NULL;
}

static void remove_part(struct tlb_quarantine *q, struct tlb_suspect_part *s)
{
	APR_RING_REMOVE(s, link);
	q->count--;
	free(s);
}

static tlb_time last_change_at(const struct tlb_suspect_part *s)
{
	tlb_time at = s->crash_count > 0 ? s->crashes[s->crash_count - 1].at : TLB_QUARANTINE_NEVER;

	return at > s->sound_at ? at : s->sound_at;
}

/* Removes the part with the fewest crashes; of these, the one whose evidence is oldest. */
static void evict_part(struct tlb_quarantine *q)
{
	struct tlb_suspect_part *least = NULL;
	struct tlb_suspect_part *s;

	APR_RING_FOREACH (s, &q->parts, tlb_suspect_part, link) {
		if (!least || s->crash_count < least->crash_count ||
		    (s->crash_count == least->crash_count &&
		     last_change_at(s) < last_change_at(least)))
			least = s;
	}
	if (least)
		remove_part(q, least);
}

void tlb_quarantine_init_part(struct tlb_suspect_part *s, uint64_t part)
{
	memset(s, 0, sizeof(*s));
	s->part = part;
	s->sound_at = TLB_QUARANTINE_NEVER;
	s->probe_at = TLB_QUARANTINE_NEVER;
}

static struct tlb_suspect_part *add_part(struct tlb_quarantine *q, uint64_t part)
{
	struct tlb_suspect_part *s = find_part(q, part);

	if (s)
		return s;
	s = malloc(sizeof(*s));
	if (!s)
		return NULL;
	if (q->count >= TLB_QUARANTINE_PARTS_MAX)
		evict_part(q);
	tlb_quarantine_init_part(s, part);
	APR_RING_INSERT_TAIL(&q->parts, s, tlb_suspect_part, link);
	q->count++;
	return s;
}

void tlb_quarantine_init(struct tlb_quarantine *q, uint64_t seed)
{
	memset(q, 0, sizeof(*q));
	q->seed = seed;
	APR_RING_INIT(&q->parts, tlb_suspect_part, link);
}

void tlb_quarantine_finish(struct tlb_quarantine *q)
{
	while (!APR_RING_EMPTY(&q->parts, tlb_suspect_part, link))
		remove_part(q, APR_RING_FIRST(&q->parts));
}

/* --- evidence; each function returns whether it changed the entry --- */

/* Drops the crashes up to a time. */
static bool drop_crashes(struct tlb_suspect_part *s, tlb_time until)
{
	int n = 0;

	while (n < s->crash_count && s->crashes[n].at <= until)
		n++;
	s->crash_count -= n;
	memmove(s->crashes, s->crashes + n, (size_t)s->crash_count * sizeof(s->crashes[0]));
	if (s->crash_count == 0)
		s->common_count = 0;
	return n > 0;
}

static bool set_sound_at(struct tlb_suspect_part *s, tlb_time at)
{
	int i;

	if (at <= s->sound_at)
		return false;
	s->sound_at = at;
	for (i = 0; i < s->crash_count && s->crashes[i].at <= at; i++) {
		s->cleared[s->next_cleared] = s->crashes[i].endpoint;
		s->next_cleared = (s->next_cleared + 1) % TLB_QUARANTINE_CRASHES_KEPT;
	}
	return drop_crashes(s, at);
}

/* Notes that the prompts which a known crash broke off were of several accounts. */
static bool mix_accounts(struct tlb_suspect_part *s, struct tlb_part_crash c)
{
	int i;

	for (i = 0; i < s->crash_count; i++) {
		if (s->crashes[i].endpoint != c.endpoint || s->crashes[i].account == c.account ||
		    s->crashes[i].account == TLB_QUARANTINE_MIXED_ACCOUNTS)
			continue;
		s->crashes[i].account = TLB_QUARANTINE_MIXED_ACCOUNTS;
		return true;
	}
	return false;
}

/* Whether the crash can't be counted beside one of the list: it is the same one, or closer than
 * TLB_QUARANTINE_CRASH_SPACING. */
static bool is_counted(const struct tlb_suspect_part *s, struct tlb_part_crash c)
{
	int i;

	for (i = 0; i < s->crash_count; i++)
		if (s->crashes[i].endpoint == c.endpoint ||
		    (c.at < s->crashes[i].at + TLB_QUARANTINE_CRASH_SPACING &&
		     s->crashes[i].at < c.at + TLB_QUARANTINE_CRASH_SPACING))
			return true;
	return false;
}

/* Inserts a crash by its time, so that the list never gets shorter; only the latest are kept. */
static bool insert_crash(struct tlb_suspect_part *s, struct tlb_part_crash c)
{
	int i;

	if (mix_accounts(s, c))
		return true;
	if (c.at <= s->sound_at || is_counted(s, c) ||
	    contains(s->cleared, TLB_QUARANTINE_CRASHES_KEPT, c.endpoint))
		return false;
	if (s->crash_count == TLB_QUARANTINE_CRASHES_KEPT) {
		if (c.at <= s->crashes[0].at)
			return false;
		memmove(s->crashes, s->crashes + 1,
			(size_t)--s->crash_count * sizeof(s->crashes[0]));
	}
	for (i = s->crash_count++; i > 0 && s->crashes[i - 1].at > c.at; i--)
		s->crashes[i] = s->crashes[i - 1];
	s->crashes[i] = c;
	return true;
}

static bool insert_crashes(struct tlb_suspect_part *s, const struct tlb_suspect_part *from,
			   tlb_time after)
{
	bool changed = false;
	int i;

	for (i = 0; i < from->crash_count; i++)
		if (from->crashes[i].at > after)
			changed |= insert_crash(s, from->crashes[i]);
	return changed;
}

/* Orders lists of crashes: longer ones first, and of the same length by the endpoints, so that VMs
 * choose the same. */
static bool precedes(const struct tlb_suspect_part *a, const struct tlb_suspect_part *b)
{
	int i;

	if (a->crash_count != b->crash_count)
		return a->crash_count > b->crash_count;
	for (i = 0; i < a->crash_count; i++)
		if (a->crashes[i].endpoint != b->crashes[i].endpoint)
			return a->crashes[i].endpoint < b->crashes[i].endpoint;
	return false;
}

/* Adds the crashes of another VM's list that are later than a time. Of crashes in quick succession
 * the lists can count different ones; the first one in order prevails, so that all VMs come to the
 * same verdict. */
static bool merge_crashes(struct tlb_suspect_part *s, const struct tlb_suspect_part *from,
			  tlb_time after)
{
	struct tlb_suspect_part merged = *s;
	bool changed = insert_crashes(s, from, after);

	merged.crash_count = 0;
	insert_crashes(&merged, from, after);
	insert_crashes(&merged, s, after);
	if (!precedes(&merged, s))
		return changed;
	s->crash_count = merged.crash_count;
	memcpy(s->crashes, merged.crashes, sizeof(s->crashes));
	return true;
}

/* Keeps the common parts that are in the list. */
static bool intersect_common(struct tlb_suspect_part *s, const uint64_t *parts, int count)
{
	int kept = 0;
	int i;

	for (i = 0; i < s->common_count; i++)
		if (contains(parts, count, s->common[i]))
			s->common[kept++] = s->common[i];
	if (kept == s->common_count)
		return false;
	s->common_count = kept;
	return true;
}

/* Sets the common parts for the first crash, and narrows them for later ones. */
static bool add_common(struct tlb_suspect_part *s, const uint64_t *parts, int count)
{
	if (s->common_count > 0)
		return intersect_common(s, parts, count);
	memcpy(s->common, parts, (size_t)count * sizeof(parts[0]));
	s->common_count = count;
	return true;
}

/* --- verdicts --- */

/* A crash and the quarantined part that explains it. */
struct explanation {
	uint64_t endpoint;
	const struct tlb_suspect_part *part;
};

/* Of several parts the one with the lowest id, the same at all VMs. */
static const struct tlb_suspect_part *explaining_part(const struct explanation *list, int count,
						      uint64_t endpoint)
{
	const struct tlb_suspect_part *found = NULL;
	int i;

	for (i = 0; i < count; i++)
		if (list[i].endpoint == endpoint && (!found || list[i].part->part < found->part))
			found = list[i].part;
	return found;
}

/* Number of parts that each explain several of the crashes. */
static int count_explaining(const struct tlb_suspect_part *s, const struct explanation *list,
			    int count)
{
	const struct tlb_suspect_part *parts[TLB_QUARANTINE_CRASHES_KEPT];
	int explained;
	int n = 0;
	int i;
	int k;

	for (i = 0; i < s->crash_count; i++)
		parts[i] = explaining_part(list, count, s->crashes[i].endpoint);
	for (i = 0; i < s->crash_count; i++) {
		/* Counts a part at its second crash. */
		explained = 0;
		for (k = 0; parts[i] && k <= i; k++)
			explained += parts[k] == parts[i];
		n += explained == 2;
	}
	return n;
}

/* Whether enough crashes of enough requests have no explanation by other parts. Crashes that one
 * other part explains count as one: several such parts, or one and further crashes, have this one
 * in common. */
static bool is_deadly(const struct tlb_suspect_part *s, const struct explanation *list, int count)
{
	uint64_t requests[TLB_QUARANTINE_CRASHES_KEPT];
	int explaining = count_explaining(s, list, count);
	int request_count = 0;
	int n = explaining;
	int i;

	for (i = 0; i < s->crash_count; i++) {
		if (explaining_part(list, count, s->crashes[i].endpoint))
			continue;
		n++;
		if (!contains(requests, request_count, s->crashes[i].request))
			requests[request_count++] = s->crashes[i].request;
	}
	return n >= TLB_QUARANTINE_CRASHES &&
	       (request_count >= TLB_QUARANTINE_REQUESTS || explaining >= TLB_QUARANTINE_REQUESTS);
}

/* The time, longer by up to half, different at each VM. */
static tlb_time spread(const struct tlb_quarantine *q, const struct tlb_suspect_part *s,
		       tlb_time wait)
{
	return q->seed ? wait + (tlb_time)(mix(q->seed ^ s->part) % (uint64_t)(wait / 2)) : wait;
}

tlb_time tlb_quarantine_next_probe_at(const struct tlb_quarantine *q,
				      const struct tlb_suspect_part *s)
{
	int beyond = s->crash_count - TLB_QUARANTINE_CRASHES;
	tlb_time wait = TLB_QUARANTINE_MIN_TIME << (beyond > 0 ? beyond : 0);
	tlb_time at;
	tlb_time again_at = TLB_QUARANTINE_NEVER;

	if (s->crash_count == 0)
		return TLB_QUARANTINE_NEVER;
	if (wait > TLB_QUARANTINE_MAX_TIME)
		wait = TLB_QUARANTINE_MAX_TIME;
	at = s->crashes[s->crash_count - 1].at + spread(q, s, wait);
	if (s->probe_at != TLB_QUARANTINE_NEVER)
		again_at = s->probe_at + spread(q, s, TLB_QUARANTINE_PROBE_TIME);
	return at > again_at ? at : again_at;
}

/* Decides on the parts with that many common parts and crashes. Adds the crashes that they explain;
 * returns the new number of these. */
static int decide_on(struct tlb_quarantine *q, int common, int crashes, struct explanation *list,
		     int count)
{
	struct tlb_suspect_part *s;
	int n = count;
	int i;

	APR_RING_FOREACH (s, &q->parts, tlb_suspect_part, link) {
		if (s->common_count != common || s->crash_count != crashes ||
		    !is_deadly(s, list, count))
			continue;
		for (i = 0; i < crashes; i++)
			list[n++] = (struct explanation){s->crashes[i].endpoint, s};
		s->quarantined = true;
		q->quarantined++;
	}
	return n;
}

/* Decides on all parts. Those with the most common parts come first, because their verdict rejects
 * the fewest prompts, and of these the ones with the most crashes; they explain crashes for the
 * others. */
static void evaluate(struct tlb_quarantine *q)
{
	static struct explanation list[EXPLAINED_MAX];
	bool occurs[TLB_SHARED_PARTS_MAX + 1][TLB_QUARANTINE_CRASHES_KEPT + 1] = {{false}};
	struct tlb_suspect_part *s;
	int common;
	int crashes;
	int n = 0;

	q->quarantined = 0;
	APR_RING_FOREACH (s, &q->parts, tlb_suspect_part, link) {
		s->quarantined = false;
		occurs[s->common_count][s->crash_count] = true;
	}
	for (common = TLB_SHARED_PARTS_MAX; common > 0; common--)
		for (crashes = TLB_QUARANTINE_CRASHES_KEPT; crashes >= TLB_QUARANTINE_CRASHES;
		     crashes--)
			if (occurs[common][crashes])
				n = decide_on(q, common, crashes, list, n);
}

bool tlb_quarantine_add_crash(struct tlb_quarantine *q, const struct tlb_prompt *p,
			      uint64_t endpoint, tlb_time now)
{
	struct tlb_suspect_part *s;
	bool changed = false;
	int i;

	for (i = 0; i < p->count; i++) {
		s = add_part(q, p->parts[i]);
		if (!s)
			continue;
		s->changed |=
			insert_crash(s, (struct tlb_part_crash){endpoint, now, p->account, p->own});
		if (s->crash_count > 0)
			s->changed |= add_common(s, p->parts, p->count);
		changed |= s->changed;
	}
	evaluate(q);
	return changed;
}

void tlb_quarantine_add_abandoned(struct tlb_quarantine *q, const struct tlb_prompt *p,
				  uint64_t endpoint, tlb_time now)
{
	struct tlb_abandoned_attempt *a = &q->abandoned[q->next_abandoned];

	q->next_abandoned = (q->next_abandoned + 1) % TLB_QUARANTINE_ABANDONED_MAX;
	a->endpoint = endpoint;
	a->account = p->account;
	a->own = p->own;
	a->count = p->count;
	memcpy(a->parts, p->parts, (size_t)p->count * sizeof(p->parts[0]));
	a->deadline = now + TLB_QUARANTINE_ABANDONED_TIME;
}

/* Counts the crash against the prompts of the attempts that were abandoned just before. */
static void add_abandoned_crashes(struct tlb_quarantine *q, uint64_t endpoint, tlb_time now)
{
	struct tlb_abandoned_attempt *a;

	for (a = q->abandoned; a < q->abandoned + TLB_QUARANTINE_ABANDONED_MAX; a++) {
		if (a->endpoint != endpoint || now >= a->deadline)
			continue;
		a->deadline = 0;
		tlb_quarantine_add_crash(
			q, &(struct tlb_prompt){a->parts, a->count, a->account, a->own}, endpoint,
			now);
	}
}

bool tlb_quarantine_note_crash(struct tlb_quarantine *q, uint64_t endpoint, tlb_time now)
{
	struct tlb_crash_notice *n;

	add_abandoned_crashes(q, endpoint, now);
	for (n = q->notices; n < q->notices + TLB_QUARANTINE_NOTICES_MAX; n++)
		if (n->endpoint == endpoint && now < n->deadline)
			return false;
	n = &q->notices[q->next_notice];
	q->next_notice = (q->next_notice + 1) % TLB_QUARANTINE_NOTICES_MAX;
	*n = (struct tlb_crash_notice){endpoint, now + TLB_QUARANTINE_NOTICE_TIME, true};
	return true;
}

bool tlb_quarantine_add_answer(struct tlb_quarantine *q, const struct tlb_prompt *p, tlb_time now)
{
	struct tlb_suspect_part *s;
	bool changed = false;
	int kept;
	int i;

	APR_RING_FOREACH (s, &q->parts, tlb_suspect_part, link) {
		if (s->crash_count == 0)
			continue;
		if (contains(p->parts, p->count, s->part)) {
			s->changed |= set_sound_at(s, now);
			changed |= s->changed;
			continue;
		}
		/* The answered parts crash no endpoint, so that they are no condition for it. */
		kept = 0;
		for (i = 0; i < s->common_count; i++)
			if (!contains(p->parts, p->count, s->common[i]))
				s->common[kept++] = s->common[i];
		s->changed |= kept < s->common_count;
		changed |= kept < s->common_count;
		s->common_count = kept;
	}
	if (changed)
		evaluate(q);
	return changed;
}

tlb_time tlb_quarantine_time_of_age(tlb_time now, uint64_t age_us)
{
	/* Older evidence does not count, whatever its age. */
	return now -
	       (tlb_time)(age_us < 2 * TLB_QUARANTINE_MEMORY ? age_us : 2 * TLB_QUARANTINE_MEMORY);
}

bool tlb_quarantine_merge(struct tlb_quarantine *q, const struct tlb_suspect_part *from,
			  tlb_time now)
{
	struct tlb_suspect_part *s = find_part(q, from->part);
	tlb_time oldest = now - TLB_QUARANTINE_MEMORY;
	bool changed = false;

	if (!s && (from->crash_count == 0 || last_change_at(from) <= oldest))
		return false;
	s = s ? s : add_part(q, from->part);
	if (!s)
		return false;
	/* A message that was under way dates the same probe later. */
	if (from->probe_at > s->probe_at + TLB_QUARANTINE_PROBE_TIME / 2) {
		s->probe_at = from->probe_at;
		s->probe_request = 0;
		changed = true;
	}
	changed |= set_sound_at(s, from->sound_at);
	changed |= merge_crashes(s, from, oldest);
	if (s->crash_count > 0 && from->common_count > 0)
		changed |= add_common(s, from->common, from->common_count);
	s->changed |= changed;
	if (changed)
		evaluate(q);
	return changed;
}

void tlb_quarantine_expire(struct tlb_quarantine *q, tlb_time now)
{
	struct tlb_suspect_part *s;
	struct tlb_suspect_part *next;

	APR_RING_FOREACH_SAFE (s, next, &q->parts, tlb_suspect_part, link) {
		drop_crashes(s, now - TLB_QUARANTINE_MEMORY);
		if (s->crash_count == 0 && !s->logged && now >= s->sound_at + TLB_QUARANTINE_MEMORY)
			remove_part(q, s);
	}
	evaluate(q);
}

int tlb_quarantine_accounts(const struct tlb_suspect_part *s, uint64_t *first)
{
	int n = 0;
	int i;

	for (i = 0; i < s->crash_count && n < 2; i++) {
		if (s->crashes[i].account == TLB_QUARANTINE_MIXED_ACCOUNTS ||
		    (n == 1 && s->crashes[i].account == *first))
			continue;
		if (n == 0)
			*first = s->crashes[i].account;
		n++;
	}
	return n;
}

bool tlb_quarantine_concerns(const struct tlb_suspect_part *s, uint64_t account)
{
	uint64_t only = 0;

	return tlb_quarantine_accounts(s, &only) != 1 || only == account;
}

/* Whether there is a verdict over the part, and the prompt has all parts that it requires. */
static bool is_concerned(const struct tlb_suspect_part *s, const struct tlb_prompt *p)
{
	int i;

	if (!s->quarantined || !tlb_quarantine_concerns(s, p->account))
		return false;
	for (i = 0; i < s->common_count; i++)
		if (!contains(p->parts, p->count, s->common[i]))
			return false;
	return true;
}

/* Whether the prompt is this VM's probe, and no crash has followed. */
static bool is_probe(const struct tlb_suspect_part *s, const struct tlb_prompt *p)
{
	return s->probe_request != 0 && s->probe_request == p->own &&
	       s->probe_at > s->crashes[s->crash_count - 1].at;
}

const struct tlb_suspect_part *tlb_quarantine_find(const struct tlb_quarantine *q,
						   const struct tlb_prompt *p, tlb_time now)
{
	const struct tlb_suspect_part *s;

	if (q->quarantined == 0)
		return NULL;
	APR_RING_FOREACH (s, &q->parts, tlb_suspect_part, link) {
		if (is_concerned(s, p) && !is_probe(s, p) &&
		    now < tlb_quarantine_next_probe_at(q, s))
			return s;
	}
	return NULL;
}

bool tlb_quarantine_begin_probe(struct tlb_quarantine *q, const struct tlb_prompt *p, tlb_time now)
{
	struct tlb_suspect_part *s;
	bool changed = false;

	if (q->quarantined == 0)
		return false;
	APR_RING_FOREACH (s, &q->parts, tlb_suspect_part, link) {
		if (!is_concerned(s, p) || is_probe(s, p))
			continue;
		s->probe_at = now;
		s->probe_request = p->own;
		s->changed = true;
		changed = true;
	}
	return changed;
}

bool tlb_quarantine_is_lasting(const struct tlb_suspect_part *s)
{
	return s->quarantined || s->crash_count > 1;
}

uint64_t tlb_quarantine_digest(const struct tlb_quarantine *q)
{
	const struct tlb_suspect_part *s;
	uint64_t digest = 0;
	uint64_t account;
	int i;

	APR_RING_FOREACH (s, &q->parts, tlb_suspect_part, link) {
		if (!tlb_quarantine_is_lasting(s))
			continue;
		digest ^= mix(s->part ^ mix(2 * (uint64_t)s->crash_count + s->quarantined));
		for (i = 0; i < s->common_count; i++)
			digest ^= mix(s->part ^ mix(s->common[i]));
		/* With several accounts VMs may know different ones. */
		if (tlb_quarantine_accounts(s, &account) == 1)
			digest ^= mix(s->part ^ mix(~account));
	}
	return digest;
}
