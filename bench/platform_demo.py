"""Runs VMs as processes against the emulated platform on loopback and shows what became of jobs."""

import argparse
import json
import subprocess
import sys
import tempfile
from pathlib import Path

import gevent

from lacewingmill.adapters.clock import GeventClock
from lacewingmill.adapters.http_client import HttpClient
from lacewingmill.adapters.http_server import HttpRequest, HttpResponse, HttpServer
from lacewingmill.exceptions import TransportError
from standins.platform import (
    Executor,
    KvStore,
    Operator,
    RunHistory,
    configuration,
    write_settings,
)
from standins.platform.executors import SubmittedJob
from standins.platform.operator import HOST, SERVICE

BASE_PORT = 24100
VMS = 3
EXECUTORS = 4
PORTS_A_VM = 10
JOBS = 12
CALL_TIMEOUT_S = 3.0
READY_S = 20.0
LONGEST_S = 60.0
POLL_S = 0.2
STOP_S = 10.0


class Demo:
    """The emulated platform on loopback, and VMs beside it as processes of their own."""

    def __init__(self, folder: Path, base_port: int = BASE_PORT):
        clock = GeventClock()
        self._folder = folder
        self._base_port = base_port
        self._caller = HttpClient()
        self._store = KvStore(clock)
        self._book = RunHistory()
        self._vms: list[subprocess.Popen] = []
        self._services: list[HttpServer] = []
        operator = Operator(self._store)
        self._serve(base_port, self._answer_store)
        for number in range(EXECUTORS):
            executor = self._executor(number, clock)
            operator.register(executor)
        operator.configure(configuration(1))
        for number in range(VMS):
            port = self.front_port(number)
            text = write_settings(f"vm{number}", port, port + 1, port + 2, base_port)
            self.settings_path(number).write_text(text)

    @property
    def book(self) -> RunHistory:
        """What the executors ran."""
        return self._book

    def start(self) -> None:
        """Start the VMs and wait until one directs the jobs."""
        for number in range(VMS):
            path = self.settings_path(number)
            command = [sys.executable, "-m", "lacewingmill", "serve-jobs", "--settings", str(path)]
            with self.log_path(number).open("wb") as log:
                self._vms.append(subprocess.Popen(command, stdout=log))
        with gevent.Timeout(READY_S):
            while not self._store.keys("lacewingmill/workers"):
                gevent.sleep(POLL_S)

    def adopt(self, vms: list[subprocess.Popen]) -> None:
        """Take over VMs that were started elsewhere."""
        self._vms = vms

    def stop(self) -> list[int]:
        """Stop the VMs as planned, then the platform, and return the VMs' exit codes."""
        for vm in self._vms:
            vm.terminate()
        codes = [vm.wait(timeout=STOP_S) for vm in self._vms]
        for service in self._services:
            service.stop()
        return codes

    def call(self, vm: int, method: str, path: str, body: dict | None = None) -> tuple[int, dict]:
        """Send one call of a caller."""
        try:
            reply = self._caller.call(
                f"127.0.0.1:{self.front_port(vm)}",
                method,
                path,
                body=json.dumps(body or {}).encode(),
                headers={"Host": HOST, "Authorization": "Token key-a"},
                timeout_s=CALL_TIMEOUT_S,
            )
        except TransportError as exc:
            return 0, {"error": exc.message}
        return reply.status, json.loads(reply.body)

    def ask_ready(self, vm: int) -> int:
        """Return what a VM answers the balancer.

        :raises TransportError: when it does not answer.
        """
        address = f"127.0.0.1:{self.front_port(vm) + 1}"
        return self._caller.call(address, "GET", "/ready", timeout_s=CALL_TIMEOUT_S).status

    def settings_path(self, vm: int) -> Path:
        """Return where the settings of a VM stand."""
        return self._folder / f"vm{vm}.conf"

    def log_path(self, vm: int) -> Path:
        """Return where a VM's log lines go."""
        return self._folder / f"vm{vm}.log"

    def front_port(self, vm: int) -> int:
        """Return the port of a VM for callers."""
        return self._base_port + 100 + vm * PORTS_A_VM

    def submit(self, vm: int, queue: str, job_id: str, steps: list[dict], spec: str) -> int:
        """Hand a job in."""
        self._book.jobs[job_id] = SubmittedJob(steps)
        return self.call(vm, "POST", f"/{queue}/{job_id}", {"spec": spec, "steps": steps})[0]

    def _serve(self, port: int, handle) -> None:
        service = HttpServer(f"127.0.0.1:{port}", handle)
        service.start()
        self._services.append(service)

    def _answer_store(self, req: HttpRequest) -> HttpResponse:
        target = f"{req.path}?{req.query}" if req.query else req.path
        status, body = self._store.handle(req.connection, req.method, target, req.body)
        return HttpResponse(status, json.dumps(body).encode())

    def _executor(self, number: int, clock: GeventClock) -> Executor:
        port = self._base_port + 1 + number
        entry = {
            "service": SERVICE,
            "addr": f"127.0.0.1:{port}",
            "zone": f"z{number // 2}",
            "capacity": {"cpu": 32000, "mem_mb": 131072, "gpu": 8},
            "labels": ["a", f"r{number // 2}"],
        }
        executor = Executor(f"i-{number}", entry, clock, self._book)

        def answer(req: HttpRequest) -> HttpResponse:
            status, body = executor.handle(req.path, {}, req.body)
            return HttpResponse(status, json.dumps(body).encode())

        self._serve(port, answer)
        return executor


def make_jobs() -> list[tuple[str, list[dict], str]]:
    """Return queue, steps and spec of each job."""
    task = {"cpu": 1000, "mem_mb": 1024, "gpu": 1, "est_runtime_ms": 1500}
    batch = [{**task, "count": 6}, {**task, "count": 2, "after": [0]}]
    gang = [{**task, "count": 2, "gpu": 8, "gang": True}]
    kinds = [("patient", batch), ("ordinary", gang), ("urgent", gang)]
    return [(*kinds[number % len(kinds)], "run_s=1.5") for number in range(JOBS)]


def main() -> int:
    """Run the demonstration; the exit code tells whether all promises held."""
    parser = argparse.ArgumentParser(prog="bench.platform_demo", description=__doc__)
    parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        demo = Demo(Path(folder))
        demo.start()
        print(f"{VMS} VMs, {EXECUTORS} workers, a store, on loopback")
        accepted = hand_in(demo)
        states = wait_for_ends(demo, accepted)
        codes = demo.stop()
    return report(demo.book, accepted, states, codes)


def hand_in(demo: Demo) -> dict[str, str]:
    """Hand all jobs in at the VMs in turn and return the queue of each accepted one."""
    accepted = {}
    for number, (queue, steps, spec) in enumerate(make_jobs()):
        job_id = f"{number:016x}"
        if demo.submit(number % VMS, queue, job_id, steps, spec) == 200:
            accepted[job_id] = queue
    return accepted


def wait_for_ends(demo: Demo, accepted: dict[str, str]) -> dict[str, str]:
    """Ask for each job at any VM until all are over."""
    states: dict[str, str] = {}
    ends_at = GeventClock().now() + LONGEST_S
    while len(states) < len(accepted) and GeventClock().now() < ends_at:
        gevent.sleep(POLL_S)
        for number, (job_id, queue) in enumerate(accepted.items()):
            if job_id in states:
                continue
            _, body = demo.call(number % VMS, "GET", f"/{queue}/{job_id}")
            if body.get("state") in ("completed", "failed"):
                states[job_id] = body["state"]
    return states


def report(
    book: RunHistory, accepted: dict[str, str], states: dict[str, str], codes: list[int]
) -> int:
    """Print what happened and return 0 when all promises held."""
    completed = sum(1 for state in states.values() if state == "completed")
    twice = len(book.overlaps()) + len(book.runs_after_done())
    rows = (
        ("jobs accepted", len(accepted)),
        ("jobs completed", completed),
        ("tasks run", len(book.runs)),
        ("tasks run twice", twice),
        ("exit codes of the VMs", " ".join(map(str, codes))),
    )
    for name, value in rows:
        print(f"  {name:24}{value!s:>10}")
    return 0 if completed == len(accepted) == JOBS and not twice and not any(codes) else 1


if __name__ == "__main__":
    sys.exit(main())
