"""Netstring framing between controllers: complete, split and invalid streams."""

import random

import pytest

from chalkgrade import constants
from chalkgrade.serving.netstrings import FramingError, NetstringDecoder, encode_netstring


def test_messages_are_decoded_however_the_stream_is_split() -> None:
    """TCP may split a stream anywhere, also within a length prefix or a character."""
    rng = random.Random(7)
    messages = [{"q": "ping", "n": n, "text": "ü:," * rng.randrange(40)} for n in range(50)]
    stream = b"".join(encode_netstring(message) for message in messages)
    reader, decoded, at = NetstringDecoder(), [], 0
    while at < len(stream):
        step = rng.randrange(1, 60)
        decoded += reader.feed(stream[at : at + step])
        at += step
    assert decoded == messages


@pytest.mark.parametrize(
    "data",
    [
        b"x",
        b"-1:{},",
        b"02:{},",
        b"2:{};",
        b"3:[1],",
        b"2:{\xff,",
        b"9999999999",
        b":{},",
        b"%d:" % (constants.MAX_NETSTRING_BYTES + 1),
    ],
)
def test_invalid_streams_are_refused(data: bytes) -> None:
    """Otherwise a faulty peer could make the decoder buffer without limit or lose its place."""
    with pytest.raises(FramingError):
        NetstringDecoder().feed(data)
