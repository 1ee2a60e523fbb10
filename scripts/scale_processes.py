"""The processes of a scale run, and requests to them."""

import json
import os
import signal
import subprocess
import threading
import urllib.request
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
HOLLOW_PORT = 20_000
HOSTS_PER_NET = 200
REPORT_LIMIT_S = 60.0
STOP_LIMIT_S = 10


class Failed(Exception):
    """The run can't go on."""


def host_of(index):
    """The loopback address of a hollow process."""
    return f"127.0.{1 + index // HOSTS_PER_NET}.{2 + index % HOSTS_PER_NET}"


class Process:
    """A process that this run started."""

    def __init__(self, name, command, directory, output=None):
        self.name = name
        log = open(directory / f"{name}.log", "wb")
        self.process = subprocess.Popen(command, stdout=output or log, stderr=log, cwd=ROOT)
        self.pid = self.process.pid

    def processor_seconds(self):
        fields = Path(f"/proc/{self.pid}/stat").read_text().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND

    def resident_bytes(self):
        try:
            return int(Path(f"/proc/{self.pid}/statm").read_text().split()[1]) * PAGE_BYTES
        except (OSError, IndexError):
            return 0

    def runs(self):
        return self.process.poll() is None

    def stop(self):
        if self.runs():
            self.process.terminate()

    def wait(self):
        try:
            self.process.wait(timeout=STOP_LIMIT_S)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()


class Hollow(Process):
    """A process of hollow daemons."""

    def __init__(self, index, zone, count, run):
        self.zone, self.count = zone, count
        self.reports = []
        self.arrived = threading.Condition()
        self.prefix = f"rack{index:03}"
        self.listen = f"{host_of(index)}:{HOLLOW_PORT}"
        command = [
            run.emulator, "hollow", "--daemons", count, "--listen", self.listen, "--zone", zone,
            "--prefix", self.prefix, "--seeds", run.seeds, "--platform", run.platform,
            "--watch", "zone-0/rack000-00000",
        ]
        super().__init__(self.prefix, [str(part) for part in command], run.directory, subprocess.PIPE)
        threading.Thread(target=self._read, daemon=True).start()

    def _read(self):
        for line in self.process.stdout:
            with self.arrived:
                self.reports.append(None if line.strip() == b"ready" else json.loads(line))
                self.arrived.notify_all()

    def wait_lines(self, count):
        with self.arrived:
            if not self.arrived.wait_for(lambda: len(self.reports) >= count, REPORT_LIMIT_S):
                raise Failed(f"{self.name} did not report within {REPORT_LIMIT_S:.0f} s")
            return self.reports[count - 1]

    def ask(self):
        wanted = len(self.reports) + 1
        os.kill(self.pid, signal.SIGUSR1)
        return wanted


class Real(Process):
    """A real daemon."""

    def __init__(self, name, command, directory, admin):
        self.admin = admin
        super().__init__(name, command, directory)

    def status(self):
        try:
            return get_json(self.admin, "/status")
        except (OSError, ValueError):
            return {}


def request(address, path, body=None):
    data = None if body is None else json.dumps(body).encode()
    method = "GET" if body is None else "PUT"
    message = urllib.request.Request(f"http://{address}{path}", data=data, method=method)
    message.add_header("content-type", "application/json")
    with urllib.request.urlopen(message, timeout=5) as answer:
        return json.loads(answer.read())


def get_json(address, path):
    return request(address, path)
