"""The primary crashes while a replica that holds its last commits is being replaced.

Two gateways and one service of three servers with syncReplicas 1. One replica reports that it is draining, as at the start of
its planned replacement; it goes on receiving and counts toward syncReplicas. The other replica receives nothing for a
while, and then the primary crashes."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import standins_2  # noqa: E402
from standins_2 import *  # noqa: E402, F403

ZONES = ["riga-a", "riga-b"]
RECEIVE_S = 0.005  # A commit's way to a replica.
PROMOTE_S = 0.3
DEAF_S = 6.5
CRASH_S = 7
RELEASES = os.environ.get("RELEASE", "1") != "0"  # RELEASE=0: the crash alone, without the planned replacement.


class SyncServer(Server):
    """A server with a log of its own, whose commits are acknowledged once one replica has received them."""

    def __init__(self, service, index, zone):
        super().__init__(service, index, zone)
        self.received, self.is_deaf, self.is_down, self.state, self.sessions = 0, False, False, "ready", set()

    def applied(self):
        return self.received

    async def accept(self, reader, writer):
        if self.is_down:
            writer.transport.abort()
            return
        self.sessions.add(writer)
        try:
            await super().accept(reader, writer)
        finally:
            self.sessions.discard(writer)

    def report(self):
        if self.is_down:
            return
        super().report()

    async def query(self, session, line, writer):
        before = len(self.service.log)
        words = line.split(" ")
        answer = []

        class Held:
            write = staticmethod(answer.append)

        await super().query(session, line, Held)
        if len(self.service.log) > before and self.is_primary:
            number = self.received = len(self.service.log)
            self.service.send(number)
            while not any(s.received >= number for s in self.service.servers if not s.is_primary):
                await asyncio.sleep(0.001)
            if self.is_down:
                raise ConnectionError
            self.service.numbers[words[1]] = number
        if "STATUS" in words or "DEMOTE" in words:
            answer = [answer[0].replace(f"{self.service.term}.{len(self.service.log)} ".encode(), f"{self.service.term}.{self.received} ".encode())]
        for part in answer:
            writer.write(part)

    def restart(self):
        self.is_down = False
        self.report()

    def crash(self):
        self.is_down = True
        for writer in list(self.sessions):
            writer.transport.abort()


class SyncService(Service):
    def __init__(self, **options):
        super().__init__(**options)
        self.numbers, self.acknowledged, self.promoted, self.missing = {}, [], None, []

    def send(self, number):
        for server in self.servers:
            if not server.is_primary and not server.is_deaf and not server.is_down:
                asyncio.get_running_loop().call_later(RECEIVE_S, lambda s=server: setattr(s, "received", max(s.received, number)))

    def promote(self, id_):
        server = next((s for s in self.servers if s.id == id_ and not s.is_down), None)
        if not server:
            return 409, {}
        if not server.is_primary and not self.promoted:
            self.promoted = server
            asyncio.get_running_loop().call_later(PROMOTE_S, self.lead, server)
        return 200, {}

    def lead(self, server):
        self.missing = [id_ for id_ in self.acknowledged if self.numbers[id_] > server.received]
        for other in self.servers:
            other.is_primary = other is server
            other.received = min(other.received, server.received)
        del self.log[server.received:]
        self.term += 1
        for other in self.servers:
            other.report()
        self.record(f"{server.id} leads term {self.term} with {server.received} commits; acknowledged commits that it lacks: {len(self.missing)}")


async def case(record, fleet):
    standins_2.Server, standins_2.Service = SyncServer, SyncService
    route = {"host": "ledger", "service": "stall", "routeType": "primary", "timeoutMs": 800, "targetLatencyMs": 120, "priority": 0}
    service = {"name": "stall", "zones": [ZONES[0], ZONES[1], ZONES[0]]}
    store, services, gateways = await start_fleet(record, [service], [route], ZONES, sync_replicas=1)
    fleet += gateways
    stall = services[0]
    primary, draining, behind = stall.servers
    if not await wait_until(lambda: all_ready(fleet), 20):
        return NOT_RUN
    await asyncio.sleep(12)  # Traffic starts 10 s after the machines do.
    done = 0

    async def write_for(seconds):
        nonlocal done
        end = time.monotonic() + seconds
        requester = None
        while time.monotonic() < end:
            try:
                requester = requester or await Requester(fleet[0], "ledger").start()
                id_ = Requester.new_id()
                answer = await requester.ask(f"WRITE w{done:x} xkqpwnzd", id_)
                if answer[-2].startswith("COMPLETE"):
                    done += 1
                    stall.acknowledged.append(id_)
                record(f"requester: {id_}: {answer[-2]}")
            except (Lost, OSError, asyncio.TimeoutError):
                requester = None
            await asyncio.sleep(0.05)

    await write_for(1)
    if TROUBLE and RELEASES:
        draining.state = "draining"
        draining.report()
        record(f"operator: {draining.id} is to be replaced and reports draining")
    await write_for(1)
    if TROUBLE:
        behind.is_deaf = True
        asyncio.get_running_loop().call_later(DEAF_S, setattr, behind, "is_deaf", False)
        record(f"{behind.id} receives nothing for {DEAF_S} s")
    await write_for(1)
    record(f"writes done: {done}; received: " + ", ".join(f"{s.id} {s.received}" for s in stall.servers))
    if done < 20:
        return NOT_RUN
    if TROUBLE:
        primary.crash()
        record(f"{primary.id} crashes")
        asyncio.get_running_loop().call_later(3.6, store.remove, f"servers/{primary.id}")
        asyncio.get_running_loop().call_later(CRASH_S, primary.restart)
    await write_for(12)
    record(f"writes done: {done}; promoted: {stall.promoted and stall.promoted.id}")
    if TROUBLE and not stall.promoted:
        return HELD
    return BROKEN if stall.promoted and stall.missing else HELD


main(FOLDER, case)
