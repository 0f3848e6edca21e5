"""Learned run times: declared times are only a prior, wrong by factors.

For each service and shape, the logarithm of the run time is regressed on the logarithm of the
declared time by recursive least squares, starting from "declared is right". Where declarations say
nothing, the slope learns to be near zero and the estimate becomes the typical time of the shape.
"""

import math

import attrs

__all__ = ["RunTimes"]

PRIOR_VARIANCE = 1.0
NOISE_VARIANCE = 0.5
REMAINING_FLOOR = 0.25
SHORTEST_S = 0.001


@attrs.define
class _Line:
    """Recursive least squares of one line.

    The covariance is the symmetric matrix ``[[var_slope, cov], [cov, var_intercept]]``.
    """

    slope: float = 1.0
    intercept: float = 0.0
    var_slope: float = PRIOR_VARIANCE
    cov: float = 0.0
    var_intercept: float = PRIOR_VARIANCE

    def predict(self, declared: float) -> float:
        return self.slope * declared + self.intercept

    def learn(self, declared: float, actual: float) -> None:
        along_slope = self.var_slope * declared + self.cov
        along_intercept = self.cov * declared + self.var_intercept
        spread = NOISE_VARIANCE + declared * along_slope + along_intercept
        error = actual - self.predict(declared)
        gain_slope = along_slope / spread
        gain_intercept = along_intercept / spread
        self.slope += gain_slope * error
        self.intercept += gain_intercept * error
        self.var_slope -= gain_slope * along_slope
        self.cov -= gain_slope * along_intercept
        self.var_intercept -= gain_intercept * along_intercept


class RunTimeEstimator:
    """Estimates of run times by service and shape."""

    def __init__(self):
        self._lines: dict[tuple[str, str], _Line] = {}

    def estimate(self, service: str, shape: str, declared_s: float) -> float:
        """Return the expected run time, in seconds."""
        line = self._lines.get((service, shape))
        if line is None:
            return max(declared_s, SHORTEST_S)
        return math.exp(line.predict(math.log(max(declared_s, SHORTEST_S))))

    def estimate_remaining(
        self, service: str, shape: str, declared_s: float, elapsed_s: float
    ) -> float:
        """Return the expected remaining time of a job that ran for ``elapsed_s``.

        A job that outran its estimate is expected to go on for a share of what it took already.
        """
        expected = self.estimate(service, shape, declared_s)
        return max(expected - elapsed_s, elapsed_s * REMAINING_FLOOR, SHORTEST_S)

    def learn(self, service: str, shape: str, declared_s: float, run_s: float) -> None:
        """Take in the run time of a job that finished."""
        line = self._lines.setdefault((service, shape), _Line())
        line.learn(math.log(max(declared_s, SHORTEST_S)), math.log(max(run_s, SHORTEST_S)))
