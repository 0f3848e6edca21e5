"""The owner's links to all workers; reports their state to the schedulers."""

from collections.abc import Callable

from lacewingmill.events import EventLog, LogEvent
from lacewingmill.jobs.keys import WORKERS_KEY
from lacewingmill.jobs.messages import UsedWorkers
from lacewingmill.jobs.ports import WorkerEntry, WorkerOrders
from lacewingmill.jobs.scheduler_inputs import worker_info_from_entry
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
from lacewingmill.tasks import contain_errors

__all__ = ["WorkerPool"]


class WorkerPool:
    """The links to workers, by id of the worker.

    A worker gets work only once the store lists it among the used workers, and its link is removed
    only when nothing can run on it.

    :param services: returns the services whose workers may be used.
    :param connect: makes a link to a worker.
    :param runs_unknown: returns whether a worker runs tasks of jobs that the owner does not know.
    """

    def __init__(
        self,
        orders: WorkerOrders,
        store_writer: StoreWriter,
        planner: UnitPlanner,
        log: EventLog,
        services: Callable[[], frozenset[str]],
        connect: Callable[[WorkerEntry], WorkerLink],
        runs_unknown: Callable[[WorkerLink], bool],
    ):
        self._orders = orders
        self._store_writer = store_writer
        self._planner = planner
        self._log = log
        self._services = services
        self._connect = connect
        self._runs_unknown = runs_unknown
        self._links: dict[str, WorkerLink] = {}
        self._stored_workers: set[str] = set()
        self._awaiting_store: list[WorkerLink] = []
        self._retained: list[WorkerLink] | None = None

    def find(self, worker: str) -> WorkerLink | None:
        """Return the link to a worker; ``None`` for an unknown one."""
        return self._links.get(worker)

    def listed_workers(self, service: str) -> list[WorkerEntry]:
        """Return the registrations of the workers of a service."""
        return [link.entry for link in self if link.listed and link.entry.service == service]

    def unopened(self) -> list[WorkerLink]:
        """Return the links whose worker has not answered this owner, or is lost."""
        return [link for link in self._links.values() if not link.opened]

    def answering(self) -> frozenset[str]:
        """Return the ids of the workers that have answered this owner and are not lost."""
        return frozenset(link.worker for link in self if link.opened)

    def leaving(self) -> list[WorkerEntry]:
        """Return the registrations of the workers that may soon exit."""
        return [link.entry for link in self if link.entry.leaving or not link.listed]

    def stop(self) -> None:
        """Stop sending requests to the workers."""
        for link in self._links.values():
            link.stop()

    def retain(self, links: list[WorkerLink]) -> None:
        """Set the links that are kept even when idle; before the first call, no link is removed."""
        self._retained = links

    def restore(self, used: UsedWorkers) -> None:
        """Connect to the workers that earlier owners used, registered in the store or not."""
        for entry in used.entries:
            self._stored_workers.add(entry.worker)
            self._links[entry.worker] = self._connect(entry)

    def update(self, entries: dict[str, WorkerEntry]) -> None:
        """Update the links to match the workers registered in the store.

        A worker whose registration is missing or cannot be read gets no new work, but may run on.

        :param entries: the readable registrations by id of the worker.
        """
        services = self._services()
        for worker, entry in entries.items():
            with contain_errors(self._log, worker=worker):
                self._apply_entry(worker, entry, services)
        for worker in [name for name in self._links if name not in entries]:
            with contain_errors(self._log, worker=worker):
                self._handle_unlisted(self._links[worker])
        if any(worker not in self._stored_workers for worker in self._links):
            self._store_used_workers()

    def __iter__(self):
        """Iterate over all links."""
        return iter(self._links.values())

    def on_commit(self, used: UsedWorkers) -> None:
        """Handle the commit of a record of the used workers; these may get work now."""
        self._stored_workers = {entry.worker for entry in used.entries} & self._links.keys()
        waiting, self._awaiting_store = self._awaiting_store, []
        for link in waiting:
            if link.opened:
                self.on_worker_joined(link)

    def sweep(self) -> None:
        """Remove the links to workers that are not registered any more and that run nothing."""
        for link in [link for link in self if not link.listed]:
            self._remove_if_idle(link)

    def on_worker_joined(self, link: WorkerLink) -> None:
        """Handle the first report of a worker, or the first one after it was declared lost."""
        if link.worker not in self._stored_workers:
            self._awaiting_store.append(link)
            return
        self._log.emit(LogEvent.WORKER_JOINED, worker=link.worker)
        leaving = link.entry.leaving or not link.listed
        self._notify_planner(link, WorkerJoined(worker_info_from_entry(link.entry), leaving))

    def on_worker_silent(self, link: WorkerLink) -> None:
        """Handle a worker that does not answer or reports that it is unhealthy."""
        self._log.emit(LogEvent.WORKER_SILENT, worker=link.worker)
        self._notify_planner(link, WorkerSilent(link.worker))

    def on_worker_answered(self, link: WorkerLink) -> None:
        """Handle a silent worker that answers again."""
        self._notify_planner(link, WorkerAnswered(link.worker))

    def on_worker_lost(self, link: WorkerLink) -> None:
        """Handle a worker on which nothing runs any more: it exited, or its leases expired."""
        self._log.emit(LogEvent.WORKER_LOST, worker=link.worker, left=not link.listed)
        self._notify_planner(link, WorkerLost(link.worker, left=not link.listed))

    def _apply_entry(self, worker: str, entry: WorkerEntry, services: frozenset[str]) -> None:
        link = self._links.get(worker)
        if link is not None:
            self._update_entry(link, entry)
        elif entry.service in services:
            self._links[worker] = self._connect(entry)

    def _update_entry(self, link: WorkerLink, entry: WorkerEntry) -> None:
        earlier, was_listed = link.entry, link.listed
        link.listed = True
        link.entry = entry
        if worker_info_from_entry(entry) != worker_info_from_entry(earlier):
            self._replace_worker(link)
        if was_listed and entry.leaving == earlier.leaving:
            return
        self._log.emit(LogEvent.TARGET_LEAVING, target=link.worker, leaving=entry.leaving)
        self._notify_planner(link, WorkerLeaving(link.worker, stays=not entry.leaving))

    def _replace_worker(self, link: WorkerLink) -> None:
        """Tell the planner that a worker has started again with another size or other labels."""
        if not link.opened or link.worker not in self._stored_workers:
            return  # the planner doesn't know it yet
        self._log.emit(LogEvent.WORKER_CHANGED, worker=link.worker)
        leaving = link.entry.leaving
        self._notify_planner(link, WorkerLost(link.worker))
        self._notify_planner(link, WorkerJoined(worker_info_from_entry(link.entry), leaving))
        if link.silent:
            self._notify_planner(link, WorkerSilent(link.worker))

    def _handle_unlisted(self, link: WorkerLink) -> None:
        """Handle a worker without a readable registration."""
        if link.listed:
            link.listed = False
            self._log.emit(LogEvent.WORKER_UNLISTED, worker=link.worker, leaving=link.entry.leaving)
            self._notify_planner(link, WorkerLeaving(link.worker))
        self._remove_if_idle(link)

    def _remove_if_idle(self, link: WorkerLink) -> None:
        """Remove the link to a worker that is not listed and on which nothing can run."""
        if not link.idle or self._retained is None or link in self._retained:
            return
        if self._runs_unknown(link):  # they may be adopted
            return
        link.stop()
        del self._links[link.worker]
        self._store_used_workers()
        self._orders.forget(link.entry)
        if link.opened:
            self._notify_planner(link, WorkerLost(link.worker, left=True))

    def _store_used_workers(self) -> None:
        """Store the workers that may run tasks; those without a link are left out."""
        self._stored_workers &= self._links.keys()
        self._store_writer.stage(WORKERS_KEY, UsedWorkers(tuple(link.entry for link in self)))

    def _notify_planner(self, link: WorkerLink, event: Event) -> None:
        self._planner.feed(link.entry.service, event)
