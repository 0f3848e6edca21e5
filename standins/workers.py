"""Stand-in for workers: lease tables with fencing tokens, tasks, and reports by long polling."""

import random

import attrs
import gevent
from gevent.event import Event

from lacewingmill.adapters.http_server import HttpRequest, HttpResponse, HttpServer
from lacewingmill.adapters.targets import STATUS_CONFLICT, STATUS_FENCED, ReleaseOrder, SyncOrder
from lacewingmill.codec import decode, encode
from lacewingmill.models import Fence, Vm
from lacewingmill.ports import (
    LeaseOrder,
    LeaseState,
    ReleaseResponse,
    StartOrder,
    SyncResponse,
    WorkerLease,
)
from standins.executors import Execution, decode_run_time, encode_response
from standins.faults import Faults, apply_faults

__all__ = ["LeaseTable", "LeaseConflict", "WorkerStandin"]

SWEEP_INTERVAL_S = 0.1
TOMBSTONE_TTL_S = 600.0
ACTIVE_STATES = (LeaseState.LEASED, LeaseState.RUNNING)


class LeaseConflict(Exception):
    """The order conflicts with the lease table; the message gives the reason."""


class StaleFence(Exception):
    """The fence of the order is lower than the highest one accepted."""


@attrs.define
class LeaseRow:
    """A lease of a gang and the state of its member.

    :param expires_at: time at which the lease expires unless renewed, in seconds.
    :param executed: whether the member was started.
    :param started_at: time of the start, in seconds.
    :param run_s: run time of the member, in seconds.
    :param start: order that started the member.
    :param result: response of the member of rank 0, once it is done.
    :param reason: why the lease ended.
    :param closed_at: time at which the lease ended, in seconds; 0 while it is active.
    """

    order: LeaseOrder
    expires_at: float
    state: str = LeaseState.LEASED
    executed: bool = False
    started_at: float = 0.0
    run_s: float = 0.0
    start: StartOrder | None = None
    result: bytes = b""
    reason: str = ""
    closed_at: float = 0.0


class LeaseTable:
    """The lease table of a worker, which decides which gangs hold its accelerators.

    Methods that depend on the time take it as ``now``.

    :param worker: the worker with its capacity.
    """

    def __init__(self, worker: Vm):
        self.worker = worker
        self.fence = Fence()
        self.version = 0
        self.rows: dict[str, LeaseRow] = {}
        self._released: set[str] = set()

    def accept_fence(self, fence: Fence) -> None:
        """Accept a fence that is at least as high as those before.

        :raises StaleFence: if a higher one was accepted before.
        """
        if fence < self.fence:
            raise StaleFence()
        self.fence = fence

    def lease(self, order: LeaseOrder, now: float) -> None:
        """Lease accelerators to a gang; a repeated order has no effect.

        :raises StaleFence: if the fence of the order is too low.
        :raises LeaseConflict: if the gang was released before, or resources are leased to others.
        """
        self.accept_fence(order.fence)
        if order.gang in self.rows:
            return
        if order.gang in self._released:
            raise LeaseConflict("gang was released before its lease arrived")
        active = [row for row in self.rows.values() if row.state in ACTIVE_STATES]
        leased = {index for row in active for index in row.order.accelerators}
        if leased & set(order.accelerators):
            raise LeaseConflict("accelerator is leased to another gang")
        cores = sum(row.order.processors for row in active) + order.processors
        memory = sum(row.order.memory_gb for row in active) + order.memory_gb
        if cores > self.worker.processors + 1e-6 or memory > self.worker.memory_gb + 1e-6:
            raise LeaseConflict("processors or memory are leased to other gangs")
        self.rows[order.gang] = LeaseRow(order, now + order.ttl_s)
        self.version += 1

    def start(self, order: StartOrder, run_s: float, now: float) -> None:
        """Start a leased member; a repeated order has no effect.

        :param run_s: run time of the member, in seconds.
        :raises StaleFence: if the fence of the order is too low.
        :raises LeaseConflict: if the gang has no active lease.
        """
        self.accept_fence(order.fence)
        row = self.rows.get(order.gang)
        if row is None or row.state not in ACTIVE_STATES:
            raise LeaseConflict("no active lease for this gang")
        if row.state == LeaseState.RUNNING:
            return
        row.state = LeaseState.RUNNING
        row.executed = True
        row.started_at = now
        row.run_s = run_s
        row.start = order
        self.version += 1

    def release(self, order: ReleaseOrder, now: float) -> ReleaseResponse:
        """Stop a member and free its accelerators; a later lease of the gang is refused.

        :raises StaleFence: if the fence of the order is too low.
        """
        self.accept_fence(order.fence)
        self._released.add(order.gang)
        row = self.rows.get(order.gang)
        if row is None:
            return ReleaseResponse(False, "")
        if row.state in ACTIVE_STATES:
            self.close(row, LeaseState.STOPPED, now, reason="released")
        return ReleaseResponse(row.executed, row.state, row.result)

    def renew(self, gangs: tuple[str, ...], now: float) -> tuple[str, ...]:
        """Renew the active leases of the gangs and return the gangs that have one."""
        renewed = []
        for gang in gangs:
            row = self.rows.get(gang)
            if row is not None and row.state in ACTIVE_STATES:
                row.expires_at = now + row.order.ttl_s
                renewed.append(gang)
        return tuple(renewed)

    def close(self, row: LeaseRow, state: str, now: float, reason: str = "") -> None:
        """End a lease."""
        row.state = state
        row.reason = reason
        row.closed_at = now
        self.version += 1

    def sweep(self, now: float, fail_tasks: bool) -> list[LeaseRow]:
        """End expired leases and finished tasks, and delete leases that ended long ago.

        :param fail_tasks: fail all running tasks.
        :return: the rows whose task finished.
        """
        finished = []
        for gang, row in list(self.rows.items()):
            if row.state in ACTIVE_STATES and row.expires_at <= now:
                self.close(row, LeaseState.STOPPED, now, reason="lease lapsed")
            elif row.state == LeaseState.RUNNING and fail_tasks:
                self.close(row, LeaseState.FAILED, now, reason="task failed")
            elif row.state == LeaseState.RUNNING and row.started_at + row.run_s <= now:
                self.close(row, LeaseState.DONE, now)
                finished.append(row)
            elif row.closed_at and row.closed_at + TOMBSTONE_TTL_S <= now:
                del self.rows[gang]
        return finished

    def report(self) -> tuple[WorkerLease, ...]:
        """Return all leases, including ended ones."""
        return tuple(
            WorkerLease(
                gang,
                row.order.fence,
                row.order.accelerators,
                row.state,
                row.executed,
                row.order.spec,
                row.order.members,
                row.result,
                row.reason,
            )
            for gang, row in self.rows.items()
        )


class WorkerStandin:
    """HTTP service over the lease table of a worker.

    :param ledger: list to which executions are appended, except repeated starts and those that
        resume from a checkpoint.
    :param run_s: run time of a request whose body has no ``run_s``, in seconds.
    """

    def __init__(self, vm: Vm, clock, ledger: list[Execution], run_s: float = 0.2):
        self.faults = Faults()
        self.table = LeaseTable(vm)
        self._clock = clock
        self._ledger = ledger
        self._run_s = run_s
        self._rng = random.Random(vm.name)
        self._changed = Event()
        self._server = HttpServer(vm.address, self._handle)

    def start(self) -> None:
        """Start listening and running tasks."""
        self._server.start()
        gevent.spawn(self._sweep)

    def kill(self) -> None:
        """Stop listening and drop all connections, tasks and leases."""
        self._server.stop()
        self.table = LeaseTable(self.table.worker)

    def revive(self) -> None:
        """Listen again after :meth:`kill`, with an empty lease table."""
        self._server = HttpServer(self.table.worker.address, self._handle)
        self._server.start()

    def _sweep(self) -> None:
        while True:
            gevent.sleep(SWEEP_INTERVAL_S)
            version_before = self.table.version
            for row in self.table.sweep(self._clock.now(), self.faults.fail_tasks):
                if row.start.rank == 0:
                    row.result = encode_response(
                        row.start.key, row.start.body, self.table.worker.name
                    )
            if self.table.version != version_before:
                self._wake()

    def _wake(self) -> None:
        changed, self._changed = self._changed, Event()
        changed.set()

    def _handle(self, req: HttpRequest) -> HttpResponse:
        return apply_faults(self.faults, self._rng, self._dispatch, req)

    def _dispatch(self, req: HttpRequest) -> HttpResponse:
        version_before = self.table.version
        try:
            return self._handle_order(req)
        except StaleFence:
            return HttpResponse(STATUS_FENCED)
        except LeaseConflict as exc:
            return HttpResponse(STATUS_CONFLICT, str(exc).encode())
        finally:
            if self.table.version != version_before:
                self._wake()

    def _handle_order(self, req: HttpRequest) -> HttpResponse:
        now = self._clock.now()
        if self.faults.refuse and req.path in ("/lease", "/start"):
            return HttpResponse(500, b"worker refuses everything")
        if req.path == "/lease":
            self.table.lease(decode(req.body, LeaseOrder), now)
            return HttpResponse()
        if req.path == "/start":
            self._start(decode(req.body, StartOrder), now)
            return HttpResponse()
        if req.path == "/release":
            return HttpResponse(
                200, encode(self.table.release(decode(req.body, ReleaseOrder), now))
            )
        if req.path == "/sync":
            return HttpResponse(200, encode(self._sync(decode(req.body, SyncOrder))))
        return HttpResponse(404)

    def _start(self, order: StartOrder, now: float) -> None:
        row = self.table.rows.get(order.gang)
        ran_before = row is not None and row.executed
        run_s = max(0.0, decode_run_time(order.body, self._run_s) - order.done_s)
        self.table.start(order, run_s, now)
        if ran_before or order.done_s:
            return
        members = self.table.rows[order.gang].order.members
        self._ledger.append(
            Execution(order.key, self.table.worker.name, order.gang, order.rank, len(members))
        )

    def _sync(self, order: SyncOrder) -> SyncResponse:
        self.table.accept_fence(order.fence)
        renewed = self.table.renew(order.renew, self._clock.now())
        if self.table.version == order.after and order.wait_s:
            self._changed.wait(order.wait_s)
        if self.table.version == order.after:
            return SyncResponse(self.table.version, renewed, False)
        return SyncResponse(self.table.version, renewed, True, self.table.report())
