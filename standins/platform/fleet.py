"""A fleet of VMs on the emulated platform, in one process and on virtual time."""

import json
import random

import attrs

from lacewingmill.job_composition import VmEnvironment, build_job_vm
from lacewingmill.jobs.settings import JobVmSettings, PlatformLimits
from standins.platform.executors import Executor, RunHistory, SubmittedJob
from standins.platform.kv import KvStore
from standins.platform.network import EmulatedNetwork
from standins.platform.operator import HOST, SERVICE, Operator, configuration
from standins.virtual_clock import VirtualClock

__all__ = ["STORE", "PlatformFleet", "job_id", "step", "wait_for_owner"]

STORE = "10.9.0.1:1"
ADVISOR = "10.9.0.2:1"
MACHINES = "10.9.0.3:1"
LIMITS = PlatformLimits(
    grace_s=6.0, longest_hold_s=6.0, kept_s=120.0, config_in_force_s=2.0, longest_stop_s=0.4
)


class PlatformFleet:
    """VMs, executors with 8 GPUs and 32 cores each in racks of two, and a store.

    :param vms: number of VMs, named ``vm0``, ``vm1`` and so on.
    :param executors: number of executors.
    :param slow_links: names of the VMs that have a slow network link.
    :param lease_s: longest lease of the runs on an executor, in seconds.

    ``unplanned_faults`` holds the times at which faults began that nobody had announced.
    ``departing`` holds executors that leave or start again.
    ``replaced_by`` holds the name of the successor of each executor that was replaced.
    """

    def __init__(
        self,
        vms: int = 2,
        executors: int = 4,
        slow_links: tuple[str, ...] = (),
        lease_s: float = LIMITS.longest_hold_s,
    ):
        self.slow_links = slow_links
        self.limits = attrs.evolve(LIMITS, longest_hold_s=lease_s)
        self.unplanned_faults: list[float] = []
        self.departing: set[Executor] = set()
        self.clock = VirtualClock()
        self.kv = KvStore(self.clock)
        self.network = EmulatedNetwork(self.clock, self.kv, STORE)
        self.operator = Operator(self.kv, self.clock)
        self.run_history = RunHistory()
        self.replaced_by: dict[str, str] = {}
        self.network.advisor_address = ADVISOR
        self.network.machines_address = MACHINES
        self.network.run_history = self.run_history
        self.executors = [self.add_executor(number) for number in range(executors)]
        self.config = configuration(1)
        self.operator.configure(self.config)
        self.deadline_ms = 3000
        self.vms = {}
        self.http_clients = {}
        for number in range(vms):
            self.start_vm(f"vm{number}")
        self.clock.advance(1.5)

    def add_executor(self, number: int) -> Executor:
        """Start an executor and register it."""
        address = f"10.8.0.{number}:1"
        entry = {
            "service": SERVICE,
            "addr": address,
            "zone": f"z{number // 2}",
            "capacity": {"cpu": 32000, "mem_mb": 131072, "gpu": 8},
            "labels": ["a", f"r{number // 2}"],
        }
        lease_s = self.limits.longest_hold_s
        executor = Executor(f"i-{number}", entry, self.clock, self.run_history, lease_s)
        self.network.executors[address] = executor
        self.operator.register(executor)
        return executor

    def current_executor(self, name: str) -> str:
        """Return the name of the last successor of an executor, or its own."""
        while name in self.replaced_by:
            name = self.replaced_by[name]
        return name

    def start_vm(self, name: str) -> None:
        """Start a VM with empty memory."""
        http_client = self.network.client(name)
        settings = JobVmSettings(
            name,
            "z0",
            f"{name}:80",
            f"{name}:81",
            f"{name}:82",
            f"{name}:83",
            STORE,
            self.limits,
            ADVISOR,
            MACHINES,
            link_mbps=10.0 if name in self.slow_links else 1000.0,
        )
        vm = build_job_vm(
            settings,
            VmEnvironment(self.clock, http_client, self.network.server, random.Random(name)),
        )
        vm.start()
        self.vms[name] = vm
        self.http_clients[name] = http_client

    def kill(self, name: str) -> None:
        """Stop a VM as a power loss would: its state is lost and its open calls are aborted."""
        self.http_clients[name].alive = False
        vm = self.vms.pop(name)
        vm.stop_director()
        for address in list(self.network.servers):
            if address.startswith(f"{name}:"):
                del self.network.servers[address]

    def serves(self, name: str) -> bool:
        """Whether a VM accepts calls of clients."""
        return f"{name}:80" in self.network.servers

    @property
    def owner(self) -> str | None:
        """Name of the VM that directs the jobs."""
        owners = [
            name
            for name, vm in self.vms.items()
            if vm.director is not None and vm.director.recovered
        ]
        return owners[0] if owners else None

    def call(
        self,
        vm: str,
        method: str,
        path: str,
        body: dict | bytes | None = None,
        key: str = "key-a",
        host: str = HOST,
    ) -> tuple[int, dict, dict]:
        """Send a client's request to a VM; return status, decoded body and headers."""
        server = self.network.servers[f"{vm}:80"]
        data = body if isinstance(body, bytes) else json.dumps(body or {}).encode()
        headers = {
            "Host": host,
            "Authorization": f"Token {key}",
            "X-Deadline-Ms": str(self.deadline_ms),
        }
        reply = server.call(method, path, headers, data)
        return reply.status, json.loads(reply.body), reply.headers

    def submit(
        self, vm: str, queue: str, job_id: str, steps: list[dict], spec: str = "run_s=1"
    ) -> int:
        """Submit a job to a VM and return the status.

        :param spec: behaviour of its tasks, as the emulated executors read it.
        """
        self.run_history.jobs.setdefault(job_id, SubmittedJob(steps))
        status, _, _ = self.call(vm, "POST", f"/{queue}/{job_id}", {"spec": spec, "steps": steps})
        self.run_history.jobs[job_id].accepted |= status == 200
        return status

    def state(self, vm: str, queue: str, job_id: str) -> str | int:
        """Return the state of a job as a VM tells it, or the status if it does not."""
        status, body, _ = self.call(vm, "GET", f"/{queue}/{job_id}")
        return body["state"] if status == 200 else status

    def check_invariants(self, calm: bool = False) -> None:
        """Check that no task ran twice at once, or again after its end was taken note of.

        :param calm: whether there was no impairment, so that a listed end counts as taken note of.
        """
        for executor in self.executors:
            executor.advance()
        assert [(a.task, a.number, b.number) for a, b in self.run_history.overlaps()] == []
        assert [(run.task, run.number) for run in self.run_history.runs_after_done(calm)] == []


def step(count: int = 1, gpu: int = 1, cpu: int = 1000, **fields) -> dict:
    """Return a step as clients submit it."""
    return {"count": count, "gpu": gpu, "cpu": cpu, "mem_mb": 1024, "est_runtime_ms": 1000} | fields


def job_id(number: int) -> str:
    """Return a valid job id."""
    return f"{number:016x}"


def wait_for_owner(fleet: PlatformFleet, seconds: float = 6.0) -> None:
    """Advance the clock until a VM directs the jobs.

    :raises AssertionError: when none does within this time, in seconds.
    """
    for _ in range(int(seconds / 0.1)):
        if fleet.owner is not None:
            return
        fleet.clock.advance(0.1)
    raise AssertionError("no VM directs the jobs")
