/*
 * Preloaded into a daemon of a test: the system has no memory for new sockets while the file
 * NOMEMORY_FILE exists, so that no call can be started.
 */
#include <errno.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

int socket(int domain, int type, int protocol)
{
	const char *path = getenv("NOMEMORY_FILE");

	if (path && access(path, F_OK) == 0) {
		errno = ENOMEM;
		return -1;
	}
	return (int)syscall(SYS_socket, domain, type, protocol);
}
