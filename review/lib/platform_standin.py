"""A small platform on loopback for the review's scripts; it needs nothing but Python itself.

It plays the platform's store, executors, advice service and list of machines, starts the entry VMs
with the command of the deploy file, and writes what was sent, answered and run to ``record.txt``.
Stand-ins behave soundly, but for what a script changes on purpose.
"""

import asyncio
import base64
import contextlib
import itertools
import json
import math
import os
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
FRONT_HOST = "desk.example"
SERVICE = "plumes"
KEY = "key-a"
TICK_S = 0.005
HEARTBEAT_S = 1.5
STOP_S = 0.1
GANG_S = 3.0
MAX_HOLD_MS = 6000
ENDS_PER_ANSWER = 500
OWNER_KEY = "lacewingmill/owner"


class Drop(Exception):
    """The call gets no answer; its connection stays open and silent."""


class Server:
    """An HTTP/1.1 server; ``handle(method, target, headers, body)`` returns status and body."""

    def __init__(self, handle):
        self.handle = handle
        self.port = 0
        self.writers = set()

    async def start(self):
        self._server = await asyncio.start_server(self._serve, HOST, 0, backlog=512)
        self.port = self._server.sockets[0].getsockname()[1]

    def reset_all(self):
        """Reset all open connections."""
        for writer in list(self.writers):
            _reset(writer)

    def close(self):
        self._server.close()
        self.reset_all()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
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
                try:
                    status, answer = await self.handle(method, target, headers, body)
                except Drop:
                    await asyncio.sleep(3600)
                    return
                data = b"" if answer is None else json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode() + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            with contextlib.suppress(Exception):
                writer.close()


def _reset(writer):
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(Exception):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
    writer.transport.abort()


class Store:
    """The platform's store: revisions, conditions, leases, watches; loses nothing."""

    def __init__(self):
        self.server = Server(self._handle)
        self.down = False  # answers 503 to all calls; leases of the VMs run on, entries stay
        self.revision = 10
        self.items = {}  # key: [value in base64, revision, created, lease]
        self.leases = {}  # id: [ttl in seconds, end]
        self.history = []
        self._ids = itertools.count(7001)
        self._changed = asyncio.Event()

    def put(self, key, value):
        """Write a key as the operator or an executor; ``None`` removes it."""
        if value is None:
            self._apply([], [key])
        else:
            data = base64.b64encode(json.dumps(value).encode()).decode()
            self._apply([(key, data, 0)], [])

    def set_down(self, down):
        """Begin or end an outage; watches that wait are cut."""
        self.down = down
        self._changed.set()
        self._changed = asyncio.Event()

    def text(self, key):
        """Return the bytes of a key, or empty."""
        item = self.items.get(key)
        return base64.b64decode(item[0]) if item else b""

    def expire(self):
        now = time.monotonic()
        for lease in [lease for lease, (_, end) in self.leases.items() if end <= now]:
            self._end_lease(lease)

    def _end_lease(self, lease):
        del self.leases[lease]
        keys = [key for key, item in self.items.items() if item[3] == lease]
        if keys:
            self._apply([], keys)

    def _apply(self, puts, removes):
        self.revision += 1
        for key, data, lease in puts:
            created = self.items[key][2] if key in self.items else self.revision
            self.items[key] = [data, self.revision, created, lease]
            self.history.append(self._item(key))
        for key in removes:
            if self.items.pop(key, None):
                self.history.append({"key": key, "revision": self.revision, "deleted": True})
        self._changed.set()
        self._changed = asyncio.Event()

    def _item(self, key):
        value, revision, created, lease = self.items.get(key, ("", 0, 0, 0))
        return {
            "key": key,
            "value": value,
            "revision": revision,
            "created": created,
            "lease": lease,
        }

    async def _handle(self, method, target, headers, body):
        await asyncio.sleep(0.004)
        if self.down:
            return 503, {}
        self.expire()
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        name, _, rest = url.path[1:].partition("/")
        if name == "kv-key":
            if query["key"] not in self.items:
                return 404, {"store_revision": self.revision}
            return 200, self._item(query["key"]) | {"store_revision": self.revision}
        if name == "kv-range":
            keys = sorted(
                key
                for key in self.items
                if key.startswith(query["prefix"]) and key > query.get("after", "")
            )
            return 200, {
                "items": [self._item(key) for key in keys[:500]],
                "has_more": len(keys) > 500,
                "store_revision": self.revision,
            }
        if name == "kv-watch":
            return await self._watch(query)
        if name == "kv-txn":
            return self._transact(json.loads(body))
        if name == "kv-lease":
            ttl_ms = max(1000, json.loads(body)["ttl_ms"])
            lease = next(self._ids)
            self.leases[lease] = [ttl_ms / 1000, time.monotonic() + ttl_ms / 1000]
            return 200, {"lease": lease, "ttl_ms": ttl_ms}
        lease = int(rest)
        if lease not in self.leases:
            return 404, {}
        if name == "kv-keep":
            ttl_s = self.leases[lease][0]
            self.leases[lease][1] = time.monotonic() + ttl_s
            return 200, {"ttl_ms": int(ttl_s * 1000)}
        self._end_lease(lease)
        return 200, {}

    async def _watch(self, query):
        after = int(query["after"])
        end = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            events = [
                event
                for event in reversed(self.history)
                if event["revision"] > after and event["key"].startswith(query["prefix"])
            ][::-1]
            left = end - time.monotonic()
            if self.down:
                return 503, {}
            if events or left <= 0:
                return 200, {"events": events, "store_revision": self.revision}
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)

    def _transact(self, txn):
        expect, puts = txn.get("expect_rev") or [], txn.get("puts") or []
        removes = txn.get("remove") or []
        if len(expect) + len(puts) + len(removes) > 32:
            return 400, {}
        current = [self._item(row["key"]) for row in expect]
        if any(item["revision"] != row["revision"] for item, row in zip(current, expect)):
            return 412, {"items": current}
        if any(put.get("lease") and put["lease"] not in self.leases for put in puts):
            return 404, {}
        self._apply([(put["key"], put["value"], put.get("lease", 0)) for put in puts], removes)
        return 200, {"revision": self.revision}


class Run:
    """One run of a task, as the executor saw it."""

    def __init__(self, task, number, executor, length_s, fails):
        self.task, self.number, self.executor = task, number, executor
        self.started = time.monotonic()
        self.length_s = length_s
        self.ends = self.started + length_s  # infinite while a gang waits for its members
        self.fails = fails
        self.stops = None
        self.ended = None
        self.how = ""
        self.noted = False
        self.n = 0


class Executor:
    """An executor that guards its capacity.

    The spec ``run_s=1 slow=3:20`` lets the tasks of step 3 work for 20 s and all others for 1 s.

    ``failing``: all that it starts fails. ``reaches_store``: whether its reports reach the store.
    ``cut``: whether it is partitioned from all VMs; no call reaches it, and no answer leaves it.
    """

    def __init__(self, platform, name, capacity, labels, zone):
        self.platform = platform
        self.name, self.capacity, self.labels, self.zone = name, capacity, labels, zone
        self.server = Server(self._handle)
        self.born = int(time.time() * 1000)
        self.started = time.monotonic()
        self.state = "ready"
        self.up = True
        self.failing = False
        self.reaches_store = True
        self.listed = False
        self.cut = False
        self.fence = 0
        self.lease_ms = 0
        self.lapsed_at = 0.0
        self.highest = {}
        self.running = {}
        self.ended = []
        self.count = 0
        self.reported = self.next_beat = 0.0
        self.seq = 0
        self.drain_s = 2.0
        self.exits_at = None
        self.changed = asyncio.Event()

    def clock_ms(self):
        return int((time.monotonic() - self.started) * 1000)

    def heartbeat(self):
        """Report to the store; it removes an entry after three intervals of silence."""
        now = time.monotonic()
        if self.platform.store.down:
            self.reported = max(self.reported, now - HEARTBEAT_S)
            self.next_beat = max(self.next_beat, now)
            return
        if self.up and now >= self.next_beat:
            self.next_beat += HEARTBEAT_S
            if self.reaches_store:
                self.report()
        if self.listed and now - self.reported > 3 * HEARTBEAT_S:
            self.unlist("silent for three heartbeats")

    def report(self):
        self.reported = time.monotonic()
        self.next_beat = self.reported + HEARTBEAT_S
        self.listed = True
        self.seq += 1
        entry = {
            "service": SERVICE,
            "addr": f"{HOST}:{self.server.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "cold_left_ms": 0,
            "capacity": self.capacity,
            "labels": self.labels,
            "clock_ms": self.clock_ms(),
            "born": self.born,
            "seq": self.seq,
        }
        self.platform.store.put(f"servers/{self.name}", entry)

    def unlist(self, why):
        self.listed = False
        self.platform.store.put(f"servers/{self.name}", None)
        self.platform.note(f"{self.name}: entry removed from the store ({why})")

    def set_cut(self, cut):
        """Begin or end a partition from all VMs."""
        self.cut = cut
        what = "cut off from the VMs" if cut else "reached by the VMs again"
        self.platform.note(f"{self.name}: {what}")

    def drain(self, linger_s):
        """Begin a planned shutdown: report ``draining``, serve on, then exit."""
        self.state = "draining"
        self.report()
        self.exits_at = time.monotonic() + self.drain_s + linger_s
        self.platform.note(f"{self.name}: draining, accepted by the store")

    def exit(self):
        """Exit; everything that runs here terminates."""
        self.advance()
        self.up = False
        for run in list(self.running.values()):
            run.how, run.ended = "exited", time.monotonic()
            self.platform.note_end(run)
        self.running.clear()
        self.server.close()
        if self.listed:
            self.unlist("it has left")
        self.platform.note(f"{self.name}: exited")

    def advance(self):
        if not self.up:
            return
        now = time.monotonic()
        if self.exits_at is not None and now >= self.exits_at:
            self.exits_at = None
            self.exit()
            return
        lapse = self.started + self.lease_ms / 1000
        if lapse <= now:
            self.lapsed_at = lapse
        for run in list(self.running.values()):
            if run.ends <= min(now, lapse):
                self._end(run, "failed" if run.fails else "done")
            elif lapse <= now:
                self._end(run, "lapsed")
            elif run.stops is not None and run.stops <= now:
                self._end(run, "stopped")
            elif self.platform.gang_broken(run):
                self._end(run, "broken")
            elif run.ends == math.inf and now - run.started >= GANG_S:
                self._end(run, "alone")

    def _end(self, run, how):
        run.how, run.ended = how, time.monotonic()
        del self.running[run.task]
        self.count += 1
        run.n = self.count
        self.ended.append(run)
        self.platform.note_end(run)
        self.changed.set()
        self.changed = asyncio.Event()

    async def _handle(self, method, target, headers, body):
        if headers.get("x-expect-instance", self.name) != self.name:
            return 421, {}
        req = json.loads(body) if body else {}
        path = target.partition("?")[0]
        if self.cut:
            raise Drop
        answer = await self.carry_out(path, req)
        if self.cut:
            raise Drop
        return answer

    async def carry_out(self, path, req):
        self.advance()
        if req.get("fence", 0) < self.fence:
            return 409, {"clock_ms": self.clock_ms(), "reason": "fence"}
        self.fence = req.get("fence", 0)
        if path == "/hold":
            return await self._hold(req)
        if path == "/run-start":
            return self._start(req)
        if path == "/run-stop":
            return self._stop(req["task"], req["run"])
        return 404, {}

    def _extend(self, deadline_ms):
        self.lease_ms = max(self.lease_ms, min(deadline_ms, self.clock_ms() + MAX_HOLD_MS))

    def _start(self, req):
        def refuse(reason):
            self.platform.note(f"{self.name}: start of {task} run {number} rejected: {reason}")
            return 409, {"clock_ms": self.clock_ms(), "reason": reason}

        task, number = req["task"], req["run"]
        current = self.running.get(task)
        if current is not None and current.number == number:
            return 200, {"clock_ms": self.clock_ms()}
        if req["deadline_ms"] < self.clock_ms():
            return refuse("late")
        self._extend(req["deadline_ms"])
        if number <= self.highest.get(task, 0) or current is not None:
            return refuse("old")
        ticket = self.platform.ticket(task, self)
        if ticket is not None and req.get("ticket") != ticket:
            return refuse("ticket")
        step = self.platform.step_of(task)
        for kind, most in self.capacity.items():
            used = sum(self.platform.step_of(other).get(kind, 0) for other in self.running)
            if used + step.get(kind, 0) > most:
                return refuse("room")
        options = dict(word.split("=") for word in req["spec"].split())
        length_s = float(options.get("run_s", 1))
        slow_step, _, slow_s = options.get("slow", "").partition(":")
        if task.split(".")[2] == slow_step:
            length_s = float(slow_s)
        if self.failing:
            length_s /= 2  # it fails half-way
        run = Run(task, number, self.name, length_s, self.failing)
        run.fence = self.fence
        self.running[task] = run
        self.highest[task] = number
        if step.get("gang"):
            self.platform.join_gang(run, step)
        self.platform.runs.append(run)
        self.platform.note(f"{self.name}: {task} run {number} starts (fence {self.fence})")
        return 200, {"clock_ms": self.clock_ms()}

    def _stop(self, task, number):
        self.highest[task] = max(self.highest.get(task, 0), number)
        run = self.running.get(task)
        if run is not None and run.number <= number and run.stops is None:
            run.stops = time.monotonic() + STOP_S
        return 200, {"clock_ms": self.clock_ms()}

    async def _hold(self, req):
        if "deadline_ms" in req:
            self._extend(req["deadline_ms"])
        for run in self.ended:
            if run.n <= req["acked_upto"] and self.lapsed_at <= run.ended:
                run.noted = True
        self.ended = [run for run in self.ended if run.n > req["acked_upto"]]
        end = time.monotonic() + min(2.0, req.get("wait_ms", 0) / 1000)
        while not self.ended and time.monotonic() < end and self.up:
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self.changed.wait(), max(0, end - time.monotonic()))
        return 200, {
            "clock_ms": self.clock_ms(),
            "born": self.born,
            "running": [[run.task, run.number, "", 50, 0] for run in self.running.values()],
            "ended": [
                [run.n, run.task, run.number, run.how, ""] for run in self.ended[:ENDS_PER_ANSWER]
            ],
        }


class Vm:
    """One entry VM, a process of its own."""

    def __init__(self, name):
        self.name = name
        self.process = None


class Platform:
    """All stand-ins of one script, the entry VMs and the record."""

    def __init__(self, folder, vms=6):
        self.folder = Path(folder)
        self.began = time.monotonic()
        self.lines = []
        self.store = Store()
        self.executors = {}
        self.runs = []
        self.gangs = {}
        self.jobs = {}
        self.vms = [Vm(f"front-{number}") for number in range(vms)]
        self.advice = Server(self._advise)
        self.cloud = Server(self._machines)
        self.good = None  # for advised jobs: the ids of the executors that may run them
        self.directory = tempfile.TemporaryDirectory()

    def note(self, text):
        self.lines.append(f"{time.monotonic() - self.began:8.3f} s  {text}")

    def note_end(self, run):
        self.note(f"{run.executor}: {run.task} run {run.number} ends: {run.how}")

    def step_of(self, task):
        job, _, step, _ = task.split(".")
        return self.jobs[job]["steps"][int(step)]

    def join_gang(self, run, step):
        """Add a member; the work begins when all members of one run are present."""
        members = self.gangs.setdefault((run.task.rpartition(".")[0], run.number), [])
        members.append(run)
        run.ends = math.inf
        if len(members) == step["count"]:
            for member in members:
                member.ends = time.monotonic() + member.length_s

    def gang_broken(self, run):
        """Whether another member of a run's gang has ended without being done."""
        members = self.gangs.get((run.task.rpartition(".")[0], run.number), ())
        return any(member.how not in ("", "done") for member in members)

    def ticket(self, task, executor):
        """Return the ticket that a start needs; ``None`` where none is needed."""
        job = task.split(".")[0]
        if not self.jobs[job]["queue"].startswith("advised"):
            return None
        return f"t-{job}-{executor.name}" if self.good(executor) else ""

    async def add_executor(self, name, capacity=None, labels=("a", "r1"), zone="z0"):
        capacity = capacity or {"cpu": 32000, "mem_mb": 131072, "gpu": 8}
        executor = Executor(self, name, capacity, list(labels), zone)
        await executor.server.start()
        self.executors[name] = executor
        executor.report()
        return executor

    async def start(self, attempts=2):
        """Write the first configuration and start the entry VMs."""
        for server in (self.store.server, self.advice, self.cloud):
            await server.start()
        self.configure(1, attempts)
        self._ticker = asyncio.create_task(self._tick())

    def configure(self, version, attempts):
        def route(name, priority, **fields):
            return {
                "name": name,
                "host": FRONT_HOST,
                "prefix": f"/{name}/",
                "kind": "non_idempotent",
                "timeout_ms": 3000,
                "slo_ms": 1000,
                "priority": priority,
                "service": SERVICE,
                "attempts": attempts,
                "stretch": 3.0,
                "public": False,
            } | fields

        advice = {"decide_ms": 20, "period_ms": 5, "valid_ms": 3000}
        self.store.put(
            "op/config",
            {
                "version": version,
                "routes": [
                    route("urgent", 0),
                    route("ordinary", 1),
                    route("advised", 1, advice=advice),
                ],
                "services": [{"name": SERVICE, "admission_check": True, "standby": False}],
                "limits": {},
                "tenants": [{"name": "t1", "api_keys": [KEY], "guaranteed": {"gpu": 8}}],
            },
        )

    async def start_vms(self):
        first = _free_ports(4 * len(self.vms))
        for number, vm in enumerate(self.vms):
            vm.front = first + 4 * number
            vm.ready, vm.peers = vm.front + 1, vm.front + 2
            self.start_vm(vm)
        for vm in self.vms:
            for _ in range(300):
                if (await request(vm.ready, "GET", "/ready", timeout_s=1.0))[0] == 200:
                    break
                await asyncio.sleep(0.1)
            else:
                raise RuntimeError(f"{vm.name} never became ready")
        for _ in range(100):
            if self.owner() is not None and self.store.text("lacewingmill/workers"):
                break
            await asyncio.sleep(0.1)
        await asyncio.sleep(2.0)
        self.note(f"all VMs are ready; {self.owner().name} directs the workers")

    def start_vm(self, vm):
        path = Path(self.directory.name) / f"{vm.name}.conf"
        fields = {
            "node": vm.name,
            "role": "entry",
            "class": "front",
            "serves": "front",
            "ip": HOST,
            "zone": "z0",
            "region": "r",
            "listen.front": f"{HOST}:{vm.front}",
            "listen.ready": f"{HOST}:{vm.ready}",
            "port_range": f"{vm.peers},{vm.peers + 1}",
            "bootstrap": "true",
            "limits.memory_mb": 300,
            "limits.link_mbps": 1000.0,
            "heartbeat_ms": 1500,
            "bounds.stability_window_ms": 3000,
            "bounds.ack_timeout_ms": 4000,
            "bounds.drain_ms": 2000,
            "bounds.grace_s": 6,
            "bounds.config_apply_ms": 2000,
            "bounds.recovery_s": 12,
            "bounds.max_hold_ms": MAX_HOLD_MS,
            "bounds.stop_timeout_ms": 400,
            "bounds.gang_timeout_ms": 3000,
            "bounds.cancel_ms": 3000,
            "bounds.visible_ms": 3000,
            "bounds.finish_s": 14,
            "bounds.status_s": 120,
            "control_mode": "rpc",
            "advice": f"{HOST}:{self.advice.port}",
            "platform.addr": f"{HOST}:{self.store.server.port}",
            "platform.form": "kv",
            "cloud.addr": f"{HOST}:{self.cloud.port}",
        }
        path.write_text("".join(f"{name}={value}\n" for name, value in fields.items()))
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = shlex.split(deploy["roles"]["entry"]["run"])
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env["LACEWINGMILL_SETTINGS"] = str(path)
        with (Path(self.directory.name) / f"{vm.name}.log").open("ab") as log:
            vm.process = subprocess.Popen(
                command, cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )

    def owner(self):
        """Return the VM that directs the workers, which holds a key of the store."""
        text = self.store.text(OWNER_KEY)
        for vm in self.vms:
            if text and vm.name.encode() in text:
                return vm
        return None

    def signal(self, vm, number):
        self.note(f"{vm.name}: {signal.Signals(number).name}")
        os.kill(vm.process.pid, number)

    async def submit(self, vm, queue, job, steps, spec):
        """Hand a job in; consumers try again at other nodes after no answer, 502 or 504."""
        self.jobs[job] = {"queue": queue, "steps": steps, "spec": spec, "answers": []}
        self.jobs[job]["at"] = time.monotonic()
        body = {"spec": spec, "steps": steps}
        for attempt in range(5):
            node = self.vms[(self.vms.index(vm) + attempt) % len(self.vms)]
            status, _ = await call(node, "POST", f"/{queue}/{job}", body)
            self.note(f"POST /{queue}/{job} to {node.name}: {status or 'no answer'}")
            self.jobs[job]["answers"].append(status)
            if status not in (0, 502, 504):
                break
        self.jobs[job]["accepted"] = status == 200
        return status

    async def state(self, vm, job, quiet=False):
        """Return the state that a node tells, the status without one, or 0 for no answer."""
        queue = self.jobs[job]["queue"]
        status, answer = await call(vm, "GET", f"/{queue}/{job}")
        told = answer.get("state") if status == 200 else status
        if not quiet:
            self.note(f"GET /{queue}/{job} at {vm.name}: {told or 'no answer'}")
        return told

    async def _advise(self, method, target, headers, body):
        req = json.loads(body)
        await asyncio.sleep(0.02 + 0.005 * len(req["workers"]))
        job = req["step"].split(".")[0]
        rows = [
            [name, f"t-{job}-{name}"]
            for name in req["workers"]
            if name in self.executors and self.good(self.executors[name])
        ]
        self.note(f"advice on {req['step']}, asked {req['workers']}: {[row[0] for row in rows]}")
        return 200, {"good": rows, "valid_ms": 3000}

    async def _machines(self, method, target, headers, body):
        return 200, {
            "machines": [
                {
                    "machine": f"m-{executor.name}",
                    "pool": SERVICE,
                    "state": "up",
                    "zone": executor.zone,
                    "labels": executor.labels,
                    "capacity": executor.capacity,
                    "id": executor.name,
                }
                for executor in self.executors.values()
                if executor.up
            ],
            "next_token": None,
        }

    async def _tick(self):
        while True:
            self.store.expire()
            for executor in list(self.executors.values()):
                executor.advance()
                executor.heartbeat()
            await asyncio.sleep(TICK_S)

    def twice(self):
        """Return where TWICE is broken: overlaps on executors that are up, or starts after done.

        A start after ``done`` counts if that end is taken note of; one whose executor's lease
        lapsed before isn't.
        """
        found = []
        tasks = {}
        for run in self.runs:
            tasks.setdefault(run.task, []).append(run)
        for task, runs in tasks.items():
            for number, first in enumerate(runs):
                for second in runs[number + 1 :]:
                    if first.ended is None or first.ended > second.started:
                        found.append(
                            f"{task}: run {first.number} on {first.executor} still runs when run "
                            f"{second.number} starts on {second.executor}"
                        )
                    elif first.how == "done" and first.noted:
                        found.append(
                            f"{task}: run {second.number} starts on {second.executor} after run "
                            f"{first.number} ended done on {first.executor}, which was noted"
                        )
        return found

    async def stuck(self, too_large=frozenset()):
        """Return where LOST is broken: jobs that aren't known, or have nothing running for 3 s.

        Scripts with few tasks call it ``finish_s`` after their traffic; there is room for each job
        many times over then, and hardly anything is in use.

        :param too_large: jobs for which there is never room twice over; they may wait.
        """
        broken = []
        began = time.monotonic()
        for job, kept in self.jobs.items():
            if not kept["accepted"]:
                continue
            told = [await self.state(vm, job) for vm in self.vms]
            if 410 in told or not any(isinstance(state, str) for state in told):
                broken.append(f"job {job} isn't known")
            elif not {"completed", "failed", "cancelled"} & set(told):
                kept["open"] = True
        await asyncio.sleep(max(0.0, began + 3.0 - time.monotonic()))
        for job, kept in self.jobs.items():
            runs = [run for run in self.runs if run.task.startswith(job)]
            if job in too_large:
                continue
            if kept.get("open") and all(run.ended and run.ended < began for run in runs):
                idle_s = time.monotonic() - max((run.ended for run in runs), default=kept["at"])
                broken.append(f"job {job} has had nothing running for {idle_s:.1f} s")
        return broken

    def stop(self):
        for vm in self.vms:
            if vm.process is not None and vm.process.poll() is None:
                vm.process.kill()
        for vm in self.vms:
            if vm.process is not None:
                vm.process.wait()

    def write_record(self, verdict):
        (self.folder / "record.txt").write_text("\n".join([*self.lines, verdict]) + "\n")


async def call(vm, method, path, body=None):
    headers = {
        "Host": FRONT_HOST,
        "Authorization": f"Token {KEY}",
        "X-Deadline-Ms": "3000",
        "Content-Type": "application/json",
    }
    return await request(vm.front, method, path, body, headers, timeout_s=3.0)


async def request(port, method, path, body=None, headers=None, timeout_s=3.0):
    """Send one request on a channel of its own; status 0 means that no answer came."""
    try:
        return await asyncio.wait_for(_exchange(port, method, path, body, headers or {}), timeout_s)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, {}


async def _exchange(port, method, path, body, headers):
    reader, writer = await asyncio.open_connection(HOST, port)
    try:
        data = json.dumps(body).encode() if body is not None else b""
        fields = {"Host": HOST, "Connection": "close"} | headers
        fields["Content-Length"] = str(len(data))
        head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        writer.write(f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() + data)
        await writer.drain()
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        length = 0
        for line in head.split("\r\n")[1:]:
            name, _, value = line.partition(":")
            if name.strip().lower() == "content-length":
                length = int(value)
        data = await reader.readexactly(length)
        status = int(head.split(" ", 2)[1])
        try:
            answer = json.loads(data) if data else {}
        except ValueError:
            answer = {}
        return status, answer if isinstance(answer, dict) else {}
    finally:
        writer.close()


def _free_ports(count):
    """Return the first of some free ports in a row, below those of outgoing channels."""
    for _ in range(200):
        first = random.randrange(12000, 19000)
        with contextlib.ExitStack() as stack:
            try:
                for port in range(first, first + count):
                    stack.enter_context(socket.socket()).bind((HOST, port))
            except OSError:
                continue
        return first
    raise RuntimeError(f"no {count} free ports in a row")


def main(play, folder, trouble, vms=6):
    """Play a script and exit with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.

    :param play: called with the platform and ``trouble``; returns what was broken.
    :param trouble: whether the script brings its disruption about.
    """

    async def run():
        platform = Platform(folder, vms)
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            broken = await asyncio.wait_for(play(platform, trouble), 112)
            verdict = "BROKEN: " + "; ".join(broken[:5]) if broken else "held"
            code = 1 if broken else 0
        except (Exception, asyncio.CancelledError) as exc:
            verdict, code = f"could not run: {exc!r}", 2
        finally:
            platform.stop()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for path in Path(platform.directory.name).glob("*.log"):
                (Path(keep) / path.name).write_bytes(path.read_bytes())
        platform.write_record(f"trouble: {trouble}; {verdict}")
        print(verdict)
        platform.directory.cleanup()
        return code

    code = asyncio.run(run())
    sys.stdout.flush()
    os._exit(code)
