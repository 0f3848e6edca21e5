"""The owner's link to one worker: orders, lease extension, and what the worker lists."""

from gevent.event import Event
from gevent.lock import BoundedSemaphore

from lacewingmill.exceptions import FenceRejected, TransportError, WorkerReplaced
from lacewingmill.jobs.election import OwnerLease
from lacewingmill.jobs.end_acks import EndAcks
from lacewingmill.jobs.lease_clock import LeaseClock
from lacewingmill.jobs.link_listener import OUTCOMES, LinkListener, Order, StartResult
from lacewingmill.jobs.model import TaskId
from lacewingmill.jobs.ports import (
    HoldOrder,
    HoldReport,
    StartAnswer,
    StartOrder,
    StartOutcome,
    WorkerEntry,
    WorkerOrders,
)
from lacewingmill.jobs.settings import PlatformLimits
from lacewingmill.jobs.units import Member, MemberState
from lacewingmill.ports import Clock
from lacewingmill.tasks import spawn_with_callback

__all__ = ["WorkerLink"]

# The longest time that a worker lets an answer wait.
LONGEST_WAIT_S = 2.0
HOLD_MARGIN_S = 0.7
# A stop takes under a second, so a look that waits for its end may be short.
STOP_LOOK_S = 0.5
# A first look is answered in milliseconds; a lost one leaves time for another within the time that
# a new owner gives its workers.
FIRST_LOOK_TIMEOUT_S = 0.3
# Orders cross a zone in about 3 ms; slow VMs and workers take tens of that.
ORDER_TIMEOUT_S = 0.5
# A start without an answer is sent again under its number, which starts nothing twice; all tries
# together are shorter than a gang waits for its members.
START_TRIES = 4
ORDERS_AT_ONCE = 3
RETRY_S = 0.25
# How long a link waits for the store to take ends before it looks at its worker again. One that is
# leaving may be gone 0.1 s after its next end, and nobody hears of that end any more.
STORED_S = 0.5
LEAVING_STORED_S = 0.05
# The same bound for the first retry of a look at a worker that is leaving.
LEAVING_RETRY_S = 0.05
# An idle worker's ends are acknowledged by the next start, or after this time.
ACK_DELAY_S = 1.0
FAILURES_UNTIL_SILENT = 2
# Less than the silence for which the platform unlists a worker, and more than one long answer.
HEARD_LATELY_S = 3.0
UNHEALTHY_PAUSE_S = 1.0


class WorkerLink:
    """Talks to one worker under one tenure.

    ``strays`` holds the tasks and runs that nobody wants and that were just told to stop.

    :param entry: the worker as it describes itself; replaced when the description changes.
    """

    def __init__(
        self,
        entry: WorkerEntry,
        orders: WorkerOrders,
        owner_lease: OwnerLease,
        clock: Clock,
        limits: PlatformLimits,
        listener: LinkListener,
    ):
        self.entry = entry
        self.members: dict[TaskId, Member] = {}
        self.orphans: set[tuple[TaskId, int]] = set()
        self.opened = False
        self.silent = False
        self.listed = True
        self._orders = orders
        self._owner_lease = owner_lease
        self._clock = clock
        self._limits = limits
        self._listener = listener
        self._slots = BoundedSemaphore(ORDERS_AT_ONCE)
        self._wake = Event()
        self._stopped = False
        self._incarnation = entry.incarnation
        self._lease = LeaseClock(clock, limits.longest_hold_s)
        self._acks = EndAcks(clock)
        self._failures = 0
        self._unhealthy_until = 0.0
        self._look = False
        self._heard_at = 0.0
        self._exits = False
        self._loop = spawn_with_callback(self._run, listener.failed)

    @property
    def worker(self) -> str:
        """Id of the worker."""
        return self.entry.worker

    @property
    def idle(self) -> bool:
        """Whether nothing runs there as far as is known."""
        return not self.members

    def stop(self) -> None:
        """Talk to the worker no more."""
        self._stopped = True
        self._loop.kill(block=False)

    def add_member(self, member: Member) -> None:
        """Count a member as possibly running on the worker from now on."""
        self.members[member.task] = member
        if member.state is MemberState.RUNNING:  # found running: its lease must be extended
            self._wake.set()

    def remove_member(self, member: Member) -> None:
        """Count a member no more."""
        if self.members.get(member.task) is member:
            del self.members[member.task]

    def look(self) -> None:
        """Ask for the lists soon."""
        self._look = True
        self._wake.set()

    def start(self, member: Member, spec: str, saved: str, ticket: str = "") -> StartResult:
        """Send a start, again while it is not answered, and return what became of it."""
        with self._slots:
            if member.state is not MemberState.PLANNED:
                return StartResult.UNKNOWN
            unanswered = False
            for _ in range(START_TRIES):
                if not self._owner_lease.valid or member.gone or member.stopped_at:
                    return StartResult.UNKNOWN
                try:
                    answer = self._send_start(member, spec, saved, ticket)
                except FenceRejected:
                    self._listener.fenced()
                    return StartResult.UNKNOWN
                except WorkerReplaced:
                    self._replaced()
                    return StartResult.UNHEALTHY
                except TransportError as exc:
                    self._listener.order_unanswered(self, member, Order.START, exc)
                    unanswered = True
                    continue
                if answer.outcome is StartOutcome.LATE:
                    continue
                return self._take_answer(member, OUTCOMES[answer.outcome], unanswered)
            self._fail()
            self._wake.set()  # it may run, and its end must be heard of
            return StartResult.UNKNOWN

    def _send_start(self, member: Member, spec: str, saved: str, ticket: str) -> StartAnswer:
        until = self._lease.extend()
        fence = self._owner_lease.fence
        order = StartOrder(member.task, member.run, spec, until, fence, saved, ticket)
        if member.state is MemberState.PLANNED:
            member.state = MemberState.ORDERED
        answer = self._orders.start(self.entry, order, timeout_s=ORDER_TIMEOUT_S)
        if answer.clock_s:
            self._lease.set_worker_time(answer.clock_s)
        return answer

    def _take_answer(self, member: Member, result: StartResult, unanswered: bool) -> StartResult:
        """Take in an answer to a start.

        :param unanswered: whether the same start was sent before without an answer, so that a
            refusal says nothing about that one.
        """
        if member.gone:
            return StartResult.UNKNOWN
        if result is StartResult.STARTED:
            member.state = MemberState.RUNNING
            member.confirmed_at = self._clock.now()
            self._wake.set()
            return result
        if result in (StartResult.UNHEALTHY, StartResult.NO_ROOM):
            self._unhealthy_until = self._clock.now() + UNHEALTHY_PAUSE_S
            self._mark_silent()
        if unanswered:
            self._wake.set()
            return StartResult.UNKNOWN
        return result

    def stop_run(self, member: Member) -> None:
        """Send a stop until it is answered or the member is gone."""
        member.stop_requested = True
        while not member.gone and not self._stopped:
            if self._owner_lease.valid and self._send_stop(member):
                member.stopped_at = self._clock.now()
                self.look()
                return
            self._clock.sleep(RETRY_S)

    def stop_orphan(self, task: TaskId, run: int) -> None:
        """Stop a run that nobody wants, and look for its end."""
        self.orphans.add((task, run))
        self._send_stop(Member(task, run, self.worker, MemberState.RUNNING))
        self._clock.sleep(STOP_LOOK_S)
        self.orphans.discard((task, run))
        self.look()

    def expect_exit(self, leaving: bool) -> None:
        """The worker is listed no more.

        One that was leaving and answered until now has exited if it does not answer any more; one
        that was silent before may have been unlisted for its silence and run on.

        :param leaving: whether it was leaving.
        """
        self._exits = leaving and self._clock.now() - self._heard_at < HEARD_LATELY_S

    def _send_stop(self, member: Member) -> bool:
        with self._slots:
            try:
                self._orders.stop(
                    self.entry,
                    member.task,
                    member.run,
                    self._owner_lease.fence,
                    timeout_s=ORDER_TIMEOUT_S,
                )
            except FenceRejected:
                self._listener.fenced()
                return False
            except WorkerReplaced:
                self._replaced()
                return False
            except TransportError as exc:
                self._listener.order_unanswered(self, member, Order.STOP, exc)
                self._fail()
                return False
        return True

    def _run(self) -> None:
        while not self._stopped:
            if not self._owner_lease.valid:
                self._check_expiry()
                self._clock.sleep(RETRY_S)
                continue
            if self.opened and not self.silent and self.idle and not self._look:
                if self._acks.outstanding:
                    self._clock.wait(self._wake, ACK_DELAY_S)
                else:
                    self._wake.wait()
            self._wake.clear()
            self._look_once()

    def _look_once(self) -> None:
        wait_s = self._wait_s()
        self._look = False
        # An unanswered extension may yet be carried out; the leases of a silent worker must end.
        until = self._lease.extend() if self.opened and self._failures == 0 else 0.0
        sent_at = self._clock.now()
        acked = self._acks.acked if self._failures == 0 else 0
        order = HoldOrder(self._owner_lease.fence, acked, until, wait_s)
        timeout_s = wait_s + HOLD_MARGIN_S if self.opened else FIRST_LOOK_TIMEOUT_S
        try:
            report = self._orders.hold(self.entry, order, timeout_s=timeout_s)
        except FenceRejected:
            self._listener.fenced()
            self._stopped = True
            return
        except WorkerReplaced:
            self._replaced()
            self._clock.sleep(RETRY_S)
            return
        except TransportError:
            self._fail()
            self._check_expiry()
            first = self._failures == 1
            self._clock.sleep(LEAVING_RETRY_S if first and self.entry.leaving else RETRY_S)
            return
        if not self._stopped:
            self._acks.sent = acked
            self._take(report, sent_at)

    def _wait_s(self) -> float:
        """Return how long the worker may let its next answer wait for an end, in seconds."""
        if self._look or self.idle or not self.opened or self.silent or self._acks.unstored:
            return 0.0
        if any(member.stop_requested for member in self.members.values()):
            return STOP_LOOK_S
        return min(LONGEST_WAIT_S, self._limits.longest_hold_s / 3)

    def _take(self, report: HoldReport, sent_at: float) -> None:
        self._failures = 0
        self._heard_at = self._clock.now()
        self._lease.set_worker_time(report.clock_s)
        if report.incarnation != self._incarnation:
            self._restart(report.incarnation)
        fresh = tuple(ended for ended in report.ended if ended.number > self._acks.seen)
        report = HoldReport(report.clock_s, report.incarnation, report.running, fresh)
        if not self.opened:
            self.opened = True
            self.silent = False
            self._listener.link_opened(self, report)
        pending = self._listener.link_reported(self, report)
        self._find_missing(report, sent_at)
        if self.silent and self._clock.now() >= self._unhealthy_until:
            self.silent = False
            self._listener.link_answers(self)
        elif self.silent:
            self._clock.sleep(RETRY_S)
        if fresh:
            self._acks.add(fresh[-1].number, pending)
        self._acks.ack_stored(LEAVING_STORED_S if self.entry.leaving else STORED_S)

    def _find_missing(self, report: HoldReport, sent_at: float) -> None:
        """Find members that the worker should list and does not."""
        listed = {(listed.task, listed.run) for listed in report.running}
        for member in list(self.members.values()):
            if (member.task, member.run) in listed:
                if member.state is MemberState.ORDERED:
                    member.state = MemberState.RUNNING
                    member.confirmed_at = sent_at
                continue
            stopped = 0 < member.stopped_at <= sent_at
            vanished = member.state is MemberState.RUNNING and member.confirmed_at <= sent_at
            if stopped or vanished:
                self.remove_member(member)
                self._listener.member_gone(self, member)

    def _restart(self, incarnation: int) -> None:
        """The worker's process has started anew and knows nothing of before.

        Members may have begun there since; those of before are missing from its list.
        """
        self._incarnation = incarnation
        self._acks.reset()

    def _replaced(self) -> None:
        self._drop_all()
        self._mark_silent()

    def _drop_all(self) -> None:
        for member in list(self.members.values()):
            if member.state is MemberState.PLANNED:
                continue
            self.remove_member(member)
            self._listener.member_gone(self, member)

    def _fail(self) -> None:
        self._failures += 1
        if self._exits:
            self._lose()
            return
        if self._failures >= FAILURES_UNTIL_SILENT:
            self._mark_silent()

    def _mark_silent(self) -> None:
        self._wake.set()
        if not self.silent and self.opened:
            self.silent = True
            self._listener.link_silent(self)

    def _check_expiry(self) -> None:
        if self.members and self._lease.expired:
            self._lose()

    def _lose(self) -> None:
        self._drop_all()
        if self.opened:
            self.opened = False
            self._listener.link_lost(self)
