"""Task that keeps the configuration document of the node current."""

import anyio
import anyio.abc
import logbook
import result

from medlardoor import errors, logs
from medlardoor.adoption import controller as controller_module
from medlardoor.adoption import watching
from medlardoor.config import document
from medlardoor.node.control import control
from medlardoor.node.transport import transport as transport_module
from medlardoor.wire import authentication

__all__ = ["ConfigurationTask", "DocumentParser"]

TICK_INTERVAL_S = 0.2

_LOG = logbook.Logger("medlardoor.configuration")


class DocumentParser(controller_module.ObjectParser):
    """Parses the enforced text of an object and its trial text, if any.

    Args:
        environment: Environment that the documents must be for.
    """

    def __init__(self, environment: str):
        self._environment = environment

    def parse(
        self, value: bytes
    ) -> result.Result[controller_module.ParsedObject, errors.InvalidInput]:
        """Parses and checks an object."""
        key = document.document_key(self._environment)
        stored = document.parse_object(key, value)
        if stored.is_err():
            return stored
        enforced = document.parse_document(key, stored.ok().enforced)
        if enforced.is_err():
            return enforced
        if enforced.ok().environment != self._environment:
            fault = errors.Fault("$.environment", 0, repr(self._environment))
            return result.Err(errors.InvalidInput(key, (fault,)))
        if stored.ok().trial is None:
            return result.Ok(controller_module.ParsedObject(enforced.ok()))
        trial = document.parse_document(key, stored.ok().trial)
        # An invalid trial text must not prevent adoption of the enforced one.
        return result.Ok(
            controller_module.ParsedObject(enforced.ok(), trial.ok())
        )

    async def prepare(self, value: bytes) -> None:
        """Parses the texts of an object in steps that let other tasks run."""
        key = document.document_key(self._environment)
        stored = document.parse_object(key, value)
        if stored.is_err():
            return
        for text in (stored.ok().enforced, stored.ok().trial):
            if text is not None:
                await document.prepare_document(key, text)


class ConfigurationTask:
    """Adopts documents from the platform and from other nodes.

    Args:
        controller: Decides which documents are fetched and adopted.
        watcher: Watches the document in the platform.
        transport: Connections to other nodes.
        key: Key of the cluster.
    """

    def __init__(
        self,
        controller: controller_module.AdoptionController,
        watcher: watching.DocumentWatcher,
        transport: transport_module.Transport,
        key: authentication.ClusterKey,
    ):
        self._controller = controller
        self._watcher = watcher
        self._transport = transport
        self._key = key
        self._tasks: anyio.abc.TaskGroup | None = None

    async def run(self) -> None:
        """Watches and fetches documents until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            tasks.start_soon(self._watcher.run)
            while True:
                self._start_fetch(self._controller.tick(anyio.current_time()))
                await anyio.sleep(TICK_INTERVAL_S)

    def observe_version(self, version: int) -> None:
        """Records the document version in force at the sender of a call.

        Args:
            version: Version in the context of the call.
        """
        if version > self._controller.newest_evaluated_version:
            now = anyio.current_time()
            self._start_fetch(
                self._controller.observe_version(version, None, now)
            )

    def _start_fetch(self, fetch: controller_module.Fetch | None) -> None:
        if fetch is not None and self._tasks is not None:
            self._tasks.start_soon(self._fetch, fetch)

    async def _fetch(self, fetch: controller_module.Fetch) -> None:
        member = fetch.member
        fetched = await control.fetch_document(
            self._transport, member, self._key
        )
        if fetched.is_err():
            self._controller.record_failed_fetch(member.instance)
            logs.log_event(
                _LOG,
                logbook.WARNING,
                "document_not_fetched",
                instance=member.instance,
                detail=fetched.err().message,
            )
            return
        await self._controller.prepare(fetched.ok().value)
        now = anyio.current_time()
        offered = self._controller.offer_transfer(fetched.ok(), now)
        if isinstance(offered, controller_module.Adopted):
            logs.log_event(
                _LOG,
                logbook.INFO,
                "document_adopted",
                version=offered.version,
                source=member.instance,
            )
