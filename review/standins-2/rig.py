"""Stand-ins for the scripts of this review: platform store, backends, clients and a supervisor.

They speak what PROTOCOL.md and DEPLOY.md describe, on loopback addresses and the real clock, and
need Python 3.9 or later and nothing else. The sidecars are the project's own program, started with
the command of deploy/system.toml.
"""

import asyncio
import hashlib
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
from urllib.parse import unquote

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "release", "wharfquay-adapter")
HOST = "hulo84.example"
CONTACT_S = 3.0


class CannotRun(Exception):
    """The case could not be run; says nothing about the product."""


class Record:
    """Writes what was sent, answered and run to record.txt, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def note(self, who, what):
        self.file.write(f"{self.now():8.3f} {who:<14} {what}\n")
        self.file.flush()


def free_prefix():
    """Returns a loopback prefix a.b.c. whose first addresses are free at the ports used here."""
    for _ in range(200):
        prefix = f"127.{random.randint(40, 220)}.{random.randint(1, 250)}."
        try:
            for machine in (1, 2, 3, 4, 9):
                for port in (8300, 8301, 8302, 8304, 8306, 8309, 7620, 7621):
                    with socket.socket() as probe:
                        probe.bind((prefix + str(machine), port))
            return prefix
        except OSError:
            continue
    raise CannotRun("no free loopback addresses")


async def read_head(reader):
    """Reads one HTTP head. Returns the first line and the headers, or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


# ---------------------------------------------------------------------------------------- store


class Connection:
    """An open connection to the store. Once silent, it says nothing more."""

    def __init__(self):
        self.silent = False


class Store:
    """The platform's metadata store: linearizable, with watches."""

    def __init__(self, record, address):
        self.record = record
        self.address = address
        self.objects = {}
        self.revision = 1
        self.changes = []
        self.changed = asyncio.Event()
        self.connections = set()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.address)

    def write(self, kind, name, spec):
        self.revision += 1
        known = self.objects.setdefault(kind, {})
        made = known[name]["Metadata"]["made"] if name in known else self.revision
        known[name] = {
            "Metadata": {"Name": name, "Rev": self.revision, "made": made, "finalizers": [], "deleting": False},
            "Spec": spec,
            "Status": None,
        }
        self.changes.append((self.revision, kind, known[name]))
        self.changed.set()
        self.changed = asyncio.Event()
        return known[name]

    def configure(self, spec):
        self.write("config", "main", spec)
        self.record.note("operator", f"version {spec['Version']} acknowledged")

    def silence_open_connections(self):
        """Open connections go silent for good, without a reset; new ones work."""
        for connection in self.connections:
            connection.silent = True
        self.record.note("store", f"{len(self.connections)} open connections are silent from now on")

    async def serve(self, reader, writer):
        connection = Connection()
        self.connections.add(connection)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                length = int(head[1].get("content-length", "0"))
                body = await reader.readexactly(length) if length else b""
                if connection.silent:
                    continue
                status, answer = await self.perform(head[0], body)
                if connection.silent:
                    continue
                text = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(text)}\r\n\r\n".encode() + text
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(connection)
            writer.close()

    async def perform(self, line, body):
        method, target, _ = line.split(" ", 2)
        path, _, query = target.partition("?")
        query = dict(part.split("=", 1) for part in query.split("&") if "=" in part)
        parts = [unquote(part) for part in path.split("/") if part]
        if parts[:2] != ["api", "objects"] or len(parts) < 3:
            return 404, {}
        kind, name = parts[2], parts[3] if len(parts) > 3 else None
        known = self.objects.setdefault(kind, {})
        if method == "GET" and name is None and "watch" in query:
            return await self.watch(kind, int(query["watch"]), int(query.get("WaitMs", "0")))
        if method == "GET" and name is None:
            names = sorted(each for each in known if each > unquote(query.get("after", "")))
            items = [known[each] for each in names[:500]]
            return 200, {"items": items, "more": len(names) > 500, "at": self.revision}
        if method == "GET":
            return (200, known[name]) if name in known else (404, {})
        if method == "DELETE":
            return (200, known.pop(name)) if name in known else (404, {})
        sent = json.loads(body)
        if method == "POST":
            name = sent["Metadata"]["Name"]
            return (409, known[name]) if name in known else (200, self.write(kind, name, sent.get("Spec")))
        if method == "PUT" and name in known:
            if sent["Metadata"].get("Rev") not in (None, known[name]["Metadata"]["Rev"]):
                return 409, known[name]
            return 200, self.write(kind, name, sent.get("Spec"))
        return 404, {}

    async def watch(self, kind, since, wait_ms):
        end = time.monotonic() + wait_ms / 1000
        while True:
            changed = self.changed
            events = [{"object": o, "gone": False} for (rev, k, o) in self.changes if k == kind and rev > since]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass


def configuration(version, routes, services, limits=None):
    """routes: (name, prefix, kind, timeout_ms, service); services: names."""
    return {
        "Version": f"{version:08x}",
        "Routes": {
            "Columns": ["Name", "Host", "PathPrefix", "RouteType", "TimeoutMs", "TargetLatencyMs",
                        "Priority", "Service", "MaxAttempts", "Split"],
            "Rows": [[name, HOST, prefix, kind, timeout, 1500, 1, service, 2, None]
                     for (name, prefix, kind, timeout, service) in routes],
        },
        "Services": {
            "Columns": ["Name", "HealthPath", "MaxConns", "Protocol", "Tls"],
            "Rows": [[name, "/healthz", 952, "h1", False] for name in services],
        },
        "Limits": limits or {"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864,
                             "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
    }


# -------------------------------------------------------------------------------------- backend


def signature(request_id, body):
    return hashlib.sha256(request_id.encode() + body).hexdigest()[:24]


class Backend:
    """A backend with one instance. Paths decide what it does: see `execute`.

    /PREFIX/size-N    answers with N bytes
    /PREFIX/work-S    reads the whole body, then works for S seconds
    /PREFIX/pause-S   reads a part of the body, then nothing for S seconds, then the rest
    """

    def __init__(self, record, machine, service, receive_buffer=None, slots=142):
        self.record = record
        self.slots = slots
        self.machine = machine
        self.service = service
        self.id = f"i-{random.getrandbits(32):08x}"
        self.receive_buffer = receive_buffer
        self.sequence = 0
        self.arrived = {}
        self.completed = {}
        self.broken_off = {}
        self.tasks = []
        self.acknowledged = asyncio.Event()

    async def start(self):
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if self.receive_buffer:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_buffer)
        listener.bind((self.machine.ip, 8301))
        listener.listen(256)
        listener.setblocking(False)
        self.tasks.append(asyncio.ensure_future(self.accept(listener)))
        self.tasks.append(asyncio.ensure_future(self.beat()))

    async def accept(self, listener):
        loop = asyncio.get_running_loop()
        while True:
            stream, _ = await loop.sock_accept(listener)
            stream.setblocking(False)
            asyncio.ensure_future(self.serve(stream))

    async def beat(self):
        while True:
            self.sequence += 1
            body = {
                "Service": self.service, "Address": f"{self.machine.ip}:8301", "Zone": self.machine.zone,
                "Version": "v1", "Slots": self.slots, "State": "ready", "ColdLeftMs": 0, "CallSeq": self.sequence,
            }
            status = await control_call(self.machine, f"call=instances.heartbeat&of={self.id}", body)
            if status is not None and 200 <= status < 300:
                self.acknowledged.set()
                await asyncio.sleep(1.5)
            else:
                await asyncio.sleep(0.3)

    async def serve(self, stream):
        """Serves one connection, one request at a time."""
        loop = asyncio.get_running_loop()
        buffer = b""
        try:
            while True:
                while b"\r\n\r\n" not in buffer:
                    piece = await loop.sock_recv(stream, 16384)
                    if not piece:
                        return
                    buffer += piece
                head, buffer = buffer.split(b"\r\n\r\n", 1)
                lines = head.decode("latin-1").split("\r\n")
                headers = {}
                for line in lines[1:]:
                    name, value = line.split(":", 1)
                    headers[name.strip().lower()] = value.strip()
                method, path, _ = lines[0].split(" ", 2)
                if path == "/healthz":
                    answer = f"HTTP/1.1 200 OK\r\nX-Wharfquay-Instance-Id: {self.id}\r\nContent-Length: 0\r\n\r\n"
                    await loop.sock_sendall(stream, answer.encode())
                    continue
                if headers.get("x-wharfquay-target-instance", self.id) != self.id:
                    answer = (f"HTTP/1.1 421 Misdirected Request\r\nX-Wharfquay-Instance-Id: {self.id}\r\n"
                              f"X-Wharfquay-Request-Id: {headers.get('x-wharfquay-request-id')}\r\n"
                              "Content-Length: 0\r\nConnection: close\r\n\r\n")
                    await loop.sock_sendall(stream, answer.encode())
                    return
                buffer = await self.execute(stream, method, path, headers, buffer)
        except (ConnectionError, OSError):
            pass
        finally:
            stream.close()

    async def execute(self, stream, method, path, headers, buffer):
        loop = asyncio.get_running_loop()
        request = headers["x-wharfquay-request-id"]
        who = f"backend {self.machine.number}"
        self.arrived[request] = self.record.now()
        self.record.note(who, f"{self.service} runs {request} {method} {path} deadline_ms="
                              f"{headers.get('x-wharfquay-deadline-ms')} length={headers.get('content-length')}")
        length = int(headers.get("content-length", "0"))
        received = hashlib.sha256()
        left = length
        pause = float(path.rsplit("pause-", 1)[1]) if "pause-" in path else 0.0
        work = float(path.rsplit("work-", 1)[1]) if "work-" in path else 0.0
        try:
            while left > 0:
                if not buffer:
                    buffer = await loop.sock_recv(stream, 4096)
                    if not buffer:
                        raise ConnectionError("end of input within the body")
                part, buffer = buffer[:left], buffer[left:]
                received.update(part)
                left -= len(part)
                if pause:
                    self.record.note(who, f"has read {length - left} of {length} bytes of {request}, reads on in {pause} s")
                    await asyncio.sleep(pause)
                    pause = 0.0
            if work:
                self.record.note(who, f"has read all {length} bytes of {request}, works for {work} s")
                await asyncio.sleep(work)
            size = int(path.rsplit("size-", 1)[1]) if "size-" in path else 600
            body = hashlib.sha256(request.encode()).digest() * (size // 32 + 1)
            body = body[:size]
            answer = (f"HTTP/1.1 200 OK\r\nX-Wharfquay-Request-Id: {request}\r\n"
                      f"X-Wharfquay-Response-Signature: {signature(request, body)}\r\n"
                      f"X-Wharfquay-Instance-Id: {self.id}\r\n"
                      f"X-Body: {received.hexdigest()[:16]}\r\nContent-Length: {size}\r\n\r\n")
            await loop.sock_sendall(stream, answer.encode() + body)
            self.completed[request] = self.record.now()
            self.record.note(who, f"has sent the whole answer to {request}, {size} bytes")
            return buffer
        except (ConnectionError, OSError) as error:
            self.broken_off[request] = self.record.now()
            self.record.note(who, f"connection of {request} ended by the sidecar after "
                                  f"{length - left} of {length} bytes were read: {error!r}")
            raise


async def control_call(machine, query, body):
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(machine.ip, 8306), 0.5)
    except (OSError, asyncio.TimeoutError):
        return None
    try:
        text = json.dumps(body).encode()
        writer.write(
            f"POST /api/rpc?{query} HTTP/1.1\r\nHost: {machine.ip}:8306\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(text)}\r\n\r\n".encode() + text
        )
        head = await asyncio.wait_for(read_head(reader), 1.0)
        return int(head[0].split(" ")[1]) if head else None
    except (OSError, asyncio.TimeoutError):
        return None
    finally:
        writer.close()


# -------------------------------------------------------------------------------------- machines


class Machine:
    """One machine: its settings file and its sidecar process."""

    def __init__(self, record, folder, number, ip, zone, service, store, bounds=""):
        self.record, self.number, self.ip, self.zone, self.service = record, number, ip, zone, service
        self.settings = os.path.join(folder, f"machine-{number}.conf")
        self.log = os.path.join(folder, f"machine-{number}.log")
        self.process = None
        self.store = store
        self.bounds = bounds
        self.write_settings(first_start=True)

    def write_settings(self, first_start):
        ip = self.ip
        lines = [
            f"NodeName=sidecar-{self.zone}-{self.number}", "Role=sidecar-daemon", "MachineClass=sidecar",
            "Serves=sidecar", f"Ip={ip}", f"Zone={self.zone}", "Region=guj-west",
            f"Listen.Inbound={ip}:8300", f"Listen.Outbound={ip}:8304", f"Listen.Ready={ip}:8302",
            f"Listen.Control={ip}:8306", "PortRange=7620,7635", "Seeds=",
            f"Bootstrap={'true' if first_start else 'false'}", "CountsAsLoss=false", "Limits.CpuShare=0.4",
            "Limits.Cpus=1", "Limits.MemoryMb=260", "Limits.MaxFds=4100", "HeartbeatMs=1500",
            "Contracts=base,drain,config,cost,retry,recover,pressure,platform",
            "Bounds=SeedLagS=3,ReuseAfterS=2,ContactMs=3000,AckMs=4000,CatchUpS=4,DrainMs=2000,GraceS=6,"
            "LossSlackMs=200,ConfigApplyMs=2000,BackMs=250,MaxSkewMs=5000,RetryBudget=0.2,BudgetWindowS=10,"
            "BudgetExtra=55,RecoveryS=15" + self.bounds,
            f"AppAddr={ip}:8301", f"Service={self.service}",
            f"Provider.Address={self.store[0]}:{self.store[1]}", "Provider.form=objects",
            "Provider.writes_per_s=400", "Provider.reads_per_s=2000", "Provider.HistoryS=20",
            "Provider.value_bytes=1048576",
        ]
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write("\n".join(lines) + "\n")

    async def start(self):
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                PROGRAM, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log, cwd=ROOT,
                env={"WHARFQUAY_BOOT": self.settings, "PATH": os.environ.get("PATH", "")},
            )
        self.record.note(f"sidecar {self.number}", f"started for service {self.service} in zone {self.zone}")

    def signal(self, number):
        self.record.note(f"sidecar {self.number}", f"gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(self.ip, 8302), 0.5)
        except (OSError, asyncio.TimeoutError):
            return False
        try:
            writer.write(b"GET /api/readyz HTTP/1.1\r\nHost: ready\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 0.5)
            return bool(head) and " 200 " in head[0] + " "
        except (OSError, asyncio.TimeoutError):
            return False
        finally:
            writer.close()


class Deployment:
    def __init__(self, record):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="wharfquay-review-")
        self.prefix = free_prefix()
        self.store = Store(record, (self.prefix + "9", 8309))
        self.machines = []
        self.backends = []

    async def start(self, layout, first_configuration, receive_buffer=None):
        """layout: (zone, service) of each machine."""
        if not os.path.exists(PROGRAM):
            raise CannotRun("the sidecar is not built")
        await self.store.start()
        self.store.configure(first_configuration)
        for number, (zone, service) in enumerate(layout, 1):
            machine = Machine(self.record, self.folder, number, self.prefix + str(number), zone, service,
                              self.store.address)
            self.machines.append(machine)
            await machine.start()
            backend = Backend(self.record, machine, service, receive_buffer)
            self.backends.append(backend)
            await backend.start()
        deadline = time.monotonic() + 20
        while time.monotonic() < deadline:
            ready = [await machine.is_ready() for machine in self.machines]
            if all(ready) and all(backend.acknowledged.is_set() for backend in self.backends):
                return
            await asyncio.sleep(0.1)
        raise CannotRun("the deployment did not become ready")

    async def warm_up(self, paths, seconds=20):
        """Waits until each path is served from each machine."""
        end = time.monotonic() + seconds
        for machine in self.machines:
            for method, path in paths:
                while True:
                    answer = await Client(self.record, machine).exchange(method, path, quiet=True)
                    if answer.status == 200:
                        break
                    if time.monotonic() > end:
                        raise CannotRun(f"{path} is not served at machine {machine.number}: {answer.status}")
                    await asyncio.sleep(0.1)

    async def stop(self):
        for machine in self.machines:
            if machine.process and machine.process.returncode is None:
                machine.process.kill()
                await machine.process.wait()
        for backend in self.backends:
            for task in backend.tasks:
                task.cancel()
        for machine in self.machines:
            try:
                with open(machine.log, encoding="utf-8", errors="replace") as log:
                    lines = [line for line in log if "request_cut" in line or "call_cut" in line
                             or "panick" in line or "event=stop" in line]
                for line in lines[:40]:
                    self.record.note(f"log {machine.number}", line.strip()[:300])
            except OSError:
                pass
        shutil.rmtree(self.folder, ignore_errors=True)


# --------------------------------------------------------------------------------------- clients


class Answer:
    def __init__(self, status=None, headers=None, body=b"", whole=False, problem=None, end=0.0):
        self.status, self.headers, self.body = status, headers or {}, body
        self.whole, self.problem, self.end = whole, problem, end

    def is_good(self, request):
        return (self.status == 200 and self.whole
                and self.headers.get("x-wharfquay-response-signature") == signature(request, self.body))

    def __str__(self):
        if self.status is None:
            return f"no answer: {self.problem}"
        state = "whole" if self.whole else f"cut short: {self.problem}"
        return f"{self.status}, {len(self.body)} bytes, {state}"


class Client:
    """A client on one connection, which is kept for several requests."""

    def __init__(self, record, machine, receive_buffer=None):
        self.record, self.machine, self.receive_buffer = record, machine, receive_buffer
        self.stream = None
        self.buffer = b""

    async def connect(self):
        loop = asyncio.get_running_loop()
        self.stream = socket.socket()
        if self.receive_buffer:
            self.stream.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_buffer)
        self.stream.setblocking(False)
        await asyncio.wait_for(loop.sock_connect(self.stream, (self.machine.ip, 8304)), 1.0)

    def close(self):
        if self.stream:
            self.stream.close()
            self.stream = None
        self.buffer = b""

    async def exchange(self, method, path, body=b"", deadline_ms=5000, pause=None, quiet=False, request=None):
        """Sends one request and reads its answer. `pause` = (bytes, seconds): reads so many bytes of the
        answer, then nothing for so long, then the rest."""
        request = request or f"{random.getrandbits(64):016x}"
        end = time.monotonic() + deadline_ms / 1000
        who = f"client {self.machine.number}"
        try:
            if self.stream is None:
                await self.connect()
            if not quiet:
                self.record.note(who, f"sends {request} {method} {path} with {len(body)} bytes, deadline {deadline_ms} ms")
            answer = await asyncio.wait_for(
                self.talk(method, path, body, deadline_ms, pause, request), max(0.01, end - time.monotonic()))
        except asyncio.TimeoutError:
            answer = Answer(problem="the client's deadline passed")
        except OSError as error:
            answer = Answer(problem=repr(error))
        answer.end = self.record.now()
        answer.request = request
        if not answer.whole or answer.headers.get("connection", "").lower() == "close":
            self.close()
        if not quiet:
            self.record.note(who, f"{request} ends: {answer}")
        return answer

    async def talk(self, method, path, body, deadline_ms, pause, request):
        loop = asyncio.get_running_loop()
        head = (f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Wharfquay-Request-Id: {request}\r\n"
                f"X-Wharfquay-Deadline-Ms: {deadline_ms}\r\n")
        if body:
            head += f"Content-Length: {len(body)}\r\n"
        sending = asyncio.ensure_future(loop.sock_sendall(self.stream, (head + "\r\n").encode() + body))
        try:
            return await self.read_answer(pause)
        finally:
            if not sending.done():
                sending.cancel()
            try:
                await sending
            except (asyncio.CancelledError, OSError):
                pass

    async def receive(self):
        piece = await asyncio.get_running_loop().sock_recv(self.stream, 262144)
        self.buffer += piece
        return bool(piece)

    async def read_answer(self, pause):
        try:
            while b"\r\n\r\n" not in self.buffer:
                if not await self.receive():
                    return Answer(problem="the connection was closed")
        except OSError as error:
            return Answer(problem=repr(error))
        head, rest = self.buffer.split(b"\r\n\r\n", 1)
        self.buffer = b""
        lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
        answer = Answer(int(lines[0].split(" ")[1]), headers)
        chunked = headers.get("transfer-encoding", "").lower() == "chunked"
        parts, total, raw = [], 0, bytearray(rest)
        length = int(headers.get("content-length", "0"))
        state = {"left": 0, "last": False, "done": False}

        def decode():
            nonlocal total
            if not chunked:
                take = bytes(raw[: length - total])
                del raw[: len(take)]
                parts.append(take)
                total += len(take)
                state["done"] = total >= length
                return
            while raw:
                if state["left"] == 0 and not state["last"]:
                    at = raw.find(b"\r\n")
                    if at < 0:
                        return
                    if at == 0:
                        # The end of the chunk before.
                        del raw[:2]
                        continue
                    state["left"] = int(bytes(raw[:at]).split(b";")[0], 16)
                    del raw[: at + 2]
                    if state["left"] == 0:
                        state["last"] = True
                if state["last"]:
                    if len(raw) >= 2:
                        del raw[:2]
                        state["done"] = True
                    return
                take = bytes(raw[: state["left"]])
                del raw[: len(take)]
                parts.append(take)
                total += len(take)
                state["left"] -= len(take)
                if state["left"] == 0 and len(raw) < 2:
                    return

        try:
            decode()
            while not state["done"]:
                if pause and total >= pause[0]:
                    self.record.note(f"client {self.machine.number}", f"has read {total} bytes, reads on in {pause[1]} s")
                    await asyncio.sleep(pause[1])
                    pause = None
                if not await self.receive():
                    answer.problem = "the connection was closed within the body"
                    break
                raw += self.buffer
                self.buffer = b""
                decode()
        except OSError as error:
            answer.problem = repr(error)
        # What follows belongs to the next answer on this connection.
        self.buffer = bytes(raw)
        answer.body = b"".join(parts)
        answer.whole = state["done"]
        return answer


# ------------------------------------------------------------------------------------------- run


def main(case, folder):
    """Runs `case(record, deployment, trouble)`, which returns the list of broken promises."""
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.note("script", f"TROUBLE={int(trouble)}")

    async def run():
        deployment = Deployment(record)
        try:
            return await asyncio.wait_for(case(record, deployment, trouble), 100)
        finally:
            await deployment.stop()

    try:
        broken = asyncio.run(run())
    except (CannotRun, asyncio.TimeoutError, OSError) as error:
        record.note("script", f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        sys.exit(2)
    for line in broken:
        record.note("script", f"BROKEN {line}")
        print(f"BROKEN {line}")
    result = "the rule was broken" if broken else "the rule held"
    record.note("script", result)
    print(result)
    sys.exit(1 if broken else 0)
