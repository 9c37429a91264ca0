#include "free_port.h"

#include <arpa/inet.h>
#include <glib.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
	FIRST_PORT = 10000,
	PORT_RANGES = 550,
	PORTS_PER_PROCESS = 40,
};

uint16_t
free_port (void)
{
	static unsigned next;

	for (unsigned tries = 0; tries < PORTS_PER_PROCESS; tries++)
	{
		unsigned range = (unsigned) getpid () % PORT_RANGES;
		uint16_t port =
			(uint16_t) (FIRST_PORT + range * PORTS_PER_PROCESS + next++ % PORTS_PER_PROCESS);
		struct sockaddr_in address = { .sin_family = AF_INET,
			                           .sin_addr.s_addr = htonl (INADDR_LOOPBACK),
			                           .sin_port = htons (port) };
		int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		int reuse = 1;
		int result;

		/* As listeners do: ports of connections that ended in the last minute count as free. Without it,
		 * a process that starts many servers is given one port twice. */
		setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof reuse);
		result = bind (fd, (struct sockaddr *) &address, sizeof address);
		close (fd);
		if (result == 0)
			return port;
	}
	g_error ("no free port");
}
