/* The HTTP listener of a stand-in; used by control.c only. */
#ifndef STANDIN_SERVE_H
#define STANDIN_SERVE_H

#include <apr_ring.h>
#include <pthread.h>
#include <stdatomic.h>

#include "control.h"

struct standin_conn {
	APR_RING_ENTRY(standin_conn) link;
	struct standin_listener *listener;
	int fd;
	atomic_bool silent;
};

APR_RING_HEAD(standin_conn_ring, standin_conn);

/* Owned by control.c; lives as long as the process. */
struct standin_listener {
	struct MHD_Daemon *daemon;
	pthread_mutex_t lock; /* guards conns */
	struct standin_conn_ring conns;
	standin_handle_fn *handle;
	/* Called once the request is complete; fills in rq->fault. NULL for the control interface.
	 */
	standin_handle_fn *on_read;
	char address[64]; /* HOST:PORT */
};

/* Listens on HOST:PORT; port 0 selects any free port, which l->address then contains. */
bool standin_listen(struct standin_listener *l, const char *address);
/* Exit status of a process terminated by a fault. */
enum { STANDIN_DIE_STATUS = 3 };

/* Stops all sending on the connections that are open now, and ignores their close. */
void standin_silence(struct standin_listener *l);

#endif
