"""One entry VM: its parts and the loops that keep it current."""

import gevent

from lacewingmill.adapters.http_client import HttpClient
from lacewingmill.adapters.http_server import HttpServer
from lacewingmill.adapters.peers import fetch_bundle
from lacewingmill.adapters.store import HttpStore
from lacewingmill.catalogue.current import Configuration, CurrentCatalogue
from lacewingmill.cells.cell import Cell
from lacewingmill.cells.elector import Elector
from lacewingmill.cells.history import History
from lacewingmill.events import EventLog, LogEvent
from lacewingmill.exceptions import PeerError, StoreUnavailable, TransportError
from lacewingmill.lifecycle import IDLE_AFTER_CLOSE_S, ReadinessLog, StoppableVm, wait_until_idle
from lacewingmill.membership.heartbeats import Heartbeats
from lacewingmill.membership.messages import Heartbeat
from lacewingmill.membership.view import FleetView
from lacewingmill.models import Role, Vm
from lacewingmill.ports import Clock, VmList
from lacewingmill.routing.ordinary import OrdinaryRouter
from lacewingmill.settings import Settings
from lacewingmill.status import VmStatus
from lacewingmill.store_keys import INDEX_KEY, LIVE_PREFIX
from lacewingmill.tasks import keep_running

__all__ = ["EntryVm"]

LIST_EVERY_S = 1.0
WATCH_WAIT_S = 20.0
STORE_RETRY_S = 0.5
QUIET_BEFORE_STOP_S = 0.3


class EntryVm(StoppableVm):
    """Runs one entry VM until it is stopped."""

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        log: EventLog,
        caller: HttpClient,
        store: HttpStore,
        vm_list: VmList,
        fleet: FleetView,
    ):
        super().__init__()
        self._settings = settings
        self._clock = clock
        self._log = log
        self._caller = caller
        self._store = store
        self._vm_list = vm_list
        self._fleet = fleet
        self._list_read = False
        self._store_answered = False
        self._in_touch_at = clock.now()
        self._readiness = ReadinessLog(log)

    def attach(
        self,
        catalogue: CurrentCatalogue,
        cell: Cell,
        elector: Elector,
        history: History,
        heartbeats: Heartbeats,
        ordinary: OrdinaryRouter,
        entry_service: HttpServer,
        control_service: HttpServer,
    ) -> None:
        """Take the parts that call back into this object."""
        self._catalogue = catalogue
        self._cell = cell
        self._elector = elector
        self._history = history
        self._heartbeats = heartbeats
        self._ordinary = ordinary
        self._entry_service = entry_service
        self._control_service = control_service

    def start(self) -> None:
        """Listen and start the loops; return at once when a planned stop has begun."""
        for service in (self._control_service, self._entry_service):
            self._listen(service, self._clock, self._log)
        if self._stopping:
            return
        for loop in (
            self._follow_list,
            self._follow_store,
            self._heartbeats.run,
            self._elector.run,
            self._history.run,
            self._ordinary.run,
            self._follow_readiness,
        ):
            gevent.spawn(keep_running, loop, self._clock, self._log)
        self._log.emit(LogEvent.VM_STARTED, listen=self._settings.listen)

    def why_not_ready(self) -> str:
        """Return why callers should go elsewhere, or an empty string."""
        if self._stopping:
            return "stopping"
        if not self._list_read:
            return "the VM list has not been read yet"
        if not self._catalogue.revision and not self._store_answered:
            return "no configuration yet"
        if self._clock.now() - self._in_touch() > self._settings.stale_after_s:
            return "cut off from the store and all peers; the configuration may be old"
        return ""

    def status(self) -> VmStatus:
        """Return what ``lacewingmill status`` shows of this VM."""
        usage = self._store.usage
        return VmStatus(
            self._settings.vm,
            self._catalogue.revision,
            self.why_not_ready(),
            self._elector.owner,
            self._entry_service.in_flight,
            self._ordinary.queued,
            usage.reads + usage.writes + usage.watches,
        )

    def compose_heartbeat(self) -> Heartbeat:
        """Return this VM's heartbeat."""
        return Heartbeat(
            self._settings.vm,
            self._catalogue.revision,
            self._elector.owner,
            self._stopping,
            not self.why_not_ready(),
            self._entry_service.in_flight,
        )

    def on_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Take in a peer's heartbeat: its owner record, and its configuration if higher."""
        self._elector.observe_owner(heartbeat.owner, heartbeat.vm)
        if heartbeat.revision > self._catalogue.revision:
            gevent.spawn(self._fetch_from_peer, heartbeat.vm)

    def apply_configuration(self, configuration: Configuration) -> None:
        """Put a new configuration in force."""
        self._cell.set_services(configuration.services)
        self._set_targets()

    def _in_touch(self) -> float:
        return max(self._in_touch_at, self._fleet.last_heartbeat_at() or 0.0)

    def _fetch_from_peer(self, name: str) -> None:
        peer = next((vm for vm in self._fleet.peers() if vm.name == name), None)
        if peer is None:
            return
        try:
            self._catalogue.apply_if_newer(fetch_bundle(self._caller, peer.control))
        except (TransportError, PeerError):
            return  # the next heartbeat tries again

    def _follow_list(self) -> None:
        failing = False
        while True:
            try:
                vms = self._vm_list.fetch()
            except PeerError as exc:
                if not failing:
                    self._log.emit(LogEvent.VM_LIST_UNAVAILABLE, reason=str(exc))
                failing = True
            else:
                failing = False
                self._take_list(vms)
            self._ordinary.record_vm_list_query()
            self._clock.sleep(LIST_EVERY_S)

    def _take_list(self, vms: tuple[Vm, ...]) -> None:
        for vm in self._fleet.update_vm_list(vms):
            self._log.emit(LogEvent.TARGET_LEAVING, target=vm.name)
            self._caller.forget(vm.address)
        self._list_read = True
        self._set_targets()

    def _set_targets(self) -> None:
        entries = len(self._fleet.live_vms(Role.ENTRY))
        for service in self._catalogue.configuration.services:
            executors = self._fleet.live_vms(Role.EXECUTOR, service.name)
            self._ordinary.set_targets(service.name, executors, entries)
        self._cell.set_workers(self._fleet.workers())

    def _follow_store(self) -> None:
        """Keep one waiting watch for the index and the owner record."""
        after = -1
        away = False
        while True:
            try:
                if after < 0:
                    after = self._store.watch(LIVE_PREFIX, after=0, wait_s=0.0).revision
                    self._catalogue.refresh()
                    self._elector.read_owner_record()
                else:
                    after = self._take_changes(after)
            except StoreUnavailable as exc:
                if not away:
                    self._log.emit(LogEvent.STORE_UNAVAILABLE, reason=str(exc))
                away = True
                after = -1
                self._elector.on_store_unavailable()
                self._clock.sleep(STORE_RETRY_S)
                continue
            if away:
                self._log.emit(LogEvent.STORE_AVAILABLE)
            away = False
            self._store_answered = True
            self._in_touch_at = self._clock.now()
            self._elector.on_store_available()

    def _take_changes(self, after: int) -> int:
        answer = self._store.watch(LIVE_PREFIX, after=after, wait_s=WATCH_WAIT_S)
        if INDEX_KEY in answer.keys:
            self._catalogue.refresh()
        if self._elector.key in answer.keys:
            self._elector.read_owner_record()
        return answer.revision

    def _follow_readiness(self) -> None:
        while True:
            reason = self.why_not_ready()
            self._readiness.update(reason)
            self._elector.eligible = not reason
            self._clock.sleep(STORE_RETRY_S)

    def _stop(self) -> None:
        """Turn not ready, serve on until the balancer has noticed, finish what is in flight."""
        self._log.emit(LogEvent.VM_STOPPING)
        self._elector.hand_over()
        end = self._clock.now() + self._settings.stop_within_s
        self._entry_service.drain()
        self._clock.sleep(self._settings.drain_s)
        self._history.commit()  # before the wait below: a slow store must not hide late requests
        wait_until_idle(
            self._entry_service,
            self._clock,
            QUIET_BEFORE_STOP_S,
            earliest=self._clock.now(),
            latest=end,
        )
        self._entry_service.close()
        self._control_service.close()
        wait_until_idle(
            self._entry_service,
            self._clock,
            IDLE_AFTER_CLOSE_S,
            earliest=self._clock.now(),
            latest=end,
        )
        self._log.emit(LogEvent.VM_STOPPED)
        self._stopped.set()
