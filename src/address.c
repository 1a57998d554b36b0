#include "address.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

enum { LISTEN_BACKLOG = 511, HOST_LEN = 48 };

static bool parse_port(const char *text, in_port_t *port)
{
	char *end;
	long n;

	if (*text < '0' || *text > '9')
		return false;
	/* Leading zeros are rejected, so that equal ports have equal text forms. */
	if (text[0] == '0' && text[1])
		return false;
	n = strtol(text, &end, 10);
	if (*end || n > 65535)
		return false;
	*port = htons((in_port_t)n);
	return true;
}

static bool parse_v6(const char *host, in_port_t port, struct sockaddr_storage *out, socklen_t *len)
{
	struct sockaddr_in6 a6 = {.sin6_family = AF_INET6, .sin6_port = port};

	if (inet_pton(AF_INET6, host, &a6.sin6_addr) != 1)
		return false;
	memcpy(out, &a6, sizeof(a6));
	*len = sizeof(a6);
	return true;
}

static bool parse_v4(const char *host, in_port_t port, struct sockaddr_storage *out, socklen_t *len)
{
	struct sockaddr_in a4 = {.sin_family = AF_INET, .sin_port = port};

	if (inet_pton(AF_INET, host, &a4.sin_addr) != 1)
		return false;
	memcpy(out, &a4, sizeof(a4));
	*len = sizeof(a4);
	return true;
}

bool tlb_address_parse(const char *text, struct sockaddr_storage *out, socklen_t *len)
{
	const char *colon = strrchr(text, ':');
	char host[HOST_LEN];
	in_port_t port;
	size_t n;

	if (!colon || !parse_port(colon + 1, &port))
		return false;
	n = (size_t)(colon - text);
	if (n == 0 || n >= sizeof(host))
		return false;
	memcpy(host, text, n);
	host[n] = '\0';
	memset(out, 0, sizeof(*out));
	if (host[0] != '[')
		return parse_v4(host, port, out, len);
	if (host[n - 1] != ']')
		return false;
	host[n - 1] = '\0';
	return parse_v6(host + 1, port, out, len);
}

void tlb_address_format(const struct sockaddr_storage *a, char *out)
{
	const struct sockaddr_in *a4 = (const struct sockaddr_in *)a;
	const struct sockaddr_in6 *a6 = (const struct sockaddr_in6 *)a;
	char host[HOST_LEN] = "";

	if (a->ss_family == AF_INET6) {
		inet_ntop(AF_INET6, &a6->sin6_addr, host, sizeof(host));
		snprintf(out, TLB_PEER_LEN, "[%s]:%d", host, ntohs(a6->sin6_port));
		return;
	}
	inet_ntop(AF_INET, &a4->sin_addr, host, sizeof(host));
	snprintf(out, TLB_PEER_LEN, "%s:%d", host, ntohs(a4->sin_port));
}

int tlb_address_port(const struct sockaddr_storage *a)
{
	if (a->ss_family == AF_INET6)
		return ntohs(((const struct sockaddr_in6 *)a)->sin6_port);
	return ntohs(((const struct sockaddr_in *)a)->sin_port);
}

bool tlb_address_is_wildcard(const char *text)
{
	struct sockaddr_storage a;
	socklen_t len;

	if (!tlb_address_parse(text, &a, &len))
		return false;
	if (a.ss_family == AF_INET6)
		return IN6_IS_ADDR_UNSPECIFIED(&((const struct sockaddr_in6 *)&a)->sin6_addr);
	return ((const struct sockaddr_in *)&a)->sin_addr.s_addr == htonl(INADDR_ANY);
}

bool tlb_address_valid(const char *text, int min_port)
{
	struct sockaddr_storage a;
	socklen_t len;

	return tlb_address_parse(text, &a, &len) && tlb_address_port(&a) >= min_port;
}

static int open_listener(const struct sockaddr_storage *a, socklen_t len)
{
	int fd = socket(a->ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	int one = 1;

	if (fd < 0)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (const struct sockaddr *)a, len) == 0 && listen(fd, LISTEN_BACKLOG) == 0)
		return fd;
	close(fd);
	return -1;
}

int tlb_address_listen(const char *text, char *bound, struct tlb_error *err)
{
	struct sockaddr_storage a;
	socklen_t len;
	int fd;

	if (!tlb_address_parse(text, &a, &len)) {
		tlb_error_set(err, TLB_BAD_REQUEST, TLB_OUTCOME_NOT_RUN, "listen", text,
			      "\"%s\" is not an IP address and a port number", text);
		return -1;
	}
	fd = open_listener(&a, len);
	if (fd < 0) {
		tlb_error_set(err, TLB_INTERNAL, TLB_OUTCOME_NOT_RUN, "listen", text,
			      "cannot listen on %s: %s", text, strerror(errno));
		return -1;
	}
	len = sizeof(a);
	getsockname(fd, (struct sockaddr *)&a, &len);
	tlb_address_format(&a, bound);
	return fd;
}
