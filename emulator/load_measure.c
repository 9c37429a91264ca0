#include "emulator/load.h"

#include "common/clock.h"

#include <libpq-fe.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* One client that sends requests one after the other, with its own thread and connection. */
struct client
{
	const char *url;    /* URL of the read at the proxy; NULL: reads directly at the server. */
	const char *server; /* Server for direct reads, as IP:PORT. */
	int64_t end_us;
	GArray *latencies;
	uint64_t errors;
};

static size_t
ignore_body (char *bytes, size_t size, size_t count, void *data)
{
	return size * count;
}

static bool
read_through_proxy (CURL *curl)
{
	long status = 0;

	if (curl_easy_perform (curl) != CURLE_OK)
		return false;
	curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, &status);
	return status == 200;
}

static bool
read_direct (PGconn *connection)
{
	static const char *const params[] = { "measured" };
	PGresult *result = PQexecParams (connection, "SELECT value FROM ledger WHERE key = $1", 1, NULL,
	                                 params, NULL, NULL, 0);
	bool is_done = PQresultStatus (result) == PGRES_TUPLES_OK;

	PQclear (result);
	return is_done;
}

static PGconn *
server_connect (const char *server)
{
	char **parts = g_strsplit (server, ":", 2);
	char *info = g_strdup_printf ("host=%s port=%s dbname=ledger0 user=caller sslmode=disable",
	                              parts[0], parts[1]);
	PGconn *connection = PQconnectdb (info);

	g_free (info);
	g_strfreev (parts);
	return connection;
}

static void *
client_run (void *data)
{
	struct client *client = data;
	CURL *curl = curl_easy_init ();
	PGconn *connection = client->url ? NULL : server_connect (client->server);

	curl_easy_setopt (curl, CURLOPT_URL, client->url);
	curl_easy_setopt (curl, CURLOPT_POSTFIELDS, "{\"params\":[\"measured\"]}");
	curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, ignore_body);
	if (connection && PQstatus (connection) != CONNECTION_OK)
	{
		fprintf (stderr, "load: %s", PQerrorMessage (connection));
		client->errors++;
		client->end_us = 0;
	}
	while (clock_now_us () < client->end_us)
	{
		int64_t start_us = clock_now_us ();
		bool is_done = client->url ? read_through_proxy (curl) : read_direct (connection);
		int64_t latency_us = clock_now_us () - start_us;

		if (is_done)
			g_array_append_val (client->latencies, latency_us);
		else
			client->errors++;
	}
	PQfinish (connection);
	curl_easy_cleanup (curl);
	return NULL;
}

/** Measures and prints one path. @return the number of reads that failed. */
static uint64_t
measure_reads (const char *path, const char *url, const char *server, int connections, int seconds)
{
	struct client *clients = g_new0 (struct client, connections);
	GThread **threads = g_new0 (GThread *, connections);
	GArray *all = g_array_new (FALSE, FALSE, sizeof (int64_t));
	int64_t end_us = clock_now_us () + seconds * (int64_t) US_PER_S;
	uint64_t errors = 0;

	for (int i = 0; i < connections; i++)
	{
		clients[i] = (struct client){ url, server, end_us, NULL, 0 };
		clients[i].latencies = g_array_new (FALSE, FALSE, sizeof (int64_t));
		threads[i] = g_thread_new ("client", client_run, &clients[i]);
	}
	for (int i = 0; i < connections; i++)
	{
		g_thread_join (threads[i]);
		g_array_append_vals (all, clients[i].latencies->data, clients[i].latencies->len);
		g_array_unref (clients[i].latencies);
		errors += clients[i].errors;
	}
	printf ("measure way=%s connections=%d reads_per_s=%.0f p50_ms=%.2f p99_ms=%.2f errors=%lu\n",
	        path, connections, (double) all->len / seconds, latencies_percentile_ms (all, 50),
	        latencies_percentile_ms (all, 99), errors);
	g_array_unref (all);
	g_free (threads);
	g_free (clients);
	return errors;
}

int
measure_run (const char *entry, const char *service, const char *server, int connections,
             int seconds)
{
	char *url = g_strdup_printf ("http://%s/v1/services/%s/calls/letter_find_0", entry, service);
	uint64_t errors = measure_reads ("proxy", url, server, connections, seconds);

	errors += measure_reads ("straight", NULL, server, connections, seconds);
	g_free (url);
	return errors ? EXIT_FAILURE : EXIT_SUCCESS;
}
