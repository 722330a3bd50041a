"""Guards settings files, the command line, log lines and the answers to invalid requests.

Invalid input must be reported with its place and never be accepted or end in a traceback.
"""

import asyncio
import logging
from pathlib import Path
from typing import Any

import msgspec
import pytest
from click.testing import CliRunner

from chalkgrade.cli import main
from chalkgrade.experiments import licences
from chalkgrade.logs import decision_fields, make_formatter
from chalkgrade.record.jobs import SubmissionError, parse_submission
from chalkgrade.region.loop import VirtualLoop
from chalkgrade.region.world import World, close
from chalkgrade.settings import SettingsError, parse_operator_settings, parse_settings

GOOD = """
member = "n-0"
bind = "127.0.0.1:80"
cluster_listen = "127.0.0.1:81"
future_field = 1
[endpoints]
cloud = "127.0.0.1:1"
state = "127.0.0.1:2"
[cluster.workers]
lease_s = 16.0
cancel_s = 41.0
[[cluster.teams]]
name = "red"
cpus_max = 8.0
"""


def test_good_settings_and_unknown_fields() -> None:
    """Unknown fields, which a later platform may add, must not be refused."""
    settings = parse_settings(GOOD.encode())
    assert settings.cluster.teams[0].cpus_max == 8.0


@pytest.mark.parametrize(
    ("old", "new", "said"),
    [
        ('member = "n-0"\n', "", "s.toml: member: missing"),
        ("127.0.0.1:80", "127.0.0.1", "s.toml:3: bind: '127.0.0.1' is not host:port"),
        ("127.0.0.1:2", "127.0.0.1:70000", "s.toml:8: endpoints.state: '127.0.0.1:70000' is"),
        (
            "lease_s = 16.0",
            'lease_s = "x"',
            "s.toml:10: cluster.workers.lease_s: expected float, found 'x'",
        ),
        ("lease_s = 16.0\n", "", "s.toml:9: cluster.workers.lease_s: missing"),
        (
            "cancel_s = 41.0",
            "cancel_s = 4.0",
            "s.toml:11: cluster.workers.cancel_s: must be over",
        ),
        ("cpus_max = 8.0", "cpus_max = -1.0", "s.toml:14: cluster.teams[0].cpus_max: must not be"),
        (
            "[[cluster.teams]]",
            "[cluster.quota]\nsockets = 8\n[[cluster.teams]]",
            "s.toml:13: cluster.quota.sockets: must be over 31, is 8",
        ),
        ("[endpoints]", "[endpoints", "s.toml:6: not TOML"),
    ],
)
def test_wrong_settings_name_line_field_and_what_was_found(
    old: str, new: str, said: str, tmp_path: Path
) -> None:
    """An error is one line with the file, the line and the field, not a traceback."""
    path = tmp_path / "s.toml"
    path.write_text(GOOD.replace(old, new))
    for words in (["--config", str(path), "--check"], ["serve", "--config", str(path)]):
        result = CliRunner().invoke(main, words)
        assert result.exit_code == 2
        assert said in result.output
        assert len(result.output.strip().splitlines()) == 1


def test_the_commands(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """`--config` alone must serve, as platforms call it, and wrong usage must start nothing."""
    path = tmp_path / "s.toml"
    path.write_text(GOOD)
    served: list[str] = []
    monkeypatch.setattr("chalkgrade.serving.daemon.run", lambda s: served.append(s.member))
    run = CliRunner().invoke
    for words in (["--config", str(path), "--check"], ["check", "--config", str(path)]):
        result = run(main, words)
        assert result.exit_code == 0 and "settings are good" in result.output
    assert "0.1.0" in run(main, ["--version"]).output
    for words in ([], ["serve"], ["--config", str(path), "check", "--config", str(path)]):
        assert run(main, words).exit_code == 2
    assert run(main, ["--config", str(path)], env={"LOG_LEVEL": "loud"}).exit_code == 2
    assert not served
    for words in (["--config", str(path)], ["serve", "--config", str(path)]):
        assert run(main, words).exit_code == 0
    assert served == ["n-0", "n-0"]


def test_an_experiment_prints_its_figures(monkeypatch: pytest.MonkeyPatch) -> None:
    """Both output formats must have all figures, also nested ones."""
    monkeypatch.setattr(licences, "run", lambda seed: {"seats": 3, "off": {"done": seed}})
    result = CliRunner().invoke(main, ["experiment", "licences", "--seed", "7", "--json"])
    assert msgspec.json.decode(result.output) == {"seats": 3, "off": {"done": 7}}
    result = CliRunner().invoke(main, ["experiment", "licences"])
    assert result.output == "seats: 3\noff.done: 1\n"


def test_json_lines_have_the_fields_of_a_decision() -> None:
    """A JSON log line without its fields could not be found by job or machine."""
    record = logging.LogRecord("chalkgrade.x", logging.INFO, "f", 1, "%s ends", ("run-1/0",), None)
    for name, value in decision_fields(7, "run-1", "host-2", "run-1/0#3").items():
        setattr(record, name, value)
    line = msgspec.json.decode(make_formatter("json").format(record))
    assert line["message"] == "run-1/0 ends" and line["level"] == "INFO"
    fields = {name: line[name] for name in ("term", "job", "machine", "attempt")}
    assert fields == {"term": 7, "job": "run-1", "machine": "host-2", "attempt": "run-1/0#3"}
    assert make_formatter("plain").format(record).endswith("INFO chalkgrade.x run-1/0 ends")


XML = (
    '<chalkgrade><nmin>4</nmin><burst team="red" class="c" cpu_seconds="10" '
    'period_s="60" deadline_s="20"/></chalkgrade>'
)


def test_operator_settings() -> None:
    """Values of the operators' XML must reach the settings."""
    operator = parse_operator_settings(XML.encode(), {"red"})
    assert operator.nmin == 4
    assert operator.bursts[0].deadline_s == 20.0


@pytest.mark.parametrize(
    ("old", "new", "named"),
    [
        ("<nmin>4</nmin>", "<nmin>0</nmin>", "nmin: must be 1 to 1000, is 0"),
        ("<nmin>4</nmin>", "<nmin>2.5</nmin>", "nmin"),
        ("<nmin>4</nmin>", "<nmin>4</nmin><nmin>4</nmin>", "twice"),
        ("<nmin>4</nmin>", "<log_format>loud</log_format>", "log_format: 'loud' is not one of"),
        ("<nmin>4</nmin>", "<other/>", "other"),
        ('team="red"', 'team="blue"', "team"),
        ('period_s="60"', 'period_s="soon"', "period_s"),
        ('period_s="60"', "", "period_s"),
        ("<chalkgrade>", "<chalk>", "not XML"),
        ("<chalkgrade>", '<!DOCTYPE x [<!ENTITY e "e">]><chalkgrade>', "entities"),
    ],
)
def test_wrong_operator_settings_name_the_field(old: str, new: str, named: str) -> None:
    """An invalid element must be refused with its field and its line."""
    with pytest.raises(SettingsError, match=named) as found:
        parse_operator_settings(XML.replace(old, new).encode(), {"red"})
    assert found.value.line == 1 or "entities" in named


def body(**changes: Any) -> bytes:
    """A submission with changed fields; the value "absent" leaves a field out."""
    world = World(VirtualLoop(), 1)
    world.loop.close()
    spec = world.spec(1) | {"jobclass": "small", "shape": "batch"} | changes
    return msgspec.json.encode({k: v for k, v in spec.items() if v != "absent"})


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"{",
        b"[]",
        b"null",
        b'"x"',
        b"\xff\xfe",
        body(tasks=0),
        body(tasks=100_001),
        body(tasks=1.5),
        body(tasks="3"),
        body(vcpus=-1),
        body(shape="other"),
        body(urgency=None),
        body(nameId="x/../y-1"),
        body(nameId="absent"),
        body(dueS=-1),
        body(hosttypes="small"),
        body(bundle="x" * 20_000),
    ],
)
def test_malformed_submissions(data: bytes) -> None:
    """Each malformed submission must be refused, not fail in the controller."""
    with pytest.raises(SubmissionError):
        parse_submission(data, 16 * 1024)


def test_nullable_fields_may_be_omitted_and_unknown_ones_are_ignored() -> None:
    """Clients may leave out nullable fields, and newer ones may send further fields."""
    data = body(hosttypes="absent", site="absent", dueS="absent", novelty=[1])
    assert parse_submission(data, 16 * 1024).dueS is None


def _ask(requests: list[tuple[str, str, bytes]], prepare: Any = None) -> list[int]:
    """The status codes that a started cluster answers to the requests.

    `prepare` may disturb the simulated world before them.
    """
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    world = World(loop, 5)
    world.loss = 0.0

    async def run() -> list[int]:
        for member in world.nodes:
            world.boot(member)
        await asyncio.sleep(5.0)
        if prepare is not None:
            prepare(world)
            await asyncio.sleep(6.0)
        node = world.nodes["n-1"]
        assert node is not None
        return [(await node.handle(*request))[0] for request in requests]

    try:
        return loop.run_until_complete(run())
    finally:
        close(world)


def test_statuses() -> None:
    """Clients decide by the status code whether to retry, so each case needs the right one."""
    fits = body(nameId="run-7", owner="red", vcpus=1.0, memoryGb=1.0, hosttypes=None, site=None)
    assert _ask(
        [
            ("POST", "/v2/runs", b"{"),
            ("POST", "/v2/runs", body(owner="green")),
            ("POST", "/v2/runs", body(vcpus=900.0, owner="blue")),
            ("POST", "/v2/runs", body(vcpus=21.0, owner="red", hosttypes=None)),
            ("POST", "/v2/runs", fits),
            ("POST", "/v2/runs", fits),
            ("GET", "/v2/runs/run-7", b""),
            ("GET", "/v2/runs/run-8", b""),
            ("GET", "/v2/runs/..%2f", b""),
            ("POST", "/v2/runs/run-8/abort", b""),
            ("POST", "/v2/runs/run-7/abort", b""),
            ("POST", "/hello", b"{}"),
            ("DELETE", "/v2/runs/run-7", b""),
            ("GET", "/up", b""),
        ]
    ) == [400, 422, 422, 422, 201, 200, 200, 404, 404, 404, 200, 400, 405, 200]


def test_without_state_nothing_is_decided() -> None:
    """In an outage of the state service, requests that need a read get 503.

    A 404 or an outdated answer would make a user give up a job that exists.
    """
    fits = body(nameId="run-7", owner="red", vcpus=1.0, memoryGb=1.0, hosttypes=None, site=None)
    assert _ask(
        [
            ("POST", "/v2/runs", fits),
            ("GET", "/v2/runs/run-7", b""),
            ("POST", "/v2/runs/run-7/abort", b""),
            ("GET", "/up", b""),
        ],
        lambda world: world.store.outage(60.0),
    ) == [503, 503, 503, 200]
