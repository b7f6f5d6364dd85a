"""All machines are lost at once and replaced by others at new addresses."""
import asyncio
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib-2"))
from deployment import *  # noqa: E402,F403

HOST = "svc.example"
ZONES = ["zone-a", "zone-b", "zone-c"]
MACHINES = int(os.environ.get("MACHINES", "54"))
RECOVER_S = 15
STABLE_S = 3


class Machine:
    """A node and the worker beside it."""

    def __init__(self, record, folder, store, number, service):
        self.host = f"127.0.{4 + number // 200}.{1 + number % 200}"
        self.worker = Worker(record, service)
        self.record = record
        self.node = None
        self.beats = None
        zone = ZONES[number % len(ZONES)]
        self.place = (folder, f"side-{number}", self.host, service, store, zone)

    async def start(self):
        await self.worker.start(self.host)
        self.node = Node(self.record, *self.place)
        await self.node.start()
        self.beats = asyncio.create_task(self.worker.beat_forever(self.node.control))

    async def lose(self):
        """The machine is gone for good, with its worker."""
        if self.beats is not None:
            self.beats.cancel()
        if self.worker.server is not None:
            self.worker.server.close()
        if self.node is not None:
            self.node.signal(signal.SIGKILL)
            await self.node.stop()


async def ask(record, node, phase, count):
    """Sends requests to the other service; returns the share that is served."""
    served = 0
    for number in range(count):
        name = f"{phase}{number:03d}"
        try:
            status, headers, _ = await call(
                node.outbound,
                "GET",
                "/desk/1",
                [
                    ("Host", HOST),
                    ("Plantaintally-Request-Id", name),
                    ("Plantaintally-Deadline-Ms", "2000"),
                ],
            )
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            status, headers = None, {}
        served += status == 200 and "plantaintally-server-stamp" in headers
        record(f"client got {status} for {name}")
        await asyncio.sleep(0.05)
    return served / count


async def start_all(record, folder, store, first):
    machines = [
        Machine(record, folder, store, first + each, "front" if each == 0 else "desk")
        for each in range(MACHINES)
    ]
    try:
        await asyncio.gather(*[machine.start() for machine in machines])
    except BaseException:
        await asyncio.gather(*[machine.lose() for machine in machines])
        raise
    return machines


async def case(record, folder):
    store = Store(record)
    await store.start("127.0.0.1")
    await store.put(
        "op/config",
        configuration(3, HOST, [route("r-desk", "safe", "/desk/", "desk")], ["front", "desk"]),
    )
    machines = []
    try:
        machines = await start_all(record, folder, store, 0)
        for machine in machines:
            await wait_until(machine.node.is_ready, 20, "ready")
        await asyncio.sleep(12)
        before = await ask(record, machines[0].node, "before", 60)
        record(f"served before: {before:.2f}")
        if before < 0.25:
            raise CannotRun("not served before the loss")
        if TROUBLE:
            await asyncio.gather(*[machine.lose() for machine in machines])
            machines = await start_all(record, folder, store, MACHINES)
            for machine in machines:
                await wait_until(machine.node.is_ready, 20, "ready")
            record("all machines are back")
        await asyncio.sleep(STABLE_S + RECOVER_S)
        after = await ask(record, machines[0].node, "after", 200)
        record(f"served after: {after:.2f}")
        for key, item in store.items.items():
            if "contacts" in key:
                listed = base64.b64decode(item["value"]).decode().split()
                own = {machine.node.peer for machine in machines}
                record(f"{key}: {len(listed)} listed, {len(own & set(listed))} of them run")
    finally:
        await asyncio.gather(*[machine.lose() for machine in machines])
    if after < 0.25:
        return [
            f"RECOVER: later than recoverS after the machines were back {after:.2f} of "
            f"the requests was served, {before:.2f} before the loss"
        ]
    return []


main(case, FOLDER)
