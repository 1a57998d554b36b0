/*
 * The shared state of a daemon that runs behind a users' platform (module edge). All functions that
 * read and write it run on the event loop's single thread, so that it needs no lock.
 */
#ifndef TLB_EDGEBOARD_H
#define TLB_EDGEBOARD_H

#include "counter.h"
#include "forward.h"
#include "generation.h"
#include "http.h"
#include "instance.h"
#include "latency.h"
#include "overload_control.h"
#include "quarantine_sync.h"
#include "quota.h"
#include "quota_owner.h"
#include "roles.h"
#include "settings.h"
#include "vms.h"

/* Owned by the daemon; the pointers are borrowed from it. */
struct tlb_edge_board {
	struct tlb_settings *settings; /* the peer key is read from the store */
	struct tlb_loop *loop;
	struct tlb_http *http;
	struct tlb_routing *routing; /* configuration in force; version 0 until one is received */
	struct tlb_instances instances;
	struct tlb_quotas quotas;
	struct tlb_vms vms;
	struct tlb_quota_owners quota_owners;
	struct tlb_quarantine quarantine;
	struct tlb_quarantine_sync quarantine_sync;
	struct tlb_forwards forwards;
	struct tlb_generations generations;
	struct tlb_roles roles;
	struct tlb_overload_control overload_control;
	struct tlb_counters counters;
	struct tlb_latencies latencies;
	struct tlb_random random;
	bool draining; /* new requests are refused: the process would exit before they end */
};

#endif
