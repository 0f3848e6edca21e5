"""Detection of bad workers and bad jobs, and quarantine of bad workers.

A bad job fails on many workers; a bad worker fails many jobs. A failure counts against a worker
only while its job has failed on few workers, and distinct jobs are counted rather than attempts. A
quarantined worker gets no jobs; after the quarantine it gets a single idempotent job as a probe. If
the probe fails, the worker is quarantined for twice as long.
"""

import attrs

__all__ = ["FailureTracker", "FailureRules", "Verdict"]


@attrs.frozen
class FailureRules:
    """Thresholds at which failures count against a worker or a job.

    :param bad_job_workers: number of workers on which a bad job has failed.
    :param bad_worker_jobs: number of failed jobs for which a worker is quarantined.
    :param window_s: how long a failure counts, in seconds.
    :param quarantine_s: first quarantine of a worker, in seconds; doubled by each failed probe.
    :param max_quarantine_s: longest quarantine, in seconds.
    :param rack_share: largest share of a rack's workers that may be quarantined at once, 0..1.
    :param return_s: how long a job avoids a worker on which it failed although it may find no other
        one, in seconds; with other workers to wait for, it does so for ``window_s``.
    """

    bad_job_workers: int = 3
    bad_worker_jobs: int = 3
    window_s: float = 1800.0
    quarantine_s: float = 30.0
    max_quarantine_s: float = 3600.0
    rack_share: float = 0.34
    return_s: float = 30.0


@attrs.define
class _WorkerRecord:
    """Failures and quarantine of one worker.

    :param quarantine_s: length of the latest quarantine, or of the first one to come, in seconds.
    :param failures: time of each job's last failure since the worker's last success, in seconds.
    :param quarantined_until: end of the quarantine, in seconds; 0 if there is none.
    :param probing: whether the worker is being probed after a quarantine.
    """

    quarantine_s: float
    failures: dict[str, float] = attrs.field(factory=dict)
    quarantined_until: float = 0.0
    probing: bool = False


@attrs.frozen
class Verdict:
    """Result of recording a failure.

    :param bad_job: whether the job is considered bad.
    :param quarantine: whether the worker is now quarantined.
    """

    bad_job: bool
    quarantine: bool


class FailureTracker:
    """Tracks failures by worker and job."""

    def __init__(self, rules: FailureRules | None = None):
        self.rules = rules or FailureRules()
        self._workers: dict[str, _WorkerRecord] = {}
        self._jobs: dict[str, dict[str, float]] = {}

    def record_failure(self, job_id: str, worker: str, rack: frozenset[str], now: float) -> Verdict:
        """Record a failure of a job on a worker.

        :param rack: workers of the worker's rack, of which only a share may be quarantined.
        """
        failed_on = self._jobs.setdefault(job_id, {})
        failed_on[worker] = now
        record = self._workers.setdefault(worker, _WorkerRecord(self.rules.quarantine_s))
        if len(failed_on) >= self.rules.bad_job_workers:
            for other in failed_on:
                self._discard_failure(other, job_id)
            return Verdict(True, False)
        record.failures[job_id] = now
        if record.probing:
            record.probing = False
            record.quarantine_s = min(record.quarantine_s * 2, self.rules.max_quarantine_s)
            record.quarantined_until = now + record.quarantine_s
            return Verdict(False, True)
        return Verdict(False, self._quarantine(record, rack, now))

    def record_success(self, job_id: str, workers: tuple[str, ...]) -> None:
        """Record a success, which clears the failures of its workers but ends no quarantine."""
        self._jobs.pop(job_id, None)
        for worker in workers:
            if self.quarantined(worker):
                self._workers[worker].failures.clear()
                continue
            self._workers.pop(worker, None)

    def forget_job(self, job_id: str) -> None:
        """Forget the failures of a job that ended without success."""
        self._jobs.pop(job_id, None)

    def failed_on(self, job_id: str, since: float) -> frozenset[str]:
        """Return the workers on which a job has failed after a time, in seconds."""
        failures = self._jobs.get(job_id)
        if not failures:
            return frozenset()
        return frozenset(worker for worker, at in failures.items() if at > since)

    def quarantined(self, worker: str) -> bool:
        """Return whether a worker is quarantined."""
        record = self._workers.get(worker)
        return record is not None and record.quarantined_until > 0

    def start_due_probes(self, now: float) -> list[str]:
        """Start to probe the workers whose quarantine is over, and return them."""
        due = [
            name for name, record in self._workers.items() if 0 < record.quarantined_until <= now
        ]
        for name in due:
            self._workers[name].quarantined_until = 0.0
            self._workers[name].probing = True
        return due

    def probing(self, worker: str) -> bool:
        """Return whether a worker is being probed, and so may run only one idempotent job."""
        record = self._workers.get(worker)
        return record is not None and record.probing

    def is_suspect(self, worker: str) -> bool:
        """Return whether jobs failed on a worker since its last success, or it is being probed."""
        record = self._workers.get(worker)
        return record is not None and (record.probing or bool(record.failures))

    def _discard_failure(self, worker: str, job_id: str) -> None:
        """Remove a bad job's failure from a worker's record, if there still is one."""
        record = self._workers.get(worker)
        if record is not None:
            record.failures.pop(job_id, None)

    def _quarantine(self, record: _WorkerRecord, rack: frozenset[str], now: float) -> bool:
        recent = [at for at in record.failures.values() if now - at <= self.rules.window_s]
        if len(recent) < self.rules.bad_worker_jobs:
            return False
        quarantined_count = sum(1 for worker in rack if self.quarantined(worker))
        if (quarantined_count + 1) / max(1, len(rack)) > self.rules.rack_share:
            return False
        record.quarantined_until = now + record.quarantine_s
        return True
