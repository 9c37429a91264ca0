"""The primary commits a transaction, and its answer is lost. See claim.txt."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import standins

LOST_S = 5.5  # Each time; one COMMIT in this time is not answered, of about 260 statements that the primary runs.
TIMEOUT_MS = 6000


async def play(world, trouble):
    group = world.add_group(work_s=lambda kind: 0.003)
    group.lost = 0
    world.limit_s = 8.0
    world.configure(TIMEOUT_MS)
    loses = {"left": 0}

    def loses_answer(server, line):
        if not loses["left"] or server is not group.primary() or not line.endswith(" COMMIT"):
            return False
        loses["left"] -= 1
        return True

    world.loses_answer = loses_answer
    await world.start()
    world.add_requesters(8, "service0-primary", ["read", "transaction"], 0.4)
    world.add_requesters(8, "service0-primary", ["read"], 0.6)
    await asyncio.sleep(5)
    for _ in range(7):
        loses["left"] = 1 if trouble else 0
        await asyncio.sleep(LOST_S)
        loses["left"] = 0
        await asyncio.sleep(5.5)
    committed = {write: s.id for s in group.servers for _, writes in s.log for write in writes}
    broken = []
    for requester in world.requesters:
        for write in requester.refused:
            if write in committed:
                broken.append(f"REFUSED: {write} is committed at {committed[write]}, and its requester was told that nothing is kept")
    return broken


standins.run_case(os.path.dirname(os.path.abspath(__file__)), play)
