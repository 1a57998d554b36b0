#include "socket.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
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

bool tlb_socket_peer_closed(int fd)
{
	struct tcp_info info;
	socklen_t len = sizeof(info);
	char byte;

	/* recv() returns 0 when nothing precedes the end of the stream. When bytes of a pipelined
	 * request do, only the TCP state shows the close. */
	if (recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0)
		return true;
	if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &len) != 0)
		return true;
	return info.tcpi_state != TCP_ESTABLISHED;
}

void tlb_socket_discard_unread(int fd)
{
	recv(fd, NULL, DISCARD_MAX, MSG_TRUNC | MSG_DONTWAIT);
}
