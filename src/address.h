/* Addresses in the form host:port, where host is an IP number: "127.0.0.1:80", "[::1]:80". */
#ifndef TLB_ADDRESS_H
#define TLB_ADDRESS_H

#include <stdbool.h>
#include <sys/socket.h>

/* Parses an address. Names are refused, because no part of toucanlb resolves them. Returns false,
 * with *out undefined, for anything but an IP number and a port from 0 to 65535. */
bool tlb_address_parse(const char *text, struct sockaddr_storage *out, socklen_t *len);
/* The port of an address filled by tlb_address_parse(), in host byte order. */
int tlb_address_port(const struct sockaddr_storage *a);
/* Whether text is an address whose port is min_port or more. */
bool tlb_address_valid(const char *text, int min_port);

#endif
