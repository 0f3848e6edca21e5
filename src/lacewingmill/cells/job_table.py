"""The jobs submitted to the owner of a cell, kept until their reports expire."""

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
    """Submitted jobs, indexed by job id and by gang id.

    :param scheduler: its notes on a job go into the job's report.
    """

    def __init__(self, scheduler: Scheduler, clock: Clock, log: EventLog):
        self._scheduler = scheduler
        self._clock = clock
        self._log = log
        self._entries: dict[str, JobEntry] = {}
        self._by_gang: dict[str, JobEntry] = {}

    def find(self, job_id: str) -> JobEntry | None:
        """Return the entry of a job, or ``None`` if the job is unknown."""
        return self._entries.get(job_id)

    def get(self, job_id: str) -> JobEntry:
        """Return the entry of a job.

        :raises KeyError: the job is unknown.
        """
        return self._entries[job_id]

    def add(self, submission: SubmitJob) -> JobEntry:
        """Add a waiting job."""
        report = JobReport(submission.job.job_id, JobPhase.WAITING)
        entry = JobEntry(submission, self._clock.now() + submission.deadline_s, report)
        self._entries[submission.job.job_id] = entry
        return entry

    def adopt(self, submission: SubmitJob, gang: Gang, done_s: float) -> None:
        """Add a job whose gang was found running; its client's request is not known yet.

        :param done_s: run time saved by earlier checkpoints, in seconds.
        """
        entry = self.add(submission)
        entry.report = JobReport(submission.job.job_id, JobPhase.RUNNING)
        entry.gang, entry.has_request, entry.done_s = gang, False, done_s
        self.register_gang(entry, gang)

    def record_outcome(self, submission: SubmitJob, report: JobReport) -> None:
        """Record the outcome of a job that ended before this VM owned the cell."""
        now = self._clock.now()
        self._entries[submission.job.job_id] = JobEntry(submission, now, report, finished_at=now)

    def attach_request(self, entry: JobEntry, submission: SubmitJob) -> None:
        """Add the client's request to an adopted job when its entry VM submits it again."""
        if entry.has_request:
            return
        entry.submission = submission
        entry.deadline = self._clock.now() + submission.deadline_s
        entry.has_request = True

    def find_gang(self, gang_id: str) -> JobEntry | None:
        """Return the job of a registered gang, or ``None``."""
        return self._by_gang.get(gang_id)

    def register_gang(self, entry: JobEntry, gang: Gang) -> None:
        """Register a gang; required before any of its orders is sent."""
        self._by_gang[gang.gang_id] = entry

    def unregister_gang(self, gang: Gang) -> None:
        """Remove a gang whose members are all released."""
        self._by_gang.pop(gang.gang_id, None)

    def end_gang(self, entry: JobEntry, gang: Gang, *, executed: bool) -> None:
        """Remove a gang whose members are all released and update the job's longest run time.

        :param executed: whether any member may have run.
        """
        self.unregister_gang(gang)
        entry.executed = entry.executed or executed
        if entry.gang is gang:
            entry.gang = None
        if gang.started:
            entry.longest_run_s = max(entry.longest_run_s, self._clock.now() - gang.started_at)

    def renewable_gangs(self, worker: str) -> tuple[str, ...]:
        """Return the gangs with a member on the worker whose leases may be renewed."""
        now = self._clock.now()
        return tuple(
            gang_id
            for gang_id, entry in self._by_gang.items()
            if entry.gang is not None and worker in entry.gang.workers and entry.gang.renewable(now)
        )

    def never_ran(self, entry: JobEntry) -> bool:
        """Return whether the job has no registered gang and no member of a gang has run."""
        registered = entry.gang is not None and entry.gang.gang_id in self._by_gang
        ran = entry.executed or entry.longest_run_s > 0 or entry.done_s > 0
        return not registered and not ran

    def notes(self, job_id: str) -> tuple[Note, ...]:
        """Return the scheduler's decisions about a job; empty if it has left the scheduler."""
        record = self._scheduler.records.get(job_id)
        return explain_record(record) if record else ()

    def set_outcome(self, entry: JobEntry, report: JobReport) -> None:
        """Set the outcome of a job unless it already has one."""
        if entry.report.phase.final:
            return
        entry.report = attrs.evolve(report, notes=self.notes(report.job_id))
        entry.finished_at = self._clock.now()
        entry.changed.set()

    def set_unknown(self, entry: JobEntry, reason: str, step: str, peer: str) -> None:
        """Set the outcome ``UNKNOWN`` of a job that may have run.

        :param step: the step that left the outcome unknown.
        :param peer: the worker at which it did; empty if there is none.
        """
        job_id = entry.submission.job.job_id
        self._log.emit(LogEvent.JOB_UNKNOWN, job=job_id, reason=reason)
        report = JobReport(job_id, JobPhase.UNKNOWN, reason=reason, step=step, peer=peer)
        self.set_outcome(entry, report)

    def expire(self) -> None:
        """Remove the jobs whose reports have expired."""
        now = self._clock.now()
        for job_id, entry in list(self._entries.items()):
            if entry.finished_at and now - entry.finished_at > REPORT_RETENTION_S:
                del self._entries[job_id]

    def overdue(self) -> Iterator[JobEntry]:
        """Yield the waiting jobs whose deadline has passed."""
        now = self._clock.now()
        for entry in list(self._entries.values()):
            if entry.report.phase is JobPhase.WAITING and now >= entry.deadline:
                yield entry
