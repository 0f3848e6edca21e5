"""The interfaces between decisions and the outside; adapters implement them."""

import enum
from typing import Protocol

import attrs
from gevent.event import Event

from lacewingmill.models import Fence, Vm

__all__ = [
    "ApplicationAnswer",
    "Clock",
    "ExecutorPort",
    "LeaseOrder",
    "LeaseState",
    "Meter",
    "Meters",
    "ReleaseAnswer",
    "StartOrder",
    "Store",
    "StoreEntry",
    "SyncAnswer",
    "VmList",
    "WatchAnswer",
    "WorkerLease",
    "WorkerPort",
]


class Meter(enum.Enum):
    """An instrument of jobs of steps: name, meaning. Times are in seconds."""

    JOBS = ("lacewingmill_jobs", "Jobs by outcome and cause")
    RUNS = ("lacewingmill_runs", "Runs of tasks by their end")
    ORDERS = ("lacewingmill_orders", "Starts ordered by what the worker made of them")
    EVICTIONS = ("lacewingmill_evictions", "Units that gave their workers back to others")
    STORED = ("lacewingmill_stored_seconds", "From a hand-in to its being stored")
    FIRST_START = ("lacewingmill_first_start_seconds", "From acceptance to the first start ordered")
    SHOWN = ("lacewingmill_shown_seconds", "From the end of a job to its being stored and shown")
    ORDER = ("lacewingmill_order_seconds", "From a start sent to its answer")
    TAKEOVER = ("lacewingmill_takeover_seconds", "From becoming owner to the first planning")

    def __init__(self, instrument: str, meaning: str):
        self.instrument = instrument
        self.meaning = meaning


class Meters(Protocol):
    """Where counts and times go."""

    def count(self, meter: Meter, **labels: str) -> None:
        """Count one."""

    def observe(self, meter: Meter, seconds: float) -> None:
        """Record a time."""


class Clock(Protocol):
    """Time as the runtime gives it; tests pause and advance it."""

    def now(self) -> float:
        """Return monotonic time, in seconds."""

    def wall(self) -> float:
        """Return wall-clock time, in seconds since the epoch."""

    def sleep(self, seconds: float) -> None:
        """Suspend the calling greenlet."""

    def wait(self, event: Event, seconds: float) -> bool:
        """Wait for an event, at most so long; return whether it is set."""


@attrs.frozen
class StoreEntry:
    """A key of the platform's store with the revision of its last write."""

    key: str
    value: bytes
    revision: int


@attrs.frozen
class WatchResponse:
    """Changes of keys under a prefix after a store revision.

    :param revision: the store revision up to which the watch has seen everything.
    :param keys: the keys that changed, deleted ones included.
    """

    revision: int
    keys: tuple[str, ...]


class Store(Protocol):
    """The platform's key-value service."""

    def get(self, key: str) -> StoreEntry | None:
        """Return the entry, or ``None`` when the key is absent."""

    def put(self, key: str, value: bytes, *, expected: int, lease: str = "") -> int:
        """Write if the key's revision is ``expected`` (0: absent) and return the new revision."""

    def delete(self, key: str, *, expected: int) -> None:
        """Delete if the key's revision is ``expected``."""

    def list(self, prefix: str) -> list[StoreEntry]:
        """Return all entries under a prefix."""

    def grant_lease(self, ttl_s: float) -> str:
        """Return the id of a new lease; keys attached to it vanish when it lapses."""

    def renew_lease(self, lease: str) -> bool:
        """Renew; ``False`` when the lease has lapsed."""

    def watch(self, prefix: str, *, after: int, wait_s: float) -> WatchResponse:
        """Wait for changes under a prefix after a store revision."""


class VmList(Protocol):
    """The platform's lagging list of VMs."""

    def fetch(self) -> tuple[Vm, ...]:
        """Return all VMs, live and leaving."""


@attrs.frozen
class LeaseOrder:
    """Order to a worker to lease accelerators to a gang.

    :param gang: id of the gang, unique per attempt of a job.
    :param accelerators: indices on this worker.
    :param ttl_s: lease time, in seconds.
    :param spec: the encoded job, kept by the worker for recovery.
    :param members: all workers of the gang, for recovery.
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
    """Order to a worker to start its part of a leased gang.

    :param rank: position of this worker in the gang; rank 0 answers the caller.
    :param body: the caller's request body.
    :param done_s: run time kept by a checkpoint, in seconds; 0 for a first run.
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
    """The state names of a worker's lease."""

    LEASED = "leased"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"


@attrs.frozen
class WorkerLease:
    """A row of a worker's own lease table.

    :param executed: whether the gang's task was ever started here.
    :param result: the answer of a finished rank 0.
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
    """Answer of a worker to a synchronisation.

    :param version: version of the lease table; pass it to the next call.
    :param renewed: gangs whose lease was renewed.
    :param leases: the whole table if it changed since the version passed, else empty.
    :param changed: whether ``leases`` is filled.
    """

    version: int
    renewed: tuple[str, ...]
    changed: bool
    leases: tuple[WorkerLease, ...] = ()


@attrs.frozen
class ReleaseResponse:
    """Answer of a worker to a release.

    :param executed: whether the gang's task was ever started on this worker.
    :param result: the answer, when the task had finished before it was released.
    """

    executed: bool
    state: str = ""
    result: bytes = b""


class WorkerPort(Protocol):
    """Orders to workers."""

    def lease(self, worker: Vm, order: LeaseOrder, *, timeout_s: float) -> None:
        """Lease accelerators to a gang."""

    def start(self, worker: Vm, order: StartOrder, *, timeout_s: float) -> None:
        """Start a leased gang's member."""

    def release(
        self, worker: Vm, gang: str, fence: Fence, *, checkpoint: bool, timeout_s: float
    ) -> ReleaseResponse:
        """Stop a gang's member, after a checkpoint if asked, and free its accelerators."""

    def sync(
        self, worker: Vm, fence: Fence, renew: tuple[str, ...], *, after: int, wait_s: float
    ) -> SyncResponse:
        """Renew leases and report the lease table, waiting for a change."""


@attrs.frozen
class ApplicationResponse:
    """An answer of an executor or a gang, passed to the caller as it is."""

    status: int
    content_type: str
    body: bytes
    answered_by: str = ""


class ExecutorPort(Protocol):
    """Requests to executors."""

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
        """Send one request and return its whole answer."""
