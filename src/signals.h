/* Delivers SIGTERM, SIGINT and SIGHUP as events of the loop, through a signalfd. */
#ifndef TLB_SIGNALS_H
#define TLB_SIGNALS_H

#include "loop.h"

/* number is SIGHUP, or SIGTERM for both SIGTERM and SIGINT. */
typedef void tlb_signal_fn(void *arg, int number);

/* Allocated by the caller. */
struct tlb_signals {
	struct tlb_loop *loop;
	int fd;
	struct tlb_watch *watch;
	tlb_signal_fn *fn;
	void *arg;
};

/* Holds SIGHUP back until tlb_signals_init(): its default action ends the process. */
void tlb_signals_hold_reload(void);
/* Blocks the three signals' normal delivery and ignores SIGPIPE. l is borrowed. */
void tlb_signals_init(struct tlb_signals *s, struct tlb_loop *l, tlb_signal_fn *fn, void *arg);
void tlb_signals_finish(struct tlb_signals *s);

#endif
