"""The owner's links to all workers, and which of them the decision core may use."""

from collections.abc import Callable

from lacewingmill.events import EventLog, LogEvent
from lacewingmill.jobs.keys import WORKERS_KEY
from lacewingmill.jobs.messages import UsedWorkers
from lacewingmill.jobs.ports import WorkerEntry, WorkerOrders
from lacewingmill.jobs.scheduler_inputs import worker_node_of
from lacewingmill.jobs.store_writer import StoreWriter
from lacewingmill.jobs.unit_planner import UnitPlanner
from lacewingmill.jobs.worker_link import WorkerLink
from lacewingmill.scheduling.messages import (
    Event,
    WorkerAnswered,
    WorkerJoined,
    WorkerLeaving,
    WorkerLost,
    WorkerSilent,
)

__all__ = ["WorkerPool"]


class WorkerPool:
    """Workers by id.

    A worker is used only once the store holds that it may run something, and forgotten only when
    nothing can run on it.

    :param connect: makes a link to a worker.
    """

    def __init__(
        self,
        orders: WorkerOrders,
        store_writer: StoreWriter,
        planner: UnitPlanner,
        log: EventLog,
        connect: Callable[[WorkerEntry], WorkerLink],
    ):
        self._orders = orders
        self._store_writer = store_writer
        self._planner = planner
        self._log = log
        self._connect = connect
        self._links: dict[str, WorkerLink] = {}
        self._recorded: set[str] = set()
        self._unrecorded: list[WorkerLink] = []
        self._kept: list[WorkerLink] | None = None

    def find(self, worker: str) -> WorkerLink | None:
        """Return the link to a worker."""
        return self._links.get(worker)

    def listed_workers(self, service: str) -> list[str]:
        """Return the workers of a service that are listed."""
        return [link.worker for link in self if link.listed and link.entry.service == service]

    def unopened(self) -> list[WorkerLink]:
        """Return the links whose worker has not answered this owner."""
        return [link for link in self._links.values() if not link.opened]

    def answering(self) -> frozenset[str]:
        """Return the workers that have answered this owner."""
        return frozenset(link.worker for link in self if link.opened)

    def stop(self) -> None:
        """Talk to no worker any more."""
        for link in self._links.values():
            link.stop()

    def retain(self, links: list[WorkerLink]) -> None:
        """Forget no link of these though it holds nothing; before the first call, forget none."""
        self._kept = links

    def restore(self, used: UsedWorkers) -> None:
        """Ask the workers that earlier owners used, though they may not be listed now."""
        for entry in used.entries:
            self._recorded.add(entry.worker)
            self._links[entry.worker] = self._connect(entry)

    def update(self, entries: dict[str, WorkerEntry]) -> None:
        """Take in the list of workers."""
        for worker, entry in entries.items():
            link = self._links.get(worker)
            if link is None:
                self._links[worker] = self._connect(entry)
            else:
                self._describe(link, entry)
        for worker in [name for name in self._links if name not in entries]:
            self._unlist(self._links[worker])
        if any(worker not in self._recorded for worker in self._links):
            self._record()

    def __iter__(self):
        """Iterate over all links."""
        return iter(self._links.values())

    def committed(self, used: UsedWorkers) -> None:
        """The store holds that these workers may run something."""
        self._recorded = {entry.worker for entry in used.entries} & self._links.keys()
        waiting, self._unrecorded = self._unrecorded, []
        for link in waiting:
            if link.opened:
                self.opened(link)

    def sweep(self) -> None:
        """Forget workers that are listed no more and hold nothing."""
        for link in [link for link in self if not link.listed]:
            self._unlist(link)

    def opened(self, link: WorkerLink) -> None:
        """A worker has answered for the first time, or after it had been given up."""
        if link.worker not in self._recorded:
            self._unrecorded.append(link)
            return
        self._log.emit(LogEvent.WORKER_JOINED, worker=link.worker)
        leaving = link.entry.leaving or not link.listed
        self._feed(link, WorkerJoined(worker_node_of(link.entry), leaving))

    def silent(self, link: WorkerLink) -> None:
        """A worker does not answer, or says that it is not well."""
        self._log.emit(LogEvent.WORKER_SILENT, worker=link.worker)
        self._feed(link, WorkerSilent(link.worker))

    def answers(self, link: WorkerLink) -> None:
        """A worker answers again."""
        self._feed(link, WorkerAnswered(link.worker))

    def lost(self, link: WorkerLink) -> None:
        """All leases on a worker have certainly lapsed."""
        self._log.emit(LogEvent.WORKER_LOST, worker=link.worker, left=not link.listed)
        self._feed(link, WorkerLost(link.worker, left=not link.listed))

    def _describe(self, link: WorkerLink, entry: WorkerEntry) -> None:
        was_leaving = link.entry.leaving
        was_listed, link.listed = link.listed, True
        link.entry = entry
        if was_listed and entry.leaving == was_leaving:
            return
        self._log.emit(LogEvent.TARGET_LEAVING, target=link.worker, leaving=entry.leaving)
        self._feed(link, WorkerLeaving(link.worker, stays=not entry.leaving))

    def _unlist(self, link: WorkerLink) -> None:
        """A worker is listed no more: it has left, or has not been heard of for long."""
        if link.listed:
            link.listed = False
            self._log.emit(LogEvent.WORKER_UNLISTED, worker=link.worker, leaving=link.entry.leaving)
            self._feed(link, WorkerLeaving(link.worker))
            link.expect_exit(link.entry.leaving)
        if not link.idle or self._kept is None or link in self._kept:
            return
        link.stop()
        del self._links[link.worker]
        self._record()
        self._orders.forget(link.entry)
        if link.opened:
            self._feed(link, WorkerLost(link.worker, left=True))

    def _record(self) -> None:
        """Have the store hold the workers that may run something, and no others."""
        self._recorded &= self._links.keys()
        self._store_writer.stage(WORKERS_KEY, UsedWorkers(tuple(link.entry for link in self)))

    def _feed(self, link: WorkerLink, event: Event) -> None:
        self._planner.feed(link.entry.service, event)
