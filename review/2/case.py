"""A server is cut off from the store for 5 s, and goes on serving the machines. See claim.txt."""
import asyncio
import os
import signal
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import standins

CUT_S = 5.0
CUTS = 10
BUSY_S = 10.0  # A machine that uses a whole core for so long, and answers nothing meanwhile, doesn't hand back the processor.


async def cut(world, server):
    """Cuts the server off from the store shortly before its next heartbeat."""
    await asyncio.sleep(max(0.0, server.last_beat + standins.HEARTBEAT_S - 0.1 - time.monotonic()))
    world.record("trouble", f"{server.id} is cut off from the store for {CUT_S} s")
    server.is_cut_from_store = True
    await asyncio.sleep(CUT_S)
    server.is_cut_from_store = False
    world.record("trouble", f"{server.id} reaches the store again")


async def answers(machine):
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(machine.ip, 8784), 2)
        writer.write(b"START service0-primary probe\r\n")
        line = await asyncio.wait_for(reader.readline(), 2)
        writer.close()
        return line.startswith(b"READY")
    except (ConnectionError, OSError, asyncio.TimeoutError):
        return False


async def find_hung(world):
    before = {m: m.cpu_s() for m in world.machines}
    began, answered = time.monotonic(), {m: False for m in world.machines}
    while time.monotonic() - began < BUSY_S:
        results = await asyncio.gather(*(answers(m) for m in world.machines))
        for machine, result in zip(world.machines, results):
            answered[machine] |= result
        await asyncio.sleep(0.5)
    broken = []
    for machine in world.machines:
        used_s, spent_s = machine.cpu_s() - before[machine], time.monotonic() - began
        world.record("check", f"{machine.name} used {used_s:.2f} s of processor time in {spent_s:.1f} s, answered={answered[machine]} ready={machine.is_ready}")
        if not answered[machine] and used_s > 0.8 * spent_s:
            broken.append(f"Fault: {machine.name} doesn't hand back the processor: {used_s:.1f} s used in {spent_s:.1f} s, "
                          f"no START answered, /readiness answers {200 if machine.is_ready else 503}")
            machine.process.send_signal(signal.SIGTERM)
    if broken:
        await asyncio.sleep(standins.GRACE_S + 0.5)
        for machine in world.machines:
            world.record("check", f"{machine.name} {'still runs' if machine.process.returncode is None else 'has ended'}")
    return broken


async def play(world, trouble):
    groups = [world.add_group(number, work_s=lambda kind: world.random.uniform(0.005, 0.025)) for number in range(2)]
    await world.start()
    for group in groups:
        world.add_requesters(30, f"{group.name}-bounded_staleness", ["read"], 0.08)
        world.add_requesters(5, f"{group.name}-primary", ["read", "write"], 0.2)
    await asyncio.sleep(5)
    for number in range(CUTS):
        replicas = [s for g in groups for s in g.servers if s is not g.primary()]
        if trouble:
            await cut(world, replicas[number % len(replicas)])
        else:
            await asyncio.sleep(CUT_S + 0.6)
        await asyncio.sleep(1.5)
        if any([not await answers(m) for m in world.machines]):
            break
    return await find_hung(world)


standins.run_case(os.path.dirname(os.path.abspath(__file__)), play)
