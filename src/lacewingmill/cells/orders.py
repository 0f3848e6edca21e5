"""The orders that start one gang, made for each member by rank."""

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
    """What the orders of one gang have in common.

    :param wall: wall-clock time of the start, in seconds since the epoch.
    """

    work: JobEntry
    gang: Gang
    fence: Fence
    guaranteed: bool
    wall: float

    def lease(self, rank: int) -> LeaseOrder:
        """Return the lease order of a member; it carries what a new owner needs."""
        submit, gang = self.work.submit, self.gang
        shape = submit.job.shape
        indices = gang.placement[rank].accelerators
        spec = JobSpec(submit.job, submit.key, self.guaranteed, self.wall, self.work.done_s)
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
        submit = self.work.submit
        return StartOrder(
            self.gang.gang_id,
            self.fence,
            rank,
            submit.body,
            submit.content_type,
            submit.key,
            self.work.done_s,
        )
