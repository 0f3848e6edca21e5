"""The owner of a cell as one VM knows it, with a signal at each change."""

from gevent.event import Event

from lacewingmill.models import OwnerRecord

__all__ = ["OwnerSignal"]


class OwnerSignal:
    """Tells those who wait for an owner's answer that another VM owns the cell now."""

    def __init__(self):
        self._record: OwnerRecord | None = None
        self._changed = Event()

    @property
    def record(self) -> OwnerRecord | None:
        """The owner; ``None`` while none is known."""
        return self._record

    @property
    def changed(self) -> Event:
        """An event that is set at the next change."""
        return self._changed

    def set_owner(self, record: OwnerRecord | None) -> None:
        """Take in who owns the cell."""
        if record == self._record:
            return
        self._record = record
        changed, self._changed = self._changed, Event()
        changed.set()
