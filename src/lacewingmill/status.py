"""What operators are shown of a VM and of a cell."""

import attrs

from lacewingmill.cells.driver import CellDriver
from lacewingmill.models import OwnerRecord
from lacewingmill.scheduling.placement import fragmentation_ratio

__all__ = ["CellStatus", "VmStatus", "describe_cell"]


@attrs.frozen
class VmStatus:
    """One entry VM.

    :param not_ready: why it is not ready; empty when it is.
    :param store_calls: calls to the store since the VM started, a waiting watch counting as one.
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
    """A cell as its owner sees it.

    :param fragmentation: 0 when every configured shape could use all free accelerators, else
        towards 1.
    :param shortfalls: guarantees that cannot be reclaimed now.
    :param quarantined: workers that take no jobs for now.
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
    """Return the state of a cell from its driver."""
    scheduler = driver.scheduler
    cluster = scheduler.cluster
    return CellStatus(
        workers=len(cluster.nodes),
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
