#include "signals.h"

#include <signal.h>
#include <sys/signalfd.h>
#include <unistd.h>

static void on_readable(void *arg, int events)
{
	struct tlb_signals *s = arg;
	struct signalfd_siginfo info;

	if (read(s->fd, &info, sizeof(info)) != sizeof(info))
		return;
	s->fn(s->arg, info.ssi_signo == SIGHUP ? SIGHUP : SIGTERM);
}

void tlb_signals_hold_reload(void)
{
	sigset_t set;

	sigemptyset(&set);
	sigaddset(&set, SIGHUP);
	sigprocmask(SIG_BLOCK, &set, NULL);
}

void tlb_signals_init(struct tlb_signals *s, struct tlb_loop *l, tlb_signal_fn *fn, void *arg)
{
	sigset_t set;

	*s = (struct tlb_signals){.loop = l, .fn = fn, .arg = arg};
	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	sigaddset(&set, SIGHUP);
	sigprocmask(SIG_BLOCK, &set, NULL);
	signal(SIGPIPE, SIG_IGN);
	s->fd = signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
	s->watch = tlb_loop_watch(l, s->fd, TLB_READABLE, on_readable, s);
}

void tlb_signals_finish(struct tlb_signals *s)
{
	tlb_loop_unwatch(s->loop, s->watch);
	close(s->fd);
}
