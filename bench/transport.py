"""Compares grpcio with HTTP between own processes: echo calls a second, latency, threads."""

import argparse
import subprocess
import sys
import time
from pathlib import Path

import gevent

__all__ = ["main"]

CALLERS = 16
BODY = b"x" * 200
SECONDS = 3.0
PORTS = {"http": 24901, "grpc": 24902}
METHOD = "/bench.Echo/Call"


def serve(kind: str) -> None:
    """Serve echo calls until killed."""
    if kind == "http":
        from lacewingmill.adapters.http_server import HttpResponse, HttpServer

        HttpServer(f"127.0.0.1:{PORTS[kind]}", lambda req: HttpResponse(200, req.body)).start()
        gevent.get_hub().join()
    _start_grpc().wait_for_termination()


def _start_grpc():
    from concurrent import futures  # greenlets, once patched

    import grpc

    handler = grpc.method_handlers_generic_handler(
        "bench.Echo", {"Call": grpc.unary_unary_rpc_method_handler(lambda body, _: body)}
    )
    server = grpc.server(futures.ThreadPoolExecutor(CALLERS), handlers=[handler])
    server.add_insecure_port(f"127.0.0.1:{PORTS['grpc']}")
    server.start()
    return server


def make_call(kind: str):
    """Return a function that makes one echo call."""
    if kind == "http":
        from lacewingmill.adapters.http_client import HttpClient

        caller = HttpClient()
        peer = f"127.0.0.1:{PORTS[kind]}"
        return lambda: caller.call(peer, "POST", "/", body=BODY, timeout_s=5.0)
    import grpc

    call = grpc.insecure_channel(f"127.0.0.1:{PORTS[kind]}").unary_unary(METHOD)
    return lambda: call(BODY, timeout=5.0)


def measure(kind: str) -> None:
    """Print the figures of one transport."""
    import numpy as np  # here, because its threads would be counted as the server's

    server = subprocess.Popen([sys.executable, "-m", "bench.transport", "--serve", kind])
    try:
        time.sleep(2.0)
        call = make_call(kind)
        times = []
        end = time.monotonic() + SECONDS

        def loop() -> None:
            while time.monotonic() < end:
                started = time.perf_counter()
                call()
                times.append(time.perf_counter() - started)

        gevent.joinall([gevent.spawn(loop) for _ in range(CALLERS)], raise_error=True)
        threads = len(list(Path(f"/proc/{server.pid}/task").iterdir()))
        status = Path(f"/proc/{server.pid}/status").read_text()
        resident = next(line for line in status.splitlines() if line.startswith("VmRSS"))
        print(
            f"{kind}: {len(times) / SECONDS:.0f} calls/s, median "
            f"{np.median(times) * 1e3:.1f} ms, {threads} threads, {resident.split()[1]} kB"
        )
    finally:
        server.kill()
        server.wait()


def main() -> int:
    """Measure both, or serve one."""
    parser = argparse.ArgumentParser(prog="bench.transport")
    parser.add_argument("--serve", choices=tuple(PORTS))
    parser.add_argument("--kind", choices=tuple(PORTS))
    args = parser.parse_args()
    gevent.config.resolver = "block"
    kind = args.serve or args.kind
    if kind == "grpc":
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
