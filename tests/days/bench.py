"""Generates overload days for the users' bench: one for each class of a site, with failures.

    python3 tests/days/bench.py SITE.toml --out DIR [--factor 8]

Writes DIR/CLASS.toml for each class of the site file, to be played by the bench's
`run SITE DIR/CLASS.toml`. All names come from the site file.
"""

import argparse
import tomllib
from pathlib import Path

DAY = """name = "{name} floods"
slot = "scale"
light = false
seed = {seed}
faults = [
  {{ at_s = 80.0, kind = "job_burst", class = "{name}", factor = {factor}, for_s = 120.0 }},
  {{ at_s = 100.0, kind = "node_crash", count = {nodes}, busiest = true }},
  {{ at_s = 101.0, kind = "machine_die", count = {machines} }},
  {{ at_s = 103.0, kind = "node_crash", count = 1, busiest = true }},
  {{ at_s = 106.0, kind = "node_crash", count = {nodes}, busiest = true }},
  {{ at_s = 160.0, kind = "state_outage", for_s = 10.0 }},
  {{ at_s = 168.0, kind = "node_crash", count = {nodes}, busiest = true }},
  {{ at_s = 200.0, kind = "machine_cut", count = {machines}, for_s = 30.0, mode = "hold" }},
]
"""


def main() -> None:
    """Write the day files and print their paths."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("site", type=Path)
    parser.add_argument("--out", type=Path, required=True)
    parser.add_argument("--factor", type=float, default=8.0)
    args = parser.parse_args()
    site = tomllib.loads(args.site.read_text())
    machines = sum(row.get("count", 0) + row.get("spot", 0) for row in site["capacity"])
    args.out.mkdir(parents=True, exist_ok=True)
    for number, job in enumerate(site["jobs"]):
        day = DAY.format(
            name=job["name"],
            seed=700 + number,
            factor=args.factor,
            nodes=site["nodes"]["count"],
            machines=max(1, machines // 10),
        )
        target = args.out / f"{job['name']}.toml"
        target.write_text(day)
        print(target)


if __name__ == "__main__":
    main()
