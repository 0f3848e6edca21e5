"""Passes the ends that workers list between two owners on to the next owner, through the store."""

import gevent
from gevent.lock import BoundedSemaphore

from lacewingmill.codec import decode, encode
from lacewingmill.events import EventLog, LogEvent
from lacewingmill.exceptions import (
    FenceRejected,
    LeaseEnded,
    MessageInvalid,
    StoreUnavailable,
    TransportError,
    WorkerReplaced,
)
from lacewingmill.jobs.keys import ENDS_PREFIX, ends_key
from lacewingmill.jobs.messages import LateEnds
from lacewingmill.jobs.ports import (
    EndedRun,
    HoldOrder,
    HoldReport,
    Put,
    Record,
    Transaction,
    TransactionStore,
    WorkerEntry,
    WorkerOrders,
)
from lacewingmill.ports import Clock
from lacewingmill.tasks import contain_errors

__all__ = ["LateEndsListener", "read_late_ends"]

# Longer than a takeover, also one that follows several owners that failed.
LISTEN_S = 6.0
# A leaving worker may exit 0.1 s after its next end.
POLL_INTERVAL_S = 0.05
LONG_POLL_S = 0.5
RETRY_S = 0.25  # after the first failure of a poll; the worker may have exited
TIMEOUT_MARGIN_S = 0.3
# The next owner reads the ends within seconds; their keys are deleted with this lease.
KEPT_S = 60.0
# A store that refuses a call is called directly again after half a second; urgent jobs wait.
READ_S = 1.0


class LateEndsListener:
    """Listens to leaving workers for an owner that has left, until the next one asks them.

    A leaving worker may exit before that, and its last ends would be known to nobody. The owner
    sends no orders any more, extends no leases and acknowledges nothing.

    :param fence: fencing token of the owner that has left; workers refuse it once they have
        answered the next one.
    """

    def __init__(
        self, store: TransactionStore, orders: WorkerOrders, clock: Clock, log: EventLog, fence: int
    ):
        self._store = store
        self._orders = orders
        self._clock = clock
        self._log = log
        self._fence = fence
        self._lease = 0
        self._granting = BoundedSemaphore()

    def listen(self, workers: list[WorkerEntry]) -> None:
        """Listen to workers in the background."""
        for entry in workers:
            gevent.spawn(self._listen, entry)

    def _listen(self, entry: WorkerEntry) -> None:
        until = self._clock.now() + LISTEN_S
        report: HoldReport | None = None
        passed_on = 0  # number of the latest end that is stored
        failures = 0
        with contain_errors(self._log, worker=entry.worker):
            while self._clock.now() < until:
                wait_s = 0.0 if report is not None and report.ended else LONG_POLL_S
                order = HoldOrder(self._fence, 0, 0.0, wait_s)
                try:
                    report = self._orders.hold(entry, order, timeout_s=wait_s + TIMEOUT_MARGIN_S)
                    failures = 0
                except (FenceRejected, WorkerReplaced):
                    return
                except TransportError:
                    failures += 1
                # What was heard is stored also if the worker has exited since.
                ended = report.ended if report is not None else ()
                latest = ended[-1].number if ended else 0
                if latest > passed_on and self._pass_on(entry.worker, ended):
                    passed_on = latest
                if not failures and not report.running and passed_on >= latest:
                    return
                self._clock.sleep(RETRY_S if failures > 1 else POLL_INTERVAL_S)

    def _pass_on(self, worker: str, ended: tuple[EndedRun, ...]) -> bool:
        """Store all ends that a worker lists; return whether they are stored."""
        try:
            with self._granting:  # workers that list ends together share the lease
                if not self._lease:
                    self._lease = self._store.grant(KEPT_S).lease
            put = Put(ends_key(self._fence, worker), encode(LateEnds(worker, ended)), self._lease)
            self._store.commit(Transaction(puts=(put,)))
        except LeaseEnded:
            self._lease = 0
            return False
        except StoreUnavailable:
            return False
        self._log.emit(LogEvent.ENDS_PASSED_ON, worker=worker, count=len(ended))
        return True


def read_late_ends(store: TransactionStore, clock: Clock, log: EventLog) -> list[LateEnds]:
    """Return the ends that earlier owners have passed on; none if the store does not answer."""
    records: tuple[Record, ...] = ()
    until = clock.now() + READ_S
    while True:
        try:
            records, _ = store.scan(ENDS_PREFIX)
            break
        except StoreUnavailable as exc:
            log.emit(LogEvent.JOBS_UNREAD, load="late_ends", reason=exc.message)
            if clock.now() >= until:
                break
            clock.sleep(RETRY_S)
    late_ends = []
    for record in records:
        try:
            late_ends.append(decode(record.value, LateEnds))
        except MessageInvalid as exc:
            log.emit(LogEvent.JOB_UNREADABLE, key=record.key, reason=str(exc))
    return late_ends
