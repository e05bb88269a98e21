"""ASGI applications of a node, one for each HTTP listener."""

import traceback
import typing

import logbook

from medlardoor import logs
from medlardoor.admin import api
from medlardoor.calls import exchange
from medlardoor.node import parts
from medlardoor.node.control import control, promoting
from medlardoor.node.serving import egress, ingress
from medlardoor.node.upstream import executor, keyed
from medlardoor.promotion import promoter

__all__ = ["InProgressCounter", "NodeApps"]

_LOG = logbook.Logger("medlardoor.apps")

App = typing.Callable[..., typing.Awaitable[None]]


class InProgressCounter:
    """ASGI middleware that counts requests in progress and logs failures.

    Args:
        app: Application that serves the requests.
    """

    def __init__(self, app: App):
        self._app = app
        self._count = 0

    @property
    def count(self) -> int:
        """Number of requests in progress."""
        return self._count

    async def __call__(self, scope, receive, send) -> None:
        """Serves one request."""
        self._count += 1
        try:
            await self._app(scope, receive, send)
        except exchange.TruncatedAnswer:
            # The server closes the connection, so that the caller detects the
            # truncation.
            logs.log_event(_LOG, logbook.WARNING, "answer_truncated")
            raise
        except Exception:
            logs.log_event(
                _LOG,
                logbook.ERROR,
                "request_failed",
                traceback=traceback.format_exc(),
            )
            raise
        finally:
            self._count -= 1


class _PeerRouter:
    """Routes requests of the peer listener to control requests or calls."""

    def __init__(self, calls_app: App, control_app: App):
        self._calls_app = calls_app
        self._control_app = control_app

    async def __call__(self, scope, receive, send) -> None:
        if scope["type"] != "http":
            return
        if scope["path"].startswith(control.CONTROL_PREFIX):
            await self._control_app(scope, receive, send)
            return
        await self._calls_app(scope, receive, send)


class NodeApps:
    """The applications of all listeners, which share one executor.

    Args:
        node: Parts of this node.
        begin_drain: Starts a planned stop.
    """

    def __init__(
        self, node: parts.NodeParts, begin_drain: typing.Callable[[], None]
    ):
        runner = executor.Executor(node)
        keyed_calls = keyed.KeyedCalls(node, runner)
        self._keyed = keyed_calls
        self._caller = InProgressCounter(
            ingress.CallerApp(node, runner, keyed_calls)
        )
        self._peer_calls = InProgressCounter(
            ingress.PeerApp(node, runner, keyed_calls)
        )
        self._peer = _PeerRouter(
            self._peer_calls, control.ControlApp(node.board, node.cluster_key)
        )
        self._egress = InProgressCounter(egress.EgressApp(node))

        self._admin = api.AdminApp(
            node.board,
            node.settings.admin,
            node.settings.environment,
            promoting.NodePromotionService(
                promoter.Promoter(
                    node.store,
                    node.settings.environment,
                    node.settings.promotion,
                )
            ),
            begin_drain,
        )

    @property
    def caller(self) -> App:
        """Application for external callers."""
        return self._caller

    @property
    def peer(self) -> App:
        """Application for other nodes."""
        return self._peer

    @property
    def egress(self) -> App:
        """Application for the local upstream."""
        return self._egress

    @property
    def admin(self) -> App:
        """Application for operators."""
        return self._admin

    @property
    def in_progress(self) -> int:
        """Number of requests and runs that a planned stop must wait for."""
        return (
            self._caller.count
            + self._peer_calls.count
            + self._egress.count
            + self._keyed.runs_in_progress
        )
