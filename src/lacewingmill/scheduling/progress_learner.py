"""Learns run times and the speeds of workers from the progress of running gangs."""

from lacewingmill.load.progress import RateSample
from lacewingmill.scheduling.messages import ProgressReported
from lacewingmill.scheduling.records import JobRecord, JobState
from lacewingmill.scheduling.state import SchedulerState

__all__ = ["ProgressLearner"]

# Rates are reported in whole percents; below this gain, a run time computed from them is vague.
MIN_LEARNED_GAIN = 0.08
# Slower workers are so for a part of a run only, so its time tells little about the usual one.
MAX_LEARNED_SLOWDOWN = 1.5
# Weights of comparisons: with equal runs elsewhere, with the run's own earlier rate, and with the
# learned run time, which says little about a single job.
SIBLINGS_WEIGHT = 1.0
EARLIER_RATE_WEIGHT = 0.7
LEARNED_TIME_WEIGHT = 0.05
DROP_RATES_S = 1.0


class ProgressLearner:
    """Updates the pictures of the load that a scheduler's state holds."""

    def __init__(self, state: SchedulerState):
        self._state = state
        self._rates_dropped_at = 0.0

    def begin(self, record: JobRecord, now: float) -> None:
        """Follow a gang that has begun to run."""
        job = record.job
        if not job.lasting:
            fresh = record.runs == 1 and not job.resumed
            self._state.progress.begin(job.job_id, now, fresh=fresh)

    def report(self, record: JobRecord, event: ProgressReported) -> None:
        """Learn from what a worker reports about its part of a running gang."""
        if record.state is not JobState.RUNNING or not self._comparable(record, event.worker):
            return
        state, job, worker, at = self._state, record.job, event.worker, event.at
        self._drop_old_rates(at)
        group = job.needs.group or job.job_id
        siblings_rate = state.progress.sibling_rate(group, worker, at)
        learned_rate = 1.0 / state.expected_s(job)
        sample = state.progress.report(
            job.job_id,
            worker,
            event.done_share,
            at,
            siblings_rate or learned_rate,
            compared=siblings_rate > 0,
        )
        if sample is None:
            return
        state.progress.record_rate(group, job.job_id, worker, sample.rate, at)
        usual_rate, weight = _usual_rate(sample, siblings_rate, learned_rate)
        if weight:
            state.speeds.learn(
                worker, usual_rate, sample.rate, weight, at, first=sample.first_compared
            )
        if not record.run_time_learned and sample.gain >= MIN_LEARNED_GAIN:
            self._learn(record, 1.0 / sample.mean_rate, at)

    def finish(self, record: JobRecord, run_s: float, now: float) -> None:
        """Learn from a job that has finished what its progress has not told.

        :param run_s: in seconds.
        """
        job = record.job
        if not record.run_time_learned:
            self._learn(record, run_s, now)
        alone = len(record.workers) == 1 and job.needs.group
        if alone and run_s > 0 and self._state.progress.is_unmeasured(job.job_id):
            self._compare_short_run(record, record.workers[0], run_s, now)

    def _compare_short_run(self, record: JobRecord, worker: str, run_s: float, now: float) -> None:
        """Compare a run that ended before its rate could be measured with the step's others."""
        state, job = self._state, record.job
        if not self._comparable(record, worker):
            return
        self._drop_old_rates(now)
        siblings_rate = state.progress.sibling_rate(job.needs.group, worker, now)
        state.progress.record_rate(job.needs.group, job.job_id, worker, 1.0 / run_s, now)
        if siblings_rate:
            state.speeds.learn(worker, siblings_rate, 1.0 / run_s, SIBLINGS_WEIGHT, now, first=True)

    def saved_s(self, record: JobRecord, ran_s: float) -> float:
        """Return the run time that a stopped gang need not repeat, in seconds.

        :param ran_s: time that the gang ran until it saved its checkpoint; 0 if it saved none.
        """
        done_share = self._state.progress.done_share(record.job.job_id)
        if not ran_s or done_share is None:
            return record.done_s + ran_s
        return done_share * self._state.expected_s(record.job)

    def _learn(self, record: JobRecord, run_s: float, now: float) -> None:
        """Learn a run time on workers of usual speed, unless a spell of slowness blurs it."""
        slow = self._state.speeds.slow_workers(now)
        slowdown = max((slow.get(worker, 1.0) for worker in record.workers), default=1.0)
        if slowdown > MAX_LEARNED_SLOWDOWN:
            return
        job = record.job
        record.run_time_learned = True
        self._state.run_times.learn(
            job.service, job.shape.name, job.shape.expected_s, run_s / slowdown
        )

    def _comparable(self, record: JobRecord, worker: str) -> bool:
        """Whether progress depends on the worker's speed, and not on where the job's data is.

        Jobs without processors of their own progress by what others leave idle.
        """
        worker_state = self._state.cluster.workers.get(worker)
        if worker_state is None or record.job.lasting or not record.job.shape.processors:
            return False
        return record.job.needs.rack in ("", worker_state.info.rack)

    def _drop_old_rates(self, now: float) -> None:
        if now - self._rates_dropped_at >= DROP_RATES_S:
            self._rates_dropped_at = now
            self._state.progress.drop_old_rates(now)


def _usual_rate(
    sample: RateSample, siblings_rate: float, learned_rate: float
) -> tuple[float, float]:
    """Return the rate that a sample is compared with, and the weight of the comparison.

    :param siblings_rate: median rate of equal runs elsewhere; 0 for none.
    """
    if siblings_rate:
        return siblings_rate, SIBLINGS_WEIGHT
    if sample.best_before:
        return sample.best_before, EARLIER_RATE_WEIGHT
    return learned_rate, LEARNED_TIME_WEIGHT if sample.first else 0.0
