"""Tells the schedulers which failure domains are evacuated, and logs what that leaves."""

from collections.abc import Callable

from lacewingmill.events import EventLog, LogEvent
from lacewingmill.scheduling.messages import DomainsEvacuated
from lacewingmill.scheduling.scheduler import Scheduler

__all__ = ["EvacuationFeed"]


class EvacuationFeed:
    """What each scheduler knows of the evacuated failure domains.

    :param domains: returns the failure domains that are evacuated now.
    """

    def __init__(self, domains: Callable[[], frozenset[str]], log: EventLog):
        self._domains = domains
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
            self._log_evacuated(service, scheduler, domains - known)
        if known - domains:
            self._log_released(service, scheduler, known - domains)

    def _log_evacuated(self, service: str, scheduler: Scheduler, domains: frozenset[str]) -> None:
        workers = scheduler.cluster.workers_in(domains)
        self._log.emit(
            LogEvent.DOMAINS_EVACUATED,
            service=service,
            domains=sorted(domains),
            workers=len(workers),
            running=len(scheduler.cluster.gangs_on(workers)),
        )
        quota, left = scheduler.total_quota, scheduler.cluster.schedulable_accelerators
        if quota > left:
            self._log.emit(
                LogEvent.QUOTAS_EXCEED_WORKERS, service=service, quota=quota, accelerators=left
            )

    def _log_released(self, service: str, scheduler: Scheduler, domains: frozenset[str]) -> None:
        workers = scheduler.cluster.workers_in(domains)
        self._log.emit(
            LogEvent.DOMAINS_RELEASED,
            service=service,
            domains=sorted(domains),
            workers=len(workers),
            running=len(scheduler.cluster.gangs_on(workers)),
        )
