"""HTTP client for the state service and the cloud."""

import asyncio

import aiohttp

from chalkgrade.outside import NoAnswer, Reply


class HttpClient:
    """Sends requests through one shared aiohttp session."""

    def __init__(self) -> None:
        """Create the session; needs a running event loop."""
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, keepalive_timeout=30, use_dns_cache=False),
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
        )

    async def close(self) -> None:
        """Close the session and its connections."""
        await self._session.close()

    async def call(
        self, addr: str, method: str, path: str, body: bytes | None, timeout: float
    ) -> Reply:
        """Send one request to `addr` (host:port); `timeout` in seconds covers the whole exchange.

        Raises NoAnswer when the connection fails or no complete response arrives in time.
        """
        try:
            async with (
                asyncio.timeout(timeout),
                self._session.request(
                    method,
                    f"http://{addr}{path}",
                    data=body,
                    headers={"Content-Type": "application/json"} if body is not None else None,
                    allow_redirects=False,
                    timeout=aiohttp.ClientTimeout(total=None),
                ) as response,
            ):
                return Reply(response.status, await response.read())
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise NoAnswer(f"{method} {path}: {type(error).__name__} {error}") from None
