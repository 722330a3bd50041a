"""All that one drawn day's controllers decided, as one line: how many log lines, and their digest.

    PYTHONHASHSEED=1 python3 tests/days/decisions.py SEED [--lines FILE]

Two runs that print the same line decided the same at the same times. With `--lines` the lines are
kept, to find the first in which two runs differ.
"""

import argparse
import asyncio
import hashlib
import logging
import sys
from pathlib import Path

ROOT = Path(__file__).parents[2]
sys.path[:0] = [str(ROOT / "src")]

from chalkgrade.experiments import meetings  # noqa: E402


class Digest(logging.Handler):
    """Counts and digests what is logged, each line with its virtual time."""

    def __init__(self, lines: Path | None) -> None:
        super().__init__()
        self.count = 0
        self.digest = hashlib.sha256()
        self._file = lines.open("w") if lines is not None else None

    def emit(self, record: logging.LogRecord) -> None:
        """One decision."""
        now = asyncio.get_event_loop().time()
        line = f"{now:.6f} {record.name} {record.getMessage()}\n"
        self.count += 1
        self.digest.update(line.encode())
        if self._file is not None:
            self._file.write(line)


def main() -> None:
    """Play the day of `experiment meetings` with that seed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("seed", type=int)
    parser.add_argument("--lines", type=Path)
    asked = parser.parse_args()
    handler = Digest(asked.lines)
    logger = logging.getLogger("chalkgrade")
    logger.handlers, logger.propagate = [handler], False
    logger.setLevel(logging.DEBUG)
    figures = meetings.play(asked.seed)
    print(handler.count, handler.digest.hexdigest(), figures["jobs"], figures["broken"])


if __name__ == "__main__":
    main()
