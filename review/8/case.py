"""A worker that has left, and a process that starts while the store is away."""
import asyncio
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib-2"))
from deployment import *  # noqa: E402,F403

HOST = "svc.example"
DRAIN_S = 2.0
STORE_AWAY_S = 8.0


class TurningAway(Store):
    """The store; while it is down it answers 503."""

    is_down = False

    async def answer(self, request):
        if self.is_down:
            return json_answer(503, {})
        return await self.handle(request)


class Leaving(Worker):
    async def work(self, request):
        self.record(f"reaches {self.service} {self.id}")
        self.last = time.monotonic()
        self.reached = getattr(self, "reached", []) + [self.last]
        await asyncio.sleep(0.01)
        return 200, b"ok"

    async def put(self, control, body):
        status, _, _ = await call(
            control,
            "PUT",
            f"/instances/{self.id}",
            [("Content-Type", "application/json")],
            body,
            1.0,
        )
        return status


async def late_heartbeat(record, worker, control, body, seconds):
    """Delivers a heartbeat, `seconds` after it was made."""
    await asyncio.sleep(seconds)
    try:
        record(f"late heartbeat: {await worker.put(control, body)}")
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as cause:
        record(f"late heartbeat: {cause!r}")


async def ask(record, node, name):
    try:
        status, _, _ = await call(
            node.outbound,
            "GET",
            "/desk/1",
            [
                ("Host", HOST),
                ("Plantaintally-Request-Id", name),
                ("Plantaintally-Deadline-Ms", "1000"),
            ],
        )
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as cause:
        status = repr(cause)
    record(f"client got {status} for {name}")


async def case(record, folder):
    store = TurningAway(record)
    await store.start("127.0.0.1")
    workers = [Leaving(record, "front"), Leaving(record, "desk"), Leaving(record, "desk")]
    nodes = []
    tasks = []
    try:
        for index, worker in enumerate(workers):
            host = f"127.0.1.{index + 1}"
            await worker.start(host)
            zone = "zone-b" if index == 2 else "zone-a"
            node = Node(record, folder, f"side-{index}", host, worker.service, store, zone)
            nodes.append(node)
            await node.start()
        await store.put(
            "op/config",
            configuration(
                3, HOST, [route("r-desk", "safe", "/desk/", "desk")], ["front", "desk"]
            ),
        )
        beats = []
        for node, worker in zip(nodes, workers):
            await wait_until(node.is_ready, 10, "ready")
            beats.append(asyncio.create_task(worker.beat_forever(node.control)))
        tasks += beats
        await asyncio.sleep(6)
        node, leaving = nodes[1], workers[1]
        # The last two heartbeats before the DELETE are held up on their way.
        beats[1].cancel()
        first = leaving.heartbeat()
        tasks.append(
            asyncio.create_task(late_heartbeat(record, leaving, node.control, first, 2.9))
        )
        await asyncio.sleep(1.5)
        second = leaving.heartbeat()
        tasks.append(
            asyncio.create_task(late_heartbeat(record, leaving, node.control, second, 6.9))
        )
        await asyncio.sleep(0.1)
        status, _, _ = await call(node.control, "DELETE", f"/instances/{leaving.id}")
        acknowledged = time.monotonic()
        record(f"DELETE answered {status}")
        if status != 200:
            raise CannotRun("the departure was not acknowledged")
        if TROUBLE:
            store.is_down = True
            await asyncio.sleep(0.2)
            node.signal(signal.SIGKILL)
            await node.process.wait()
            await asyncio.sleep(0.4)
            await node.start()
        await asyncio.sleep(acknowledged + 6.5 - time.monotonic())
        if not await node.is_ready():
            raise CannotRun("the node is not ready again")
        number = 0
        while time.monotonic() < acknowledged + 9.5:
            if store.is_down and time.monotonic() > acknowledged + STORE_AWAY_S:
                store.is_down = False
                record("the store is back")
            number += 1
            await ask(record, node, f"ask{number:03d}")
            await asyncio.sleep(0.05)
    finally:
        for task in tasks:
            task.cancel()
        for node in nodes:
            await node.stop()
    late = [
        when - acknowledged
        for when in getattr(workers[1], "reached", [])
        if when - acknowledged > DRAIN_S
    ]
    record(f"of {number} requests {len(late)} reached the worker that had left")
    if late:
        return [
            f"DRAIN: {len(late)} of {number} requests reached the worker {late[0]:.1f} "
            f"to {late[-1]:.1f} s after its leaving was acknowledged"
        ]
    return []


main(case, FOLDER)
