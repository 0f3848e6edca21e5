"""Collects events for the scheduler of each service, and plans once for many events."""

from collections.abc import Callable, Mapping

from gevent.event import Event as GeventEvent

from lacewingmill.events import EventLog
from lacewingmill.jobs.evacuation_feed import EvacuationFeed
from lacewingmill.jobs.graph import JobGraph
from lacewingmill.jobs.model import QueueTable, Unit
from lacewingmill.jobs.scheduler_inputs import build_quotas_event, new_scheduler, unit_job
from lacewingmill.jobs.settings import PlatformLimits
from lacewingmill.jobs.units import ActiveUnit, Member
from lacewingmill.ports import Clock
from lacewingmill.scheduling.messages import (
    Action,
    Event,
    GangRecovered,
    JobCancelled,
    JobSubmitted,
    NeedsChanged,
    Placement,
    ProgressReported,
    RunningGang,
)
from lacewingmill.scheduling.messages import Member as Allocation
from lacewingmill.scheduling.scheduler import Scheduler
from lacewingmill.tasks import contain_errors

__all__ = ["UnitPlanner"]

MAX_EVENT_CHARS = 200
# Failed rounds of planning in a row after which the owner gives up, and the next one starts from
# what the store and the workers hold. The owner plans at least twice a second.
MAX_FAILED_ROUNDS = 5


class UnitPlanner:
    """The schedulers, one for the workers of each service.

    ``wake`` is set when there is something to plan.

    :param table: returns the configuration in force; ``None`` before the first one was read.
    :param evacuations: tells the schedulers which failure domains are evacuated.
    :param execute: executes an action of a scheduler.
    :param limits: time limits of the platform.
    """

    def __init__(
        self,
        clock: Clock,
        log: EventLog,
        table: Callable[[], QueueTable | None],
        evacuations: EvacuationFeed,
        execute: Callable[[Action], None],
        limits: PlatformLimits | None = None,
    ):
        self.wake = GeventEvent()
        self._clock = clock
        self._log = log
        self._table = table
        self._evacuations = evacuations
        self._execute = execute
        self._limits = limits
        self._schedulers: dict[str, Scheduler] = {}
        self._events: list[tuple[str, Event]] = []
        self._table_version = 0
        self._failed_rounds: dict[str, int] = {}

    @property
    def schedulers(self) -> Mapping[str, Scheduler]:
        """The schedulers by service."""
        return self._schedulers

    @property
    def backlog(self) -> int:
        """Number of units that wait for workers."""
        return sum(scheduler.queued for scheduler in self._schedulers.values())

    @property
    def evacuated_workers(self) -> int:
        """Number of workers in evacuated failure domains."""
        return sum(
            self._evacuations.count_workers(service, scheduler)
            for service, scheduler in self._schedulers.items()
        )

    @property
    def largest_team_use(self) -> float:
        """The largest use of a team against its share; 1.0 for a team that uses its share."""
        schedulers = self._schedulers.values()
        return max((scheduler.largest_team_use for scheduler in schedulers), default=0.0)

    def feed(self, service: str, event: Event) -> None:
        """Queue an event of a service for the next planning round."""
        self._scheduler(service)
        self._events.append((service, event))
        self.wake.set()

    def feed_progress(self, service: str, event: ProgressReported) -> None:
        """Queue a report for the next planning round, which it does not bring forward."""
        self._scheduler(service)
        self._events.append((service, event))

    def slow_workers(self) -> dict[str, float]:
        """Return the workers that are slower than usual, with the factors."""
        now = self._clock.now()
        slow: dict[str, float] = {}
        for scheduler in self._schedulers.values():
            slow.update(scheduler.slow_workers(now))
        return slow

    def feed_all(self, event: Event) -> None:
        """Queue an event for all services, when it is no longer known which one it belongs to."""
        for service in self._schedulers:
            self.feed(service, event)

    def queue(
        self, graph: JobGraph, unit: Unit, allowed_workers: frozenset[str] | None = None
    ) -> None:
        """Queue a unit for workers.

        :param allowed_workers: the workers that may run the unit; ``None`` for all.
        """
        job = unit_job(graph, unit, self._clock, allowed_workers)
        self.feed(graph.submission.service, JobSubmitted(job))

    def withdraw_job(self, graph: JobGraph, active: set[str]) -> None:
        """Remove the waiting units of a job.

        :param active: ids of the units that occupy workers, which are left alone; they are removed
            once they have released their workers.
        """
        service = graph.submission.service
        prefix = f"{graph.submission.job_id}/"
        for unit_id in self._scheduler(service).records:
            if unit_id.startswith(prefix) and unit_id not in active:
                self.feed(service, JobCancelled(unit_id))

    def withdraw_unit(self, graph: JobGraph, unit: Unit) -> None:
        """Remove a unit, waiting or running."""
        self.feed(graph.submission.service, JobCancelled(unit.unit_id))

    def waiting_for_allowed_workers(self) -> list[tuple[str, frozenset[str]]]:
        """Return the units that wait and may run on some workers only, with these workers.

        :return: the id of one unit for each step and set of workers.
        """
        units = {}
        for scheduler in self._schedulers.values():
            for unit_id, job in scheduler.queued_jobs():
                if job.needs.only is not None:
                    units[(job.needs.group, job.needs.only)] = unit_id
        return [(unit_id, only) for (_, only), unit_id in units.items()]

    def allow_workers(self, graph: JobGraph, unit: Unit, workers: frozenset[str]) -> None:
        """Replace the workers that may run the units of a step."""
        job = unit_job(graph, unit, self._clock, workers)
        self.feed(graph.submission.service, NeedsChanged(job.needs))

    def plan(self) -> None:
        """Apply all queued events, plan once per service and execute the actions.

        :raises RuntimeError: when planning has failed several times in a row, so that the state of
            a scheduler must be wrong.
        """
        self._queue_quota_changes()
        events, self._events = self._events, []
        now = self._clock.now()
        for service, scheduler in self._schedulers.items():
            for name, event in events:
                if name == service:
                    with contain_errors(self._log, event=repr(event)[:MAX_EVENT_CHARS]):
                        scheduler.apply(event, now)
            self._plan_service(service, scheduler, now)

    def _plan_service(self, service: str, scheduler: Scheduler, now: float) -> None:
        self._failed_rounds[service] = self._failed_rounds.get(service, 0) + 1
        with contain_errors(self._log, service=service):
            self._evacuations.update(service, scheduler, now)
            for action in scheduler.plan(now):
                self._execute(action)
            self._failed_rounds[service] = 0
        if self._failed_rounds[service] >= MAX_FAILED_ROUNDS:
            raise RuntimeError(f"planning for {service} failed {MAX_FAILED_ROUNDS} times in a row")

    def flush(self) -> None:
        """Apply all queued events, to add workers before their runs are adopted.

        Nothing is placed before the next planning round: a worker that has just answered would
        seem to be empty.
        """
        events, self._events = self._events, []
        for service, event in events:
            with contain_errors(self._log, event=repr(event)[:MAX_EVENT_CHARS]):
                self._scheduler(service).apply(event, self._clock.now())
        self.wake.set()

    def adopt(self, active: ActiveUnit) -> None:
        """Add a unit that already runs.

        Which workers may run an advised unit is found out if it has to wait again.
        """
        submission = active.graph.submission
        scheduler = self._scheduler(submission.service)
        allowed_workers = frozenset() if submission.advised else None
        job = unit_job(active.graph, active.unit, self._clock, allowed_workers)
        placement = _placement(
            scheduler, list(active.members.values()), job.shape.unit_accelerators
        )
        now = self._clock.now()
        scheduler.apply(GangRecovered(RunningGang(job, placement, job.urgent, now)), now)
        self.wake.set()

    def update_adopted(self, active: ActiveUnit) -> None:
        """Replace the placement of a running unit, of which another member was found."""
        self.withdraw_unit(active.graph, active.unit)
        self.flush()
        self.adopt(active)

    def _queue_quota_changes(self) -> None:
        table = self._table()
        if table is None or table.version == self._table_version:
            return
        self._table_version = table.version
        for service, scheduler in self._schedulers.items():
            self._events.append((service, build_quotas_event(table, service, scheduler)))

    def _scheduler(self, service: str) -> Scheduler:
        scheduler = self._schedulers.get(service)
        if scheduler is None:
            scheduler = self._schedulers[service] = new_scheduler(self._limits)
            self._table_version = 0
        return scheduler


def _placement(scheduler: Scheduler, members: list[Member], size: int) -> Placement:
    """Return a placement of running members on free accelerators of their workers.

    :param size: number of accelerators of one member.
    """
    counts: dict[str, int] = {}
    for member in members:
        counts[member.worker] = counts.get(member.worker, 0) + 1
    allocations = []
    for worker, count in counts.items():
        worker_state = scheduler.cluster.workers.get(worker)
        if worker_state is not None:
            allocations.append(Allocation(worker, tuple(worker_state.free[: count * size]), count))
    return tuple(allocations)
