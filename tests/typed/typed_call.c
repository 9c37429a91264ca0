/* Guards against a .x file that does not match what the proxy serves. Calls a running proxy through the client
 * that rpcgen generates from a service's typed calls: a payment, the same payment repeated with its request id, and
 * a read with the session token of the first. Usage: typed_call IP PORT KEY */
#include "letters.h"

#include <arpa/inet.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static CLIENT *
connect_to (const char *ip, const char *port)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
		                           .sin_port = htons ((uint16_t) atoi (port)) };
	struct netbuf buffer = { .buf = &address, .len = sizeof address, .maxlen = sizeof address };
	int fd = socket (AF_INET, SOCK_STREAM, 0);

	if (inet_pton (AF_INET, ip, &address.sin_addr) != 1 ||
	    connect (fd, (struct sockaddr *) &address, sizeof address) < 0)
		return NULL;
	return clnt_vc_create (fd, &buffer, LETTERS_PROGRAM, LETTERS_VERSION, 0, 0);
}

/** @return whether the answer is DONE with @p value in its first cell. */
static bool
check (const char *operation, enum clnt_stat status, const letters_answer *answer,
       const char *value)
{
	const char *cell = "";

	if (status != RPC_SUCCESS)
	{
		printf ("typed_call: %s: %s\n", operation, clnt_sperrno (status));
		return false;
	}
	if (answer->cells.cells_len > 0 && answer->cells.cells_val[0])
		cell = *answer->cells.cells_val[0];
	if (answer->outcome == LETTERS_DONE && strcmp (cell, value) == 0)
		return true;
	printf ("typed_call: %s: outcome %d, reason %s, value \"%s\", expected \"%s\"\n", operation,
	        (int) answer->outcome, answer->reason, cell, value);
	return false;
}

int
main (int argc, char **argv)
{
	letters_context context = { .session = (char *) "", .tenant = (char *) "" };
	letters_answer first = { 0 };
	letters_answer repeated = { 0 };
	letters_answer read = { 0 };
	letters_text amount = (char *) "5";
	letters_payment_add_0_args pay;
	letters_letter_find_0_args find;
	enum clnt_stat status;
	CLIENT *client;
	bool is_ok;

	if (argc != 4)
		return 2;
	client = connect_to (argv[1], argv[2]);
	if (!client)
	{
		printf ("typed_call: no answer from %s:%s\n", argv[1], argv[2]);
		return 1;
	}
	context.request_id = argv[3];
	pay = (letters_payment_add_0_args){ context, &argv[3], &amount };
	status = letters_payment_add_0_1 (pay, &first, client);
	is_ok = check ("payment", status, &first, "5");
	status = letters_payment_add_0_1 (pay, &repeated, client);
	is_ok = is_ok && check ("repeated payment", status, &repeated, "5");
	context.request_id = (char *) "";
	context.session = first.session ? first.session : (char *) "";
	find = (letters_letter_find_0_args){ context, &argv[3] };
	status = letters_letter_find_0_1 (find, &read, client);
	is_ok = is_ok && check ("read", status, &read, "5");
	xdr_free ((xdrproc_t) xdr_letters_answer, &first);
	xdr_free ((xdrproc_t) xdr_letters_answer, &repeated);
	xdr_free ((xdrproc_t) xdr_letters_answer, &read);
	clnt_destroy (client);
	printf ("typed_call: %s\n", is_ok ? "ok" : "FAILED");
	return is_ok ? 0 : 1;
}
