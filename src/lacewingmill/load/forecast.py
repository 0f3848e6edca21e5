"""Forecasts of the ends of running gangs."""

import attrs

__all__ = ["RunForecast", "forecast_from_progress", "forecast_from_remaining"]

# Run times learned by queue are off by about half in either direction.
EARLY_SHARE = 0.5
LATE_FACTOR = 2.0
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


def forecast_from_remaining(remaining_s: float, now: float) -> RunForecast:
    """Return the forecast for a gang of which only the expected remaining time is known.

    :param remaining_s: in seconds.
    """
    return RunForecast(
        now + EARLY_SHARE * remaining_s, now + remaining_s, now + LATE_FACTOR * remaining_s
    )


def forecast_from_progress(remaining_s: float, now: float) -> RunForecast:
    """Return the forecast for a gang whose progress tells its remaining time.

    :param remaining_s: in seconds.
    """
    return RunForecast(
        now + EARLY_PROGRESS_SHARE * remaining_s,
        now + remaining_s,
        now + LATE_PROGRESS_FACTOR * remaining_s,
    )
