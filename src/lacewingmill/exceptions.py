"""The exceptions of lacewingmill.

Every error derives from :class:`LacewingmillError` and names the step that failed and the peer
involved, for log lines and error responses.
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
    "MessageInvalid",
    "WorkerReplaced",
    "TransactionConflict",
    "StoreRefused",
    "LeaseEnded",
    "HistoryLost",
    "NoRoom",
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
    """Base class of all errors.

    :param message: what happened, in one line.
    :param step: the step that failed, such as ``"connect"``.
    :param peer: address of the peer, such as ``"10.0.0.7:7000"``; empty when none was involved.
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
    """Base class of errors in service files and in publishing."""


class DocumentInvalid(CatalogueError):
    """One or more service files are invalid.

    :param findings: one message per error, each with file and key path.
    """

    def __init__(self, findings: list[str]):
        super().__init__("\n".join(findings), step="check")
        self.findings = findings


class PublishConflict(CatalogueError):
    """Another operator has published in the meantime.

    :param base: the revision on which the rejected publication was based.
    :param current: the revision in force.
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
    """A client's request is invalid; nothing was run.

    :param status: HTTP status of the response.
    """

    def __init__(self, message: str, *, status: int = 400, step: str = "request", peer: str = ""):
        super().__init__(message, step=step, peer=peer)
        self.status = status


class MessageInvalid(LacewingmillError):
    """Bytes from another process or from the store are not a message of the expected type."""


class JobRefused(LacewingmillError):
    """The work was refused and certainly did not run.

    :param retry_after_s: delay after which the client should retry, in seconds.
    """

    def __init__(self, message: str, *, retry_after_s: float = 1.0, step: str = "", peer: str = ""):
        super().__init__(message, step=step, peer=peer)
        self.retry_after_s = retry_after_s


class QueueFull(JobRefused):
    """The team has reached its limit of queued requests."""


class NoRoom(JobRefused):
    """The work ahead leaves no room for the job while its result is of any use."""


class DeadlineExceeded(JobRefused):
    """The deadline passed before the work was sent to a target."""


class NoTarget(JobRefused):
    """No live target can take the work."""


class OutcomeUnknown(LacewingmillError):
    """The work was sent, and it is not known whether it ran."""


class ListenFailed(LacewingmillError):
    """An address of this VM cannot be bound."""


class PeerError(LacewingmillError):
    """Base class of errors in calls to another process."""


class TransportError(PeerError):
    """A call got no usable response.

    The peer may have received the request, except in the case of :class:`ConnectFailed`.
    """


class ConnectFailed(TransportError):
    """The connection could not be established; nothing was sent."""


class CallTimeout(TransportError):
    """The peer did not answer in time."""


class AnswerMismatch(TransportError):
    """The response belongs to another request or is corrupt."""


class StoreUnavailable(PeerError):
    """The key-value service gave no usable response; a write may have taken effect."""


class StoreConflict(PeerError):
    """A compare-and-swap found another revision.

    :param current: the revision found, 0 when the key is absent.
    """

    def __init__(self, message: str, *, current: int, peer: str = ""):
        super().__init__(message, step="compare_and_swap", peer=peer)
        self.current = current


class StoreRefused(StoreUnavailable):
    """The key-value service refused the call or was not reached; the call had no effect."""


class HistoryLost(PeerError):
    """The key-value service no longer has all changes that a watch requested."""


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
    """Another worker than the addressed one responds at its address."""


class FenceRejected(PeerError):
    """A worker has accepted a higher fencing token: this process is no longer the owner."""


class NotOwner(PeerError):
    """The VM called does not own the cell or the jobs, or no owner is known."""
