"""Days from files: what they play, what they say, and that their verdicts bite."""

from pathlib import Path

import pytest
from click.testing import CliRunner

from chalkgrade.cli import main
from chalkgrade.region import day as days
from chalkgrade.region.fleet import figures, play_day
from chalkgrade.sharing import constraints

EXAMPLE = Path(__file__).parent.parent / "examples" / "first-day.toml"


def test_the_first_example_is_served_and_repeats_bit_for_bit() -> None:
    day = days.read(EXAMPLE)
    told = figures(*play_day(day, 1))
    assert told["verdict"] == "ok"
    assert told["leaders"] >= 3 and told["machines_rented"] >= 40
    assert told == figures(*play_day(day, 1))
    assert told != figures(*play_day(day, 2))


def test_a_class_that_is_starved_fails_the_day_without_a_broken_rule(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    plain = constraints.TeamLimits.max_starts

    def most(self: constraints.TeamLimits, job: constraints.Job, count: int) -> int:
        return 0 if job.spec.jobclass == "quote" else plain(self, job, count)

    monkeypatch.setattr(constraints.TeamLimits, "max_starts", most)
    day = days.read(EXAMPLE)
    day.seconds, day.calm_s, day.faults = 30.0, 30.0, []
    told = figures(*play_day(day, 1))
    assert told["broken"] == 0 and "class quote 0.00" in told["verdict"]


def test_a_team_that_is_starved_fails_the_day(monkeypatch: pytest.MonkeyPatch) -> None:
    """Every class is served through the other team."""
    plain = constraints.TeamLimits.max_starts

    def most(self: constraints.TeamLimits, job: constraints.Job, count: int) -> int:
        return 0 if job.spec.owner == "nightly" else plain(self, job, count)

    monkeypatch.setattr(constraints.TeamLimits, "max_starts", most)
    day = days.read(EXAMPLE)
    day.seconds, day.calm_s, day.faults = 60.0, 60.0, []
    told = figures(*play_day(day, 2))
    assert "team nightly" in told["verdict"] and "class" not in told["verdict"]


@pytest.mark.parametrize(
    ("text", "said"),
    [
        ("seconds = 1", "kinds: missing"),
        ("speed = 3", "speed: unknown"),
        ("seconds = 'long'", "seconds: expected `float`, found 'long'"),
        ("[[faults]]\nat = 3.0\nkind = 'cut'", "faults[0].one: a cut needs two sides"),
        ("[[faults]]\nat = 3.0\nkind = 'stop'\nzone = 'x'", "faults[0].zone: 'x' is not one of"),
        ("[[faults]]\nat = 3.0\nkind = 'flood'", "faults[0].kind: invalid enum value 'flood'"),
        ("[[faults]]\nat = 3.0\nkind = 'crash'\nseconds = 0.01", "faults[0].seconds: must be 0.05"),
        ("[[faults]]\nat = -1.0\nkind = 'crash'", "faults[0].at: must be 0 or more"),
        ("[[faults]]\nat = 3.0\nkind = 'flap'\nevery = 0.0", "faults[0].every: must be 0.1 to 600"),
        ("[[faults]]\nat = 3.0\nkind = 'flap'\ntimes = 0", "faults[0].times: must be 1 or more"),
        ("[[faults]]\nat = 3.0\nkind = 'flap'\ntimes = 9999", "faults[0].times: must be at most"),
        ("[[rooms]]\nkind = 'small'\nzone = 'north'\ncount = 20000", "rooms: at most 10000"),
        ("seconds =", "not TOML"),
    ],
)
def test_a_day_that_cannot_be_played_is_one_plain_line(
    text: str, said: str, tmp_path: Path
) -> None:
    file = tmp_path / "day.toml"
    whole = EXAMPLE.read_text()
    if text.startswith("[["):
        text = whole.partition("[[faults]]")[0] + text
    elif text != "seconds = 1":
        text = text + "\n" + whole.replace("seconds = 120.0\n", "", 1)
    file.write_text(text)
    result = CliRunner().invoke(main, ["play", str(file)])
    assert result.exit_code == 2
    assert len(result.output.strip().splitlines()) == 1
    assert str(file) in result.output and said.replace("`", "") in result.output
    missing = CliRunner().invoke(main, ["play", str(tmp_path / "none.toml")])
    assert missing.exit_code == 2 and "No such file" in missing.output


FAULT = "[[faults]]\nat = 3.0\nkind = "


@pytest.mark.parametrize(
    ("section", "said"),
    [
        (FAULT + "'cancel_now'\nhang_s = -1.0", "faults[0].hang_s: must be 0 to 3600, is -1"),
        (FAULT + "'cancel_now'\nhang_s = 'long'", "faults[0].hang_s: expected `float`"),
        (FAULT + "'cancel_now'\ncount = 0", "faults[0].count: must be 1 or more, is 0"),
        (FAULT + "'hang'\nhang_s = 3.0", "faults[0].hang_s: only cancel_now may have it, not hang"),
        (FAULT + "'copies'\nat_once = true", "faults[0].at_once: only late_writes may have it"),
        (FAULT + "'late_writes'\nfor_next = true", "faults[0].for_next: only copies may have it"),
        (FAULT + "'copies'\nfor_next = 'yes'", "faults[0].for_next: expected `bool`"),
        (FAULT + "'cancel_at_end'\nshare = 1.5", "faults[0].share: must be over 0 and at most 1"),
        (FAULT + "'mute'\nzone = 'x'", "faults[0].zone: 'x' is not one of"),
        (FAULT + "'close_looks'\nseconds = 0.0", "faults[0].seconds: must be 0.05 or more"),
        (FAULT + "'odd_requests'\nwhat = 1", "faults[0].what: unknown"),
        (FAULT + "'quick_boot'", "faults[0].kind: invalid enum value 'quick_boot'"),
    ],
)
def test_wrong_troubles_are_one_plain_line(section: str, said: str, tmp_path: Path) -> None:
    file = tmp_path / "day.toml"
    file.write_text(EXAMPLE.read_text().partition("[[faults]]")[0] + section)
    result = CliRunner().invoke(main, ["play", str(file)])
    assert result.exit_code == 2
    assert len(result.output.strip().splitlines()) == 1
    assert said.replace("`", "") in result.output
