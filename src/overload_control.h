/*
 * Overload control of plain services over all VMs. While an endpoint refuses calls, the VMs that
 * see it report what arrived and what their calls came to, to one VM that a hash of the service
 * ranks first. From the reports of all it computes the shares of the requests that are sent and the
 * weights of the endpoints (overload.h), which it tells in its answers. In calm, nothing is sent.
 *
 * Failures: the controlling VM keeps nothing that can't be learned again from two rounds of
 * reports. Two VMs that control the same service each see the demand of their own reporters and the
 * latency that all cause, so that together they send what fits. A VM whose report is not answered
 * keeps the last shares and asks the next VM; without any it sends all, as without overload
 * control.
 */
#ifndef TLB_OVERLOAD_CONTROL_H
#define TLB_OVERLOAD_CONTROL_H

#include <apr_ring.h>

#include "instance.h"
#include "peer.h"

struct tlb_edge_board;

/* Interval between the reports of one VM, and its growth with the fleet, which bounds the reports
 * that the controlling VM receives. */
#define TLB_OVERLOAD_REPORT_INTERVAL (250 * TLB_MS)
#define TLB_OVERLOAD_REPORT_INTERVAL_PER_VM (3 * TLB_MS)
/* From the first refusal until the first report. */
#define TLB_OVERLOAD_FIRST_REPORT_DELAY (40 * TLB_MS)
/* Interval between the first two adjustments; later ones come once a report interval, so that they
 * see each VM's report once. */
#define TLB_OVERLOAD_FIRST_STEP_INTERVAL (100 * TLB_MS)
/* Time within which a report must be answered, and for which a silent VM is not asked. */
#define TLB_OVERLOAD_ANSWER_TIMEOUT (200 * TLB_MS)
#define TLB_OVERLOAD_AVOID_TIME (2 * TLB_SECOND)
/* How long a VM goes on reporting after the last refusal that it saw. */
#define TLB_OVERLOAD_REPORT_TIME (3 * TLB_SECOND)
/* An endpoint without reports for this long is forgotten, and so are shares that were not renewed.
 */
#define TLB_OVERLOAD_FORGET_TIME (10 * TLB_SECOND)
#define TLB_OVERLOAD_SHARES_TTL (2 * TLB_SECOND)

/* An endpoint that this VM controls. Owned by its service. */
struct tlb_controlled_endpoint {
	APR_RING_ENTRY(tlb_controlled_endpoint) link;
	char id[TLB_INSTANCE_ID_LEN];
	struct tlb_overload_endpoint state;
	struct tlb_overload_sample sample; /* since the last adjustment */
	tlb_time reported_at;
};

APR_RING_HEAD(tlb_controlled_endpoint_ring, tlb_controlled_endpoint);

/* A plain service that is overloaded or was recently. Owned by struct tlb_overload_control; owns
 * its endpoints. */
struct tlb_overloaded_service {
	APR_RING_ENTRY(tlb_overloaded_service) link;
	struct tlb_overload_control *control;
	char service[TLB_LABEL_LEN];
	/* As a VM that reports. */
	tlb_time next_report_at; /* 0: nothing to report */
	tlb_time last_report_at;
	int on_time; /* arrivals since then */
	int late;
	struct tlb_overload_shares sent; /* as the controlling VM has told */
	tlb_time told_at;
	struct tlb_peer_call call;
	char asked_vm[TLB_ID_LEN];
	/* As the VM that controls. */
	struct tlb_controlled_endpoint_ring endpoints;
	struct tlb_overload_demand reported; /* sum of the reports since the last adjustment */
	struct tlb_overload_demand demand;   /* smoothed, of all VMs */
	struct tlb_overload_shares shares;
	tlb_time last_step_at; /* 0: none */
	tlb_time next_step_at;
};

APR_RING_HEAD(tlb_overloaded_service_ring, tlb_overloaded_service);

/* Owned by the board; owns its services. */
struct tlb_overload_control {
	struct tlb_edge_board *board;
	struct tlb_overloaded_service_ring services;
	struct tlb_timer timer;
};

void tlb_overload_control_init(struct tlb_overload_control *c, struct tlb_edge_board *b);
void tlb_overload_control_finish(struct tlb_overload_control *c);
/* Whether a request that has arrived is sent; otherwise it exceeds what the service can run. late:
 * it can't meet its target any more. */
bool tlb_overload_control_admit(struct tlb_overload_control *c, const char *service, bool late);
/* Records the outcome of a call to an endpoint of a plain service: refused because it was full, or
 * answered after a latency. target: of the route; 0 for none. */
void tlb_overload_control_record(struct tlb_overload_control *c, struct tlb_instance *i,
				 bool refused, tlb_time latency, tlb_time target);
/* Handles OverloadReport. */
void tlb_overload_control_on_message(struct tlb_overload_control *c, struct tlb_peer *peer,
				     const Toucan__Envelope *msg);

#endif
