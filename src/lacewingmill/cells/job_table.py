"""The jobs that an owner of a cell has taken in, by job and by gang, until their reports expire."""

from collections.abc import Iterator

import attrs

from lacewingmill.cells.gangs import Gang
from lacewingmill.cells.job_claims import JobEntry
from lacewingmill.cells.messages import JobPhase, JobReport, SubmitJob
from lacewingmill.events import EventLog, LogEvent
from lacewingmill.ports import Clock
from lacewingmill.scheduling.records import Note, explain_record
from lacewingmill.scheduling.scheduler import Scheduler

__all__ = ["JobTable"]

REPORT_RETENTION_S = 600.0


class JobTable:
    """Submitted jobs and their gangs.

    :param scheduler: the decision core, whose notes go into the reports.
    """

    def __init__(self, scheduler: Scheduler, clock: Clock, log: EventLog):
        self._scheduler = scheduler
        self._clock = clock
        self._log = log
        self._entries: dict[str, JobEntry] = {}
        self._by_gang: dict[str, JobEntry] = {}

    def find(self, job_id: str) -> JobEntry | None:
        """Return a job, or ``None`` when it is unheard of."""
        return self._entries.get(job_id)

    def get(self, job_id: str) -> JobEntry:
        """Return a job that was taken in.

        :raises KeyError: when it is unheard of.
        """
        return self._entries[job_id]

    def add(self, submit: SubmitJob) -> JobEntry:
        """Take a job in that waits."""
        report = JobReport(submit.job.job_id, JobPhase.WAITING)
        entry = JobEntry(submit, self._clock.now() + submit.deadline_s, report)
        self._entries[submit.job.job_id] = entry
        return entry

    def adopt(self, submit: SubmitJob, gang: Gang, done_s: float) -> None:
        """Take in a job whose gang was found running; its caller's request is not at hand.

        :param done_s: run time kept by earlier checkpoints, in seconds.
        """
        entry = self.add(submit)
        entry.report = JobReport(submit.job.job_id, JobPhase.RUNNING)
        entry.gang, entry.has_request, entry.done_s = gang, False, done_s
        self.register_gang(entry, gang)

    def record_outcome(self, submit: SubmitJob, report: JobReport) -> None:
        """Remember the outcome of a job that ended before this VM owned the cell."""
        now = self._clock.now()
        self._entries[submit.job.job_id] = JobEntry(submit, now, report, finished_at=now)

    def attach_request(self, entry: JobEntry, submit: SubmitJob) -> None:
        """Take the request of an adopted job from the entry VM that holds it."""
        if entry.has_request:
            return
        entry.submit = submit
        entry.deadline = self._clock.now() + submit.deadline_s
        entry.has_request = True

    def find_gang(self, gang_id: str) -> JobEntry | None:
        """Return the job of a gang that may have been sent, or ``None``."""
        return self._by_gang.get(gang_id)

    def register_gang(self, entry: JobEntry, gang: Gang) -> None:
        """Remember a gang before anything of it is sent."""
        self._by_gang[gang.gang_id] = entry

    def unregister_gang(self, gang: Gang) -> None:
        """Forget a gang that holds nothing any more."""
        self._by_gang.pop(gang.gang_id, None)

    def end_gang(self, entry: JobEntry, gang: Gang) -> None:
        """Forget a job's gang that holds nothing any more, and how long it ran."""
        self.unregister_gang(gang)
        if entry.gang is gang:
            entry.gang = None
        if gang.started:
            entry.longest_run_s = max(entry.longest_run_s, self._clock.now() - gang.started_at)

    def renewable_gangs(self, worker: str) -> tuple[str, ...]:
        """Return the gangs with a member on a worker whose lease may be renewed."""
        now = self._clock.now()
        return tuple(
            gang_id
            for gang_id, entry in self._by_gang.items()
            if entry.gang is not None and worker in entry.gang.workers and entry.gang.renewable(now)
        )

    def never_ran(self, entry: JobEntry) -> bool:
        """Whether it is proved that no gang of a job was ever started."""
        sent = entry.gang is not None and entry.gang.gang_id in self._by_gang
        return not sent and entry.done_s == 0.0 and not entry.longest_run_s

    def notes(self, job_id: str) -> tuple[Note, ...]:
        """Return the decisions about a job that is not over."""
        record = self._scheduler.records.get(job_id)
        return explain_record(record) if record else ()

    def set_outcome(self, entry: JobEntry, report: JobReport) -> None:
        """Settle a job's outcome; the first one stands."""
        if entry.report.phase.final:
            return
        entry.report = attrs.evolve(report, notes=self.notes(report.job_id))
        entry.finished_at = self._clock.now()
        entry.changed.set()

    def set_unknown(self, entry: JobEntry, reason: str, step: str, peer: str) -> None:
        """Settle that a job may have run, with the step and peer at which that became so."""
        job_id = entry.submit.job.job_id
        self._log.emit(LogEvent.JOB_UNKNOWN, job=job_id, reason=reason)
        report = JobReport(job_id, JobPhase.UNKNOWN, reason=reason, step=step, peer=peer)
        self.set_outcome(entry, report)

    def expire(self) -> None:
        """Forget the jobs whose reports were kept long enough."""
        now = self._clock.now()
        for job_id, entry in list(self._entries.items()):
            if entry.finished_at and now - entry.finished_at > REPORT_RETENTION_S:
                del self._entries[job_id]

    def overdue(self) -> Iterator[JobEntry]:
        """Yield the jobs that still wait at their deadline."""
        now = self._clock.now()
        for entry in list(self._entries.values()):
            if entry.report.phase is JobPhase.WAITING and now >= entry.deadline:
                yield entry
