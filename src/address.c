#include "address.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

static int parse_port(const char *s)
{
	size_t len = strlen(s);
	long port;

	if (len < 1 || len > 5 || strspn(s, "0123456789") != len)
		return -1;
	port = strtol(s, NULL, 10);
	return port <= 65535 ? (int)port : -1;
}

/* Copies the host part of text to host and returns the port, or -1. */
static int split(const char *text, char *host, size_t size)
{
	const char *colon = strrchr(text, ':');
	size_t len;

	if (!colon)
		return -1;
	len = (size_t)(colon - text);
	if (len == 0 || len >= size)
		return -1;
	memcpy(host, text, len);
	host[len] = '\0';
	return parse_port(colon + 1);
}

static bool parse_v6(char *host, int port, struct sockaddr_storage *out)
{
	struct sockaddr_in6 a = {.sin6_family = AF_INET6, .sin6_port = htons((uint16_t)port)};
	size_t len = strlen(host);

	if (len < 4 || host[0] != '[' || host[len - 1] != ']')
		return false;
	host[len - 1] = '\0';
	if (inet_pton(AF_INET6, host + 1, &a.sin6_addr) != 1)
		return false;
	memcpy(out, &a, sizeof(a));
	return true;
}

static bool parse_v4(const char *host, int port, struct sockaddr_storage *out)
{
	struct sockaddr_in a = {.sin_family = AF_INET, .sin_port = htons((uint16_t)port)};

	if (inet_pton(AF_INET, host, &a.sin_addr) != 1)
		return false;
	memcpy(out, &a, sizeof(a));
	return true;
}

bool tlb_address_parse(const char *text, struct sockaddr_storage *out, socklen_t *len)
{
	char host[64];
	int port = split(text, host, sizeof(host));

	if (port < 0)
		return false;
	memset(out, 0, sizeof(*out));
	if (host[0] == '[') {
		*len = sizeof(struct sockaddr_in6);
		return parse_v6(host, port, out);
	}
	*len = sizeof(struct sockaddr_in);
	return parse_v4(host, port, out);
}

int tlb_address_port(const struct sockaddr_storage *a)
{
	struct sockaddr_in v4;
	struct sockaddr_in6 v6;

	if (a->ss_family == AF_INET6) {
		memcpy(&v6, a, sizeof(v6));
		return ntohs(v6.sin6_port);
	}
	memcpy(&v4, a, sizeof(v4));
	return ntohs(v4.sin_port);
}

bool tlb_address_valid(const char *text, int min_port)
{
	struct sockaddr_storage a;
	socklen_t len;

	return tlb_address_parse(text, &a, &len) && tlb_address_port(&a) >= min_port;
}
