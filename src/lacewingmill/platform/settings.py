"""Reader of the platform's settings file, which has lines of the form ``a.b=value``."""

import math
from pathlib import Path

from lacewingmill.addresses import is_address, is_port
from lacewingmill.exceptions import SettingsError
from lacewingmill.jobs.settings import JobVmSettings, PlatformLimits

__all__ = ["load_platform_settings"]

MS_PER_S = 1000.0
# The shortest time of the users' sites.
DEFAULT_CONFIG_IN_FORCE_MS = 2000.0
# The longest times of the users' sites.
DEFAULT_STOP_MS = 1000.0
DEFAULT_RESTORE_MS = 600.0
# The shortest time of the users' sites.
DEFAULT_DRAIN_MS = 3000.0


def load_platform_settings(path: Path) -> JobVmSettings:
    """Read and check the platform's settings file.

    :raises SettingsError: when the file cannot be read, or when a field is missing or malformed;
        the message names the field.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as exc:
        raise SettingsError(f"cannot read {path}: {exc.strerror}", step="settings") from exc
    except UnicodeDecodeError as exc:
        raise SettingsError(f"cannot read {path}: {exc}", step="settings") from exc
    fields = _Fields(_parse(text, path))
    host = fields.text("ip")
    # The first port of port_range is for calls between VMs, the next one for metrics.
    peer_port = fields.port("port_range")
    return JobVmSettings(
        vm=fields.text("node"),
        failure_domain=fields.text("zone"),
        front=fields.address("listen.front"),
        ready=fields.address("listen.ready"),
        peers=f"{host}:{peer_port}",
        metrics=f"{host}:{peer_port + 1}",
        store=fields.address("platform.addr"),
        advice=fields.optional_address("advice"),
        # These two only shorten takeovers, so the VM starts even if they are missing or malformed.
        machines=fields.address_or_empty("cloud.addr"),
        link_mbps=fields.number_or_default("limits.link_mbps", math.inf),
        limits=PlatformLimits(
            # grace_s is the time from SIGTERM to SIGKILL.
            grace_s=fields.number("bounds.grace_s"),
            longest_hold_s=fields.seconds("bounds.max_hold_ms"),
            kept_s=fields.number("bounds.status_s"),
            config_in_force_s=fields.seconds_or_default(
                "bounds.config_apply_ms", DEFAULT_CONFIG_IN_FORCE_MS
            ),
            guaranteed_begin_s=fields.seconds_or_default("bounds.reclaim_ms", 0.0),
            longest_stop_s=fields.seconds_or_default("bounds.stop_timeout_ms", DEFAULT_STOP_MS),
            notice_s=fields.seconds_or_default("bounds.drain_ms", DEFAULT_DRAIN_MS),
            restore_s=fields.seconds_or_default("bounds.restore_ms", DEFAULT_RESTORE_MS),
        ),
    )


def _parse(text: str, path: Path) -> dict[str, str]:
    fields = {}
    for number, line in enumerate(text.splitlines(), start=1):
        if not line.strip() or line.startswith("#"):
            continue
        name, separator, value = line.partition("=")
        if not separator:
            raise SettingsError(f"{path}: line {number} has no '='", step="settings")
        fields[name.strip()] = value.strip()
    return fields


class _Fields:
    """Typed access to the fields of the settings file."""

    def __init__(self, fields: dict[str, str]):
        self._fields = fields

    def text(self, name: str) -> str:
        """Return a field as text; it must not be empty."""
        value = self._fields.get(name, "")
        if not value:
            raise SettingsError(f"field {name} is missing", step="settings")
        return value

    def optional_address(self, name: str) -> str:
        """Return a field of the form ``host:port``; empty when the field is missing or empty."""
        return self.address(name) if self._fields.get(name) else ""

    def address_or_empty(self, name: str) -> str:
        """Return a field of the form ``host:port``; empty when it is missing or malformed."""
        value = self._fields.get(name, "")
        return value if is_address(value) else ""

    def address(self, name: str) -> str:
        """Return a field of the form ``host:port``."""
        value = self.text(name)
        if not is_address(value):
            raise SettingsError(f"field {name} must be HOST:PORT, not {value!r}", step="settings")
        return value

    def port(self, name: str) -> int:
        """Return the first port of a field that holds a range of ports."""
        value = self.text(name)
        first = value.split(",")[0]
        if not is_port(first):
            raise SettingsError(
                f"field {name} must be a range of ports, not {value!r}", step="settings"
            )
        return int(first)

    def number(self, name: str) -> float:
        """Return a field as a number."""
        value = self.text(name)
        try:
            return float(value)
        except ValueError as exc:
            raise SettingsError(
                f"field {name} must be a number, not {value!r}", step="settings"
            ) from exc

    def number_or_default(self, name: str, default: float) -> float:
        """Return a field as a number, or the default when it is missing or not a number."""
        try:
            return float(self._fields.get(name, ""))
        except ValueError:
            return default

    def seconds(self, name: str) -> float:
        """Return a field that is in milliseconds, converted to seconds."""
        return self.number(name) / MS_PER_S

    def seconds_or_default(self, name: str, default_ms: float) -> float:
        """Return a field that is in milliseconds, or the default, converted to seconds."""
        return self.number_or_default(name, default_ms) / MS_PER_S
