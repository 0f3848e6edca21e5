"""Messages of heartbeats."""

import attrs

from lacewingmill.models import OwnerRecord

__all__ = ["Heartbeat"]


@attrs.frozen
class Heartbeat:
    """What entry VMs tell each other; sent and answered alike.

    :param revision: the catalogue revision in force at the sender.
    :param owner: the owner of the cell as the sender knows it.
    :param load: requests in flight at the sender.
    """

    vm: str
    revision: int
    owner: OwnerRecord | None
    leaving: bool
    ready: bool
    load: int
