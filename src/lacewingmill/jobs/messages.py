"""Records that owners store besides the progress of jobs."""

import attrs

from lacewingmill.jobs.ports import EndedRun, WorkerEntry

__all__ = ["LateEnds", "UsedWorkers"]


@attrs.frozen
class LateEnds:
    """The ends that a worker has listed to an owner that had left."""

    worker: str
    ended: tuple[EndedRun, ...]


@attrs.frozen
class UsedWorkers:
    """The workers that may run tasks.

    While the store is unavailable, the registrations of workers lapse although their tasks go on.
    A new owner therefore contacts all of these workers before it schedules anything.
    """

    entries: tuple[WorkerEntry, ...]
