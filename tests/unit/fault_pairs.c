/* Runs each fault of section 1 of docs/design.md alone, twice in a row, and in each ordered pair, against
 * the real control modules. FLAMINGOSPRING_TEST_PAIR selects one case by the name that a failure message
 * prints: FIRST,SECOND,OFFSET_MS,SEED. SECOND is "-" for no second fault, and "again" to repeat the
 * first fault after its end. */
#include "fleet.h"

#include <glib.h>
#include <string.h>

enum
{
	VMS = 6,
	ZONES = 3,
	FIRST_SERVER_NODE = VMS, /* Node of server 0; the other servers follow. */
	WARM_UP_US = 4000000,
	/* Longer than MAX_WRITE_GAP_US, so that the gap is also checked during the fault. */
	FAULT_US = 5600000,
	REPEAT_DELAY_US = 300000,
	RECOVERY_US = 5600000,
	STEP_US = 50000,
	CLAIM_STEP_US = 2000, /* Shorter than fencing, a round trip of 10 ms. */
	/* Bounds of docs/design.md. */
	MAX_WRITE_GAP_US = 5000000,
	MAX_ADOPTION_DELAY_US = 4000000,
	LAG_US = 20000,
	LARGE_LAG_US = 20000000,
	/* The default of ack_timeout; a replica that lags more does not count for a majority. */
	ACK_TIMEOUT_US = 2000000,
	LOSS_PER_MILLION = 200000,
	SLOW_PLATFORM_US = 3000000,
	LATE_ANSWER_JITTER_US = 400000,
	PRINT_INTERVAL_US = 250000,
};

static const uint64_t seeds[] = { 1, 2, 3 };
static const int64_t offsets_ms[] = { 0, 300, 1000 };
static const struct virtual_link normal_link = { 5000, 2000, 10000, false };

/* Prints events and the state of the group; set when a single case is selected. */
static bool is_verbose;

struct run;

/* A fault that was started, and the nodes that it affects. */
struct active_fault
{
	const struct fault *fault;
	bool is_active;
	uint32_t partition; /* Bit that marks the nodes on the far side of the partition. */
	uint32_t server;
	uint32_t vm;
	bool awaits_claimant;
};

struct fault
{
	const char *name;
	/** Applies the fault to the links; called again whenever any fault starts or ends. */
	void (*cut) (struct run *run, const struct active_fault *active_fault);
	void (*begin) (struct run *run, struct active_fault *active_fault);
	void (*end) (struct run *run, struct active_fault *active_fault);
	/** The fault keeps VMs from reaching each other, or stops or restarts a VM. */
	bool affects_vms;
	bool affects_platform;
};

struct run
{
	struct fleet fleet;
	struct active_fault slots[2];
	int64_t last_event_us; /* Time of the last start or end of a fault. */
	/* A majority of the group is reachable since; INT64_MAX: it is not. */
	int64_t majority_since_us;
	/* The platform answers and all VMs reach each other since; INT64_MAX: they do not. */
	int64_t platform_ok_since_us;
	int64_t document_changed_us; /* Time of the last change of a document. */
	const char *problem;
};

static uint32_t
random_below (struct run *run, uint32_t count)
{
	return (uint32_t) (virtual_random (&run->fleet.world) % count);
}

static struct virtual_node *
server_node (struct run *run, uint32_t server)
{
	return &run->fleet.world.nodes[FIRST_SERVER_NODE + server];
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

/* Returns the first running VM, starting at a random one. */
static uint32_t
pick_running_vm (struct run *run)
{
	uint32_t vm = random_below (run, VMS);

	for (uint32_t i = 0; i < VMS && run->fleet.world.nodes[vm].state != VIRTUAL_RUNNING; i++)
		vm = (vm + 1) % VMS;
	return vm;
}

static uint32_t
owner_of (struct run *run, uint32_t server)
{
	uint32_t owner = run->fleet.vms[pick_running_vm (run)].groups[0].owners[server];

	return owner ? owner - 1 : 0;
}

static void
change_document (struct run *run, uint32_t service)
{
	fleet_change_document (&run->fleet, service);
	run->document_changed_us = run->fleet.world.now_us;
}

static void
select_primary (struct run *run, struct active_fault *active_fault)
{
	active_fault->server = primary_of (run);
	active_fault->vm = owner_of (run, active_fault->server);
}

static void
cut_server (struct run *run, const struct active_fault *active_fault)
{
	server_node (run, active_fault->server)->partition |= active_fault->partition;
}

/* The VMs reach the primary, but the primary reaches no replica. */
static void
cut_replication (struct run *run, const struct active_fault *active_fault)
{
	struct virtual_link cut = { .is_cut = true };

	for (uint32_t s = 0; s < FLEET_SERVERS; s++)
	{
		if (s == active_fault->server)
			continue;
		virtual_set_link (&run->fleet.world, (int) (FIRST_SERVER_NODE + s),
		                  (int) (FIRST_SERVER_NODE + active_fault->server), cut);
		virtual_set_link (&run->fleet.world, (int) (FIRST_SERVER_NODE + active_fault->server),
		                  (int) (FIRST_SERVER_NODE + s), cut);
	}
}

static void
cut_with_vms (struct run *run, const struct active_fault *active_fault)
{
	cut_server (run, active_fault);
	run->fleet.world.nodes[active_fault->vm].partition |= active_fault->partition;
	run->fleet.world.nodes[(active_fault->vm + 1) % VMS].partition |= active_fault->partition;
}

static void
select_zone (struct run *run, struct active_fault *active_fault)
{
	active_fault->vm = random_below (run, ZONES);
}

static void
cut_zone (struct run *run, const struct active_fault *active_fault)
{
	for (int i = 0; i <= run->fleet.platform_node; i++)
		if (run->fleet.world.nodes[i].zone == active_fault->vm)
			run->fleet.world.nodes[i].partition |= active_fault->partition;
}

static void
begin_lag (struct run *run, struct active_fault *active_fault)
{
	active_fault->server =
		(primary_of (run) + 1 + random_below (run, FLEET_SERVERS - 1)) % FLEET_SERVERS;
	run->fleet.groups[0].servers[active_fault->server].lag_us = LARGE_LAG_US;
}

static void
end_lag (struct run *run, struct active_fault *active_fault)
{
	run->fleet.groups[0].servers[active_fault->server].lag_us = LAG_US;
}

static void
kill_primary (struct run *run, struct active_fault *active_fault)
{
	active_fault->server = primary_of (run);
	virtual_set_state (&run->fleet.world, (int) (FIRST_SERVER_NODE + active_fault->server),
	                   VIRTUAL_CRASHED);
}

static void
restart_server (struct run *run, struct active_fault *active_fault)
{
	virtual_set_state (&run->fleet.world, (int) (FIRST_SERVER_NODE + active_fault->server),
	                   VIRTUAL_RUNNING);
}

static void
kill_observer (struct run *run, struct active_fault *active_fault)
{
	active_fault->vm = owner_of (run, random_below (run, FLEET_SERVERS));
	fleet_crash (&run->fleet, active_fault->vm);
}

static void
restart_vm (struct run *run, struct active_fault *active_fault)
{
	if (run->fleet.world.nodes[active_fault->vm].state == VIRTUAL_CRASHED)
		fleet_start (&run->fleet, active_fault->vm);
	virtual_set_state (&run->fleet.world, (int) active_fault->vm, VIRTUAL_RUNNING);
}

/* Pauses the primary, and then the claimant as soon as it fences. */
static void
begin_claimant_pause (struct run *run, struct active_fault *active_fault)
{
	active_fault->server = primary_of (run);
	virtual_set_state (&run->fleet.world, (int) (FIRST_SERVER_NODE + active_fault->server),
	                   VIRTUAL_PAUSED);
	active_fault->awaits_claimant = true;
	active_fault->vm = VMS;
}

static void
end_claimant_pause (struct run *run, struct active_fault *active_fault)
{
	active_fault->awaits_claimant = false;
	restart_server (run, active_fault);
	if (active_fault->vm < VMS)
		restart_vm (run, active_fault);
}

static void
take_platform_down (struct run *run, struct active_fault *active_fault)
{
	fleet_set_platform (&run->fleet, true);
}

static void
slow_platform (struct run *run, struct active_fault *active_fault)
{
	run->fleet.platform.answer_delay_us = SLOW_PLATFORM_US;
}

static void
drop_platform_answers (struct run *run, struct active_fault *active_fault)
{
	run->fleet.platform.answer_loss_per_million = 1000000;
	change_document (run, 3);
}

static void
restore_platform (struct run *run, struct active_fault *active_fault)
{
	fleet_set_platform (&run->fleet, false);
	run->fleet.platform.answer_delay_us = 0;
	run->fleet.platform.answer_loss_per_million = 0;
}

/* Two operators change the same document, and request two different primaries from two observers. */
static void
race_operators (struct run *run, struct active_fault *active_fault)
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
drop_packets (struct run *run, const struct active_fault *active_fault)
{
	for (uint32_t a = 0; a < ZONES; a++)
		for (uint32_t b = 0; b < ZONES; b++)
			run->fleet.world.zone_links[a][b].loss_per_million = LOSS_PER_MILLION;
}

static void
delay_answers (struct run *run, const struct active_fault *active_fault)
{
	struct virtual_link late = normal_link;

	late.jitter_us = LATE_ANSWER_JITTER_US;
	for (int s = 0; s < FLEET_SERVERS; s++)
		for (int vm = 0; vm < VMS; vm++)
			virtual_set_link (&run->fleet.world, FIRST_SERVER_NODE + s, vm, late);
}

static void
replace_vm (struct run *run, struct active_fault *active_fault)
{
	active_fault->vm = pick_running_vm (run);
	fleet_crash (&run->fleet, active_fault->vm);
	fleet_start (&run->fleet, active_fault->vm);
}

static void
begin_leaving (struct run *run, struct active_fault *active_fault)
{
	active_fault->server =
		random_below (run, 3) ? primary_of (run) : random_below (run, FLEET_SERVERS);
	fleet_set_leaving (&run->fleet, pick_running_vm (run), active_fault->server, true);
}

static void
end_leaving (struct run *run, struct active_fault *active_fault)
{
	fleet_set_leaving (&run->fleet, pick_running_vm (run), active_fault->server, false);
}

static const struct fault faults[] = {
	{ "primary_partitioned", cut_server, select_primary, NULL, false, false },
	{ "primary_cut_from_replicas", cut_replication, select_primary, NULL, false, false },
	{ "primary_partitioned_with_vms", cut_with_vms, select_primary, NULL, true, false },
	{ "zone_cut_off", cut_zone, select_zone, NULL, true, true },
	{ "replica_far_behind", NULL, begin_lag, end_lag, false, false },
	{ "primary_killed", NULL, kill_primary, restart_server, false, false },
	{ "observer_killed", NULL, kill_observer, restart_vm, true, false },
	{ "claimant_paused", NULL, begin_claimant_pause, end_claimant_pause, true, false },
	{ "platform_down", NULL, take_platform_down, restore_platform, false, true },
	{ "platform_slow", NULL, slow_platform, restore_platform, false, true },
	{ "platform_answer_lost", NULL, drop_platform_answers, restore_platform, false, true },
	{ "operators_racing", NULL, race_operators, NULL, false, false },
	{ "packet_loss", drop_packets, NULL, NULL, false, false },
	{ "late_answers", delay_answers, NULL, NULL, false, false },
	{ "vm_replaced", NULL, replace_vm, NULL, true, false },
	{ "server_leaving", NULL, begin_leaving, end_leaving, false, false },
};

static void
print_event (const struct run *run, const char *what, const struct active_fault *active_fault)
{
	if (is_verbose)
		g_test_message ("%.3f s: %s %s, server %u, vm %u", (double) run->fleet.world.now_us / 1e6,
		                active_fault->fault->name, what, active_fault->server, active_fault->vm);
}

/* Prints the state of the observers and the servers. */
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

/* Resets all links, applies the active faults to them, and records what works from now on. */
static void
apply_faults (struct run *run)
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
		const struct active_fault *active_fault = &run->slots[i];

		if (!active_fault->is_active)
			continue;
		if (active_fault->fault->cut)
			active_fault->fault->cut (run, active_fault);
		has_vms = has_vms && !active_fault->fault->affects_vms;
		has_platform = has_platform && !active_fault->fault->affects_platform;
	}
	run->last_event_us = fleet->world.now_us;
	fleet->connected_since_us = has_vms ? run->last_event_us : INT64_MAX;
	run->platform_ok_since_us = has_vms && has_platform ? run->last_event_us : INT64_MAX;
}

static void
begin_fault (struct run *run, unsigned fault_index, const struct fault *fault)
{
	struct active_fault *active_fault = &run->slots[fault_index];

	*active_fault =
		(struct active_fault){ .fault = fault, .is_active = true, .partition = 1u << fault_index };
	if (fault->begin)
		fault->begin (run, active_fault);
	print_event (run, "starts", active_fault);
	apply_faults (run);
	change_document (run, fault_index);
}

static void
end_fault (struct run *run, unsigned fault_index)
{
	struct active_fault *active_fault = &run->slots[fault_index];

	active_fault->is_active = false;
	if (active_fault->fault->end)
		active_fault->fault->end (run, active_fault);
	print_event (run, "ends", active_fault);
	apply_faults (run);
	change_document (run, fault_index);
}

static bool
server_is_up (struct run *run, uint32_t server)
{
	return server_node (run, server)->state == VIRTUAL_RUNNING &&
	       run->fleet.groups[0].servers[server].lag_us < ACK_TIMEOUT_US;
}

static bool
are_connected (struct run *run, uint32_t a, uint32_t b)
{
	const struct virtual_world *world = &run->fleet.world;

	for (size_t i = 0; i < world->override_count; i++)
		if (world->overrides[i].link.is_cut &&
		    world->overrides[i].from == (int) (FIRST_SERVER_NODE + a) &&
		    world->overrides[i].to == (int) (FIRST_SERVER_NODE + b))
			return false;
	return server_node (run, a)->partition == server_node (run, b)->partition;
}

/* Tells whether two servers run, reach each other and lag less than ACK_TIMEOUT_US, with running VMs of
 * at least two zones on their side of the partition. */
static bool
has_majority (struct run *run)
{
	const struct virtual_node *nodes = run->fleet.world.nodes;

	for (uint32_t a = 0; a < FLEET_SERVERS; a++)
	{
		uint32_t b = (a + 1) % FLEET_SERVERS;
		uint32_t zones = 0;

		if (!server_is_up (run, a) || !server_is_up (run, b) || !are_connected (run, a, b))
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
		run->majority_since_us = INT64_MAX;
	else if (run->majority_since_us == INT64_MAX)
		run->majority_since_us = now_us;
	since_us = MAX (MAX (run->majority_since_us, run->last_event_us), fleet->histories[0].last_us);
	if (since_us < now_us - MAX_WRITE_GAP_US)
		run->problem = "no write was acknowledged for 5 s while a majority could be reached";
	since_us = MAX (run->platform_ok_since_us, run->document_changed_us);
	if (since_us < now_us - MAX_ADOPTION_DELAY_US && fleet_count_outdated (fleet) > 0)
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
pause_claimant (struct run *run, struct active_fault *active_fault)
{
	for (uint32_t vm = 0; vm < VMS && active_fault->awaits_claimant; vm++)
	{
		const struct fleet_group *group = &run->fleet.vms[vm].groups[0];

		if (run->fleet.world.nodes[vm].state != VIRTUAL_RUNNING || !group->is_observer ||
		    strcmp (failover_state_name (&group->failover), "fencing") != 0)
			continue;
		virtual_set_state (&run->fleet.world, (int) vm, VIRTUAL_PAUSED);
		active_fault->vm = vm;
		active_fault->awaits_claimant = false;
		print_event (run, "pauses the claimant", active_fault);
		run->last_event_us = run->fleet.world.now_us;
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
		while (run->slots[0].awaits_claimant || run->slots[1].awaits_claimant)
		{
			if (world->now_us >= step_end_us)
				break;
			virtual_run (world, MIN (world->now_us + CLAIM_STEP_US, step_end_us));
			pause_claimant (run, &run->slots[0]);
			pause_claimant (run, &run->slots[1]);
		}
		virtual_run (world, step_end_us);
		if (is_verbose &&
		    world->now_us / PRINT_INTERVAL_US != (world->now_us - STEP_US) / PRINT_INTERVAL_US)
			print_state (run);
		check (run);
	}
}

static void
warm_up (struct run *run, uint64_t seed)
{
	fleet_init (&run->fleet, seed, VMS, ZONES, 1, normal_link, true);
	/* As in production: the bound of 5 s relies on what the observer learns from the owner's traffic. */
	run->fleet.writes_at_owner = true;
	run->fleet.retries_writes = true;
	for (uint32_t s = 0; s < FLEET_SERVERS; s++)
		run->fleet.groups[0].servers[s].lag_us = LAG_US;
	apply_faults (run);
	advance (run, WARM_UP_US + (int64_t) random_below (run, 1000000));
	if (run->fleet.histories[0].count == 0)
		run->problem = "no write was acknowledged before the faults";
}

/* Runs one case and returns the guarantee that it broke, or NULL. @p second: NULL for no second fault;
 * @p is_repeated: the first fault starts again after its end. */
static const char *
run_case (const struct fault *first, const struct fault *second, bool is_repeated,
          int64_t offset_us, uint64_t seed)
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
	if (is_repeated)
	{
		advance (&run, REPEAT_DELAY_US);
		begin_fault (&run, 0, first);
		advance (&run, FAULT_US);
		end_fault (&run, 0);
	}
	advance (&run, RECOVERY_US);
	fleet_check_log (&run.fleet, 0);
	if (!run.problem && run.fleet.violation)
		run.problem = run.fleet.violation;
	if (!run.problem && run.fleet.histories[0].reads == 0)
		run.problem = "no read was served";
	fleet_finish (&run.fleet);
	return run.problem;
}

/* Runs a case if it is selected. Returns 1 if it failed, and 0 otherwise. */
static int
run_named (const struct fault *first, const struct fault *second, bool is_repeated,
           int64_t offset_ms, uint64_t seed)
{
	const char *only = g_getenv ("FLAMINGOSPRING_TEST_PAIR");
	const char *second_name = second ? second->name : is_repeated ? "again" : "-";
	g_autofree char *name =
		g_strdup_printf ("%s,%s,%d,%d", first->name, second_name, (int) offset_ms, (int) seed);
	const char *problem;

	if (only && strcmp (only, name) != 0)
		return 0;
	is_verbose = only != NULL;
	problem = run_case (first, second, is_repeated, offset_ms * 1000, seed);
	if (problem)
		g_test_message ("FLAMINGOSPRING_TEST_PAIR=%s failed: %s", name, problem);
	return problem != NULL;
}

/* Guards against a single fault that breaks a guarantee, at its first or second occurrence. */
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

/* Guards against two overlapping faults that break a guarantee together. */
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
