/* A simulated link whose bandwidth all current transfers share equally. */
#ifndef STANDIN_LINK_H
#define STANDIN_LINK_H

#include <pthread.h>
#include <stdatomic.h>

#include "control.h"

/* served is the number of bytes that each current transfer has been granted since the start; a
 * transfer is done when served has grown by its size. */
struct standin_link {
	pthread_mutex_t lock;
	double bytes_per_us;
	double served;
	int active;
	tlb_time updated;
};

/* megabits per second; 0 for an unlimited link. */
void standin_link_init(struct standin_link *l, int64_t mbps);
/* Begins a transfer; returns the current value of served, to be passed to standin_link_wait(). */
double standin_link_begin(struct standin_link *l);
/* Waits until bytes are transferred; false if the peer disconnects or *cancelled becomes true. */
bool standin_link_wait(struct standin_link *l, struct standin_request *rq, double begin,
		       int64_t bytes, const atomic_bool *cancelled);
void standin_link_end(struct standin_link *l);

#endif
