"""Speeds of workers, learned from the progress of what runs on them."""

__all__ = ["WorkerSpeeds"]


class WorkerSpeeds:
    """How much longer work takes on each worker than elsewhere."""

    def slowdown(self, worker: str, now: float) -> float:
        """Return the factor by which work takes longer on a worker than on a typical one.

        :return: 1.0 for a worker of usual or unknown speed.
        """
        return 1.0
