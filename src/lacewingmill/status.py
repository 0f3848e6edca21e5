"""Status of a VM and of a cell, as shown to operators."""

import attrs

from lacewingmill.cells.driver import CellDriver
from lacewingmill.models import OwnerRecord
from lacewingmill.scheduling.placement import fragmentation_ratio

__all__ = ["CellStatus", "VmStatus", "describe_cell"]


@attrs.frozen
class VmStatus:
    """Status of one entry VM.

    :param revision: catalogue revision in force.
    :param not_ready: why it is not ready; empty when it is.
    :param in_flight: requests of clients in flight.
    :param queued: ordinary requests that wait for a slot.
    :param store_calls: calls to the store since the VM started; a watch counts as one call.
    """

    vm: str
    revision: int
    not_ready: str
    owner: OwnerRecord | None
    in_flight: int
    queued: int
    store_calls: int


@attrs.frozen
class CellStatus:
    """Status of a cell, reported by its owner.

    :param fragmentation: share of the free accelerators that gangs of one configured shape would
        leave unused, averaged over the shapes; 0 when every shape could use all of them.
    :param shortfalls: guarantees that cannot be reclaimed now.
    :param quarantined: workers that get no jobs for now because jobs failed on them.
    """

    workers: int
    accelerators: int
    free_accelerators: int
    waiting_jobs: int
    jobs: int
    fragmentation: float
    shortfalls: tuple[str, ...]
    quarantined: tuple[str, ...]


def describe_cell(driver: CellDriver) -> CellStatus:
    """Return the status of the cell that a driver runs."""
    scheduler = driver.scheduler
    cluster = scheduler.cluster
    return CellStatus(
        workers=len(cluster.workers),
        accelerators=cluster.total_accelerators,
        free_accelerators=cluster.free_accelerators,
        waiting_jobs=scheduler.queued,
        jobs=len(scheduler.records),
        fragmentation=round(fragmentation_ratio(cluster, scheduler.configured_shapes), 4),
        shortfalls=tuple(
            f"{slot.key.service}/{slot.key.team}/{slot.key.shape}"
            for slot in scheduler.slot_table.shortfalls()
        ),
        quarantined=tuple(sorted(scheduler.quarantined)),
    )
