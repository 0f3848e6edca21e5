"""Access to the cell on this VM, which answers only while this VM owns the cell."""

from collections.abc import Callable

import attrs

from lacewingmill.catalogue.packing import build_guarantees_event
from lacewingmill.cells.driver import CellDependencies, CellDriver
from lacewingmill.cells.messages import JobReport, SubmitJob
from lacewingmill.cells.recovery import recover_cell
from lacewingmill.events import LogEvent
from lacewingmill.exceptions import FenceRejected, NotOwner
from lacewingmill.models import Fence, Service, Vm
from lacewingmill.scheduling.messages import GuaranteesChanged
from lacewingmill.scheduling.scheduler import Scheduler

__all__ = ["Cell"]


class Cell:
    """The cell as seen from this VM; it holds a driver while this VM is the owner.

    :param deps: dependencies of the drivers; each driver gets a new scheduler.
    :param on_fenced: called when :attr:`driver` finds that a higher fence stopped the driver.
    """

    def __init__(self, deps: CellDependencies, on_fenced: Callable[[], None]):
        self._deps = deps
        self._on_fenced = on_fenced
        self._workers: tuple[Vm, ...] = ()
        self._guarantees: GuaranteesChanged | None = None
        self._driver: CellDriver | None = None

    @property
    def driver(self) -> CellDriver | None:
        """The driver; ``None`` unless this VM owns the cell and no higher fence was seen."""
        if self._driver is not None and self._driver.stopped:
            self._driver = None
            self._on_fenced()
        return self._driver

    def take_over(self, fence: Fence) -> bool:
        """Recover the cell under a fence and start its driver.

        :return: whether the cell was recovered; ``False`` if a worker accepted a higher fence.
        """
        scheduler = Scheduler()
        driver = CellDriver(attrs.evolve(self._deps, scheduler=scheduler), fence)
        try:
            recovered = recover_cell(driver, self._deps.workers, self._deps.clock, self._workers)
        except FenceRejected:
            driver.stop()
            return False
        if self._guarantees is not None:
            driver.handle_event(self._guarantees)
        self._driver = driver
        driver.watch.set_workers(self._workers)
        self._deps.log.emit(
            LogEvent.CELL_RECOVERED,
            running=recovered.running,
            ended=recovered.ended,
            workers=len(recovered.answered),
        )
        return True

    def stop_driver(self) -> None:
        """Stop the driver; running gangs continue until their leases expire."""
        if self._driver is not None:
            self._driver.stop()
            self._driver = None

    def set_workers(self, workers: tuple[Vm, ...]) -> None:
        """Replace the list of workers."""
        self._workers = workers
        if self._driver is not None:
            self._driver.watch.set_workers(workers)

    def set_services(self, services: tuple[Service, ...]) -> None:
        """Apply the guarantees of a configuration."""
        self._guarantees = build_guarantees_event(services)
        if self._driver is not None:
            self._driver.handle_event(self._guarantees)

    def submit(self, submission: SubmitJob) -> None:
        """Submit a job; submitting it again does not run it twice.

        :raises NotOwner: this VM does not own the cell.
        """
        self._require_driver().submit(submission)

    def report(self, job_id: str, wait_s: float) -> JobReport | None:
        """Return a job's report, or ``None`` if the job is unknown.

        :param wait_s: longest time to wait for the job to end, in seconds.
        :raises NotOwner: this VM does not own the cell.
        """
        return self._require_driver().report(job_id, wait_s)

    def cancel(self, job_id: str) -> None:
        """Cancel a job.

        :raises NotOwner: this VM does not own the cell.
        """
        self._require_driver().cancel(job_id)

    def _require_driver(self) -> CellDriver:
        driver = self.driver
        if driver is None:
            raise NotOwner("this VM does not own the cell", step="cell")
        return driver
