"""An emulator of the users' platform, written from its pages; shares no decoder with the product.

The parts answer calls as plain data and live on a clock that is passed in. Tests reach them through
:class:`~standins.platform.network.EmulatedNetwork` on virtual time; the demonstration serves them
over loopback.
"""

from standins.platform.executors import Executor, RunHistory
from standins.platform.kv import KvStore
from standins.platform.network import EmulatedNetwork
from standins.platform.operator import Operator, configuration
from standins.platform.settings_file import write_settings

__all__ = [
    "EmulatedNetwork",
    "Executor",
    "KvStore",
    "Operator",
    "RunBook",
    "configuration",
    "write_settings",
]
