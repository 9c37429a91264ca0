"""A session reads its own commit while configurations come in quick succession.

Two gateways and two services of three servers, all in calm; replicas apply what they receive 150 ms later. The session's
database has a read_your_writes route. Each round: the session commits a write on service "one"; the operator gives the
route to service "two", where the session commits another write; the operator gives it back to "one"; the session reads.
The log on which the read runs has to hold the session's first commit of the round."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from standins_2 import *  # noqa: E402, F403

ZONES = ["riga-a", "riga-b"]
ROUNDS = 12
LAG_MS = 150  # "replicas 150 ms behind", as on the sheet of the large Riga installation.
STORM_GAP_S = 0.06  # Pause between two configurations, as in the days of the site files ("config_storm").


async def case(record, fleet):
    def route(service):
        return [{"host": "ledger", "service": service, "routeType": "read_your_writes", "timeoutMs": 1000, "targetLatencyMs": 250, "priority": 1,
                 "maxStalenessMs": 2500}]

    zones = [ZONES[0], ZONES[0], ZONES[0]]
    services = [{"name": name, "zones": zones, "work_ms": 3, "lag_ms": LAG_MS} for name in ("one", "two")]
    store, running, gateways = await start_fleet(record, services, route("one"), ZONES)
    fleet += gateways
    one = running[0]
    if not await wait_until(lambda: all_ready(fleet), 20):
        return NOT_RUN
    await asyncio.sleep(3)
    gateway, version, stale, done = fleet[0], 3, 0, 0
    declared = [{"name": s.name, "maxConnections": s.max_connections, "syncReplicas": 0} for s in running]
    reads = {}
    for server in one.servers:
        query = server.query

        async def note(session, line, writer, server=server, query=query):
            words = line.split(" ")
            if "READ" in words:
                reads[words[1]] = (server.id, server.applied())
            await query(session, line, writer)
        server.query = note

    def configure(service):
        nonlocal version
        version += 3
        store.configure(version, route(service), declared, {"txIdleMs": 3000})
        return time.monotonic()

    # Commits of others, so that the two logs differ in length; a position of "two" comes before one of "one".
    other = await Requester(gateway, "ledger").start()
    for number in range(40):
        await other.ask(f"WRITE o{number:x} xkqpwnzd")
    requester = await Requester(gateway, "ledger").start()
    for round_ in range(ROUNDS):
        for number in range(6):  # The usual traffic, which tells the gateway the positions of the primary.
            await other.ask(f"READ {number:x}")
            await asyncio.sleep(0.1)
        await requester.ask(f"READ {round_:x}")
        answer = await requester.ask(f"WRITE a{round_:x} xkqpwnzd")
        commit, committed = len(one.log), answer[-2].startswith("COMPLETE")
        record(f"round {round_}: write on one: {answer[-2]}, commit {commit} of its log")
        if TROUBLE:
            moved = configure("two")
            before = len(running[1].log)
            await asyncio.sleep(0.02)
            answer = await requester.ask(f"WRITE b{round_:x} xkqpwnzd")
            record(f"round {round_}: write after version {version}: {answer[-2]}, ran on two: {len(running[1].log) > before}")
            await asyncio.sleep(max(moved + STORM_GAP_S - time.monotonic(), 0))
            configure("one")
            await asyncio.sleep(0.02)
        id_ = Requester.new_id()
        sent = time.monotonic()
        answer = await requester.ask(f"READ a{round_:x}", id_)
        where, log = reads.get(id_, ("another service", -1))
        is_stale = committed and answer[-2].startswith("COMPLETE") and 0 <= log < commit
        record(f"round {round_}: read sent {(sent - one.log[commit - 1][0]) * 1000:.0f} ms after the commit: {answer[-2]} by {where}, whose log "
               f"had {log} commits{': STALE' if is_stale else ''}")
        done += committed and answer[-2].startswith("COMPLETE")
        stale += is_stale
        await asyncio.sleep(2)
    record(f"reads done: {done}; stale: {stale}")
    if stale:
        return BROKEN
    return HELD if done else NOT_RUN


main(FOLDER, case)
