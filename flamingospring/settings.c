#include "flamingospring/settings.h"

#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

enum
{
	SETTINGS_MAX_ZONE_BYTES = 63,
	SETTINGS_MAX_THREADS = 64,
};

enum setting_type
{
	SETTING_NUMBER,
	SETTING_TEXT,
	SETTING_ADDRESS,
	SETTING_ADDRESSES,
	SETTING_LEVEL,
};

/** A setting with the flag --NAME and the environment variable FLAMINGOSPRING_NAME. */
struct setting
{
	const char *name;
	enum setting_type type;
	size_t offset; /* Offset in struct settings. */
	uint64_t min;
	uint64_t max;
	size_t width;              /* Size of a number in bytes. */
	const char *default_value; /* NULL: the setting is required; "": it may be absent. */
	const char *help;
};

#define NUMBER(field, name, low, high, default_value, help)                                        \
	{                                                                                              \
		name, SETTING_NUMBER, offsetof (struct settings, field), low, high,                        \
			sizeof (((struct settings *) 0)->field), default_value, help                           \
	}
#define TEXT(field, name, default_value, help)                                                     \
	{                                                                                              \
		name, SETTING_TEXT, offsetof (struct settings, field), 0, 0, 0, default_value, help        \
	}

static const struct setting settings_table[] = {
	TEXT (acknowledge, "acknowledge", "majority",
	      "when a write is acknowledged: majority, or primary (loses writes; measurements only)"),
	NUMBER (acknowledge_timeout_ms, "acknowledge-timeout-ms", 10, 60000, "2000",
	        "longest wait for a majority before a write ends as unknown"),
	{ "address", SETTING_ADDRESS, offsetof (struct settings, ip), 0, 0, 0, "127.0.0.1",
	  "IPv4 address of all listeners" },
	{ "advertise", SETTING_ADDRESS, offsetof (struct settings, advertise_ip), 0, 0, 0, "0.0.0.0",
	  "IPv4 address at which other VMs reach this one; 0.0.0.0: that of the listeners" },
	NUMBER (caller_port, "caller-port", 1, 65535, "7000", "HTTP port for callers"),
	NUMBER (control_port, "control-port", 1, 65535, "7002",
	        "TCP and UDP port for gossip, configuration and operators"),
	NUMBER (drain_limit_ms, "drain-limit-ms", 0, 3600000, "30000",
	        "longest wait of a planned stop for requests in flight"),
	{ "log-level", SETTING_LEVEL, offsetof (struct settings, log_level), 0, 0, 0, "info",
	  "error, warn, info or debug" },
	NUMBER (max_body_bytes, "max-body-bytes", 1024, 1048576, "262144",
	        "largest body of a caller's request"),
	NUMBER (max_connections, "max-connections", 16, 1000000, "4096",
	        "client connections of a traffic thread"),
	TEXT (platform, "platform", "http://127.0.0.1:2379",
	      "base URL of the platform's key-value service"),
	{ "seeds", SETTING_ADDRESSES, offsetof (struct settings, seeds), 0, 0, 0, "",
	  "control addresses of other VMs, IP:PORT separated by commas" },
	NUMBER (service_port, "service-port", 1, 65535, "7003", "TCP port for typed calls of services"),
	{ "source-address", SETTING_ADDRESS, offsetof (struct settings, source_ip), 0, 0, 0, "0.0.0.0",
	  "IPv4 source of connections to VMs and the platform; 0.0.0.0: the system's choice" },
	TEXT (trace, "trace", "", "where spans go: - for standard error, or a file"),
	NUMBER (trace_sample_per_million, "trace-sample-per-million", 0, 1000000, "1000",
	        "share of new traces that are sampled"),
	NUMBER (traffic_port, "traffic-port", 1, 65535, "7001", "TCP port for requests of other VMs"),
	NUMBER (traffic_threads, "traffic-threads", 1, SETTINGS_MAX_THREADS, "2", "traffic threads"),
	NUMBER (transaction_idle_ms, "transaction-idle-ms", 10, 600000, "5000",
	        "an interactive transaction idle for longer is rolled back"),
	NUMBER (transaction_limit_ms, "transaction-limit-ms", 10, 3600000, "30000",
	        "longest life of an interactive transaction"),
	NUMBER (vm_id, "vm-id", 1, UINT32_MAX, NULL, "number of this VM, unique in the fleet"),
	TEXT (zone, "zone", NULL, "availability zone of this VM"),
};

enum
{
	SETTING_COUNT = sizeof settings_table / sizeof settings_table[0],
};

static int
address_parse (const char *text, struct settings_address *address)
{
	char ip[INET_ADDRSTRLEN];
	const char *colon = strrchr (text, ':');
	struct in_addr parsed;
	char *end;
	unsigned long port;

	if (!colon || (size_t) (colon - text) >= sizeof ip)
		return -EINVAL;
	memcpy (ip, text, (size_t) (colon - text));
	ip[colon - text] = 0;
	port = strtoul (colon + 1, &end, 10);
	if (inet_pton (AF_INET, ip, &parsed) != 1 || *end || end == colon + 1 || port == 0 ||
	    port > 65535)
		return -EINVAL;
	address->ip = ntohl (parsed.s_addr);
	address->port = (uint16_t) port;
	return 0;
}

static void
apply_number (const struct setting *setting, void *field, const char *source, const char *value,
              struct findings *findings)
{
	guint64 number;
	GError *error = NULL;

	if (!g_ascii_string_to_unsigned (value, 10, setting->min, setting->max, &number, &error))
	{
		findings_add (findings, source, 0, 0, setting->name,
		              "\"%s\" is not a number from %" G_GUINT64_FORMAT " to %" G_GUINT64_FORMAT,
		              value, setting->min, setting->max);
		g_error_free (error);
		return;
	}
	if (setting->width == sizeof (uint16_t))
		*(uint16_t *) field = (uint16_t) number;
	else
		*(uint32_t *) field = (uint32_t) number;
}

static void
apply_addresses (struct settings *settings, const char *source, const char *value,
                 struct findings *findings)
{
	char **parts = g_strsplit (value, ",", -1);

	settings->seed_count = 0;
	for (size_t i = 0; parts[i]; i++)
	{
		if (!parts[i][0])
			continue;
		if (settings->seed_count == SETTINGS_MAX_SEEDS)
		{
			findings_add (findings, source, 0, 0, "seeds", "more than %d addresses",
			              SETTINGS_MAX_SEEDS);
			break;
		}
		if (address_parse (parts[i], &settings->seeds[settings->seed_count]) < 0)
			findings_add (findings, source, 0, 0, "seeds", "\"%s\" is not IP:PORT", parts[i]);
		else
			settings->seed_count++;
	}
	g_strfreev (parts);
}

static void
setting_apply (struct settings *settings, const struct setting *setting, const char *source,
               const char *value, struct findings *findings)
{
	void *field = (char *) settings + setting->offset;
	struct in_addr ip;

	switch (setting->type)
	{
	case SETTING_NUMBER:
		apply_number (setting, field, source, value, findings);
		break;
	case SETTING_TEXT:
		*(char **) field = value[0] ? g_strdup (value) : NULL;
		break;
	case SETTING_ADDRESS:
		if (inet_pton (AF_INET, value, &ip) == 1)
			*(uint32_t *) field = ntohl (ip.s_addr);
		else
			findings_add (findings, source, 0, 0, setting->name, "\"%s\" is not an IPv4 address",
			              value);
		break;
	case SETTING_ADDRESSES:
		apply_addresses (settings, source, value, findings);
		break;
	case SETTING_LEVEL:
		if (log_level_parse (value, field) < 0)
			findings_add (findings, source, 0, 0, setting->name,
			              "\"%s\" is not error, warn, info or debug", value);
		break;
	}
}

static void
environment_name (const char *name, char variable[64])
{
	size_t i;

	g_strlcpy (variable, "FLAMINGOSPRING_", 64);
	for (i = strlen (variable); *name && i < 63; i++, name++)
		variable[i] = *name == '-' ? '_' : g_ascii_toupper (*name);
	variable[i] = 0;
}

static void
check_ports (const struct settings *settings, struct findings *findings)
{
	const uint16_t ports[] = { settings->caller_port, settings->traffic_port,
		                       settings->control_port, settings->service_port };

	for (size_t i = 0; i < G_N_ELEMENTS (ports); i++)
	{
		for (size_t j = 0; j < i; j++)
		{
			if (ports[i] == ports[j])
				findings_add (findings, "settings", 0, 0, "caller-port",
				              "port %u stands for two of caller, traffic, control and service port",
				              ports[i]);
		}
	}
}

static void
settings_check (const struct settings *settings, struct findings *findings)
{
	if (settings->zone && strlen (settings->zone) > SETTINGS_MAX_ZONE_BYTES)
		findings_add (findings, "settings", 0, 0, "zone", "longer than %d bytes",
		              SETTINGS_MAX_ZONE_BYTES);
	check_ports (settings, findings);
	if (settings->platform && !g_str_has_prefix (settings->platform, "http://"))
		findings_add (findings, "settings", 0, 0, "platform", "\"%s\" is not an http:// URL",
		              settings->platform);
	if (settings->acknowledge && strcmp (settings->acknowledge, "majority") != 0 &&
	    strcmp (settings->acknowledge, "primary") != 0)
		findings_add (findings, "settings", 0, 0, "acknowledge",
		              "\"%s\" is not majority or primary", settings->acknowledge);
	if (settings->transaction_idle_ms > settings->transaction_limit_ms)
		findings_add (findings, "settings", 0, 0, "transaction-idle-ms",
		              "%u is above transaction-limit-ms %u", settings->transaction_idle_ms,
		              settings->transaction_limit_ms);
}

static void
setting_load (struct settings *settings, const struct setting *setting, const char *flag,
              struct findings *findings)
{
	char variable[64];
	const char *value;

	environment_name (setting->name, variable);
	value = getenv (variable);
	if (flag)
		setting_apply (settings, setting, "flag", flag, findings);
	else if (value)
		setting_apply (settings, setting, "environment", value, findings);
	else if (setting->default_value)
		setting_apply (settings, setting, "default", setting->default_value, findings);
	else
		findings_add (findings, "settings", 0, 0, setting->name, "missing: set --%s or %s",
		              setting->name, variable);
}

int
settings_init (struct settings *settings, int argc, char **argv, struct findings *findings)
{
	GOptionEntry entries[SETTING_COUNT + 2] = { 0 };
	char *flags[SETTING_COUNT] = { 0 };
	char **arguments = g_strdupv (argv);
	char **remaining = arguments;
	gboolean check = FALSE;
	GError *error = NULL;
	GOptionContext *context = g_option_context_new ("- run the proxy on this VM");
	size_t before = findings->count;
	int result = 0;

	memset (settings, 0, sizeof *settings);
	for (size_t i = 0; i < SETTING_COUNT; i++)
	{
		entries[i] = (GOptionEntry){ .long_name = settings_table[i].name,
			                         .arg = G_OPTION_ARG_STRING,
			                         .arg_data = &flags[i],
			                         .description = settings_table[i].help,
			                         .arg_description = "VALUE" };
	}
	entries[SETTING_COUNT] =
		(GOptionEntry){ .long_name = "check",
		                .arg = G_OPTION_ARG_NONE,
		                .arg_data = &check,
		                .description = "check the settings, print them and exit" };
	g_option_context_add_main_entries (context, entries, NULL);
	g_option_context_set_strict_posix (context, TRUE);
	/* GLib removes the parsed flags from the vector, which is a copy. */
	if (!g_option_context_parse_strv (context, &remaining, &error))
	{
		findings_add (findings, "flag", 0, 0, "", "%s", error->message);
		g_error_free (error);
	}
	else if (remaining[0] && remaining[1])
		findings_add (findings, "flag", 0, 0, "", "unexpected argument \"%s\"", remaining[1]);
	for (size_t i = 0; i < SETTING_COUNT; i++)
		setting_load (settings, &settings_table[i], flags[i], findings);
	settings->check_only = check;
	settings_check (settings, findings);
	if (findings->count > before)
		result = -EINVAL;
	for (size_t i = 0; i < SETTING_COUNT; i++)
		g_free (flags[i]);
	g_strfreev (remaining);
	g_option_context_free (context);
	(void) argc;
	return result;
}

void
settings_finish (struct settings *settings)
{
	g_free (settings->zone);
	g_free (settings->platform);
	g_free (settings->trace);
	g_free (settings->acknowledge);
	memset (settings, 0, sizeof *settings);
}

static void
setting_print (const struct settings *settings, const struct setting *setting, FILE *stream)
{
	const void *field = (const char *) settings + setting->offset;
	static const char *const levels[] = { "error", "warn", "info", "debug" };
	uint32_t ip;

	fprintf (stream, "%s=", setting->name);
	switch (setting->type)
	{
	case SETTING_NUMBER:
		fprintf (stream, "%u",
		         setting->width == sizeof (uint16_t) ? *(const uint16_t *) field
		                                             : *(const uint32_t *) field);
		break;
	case SETTING_TEXT:
		fprintf (stream, "%s", *(char *const *) field ? *(char *const *) field : "");
		break;
	case SETTING_ADDRESS:
		ip = *(const uint32_t *) field;
		fprintf (stream, "%u.%u.%u.%u", ip >> 24, ip >> 16 & 255, ip >> 8 & 255, ip & 255);
		break;
	case SETTING_ADDRESSES:
		for (uint32_t i = 0; i < settings->seed_count; i++)
		{
			ip = settings->seeds[i].ip;
			fprintf (stream, "%s%u.%u.%u.%u:%u", i ? "," : "", ip >> 24, ip >> 16 & 255,
			         ip >> 8 & 255, ip & 255, settings->seeds[i].port);
		}
		break;
	case SETTING_LEVEL:
		fprintf (stream, "%s", levels[*(const enum log_level *) field]);
		break;
	}
	fputc ('\n', stream);
}

void
settings_print (const struct settings *settings, FILE *stream)
{
	for (size_t i = 0; i < SETTING_COUNT; i++)
		setting_print (settings, &settings_table[i], stream);
}
