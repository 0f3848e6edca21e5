"""The entry VM process: its components and background loops."""

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

VM_LIST_INTERVAL_S = 1.0
WATCH_WAIT_S = 20.0
POLL_INTERVAL_S = 0.5  # between readiness checks, and before the store is tried again
IDLE_BEFORE_CLOSE_S = 0.3


class EntryVm(StoppableVm):
    """An entry VM, from its start to a planned stop.

    :param clock: clock of the VM; all times are in seconds.
    :param client: HTTP client for calls to other entry VMs.
    :param vm_list: source of the platform's VM list.
    :param fleet: VMs of the list, and the latest heartbeats of peers.
    """

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        log: EventLog,
        client: HttpClient,
        store: HttpStore,
        vm_list: VmList,
        fleet: FleetView,
    ):
        super().__init__()
        self._settings = settings
        self._clock = clock
        self._log = log
        self._client = client
        self._store = store
        self._vm_list = vm_list
        self._fleet = fleet
        self._vm_list_read = False
        self._store_answered = False
        self._store_answered_at = clock.now()  # time of the start until the store answers
        self._readiness = ReadinessLog(log)

    def attach(
        self,
        catalogue: CurrentCatalogue,
        cell: Cell,
        elector: Elector,
        history: History,
        heartbeats: Heartbeats,
        ordinary: OrdinaryRouter,
        entry_server: HttpServer,
        control_server: HttpServer,
    ) -> None:
        """Set the components that are built after this object because they call back into it."""
        self._catalogue = catalogue
        self._cell = cell
        self._elector = elector
        self._history = history
        self._heartbeats = heartbeats
        self._ordinary = ordinary
        self._entry_server = entry_server
        self._control_server = control_server

    def start(self) -> None:
        """Start both servers and the background loops.

        A planned stop that begins while an address is still in use ends the start early.
        """
        for server in (self._control_server, self._entry_server):
            self._listen(server, self._clock, self._log)
        if self._stopping:
            return
        for loop in (
            self._poll_vm_list,
            self._watch_store,
            self._heartbeats.run,
            self._elector.run,
            self._history.run,
            self._ordinary.run,
            self._update_readiness,
        ):
            gevent.spawn(keep_running, loop, self._clock, self._log)
        self._log.emit(LogEvent.VM_STARTED, listen=self._settings.listen)

    def why_not_ready(self) -> str:
        """Return why the VM is not ready, or an empty string if it is."""
        if self._stopping:
            return "stopping"
        if not self._vm_list_read:
            return "the VM list has not been read yet"
        if not self._catalogue.revision and not self._store_answered:
            return "no configuration yet"
        if self._clock.now() - self._last_contact_at() > self._settings.stale_after_s:
            return "cut off from the store and all peers; the configuration may be old"
        return ""

    def status(self) -> VmStatus:
        """Return the status that ``lacewingmill status`` shows for this VM."""
        usage = self._store.usage
        return VmStatus(
            self._settings.vm,
            self._catalogue.revision,
            self.why_not_ready(),
            self._elector.owner,
            self._entry_server.in_flight,
            self._ordinary.queued,
            usage.reads + usage.writes + usage.watches,
        )

    def compose_heartbeat(self) -> Heartbeat:
        """Return the current heartbeat of this VM."""
        return Heartbeat(
            self._settings.vm,
            self._catalogue.revision,
            self._elector.owner,
            self._stopping,
            not self.why_not_ready(),
            self._entry_server.in_flight,
        )

    def on_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Process the heartbeat of a peer.

        Its owner record is passed to the elector. If it reports a higher configuration revision,
        the configuration is fetched from that peer.
        """
        self._elector.observe_owner(heartbeat.owner, heartbeat.vm)
        if heartbeat.revision > self._catalogue.revision:
            gevent.spawn(self._fetch_from_peer, heartbeat.vm)

    def apply_configuration(self, configuration: Configuration) -> None:
        """Apply the services of a new configuration."""
        self._cell.set_services(configuration.services)
        self._set_targets()

    def _last_contact_at(self) -> float:
        return max(self._store_answered_at, self._fleet.last_heartbeat_at() or 0.0)

    def _fetch_from_peer(self, name: str) -> None:
        peer = next((vm for vm in self._fleet.peers() if vm.name == name), None)
        if peer is None:
            return
        try:
            self._catalogue.apply_if_newer(fetch_bundle(self._client, peer.control))
        except (TransportError, PeerError):
            return  # the next heartbeat triggers another attempt

    def _poll_vm_list(self) -> None:
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
                self._apply_vm_list(vms)
            self._ordinary.record_vm_list_query()
            self._clock.sleep(VM_LIST_INTERVAL_S)

    def _apply_vm_list(self, vms: tuple[Vm, ...]) -> None:
        for vm in self._fleet.update_vm_list(vms):
            self._log.emit(LogEvent.TARGET_LEAVING, target=vm.name)
            self._client.forget(vm.address)
        self._vm_list_read = True
        self._set_targets()

    def _set_targets(self) -> None:
        entry_vm_count = len(self._fleet.live_vms(Role.ENTRY))
        for service in self._catalogue.configuration.services:
            executors = self._fleet.live_vms(Role.EXECUTOR, service.name)
            self._ordinary.set_targets(service.name, executors, entry_vm_count)
        self._cell.set_workers(self._fleet.workers())

    def _watch_store(self) -> None:
        """Watch the catalogue index and the owner record in the store, one long poll at a time.

        After an error, both are read again before the watch continues, so that changes made
        meanwhile are not missed.
        """
        after = -1
        unavailable = False
        while True:
            try:
                if after < 0:
                    after = self._store.watch(LIVE_PREFIX, after=0, wait_s=0.0).revision
                    self._catalogue.refresh()
                    self._elector.read_owner_record()
                else:
                    after = self._wait_for_changes(after)
            except StoreUnavailable as exc:
                if not unavailable:
                    self._log.emit(LogEvent.STORE_UNAVAILABLE, reason=str(exc))
                unavailable = True
                after = -1
                self._elector.on_store_unavailable()
                self._clock.sleep(POLL_INTERVAL_S)
                continue
            if unavailable:
                self._log.emit(LogEvent.STORE_AVAILABLE)
            unavailable = False
            self._store_answered = True
            self._store_answered_at = self._clock.now()
            self._elector.on_store_available()

    def _wait_for_changes(self, after: int) -> int:
        answer = self._store.watch(LIVE_PREFIX, after=after, wait_s=WATCH_WAIT_S)
        if INDEX_KEY in answer.keys:
            self._catalogue.refresh()
        if self._elector.key in answer.keys:
            self._elector.read_owner_record()
        return answer.revision

    def _update_readiness(self) -> None:
        while True:
            reason = self.why_not_ready()
            self._readiness.update(reason)
            self._elector.eligible = not reason
            self._clock.sleep(POLL_INTERVAL_S)

    def _stop(self) -> None:
        """Stop as planned without dropping requests.

        The VM reports not ready and keeps serving for ``drain_s``, so that the load balancer stops
        sending requests. It then finishes the requests in flight, for up to ``stop_within_s``.
        """
        self._log.emit(LogEvent.VM_STOPPING)
        self._elector.hand_over()
        end = self._clock.now() + self._settings.stop_within_s
        self._entry_server.drain()
        self._clock.sleep(self._settings.drain_s)
        self._history.commit()  # before the wait: requests may arrive while the store is slow
        wait_until_idle(
            self._entry_server,
            self._clock,
            IDLE_BEFORE_CLOSE_S,
            earliest=self._clock.now(),
            latest=end,
        )
        self._entry_server.close()
        self._control_server.close()
        wait_until_idle(
            self._entry_server,
            self._clock,
            IDLE_AFTER_CLOSE_S,
            earliest=self._clock.now(),
            latest=end,
        )
        self._log.emit(LogEvent.VM_STOPPED)
        self._stopped.set()
