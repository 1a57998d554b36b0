#include "socket.h"

#include <errno.h>
/* The tcp_info of <netinet/tcp.h> lacks tcpi_bytes_received. */
#include <linux/tcp.h>
#include <netinet/in.h>
#include <stddef.h>
#include <sys/socket.h>

enum { DISCARD_MAX = 256 << 10 }; /* bytes */

bool tlb_socket_has_unread(int fd)
{
	char byte;

	return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

bool tlb_socket_is_quiet(int fd)
{
	char byte;

	return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && errno == EAGAIN;
}

uint64_t tlb_socket_received_bytes(int fd)
{
	struct tcp_info info = {0};
	socklen_t len = sizeof(info);

	if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &len) != 0)
		return 0;
	return info.tcpi_bytes_received;
}

void tlb_socket_discard_unread(int fd)
{
	recv(fd, NULL, DISCARD_MAX, MSG_TRUNC | MSG_DONTWAIT);
}
