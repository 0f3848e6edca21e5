"""Feeds the decision core of each service, and plans once for many events."""

from collections.abc import Callable

from gevent.event import Event as Signal

from lacewingmill.jobs.graph import JobGraph
from lacewingmill.jobs.model import QueueTable, Unit
from lacewingmill.jobs.scheduler_inputs import new_scheduler, team_quotas, unit_job
from lacewingmill.jobs.units import ActiveUnit, Member
from lacewingmill.ports import Clock
from lacewingmill.scheduling.messages import (
    Action,
    Event,
    GangRecovered,
    JobCancelled,
    JobSubmitted,
    Placement,
    RunningGang,
    Tick,
)
from lacewingmill.scheduling.messages import Member as Share
from lacewingmill.scheduling.scheduler import Scheduler

__all__ = ["UnitPlanner"]


class UnitPlanner:
    """One scheduler for the workers of each service.

    :param table: returns the configuration in force.
    :param act: carries an action out.
    """

    def __init__(
        self,
        clock: Clock,
        table: Callable[[], QueueTable | None],
        act: Callable[[Action], None],
    ):
        self.wake = Signal()
        self._clock = clock
        self._table = table
        self._act = act
        self._schedulers: dict[str, Scheduler] = {}
        self._events: list[tuple[str, Event]] = []
        self._table_version = 0

    @property
    def backlog(self) -> int:
        """Number of units that wait."""
        return sum(scheduler.queued for scheduler in self._schedulers.values())

    def feed(self, service: str, event: Event) -> None:
        """Hand an event over with the next planning."""
        self._scheduler(service)
        self._events.append((service, event))
        self.wake.set()

    def feed_all(self, event: Event) -> None:
        """Hand an event over whose service is not known any more."""
        for service in self._schedulers:
            self.feed(service, event)

    def queue(self, graph: JobGraph, unit: Unit, only: frozenset[str] | None = None) -> None:
        """Let a unit wait for workers.

        :param only: the workers that may run it; ``None`` for all.
        """
        job = unit_job(graph, unit, self._clock, only)
        self.feed(graph.submission.service, JobSubmitted(job))

    def withdraw_job(self, graph: JobGraph, held: set[str]) -> None:
        """Take back the units of a job that wait.

        :param held: units that hold workers, which are withdrawn once they are gone from them.
        """
        service = graph.submission.service
        prefix = f"{graph.submission.job_id}/"
        for unit_id in self._scheduler(service).records:
            if unit_id.startswith(prefix) and unit_id not in held:
                self.feed(service, JobCancelled(unit_id))

    def plan(self) -> None:
        """Take all events in, plan once, and have the actions carried out."""
        self._follow_table()
        events, self._events = self._events, []
        now = self._clock.now()
        for service, scheduler in self._schedulers.items():
            mine = [event for name, event in events if name == service] or [Tick()]
            for action in scheduler.handle_all(mine, now):
                self._act(action)

    def flush(self) -> None:
        """Take events in one by one, so that workers are known before what runs on them."""
        events, self._events = self._events, []
        for service, event in events:
            for action in self._scheduler(service).handle(event, self._clock.now()):
                self._act(action)

    def adopt(self, active: ActiveUnit) -> None:
        """Take a unit in that already runs."""
        scheduler = self._scheduler(active.graph.submission.service)
        job = unit_job(active.graph, active.unit, self._clock)
        placement = _placement(
            scheduler, list(active.members.values()), job.shape.unit_accelerators
        )
        now = self._clock.now()
        for action in scheduler.handle(
            GangRecovered(RunningGang(job, placement, job.urgent, now)), now
        ):
            self._act(action)

    def _follow_table(self) -> None:
        table = self._table()
        if table is None or table.version == self._table_version:
            return
        self._table_version = table.version
        for service, scheduler in self._schedulers.items():
            self._events.append((service, team_quotas(table, service, scheduler)))

    def _scheduler(self, service: str) -> Scheduler:
        scheduler = self._schedulers.get(service)
        if scheduler is None:
            scheduler = self._schedulers[service] = new_scheduler()
            self._table_version = 0
        return scheduler


def _placement(scheduler: Scheduler, members: list[Member], size: int) -> Placement:
    """Return free accelerators of the workers that hold members.

    :param size: accelerators of one member.
    """
    counts: dict[str, int] = {}
    for member in members:
        counts[member.worker] = counts.get(member.worker, 0) + 1
    shares = []
    for worker, count in counts.items():
        node = scheduler.cluster.nodes.get(worker)
        if node is not None:
            shares.append(Share(worker, tuple(node.free[: count * size]), count))
    return tuple(shares)
