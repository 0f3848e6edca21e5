"""A VM that accepts jobs, and schedules all of them while it is the owner."""

from collections.abc import Callable
from functools import partial

import attrs
import gevent

from lacewingmill.adapters.http_server import HttpServer
from lacewingmill.events import EventLog, LogEvent
from lacewingmill.exceptions import StoreUnavailable
from lacewingmill.jobs.director import Director, DirectorDependencies
from lacewingmill.jobs.directory import VmDirectory
from lacewingmill.jobs.election import JobElector, OwnerLease
from lacewingmill.jobs.inbox import Inbox
from lacewingmill.jobs.lease_clock import CLOCK_DRIFT_FACTOR
from lacewingmill.jobs.operator_follower import OperatorFollower
from lacewingmill.jobs.owner_watch import OwnerWatch
from lacewingmill.jobs.settings import JobVmSettings
from lacewingmill.jobs.worker_directory import WorkerDirectory
from lacewingmill.lifecycle import IDLE_AFTER_CLOSE_S, ReadinessLog, StoppableVm, wait_until_idle
from lacewingmill.ports import Clock
from lacewingmill.retries import Backoff
from lacewingmill.tasks import keep_running, spawn_with_callback

__all__ = ["JobVm"]

RETRY_S = 0.2
MAX_RETRY_S = 0.8
# After this time without an answer of the store, the VM reports that it is not ready, so that
# the load balancer sends clients to other VMs.
STALE_AFTER_S = 8.0
READINESS_INTERVAL_S = 0.1
# The load balancer checks readiness every second and reacts within two checks.
DRAIN_S = 2.5
IDLE_BEFORE_CLOSE_S = 0.4
# Part of the grace time that is reserved for the end of the process.
EXIT_MARGIN_S = 0.9


class JobVm(StoppableVm):
    """One VM with its servers and loops.

    :param deps: what each director is built from.
    :param make_worker_directory: makes a :class:`WorkerDirectory` from its ``on_change`` callback.
    """

    def __init__(
        self,
        settings: JobVmSettings,
        deps: DirectorDependencies,
        clock: Clock,
        log: EventLog,
        follower: OperatorFollower,
        make_worker_directory,
        directory: VmDirectory,
    ):
        super().__init__()
        self._settings = settings
        self._deps = deps
        self._clock = clock
        self._log = log
        self._follower = follower
        self._make_worker_directory = make_worker_directory
        self._directory = directory
        self._readiness = ReadinessLog(log)
        self._loops: list[gevent.Greenlet] = []
        self._vm_loops: list[gevent.Greenlet] = []
        self._was_ready = False
        self.director: Director | None = None
        self.replacement: JobVmSettings | None = None

    def attach(
        self,
        elector: JobElector,
        owner_watch: OwnerWatch,
        front: HttpServer,
        ready: HttpServer,
        peers: HttpServer,
        metrics: HttpServer,
    ) -> None:
        """Set the objects that hold callbacks of this VM."""
        self._elector = elector
        self._owner_watch = owner_watch
        self._front = front
        self._ready = ready
        self._peers = peers
        self._metrics = metrics

    def start(self) -> None:
        """Start the servers and the loops; start no loop once a planned stop has begun."""
        # Waits for every address except that of the metrics, which requests do not depend on.
        gevent.spawn(self._listen, self._metrics, self._clock, self._log)
        for server in (self._peers, self._ready, self._front):
            self._listen(server, self._clock, self._log)
        if self._stopping:
            return
        for loop in (
            self._follower.run,
            self._elector.run,
            self._owner_watch.run,
            self._directory.run,
            self._update_readiness,
        ):
            self._vm_loops.append(gevent.spawn(keep_running, loop, self._clock, self._log))
        cfg = self._settings
        self._log.emit(LogEvent.VM_STARTED, listen=cfg.front, peers=cfg.peers, metrics=cfg.metrics)

    def reload(self, settings: JobVmSettings) -> None:
        """Apply changed settings; changed addresses take effect at the next process start.

        A VM that has never been ready ends instead, and ``replacement`` holds the settings with
        which another one must be built: it may have been built from an unfinished settings file,
        in which a cut number reads as another one.
        """
        moved = attrs.evolve(settings, limits=self._settings.limits) != self._settings
        if moved and not self._was_ready and not self._stopping:
            self._log.emit(LogEvent.SETTINGS_REPLACED)
            self.replacement = settings
            self._abandon()
            return
        previous, self._settings = self._settings, settings
        names = [field.name for field in attrs.fields(JobVmSettings)]
        changed = [name for name in names if getattr(previous, name) != getattr(settings, name)]
        self._log.emit(LogEvent.SETTINGS_RELOADED, changed=changed)

    def reload_failed(self, reason: str) -> None:
        """Log that changed settings are invalid; the settings in force stay."""
        self._log.emit(LogEvent.SETTINGS_UNUSABLE, reason=reason)

    def _abandon(self) -> None:
        """Close the servers and end the loops of a VM that serves no requests."""
        self._stopping = True
        self.stop_director()
        for server in (self._peers, self._metrics, self._ready, self._front):
            server.close()
        gevent.killall(self._vm_loops, block=False)
        self._stopped.set()

    def why_not_ready(self) -> str:
        """Return the reason why this VM is not ready; empty when it is."""
        if self._stopping:
            return "stopping"
        if self._follower.table is None:
            return "no configuration yet"
        if self._clock.now() - self._follower.synced_at > STALE_AFTER_S:
            return "cut off from the store"
        return ""

    def start_director(self, owner_lease: OwnerLease) -> None:
        """Start a director for a new lease of this VM as owner."""
        resign = partial(self._elector.resign_failed, owner_lease)
        director = Director(self._deps, owner_lease, self._elector.step_down, resign)
        self.director = director
        self._loops.append(
            spawn_with_callback(partial(self._run_director, director), director.on_failed)
        )

    def stop_director(self) -> None:
        """Stop the director because this VM is no longer the owner."""
        director, self.director = self.director, None
        if director is not None:
            director.stop()
        gevent.killall(self._loops, block=False)
        self._loops.clear()

    def replan(self) -> None:
        """Let the director plan, if there is one, because the operator's requests have changed."""
        if self.director is not None:
            self.director.replan()

    def _run_director(self, director: Director) -> None:
        inbox = Inbox(
            self._deps.store,
            self._clock,
            self._log,
            director,
            self._settings.limits.kept_s,
            self._deps.rng,
        )
        workers: WorkerDirectory = self._make_worker_directory(director.pool.update)
        # What the follower last read may be older than the lease; an evacuation may be missing.
        for load in (inbox.load, inbox.confirm_owner, workers.load, self._follower.load):
            self._retry_load(load)
        for loop in (workers.follow, inbox.follow):
            self._loops.append(gevent.spawn(keep_running, loop, self._clock, self._log))
        owner_lease = director.owner_lease
        hold_back_s = (
            self._settings.limits.longest_hold_s * CLOCK_DRIFT_FACTOR
            + owner_lease.predecessor_valid_s
        )
        director.take_over(hold_back_s if owner_lease.owner.term > 1 else 0.0)
        director.run()

    def _retry_load(self, load: Callable[[], None]) -> None:
        backoff = Backoff(RETRY_S, MAX_RETRY_S, self._deps.rng)
        while True:
            try:
                load()
                return
            except StoreUnavailable as exc:
                self._log.emit(LogEvent.JOBS_UNREAD, load=load.__qualname__, reason=exc.message)
                self._clock.sleep(backoff.next_s())

    def _update_readiness(self) -> None:
        while True:
            reason = self.why_not_ready()
            self._was_ready = self._was_ready or not reason
            self._readiness.update(reason)
            self._elector.eligible = not self._stopping and self._follower.table is not None
            self._clock.sleep(READINESS_INTERVAL_S)

    def _stop(self) -> None:
        """Report not ready, serve until the load balancer has reacted, and finish open requests."""
        self._log.emit(LogEvent.VM_STOPPING)
        started_at = self._clock.now()
        self._front.drain()
        if self.director is not None:
            self.director.prepare_hand_over()
        self._elector.hand_over()
        gevent.spawn(self._directory.unregister)  # an unavailable store must not delay the stop
        latest = started_at + self._settings.limits.grace_s - EXIT_MARGIN_S
        wait_until_idle(
            self._front,
            self._clock,
            IDLE_BEFORE_CLOSE_S,
            earliest=started_at + DRAIN_S,
            latest=latest,
        )
        for server in (self._peers, self._metrics, self._ready, self._front):
            server.close()
        wait_until_idle(
            self._front, self._clock, IDLE_AFTER_CLOSE_S, earliest=started_at, latest=latest
        )
        self._log.emit(LogEvent.VM_STOPPED)
        self._stopped.set()
