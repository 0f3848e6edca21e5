"""Telling bad workers from bad jobs, and quarantine with probing.

A bad job fails on many workers; a bad worker fails many jobs. A failure is held against a worker
only while its job has failed on few workers, and distinct jobs count, not attempts. A quarantined
worker takes no jobs until a growing pause is over; then it takes one evictable job as a probe.
"""

import attrs

__all__ = ["FailureBook", "FailureRules", "Verdict"]


@attrs.frozen
class FailureRules:
    """When failures are held against a worker or a job.

    :param bad_job_workers: a job that failed on so many workers is bad itself.
    :param bad_worker_jobs: a worker on which so many jobs failed is quarantined.
    :param window_s: how long a failure counts, in seconds.
    :param quarantine_s: first pause of a worker, in seconds; it doubles with each failed probe.
    :param longest_s: longest pause, in seconds.
    :param rack_share: largest share of a rack's workers that may be quarantined at once.
    """

    bad_job_workers: int = 3
    bad_worker_jobs: int = 3
    window_s: float = 1800.0
    quarantine_s: float = 30.0
    max_quarantine_s: float = 3600.0
    rack_share: float = 0.34


@attrs.define
class _Record:
    """What is known of one worker.

    :param failures: time of the last failure by job, since the last success.
    :param until: end of the quarantine, in seconds; 0 when none.
    """

    pause_s: float
    failures: dict[str, float] = attrs.field(factory=dict)
    until: float = 0.0
    probing: bool = False


@attrs.frozen
class Verdict:
    """What a failure shows."""

    bad_job: bool
    quarantine: bool


class FailureTracker:
    """Failures by worker and job."""

    def __init__(self, rules: FailureRules | None = None):
        self._rules = rules or FailureRules()
        self._workers: dict[str, _Record] = {}
        self._jobs: dict[str, set[str]] = {}

    def record_failure(self, job_id: str, worker: str, rack: frozenset[str], now: float) -> Verdict:
        """Take in a failure of a job on a worker.

        :param rack: the workers of its rack, whose quarantined share is bounded.
        """
        failed_on = self._jobs.setdefault(job_id, set())
        failed_on.add(worker)
        record = self._workers.setdefault(worker, _Record(self._rules.quarantine_s))
        if len(failed_on) >= self._rules.bad_job_workers:
            for other in failed_on:
                self._forgive(other, job_id)
            return Verdict(True, False)
        record.failures[job_id] = now
        if record.probing:
            record.probing = False
            record.pause_s = min(record.pause_s * 2, self._rules.max_quarantine_s)
            record.until = now + record.pause_s
            return Verdict(False, True)
        return Verdict(False, self._quarantine(record, rack, now))

    def record_success(self, job_id: str, workers: tuple[str, ...]) -> None:
        """Take in a success: its workers are good again, but a quarantine ends by its probe."""
        self._jobs.pop(job_id, None)
        for worker in workers:
            if self.quarantined(worker):
                self._workers[worker].failures.clear()
                continue
            self._workers.pop(worker, None)

    def forget_job(self, job_id: str) -> None:
        """Drop a job that ended without success."""
        self._jobs.pop(job_id, None)

    def failed_on(self, job_id: str) -> frozenset[str]:
        """Return the workers on which a job has failed."""
        return frozenset(self._jobs.get(job_id, ()))

    def quarantined(self, worker: str) -> bool:
        """Whether a worker takes no jobs for now."""
        record = self._workers.get(worker)
        return record is not None and record.until > 0

    def due_probes(self, now: float) -> list[str]:
        """Return quarantined workers whose pause is over, and start probing them."""
        due = [name for name, record in self._workers.items() if 0 < record.until <= now]
        for name in due:
            self._workers[name].until = 0.0
            self._workers[name].probing = True
        return due

    def probing(self, worker: str) -> bool:
        """Whether a worker may take just one evictable job."""
        record = self._workers.get(worker)
        return record is not None and record.probing

    def is_suspect(self, worker: str) -> bool:
        """Whether a worker has failed jobs since its last success, or is being probed."""
        record = self._workers.get(worker)
        return record is not None and (record.probing or bool(record.failures))

    def _forgive(self, worker: str, job_id: str) -> None:
        """Hold a bad job's failure no longer against a worker, unless that is forgotten already."""
        record = self._workers.get(worker)
        if record is not None:
            record.failures.pop(job_id, None)

    def _quarantine(self, record: _Record, rack: frozenset[str], now: float) -> bool:
        recent = [at for at in record.failures.values() if now - at <= self._rules.window_s]
        if len(recent) < self._rules.bad_worker_jobs:
            return False
        already = sum(1 for worker in rack if self.quarantined(worker))
        if (already + 1) / max(1, len(rack)) > self._rules.rack_share:
            return False
        record.until = now + record.pause_s
        return True
