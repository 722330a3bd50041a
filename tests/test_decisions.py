"""A simulated day is determined by its seed, so that a failure on a seed can be reproduced.

Without that, a failure that does not recur on its seed can't be attributed to the day or the code:
`experiment meetings` broke idle_room on seed 46, but not on later runs of that seed. The tests
compare all that controllers log, including each placement with its virtual time, between two
processes with different hash seeds, which iterate over sets in different orders.
"""

import os
import subprocess
import sys
from pathlib import Path

import pytest

SCRIPT = Path(__file__).parent / "days" / "decisions.py"
MIN_LINES = 500  # with fewer decisions, equal digests would prove little


def _play_in_process(seed: int, hash_seed: str) -> str:
    """Play a day in a new process; return the number of log lines and their digest."""
    env = os.environ | {"PYTHONHASHSEED": hash_seed}
    words = [sys.executable, str(SCRIPT), str(seed)]
    done = subprocess.run(words, env=env, capture_output=True, text=True, check=True)
    return done.stdout


@pytest.mark.parametrize("seed", [3, 5])
def test_two_processes_decide_the_same_on_the_same_day(seed: int) -> None:
    """Guards against decisions that depend on the order of sets, the clock or the process."""
    one, other = (_play_in_process(seed, hash_seed) for hash_seed in ("1", "2"))
    assert one == other
    assert int(one.split()[0]) > MIN_LINES


def test_another_day_is_another_line() -> None:
    """Different seeds give different digests, so that the comparison above can fail."""
    assert _play_in_process(5, "1") != _play_in_process(3, "1")
