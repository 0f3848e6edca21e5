"""Compares gRPC with the project's HTTP server and client for calls between processes.

For each transport it prints echo calls per second, median latency, and threads and resident memory
of the server.
"""

import argparse
import subprocess
import sys
import time
from pathlib import Path

import gevent

__all__ = ["main"]

CONCURRENT_CALLS = 16
BODY = b"x" * 200
DURATION_S = 3.0
PORTS = {"http": 24901, "grpc": 24902}
GRPC_METHOD = "/bench.Echo/Call"


def serve(transport: str) -> None:
    """Serve echo calls until killed."""
    if transport == "http":
        from lacewingmill.adapters.http_server import HttpResponse, HttpServer

        HttpServer(f"127.0.0.1:{PORTS[transport]}", lambda req: HttpResponse(200, req.body)).start()
        gevent.get_hub().join()
    _start_grpc_server().wait_for_termination()


def _start_grpc_server():
    from concurrent import futures  # uses greenlets, because main has monkey-patched threads

    import grpc

    handler = grpc.method_handlers_generic_handler(
        "bench.Echo", {"Call": grpc.unary_unary_rpc_method_handler(lambda body, _: body)}
    )
    server = grpc.server(futures.ThreadPoolExecutor(CONCURRENT_CALLS), handlers=[handler])
    server.add_insecure_port(f"127.0.0.1:{PORTS['grpc']}")
    server.start()
    return server


def make_call(transport: str):
    """Return a function that makes one echo call over a transport."""
    if transport == "http":
        from lacewingmill.adapters.http_client import HttpClient

        client = HttpClient()
        peer = f"127.0.0.1:{PORTS[transport]}"
        return lambda: client.call(peer, "POST", "/", body=BODY, timeout_s=5.0)
    import grpc

    call = grpc.insecure_channel(f"127.0.0.1:{PORTS[transport]}").unary_unary(GRPC_METHOD)
    return lambda: call(BODY, timeout=5.0)


def measure(transport: str) -> None:
    """Start a server process, call it for ``DURATION_S`` and print the figures."""
    import numpy as np  # not at module level: its threads would count in the server process

    server = subprocess.Popen([sys.executable, "-m", "bench.transport", "--serve", transport])
    try:
        time.sleep(2.0)
        call = make_call(transport)
        durations = []
        end_at = time.monotonic() + DURATION_S

        def call_repeatedly() -> None:
            while time.monotonic() < end_at:
                started = time.perf_counter()
                call()
                durations.append(time.perf_counter() - started)

        gevent.joinall(
            [gevent.spawn(call_repeatedly) for _ in range(CONCURRENT_CALLS)], raise_error=True
        )
        threads = len(list(Path(f"/proc/{server.pid}/task").iterdir()))
        status = Path(f"/proc/{server.pid}/status").read_text()
        rss_line = next(line for line in status.splitlines() if line.startswith("VmRSS"))
        print(
            f"{transport}: {len(durations) / DURATION_S:.0f} calls/s, median "
            f"{np.median(durations) * 1e3:.1f} ms, {threads} threads, {rss_line.split()[1]} kB"
        )
    finally:
        server.kill()
        server.wait()


def main() -> int:
    """Measure one or all transports, or serve one."""
    parser = argparse.ArgumentParser(prog="bench.transport")
    parser.add_argument("--serve", choices=tuple(PORTS))
    parser.add_argument("--kind", choices=tuple(PORTS))
    args = parser.parse_args()
    gevent.config.resolver = "block"
    transport = args.serve or args.kind
    if transport == "grpc":
        import grpc.experimental.gevent as grpc_gevent
        from gevent import monkey

        monkey.patch_all()
        grpc_gevent.init_gevent()
    if args.serve:
        serve(args.serve)
    elif args.kind:
        measure(args.kind)
    else:
        for name in PORTS:
            subprocess.run([sys.executable, "-m", "bench.transport", "--kind", name], check=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
