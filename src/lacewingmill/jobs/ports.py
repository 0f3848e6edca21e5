"""The interfaces between jobs and the outside; ``lacewingmill.platform`` implements them."""

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
    "RunEnd",
    "RunEnded",
    "RunListed",
    "StartAnswer",
    "StartOrder",
    "StartOutcome",
    "TransactionStore",
    "Transaction",
    "WorkerEntry",
    "WorkerOrders",
]


@attrs.frozen
class Record:
    """A key of the store.

    :param revision: revision of the store at the key's last change.
    """

    key: str
    value: bytes
    revision: int


@attrs.frozen
class Change:
    """A key that changed; without a record it was removed."""

    key: str
    record: Record | None


@attrs.frozen
class Changes:
    """What a watch saw.

    :param revision: revision of the store up to which nothing was missed.
    """

    changes: tuple[Change, ...]
    revision: int


@attrs.frozen
class ItemRevision:
    """A condition: the key's revision; 0 for an absent key."""

    key: str
    revision: int


@attrs.frozen
class Put:
    """A key to write; with a lease, the key vanishes when the lease ends."""

    key: str
    value: bytes
    lease: int = 0


@attrs.frozen
class Transaction:
    """Writes that take effect together if all conditions hold."""

    expect: tuple[ItemRevision, ...] = ()
    puts: tuple[Put, ...] = ()
    remove: tuple[str, ...] = ()


@attrs.frozen
class Lease:
    """A lease of the store.

    :param ttl_s: how long it runs from each renewal, in seconds.
    """

    lease: int
    ttl_s: float


class TransactionStore(Protocol):
    """A key-value store with transactions, leases and watches.

    All methods raise ``StoreUnavailable`` when no answer came, so that a write may still take
    effect, and its subclass ``StoreRefused`` when certainly nothing was done.
    """

    def get(self, key: str) -> Record | None:
        """Return a key, or ``None``."""

    def read(self, key: str) -> tuple[Record | None, int]:
        """Return a key, and a revision from which a watch of it misses nothing.

        The key's own revision will not do: the store may have forgotten changes since then.
        """

    def scan(self, prefix: str) -> tuple[tuple[Record, ...], int]:
        """Return all keys under a prefix, and a revision from which a watch misses nothing."""

    def watch(self, prefix: str, *, after: int, wait_s: float) -> Changes:
        """Wait for changes after a revision.

        :raises HistoryLost: when the store no longer knows all changes since then.
        """

    def commit(self, transaction: Transaction) -> int:
        """Carry a transaction out and return its revision.

        :raises TransactionConflict: when a condition does not hold.
        :raises LeaseEnded: when a lease that it names has ended.
        """

    def grant(self, ttl_s: float) -> Lease:
        """Return a new lease."""

    def renew(self, lease: int) -> None:
        """Renew a lease.

        :raises LeaseEnded: when it has ended.
        """

    def end(self, lease: int) -> None:
        """End a lease now; its keys vanish."""


@attrs.frozen
class WorkerEntry:
    """A worker as it describes itself in the store.

    :param worker: its id; a process that starts anew may keep it.
    :param incarnation: start of its process, in milliseconds since the epoch.
    :param leaving: whether it drains.
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
    """How a run of a task ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


@attrs.frozen
class ListedRun:
    """A run that a worker lists.

    :param saved: its last checkpoint; empty when there is none.
    :param percent: progress of a task that ends, 0..100.
    """

    task: TaskId
    run: int
    saved: str
    percent: float


@attrs.frozen
class EndedRun:
    """A run that ended on a worker.

    :param number: rises within an incarnation of the worker.
    """

    number: int
    task: TaskId
    run: int
    end: RunOutcome
    saved: str


@attrs.frozen
class HoldOrder:
    """Extends the lease of all that runs on a worker and asks for its lists.

    :param until: end of the lease on the worker's clock, in seconds; 0 leaves it as it is.
    :param acked: ends up to this number are forgotten by the worker.
    :param wait_s: how long the answer may wait for an end, in seconds.
    """

    fence: int
    acked: int
    until: float
    wait_s: float


@attrs.frozen
class HoldReport:
    """A worker's lists.

    :param clock_s: the worker's clock, in seconds.
    """

    clock_s: float
    incarnation: int
    running: tuple[ListedRun, ...]
    ended: tuple[EndedRun, ...]


@attrs.frozen
class StartOrder:
    """Starts a run of a task.

    :param until: end of the lease on the worker's clock, in seconds.
    :param saved: checkpoint to resume from; empty for none.
    :param ticket: proof that the worker may run the step; empty where none is asked for.
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
    """Workers that may run a step, each with its ticket.

    :param valid_s: how long the tickets can be used, in seconds.
    """

    tickets: dict[str, str]
    valid_s: float


class Advisor(Protocol):
    """Knows which workers may run a step of an advised queue."""

    def advise(self, task: TaskId, workers: list[str], *, timeout_s: float) -> Advice:
        """Return the tickets of those workers that may run the step of a task.

        :raises TransportError: when no usable answer came.
        """


class MachineList(Protocol):
    """Knows which workers the platform's machines run."""

    def workers(self, *, timeout_s: float) -> frozenset[str]:
        """Return the ids of all workers that a machine runs, listed in the store or not.

        :raises TransportError: when the list was not read whole.
        """


class StartOutcome(enum.Enum):
    """What a worker made of a start."""

    STARTED = "started"
    SUPERSEDED = "superseded"
    LATE = "late"
    NO_ROOM = "no_room"
    NO_TICKET = "no_ticket"
    UNHEALTHY = "unhealthy"
    INVALID = "invalid"


@attrs.frozen
class StartAnswer:
    """A worker's answer to a start.

    :param clock_s: the worker's clock, in seconds; 0 when it was not told.
    """

    outcome: StartOutcome
    clock_s: float


class WorkerOrders(Protocol):
    """Orders to workers.

    All methods raise ``FenceRejected`` when the worker obeys a higher fence, ``WorkerReplaced``
    when another worker answers at the address, and ``TransportError`` when no answer came, so that
    the order may still be carried out.
    """

    def start(self, entry: WorkerEntry, order: StartOrder, *, timeout_s: float) -> StartAnswer:
        """Start a run."""

    def stop(
        self, entry: WorkerEntry, task: TaskId, run: int, fence: int, *, timeout_s: float
    ) -> None:
        """Stop a run; a start of it that arrives later is rejected."""

    def hold(self, entry: WorkerEntry, order: HoldOrder, *, timeout_s: float) -> HoldReport:
        """Extend leases and read the worker's lists."""

    def forget(self, entry: WorkerEntry) -> None:
        """Close the connections to a worker that has left."""
