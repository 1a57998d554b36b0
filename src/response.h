/* Sends the response of an exchange to its caller: the head, and a body, chunks or a stream. */
#ifndef TLB_RESPONSE_H
#define TLB_RESPONSE_H

#include "listener.h"

enum tlb_response_progress {
	TLB_RESPONSE_SENT,	/* completely */
	TLB_RESPONSE_BLOCKED,	/* the socket takes no more now */
	TLB_RESPONSE_WAITING,	/* more of a stream is to come */
	TLB_RESPONSE_CUT_SHORT, /* it can't be completed; the connection is to be closed */
};

/* Sends as much as there is and the socket takes. */
enum tlb_response_progress tlb_response_send(struct tlb_exchange *x);

#endif
