"""HTTP server based on gevent's WSGI server, with limits on bodies, headers and read times."""

import contextlib
import socket
from collections.abc import Callable, Mapping
from http.client import HTTPException

import attrs
import gevent
import gevent.socket
from gevent.pywsgi import WSGIHandler, WSGIServer

from lacewingmill.addresses import split_address
from lacewingmill.exceptions import ListenFailed

__all__ = ["HttpRequest", "HttpResponse", "HttpServer"]

MAX_BODY_BYTES = 8 * 1024 * 1024
MAX_HEADER_COUNT = 64
READ_TIMEOUT_S = 10.0
IDLE_TIMEOUT_S = 120.0
LISTEN_BACKLOG = 1024
REASON_PHRASES = {
    200: "OK",
    201: "Created",
    202: "Accepted",
    204: "No Content",
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    410: "Gone",
    413: "Content Too Large",
    421: "Misdirected Request",
    422: "Unprocessable Content",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


@attrs.frozen
class HttpRequest:
    """A request with its complete body.

    :param query: the raw query string.
    :param headers: header fields by lower-case name.
    :param connection: ``host:port`` of the client's end of the connection.
    """

    method: str
    path: str
    query: str
    headers: Mapping[str, str]
    body: bytes
    connection: str = ""


@attrs.frozen
class HttpResponse:
    """A response to send."""

    status: int = 200
    body: bytes = b""
    content_type: str = "application/json"
    headers: Mapping[str, str] = attrs.field(factory=dict)


class _RequestRejected(Exception):
    """The headers or body of a request exceed a limit or cannot be read.

    :param status: HTTP status of the response.
    """

    def __init__(self, status: int, message: str):
        super().__init__(message)
        self.status = status


class _Handler(WSGIHandler):
    """Limits the time to read a request's headers, and keeps track of idle connections."""

    def read_requestline(self):
        self.server.idle.add(self.socket)
        try:
            return super().read_requestline()
        finally:
            self.server.idle.discard(self.socket)

    def read_request(self, raw_requestline):
        try:
            with gevent.Timeout(READ_TIMEOUT_S, False):
                return super().read_request(raw_requestline)
        except HTTPException as exc:  # an error of the client: no traceback
            raise ValueError(str(exc)) from exc
        raise ValueError("timeout while reading the request headers")


class _Server(WSGIServer):
    """WSGI server with TCP_NODELAY on every connection.

    ``idle`` holds the sockets of open connections that wait for a request.
    """

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.idle: set[gevent.socket.socket] = set()

    def handle(self, sock, address):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.settimeout(IDLE_TIMEOUT_S)
        super().handle(sock, address)


class HttpServer:
    """An HTTP server that passes requests to a handler function.

    :param address: ``host:port`` to listen on.
    :param handle: called with each request; an exception becomes a 500 without details.
    :param on_error: called with each exception that ``handle`` raises.
    """

    def __init__(
        self,
        address: str,
        handle: Callable[[HttpRequest], HttpResponse],
        on_error: Callable[[BaseException], None] | None = None,
    ):
        self.address = address
        self._handle = handle
        self._on_error = on_error
        self._server = _Server(
            split_address(address),
            self._application,
            handler_class=_Handler,
            log=None,
            error_log=None,
            backlog=LISTEN_BACKLOG,
        )
        self.in_flight = 0
        self._draining = False

    def start(self) -> None:
        """Start to accept connections.

        :raises ListenFailed: when the server cannot listen on its address.
        """
        try:
            self._server.start()
        except OSError as exc:
            raise ListenFailed(
                f"cannot listen: {exc.strerror}", step="listen", peer=self.address
            ) from exc

    @property
    def port(self) -> int:
        """The port that the server listens on."""
        return self._server.server_port

    def drain(self) -> None:
        """Continue to serve, but close each connection after its next response."""
        self._draining = True

    def close(self) -> None:
        """Stop accepting connections and close idle ones; requests in progress continue.

        Idle connections are closed so that no client sends a request that is never read.
        """
        self._server.close()
        for sock in list(self._server.idle):
            with contextlib.suppress(OSError):  # the client has already closed it
                sock.shutdown(socket.SHUT_RD)

    def stop(self) -> None:
        """Stop accepting connections and abort the requests in progress."""
        self._server.stop(timeout=0)

    def _application(self, environ, start_response):
        self.in_flight += 1
        try:
            response = self._respond(environ)
        finally:
            self.in_flight -= 1
        fields = [
            ("Content-Type", response.content_type),
            ("Content-Length", str(len(response.body))),
            *response.headers.items(),
        ]
        if self._draining:
            fields.append(("Connection", "close"))
        start_response(f"{response.status} {REASON_PHRASES.get(response.status, 'Status')}", fields)
        return [response.body]

    def _respond(self, environ) -> HttpResponse:
        try:
            req = _read_request(environ)
        except _RequestRejected as exc:
            return HttpResponse(
                exc.status, str(exc).encode(), "text/plain", headers={"Connection": "close"}
            )
        try:
            return self._handle(req)
        except Exception as exc:  # a failing request must not affect others
            if self._on_error is not None:
                self._on_error(exc)
            return HttpResponse(500, b"internal error", "text/plain")


def _read_request(environ) -> HttpRequest:
    headers = {
        name[5:].replace("_", "-").lower(): value
        for name, value in environ.items()
        if name.startswith("HTTP_")
    }
    if len(headers) > MAX_HEADER_COUNT:
        raise _RequestRejected(431, f"more than {MAX_HEADER_COUNT} header fields")
    headers["content-type"] = environ.get("CONTENT_TYPE") or "application/octet-stream"
    return HttpRequest(
        environ["REQUEST_METHOD"],
        environ["PATH_INFO"],
        environ.get("QUERY_STRING", ""),
        headers,
        _read_body(environ),
        f"{environ.get('REMOTE_ADDR')}:{environ.get('REMOTE_PORT')}",
    )


def _read_body(environ) -> bytes:
    length = environ.get("CONTENT_LENGTH")
    if length and int(length) > MAX_BODY_BYTES:
        raise _RequestRejected(413, f"body larger than {MAX_BODY_BYTES} bytes")
    try:
        with gevent.Timeout(READ_TIMEOUT_S):
            body = environ["wsgi.input"].read(MAX_BODY_BYTES + 1)
    except gevent.Timeout as exc:
        raise _RequestRejected(408, "timeout while reading the body") from exc
    except OSError as exc:
        raise _RequestRejected(400, "error while reading the body") from exc
    if len(body) > MAX_BODY_BYTES:
        raise _RequestRejected(413, f"body larger than {MAX_BODY_BYTES} bytes")
    if length and len(body) != int(length):
        raise _RequestRejected(400, f"incomplete body: {len(body)} of {length} bytes")
    return body
