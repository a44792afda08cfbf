"""HTTP server for operators: metrics, health, readiness and status."""

from collections.abc import Callable
from typing import Any

from aiohttp import web

from slatechute import errors
from slatechute import listener
from slatechute import logs
from slatechute import metrics as metrics_module
from slatechute import settings as entry_settings
from slatechute.util import addresses

__all__ = ["READY", "AdminServer"]

READY = "ready"

# Operators' requests are short, so the shutdown need not wait long for them.
_SHUTDOWN_TIMEOUT_S = 1.0
_MAX_CONNECTIONS = 64

_LOG = logs.get_logger(__name__)


class AdminServer:
    """Serves `/metrics`, `/health`, `/ready` and `/status`.

    `/health` only shows that the process is alive and its event loop runs. A
    supervisor that restarts unhealthy entries must not do so because they are
    starting, draining or disconnected from the platform.
    """

    def __init__(
        self,
        settings: entry_settings.EntrySettings,
        metrics: metrics_module.Metrics,
        readiness: Callable[[], str],
        status: Callable[[], dict[str, Any]],
    ):
        """Initialize the server without opening its port.

        Args:
            settings: Settings with the admin address.
            metrics: Metrics to export.
            readiness: Returns `ready`, or the state that keeps this entry from
                being ready, such as `starting` or `draining`.
            status: Returns the status as JSON-compatible values.
        """
        self._settings = settings
        self._metrics = metrics
        self._readiness = readiness
        self._status = status
        self._runner: web.ServerRunner | None = None
        self._handler_by_path = {
            "/metrics": self._get_metrics,
            "/health": self._get_health,
            "/ready": self._get_ready,
            "/status": self._get_status,
        }

    @property
    def address(self) -> str:
        """Address that the server listens on, with the port that was bound.

        Raises:
            RuntimeError: The server is not running.
        """
        if self._runner is None or not self._runner.addresses:
            raise RuntimeError("the admin server is not running")
        host, port = self._runner.addresses[0][:2]
        return addresses.join_address(host, port)

    async def start(self) -> None:
        """Open the port and serve.

        Raises:
            OSError: The address is in use or not on this host.
        """
        self._runner = await listener.serve(
            self._handle,
            self._settings.admin_address,
            max_connections=_MAX_CONNECTIONS,
            on_refused=self._count_refusal,
            shutdown_timeout=_SHUTDOWN_TIMEOUT_S,
        )
        _LOG.info("admin_listening", address=self.address)

    async def stop(self) -> None:
        """Close the port; do nothing if the server is not running."""
        runner, self._runner = self._runner, None
        if runner is not None:
            await runner.cleanup()

    def _count_refusal(self, reason: errors.Reason) -> None:
        self._metrics.count_refusal(reason, errors.Outcome.NOT_RUN, "")

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        connection = request.protocol
        connection.start_request()
        try:
            if connection.is_over_limit:
                response = web.Response(status=503)
                response.force_close()
                return response
            handler = self._handler_by_path.get(request.path)
            if handler is None:
                raise web.HTTPNotFound
            if request.method not in ("GET", "HEAD"):
                raise web.HTTPMethodNotAllowed(request.method, ["GET", "HEAD"])
            return await handler(request)
        finally:
            connection.is_serving = False

    async def _get_metrics(self, request: web.BaseRequest) -> web.Response:
        del request
        return web.Response(
            body=self._metrics.export(),
            headers={"Content-Type": metrics_module.CONTENT_TYPE},
        )

    async def _get_health(self, request: web.BaseRequest) -> web.Response:
        del request
        return web.json_response({"state": "alive"})

    async def _get_ready(self, request: web.BaseRequest) -> web.Response:
        del request
        state = self._readiness()
        return web.json_response(
            {"state": state}, status=200 if state == READY else 503
        )

    async def _get_status(self, request: web.BaseRequest) -> web.Response:
        del request
        try:
            return web.json_response(self._status())
        except Exception as error:  # A faulty status must not stop the server.
            _LOG.exception("status_failed")
            return web.json_response({"error": repr(error)}, status=500)
