"""Estimates of run times, learned because declared times are often wrong by a factor.

For each service and shape, the logarithm of the run time is regressed on the logarithm of the
declared time by recursive least squares. The prior is that the declared time is right. If declared
times predict nothing, the slope approaches zero and the estimate approaches the typical run time of
the shape.
"""

import math

import attrs

__all__ = ["RunTimeEstimator"]

PRIOR_VARIANCE = 1.0
NOISE_VARIANCE = 0.5
MIN_REMAINING_SHARE = 0.25
MIN_RUN_TIME_S = 0.001
# Declared run times are off by a factor of two in either direction in one of five cases.
PRIOR_SPREAD = 0.54
SPREAD_WEIGHT = 0.1


@attrs.define
class _LineEstimator:
    """Recursive least squares estimate of a line, and the mean square of its errors.

    The covariance is the symmetric matrix ``[[var_slope, cov], [cov, var_intercept]]``.
    """

    slope: float = 1.0
    intercept: float = 0.0
    var_slope: float = PRIOR_VARIANCE
    cov: float = 0.0
    var_intercept: float = PRIOR_VARIANCE
    residual_square: float = PRIOR_SPREAD**2

    def predict(self, declared: float) -> float:
        return self.slope * declared + self.intercept

    def learn(self, declared: float, actual: float) -> None:
        slope_cov = self.var_slope * declared + self.cov
        intercept_cov = self.cov * declared + self.var_intercept
        residual_variance = NOISE_VARIANCE + declared * slope_cov + intercept_cov
        error = actual - self.predict(declared)
        self.residual_square += SPREAD_WEIGHT * (error**2 - self.residual_square)
        gain_slope = slope_cov / residual_variance
        gain_intercept = intercept_cov / residual_variance
        self.slope += gain_slope * error
        self.intercept += gain_intercept * error
        self.var_slope -= gain_slope * slope_cov
        self.cov -= gain_slope * intercept_cov
        self.var_intercept -= gain_intercept * intercept_cov


class RunTimeEstimator:
    """Estimates run times by service and shape."""

    def __init__(self):
        self._estimators: dict[tuple[str, str], _LineEstimator] = {}

    def estimate(self, service: str, shape: str, declared_s: float) -> float:
        """Return the expected run time, in seconds."""
        estimator = self._estimators.get((service, shape))
        if estimator is None:
            return max(declared_s, MIN_RUN_TIME_S)
        return math.exp(estimator.predict(math.log(max(declared_s, MIN_RUN_TIME_S))))

    def spread(self, service: str, shape: str) -> float:
        """Return the standard deviation of the logarithm of run times around their estimate."""
        estimator = self._estimators.get((service, shape))
        return PRIOR_SPREAD if estimator is None else math.sqrt(estimator.residual_square)

    def estimate_remaining(
        self, service: str, shape: str, declared_s: float, elapsed_s: float
    ) -> float:
        """Return the expected remaining run time of a job after ``elapsed_s``, in seconds.

        It is at least a fixed share of the elapsed time, also for jobs beyond their estimate.
        """
        expected = self.estimate(service, shape, declared_s)
        return max(expected - elapsed_s, elapsed_s * MIN_REMAINING_SHARE, MIN_RUN_TIME_S)

    def learn(self, service: str, shape: str, declared_s: float, run_s: float) -> None:
        """Update the estimate with the run time of a finished job."""
        estimator = self._estimators.setdefault((service, shape), _LineEstimator())
        estimator.learn(
            math.log(max(declared_s, MIN_RUN_TIME_S)), math.log(max(run_s, MIN_RUN_TIME_S))
        )
