/* Health checks as a balancer makes them: a VM whose readiness page fails gets no new request. */
#ifndef LOAD_HEALTH_H
#define LOAD_HEALTH_H

#include <curl/curl.h>

#include "clock.h"
#include "env.h"

/* The check of one VM. */
struct load_probe {
	CURL *easy;
	bool busy;
	bool up;
	tlb_time next;
};

/* Owns its probes. Without operator addresses every VM counts as up. */
struct load_health {
	CURLM *multi;
	struct load_probe probe[LOAD_VMS_MAX];
	int count;
};

void load_health_init(struct load_health *h, const struct load_env *e);
void load_health_finish(struct load_health *h);
/* Starts due checks and takes results; never blocks. */
void load_health_run(struct load_health *h);
bool load_health_up(const struct load_health *h, int vm);

#endif
