/* Socket addresses in the text form "host:port", where host is an IP number. */
#ifndef TLB_ADDRESS_H
#define TLB_ADDRESS_H

#include <stdbool.h>
#include <sys/socket.h>

#include "error.h"

/* Parses "127.0.0.1:80" or "[::1]:80". Returns false when the text is not of that form. */
bool tlb_address_parse(const char *text, struct sockaddr_storage *out, socklen_t *len);
/* The port of an address filled by tlb_address_parse(), in host byte order. */
int tlb_address_port(const struct sockaddr_storage *a);
/* Whether text is 0.0.0.0 or [::] with any port: a listener can use it, a peer can't. */
bool tlb_address_is_wildcard(const char *text);
/* Whether text is an address whose port is min_port or more. */
bool tlb_address_valid(const char *text, int min_port);
/* Writes the text form of an address; size of out is TLB_PEER_LEN. */
void tlb_address_format(const struct sockaddr_storage *a, char *out);
/* Opens a non-blocking listening socket and writes the address in use (port 0 takes a free port) to
 * bound, of size TLB_PEER_LEN. Returns the descriptor, which is the caller's, or -1 with err set.
 */
int tlb_address_listen(const char *text, char *bound, struct tlb_error *err);

#endif
