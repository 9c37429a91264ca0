"""A planned stop while sessions run one statement after the other.

Two gateways and one service of three servers, all in calm. 150 sessions of the first gateway each send the next read as
soon as the last one is answered. Then the first gateway gets SIGTERM."""

import asyncio
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from standins_2 import *  # noqa: E402, F403

ZONES = ["riga-a", "riga-b"]
SESSIONS = 150
GRACE_S = 6


async def case(record, fleet):
    route = {"host": "ledger", "service": "stall", "routeType": "primary", "timeoutMs": 1200, "targetLatencyMs": 600, "priority": 0}
    service = {"name": "stall", "zones": [ZONES[0], ZONES[1], ZONES[0]], "work_ms": 15}
    store, services, gateways = await start_fleet(record, [service], [route], ZONES)
    fleet += gateways
    if not await wait_until(lambda: all_ready(fleet), 20):
        return NOT_RUN
    await asyncio.sleep(3)
    gateway, state = fleet[0], {"stop": None, "end": time.monotonic() + 3 + GRACE_S, "lost": 0, "answered": 0}

    async def session(number):
        requester = await Requester(gateway, "ledger").start()
        while time.monotonic() < state["end"]:
            id_, sent = Requester.new_id(), time.monotonic()
            after = "-" if state["stop"] is None else f"{sent - state['stop']:.3f}"
            try:
                answer = await requester.ask(f"READ {number:x}", id_)
                state["answered"] += 1
                if state["stop"] is not None:
                    record(f"session {number}: {id_} sent {after} s after SIGTERM: {answer[-2]}")
            except (Lost, OSError) as problem:
                has_run = id_ in state["run"]
                held_ms = (time.monotonic() - sent) * 1000
                record(f"session {number}: {id_} sent {after} s after SIGTERM, connection ended after {held_ms:.0f} ms: {problem}; at a server: {has_run}")
                # Only a request that reached a server counts, and the rule excuses those sent in the first 3 s.
                state["lost"] += has_run and state["stop"] is not None and sent - state["stop"] > 3
                return

    state["run"] = set()
    for server in services[0].servers:
        query = server.query

        async def note(session, line, writer, query=query):
            state["run"].add(line.split(" ", 2)[1])
            await query(session, line, writer)
        server.query = note
    tasks = [asyncio.ensure_future(session(number)) for number in range(SESSIONS)]
    await asyncio.sleep(3)
    record(f"answered in 3 s of calm: {state['answered']}")
    if state["answered"] < SESSIONS:
        return NOT_RUN
    state["stop"] = time.monotonic()
    if TROUBLE:
        record("SIGTERM to the gateway that has the sessions")
        gateway.process.send_signal(signal.SIGTERM)
    await asyncio.gather(*tasks, return_exceptions=True)
    record(f"requests that reached a server and whose connection ended without an answer: {state['lost']}")
    return BROKEN if state["lost"] else HELD


main(FOLDER, case)
