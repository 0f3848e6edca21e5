"""Runs a fleet of stand-ins and entry VMs as separate processes on loopback."""

import argparse
import signal
import subprocess
import sys
import tempfile
from pathlib import Path

import attrs
import gevent

from lacewingmill.adapters.clock import GeventClock
from lacewingmill.adapters.http_client import HttpClient
from lacewingmill.adapters.http_server import HttpRequest, HttpResponse, HttpServer
from lacewingmill.codec import encode_json
from lacewingmill.exceptions import TransportError
from lacewingmill.models import Role, Vm
from standins.balancer import BalancerStandin
from standins.executors import Execution, ExecutorStandin
from standins.faults import query_value
from standins.store import StoreStandin
from standins.vm_list import VmListStandin
from standins.workers import WorkerStandin

__all__ = ["DEPLOYMENTS", "Deployment", "Fleet", "GUILD", "WASCHPLAN"]

READY_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 15.0
CALL_TIMEOUT_S = 5.0
POLL_INTERVAL_S = 0.1


@attrs.frozen
class Deployment:
    """Configuration of a fleet of one service.

    :param examples: directory of the service files.
    :param processors: processors of a worker.
    :param memory_gb: memory of a worker, in gigabytes.
    :param accelerators: accelerators of a worker.
    """

    name: str
    service: str
    examples: str
    processors: float
    memory_gb: float
    entry_vms: int = 6
    executors: int = 24
    workers: int = 24
    workers_per_rack: int = 6
    accelerators: int = 8


WASCHPLAN = Deployment("waschplan", "booking", "examples/waschplan", 32, 128)
GUILD = Deployment("guild", "plume-desk", "examples/guild", 128, 512)
DEPLOYMENTS = {deployment.name: deployment for deployment in (WASCHPLAN, GUILD)}


@attrs.frozen
class Ports:
    """Addresses of a fleet on loopback, with port numbers counted from a base."""

    base: int

    @property
    def store(self) -> str:
        """Address of the key-value service."""
        return f"127.0.0.1:{self.base}"

    @property
    def vm_list(self) -> str:
        """Address of the VM list."""
        return f"127.0.0.1:{self.base + 1}"

    @property
    def ledger(self) -> str:
        """Address that returns the ledger, and kills and revives targets."""
        return f"127.0.0.1:{self.base + 2}"

    @property
    def balancer(self) -> str:
        """Address of the balancer."""
        return f"127.0.0.1:{self.base + 3}"

    def entry(self, number: int) -> str:
        """Return the address of an entry VM for clients."""
        return f"127.0.0.1:{self.base + 10 + number}"

    def control(self, number: int) -> str:
        """Return the control address of an entry VM."""
        return f"127.0.0.1:{self.base + 30 + number}"

    def executor(self, number: int) -> str:
        """Return the address of an executor."""
        return f"127.0.0.1:{self.base + 50 + number}"

    def worker(self, number: int) -> str:
        """Return the address of a worker."""
        return f"127.0.0.1:{self.base + 100 + number}"


def list_vms(deployment: Deployment, ports: Ports) -> list[Vm]:
    """Return all VMs of a deployment.

    Entry VMs and executors are spread over four failure domains; each rack of workers is a
    failure domain.
    """
    vms = [
        Vm(
            f"entry-{number}",
            Role.ENTRY,
            ports.entry(number),
            f"domain-{number % 4}",
            control=ports.control(number),
        )
        for number in range(deployment.entry_vms)
    ]
    vms.extend(
        Vm(
            f"executor-{number}",
            Role.EXECUTOR,
            ports.executor(number),
            f"domain-{number % 4}",
            service=deployment.service,
        )
        for number in range(deployment.executors)
    )
    vms.extend(
        Vm(
            f"worker-{number}",
            Role.WORKER,
            ports.worker(number),
            f"domain-{number // deployment.workers_per_rack}",
            rack=f"rack-{number // deployment.workers_per_rack}",
            accelerators=deployment.accelerators,
            processors=deployment.processors,
            memory_gb=deployment.memory_gb,
        )
        for number in range(deployment.workers)
    )
    return vms


class Fleet:
    """The processes of a fleet: one for all stand-ins, one per entry VM.

    :param drain: ``drain`` setting of the entry VMs.

    ``entry_processes`` holds the processes of the entry VMs by number.
    """

    def __init__(self, deployment: Deployment, base_port: int, drain: str = "1 s"):
        self.deployment = deployment
        self.ports = Ports(base_port)
        self.client = HttpClient()
        self._drain = drain
        self._directory = tempfile.TemporaryDirectory(prefix="lacewingmill-")
        self._standins_process: subprocess.Popen | None = None
        self.entry_processes: dict[int, subprocess.Popen] = {}

    def start(self) -> None:
        """Start all processes and wait until all entry VMs are ready."""
        self._standins_process = self._spawn(
            [
                "-m",
                "standins.fleet",
                "--deployment",
                self.deployment.name,
                "--base-port",
                str(self.ports.base),
            ],
            "standins",
        )
        self._wait_until_ready(self.ports.vm_list, "/faults")
        for number in range(self.deployment.entry_vms):
            self.start_entry(number)
        for number in range(self.deployment.entry_vms):
            self._wait_until_ready(self.ports.control(number), "/ready")

    def start_entry(self, number: int) -> None:
        """Start one entry VM."""
        path = Path(self._directory.name) / f"entry-{number}.yaml"
        path.write_text(
            f"vm: entry-{number}\n"
            f"failure_domain: domain-{number % 4}\n"
            f"listen: {self.ports.entry(number)}\n"
            f"control: {self.ports.control(number)}\n"
            f"store: {self.ports.store}\n"
            f"vm_list: {self.ports.vm_list}\n"
            f"drain: {self._drain}\n"
        )
        self.entry_processes[number] = self._spawn(
            ["-m", "lacewingmill", "serve", "--settings", str(path)], f"entry-{number}"
        )

    def publish(self, directory: str, *options: str) -> subprocess.CompletedProcess:
        """Publish service files through the command line."""
        command = [sys.executable, "-m", "lacewingmill", "publish", directory]
        command += ["--to", self.ports.control(0), "--by", "demo", *options]
        return subprocess.run(command, capture_output=True, text=True, check=False)

    def set_faults(self, address: str, switches: dict) -> None:
        """Set fault switches of the stand-in at an address.

        :param switches: values by name of the switch.
        """
        self.client.call(
            address, "POST", "/faults", body=encode_json(switches), timeout_s=CALL_TIMEOUT_S
        )

    def put_vm_entry(self, vm: Vm) -> None:
        """Put the entry of a VM into the VM list.

        The call uses a new connection, as open ones may be silent.
        """
        HttpClient().call(
            self.ports.vm_list, "PUT", "/vms", body=encode_json(vm), timeout_s=CALL_TIMEOUT_S
        )

    def control_target(self, action: str, name: str) -> None:
        """Kill or revive a target.

        :param action: ``kill`` or ``revive``.
        """
        path = f"/{action}?name={name}"
        self.client.call(self.ports.ledger, "POST", path, timeout_s=CALL_TIMEOUT_S)

    def stop(self) -> None:
        """Kill all processes of this fleet."""
        processes = [*self.entry_processes.values()]
        if self._standins_process is not None:
            processes.append(self._standins_process)
        for process in processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in processes:
            process.wait(STOP_TIMEOUT_S)
        self._directory.cleanup()

    def _spawn(self, arguments: list[str], name: str) -> subprocess.Popen:
        log = (Path(self._directory.name) / f"{name}.log").open("a")
        return subprocess.Popen(
            [sys.executable, *arguments], stdout=log, stderr=log, stdin=subprocess.DEVNULL
        )

    def _wait_until_ready(self, address: str, path: str) -> None:
        for _ in range(int(READY_TIMEOUT_S / POLL_INTERVAL_S)):
            try:
                if self.client.call(address, "GET", path, timeout_s=1.0).status == 200:
                    return
            except TransportError:
                pass
            gevent.sleep(POLL_INTERVAL_S)
        raise TimeoutError(f"{address}{path} did not become ready")


def run_standins(deployment: Deployment, base_port: int) -> None:
    """Run all stand-ins of a deployment in this process."""
    ports = Ports(base_port)
    clock = GeventClock()
    vms = list_vms(deployment, ports)
    ledger: list[Execution] = []
    targets: dict[str, ExecutorStandin | WorkerStandin] = {}
    StoreStandin(ports.store, clock).start()
    VmListStandin(ports.vm_list, vms).start()
    for vm in vms:
        if vm.role is Role.EXECUTOR:
            targets[vm.name] = ExecutorStandin(vm.name, vm.address, ledger)
        elif vm.role is Role.WORKER:
            targets[vm.name] = WorkerStandin(vm, clock, ledger)
    for target in targets.values():
        target.start()
    entry_vms = [(vm.address, vm.control) for vm in vms if vm.role is Role.ENTRY]
    BalancerStandin(ports.balancer, entry_vms).start()

    def handle_request(req: HttpRequest) -> HttpResponse:
        """Return the ledger; ``/kill`` and ``/revive`` first act on the target ``name``."""
        if req.path == "/kill":
            targets[query_value(req, "name")].kill()
        elif req.path == "/revive":
            targets[query_value(req, "name")].revive()
        return HttpResponse(200, encode_json(ledger))

    HttpServer(ports.ledger, handle_request).start()
    gevent.get_hub().join()


def main() -> None:
    """Run the stand-ins of a deployment from the command line."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--deployment", choices=tuple(DEPLOYMENTS), required=True)
    parser.add_argument("--base-port", type=int, required=True)
    args = parser.parse_args()
    run_standins(DEPLOYMENTS[args.deployment], args.base_port)


if __name__ == "__main__":
    gevent.config.resolver = "block"
    main()
