"""The composition root: wires the parts of an entry VM together."""

import random

import gevent

from lacewingmill.adapters.clock import GeventClock
from lacewingmill.adapters.http_client import HttpClient
from lacewingmill.adapters.http_server import HttpServer
from lacewingmill.adapters.metrics import Metrics
from lacewingmill.adapters.peers import RemoteCell
from lacewingmill.adapters.store import HttpStore
from lacewingmill.adapters.targets import HttpExecutors, HttpVmList, HttpWorkers
from lacewingmill.catalogue.current import CurrentCatalogue
from lacewingmill.catalogue.publisher import Publisher
from lacewingmill.cells.cell import Cell
from lacewingmill.cells.claim_journal import ClaimJournal
from lacewingmill.cells.driver import CellDependencies
from lacewingmill.cells.elector import Elector
from lacewingmill.cells.history import History
from lacewingmill.control import ControlHandler
from lacewingmill.entry import EntryHandler
from lacewingmill.events import EventLog, LogEvent
from lacewingmill.membership.heartbeats import Heartbeats
from lacewingmill.membership.view import FleetView
from lacewingmill.models import OwnerRecord
from lacewingmill.operations import Operations
from lacewingmill.routing.jobs import CellPort, JobRouter
from lacewingmill.routing.ordinary import OrdinaryRouter
from lacewingmill.scheduling.scheduler import Scheduler
from lacewingmill.settings import Settings
from lacewingmill.vm import EntryVm

__all__ = ["build_vm"]


def build_vm(settings: Settings) -> EntryVm:
    """Build an entry VM from its settings."""
    clock = GeventClock()
    client = HttpClient()
    store = HttpStore(settings.store, client)
    history = History(store, clock, settings.vm, settings.cell)
    log = EventLog(settings.vm, history.on_event)
    fleet = FleetView(settings.vm)
    metrics = Metrics(settings.vm)
    rng = random.Random()
    journal = ClaimJournal(store, clock, settings.vm)
    vm = EntryVm(settings, clock, log, client, store, HttpVmList(settings.vm_list, client), fleet)
    catalogue = CurrentCatalogue(store, log, vm.apply_configuration)
    parts = CellDependencies(Scheduler(), HttpWorkers(client), journal, clock, log, settings.vm)
    cell = Cell(parts, lambda: elector.step_down())
    elector = Elector(
        settings.cell,
        settings.vm,
        settings.control,
        store,
        clock,
        log,
        fleet,
        cell.take_over,
        cell.stop_driver,
    )
    heartbeats = Heartbeats(client, clock, log, fleet, vm.compose_heartbeat, vm.on_heartbeat, rng)
    ordinary = OrdinaryRouter(HttpExecutors(client), journal, clock, log, settings.vm, rng)

    def connect(owner: OwnerRecord) -> CellPort:
        return cell if owner.vm == settings.vm else RemoteCell(client, owner.control)

    jobs = JobRouter(clock, elector.signal, connect)
    entry = EntryHandler(
        lambda: catalogue.configuration, ordinary, jobs, metrics, clock, gevent.spawn
    )
    operations = Operations(Publisher(store, clock), fleet, history)
    control = ControlHandler(
        cell, catalogue, heartbeats, metrics, operations, vm.status, vm.why_not_ready
    )

    def crashed(exc: BaseException) -> None:
        log.emit(LogEvent.REQUEST_CRASHED, error=repr(exc))

    entry_service = HttpServer(settings.listen, entry.handle, crashed)
    control_service = HttpServer(settings.control, control.handle, crashed)
    metrics.add_gauge(
        "lacewingmill_requests_in_flight",
        "Requests of callers in flight at this VM",
        lambda: entry_service.in_flight,
    )
    metrics.add_gauge(
        "lacewingmill_requests_queued",
        "Ordinary requests that wait for a slot at this VM",
        lambda: ordinary.queued,
    )
    metrics.add_gauge(
        "lacewingmill_catalogue_revision",
        "Catalogue revision in force at this VM",
        lambda: catalogue.revision,
    )
    metrics.add_gauge(
        "lacewingmill_cell_owner",
        "1 while this VM owns the cell",
        lambda: float(elector.is_owner),
    )
    vm.attach(
        catalogue, cell, elector, history, heartbeats, ordinary, entry_service, control_service
    )
    return vm
