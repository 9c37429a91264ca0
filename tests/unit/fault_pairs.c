/* Each fault of section 1 of docs/design.md alone, twice in a row and in each ordered pair, against the
 * real control modules. FLAMINGOSPRING_TEST_PAIR runs one case, named as in the message of a failure:
 * FIRST,SECOND,OFFSET_MS,SEED; SECOND is "-" for none and "again" for the same one after its end. */
#include "fleet.h"

#include <glib.h>
#include <string.h>

enum
{
	VMS = 6,
	ZONES = 3,
	SERVERS_FROM = VMS, /* Nodes of the group's servers. */
	WARM_UP_US = 4000000,
	FAULT_US = 5600000, /* Longer than GAP_US, so that the gap is checked during the fault too. */
	AGAIN_US = 300000,
	CALM_US = 5600000,
	STEP_US = 50000,
	CLAIM_STEP_US = 2000, /* Fencing takes a round trip of 10 ms. */
	/* Bounds of docs/design.md. */
	GAP_US = 5000000,
	CONFIGURATION_US = 4000000,
	LAG_US = 20000,
	FAR_LAG_US = 20000000,
	ACKNOWLEDGE_US =
		2000000, /* The default of ack_timeout; a replica behind it makes no majority. */
	LOSS_PER_MILLION = 200000,
	SLOW_PLATFORM_US = 3000000,
	LATE_US = 400000,
	PRINT_US = 250000,
};

static const uint64_t seeds[] = { 1, 2, 3 };
static const int64_t offsets_ms[] = { 0, 300, 1000 };
static const struct virtual_link normal_link = { 5000, 2000, 10000, false };

static bool is_verbose; /* One case runs: print its events and the state of its group. */

struct run;

/* A fault that was started, and what it has hit. */
struct slot
{
	const struct fault *fault;
	bool is_on;
	uint32_t partition; /* Bit of the nodes that it cuts off. */
	uint32_t server;
	uint32_t vm;
	bool seeks_claimant;
};

struct fault
{
	const char *name;
	/** What it does to links; called again whenever a fault starts or ends. */
	void (*cut) (struct run *run, const struct slot *slot);
	void (*begin) (struct run *run, struct slot *slot);
	void (*end) (struct run *run, struct slot *slot);
	/** VMs do not reach each other, or one does not run or starts. */
	bool breaks_vms;
	bool breaks_platform;
};

struct run
{
	struct fleet fleet;
	struct slot slots[2];
	int64_t event_us;    /* The last start or end of a fault. */
	int64_t majority_us; /* A majority of the group can be reached since; INT64_MAX: it cannot. */
	int64_t platform_us; /* The platform answers and VMs reach each other since; as above. */
	int64_t changed_us;  /* The last change of a document. */
	const char *problem;
};

static uint32_t
pick (struct run *run, uint32_t count)
{
	return (uint32_t) (virtual_random (&run->fleet.world) % count);
}

static struct virtual_node *
server_node (struct run *run, uint32_t server)
{
	return &run->fleet.world.nodes[SERVERS_FROM + server];
}

static uint32_t
primary_of (const struct run *run)
{
	const struct virtual_server *servers = run->fleet.groups[0].servers;
	uint32_t best = 0;

	for (uint32_t s = 1; s < FLEET_SERVERS; s++)
		if (servers[s].primary_term > servers[best].primary_term)
			best = s;
	return best;
}

/* A running VM, from a random one on. */
static uint32_t
pick_vm (struct run *run)
{
	uint32_t vm = pick (run, VMS);

	for (uint32_t i = 0; i < VMS && run->fleet.world.nodes[vm].state != VIRTUAL_RUNNING; i++)
		vm = (vm + 1) % VMS;
	return vm;
}

static uint32_t
owner_of (struct run *run, uint32_t server)
{
	uint32_t owner = run->fleet.vms[pick_vm (run)].groups[0].owners[server];

	return owner ? owner - 1 : 0;
}

static void
change_document (struct run *run, uint32_t service)
{
	fleet_change_document (&run->fleet, service);
	run->changed_us = run->fleet.world.now_us;
}

static void
hit_primary (struct run *run, struct slot *slot)
{
	slot->server = primary_of (run);
	slot->vm = owner_of (run, slot->server);
}

static void
cut_server (struct run *run, const struct slot *slot)
{
	server_node (run, slot->server)->partition |= slot->partition;
}

/* The VMs reach the primary, and the primary reaches no replica. */
static void
cut_replication (struct run *run, const struct slot *slot)
{
	struct virtual_link cut = { .is_cut = true };

	for (uint32_t s = 0; s < FLEET_SERVERS; s++)
	{
		if (s == slot->server)
			continue;
		virtual_set_link (&run->fleet.world, (int) (SERVERS_FROM + s),
		                  (int) (SERVERS_FROM + slot->server), cut);
		virtual_set_link (&run->fleet.world, (int) (SERVERS_FROM + slot->server),
		                  (int) (SERVERS_FROM + s), cut);
	}
}

static void
cut_with_vms (struct run *run, const struct slot *slot)
{
	cut_server (run, slot);
	run->fleet.world.nodes[slot->vm].partition |= slot->partition;
	run->fleet.world.nodes[(slot->vm + 1) % VMS].partition |= slot->partition;
}

static void
hit_zone (struct run *run, struct slot *slot)
{
	slot->vm = pick (run, ZONES);
}

static void
cut_zone (struct run *run, const struct slot *slot)
{
	for (int i = 0; i <= run->fleet.platform_node; i++)
		if (run->fleet.world.nodes[i].zone == slot->vm)
			run->fleet.world.nodes[i].partition |= slot->partition;
}

static void
begin_lag (struct run *run, struct slot *slot)
{
	slot->server = (primary_of (run) + 1 + pick (run, FLEET_SERVERS - 1)) % FLEET_SERVERS;
	run->fleet.groups[0].servers[slot->server].lag_us = FAR_LAG_US;
}

static void
end_lag (struct run *run, struct slot *slot)
{
	run->fleet.groups[0].servers[slot->server].lag_us = LAG_US;
}

static void
kill_primary (struct run *run, struct slot *slot)
{
	slot->server = primary_of (run);
	virtual_set_state (&run->fleet.world, (int) (SERVERS_FROM + slot->server), VIRTUAL_CRASHED);
}

static void
end_server (struct run *run, struct slot *slot)
{
	virtual_set_state (&run->fleet.world, (int) (SERVERS_FROM + slot->server), VIRTUAL_RUNNING);
}

static void
kill_observer (struct run *run, struct slot *slot)
{
	slot->vm = owner_of (run, pick (run, FLEET_SERVERS));
	fleet_crash (&run->fleet, slot->vm);
}

static void
end_vm (struct run *run, struct slot *slot)
{
	if (run->fleet.world.nodes[slot->vm].state == VIRTUAL_CRASHED)
		fleet_start (&run->fleet, slot->vm);
	virtual_set_state (&run->fleet.world, (int) slot->vm, VIRTUAL_RUNNING);
}

/* The primary freezes, and the claimant as soon as it fences. */
static void
begin_claimant (struct run *run, struct slot *slot)
{
	slot->server = primary_of (run);
	virtual_set_state (&run->fleet.world, (int) (SERVERS_FROM + slot->server), VIRTUAL_PAUSED);
	slot->seeks_claimant = true;
	slot->vm = VMS;
}

static void
end_claimant (struct run *run, struct slot *slot)
{
	slot->seeks_claimant = false;
	end_server (run, slot);
	if (slot->vm < VMS)
		end_vm (run, slot);
}

static void
lose_platform (struct run *run, struct slot *slot)
{
	fleet_set_platform (&run->fleet, true);
}

static void
slow_platform (struct run *run, struct slot *slot)
{
	run->fleet.platform.answer_delay_us = SLOW_PLATFORM_US;
}

static void
lose_platform_answers (struct run *run, struct slot *slot)
{
	run->fleet.platform.answer_loss_per_million = 1000000;
	change_document (run, 3);
}

static void
end_platform (struct run *run, struct slot *slot)
{
	fleet_set_platform (&run->fleet, false);
	run->fleet.platform.answer_delay_us = 0;
	run->fleet.platform.answer_loss_per_million = 0;
}

/* Two operators change one document, and ask two observers for two different primaries. */
static void
race_operators (struct run *run, struct slot *slot)
{
	uint32_t primary = primary_of (run);

	change_document (run, 1);
	change_document (run, 1);
	for (uint32_t s = 0; s < FLEET_SERVERS; s++)
	{
		struct fleet_vm *vm = &run->fleet.vms[owner_of (run, s)];

		if (s != primary && vm->groups[0].is_observer &&
		    run->fleet.world.nodes[vm->index].state == VIRTUAL_RUNNING)
			failover_request_promotion (&vm->groups[0].failover, s, run->fleet.world.now_us);
	}
}

static void
lose_packets (struct run *run, const struct slot *slot)
{
	for (uint32_t a = 0; a < ZONES; a++)
		for (uint32_t b = 0; b < ZONES; b++)
			run->fleet.world.zone_links[a][b].loss_per_million = LOSS_PER_MILLION;
}

static void
delay_answers (struct run *run, const struct slot *slot)
{
	struct virtual_link late = normal_link;

	late.jitter_us = LATE_US;
	for (int s = 0; s < FLEET_SERVERS; s++)
		for (int vm = 0; vm < VMS; vm++)
			virtual_set_link (&run->fleet.world, SERVERS_FROM + s, vm, late);
}

static void
replace_vm (struct run *run, struct slot *slot)
{
	slot->vm = pick_vm (run);
	fleet_crash (&run->fleet, slot->vm);
	fleet_start (&run->fleet, slot->vm);
}

static void
begin_leaving (struct run *run, struct slot *slot)
{
	slot->server = pick (run, 3) ? primary_of (run) : pick (run, FLEET_SERVERS);
	fleet_set_leaving (&run->fleet, pick_vm (run), slot->server, true);
}

static void
end_leaving (struct run *run, struct slot *slot)
{
	fleet_set_leaving (&run->fleet, pick_vm (run), slot->server, false);
}

static const struct fault faults[] = {
	{ "primary_partitioned", cut_server, hit_primary, NULL, false, false },
	{ "primary_cut_from_replicas", cut_replication, hit_primary, NULL, false, false },
	{ "primary_partitioned_with_vms", cut_with_vms, hit_primary, NULL, true, false },
	{ "zone_cut_off", cut_zone, hit_zone, NULL, true, true },
	{ "replica_far_behind", NULL, begin_lag, end_lag, false, false },
	{ "primary_killed", NULL, kill_primary, end_server, false, false },
	{ "observer_killed", NULL, kill_observer, end_vm, true, false },
	{ "claimant_paused", NULL, begin_claimant, end_claimant, true, false },
	{ "platform_down", NULL, lose_platform, end_platform, false, true },
	{ "platform_slow", NULL, slow_platform, end_platform, false, true },
	{ "platform_answer_lost", NULL, lose_platform_answers, end_platform, false, true },
	{ "operators_racing", NULL, race_operators, NULL, false, false },
	{ "packet_loss", lose_packets, NULL, NULL, false, false },
	{ "late_answers", delay_answers, NULL, NULL, false, false },
	{ "vm_replaced", NULL, replace_vm, NULL, true, false },
	{ "server_leaving", NULL, begin_leaving, end_leaving, false, false },
};

static void
print_event (const struct run *run, const char *what, const struct slot *slot)
{
	if (is_verbose)
		g_test_message ("%.3f s: %s %s, server %u, vm %u", (double) run->fleet.world.now_us / 1e6,
		                slot->fault->name, what, slot->server, slot->vm);
}

/* State of the observers and the servers. */
static void
print_state (struct run *run)
{
	g_autoptr (GString) line = g_string_new ("");

	for (uint32_t vm = 0; vm < VMS; vm++)
		if (run->fleet.vms[vm].groups[0].is_observer)
			g_string_append_printf (line, " vm %u %s", vm,
			                        failover_state_name (&run->fleet.vms[vm].groups[0].failover));
	for (uint32_t s = 0; s < FLEET_SERVERS; s++)
	{
		struct server_status status = virtual_server_status (&run->fleet.groups[0].servers[s]);

		g_string_append_printf (line, ", server %u%s promised %d at %d/%d", s,
		                        status.is_primary ? " primary" : "", (int) status.promised_term,
		                        (int) status.position.term, (int) status.position.index);
	}
	g_test_message ("%.3f s:%s; %zu acknowledged", (double) run->fleet.world.now_us / 1e6,
	                line->str, run->fleet.histories[0].count);
}

/* Sets all links anew, and notes what is whole from now on. */
static void
take_event (struct run *run)
{
	struct fleet *fleet = &run->fleet;
	bool has_vms = true;
	bool has_platform = true;

	virtual_heal (&fleet->world, (size_t) fleet->platform_node + 1);
	for (uint32_t a = 0; a < ZONES; a++)
		for (uint32_t b = 0; b < ZONES; b++)
			fleet->world.zone_links[a][b] = normal_link;
	for (size_t i = 0; i < G_N_ELEMENTS (run->slots); i++)
	{
		const struct slot *slot = &run->slots[i];

		if (!slot->is_on)
			continue;
		if (slot->fault->cut)
			slot->fault->cut (run, slot);
		has_vms = has_vms && !slot->fault->breaks_vms;
		has_platform = has_platform && !slot->fault->breaks_platform;
	}
	run->event_us = fleet->world.now_us;
	fleet->connected_since_us = has_vms ? run->event_us : INT64_MAX;
	run->platform_us = has_vms && has_platform ? run->event_us : INT64_MAX;
}

static void
begin_fault (struct run *run, unsigned place, const struct fault *fault)
{
	struct slot *slot = &run->slots[place];

	*slot = (struct slot){ .fault = fault, .is_on = true, .partition = 1u << place };
	if (fault->begin)
		fault->begin (run, slot);
	print_event (run, "starts", slot);
	take_event (run);
	change_document (run, place);
}

static void
end_fault (struct run *run, unsigned place)
{
	struct slot *slot = &run->slots[place];

	slot->is_on = false;
	if (slot->fault->end)
		slot->fault->end (run, slot);
	print_event (run, "ends", slot);
	take_event (run);
	change_document (run, place);
}

static bool
server_is_up (struct run *run, uint32_t server)
{
	return server_node (run, server)->state == VIRTUAL_RUNNING &&
	       run->fleet.groups[0].servers[server].lag_us < ACKNOWLEDGE_US;
}

static bool
are_linked (struct run *run, uint32_t a, uint32_t b)
{
	const struct virtual_world *world = &run->fleet.world;

	for (size_t i = 0; i < world->override_count; i++)
		if (world->overrides[i].link.is_cut &&
		    world->overrides[i].from == (int) (SERVERS_FROM + a) &&
		    world->overrides[i].to == (int) (SERVERS_FROM + b))
			return false;
	return server_node (run, a)->partition == server_node (run, b)->partition;
}

/* Two servers that follow each other, and on their side VMs of two zones that can agree. */
static bool
has_majority (struct run *run)
{
	const struct virtual_node *nodes = run->fleet.world.nodes;

	for (uint32_t a = 0; a < FLEET_SERVERS; a++)
	{
		uint32_t b = (a + 1) % FLEET_SERVERS;
		uint32_t zones = 0;

		if (!server_is_up (run, a) || !server_is_up (run, b) || !are_linked (run, a, b))
			continue;
		for (uint32_t vm = 0; vm < VMS; vm++)
			if (nodes[vm].state == VIRTUAL_RUNNING &&
			    nodes[vm].partition == server_node (run, a)->partition)
				zones |= 1u << nodes[vm].zone;
		if (zones & (zones - 1))
			return true;
	}
	return false;
}

static void
check (struct run *run)
{
	struct fleet *fleet = &run->fleet;
	int64_t now_us = fleet->world.now_us;
	int64_t since_us;

	if (!has_majority (run))
		run->majority_us = INT64_MAX;
	else if (run->majority_us == INT64_MAX)
		run->majority_us = now_us;
	since_us = MAX (MAX (run->majority_us, run->event_us), fleet->histories[0].last_us);
	if (since_us < now_us - GAP_US)
		run->problem = "no write was acknowledged for 5 s while a majority could be reached";
	since_us = MAX (run->platform_us, run->changed_us);
	if (since_us < now_us - CONFIGURATION_US && fleet_count_outdated (fleet) > 0)
		run->problem = "P9: a document is not adopted everywhere within 4 s";
	for (uint32_t s = 0; s < FLEET_SERVERS; s++)
	{
		g_autofree char *key = g_strdup_printf ("db0/%u", s);

		if (fleet_leaving_is_due (fleet, s) &&
		    fleet_count_missing_item (fleet, ITEM_LEAVING, key,
		                              (uint64_t) fleet->leaving_since_us[s]))
			run->problem = "P7: a leaving server is not known everywhere within 3 s";
	}
	if (fleet->violation)
		run->problem = fleet->violation;
}

static void
pause_claimant (struct run *run, struct slot *slot)
{
	for (uint32_t vm = 0; vm < VMS && slot->seeks_claimant; vm++)
	{
		const struct fleet_group *group = &run->fleet.vms[vm].groups[0];

		if (run->fleet.world.nodes[vm].state != VIRTUAL_RUNNING || !group->is_observer ||
		    strcmp (failover_state_name (&group->failover), "fencing") != 0)
			continue;
		virtual_set_state (&run->fleet.world, (int) vm, VIRTUAL_PAUSED);
		slot->vm = vm;
		slot->seeks_claimant = false;
		print_event (run, "pauses the claimant", slot);
		run->event_us = run->fleet.world.now_us;
	}
}

static void
advance (struct run *run, int64_t time_us)
{
	struct virtual_world *world = &run->fleet.world;
	int64_t end_us = world->now_us + time_us;

	while (world->now_us < end_us && !run->problem)
	{
		int64_t step_end_us = MIN (world->now_us + STEP_US, end_us);

		fleet_write (&run->fleet, 0);
		fleet_read (&run->fleet, 0);
		while (run->slots[0].seeks_claimant || run->slots[1].seeks_claimant)
		{
			if (world->now_us >= step_end_us)
				break;
			virtual_run (world, MIN (world->now_us + CLAIM_STEP_US, step_end_us));
			pause_claimant (run, &run->slots[0]);
			pause_claimant (run, &run->slots[1]);
		}
		virtual_run (world, step_end_us);
		if (is_verbose && world->now_us / PRINT_US != (world->now_us - STEP_US) / PRINT_US)
			print_state (run);
		check (run);
	}
}

static void
warm_up (struct run *run, uint64_t seed)
{
	fleet_init (&run->fleet, seed, VMS, ZONES, 1, normal_link, true);
	/* As in the product: the 5 s count on what the owner's traffic tells its observer. */
	run->fleet.writes_at_owner = true;
	run->fleet.retries_writes = true;
	for (uint32_t s = 0; s < FLEET_SERVERS; s++)
		run->fleet.groups[0].servers[s].lag_us = LAG_US;
	take_event (run);
	advance (run, WARM_UP_US + (int64_t) pick (run, 1000000));
	if (run->fleet.histories[0].count == 0)
		run->problem = "no write was acknowledged before the faults";
}

/* @p second: NULL for none; @p is_again: the first one once more after its end. */
static const char *
run_case (const struct fault *first, const struct fault *second, bool is_again, int64_t offset_us,
          uint64_t seed)
{
	struct run run = { .problem = NULL };

	warm_up (&run, seed);
	begin_fault (&run, 0, first);
	if (second)
	{
		advance (&run, offset_us);
		begin_fault (&run, 1, second);
	}
	advance (&run, FAULT_US);
	end_fault (&run, 0);
	if (second)
	{
		advance (&run, offset_us);
		end_fault (&run, 1);
	}
	if (is_again)
	{
		advance (&run, AGAIN_US);
		begin_fault (&run, 0, first);
		advance (&run, FAULT_US);
		end_fault (&run, 0);
	}
	advance (&run, CALM_US);
	fleet_check_log (&run.fleet, 0);
	if (!run.problem && run.fleet.violation)
		run.problem = run.fleet.violation;
	if (!run.problem && run.fleet.histories[0].reads == 0)
		run.problem = "no read was served";
	fleet_finish (&run.fleet);
	return run.problem;
}

/* Returns 1 for a failure. */
static int
run_named (const struct fault *first, const struct fault *second, bool is_again, int64_t offset_ms,
           uint64_t seed)
{
	const char *only = g_getenv ("FLAMINGOSPRING_TEST_PAIR");
	const char *second_name = second ? second->name : is_again ? "again" : "-";
	g_autofree char *name =
		g_strdup_printf ("%s,%s,%d,%d", first->name, second_name, (int) offset_ms, (int) seed);
	const char *problem;

	if (only && strcmp (only, name) != 0)
		return 0;
	is_verbose = only != NULL;
	problem = run_case (first, second, is_again, offset_ms * 1000, seed);
	if (problem)
		g_test_message ("FLAMINGOSPRING_TEST_PAIR=%s failed: %s", name, problem);
	return problem != NULL;
}

/* Guards against a fault that breaks a guarantee alone, or when it comes back. */
static void
test_single (void)
{
	int failed = 0;

	for (size_t i = 0; i < G_N_ELEMENTS (faults); i++)
		for (size_t s = 0; s < G_N_ELEMENTS (seeds); s++)
		{
			failed += run_named (&faults[i], NULL, false, 0, seeds[s]);
			failed += run_named (&faults[i], NULL, true, 0, seeds[s]);
		}
	g_assert_cmpint (failed, ==, 0);
}

/* Guards against two faults that break a guarantee together. */
static void
test_pairs (void)
{
	int failed = 0;

	for (size_t a = 0; a < G_N_ELEMENTS (faults); a++)
		for (size_t b = 0; b < G_N_ELEMENTS (faults); b++)
			for (size_t o = 0; o < G_N_ELEMENTS (offsets_ms); o++)
				for (size_t s = 0; s < G_N_ELEMENTS (seeds); s++)
					failed += run_named (&faults[a], &faults[b], false, offsets_ms[o], seeds[s]);
	g_assert_cmpint (failed, ==, 0);
}

int
main (int argc, char **argv)
{
	g_test_init (&argc, &argv, NULL);
	g_test_add_func ("/fault-pairs/single", test_single);
	g_test_add_func ("/fault-pairs/pairs", test_pairs);
	return g_test_run ();
}
