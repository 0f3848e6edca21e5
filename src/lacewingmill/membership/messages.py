"""Messages of the heartbeat protocol between entry VMs."""

import attrs

from lacewingmill.models import OwnerRecord

__all__ = ["Heartbeat"]


@attrs.frozen
class Heartbeat:
    """State of an entry VM; the request and the response of a heartbeat have the same form.

    :param vm: name of the sender.
    :param revision: catalogue revision in force at the sender.
    :param owner: owner of the cell as known to the sender; ``None`` if it knows none.
    :param leaving: whether the sender is stopping.
    :param ready: whether the sender is ready to serve clients.
    :param load: number of requests in flight at the sender.
    """

    vm: str
    revision: int
    owner: OwnerRecord | None
    leaving: bool
    ready: bool
    load: int
