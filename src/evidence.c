#include "evidence.h"

#include <stdio.h>

#include "edgeboard.h"
#include "log.h"

static struct tlb_prompt prompt_of(const struct tlb_forward *f)
{
	return (struct tlb_prompt){
		.parts = f->inbound.shared_parts,
		.count = f->inbound.shared_part_count,
		.account = f->account ? tlb_vms_hash(f->account->name) : 0,
		.own = f->inbound.own_part,
	};
}

const struct tlb_suspect_part *tlb_evidence_quarantined_part(const struct tlb_forward *f)
{
	struct tlb_prompt prompt = prompt_of(f);

	return tlb_quarantine_find(&f->board->quarantine, &prompt, tlb_clock_now());
}

void tlb_evidence_begin_probe(struct tlb_forward *f)
{
	struct tlb_edge_board *b = f->board;
	struct tlb_prompt prompt = prompt_of(f);

	if (!tlb_quarantine_begin_probe(&b->quarantine, &prompt, tlb_clock_now()))
		return;
	tlb_log_info("event=quarantine_probe request=%s attempt=%s", f->exchange->id,
		     f->inbound.attempt_label);
	tlb_quarantine_sync_notify(&b->quarantine_sync);
}

/* Hash of the incarnation, the same on all VMs. */
static uint64_t incarnation_hash(const struct tlb_instance *i)
{
	char text[TLB_INSTANCE_ID_LEN + 24];

	snprintf(text, sizeof(text), "%s/%lld", i->row.id, (long long)i->row.started_ms);
	return tlb_vms_hash(text);
}

bool tlb_evidence_is_at_beginning(const struct tlb_forward *f)
{
	return !f->gen.begun_soundly &&
	       f->gen.events - f->gen.events_before_attempt <= TLB_QUARANTINE_EARLY_EVENTS_MAX;
}

void tlb_evidence_add_crash(struct tlb_edge_board *b, const struct tlb_instance *i)
{
	tlb_quarantine_note_crash(&b->quarantine, incarnation_hash(i), tlb_clock_now());
	tlb_quarantine_sync_notify(&b->quarantine_sync);
}

void tlb_evidence_add_failure(struct tlb_forward *f, const struct tlb_instance *i,
			      const struct tlb_http_result *r, bool early_end)
{
	struct tlb_edge_board *b = f->board;
	struct tlb_prompt prompt = prompt_of(f);

	if (r->sent && (r->broken_off || early_end) && tlb_evidence_is_at_beginning(f) &&
	    tlb_quarantine_add_crash(&b->quarantine, &prompt, incarnation_hash(i), tlb_clock_now()))
		tlb_quarantine_sync_notify(&b->quarantine_sync);
	if (r->broken_off || r->refused || early_end)
		tlb_evidence_add_crash(b, i);
}

void tlb_evidence_add_answer(struct tlb_forward *f, const struct tlb_http_result *r)
{
	struct tlb_edge_board *b = f->board;
	struct tlb_prompt prompt = prompt_of(f);

	if (!f->gen.streaming || r->status >= 300 ||
	    (r->ended_by_close && tlb_evidence_is_at_beginning(f)))
		return;
	if (tlb_quarantine_add_answer(&b->quarantine, &prompt, tlb_clock_now()))
		tlb_quarantine_sync_notify(&b->quarantine_sync);
}

void tlb_evidence_add_abandoned(struct tlb_forward *f)
{
	struct tlb_prompt prompt = prompt_of(f);

	if (f->step == TLB_FORWARD_DECODING && prompt.count > 0 && tlb_evidence_is_at_beginning(f))
		tlb_quarantine_add_abandoned(&f->board->quarantine, &prompt,
					     incarnation_hash(f->instance), tlb_clock_now());
}
