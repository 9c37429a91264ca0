/* Guards against an answer that is taken for that of another statement (MIXED, TWICE, REFUSED): servers that send their answers
 * twice, the second time late, also refusals, answers to BEGIN and to session values, and cut ones. */
#include "gateway_pair.h"

#include "common/clock.h"
#include "common/counters.h"
#include "common/log.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

enum
{
	SESSIONS = 6,
	OPERATIONS = 60,
	MAX_DELAY_MS = 100,
	/* Connections are scarce and used again at once, so that a repeated answer meets the next statement. */
	CONNECTIONS = 8,
	WORK_MS = 3,
};

/** What the servers do. Shares are percentages of the answers concerned. */
struct behaviour
{
	int repeats_reads;
	int repeats_writes;
	int repeats_commands;
	int repeats_refusals;
	int refuses_writes;
	int cuts;
	int delay_ms;          /* Of a repeated answer; negative: random. */
	bool has_transactions; /* A quarter of the operations are transactions; otherwise writes. */
};

static struct gateway_pair pair;
static struct behaviour behaviour;
/* Counted by all callers. */
static int succeeded;
static int foreign;
static int promised;
static int wrong_effects;
static GMutex mutex;
static GString *examples; /* Of what broke a rule; guarded by the mutex. */

static bool
happens (int percent)
{
	return rand () % 100 < percent;
}

/** Called with the server's lock held, of which there are two. */
static void
react (void *data, const char *id, const char *text, struct fake_reaction *reaction)
{
	bool is_command = strcmp (id, "-") == 0;
	bool is_read = strstr (text, "READ ") != NULL;
	int share = is_read ? behaviour.repeats_reads : behaviour.repeats_writes;
	int delay_ms = behaviour.delay_ms >= 0 ? behaviour.delay_ms : rand () % (MAX_DELAY_MS + 1);

	(void) data;
	if (!is_command && strstr (text, "WRITE ") && happens (behaviour.refuses_writes))
	{
		reaction->is_refused = true;
		share = behaviour.repeats_refusals;
	}
	if (is_command)
		share = behaviour.repeats_commands;
	if (happens (share))
		reaction->repeat_ms = delay_ms;
	if (!is_command && is_read && happens (behaviour.cuts))
		reaction->cut_bytes = 1 + rand () % 12;
}

static bool
is_promise (const GString *answer)
{
	static const char *const promises[] = { "ERROR BUSY",     "ERROR ABORTED",   "ERROR LAGGING",
		                                    "ERROR READONLY", "ERROR MISDIRECT", "ERROR TOOMANY" };

	for (size_t i = 0; i < G_N_ELEMENTS (promises); i++)
		if (g_str_has_prefix (answer->str, promises[i]))
			return true;
	return false;
}

/** Whether the answer carries a signature that the server gave to the statement, which may have run more than once there. */
static bool
is_signed_by (struct fake_database *database, const char *id, bool is_read, const GString *answer)
{
	bool is_own = false;

	g_mutex_lock (&database->mutex);
	for (guint i = 0; i < database->statements->len && !is_own; i++)
	{
		const struct fake_statement *statement = database->statements->pdata[i];
		g_autofree char *own =
			g_strdup_printf ("%sCOMPLETE mac.%u\r\n", is_read ? "ROW row\r\n" : "", i + 1);

		is_own = strcmp (statement->id, id) == 0 && g_str_has_prefix (answer->str, own);
	}
	g_mutex_unlock (&database->mutex);
	return is_own;
}

/** Whether the success carries the row and a signature that a server sent for this statement. */
static bool
is_own_success (const char *id, bool is_read, const GString *answer)
{
	for (int i = 0; i < PAIR_SERVERS; i++)
		if (is_signed_by (&pair.databases[i], id, is_read, answer))
			return true;
	return false;
}

static void
add_example (const char *format, ...)
{
	enum
	{
		MAX_BYTES = 800,
	};
	va_list arguments;

	va_start (arguments, format);
	g_mutex_lock (&mutex);
	if (examples->len < MAX_BYTES)
		g_string_append_vprintf (examples, format, arguments);
	g_mutex_unlock (&mutex);
	va_end (arguments);
}

/** Runs one statement, and checks its answer. @return whether it succeeded. */
static bool
run_statement (int fd, const char *id, const char *text, const char **kept)
{
	bool is_read = g_str_has_prefix (text, "READ ");
	GString *answer = pair_execute (fd, id, text, strlen (text));
	bool is_success = strstr (answer->str, "COMPLETE ") != NULL;

	if (is_success)
	{
		g_atomic_int_inc (&succeeded);
		if (!is_own_success (id, is_read, answer))
		{
			g_atomic_int_inc (&foreign);
			add_example ("%s %s got %s", id, text, answer->str);
		}
	}
	else if (is_promise (answer))
	{
		g_atomic_int_inc (&promised);
		*kept = "promise";
	}
	else
		*kept = "doubt";
	g_string_free (answer, TRUE);
	return is_success;
}

/** What the caller of a write was told. */
struct outcome
{
	char *id;
	const char *told; /* NULL: success. */
};

static GPtrArray *outcomes; /* Guarded by the mutex. */

static void
add_outcome (const char *id, const char *told)
{
	struct outcome *outcome = g_new0 (struct outcome, 1);

	outcome->id = g_strdup (id);
	outcome->told = told;
	g_mutex_lock (&mutex);
	g_ptr_array_add (outcomes, outcome);
	g_mutex_unlock (&mutex);
}

static void
outcome_free (void *data)
{
	struct outcome *outcome = data;

	g_free (outcome->id);
	g_free (outcome);
}

/** Checks that each write took effect as its caller was told, once all have ended. */
static void
check_effects (void)
{
	for (guint i = 0; i < outcomes->len; i++)
	{
		const struct outcome *outcome = outcomes->pdata[i];
		const char *told = outcome->told;
		int commits = fake_database_count_commits (&pair.databases[PAIR_PRIMARY], outcome->id);

		if (commits <= 1 && !(commits == 1 && told && strcmp (told, "promise") == 0) &&
		    !(commits == 0 && !told))
			continue;
		wrong_effects++;
		add_example ("%s took effect %d times, its caller was told %s\r\n", outcome->id, commits,
		             told ? told : "success");
	}
}

static void
run_transaction (int fd, const char *id)
{
	g_autofree char *write = g_strdup_printf ("%s.w", id);
	g_autofree char *commit = g_strdup_printf ("%s.c", id);
	g_autofree char *read = g_strdup_printf ("%s.r", id);
	const char *told = NULL;
	bool is_open;

	g_string_free (pair_execute (fd, id, "BEGIN", 5), TRUE);
	is_open = run_statement (fd, write, "WRITE 1 data", &told) &&
	          run_statement (fd, read, "READ 1", &told);
	if (is_open)
		is_open = run_statement (fd, commit, "COMMIT", &told);
	else
		g_string_free (pair_execute (fd, id, "ROLLBACK", 8), TRUE);
	add_outcome (write, is_open ? NULL : told);
}

static void *
run_caller (void *data)
{
	int number = GPOINTER_TO_INT (data);
	int fd = gateway_pair_open (&pair, number % PAIR_VMS, number % 3 ? "primary" : "staleness");

	for (int i = 0; i < OPERATIONS; i++)
	{
		g_autofree char *id = g_strdup_printf ("s%d.%d", number, i);
		g_autofree char *value = g_strdup_printf ("SET v0 x%d", i / 8);
		const char *told = NULL;

		if (i % 8 == 0)
			g_string_free (pair_execute (fd, "v", value, strlen (value)), TRUE);
		if (i % 4 == 3 && behaviour.has_transactions)
			run_transaction (fd, id);
		else if (i % 2 == 1)
		{
			bool is_success = run_statement (fd, id, "WRITE 1 data", &told);

			add_outcome (id, is_success ? NULL : told);
		}
		else
			run_statement (fd, id, "READ 1", &told);
	}
	close (fd);
	return NULL;
}

/** @param min_share percentage of the statements that have to succeed. */
static void
run_callers (struct behaviour how, int min_share)
{
	/* A transaction has three statements. */
	int statements = SESSIONS * (OPERATIONS + (how.has_transactions ? OPERATIONS / 4 * 2 : 0));
	GThread *threads[SESSIONS];

	behaviour = how;
	succeeded = foreign = promised = wrong_effects = 0;
	examples = g_string_new (NULL);
	outcomes = g_ptr_array_new_with_free_func (outcome_free);
	gateway_pair_start (&pair, CONNECTIONS);
	for (int i = 0; i < PAIR_SERVERS; i++)
	{
		pair.databases[i].react = react;
		pair.databases[i].read_delay_ms = WORK_MS;
		pair.databases[i].delay_ms = WORK_MS;
	}
	for (int i = 0; i < SESSIONS; i++)
		threads[i] = g_thread_new ("caller", run_caller, GINT_TO_POINTER (i));
	for (int i = 0; i < SESSIONS; i++)
		g_thread_join (threads[i]);
	/* What is still at the servers runs to its end. */
	g_usleep (300 * US_PER_MS);
	check_effects ();
	g_test_message ("%d successes, %d of them foreign, %d promises, %d wrong effects, %d answers "
	                "repeated\n%s",
	                succeeded, foreign, promised, wrong_effects,
	                pair.databases[0].repeated + pair.databases[1].repeated, examples->str);
	g_test_message ("the gateways have counted %llu repeated answers and %llu out of step",
	                (unsigned long long) counter_get (COUNTER_ANSWERS_REPEATED),
	                (unsigned long long) counter_get (COUNTER_ANSWERS_OUT_OF_STEP));
	g_string_free (examples, TRUE);
	g_ptr_array_free (outcomes, TRUE);
	if (foreign > 0)
		g_test_fail_printf ("%d of %d successes carry the answer of another statement", foreign,
		                    succeeded);
	if (wrong_effects > 0)
		g_test_fail_printf ("%d writes took effect otherwise than their callers were told",
		                    wrong_effects);
	if (succeeded * 100 < statements * min_share)
		g_test_fail_printf ("%d of %d statements succeeded, %d%% are required", succeeded,
		                    statements, min_share);
	gateway_pair_stop (&pair);
}

static void
test_calm (void)
{
	run_callers ((struct behaviour){ .has_transactions = true }, 100);
}

/* Reads that are all answered twice: the second answer is the next statement's. */
static void
test_repeated_reads (void)
{
	run_callers ((struct behaviour){ .repeats_reads = 100, .delay_ms = -1 }, 90);
}

/* One answer in 30 comes twice: the connection stays an answer behind until it ends. */
static void
test_repeated_seldom (void)
{
	run_callers ((struct behaviour){ .repeats_reads = 3, .repeats_writes = 3, .delay_ms = 20 }, 90);
}

/* A refusal that is repeated is a false promise about the next write, which is then sent twice. */
static void
test_repeated_refusals (void)
{
	run_callers (
		(struct behaviour){ .refuses_writes = 30, .repeats_refusals = 100, .delay_ms = -1 }, 70);
}

/* Answers are cut off in their middle, and follow as a whole. */
static void
test_cut_and_whole (void)
{
	run_callers ((struct behaviour){ .cuts = 30 }, 50);
}

/* Everything is answered twice, also values, BEGIN, ROLLBACK and questions for the status. */
static void
test_repeated_all (void)
{
	run_callers ((struct behaviour){ .repeats_reads = 100,
	                                 .repeats_writes = 100,
	                                 .repeats_commands = 100,
	                                 .delay_ms = -1,
	                                 .has_transactions = true },
	             70);
}

/* A repeated answer that came while a transaction was idle closed its connection, which the session went on using (Fault). */
static void
test_repeated_in_transactions (void)
{
	run_callers ((struct behaviour){ .repeats_reads = 30,
	                                 .refuses_writes = 10,
	                                 .repeats_refusals = 100,
	                                 .delay_ms = 5,
	                                 .has_transactions = true },
	             70);
}

int
main (int argc, char **argv)
{
	g_test_init (&argc, &argv, NULL);
	log_init (LOG_LEVEL_ERROR, "test");
	g_test_add_func ("/gateway_answers/calm", test_calm);
	g_test_add_func ("/gateway_answers/repeated_reads", test_repeated_reads);
	g_test_add_func ("/gateway_answers/repeated_seldom", test_repeated_seldom);
	g_test_add_func ("/gateway_answers/repeated_refusals", test_repeated_refusals);
	g_test_add_func ("/gateway_answers/cut_and_whole", test_cut_and_whole);
	g_test_add_func ("/gateway_answers/repeated_all", test_repeated_all);
	g_test_add_func ("/gateway_answers/repeated_in_transactions", test_repeated_in_transactions);
	return g_test_run ();
}
