"""Adapters for the users' platform: its formats and calls, converted to lacewingmill's own types.

They contain no decisions, and names that the platform defines occur in this package only. The
package has the same name as a module of the standard library, so ``src/lacewingmill`` itself must
never be on the import path.
"""

from lacewingmill.platform.advice import HttpAdvisor
from lacewingmill.platform.configuration import OPERATOR_KEYS, decode_configuration
from lacewingmill.platform.handlers import JobApiHandler, ReadyHandler
from lacewingmill.platform.machines import HttpMachineList
from lacewingmill.platform.orders import HttpWorkerOrders
from lacewingmill.platform.settings import load_platform_settings
from lacewingmill.platform.store import HttpTransactionStore
from lacewingmill.platform.workers import WORKER_PREFIX, decode_worker

__all__ = [
    "JobApiHandler",
    "HttpAdvisor",
    "HttpMachineList",
    "HttpTransactionStore",
    "HttpWorkerOrders",
    "OPERATOR_KEYS",
    "ReadyHandler",
    "WORKER_PREFIX",
    "decode_configuration",
    "decode_worker",
    "load_platform_settings",
]
