"""Settings of one entry VM, read from a YAML file."""

from pathlib import Path

import attrs

from lacewingmill.addresses import is_address
from lacewingmill.exceptions import SettingsError
from lacewingmill.yaml_files import parse_duration_s, read_yaml, structure_document

__all__ = ["Settings", "load_settings"]


@attrs.frozen
class _SettingsDocument:
    vm: str
    failure_domain: str
    listen: str
    control: str
    store: str
    vm_list: str
    cell: str = "main"
    drain: str = "5 s"
    stop_within: str = "10 min"
    stale_after: str = "60 s"


@attrs.frozen
class Settings:
    """Validated settings of an entry VM.

    :param vm: name of the VM.
    :param listen: ``host:port`` for clients.
    :param control: ``host:port`` for other entry VMs, operators and probes.
    :param store: ``host:port`` of the key-value service.
    :param vm_list: ``host:port`` of the VM list.
    :param cell: name of the cell that this VM helps to run.
    :param drain_s: how long the VM keeps serving after a stop signal, so that the load balancer
        notices that it is not ready, in seconds.
    :param stop_within_s: how long after a stop signal requests in flight may take to finish, in
        seconds.
    :param stale_after_s: time without contact to the store and all peers after which the VM becomes
        not ready, in seconds.
    """

    vm: str
    failure_domain: str
    listen: str
    control: str
    store: str
    vm_list: str
    cell: str
    drain_s: float
    stop_within_s: float
    stale_after_s: float


def load_settings(path: Path) -> Settings:
    """Read and check a settings file.

    :raises SettingsError: the settings are invalid or cannot be read; the message has one line per
        finding, with file and key.
    """
    content, findings = read_yaml(path)
    document = None
    if not findings:
        document, findings = structure_document(content, _SettingsDocument, path)
    if document is None:
        raise SettingsError("\n".join(findings), step="settings")
    return _check(document, path)


def _check(document: _SettingsDocument, path: Path) -> Settings:
    findings = []
    for key in ("listen", "control", "store", "vm_list"):
        if not is_address(getattr(document, key)):
            findings.append(f"{path}: {key}: expected HOST:PORT, an IP address and a port")
    durations = {}
    for key in ("drain", "stop_within", "stale_after"):
        try:
            durations[f"{key}_s"] = parse_duration_s(getattr(document, key))
        except ValueError as exc:
            findings.append(f"{path}: {key}: {exc}")
    if findings:
        raise SettingsError("\n".join(findings), step="settings")
    return Settings(
        vm=document.vm,
        failure_domain=document.failure_domain,
        listen=document.listen,
        control=document.control,
        store=document.store,
        vm_list=document.vm_list,
        cell=document.cell,
        **durations,
    )
