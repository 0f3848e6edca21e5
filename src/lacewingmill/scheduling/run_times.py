"""Learned run times: declared times are only a prior, wrong by factors.

For each service and shape, the logarithm of the run time is regressed on the logarithm of the
declared time by recursive least squares, starting from "declared is right". Where declarations say
nothing, the slope learns to be near zero and the estimate becomes the typical time of the shape.
"""

import math

import attrs

__all__ = ["RunTimeEstimator"]

PRIOR_VARIANCE = 1.0
NOISE_VARIANCE = 0.5
MIN_REMAINING_SHARE = 0.25
MIN_RUN_TIME_S = 0.001


@attrs.define
class _LineEstimator:
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
        slope_cov = self.var_slope * declared + self.cov
        intercept_cov = self.cov * declared + self.var_intercept
        residual_variance = NOISE_VARIANCE + declared * slope_cov + intercept_cov
        error = actual - self.predict(declared)
        gain_slope = slope_cov / residual_variance
        gain_intercept = intercept_cov / residual_variance
        self.slope += gain_slope * error
        self.intercept += gain_intercept * error
        self.var_slope -= gain_slope * slope_cov
        self.cov -= gain_slope * intercept_cov
        self.var_intercept -= gain_intercept * intercept_cov


class RunTimeEstimator:
    """Estimates of run times by service and shape."""

    def __init__(self):
        self._estimators: dict[tuple[str, str], _LineEstimator] = {}

    def estimate(self, service: str, shape: str, declared_s: float) -> float:
        """Return the expected run time, in seconds."""
        estimator = self._estimators.get((service, shape))
        if estimator is None:
            return max(declared_s, MIN_RUN_TIME_S)
        return math.exp(estimator.predict(math.log(max(declared_s, MIN_RUN_TIME_S))))

    def estimate_remaining(
        self, service: str, shape: str, declared_s: float, elapsed_s: float
    ) -> float:
        """Return the expected remaining time of a job that ran for ``elapsed_s``.

        A job that outran its estimate is expected to go on for a share of what it took already.
        """
        expected = self.estimate(service, shape, declared_s)
        return max(expected - elapsed_s, elapsed_s * MIN_REMAINING_SHARE, MIN_RUN_TIME_S)

    def learn(self, service: str, shape: str, declared_s: float, run_s: float) -> None:
        """Take in the run time of a job that finished."""
        estimator = self._estimators.setdefault((service, shape), _LineEstimator())
        estimator.learn(
            math.log(max(declared_s, MIN_RUN_TIME_S)), math.log(max(run_s, MIN_RUN_TIME_S))
        )
