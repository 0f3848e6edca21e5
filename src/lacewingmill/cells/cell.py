"""The cell as this VM takes part in it: it owns the driver while this VM is the owner."""

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
    """Holds the driver while this VM owns the cell.

    :param parts: what drivers are built from; each ownership gets a new scheduler.
    :param deposed: called when the driver meets a higher fence.
    """

    def __init__(self, parts: CellDependencies, deposed: Callable[[], None]):
        self._parts = parts
        self._deposed = deposed
        self._workers: tuple[Vm, ...] = ()
        self._guarantees: GuaranteesChanged | None = None
        self._driver: CellDriver | None = None

    @property
    def driver(self) -> CellDriver | None:
        """The driver while this VM owns the cell and no higher fence was met."""
        if self._driver is not None and self._driver.deposed:
            self._driver = None
            self._deposed()
        return self._driver

    def take_over(self, fence: Fence) -> bool:
        """Take the cell over under a fence; return whether it could be recovered."""
        scheduler = Scheduler()
        driver = CellDriver(attrs.evolve(self._parts, scheduler=scheduler), fence)
        try:
            found = recover_cell(driver, self._parts.workers, self._parts.clock, self._workers)
        except FenceRejected:
            driver.stop()
            return False
        if self._guarantees is not None:
            driver.feed(self._guarantees)
        self._driver = driver
        driver.watch.set_workers(self._workers)
        self._parts.log.emit(
            LogEvent.CELL_RECOVERED,
            running=found.running,
            ended=found.ended,
            workers=len(found.answered),
        )
        return True

    def stop_driver(self) -> None:
        """Stop directing workers."""
        if self._driver is not None:
            self._driver.stop()
            self._driver = None

    def set_workers(self, workers: tuple[Vm, ...]) -> None:
        """Follow these workers."""
        self._workers = workers
        if self._driver is not None:
            self._driver.watch.set_workers(workers)

    def set_services(self, services: tuple[Service, ...]) -> None:
        """Put the guarantees of a configuration in force."""
        self._guarantees = build_guarantees_event(services)
        if self._driver is not None:
            self._driver.feed(self._guarantees)

    def submit(self, submit: SubmitJob) -> None:
        """Take a job in.

        :raises NotOwner: this VM does not own the cell.
        """
        self._require().submit(submit)

    def report(self, job_id: str, wait_s: float) -> JobReport | None:
        """Return a job's report.

        :raises NotOwner: this VM does not own the cell.
        """
        return self._require().report(job_id, wait_s)

    def cancel(self, job_id: str) -> None:
        """Give a job up.

        :raises NotOwner: this VM does not own the cell.
        """
        self._require().cancel(job_id)

    def _require(self) -> CellDriver:
        driver = self.driver
        if driver is None:
            raise NotOwner("this VM does not own the cell", step="cell")
        return driver
