/* Health checks as an external load balancer makes them: a VM whose GET /readyz fails receives no
 * new requests. */
#ifndef LOAD_HEALTH_H
#define LOAD_HEALTH_H

#include <curl/curl.h>

#include "clock.h"
#include "env.h"

/* The health check of one VM. */
struct load_probe {
	CURL *easy;
	bool busy; /* a check is in progress */
	bool ready;
	tlb_time next_at; /* when the next check is due */
};

/* Owns its probes. Unless the fleet has one operator address for each VM, no VM is checked and all
 * count as ready. */
struct load_health {
	CURLM *multi;
	struct load_probe probe[LOAD_VMS_MAX];
	int count;
};

void load_health_init(struct load_health *h, const struct load_env *e);
void load_health_finish(struct load_health *h);
/* Starts the checks that are due and processes completed ones; does not block. */
void load_health_poll(struct load_health *h);
bool load_health_ready(const struct load_health *h, int vm);

#endif
