"""Builds the lease and start orders for the members of a gang."""

import attrs

from lacewingmill.cells.gangs import LEASE_TTL_S, Gang
from lacewingmill.cells.job_claims import JobEntry
from lacewingmill.cells.messages import JobSpec
from lacewingmill.codec import encode
from lacewingmill.models import Fence
from lacewingmill.ports import LeaseOrder, StartOrder

__all__ = ["GangOrders"]


@attrs.frozen
class GangOrders:
    """Builds the orders of one gang.

    :param guaranteed: whether the gang holds a guaranteed slot of its team.
    :param started_wall: wall-clock time of the start, in seconds since the epoch.
    """

    entry: JobEntry
    gang: Gang
    fence: Fence
    guaranteed: bool
    started_wall: float

    def lease(self, rank: int) -> LeaseOrder:
        """Return the lease order of a member; its spec lets a new owner recover the gang."""
        submission, gang = self.entry.submission, self.gang
        shape = submission.job.shape
        indices = gang.placement[rank].accelerators
        spec = JobSpec(
            submission.job, submission.key, self.guaranteed, self.started_wall, self.entry.done_s
        )
        return LeaseOrder(
            gang.gang_id,
            self.fence,
            indices,
            shape.processors * len(indices),
            shape.memory_gb * len(indices),
            LEASE_TTL_S,
            encode(spec),
            gang.workers,
        )

    def start(self, rank: int) -> StartOrder:
        """Return the start order of a member."""
        submission = self.entry.submission
        return StartOrder(
            self.gang.gang_id,
            self.fence,
            rank,
            submission.body,
            submission.content_type,
            submission.key,
            self.entry.done_s,
        )
