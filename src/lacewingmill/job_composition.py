"""Composition root of a VM on the users' platform: builds its objects and connects them."""

import random
import uuid
from collections.abc import Callable

import attrs

from lacewingmill.adapters.clock import GeventClock
from lacewingmill.adapters.http_client import HttpClient
from lacewingmill.adapters.http_server import HttpRequest, HttpResponse, HttpServer
from lacewingmill.adapters.metrics import Metrics
from lacewingmill.events import EventLog, LogEvent
from lacewingmill.jobs.director import Director, DirectorDependencies
from lacewingmill.jobs.directory import VmDirectory
from lacewingmill.jobs.election import JobElector, JobOwner, election_delay_s
from lacewingmill.jobs.job_api import JobApi, JobApiDependencies
from lacewingmill.jobs.operator_follower import OperatorFollower
from lacewingmill.jobs.owner_watch import OwnerWatch
from lacewingmill.jobs.peers import PeerClient
from lacewingmill.jobs.ports import WorkerEntry
from lacewingmill.jobs.relay import RelayedStore, StoreRelay
from lacewingmill.jobs.relay_calls import RELAY_PATHS
from lacewingmill.jobs.settings import JobVmSettings
from lacewingmill.jobs.vm import JobVm
from lacewingmill.jobs.worker_directory import WorkerDirectory
from lacewingmill.platform import (
    OPERATOR_KEYS,
    WORKER_PREFIX,
    HttpAdvisor,
    HttpMachineList,
    HttpTransactionStore,
    HttpWorkerOrders,
    JobApiHandler,
    ReadyHandler,
    decode_configuration,
    decode_worker,
)
from lacewingmill.ports import Clock

__all__ = ["VmEnvironment", "build_job_vm"]


# Gauges of the director by name, with their meaning; they are 0 at a VM that is not the owner.
DIRECTOR_GAUGES: dict[str, tuple[str, Callable[[Director], float]]] = {
    "lacewingmill_directs_jobs": (
        "1 while this VM directs the jobs",
        lambda director: director.recovered,
    ),
    "lacewingmill_units_waiting": (
        "Units that wait for workers, at the VM that directs",
        lambda director: director.backlog,
    ),
    "lacewingmill_units_running": (
        "Units that hold workers, at the VM that directs",
        lambda director: director.running,
    ),
    "lacewingmill_evacuated_workers": (
        "Workers in evacuated failure domains, at the VM that directs",
        lambda director: director.evacuated_workers,
    ),
    "lacewingmill_largest_team_use": (
        "Accelerators of the team that uses most, against its share, at the VM that directs",
        lambda director: director.largest_team_use,
    ),
    "lacewingmill_slow_workers": (
        "Workers that are slower than usual, at the VM that directs",
        lambda director: director.slow_workers,
    ),
}


@attrs.frozen
class VmEnvironment:
    """Clock, network and randomness that a VM uses; tests pass emulations of them.

    :param client: sends the HTTP requests of the VM.
    :param make_server: makes a server from an address, a handler and a callback for its errors.
    :param rng: source of random numbers.
    """

    clock: Clock
    client: HttpClient
    make_server: Callable[..., HttpServer]
    rng: random.Random


def build_job_vm(settings: JobVmSettings, environment: VmEnvironment | None = None) -> JobVm:
    """Build a VM from the platform's settings.

    :param environment: the real clock and network by default.
    """
    environment = environment or VmEnvironment(
        GeventClock(), HttpClient(), HttpServer, random.Random()
    )
    clock = environment.clock
    client = environment.client
    log = EventLog(settings.vm)
    metrics = Metrics(settings.vm)
    direct_store = HttpTransactionStore(settings.store, client, metrics.record_store_call)
    store = RelayedStore(
        direct_store, client, clock, log, lambda: directory.others(), environment.rng
    )
    directory = VmDirectory(store, clock, log, settings.vm, settings.peers, environment.rng)
    relay = StoreRelay(direct_store, store)
    follower = OperatorFollower(
        store,
        clock,
        log,
        OPERATOR_KEYS,
        decode_configuration,
        settings.limits.config_in_force_s,
        lambda: vm.replan(),
        environment.rng,
    )
    deps = DirectorDependencies(
        store,
        HttpWorkerOrders(client),
        HttpAdvisor(settings.advice, client) if settings.advice else None,
        HttpMachineList(settings.machines, client) if settings.machines else None,
        clock,
        log,
        metrics,
        settings.limits,
        lambda: follower.table,
        lambda: follower.evacuated_domains,
        environment.rng,
    )

    def make_worker_directory(
        on_change: Callable[[dict[str, WorkerEntry]], None],
    ) -> WorkerDirectory:
        return WorkerDirectory(
            store, clock, log, WORKER_PREFIX, decode_worker, on_change, environment.rng
        )

    vm = JobVm(settings, deps, clock, log, follower, make_worker_directory, directory)
    candidate = JobOwner(settings.vm, settings.peers, uuid.uuid4().hex, 0, 0)
    delay_s = election_delay_s(settings.link_mbps)
    elector = JobElector(
        candidate, store, clock, log, vm.start_director, vm.stop_director, environment.rng, delay_s
    )
    peer_client = PeerClient(client)
    owner_watch = OwnerWatch(settings.peers, elector, peer_client, directory, clock)
    api = JobApi(
        JobApiDependencies(
            store,
            peer_client,
            clock,
            log,
            metrics,
            lambda: follower.table,
            lambda: vm.director,
            lambda: elector.owner,
            owner_watch.reaches,
            settings.vm,
            environment.rng,
        )
    )

    _add_gauges(metrics, vm, follower, clock)

    def log_crash(exc: BaseException) -> None:
        log.emit(LogEvent.REQUEST_CRASHED, error=repr(exc))

    def handle_peer_request(req: HttpRequest) -> HttpResponse:
        return relay.handle(req) if req.path in RELAY_PATHS else api.handle_peer_request(req)

    def render_metrics(req: HttpRequest) -> HttpResponse:
        return HttpResponse(200, metrics.render(), "text/plain")

    vm.attach(
        elector,
        owner_watch,
        environment.make_server(settings.front, JobApiHandler(api).handle, log_crash),
        environment.make_server(settings.ready, ReadyHandler(vm.why_not_ready).handle, log_crash),
        environment.make_server(settings.peers, handle_peer_request, log_crash),
        environment.make_server(settings.metrics, render_metrics, log_crash),
    )
    return vm


def _add_gauges(metrics: Metrics, vm: JobVm, follower: OperatorFollower, clock: Clock) -> None:
    """Add the gauges of a VM."""

    def director_gauge(read: Callable[[Director], float]) -> Callable[[], float]:
        return lambda: float(read(vm.director)) if vm.director is not None else 0.0

    for name, (meaning, read) in DIRECTOR_GAUGES.items():
        metrics.add_gauge(name, meaning, director_gauge(read))
    metrics.add_gauge(
        "lacewingmill_configuration_version",
        "Version of the configuration in force at this VM",
        lambda: float(follower.table.version) if follower.table is not None else 0.0,
    )
    metrics.add_gauge(
        "lacewingmill_configuration_age_seconds",
        "Time since this VM last knew that its configuration was the newest",
        lambda: clock.now() - follower.synced_at,
    )
