"""Malformed, half-sent and slowly sent requests of users, workers and controllers.

No controller ends or blocks: /up stays 200, and submissions and reports are answered meanwhile.
"""

import asyncio
import json
import logging
import random
import time
from typing import Any

import pytest

from chalkgrade.outside import NoAnswer
from chalkgrade.region.world import World, tell
from chalkgrade.serving.client import HttpClient
from chalkgrade.serving.daemon import Daemon
from chalkgrade.serving.links import PeerLinks
from chalkgrade.serving.netstrings import encode_netstring
from chalkgrade.settings import Peer
from test_edge import SPEC, _report_body, _run_bounded, _running_daemons

MAX_ANSWER_S = 1.0  # the load balancer's time for a probe of /up
SLOW_BYTE_S = 0.05  # between two bytes that are sent one by one
MAX_SLOW_BYTES = 100
SLOW_SHARE = 0.2
STORM_CONNECTIONS = 300  # at once, to each port of a controller

HEAD = b"POST /v2/runs HTTP/1.1\r\nHost: x\r\n"
MALFORMED_HTTP = [
    b"\x00\xff" * 200,
    b"GET",
    b"GET / HTTP/9.9\r\n\r\n",
    b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03",  # the start of a TLS handshake
    b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
    b"OPTIONS * HTTP/1.1\r\nHost: x\r\n\r\n",
    b"CONNECT x:1 HTTP/1.1\r\nHost: x\r\n\r\n",
    b"GET /v2/runs/%ff%00%zz HTTP/1.1\r\nHost: x\r\n\r\n",
    b"GET /v2/runs/" + b"a" * 60_000 + b" HTTP/1.1\r\nHost: x\r\n\r\n",
    b"GET /up HTTP/1.1\r\n" + b"X: " + b"y" * 100_000 + b"\r\n\r\n",
    b"GET /up HTTP/1.1\r\n" + b"X: y\r\n" * 5_000 + b"\r\n",
    b"GET /up HTTP/1.1\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n\r\n",
    HEAD + b"Content-Length: -5\r\n\r\n",
    HEAD + b"Content-Length: five\r\n\r\nfive!",
    HEAD + b"Content-Length: 99999999999999999999\r\n\r\n{",
    HEAD + b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    HEAD + b"Transfer-Encoding: chunked\r\n\r\nzz\r\nhello\r\n",
    HEAD + b"Transfer-Encoding: chunked\r\n\r\n5\r\nhel",
    HEAD + b"Transfer-Encoding: gzip\r\n\r\n\x1f\x8b",
    HEAD + b"Expect: 100-continue\r\nContent-Length: 10\r\n\r\n",
    HEAD + b"Content-Length: 1000\r\n\r\nhalf",
    HEAD + b"Content-Encoding: gzip\r\nContent-Length: 4\r\n\r\nhalf",
]
MALFORMED_BODIES = [
    b"",
    b"null",
    b"[]",
    b'"run-000001"',
    b"{",
    b"\xff\xfe{}",
    b"{}" * 2,
    b"[" * 60_000,
    b'{"host":' * 5_000,
    b'{"nameId":' * 5_000,
    b'{"host":1e999,"tenure":-1,"seq":null}',
    b'{"host":"","tenure":99999999999999999999999,"seq":1}',
    b'{"tasks":[[[[{}]]]],"nameId":{"nameId":"run-000001"}}',
]
MALFORMED_LINKS = [
    b"\x00\xff" * 200,
    b"GET /up HTTP/1.1\r\n\r\n",
    b"99999999999999999999:",
    b"-1:{},",
    b"5:{}",
    b"2:{};",
    b"2:[],4:null,",
    b"3:\xff\xff\xff,",
    b"50000:" + b"[" * 50_000 + b",",
    encode_netstring({"q": "ping", "arg": None, "n": [1]}),
    encode_netstring({"q": ["submit"], "arg": {}, "n": {"n": 1}}),
    encode_netstring({"q": "hello", "arg": {"host": 5}, "n": "1"}),
    encode_netstring({"n": -1}),
]


class _Storm:
    """Connections that send malformed data, in one piece or byte by byte, and stay open."""

    def __init__(self) -> None:
        self._writers: list[asyncio.StreamWriter] = []

    async def send(self, address: str, data: bytes, slowly: bool) -> None:
        host, _, port = address.rpartition(":")
        try:
            _, writer = await asyncio.open_connection(host, int(port))
            self._writers.append(writer)
            for piece in [data[at : at + 1] for at in range(len(data))] if slowly else [data]:
                writer.write(piece)
                await writer.drain()
                if slowly:
                    await asyncio.sleep(SLOW_BYTE_S)
        except (OSError, RuntimeError):
            return  # the controller closed the connection

    def close(self) -> None:
        for writer in self._writers:
            writer.close()


async def _check_served(daemons: list[Daemon], client: HttpClient, number: int) -> None:
    """Check that each controller answers a health check, a submission and a report in time."""
    for at, daemon in enumerate(daemons):
        address = daemon.settings.bind
        began = time.monotonic()
        assert (await client.call(address, "GET", "/up", None, MAX_ANSWER_S)).status == 200
        body = json.dumps(SPEC | {"nameId": f"run-{number:05d}{at}"}).encode()
        reply = await client.call(address, "POST", "/v2/runs", body, 5.0)
        assert reply.status in (200, 201), reply
        reply = await client.call(address, "POST", "/hello", _report_body("host-000001"), 4.0)
        assert reply.status == (200 if daemon.node.term is not None else 421), reply
        assert time.monotonic() < began + 2 * MAX_ANSWER_S


def _requests_with(bodies: list[bytes]) -> list[bytes]:
    """Return whole HTTP requests with each body, for users and for workers."""
    paths = [b"/v2/runs", b"/hello", b"/v2/runs/run-000001/abort", b"/v2/runs/x", b"/nothing"]
    return [
        b"POST " + path + b" HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n" % len(body) + body
        for path in paths
        for body in bodies
    ]


def test_malformed_and_unfinished_requests_end_or_block_no_controller(
    caplog: pytest.LogCaptureFixture,
) -> None:
    rng = random.Random(1)
    to_users = MALFORMED_HTTP + _requests_with(MALFORMED_BODIES)

    async def story() -> None:
        async with _running_daemons(2) as (daemons, client):
            storm = _Storm()
            sending: list[asyncio.Task[None]] = []
            for daemon in daemons:
                settings = daemon.settings
                ports = [(settings.bind, to_users), (settings.cluster_listen, MALFORMED_LINKS)]
                for address, choices in ports:
                    for number in range(STORM_CONNECTIONS):
                        data = choices[number % len(choices)]
                        slowly = len(data) < MAX_SLOW_BYTES and rng.random() < SLOW_SHARE
                        sending.append(asyncio.create_task(storm.send(address, data, slowly)))
            for number in range(8):
                await _check_served(daemons, client, number)
                await asyncio.sleep(0.2)
            await asyncio.gather(*sending)
            await _check_served(daemons, client, 90)
            storm.close()
            await _check_served(daemons, client, 91)

    with caplog.at_level(logging.ERROR):
        _run_bounded(story)
    assert not [record for record in caplog.records if record.levelno >= logging.ERROR]


def test_a_sound_submission_that_comes_byte_by_byte_is_accepted() -> None:
    body = json.dumps(SPEC | {"nameId": "run-000077"}).encode()
    request = HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body

    async def story() -> None:
        async with _running_daemons(2) as (daemons, _):
            for daemon, status in zip(daemons, (b"201", b"200"), strict=True):
                host, _, port = daemon.settings.bind.rpartition(":")
                reader, writer = await asyncio.open_connection(host, int(port))
                for at in range(len(request)):
                    writer.write(request[at : at + 1])
                    await asyncio.sleep(0.002)
                line = await reader.readline()
                assert line.split()[1] == status, line
                writer.close()

    _run_bounded(story)


def _random_value(rng: random.Random, depth: int = 0) -> Any:
    kind = rng.randrange(9 if depth < 3 else 7)
    if kind == 7:
        return [_random_value(rng, depth + 1) for _ in range(rng.randrange(4))]
    if kind == 8:
        names = ["member", "token", "arg", "nameId", "host", "tasks", "at", "word", "seq"]
        return {rng.choice(names): _random_value(rng, depth + 1) for _ in range(rng.randrange(6))}
    return [None, True, -1, 2**70, 1e300, "", rng.choice(["n-0", "run-000001", "x" * 300])][kind]


def test_no_message_between_controllers_raises_or_costs_the_lead() -> None:
    """Each kind of message with arguments of random types, at the leader and at the others."""
    kinds = ["ping", "reach", "hints", "told", "succeed", "status", "abort", "submit", "hello"]

    async def story(world: World) -> None:
        rng = random.Random(2)
        leaders = world.leaders()
        for turn in range(600):
            message = {"q": kinds[turn % len(kinds)], "arg": _random_value(rng)}
            member = world.members[turn // len(kinds) % len(world.members)]
            node = world.nodes[member]
            assert node is not None
            reply = await world.run_as(member, node.on_peer(message))
            assert isinstance(reply["status"], int), (message, reply)
        for strange in (None, 5, [], {}, "unknown"):
            node = world.nodes[leaders[0]]
            assert node is not None
            reply = await world.run_as(leaders[0], node.on_peer({"q": strange}))
            assert reply["status"] == 400
        await asyncio.sleep(3.0)
        assert world.leaders() == leaders
        assert (await world.send_request("GET", "/up", b"", leaders[0])) == (200, {"up": True})

    tell(story, 4, loss=0.0)


def test_an_answer_of_a_controller_with_an_odd_number_is_dropped() -> None:
    """An answer to no request must not end the connection, on which other requests wait."""

    async def story() -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.read(100)
            for number in ([], {}, "1", None, 2**70):
                writer.write(encode_netstring({"n": number, "status": 500}))
            writer.write(encode_netstring({"n": 1, "status": 200, "body": {}}))
            await writer.drain()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        links = PeerLinks([Peer("n-1", f"127.0.0.1:{port}")])
        try:
            answer = await links.ask("n-1", {"q": "status", "arg": "run-000001"}, 2.0)
        except NoAnswer as error:
            raise AssertionError("the connection was ended") from error
        finally:
            links.close()
            server.close()
        assert answer["status"] == 200

    _run_bounded(story)
