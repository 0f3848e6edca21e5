"""What the owner keeps in the store beside the progress of jobs."""

import attrs

from lacewingmill.jobs.ports import WorkerEntry

__all__ = ["WorkersUsed"]


@attrs.frozen
class UsedWorkers:
    """The workers that may run something.

    Workers disappear from the platform's list while the store is away though they run on, so a new
    owner asks all of these before it plans.
    """

    entries: tuple[WorkerEntry, ...]
