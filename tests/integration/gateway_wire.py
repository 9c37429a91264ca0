"""Three gateway processes between callers and database servers whose wire is written from the users' protocol page alone.

A message is a line that ends with CR LF; any other byte belongs to a field. Callers and servers compare what was asked,
run, committed and answered. Guards against statements that nobody sent, answers of other statements, writes that take
effect twice or after a refusal, and session state of other callers, when fields hold odd bytes and when servers repeat,
cut off or lose answers.

gateway_wire.py PROGRAM [CLASS or CLASS.CASE ...]
Environment: SEED (default 1), PLAY_S (seconds of traffic in a case), KEEP (folder for the gateways' logs).
"""

import asyncio
import base64
import collections
import itertools
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import unittest
from urllib.parse import parse_qs, urlsplit

PROGRAM = None
SEED = int(os.environ.get("SEED", "1"))
PLAY_S = float(os.environ.get("PLAY_S", "2.5"))
MESSAGE_BYTES = 1 << 20
# Room for the words of a message, an AFTER prefix and another name of a prepared statement.
RESERVED_BYTES = 600
ZONES = ["a", "b", "c"]
HEARTBEAT_S = 1.2
TIMEOUT_MS = 800
MAX_STALENESS_MS = 1500
ROUTE_TYPES = ["primary", "read_your_writes", "bounded_staleness"]
SLOTS = 4
MAX_WAITING = 16
MAX_CONNECTIONS = 60
LAG_S = 0.02
PROMOTE_S = 0.5
PROMISES = {b"BUSY", b"ABORTED", b"LAGGING", b"READONLY", b"MISDIRECT", b"TOOMANY"}
SHOWN_BYTES = 120
LIKE_MESSAGES = [
    b"a\nQUERY x1 WRITE 9 z", b"\nQUERY x2 WRITE 9 z\n", b"a\rQUERY x3 WRITE 9 z\r", b"\nCOMPLETE 1.2.3\nREADY I 1.1", b"\nREADY I 1.1\n", b"ROW x",
    b"COMPLETE 1.2.3", b"READY I 1.1", b"ERROR BUSY slots", b"\nERROR BUSY slots\nREADY I 1.1", b"BYE", b"START db w", b"AFTER 9.9 READ q", b"\n\rCOMPLETE -"]
SHORT = [b"", b"\n", b"\r", b"\n\r", b"\0", b"a\0b", b"a\0c", b"\t", b" ", b"  ", b"a  b ", b"a\r", b"-", b"\"", b"'", b"a\\r\\nb", b"%s%n", b"\x80\xff",
         b"\xc3\xa9"]
ODD_BYTES = b"\n\r\0\t  \"'\\;=%\x7f\x80\xfe\xffabXY01"


def show(message):
    return repr(bytes(message[:SHOWN_BYTES])) + (f"... {len(message)} bytes" if len(message) > SHOWN_BYTES else "")


def draw_field(draw, is_odd, is_last, is_long=False):
    """A field. Only the last field of a message may hold blanks, and none may hold CR LF."""
    field = b"%x" % draw.randrange(16 ** draw.randint(1, 12))
    if is_odd:
        kind = draw.random()
        if kind < 0.25:
            field = draw.choice(LIKE_MESSAGES)
        elif kind < 0.5:
            field = draw.choice(SHORT)
        elif kind < 0.8:
            field = bytes(draw.choices(ODD_BYTES, k=draw.randint(1, 60)))
        elif is_long and kind < 0.83:
            field = draw.randbytes(draw.randint(1000, 100_000))
        elif is_long and kind < 0.834:
            field = draw.randbytes(MESSAGE_BYTES - RESERVED_BYTES)
    while b"\r\n" in field:
        field = field.replace(b"\r\n", b"\n\r")
    return field if is_last else field.replace(b" ", b"_")


class Store:
    """The platform's metadata store and the promotion call."""

    def __init__(self, world):
        self.world, self.items, self.events, self.revision, self.changed = world, {}, [], 1, asyncio.Event()

    def put(self, key, value):
        self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        self.items[key] = {"key": key, "value": base64.b64encode(value).decode(), "revision": self.revision, "created": created, "lease": 0}
        self.add_event(self.items[key])

    def add_event(self, event):
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def range(self, query):
        prefix, after = query["pathPrefix"][0], query.get("after", [""])[0]
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        return 200, {"items": [self.items[k] for k in keys[:500]], "hasMore": len(keys) > 500, "at": self.revision}

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

    def transact(self, call):
        if any((self.items[r["key"]]["revision"] if r["key"] in self.items else 0) != r["revision"] for r in call["expected"]):
            return 412, {"items": [self.items[r["key"]] for r in call["expected"] if r["key"] in self.items]}
        for row in call["writes"]:
            self.put(row["key"], base64.b64decode(row["value"]))
        for key in call["remove"]:
            if self.items.pop(key, None):
                self.revision += 1
                self.add_event({"key": key, "revision": self.revision, "deleted": True})
        return 200, {"revision": self.revision}

    async def answer(self, target, body):
        url = urlsplit(target)
        query = parse_qs(url.query)
        if url.path == "/promote":
            return self.world.promote(json.loads(body)["id"])
        if url.path == "/kv-range":
            return self.range(query)
        if url.path == "/kv-watch":
            return await self.watch(query)
        if url.path == "/kv-txn":
            return self.transact(json.loads(body))
        return 404, {}

    async def accept(self, reader, writer):
        try:
            while line := await reader.readline():
                headers = {}
                while (header := await reader.readline()) not in (b"\r\n", b""):
                    name, value = header.decode().split(":", 1)
                    headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                status, answer = await self.answer(line.decode().split(" ")[1], body)
                text = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % (status, len(text)) + text)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


class Lines(asyncio.Protocol):
    """One end of a connection, which reads messages. The last of them are kept for the report of a broken rule."""

    numbers = itertools.count(1)

    def __init__(self, world):
        self.world, self.buffer, self.scanned, self.trace = world, bytearray(), 0, collections.deque(maxlen=14)
        self.number, self.is_closed, self.transport = next(Lines.numbers), False, None

    def connection_made(self, transport):
        self.transport = transport

    def connection_lost(self, error):
        self.is_closed = True
        self.handle_end()

    def data_received(self, data):
        self.buffer += data
        while (end := self.buffer.find(b"\r\n", max(0, self.scanned - 1))) >= 0:
            line = bytes(self.buffer[:end])
            del self.buffer[:end + 2]
            self.scanned = 0
            self.note("<", line)
            self.handle_message(line)
        self.scanned = len(self.buffer)

    def note(self, direction, line):
        self.trace.append(f"    {self.world.now():8.4f} connection {self.number} {direction} {show(line)}")

    def send(self, data, note=""):
        if not self.is_closed and not self.transport.is_closing():
            for line in data.split(b"\r\n"):
                if line:
                    self.note(">" + note, line)
            self.transport.write(data)

    def handle_end(self):
        pass


class ServerConnection(Lines):
    """A connection at a database server."""

    def __init__(self, server):
        super().__init__(server.world)
        self.server, self.values, self.names, self.queue, self.is_started = server, {}, {}, asyncio.Queue(), False
        self.end_transaction()

    def end_transaction(self):
        self.open, self.is_failed, self.writes, self.attempt = None, False, [], None

    def connection_made(self, transport):
        super().connection_made(transport)
        self.server.connections.add(self)
        self.world.spawn(self.work())

    def handle_end(self):
        self.server.connections.discard(self)
        self.queue.put_nowait(None)

    def handle_message(self, line):
        self.queue.put_nowait(line)

    async def work(self):
        while (line := await self.queue.get()) is not None:
            word, _, rest = line.partition(b" ")
            if word == b"START" and not self.is_started:
                if not await self.start(rest.split(b" ")):
                    return
            elif word == b"QUERY" and self.is_started and b" " in rest:
                name, _, text = rest.partition(b" ")
                kind, answer = await self.query(name, text)
                state = b"E" if self.is_failed else b"T" if self.open else b"I"
                if not await self.respond(kind, b"%sREADY %s %s\r\n" % (answer, state, self.server.position())):
                    return
            elif word == b"BYE" and not rest:
                self.transport.close()
                return
            else:
                self.world.break_rule("MALFORMED", f"no message of the page: {show(line)}", self)
                self.transport.close()
                return

    async def start(self, fields):
        if len(self.server.connections) > MAX_CONNECTIONS:
            self.send(b"ERROR TOOMANY connections\r\n")
        elif len(fields) not in (2, 3) or fields[0] != b"s" or fields[2:] not in ([], [self.server.id]):
            self.send(b"ERROR MISDIRECT %s\r\n" % self.server.id)
            self.world.misdirected += 1
        else:
            async with self.server.slots:
                await asyncio.sleep(0.003)
            self.is_started = True
            return await self.respond("START", b"READY I %s\r\n" % self.server.position())
        self.transport.close()
        return False

    async def respond(self, kind, answer):
        """Sends an answer as the case demands. @return whether the connection goes on."""
        plan = self.world.trouble(self.world.draw, kind, answer)
        if plan is None:
            return True
        for delay_s, data in plan:
            if delay_s < 0:
                self.transport.abort()
                return False
            if delay_s == 0:
                self.send(data)
            else:
                asyncio.get_running_loop().call_later(delay_s, self.send, data, " later")
        self.world.repeated += len(plan) > 1
        return True

    async def query(self, name, text):
        """@return the kind of the statement, and the answer without READY."""
        word, _, rest = text.partition(b" ")
        if word == b"AFTER":
            after, _, text = rest.partition(b" ")
            word, _, rest = text.partition(b" ")
            term, number = after.split(b".")
            if int(number) > self.server.applied or self.server.log_term(int(number)) < int(term):
                self.is_failed = bool(self.open)
                return "LAGGING", b"ERROR LAGGING position\r\n"
        if word in (b"READ", b"WRITE", b"EXECUTE", b"COMMIT") or text == b"STATUS":
            return await self.take_slot(name, text, word, rest)
        return word.decode("latin1"), self.run_command(text, word, rest)

    def run_command(self, text, word, rest):
        first, _, second = rest.partition(b" ")
        if text == b"ROLLBACK":
            self.end_transaction()
        elif self.is_failed:
            return b"ERROR MALFORMED failed\r\n"
        elif text in (b"BEGIN", b"BEGIN READ") and not self.open:
            if text == b"BEGIN" and not self.server.is_primary():
                return b"ERROR READONLY %s\r\n" % self.server.id
            self.open = text
        elif word == b"SET":
            self.values[first] = second
        elif word == b"PREPARE" and second.partition(b" ")[0] in (b"READ", b"WRITE"):
            self.names[first] = second
        elif word == b"DEALLOC":
            if self.names.pop(rest, None) is None:
                return b"ERROR NOSTMT name\r\n"
        elif text == b"RESET":
            self.values, self.names = {}, {}
        elif word in (b"DEMOTE", b"PAUSE") and rest.isdigit() or text == b"RESUME":
            if word == b"DEMOTE" and int(rest) > self.world.term:
                self.world.break_rule("MALFORMED", f"a term that was never led: {show(text)}", self)
            return self.server.status()
        else:
            self.world.break_rule("MALFORMED", f"no statement of the page, or not in this state: {show(text)}", self)
            return b"ERROR MALFORMED statement\r\n"
        return b"COMPLETE -\r\n"

    async def take_slot(self, name, text, word, rest):
        if self.server.waiting >= MAX_WAITING:
            self.is_failed = bool(self.open)
            return "BUSY", b"ERROR BUSY slots\r\n"
        self.server.waiting += 1
        async with self.server.slots:
            self.server.waiting -= 1
            if text == b"STATUS":
                return "STATUS", self.server.status()
            await asyncio.sleep(self.world.draw.uniform(0.001, 0.004))
            kind, answer = await self.run_statement(name, text, word, rest)
        if answer.startswith(b"ERROR") and kind != "COMMIT":
            self.is_failed = bool(self.open)
        return kind, answer

    async def run_statement(self, name, text, word, rest):
        kind, key, shape = word.decode(), text, None
        if kind == "EXECUTE":
            prepared, _, arguments = rest.partition(b" ")
            if prepared not in self.names:
                return "NOSTMT", b"ERROR NOSTMT name\r\n"
            shape, key = self.names[prepared], b"EXECUTE " + arguments
            kind = shape.partition(b" ")[0].decode()
        if self.is_failed:
            if kind == "COMMIT":
                self.end_transaction()
                return kind, b"ERROR ABORTED failed\r\n"
            return kind, b"ERROR MALFORMED failed\r\n"
        if not self.server.is_primary() and (kind == "WRITE" or self.open == b"BEGIN" and (kind != "COMMIT" or self.writes)):
            if kind == "COMMIT":
                self.end_transaction()
            return kind, b"ERROR READONLY %s\r\n" % self.server.id
        if kind == "WRITE" and self.world.draw.random() < self.world.busy_share:
            return "WRITE", b"ERROR BUSY slots\r\n"
        ask = self.world.asks.get((name, key))
        if ask is None:
            self.world.break_rule("UNASKED", f"{self.server.id.decode()} runs {show(name)} {show(text)}", self)
            return kind, b"ERROR FAILED unknown\r\n"
        self.check_session(ask, kind, shape, text)
        rows = ()
        if kind == "READ":
            rows = self.world.draw_rows(key)
            if self.server.applied < ask.floor:
                self.world.break_rule("STALE", f"{self.server.id.decode()} at {self.server.applied} instead of {ask.floor} runs {show(text)}", self)
        mac = b"%x.%s.%x" % (next(self.world.macs), self.server.id, self.world.draw.randrange(16 ** 12))
        ask.runs.append((mac, rows))
        self.world.run_asks[mac] = ask
        if kind == "WRITE" and self.open:
            self.writes.append(ask)
        elif kind == "WRITE":
            await self.server.commit([ask], mac)
        elif kind == "COMMIT":
            writes = self.writes
            self.end_transaction()
            if writes:
                await self.server.commit(writes, mac)
        return kind, b"".join(b"ROW %s\r\n" % r for r in rows) + b"COMPLETE %s\r\n" % mac

    def check_session(self, ask, kind, shape, text):
        """The session state and the transaction in which a statement runs."""
        if self.values != ask.values:
            self.world.break_rule("PINNED", f"values {self.values} instead of {ask.values} for {show(text)}", self)
        if shape != ask.shape:
            self.world.break_rule("PINNED", f"shape {shape} instead of {ask.shape} for {show(text)}", self)
        if bool(self.open) != ask.attempt.is_transaction:
            self.world.break_rule("PINNED", f"{'inside' if self.open else 'outside'} a transaction: {show(text)}", self)
        elif self.open:
            # A first statement whose answer never reached its caller may start the transaction again on another connection.
            is_first = ask.attempt.first is ask and not ask.is_answered
            if self.attempt is None and (ask.attempt.connection is None or is_first):
                self.world.restarted += ask.attempt.connection is not None
                ask.attempt.connection, self.attempt = self, ask.attempt
            if ask.attempt.connection is not self or self.attempt is not ask.attempt:
                self.world.break_rule("PINNED", f"on another connection or in another transaction: {show(text)}", self)


class Server:
    """A database server. Replicas have received the whole log and show it LAG_S later."""

    def __init__(self, world, number):
        self.world, self.zone, self.ip, self.number = world, ZONES[number], f"127.{world.net}.3.{number + 1}", number
        self.id = b"i-%d%08x" % (number, world.draw.randrange(16 ** 8))
        self.applied, self.waiting, self.sequence = 1, 0, 0
        self.slots, self.connections = asyncio.Semaphore(SLOTS), set()

    def is_primary(self):
        return self.world.primary is self

    def log_term(self, number):
        return self.world.log[number - 1]

    def position(self):
        return b"%d.%d" % (self.log_term(self.applied), self.applied)

    def status(self):
        log, busy = self.world.log, SLOTS - self.slots._value
        return b"ROW %s %d %d.%d 0 %d %d %d\r\nCOMPLETE -\r\n" % (
            b"primary" if self.is_primary() else b"replica", self.world.term, log[-1], len(log), 0 if self.is_primary() else 20, busy, len(self.connections))

    async def commit(self, asks, mac):
        self.world.log.append(self.world.term)
        number = self.applied = len(self.world.log)
        self.world.commit_numbers[mac] = number
        for ask in asks:
            ask.commits += 1
            if ask.commits == 2:
                self.world.break_rule("TWICE", f"{show(ask.text)} of {show(ask.name)}", None)
        for server in self.world.servers:
            if server is not self:
                asyncio.get_running_loop().call_later(LAG_S, server.apply, number)
        await asyncio.sleep(0.001)

    def apply(self, number):
        self.applied = max(self.applied, number)

    async def run(self):
        self.world.listeners.append(await asyncio.get_running_loop().create_server(lambda: ServerConnection(self), self.ip, 8080, backlog=256))
        while True:
            self.publish()
            await asyncio.sleep(HEARTBEAT_S)

    def publish(self):
        self.sequence += 1
        self.world.store.put(f"servers/{self.id.decode()}", json.dumps({
            "service": "s", "address": f"{self.ip}:8080", "zone": self.zone, "version": "v1", "slots": SLOTS, "state": "ready", "coldRemainingMs": 0,
            "dbRole": "primary" if self.is_primary() else "replica", "born": 1_700_000_000_000 + self.number, "sequence": self.sequence}).encode())


class Gateway:
    """One gateway process, which is started again after it has ended."""

    def __init__(self, world, number):
        self.world, self.name, self.ip = world, f"front-{number + 1}", f"127.{world.net}.2.{number + 1}"
        self.process, self.is_ready, self.ends = None, False, []
        self.settings = os.path.join(world.folder, f"{self.name}.yaml")
        with open(self.settings, "w") as file:
            file.write(f"""node: "{self.name}"
role: "gateway"
machineClass: "front"
ip: "{self.ip}"
zone: "{ZONES[number]}"
region: "r"
listen: {{front: "{self.ip}:8784", ready: "{self.ip}:8785"}}
internalPorts: [7440, 7455]
bootstrap: true
limits: {{cpuShare: 0.25, cores: 1, memoryMb: 260, maxFds: 4300}}
heartbeatMs: {int(HEARTBEAT_S * 1000)}
bounds: {{stableWindowMs: 4000, drainMs: 7000, graceS: 6, configApplyMs: 3000, recoveryS: 12, fencingRequired: false}}
platform: {{address: "{world.store_address}", form: "kv", writesPerS: 400, readsPerS: 2000}}
cloud: {{address: "{world.store_address}", duties: ["promote"], dutyPerS: 50.0}}
""")

    async def run(self):
        environment = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        environment["FLAMINGOSPRING_BOOT"] = self.settings
        while not self.world.is_finished:
            with open(os.path.join(self.world.folder, f"{self.name}.log"), "ab") as log:
                self.process = await asyncio.create_subprocess_exec(
                    PROGRAM, "gateway", env=environment, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log)
            code = await self.process.wait()
            if not self.world.is_finished:
                self.ends.append(code)
            await asyncio.sleep(0.2)

    async def probe(self):
        while not self.world.is_finished:
            try:
                reader, writer = await asyncio.open_connection(self.ip, 8785)
                try:
                    writer.write(f"GET /readiness HTTP/1.1\r\nHost: {self.ip}\r\nConnection: close\r\n\r\n".encode())
                    self.is_ready = b" 200 " in await asyncio.wait_for(reader.readline(), 1)
                finally:
                    writer.close()
            except (OSError, asyncio.TimeoutError):
                self.is_ready = False
            await asyncio.sleep(1 if self.is_ready else 0.1)


class Attempt:
    """An operation of a caller."""

    def __init__(self, is_transaction=False):
        self.is_transaction, self.connection, self.writes, self.is_promised, self.floor, self.first = is_transaction, None, [], None, None, None


class Ask:
    """A read, write or commit that a caller has sent."""

    def __init__(self, name, text, attempt, values, shape, floor):
        self.name, self.text, self.attempt, self.values, self.shape, self.floor, self.runs, self.commits = name, text, attempt, values, shape, floor, [], 0
        self.is_answered = False


class CallerConnection(Lines):
    """A session's connection, with at most one request at a time."""

    def __init__(self, world):
        super().__init__(world)
        self.answer, self.rows, self.end = None, [], None

    def handle_message(self, line):
        word, _, rest = line.partition(b" ")
        if self.answer is None or self.answer.done():
            if word != b"ERROR" and not self.transport.is_closing():
                self.world.break_rule("NOTHING", f"a message with no request outstanding: {show(line)}", self)
            self.transport.abort()
        elif word == b"ROW" and not self.end:
            self.rows.append(rest)
        elif word in (b"COMPLETE", b"ERROR") and not self.end:
            self.end = (word, rest)
            if word == b"ERROR" and self.is_start:
                self.answer.set_result((self.end, (), b""))
        elif word == b"READY" and (self.end or self.is_start) and not (self.is_start and self.rows):
            self.answer.set_result((self.end, tuple(self.rows), rest[:1]))
        else:
            self.world.break_rule("MALFORMED", f"a message out of place at a caller: {show(line)}", self)
            self.transport.abort()

    def handle_end(self):
        if self.answer and not self.answer.done():
            self.answer.set_exception(ConnectionError("closed"))

    async def exchange(self, message, limit_s, is_start=False):
        if self.is_closed or self.transport.is_closing():
            raise ConnectionError("closed")
        self.rows, self.end, self.is_start = [], None, is_start
        self.answer = asyncio.get_running_loop().create_future()
        self.send(message + b"\r\n")
        return await asyncio.wait_for(self.answer, limit_s)


class Leave(Exception):
    """The caller closes its session."""


class Caller:
    """A session that is opened again when it has ended. All that it asks follows from the seed."""

    def __init__(self, world, number):
        self.world, self.number, self.draw = world, number, random.Random(f"{world.seed} {number}")
        self.route, self.gateway = ROUTE_TYPES[number % 3], number // 3 % 3
        self.has_own_ids, self.connection, self.acknowledged = number % 2 == 0, None, 0

    def field(self, is_last=False, is_long=False):
        if is_last and self.world.has_empty_fields and self.draw.random() < 0.3:
            return b""
        return draw_field(self.draw, self.world.is_odd, is_last, is_long)

    def new_id(self):
        return b"%016x" % self.draw.randrange(16 ** 16)

    async def open(self):
        gateway = self.world.gateways[self.gateway % 3]
        self.values, self.names, self.state = {}, {}, b"I"
        if self.world.is_odd and self.draw.random() < 0.2:
            await self.open_unknown(gateway)
        _, self.connection = await asyncio.get_running_loop().create_connection(lambda: CallerConnection(self.world), gateway.ip, 8784)
        end, _, self.state = await self.connection.exchange(b"START db-%s %s" % (self.route.encode(), self.field() or b"c"), 2, True)
        if end or self.state != b"I":
            raise Leave
        await self.prepare()
        await self.set()

    async def open_unknown(self, gateway):
        """A database that does not exist, with a name that looks like messages."""
        _, connection = await asyncio.get_running_loop().create_connection(lambda: CallerConnection(self.world), gateway.ip, 8784)
        end, _, _ = await connection.exchange(b"START db%s %s" % (draw_field(self.draw, True, False), self.field() or b"c"), 2, True)
        if not end or end[0] != b"ERROR":
            self.world.break_rule("MALFORMED", f"a database that does not exist is answered with {end}", connection)
        connection.transport.abort()

    async def ask(self, name, text, attempt=None):
        end, rows, state = await self.connection.exchange(b"QUERY %s %s" % (name, text), 2.5)
        if end[0] == b"ERROR":
            code = end[1].partition(b" ")[0]
            self.world.errors[code.decode("latin1")] += 1
            if attempt and code in PROMISES:
                attempt.is_promised = code
        self.state = state
        return end, rows

    async def command(self, text, attempt=None, name=None):
        """A statement that the system may answer itself. @return whether it succeeded."""
        end, rows = await self.ask(name or self.new_id(), text, attempt)
        if rows:
            self.world.break_rule("MALFORMED", f"{len(rows)} rows to {show(text)}", self.connection)
        return end[0] == b"COMPLETE"

    async def set(self):
        name, value = self.field(), self.field(True, True)
        if not await self.command(b"SET %s %s" % (name, value)):
            raise Leave
        self.values[name] = value

    async def prepare(self):
        name, shape = (self.field() if self.draw.random() < 0.5 else b"s1"), self.draw.choice([b"READ ", b"WRITE "]) + self.field(True, True)
        if not await self.command(b"PREPARE %s %s" % (name, shape)):
            raise Leave
        self.names[name] = shape

    async def deallocate(self):
        if self.names:
            name = self.draw.choice(list(self.names))
            if not await self.command(b"DEALLOC " + name):
                raise Leave
            del self.names[name]

    def floor(self):
        """The log number that a read has to see."""
        if self.route == "primary":
            return self.world.acknowledged
        old = time.monotonic() - MAX_STALENESS_MS / 1000
        stale = max((n for t, n in self.world.acknowledgements if t < old), default=0)
        return max(stale, self.acknowledged) if self.route == "read_your_writes" else stale

    def draw_statement(self, is_reading):
        """@return kind, text, text as the registry of statements has it, shape."""
        kind = "READ" if is_reading or self.draw.random() < 0.6 else "WRITE"
        names = [n for n, s in self.names.items() if s.startswith(kind.encode())]
        if names and self.draw.random() < 0.3:
            name = self.draw.choice(names)
            arguments = self.field(True) if kind == "READ" else b"%s %s" % (self.field(), self.field(True, True))
            return kind, b"EXECUTE %s %s" % (name, arguments), b"EXECUTE " + arguments, self.names[name]
        text = b"READ " + self.field(True, True) if kind == "READ" else b"WRITE %s %s" % (self.field(), self.field(True, True))
        return kind, text, text, None

    async def sign(self, name, kind, text, key, shape, attempt):
        """A read, write or commit. @return whether it succeeded."""
        world = self.world
        ask = Ask(name, text, attempt, dict(self.values), shape, attempt.floor if attempt.floor is not None else self.floor())
        world.asks[name, key] = ask
        attempt.first = attempt.first or ask
        if kind == "WRITE":
            attempt.writes.append(ask)
        world.asked[kind] += 1
        world.longest = max(world.longest, len(text))
        before = self.state
        end, rows = await self.ask(name, text, attempt)
        ask.is_answered = True
        if end[0] == b"ERROR":
            if end[1].partition(b" ")[0] == b"NOSTMT":
                world.break_rule("PINNED", f"a prepared name is unknown: {show(text)}", self.connection)
            return False
        world.served[kind] += 1
        if (end[1], rows) not in ask.runs:
            other = world.run_asks.get(end[1])
            whose = "another statement" if other not in (None, ask) else "the statement, with other rows" if other else "nobody"
            world.foreign += 1
            world.break_rule("MIXED", f"{show(text)} answered with {show(end[1])} of {whose}, {len(rows)} rows", self.connection)
        if self.state != (b"I" if kind == "COMMIT" else before):
            world.break_rule("MALFORMED", f"state {self.state} after {show(text)}", self.connection)
        number = world.commit_numbers.get(end[1], 0)
        if number:
            self.acknowledged = max(self.acknowledged, number)
            world.acknowledged = max(world.acknowledged, number)
            world.acknowledgements.append((time.monotonic(), number))
        return True

    async def sign_drawn(self, name, attempt, is_reading):
        while True:
            kind, text, key, shape = self.draw_statement(is_reading)
            if (name, key) not in self.world.asks:
                return await self.sign(name, kind, text, key, shape, attempt)

    async def transact(self):
        attempt = Attempt(True)
        self.world.attempts.append(attempt)
        attempt.floor, is_reading, name = self.floor(), self.draw.random() < 0.4, self.new_id()
        if not await self.command(b"BEGIN READ" if is_reading else b"BEGIN", attempt, name):
            return
        if self.state != b"T":
            self.world.break_rule("MALFORMED", f"state {self.state} after BEGIN", self.connection)
        for _ in range(self.draw.randint(1, 4)):
            if not await self.sign_drawn(name if self.has_own_ids else self.new_id(), attempt, is_reading):
                if self.state != b"I":
                    await self.command(b"ROLLBACK", attempt)
                return
            await asyncio.sleep(self.draw.uniform(0, 0.01))
        end = self.draw.random()
        if end < self.world.leave_share:
            raise Leave
        if end < 0.25:
            await self.command(b"ROLLBACK", attempt)
            return
        name = name if self.has_own_ids else self.new_id()
        await self.sign(name, "COMMIT", b"COMMIT", b"COMMIT", None, attempt)

    async def operate(self):
        kind = self.draw.random()
        if kind < self.world.transaction_share:
            await self.transact()
        elif kind > 0.97:
            await self.set()
        elif kind > 0.94:
            await self.prepare()
        elif kind > 0.925:
            await self.deallocate()
        elif kind > 0.915:
            raise Leave
        else:
            attempt = Attempt()
            self.world.attempts.append(attempt)
            await self.sign_drawn(self.new_id(), attempt, False)
        if self.state != b"I":
            raise Leave

    async def run(self):
        while not self.world.is_finished:
            try:
                if not self.connection:
                    await self.open()
                await self.operate()
                await asyncio.sleep(self.draw.uniform(0.002, 0.012))
            except (Leave, OSError, asyncio.TimeoutError) as error:
                self.world.closed[type(error).__name__] += 1
                if self.connection and self.connection.transport:
                    if isinstance(error, Leave) and self.draw.random() < 0.5:
                        self.connection.send(b"BYE\r\n")
                        self.connection.transport.close()
                    else:
                        self.connection.transport.abort()
                self.connection = None
                self.gateway += not isinstance(error, Leave)
                await asyncio.sleep(0.02)


class World:
    """A fleet of three gateways, a service of three servers, and nine sessions."""

    nets = itertools.count(os.getpid() % 128)

    def __init__(self, title, trouble=None, is_odd=False, busy_share=0.0, transaction_share=0.1, leave_share=0.0, rows=None, has_empty_fields=False):
        self.title, self.seed, self.draw = title, SEED, random.Random(f"{SEED} servers")
        self.trouble = trouble or calm
        self.is_odd, self.busy_share, self.transaction_share, self.leave_share = is_odd, busy_share, transaction_share, leave_share
        self.rows, self.has_empty_fields = rows, has_empty_fields
        self.net, self.folder, self.start_time, self.is_finished = self.find_net(), tempfile.mkdtemp(prefix="wire-"), time.monotonic(), False
        self.store_address = f"127.{self.net}.1.1:8783"
        self.log, self.term, self.promotions, self.misdirected, self.repeated, self.foreign, self.restarted = [1], 1, 0, 0, 0, 0, 0
        self.asks, self.attempts, self.macs, self.run_asks, self.commit_numbers = {}, [], itertools.count(1), {}, {}
        self.acknowledged, self.acknowledgements = 0, []
        self.asked, self.served, self.errors, self.closed, self.broken = (collections.Counter() for _ in range(5))
        self.details, self.tasks, self.listeners, self.longest = [], [], [], 0
        self.store = Store(self)
        self.servers = [Server(self, i) for i in range(3)]
        self.primary = self.servers[0]
        self.gateways = [Gateway(self, i) for i in range(3)]

    @staticmethod
    def find_net():
        """Second byte of loopback addresses whose ports are free."""
        for number in itertools.islice(World.nets, 128):
            net = 64 + number % 128
            try:
                for host, port in ((1, 8783), (2, 8784), (2, 8785), (2, 7440), (3, 8080)):
                    with socket.socket() as probe:
                        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                        probe.bind((f"127.{net}.{host}.1", port))
                return net
            except OSError:
                continue
        raise OSError("no free loopback addresses")

    def now(self):
        return time.monotonic() - self.start_time

    def spawn(self, coroutine):
        self.tasks.append(asyncio.get_running_loop().create_task(coroutine))

    def break_rule(self, rule, text, connection):
        self.broken[rule] += 1
        if self.broken[rule] <= 3:
            self.details.append(f"  {self.now():8.4f} {rule}: {text}")
            self.details += connection.trace if connection else []

    def draw_rows(self, text):
        """The same statement has the same rows whenever it runs."""
        draw = random.Random(text)
        if self.rows:
            return self.rows(draw)
        return tuple(draw_field(draw, self.is_odd, True, True) for _ in range(draw.choice([0, 1, 1, 1, 2, 3])))

    def promote(self, name):
        server = next((s for s in self.servers if s.id.decode() == name), None)
        if not server:
            return 409, {}
        if server is not self.primary:
            asyncio.get_running_loop().call_later(PROMOTE_S, self.complete_promotion, server)
        return 200, {}

    def complete_promotion(self, server):
        if server is not self.primary:
            self.primary, self.term, self.promotions = server, self.term + 1, self.promotions + 1
            server.applied = len(self.log)
            for each in self.servers:
                each.publish()

    async def play(self):
        host, port = self.store_address.split(":")
        self.listeners.append(await asyncio.start_server(self.store.accept, host, int(port)))
        routes = [{"name": f"r-{t}", "host": f"db-{t}", "pathPrefix": "/", "routeType": t, "timeoutMs": TIMEOUT_MS, "targetLatencyMs": 300, "priority": i,
                   "service": "s", "maxAttempts": 2, "maxStalenessMs": MAX_STALENESS_MS} for i, t in enumerate(ROUTE_TYPES)]
        services = [{"name": "s", "healthPath": "/health", "maxConnections": MAX_CONNECTIONS, "protocol": "h1", "tls": False, "syncReplicas": 1}]
        self.store.put("op/config", json.dumps({"version": 1, "routes": routes, "services": services, "limits": {"txIdleMs": 3000}}).encode())
        for party in self.servers + self.gateways:
            self.spawn(party.run())
        for gateway in self.gateways:
            self.spawn(gateway.probe())
        try:
            deadline = time.monotonic() + 20
            while not all(g.is_ready for g in self.gateways):
                if time.monotonic() > deadline:
                    raise TimeoutError("the gateways did not become ready")
                await asyncio.sleep(0.05)
            await asyncio.sleep(0.5)
            callers = [asyncio.get_running_loop().create_task(Caller(self, i).run()) for i in range(9)]
            _, pending = await asyncio.wait(callers, timeout=PLAY_S)
            self.is_finished = True
            _, pending = await asyncio.wait(callers, timeout=4)
            for caller in callers:
                if caller.done():
                    caller.result()
                else:
                    raise TimeoutError("a caller does not end")
        finally:
            self.is_finished = True
            for listener in self.listeners:
                listener.close()
            for gateway in self.gateways:
                if gateway.process and gateway.process.returncode is None:
                    gateway.process.send_signal(signal.SIGKILL)
                    await gateway.process.wait()
            await asyncio.sleep(0.2)
            for task in self.tasks:
                task.cancel()
            for result in await asyncio.gather(*self.tasks, return_exceptions=True):
                if isinstance(result, Exception) and not isinstance(result, asyncio.CancelledError):
                    raise result
            if os.environ.get("KEEP"):
                shutil.copytree(self.folder, os.path.join(os.environ["KEEP"], self.title.replace(" ", "-")), dirs_exist_ok=True)
            shutil.rmtree(self.folder, ignore_errors=True)
        self.judge()

    def judge(self):
        for attempt in self.attempts:
            for ask in attempt.writes:
                if attempt.is_promised and ask.commits:
                    self.break_rule("REFUSED", f"{show(ask.text)} of {show(ask.name)} committed after {attempt.is_promised.decode()}", None)
        ends = sum((g.ends for g in self.gateways), [])
        for code in ends:
            self.break_rule("ENDED", f"a gateway process ended by itself with code {code}", None)
        print(f"{self.title}: asked {sum(self.asked.values())} served {sum(self.served.values())} (reads {self.served['READ']} of {self.asked['READ']}, "
              f"writes {self.served['WRITE']} of {self.asked['WRITE']}, commits {self.served['COMMIT']} of {self.asked['COMMIT']}) "
              f"foreign {self.foreign} twice {self.broken['TWICE']} refused-but-committed {self.broken['REFUSED']} broken {dict(self.broken)} "
              f"process ends {len(ends)} promotions {self.promotions} transactions started again {self.restarted} longest text {self.longest} "
              f"answers repeated or cut {self.repeated} errors {dict(self.errors)} closes {dict(self.closed)}",
              flush=True)
        for line in self.details:
            print(line, flush=True)


def calm(draw, kind, answer):
    return [(0, answer)]


def repeat_reads(draw, kind, answer):
    return [(0, answer), (draw.uniform(0.0001, 0.1), answer)] if kind == "READ" else [(0, answer)]


def repeat_some(draw, kind, answer):
    return [(0, answer), (0.02, answer)] if kind != "START" and draw.random() < 1 / 30 else [(0, answer)]


def repeat_all(draw, kind, answer):
    return [(0, answer), (draw.uniform(0.0001, 0.03), answer)]


def repeat_refusals(draw, kind, answer):
    return [(0, answer), (draw.uniform(0.002, 0.02), answer)] if answer.startswith(b"ERROR BUSY") else [(0, answer)]


def cut(draw, kind, answer, is_anywhere):
    if kind == "START" or draw.random() > 0.1:
        return [(0, answer)]
    end = answer.rindex(b"READY ")
    start = answer.rfind(b"\r\nCOMPLETE ", 0, end) + 2 if b"\r\nCOMPLETE " in answer[:end] else 0
    at = draw.randint(1, len(answer) - 1) if is_anywhere else draw.choice([end, end + draw.randint(1, 5), start + draw.randint(1, 4)])
    return [(0, answer[:at]), (draw.uniform(0.0001, 0.01), answer)]


def cut_at_word(draw, kind, answer):
    """The beginning of an answer and then the whole. It ends inside or before the word of its last two messages."""
    return cut(draw, kind, answer, False)


def cut_anywhere(draw, kind, answer):
    return cut(draw, kind, answer, True)


def cut_and_repeat(draw, kind, answer):
    """An answer that stops inside its signature may be followed by the repetition of an earlier answer."""
    if kind == "START" or not answer.startswith(b"COMPLETE ") or answer.startswith(b"COMPLETE -") or draw.random() < 0.7:
        return [(0, answer), (draw.uniform(0.0001, 0.03), answer)] if draw.random() < 0.3 else [(0, answer)]
    return [(0, answer[:draw.randint(len(b"COMPLETE ") + 1, answer.index(b"\r\n") - 1)]), (draw.uniform(0.005, 0.03), answer)]


def lose_some(draw, kind, answer):
    if kind == "START" or draw.random() > 0.02:
        return [(0, answer)]
    return draw.choice([None, [(-1, b"")], [(0, answer[:len(answer) // 2]), (-1, b"")]])


class FleetTest(unittest.TestCase):
    def play(self, *worlds):
        async def main():
            await asyncio.gather(*(w.play() for w in worlds))

        asyncio.run(main())
        for world in worlds:
            self.assertFalse(world.broken, f"{world.title} with seed {SEED}")

    def check_served(self, world, share):
        for kind in ("READ", "WRITE"):
            self.assertGreater(world.asked[kind], 20)
            self.assertGreaterEqual(world.served[kind], share * world.asked[kind], f"{world.title}: {kind}")


class WireTest(FleetTest):
    """Whole fields and answers, and answers that come again, in part or not at all."""

    def test_calm_plain(self):
        world = World("calm, plain texts")
        self.play(world)
        self.check_served(world, 0.9)

    def test_calm_odd(self):
        world = World("calm, odd bytes", is_odd=True)
        self.play(world)
        self.check_served(world, 0.9)

    def test_reads_repeated(self):
        world = World("reads repeated", repeat_reads)
        self.play(world)
        self.check_served(world, 0.5)

    def test_some_repeated(self):
        """The calm fleet plays at the same time, so that both have the same share of the machine."""
        usual, world = World("calm beside", calm), World("one answer in 30 repeated", repeat_some)
        self.play(usual, world)
        self.assertGreaterEqual(sum(world.served.values()), 0.9 * sum(usual.served.values()))

    def test_all_repeated(self):
        world = World("every answer repeated", repeat_all)
        self.play(world)
        self.check_served(world, 0.5)

    def test_refusals_repeated(self):
        world = World("refusals repeated", repeat_refusals, busy_share=0.3)
        self.play(world)
        self.check_served(world, 0.3)

    def test_cut_at_word(self):
        world = World("answers cut off at a word and then whole", cut_at_word)
        self.play(world)
        self.check_served(world, 0.5)

    def test_cut_anywhere(self):
        world = World("answers cut off anywhere and then whole", cut_anywhere)
        self.play(world)
        self.check_served(world, 0.5)

    def test_lost(self):
        world = World("answers lost", lose_some)
        self.play(world)
        self.check_served(world, 0.5)

    def test_combined(self):
        world = World("odd bytes, one answer in 30 repeated, transactions", repeat_some, is_odd=True, transaction_share=0.4, leave_share=0.15)
        self.play(world)
        self.check_served(world, 0.5)


class AnswerTest(FleetTest):
    """Answers and fields that resemble broken ones, and broken ones that resemble whole ones."""

    def test_equal_rows(self):
        """An answer may have two equal rows: a read of them is served like any other."""
        world = World("calm, equal rows", rows=lambda draw: (b"%x" % draw.randrange(1 << 32),) * 2)
        self.play(world)
        self.check_served(world, 0.9)

    def test_rows_like_rows(self):
        """A row may begin like the message that it is in: a read of it is served like any other."""
        world = World("calm, rows that begin with ROW", rows=lambda draw: (b"ROW %x" % draw.randrange(1 << 32),))
        self.play(world)
        self.check_served(world, 0.9)

    def test_empty_fields(self):
        """A last field of no bytes is a field: a read of the empty item is served like any other."""
        world = World("calm, empty last fields", has_empty_fields=True)
        self.play(world)
        self.check_served(world, 0.9)

    def test_cut_and_repeated(self):
        """The rest of a signature must not be taken from an earlier answer that comes again."""
        world = World("answers cut off in the signature, others repeated", cut_and_repeat, busy_share=0.05)
        self.play(world)


if __name__ == "__main__":
    sys.dont_write_bytecode = True
    PROGRAM = os.path.abspath(sys.argv.pop(1))
    unittest.main()
