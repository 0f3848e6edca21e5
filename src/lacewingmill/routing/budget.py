"""A retry budget, which caps retries at a fraction of first attempts.

Without the cap, retries would multiply the load on a service that already fails.
"""

__all__ = ["RetryBudget"]

TOKENS_PER_REQUEST = 0.1
MAX_TOKENS = 10.0


class RetryBudget:
    """Token bucket that first attempts fill and retries drain; it starts full."""

    def __init__(self):
        self._tokens = MAX_TOKENS

    def deposit(self) -> None:
        """Add the tokens that one first attempt earns."""
        self._tokens = min(MAX_TOKENS, self._tokens + TOKENS_PER_REQUEST)

    def try_withdraw(self) -> bool:
        """Take one token for a retry.

        :return: ``False`` if less than one token is left.
        """
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
