/* Guards against reads that miss the session's writes, unnecessary load on the primary, and requests
 * sent to servers that are leaving or down. */
#include "decision/routing.h"

#include "decision/retry.h"

#include <glib.h>

#define NOW 10000000
#define PRIMARY(...)                                                                               \
	{                                                                                              \
		.is_primary = true, .position = { 2, 50 }, .position_at_us = NOW, __VA_ARGS__              \
	}
#define REPLICA_SEEN(at, ago_us, ...)                                                              \
	{                                                                                              \
		.position = { 2, at }, .position_at_us = NOW - (ago_us), __VA_ARGS__                       \
	}
#define REPLICA(at, ...)  REPLICA_SEEN (at, 1000, __VA_ARGS__)
#define TOKEN(at, age_us) .required = { 2, at }, .required_at_us = NOW - (age_us)

static void
test_choose (void)
{
	/* clang-format off */
	static const struct
	{
		const char *name;
		struct routing_server servers[3];
		struct routing_request request;
		enum routing_action action;
		uint32_t server;
	} cases[] = {
		{ "write goes to the primary", { PRIMARY (), REPLICA (50), REPLICA (50) },
		  { .is_write = true }, ROUTE_SERVE, 0 },
		{ "write does not wait for a leaving primary",
		  { PRIMARY (.is_leaving = true), REPLICA (50), REPLICA (50) }, { .is_write = true },
		  ROUTE_NONE, 0 },
		{ "two claim to be primary: the higher term",
		  { { .is_primary = true, .position = { 1, 99 } }, PRIMARY (), REPLICA (50) },
		  { .is_write = true }, ROUTE_SERVE, 1 },
		{ "primary read without a primary", { REPLICA (50), REPLICA (50), REPLICA (50) },
		  { .consistency = READ_PRIMARY }, ROUTE_NONE, 0 },
		{ "known position before an unknown one",
		  { PRIMARY (), { 0 }, REPLICA (50, .link_us = 500) }, { TOKEN (50, 500) }, ROUTE_SERVE,
		  2 },
		{ "unknown position before the primary",
		  { PRIMARY (), { .link_us = 9000 }, { .is_down = true } }, { TOKEN (50, 0) }, ROUTE_SERVE,
		  1 },
		{ "near replica before a far one",
		  { PRIMARY (), REPLICA (50, .link_us = 10000), REPLICA (50, .link_us = 300) }, { 0 },
		  ROUTE_SERVE, 2 },
		{ "queue adds to the latency",
		  { PRIMARY (), REPLICA (50, .queue_us = 90000), REPLICA (50, .link_us = 9000) }, { 0 },
		  ROUTE_SERVE, 2 },
		{ "leaving and down replicas are skipped",
		  { PRIMARY (), REPLICA (50, .is_leaving = true), REPLICA (50, .is_down = true) }, { 0 },
		  ROUTE_SERVE, 0 },
		{ "excluded servers are skipped", { PRIMARY (), REPLICA (50), REPLICA (50) }, { .excluded = 2 },
		  ROUTE_SERVE, 2 },
		{ "all servers are excluded", { PRIMARY (), REPLICA (50), REPLICA (50) }, { .excluded = 7 }, ROUTE_NONE,
		  0 },
		{ "just acknowledged: the fastest replica has it",
		  { PRIMARY (), REPLICA (40, .lag_us = 200000), REPLICA (40, .lag_us = 150000) },
		  { TOKEN (50, 0) }, ROUTE_SERVE, 2 },
		{ "the lag has elapsed since the write",
		  { PRIMARY (), REPLICA_SEEN (40, 750000, .lag_us = 900000),
		    REPLICA_SEEN (40, 750000, .lag_us = 200000, .link_us = 190000) },
		  { TOKEN (50, 800000) }, ROUTE_SERVE, 1 },
		{ "short wait beats the far primary",
		  { PRIMARY (.link_us = 30000), REPLICA (40, .lag_us = 25000),
		    { .is_down = true, .lag_us = 5000 } }, { .required = { 2, 50 } }, ROUTE_WAIT, 1 },
		{ "long wait does not beat the primary",
		  { PRIMARY (.link_us = 10000), REPLICA (40, .lag_us = 500000), { .is_down = true } },
		  { .required = { 2, 50 } }, ROUTE_SERVE, 0 },
		{ "long wait when there is no primary",
		  { { .is_down = true }, REPLICA (40, .lag_us = 500000), { .is_down = true } },
		  { .required = { 2, 50 } }, ROUTE_WAIT, 1 },
		{ "replica that should have caught up long ago",
		  { PRIMARY (.link_us = 10000), REPLICA (40, .lag_us = 1000), { .is_down = true } },
		  { TOKEN (50, 5000000) }, ROUTE_SERVE, 0 },
		{ "age within the lag", { PRIMARY (), REPLICA (50, .lag_us = 200000), { .is_down = true } },
		  { .consistency = READ_BOUNDED, .max_age_us = 500000 }, ROUTE_SERVE, 1 },
		{ "age below the lag", { PRIMARY (), REPLICA (50, .lag_us = 200000), { .is_down = true } },
		  { .consistency = READ_BOUNDED, .max_age_us = 100000 }, ROUTE_SERVE, 0 },
		{ "queue beyond the deadline: the primary",
		  { PRIMARY (), REPLICA (50, .queue_us = 2000000), { .is_down = true } }, { 0 },
		  ROUTE_SERVE, 0 },
		{ "queue reported long ago has drained",
		  { PRIMARY (), REPLICA_SEEN (50, 3000000, .queue_us = 2000000), { .is_down = true } },
		  { 0 }, ROUTE_SERVE, 1 },
		{ "all queues beyond the deadline: a replica refuses",
		  { PRIMARY (.queue_us = 2000000), REPLICA (50, .queue_us = 2000000), { .is_down = true } },
		  { 0 }, ROUTE_SERVE, 1 },
	};
	/* clang-format on */

	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
		for (uint64_t seed = 0; seed < 4; seed++)
		{
			struct routing_request request = cases[i].request;
			struct routing_choice choice;

			request.deadline_us = NOW + 1000000;
			choice = routing_choose (cases[i].servers, 3, &request, seed, NOW);
			g_test_message ("%s", cases[i].name);
			g_assert_cmpint (choice.action, ==, cases[i].action);
			g_assert_cmpuint (choice.server, ==, cases[i].server);
		}
}

static void
test_check (void)
{
	/* clang-format off */
	static const struct
	{
		const char *name;
		struct routing_server server;
		struct routing_request request;
		enum routing_check check;
	} cases[] = {
		{ "write at a replica", REPLICA (50), { .is_write = true }, CHECK_NOT_PRIMARY },
		{ "write at the primary", PRIMARY (), { .is_write = true }, CHECK_SERVE },
		{ "primary read at a replica", REPLICA (50), { .consistency = READ_PRIMARY },
		  CHECK_NOT_PRIMARY },
		{ "primary read at a replaced primary", PRIMARY (),
		  { .consistency = READ_PRIMARY, .required = { 3, 1 } }, CHECK_NOT_PRIMARY },
		{ "read at a replaced primary", PRIMARY (), { .required = { 3, 1 } }, CHECK_BEHIND },
		{ "primary that has not answered", { .is_primary = true }, { .required = { 3, 1 } },
		  CHECK_WAIT },
		{ "covered token", REPLICA (50), { .required = { 2, 50 } }, CHECK_SERVE },
		{ "higher term covers", REPLICA (50), { .required = { 1, 99 } }, CHECK_SERVE },
		{ "position expected soon", REPLICA (49, .lag_us = 200000), { TOKEN (50, 0) }, CHECK_WAIT },
		{ "position expected soon, time of the write unknown", REPLICA (49, .lag_us = 200000),
		  { .required = { 2, 50 } }, CHECK_WAIT },
		{ "far behind, time of the write unknown", REPLICA (49, .lag_us = 2000000),
		  { .required = { 2, 50 } }, CHECK_BEHIND },
		{ "position not expected in time", REPLICA (49, .lag_us = 2000000), { TOKEN (50, 0) }, CHECK_BEHIND },
		{ "fresh enough", REPLICA (50, .fresh_at_us = NOW - 300000),
		  { .consistency = READ_BOUNDED, .max_age_us = 300000 }, CHECK_SERVE },
		{ "age has to be queried", REPLICA (50, .fresh_at_us = NOW - 300001, .lag_us = 200000),
		  { .consistency = READ_BOUNDED, .max_age_us = 300000 }, CHECK_WAIT },
		{ "age below the lag", REPLICA (50, .lag_us = 300000),
		  { .consistency = READ_BOUNDED, .max_age_us = 200000 }, CHECK_TOO_OLD },
		{ "age not reached in time", REPLICA (50, .lag_us = 1500000),
		  { .consistency = READ_BOUNDED, .max_age_us = 2000000 }, CHECK_TOO_OLD },
		{ "unconfirmed primary", PRIMARY (), { .consistency = READ_BOUNDED, .max_age_us = 200000 },
		  CHECK_WAIT },
	};
	/* clang-format on */

	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
	{
		struct routing_request request = cases[i].request;

		request.deadline_us = NOW + 1000000;
		g_test_message ("%s", cases[i].name);
		g_assert_cmpint (routing_check_server (&cases[i].server, &request, NOW), ==,
		                 cases[i].check);
	}
}

static struct routing_server
random_server (uint64_t *random)
{
	uint64_t bits = random_next (random);

	return (struct routing_server){
		.is_primary = bits % 4 == 0,
		.is_down = (bits >> 8) % 5 == 0,
		.is_leaving = (bits >> 16) % 5 == 0,
		.link_us = (uint32_t) (random_next (random) % 20000),
		.queue_us = (uint32_t) (random_next (random) % 100000),
		.lag_us = (uint32_t) (random_next (random) % 400000),
		.position = { 1 + (bits >> 24) % 3, (bits >> 32) % 10 },
		.position_at_us = (bits >> 40) % 3 ? NOW - (int64_t) (random_next (random) % 1000000) : 0,
		.fresh_at_us = (bits >> 48) % 2 ? NOW - (int64_t) (random_next (random) % 1000000) : 0,
	};
}

static void
run_random (uint64_t seed)
{
	uint64_t random = seed;

	for (int round = 0; round < 20000; round++)
	{
		struct routing_server servers[ROUTING_MAX_SERVERS];
		size_t count = random_next (&random) % (ROUTING_MAX_SERVERS + 1);
		uint64_t bits = random_next (&random);
		struct routing_request request = {
			.is_write = bits % 5 == 0,
			.consistency = (enum read_consistency) ((bits >> 8) % 3),
			.required = { (bits >> 16) % 3, (bits >> 24) % 10 },
			.required_at_us = (bits >> 32) % 2 ? NOW - (int64_t) (bits >> 40) % 1000000 : 0,
			.max_age_us = (int64_t) (bits >> 20) % 500000,
			.deadline_us = NOW + (int64_t) (bits >> 30) % 1000000,
			.excluded = (uint32_t) (random_next (&random) & random_next (&random)),
		};
		struct routing_choice choice;
		struct routing_choice again;
		bool possible = false;

		for (size_t i = 0; i < count; i++)
			servers[i] = random_server (&random);
		choice = routing_choose (servers, count, &request, bits, NOW);
		again = routing_choose (servers, count, &request, bits, NOW);
		g_assert_cmpint (choice.action, ==, again.action);
		g_assert_cmpuint (choice.server, ==, again.server);
		for (size_t i = 0; i < count; i++)
			possible |= !servers[i].is_down && !servers[i].is_leaving &&
			            !(request.excluded >> i & 1) &&
			            (servers[i].is_primary ||
			             (!request.is_write && request.consistency == READ_SESSION));
		if (choice.action == ROUTE_NONE)
		{
			g_assert_true (!possible);
			continue;
		}
		g_assert_cmpuint (choice.server, <, count);
		g_assert_false (servers[choice.server].is_down || servers[choice.server].is_leaving);
		g_assert_false (request.excluded >> choice.server & 1);
		if (request.is_write || request.consistency == READ_PRIMARY)
			g_assert_true (servers[choice.server].is_primary);
		/* The owner's check must not allow a read that breaks the guarantees. */
		for (size_t i = 0; i < count; i++)
			if (routing_check_server (&servers[i], &request, NOW) == CHECK_SERVE &&
			    !request.is_write)
				g_assert_true (log_position_covers (servers[i].position, request.required) &&
				               (request.consistency != READ_BOUNDED ||
				                NOW - servers[i].fresh_at_us <= request.max_age_us));
	}
}

static void
test_random (void)
{
	static const uint64_t seeds[] = { 1, 2, 3, 5, 8, 13, 21, 34 };

	for (size_t i = 0; i < G_N_ELEMENTS (seeds); i++)
		run_random (seeds[i]);
}

int
main (int argc, char **argv)
{
	g_test_init (&argc, &argv, NULL);
	g_test_add_func ("/routing/choose", test_choose);
	g_test_add_func ("/routing/check", test_check);
	g_test_add_func ("/routing/random", test_random);
	return g_test_run ();
}
