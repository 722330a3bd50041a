"""What CI passes over: just the listed tests, and it says so."""

import subprocess
import sys
from pathlib import Path

import pytest

SCRIPT = Path(__file__).parent.parent / ".ci" / "known_red.py"
# `test_red` must not hide `test_redder` from CI, though its name begins the same.
TESTS = """
import pytest

def test_good():
    pass

def test_red():
    assert {red}

@pytest.mark.parametrize("number", [1, 2])
def test_redder(number):
    assert {redder} or number == 1
"""
RED = "test_one.py::test_red; late copies are believed; 37\n"


def _run(where: Path, listed: str | None, red: bool, redder: bool = True) -> tuple[int, str]:
    (where / "test_one.py").write_text(TESTS.format(red=red, redder=redder))
    if listed is not None:
        (where / "KNOWN-RED.txt").write_text(listed)
    command = [sys.executable, str(SCRIPT), "-q", "-p", "no:cacheprovider"]
    found = subprocess.run(command, cwd=where, capture_output=True, text=True, check=False)
    return found.returncode, found.stdout + found.stderr


@pytest.mark.parametrize("listed", [None, "", "\n"])
def test_an_empty_list_passes_over_nothing(listed: str | None, tmp_path: Path) -> None:
    assert _run(tmp_path, listed, red=True)[0] == 0
    code, told = _run(tmp_path, listed, red=False)
    assert code == 1 and "test_red" in told


def test_a_listed_test_may_fail_and_is_told(tmp_path: Path) -> None:
    code, told = _run(tmp_path, RED, red=False)
    assert code == 0
    assert "known red: test_one.py::test_red: fails, as listed (issue 37: late copies" in told


def test_a_listed_test_that_passes_is_to_be_taken_off(tmp_path: Path) -> None:
    code, told = _run(tmp_path, RED, red=True)
    assert code == 0 and "test_red: PASSES, take it off the list" in told


def test_no_other_test_is_passed_over(tmp_path: Path) -> None:
    code, told = _run(tmp_path, RED, red=False, redder=False)
    assert code == 1 and "1 failed" in told


@pytest.mark.parametrize(
    ("listed", "wrong"),
    [
        ("test_one.py::test_gone; why; 37", "KNOWN-RED.txt: test_one.py::test_gone is no test"),
        ("test_one.py; why; 37", "KNOWN-RED.txt: test_one.py is no test"),
        ("test_one.py::test_redder; why; 37", "test_one.py::test_redder is no test"),
        ("test_one.py::test_red; why", "KNOWN-RED.txt:1: needs `test; cause; issue`"),
        ("test_one.py::test_red; ; 37", "KNOWN-RED.txt:1: needs `test; cause; issue`"),
        ("test_one.py::test_red; why; soon", "KNOWN-RED.txt:1: 'soon' is no issue's number"),
        (RED + RED, "KNOWN-RED.txt:2: test_one.py::test_red is listed twice"),
        ("a; b; 1\nb; b; 1\nc; b; 1\nd; b; 1", "KNOWN-RED.txt:4: at most 3 tests may be listed"),
    ],
)
def test_a_wrong_list_fails_with_one_plain_line(listed: str, wrong: str, tmp_path: Path) -> None:
    code, told = _run(tmp_path, listed, red=True)
    assert code == 2 and wrong in told and told.count("\n") == 1
