"""HTTP calls to the platform that report failures as `StoreUnavailable`."""

import anyio
import httpcore
import result

from medlardoor import errors
from medlardoor.store import client

__all__ = ["StoreCaller", "failed"]

_MAX_CONNECTIONS = 4

# Idle time after which a connection is not used again, in seconds. It may have
# stopped working without a reset, which only a call that hangs would show.
_MAX_IDLE_S = 0.5


class StoreCaller:
    """HTTP client based on `httpcore` that never retries a call.

    Args:
        timeout_s: Maximum duration of a call, in seconds. The time that the
            platform may wait before it responds is added to it.
    """

    def __init__(self, timeout_s: float):
        self._timeout_s = timeout_s
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=_MAX_CONNECTIONS,
            keepalive_expiry=_MAX_IDLE_S,
            retries=0,
        )

    async def aclose(self) -> None:
        """Closes all connections."""
        await self._pool.aclose()

    async def call(
        self,
        key: str,
        method: str,
        url: str,
        *,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
        wait_s: float = 0.0,
        max_bytes: int = client.MAX_VALUE_BYTES,
    ) -> result.Result[httpcore.Response, errors.StoreUnavailable]:
        """Makes one call and reads the complete response within the timeout.

        Args:
            key: Object key of the call, reported in a failure.
            method: HTTP method.
            url: URL of the request.
            headers: Additional request headers.
            body: Request body.
            wait_s: Time that the platform may wait before it responds, in
                seconds; extends the timeout of the call.
            max_bytes: Maximum size of the response body, in bytes.

        Returns:
            The response with its body, whatever its status, or the failure.
        """
        limit_s = self._timeout_s + wait_s
        timeouts = dict.fromkeys(("connect", "read", "write", "pool"), limit_s)
        try:
            with anyio.fail_after(limit_s):
                async with self._pool.stream(
                    method,
                    url,
                    headers=headers,
                    content=body,
                    extensions={"timeout": timeouts},
                ) as response:
                    return await _read_body(key, response, max_bytes)
        except TimeoutError:
            return result.Err(errors.StoreUnavailable(key, "timeout"))
        except (httpcore.NetworkError, httpcore.ProtocolError) as error:
            return result.Err(failed(key, error))
        except (httpcore.TimeoutException, OSError) as error:
            return result.Err(failed(key, error))


async def _read_body(
    key: str, response: httpcore.Response, max_bytes: int
) -> result.Result[httpcore.Response, errors.StoreUnavailable]:
    body = bytearray()
    async for chunk in response.aiter_stream():
        body += chunk
        if len(body) > max_bytes:
            detail = f"response body is longer than {max_bytes} bytes"
            return result.Err(
                errors.StoreResponseTooLarge(key, detail, max_bytes)
            )
    return result.Ok(
        httpcore.Response(
            response.status, headers=response.headers, content=bytes(body)
        )
    )


def failed(key: str, error: Exception) -> errors.StoreUnavailable:
    """Returns the failure of a call that raised `error`.

    Args:
        key: Object key of the call.
        error: Transport error or error of parsing the response; only its type
            is reported.
    """
    return errors.StoreUnavailable(key, type(error).__name__)
