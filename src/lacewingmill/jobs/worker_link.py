"""The owner's link to one worker: sends orders, extends leases and polls its lists of runs."""

from collections.abc import Callable

import attrs
from gevent.event import Event
from gevent.lock import BoundedSemaphore

from lacewingmill.exceptions import FenceRejected, TransportError, WorkerReplaced
from lacewingmill.jobs.election import OwnerLease
from lacewingmill.jobs.end_acks import EndAcks
from lacewingmill.jobs.lease_clock import LeaseClock
from lacewingmill.jobs.link_listener import START_RESULTS, LinkListener, Order, StartResult
from lacewingmill.jobs.model import TaskId
from lacewingmill.jobs.ports import (
    HoldOrder,
    HoldReport,
    StartOrder,
    StartOutcome,
    StartResponse,
    WorkerEntry,
    WorkerOrders,
)
from lacewingmill.jobs.settings import PlatformLimits
from lacewingmill.jobs.units import GoneCause, Member, MemberState
from lacewingmill.ports import Clock
from lacewingmill.tasks import spawn_with_callback

__all__ = ["WorkerLink"]

# Workers delay the answer to a poll by at most this time.
MAX_LONG_POLL_S = 2.0
LONG_POLL_MARGIN_S = 0.7
# After polls without an answer, the next one waits longer: the worker may only be slow.
MAX_POLL_MARGIN_S = 2.1
# A run ends less than a second after its stop, so polls that wait for such an end are short.
STOP_POLL_S = 0.5
# A first poll is answered within milliseconds. If it is lost, there is time for a second one before
# a new owner stops waiting for first answers. Later polls wait longer, because the worker may be
# slow, and an answer that is discarded may be the only one that lists the end of a run.
FIRST_POLL_TIMEOUT_S = 0.3
FIRST_POLLS = 2
# Orders take about 3 ms within a failure domain, and tens of milliseconds with slow VMs or workers.
ORDER_TIMEOUT_S = 0.5
MIN_TIMEOUT_S = 0.001
# A start without an answer is repeated with the same run number, so it starts nothing twice. All
# attempts together take less time than the members of a gang wait for each other.
MAX_START_ATTEMPTS = 4
MAX_CONCURRENT_ORDERS = 3
RETRY_S = 0.25
# How long a link waits for ends to be stored before it polls again. A leaving worker may exit 0.1 s
# after its next end, which is lost unless it was polled in between.
STORE_WAIT_S = 0.5
LEAVING_STORE_WAIT_S = 0.05
# For the same reason, the first retry of a poll of a leaving worker comes early.
LEAVING_RETRY_S = 0.05
# When a worker is idle, its ends are acknowledged with the next start, or after this time.
ACK_DELAY_S = 1.0
# A worker that has said nothing for longer may have started again, and numbers its ends anew.
MAX_ACK_AGE_S = 0.5
SILENT_AFTER_FAILURES = 2
UNHEALTHY_PAUSE_S = 1.0


class WorkerLink:
    """The link to one worker during one lease of the owner.

    ``members`` holds the members of units that may run on the worker, and ``orphans`` the runs that
    belong to no unit and are being stopped. ``opened`` is set while the worker has told this owner
    all that it runs and is not lost, ``silent`` while it does not answer or is unhealthy, and
    ``listed`` while it is registered in the store. ``reported_at`` is the time of its latest
    report, in seconds.

    :param entry: registration of the worker; replaced when it changes.
    :param evacuated_domains: returns the failure domains in which nothing may be started.
    :param listener: receives the events of the link.
    """

    def __init__(
        self,
        entry: WorkerEntry,
        orders: WorkerOrders,
        owner_lease: OwnerLease,
        clock: Clock,
        limits: PlatformLimits,
        evacuated_domains: Callable[[], frozenset[str]],
        listener: LinkListener,
    ):
        self.entry = entry
        self.members: dict[TaskId, Member] = {}
        self.orphans: set[tuple[TaskId, int]] = set()
        self.opened = False
        self.silent = False
        self.listed = True
        self.reported_at = float("-inf")
        self._orders = orders
        self._owner_lease = owner_lease
        self._clock = clock
        self._limits = limits
        self._evacuated_domains = evacuated_domains
        self._listener = listener
        self._slots = BoundedSemaphore(MAX_CONCURRENT_ORDERS)
        self._wake = Event()
        self._stopped = False
        self._incarnation = entry.incarnation
        self._lease = LeaseClock(clock, limits.longest_hold_s)
        self._acks = EndAcks(clock)
        self._failures = 0
        self._unhealthy_until = 0.0
        self._poll_requested = False
        self._partly_heard = False
        self._heard_at = float("-inf")  # when the life that listed the latest ends was last heard
        self._doubted_at = float("-inf")  # when another life of the worker answered a start
        self._asked_at = float("-inf")  # when the latest report was asked for
        self._loop = spawn_with_callback(self._run, listener.on_failed)

    @property
    def worker(self) -> str:
        """Id of the worker."""
        return self.entry.worker

    @property
    def idle(self) -> bool:
        """Whether no member may run on the worker."""
        return not self.members

    def stop(self) -> None:
        """Stop sending requests to the worker."""
        self._stopped = True
        self._loop.kill(block=False)

    def add_member(self, member: Member) -> None:
        """Add a member that may run on the worker from now on."""
        self.members[member.task] = member
        if member.state is MemberState.RUNNING:  # it runs already, so its lease must be extended
            self._wake.set()

    def remove_member(self, member: Member) -> None:
        """Remove a member that does not run any more."""
        if self.members.get(member.task) is member:
            del self.members[member.task]

    def request_poll(self) -> None:
        """Request a poll that the worker answers without delay."""
        self._poll_requested = True
        self._wake.set()

    def start(self, member: Member, spec: str, checkpoint: str, ticket: str = "") -> StartResult:
        """Start a member, with retries while there is no answer, and return the result.

        :param checkpoint: checkpoint to resume from; empty for none.
        :param ticket: ticket of the advice service; empty where none is required.
        """
        with self._slots:
            if member.state is not MemberState.PLANNED:
                return StartResult.UNKNOWN
            any_unanswered = False
            for _ in range(MAX_START_ATTEMPTS):
                if not self._owner_lease.may_start or member.gone or member.stopped_at:
                    return StartResult.UNKNOWN
                if self._evacuated:
                    return self._withhold_start(any_unanswered)
                address = self.entry.address
                try:
                    answer = self._send_start(member, spec, checkpoint, ticket)
                except FenceRejected:
                    self._listener.on_fenced()
                    return StartResult.UNKNOWN
                except WorkerReplaced:
                    if address != self.entry.address:
                        continue
                    self._handle_replaced(address)
                    return StartResult.UNHEALTHY
                except TransportError as exc:
                    self._listener.on_order_unanswered(self, member, Order.START, exc)
                    any_unanswered = True
                    continue
                if answer.outcome is StartOutcome.LATE:
                    continue
                return self._apply_answer(member, START_RESULTS[answer.outcome], any_unanswered)
            self._record_failure()
            self._wake.set()  # the member may run, so its end must be polled for
            return StartResult.UNKNOWN

    @property
    def _evacuated(self) -> bool:
        return self.entry.failure_domain in self._evacuated_domains()

    def _withhold_start(self, any_unanswered: bool) -> StartResult:
        """Return the result of a start that is not sent, or not repeated, in an evacuation."""
        if not any_unanswered:
            return StartResult.EVACUATED
        self._wake.set()  # the member may run, so its end must be polled for
        return StartResult.UNKNOWN

    def _order_timeout_s(self) -> float:
        """Return how long an order may take; it must not be sent after the end of the lease."""
        return min(ORDER_TIMEOUT_S, max(MIN_TIMEOUT_S, self._owner_lease.remaining_s))

    def _send_start(self, member: Member, spec: str, checkpoint: str, ticket: str) -> StartResponse:
        until = self._lease.extend()
        fence = self._owner_lease.fence
        order = StartOrder(member.task, member.run, spec, until, fence, checkpoint, ticket)
        if member.state is MemberState.PLANNED:
            member.state = MemberState.ORDERED
        sent_at = self._clock.now()
        answer = self._orders.start(self.entry, order, timeout_s=self._order_timeout_s())
        if answer.clock_s:
            if self._lease.started_again(answer.clock_s, sent_at):
                self._doubted_at = self._clock.now()
            else:
                self._heard_at = sent_at
            self._lease.set_worker_time(answer.clock_s)
        return answer

    def _apply_answer(
        self, member: Member, result: StartResult, any_unanswered: bool
    ) -> StartResult:
        """Update the member by the answer to a start, and return the result.

        :param any_unanswered: whether an earlier attempt got no answer; it may have started the
            run although this one was rejected.
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
        if any_unanswered:
            self._wake.set()
            return StartResult.UNKNOWN
        return result

    def stop_run(self, member: Member) -> None:
        """Stop a member, with retries until there is an answer or the member is gone."""
        member.stop_requested = True
        while not member.gone and not self._stopped:
            try:
                if self._owner_lease.valid and self._send_stop(member):
                    member.stopped_at = self._clock.now()
                    self.request_poll()
                    return
            except Exception as exc:  # the member must be stopped all the same
                self._listener.on_link_failed(self, exc)
            self._clock.sleep(RETRY_S)

    def stop_orphan(self, task: TaskId, run: int) -> None:
        """Stop a run that belongs to no unit, and poll for its end."""
        self.orphans.add((task, run))
        self._send_stop(Member(task, run, self.worker, MemberState.RUNNING))
        self._clock.sleep(STOP_POLL_S)
        self.orphans.discard((task, run))
        self.request_poll()

    def _send_stop(self, member: Member) -> bool:
        with self._slots:
            address = self.entry.address
            try:
                self._orders.stop(
                    self.entry,
                    member.task,
                    member.run,
                    self._owner_lease.fence,
                    timeout_s=self._order_timeout_s(),
                )
            except FenceRejected:
                self._listener.on_fenced()
                return False
            except WorkerReplaced:
                self._handle_replaced(address)
                return False
            except TransportError as exc:
                self._listener.on_order_unanswered(self, member, Order.STOP, exc)
                self._record_failure()
                return False
        return True

    def _run(self) -> None:
        while not self._stopped:
            if not self._owner_lease.valid:
                self._check_expiry()
                self._clock.sleep(RETRY_S)
                continue
            if self.opened and not self.silent and self.idle and not self._poll_requested:
                if self._acks.outstanding:
                    self._clock.wait(self._wake, ACK_DELAY_S)
                else:
                    self._wake.wait()
                if not self._owner_lease.valid:  # it may have ended during the wait
                    continue
            self._wake.clear()
            try:
                self._poll_once()
            except Exception as exc:  # an error about one worker must not end the ownership
                self._listener.on_link_failed(self, exc)
                self._handle_poll_failure()

    def _poll_once(self) -> None:
        """Poll the worker once: extend its leases, acknowledge ends and handle its report."""
        wait_s = self._long_poll_s()
        self._poll_requested = False
        # After a failure, leases are not extended: an extension without an answer may take effect
        # late, and the leases on a silent worker must expire.
        heard = self.opened or self._partly_heard
        until = self._lease.extend() if heard and self._failures == 0 else 0.0
        sent_at = self._clock.now()
        acked = self._acks.to_send if self._failures == 0 else 0
        ack_delayed = bool(acked) and self._may_have_restarted
        if ack_delayed:
            acked = 0
            self._poll_requested = True  # to acknowledge as soon as the worker has answered
        order = HoldOrder(self._owner_lease.fence, acked, until, wait_s)
        hurried = not self.opened and self._failures < FIRST_POLLS
        margin_s = min(LONG_POLL_MARGIN_S * (1 + self._failures), MAX_POLL_MARGIN_S)
        timeout_s = FIRST_POLL_TIMEOUT_S if hurried else wait_s + margin_s
        address = self.entry.address
        try:
            report = self._orders.hold(self.entry, order, timeout_s=timeout_s)
        except FenceRejected:
            self._listener.on_fenced()
            self._stopped = True
            return
        except WorkerReplaced:
            self._handle_replaced(address)
            self._clock.sleep(RETRY_S)
            return
        except TransportError:
            self._handle_poll_failure()
            return
        if not self._stopped:
            self._acks.sent = max(self._acks.sent, acked)
            self._apply_report(report, sent_at, ack_delayed)

    @property
    def _may_have_restarted(self) -> bool:
        """Whether the worker may have started again since its latest report.

        Ends are acknowledged again after its next report, which tells its incarnation.
        """
        if self._doubted_at > self._asked_at:
            return True
        return self._clock.now() - max(self.reported_at, self._heard_at) > MAX_ACK_AGE_S

    def _handle_poll_failure(self) -> None:
        """Record a poll without a usable report, and pause before the next one."""
        self._record_failure()
        self._check_expiry()
        first = self._failures == 1
        self._clock.sleep(LEAVING_RETRY_S if first and self.entry.leaving else RETRY_S)

    def _long_poll_s(self) -> float:
        """Return how long the worker may delay its next answer until a run ends, in seconds."""
        if (
            self._poll_requested
            or self._failures
            or self.idle
            or not self.opened
            or self.silent
            or self._acks.unstored
        ):
            return 0.0
        if any(member.stop_requested for member in self.members.values()):
            return STOP_POLL_S
        return min(MAX_LONG_POLL_S, self._limits.longest_hold_s / 3)

    def _apply_report(self, report: HoldReport, sent_at: float, ack_delayed: bool) -> None:
        self._failures = 0
        self.reported_at = self._clock.now()
        self._lease.set_worker_time(report.clock_s)
        self._asked_at = sent_at
        if report.incarnation != self._incarnation:
            self._handle_restart(report.incarnation)
        new_ends = tuple(ended for ended in report.ended if ended.number > self._acks.seen)
        report = attrs.evolve(report, ended=new_ends)
        self._partly_heard = report.truncated
        if not self.opened:
            self._lease.count_earlier_leases()  # of the runs that the worker lists
        if not self.opened and not report.truncated:
            self.opened = True
            self.silent = False
            self._listener.on_worker_joined(self, report)
        pending = self._listener.on_worker_reported(self, report)
        if not report.truncated:  # otherwise the end of a missing run may not be listed yet
            self._remove_missing(report, sent_at)
        if self.silent and self._clock.now() >= self._unhealthy_until:
            self.silent = False
            self._listener.on_worker_answered(self)
        elif self.silent:
            self._clock.sleep(RETRY_S)
        if new_ends:
            self._acks.add(new_ends[-1].number, pending)
        if not ack_delayed:  # otherwise this report would be too old for the next poll as well
            self._acks.ack_stored(LEAVING_STORE_WAIT_S if self.entry.leaving else STORE_WAIT_S)

    def _remove_missing(self, report: HoldReport, sent_at: float) -> None:
        """Remove members that have ended although the worker did not list their ends.

        They are not listed as running although a stop or the start was confirmed before the poll.
        """
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
                self._listener.on_member_gone(self, member, GoneCause.NOT_LISTED)

    def _handle_restart(self, incarnation: int) -> None:
        """Handle a restart of the worker's process.

        Members may have started since the restart; the earlier ones are missing from its lists.
        """
        self._incarnation = incarnation
        self._acks.reset()

    def _handle_replaced(self, address: str) -> None:
        """Handle another worker's answer at an address.

        It tells nothing about a worker that has been registered at another address meanwhile.
        """
        if address != self.entry.address:
            return
        self._remove_all_members(GoneCause.REPLACED)
        self._mark_silent()

    def _remove_all_members(self, cause: GoneCause) -> None:
        for member in list(self.members.values()):
            if member.state is MemberState.PLANNED:
                continue
            self.remove_member(member)
            self._listener.on_member_gone(self, member, cause)

    def _record_failure(self) -> None:
        self._failures += 1
        if self.members and self._listener.has_exited(self):
            self._declare_lost(GoneCause.EXITED)
            return
        if self._failures >= SILENT_AFTER_FAILURES:
            self._mark_silent()

    def _mark_silent(self) -> None:
        self._wake.set()
        if not self.silent and self.opened:
            self.silent = True
            self._listener.on_worker_silent(self)

    def _check_expiry(self) -> None:
        if self.members and self._lease.expired:
            self._declare_lost(GoneCause.LEASES_OVER)

    def _declare_lost(self, cause: GoneCause) -> None:
        self._partly_heard = False
        self._remove_all_members(cause)
        if self.opened:
            self.opened = False
            self._listener.on_worker_lost(self)
