"""The known owner of a cell, with an event for each change."""

from gevent.event import Event

from lacewingmill.models import OwnerRecord

__all__ = ["OwnerSignal"]


class OwnerSignal:
    """Notifies greenlets that wait for an owner's answer when another VM becomes the owner."""

    def __init__(self):
        self._record: OwnerRecord | None = None
        self._changed = Event()

    @property
    def record(self) -> OwnerRecord | None:
        """The record of the owner; ``None`` while none is known."""
        return self._record

    @property
    def changed(self) -> Event:
        """The event that is set when the owner changes next."""
        return self._changed

    def set_owner(self, record: OwnerRecord | None) -> None:
        """Set the owner and notify the waiters if it has changed."""
        if record == self._record:
            return
        self._record = record
        changed, self._changed = self._changed, Event()
        changed.set()
