#include "decision/ownership.h"

#include <glib.h>
#include <stdbool.h>

enum
{
	MEMBERS = 750,
	ZONES = 4,
	SERVERS = 5400,
};

static struct ownership_member members[MEMBERS];

static void
fill_members (void)
{
	for (uint32_t i = 0; i < MEMBERS; i++)
		members[i] = (struct ownership_member){ i + 1, i % ZONES };
}

/* Guards against an owner in another zone, and against unbalanced load. */
static void
test_balance (void)
{
	uint32_t owned[MEMBERS + 1] = { 0 };
	uint32_t max_owned = 0;

	fill_members ();
	for (uint32_t s = 0; s < SERVERS; s++)
	{
		uint64_t key = ownership_server_key ("db", s);
		struct ownership found = ownership_of_server (members, MEMBERS, key, s % ZONES);

		g_assert_cmpuint (members[found.owner - 1].zone, ==, s % ZONES);
		g_assert_cmpuint (members[found.standby - 1].zone, ==, s % ZONES);
		g_assert_cmpuint (found.owner, !=, found.standby);
		owned[found.owner]++;
	}
	for (uint32_t i = 1; i <= MEMBERS; i++)
		max_owned = MAX (max_owned, owned[i]);
	/* The mean is 7.2; 20 is 4.8 standard deviations above. */
	g_assert_cmpuint (max_owned, <=, 20);
}

/* Guards against a server that moves although its owner remains, and against a new owner that is not the
 * former standby. */
static void
test_removal (void)
{
	fill_members ();
	for (uint32_t s = 0; s < 200; s++)
	{
		uint64_t key = ownership_server_key ("db", s);
		struct ownership before = ownership_of_server (members, MEMBERS, key, 1);
		struct ownership after;
		struct ownership_member last = members[MEMBERS - 1];

		members[before.owner - 1] = last;
		after = ownership_of_server (members, MEMBERS - 1, key, 1);
		g_assert_cmpuint (after.owner, ==, before.standby);
		fill_members ();
		members[(before.owner % MEMBERS)] = last;
		after = ownership_of_server (members, MEMBERS - 1, key, 1);
		if (members[before.owner - 1].id == before.owner && before.owner != MEMBERS)
			g_assert_cmpuint (after.owner, ==, before.owner);
		fill_members ();
	}
}

struct edge_case
{
	const char *name;
	size_t count;
	uint32_t zone;
	bool has_owner;
	bool has_standby;
};

/* Guards against wrong owners in edge cases: no members, one member, an empty zone, a zone with one
 * member. */
static const struct edge_case edge_cases[] = {
	{ "no members", 0, 0, false, false },
	{ "one member", 1, 0, true, false },
	{ "one member in another zone", 1, 3, true, false },
	{ "empty zone", 2, 3, true, true },
	{ "zone with one member", 4, 2, true, true },
};

static void
test_edge_cases (void)
{
	fill_members ();
	for (size_t i = 0; i < G_N_ELEMENTS (edge_cases); i++)
	{
		const struct edge_case *item = &edge_cases[i];
		struct ownership found = ownership_of_server (members, item->count, 7, item->zone);

		g_test_message ("%s", item->name);
		g_assert_true ((found.owner != OWNERSHIP_NONE) == item->has_owner);
		g_assert_true ((found.standby != OWNERSHIP_NONE) == item->has_standby);
	}
	/* The standby of a zone's only VM becomes the owner when that VM is gone. */
	for (uint64_t key = 0; key < 100; key++)
	{
		struct ownership before = ownership_of_server (members, ZONES, key, 2);

		g_assert_cmpuint (members[before.owner - 1].zone, ==, 2);
		members[before.owner - 1] = members[ZONES - 1];
		g_assert_cmpuint (ownership_of_server (members, ZONES - 1, key, 2).owner, ==,
		                  before.standby);
		fill_members ();
	}
	/* A zone without members has no watchers: a watcher has to be a VM of its zone. */
	g_assert_cmpuint (ownership_of_zone (members, 1, 3).owner, ==, OWNERSHIP_NONE);
	g_assert_cmpuint (ownership_of_zone (members, MEMBERS, 3).owner, !=, OWNERSHIP_NONE);
}

int
main (int argc, char **argv)
{
	g_test_init (&argc, &argv, NULL);
	g_test_add_func ("/ownership/balance", test_balance);
	g_test_add_func ("/ownership/removal", test_removal);
	g_test_add_func ("/ownership/small", test_edge_cases);
	return g_test_run ();
}
