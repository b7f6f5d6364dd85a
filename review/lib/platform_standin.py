"""Stand-ins for the review's scripts: store, worker, client, node process.

The store and the worker follow PROTOCOL.md of the users' platform; where that
page is silent they behave like a sound store or worker. Every address is a
loopback address. Only the standard library is used.
"""

import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
import tomllib
import urllib.parse

REPOSITORY = os.path.dirname(
    os.path.dirname(os.path.dirname(os.path.abspath(__file__))))


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.lock = threading.Lock()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        with self.lock:
            line = f"{self.now():8.3f}  {text}"
            self.file.write(line + "\n")
            self.file.flush()


# --- HTTP over plain sockets -------------------------------------------------


class ConnectionEnded(Exception):
    """The other side ended the connection, or sent nothing in time."""


class HttpReader:
    """Reads HTTP/1.1 messages from a socket."""

    def __init__(self, connection):
        self.connection = connection
        self.buffer = bytearray()

    def fill(self):
        """Waits for bytes and adds them to the buffer."""
        try:
            data = self.connection.recv(1 << 20)
        except OSError as cause:
            raise ConnectionEnded(type(cause).__name__) from cause
        if not data:
            raise ConnectionEnded("end of stream")
        self.buffer += data

    def _take(self, count):
        while len(self.buffer) < count:
            self.fill()
        taken = bytes(self.buffer[:count])
        del self.buffer[:count]
        return taken

    def _take_until(self, mark):
        while mark not in self.buffer:
            self.fill()
        taken = self._take(self.buffer.index(mark))
        del self.buffer[:len(mark)]
        return taken

    def read_message(self):
        """Returns the first line, the headers in lower case, and the body."""
        head = self._take_until(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        if "chunked" in headers.get("transfer-encoding", ""):
            return lines[0], headers, self._read_chunks()
        length = int(headers.get("content-length", "0"))
        return lines[0], headers, self._take(length)

    def _read_chunks(self):
        body = b""
        while True:
            size = int(self._take_until(b"\r\n").split(b";")[0], 16)
            body += self._take(size)
            self._take_until(b"\r\n")
            if size == 0:
                return body


def answer_bytes(status, reason, headers, body, is_last=False):
    lines = [f"HTTP/1.1 {status} {reason}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    if is_last:
        lines.append("Connection: close")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Server:
    """Accepts connections and serves each in a thread."""

    def __init__(self, host, port=0):
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((host, port))
        self.listener.listen(256)
        self.address = "%s:%d" % self.listener.getsockname()
        self.is_stopped = False
        self.connections = set()
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while not self.is_stopped:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.connections.add(connection)
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection):
        reader = HttpReader(connection)
        try:
            while True:
                first, headers, body = reader.read_message()
                method, target, _ = first.split(" ", 2)
                if not self.handle(connection, method, target, headers, body):
                    break
        except (ConnectionEnded, OSError, ValueError):
            pass
        finally:
            self.connections.discard(connection)
            connection.close()

    def handle(self, connection, method, target, headers, body):
        raise NotImplementedError

    def stop(self):
        """Ends like a process that crashed: all connections are closed."""
        self.is_stopped = True
        self.listener.close()
        for connection in list(self.connections):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


# --- The platform's store ----------------------------------------------------


class Store(Server):
    """The platform's metadata store, in memory."""

    def __init__(self, record):
        self.record = record
        self.changed = threading.Condition()
        self.items = {}
        self.history = []
        self.revision = 1
        self.last_lease = 100
        self.leases = {}
        self.is_down = False
        super().__init__("127.0.0.1")

    def set_down(self, is_down):
        """While the store is down it answers 503: nothing was done."""
        with self.changed:
            self.is_down = is_down
            self.changed.notify_all()
        self.record("store: " + ("down" if is_down else "back"))

    def put_operator(self, key, value):
        """The operator writes; returns when the store has acknowledged."""
        with self.changed:
            self._put(key, base64.b64encode(value.encode()).decode(), 0)
            self.changed.notify_all()
        self.record(f"operator: wrote {key} at revision {self.revision}")

    def _put(self, key, value, lease):
        self.revision += 1
        made = self.items.get(key, {}).get("createRevision", self.revision)
        item = {"key": key, "value": value, "revision": self.revision,
                "createRevision": made, "lease": lease}
        self.items[key] = item
        self.history.append(item)

    def _delete(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.history.append(
                {"key": key, "revision": self.revision, "removed": True})

    def _end_old_leases(self):
        now = time.monotonic()
        for lease, (_, ends) in list(self.leases.items()):
            if ends <= now:
                del self.leases[lease]
                for key in [key for key, item in self.items.items()
                            if item["lease"] == lease]:
                    self._delete(key)

    def handle(self, connection, method, target, headers, body):
        url = urllib.parse.urlsplit(target)
        query = {name: values[0] for name, values in
                 urllib.parse.parse_qs(url.query).items()}
        status, content = self._answer(method, url.path, query, body)
        connection.sendall(answer_bytes(
            status, "Answer", [("Content-Type", "application/json")],
            json.dumps(content).encode()))
        return True

    def _answer(self, method, path, query, body):
        with self.changed:
            if self.is_down:
                return 503, {}
            self._end_old_leases()
            if path == "/kv-key":
                item = self.items.get(query["key"])
                if item is None:
                    return 404, {"currentRev": self.revision}
                return 200, dict(item, currentRev=self.revision)
            if path == "/kv-range":
                start = query.get("after", "")
                found = [item for key, item in sorted(self.items.items())
                         if key.startswith(query["prefix"]) and key > start]
                return 200, {"items": found[:500],
                             "hasMore": len(found) > 500,
                             "currentRev": self.revision}
            if path == "/kv-watch":
                return self._watch(query)
            call = json.loads(body) if body else {}
            if path == "/kv-txn":
                return self._transact(call)
            if path == "/kv-lease":
                self.last_lease += 1
                time_ms = max(1000, min(call["ttlMs"], 600000))
                self.leases[self.last_lease] = (
                    time_ms, time.monotonic() + time_ms / 1000)
                return 200, {"lease": self.last_lease, "ttlMs": time_ms}
            if path.startswith("/kv-keep/"):
                lease = int(path.rsplit("/", 1)[1])
                if lease not in self.leases:
                    return 404, {}
                time_ms = self.leases[lease][0]
                self.leases[lease] = (
                    time_ms, time.monotonic() + time_ms / 1000)
                return 200, {"ttlMs": time_ms}
        return 404, {}

    def _watch(self, query):
        after = int(query["after"])
        ends = time.monotonic() + min(int(query["waitMs"]), 30000) / 1000
        while True:
            events = [event for event in self.history
                      if event["revision"] > after
                      and event["key"].startswith(query["prefix"])]
            left = ends - time.monotonic()
            if self.is_down:
                return 503, {}
            if events or left <= 0:
                return 200, {"events": events, "currentRev": self.revision}
            self.changed.wait(left)

    def _transact(self, call):
        expected = call.get("expectedRev", [])
        for row in expected:
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [self.items.get(each["key"])
                                       for each in expected]}
        for put in call.get("puts", []):
            lease = put.get("lease", 0)
            if lease and lease not in self.leases:
                return 404, {}
            self._put(put["key"], put["value"], lease)
        for key in call.get("deletes", []):
            self._delete(key)
        self.changed.notify_all()
        return 200, {"revision": self.revision}


def make_config(version, rules):
    """A configuration with one host; rules are (prefix, kind, service,
    timeoutMs, maxAttempts)."""
    rule_set = []
    services = []
    for index, (prefix, kind, service, timeout, attempts) in enumerate(rules):
        rule_set.append({
            "name": f"r-{index}", "kind": kind, "targetLatencyMs": timeout,
            "priority": 1, "match": {"prefix": prefix},
            "action": {"service": service, "timeoutMs": timeout,
                       "maxAttempts": attempts}})
        if service not in services:
            services.append(service)
    return json.dumps({
        "version": version,
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864,
                   "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "listeners": [{"hostname": "work.example", "ruleSet": rule_set}],
        "clusters": [{"name": service, "healthPath": "/health",
                      "maxConnections": 600, "protocol": "h1", "tls": False}
                     for service in services]})


# --- A worker ----------------------------------------------------------------


class Worker(Server):
    """One application worker. `work` maps a request's path to the seconds that
    the work takes and the size of the answer."""

    def __init__(self, record, host, port, service, work):
        self.record = record
        self.service = service
        self.work = work
        self.instance = "i-%08x" % random.getrandbits(32)
        self.born = int(time.time() * 1000)
        self.lock = threading.Lock()
        self.runs = []
        self.sequence = 0
        self.beats_to = None
        super().__init__(host, port)

    def handle(self, connection, method, target, headers, body):
        if target == "/health":
            connection.sendall(answer_bytes(
                200, "OK", [("Plantaintally-Instance-Id", self.instance)], b""))
            return True
        request = headers.get("plantaintally-request-id", "")
        expected = headers.get("plantaintally-expect-instance")
        if expected not in (None, self.instance):
            connection.sendall(answer_bytes(
                421, "Misdirected Request",
                [("Plantaintally-Request-Id", request)], b""))
            return True
        seconds, size = self.work(target)
        arrived = time.monotonic()
        run = {"id": request, "target": target, "arrived": arrived,
               "ended": None}
        with self.lock:
            self.runs.append(run)
        self.record(f"worker {self.service} {self.instance}: runs "
                    f"{method} {target} id={request} for {seconds:.2f} s")
        time.sleep(seconds)
        run["ended"] = time.monotonic()
        content = bytes(size)
        self.record(f"worker {self.service} {self.instance}: ends {target} "
                    f"id={request}, answers 200 with {size} bytes")
        connection.sendall(answer_bytes(
            200, "OK", [("Plantaintally-Request-Id", request),
                        ("Plantaintally-Server-Stamp", "1.0." + request),
                        ("Keep-Alive", "timeout=10")], content))
        return True

    def runs_of(self, request):
        with self.lock:
            return [run for run in self.runs if run["id"] == request]

    def beat(self, control, state="ready", sequence=None, zone="z-a"):
        """Sends one heartbeat to the control address; returns its status, or
        None without an answer."""
        if sequence is None:
            self.sequence += 1
            sequence = self.sequence
        body = json.dumps({
            "service": self.service, "address": self.address, "zone": zone,
            "version": "v1", "slots": 64, "state": state, "coldLeftMs": 0,
            "callSeq": sequence, "born": self.born}).encode()
        status = call_once(control, "PUT", f"/instances/{self.instance}", body)
        self.record(f"worker {self.service} {self.instance}: PUT state={state} "
                    f"callSeq={sequence} -> {status}")
        return status

    def leave(self, control):
        """Reports that it leaves with DELETE, without a body."""
        status = call_once(
            control, "DELETE", f"/instances/{self.instance}", None)
        self.record(f"worker {self.service} {self.instance}: DELETE -> "
                    f"{status}")
        return status

    def start_beats(self, control, interval=1.5):
        stop = threading.Event()

        def run():
            while not stop.is_set():
                self.beat(control)
                stop.wait(interval)

        threading.Thread(target=run, daemon=True).start()
        self.beats_to = stop

    def stop_beats(self):
        if self.beats_to:
            self.beats_to.set()


def call_once(address, method, target, body, timeout=1.0):
    """One call on a new connection; the status, or None without an answer."""
    host, port = address.rsplit(":", 1)
    try:
        with socket.create_connection((host, int(port)), timeout) as connection:
            connection.settimeout(timeout)
            head = f"{method} {target} HTTP/1.1\r\nHost: {address}\r\n"
            if body is not None:
                head += ("Content-Type: application/json\r\n"
                         f"Content-Length: {len(body)}\r\n")
            connection.sendall(head.encode() + b"\r\n" + (body or b""))
            first, _, _ = HttpReader(connection).read_message()
            return int(first.split(" ")[1])
    except (OSError, ConnectionEnded, ValueError):
        return None


# --- Settings and processes --------------------------------------------------


def look_up(scopes, name):
    for scope in scopes:
        value = scope
        for part in name.split("."):
            if isinstance(value, dict) and part in value:
                value = value[part]
            elif isinstance(value, list) and part.isdigit() and (
                    int(part) < len(value)):
                value = value[int(part)]
            else:
                value = None
                break
        if value is not None:
            return value
    return None


def as_text(value):
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return ",".join(as_text(each) for each in value)
    if isinstance(value, dict):
        return json.dumps(value)
    return str(value)


def render(template, scopes):
    """Fills in a template as DEPLOY.md tells."""
    def section(match):
        mark, name, inner = match.group(1), match.group(2), match.group(3)
        value = look_up(scopes, name)
        if mark == "^":
            return render(inner, scopes) if not value else ""
        if not value:
            return ""
        entries = value.values() if isinstance(value, dict) else (
            value if isinstance(value, list) else [None])
        texts = []
        for entry in entries:
            inner_scope = [entry] if isinstance(entry, dict) else []
            text = render(inner, inner_scope + scopes)
            texts.append(text.replace("{{.}}", as_text(entry)))
        return "".join(texts)

    text = re.sub(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", section, template,
                  flags=re.DOTALL)

    def value_of(match):
        value = look_up(scopes, match.group(1))
        return json.dumps(value) if match.group(2) else as_text(value)

    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value_of, text)


# First ports of the ranges that have been given out.
taken_ports = []


def free_ports(host, count):
    """Consecutive free ports at this address, not given out before."""
    while True:
        first = random.randrange(20000, 32000)
        if any(abs(first - taken) < count for taken in taken_ports):
            continue
        held = []
        try:
            for port in range(first, first + count):
                holder = socket.socket()
                held.append(holder)
                holder.bind((host, port))
            taken_ports.append(first)
            return first
        except OSError:
            continue
        finally:
            for holder in held:
                holder.close()


# The bounds of the deployments of 13 and 14 machines (SYSTEM.md, LATER.md).
SMALL_BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "stableWindowMs": 3000, "ackMs": 4000,
    "catchUpS": 4, "drainMs": 2000, "graceS": 6, "lossSlackMs": 200,
    "configApplyMs": 2000, "rollbackSlackMs": 250, "maxStretchMs": 5000,
    "budgetRatio": 0.2, "budgetWindowS": 10, "budgetExtra": 48,
    "recoverS": 15}
# Those of the grown deployments of 66 to 75 machines.
GROWN_BOUNDS = dict(
    SMALL_BOUNDS, ackMs=5000, catchUpS=6, drainMs=2500, configApplyMs=2500,
    budgetExtra=102)
# Those of rota-main-large.
LARGE_BOUNDS = dict(
    SMALL_BOUNDS, stableWindowMs=4000, ackMs=5000, catchUpS=6, drainMs=3000,
    graceS=10, configApplyMs=3000, maxStretchMs=6000, budgetExtra=124)


class Node:
    """A machine with the project's node process, started as the deploy file
    says, with the settings file rendered from the template."""

    def __init__(self, record, store, name, service, bounds, folder):
        self.record = record
        self.name = name
        self.folder = os.path.join(folder, name)
        os.makedirs(self.folder)
        host = "127.0.0.1"
        first = free_ports(host, 12)
        self.app_address = f"{host}:{first + 6}"
        self.outbound = f"{host}:{first + 4}"
        self.ready_address = f"{host}:{first + 2}"
        self.control = f"{host}:{first + 3}"
        self.process = None
        settings = {
            "self": {"nodeName": name, "role": "node", "machineClass": "side",
                     "serves": ["side"], "ip": host, "zone": "z-a",
                     "region": "z", "inTolerance": False, "firstStart": True,
                     "dataDir": None,
                     "limits": {"cpuShare": 0.4, "cores": 1, "memoryMb": 260,
                                "maxFds": 4100, "linkMbps": 1000.0,
                                "diskMb": 0},
                     "appAddr": self.app_address, "service": service},
            "network": {"listen": {"inbound": f"{host}:{first + 5}",
                                   "outbound": self.outbound,
                                   "ready": self.ready_address,
                                   "control": self.control},
                        "portRange": [first, first + 11], "seeds": [],
                        "zones": {"z-a": "z"}},
            "platform": {"discovery": "local", "entry": "local",
                         "heartbeatMs": 1500,
                         "platform": {"address": store.address, "form": "kv",
                                      "writesPerS": 400, "readsPerS": 2000,
                                      "historyS": 20, "valueBytes": 1048576,
                                      "ttlMinMs": 1000}},
            "terms": {"contracts": ["base", "drain", "config", "cost", "retry",
                                    "recover", "pressure", "platform"],
                      "faultTolerance": {"machines": 2, "zones": 0,
                                         "regions": 0},
                      "bounds": bounds}}
        with open(os.path.join(REPOSITORY, "deploy", "system.toml"),
                  "rb") as file:
            roles = tomllib.load(file)["roles"]
        role = next(iter(roles.values()))
        self.settings_path = os.path.join(self.folder, "settings")
        if "template" in role:
            with open(os.path.join(REPOSITORY, role["template"]),
                      encoding="utf-8") as file:
                text = render(file.read(), [settings["self"],
                                            settings["network"],
                                            settings["platform"],
                                            settings["terms"], settings])
        else:
            text = json.dumps(settings)
        with open(self.settings_path, "w", encoding="utf-8") as file:
            file.write(text)
        self.command = role["run"].split(" ")

    def start(self):
        environment = {name: value for name, value in os.environ.items()
                       if name in ("PATH", "HOME", "LANG")}
        environment["PLANTAINTALLY_CONFIG"] = self.settings_path
        log = open(os.path.join(self.folder, "log"), "ab")
        self.process = subprocess.Popen(
            [os.path.join(REPOSITORY, self.command[0])] + self.command[1:],
            cwd=REPOSITORY, env=environment, stdout=log, stderr=log,
            stdin=subprocess.DEVNULL)
        log.close()
        self.record(f"node {self.name}: process started")

    def is_ready(self):
        return call_once(self.ready_address, "GET", "/ready", None) == 200

    def signal(self, number):
        self.record(f"node {self.name}: {signal.Signals(number).name}")
        self.process.send_signal(number)

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
        if self.process:
            self.process.wait()


class Deployment:
    """A store and nodes, ended together."""

    def __init__(self, record):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store = Store(record)
        self.nodes = []
        self.servers = [self.store]

    def add(self, name, service, work, bounds=SMALL_BOUNDS,
            worker_type=Worker):
        node = Node(self.record, self.store, name, service, bounds,
                    self.folder)
        host, port = node.app_address.rsplit(":", 1)
        worker = worker_type(self.record, host, int(port), service, work)
        self.nodes.append(node)
        self.servers.append(worker)
        return node, worker

    def end(self):
        for node in self.nodes:
            node.end()
        for server in self.servers:
            if isinstance(server, Worker):
                server.stop_beats()
            server.stop()
        shutil.rmtree(self.folder, ignore_errors=True)


def wait_until(condition, seconds, what):
    ends = time.monotonic() + seconds
    while time.monotonic() < ends:
        if condition():
            return
        time.sleep(0.05)
    raise TimeoutError("not reached: " + what)


def new_id():
    return "%016x" % random.getrandbits(64)


def request_bytes(method, target, request, deadline_ms, body=b""):
    head = (f"{method} {target} HTTP/1.1\r\nHost: work.example\r\n"
            f"Plantaintally-Request-Id: {request}\r\n"
            f"Plantaintally-Deadline-Ms: {deadline_ms}\r\n")
    if body or method not in ("GET", "HEAD", "DELETE"):
        head += f"Content-Length: {len(body)}\r\n"
    return head.encode() + b"\r\n" + body


def connect(address, timeout=10.0, has_small_window=False):
    """Opens a connection. DEPLOY.md says of the links: "small windows, so a peer
    that does not read blocks the writer"; with a small window and segments of
    Ethernet's size a writer here is blocked after about 40 KB."""
    host, port = address.rsplit(":", 1)
    connection = socket.socket()
    if has_small_window:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2304)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1448)
    connection.settimeout(timeout)
    connection.connect((host, int(port)))
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return connection


def ask(record, address, method, target, deadline_ms, timeout=10.0):
    """Sends one request on a new connection. Returns its id and the status, or
    None if the connection ended without a complete answer."""
    request = new_id()
    record(f"client: sends {method} {target} id={request}")
    try:
        with connect(address, timeout) as connection:
            connection.sendall(request_bytes(
                method, target, request, deadline_ms, b"x" * 64
                if method == "POST" else b""))
            first, headers, _ = HttpReader(connection).read_message()
        status = int(first.split(" ")[1])
        stamp = headers.get("plantaintally-server-stamp", "none")
        record(f"client: id={request} is answered {status}, stamp {stamp}")
        return request, status
    except (ConnectionEnded, OSError) as cause:
        record(f"client: id={request} ends without a complete answer: {cause}")
        return request, None


def await_service(record, deployment, address, target, seconds=20.0):
    """Waits until the nodes are ready and requests are served."""
    wait_until(lambda: all(node.is_ready() for node in deployment.nodes),
               seconds, "nodes ready")
    wait_until(lambda: ask(record, address, "GET", target, 2000)[1] == 200,
               seconds, "service reached through " + address)


def end_at_time_limit(*_):
    raise TimeoutError("the time limit of the script")


def run_case(play, folder):
    """Runs a case and exits with 0 (held), 1 (broken) or 2 (could not run)."""
    record = Record(os.path.join(folder, "record.txt"))
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    deployment = Deployment(record)
    signal.signal(signal.SIGTERM, end_at_time_limit)
    try:
        faults = play(record, deployment, has_trouble)
    except Exception as cause:  # reported as "could not run"
        record(f"could not run: {type(cause).__name__}: {cause}")
        print(f"could not run: {type(cause).__name__}: {cause}")
        return 2
    finally:
        deployment.end()
    for fault in faults:
        record("BROKEN " + fault)
        print("broken: " + fault)
    if not faults:
        record("HELD")
        print("held")
    return 1 if faults else 0
