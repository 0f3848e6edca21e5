"""The pure decision core of a cell; nothing in it imports an adapter."""

from lacewingmill.scheduling.order import OrderRules
from lacewingmill.scheduling.placement import fragmentation_ratio
from lacewingmill.scheduling.scheduler import Scheduler

__all__ = ["OrderRules", "Scheduler", "stranded_share"]
