"""Records that the owner stores besides the progress of jobs."""

import attrs

from lacewingmill.jobs.ports import WorkerEntry

__all__ = ["UsedWorkers"]


@attrs.frozen
class UsedWorkers:
    """The workers that may run tasks.

    While the store is unavailable, the registrations of workers lapse although their tasks go on.
    A new owner therefore contacts all of these workers before it schedules anything.
    """

    entries: tuple[WorkerEntry, ...]
