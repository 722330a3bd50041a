"""A day is settled by its seed: what is found on one can be found again.

`experiment meetings` once broke idle_room on seed 46 and did not on later runs of that seed, and
nobody could tell whether the day or the code was another. All that controllers log, down to each
placement and with its virtual time, is compared; the processes differ in the order of their sets.
"""

import os
import subprocess
import sys
from pathlib import Path

import pytest

SCRIPT = Path(__file__).parent / "days" / "decisions.py"
LEAST_LINES = 500  # a day on which nearly nothing was decided would prove nothing


def _played(seed: int, hash_seed: str) -> str:
    env = os.environ | {"PYTHONHASHSEED": hash_seed}
    words = [sys.executable, str(SCRIPT), str(seed)]
    done = subprocess.run(words, env=env, capture_output=True, text=True, check=True)
    return done.stdout


@pytest.mark.parametrize("seed", [3, 5])
def test_two_processes_decide_the_same_on_the_same_day(seed: int) -> None:
    one, other = (_played(seed, hash_seed) for hash_seed in ("1", "2"))
    assert one == other
    assert int(one.split()[0]) > LEAST_LINES


def test_another_day_is_another_line() -> None:
    """Else the comparison above could not fail."""
    assert _played(5, "1") != _played(3, "1")
