"""Runs and ends that workers list of jobs that the owner does not know."""

from collections.abc import Callable

import attrs
from gevent.event import Event

from lacewingmill.jobs.model import TaskId
from lacewingmill.jobs.ports import EndedRun, ListedRun
from lacewingmill.jobs.worker_link import WorkerLink
from lacewingmill.ports import Clock

__all__ = ["UnknownRuns"]


@attrs.frozen
class _UnknownRun:
    """A run that a worker lists as running.

    :param listed_at: when it was first listed, in seconds.
    """

    link: WorkerLink
    listed: ListedRun
    listed_at: float


@attrs.frozen
class _UnknownEnd:
    """An end that a worker lists.

    :param listed_at: when it was listed, in seconds.
    :param settled: set once the worker may forget the end.
    """

    link: WorkerLink
    ended: EndedRun
    listed_at: float
    settled: Event


@attrs.define
class _UnknownJob:
    runs: dict[tuple[str, TaskId, int], _UnknownRun] = attrs.field(factory=dict)
    ends: list[_UnknownEnd] = attrs.field(factory=list)


class UnknownRuns:
    """Keeps runs and ends of unknown jobs until a read of the store shows whether the jobs exist.

    An earlier owner may have started jobs that were accepted after this one read all jobs. A job is
    in the store before any of its runs is listed, so the owner's next read finds it; no further
    reads are needed, whatever the workers list.

    :param handle_end: processes an end of a known or deleted job; returns an event that is set once
        the effect of the end is stored, or ``None`` when there is nothing to store.
    """

    def __init__(self, clock: Clock, handle_end: Callable[[WorkerLink, EndedRun], Event | None]):
        self._clock = clock
        self._handle_end = handle_end
        self._jobs: dict[str, _UnknownJob] = {}

    def concerns(self, link: WorkerLink) -> bool:
        """Whether a worker lists runs of unknown jobs."""
        return any(run.link is link for job in self._jobs.values() for run in job.runs.values())

    def add_run(self, link: WorkerLink, listed: ListedRun) -> None:
        """Keep a run that a worker lists."""
        runs = self._jobs.setdefault(listed.task.job_id, _UnknownJob()).runs
        key = (link.worker, listed.task, listed.run)
        listed_at = runs[key].listed_at if key in runs else self._clock.now()
        runs[key] = _UnknownRun(link, listed, listed_at)

    def add_end(self, link: WorkerLink, ended: EndedRun) -> Event:
        """Keep an end that a worker lists.

        :return: set once the worker may forget the end.
        """
        job = self._jobs.setdefault(ended.task.job_id, _UnknownJob())
        job.runs.pop((link.worker, ended.task, ended.run), None)
        end = _UnknownEnd(link, ended, self._clock.now(), Event())
        job.ends.append(end)
        return end.settled

    def take_runs(self, job_id: str) -> list[tuple[WorkerLink, ListedRun]]:
        """Return the runs of a job that has become known, and keep them no longer."""
        job = self._jobs.get(job_id)
        if job is None:
            return []
        runs, job.runs = job.runs, {}
        return [(run.link, run.listed) for run in runs.values()]

    def settle_ends(self, job_id: str) -> None:
        """Process the ends of a job that has become known."""
        job = self._jobs.pop(job_id, None)
        for end in job.ends if job is not None else ():
            self._settle(end)

    def settle_deleted(self, read_at: float) -> list[tuple[WorkerLink, ListedRun]]:
        """Process what was listed before a read of the store that did not find the jobs.

        :param read_at: when the read began, in seconds.
        :return: the runs, which no unit needs.
        """
        strays: list[tuple[WorkerLink, ListedRun]] = []
        for job_id, job in list(self._jobs.items()):
            old_runs = [key for key, run in job.runs.items() if run.listed_at <= read_at]
            old_ends = [end for end in job.ends if end.listed_at <= read_at]
            strays += [(run.link, run.listed) for run in map(job.runs.pop, old_runs)]
            job.ends = [end for end in job.ends if end.listed_at > read_at]
            for end in old_ends:
                self._settle(end)
            if not job.runs and not job.ends:
                del self._jobs[job_id]
        return strays

    def _settle(self, end: _UnknownEnd) -> None:
        written = self._handle_end(end.link, end.ended)
        if written is None:
            end.settled.set()
        else:
            written.rawlink(lambda _: end.settled.set())
