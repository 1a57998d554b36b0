/* Stateless queries of TCP sockets. */
#ifndef TLB_SOCKET_H
#define TLB_SOCKET_H

#include <stdbool.h>
#include <stdint.h>

/* Whether bytes have arrived that were not read yet. */
bool tlb_socket_has_unread(int fd);
/* Whether the connection is open and nothing has arrived that was not read yet: no bytes, no end of
 * the stream and no error. */
bool tlb_socket_is_quiet(int fd);
/* Bytes that have arrived since the connection began, read or not; 0 also when this is not known.
 */
uint64_t tlb_socket_received_bytes(int fd);
/* Discards what has arrived, up to a limit, as closing a socket with unread bytes resets its
 * connection and so may lose what was sent last. */
void tlb_socket_discard_unread(int fd);

#endif
