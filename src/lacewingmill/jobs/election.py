"""Who directs the jobs: one VM, by a key of the store under a lease."""

import random
from collections.abc import Callable

import attrs
import gevent

from lacewingmill.codec import decode, encode
from lacewingmill.events import EventLog, LogEvent
from lacewingmill.exceptions import (
    HistoryLost,
    LeaseEnded,
    StoreUnavailable,
    TransactionConflict,
)
from lacewingmill.jobs.keys import OWNER_KEY, TERM_KEY
from lacewingmill.jobs.ports import ItemRevision, Put, Record, Transaction, TransactionStore
from lacewingmill.ports import Clock

__all__ = ["JobElector", "JobOwner", "Tenure", "Term", "election_delay_s"]

# An owner that dies without a trace is replaced after this time; it must outlast several renewals.
LEASE_S = 2.5
RENEW_EVERY_S = 0.6
RENEW_RETRY_S = 0.1
# A silent connection to the store is noticed after one slice of a watch.
WATCH_SLICE_S = 6.0
RETRY_S = 0.25
# Spreads the VMs that try to become owner, so that most see the winner before they try.
SPREAD_S = 0.12
# A link below this takes over 0.4 s for the largest page of the store, 1 MB, and a new owner reads
# all jobs before it plans. It lets others go first: for the spread, and for the calls of a try.
SLOW_LINK_MBPS = 20.0
SLOW_LINK_DELAY_S = 0.25
# Certainty margin between this VM's clock and the store's.
MARGIN_S = 0.15


@attrs.frozen
class JobOwner:
    """The VM that directs the jobs.

    :param address: ``host:port`` for the other VMs.
    :param incarnation: unique for each start of a process.
    :param term: counts the owners.
    """

    vm: str
    address: str
    incarnation: str
    term: int
    lease: int


@attrs.frozen
class Term:
    """Counts the owners.

    :param replaced: whether other VMs ended the lease of this owner, which may live.
    """

    number: int
    replaced: bool = False


@attrs.define
class OwnerLease:
    """This VM's ownership.

    :param fence: revision of the owner's key; workers refuse orders under a lower one.
    :param valid_until: until then certainly no other VM owns the jobs, in seconds.
    :param earlier_valid_s: how long the owner before may still have sent orders, in seconds.
    """

    owner: JobOwner
    fence: int
    valid_until: float
    clock: Clock
    predecessor_valid_s: float = 0.0
    ended: bool = False

    @property
    def valid(self) -> bool:
        """Whether orders may be sent."""
        return not self.ended and self.clock.now() < self.valid_until


def election_delay_s(link_mbps: float) -> float:
    """Return how long a VM lets others go first, in seconds.

    :param link_mbps: what its link carries, in megabits a second.
    """
    return SLOW_LINK_DELAY_S if link_mbps < SLOW_LINK_MBPS else 0.0


class JobElector:
    """Follows the owner's key and takes it when it is free.

    :param me: this VM; its term and lease are filled in.
    :param take: called when this VM becomes owner.
    :param leave: called when it is owner no more.
    :param delay_s: how long it lets other VMs go first, in seconds.
    """

    def __init__(
        self,
        me: JobOwner,
        store: TransactionStore,
        clock: Clock,
        log: EventLog,
        take: Callable[[OwnerLease], None],
        leave: Callable[[], None],
        rng: random.Random,
        delay_s: float = 0.0,
    ):
        self._me = me
        self._delay_s = delay_s
        self._store = store
        self._clock = clock
        self._log = log
        self._take = take
        self._leave = leave
        self._rng = rng
        self.eligible = False
        self.owner_lease: OwnerLease | None = None
        self.owner: JobOwner | None = None
        self._owner_revision = 0

    def run(self) -> None:
        """Follow and elect for ever."""
        while True:
            try:
                self._follow()
            except StoreUnavailable:
                self._clock.sleep(RETRY_S)
            except HistoryLost:
                self._clock.sleep(RETRY_S)  # the store may go on forgetting for a while
            except (LeaseEnded, TransactionConflict):
                continue  # another VM was faster; its record is read next

    def hand_over(self) -> None:
        """Give the ownership up at once, at a planned stop."""
        self.eligible = False
        if self.owner_lease is not None:
            self.resign(self.owner_lease, "handed_over")

    def resign(self, owner_lease: OwnerLease, reason: str) -> None:
        """Give a tenure up at once, so that any eligible VM, this one too, may follow.

        :param reason: one word for the log.
        """
        if self.owner_lease is not owner_lease:
            return
        self._lose(reason)
        self.end_lease(owner_lease.owner)

    def end_lease(self, owner: JobOwner) -> None:
        """End the lease of an owner that is gone, so that another is elected at once."""
        try:
            self._store.end(owner.lease)
        except StoreUnavailable as exc:
            self._log.emit(LogEvent.JOBS_LEASE_KEPT, owner=owner.vm, reason=exc.message)

    def replace(self, owner: JobOwner) -> None:
        """End the lease of an owner that other VMs do not reach.

        The term says so first, because that owner may live until its own time is over.
        """
        try:
            found = self._store.get(TERM_KEY)
            if self.owner != owner or found is None:
                return
            term = Term(owner.term, replaced=True)
            expect = (
                ItemRevision(OWNER_KEY, self._owner_revision),
                ItemRevision(TERM_KEY, found.revision),
            )
            self._store.commit(Transaction(expect, (Put(TERM_KEY, encode(term)),)))
        except TransactionConflict:
            return  # another VM was faster, or the owner has changed
        except StoreUnavailable as exc:
            self._log.emit(LogEvent.JOBS_LEASE_KEPT, owner=owner.vm, reason=exc.message)
            return
        self._log.emit(LogEvent.JOBS_OWNER_REPLACED, owner=owner.vm, term=owner.term)
        self.end_lease(owner)

    def step_down(self) -> None:
        """Another VM has shown a higher fence."""
        if self.owner_lease is not None:
            self._lose("fenced")

    def _follow(self) -> None:
        record, revision = self._store.read(OWNER_KEY)
        if record is None:
            self.owner = None
            self._elect()
            return
        owner = decode(record.value, JobOwner)
        self._owner_revision = record.revision
        self.owner = owner
        if owner.vm == self._me.vm and self._is_stale(owner):
            self.end_lease(owner)
            return
        while True:
            changes = self._store.watch(OWNER_KEY, after=revision, wait_s=WATCH_SLICE_S)
            revision = changes.revision
            if any(change.key == OWNER_KEY for change in changes.changes):
                return

    def _is_stale(self, owner: JobOwner) -> bool:
        """Whether this VM's record is from before its restart, or from an unanswered write."""
        return owner.incarnation != self._me.incarnation or self.owner_lease is None

    def _elect(self) -> None:
        if self.owner_lease is not None:
            self._lose("lease_ended")
        if not self.eligible:
            self._clock.sleep(RETRY_S)
            return
        self._clock.sleep(self._delay_s + self._rng.uniform(0.0, SPREAD_S))
        term_record = self._store.get(TERM_KEY)
        if self._store.get(OWNER_KEY) is not None or not self.eligible:
            return
        granted_at = self._clock.now()
        lease = self._store.grant(LEASE_S)
        earlier = decode(term_record.value, Term) if term_record is not None else Term(0)
        owner = attrs.evolve(self._me, term=earlier.number + 1, lease=lease.lease)
        fence = self._claim(owner, term_record)
        valid_until = granted_at + lease.ttl_s - MARGIN_S
        predecessor_valid_s = LEASE_S if earlier.replaced else 0.0
        self.owner_lease = OwnerLease(owner, fence, valid_until, self._clock, predecessor_valid_s)
        self._owner_revision = fence
        self.owner = owner
        self._log.emit(LogEvent.JOBS_TAKEN, fence=fence, term=owner.term)
        gevent.spawn(self._renew, self.owner_lease, lease.ttl_s)
        self._take(self.owner_lease)

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
        pause = RENEW_EVERY_S
        while not owner_lease.ended:
            self._clock.sleep(pause)
            if owner_lease.ended:
                return
            sent_at = self._clock.now()
            try:
                self._store.renew(owner_lease.owner.lease)
            except StoreUnavailable:
                pause = RENEW_RETRY_S
                continue
            except LeaseEnded:
                if self.owner_lease is owner_lease:
                    self._lose("lease_ended")
                return
            owner_lease.valid_until = sent_at + ttl_s - MARGIN_S
            pause = RENEW_EVERY_S

    def _lose(self, reason: str) -> None:
        owner_lease, self.owner_lease = self.owner_lease, None
        owner_lease.ended = True
        self._log.emit(LogEvent.JOBS_LOST, fence=owner_lease.fence, reason=reason)
        self._leave()
