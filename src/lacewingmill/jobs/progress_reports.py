"""What a worker's list of runs tells the scheduler about the progress of units."""

from collections.abc import Callable

from lacewingmill.jobs.model import TaskId
from lacewingmill.jobs.ports import ListedRun
from lacewingmill.jobs.units import ActiveUnit
from lacewingmill.scheduling.messages import ProgressReported

__all__ = ["progress_reports"]


def progress_reports(
    worker: str,
    running: tuple[ListedRun, ...],
    find: Callable[[TaskId], ActiveUnit | None],
    now: float,
) -> list[tuple[str, ProgressReported]]:
    """Return the progress of each unit on a worker, that of its slowest member, with its service.

    Runs of other numbers than the unit's current one, units that are being closed and steps that
    last are left out.

    :param find: returns the active unit of a task; ``None`` when it occupies no worker.
    """
    shares: dict[str, float] = {}
    units: dict[str, ActiveUnit] = {}
    for listed in running:
        active = find(listed.task)
        if active is None or active.run != listed.run or active.close_reason is not None:
            continue
        if active.step.lasting:
            continue
        unit_id = active.unit.unit_id
        units[unit_id] = active
        share = min(max(listed.percent / 100.0, 0.0), 1.0)
        shares[unit_id] = min(share, shares.get(unit_id, 1.0))
    return [
        (
            units[unit_id].graph.submission.service,
            ProgressReported(unit_id, worker, share, now),
        )
        for unit_id, share in shares.items()
    ]
