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

__all__ = ["WorkTable"]

REPORT_KEPT_S = 600.0


class JobTable:
    """Submitted jobs and their gangs.

    :param scheduler: the decision core, whose notes go into the reports.
    """

    def __init__(self, scheduler: Scheduler, clock: Clock, log: EventLog):
        self._scheduler = scheduler
        self._clock = clock
        self._log = log
        self._works: dict[str, JobEntry] = {}
        self._by_gang: dict[str, JobEntry] = {}

    def find(self, job_id: str) -> JobEntry | None:
        """Return a job, or ``None`` when it is unheard of."""
        return self._works.get(job_id)

    def get(self, job_id: str) -> JobEntry:
        """Return a job that was taken in.

        :raises KeyError: when it is unheard of.
        """
        return self._works[job_id]

    def add(self, submit: SubmitJob) -> JobEntry:
        """Take a job in that waits."""
        report = JobReport(submit.job.job_id, JobPhase.WAITING)
        work = JobEntry(submit, self._clock.now() + submit.deadline_s, report)
        self._works[submit.job.job_id] = work
        return work

    def adopt(self, submit: SubmitJob, gang: Gang, done_s: float) -> None:
        """Take in a job whose gang was found running; its caller's request is not at hand.

        :param done_s: run time kept by earlier checkpoints, in seconds.
        """
        work = self.add(submit)
        work.report = JobReport(submit.job.job_id, JobPhase.RUNNING)
        work.gang, work.body_known, work.done_s = gang, False, done_s
        self.link_gang(work, gang)

    def keep_outcome(self, submit: SubmitJob, report: JobReport) -> None:
        """Remember the outcome of a job that ended before this VM owned the cell."""
        now = self._clock.now()
        self._works[submit.job.job_id] = JobEntry(submit, now, report, closed_at=now)

    def learn_body(self, work: JobEntry, submit: SubmitJob) -> None:
        """Take the request of an adopted job from the entry VM that holds it."""
        if work.body_known:
            return
        work.submit = submit
        work.deadline = self._clock.now() + submit.deadline_s
        work.body_known = True

    def find_gang(self, gang_id: str) -> JobEntry | None:
        """Return the job of a gang that may have been sent, or ``None``."""
        return self._by_gang.get(gang_id)

    def link_gang(self, work: JobEntry, gang: Gang) -> None:
        """Remember a gang before anything of it is sent."""
        self._by_gang[gang.gang_id] = work

    def unlink_gang(self, gang: Gang) -> None:
        """Forget a gang that holds nothing any more."""
        self._by_gang.pop(gang.gang_id, None)

    def end_gang(self, work: JobEntry, gang: Gang) -> None:
        """Forget a job's gang that holds nothing any more, and how long it ran."""
        self.unlink_gang(gang)
        if work.gang is gang:
            work.gang = None
        if gang.started:
            work.run_before_s = max(work.run_before_s, self._clock.now() - gang.started_at)

    def renewable_gangs(self, worker: str) -> tuple[str, ...]:
        """Return the gangs with a member on a worker whose lease may be renewed."""
        now = self._clock.now()
        return tuple(
            gang_id
            for gang_id, work in self._by_gang.items()
            if work.gang is not None and worker in work.gang.workers and work.gang.renewable(now)
        )

    def never_sent(self, work: JobEntry) -> bool:
        """Whether it is proved that no gang of a job was ever started."""
        sent = work.gang is not None and work.gang.gang_id in self._by_gang
        return not sent and work.done_s == 0.0 and not work.run_before_s

    def notes(self, job_id: str) -> tuple[Note, ...]:
        """Return the decisions about a job that is not over."""
        record = self._scheduler.records.get(job_id)
        return explain_record(record) if record else ()

    def close(self, work: JobEntry, report: JobReport) -> None:
        """Settle a job's outcome; the first one stands."""
        if work.report.phase.final:
            return
        work.report = attrs.evolve(report, notes=self.notes(report.job_id))
        work.closed_at = self._clock.now()
        work.changed.set()

    def close_unknown(self, work: JobEntry, reason: str, step: str, peer: str) -> None:
        """Settle that a job may have run, with the step and peer at which that became so."""
        job_id = work.submit.job.job_id
        self._log.emit(LogEvent.JOB_UNKNOWN, job=job_id, reason=reason)
        report = JobReport(job_id, JobPhase.UNKNOWN, reason=reason, step=step, peer=peer)
        self.close(work, report)

    def expire(self) -> None:
        """Forget the jobs whose reports were kept long enough."""
        now = self._clock.now()
        for job_id, work in list(self._works.items()):
            if work.closed_at and now - work.closed_at > REPORT_KEPT_S:
                del self._works[job_id]

    def overdue(self) -> Iterator[JobEntry]:
        """Yield the jobs that still wait at their deadline."""
        now = self._clock.now()
        for work in list(self._works.values()):
            if work.report.phase is JobPhase.WAITING and now >= work.deadline:
                yield work
