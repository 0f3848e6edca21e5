"""Stand-ins for the platform, the executors and the clients, on loopback and the real clock.

The store, the machine list and the executors follow PROTOCOL.md and run in one process; the entry
VMs are the project's own programs, started with the command of the deploy file. Each VM has a store
address of its own, so that the store knows which VM calls.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

HOST = "127.0.0.1"
ROOT = Path(__file__).resolve().parents[2]
SERVICE = "plume-desk"
HEARTBEAT_S = 1.5
LISTED_FOR_S = 3 * HEARTBEAT_S
MAX_HOLD_MS = 6000
STOP_S = 0.1
GANG_WAIT_S = 3.0
ENDED = ("completed", "failed", "cancelled")
STATUS_TEXT = {
    200: "OK",
    404: "Not Found",
    409: "Conflict",
    410: "Gone",
    412: "Precondition Failed",
    421: "Misdirected Request",
    429: "Too Many Requests",
    503: "Service Unavailable",
}


class ConnectionDroppedError(Exception):
    """The connection is reset without an answer."""


def free_port() -> int:
    """Return a free port, below those that the kernel gives to outgoing connections."""
    while True:
        port = random.randrange(12000, 30000)
        with socket.socket() as sock:
            try:
                sock.bind((HOST, port))
                return port
            except OSError:
                continue


class Server:
    """A small HTTP/1.1 server.

    :param handle: coroutine function of method, target, headers and body; returns the status and
        the decoded JSON body of the answer.
    """

    def __init__(self, port: int, handle):
        self.port = port
        self._handle = handle
        self._server = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> None:
        self._server = await asyncio.start_server(
            self._serve, HOST, self.port, reuse_address=True, backlog=512
        )

    def close(self) -> None:
        """Close the listening socket and reset all connections, as the end of a process does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                first, *lines = head.decode("latin-1").split("\r\n")
                method, target, _ = first.split(" ", 2)
                headers = {}
                for line in lines:
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length") or 0))
                status, answer = await self._handle(method, target, headers, body)
                data = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} {STATUS_TEXT.get(status, 'Status')}\r\n"
                    f"Content-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode() + data
                )
                await writer.drain()
        except ConnectionDroppedError:
            writer.transport.abort()
        except (
            asyncio.IncompleteReadError,
            ConnectionError,
            asyncio.LimitOverrunError,
        ):
            pass
        except asyncio.CancelledError:
            pass  # the case has ended
        finally:
            self._writers.discard(writer)
            writer.close()


class Link:
    """The network path between the VMs and an executor; a proxy that can hold all bytes.

    While it is cut, no byte passes and no connection is made. What one side had sent before it
    ended is delivered once the cut is over, as by the retransmissions of its kernel.
    """

    def __init__(self, target: int):
        self.port = free_port()
        self._target = target
        self._open = asyncio.Event()
        self._open.set()

    async def open(self) -> None:
        """Begin to listen."""
        self._server = await asyncio.start_server(self._serve, HOST, self.port, backlog=512)

    def cut(self) -> None:
        """Hold all bytes from now on."""
        self._open.clear()

    def heal(self) -> None:
        """Deliver what was held; connections tried during the cut stay without an answer."""
        self._open.set()

    def close(self) -> None:
        """Stop to listen."""
        self._server.close()

    async def _serve(self, reader, writer) -> None:
        if not self._open.is_set():
            with contextlib.suppress(OSError, asyncio.CancelledError):
                while await reader.read(65536):
                    pass  # nothing of it ever reaches the executor
            writer.close()
            return
        try:
            up_reader, up_writer = await asyncio.open_connection(HOST, self._target)
        except OSError:
            writer.transport.abort()
            return
        back = asyncio.create_task(self._forward(up_reader, writer))
        forth = asyncio.create_task(self._forward(reader, up_writer))
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.wait((back, forth), return_when=asyncio.FIRST_COMPLETED)
            await self._open.wait()
        for task in (back, forth):
            task.cancel()
        for end in (writer, up_writer):
            end.close()

    async def _forward(self, reader, writer) -> None:
        try:
            while data := await reader.read(65536):
                await self._open.wait()
                writer.write(data)
                await writer.drain()
            await self._open.wait()
        except OSError:
            await self._open.wait()


async def call(port, method, path, body=None, headers=None, timeout_s=3.0):
    """Send one request on a new connection; return status and body, or (0, reason)."""
    try:
        return await asyncio.wait_for(_exchange(port, method, path, body, headers), timeout_s)
    except TimeoutError:
        return 0, "no answer in time"
    except (OSError, asyncio.IncompleteReadError, ValueError) as exc:
        return 0, f"{type(exc).__name__}"


async def _exchange(port, method, path, body, headers):
    reader, writer = await asyncio.open_connection(HOST, port)
    try:
        data = json.dumps(body).encode() if body is not None else b""
        fields = {
            "Host": "desk.example",
            "Content-Length": str(len(data)),
            **(headers or {}),
        }
        if data:
            fields["Content-Type"] = "application/json"
        lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        writer.write(f"{method} {path} HTTP/1.1\r\n{lines}\r\n".encode() + data)
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        status = int(head.split(" ", 2)[1])
        length = re.search(r"(?im)^content-length:\s*(\d+)", head)
        answer = await reader.readexactly(int(length.group(1)) if length else 0)
        try:
            return status, json.loads(answer) if answer else {}
        except ValueError:
            return status, answer.decode("latin-1")
    finally:
        writer.close()


class Store:
    """The platform's store: revisions, transactions, leases and watches."""

    def __init__(self):
        self.items: dict[str, dict] = {}
        self.leases: dict[int, list[float]] = {}
        self.revision = 1
        self.history: list[dict] = []
        self.owner_vm = -1  # the VM that last wrote the owner's key under a condition
        self._next_lease = 7000
        self._changed = asyncio.Event()
        # Called with the VM and the decoded call before it is executed; may wait, or answer itself.
        self.before = None
        self.after = None

    def handler(self, vm: int):
        async def handle(method, target, headers, body):
            return await self._handle(vm, method, target, body)

        return handle

    async def _handle(self, vm, method, target, body):
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        request = json.loads(body) if body else {}
        name = url.path.split("/")[1]
        if self.before is not None:
            refused = await self.before(vm, name, query, request)
            if refused is not None:
                return refused
        self.expire()
        answer = await self._execute(vm, name, url.path, query, request)
        if self.after is not None:
            await self.after(vm, name, query, request)
        return answer

    async def _execute(self, vm, name, path, query, request):
        if name == "kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {"store_revision": self.revision}
            return 200, {**item, "store_revision": self.revision}
        if name == "kv-range":
            after = query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(query["prefix"]) and k > after)
            items = [self.items[key] for key in keys[:500]]
            return 200, {
                "items": items,
                "has_more": len(keys) > 500,
                "store_revision": self.revision,
            }
        if name == "kv-watch":
            return await self._watch(query)
        if name == "kv-txn":
            return self._transact(vm, request)
        if name == "kv-lease":
            self._next_lease += 1
            ttl_s = max(1.0, request["ttl_ms"] / 1000)
            self.leases[self._next_lease] = [ttl_s, time.monotonic() + ttl_s]
            return 200, {"lease": self._next_lease, "ttl_ms": int(ttl_s * 1000)}
        lease = int(path.split("/")[2])
        if name == "kv-keep":
            if lease not in self.leases:
                return 404, {}
            self.leases[lease][1] = time.monotonic() + self.leases[lease][0]
            return 200, {}
        if self.leases.pop(lease, None) is None:
            return 404, {}
        self._drop_lease(lease)
        return 200, {}

    def expire(self) -> None:
        for lease in [k for k, (_, until) in self.leases.items() if until < time.monotonic()]:
            del self.leases[lease]
            self._drop_lease(lease)

    def _drop_lease(self, lease) -> None:
        self.write({}, [key for key, item in self.items.items() if item["lease"] == lease])

    async def _watch(self, query):
        until = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            events = [
                event
                for event in self.history
                if event["revision"] > int(query["after"])
                and event["key"].startswith(query["prefix"])
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {
                    "events": events[:500],
                    "store_revision": (
                        events[499]["revision"] if len(events) > 500 else self.revision
                    ),
                }
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), min(left, 0.1))
            except TimeoutError:
                self.expire()

    def _transact(self, vm, request):
        expected = request.get("expect_rev", [])
        current = [
            self.items.get(row["key"], {"key": row["key"], "revision": 0}) for row in expected
        ]
        if any(
            item["revision"] != row["revision"] for item, row in zip(current, expected, strict=True)
        ):
            return 412, {"items": current}
        puts = request.get("puts", [])
        if any(put.get("lease") and put["lease"] not in self.leases for put in puts):
            return 404, {}
        if any(put["key"] == "lacewingmill/owner" for put in puts):
            self.owner_vm = vm
        self.write(
            {put["key"]: (put["value"], put.get("lease", 0)) for put in puts},
            request.get("remove", []),
        )
        return 200, {"revision": self.revision}

    def write(self, puts: dict, remove: list) -> None:
        """Write keys and remove others in one revision."""
        if not puts and not remove:
            return
        self.revision += 1
        for key, (value, lease) in puts.items():
            created = self.items.get(key, {}).get("created", self.revision)
            self.items[key] = {
                "key": key,
                "value": value,
                "revision": self.revision,
                "created": created,
                "lease": lease,
            }
            self.history.append(self.items[key])
        for key in remove:
            if self.items.pop(key, None) is not None:
                self.history.append({"key": key, "revision": self.revision, "deleted": True})
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def put_json(self, key: str, value: dict) -> None:
        """Write a key for the operator or an executor."""
        self.write({key: (base64.b64encode(json.dumps(value).encode()).decode(), 0)}, [])


class Run:
    """A run of a task on an executor."""

    def __init__(self, task, number, saved, now):
        self.task, self.number, self.saved = task, number, saved
        self.started_at = now
        self.works_at = None  # when the work began; a gang waits for its members
        self.stops_at = None


class Executor:
    """An executor, with one life after the other under the same id.

    The spec of a job defines its tasks: ``run_s=3`` is the length of their work.
    """

    def __init__(self, world, name, kind, rack, gpu=8):
        self.world, self.name, self.kind, self.rack, self.gpu = (
            world,
            name,
            kind,
            rack,
            gpu,
        )
        self.server = Server(free_port(), self._handle)
        self.up = False
        self.life = 0
        self.zone = "z0"
        self.gone = False  # for good: its machine is not listed any more
        self.reaches_store = True
        self.link: Link | None = None

    async def boot(self) -> None:
        """Begin a life: register in the store, then accept calls."""
        self.life += 1
        self.up = True
        self.born = int(time.time() * 1000)
        self.began = time.monotonic()
        self.fence = 0
        self.lease_ms = 0
        self.lapsed_at = 0.0
        self.running: dict[str, Run] = {}
        self.highest: dict[str, int] = {}
        self.ended: list[list] = []
        self.count = 0
        self.acked = 0
        self.seq = 0
        self.changed = asyncio.Event()
        self.register()
        await asyncio.sleep(0.05)
        await self.server.open()
        self.world.record("boot", self.name, life=self.life, kind=self.kind)

    def crash(self) -> None:
        """End the process without a word; everything that runs on it ends."""
        self.world.record(
            "crash",
            self.name,
            life=self.life,
            kind=self.kind,
            running=list(self.running),
        )
        for run in list(self.running.values()):
            self.world.ended(self, run, "crashed")
        self.running.clear()
        self.up = False
        self.server.close()

    def register(self) -> None:
        """Write the entry, unless the store can't be reached."""
        if not self.reaches_store:
            return
        self.seq += 1
        self.registered_at = time.monotonic()
        self.world.store.put_json(
            f"servers/{self.name}",
            {
                "service": SERVICE,
                "addr": f"{HOST}:{self.link.port if self.link else self.server.port}",
                "zone": self.zone,
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "cold_left_ms": 0,
                "seq": self.seq,
                "capacity": {"cpu": 128000, "mem_mb": 524288, "gpu": self.gpu},
                "labels": [self.kind, self.rack],
                "born": self.born,
                "clock_ms": self.clock_ms(),
            },
        )

    def clock_ms(self) -> int:
        return int((time.monotonic() - self.began) * 1000)

    async def _handle(self, method, target, headers, body):
        if self.world.before_order is not None:
            await self.world.before_order(self, target, json.loads(body or b"{}"))
        if headers.get("x-expect-instance", self.name) != self.name:
            return 421, {}
        request = json.loads(body)
        self.advance()
        if request.get("fence", 0) < self.fence:
            return 409, {"clock_ms": self.clock_ms(), "reason": "fence"}
        self.fence = request.get("fence", 0)
        if target == "/run-start":
            status, reason = self._start(request)
            self.world.record(
                "start",
                self.name,
                life=self.life,
                kind=self.kind,
                task=request["task"],
                run=request["run"],
                fence=request["fence"],
                status=status,
                reason=reason,
            )
            answer = {
                "clock_ms": self.clock_ms(),
                **({"reason": reason} if reason else {}),
            }
            return status, answer
        if target == "/run-stop":
            task, number = request["task"], request["run"]
            self.highest[task] = max(self.highest.get(task, 0), number)
            run = self.running.get(task)
            if run is not None and run.number <= number and run.stops_at is None:
                run.stops_at = time.monotonic() + STOP_S
            self.world.record("stop", self.name, task=task, run=number)
            return 200, {"clock_ms": self.clock_ms()}
        return await self._hold(request)

    def lapse(self) -> float:
        """Return when the lease lapsed last, on the clock of this process; 0 for never."""
        if self.lease_ms and self.clock_ms() > self.lease_ms:
            self.lapsed_at = self.began + self.lease_ms / 1000
        return self.lapsed_at

    def _extend(self, until_ms) -> None:
        self.lapse()
        self.lease_ms = max(self.lease_ms, min(until_ms, self.clock_ms() + MAX_HOLD_MS))

    def _start(self, request):
        task, number = request["task"], request["run"]
        if task in self.running and self.running[task].number == number:
            return 200, ""
        if request["deadline_ms"] < self.clock_ms():
            return 409, "late"
        self._extend(request["deadline_ms"])
        if number <= self.highest.get(task, 0):
            return 409, "old"
        step = self.world.step(task)
        for kind, room in (("cpu", 128000), ("mem_mb", 524288), ("gpu", self.gpu)):
            used = sum(self.world.need(other, kind) for other in self.running)
            if used + self.world.need(task, kind) > room:
                return 409, "room"
        run = Run(task, number, request.get("saved", ""), time.monotonic())
        self.running[task] = run
        self.highest[task] = number
        self.world.started(self, run, request["spec"])
        if step.get("gang"):
            self.world.join_gang(self, run)
        else:
            run.works_at = time.monotonic()
        self._wake()
        return 200, ""

    async def _hold(self, request):
        if "deadline_ms" in request:
            self._extend(request["deadline_ms"])
        if request.get("acked_upto", 0) > self.acked:
            self.acked = request["acked_upto"]
            self.world.acked(self, self.acked)
            self.ended = [row for row in self.ended if row[0] > self.acked]
        life = self.life
        until = time.monotonic() + min(2000, request.get("wait_ms", 0)) / 1000
        while not self.ended and time.monotonic() < until and life == self.life and self.up:
            try:
                await asyncio.wait_for(self.changed.wait(), 0.02)
            except TimeoutError:
                pass
            self.advance()
        if life != self.life or not self.up:
            raise ConnectionDroppedError
        for row in self.ended[:500]:
            self.world.listed(self, row)
        running = [
            [run.task, run.number, run.saved, self._percent(run), 0]
            for run in self.running.values()
        ]
        return 200, {
            "clock_ms": self.clock_ms(),
            "born": self.born,
            "running": running,
            "ended": self.ended[:500],
        }

    def _percent(self, run) -> int:
        if run.works_at is None:
            return 0
        done = (time.monotonic() - run.works_at) / self.world.run_s(run.task)
        return min(99, int(100 * done))

    def _wake(self) -> None:
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def advance(self) -> None:
        """Apply what has happened up to now."""
        if not self.up:
            return
        now = time.monotonic()
        for run in list(self.running.values()):
            if self.running.get(run.task) is not run:
                continue  # it has ended with another member of its gang
            if self.clock_ms() > self.lease_ms:
                self.end(run, "lapsed")
            elif run.stops_at is not None and run.stops_at <= now:
                self.end(run, "stopped")
            elif run.works_at is not None and now - run.works_at >= self.world.run_s(run.task):
                self.end(run, "done")
            elif run.works_at is None and now - run.started_at >= GANG_WAIT_S:
                self.end(run, "alone")

    def end(self, run, how) -> None:
        del self.running[run.task]
        self.count += 1
        self.world.ended(self, run, how)
        if self.count > self.acked:
            self.ended.append([self.count, run.task, run.number, how, run.saved])
        else:
            self.world.acked(self, self.acked)  # it is forgotten at once
        self.world.gang_ended(run, how)
        self._wake()


class World:
    """All stand-ins, the VMs and the record of what was sent, answered and run."""

    def __init__(self, folder: Path, vms: int = 3):
        self.folder = folder
        self.temp = Path(tempfile.mkdtemp(prefix="lacewingmill-review-"))
        self.began = time.monotonic()
        self.lines: list[dict] = []
        self.store = Store()
        self.executors: dict[str, Executor] = {}
        self.jobs: dict[str, dict] = {}
        self.runs: list[dict] = []
        self.gangs: dict[tuple, list] = {}
        self.before_order = None
        self.processes: dict[int, subprocess.Popen] = {}
        self.fronts = {vm: free_port() for vm in range(vms)}
        self.readies = {vm: free_port() for vm in range(vms)}
        self.peers = {vm: self._port_pair() for vm in range(vms)}
        self._servers = [Server(free_port(), self.store.handler(vm)) for vm in range(vms)]
        self._cloud = Server(free_port(), self._machines)
        self._tasks = []

    def _port_pair(self) -> int:
        while True:
            port = free_port()
            with socket.socket() as sock:
                try:
                    sock.bind((HOST, port + 1))
                    return port
                except OSError:
                    continue

    def record(self, event, subject, **fields) -> None:
        """Add a line to the record."""
        line = {
            "at": round(time.monotonic() - self.began, 3),
            "event": event,
            "of": subject,
        }
        line.update(fields)
        self.lines.append(line)

    def step(self, task) -> dict:
        job, _, step, _ = task.split(".")
        return self.jobs[job]["steps"][int(step)]

    def need(self, task, kind) -> int:
        """Return what a task needs of a kind of room; filling tasks need no processors."""
        step = self.step(task)
        return 0 if kind == "cpu" and step.get("fills") else step.get(kind, 0)

    def run_s(self, task) -> float:
        spec = self.jobs[task.split(".")[0]]["spec"]
        found = re.search(r"run_s=([\d.]+)", spec)
        return float(found.group(1)) if found else 1.0

    def started(self, executor, run, spec) -> None:
        run.entry = {
            "task": run.task,
            "run": run.number,
            "on": executor.name,
            "life": executor.life,
            "kind": executor.kind,
            "from": time.monotonic() - self.began,
            "to": None,
            "how": "",
            "acked": False,
            "spec": spec,
            "listed": False,
        }
        self.runs.append(run.entry)

    def ended(self, executor, run, how) -> None:
        run.entry["to"] = time.monotonic() - self.began
        run.entry["how"] = how
        run.entry["number"] = executor.count
        self.record(
            "end",
            executor.name,
            life=executor.life,
            task=run.task,
            run=run.number,
            how=how,
        )

    def listed(self, executor, row) -> None:
        for entry in self._entries(executor):
            if entry.get("number") == row[0] and not entry["listed"]:
                entry["listed"] = True
                self.record("listed", executor.name, task=row[1], run=row[2], how=row[3])

    def acked(self, executor, upto) -> None:
        """Note that ``acked_upto`` has reached ends, unless the lease lapsed after them."""
        self.record("acked", executor.name, life=executor.life, upto=upto)
        lapsed_at = executor.lapse() - self.began
        for entry in self._entries(executor):
            if entry["how"] != "crashed" and entry["number"] <= upto and lapsed_at < entry["to"]:
                entry["acked"] = True

    def _entries(self, executor):
        return [
            entry
            for entry in self.runs
            if entry["on"] == executor.name
            and entry["life"] == executor.life
            and entry["to"] is not None
        ]

    def join_gang(self, executor, run) -> None:
        job, occurrence, step, _ = run.task.split(".")
        members = self.gangs.setdefault((job, occurrence, step, run.number), [])
        members.append((executor, run))
        if len(members) == self.step(run.task)["count"]:
            for _, member in members:
                member.works_at = time.monotonic()

    def gang_ended(self, run, how) -> None:
        if not self.step(run.task).get("gang") or how == "done":
            return
        job, occurrence, step, _ = run.task.split(".")
        for executor, member in self.gangs.get((job, occurrence, step, run.number), []):
            if executor.running.get(member.task) is member:
                executor.end(member, "broken")

    async def _machines(self, method, target, headers, body):
        return 200, {
            "machines": [
                {
                    "machine": f"m-{executor.name}",
                    "pool": SERVICE,
                    "state": "up",
                    "zone": "z0",
                    "labels": [executor.kind, executor.rack],
                    "id": executor.name,
                    "capacity": {"cpu": 128000, "mem_mb": 524288, "gpu": executor.gpu},
                }
                for executor in self.executors.values()
                if not executor.gone
            ],
            "next_token": "",
        }

    async def open(self, executors, config) -> None:
        """Start the stand-ins and the VMs, and wait until all VMs are ready."""
        for server in (*self._servers, self._cloud):
            await server.open()
        self.configure(config)
        for executor in executors:
            self.executors[executor.name] = executor
            if executor.link is not None:
                await executor.link.open()
            await executor.boot()
        self._tasks.append(asyncio.create_task(self._heartbeats()))
        for vm in self.fronts:
            self.start_vm(vm)
        until = time.monotonic() + 30
        while not await self._all_ready():
            if time.monotonic() > until:
                raise RuntimeError("the VMs did not become ready")
            await asyncio.sleep(0.2)
        while self.store.owner_vm < 0 or "lacewingmill/workers" not in self.store.items:
            if time.monotonic() > until:
                raise RuntimeError("no VM became the owner")
            await asyncio.sleep(0.1)
        await asyncio.sleep(1.5)

    async def _all_ready(self) -> bool:
        answers = [await call(port, "GET", "/ready", timeout_s=1) for port in self.readies.values()]
        return all(status == 200 for status, _ in answers)

    def configure(self, config: dict) -> None:
        self.store.put_json("op/config", config)
        self.record("config", config["version"])

    async def _heartbeats(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for executor in self.executors.values():
                executor.advance()
                if executor.up and now - executor.registered_at >= HEARTBEAT_S:
                    executor.register()
                key = f"servers/{executor.name}"
                lost = not (executor.up and executor.reaches_store)
                if lost and now - executor.registered_at >= LISTED_FOR_S:
                    if key in self.store.items:
                        self.store.write({}, [key])

    def start_vm(self, vm: int) -> None:
        """Start the process of a VM with the command of the deploy file."""
        fields = {
            "node": f"front-z{vm % 4}-{vm}",
            "role": "entry",
            "class": "front",
            "serves": "front",
            "ip": HOST,
            "zone": f"z{vm % 4}",
            "region": "r",
            "listen.front": f"{HOST}:{self.fronts[vm]}",
            "listen.ready": f"{HOST}:{self.readies[vm]}",
            "port_range": f"{self.peers[vm]},{self.peers[vm] + 1}",
            "bootstrap": "true",
            "limits.cores": 2,
            "limits.memory_mb": 300,
            "limits.max_fds": 4100,
            "limits.link_mbps": "1000.0",
            "heartbeat_ms": 1500,
            "control_mode": "rpc",
            "bounds.drain_ms": 2000,
            "bounds.grace_s": 6,
            "bounds.config_apply_ms": 2000,
            "bounds.max_hold_ms": MAX_HOLD_MS,
            "bounds.stop_timeout_ms": 900,
            "bounds.gang_timeout_ms": 3000,
            "bounds.cancel_ms": 3000,
            "bounds.visible_ms": 3000,
            "bounds.status_s": 120,
            "bounds.restore_ms": 600,
            "bounds.reclaim_ms": 3400,
            "platform.addr": f"{HOST}:{self._servers[vm].port}",
            "platform.form": "kv",
            "platform.min_ttl_ms": 1000,
            "cloud.addr": f"{HOST}:{self._cloud.port}",
        }
        path = self.temp / f"vm{vm}.conf"
        path.write_text("".join(f"{name}={value}\n" for name, value in fields.items()))
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env["LACEWINGMILL_SETTINGS"] = str(path)
        log = (self.temp / f"vm{vm}.log").open("ab")
        self.processes[vm] = subprocess.Popen(
            ["python3", "deploy/launch.py", "serve-jobs"],
            cwd=ROOT,
            env=env,
            stdout=log,
            stderr=log,
        )
        self.record("vm started", vm)

    def signal_vm(self, vm: int, signum) -> None:
        """Send a signal to the process of a VM."""
        self.record("signal", vm, signal=signal.Signals(signum).name)
        self.processes[vm].send_signal(signum)

    async def submit(self, vm, queue, job, steps, spec, key="key-a", timeout_s=3.0):
        """Hand a job in and return status and body."""
        self.jobs.setdefault(job, {"steps": steps, "spec": spec, "queue": queue, "sends": []})
        sent = time.monotonic() - self.began
        status, body = await self.request(
            vm,
            "POST",
            f"/{queue}/{job}",
            {"spec": spec, "steps": steps},
            key,
            timeout_s,
        )
        self.jobs[job]["sends"].append((sent, status))
        return status, body

    async def request(self, vm, method, path, body=None, key="key-a", timeout_s=3.0):
        """Send a client's request to a VM."""
        headers = {"X-Deadline-Ms": str(int(timeout_s * 1000))}
        if key:
            headers["Authorization"] = f"Token {key}"
        status, answer = await call(self.fronts[vm], method, path, body, headers, timeout_s)
        self.record("answer", f"{method} {path}", vm=vm, status=status, body=answer)
        return status, answer

    async def state(self, vm, job):
        """Return the state of a job that a VM answers; empty without a 200."""
        status, answer = await self.request(vm, "GET", f"/{self.jobs[job]['queue']}/{job}")
        return answer.get("state", "") if status == 200 else ""

    def overlaps(self) -> list:
        """Return pairs of runs of one task that ran at the same time."""
        pairs = []
        for number, entry in enumerate(self.runs):
            for other in self.runs[number + 1 :]:
                if other["task"] == entry["task"] and (
                    entry["to"] is None or other["from"] < entry["to"]
                ):
                    pairs.append((entry, other))
        return pairs

    def repeats(self) -> list:
        """Return pairs of a run that was done and noted, and a later start of its task.

        An end is taken note of when ``acked_upto`` reaches it, unless a lease lapsed in between.
        """
        return [
            (entry, later)
            for entry in self.runs
            for later in self.runs
            if entry["how"] == "done" and entry["acked"] and later["task"] == entry["task"]
            if later["from"] > entry["to"]
        ]

    def close(self) -> None:
        """End all processes that were started, and write the record."""
        for task in self._tasks:
            task.cancel()
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        for server in (*self._servers, self._cloud):
            server.close()
        for executor in self.executors.values():
            executor.server.close()
            if executor.link is not None:
                executor.link.close()
        text = "".join(json.dumps(line) + "\n" for line in self.lines)
        (self.folder / "record.txt").write_text(text)
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.temp, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        shutil.rmtree(self.temp, ignore_errors=True)


def configuration(version: int = 11, routes=None, tenants=None) -> dict:
    """Return a configuration with the queues urgent and patient."""
    return {
        "version": version,
        "routes": routes or [route("urgent", 0, 1.5, 250), route("patient", 2, 3.0, 3000)],
        "services": [{"name": SERVICE, "admission_check": True}],
        "limits": {},
        "tenants": tenants
        or [{"name": "team-a", "api_keys": ["key-a"], "guaranteed": {"gpu": 16}}],
    }


def route(name, priority, stretch, slo_ms, **fields) -> dict:
    """Return a queue of a configuration."""
    return {
        "name": name,
        "host": "desk.example",
        "prefix": f"/{name}/",
        "kind": "non_idempotent",
        "service": SERVICE,
        "timeout_ms": 3000,
        "slo_ms": slo_ms,
        "priority": priority,
        "attempts": 2,
        "stretch": stretch,
        "public": False,
        **fields,
    }


def run_case(folder: Path, case, limit_s: float = 110.0, vms: int = 3) -> int:
    """Run a case: 1 if it saw the rule broken, 0 if not, 2 if it could not run."""

    async def main() -> int:
        world = World(folder, vms)
        try:
            return await asyncio.wait_for(case(world), limit_s)
        except Exception as exc:
            world.record("failed", repr(exc))
            print(f"the case could not run: {exc!r}", file=sys.stderr)
            return 2
        finally:
            world.close()

    return asyncio.run(main())
