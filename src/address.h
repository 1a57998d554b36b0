/* Socket addresses in the text form "host:port", where host is an IP address. */
#ifndef TLB_ADDRESS_H
#define TLB_ADDRESS_H

#include <stdbool.h>
#include <sys/socket.h>

#include "error.h"

/* Parses "127.0.0.1:80" or "[::1]:80". Returns false when text does not have that form. */
bool tlb_address_parse(const char *text, struct sockaddr_storage *out, socklen_t *len);
/* Port of an address set by tlb_address_parse(), in host byte order. */
int tlb_address_port(const struct sockaddr_storage *a);
/* Whether text is 0.0.0.0 or [::] with any port: valid for a listener, not as the address
 * of a peer. */
bool tlb_address_is_wildcard(const char *text);
/* Whether text is a valid address whose port is at least min_port. */
bool tlb_address_valid(const char *text, int min_port);
/* Writes the text form of an address to out, a buffer of TLB_PEER_LEN bytes. */
void tlb_address_format(const struct sockaddr_storage *a, char *out);
/* Opens a non-blocking listening socket and writes its address to bound, a buffer of TLB_PEER_LEN
 * bytes; with port 0 the kernel selects a free port. Returns a descriptor that the caller must
 * close, or -1 with err set. */
int tlb_address_listen(const char *text, char *bound, struct tlb_error *err);

#endif
