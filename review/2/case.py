"""LOST: SIGTERM of a sidecar while clients have several `safe` requests on one connection.

Five clients of one machine each send three `safe` requests before the first is answered. While all
fifteen are in execution at backends, the daemon of the clients' machine gets SIGTERM (planned work).
"""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
from standins import (Backend, CannotRun, ask, configuration, new_id, play, read_answer, request)  # noqa: E402

HOST = "slots.example"
WORK_MS = (200, 600, 700)
CLIENTS = 5
TIMEOUT_MS = 1000
DEADLINE_MS = 5000


def work(run):
    """The last part of the path names the time of work in milliseconds."""
    return int(run["target"].rsplit("/", 1)[1]) / 1000, b"x" * 2000


async def take(reader, ids, record):
    """Reads the answers of a connection in the order of its requests."""
    answered = set()
    for identity in ids:
        try:
            async with asyncio.timeout(6):
                status, headers, _ = await read_answer(reader)
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
            record.write(f"client: {identity} gets no complete answer: {type(error).__name__}")
            continue
        echoed = headers.get("x-wharfquay-request-id")
        record.write(f"client: {identity} gets {status} connection={headers.get('connection')} id={echoed}")
        answered.add(identity)
    return answered


async def main(deployment, backends, record, trouble):
    for number in range(4):
        deployment.add("slotboard", ("ikeja", "yaba")[number % 2])
    await deployment.start()
    route = ("slot-lookup", HOST, "/slots/", "safe", TIMEOUT_MS, 2, "slotboard")
    await deployment.store.put_configuration(configuration(1, [route], ["slotboard"]))
    for machine in deployment.machines:
        backend = Backend(machine, record, work)
        backends.append(backend)
        await backend.start()
    if not await deployment.wait_ready():
        raise CannotRun("the machines are not ready")
    await asyncio.sleep(3)
    for number in range(20):
        _, status, _, _ = await ask(deployment.machines[number % 4], "GET", "/slots/20", HOST)
        if status != 200:
            raise CannotRun(f"a request before the disruption got {status}")
    # Calm for longer than ContactMs.
    await asyncio.sleep(4)

    machine = deployment.machines[0]
    connections = []
    for _ in range(CLIENTS):
        reader, writer = await asyncio.open_connection(*machine.outbound)
        ids = [new_id() for _ in WORK_MS]
        for identity, millis in zip(ids, WORK_MS):
            writer.write(request("GET", f"/slots/{millis}", HOST, identity, DEADLINE_MS))
        record.write(f"client: sends {' '.join(ids)} on one connection to {machine.name}")
        connections.append((reader, writer, ids))
    await asyncio.sleep(0.1)
    if trouble:
        machine.signal(signal.SIGTERM)
    taken = await asyncio.gather(*(take(reader, ids, record) for reader, _, ids in connections))
    await asyncio.sleep(0.5)
    answered = set().union(*taken)
    for _, writer, _ in connections:
        writer.close()

    runs = {run["id"]: run for backend in backends for run in backend.runs}
    sent = [identity for _, _, ids in connections for identity in ids]
    lost = [identity for identity in sent if identity not in answered and identity in runs]
    for identity in lost:
        run = runs[identity]
        record.write(f"LOST: {identity} was passed on to a backend at {run['at']:.3f} and its connection"
                     f" ended without an answer; the backend's run: {run['end']}")
    record.write(f"sent={len(sent)} answered={len(answered)} lost={len(lost)}")
    return 1 if lost else 0


if __name__ == "__main__":
    play(main)
