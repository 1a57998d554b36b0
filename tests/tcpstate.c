/*
 * Preloaded into a daemon of a test: of the information on a TCP connection only its state is
 * known, as with network stacks in user space.
 */
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

int getsockopt(int fd, int level, int option, void *value, socklen_t *len)
{
	int rc = (int)syscall(SYS_getsockopt, fd, level, option, value, len);

	if (rc == 0 && level == IPPROTO_TCP && option == TCP_INFO && *len > 1)
		memset((char *)value + 1, 0, *len - 1);
	return rc;
}
