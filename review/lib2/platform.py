"""Stand-ins of the users' platform on loopback: store, executors, machine list and consumers.

They follow the users' pages (PROTOCOL.md and DEPLOY.md) and need nothing but the standard library.
All of them run on the event loop of the script that uses them.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import shlex
import signal
import socket
import tempfile
import time
import tomllib
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
HEARTBEAT_S = 1.5
MAX_HOLD_MS = 6000
STOP_S = 0.3
GANG_TIMEOUT_S = 3.0
REMOTE_PENALTY = 3.0
MAX_WAIT_MS = 2000
START_TIMEOUT_S = 25.0


class Record:
    """The record of what was sent, answered and run, with times since the start of the script."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")  # noqa: SIM115
        self._begin = time.monotonic()

    def now(self):
        return time.monotonic() - self._begin

    def write(self, text):
        self._file.write(f"{self.now():9.3f} {text}\n")
        self._file.flush()


def free_ports(count):
    """Return the first of a number of consecutive free ports."""
    rng = random.Random()
    while True:
        first = rng.randrange(20000, 32000 - count)
        try:
            for port in range(first, first + count):
                with socket.socket() as sock:
                    sock.bind((HOST, port))
            return first
        except OSError:
            continue


class HttpServer:
    """A small HTTP/1.1 server with keep-alive.

    :param handle: coroutine function of method, path, query, headers and body; it returns a status
        and a body to encode as JSON, or ``None`` to close the connection without an answer.
    """

    def __init__(self, handle):
        self._handle = handle
        self._writers = set()
        self._server = None
        self.port = 0

    async def start(self, port=0):
        self._server = await asyncio.start_server(self._serve, HOST, port, limit=1 << 23)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self):
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    name, separator, value = line.partition(":")
                    if separator:
                        headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                url = urlsplit(target)
                query = {name: values[0] for name, values in parse_qs(url.query).items()}
                answer = await self._handle(method, unquote(url.path), query, headers, body)
                if answer is None:
                    return
                status, content = answer
                data = json.dumps(content).encode()
                writer.write(
                    f"HTTP/1.1 {status} -\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode() + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError, asyncio.LimitOverrunError):
            pass
        except asyncio.CancelledError:
            return  # the script ends
        finally:
            self._writers.discard(writer)
            writer.transport.abort()


class Store:
    """The platform's metadata store: revisions, transactions, leases, ranges and watches."""

    def __init__(self, record):
        self.record = record
        self.revision = 100
        self.items = {}
        self.history = []
        self.leases = {}
        self._next_lease = 7000
        self._changed = asyncio.Event()
        self.server = HttpServer(self._handle)

    def write(self, key, value, lease=0):
        """Write an item, as the operator and the executors do; ``None`` removes it."""
        self.revision += 1
        self._set(key, None if value is None else json.dumps(value).encode(), lease)
        self._wake()

    def _set(self, key, value, lease):
        if value is None:
            if self.items.pop(key, None) is not None:
                event = {"key": key, "revision": self.revision, "deleted": True}
                self.history.append((self.revision, key, event))
            return
        old = self.items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": old["created"] if old else self.revision,
            "lease": lease,
        }
        self.items[key] = item
        self.history.append((self.revision, key, item))

    def _wake(self):
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _expire(self):
        now = time.monotonic()
        for lease in [lease for lease, (_, until) in self.leases.items() if until <= now]:
            self._end_lease(lease)

    def _end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.revision += 1
            self._set(key, None, 0)
        self._wake()

    async def expire_leases(self):
        while True:
            self._expire()
            await asyncio.sleep(0.02)

    async def _handle(self, method, path, query, headers, body):
        await asyncio.sleep(0.004)
        return await self._answer(method, path, query, body)

    async def _answer(self, method, path, query, body):
        self._expire()
        if path == "/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {"store_revision": self.revision}
            return 200, item | {"store_revision": self.revision}
        if path == "/kv-range":
            keys = sorted(key for key in self.items if key.startswith(query["prefix"]))
            keys = [key for key in keys if key > query.get("after", "")]
            page = [self.items[key] for key in keys[:500]]
            more = len(keys) > 500
            return 200, {"items": page, "has_more": more, "store_revision": self.revision}
        if path == "/kv-watch":
            return await self._watch(query)
        if path == "/kv-txn":
            return self._commit(json.loads(body))
        if path == "/kv-lease":
            ttl_ms = min(600_000, max(1000, int(json.loads(body)["ttl_ms"])))
            self._next_lease += 1
            self.leases[self._next_lease] = (ttl_ms, time.monotonic() + ttl_ms / 1000)
            return 200, {"lease": self._next_lease, "ttl_ms": ttl_ms}
        if path.startswith("/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl_ms, _ = self.leases[lease]
            self.leases[lease] = (ttl_ms, time.monotonic() + ttl_ms / 1000)
            return 200, {"ttl_ms": ttl_ms}
        if path.startswith("/kv-lease-end/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            self._end_lease(lease)
            return 200, {}
        return 404, {}

    async def _watch(self, query):
        after, until = int(query["after"]), time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            events = [
                event
                for revision, key, event in self.history
                if revision > after and key.startswith(query["prefix"])
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "store_revision": self.revision}
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)

    def _commit(self, txn):
        expected = txn.get("expect_rev", [])
        current = [
            self.items.get(row["key"], {"key": row["key"], "revision": 0}) for row in expected
        ]
        if any(
            item["revision"] != row["revision"]
            for item, row in zip(current, expected, strict=True)
        ):
            return 412, {"items": current}
        puts = txn.get("puts", [])
        if any(put.get("lease") and put["lease"] not in self.leases for put in puts):
            return 404, {}
        self.revision += 1
        for put in puts:
            self._set(put["key"], base64.b64decode(put["value"]), put.get("lease", 0))
        for key in txn.get("remove", []):
            self._set(key, None, 0)
        self._wake()
        return 200, {"revision": self.revision}


@dataclass
class Job:
    """A job as its consumer sent it, with what was answered."""

    job_id: str
    queue: str
    body: dict
    sent_at: float = 0.0
    statuses: list = field(default_factory=list)
    accepted_at: float = None
    cancel_sent_at: float = None
    cancelled_at: float = None

    def step(self, number):
        return {"count": 1} | self.body["steps"][number]


@dataclass(eq=False)
class Run:
    """A run of a task on an executor."""

    task: str
    number: int
    executor: str
    started_at: float
    work_s: float
    work_from: float = None
    stop_at: float = None
    ended_at: float = None
    how: str = ""


class World:
    """All jobs and all runs, as consumers and executors saw them."""

    def __init__(self, record):
        self.record = record
        self.jobs = {}
        self.runs = []
        self.executors = {}
        self.gangs = {}

    def job_of(self, task):
        return self.jobs[task.split(".", 1)[0]]

    def step_of(self, task):
        return self.job_of(task).step(int(task.rsplit(".", 2)[1]))

    def live_runs(self, task):
        return [run for run in self.runs if run.task == task and run.ended_at is None]

    def room_for(self, step):
        """Return how many tasks of a step fit on the executors that are ready."""
        return sum(
            executor.room_for(step)
            for executor in self.executors.values()
            if executor.up and executor.state == "ready"
        )

    def share_in_use(self):
        """Return the largest share of a resource that is in use on the executors that are up."""
        up = [executor for executor in self.executors.values() if executor.up]
        shares = []
        for kind in ("cpu", "mem_mb", "gpu"):
            total = sum(executor.capacity[kind] for executor in up)
            used = sum(executor.used(kind) for executor in up)
            shares.append(used / total if total else 1.0)
        return max(shares)


class Executor:
    """One life of an executor."""

    def __init__(self, world, store, service, name, zone, rack, capacity, kind="a"):
        self.world, self.store, self.service = world, store, service
        self.name, self.zone, self.rack, self.kind = name, zone, rack, kind
        self.capacity = capacity
        self.state = "ready"
        self.up = False
        self.address = ""
        self.server = HttpServer(self._handle)
        self._tasks = []
        self._reset()

    def _reset(self):
        self.born = int(time.time() * 1000)
        self._boot = time.monotonic()
        self.fence = 0
        self.lease_until = 0.0
        self.running = {}
        self.ended = []
        self.end_count = 0
        self.acked = 0
        self.highest = {}
        self.seq = 0
        self._changed = asyncio.Event()

    async def start(self):
        await self.server.start()
        self.address = f"{HOST}:{self.server.port}"
        self.up = True
        self.world.executors[self.name] = self
        self._tasks = [
            asyncio.ensure_future(self._beat()),
            asyncio.ensure_future(self._work()),
        ]

    def leave(self):
        """Exit: everything that runs here terminates, and the entry is removed."""
        now = self.world.record.now()
        for run in self.running.values():
            run.ended_at, run.how = now, "gone"
            self.world.record.write(f"run gone {run.task} run {run.number} on {self.name}")
        self.running.clear()
        self.up = False
        for task in self._tasks:
            task.cancel()
        self.server.stop()
        self.store.write(f"servers/{self.name}", None)
        self.world.record.write(f"executor {self.name} has left")

    def drain(self):
        self.state = "draining"
        self.world.record.write(f"executor {self.name} reports draining")
        self._register()

    def clock_ms(self):
        return int((time.monotonic() - self._boot) * 1000)

    def used(self, kind):
        return sum(
            0 if kind == "cpu" and step.get("fills") else step.get(kind, 0)
            for step in map(self.world.step_of, self.running)
        )

    def room_for(self, step):
        fits = 1 << 20
        for kind in ("cpu", "mem_mb", "gpu"):
            need = 0 if kind == "cpu" and step.get("fills") else step.get(kind, 0)
            if need:
                fits = min(fits, (self.capacity[kind] - self.used(kind)) // need)
        if step.get("requires") and step["requires"] not in (self.kind, self.rack):
            return 0
        return max(0, fits)

    def _register(self):
        self.seq += 1
        entry = {
            "service": self.service,
            "addr": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "cold_left_ms": 0,
            "capacity": self.capacity,
            "labels": [self.kind, self.rack],
            "clock_ms": self.clock_ms(),
            "seq": self.seq,
            "born": self.born,
        }
        if self.state == "draining":
            entry["drain_remaining_ms"] = 0
        self.store.write(f"servers/{self.name}", entry)

    async def _beat(self):
        while True:
            self._register()
            await asyncio.sleep(HEARTBEAT_S)

    async def _work(self):
        while True:
            await asyncio.sleep(0.01)
            self._advance()

    def _advance(self):
        now = time.monotonic()
        lapsed = self.running and self.clock_ms() >= self.lease_until
        for run in list(self.running.values()):
            if run.stop_at is not None and now >= run.stop_at:
                self._end(run, "stopped")
            elif lapsed:
                self._end(run, "lapsed")
            elif run.work_from is None:
                members = self.world.gangs[run.task.rsplit(".", 1)[0], run.number]
                if any(each.how not in ("", "done") for each in members):
                    self._end(run, "broken")
                elif now - run.started_mono >= GANG_TIMEOUT_S:
                    self._end(run, "alone")
            elif run.work_s is not None and now - run.work_from >= run.work_s:
                self._end(run, "done")

    def _end(self, run, how):
        run.ended_at, run.how = self.world.record.now(), how
        del self.running[run.task]
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.number)
        self.end_count += 1
        self.ended.append([self.end_count, run.task, run.number, how, ""])
        self.world.record.write(f"run {how} {run.task} run {run.number} on {self.name}")
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _handle(self, method, path, query, headers, body):
        if headers.get("x-expect-instance", self.name) != self.name:
            return 421, {}
        if method == "GET":
            return 200, {}
        req = json.loads(body)
        if req.get("fence", 0) < self.fence:
            return 409, {"clock_ms": self.clock_ms(), "reason": "fence"}
        self.fence = req.get("fence", 0)
        self._advance()
        if path == "/run-start":
            return self._start(req)
        if path == "/run-stop":
            return self._stop(req)
        if path == "/hold":
            return await self._hold(req)
        return 404, {}

    def _extend(self, deadline_ms):
        latest = self.clock_ms() + MAX_HOLD_MS
        self.lease_until = max(self.lease_until, min(deadline_ms, latest))

    def _start(self, req):
        task, number = req["task"], req["run"]
        current = self.running.get(task)
        if current is not None and current.number == number:
            return 200, {"clock_ms": self.clock_ms()}
        if req["deadline_ms"] < self.clock_ms():
            return 409, {"clock_ms": self.clock_ms(), "reason": "late"}
        self._extend(req["deadline_ms"])
        if number <= self.highest.get(task, 0) or current is not None:
            return 409, {"clock_ms": self.clock_ms(), "reason": "old"}
        step = self.world.step_of(task)
        if not self.room_for(step):
            return 409, {"clock_ms": self.clock_ms(), "reason": "room"}
        now = time.monotonic()
        words = dict(word.split("=") for word in req["spec"].split() if "=" in word)
        work_s = float(words.get("run_s", 1.0))
        if step.get("data_rack", self.rack) != self.rack:
            work_s *= REMOTE_PENALTY
        if step.get("long_running"):
            work_s = None
        run = Run(task, number, self.name, self.world.record.now(), work_s)
        run.started_mono = now
        self.running[task] = run
        self.world.runs.append(run)
        self.world.record.write(f"run started {task} run {number} on {self.name}")
        if step.get("gang"):
            members = self.world.gangs.setdefault((task.rsplit(".", 1)[0], number), [])
            members.append(run)
            if len(members) == step["count"]:
                for member in members:
                    member.work_from = now
        else:
            run.work_from = now
        return 200, {"clock_ms": self.clock_ms()}

    def _stop(self, req):
        task, number = req["task"], req["run"]
        self.highest[task] = max(self.highest.get(task, 0), number)
        run = self.running.get(task)
        if run is not None and run.number <= number and run.stop_at is None:
            run.stop_at = time.monotonic() + STOP_S
        return 200, {"clock_ms": self.clock_ms()}

    async def _hold(self, req):
        if "deadline_ms" in req:
            self._extend(req["deadline_ms"])
        self.acked = max(self.acked, req.get("acked_upto", 0))
        self.ended = [row for row in self.ended if row[0] > self.acked]
        until = time.monotonic() + min(MAX_WAIT_MS, req.get("wait_ms", 0)) / 1000
        while not self.ended and (left := until - time.monotonic()) > 0:
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)
        return 200, {
            "clock_ms": self.clock_ms(),
            "born": self.born,
            "running": [self._row(run) for run in self.running.values()],
            "ended": self.ended[:500],
        }

    def _row(self, run):
        percent = 0
        if run.work_from is not None:
            worked_s = time.monotonic() - run.work_from
            whole_s = run.work_s if run.work_s is not None else 0.3
            percent = int(100 * min(1.0, worked_s / max(whole_s, 0.001)))
        return [run.task, run.number, "", percent, self.world.step_of(run.task).get("cpu", 0)]


class MachineList:
    """The platform's list of machines."""

    def __init__(self, world):
        self._world = world
        self.server = HttpServer(self._handle)

    async def _handle(self, method, path, query, headers, body):
        machines = []
        for executor in self._world.executors.values():
            row = {
                "machine": f"m-{executor.name}",
                "pool": executor.service,
                "state": "up" if executor.up else "down",
                "zone": executor.zone,
                "labels": [executor.kind, executor.rack],
                "capacity": executor.capacity,
            }
            if executor.up:
                row["id"] = executor.name
            machines.append(row)
        return 200, {"machines": machines, "next_token": None}


class Fleet:
    """The project's own programs as processes, with a platform of stand-ins.

    :param folder: where ``record.txt`` is written.
    """

    def __init__(self, folder, vms=3, zones=("z1", "z2", "z3", "z4")):
        self.record = Record(Path(folder) / "record.txt")
        self.world = World(self.record)
        self.store = Store(self.record)
        self.machines = MachineList(self.world)
        self.service = "svc-desk"
        self.host = "desk.example"
        self.zones = zones
        self.key = "key-of-a"
        self.settings = {}
        self.processes = {}
        self._directory = tempfile.TemporaryDirectory(prefix="review-2-")
        self._vm_count = vms
        self._background = []
        self._version = 0
        self._next_job = 0
        self.config = {
            "routes": [self.route("urgent", 0, 1.5, 250)]
            + [self.route("ordinary", 1, 3.0, 1000), self.route("patient", 2, 3.0, 3000)],
            "services": [{"name": self.service, "admission_check": True}],
            "limits": {},
            "tenants": [{"name": "a", "api_keys": [self.key], "guaranteed": {"gpu": 8}}],
        }

    def route(self, name, priority, stretch, slo_ms):
        return {
            "name": f"r-{name}",
            "host": self.host,
            "prefix": f"/{name}/",
            "kind": "non_idempotent",
            "timeout_ms": 3000,
            "slo_ms": slo_ms,
            "priority": priority,
            "service": self.service,
            "attempts": 2,
            "stretch": stretch,
            "public": False,
        }

    def configure(self):
        self._version += 3
        self.store.write("op/config", {"version": self._version} | self.config)
        self.record.write(f"operator writes configuration {self._version}")

    async def start(self, executors):
        """Start the platform and the VMs, and wait until all VMs are ready and one directs."""
        await self.store.server.start()
        await self.machines.server.start()
        self._background.append(asyncio.ensure_future(self.store.expire_leases()))
        self.configure()
        for executor in executors:
            await executor.start()
        for number in range(self._vm_count):
            self.start_vm(f"front-{self.zones[number % len(self.zones)]}-{number + 1}")
        end = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < end:
            await asyncio.sleep(0.2)
            ready = [await self.is_ready(vm) for vm in self.processes]
            if all(ready) and any(item["lease"] for item in self.store.items.values()):
                await asyncio.sleep(2.0)
                self.record.write("all VMs are ready")
                return
        raise RuntimeError("the VMs did not become ready")

    def executor(self, name, zone, rack, capacity, kind="a"):
        return Executor(
            self.world, self.store, self.service, name, zone, rack, capacity, kind
        )

    def start_vm(self, name):
        if name not in self.settings:
            first = free_ports(6)
            self.settings[name] = {
                "node": name,
                "role": "entry",
                "class": "front",
                "serves": "front",
                "ip": HOST,
                "zone": name.split("-")[1],
                "region": "reg",
                "listen.front": f"{HOST}:{first}",
                "listen.ready": f"{HOST}:{first + 1}",
                "listen.control": f"{HOST}:{first + 2}",
                "port_range": f"{first + 3},{first + 5}",
                "seeds": f"{HOST}:{first + 2}",
                "bootstrap": "true",
                "limits.cpu_share": "0.537",
                "limits.cores": "2",
                "limits.memory_mb": "300",
                "limits.max_fds": "4100",
                "limits.link_mbps": "1000.0",
                "limits.disk_mb": "0",
                "discovery": "platform",
                "entry": "vip",
                "heartbeat_ms": "1500",
                "contracts": "base,drain,config,cost,recover,sched,tenants,platform,advice,"
                "upkeep,sharing",
                "bounds.stability_window_ms": "3000",
                "bounds.ack_timeout_ms": "4000",
                "bounds.drain_ms": "2000",
                "bounds.grace_s": "6",
                "bounds.config_apply_ms": "2000",
                "bounds.recovery_s": "12",
                "bounds.max_hold_ms": str(MAX_HOLD_MS),
                "bounds.stop_timeout_ms": "900",
                "bounds.gang_timeout_ms": "3000",
                "bounds.cancel_ms": "3000",
                "bounds.visible_ms": "3000",
                "bounds.early_ms": "250",
                "bounds.finish_s": "14",
                "bounds.status_s": "120",
                "bounds.remote_penalty": "3",
                "bounds.checkpoint_interval_s": "0.5",
                "bounds.restore_ms": "600",
                "bounds.reclaim_ms": "3400",
                "control_mode": "rpc",
                "advice": "",
                "platform.addr": f"{HOST}:{self.store.server.port}",
                "platform.form": "kv",
                "platform.writes_per_s": "400",
                "platform.reads_per_s": "2000",
                "platform.retention_s": "20",
                "platform.value_bytes": "1048576",
                "platform.min_ttl_ms": "1000",
                "cloud.addr": f"{HOST}:{self.machines.server.port}",
                "cloud.rate_per_s": "60.0",
                "cloud.duties": "",
                "cloud.duty_per_s": "60.0",
            }
        path = Path(self._directory.name) / f"{name}.conf"
        text = "".join(f"{key}={value}\n" for key, value in self.settings[name].items())
        path.write_text(text, encoding="utf-8")
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text(encoding="utf-8"))
        command = shlex.split(deploy["roles"]["entry"]["run"])
        log = open(Path(self._directory.name) / f"{name}.log", "ab")  # noqa: SIM115
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        env["LACEWINGMILL_SETTINGS"] = str(path)
        import subprocess

        self.processes[name] = subprocess.Popen(
            command, cwd=ROOT, env=env, stdout=log, stderr=log, stdin=subprocess.DEVNULL
        )
        log.close()
        self.record.write(f"VM {name} started")

    def log_text(self, name):
        return (Path(self._directory.name) / f"{name}.log").read_text(errors="replace")

    def signal_vm(self, name, signum):
        self.record.write(f"VM {name} gets {signal.Signals(signum).name}")
        self.processes[name].send_signal(signum)

    async def is_ready(self, name):
        answer = await self.call(self.settings[name]["listen.ready"], "GET", "/ready", timeout_s=1)
        return answer is not None and answer[0] == 200

    async def call(self, address, method, path, body=None, headers=None, timeout_s=3.0):
        """Send a request on a new connection; return status and body, ``None`` without answer."""
        try:
            return await asyncio.wait_for(
                self._exchange(address, method, path, body, headers or {}), timeout_s
            )
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
            return None

    async def _exchange(self, address, method, path, body, headers):
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            data = b"" if body is None else json.dumps(body).encode()
            fields = {"Host": address, "Content-Length": str(len(data))} | headers
            if data:
                fields["Content-Type"] = "application/json"
            head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
            writer.write(f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() + data)
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
            status = int(head.split(" ", 2)[1])
            length = 0
            for line in head.split("\r\n")[1:]:
                if line.startswith("content-length:"):
                    length = int(line.partition(":")[2])
            text = await reader.readexactly(length)
            return status, json.loads(text) if text else {}
        finally:
            writer.transport.abort()

    async def consumer_call(self, vm, method, path, body=None, key=None, deadline_ms=3000):
        headers = {
            "Host": self.host,
            "Authorization": f"Token {key or self.key}",
            "X-Deadline-Ms": str(deadline_ms),
        }
        sent = self.record.now()
        answer = await self.call(
            self.settings[vm]["listen.front"], method, path, body, headers, deadline_ms / 1000
        )
        took_ms = (self.record.now() - sent) * 1000
        said = "no answer" if answer is None else f"{answer[0]} {json.dumps(answer[1])}"
        self.record.write(f"{method} {path} at {vm}: {said} ({took_ms:.0f} ms)")
        return answer

    async def submit(self, queue, steps, spec, vm=None, **fields):
        """Hand a job in, at up to five VMs in turn until one accepts it."""
        self._next_job += 1
        job_id = f"{random.getrandbits(48):012x}{self._next_job:04x}"
        job = Job(job_id, queue, {"spec": spec, "steps": steps} | fields, self.record.now())
        self.world.jobs[job_id] = job
        vms = [name for name, process in self.processes.items() if process.poll() is None]
        for attempt in range(5):
            name = vm or vms[(self._next_job + attempt) % len(vms)]
            answer = await self.consumer_call(name, "POST", f"/{queue}/{job_id}", job.body)
            job.statuses.append(answer[0] if answer else 0)
            if answer is not None and 200 <= answer[0] < 300:
                job.accepted_at = self.record.now()
                return job
            await asyncio.sleep(1.0)
        return job

    async def cancel(self, job, vm=None):
        name = vm or next(n for n, p in self.processes.items() if p.poll() is None)
        job.cancel_sent_at = self.record.now()
        answer = await self.consumer_call(name, "DELETE", f"/{job.queue}/{job.job_id}")
        if answer is not None and answer[0] in (200, 202, 204, 410):
            job.cancelled_at = self.record.now()
        return answer

    async def state(self, job, vm=None):
        name = vm or next(n for n, p in self.processes.items() if p.poll() is None)
        answer = await self.consumer_call(name, "GET", f"/{job.queue}/{job.job_id}")
        if answer is None:
            return None
        return answer[1].get("state") if answer[0] == 200 else answer[0]

    def stop(self):
        """End all processes that were started, and all stand-ins."""
        for process in self.processes.values():
            if process.poll() is None:
                with contextlib.suppress(OSError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
        for process in self.processes.values():
            process.wait()
        for task in self._background:
            task.cancel()
        for executor in self.world.executors.values():
            if executor.up:
                for task in executor._tasks:
                    task.cancel()
                executor.server.stop()
        self.store.server.stop()
        self.machines.server.stop()
        if os.environ.get("KEEP_LOGS"):
            import shutil

            shutil.copytree(self._directory.name, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        self._directory.cleanup()


def play(case, folder):
    """Run a case and exit: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.

    :param case: coroutine function of the folder and of whether to make trouble; it returns the
        breaks that it found.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        breaks = asyncio.run(asyncio.wait_for(case(folder, trouble), 115))
    except Exception as exc:  # noqa: BLE001
        print(f"the case could not run: {exc!r}")
        raise SystemExit(2) from exc
    for text in breaks:
        print(text)
    print("the rule was broken" if breaks else "the rule held")
    raise SystemExit(1 if breaks else 0)
