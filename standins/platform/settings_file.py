"""The settings file of a VM, as the platform writes it."""

__all__ = ["format_settings"]

HOST = "127.0.0.1"
PEER_PORT_COUNT = 8


def format_settings(vm: str, front: int, ready: int, peers: int, store: int) -> str:
    """Return the text of the settings file of a VM on loopback.

    :param vm: name of the VM.
    :param front: port for clients.
    :param ready: port for health checks.
    :param peers: first of the ports for other VMs.
    :param store: port of the store.
    """
    fields = {
        "node": vm,
        "zone": "z0",
        "ip": HOST,
        "listen.front": f"{HOST}:{front}",
        "listen.ready": f"{HOST}:{ready}",
        "port_range": f"{peers},{peers + PEER_PORT_COUNT - 1}",
        "bounds.grace_s": 6,
        "bounds.max_hold_ms": 6000,
        "bounds.status_s": 120,
        "bounds.config_apply_ms": 2000,
        "platform.addr": f"{HOST}:{store}",
    }
    return "".join(f"{name}={value}\n" for name, value in fields.items())
