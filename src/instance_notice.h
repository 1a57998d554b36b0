/*
 * What an endpoint says about itself in the head of its responses, whatever they answer: requests,
 * prefills, reservations, load reports, orders and releases.
 */
#ifndef TLB_INSTANCE_NOTICE_H
#define TLB_INSTANCE_NOTICE_H

#include "instance.h"
#include "request_info.h"

/* Records what the head of a response says about the instance that sent it. */
void tlb_instance_notice_record(struct tlb_instance *i, const struct tlb_response_info *info);
/* The same for a head that has not been parsed; status 0: no complete response. */
void tlb_instance_notice_read(struct tlb_instance *i, int status, const char *head);

#endif
