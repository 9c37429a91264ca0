"""Measures memory and processor time of the shipped binary for connections, requests and databases, and when idle.

Runs proxies and the emulator as processes on 127.9.x.y and prints one slope per line, like bench/slopes/slopes.c.
"""
import contextlib
import http.client
import json
import os
import pathlib
import selectors
import signal
import socket
import subprocess
import sys
import time

BUILD = pathlib.Path(sys.argv[1])
IS_JSON = "--json" in sys.argv
PROGRAM = BUILD / "flamingospring/flamingospring"
PLATFORM = "127.9.1.200:2379"
ZONES = "abcd"
SERVERS = 3
IDLE_S = 8
LOAD_REQUESTS = 1000
LOAD_ROUNDS = 5
LOAD_CONNECTIONS = 16
# Load and budgets of one node at the target size of docs/design.md, section 1.
NODE_GROUPS = 7.2
NODE_DATABASES = 1800
NODE_STATEMENTS_PER_S = 3200
CONTROL_CORE_SHARE = 0.017
CONTROL_BYTES = 64 << 20
CONTROL_BYTES_PER_S = 6000
BYTE_COUNTERS = ("gossip_sent_bytes", "gossip_received_bytes", "control_sent_bytes", "control_received_bytes")
# BYTE_COUNTERS don't include status polls. As in slopes.c, a node that observes 7.2 groups makes 6.7 polls per second
# and sends 179 bytes for each.
POLL_BYTES_PER_S = 6.7 * 179
# FS_PEER_NULL of peer.x: record mark, transaction id, message type, RPC version, program, version, procedure, and empty
# credentials and verifier.
NULL_CALL = b"".join(word.to_bytes(4, "big") for word in (0x80000000 | 40, 1, 0, 2, 0x2F5A0001, 1, 0, 0, 0, 0, 0))


def print_slope(name, unit, at, value, budget=0.0):
    if IS_JSON:
        line = {"name": name, "unit": unit, "at": at, "value": round(value, 3), "budget": round(budget, 3)}
        print(json.dumps(line), flush=True)
    else:
        mark = "  EXCEEDED" if 0 < budget < value else ""
        print(f"{name:<36} at {at:5}: {value:12.3f} {unit:<18} budget {budget:g}{mark}", flush=True)


class Fleet:
    """The processes of one measurement. All are killed when the context ends, also after an error."""

    def __init__(self):
        self.processes = []

    def __enter__(self):
        self.start(BUILD / "emulator/flamingospring-emulator", "platform", "--address", PLATFORM, "--control",
                   PLATFORM.replace("2379", "2380"))
        return self

    def __exit__(self, *_):
        for process in self.processes:
            process.kill()
            process.wait()

    def start(self, *command):
        self.processes.append(subprocess.Popen([str(part) for part in command], stderr=subprocess.DEVNULL))
        return self.processes[-1].pid

    def start_group(self, addresses, slots=2, run_us=500, lag_ms=200):
        peers = ",".join(address.replace(":5432", ":5433") for address in addresses)
        for index, address in enumerate(addresses):
            # Enough connections for the observers of all databases that share this emulated server.
            self.start(BUILD / "emulator/flamingospring-emulator", "database", "--address", address, "--peers", peers, "--index",
                       index, "--slots", slots, "--connections", 9000, "--run-us", run_us, "--lag-ms", lag_ms)

    def start_vm(self, number, zone):
        return self.start(PROGRAM, "proxy", "--vm-id", number, "--zone", zone, "--address", vm_ip(number), "--platform",
                          f"http://{PLATFORM}", "--seeds", f"{vm_ip(1)}:7002", "--max-connections", 100000)

    def apply(self, databases):
        command = [PROGRAM, "apply", "--control", f"{vm_ip(1)}:7002", "/dev/stdin"]
        document = service_document(databases).encode()
        if not wait_for(lambda: subprocess.run(command, input=document, capture_output=True, check=True)):
            raise RuntimeError("the service document could not be applied")


def vm_ip(number):
    return f"127.9.{(number - 1) % len(ZONES) + 1}.{100 + number}"


def wait_for(condition, seconds=20):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        with contextlib.suppress(OSError, http.client.HTTPException, RuntimeError, subprocess.CalledProcessError):
            if condition():
                return True
        time.sleep(0.1)
    return False


def service_document(databases):
    """Returns a service document of database0, database1 and so on, each given as a list of (address, zone)."""
    lines = ["service: letters", "session_keys:", "  - {id: 1, secret: " + "5a" * 32 + "}", "ranks:"]
    lines += [f"  {rank}: {{target_ms: 1000, timeout_ms: 60000, floor_percent: 0, queue_limit: 4000}}"
              for rank in ("urgent", "normal", "low")]
    lines += ["tenants:", "  - {name: letters, weight: 1}", "databases:"]
    for i, servers in enumerate(databases):
        listed = ", ".join(f'{{address: "{address}", zone: {zone}}}' for address, zone in servers)
        lines.append(f"  - {{name: database{i}, slots: 2, connections: 16, servers: [{listed}]}}")
    last = len(databases) - 1
    calls = [(f"find{i}", i, "kind: read, consistency: session, params: 1", "SELECT value FROM ledger WHERE key = $1")
             for i in range(len(databases))]
    calls += [(name, i, "kind: write, idempotent: true, params: 2", "INSERT INTO ledger (key, value) VALUES ($1, $2)")
              for name, i in (("add", 0), ("add_last", last))]
    calls.append(("once", 0, "kind: write, params: 2",
                  "UPDATE ledger SET value = value + $2 WHERE key = $1 RETURNING value"))
    calls.append(("report", 0, "kind: read, consistency: primary, params: 1, run_limit_ms: 60000", "SELECT report($1)"))
    lines.append("calls:")
    lines += [f'  - {{name: {name}, database: database{i}, rank: urgent, {rest}, statement: "{statement}"}}'
              for name, i, rest, statement in calls]
    return "\n".join(lines) + "\n"


def settled_bytes(pid):
    time.sleep(1)
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    return next(int(line.split()[1]) * 1024 for line in status.splitlines() if line.startswith("VmRSS"))


def thread_seconds(pid):
    """Returns the processor time of the control thread and of all traffic threads, in seconds."""
    seconds = {"control": 0.0, "traffic": 0.0}
    for task in pathlib.Path(f"/proc/{pid}/task").iterdir():
        role = (task / "comm").read_text().split("-")[0].strip()
        if role in seconds:
            seconds[role] += int((task / "schedstat").read_text().split()[0]) / 1e9
    return seconds


def counters(number):
    command = [PROGRAM, "counters", "--json", "--control", f"{vm_ip(number)}:7002"]
    return json.loads(subprocess.run(command, check=True, capture_output=True).stdout)


def connect(number, port, count):
    return [socket.create_connection((vm_ip(number), port), timeout=20) for _ in range(count)]


def send(caller, call, *params):
    """Sends a request in one segment. An at-most-once call also uses its key as the request id."""
    body = json.dumps({"params": params} | ({"request_id": params[0]} if call == "once" else {}))
    head = f"POST /v1/services/letters/calls/{call} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n"
    caller.sendall((head + body).encode())


def receive(caller):
    response = http.client.HTTPResponse(caller, method="POST")
    response.begin()
    answer = json.loads(response.read())
    if answer["outcome"] != "done":
        raise RuntimeError(f"a call was not done: {answer}")


def call_once(caller, call, *params):
    send(caller, call, *params)
    receive(caller)
    return True


def wait_serving(number, *databases):
    for i in databases:
        if not wait_for(lambda call=f"find{i}": call_once(connect(number, 7000, 1)[0], call, "none")):
            raise RuntimeError(f"VM {number} does not serve database{i}")


def run_load(number, call, numbers):
    """Sends a request for each number over keep-alive connections, each with one request in flight."""
    selector = selectors.DefaultSelector()
    callers = connect(number, 7000, LOAD_CONNECTIONS)
    params = iter([(f"{call}{i}", "1")[:1 + (call != "find0")] for i in numbers])
    for caller in callers:
        selector.register(caller, selectors.EVENT_READ)
        send(caller, call, *next(params))
    while selector.get_map():
        for key, _ in selector.select(5):
            receive(key.fileobj)
            if following := next(params, None):
                send(key.fileobj, call, *following)
            else:
                selector.unregister(key.fileobj)


def measure_requests(pids, entry, call, names):
    """Prints the lowest processor time per request of several rounds, without what the threads use when idle."""
    run_load(entry, call, range(LOAD_REQUESTS))
    before = [thread_seconds(pid) for pid in pids]
    time.sleep(2)
    seen = [thread_seconds(pid) for pid in pids]
    idle = [{role: (now[role] - old[role]) / 2 for role in now} for old, now in zip(before, seen)]
    best = [dict.fromkeys(now, 1.0) for now in seen]
    for first in range(LOAD_REQUESTS, (LOAD_ROUNDS + 1) * LOAD_REQUESTS, LOAD_REQUESTS):
        start = time.monotonic()
        run_load(entry, call, range(first, first + LOAD_REQUESTS))
        elapsed, before, seen = time.monotonic() - start, seen, [thread_seconds(pid) for pid in pids]
        for vm, now in enumerate(seen):
            for role in now:
                spent = now[role] - before[vm][role] - idle[vm][role] * elapsed
                best[vm][role] = min(best[vm][role], max(spent, 0) / LOAD_REQUESTS)
    for vm, name in enumerate(names):
        print_slope(f"request_{name}_traffic", "us", LOAD_REQUESTS, best[vm]["traffic"] * 1e6)
        print_slope(f"request_{name}_control", "us", LOAD_REQUESTS, best[vm]["control"] * 1e6,
                    CONTROL_CORE_SHARE / NODE_STATEMENTS_PER_S * 1e6)


def measure_pair():
    """Measures requests and connections on two VMs. VM 1 owns no server, because all are in the zone of VM 2."""
    with Fleet() as fleet:
        groups = [[f"127.9.2.{10 * (group + 1) + i}:5432" for i in range(SERVERS)] for group in range(2)]
        # With more lag, polls for writes that wait for a majority would dominate the cost.
        fleet.start_group(groups[0], slots=16, run_us=0, lag_ms=5)
        fleet.start_group(groups[1])
        pids = [fleet.start_vm(1, "a"), fleet.start_vm(2, "b")]
        fleet.apply([[(address, "b") for address in addresses] for addresses in groups])
        wait_serving(1, 0, 1)
        wait_serving(2, 0, 1)
        measure_requests(pids, 1, "find0", ("read_entry", "read_owner"))
        measure_requests(pids, 1, "add", ("write_entry", "write_owner"))
        measure_requests(pids, 1, "once", ("once_entry", "once_owner"))
        measure_once()
        measure_requests(pids[1:], 2, "find0", ("read_both",))
        measure_acknowledgement(pids[1])
        measure_connections(pids)


def measure_once():
    """Prints the median time of sequential at-most-once calls, with replicas that lag by 5 ms."""
    calls, times = 200, []
    [caller] = connect(2, 7000, 1)
    for i in range(calls):
        start = time.monotonic()
        call_once(caller, "once", f"single{i}", "1")
        times.append(time.monotonic() - start)
    print_slope("once_median", "ms", calls, sorted(times)[calls // 2] * 1000)


def measure_acknowledgement(pid):
    """Prints what the owner uses while one write is always waiting, with replicas that lag by 200 ms."""
    writes = 15
    [caller] = connect(2, 7000, 1)
    before, questions, start = thread_seconds(pid)["traffic"], counters(2)["status_questions"], time.monotonic()
    for i in range(writes):
        call_once(caller, "add_last", f"lagging{i}", "1")
    elapsed = time.monotonic() - start
    print_slope("acknowledge_wait_traffic", "us/s", 1, (thread_seconds(pid)["traffic"] - before) / elapsed * 1e6)
    print_slope("acknowledge_wait_questions", "1/s", 1, (counters(2)["status_questions"] - questions) / elapsed)
    print_slope("acknowledge_wait_write", "ms", 1, elapsed / writes * 1000)


def measure_connections(pids):
    few, many, flying, peer_count = 500, 4000, 1000, 2000
    callers = connect(1, 7000, few)
    base = settled_bytes(pids[0])
    callers += connect(1, 7000, many - few)
    opened = settled_bytes(pids[0])
    print_slope("memory_client_connection_opened", "bytes", many, (opened - base) / (many - few))
    for caller in callers:
        call_once(caller, "find0", "none")
    idle = [settled_bytes(pid) for pid in pids]
    print_slope("memory_client_connection_idle", "bytes", many, (idle[0] - base) / (many - few))
    for caller in callers[:flying]:
        send(caller, "report", "4000")
    for pid, before, name in zip(pids, idle, ("entry", "owner")):
        print_slope(f"memory_session_in_flight_{name}", "bytes", flying, (settled_bytes(pid) - before) / flying)
    for caller in callers:
        caller.close()
    base = settled_bytes(pids[1])
    peers = connect(2, 7001, peer_count)
    print_slope("memory_peer_connection_opened", "bytes", peer_count, (settled_bytes(pids[1]) - base) / peer_count)
    for peer in peers:
        peer.sendall(NULL_CALL)
        if not peer.recv(4096):
            raise RuntimeError("the null call was refused")
    print_slope("memory_peer_connection_idle", "bytes", peer_count, (settled_bytes(pids[1]) - base) / peer_count)


def idle_costs(database_count):
    """Returns averages over 7 VMs: core shares of threads, control bytes per second and memory."""
    vms = 7
    with Fleet() as fleet:
        groups = [[f"127.9.{(group + i) % 4 + 1}.{20 + group}:5432" for i in range(SERVERS)] for group in range(3)]
        for addresses in groups:
            fleet.start_group(addresses)
        pids = [fleet.start_vm(number, ZONES[(number - 1) % 4]) for number in range(1, vms + 1)]
        fleet.apply([[(address, ZONES[int(address.split(".")[2]) - 1]) for address in groups[d % 3]]
                     for d in range(database_count)])
        for number in range(1, vms + 1):
            wait_serving(number, 0, database_count - 1)
        time.sleep(6)
        # Reading counters also sends bytes; two consecutive readings show how many.
        first, second = ([counters(number) for number in range(1, vms + 1)] for _ in range(2))
        before = [thread_seconds(pid) for pid in pids]
        start = time.monotonic()
        time.sleep(IDLE_S)
        elapsed = time.monotonic() - start
        after = [thread_seconds(pid) for pid in pids]
        third = [counters(number) for number in range(1, vms + 1)]
        total = {role: sum(b[role] - a[role] for a, b in zip(before, after)) / vms / elapsed for role in after[0]}
        for name in BYTE_COUNTERS:
            total[name] = sum(c[name] - 2 * b[name] + a[name] for a, b, c in zip(first, second, third)) / vms / elapsed
        total["memory"] = sum(settled_bytes(pid) for pid in pids) / vms
    return total


def measure_idle():
    few, many = 3, 60
    costs = {count: idle_costs(count) for count in (few, many)}
    for count in (few, many):
        print_slope("idle_control_thread", "us/s", count, costs[count]["control"] * 1e6)
        print_slope("idle_traffic_threads", "us/s", count, costs[count]["traffic"] * 1e6)
        for name in BYTE_COUNTERS:
            print_slope(f"idle_{name}", "bytes/s/node", count, costs[count][name])
    # Each group has 3 observers, one in each of 3 zones.
    groups = lambda count: count * SERVERS / 7
    slope = lambda key: (costs[many][key] - costs[few][key]) / (groups(many) - groups(few))
    at_target = lambda key: costs[few][key] + (NODE_GROUPS - groups(few)) * slope(key)
    print_slope("idle_control_per_observed_group", "us/s", 1, slope("control") * 1e6)
    # One more database in the fleet adds 3/7 of an observed group to each VM.
    print_slope("idle_control_per_database", "us/s", 1, slope("control") * groups(1) * 1e6)
    print_slope("idle_control_at_7.2_groups", "us/s", 7, at_target("control") * 1e6, CONTROL_CORE_SHARE * 1e6)
    print_slope("idle_sent_at_7.2_groups", "bytes/s/node", 7, at_target("gossip_sent_bytes") +
                at_target("control_sent_bytes") + POLL_BYTES_PER_S, CONTROL_BYTES_PER_S)
    print_slope("memory_observed_group_process", "bytes", 1, slope("memory"))


def measure_documents():
    """Measures memory per database. VM 1 owns none of the servers and VM 2 all of them; none of them is running."""
    few, many, memory = 100, 1000, {}
    with Fleet() as fleet:
        pids = [fleet.start_vm(1, "a"), fleet.start_vm(2, "b")]
        wait_for(lambda: counters(2)["gossip_received"] > 0)
        print_slope("memory_at_start", "bytes", 0, settled_bytes(pids[0]), CONTROL_BYTES)
        for size in (few, many):
            fleet.apply([[(f"127.9.{8 + d // 200}.{1 + d % 200}:{5500 + s}", "b") for s in range(SERVERS)]
                         for d in range(size)])
            time.sleep(4)
            memory[size] = [settled_bytes(pid) for pid in pids]
    slopes = [(memory[many][vm] - memory[few][vm]) / (many - few) for vm in range(2)]
    print_slope("memory_database_process", "bytes", 1, slopes[0])
    print_slope("memory_owned_database_process", "bytes", 1, slopes[1])
    print_slope("memory_at_1800_databases", "bytes", NODE_DATABASES,
                memory[many][0] + (NODE_DATABASES - many) * slopes[0] + NODE_GROUPS * (slopes[1] - slopes[0]),
                CONTROL_BYTES)


def main():
    # Leaves the Fleet context, which kills the processes.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    print_slope("machine_load", "1 min average", os.cpu_count(), os.getloadavg()[0])
    measure_pair()
    measure_documents()
    measure_idle()
    print_slope("machine_load", "1 min average", os.cpu_count(), os.getloadavg()[0])


main()
