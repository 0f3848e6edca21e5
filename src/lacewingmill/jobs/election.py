"""Election of the VM that directs the jobs: it holds a key of the store under a lease."""

import random
from collections.abc import Callable
from typing import TypeVar

import attrs
import gevent

from lacewingmill.codec import decode, encode
from lacewingmill.events import EventLog, LogEvent
from lacewingmill.exceptions import (
    HistoryLost,
    LeaseEnded,
    MessageInvalid,
    StoreUnavailable,
    TransactionConflict,
)
from lacewingmill.jobs.keys import OWNER_KEY, TERM_KEY
from lacewingmill.jobs.ports import ItemRevision, Put, Record, Transaction, TransactionStore
from lacewingmill.ports import Clock
from lacewingmill.retries import Backoff

__all__ = ["JobElector", "JobOwner", "OwnerLease", "Term", "election_delay_s"]

# A crashed owner is replaced at the latest when its lease expires. The lease must be long enough
# for several attempts to renew it.
LEASE_S = 2.5
RENEW_INTERVAL_S = 0.6
RENEW_RETRY_S = 0.1
# Each watch call is bounded, so that a dead connection to the store is noticed.
WATCH_WAIT_S = 6.0
RETRY_S = 0.25
MAX_RETRY_S = 1.0
# Random delay before an attempt to become owner, so that most VMs see the winner before they try.
MAX_ELECTION_JITTER_S = 0.12
# A new owner reads all jobs before it plans, and a slower link needs over 0.4 s for the largest
# page of the store, 1 MB. A VM with such a link lets others go first: its delay covers their random
# delay and the calls of their attempt.
SLOW_LINK_MBPS = 20.0
SLOW_LINK_DELAY_S = 0.25
# Allowance for the difference between the clocks of this VM and of the store.
CLOCK_MARGIN_S = 0.15
# Delay of an election after an owner that failed with an unexpected error; doubled by each one that
# follows. Tasks run on under their leases meanwhile.
FAILURE_DELAY_S = 0.25
MAX_FAILURE_DELAY_S = 4.0
# An owner that failed after this time does not count as failing in a row with earlier ones.
SETTLED_AFTER_S = 60.0

Message = TypeVar("Message")


@attrs.frozen
class JobOwner:
    """The VM that directs the jobs, as stored under the owner's key.

    :param address: ``host:port`` on which it serves other VMs.
    :param incarnation: unique for each start of the process.
    :param term: number of the owner; each new owner increments it.
    :param lease: id of the store lease that the owner's key is attached to.
    """

    vm: str
    address: str
    incarnation: str
    term: int
    lease: int


@attrs.frozen
class Term:
    """The term of the latest owner, as stored under the term's key.

    :param number: number of the owner; each new owner increments it.
    :param replaced: whether another VM ended this owner's lease, although it may still be running.
    :param failures: number of owners up to this one that gave up in a row because of an unexpected
        error.
    """

    number: int
    replaced: bool = False
    failures: int = 0


@attrs.define
class OwnerLease:
    """The lease under which this VM directs the jobs.

    :param fence: fencing token, the revision of the owner's key; workers refuse orders with a lower
        one than they have accepted.
    :param valid_until: time until which certainly no other VM is the owner, in seconds.
    :param predecessor_valid_s: how long the previous owner may still send orders after its
        replacement, in seconds; 0 when it was not replaced.
    :param ended: whether the ownership ended before ``valid_until``.
    :param handing_over: whether the ownership is about to end, so that nothing more is started.
    :param failures: number of earlier owners that gave up in a row because of an unexpected error.
    :param acquired_at: when this VM became owner, in seconds.
    """

    owner: JobOwner
    fence: int
    valid_until: float
    clock: Clock
    predecessor_valid_s: float = 0.0
    ended: bool = False
    handing_over: bool = False
    failures: int = 0
    acquired_at: float = 0.0

    @property
    def predecessor_ends_at(self) -> float:
        """Time from which the previous owner certainly sends no orders, in seconds."""
        return self.acquired_at + self.predecessor_valid_s

    @property
    def valid(self) -> bool:
        """Whether orders may be sent."""
        return self.remaining_s > 0

    @property
    def may_start(self) -> bool:
        """Whether starts may be sent."""
        return self.valid and not self.handing_over

    @property
    def remaining_s(self) -> float:
        """How long orders may certainly be sent from now on, in seconds; 0 if they may not."""
        return 0.0 if self.ended else max(0.0, self.valid_until - self.clock.now())


def election_delay_s(link_mbps: float) -> float:
    """Return how long a VM lets others go first in an election, in seconds.

    :param link_mbps: bandwidth of its network link, in megabits per second.
    """
    return SLOW_LINK_DELAY_S if link_mbps < SLOW_LINK_MBPS else 0.0


def failure_delay_s(failures: int) -> float:
    """Return how long elections are delayed after owners that failed in a row, in seconds."""
    return min(MAX_FAILURE_DELAY_S, FAILURE_DELAY_S * 2.0 ** min(failures - 1, 16))


class JobElector:
    """Follows the owner's key and tries to acquire it when it is free.

    ``eligible`` is set while this VM may become owner.

    :param candidate: this VM as an owner; its term and lease are filled in when it is elected.
    :param on_acquired: called when this VM has become owner.
    :param on_lost: called when this VM is no longer owner.
    :param delay_s: how long this VM lets others go first, in seconds.
    """

    def __init__(
        self,
        candidate: JobOwner,
        store: TransactionStore,
        clock: Clock,
        log: EventLog,
        on_acquired: Callable[[OwnerLease], None],
        on_lost: Callable[[], None],
        rng: random.Random,
        delay_s: float = 0.0,
    ):
        self._candidate = candidate
        self._delay_s = delay_s
        self._store = store
        self._clock = clock
        self._log = log
        self._on_acquired = on_acquired
        self._on_lost = on_lost
        self._rng = rng
        self._backoff = Backoff(RETRY_S, MAX_RETRY_S, rng)
        self.eligible = False
        self.owner_lease: OwnerLease | None = None
        self.owner: JobOwner | None = None
        self._owner_revision = 0

    def run(self) -> None:
        """Follow the owner's key and take part in elections forever."""
        while True:
            try:
                self._follow()
                self._backoff.reset()
            except StoreUnavailable:
                self._clock.sleep(self._backoff.next_s())
            except HistoryLost:
                # The store may discard more history for a while.
                self._clock.sleep(self._backoff.next_s())
            except (LeaseEnded, TransactionConflict):
                continue  # another VM became owner; read its record

    def hand_over(self) -> None:
        """Give up ownership at a planned stop, and no longer take part in elections."""
        self.eligible = False
        if self.owner_lease is not None:
            self.resign(self.owner_lease, "handed_over")

    def resign(self, owner_lease: OwnerLease, reason: str) -> None:
        """Give up ownership and end its lease, so that any eligible VM is elected at once.

        That may be this VM again.

        :param reason: one word for the log.
        """
        if self.owner_lease is not owner_lease:
            return
        self._end_ownership(reason)
        self.end_lease(owner_lease.owner)

    def resign_failed(self, owner_lease: OwnerLease) -> None:
        """Give up ownership after an unexpected error.

        The error is counted in the stored term. Owners that fail soon after each other are elected
        after increasing delays, because each takeover costs the workers and the store calls.
        """
        if self.owner_lease is not owner_lease:
            return
        settled = self._clock.now() - owner_lease.acquired_at > SETTLED_AFTER_S
        failures = (0 if settled else owner_lease.failures) + 1
        try:
            self._mark_term(Term(owner_lease.owner.term, failures=failures), owner_lease.fence)
        except (StoreUnavailable, TransactionConflict) as exc:
            self._log.emit(
                LogEvent.JOBS_FAILURE_UNCOUNTED, term=owner_lease.owner.term, reason=str(exc)
            )
        self.resign(owner_lease, "failed")

    def end_lease(self, owner: JobOwner) -> None:
        """End the lease of an owner, so that another one is elected at once."""
        try:
            self._store.end(owner.lease)
        except StoreUnavailable as exc:
            self._log.emit(LogEvent.JOBS_LEASE_KEPT, owner=owner.vm, reason=exc.message)

    def replace(self, owner: JobOwner) -> None:
        """End the lease of an owner that other VMs cannot reach.

        The replacement is first recorded in the stored term, because that owner may still be
        running and may send orders until its own copy of the lease expires.
        """
        owner_revision = self._owner_revision
        try:
            if self.owner != owner:
                return
            self._mark_term(Term(owner.term, replaced=True), owner_revision)
        except TransactionConflict:
            return  # another VM has replaced it, or the owner has changed
        except StoreUnavailable as exc:
            self._log.emit(LogEvent.JOBS_LEASE_KEPT, owner=owner.vm, reason=exc.message)
            return
        self._log.emit(LogEvent.JOBS_OWNER_REPLACED, owner=owner.vm, term=owner.term)
        self.end_lease(owner)

    def _mark_term(self, term: Term, owner_revision: int) -> None:
        """Replace the stored term, on the condition that the owner has not changed."""
        term_record = self._store.get(TERM_KEY)
        expect = (
            ItemRevision(OWNER_KEY, owner_revision),
            ItemRevision(TERM_KEY, term_record.revision if term_record is not None else 0),
        )
        self._store.commit(Transaction(expect, (Put(TERM_KEY, encode(term)),)))

    def step_down(self) -> None:
        """Give up ownership because another VM has a higher fencing token."""
        if self.owner_lease is not None:
            self._end_ownership("fenced")

    def _follow(self) -> None:
        record, revision = self._store.read(OWNER_KEY)
        if record is None:
            self.owner = None
            self._elect()
            return
        owner = self._decode(record, JobOwner)
        self._owner_revision = record.revision
        self.owner = owner
        if owner is not None and owner.vm == self._candidate.vm and self._is_stale(owner):
            self.end_lease(owner)
            return
        while True:
            answer = self._store.watch(OWNER_KEY, after=revision, wait_s=WATCH_WAIT_S)
            revision = answer.revision
            if any(change.key == OWNER_KEY for change in answer.changes):
                return

    def _is_stale(self, owner: JobOwner) -> bool:
        """Whether this VM's record is left from before a restart or from an unanswered write.

        Such a record names this VM as owner, although it does not direct the jobs.
        """
        return owner.incarnation != self._candidate.incarnation or self.owner_lease is None

    def _elect(self) -> None:
        if self.owner_lease is not None:
            self._end_ownership("lease_ended")
        if not self.eligible:
            self._clock.sleep(RETRY_S)
            return
        self._clock.sleep(self._delay_s + self._rng.uniform(0.0, MAX_ELECTION_JITTER_S))
        term_record = self._store.get(TERM_KEY)
        if self._store.get(OWNER_KEY) is not None or not self.eligible:
            return
        previous = self._previous_term(term_record)
        if previous.failures:
            self._clock.sleep(failure_delay_s(previous.failures))
        granted_at = self._clock.now()
        lease = self._store.grant(LEASE_S)
        if not self.eligible:  # a planned stop has begun
            return
        owner = attrs.evolve(self._candidate, term=previous.number + 1, lease=lease.lease)
        fence = self._claim(owner, term_record)
        if not self.eligible:
            self.end_lease(owner)
            return
        valid_until = granted_at + lease.ttl_s - CLOCK_MARGIN_S
        predecessor_valid_s = LEASE_S if previous.replaced else 0.0
        self.owner_lease = OwnerLease(
            owner,
            fence,
            valid_until,
            self._clock,
            predecessor_valid_s,
            failures=previous.failures,
            acquired_at=self._clock.now(),
        )
        self._owner_revision = fence
        self.owner = owner
        self._log.emit(LogEvent.JOBS_TAKEN, fence=fence, term=owner.term)
        gevent.spawn(self._renew, self.owner_lease, lease.ttl_s)
        self._on_acquired(self.owner_lease)

    def _previous_term(self, record: Record | None) -> Term:
        if record is None:
            return Term(0)
        # Each term took a revision of the store, so the number of an unreadable one is not higher.
        return self._decode(record, Term) or Term(record.revision, replaced=True)

    def _decode(self, record: Record, record_type: type[Message]) -> Message | None:
        try:
            return decode(record.value, record_type)
        except MessageInvalid as exc:
            self._log.emit(LogEvent.JOBS_OWNER_UNREADABLE, key=record.key, reason=exc.message)
            return None

    def _claim(self, owner: JobOwner, term_record: Record | None) -> int:
        term_revision = term_record.revision if term_record is not None else 0
        return self._store.commit(
            Transaction(
                (ItemRevision(OWNER_KEY, 0), ItemRevision(TERM_KEY, term_revision)),
                (
                    Put(OWNER_KEY, encode(owner), owner.lease),
                    Put(TERM_KEY, encode(Term(owner.term))),
                ),
            )
        )

    def _renew(self, owner_lease: OwnerLease, ttl_s: float) -> None:
        pause_s = RENEW_INTERVAL_S
        while not owner_lease.ended:
            self._clock.sleep(pause_s)
            if owner_lease.ended:
                return
            sent_at = self._clock.now()
            try:
                self._store.renew(owner_lease.owner.lease)
            except StoreUnavailable:
                pause_s = RENEW_RETRY_S
                continue
            except LeaseEnded:
                if self.owner_lease is owner_lease:
                    self._end_ownership("lease_ended")
                return
            owner_lease.valid_until = sent_at + ttl_s - CLOCK_MARGIN_S
            pause_s = RENEW_INTERVAL_S

    def _end_ownership(self, reason: str) -> None:
        owner_lease, self.owner_lease = self.owner_lease, None
        owner_lease.ended = True
        self._log.emit(LogEvent.JOBS_LOST, fence=owner_lease.fence, reason=reason)
        self._on_lost()
