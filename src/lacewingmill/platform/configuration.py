"""The operator's configuration as the platform's store holds it."""

import attrs
import msgspec

from lacewingmill.exceptions import DocumentInvalid
from lacewingmill.jobs.model import Queue, QueueTable, TeamKeys

__all__ = ["CONFIGURATION_KEY", "decode_configuration"]

CONFIGURATION_KEY = "op/config"


@attrs.frozen
class _Route:
    name: str
    host: str
    prefix: str
    service: str
    slo_ms: float = 0.0  # only a part of the time allowed: ``stretch`` adds to it
    priority: int = 0
    attempts: int = 1
    stretch: float = 1.0
    public: bool = False
    advice: dict[str, float] | None = None


@attrs.frozen
class _Tenant:
    name: str
    api_keys: list[str] = attrs.field(factory=list)
    guaranteed: dict[str, int] = attrs.field(factory=dict)


@attrs.frozen
class _Config:
    version: int
    routes: list[_Route]
    tenants: list[_Tenant] = attrs.field(factory=list)


def decode_configuration(value: bytes) -> QueueTable:
    """Decode the value of the configuration's key.

    :raises DocumentInvalid: when the bytes do not hold a configuration.
    """
    try:
        config = msgspec.json.decode(value, type=_Config)
    except msgspec.DecodeError as exc:
        raise DocumentInvalid([f"configuration: {exc}"]) from exc
    return QueueTable(
        config.version,
        tuple(_queue(route) for route in config.routes),
        tuple(
            TeamKeys(tenant.name, frozenset(tenant.api_keys), tenant.guaranteed.get("gpu", 0))
            for tenant in config.tenants
        ),
    )


def _queue(route: _Route) -> Queue:
    return Queue(
        route.name,
        route.host,
        route.prefix,
        route.service,
        route.priority,
        max(1, route.attempts),
        route.stretch,
        route.slo_ms / 1000,
        route.public,
        route.advice is not None,
    )
