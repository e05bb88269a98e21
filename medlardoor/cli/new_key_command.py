"""Command that creates a key for callers of a team."""

import secrets

from medlardoor.cli import operator_base
from medlardoor.teams import keys

__all__ = ["NewKeyCommand"]

KEY_BYTES = 24


class NewKeyCommand(operator_base.OperatorCommand):
    """Creates a key, which is stored nowhere."""

    name = "new-key"
    description = "Creates a key for callers, and its digest for a document."

    async def report(self) -> operator_base.Report:
        """Creates the key here; no node is asked."""
        key = secrets.token_urlsafe(KEY_BYTES)
        digest = keys.digest_text(key)
        return operator_base.Report(
            operator_base.ExitCode.OK,
            [
                "key, for the callers; shown once:",
                key,
                "digest, for teams.NAME.keys:",
                digest,
            ],
            {"key": key, "digest": digest},
        )
