"""Logs runs that count as over without a listed end, and ends of runs that were repeated."""

from collections import OrderedDict

from lacewingmill.events import EventLog, LogEvent
from lacewingmill.jobs.model import Unit
from lacewingmill.jobs.ports import EndedRun
from lacewingmill.jobs.units import GoneCause, Member
from lacewingmill.ports import Meter, Meters

__all__ = ["RunAudit"]

MAX_UNITS = 5000


class RunAudit:
    """Remembers why runs were given up, so that a repeated run can be traced to its cause."""

    def __init__(self, log: EventLog, meters: Meters):
        self._log = log
        self._meters = meters
        self._causes: OrderedDict[str, str] = OrderedDict()

    def record_given_up(self, unit: Unit, member: Member, cause: GoneCause) -> None:
        """Record that a member counts as gone although its worker listed no end of it."""
        self._causes[unit.unit_id] = cause.value
        self._causes.move_to_end(unit.unit_id)
        if len(self._causes) > MAX_UNITS:
            self._causes.popitem(last=False)
        self._meters.count(Meter.GIVEN_UP, cause=cause.value)
        self._log.emit(
            LogEvent.RUN_GIVEN_UP,
            unit=unit.unit_id,
            task=str(member.task),
            run=member.run,
            worker=member.worker,
            cause=cause.value,
        )

    def check_done(self, unit: Unit, ended: EndedRun, worker: str, latest_run: int) -> None:
        """Report a run that is done although this owner has started or adopted a later one.

        :param latest_run: number of the latest run of the unit that this owner knows; 0 for none.
        """
        if ended.run >= latest_run:
            return
        cause = self._causes.get(unit.unit_id, "unknown")
        self._meters.count(Meter.REPEATED, cause=cause)
        self._log.emit(
            LogEvent.RUN_REPEATED,
            unit=unit.unit_id,
            run=ended.run,
            worker=worker,
            later_run=latest_run,
            cause=cause,
        )
