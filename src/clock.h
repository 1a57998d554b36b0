/* Monotonic time. Decisions do not use the wall clock, because it may step. */
#ifndef TLB_CLOCK_H
#define TLB_CLOCK_H

#include <stdint.h>
#include <time.h>

/* Microseconds on the monotonic clock; used for instants and deadlines. */
typedef int64_t tlb_time;

#define TLB_MS ((tlb_time)1000)
#define TLB_SECOND ((tlb_time)1000000)
/* No deadline: later than any other time. */
#define TLB_NEVER INT64_MAX

static inline tlb_time tlb_clock_now(void)
{
	struct timespec ts;

	/* Unlike CLOCK_MONOTONIC, this clock advances while the VM is suspended, so that leases
	 * expire during a suspension. */
	clock_gettime(CLOCK_BOOTTIME, &ts);
	return (tlb_time)ts.tv_sec * TLB_SECOND + ts.tv_nsec / 1000;
}

/* Wall-clock time in milliseconds since 1970, only for deadlines that callers give as wall-clock
 * time and for records read by people. */
static inline int64_t tlb_clock_wall_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

#endif
