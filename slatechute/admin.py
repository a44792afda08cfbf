"""HTTP server for operators: metrics, health, readiness and status."""

from collections.abc import Callable
from typing import Any

from aiohttp import web

from slatechute import logs
from slatechute import metrics as metrics_module
from slatechute import settings as entry_settings
from slatechute.util import addresses

__all__ = ["READY", "AdminServer"]

READY = "ready"

# Operators' requests are short, so the shutdown need not wait long for them.
_SHUTDOWN_TIMEOUT_S = 1.0

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
        self._runner: web.AppRunner | None = None

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
        app = web.Application()
        app.router.add_get("/metrics", self._get_metrics)
        app.router.add_get("/health", self._get_health)
        app.router.add_get("/ready", self._get_ready)
        app.router.add_get("/status", self._get_status)
        runner = web.AppRunner(
            app, access_log=None, shutdown_timeout=_SHUTDOWN_TIMEOUT_S
        )
        await runner.setup()
        host, port = addresses.split_address(self._settings.admin_address)
        try:
            await web.TCPSite(runner, host, port).start()
        except OSError:
            await runner.cleanup()
            raise
        self._runner = runner
        _LOG.info("admin_listening", address=self.address)

    async def stop(self) -> None:
        """Close the port; do nothing if the server is not running."""
        runner, self._runner = self._runner, None
        if runner is not None:
            await runner.cleanup()

    async def _get_metrics(self, request: web.Request) -> web.Response:
        del request
        return web.Response(
            body=self._metrics.export(),
            headers={"Content-Type": metrics_module.CONTENT_TYPE},
        )

    async def _get_health(self, request: web.Request) -> web.Response:
        del request
        return web.json_response({"state": "alive"})

    async def _get_ready(self, request: web.Request) -> web.Response:
        del request
        state = self._readiness()
        return web.json_response(
            {"state": state}, status=200 if state == READY else 503
        )

    async def _get_status(self, request: web.Request) -> web.Response:
        del request
        try:
            return web.json_response(self._status())
        except Exception as error:  # A faulty status must not stop the server.
            _LOG.exception("status_failed")
            return web.json_response({"error": repr(error)}, status=500)
