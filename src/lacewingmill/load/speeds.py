"""Speeds of workers, learned from the progress of what runs on them.

Evidence is the logarithm of the rate that a run should have, divided by the rate that it has. Two
decaying means are kept for each worker: a fast one for spells of seconds, which believes a single
large deviation, and a slow one for lasting differences, which needs several runs and bounds each.
"""

import math

import attrs

__all__ = ["WorkerSpeeds"]

FAST_DECAY_S = 3.0
SLOW_DECAY_S = 60.0
# Weight of the assumption that a worker has the usual speed, in samples.
FAST_PRIOR = 0.5
SLOW_PRIOR = 3.0
# Equal tasks differ by up to 30 %, so smaller deviations of the means are no evidence.
FAST_DEAD_BAND = math.log(1.5)
SLOW_DEAD_BAND = math.log(1.15)
MAX_LOG = math.log(10.0)
MIN_LOG = math.log(0.6)
MAX_SLOW_LOG = math.log(2.0)
REFRESH_S = 0.1
NEGLIGIBLE_WEIGHT = 0.01


@attrs.define
class _DecayingMean:
    """A mean of weighted samples whose weights decay exponentially."""

    decay_s: float
    prior: float
    total: float = 0.0
    weight: float = 0.0
    at: float = 0.0

    def add(self, value: float, weight: float, now: float) -> None:
        self.advance(now)
        self.total += value * weight
        self.weight += weight

    def advance(self, now: float) -> None:
        if now > self.at:
            factor = math.exp((self.at - now) / self.decay_s)
            self.total *= factor
            self.weight *= factor
            self.at = now

    @property
    def mean(self) -> float:
        return self.total / (self.weight + self.prior)


@attrs.define
class _WorkerSpeed:
    """What is known of the speed of one worker."""

    fast: _DecayingMean = attrs.field(factory=lambda: _DecayingMean(FAST_DECAY_S, FAST_PRIOR))
    slow: _DecayingMean = attrs.field(factory=lambda: _DecayingMean(SLOW_DECAY_S, SLOW_PRIOR))

    def factor(self, now: float) -> float:
        self.fast.advance(now)
        self.slow.advance(now)
        fast = self.fast.mean if self.fast.mean > FAST_DEAD_BAND else 0.0
        slow = self.slow.mean if self.slow.mean > SLOW_DEAD_BAND else 0.0
        return math.exp(max(fast, slow))

    @property
    def forgotten(self) -> bool:
        return max(self.fast.weight, self.slow.weight) < NEGLIGIBLE_WEIGHT


class WorkerSpeeds:
    """How much longer work takes on each worker than elsewhere."""

    def __init__(self):
        self._workers: dict[str, _WorkerSpeed] = {}
        self._slow: dict[str, float] = {}
        self._refreshed_at = float("-inf")

    def slowdown(self, worker: str, now: float) -> float:
        """Return the factor by which work takes longer on a worker than on a typical one.

        :return: 1.0 for a worker of usual or unknown speed.
        """
        return self.slow_workers(now).get(worker, 1.0)

    def slow_workers(self, now: float) -> dict[str, float]:
        """Return the factors of all workers that are slower than usual."""
        if now - self._refreshed_at >= REFRESH_S:
            self._refresh(now)
        return self._slow

    def learn(
        self, worker: str, usual_rate: float, rate: float, weight: float, now: float, *, first: bool
    ) -> None:
        """Add evidence of a worker's speed.

        :param usual_rate: rate that the run would have on a typical worker.
        :param rate: its rate on this worker; 0 for one that stands.
        :param weight: 1 for a comparison with several equal runs, less for a vaguer one.
        :param first: whether this is the first evidence from this run; later samples of a run say
            nothing new about lasting differences.
        """
        log_ratio = MAX_LOG if rate <= 0 else math.log(usual_rate / rate)
        log_ratio = min(max(log_ratio, MIN_LOG), MAX_LOG)
        speed = self._workers.setdefault(worker, _WorkerSpeed())
        speed.fast.add(log_ratio, weight, now)
        if first:
            speed.slow.add(min(log_ratio, MAX_SLOW_LOG), weight, now)

    def forget(self, worker: str) -> None:
        """Forget a worker that left or was started again."""
        self._workers.pop(worker, None)
        self._slow.pop(worker, None)

    def _refresh(self, now: float) -> None:
        self._refreshed_at = now
        factors = {worker: speed.factor(now) for worker, speed in self._workers.items()}
        self._slow = {worker: factor for worker, factor in factors.items() if factor > 1.0}
        for worker in [name for name, speed in self._workers.items() if speed.forgotten]:
            del self._workers[worker]
