"""Stand-ins for one small deployment: store, backends, operator, clients, sidecar processes.

Only the standard library is used. All sockets are bound to addresses of 127.0.0.0/8.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
ADAPTER = os.path.join(ROOT, "target", "release", "wharfquay-adapter")
START = time.monotonic()


def now():
    """Seconds since the start of the script."""
    return time.monotonic() - START


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")

    def write(self, text):
        self.file.write(f"{now():9.3f} {text}\n")
        self.file.flush()


class CannotRun(Exception):
    """The case could not be set up."""


async def read_head(reader):
    """Returns the start line and the headers (names in lower case) of a message."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Returns the whole body of a request."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += data[:-2]
    return await reader.readexactly(int(headers.get("content-length", "0")))


def message(start, headers, body=b""):
    """Encodes a message with a length."""
    lines = [start] + [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def read_answer(reader):
    """Returns status, headers and body of an answer; raises if it is not complete."""
    start, headers = await read_head(reader)
    status = int(start.split(" ")[1])
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            line = await reader.readline()
            if not line.endswith(b"\r\n"):
                raise asyncio.IncompleteReadError(line, None)
            size = int(line.split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                return status, headers, body
            body += data[:-2]
    return status, headers, await reader.readexactly(int(headers.get("content-length", "0")))


class Store:
    """The platform's metadata store: linearizable, one revision counter, watches."""

    def __init__(self, address, record):
        self.address = address
        self.record = record
        self.revision = 1
        self.kinds = {}
        self.history = []
        self.changed = asyncio.Condition()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.address)

    async def change(self, kind, name, value, gone=False):
        async with self.changed:
            self.revision += 1
            if gone:
                self.kinds.get(kind, {}).pop(name, None)
            else:
                value["Metadata"]["Rev"] = self.revision
                self.kinds.setdefault(kind, {})[name] = value
            self.history.append((self.revision, kind, json.loads(json.dumps(value)), gone))
            self.changed.notify_all()

    async def put_configuration(self, spec):
        value = {"Metadata": {"Name": "main"}, "Spec": spec, "Status": None}
        await self.change("config", "main", value)
        self.record.write(f"operator: configuration {spec['Version']} acknowledged")

    async def serve(self, reader, writer):
        try:
            while True:
                start, headers = await read_head(reader)
                body = await read_body(reader, headers)
                await asyncio.sleep(0.004)
                method, target, _ = start.split(" ")
                status, answer = await self.answer(method, target, body)
                data = json.dumps(answer).encode()
                head = {"Content-Type": "application/json"}
                writer.write(message(f"HTTP/1.1 {status} X", head, data))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, body):
        url = urlsplit(target)
        parts = [unquote(part) for part in url.path.split("/")[3:]]
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        kind = parts[0]
        objects = self.kinds.setdefault(kind, {})
        name = parts[1] if len(parts) > 1 else None
        if method == "GET" and name:
            return (200, objects[name]) if name in objects else (404, {})
        if method == "GET" and "watch" in query:
            return await self.watch(kind, int(query["watch"]), int(query.get("WaitMs", "0")))
        if method == "GET":
            items = [objects[key] for key in sorted(objects) if key > query.get("after", "")]
            return 200, {"items": items, "more": False, "at": self.revision}
        if method == "DELETE":
            if name not in objects:
                return 404, {}
            await self.change(kind, name, objects[name], gone=True)
            return 200, {}
        value = json.loads(body)
        name = name or value["Metadata"]["Name"]
        found = objects.get(name)
        if method == "POST":
            if found:
                return 409, found
        else:
            if not found:
                return 404, {}
            wanted = value["Metadata"].get("Rev")
            if wanted is not None and wanted != found["Metadata"]["Rev"]:
                return 409, found
        stored = {"Metadata": {"Name": name}, "Spec": value.get("Spec"), "Status": None}
        await self.change(kind, name, stored)
        return 200, stored

    async def watch(self, kind, position, wait_ms):
        def events():
            return [
                {"object": value, "gone": gone}
                for revision, of, value, gone in self.history
                if of == kind and revision > position
            ]

        async with self.changed:
            try:
                waiting = self.changed.wait_for(lambda: bool(events()))
                await asyncio.wait_for(waiting, wait_ms / 1000)
            except asyncio.TimeoutError:
                pass
            return 200, {"events": events(), "at": self.revision}


class Backend:
    """One application backend. `work` is called for each request and returns seconds and body."""

    serial = 0

    def __init__(self, machine, record, work, slots=40):
        Backend.serial += 1
        self.id = f"i-{Backend.serial:04x}{random.randrange(1 << 16):04x}"
        self.machine = machine
        self.record = record
        self.work = work
        self.slots = slots
        self.state = "ready"
        self.sequence = 0
        self.runs = []
        self.beating = None
        self.server = None
        self.connections = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.machine.app)
        self.record.write(f"backend {self.id} of {self.machine.service} starts on {self.machine.name}")
        self.beating = asyncio.create_task(self.beat_always())

    async def call(self, call, body):
        target = f"/api/rpc?call={call}&of={self.id}"
        data = json.dumps(body).encode() if body is not None else b""
        head = {"Host": "control", "Content-Type": "application/json"}
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(*self.machine.control)
                try:
                    writer.write(message(f"POST {target} HTTP/1.1", head, data))
                    status, _, _ = await read_answer(reader)
                    return 200 <= status < 300
                finally:
                    writer.close()
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            return False

    async def beat(self):
        self.sequence += 1
        state = self.state
        acknowledged = await self.call(
            "instances.heartbeat",
            {
                "Service": self.machine.service,
                "Address": f"{self.machine.app[0]}:{self.machine.app[1]}",
                "Zone": self.machine.zone,
                "Version": "v1",
                "Slots": self.slots,
                "State": state,
                "ColdLeftMs": 0,
                "CallSeq": self.sequence,
            },
        )
        self.record.write(f"backend {self.id}: heartbeat {state} acknowledged={acknowledged}")
        return acknowledged

    async def beat_always(self):
        while True:
            acknowledged = await self.beat()
            await asyncio.sleep(1.5 if acknowledged else 0.3)

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                start, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = start.split(" ")
                if target == "/healthz":
                    status = 200 if self.state == "ready" else 503
                    writer.write(message(f"HTTP/1.1 {status} X", {"X-Wharfquay-Instance-Id": self.id}))
                    await writer.drain()
                    continue
                wanted = headers.get("x-wharfquay-target-instance", self.id)
                request = headers["x-wharfquay-request-id"]
                if wanted != self.id:
                    self.record.write(f"backend {self.id}: 421 to {request}")
                    head = {"X-Wharfquay-Request-Id": request, "X-Wharfquay-Instance-Id": self.id}
                    writer.write(message("HTTP/1.1 421 Misdirected Request", head))
                    await writer.drain()
                    continue
                await self.run(method, target, headers, body, request, reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def run(self, method, target, headers, body, request, reader, writer):
        entry = {"id": request, "at": now(), "method": method, "target": target, "body": body,
                 "headers": headers, "end": None}
        self.runs.append(entry)
        self.record.write(f"backend {self.id}: runs {request} {method} {target}"
                          f" deadline_ms={headers.get('x-wharfquay-deadline-ms')}")
        seconds, answer = self.work(entry)
        # Most backends drop a request when its connection closes.
        gone = asyncio.create_task(reader.read(1))
        working = asyncio.create_task(asyncio.sleep(seconds))
        done, _ = await asyncio.wait({gone, working}, return_when=asyncio.FIRST_COMPLETED)
        if gone in done:
            working.cancel()
            entry["end"] = "dropped"
            self.record.write(f"backend {self.id}: connection of {request} closed while at work")
            raise ConnectionResetError
        gone.cancel()
        try:
            await gone
        except asyncio.CancelledError:
            pass
        entry["end"] = "answered"
        self.record.write(f"backend {self.id}: answers {request}")
        head = {"X-Wharfquay-Request-Id": request, "X-Wharfquay-Response-Signature": f"s.{request}"}
        writer.write(message("HTTP/1.1 200 OK", head, answer))
        await writer.drain()

    def stop(self):
        if self.beating:
            self.beating.cancel()
        if self.server:
            self.server.close()
        for writer in list(self.connections):
            writer.close()


class Machine:
    """One `sidecar` machine: its addresses, settings file and sidecar process."""

    def __init__(self, deployment, number, service, zone):
        self.deployment = deployment
        self.number = number
        self.service = service
        self.zone = zone
        self.name = f"sidecar-{zone}-{number}"
        self.ip = f"{deployment.prefix}.{10 + number}"
        self.inbound = (self.ip, 8300)
        self.app = (self.ip, 8301)
        self.ready = (self.ip, 8302)
        self.outbound = (self.ip, 8304)
        self.control = (self.ip, 8306)
        self.process = None
        self.settings = os.path.join(deployment.folder, f"{self.name}.conf")
        self.log = os.path.join(deployment.folder, f"{self.name}.log")

    def write_settings(self, bootstrap):
        at = lambda address: f"{address[0]}:{address[1]}"
        store = self.deployment.store.address
        lines = {
            "NodeName": self.name, "Role": "sidecar-daemon", "MachineClass": "sidecar",
            "Serves": "sidecar", "Ip": self.ip, "Zone": self.zone, "Region": "lagos",
            "Zones.ikeja": "lagos", "Zones.yaba": "lagos",
            "Listen.Inbound": at(self.inbound), "Listen.Outbound": at(self.outbound),
            "Listen.Ready": at(self.ready), "Listen.Control": at(self.control),
            "PortRange": "7620,7635", "Seeds": "", "Bootstrap": "true" if bootstrap else "false",
            "CountsAsLoss": "false", "Limits.CpuShare": "0.4", "Limits.Cpus": "1",
            "Limits.MemoryMb": "260", "Limits.MaxFds": "4100", "Limits.LinkMbps": "1000.0",
            "Limits.DiskMb": "0", "Discovery": "static", "Entry": "static", "HeartbeatMs": "1500",
            "Contracts": "base,drain,config,cost,retry,recover,pressure,platform",
            "FaultTolerance.Nodes": "2", "FaultTolerance.Zones": "0", "FaultTolerance.Regions": "0",
            "Bounds": "SeedLagS=3,ReuseAfterS=2,ContactMs=3000,AckMs=4000,CatchUpS=4,DrainMs=2000,"
                      "GraceS=6,LossSlackMs=200,ConfigApplyMs=2000,BackMs=250,MaxSkewMs=5000,"
                      "RetryBudget=0.2,BudgetWindowS=10,BudgetExtra=57,RecoveryS=15",
            "AppAddr": at(self.app), "Service": self.service, "Provider.Address": at(store),
            "Provider.form": "objects", "Provider.writes_per_s": "400",
            "Provider.reads_per_s": "2000", "Provider.HistoryS": "20",
            "Provider.value_bytes": "1048576", "Provider.ttl_min_ms": "1000",
        }
        with open(self.settings, "w", encoding="utf-8") as file:
            file.writelines(f"{name}={value}\n" for name, value in lines.items())

    def start(self, bootstrap=False):
        self.write_settings(bootstrap)
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["WHARFQUAY_BOOT"] = self.settings
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen([ADAPTER], cwd=ROOT, env=environment, stdout=log,
                                            stderr=log, stdin=subprocess.DEVNULL)
        self.deployment.record.write(f"{self.name}: process {self.process.pid} started")

    def signal(self, number):
        self.deployment.record.write(f"{self.name}: {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def is_ready(self):
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(*self.ready)
                try:
                    writer.write(message("GET /api/readyz HTTP/1.1", {"Host": "ready"}))
                    status, _, _ = await read_answer(reader)
                    return status == 200
                finally:
                    writer.close()
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            return False


class Deployment:
    """A store and machines in a block of loopback addresses that is free."""

    def __init__(self, record):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.prefix = self.free_prefix()
        self.store = Store((f"{self.prefix}.2", 8309), record)
        self.machines = []

    @staticmethod
    def free_prefix():
        for _ in range(100):
            prefix = f"127.{random.randrange(64, 250)}.{random.randrange(1, 250)}"
            try:
                for host in range(2, 40):
                    for port in (8300, 8301, 8302, 8304, 8306, 8309, 7620, 7621):
                        with socket.socket() as probe:
                            probe.bind((f"{prefix}.{host}", port))
                return prefix
            except OSError:
                continue
        raise RuntimeError("no free block of loopback addresses")

    def add(self, service, zone):
        machine = Machine(self, len(self.machines), service, zone)
        self.machines.append(machine)
        return machine

    async def start(self, bootstrap=True):
        await self.store.start()
        for machine in self.machines:
            machine.start(bootstrap)

    async def wait_ready(self, seconds=15):
        end = now() + seconds
        while now() < end:
            if all([await machine.is_ready() for machine in self.machines]):
                return True
            await asyncio.sleep(0.2)
        return False

    def stop(self):
        for machine in self.machines:
            if machine.process and machine.process.poll() is None:
                try:
                    machine.process.send_signal(signal.SIGCONT)
                    machine.process.kill()
                except ProcessLookupError:
                    pass
                machine.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def configuration(version, routes, services):
    """A configuration of the operator. Routes: name, host, prefix, type, timeout, priority, service."""
    columns = ["Name", "Host", "PathPrefix", "RouteType", "TimeoutMs", "TargetLatencyMs", "Priority",
               "Split", "MaxAttempts", "Service"]
    rows = [[name, host, prefix, kind, timeout, 1500, priority, None, 2, service]
            for name, host, prefix, kind, timeout, priority, service in routes]
    return {
        "Version": f"{version:08x}",
        "Routes": {"Columns": columns, "Rows": rows},
        "Services": {"Columns": ["Name", "HealthPath", "MaxConns", "Protocol", "Tls"],
                     "Rows": [[name, "/healthz", 436, "h1", False] for name in services]},
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeoutMs": 3000,
                   "IdleTimeoutMs": 15000},
    }


def request(method, path, host, identity, deadline_ms, body=b"", extra=None):
    """Encodes a request of a client."""
    head = {"Host": host, "X-Wharfquay-Request-Id": identity}
    if deadline_ms is not None:
        head["X-Wharfquay-Deadline-Ms"] = deadline_ms
    head.update(extra or {})
    if method == "GET" and not body:
        lines = [f"{method} {path} HTTP/1.1"] + [f"{name}: {value}" for name, value in head.items()]
        return ("\r\n".join(lines) + "\r\n\r\n").encode()
    return message(f"{method} {path} HTTP/1.1", head, body)


def new_id():
    return f"{random.getrandbits(64):016x}"


async def ask(machine, method, path, host, deadline_ms=5000, body=b"", identity=None):
    """Sends one request on a new connection. Returns its id, the status (None: no answer), headers, body."""
    identity = identity or new_id()
    try:
        async with asyncio.timeout(deadline_ms / 1000 + 1):
            reader, writer = await asyncio.open_connection(*machine.outbound)
            try:
                writer.write(request(method, path, host, identity, deadline_ms, body))
                status, headers, answer = await read_answer(reader)
                return identity, status, headers, answer
            finally:
                writer.close()
    except (OSError, asyncio.IncompleteReadError, TimeoutError):
        return identity, None, {}, b""


def play(main, seconds=110):
    """Runs a case within a time limit and exits with its result: 1 broken, 0 held, 2 could not run."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    if not os.path.exists(ADAPTER):
        print("target/release/wharfquay-adapter is missing")
        sys.exit(2)

    async def limited():
        deployment = Deployment(record)
        backends = []
        try:
            return await asyncio.wait_for(main(deployment, backends, record, trouble), seconds)
        except CannotRun as reason:
            record.write(f"could not run: {reason}")
            return 2
        except asyncio.TimeoutError:
            record.write("could not run: the time limit was reached")
            return 2
        finally:
            for backend in backends:
                backend.stop()
            deployment.stop()

    result = asyncio.run(limited())
    record.write(f"exit {result}")
    print(f"exit {result}")
    sys.exit(result)
