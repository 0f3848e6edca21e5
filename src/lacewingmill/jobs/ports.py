"""The interfaces of jobs to the platform; ``lacewingmill.platform`` implements them."""

import enum
from typing import Protocol

import attrs

from lacewingmill.jobs.model import TaskId

__all__ = [
    "Advice",
    "Advisor",
    "Change",
    "Changes",
    "HoldOrder",
    "HoldReport",
    "ItemRevision",
    "Lease",
    "MachineList",
    "Put",
    "Record",
    "RunOutcome",
    "EndedRun",
    "ListedRun",
    "StartResponse",
    "StartOrder",
    "StartOutcome",
    "TransactionStore",
    "Transaction",
    "WorkerEntry",
    "WorkerOrders",
]


@attrs.frozen
class Record:
    """A key of the store with its value.

    :param revision: revision of the store at which the key was last changed.
    """

    key: str
    value: bytes
    revision: int


@attrs.frozen
class Change:
    """A changed key.

    :param record: the new record; ``None`` when the key was deleted.
    """

    key: str
    record: Record | None


@attrs.frozen
class Changes:
    """The changes that a watch returned.

    :param revision: revision of the store up to which ``changes`` is complete.
    :param truncated: whether later changes may exist already, which another watch returns at once.
    """

    changes: tuple[Change, ...]
    revision: int
    truncated: bool = False


@attrs.frozen
class ItemRevision:
    """A condition of a transaction.

    :param revision: revision that the key must have; 0 when it must be absent.
    """

    key: str
    revision: int


@attrs.frozen
class Put:
    """A write of a key.

    :param lease: id of the lease with whose end the key is deleted; 0 for none.
    """

    key: str
    value: bytes
    lease: int = 0


@attrs.frozen
class Transaction:
    """Writes that take effect atomically if all conditions hold.

    :param expect: the conditions.
    :param remove: keys to delete.
    """

    expect: tuple[ItemRevision, ...] = ()
    puts: tuple[Put, ...] = ()
    remove: tuple[str, ...] = ()


@attrs.frozen
class Lease:
    """A lease of the store.

    :param lease: its id.
    :param ttl_s: time from a renewal until the lease ends, in seconds.
    """

    lease: int
    ttl_s: float


class TransactionStore(Protocol):
    """A key-value store with transactions, leases and watches.

    All methods raise ``StoreUnavailable`` when no answer came; a write may still take effect then.
    They raise its subclass ``StoreRefused`` when certainly nothing was written.
    """

    def get(self, key: str) -> Record | None:
        """Return the record of a key; ``None`` for an absent key."""

    def read(self, key: str) -> tuple[Record | None, int]:
        """Return the record of a key, and a revision from which a watch of it misses no change.

        The revision of the key itself is unsuitable: the store may have discarded the history of
        changes since then.
        """

    def scan(self, prefix: str) -> tuple[tuple[Record, ...], int]:
        """Return all records under a prefix, and a revision from which a watch misses no change."""

    def watch(self, prefix: str, *, after: int, wait_s: float) -> Changes:
        """Wait for changes under a prefix after a revision.

        :param wait_s: how long to wait for a change, in seconds; 0 to return at once.
        :raises HistoryLost: when the store has discarded some of the changes.
        """

    def commit(self, transaction: Transaction) -> int:
        """Execute a transaction and return its revision.

        :raises TransactionConflict: when a condition does not hold.
        :raises LeaseEnded: when a lease in ``puts`` has ended.
        """

    def grant(self, ttl_s: float) -> Lease:
        """Create a lease."""

    def renew(self, lease: int) -> None:
        """Renew a lease.

        :raises LeaseEnded: when it has ended.
        """

    def end(self, lease: int) -> None:
        """End a lease now; its keys are deleted."""


@attrs.frozen
class WorkerEntry:
    """The registration of a worker in the store.

    :param worker: its id; a restarted process may use the same one.
    :param incarnation: start time of its process, in milliseconds since the epoch.
    :param leaving: whether it is draining.
    """

    worker: str
    service: str
    address: str
    failure_domain: str
    rack: str
    labels: frozenset[str]
    accelerators: int
    processors: float
    memory_gb: float
    incarnation: int
    leaving: bool


class RunOutcome(enum.Enum):
    """How a run of a task ended.

    ``LAPSED`` means that its lease lapsed, ``BROKEN`` that another member of its gang ended without
    being done, and ``ALONE`` that its gang did not become complete in time.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


@attrs.frozen
class ListedRun:
    """A run that a worker lists as running.

    :param run: number of the run, by which a repeated start is recognised.
    :param saved: its last checkpoint; empty when there is none.
    :param percent: progress of a task, 0..100; meaningless for a lasting one.
    """

    task: TaskId
    run: int
    saved: str
    percent: float


@attrs.frozen
class EndedRun:
    """A run that a worker lists as ended.

    :param number: sequence number of the end within the incarnation of the worker.
    :param saved: its last checkpoint; empty when there is none.
    """

    number: int
    task: TaskId
    run: int
    end: RunOutcome
    saved: str


@attrs.frozen
class HoldOrder:
    """A poll of a worker, which also extends the leases of all runs on it.

    :param fence: fencing token of the owner.
    :param acked: sequence number up to which the worker may discard ends.
    :param until: end of the leases on the worker's clock, in seconds; 0 to leave them unchanged.
    :param wait_s: how long the worker may delay its answer until a run ends, in seconds.
    """

    fence: int
    acked: int
    until: float
    wait_s: float


@attrs.frozen
class HoldReport:
    """The answer to a :class:`HoldOrder`.

    :param clock_s: time on the worker's clock, in seconds.
    :param ended: ends that the worker has not discarded, in the order of their numbers.
    :param truncated: whether there may be further ends, which are listed once these are discarded.
    """

    clock_s: float
    incarnation: int
    running: tuple[ListedRun, ...]
    ended: tuple[EndedRun, ...]
    truncated: bool = False


@attrs.frozen
class StartOrder:
    """An order to start a run of a task.

    :param until: end of the lease on the worker's clock, in seconds.
    :param fence: fencing token of the owner.
    :param saved: checkpoint to resume from; empty for none.
    :param ticket: proof that the worker may run the step; empty where none is required.
    """

    task: TaskId
    run: int
    spec: str
    until: float
    fence: int
    saved: str
    ticket: str = ""


@attrs.frozen
class Advice:
    """The workers that may run a step.

    :param tickets: ticket of each worker, by the id of the worker.
    :param valid_s: how long the tickets are valid, in seconds.
    """

    tickets: dict[str, str]
    valid_s: float


class Advisor(Protocol):
    """A service that decides which workers may run a step of an advised queue."""

    def advise(self, task: TaskId, workers: list[str], *, timeout_s: float) -> Advice:
        """Return tickets for those of the workers that may run the step of a task.

        :raises TransportError: when no usable answer came.
        """


class MachineList(Protocol):
    """The platform's list of machines and the workers on them."""

    def workers(self, *, timeout_s: float) -> frozenset[str]:
        """Return the ids of the workers on all machines, registered in the store or not.

        :raises TransportError: when the list could not be read completely.
        """


class StartOutcome(enum.Enum):
    """A worker's answer to a :class:`StartOrder`.

    ``SUPERSEDED`` means that the run has ended or was stopped, or that the worker knows a later run
    of the task. ``LATE`` means that the lease in the order had lapsed on arrival, and ``NO_TICKET``
    that the ticket is missing or invalid.
    """

    STARTED = "started"
    SUPERSEDED = "superseded"
    LATE = "late"
    NO_ROOM = "no_room"
    NO_TICKET = "no_ticket"
    UNHEALTHY = "unhealthy"
    INVALID = "invalid"


@attrs.frozen
class StartResponse:
    """The answer to a :class:`StartOrder`.

    :param clock_s: time on the worker's clock, in seconds; 0 when the answer does not contain it.
    """

    outcome: StartOutcome
    clock_s: float


class WorkerOrders(Protocol):
    """Client for orders to workers.

    ``start``, ``stop`` and ``hold`` raise ``FenceRejected`` when the worker has accepted a higher
    fencing token, ``WorkerReplaced`` when another worker answers at the address, and
    ``TransportError`` when no usable answer came; the worker may still execute the order then.
    """

    def start(self, entry: WorkerEntry, order: StartOrder, *, timeout_s: float) -> StartResponse:
        """Start a run; a repeated start of the same run starts nothing twice."""

    def stop(
        self, entry: WorkerEntry, task: TaskId, run: int, fence: int, *, timeout_s: float
    ) -> None:
        """Stop a run; the worker rejects a start of the same run that arrives later."""

    def hold(self, entry: WorkerEntry, order: HoldOrder, *, timeout_s: float) -> HoldReport:
        """Extend the leases on a worker and return its lists of runs."""

    def forget(self, entry: WorkerEntry) -> None:
        """Close the idle connections to a worker that has left."""
