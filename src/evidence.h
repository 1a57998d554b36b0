/*
 * Evidence about prompt parts from model requests, for module quarantine: what the outcome of an
 * attempt says about the parts of its prompt, and whether a request is to be rejected because of
 * one.
 */
#ifndef TLB_EVIDENCE_H
#define TLB_EVIDENCE_H

#include <stdbool.h>

struct tlb_edge_board;
struct tlb_forward;
struct tlb_http_result;
struct tlb_instance;
struct tlb_suspect_part;

/* The quarantined part of the request's prompt; NULL when there is none. */
const struct tlb_suspect_part *tlb_evidence_quarantined_part(const struct tlb_forward *f);
/* Called when a prompt that is not rejected is sent to an endpoint: it may be the probe of a
 * verdict. */
void tlb_evidence_begin_probe(struct tlb_forward *f);
/* Whether the answer has not got beyond its beginning at any endpoint. */
bool tlb_evidence_is_at_beginning(const struct tlb_forward *f);
/* An endpoint has broken off an answer or refused a connection: it may have crashed. */
void tlb_evidence_add_crash(struct tlb_edge_board *b, const struct tlb_instance *i);
/* Takes the failure of an attempt as evidence against the parts of the prompt, if its endpoint
 * broke it off at the beginning. early_end: it looked complete and was not. */
void tlb_evidence_add_failure(struct tlb_forward *f, const struct tlb_instance *i,
			      const struct tlb_http_result *r, bool early_end);
/* Takes a complete stream as evidence for the parts of the prompt. One that the closed connection
 * ended at its beginning may come from an endpoint that crashed between two events. */
void tlb_evidence_add_answer(struct tlb_forward *f, const struct tlb_http_result *r);
/* Remembers an attempt that is cancelled as the endpoint begins to answer. */
void tlb_evidence_add_abandoned(struct tlb_forward *f);

#endif
