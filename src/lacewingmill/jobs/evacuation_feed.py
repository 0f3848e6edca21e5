"""Tells the schedulers which failure domains are evacuated, and logs what that leaves."""

from collections.abc import Callable

from lacewingmill.events import EventLog, LogEvent
from lacewingmill.jobs.model import QueueTable
from lacewingmill.scheduling.messages import DomainsEvacuated
from lacewingmill.scheduling.scheduler import Scheduler

__all__ = ["EvacuationFeed"]


class EvacuationFeed:
    """What each scheduler knows of the evacuated failure domains.

    :param domains: returns the failure domains that are evacuated now.
    :param table: returns the configuration in force; ``None`` before the first one was read.
    """

    def __init__(
        self,
        domains: Callable[[], frozenset[str]],
        table: Callable[[], QueueTable | None],
        log: EventLog,
    ):
        self._domains = domains
        self._table = table
        self._log = log
        self._known: dict[str, frozenset[str]] = {}

    def update(self, service: str, scheduler: Scheduler, now: float) -> None:
        """Tell the scheduler of a service about a change; called before each planning.

        :param now: current time, in seconds.
        """
        domains = self._domains()
        known = self._known.get(service, frozenset())
        if domains == known:
            return
        scheduler.apply(DomainsEvacuated(domains), now)
        self._known[service] = domains
        if domains - known:
            self._log_change(LogEvent.DOMAINS_EVACUATED, service, scheduler, domains - known)
            self._log_shortfall(service, scheduler)
        if known - domains:
            self._log_change(LogEvent.DOMAINS_RELEASED, service, scheduler, known - domains)

    def count_workers(self, service: str, scheduler: Scheduler) -> int:
        """Return how many workers of a service are in evacuated failure domains."""
        return len(scheduler.cluster.workers_in(self._known.get(service, frozenset())))

    def _log_change(
        self, event: LogEvent, service: str, scheduler: Scheduler, domains: frozenset[str]
    ) -> None:
        workers = scheduler.cluster.workers_in(domains)
        running = scheduler.cluster.gangs_on(workers)
        self._log.emit(
            event,
            service=service,
            domains=sorted(domains),
            workers=len(workers),
            running=len(running),
        )

    def _log_shortfall(self, service: str, scheduler: Scheduler) -> None:
        """Log that the workers left have fewer accelerators than the teams' quotas."""
        table = self._table()
        quota = sum(team.quota for team in table.teams) if table is not None else 0
        left = scheduler.cluster.schedulable_accelerators
        if quota > left:
            self._log.emit(
                LogEvent.QUOTAS_EXCEED_WORKERS, service=service, quota=quota, accelerators=left
            )
