"""Stand-ins of the users' platform, workers and clients for the cases of the
second review. They follow the users' pages; everything is on loopback."""
import asyncio
import base64
import json
import logging
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
DAEMON = os.path.join(ROOT, "target/apps/plantaintallyd")
TEMPLATE = os.path.join(ROOT, "deploy/plantaintallyd.ini")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    pass


class Record:
    """record.txt: what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.begin = time.monotonic()

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.begin:9.4f} {text}\n")
        self.file.flush()


async def read_head(reader):
    """Returns the start line and the headers (names in lower case)."""
    data = await reader.readuntil(b"\r\n\r\n")
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size == 0:
                while (await reader.readline()).strip():
                    pass
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    return await reader.readexactly(int(headers.get("content-length", "0")))


async def read_request(reader):
    """Returns method, target, headers and body, or None at the end."""
    try:
        line, headers = await read_head(reader)
        method, target, _ = line.split(" ")
        return method, target, headers, await read_body(reader, headers)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None


def make_answer(status, body=b"", headers=()):
    if isinstance(body, str):
        body = body.encode()
    head = f"HTTP/1.1 {status} -\r\nContent-Length: {len(body)}\r\n"
    head += "".join(f"{name}: {value}\r\n" for name, value in headers)
    return head.encode() + b"\r\n" + body


def json_answer(status, value):
    return make_answer(
        status, json.dumps(value), [("Content-Type", "application/json")]
    )


async def call(address, method, target, headers=(), body=b"", timeout=5.0):
    """One call over a new connection; returns status, headers and body."""

    async def run():
        host, port = address.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            head = f"{method} {target} HTTP/1.1\r\n"
            names = {name.lower() for name, _ in headers}
            if "host" not in names:
                head += f"Host: {address}\r\n"
            head += "".join(f"{n}: {v}\r\n" for n, v in headers)
            head += f"Content-Length: {len(body)}\r\n\r\n"
            writer.write(head.encode() + body)
            await writer.drain()
            line, answered = await read_head(reader)
            return int(line.split()[1]), answered, await read_body(reader, answered)
        finally:
            writer.close()

    return await asyncio.wait_for(run(), timeout)


class Store:
    """The platform's metadata store."""

    def __init__(self, record):
        self.record = record
        self.items = {}
        self.events = []
        self.revision = 1
        self.changed = asyncio.Condition()
        self.leases = {}
        self.address = None
        self.server = None

    async def start(self, host):
        self.server = await asyncio.start_server(self.serve, host, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                answer = await self.answer(request)
                if answer is None:
                    break
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, request):
        return await self.handle(request)

    async def put(self, key, value, lease=0):
        self.revision += 1
        created = self.items.get(key, {}).get("createRevision", self.revision)
        self.items[key] = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "createRevision": created,
            "lease": lease,
        }
        self.events.append(dict(self.items[key]))
        async with self.changed:
            self.changed.notify_all()

    async def handle(self, request):
        method, target, _, body = request
        path, _, query = target.partition("?")
        fields = dict(part.split("=", 1) for part in query.split("&") if "=" in part)
        if method == "GET" and path == "/kv-key":
            item = self.items.get(fields["key"])
            if item is None:
                return json_answer(404, {"currentRev": self.revision})
            return json_answer(200, {**item, "currentRev": self.revision})
        if method == "GET" and path == "/kv-watch":
            return await self.watch(fields)
        if method == "POST" and path == "/kv-txn":
            return await self.transact(json.loads(body))
        if method == "POST" and path == "/kv-lease":
            lease = 70000 + len(self.leases)
            self.leases[lease] = json.loads(body)["ttlMs"]
            return json_answer(200, {"lease": lease, "ttlMs": self.leases[lease]})
        if method == "POST" and path.startswith("/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return json_answer(404, {})
            return json_answer(200, {"ttlMs": self.leases[lease]})
        return json_answer(404, {})

    async def watch(self, fields):
        deadline = time.monotonic() + int(fields["waitMs"]) / 1000
        after = int(fields["after"])
        while True:
            events = [
                event
                for event in self.events
                if event["revision"] > after
                and event["key"].startswith(fields["prefix"])
            ]
            left = deadline - time.monotonic()
            if events or left <= 0:
                return json_answer(
                    200, {"events": events, "currentRev": self.revision}
                )
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def transact(self, change):
        for row in change["expectedRev"]:
            held = self.items.get(row["key"], {}).get("revision", 0)
            if held != row["revision"]:
                found = [
                    self.items[each["key"]]
                    for each in change["expectedRev"]
                    if each["key"] in self.items
                ]
                return json_answer(412, {"items": found})
        for put in change["puts"]:
            await self.put(
                put["key"], base64.b64decode(put["value"]), put.get("lease", 0)
            )
        return json_answer(200, {"revision": self.revision})


def route(name, kind, prefix, service, timeout_ms=5000, aim_ms=2000, attempts=2):
    return {
        "name": name,
        "kind": kind,
        "targetLatencyMs": aim_ms,
        "priority": 1,
        "match": {"prefix": prefix},
        "action": {
            "service": service,
            "timeoutMs": timeout_ms,
            "maxAttempts": attempts,
        },
    }


def configuration(version, host, routes, services):
    return json.dumps(
        {
            "version": version,
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 67108864,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
            "listeners": [{"hostname": host, "ruleSet": routes}],
            "clusters": [
                {
                    "name": service,
                    "healthPath": "/health",
                    "maxConnections": 2000,
                    "protocol": "h1",
                    "tls": False,
                }
                for service in services
            ],
        }
    ).encode()


class Worker:
    """A sound worker: runs each request for a while and answers it."""

    def __init__(self, record, service, slots=64):
        self.record = record
        self.service = service
        self.slots = slots
        self.id = "i-%08x" % random.getrandbits(32)
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.runs = {}
        self.address = None
        self.server = None
        self.active = 0

    async def start(self, host):
        self.server = await asyncio.start_server(
            self.serve, host, 0, limit=1 << 20, backlog=1000
        )
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                if not await self.answer(request, reader, writer):
                    break
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, request, reader, writer):
        _, target, headers, _ = request
        expected = headers.get("plantaintally-expect-instance", self.id)
        if expected != self.id:
            writer.write(
                make_answer(421, b"", [("Plantaintally-Instance-Id", self.id)])
            )
            await writer.drain()
            return True
        name = headers["plantaintally-request-id"]
        if self.active >= self.slots:
            writer.write(
                make_answer(
                    503,
                    b"",
                    [
                        ("Plantaintally-Request-Id", name),
                        ("Plantaintally-Not-Executed", "1"),
                    ],
                )
            )
            await writer.drain()
            return True
        self.runs[name] = self.runs.get(name, 0) + 1
        self.record(f"worker {self.service} runs {name} {target}")
        self.active += 1
        try:
            status, body = await self.work(request)
        finally:
            self.active -= 1
        writer.write(
            make_answer(
                status,
                body,
                [
                    ("Plantaintally-Request-Id", name),
                    ("Plantaintally-Server-Stamp", f"stamp.{self.id}.{name}"),
                ],
            )
        )
        await writer.drain()
        return True

    async def work(self, request):
        await asyncio.sleep(0.02)
        return 200, b"ok"

    def heartbeat(self):
        self.sequence += 1
        return json.dumps(
            {
                "service": self.service,
                "address": self.address,
                "zone": "zone-a",
                "version": "v1",
                "slots": self.slots,
                "state": self.state,
                "coldLeftMs": 0,
                "callSeq": self.sequence,
                "born": self.born,
            }
        ).encode()

    async def beat(self, control):
        """One heartbeat; returns whether it was acknowledged."""
        try:
            status, _, _ = await call(
                control,
                "PUT",
                f"/instances/{self.id}",
                [("Content-Type", "application/json")],
                self.heartbeat(),
                1.0,
            )
            return status == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    async def beat_forever(self, control):
        while True:
            await self.beat(control)
            await asyncio.sleep(1.5)


def free_ports(host, count):
    """First of `count` consecutive free ports, below those that the kernel gives
    to outgoing connections."""
    while True:
        first = random.randrange(12000, 32000 - count)
        sockets = []
        try:
            for port in range(first, first + count):
                each = socket.socket()
                sockets.append(each)
                each.bind((host, port))
            return first
        except OSError:
            continue
        finally:
            for each in sockets:
                each.close()


class Node:
    """plantaintallyd beside a worker, started as the deploy file says."""

    def __init__(self, record, folder, name, host, service, store, zone="zone-a"):
        self.record = record
        self.name = name
        first = free_ports(host, 24)
        # 127.0.0.1 is the operators' address of every node.
        local = free_ports("127.0.0.1", 1)
        self.outbound = f"{host}:{first + 20}"
        self.ready = f"{host}:{first + 21}"
        self.control = f"{host}:{first + 22}"
        self.peer = f"{host}:{first}"
        values = {
            "zone": zone,
            "ip": host,
            "portRange.0": str(first),
            "portRange.1": str(local),
            "listen.outbound": self.outbound,
            "listen.ready": self.ready,
            "listen.control": self.control,
            "listen.inbound": f"{host}:{first + 23}",
            "bounds.graceS": "6",
            "bounds.budgetRatio": "0.2",
            "bounds.budgetExtra": "48",
            "service": service,
            "platform.address": store.address,
        }
        with open(TEMPLATE, encoding="utf-8") as template:
            text = template.read()
        for key, value in values.items():
            text = text.replace("{{" + key + "}}", value)
        if "{{" in text:
            raise CannotRun("the template has an unknown field")
        self.settings = os.path.join(folder, f"{name}.ini")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(text)
        self.log = os.path.join(folder, f"{name}.log")
        self.process = None

    async def start(self):
        if not os.path.exists(DAEMON):
            raise CannotRun("the build of the deploy file is missing")
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                DAEMON,
                cwd=ROOT,
                env={
                    "PATH": os.environ["PATH"],
                    "PLANTAINTALLY_CONFIG": self.settings,
                },
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.record(f"platform starts {self.name}")

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.record(f"platform sends {signal.Signals(number).name} to {self.name}")
            self.process.send_signal(number)

    def resident_bytes(self):
        try:
            with open(f"/proc/{self.process.pid}/statm", encoding="ascii") as file:
                return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")
        except (OSError, IndexError):
            return 0

    async def is_ready(self):
        try:
            status, _, _ = await call(self.ready, "GET", "/ready", timeout=1.0)
            return status == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    async def stop(self):
        if self.process is None:
            return
        if self.process.returncode is None:
            for number in (signal.SIGCONT, signal.SIGKILL):
                try:
                    self.process.send_signal(number)
                except ProcessLookupError:
                    pass
        await self.process.wait()


async def wait_until(condition, seconds, what):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if await condition():
            return
        await asyncio.sleep(0.05)
    raise CannotRun("not in time: " + what)


def request_head(method, host, target, name, deadline_ms, extra=""):
    return (
        f"{method} {target} HTTP/1.1\r\nHost: {host}\r\n"
        f"Plantaintally-Request-Id: {name}\r\n"
        f"Plantaintally-Deadline-Ms: {deadline_ms}\r\n{extra}\r\n"
    ).encode()


def main(case, folder):
    """Runs `case(record, temporary folder)`, which returns the lines that state
    the broken rule (none: it held). Exits as the issue says."""
    # The library reports processes that it has not reaped itself.
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)
    temporary = tempfile.mkdtemp(prefix="review-")
    record = Record(os.path.join(folder, "record.txt"))
    try:
        broken = asyncio.run(asyncio.wait_for(case(record, temporary), 110))
    except (CannotRun, asyncio.TimeoutError, OSError) as cause:
        record(f"could not run: {cause!r}")
        print(f"could not run: {cause!r}")
        sys.exit(2)
    finally:
        if os.environ.get("KEEP"):
            print(temporary)
        else:
            shutil.rmtree(temporary, ignore_errors=True)
    for line in broken:
        record("BROKEN " + line)
        print("BROKEN " + line)
    if not broken:
        record("the rule held")
        print("the rule held")
    sys.exit(1 if broken else 0)
