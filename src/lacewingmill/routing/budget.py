"""A retry budget: retries stay a share of first tries, so that they cannot multiply an outage."""

__all__ = ["RetryBudget"]

RETRY_SHARE = 0.1
RESERVE = 10.0


class RetryBudget:
    """Tokens earned by first tries and spent by retries."""

    def __init__(self):
        self._tokens = RESERVE

    def earn(self) -> None:
        """Count a first try."""
        self._tokens = min(RESERVE, self._tokens + RETRY_SHARE)

    def spend(self) -> bool:
        """Take a token for a retry; ``False`` when none is left."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
