"""Framing between controllers: JSON objects in netstrings. Does no input or output."""

from typing import Any

import msgspec

from chalkgrade import constants
from chalkgrade.outside import encode

DIGITS_MAX = len(str(constants.MAX_NETSTRING_BYTES))


class MessageTooLongError(Exception):
    """A message exceeds the limit; the receiver would close the connection."""


class FramingError(Exception):
    """The stream is not netstrings of JSON objects; the connection has to be closed."""


def encode_netstring(message: Any) -> bytes:
    """Encode a message as JSON within a netstring; MessageTooLongError above the size limit."""
    payload = encode(message)
    if len(payload) > constants.MAX_NETSTRING_BYTES:
        raise MessageTooLongError(f"message of {len(payload)} bytes")
    return b"%d:%b," % (len(payload), payload)


class NetstringDecoder:
    """Incremental decoder: splits a byte stream into messages."""

    def __init__(self) -> None:
        """Start with an empty buffer."""
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[dict[str, Any]]:
        """Return the messages that `data` completes; FramingError if the stream is invalid."""
        self._buffer += data
        out: list[dict[str, Any]] = []
        while True:
            colon = self._buffer.find(b":", 0, DIGITS_MAX + 1)
            if colon < 0:
                if len(self._buffer) > DIGITS_MAX or not (
                    self._buffer == b"" or self._buffer.isdigit()
                ):
                    raise FramingError("length prefix is missing or too long")
                return out
            digits = bytes(self._buffer[:colon])
            if not digits.isdigit() or (len(digits) > 1 and digits[0] == ord("0")):
                raise FramingError("length prefix is not a plain decimal number")
            size = int(digits)
            if size > constants.MAX_NETSTRING_BYTES:
                raise FramingError("message exceeds the size limit")
            end = colon + 1 + size
            if len(self._buffer) <= end:
                return out
            if self._buffer[end] != ord(","):
                raise FramingError("message is not followed by a comma")
            try:
                out.append(msgspec.json.decode(self._buffer[colon + 1 : end], type=dict))
            except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
                raise FramingError(f"message is not a JSON object: {error}") from None
            del self._buffer[: end + 1]
