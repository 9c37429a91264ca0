#include "fixture.h"

#include "free_port.h"

#include <arpa/inet.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

static const char fixture_document[] =
	"service: post\n"
	"session_keys:\n"
	"  - {id: 1, secret: 000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f}\n"
	"databases:\n"
	"  - name: letters\n    slots: 2\n    connections: 16\n"
	"    servers:\n"
	"      - {address: \"127.0.1.1:5432\", zone: a}\n"
	"      - {address: \"127.0.1.2:5432\", zone: b}\n"
	"      - {address: \"127.0.1.3:5432\", zone: c}\n"
	"calls:\n"
	"  - {name: find, database: letters, kind: read, params: 1, statement: \"SELECT $1\"}\n"
	"  - {name: find_monotonic, database: letters, kind: read, consistency: monotonic, params: 0,\n"
	"     statement: SELECT 1}\n"
	"  - {name: find_primary, database: letters, kind: read, consistency: primary, params: 0,\n"
	"     statement: \"SELECT 1\"}\n"
	"  - {name: find_low, database: letters, kind: read, rank: low, params: 0, statement: \"SELECT 1\"}\n"
	"  - {name: add, database: letters, kind: write, params: 2, statement: \"INSERT $1 $2\"}\n"
	"  - {name: set, database: letters, kind: write, idempotent: true, params: 2,\n"
	"     statement: \"UPDATE $1 $2\"}\n";

static struct snapshot_service *
fixture_service_new (void)
{
	struct snapshot_service *service = calloc (1, sizeof *service);
	struct findings findings;
	int result;

	findings_init (&findings);
	result = schema_service_init (&service->schema, "fixture", fixture_document,
	                              strlen (fixture_document), &findings);
	findings_print (&findings, stderr);
	g_assert_cmpint (result, ==, 0);
	findings_finish (&findings);
	service->schema.revision = 1;
	service->references = 1;
	return service;
}

struct snapshot *
fixture_snapshot (const struct fixture *fixture)
{
	struct snapshot *snapshot = snapshot_new (1, fixture->member_count, 1);
	struct snapshot_group *group = &snapshot->groups[0];

	snapshot->self = fixture->self;
	snapshot->is_leaving = fixture->is_leaving;
	snapshot->refuses_connections = fixture->refuses_connections;
	snapshot->services[0] = fixture_service_new ();
	snapshot->member_count = 0;
	for (uint32_t i = 0; i < fixture->member_count; i++)
	{
		struct snapshot_member *member = &snapshot->members[snapshot->member_count];

		if (i + 1 == fixture->without_vm)
			continue;
		member->id = i + 1;
		member->is_live = true;
		member->address.ip = INADDR_LOOPBACK;
		member->address.traffic_port = fixture->traffic_ports[i];
		snapshot->member_count++;
	}
	group->service = &snapshot->services[0]->schema;
	group->database = &group->service->databases[0];
	group->has_primary = fixture->has_primary;
	group->primary = fixture->primary;
	group->term = fixture->term;
	for (uint32_t i = 0; i < FIXTURE_SERVERS; i++)
		group->servers[i].owners = fixture->owners[i];
	return snapshot;
}

const struct schema_service *
fixture_service (const struct snapshot *snapshot)
{
	return &snapshot->services[0]->schema;
}

uint16_t
fixture_port (void)
{
	return free_port ();
}
