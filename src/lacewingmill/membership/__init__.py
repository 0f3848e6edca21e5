"""Fleet membership: the platform's VM list, which may be out of date, and heartbeats."""

from lacewingmill.membership.view import FleetView

__all__ = ["FleetView"]
