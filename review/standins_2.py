"""Stand-ins for the scripts of the second review, written from the users' pages: the platform's store and its duties,
database services with a log, replicas and slots, and requesters. Everything runs on loopback addresses with free ports.

Nothing here is late, wrong or silent unless a script asks for it."""

import asyncio
import base64
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = [os.path.join(ROOT, "target/build/flamingospring/flamingospring"), "gateway"]  # "run" of deploy/system.toml
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
NET = f"127.{os.getpid() % 200 + 20}.{os.getpid() // 200 % 250 + 1}"
MESSAGE_BYTES = 1 << 20
HELD, BROKEN, NOT_RUN = 0, 1, 2


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder):
        self.file, self.start = open(os.path.join(folder, "record.txt"), "w"), time.monotonic()

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.start:9.4f} {text}\n")
        self.file.flush()


def free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


class Store:
    """The platform's store and its duties (PROTOCOL.md), on one address."""

    def __init__(self, record):
        self.items, self.history, self.revision, self.record = {}, [], 1, record
        self.changed = asyncio.Event()
        self.services = {}

    async def run(self):
        self.ip = f"{NET}.1"
        self.server = await asyncio.start_server(self.accept, self.ip, 0, limit=4 << 20)
        self.address = f"{self.ip}:{self.server.sockets[0].getsockname()[1]}"

    def put(self, key, value):
        self.put_encoded(key, base64.b64encode(json.dumps(value).encode()).decode())

    def put_encoded(self, key, value):
        self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        self.items[key] = {"key": key, "value": value, "revision": self.revision, "created": created, "lease": 0}
        self.note(self.items[key])

    def remove(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self.note({"key": key, "revision": self.revision, "deleted": True})

    def note(self, event):
        self.history.append(event)
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def configure(self, version, routes, services, limits):
        self.put("op/config", {"version": version, "routes": routes, "services": services, "limits": limits})
        self.record(f"operator: version {version} acknowledged at revision {self.revision}: "
                    + ", ".join(f"{r['host']} -> {r['service']}" for r in routes))

    async def answer(self, method, target, headers, body):
        url = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        if url.path == "/kv-range":
            return 200, {"items": [v for k, v in sorted(self.items.items()) if k.startswith(query["pathPrefix"]) and k > query.get("after", "")],
                         "hasMore": False, "at": self.revision}
        if url.path == "/kv-watch":
            end = time.monotonic() + int(query["waitMs"]) / 1000
            while True:
                changed = self.changed
                found = [e for e in self.history if e["key"].startswith(query["pathPrefix"]) and e["revision"] > int(query["after"])]
                if found or time.monotonic() >= end:
                    return 200, {"events": found, "at": self.revision}
                try:
                    await asyncio.wait_for(changed.wait(), max(end - time.monotonic(), 0.001))
                except asyncio.TimeoutError:
                    pass
        if url.path == "/kv-txn":
            call = json.loads(body)
            if any((self.items[r["key"]]["revision"] if r["key"] in self.items else 0) != r["revision"] for r in call["expected"]):
                return 412, {"items": [self.items[r["key"]] for r in call["expected"] if r["key"] in self.items]}
            for row in call["writes"]:
                self.put_encoded(row["key"], row["value"])
            for key in call["remove"]:
                self.remove(key)
            return 200, {"revision": self.revision}
        if url.path == "/promote":
            call = json.loads(body)
            self.record(f"promote: {call} by {headers.get('duty-holder')} token {headers.get('fencing-token')}")
            service = self.services.get(call["service"])
            return service.promote(call["id"]) if service else (404, {})
        return 404, {}

    async def accept(self, reader, writer):
        try:
            while line := await reader.readline():
                headers = {}
                while (header := await reader.readline()) not in (b"\r\n", b""):
                    name, value = header.decode().split(":", 1)
                    headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                method, target, _ = line.decode().split(" ", 2)
                status, answer = await self.answer(method, target, headers, body)
                text = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % (status, len(text)) + text)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        writer.close()


class Server:
    """One server of a database service."""

    def __init__(self, service, index, zone):
        self.service, self.zone, self.id = service, zone, f"i-{service.name}{index}"
        self.ip, self.is_primary, self.sequence = f"{NET}.{20 + service.number * 10 + index}", index == 0, 0
        self.connections, self.running, self.waiting, self.state = 0, 0, 0, "ready"
        self.free = asyncio.Semaphore(service.slots)

    async def run(self):
        self.server = await asyncio.start_server(self.accept, self.ip, 0, limit=2 * MESSAGE_BYTES)
        self.port = self.server.sockets[0].getsockname()[1]
        self.born = int(time.time() * 1000)
        self.report()

    def report(self):
        self.sequence += 1
        self.service.store.put(f"servers/{self.id}", {
            "service": self.service.name, "address": f"{self.ip}:{self.port}", "zone": self.zone, "version": "v1", "slots": self.service.slots,
            "state": self.state, "coldRemainingMs": 0, "dbRole": "primary" if self.is_primary else "replica", "sequence": self.sequence, "born": self.born})

    def applied(self):
        """Number of the last commit that reads see here."""
        if self.is_primary:
            return len(self.service.log)
        return sum(at <= time.monotonic() - self.service.lag_s for at, *_ in self.service.log)

    def position(self):
        return f"{self.service.term}.{self.applied()}"

    async def slot(self, work_s):
        """Runs work in a slot. @return False when the server is full."""
        if self.free.locked() and self.waiting >= 16:
            return False
        self.waiting += 1
        async with self.free:
            self.waiting -= 1
            self.running += 1
            await asyncio.sleep(work_s)
            self.running -= 1
        return True

    async def accept(self, reader, writer):
        session = {"state": "I", "writes": [], "values": {}, "names": {}}
        try:
            words = (await reader.readline()).decode().split()
            if words[:2] != ["START", self.service.name] or words[3:4] not in ([], [self.id]):
                writer.write(b"ERROR MISDIRECT another server\r\n")
            elif self.connections >= self.service.max_connections:
                writer.write(b"ERROR TOOMANY connections\r\n")
            else:
                self.connections += 1
                try:
                    await self.slot(0.012)
                    writer.write(f"READY I {self.position()}\r\n".encode())
                    while line := await reader.readline():
                        if line.startswith(b"BYE"):
                            break
                        await self.query(session, line.rstrip(b"\r\n").decode(), writer)
                        await writer.drain()
                finally:
                    self.connections -= 1
        except (ConnectionError, ValueError, IndexError):
            pass
        writer.close()

    async def query(self, session, line, writer):
        _, id_, text = line.split(" ", 2)
        words, rows, error = text.split(" "), [], None
        mac = "-"
        after = None
        if words[0] == "AFTER":
            after, words = words[1], words[2:]
        what = words[0]
        if what == "EXECUTE":
            shape = session["names"].get(words[1])
            what, words = (shape[0], [shape[0], *words[2:]]) if shape else ("NOSTMT", words)
        if what == "STATUS" or what == "DEMOTE":
            rows = [f"{'primary' if self.is_primary else 'replica'} {self.service.term} {self.service.term}.{len(self.service.log)} 0 "
                    f"{0 if self.is_primary else int(self.service.lag_s * 1000)} {self.running + 1} {self.connections}"]
        elif what == "SET":
            session["values"][words[1]] = " ".join(words[2:])
        elif what == "PREPARE":
            session["names"][words[1]] = (words[2], " ".join(words[3:]))
        elif what == "DEALLOC":
            session["names"].pop(words[1], None)
        elif what == "RESET":
            session["values"], session["names"] = {}, {}
        elif what == "ROLLBACK":
            session["state"], session["writes"] = "I", []
        elif what == "NOSTMT":
            error = "NOSTMT no such name"
        elif after and int(after.split(".")[1]) > self.applied():
            error = f"LAGGING {self.position()}"
        elif what == "BEGIN" and words[1:] != ["READ"] and not self.is_primary:
            error = f"READONLY {self.id}"
        elif what == "BEGIN":
            session["state"] = "T"
        elif what == "WRITE" and not self.is_primary:
            error = f"READONLY {self.id}"
        elif what in ("READ", "WRITE", "COMMIT"):
            mac = f"{len(self.service.log)}.{id_[-8:]}"
            if not await self.slot(self.service.work_s):
                error = "BUSY full"
            elif what == "READ":
                rows = [self.service.rows(self, words)]
            elif what == "WRITE":
                session["writes"].append((id_, words[1:]))
            if not error and (what == "COMMIT" or session["state"] == "I") and session["writes"]:
                for write in session["writes"]:
                    self.service.log.append((time.monotonic(), *write))
                session["writes"] = []
            if what == "COMMIT" and not error:
                session["state"] = "I"
        if id_ != "-":
            self.service.record(f"{self.id} ran {id_[-24:]} {text[:60]} -> {error or 'done'} at {self.position()}")
        answer = "".join(f"ROW {row}\r\n" for row in rows) + (f"ERROR {error}\r\n" if error else f"COMPLETE {mac}\r\n")
        writer.write(f"{answer}READY {session['state']} {self.position()}\r\n".encode())


class Service:
    def __init__(self, name, number, store, record, zones, slots=2, max_connections=16, work_ms=3, lag_ms=20):
        self.name, self.number, self.store, self.record = name, number, store, record
        self.slots, self.max_connections, self.work_s, self.lag_s = slots, max_connections, work_ms / 1000, lag_ms / 1000
        self.term, self.log = 1, []  # The log: (time, id, arguments) of each commit.
        self.servers = [Server(self, index, zone) for index, zone in enumerate(zones)]
        store.services[name] = self

    def rows(self, server, words):
        return f"row{len(self.log)}"

    def promote(self, id_):
        return (200, {}) if self.servers[0].id == id_ else (409, {})

    async def run(self):
        for server in self.servers:
            await server.run()

    async def beat(self):
        while True:
            await asyncio.sleep(1.2)
            for server in self.servers:
                server.report()


class Gateway:
    """A process of the project, with the settings of a machine of the small Riga installation."""

    def __init__(self, number, zone, store, zones, bounds=""):
        self.ip, self.name = f"{NET}.{100 + number}", f"front-{zone}-{number}"
        self.front, self.ready, self.peer = (free_port(self.ip) for _ in range(3))
        self.folder = tempfile.TemporaryDirectory()
        path = os.path.join(self.folder.name, "settings.yaml")
        with open(path, "w") as settings:
            settings.write(f"""
node: "{self.name}"
role: "gateway"
machineClass: "front"
serves: ["front"]
ip: "{self.ip}"
zone: "{zone}"
region: "riga"
zones: {{{", ".join(f'{z}: "riga"' for z in zones)}}}
listen: {{front: "{self.ip}:{self.front}", ready: "{self.ip}:{self.ready}"}}
internalPorts: [{self.peer}, {self.peer + 15}]
bootstrap: true
limits: {{cpuShare: 0.25, cores: 1, memoryMb: 260, maxFds: 4300, linkMbps: 1000.0, diskMb: 0}}
heartbeatMs: 1200
bounds: {{stableWindowMs: 4000, ackMs: 5000, drainMs: 7000, graceS: 6, lossSlackMs: 200, configApplyMs: 3000, recoveryS: 12, fencingRequired: false}}
platform: {{address: "{store.address}", form: "kv", writesPerS: 400, readsPerS: 2000, retentionS: 20, valueBytes: 1048576, minTtlMs: 1000}}
cloud: {{address: "{store.address}", ratePerS: 50.0, duties: ["promote"], dutyPerS: 50.0}}
""")
        self.log = open(os.path.join(self.folder.name, "log"), "w+")
        self.process = subprocess.Popen(PROGRAM, cwd=ROOT, stdout=self.log, stderr=self.log,
                                        env={"PATH": os.environ["PATH"], "FLAMINGOSPRING_BOOT": path})

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.ready)
            writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            status = (await asyncio.wait_for(reader.readline(), 1)).split()[1:2]
            writer.close()
            return status == [b"200"]
        except (OSError, asyncio.TimeoutError):
            return False

    def memory_kb(self, name):
        with open(f"/proc/{self.process.pid}/status") as status:
            return next((int(line.split()[1]) for line in status if line.startswith(name + ":")), 0)

    def stop(self):
        if self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        self.log.close()
        self.folder.cleanup()


class Lost(Exception):
    """The connection ended without a complete answer."""


class Requester:
    """A session: one operation after the other, each with its own id."""

    count = 0

    def __init__(self, gateway, database, limit=2 * MESSAGE_BYTES, **options):
        self.gateway, self.database, self.limit, self.options = gateway, database, limit, options

    async def start(self):
        self.reader, self.writer = await asyncio.open_connection(self.gateway.ip, self.gateway.front, limit=self.limit, **self.options)
        self.writer.write(f"START {self.database} u{os.getpid()}\r\n".encode())
        line = await asyncio.wait_for(self.reader.readline(), 5)
        if not line.startswith(b"READY"):
            raise Lost(f"greeting {line!r}")
        return self

    @staticmethod
    def new_id():
        Requester.count += 1
        return f"{os.getpid():08x}{Requester.count:08x}"

    async def ask(self, text, id_=None, timeout_s=8):
        """@return the lines of the answer."""
        self.writer.write(f"QUERY {id_ or self.new_id()} {text}\r\n".encode())
        lines = []
        while not lines or not lines[-1].startswith("READY"):
            line = await asyncio.wait_for(self.reader.readline(), timeout_s)
            if not line.endswith(b"\n"):
                raise Lost(f"{len(lines)} lines and {len(line)} bytes were received")
            lines.append(line.decode().rstrip("\r\n"))
        return lines

    def close(self):
        self.writer.close()


async def wait_until(condition, limit_s):
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        if await condition():
            return True
        await asyncio.sleep(0.05)
    return False


async def start_fleet(record, services, routes, zones, gateways=2, limits=None, sync_replicas=0):
    """@return the store and the ready gateways; services: keyword arguments of Service; routes: of the configuration."""
    store = Store(record)
    await store.run()
    running = [Service(number=n, store=store, record=record, **{"zones": zones, **service}) for n, service in enumerate(services)]
    for service in running:
        await service.run()
        service.beats = asyncio.ensure_future(service.beat())
    store.configure(3, routes, [{"name": s.name, "maxConnections": s.max_connections, "syncReplicas": sync_replicas} for s in running], limits or {"txIdleMs": 3000})
    fleet = [Gateway(n, zones[n % len(zones)], store, zones) for n in range(gateways)]
    return store, running, fleet


async def all_ready(fleet):
    return all([await gateway.is_ready() for gateway in fleet])


def main(folder, case):
    """Runs the case and ends with its result."""
    record = Record(folder)
    fleet = []
    result = NOT_RUN

    def end(*_):
        for gateway in fleet:
            gateway.stop()

    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    async def run():
        nonlocal result
        try:
            if not os.access(PROGRAM[0], os.X_OK):
                record("the program is not built")
            else:
                result = await asyncio.wait_for(case(record, fleet), 110)
        except Exception as problem:
            record(f"the case could not run: {problem!r}")
        end()
        record(f"result {result}")
        print(("held", "broken", "could not run")[result], flush=True)
        os._exit(result)

    try:
        asyncio.run(run())
    finally:
        end()
