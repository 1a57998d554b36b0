/* Stateless queries of TCP sockets. */
#ifndef TLB_SOCKET_H
#define TLB_SOCKET_H

#include <stdbool.h>

/* Whether bytes have arrived that were not read yet. */
bool tlb_socket_has_unread(int fd);
/* Whether any bytes have arrived since the connection began, read or not. */
bool tlb_socket_has_received(int fd);
/* Discards what has arrived, up to a limit, as closing a socket with unread bytes resets its
 * connection and so may lose what was sent last. */
void tlb_socket_discard_unread(int fd);

#endif
