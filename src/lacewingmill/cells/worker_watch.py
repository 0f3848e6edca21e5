"""Synchronisation with the workers: renews leases, reads lease tables and detects lost workers."""

from typing import Protocol

import gevent

from lacewingmill.exceptions import FenceRejected, TransportError
from lacewingmill.models import Fence, Vm, VmState
from lacewingmill.ports import Clock, SyncResponse, WorkerLease, WorkerPort

__all__ = ["WatchListener", "WorkerWatch"]

SYNC_WAIT_S = 1.0
SYNC_RETRY_INTERVAL_S = 0.5
LOST_AFTER_S = 3.0
PROCESS_PAUSE_S = 1.5
RELEASE_TIMEOUT_S = 1.0


class WatchListener(Protocol):
    """Callbacks for changes of workers; implemented by the driver of the cell."""

    def renewable_gangs(self, worker: str) -> tuple[str, ...]:
        """Return the gangs on the worker whose leases may be renewed."""

    def on_worker_acked(self, worker: str, renewed: tuple[str, ...], at: float) -> None:
        """Record that a worker renewed the leases of these gangs.

        :param at: when the renewal was sent, in seconds.
        """

    def on_worker_reported(self, worker: str, leases: tuple[WorkerLease, ...]) -> list[str]:
        """Process a lease table and return the active gangs that belong to no job."""

    def on_worker_joined(self, vm: Vm) -> None:
        """Handle a worker whose lease table is known and holds no orphans."""

    def on_worker_leaving(self, worker: str, *, stays: bool) -> None:
        """Handle a live worker that is leaving, or that stays after all."""

    def on_worker_silent(self, worker: str) -> None:
        """Handle a worker that did not answer in time and may soon be lost."""

    def on_worker_answered(self, worker: str) -> None:
        """Handle a silent worker that answers again."""

    def on_worker_lost(self, worker: str, *, left: bool) -> None:
        """Handle a lost worker.

        :param left: whether it was removed from the VM list, rather than timed out.
        """

    def on_fenced(self) -> None:
        """Handle that a worker has accepted a higher fence."""


class WorkerWatch:
    """Runs a synchronisation loop for each worker of a cell.

    :param listener: notified of joins, losses and lease tables.
    """

    def __init__(self, workers: WorkerPort, clock: Clock, fence: Fence, listener: WatchListener):
        self._workers = workers
        self._clock = clock
        self._fence = fence
        self._listener = listener
        self._known: dict[str, Vm] = {}
        self._live: dict[str, Vm] = {}
        self._loops: dict[str, gevent.Greenlet] = {}
        self._stopped = False

    def set_workers(self, vms: tuple[Vm, ...]) -> None:
        """Replace the list of workers.

        :param vms: the workers of the VM list; leaving ones stay until the list omits them, so
            that their gangs can end.
        """
        listed = {vm.name: vm for vm in vms}
        for name in list(self._known):
            if name not in listed or listed[name].address != self._known[name].address:
                self._remove_worker(name)
        for name, vm in listed.items():
            previous = self._known.get(name)
            if self._stopped:
                return
            self._known[name] = vm
            if previous is None:
                self._loops[name] = gevent.spawn(self._run_sync_loop, vm)
            elif previous.state is not vm.state and name in self._live:
                self._listener.on_worker_leaving(name, stays=vm.state is VmState.LIVE)

    @property
    def known(self) -> tuple[str, ...]:
        """The names of all listed workers, also of those that are lost or have not joined."""
        return tuple(self._known)

    def find(self, worker: str) -> Vm | None:
        """Return a live worker, or ``None`` if it is lost or has not joined."""
        return self._live.get(worker)

    def mark_live(self, vm: Vm) -> None:
        """Mark a worker as live before its loop has run; used by the recovery."""
        self._live[vm.name] = vm

    def stop(self) -> None:
        """Stop all loops."""
        self._stopped = True
        for loop in self._loops.values():
            if loop is not gevent.getcurrent():
                loop.kill(block=False)
        self._loops.clear()

    def _remove_worker(self, name: str) -> None:
        del self._known[name]
        self._loops.pop(name).kill(block=False)
        self._live.pop(name, None)
        self._listener.on_worker_lost(name, left=True)

    def _run_sync_loop(self, vm: Vm) -> None:
        version = -1
        silent = False
        answered_at = self._clock.now()
        while not self._stopped:
            sent_at = self._clock.now()
            try:
                answer = self._sync(vm, version)
            except FenceRejected:
                self._listener.on_fenced()
                return
            except TransportError:
                if self._clock.now() - sent_at > SYNC_WAIT_S + PROCESS_PAUSE_S:
                    # No call takes so long: this process was paused and may have missed the answer.
                    answered_at = self._clock.now()
                    continue
                silent = True
                if self._clock.now() - answered_at > LOST_AFTER_S:
                    version = -1
                    self._mark_lost(vm)
                elif vm.name in self._live:
                    self._listener.on_worker_silent(vm.name)
                self._clock.sleep(SYNC_RETRY_INTERVAL_S)
                continue
            if silent:
                silent = False
                self._listener.on_worker_answered(vm.name)
            answered_at = self._clock.now()
            version = answer.version
            self._listener.on_worker_acked(vm.name, answer.renewed, sent_at)
            if not self._process_answer(vm, answer):
                version = -1

    def _sync(self, vm: Vm, version: int) -> SyncResponse:
        joined = vm.name in self._live
        renew = self._listener.renewable_gangs(vm.name)
        return self._workers.sync(
            vm, self._fence, renew, after=version, wait_s=SYNC_WAIT_S if joined else 0.0
        )

    def _process_answer(self, vm: Vm, answer: SyncResponse) -> bool:
        """Process a changed lease table and release orphans; return whether none remain."""
        if answer.changed:
            orphans = self._listener.on_worker_reported(vm.name, answer.leases)
            if not all([self._release_orphan(vm, gang) for gang in orphans]):
                return False
        if vm.name not in self._live and vm.name in self._known:
            self._live[vm.name] = vm
            self._listener.on_worker_joined(self._known[vm.name])
        return True

    def _release_orphan(self, vm: Vm, gang: str) -> bool:
        try:
            self._workers.release(
                vm, gang, self._fence, checkpoint=False, timeout_s=RELEASE_TIMEOUT_S
            )
        except TransportError:
            return False
        return True

    def _mark_lost(self, vm: Vm) -> None:
        if self._live.pop(vm.name, None) is not None:
            self._listener.on_worker_lost(vm.name, left=False)
