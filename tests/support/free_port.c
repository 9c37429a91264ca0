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

/* Binds a socket with SO_REUSEADDR, as listeners do, so that ports in TIME_WAIT count as free.
 * @return the descriptor, or -1 when the port is in use. */
static int
port_bind (unsigned port)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
		                           .sin_addr.s_addr = htonl (INADDR_LOOPBACK),
		                           .sin_port = htons ((uint16_t) port) };
	int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int reuse = 1;

	setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof reuse);
	if (bind (fd, (struct sockaddr *) &address, sizeof address) == 0)
		return fd;
	close (fd);
	return -1;
}

/* Claims a range by listening at its first port until the process ends, so that no other test process
 * uses the range. @return the first port. */
static unsigned
range_claim (void)
{
	for (unsigned tries = 0; tries < PORT_RANGES; tries++)
	{
		unsigned range = ((unsigned) getpid () + tries) % PORT_RANGES;
		unsigned first = FIRST_PORT + range * PORTS_PER_PROCESS;
		int fd = port_bind (first);

		if (fd >= 0 && listen (fd, 1) == 0)
			return first;
		if (fd >= 0)
			close (fd);
	}
	g_error ("no free range of ports");
}

uint16_t
free_port (void)
{
	static unsigned first;
	static unsigned next;

	if (first == 0)
		first = range_claim ();
	for (unsigned tries = 1; tries < PORTS_PER_PROCESS; tries++)
	{
		unsigned port = first + 1 + next++ % (PORTS_PER_PROCESS - 1);
		int fd = port_bind (port);

		if (fd < 0)
			continue;
		close (fd);
		return (uint16_t) port;
	}
	g_error ("no free port");
}
