"""Forecasts of the ends of running gangs."""

import math

import attrs

__all__ = ["RunForecast", "forecast_from_progress", "forecast_from_remaining"]

# Standard deviations between the median and the 0.9 quantile.
QUANTILE_DEVIATIONS = 1.28
# A measured rate only changes with the speed of the worker.
EARLY_PROGRESS_SHARE = 0.85
LATE_PROGRESS_FACTOR = 1.3


@attrs.frozen
class RunForecast:
    """When a running gang is expected to end, in seconds on the scheduler's clock.

    :param early_at: ends before this time in one of ten cases.
    :param likely_at: the median.
    :param late_at: ends after this time in one of ten cases.
    """

    early_at: float
    likely_at: float
    late_at: float


def forecast_from_remaining(remaining_s: float, now: float, spread: float) -> RunForecast:
    """Return the forecast for a gang of which only the expected remaining time is known.

    :param remaining_s: in seconds.
    :param spread: standard deviation of the logarithm of run times around their estimate.
    """
    factor = math.exp(QUANTILE_DEVIATIONS * spread)
    return RunForecast(now + remaining_s / factor, now + remaining_s, now + remaining_s * factor)


def forecast_from_progress(remaining_s: float, now: float) -> RunForecast:
    """Return the forecast for a gang whose progress tells its remaining time.

    :param remaining_s: in seconds.
    """
    return RunForecast(
        now + EARLY_PROGRESS_SHARE * remaining_s,
        now + remaining_s,
        now + LATE_PROGRESS_FACTOR * remaining_s,
    )
