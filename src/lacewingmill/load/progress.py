"""Progress of running gangs, from the reports of their workers."""

import statistics

import attrs

__all__ = ["ProgressTracker", "RateSample"]

# Workers report whole percents, so a shorter interval or a smaller gain measures the rounding.
MIN_INTERVAL_S = 0.4
MIN_GAIN = 0.03
# A resumed run restores its checkpoint first and makes no progress meanwhile.
RESUME_S = 1.0
# Rates of a group are compared for this time, so that the last run of a step has siblings.
RATE_MEMORY_S = 10.0
MIN_SIBLINGS = 2


@attrs.frozen
class RateSample:
    """The rate at which a part of a gang has progressed on one worker.

    :param rate: share of the whole work done per second; 0 for a part that stands.
    :param mean_rate: rate from the first report on, or from the start of a run from zero.
    :param gain: share of the work that was done in that time.
    :param first: whether it is the first sample of this run on the worker.
    :param first_compared: whether it is the first one that was taken beside rates of siblings.
    :param best_before: highest rate measured earlier in the run; 0 for none.
    """

    rate: float
    mean_rate: float
    gain: float
    first: bool
    first_compared: bool
    best_before: float


@attrs.define
class _Part:
    """Progress of the members of a gang on one worker.

    :param interval_share: share at the beginning of the interval that is not measured yet.
    :param interval_at: time at which that interval began, in seconds.
    """

    first_share: float
    first_at: float
    interval_share: float
    interval_at: float
    share: float
    at: float
    rate: float = 0.0
    best_rate: float = 0.0
    measured: bool = False
    compared: bool = False


@attrs.define
class _Run:
    """A running gang.

    :param fresh: whether its work began at zero when it was started.
    """

    started_at: float
    fresh: bool
    parts: dict[str, _Part] = attrs.field(factory=dict)


class ProgressTracker:
    """Shares and rates of all running gangs, and recent rates by group of equal jobs."""

    def __init__(self):
        self._runs: dict[str, _Run] = {}
        self._groups: dict[str, dict[tuple[str, str], tuple[float, float]]] = {}

    def begin(self, job_id: str, now: float, *, fresh: bool) -> None:
        """Follow a gang that has begun to run.

        :param fresh: whether its work begins at zero, so that the first report tells its rate.
        """
        self._runs[job_id] = _Run(now, fresh)

    def forget(self, job_id: str) -> None:
        """Forget a gang that runs no more; its rates are compared with for a while."""
        self._runs.pop(job_id, None)

    def report(
        self,
        job_id: str,
        worker: str,
        share: float,
        at: float,
        usual_rate: float,
        *,
        compared: bool,
    ) -> RateSample | None:
        """Record a report; return a sample when enough time has passed to measure the rate.

        :param usual_rate: rate that is expected of the run, in shares per second.
        :param compared: whether that is the rate of siblings.
        """
        run = self._runs.get(job_id)
        if run is None or at < run.started_at:
            return None
        part = run.parts.get(worker)
        if part is None and run.fresh:
            part = run.parts[worker] = _new_part(0.0, run.started_at)
        restoring = not run.fresh and at < run.started_at + RESUME_S
        if part is None or share < part.share or restoring:
            run.parts[worker] = _new_part(share, at)
            return None
        part.share, part.at = share, at
        return _measure(part, usual_rate, compared)

    def record_rate(self, group: str, job_id: str, worker: str, rate: float, at: float) -> None:
        """Add a measured rate to those that the group's other runs are compared with."""
        self._groups.setdefault(group, {})[job_id, worker] = (rate, at)

    def sibling_rate(self, group: str, worker: str, now: float) -> float:
        """Return the median rate of a group's runs on other workers; 0 when too few are known."""
        rates = [
            rate
            for (_, other), (rate, at) in self._groups.get(group, {}).items()
            if other != worker and now - at <= RATE_MEMORY_S
        ]
        return statistics.median(rates) if len(rates) >= MIN_SIBLINGS else 0.0

    def remaining_s(self, job_id: str, now: float) -> float | None:
        """Return how long a gang takes at the rates of its parts, in seconds.

        :return: ``None`` when no rate is known; infinite when a part stands.
        """
        run = self._runs.get(job_id)
        if run is None:
            return None
        remaining = [_remaining_s(part, now) for part in run.parts.values() if part.measured]
        return max(remaining, default=None)

    def is_unmeasured(self, job_id: str) -> bool:
        """Whether a gang began at zero and no rate of it was measured since."""
        run = self._runs.get(job_id)
        return (
            run is not None and run.fresh and not any(part.measured for part in run.parts.values())
        )

    def done_share(self, job_id: str) -> float | None:
        """Return the share of a gang's work that its slowest part has done; ``None`` if unknown."""
        run = self._runs.get(job_id)
        if run is None or not run.parts:
            return None
        return min(part.share for part in run.parts.values())

    def drop_old_rates(self, now: float) -> None:
        """Forget rates that are too old to compare with."""
        for group, rates in list(self._groups.items()):
            kept = {key: value for key, value in rates.items() if now - value[1] <= RATE_MEMORY_S}
            if kept:
                self._groups[group] = kept
            else:
                del self._groups[group]


def _new_part(share: float, at: float) -> _Part:
    return _Part(share, at, share, at, share, at)


def _measure(part: _Part, usual_rate: float, compared: bool) -> RateSample | None:
    """Close the interval of a part if it tells a rate; members that are done wait for others."""
    span_s = part.at - part.interval_at
    gain = part.share - part.interval_share
    if part.share >= 1.0 or span_s < MIN_INTERVAL_S:
        return None
    expected_rate = usual_rate if compared else part.best_rate or usual_rate
    if max(gain, expected_rate * span_s) < MIN_GAIN:
        return None
    total_gain = part.share - part.first_share
    sample = RateSample(
        gain / span_s,
        total_gain / (part.at - part.first_at),
        total_gain,
        first=not part.measured,
        first_compared=compared and not part.compared,
        best_before=part.best_rate,
    )
    part.interval_share, part.interval_at = part.share, part.at
    part.rate, part.measured = sample.rate, True
    part.compared = part.compared or compared
    part.best_rate = max(part.best_rate, sample.rate)
    return sample


def _remaining_s(part: _Part, now: float) -> float:
    if part.share >= 1.0:
        return 0.0
    if part.rate <= 0.0:
        return float("inf")
    return max(0.0, (1.0 - part.share) / part.rate - (now - part.at))
