/* Stateless queries of TCP sockets. */
#ifndef TLB_SOCKET_H
#define TLB_SOCKET_H

#include <stdbool.h>

/* Whether bytes have arrived that were not read yet. */
bool tlb_socket_has_unread(int fd);
/* Whether the connection is open and nothing has arrived that was not read yet: no bytes, no end of
 * the stream and no error. */
bool tlb_socket_is_quiet(int fd);
/* Whether the peer closed or half-closed the connection, or it has failed. */
bool tlb_socket_peer_closed(int fd);
/* Discards what has arrived, up to a limit, as closing a socket with unread bytes resets its
 * connection and so may lose what was sent last. */
void tlb_socket_discard_unread(int fd);

#endif
