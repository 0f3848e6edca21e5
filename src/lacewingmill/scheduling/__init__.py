"""The scheduler of a cell: it decides without I/O and imports no adapter."""

from lacewingmill.scheduling.order import OrderRules
from lacewingmill.scheduling.placement import fragmentation_ratio
from lacewingmill.scheduling.scheduler import Scheduler

__all__ = ["OrderRules", "Scheduler", "fragmentation_ratio"]
