"""Which VMs there are: the platform's lagging list joined with this VM's own signals."""

from lacewingmill.membership.view import FleetView

__all__ = ["FleetView"]
