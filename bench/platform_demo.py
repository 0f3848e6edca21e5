"""Runs VMs as processes against the emulated platform on loopback and reports the jobs they ran."""

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
    format_settings,
)
from standins.platform.executors import SubmittedJob
from standins.platform.operator import HOST, SERVICE

BASE_PORT = 24100
VM_COUNT = 3
EXECUTOR_COUNT = 4
PORTS_PER_VM = 10
JOB_COUNT = 12
CALL_TIMEOUT_S = 3.0
START_TIMEOUT_S = 20.0
JOBS_TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.2
STOP_TIMEOUT_S = 10.0


class Demo:
    """The emulated platform on loopback, and the VMs, which run as separate processes."""

    def __init__(self, directory: Path, base_port: int = BASE_PORT):
        clock = GeventClock()
        self._directory = directory
        self._base_port = base_port
        self._client = HttpClient()
        self._store = KvStore(clock)
        self._history = RunHistory()
        self._vms: list[subprocess.Popen] = []
        self._servers: list[HttpServer] = []
        operator = Operator(self._store, clock)
        self._start_server(base_port, self._handle_store_request)
        for number in range(EXECUTOR_COUNT):
            executor = self._make_executor(number, clock)
            operator.register(executor)
        operator.configure(configuration(1))
        for number in range(VM_COUNT):
            port = self.api_port(number)
            text = format_settings(f"vm{number}", port, port + 1, port + 2, base_port)
            self.settings_path(number).write_text(text)

    @property
    def history(self) -> RunHistory:
        """The runs of all executors."""
        return self._history

    def start(self) -> None:
        """Start the VMs and wait until all are ready and one has become the owner of the jobs.

        :raises gevent.Timeout: when that is not so after ``START_TIMEOUT_S``.
        """
        for number in range(VM_COUNT):
            path = self.settings_path(number)
            command = [sys.executable, "-m", "lacewingmill", "serve-jobs", "--settings", str(path)]
            with self.log_path(number).open("wb") as log:
                self._vms.append(subprocess.Popen(command, stdout=log))
        with gevent.Timeout(START_TIMEOUT_S):
            while not (self._store.keys("lacewingmill/workers") and self._all_ready()):
                gevent.sleep(POLL_INTERVAL_S)

    def _all_ready(self) -> bool:
        try:
            return all(self.ready_status(vm) == 200 for vm in range(VM_COUNT))
        except TransportError:
            return False

    def adopt_vms(self, vms: list[subprocess.Popen]) -> None:
        """Take over the processes of VMs that were started elsewhere."""
        self._vms = vms

    def stop(self) -> list[int]:
        """Stop the VMs with SIGTERM, then the platform, and return the exit codes of the VMs."""
        for vm in self._vms:
            vm.terminate()
        codes = [vm.wait(timeout=STOP_TIMEOUT_S) for vm in self._vms]
        for server in self._servers:
            server.stop()
        return codes

    def call(self, vm: int, method: str, path: str, body: dict | None = None) -> tuple[int, dict]:
        """Send a request to a VM and return status and body; status 0 means no response."""
        try:
            reply = self._client.call(
                f"127.0.0.1:{self.api_port(vm)}",
                method,
                path,
                body=json.dumps(body or {}).encode(),
                headers={"Host": HOST, "Authorization": "Token key-a"},
                timeout_s=CALL_TIMEOUT_S,
            )
        except TransportError as exc:
            return 0, {"error": exc.message}
        return reply.status, json.loads(reply.body)

    def ready_status(self, vm: int) -> int:
        """Return the status with which a VM answers the readiness check of the balancer.

        :raises TransportError: when it does not respond.
        """
        address = f"127.0.0.1:{self.api_port(vm) + 1}"
        return self._client.call(address, "GET", "/ready", timeout_s=CALL_TIMEOUT_S).status

    def settings_path(self, vm: int) -> Path:
        """Return the path of the settings file of a VM."""
        return self._directory / f"vm{vm}.conf"

    def log_path(self, vm: int) -> Path:
        """Return the path of the log file of a VM."""
        return self._directory / f"vm{vm}.log"

    def api_port(self, vm: int) -> int:
        """Return the port at which a VM serves the job API."""
        return self._base_port + 100 + vm * PORTS_PER_VM

    def submit(self, vm: int, queue: str, job_id: str, steps: list[dict], spec: str) -> int:
        """Submit a job and return the status of the response."""
        self._history.jobs[job_id] = SubmittedJob(steps)
        return self.call(vm, "POST", f"/{queue}/{job_id}", {"spec": spec, "steps": steps})[0]

    def _start_server(self, port: int, handle) -> None:
        server = HttpServer(f"127.0.0.1:{port}", handle)
        server.start()
        self._servers.append(server)

    def _handle_store_request(self, req: HttpRequest) -> HttpResponse:
        target = f"{req.path}?{req.query}" if req.query else req.path
        status, body = self._store.handle(req.connection, req.method, target, req.body)
        return HttpResponse(status, json.dumps(body).encode())

    def _make_executor(self, number: int, clock: GeventClock) -> Executor:
        port = self._base_port + 1 + number
        entry = {
            "service": SERVICE,
            "addr": f"127.0.0.1:{port}",
            "zone": f"z{number // 2}",
            "capacity": {"cpu": 32000, "mem_mb": 131072, "gpu": 8},
            "labels": ["a", f"r{number // 2}"],
        }
        executor = Executor(f"i-{number}", entry, clock, self._history)

        def handle_request(req: HttpRequest) -> HttpResponse:
            status, body = executor.handle(req.path, {}, req.body)
            return HttpResponse(status, json.dumps(body).encode())

        self._start_server(port, handle_request)
        return executor


def make_jobs() -> list[tuple[str, list[dict], str]]:
    """Return the queue, the steps and the spec of each job."""
    task = {"cpu": 1000, "mem_mb": 1024, "gpu": 1, "est_runtime_ms": 1500}
    batch = [{**task, "count": 6}, {**task, "count": 2, "after": [0]}]
    gang = [{**task, "count": 2, "gpu": 8, "gang": True}]
    job_kinds = [("patient", batch), ("ordinary", gang), ("urgent", gang)]
    return [(*job_kinds[number % len(job_kinds)], "run_s=1.5") for number in range(JOB_COUNT)]


def main() -> int:
    """Run the demo; the exit code is 0 if all jobs completed once and all VMs exited with 0."""
    parser = argparse.ArgumentParser(prog="bench.platform_demo", description=__doc__)
    parser.parse_args()
    with tempfile.TemporaryDirectory() as directory:
        demo = Demo(Path(directory))
        demo.start()
        print(f"{VM_COUNT} VMs, {EXECUTOR_COUNT} workers, a store, on loopback")
        accepted = submit_jobs(demo)
        states = wait_for_jobs(demo, accepted)
        codes = demo.stop()
    return print_report(demo.history, accepted, states, codes)


def submit_jobs(demo: Demo) -> dict[str, str]:
    """Submit all jobs to the VMs in turn and return the queues of the accepted jobs by id."""
    accepted = {}
    for number, (queue, steps, spec) in enumerate(make_jobs()):
        job_id = f"{number:016x}"
        if demo.submit(number % VM_COUNT, queue, job_id, steps, spec) == 200:
            accepted[job_id] = queue
    return accepted


def wait_for_jobs(demo: Demo, accepted: dict[str, str]) -> dict[str, str]:
    """Poll the jobs at the VMs and return the states of those that have ended, by id.

    It returns when all have ended, or after ``JOBS_TIMEOUT_S``.
    """
    states: dict[str, str] = {}
    give_up_at = GeventClock().now() + JOBS_TIMEOUT_S
    while len(states) < len(accepted) and GeventClock().now() < give_up_at:
        gevent.sleep(POLL_INTERVAL_S)
        for number, (job_id, queue) in enumerate(accepted.items()):
            if job_id in states:
                continue
            _, body = demo.call(number % VM_COUNT, "GET", f"/{queue}/{job_id}")
            if body.get("state") in ("completed", "failed"):
                states[job_id] = body["state"]
    return states


def print_report(
    history: RunHistory, accepted: dict[str, str], states: dict[str, str], codes: list[int]
) -> int:
    """Print the results; return 0 if all jobs completed once and all VMs exited with 0, else 1."""
    completed = sum(1 for state in states.values() if state == "completed")
    repeated_runs = len(history.overlaps()) + len(history.runs_after_done())
    rows = (
        ("jobs accepted", len(accepted)),
        ("jobs completed", completed),
        ("tasks run", len(history.runs)),
        ("tasks run twice", repeated_runs),
        ("exit codes of the VMs", " ".join(map(str, codes))),
    )
    for name, value in rows:
        print(f"  {name:24}{value!s:>10}")
    return (
        0 if completed == len(accepted) == JOB_COUNT and not repeated_runs and not any(codes) else 1
    )


if __name__ == "__main__":
    sys.exit(main())
