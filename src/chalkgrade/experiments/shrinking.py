"""A day that broke a rule, made smaller: faults, classes and pipelines that it does not need go."""

from collections.abc import Callable
from typing import Any

import msgspec

from chalkgrade.region.day import Day
from chalkgrade.region.fleet import play_day

PLAYS = 60  # at most: a day takes some seconds
LISTS = ("faults", "pipes", "classes")


def breaks(day: Day, seed: int) -> str:
    """The rule that a day breaks, or nothing."""
    return play_day(day, seed)[1].partition(":")[0]


def shrink(
    day: Day, seed: int, broken: Callable[[Day, int], str] = breaks, plays: int = PLAYS
) -> Day:
    """The smallest day met that breaks the same rule, by leaving things out one at a time."""
    rule = broken(day, seed)
    if not rule:
        raise ValueError("the day breaks no rule")
    left = plays
    again = True
    while again and left > 0:
        again = False
        for field in LISTS:
            for row in list(getattr(day, field)):
                rows = [one for one in getattr(day, field) if one is not row]
                if left <= 0 or (field == "classes" and not _kept(day, row, rows)):
                    continue
                left -= 1
                smaller = msgspec.structs.replace(day, **{field: rows})
                if broken(smaller, seed) == rule:
                    day, again = smaller, True
    return day


def _kept(day: Day, row: Any, rows: list[Any]) -> bool:
    """Whether a class may go: one is left, and no pipeline names it."""
    named = {stage.name for pipe in day.pipes for stage in pipe.stages}
    return bool(rows) and row.name not in named


def text(day: Day) -> str:
    """A day as a file that `run.py play` reads; what is as usual is left out."""
    lines: list[str] = []
    tables: list[str] = []
    _table(day, "", lines, tables)
    return "\n".join([*lines, *tables]) + "\n"


def _table(value: msgspec.Struct, name: str, lines: list[str], tables: list[str]) -> None:
    """One struct's plain fields into `lines`, its structs and lists of them into `tables`."""
    for field in msgspec.structs.fields(value):
        found = getattr(value, field.name)
        where = f"{name}.{field.name}".lstrip(".")
        if found is None or found == field.default:
            continue
        if isinstance(found, msgspec.Struct):
            inner: list[str] = []
            more: list[str] = []
            _table(found, where, inner, more)
            tables += ["", f"[{where}]", *inner, *more]
        elif isinstance(found, list) and found and isinstance(found[0], msgspec.Struct):
            for row in found:
                inner, more = [], []
                _table(row, where, inner, more)
                tables += ["", f"[[{where}]]", *inner, *more]
        else:
            lines.append(f"{field.name} = {_plain(found)}")


def _plain(value: Any) -> str:
    return msgspec.json.encode(value).decode()
