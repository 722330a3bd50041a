"""Netstrings of JSON: the framing between controllers. Pure."""

from typing import Any

import msgspec

from chalkgrade import constants
from chalkgrade.outside import encode

DIGITS_MAX = len(str(constants.NETSTRING_MAX))


class FramingError(Exception):
    """Not a netstring of a JSON object: the connection can't be trusted further."""


def encode_netstring(message: Any) -> bytes:
    payload = encode(message)
    return b"%d:%b," % (len(payload), payload)


class NetstringDecoder:
    """Cuts a stream into messages."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[dict[str, Any]]:
        """All messages completed by `data`; Broken on anything else."""
        self._buffer += data
        out: list[dict[str, Any]] = []
        while True:
            colon = self._buffer.find(b":", 0, DIGITS_MAX + 1)
            if colon < 0:
                if len(self._buffer) > DIGITS_MAX or not (
                    self._buffer == b"" or self._buffer.isdigit()
                ):
                    raise FramingError("no length")
                return out
            digits = bytes(self._buffer[:colon])
            if not digits.isdigit() or (len(digits) > 1 and digits[0] == ord("0")):
                raise FramingError("bad length")
            size = int(digits)
            if size > constants.NETSTRING_MAX:
                raise FramingError("too long")
            end = colon + 1 + size
            if len(self._buffer) <= end:
                return out
            if self._buffer[end] != ord(","):
                raise FramingError("no comma")
            try:
                out.append(msgspec.json.decode(self._buffer[colon + 1 : end], type=dict))
            except (msgspec.DecodeError, UnicodeDecodeError) as error:
                raise FramingError(f"not a JSON object: {error}") from None
            del self._buffer[: end + 1]
