"""Plays the days of test_halves.py on many seeds; shows what each class got and what was rented.

    python3 tests/days/sweep.py --days sixfold_nightly,sixfold_desk --seeds 1-40 --jobs 4

Prints a JSON object per run, in the order in which runs end. All machines are simulated, and time
is virtual.
"""

import argparse
import json
import logging
import sys
from concurrent.futures import ProcessPoolExecutor, as_completed
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parents[2]
sys.path[:0] = [str(ROOT / "src"), str(ROOT / "tests")]

import test_halves  # noqa: E402


def days() -> dict[str, Any]:
    """Return all changes of the base day by the names that the tests show."""
    changes = [*test_halves.DAYS, *(change for change, _ in test_halves.LARGEST)]
    return {change.__name__.lstrip("_"): change for change in changes}


def play(name: str, seed: int) -> dict[str, Any]:
    """Return one run's figures.

    `least` is the smallest share served of a class or team, relative to what could be served.
    """
    logging.disable(logging.CRITICAL)
    world = test_halves._play(days()[name], seed)
    shares = []
    for by in ("jobclass", "owner"):
        could = world.could(by)
        shares += [share / could[key] for key, share in world.served(by).items()]
    begins = world.largest_start_delays().values()
    return {
        "day": name,
        "seed": seed,
        "unserved": world.unserved(),
        "least": round(min(shares), 3),
        "largest_begin_s": round(max(begins, default=0.0), 1),
        "rented": world.cloud.number,
    }


def _seeds(text: str) -> range:
    first, _, last = text.partition("-")
    return range(int(first), int(last or first) + 1)


def main() -> None:
    """Play the given days on the given seeds in parallel."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--days", required=True, help=f"of {', '.join(days())}")
    parser.add_argument("--seeds", type=_seeds, default=_seeds("1-40"), help="A or A-B")
    parser.add_argument("--jobs", type=int, default=4, help="runs at the same time")
    args = parser.parse_args()
    names = args.days.split(",")
    unknown = [name for name in names if name not in days()]
    if unknown:
        parser.error(f"no day {unknown[0]!r}; there are {', '.join(days())}")
    with ProcessPoolExecutor(args.jobs) as pool:
        runs = [pool.submit(play, name, seed) for name in names for seed in args.seeds]
        for run in as_completed(runs):
            print(json.dumps(run.result()), flush=True)


if __name__ == "__main__":
    main()
