"""Stand-ins for the cases of this review: the platform's store and promotion call, database servers, and requesters.

They follow the users' pages PROTOCOL.md and DEPLOY.md. The gateways are the project's own program, one process for each
machine, started with the command of deploy/system.toml. All addresses are loopback addresses, and all ports and folders
are chosen when a case starts. Everything that was sent, answered and run is written to record.txt in the case's folder.
"""
import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

REPOSITORY = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))

# The settings of the small installation vestules-riga.
HEARTBEAT_S = 1.2
STORE_ANSWER_S = 0.004
PROMOTE_S = 1.0
LAG_S = 0.02
HANDSHAKE_S = 0.012
DRAIN_S = 7.0
GRACE_S = 6.0
STORE_PAGE_ITEMS = 500
MACHINES = ["a", "a", "b", "b", "c", "c", "d"]  # Zone of each machine.
SERVER_ZONES = ["a", "b", "c"]
# Codes that promise that nothing of the attempt is kept.
PROMISES = {"BUSY", "ABORTED", "LAGGING", "READONLY", "MISDIRECT", "TOOMANY"}


class Store:
    """The platform's key-value store and the promotion call."""

    def __init__(self, world):
        self.world, self.items, self.revision, self.events = world, {}, 1, []
        self.changed = asyncio.Event()
        self.handle_page = lambda ip, prefix, after: None  # Called when a page has been read.

    def put(self, key, value):
        self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        self.items[key] = {"key": key, "value": base64.b64encode(value.encode()).decode(), "revision": self.revision,
                           "created": created, "lease": 0}
        self.add_event(self.items[key])

    def remove(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self.add_event({"key": key, "revision": self.revision, "deleted": True})

    def add_event(self, event):
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def range(self, query, ip):
        prefix, after = query["pathPrefix"][0], query.get("after", [""])[0]
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        page = keys[:STORE_PAGE_ITEMS]
        answer = {"items": [self.items[k] for k in page], "hasMore": len(page) < len(keys), "at": self.revision}
        self.handle_page(ip, prefix, after)
        return 200, answer

    async def watch(self, query):
        prefix, after = query["pathPrefix"][0], int(query["after"][0])
        deadline = time.monotonic() + int(query["waitMs"][0]) / 1000
        while True:
            found = [e for e in self.events if e["revision"] > after and e["key"].startswith(prefix)]
            left = deadline - time.monotonic()
            if found or left <= 0:
                return 200, {"events": found, "at": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transact(self, body):
        for row in body["expected"]:
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                keys = [r["key"] for r in body["expected"]]
                return 412, {"items": [self.items[k] for k in keys if k in self.items]}
        for row in body["writes"]:
            self.put(row["key"], base64.b64decode(row["value"]).decode())
        for key in body["remove"]:
            self.remove(key)
        return 200, {"revision": self.revision}

    async def answer(self, target, headers, body, ip):
        url = urlsplit(target)
        query = parse_qs(url.query)
        if url.path == "/promote":
            call = json.loads(body)
            self.world.record("promote", f"{call['service']} {call['id']} holder={headers['duty-holder']} token={headers['fencing-token']}")
            return self.world.groups[call["service"]].promote(call["id"])
        await asyncio.sleep(STORE_ANSWER_S)
        if url.path == "/kv-range":
            return self.range(query, ip)
        if url.path == "/kv-watch":
            return await self.watch(query)
        if url.path == "/kv-txn":
            return self.transact(json.loads(body))
        return 404, {}

    async def accept(self, reader, writer):
        try:
            while line := await reader.readline():
                _, target, _ = line.decode().split(" ", 2)
                headers = {}
                while (line := await reader.readline()) not in (b"\r\n", b""):
                    name, value = line.decode().split(":", 1)
                    headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                status, answer = await self.answer(target, headers, body, writer.get_extra_info("peername")[0])
                text = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % (status, len(text)) + text)
                await writer.drain()
        except (ConnectionError, OSError, asyncio.IncompleteReadError, ValueError):
            pass
        writer.close()


class Server:
    """One database server. Its log is a list of (term, writes); the first `applied` entries are visible to reads."""

    def __init__(self, group, name, ip, zone, number):
        self.group, self.world, self.id, self.ip, self.zone = group, group.world, name, ip, zone
        self.port, self.listener = 8080, None
        self.log, self.applied = [(1, ())], 1
        self.role, self.term = "replica", 1
        self.is_up, self.is_deaf, self.is_draining, self.is_cut_from_store = False, False, False, False
        self.writers, self.slots, self.waiting = set(), asyncio.Semaphore(group.slots), 0
        self.sequence, self.born = 0, 1_700_000_000_000 + number
        self.last_beat, self.published = 0.0, None

    def position(self, count):
        return f"{self.log[count - 1][0]}.{count}"

    async def start(self):
        self.listener = await asyncio.start_server(self.accept, self.ip, self.port, backlog=256)
        self.is_up = True

    def crash(self):
        """What others see of a killed process: its port has no listener, and its connections are reset."""
        self.is_up = False
        self.listener.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def publish(self):
        """A heartbeat. The store's entry changes when more than the sequence changes."""
        if not self.is_up or self.is_cut_from_store:
            return
        self.sequence += 1
        self.last_beat = time.monotonic()
        entry = {"service": self.group.name, "address": f"{self.ip}:{self.port}", "zone": self.zone, "version": "v1",
                 "slots": self.group.slots, "state": "draining" if self.is_draining else "ready", "coldRemainingMs": 0,
                 "dbRole": self.role, "born": self.born}
        if f"servers/{self.id}" in self.world.store.items and self.published == entry:
            return
        self.published = entry
        self.world.record("store", f"{self.id} is {entry['state']}, {entry['dbRole']}")
        self.world.store.put(f"servers/{self.id}", json.dumps({**entry, "sequence": self.sequence}))

    async def beat(self):
        while True:
            self.publish()
            await asyncio.sleep(HEARTBEAT_S)

    async def lapse(self):
        """The store removes the entry after three heartbeat intervals of silence."""
        while True:
            await asyncio.sleep(0.05)
            if f"servers/{self.id}" in self.world.store.items and time.monotonic() - self.last_beat > 3 * HEARTBEAT_S:
                self.world.record("store", f"entry of {self.id} is removed after silence")
                self.world.store.remove(f"servers/{self.id}")

    def receive(self, log):
        """Takes over the primary's log; what differs is rolled back."""
        if not self.is_up or self.is_deaf or self.role == "primary":
            return False
        if self.log != log[:len(self.log)]:
            self.applied = min(self.applied, next((i for i, (a, b) in enumerate(zip(self.log, log)) if a != b), len(log)))
        self.log = list(log)
        asyncio.get_running_loop().call_later(LAG_S, self.apply, len(log))
        return True

    def apply(self, count):
        self.applied = max(self.applied, min(count, len(self.log)))

    async def accept(self, reader, writer):
        state = {"values": {}, "names": {}, "open": None, "writes": [], "first": "-", "failed": False}
        self.writers.add(writer)
        try:
            line = (await reader.readline()).decode().rstrip("\r\n")
            fields = line.split(" ")
            if len(self.writers) > self.group.max_connections:
                writer.write(b"ERROR TOOMANY connections\r\n")
                return
            if fields[0] != "START" or fields[1] != self.group.name or (len(fields) > 3 and fields[3] != self.id):
                writer.write(f"ERROR MISDIRECT {self.id}\r\n".encode())
                return
            state["from"] = writer.who = fields[2]
            await asyncio.sleep(HANDSHAKE_S)
            writer.write(f"READY I {self.position(self.applied)}\r\n".encode())
            while line := (await reader.readline()).decode().rstrip("\r\n"):
                answer = await self.query(line, state)
                if not self.is_up:
                    return
                if self.world.loses_answer(self, line):
                    self.world.record("trouble", f"{self.id} ran {line.split(' ')[1]}, and its answer is lost")
                    await reader.read()
                    return
                letter = "E" if state["failed"] else "T" if state["open"] else "I"
                writer.write(f"{answer}READY {letter} {self.position(self.applied)}\r\n".encode())
                await writer.drain()
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def has_position(self, text):
        term, number = (int(x) for x in text.split("."))
        return self.applied >= number and self.log[number - 1][0] >= term

    async def query(self, line, state):
        word, number, text = line.split(" ", 2)
        assert word == "QUERY", line
        if text.startswith("AFTER "):
            _, after, text = text.split(" ", 2)
            if not self.has_position(after):
                return "ERROR LAGGING position\r\n"
        words = text.split(" ", 2)
        if words[0] in ("READ", "WRITE", "EXECUTE", "COMMIT", "STATUS"):
            return await self.run_in_slot(number, text, words, state)
        return self.run_command(text, words, state)

    def run_command(self, text, words, state):
        if words[0] == "SET":
            state["values"][words[1]] = words[2]
        elif words[0] == "PREPARE":
            state["names"][words[1]] = words[2]
        elif words[0] == "RESET":
            state["values"], state["names"] = {}, {}
        elif words[0] == "BEGIN":
            if text == "BEGIN" and self.role != "primary":
                return f"ERROR READONLY {self.id}\r\n"
            state.update(open=text, writes=[], first="-", failed=False)
        elif words[0] == "ROLLBACK":
            state.update(open=None, writes=[], first="-", failed=False)
        elif words[0] == "DEMOTE":
            if int(words[1]) > self.term and self.role == "primary":
                self.group.demote(self)
            return self.status()
        return "COMPLETE -\r\n"

    def status(self):
        busy = self.group.slots - self.slots._value
        return f"ROW {self.role} {self.term} {self.position(len(self.log))} 0 20 {busy} {len(self.writers)}\r\nCOMPLETE -\r\n"

    async def run_in_slot(self, number, text, words, state):
        if self.waiting >= 16:
            return "ERROR BUSY slots\r\n"
        self.waiting += 1
        async with self.slots:
            self.waiting -= 1
            if words[0] == "STATUS":
                return self.status()
            await asyncio.sleep(self.group.work_s(words[0]))
            return await self.run_statement(number, text, words, state)

    async def run_statement(self, number, text, words, state):
        if not self.is_up:
            return ""
        kind = words[0]
        if kind == "EXECUTE":
            if words[1] not in state["names"]:
                return f"ERROR NOSTMT {words[1]}\r\n"
            kind = state["names"][words[1]].split(" ")[0]
        if state["failed"] and kind != "COMMIT":
            return "ERROR MALFORMED failed\r\n"
        if self.role != "primary" and (kind == "WRITE" or state["open"] == "BEGIN" and (kind != "COMMIT" or state["writes"])):
            state["failed"] = bool(state["open"])
            return f"ERROR READONLY {self.id}\r\n"
        self.world.handle_run(self, state["from"], number)
        self.world.record("run", f"{self.id} {self.role} term={self.term} from={state['from']} {number} {text}")
        mac = f"COMPLETE {self.term}.{number}.{self.id}\r\n"
        if kind == "WRITE":
            if state["open"]:
                state["writes"].append(number)
            else:
                await self.commit((number,))
            return mac
        if kind == "COMMIT":
            writes = tuple(state["writes"])
            state.update(open=None, writes=[], first="-", failed=False)
            if writes:
                await self.commit(writes)
            return mac
        return f"ROW {len(self.log)}\r\n{mac}"

    async def commit(self, writes):
        self.log.append((self.term, writes))
        self.applied = len(self.log)
        self.world.record("commit", f"{self.id} {self.position(len(self.log))} {' '.join(writes)}")
        await self.group.replicate(self, len(self.log))


class Group:
    """A primary and its replicas."""

    def __init__(self, world, name, number, slots, max_connections, sync_replicas, work_s):
        self.world, self.name, self.term, self.sync_replicas = world, name, 1, sync_replicas
        self.slots, self.max_connections, self.work_s = slots, max_connections, work_s
        self.servers, self.lost_lead = [], {}
        for i, zone in enumerate(SERVER_ZONES):
            self.servers.append(Server(self, f"i-{number}{i}{world.random.randrange(16 ** 8):08x}", f"127.{world.net}.3.{number * 3 + i + 1}", zone, number * 10 + i))
        self.servers[0].role = "primary"

    async def add_server(self, zone):
        """A new server: it takes over the primary's log, then follows it and registers."""
        number = len(self.servers)
        server = Server(self, f"i-{number}{self.world.random.randrange(16 ** 8):08x}", f"127.{self.world.net}.3.{100 + number}", zone, 100 + number)
        server.log = list(self.primary().log)
        server.applied, server.term = len(server.log), self.term
        self.servers.append(server)
        await server.start()
        self.world.spawn(server.beat())
        self.world.spawn(server.lapse())
        return server

    def primary(self):
        return max((s for s in self.servers if s.role == "primary"), key=lambda s: s.term, default=None)

    def current(self, server):
        return server is self.primary() and server.is_up

    async def replicate(self, server, number):
        """Sends the log to the replicas. @return once as many as syncReplicas have received it."""
        while self.current(server):
            got = sum(1 for s in self.servers if s is not server and (s.receive(server.log) if s.log != server.log else s.is_up))
            if got >= self.sync_replicas:
                return
            await asyncio.sleep(0.02)

    async def keep_replicating(self):
        while True:
            await asyncio.sleep(0.02)
            server = self.primary()
            if not server or not server.is_up:
                continue
            for other in self.servers:
                if other is not server and other.is_up:
                    if other.role == "primary" and other.term < server.term:
                        if time.monotonic() > self.lost_lead.get(other.id, 0) + 1:
                            self.demote(other)
                    elif other.log != server.log:
                        other.receive(server.log)
                        if not other.is_deaf:
                            other.term = server.term

    def demote(self, server):
        server.role = "replica"
        self.world.record("server", f"{server.id} is a replica from now on")
        server.publish()

    def promote(self, name):
        server = next((s for s in self.servers if s.id == name), None)
        if not server or not server.is_up:
            return 409, {}
        if server is not self.primary():
            asyncio.get_running_loop().call_later(PROMOTE_S, self.complete_promotion, server)
        return 200, {}

    def complete_promotion(self, server):
        if server is self.primary() or not server.is_up:
            return
        self.term = max(self.term, max(s.term for s in self.servers)) + 1
        old = self.primary()
        if old:
            self.lost_lead[old.id] = time.monotonic()
        server.role, server.term, server.applied = "primary", self.term, len(server.log)
        self.world.record("promoted", f"{server.id} leads {self.name} with term {self.term} at {server.position(len(server.log))}")
        self.world.handle_promoted(self, server)
        server.publish()


class Machine:
    """One gateway process."""

    def __init__(self, world, number, zone):
        self.world, self.number, self.zone = world, number, zone
        self.name, self.ip = f"front-{zone}-{number + 1}", f"127.{world.net}.2.{number + 1}"
        self.process, self.is_ready, self.misses, self.ends = None, False, 2, []
        self.path = os.path.join(world.folder, f"{self.name}.yaml")
        with open(self.path, "w") as file:
            file.write(f"""node: "{self.name}"
role: "gateway"
machineClass: "front"
ip: "{self.ip}"
zone: "{zone}"
region: "r"
listen: {{front: "{self.ip}:8784", ready: "{self.ip}:8785"}}
internalPorts: [7440, 7455]
bootstrap: true
limits: {{cpuShare: 0.25, cores: 1, memoryMb: 260, maxFds: 4300}}
heartbeatMs: {int(HEARTBEAT_S * 1000)}
bounds: {{stableWindowMs: 4000, drainMs: {int(DRAIN_S * 1000)}, graceS: {int(GRACE_S)}, configApplyMs: 3000, recoveryS: 12, fencingRequired: false}}
platform: {{address: "{world.store_address}", form: "kv", writesPerS: 400, readsPerS: 2000}}
cloud: {{address: "{world.store_address}", duties: ["promote"], dutyPerS: 50.0}}
""")

    async def run(self):
        """Starts the process, and starts it again a little after it has ended, as the platform does."""
        environment = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        environment["FLAMINGOSPRING_BOOT"] = self.path
        while not self.world.is_finished:
            with open(os.path.join(self.world.folder, f"{self.name}.log"), "ab") as log:
                self.process = await asyncio.create_subprocess_exec(
                    *self.world.command, cwd=REPOSITORY, env=environment, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log)
            self.world.record("process", f"{self.name} starts")
            code = await self.process.wait()
            self.is_ready = False
            if not self.world.is_finished:
                self.ends.append(code)
                self.world.record("process", f"{self.name} ends by itself with code {code}")
            await asyncio.sleep(0.5)

    async def ask_ready(self):
        reader, writer = await asyncio.open_connection(self.ip, 8785)
        try:
            writer.write(f"GET /readiness HTTP/1.1\r\nHost: {self.ip}\r\nConnection: close\r\n\r\n".encode())
            return b" 200 " in await reader.readline()
        finally:
            writer.close()

    async def probe(self):
        while True:
            try:
                is_ready = await asyncio.wait_for(self.ask_ready(), 1)
            except (ConnectionError, OSError, asyncio.TimeoutError):
                is_ready = False
            self.misses = 0 if is_ready else self.misses + 1
            self.is_ready = self.misses < 2
            await asyncio.sleep(1)

    def cpu_s(self):
        with open(f"/proc/{self.process.pid}/stat") as file:
            fields = file.read().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


class Requester:
    """A session: one operation at a time, with pauses between them; it reconnects after its connection has ended."""

    def __init__(self, world, number, database, kinds, pause_s):
        self.world, self.number, self.database, self.kinds, self.pause_s = world, number, database, kinds, pause_s
        self.random, self.count, self.writer, self.machine = random.Random(f"{world.seed} {number}"), 0, None, None
        self.zone = MACHINES[number % len(MACHINES)]
        self.acknowledged, self.refused = [], []

    def pick(self):
        ready = [m for m in self.world.machines if m.is_ready]
        near = [m for m in ready if m.zone == self.zone] or ready
        return self.random.choice(near) if near else None

    async def open(self):
        self.machine = self.pick()
        if not self.machine:
            raise ConnectionError("no machine is ready")
        self.reader, self.writer = await asyncio.wait_for(asyncio.open_connection(self.machine.ip, 8784), 2)
        await self.exchange(f"START {self.database} c{self.number}", 2)

    async def exchange(self, line, limit_s):
        self.writer.write((line + "\r\n").encode())
        rows, code, mac = 0, None, None
        while True:
            answer = (await asyncio.wait_for(self.reader.readline(), limit_s)).decode().rstrip("\r\n")
            if not answer:
                raise ConnectionError("the connection has ended")
            word, _, rest = answer.partition(" ")
            if word == "ROW":
                rows += 1
            elif word == "COMPLETE":
                mac = rest
            elif word == "ERROR":
                code = rest.split(" ")[0]
                if line.startswith("START"):
                    raise ConnectionError(rest)
            elif word == "READY":
                return code, mac, rest[:1]

    async def query(self, text):
        self.count += 1
        number = f"q{self.number}.{self.count}"
        self.world.record("sent", f"{number} {self.machine.name} {text}")
        try:
            code, mac, state = await self.exchange(f"QUERY {number} {text}", self.world.limit_s)
        except asyncio.TimeoutError:
            self.world.record("answered", f"{number} {self.machine.name} nothing in {self.world.limit_s} s")
            raise
        except (ConnectionError, OSError) as error:
            self.world.record("answered", f"{number} {self.machine.name} connection ended: {error}")
            raise
        self.world.record("answered", f"{number} {self.machine.name} {code or mac} {state}")
        return number, code, state

    async def operate(self):
        kind = self.random.choice(self.kinds)
        if kind == "read":
            await self.query("READ 1a4")
        elif kind == "write":
            number, code, _ = await self.query("WRITE 1a4 data")
            self.settle([number], code)
        else:
            writes = []
            _, code, state = await self.query("BEGIN")
            for _ in range(2):
                number, code, state = await self.query("WRITE 1a4 data")
                writes.append(number)
                if code:
                    await self.query("ROLLBACK")
                    self.settle(writes, "ABORTED")
                    return
            _, code, _ = await self.query("COMMIT")
            self.settle(writes, code)

    def settle(self, writes, code):
        if code is None:
            self.acknowledged += [(w, self.world.now()) for w in writes]
        elif code in PROMISES:
            self.refused += writes

    async def run(self):
        await asyncio.sleep(self.random.random() * self.pause_s)
        while not self.world.is_finished:
            try:
                if not self.writer:
                    await self.open()
                await self.operate()
            except (ConnectionError, OSError, asyncio.TimeoutError):
                if self.writer:
                    self.writer.transport.abort()
                self.writer = None
                await asyncio.sleep(0.2)
            await asyncio.sleep(self.random.random() * 2 * self.pause_s)


def free_net():
    """Second byte of loopback addresses whose ports are free."""
    for i in range(128):
        net = 64 + (os.getpid() + i) % 128
        try:
            for host, port in ((1, 8783), (2, 8784), (2, 8785), (2, 7440), (3, 8080)):
                with socket.socket() as probe:
                    probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    probe.bind((f"127.{net}.{host}.1", port))
            return net
        except OSError:
            continue
    raise OSError("no free loopback addresses")


class World:
    """Everything of one run. `limit_s`: how long a requester waits for an answer."""

    def __init__(self, case, seed=1, limit_s=1.0):
        self.case, self.seed, self.limit_s, self.random = case, seed, limit_s, random.Random(seed)
        self.net, self.is_finished, self.start_time = free_net(), False, time.monotonic()
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.file = open(os.path.join(case, "record.txt"), "w")
        self.store_address = f"127.{self.net}.1.1:8783"
        with open(os.path.join(REPOSITORY, "deploy/system.toml")) as file:
            self.command = re.search(r'^run = "(.*)"$', file.read(), re.M).group(1).split(" ")
        if not os.access(os.path.join(REPOSITORY, self.command[0]), os.X_OK):
            raise FileNotFoundError(f"{self.command[0]}: run the build of deploy/system.toml first")
        self.store, self.groups, self.tasks, self.requesters = Store(self), {}, [], []
        self.machines = [Machine(self, i, zone) for i, zone in enumerate(MACHINES)]
        self.handle_promoted = lambda group, server: None
        self.handle_run = lambda server, who, number: None
        self.loses_answer = lambda server, line: False

    def now(self):
        return time.monotonic() - self.start_time

    def record(self, kind, text):
        if not self.file.closed:
            self.file.write(f"{self.now():9.4f} {kind} {text}\n")

    def add_group(self, number=0, slots=2, max_connections=16, sync_replicas=0, work_s=lambda kind: 0.009):
        name = f"service{number}"
        self.groups[name] = Group(self, name, number, slots, max_connections, sync_replicas, work_s)
        return self.groups[name]

    def configure(self, timeout_ms=800):
        routes = []
        for group in self.groups.values():
            for kind, target_ms, priority, stale_ms in (("primary", 120, 0, 0), ("read_your_writes", 250, 1, 2500), ("bounded_staleness", 600, 2, 1500)):
                routes.append({"name": f"r-{group.name}-{kind}", "host": f"{group.name}-{kind}", "pathPrefix": "/", "routeType": kind, "timeoutMs": timeout_ms,
                               "targetLatencyMs": target_ms, "priority": priority, "service": group.name, "maxAttempts": 2, "maxStalenessMs": stale_ms})
        services = [{"name": g.name, "healthPath": "/health", "maxConnections": g.max_connections, "protocol": "h1", "tls": False, "syncReplicas": g.sync_replicas}
                    for g in self.groups.values()]
        self.store.put("op/config", json.dumps({"version": 1, "routes": routes, "services": services, "limits": {"txIdleMs": 3000}}))

    def spawn(self, coroutine):
        self.tasks.append(asyncio.create_task(coroutine))

    async def start(self, settle_s=10):
        host, port = self.store_address.split(":")
        self.listener = await asyncio.start_server(self.store.accept, host, int(port))
        for group in self.groups.values():
            self.spawn(group.keep_replicating())
            for server in group.servers:
                await server.start()
                self.spawn(server.beat())
                self.spawn(server.lapse())
        self.configure() if "op/config" not in self.store.items else None
        for machine in self.machines:
            self.spawn(machine.run())
            self.spawn(machine.probe())
        await asyncio.sleep(settle_s)
        if not all(m.is_ready for m in self.machines):
            raise RuntimeError("not all machines are ready")

    def add_requesters(self, count, database, kinds, pause_s):
        for _ in range(count):
            requester = Requester(self, len(self.requesters), database, kinds, pause_s)
            self.requesters.append(requester)
            self.spawn(requester.run())

    async def stop(self):
        self.is_finished = True
        for machine in self.machines:
            if machine.process and machine.process.returncode is None:
                machine.process.send_signal(signal.SIGKILL)
                await machine.process.wait()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.file.close()
        if os.environ.get("KEEP"):
            shutil.copytree(self.folder, os.environ["KEEP"], dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(case, play):
    """Runs play(world, trouble), which returns the list of broken rules. Exits with 0, 1 or 2."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def main():
        world = World(case, int(os.environ.get("SEED", "1")))
        try:
            return await asyncio.wait_for(play(world, trouble), 115)
        finally:
            await world.stop()

    try:
        broken = asyncio.run(main())
    except Exception as error:
        print(f"the case could not run: {error!r}", flush=True)
        os._exit(2)
    for line in broken:
        print(line)
    print("the rule was broken" if broken else "the rule held", flush=True)
    os._exit(1 if broken else 0)  # Connections that were still open need no farewell.
