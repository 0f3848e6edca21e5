"""The exception tree of lacewingmill.

Every error derives from :class:`LacewingmillError` and carries the step at which it arose and the
peer that was involved, so that a log line or a refusal can name both.
"""

__all__ = [
    "AnswerMismatch",
    "CallTimeout",
    "CatalogueError",
    "ConnectFailed",
    "DeadlineExceeded",
    "DocumentInvalid",
    "FenceRejected",
    "JobRefused",
    "LacewingmillError",
    "ListenFailed",
    "WorkerReplaced",
    "TransactionConflict",
    "StoreRefused",
    "LeaseEnded",
    "HistoryLost",
    "NoTarget",
    "NotOwner",
    "OutcomeUnknown",
    "PeerError",
    "PublishConflict",
    "QueueFull",
    "RequestInvalid",
    "SettingsError",
    "StoreConflict",
    "StoreUnavailable",
    "TransportError",
]


class LacewingmillError(Exception):
    """Root of the tree.

    :param message: what happened, in one line.
    :param step: the step at which the error arose, such as ``"connect"``.
    :param peer: the other end, such as ``"10.0.0.7:7000"``; empty when none was involved.
    """

    def __init__(self, message: str, *, step: str = "", peer: str = ""):
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        where = ", ".join(
            f"{name} {value}" for name, value in (("step", self.step), ("peer", self.peer)) if value
        )
        return f"{self.message} ({where})" if where else self.message


class SettingsError(LacewingmillError):
    """The settings file cannot be used."""


class CatalogueError(LacewingmillError):
    """Root of errors about service files and publishing."""


class DocumentInvalid(CatalogueError):
    """One or more service files are wrong.

    :param findings: one message per fault, each with file and key path.
    """

    def __init__(self, findings: list[str]):
        super().__init__("\n".join(findings), step="check")
        self.findings = findings


class PublishConflict(CatalogueError):
    """Another operator published first.

    :param base: the revision this publication was based on.
    :param current: the revision now in force.
    """

    def __init__(self, base: int, current: int):
        super().__init__(
            f"publication was based on revision {base}, but revision {current} is in force; "
            "fetch it, merge and publish again",
            step="publish",
        )
        self.base = base
        self.current = current


class RequestInvalid(LacewingmillError):
    """A caller's request is malformed; nothing was run.

    :param status: the HTTP status to answer with.
    """

    def __init__(self, message: str, *, status: int = 400, step: str = "request", peer: str = ""):
        super().__init__(message, step=step, peer=peer)
        self.status = status


class JobRefused(LacewingmillError):
    """The work was refused and provably not run.

    :param retry_s: when the caller had best come back, in seconds.
    """

    def __init__(self, message: str, *, retry_after_s: float = 1.0, step: str = "", peer: str = ""):
        super().__init__(message, step=step, peer=peer)
        self.retry_after_s = retry_after_s


class QueueFull(JobRefused):
    """The bounded queue has no room for this team."""


class DeadlineExceeded(JobRefused):
    """The deadline passed before the work was sent anywhere."""


class NoTarget(JobRefused):
    """No live target can take the work."""


class OutcomeUnknown(LacewingmillError):
    """The work was sent, and whether it ran cannot be proved."""


class ListenFailed(LacewingmillError):
    """An address of this VM cannot be listened on."""


class PeerError(LacewingmillError):
    """Root of errors in talking to another process."""


class TransportError(PeerError):
    """The connection failed after bytes may have been sent."""


class ConnectFailed(TransportError):
    """The connection was never made: nothing was sent."""


class CallTimeout(TransportError):
    """The peer did not answer in time."""


class AnswerMismatch(TransportError):
    """The answer belongs to another request or arrived damaged."""


class StoreUnavailable(PeerError):
    """The platform's key-value service did not answer; a write may have taken effect."""


class StoreConflict(PeerError):
    """A compare-and-swap found another revision.

    :param current: the revision found, 0 when the key is absent.
    """

    def __init__(self, message: str, *, current: int, peer: str = ""):
        super().__init__(message, step="compare_and_swap", peer=peer)
        self.current = current


class StoreRefused(StoreUnavailable):
    """The key-value service refused a call or was not reached; certainly nothing was done."""


class HistoryLost(PeerError):
    """The key-value service has forgotten changes that a watch asked for."""


class LeaseEnded(PeerError):
    """A lease of the key-value service has ended."""


class TransactionConflict(PeerError):
    """A condition of a transaction does not hold; nothing was written.

    :param revisions: the revisions found by key, 0 for an absent key.
    """

    def __init__(self, message: str, *, revisions: dict[str, int], peer: str = ""):
        super().__init__(message, step="transaction", peer=peer)
        self.revisions = revisions


class WorkerReplaced(PeerError):
    """Another worker answers at the address of the one that was meant."""


class FenceRejected(PeerError):
    """A worker has accepted a higher fence: this process is not the owner any more."""


class NotOwner(PeerError):
    """The addressed VM does not own the cell."""
