"""Interfaces to the systems outside the process; adapters implement them."""

import enum
from typing import Protocol

import attrs
from gevent.event import Event

from lacewingmill.models import Fence, Vm

__all__ = [
    "ApplicationResponse",
    "Clock",
    "ExecutorPort",
    "LeaseOrder",
    "LeaseState",
    "Meter",
    "Meters",
    "ReleaseResponse",
    "StartOrder",
    "Store",
    "StoreEntry",
    "SyncResponse",
    "VmList",
    "WatchResponse",
    "WorkerLease",
    "WorkerPort",
]


class Meter(enum.Enum):
    """A metric of jobs that consist of steps: name and description. Times are in seconds."""

    JOBS = ("lacewingmill_jobs", "Jobs by outcome and cause")
    RUNS = ("lacewingmill_runs", "Runs of tasks by their end")
    GIVEN_UP = ("lacewingmill_runs_given_up", "Runs taken for over without a listed end, by cause")
    REPEATED = ("lacewingmill_runs_repeated", "Runs that were done beside a later run, by cause")
    ORDERS = ("lacewingmill_orders", "Starts ordered by what the worker made of them")
    EVICTIONS = ("lacewingmill_evictions", "Units that gave their workers back, by reason")
    EVICTED_WORK = (
        "lacewingmill_evicted_work_seconds",
        "Accelerator-seconds of work that the eviction of a unit threw away",
    )
    TOO_LATE = ("lacewingmill_units_too_late", "Waiting units that gave way as they end too late")
    MOVES = ("lacewingmill_moves", "Units stopped on a slow worker to go on elsewhere")
    STORED = ("lacewingmill_stored_seconds", "From a hand-in to its being stored")
    FIRST_START = ("lacewingmill_first_start_seconds", "From acceptance to the first start ordered")
    SHOWN = ("lacewingmill_shown_seconds", "From the end of a job to its being stored and shown")
    ORDER = ("lacewingmill_order_seconds", "From a start sent to its answer")
    TAKEOVER = ("lacewingmill_takeover_seconds", "From becoming owner to the first planning")

    def __init__(self, instrument: str, meaning: str):
        self.instrument = instrument
        self.meaning = meaning


class Meters(Protocol):
    """Records counts and durations as metrics."""

    def count(self, meter: Meter, **labels: str) -> None:
        """Add one to a counter."""

    def observe(self, meter: Meter, seconds: float) -> None:
        """Record a duration, in seconds."""


class Clock(Protocol):
    """Provides time and waiting; tests use a clock that they advance themselves."""

    def now(self) -> float:
        """Return monotonic time, in seconds."""

    def wall(self) -> float:
        """Return wall-clock time, in seconds since the epoch."""

    def sleep(self, seconds: float) -> None:
        """Suspend the calling greenlet for a number of seconds."""

    def wait(self, event: Event, seconds: float) -> bool:
        """Wait for an event for at most ``seconds``; return whether it is set."""


@attrs.frozen
class StoreEntry:
    """A key of the platform's store with its value and the revision of its last write."""

    key: str
    value: bytes
    revision: int


@attrs.frozen
class WatchResponse:
    """Changes of keys under a prefix after a store revision.

    :param revision: the store revision up to which all changes are included.
    :param keys: the keys that changed, including deleted ones.
    """

    revision: int
    keys: tuple[str, ...]


class Store(Protocol):
    """The platform's key-value service."""

    def get(self, key: str) -> StoreEntry | None:
        """Return the entry, or ``None`` when the key is absent."""

    def put(self, key: str, value: bytes, *, expected: int, lease: str = "") -> int:
        """Write a value if the key's revision is ``expected``, and return the new revision.

        :param expected: 0 when the key must be absent.
        :param lease: id of the lease to which the key is attached; none by default.
        :raises StoreConflict: when the key has another revision.
        """

    def delete(self, key: str, *, expected: int) -> None:
        """Delete a key if its revision is ``expected``.

        :raises StoreConflict: when the key has another revision.
        """

    def list(self, prefix: str) -> list[StoreEntry]:
        """Return all entries under a prefix."""

    def grant_lease(self, ttl_s: float) -> str:
        """Return the id of a new lease; the keys attached to it are deleted when it expires."""

    def renew_lease(self, lease: str) -> bool:
        """Renew a lease; return ``False`` when it has expired."""

    def watch(self, prefix: str, *, after: int, wait_s: float) -> WatchResponse:
        """Wait for changes under a prefix after a store revision."""


class VmList(Protocol):
    """The platform's list of VMs, which lags behind their actual state."""

    def fetch(self) -> tuple[Vm, ...]:
        """Return all VMs, live and leaving."""


@attrs.frozen
class LeaseOrder:
    """Order to a worker to lease accelerators to a gang.

    :param gang: id of the gang, unique per attempt of a job.
    :param accelerators: indices of the accelerators on this worker.
    :param processors: processor cores on this worker.
    :param memory_gb: memory on this worker, in gigabytes.
    :param ttl_s: duration of the lease, in seconds.
    :param spec: the encoded job, which a new owner reads back from the worker.
    :param members: names of all workers of the gang, which a new owner reads back as well.
    """

    gang: str
    fence: Fence
    accelerators: tuple[int, ...]
    processors: float
    memory_gb: float
    ttl_s: float
    spec: bytes
    members: tuple[str, ...]


@attrs.frozen
class StartOrder:
    """Order to a worker to start its member of a leased gang.

    :param rank: position of this worker in the gang; rank 0 returns the result.
    :param body: body of the client's request.
    :param key: idempotency key of the request.
    :param done_s: run time saved in a checkpoint, in seconds; 0 for a first run.
    """

    gang: str
    fence: Fence
    rank: int
    body: bytes
    content_type: str
    key: str
    done_s: float = 0.0


@attrs.frozen
class LeaseState:
    """The states of a worker's lease."""

    LEASED = "leased"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"


@attrs.frozen
class WorkerLease:
    """An entry of a worker's lease table.

    :param state: one of :class:`LeaseState`.
    :param executed: whether the gang's task was ever started on this worker.
    :param result: result of the gang; only at the worker of rank 0, once its member has finished.
    """

    gang: str
    fence: Fence
    accelerators: tuple[int, ...]
    state: str
    executed: bool
    spec: bytes
    members: tuple[str, ...]
    result: bytes = b""
    reason: str = ""


@attrs.frozen
class SyncResponse:
    """Response of a worker to :meth:`WorkerPort.sync`.

    :param version: version of the lease table, to be passed to the next call.
    :param renewed: gangs whose lease was renewed.
    :param leases: the whole table if it has changed since the version passed, else empty.
    :param changed: whether ``leases`` is filled.
    """

    version: int
    renewed: tuple[str, ...]
    changed: bool
    leases: tuple[WorkerLease, ...] = ()


@attrs.frozen
class ReleaseResponse:
    """Response of a worker to :meth:`WorkerPort.release`.

    :param executed: whether the gang's task was ever started on this worker.
    :param state: state of the lease at the release.
    :param result: the result, if the task had finished before the release.
    """

    executed: bool
    state: str = ""
    result: bytes = b""


class WorkerPort(Protocol):
    """Sends orders to workers."""

    def lease(self, worker: Vm, order: LeaseOrder, *, timeout_s: float) -> None:
        """Lease accelerators to a gang."""

    def start(self, worker: Vm, order: StartOrder, *, timeout_s: float) -> None:
        """Start a member of a leased gang."""

    def release(
        self, worker: Vm, gang: str, fence: Fence, *, checkpoint: bool, timeout_s: float
    ) -> ReleaseResponse:
        """Stop a member of a gang and free its accelerators.

        :param checkpoint: whether the member saves a checkpoint first.
        """

    def sync(
        self, worker: Vm, fence: Fence, renew: tuple[str, ...], *, after: int, wait_s: float
    ) -> SyncResponse:
        """Renew the leases of gangs and return the lease table, waiting for a change.

        :param after: version of the table that the caller has.
        :param wait_s: longest wait, in seconds.
        """


@attrs.frozen
class ApplicationResponse:
    """Response of an executor or a gang, returned to the client unchanged.

    :param answered_by: name of the VM that made the response.
    """

    status: int
    content_type: str
    body: bytes
    answered_by: str = ""


class ExecutorPort(Protocol):
    """Sends requests to executors."""

    def send(
        self,
        target: Vm,
        method: str,
        path: str,
        body: bytes,
        content_type: str,
        key: str,
        *,
        timeout_s: float,
    ) -> ApplicationResponse:
        """Send a request and return the complete response.

        :param key: idempotency key of the request.
        """
