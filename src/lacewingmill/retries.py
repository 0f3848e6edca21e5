"""Delays between attempts at something that fails."""

import random

import attrs

__all__ = ["Backoff"]

FACTOR = 2.0
# Share of a delay that is random, so that processes that failed together do not retry together.
JITTER = 0.5


@attrs.define
class Backoff:
    """Delays that double with each failure in a row, with jitter and an upper bound.

    :param first_s: upper bound of the first delay, in seconds.
    :param longest_s: upper bound of all delays, in seconds; at most what those who wait for the
        outcome can spare.
    """

    first_s: float
    longest_s: float
    rng: random.Random
    failures: int = 0

    def next_s(self) -> float:
        """Count a failure and return the delay before the next attempt, in seconds."""
        bound_s = min(self.longest_s, self.first_s * FACTOR**self.failures)
        if bound_s < self.longest_s:
            self.failures += 1
        return bound_s * (1.0 - JITTER * self.rng.random())

    def reset(self) -> None:
        """Start again from the first delay, after a success."""
        self.failures = 0
