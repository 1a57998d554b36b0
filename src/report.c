#include "report.h"

#include <stdlib.h>

/* Without a usable report, prefills sent longer ago than this are taken to be complete. */
#define SENT_MAX_AGE (1 * TLB_SECOND)

bool tlb_report_fresh(const struct tlb_report *r, tlb_time now)
{
	return r->measured_at && now - r->measured_at <= TLB_REPORT_LIFE;
}

bool tlb_report_replaces(const struct tlb_report *next, const struct tlb_report *r)
{
	if (!r->measured_at)
		return true;
	if (next->source == r->source)
		return next->number > r->number;
	return next->measured_at > r->measured_at;
}

bool tlb_report_same_load(const struct tlb_report *a, const struct tlb_report *b)
{
	return a->free_blocks == b->free_blocks && a->running == b->running &&
	       a->queued_tokens == b->queued_tokens;
}

static int compare_sent_at(const void *a, const void *b)
{
	const struct tlb_report_candidate *x = a;
	const struct tlb_report_candidate *y = b;

	if (x->sent_at != y->sent_at)
		return x->sent_at < y->sent_at ? -1 : 1;
	return x->index - y->index;
}

int tlb_report_select(struct tlb_report_candidate *s, int count, tlb_time now)
{
	int usable = 0;
	int i;

	for (i = 0; i < count; i++) {
		if (!s[i].measured_at || now - s[i].measured_at > TLB_REPORT_LIFE)
			continue;
		s[usable++] = s[i];
	}
	qsort(s, (size_t)usable, sizeof(*s), compare_sent_at);
	return usable < TLB_LOAD_REPORTS_MAX ? usable : TLB_LOAD_REPORTS_MAX;
}

void tlb_dispatch_log_record(struct tlb_dispatch_log *s, int64_t tokens, tlb_time now)
{
	s->slot[s->next].at = now;
	s->slot[s->next].tokens = tokens;
	s->next = (s->next + 1) % TLB_DISPATCH_SLOTS;
}

int64_t tlb_dispatch_log_tokens_since(const struct tlb_dispatch_log *s, const struct tlb_report *r,
				      tlb_time now)
{
	tlb_time since = tlb_report_fresh(r, now) ? r->measured_at : now - SENT_MAX_AGE;
	int64_t sum = 0;
	int i;

	for (i = 0; i < TLB_DISPATCH_SLOTS; i++)
		sum += s->slot[i].at > since ? s->slot[i].tokens : 0;
	return sum;
}
