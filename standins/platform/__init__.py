"""An emulator of the users' platform, written from its documentation.

It shares no decoder with the product. Its parts take and return plain data and use a clock that is
passed in. Tests call them through :class:`~standins.platform.network.EmulatedNetwork` on virtual
time; the demonstration serves them over loopback.
"""

from standins.platform.executors import Executor, RunHistory
from standins.platform.kv import KvStore
from standins.platform.network import EmulatedNetwork
from standins.platform.operator import Operator, configuration
from standins.platform.settings_file import format_settings

__all__ = [
    "EmulatedNetwork",
    "Executor",
    "KvStore",
    "Operator",
    "RunHistory",
    "configuration",
    "format_settings",
]
