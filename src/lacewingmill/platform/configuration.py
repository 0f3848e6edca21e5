"""The operator's keys in the platform's store, and the decoding of the configuration there."""

import attrs

from lacewingmill.codec import decode_json
from lacewingmill.exceptions import DocumentInvalid, MessageInvalid
from lacewingmill.jobs.model import AdviceTiming, Queue, QueueTable, TeamKeys
from lacewingmill.jobs.operator_follower import OperatorKeys
from lacewingmill.platform.fields import Amount, Duration, Integer, Number

__all__ = ["OPERATOR_KEYS", "decode_configuration"]

OPERATOR_KEYS = OperatorKeys(prefix="op/", configuration="op/config", evacuations="op/evacuate/")


@attrs.frozen
class _Advice:
    decide_ms: Duration = 0.0
    period_ms: Duration = 0.0


@attrs.frozen
class _Route:
    name: str
    host: str
    prefix: str
    service: str
    slo_ms: Duration = 0.0  # added to ``stretch`` times the critical path
    priority: Integer = 0
    attempts: Integer = 1
    stretch: Amount = 1.0
    public: bool = False
    advice: _Advice | None = None


@attrs.frozen
class _Tenant:
    name: str
    api_keys: list[str] = attrs.field(factory=list)
    guaranteed: dict[str, Integer] = attrs.field(factory=dict)


@attrs.frozen
class _Config:
    version: Number
    routes: list[_Route]
    tenants: list[_Tenant] = attrs.field(factory=list)


def decode_configuration(value: bytes) -> QueueTable:
    """Decode the value stored under the key of the configuration in :data:`OPERATOR_KEYS`.

    :raises DocumentInvalid: when the value is not a configuration.
    """
    try:
        cfg = decode_json(value, _Config)
    except MessageInvalid as exc:
        raise DocumentInvalid([f"configuration: {exc}"]) from exc
    return QueueTable(
        cfg.version,
        tuple(_make_queue(route) for route in cfg.routes),
        tuple(
            TeamKeys(tenant.name, frozenset(tenant.api_keys), tenant.guaranteed.get("gpu", 0))
            for tenant in cfg.tenants
        ),
    )


def _make_queue(route: _Route) -> Queue:
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
        _make_timing(route.advice),
    )


def _make_timing(advice: _Advice | None) -> AdviceTiming | None:
    if advice is None:
        return None
    return AdviceTiming(advice.decide_ms / 1000, advice.period_ms / 1000)
