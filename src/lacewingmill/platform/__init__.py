"""The users' platform: its names, formats and calls, decoded into the product's own types.

Nothing here decides anything, and no name of the platform's stands outside this package. The
package shares its name with a module of the standard library, so ``src/lacewingmill`` itself must
never be on the import path.
"""

from lacewingmill.platform.advice import HttpAdvisor
from lacewingmill.platform.configuration import CONFIGURATION_KEY, decode_configuration
from lacewingmill.platform.handlers import JobApiHandler, ReadyHandler
from lacewingmill.platform.machines import HttpMachineList
from lacewingmill.platform.orders import HttpWorkerOrders
from lacewingmill.platform.settings import load_platform_settings
from lacewingmill.platform.store import HttpTransactionStore
from lacewingmill.platform.workers import WORKER_PREFIX, decode_worker

__all__ = [
    "CONFIGURATION_KEY",
    "FrontHandler",
    "HttpAdvisor",
    "HttpMachineList",
    "HttpTransactionStore",
    "HttpWorkerOrders",
    "ReadyHandler",
    "WORKER_PREFIX",
    "decode_configuration",
    "decode_worker",
    "load_platform_settings",
]
