"""What counts against a team's limit while machines can't be asked, and cancellations then.

Judged by where tasks are (workers), what users are told, and when the state service wrote the
leader key; the program is never asked.
"""

import asyncio
from collections.abc import Callable, Iterable, Sequence
from typing import Any

import pytest

from chalkgrade.machines.fleet import Fleet, Machine
from chalkgrade.machines.hearing import Hearing
from chalkgrade.membership.fitness import CLOUD
from chalkgrade.record.jobs import Job
from chalkgrade.region.rules import Broken
from chalkgrade.region.world import World, tell
from chalkgrade.serving.node import Node
from chalkgrade.sharing.gates import Maxima
from chalkgrade.state.leadership import LEADER_KEY
from chalkgrade.vectors import minus
from test_gap import _asks, _long
from test_membership import _leader, _until

Patch = pytest.MonkeyPatch
LIMIT = 8.0  # CPUs; every team's
AWAY_S = 45.0  # s; how long machines can't be asked: longer than `cancel_s`, and than three changes


class Limited(World):
    """Every team has a limit, and the machines have room for more."""

    TEAMS = (
        {"name": "red", "cpus": 4, "cpus_max": LIMIT},
        {"name": "blue", "cpus": 0, "cpus_max": LIMIT},
        {"name": "green", "cpus": 0, "cpus_max": 0},  # the only one without
    )
    ROOMS = {("small", site, True): 24 for site in ("a", "b")}

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.store.written[LEADER_KEY] = []
        for site in self.ZONES:
            self.cloud.there(("small", site, True), 8)  # what is measured is no boot


def _work(number: int, owner: str, **changes: Any) -> dict[str, Any]:
    return _long(number, 4) | {"owner": owner, "expectedS": 900.0} | changes


class Spell:
    """One time of trouble, as it was seen from outside."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.names: dict[str, str] = {}  # team -> the job that is cancelled
        self.chosen: list[str] = []  # machines that can't be asked
        self.begun = 0.0
        self.there = 0  # tasks of cancelled jobs on these machines, when users were told
        self.gone_at: dict[str, float] = {}  # team -> when the last cancelled task was gone
        self.used_at: dict[str, float] = {}  # team -> when its limit was used in full again
        self.told_at = 0.0
        self.heard_of: list[str] = []  # of these machines, who has obeyed the last leader

    def at_limit(self, owner: str) -> bool:
        return self.world._used.get(owner, 0.0) > LIMIT - 0.5

    async def fill(self, **changes: Any) -> None:
        """Every team at its limit: a job that will be cancelled, one that goes on, one behind."""
        world = self.world
        world.spawn(self._others())
        number = 0
        for owner in ("red", "blue"):
            for tasks in (4, 4, 12):
                number += 1
                spec = _work(number, owner, tasks=tasks, **changes)
                world.spawn(world.user(spec, None))
                self.names.setdefault(owner, spec["nameId"])
                if tasks == 4:
                    await _until(world, 120.0, lambda s=spec: len(world.of_job(s["nameId"])) == 4)
        assert all(self.at_limit(owner) for owner in self.names)
        await asyncio.sleep(4.0)  # the others have asked for room by then, and got none
        assert all(world._used[owner] <= LIMIT for owner in self.names)

    async def _others(self) -> None:
        """Small jobs of a team without a limit: they keep machines there that have room."""
        number = 100
        while True:
            for _ in range(8):
                number += 1
                spec = _work(number, "green", tasks=1, vcpus=4.0, expectedS=1.0, jobclass="brief")
                self.world.spawn(self.world.user(spec, None))
            await asyncio.sleep(6.0)

    def trouble(self, kind: str, seconds: float) -> None:
        """The machines of the jobs that will be cancelled can't be asked any more."""
        world = self.world
        self.chosen = sorted(
            {worker.name for name in self.names.values() for worker, _ in world.of_job(name)}
        )
        self.begun = world.now
        away = set(self.chosen)
        if kind == "deaf":
            world.deafen(away, seconds)
        elif kind == "hang":
            for name in away:
                world.loop.freeze(name, world.now + seconds)
        elif kind == "mute":  # nothing that they say arrives, what is said to them does
            world.mute(away, seconds)
        else:
            world.cut(away, {*world.members, "users"}, seconds, kind == "held")

    async def cancel(self) -> None:
        """Users cancel at all controllers at once, until each is told."""
        world = self.world
        await asyncio.gather(*(self._cancel(name) for name in self.names.values()))
        self.there = sum(len(world.of_job(name)) for name in self.names.values())
        self.told_at = world.now

    def chosen_obey(self) -> list[str]:
        """Which of the machines have ever obeyed who leads now."""
        world = self.world
        row = world.store.keys.get(LEADER_KEY)
        obeyed = world.obeyed.get(row[1], {}) if row else {}
        return [name for name in self.chosen if name in obeyed]

    async def _cancel(self, name: str) -> None:
        world = self.world
        asked = [world.spawn(_asks(world, member, name)) for member in world.members]
        while world.jobs[name]["over"] is None and world.failure is None:
            await asyncio.sleep(0.01)
        for task in asked:
            task.cancel()

    async def watch(self, seconds: float) -> None:
        """Until every limit is used in full again, or that long."""
        world, end = self.world, self.world.now + seconds
        while len(self.used_at) < len(self.names) and world.now < end:
            if world.failure is not None:
                raise world.failure
            for owner, name in self.names.items():
                if owner not in self.gone_at and not world.of_job(name):
                    self.gone_at[owner] = world.now
                if owner in self.gone_at and owner not in self.used_at and self.at_limit(owner):
                    self.used_at[owner] = world.now
            await asyncio.sleep(0.05)

    def changes(self) -> int:
        """How often the lead went to another term since the trouble began."""
        return sum(at >= self.begun for at in self.world.store.written[LEADER_KEY])


async def _hand(world: World, node: Node) -> bool:
    return bool(await world.within(node.settings.member, node.handover.transfer_lead(CLOUD)))


async def _change(world: World, how: str) -> None:
    """The lead passes on, planned or not; the old leader may come back, and may not hear of it."""
    await _until(world, 30.0, lambda: _leader(world))
    node = _leader(world)
    assert node is not None and node.term is not None
    member, token = node.settings.member, node.leadership.token
    if how == "given":
        assert await _hand(world, node)
    elif how == "ended":
        world.crash(member)
        world.loop.call_later(2.0, world.boot, member)
    elif how == "back":
        await world.restart(member, 0.2)
    else:  # refused, with its workers
        world.store.refused[member] = world.now + 12.0

    def passed() -> bool:
        now = _leader(world)
        return now is not None and now.leadership.token > token

    await _until(world, 30.0, passed)


async def _spell(
    world: World,
    kind: str,
    how: Sequence[str],
    when: int,
    before_s: float = 0.5,
    away_s: float = AWAY_S,
    cloud: bool = True,
) -> Spell:
    """The meeting; `when`: users cancel during this change of leader, or after the last.

    `cloud`: whether machines can be returned meanwhile.
    """
    spell = Spell(world)
    await spell.fill()
    if not cloud:
        world.cut(set(world.members), {"cloud"}, away_s + 30.0, False)
    spell.trouble(kind, away_s)
    await asyncio.sleep(before_s)
    for number, change in enumerate(how):
        if number == when:
            await asyncio.gather(spell.cancel(), _change(world, change))
        else:
            await _change(world, change)
    if how:
        spell.heard_of = spell.chosen_obey()
    if not spell.told_at:
        await spell.cancel()
    await spell.watch(90.0)
    return spell


def _play(seed: int, kind: str, how: Sequence[str], when: int = 0, **more: Any) -> Spell:
    found: list[Spell] = []

    async def story(world: World) -> None:
        found.append(await _spell(world, kind, how, when, **more))

    tell(story, seed, loss=0.0, kind=Limited)
    return found[0]


KINDS = ["cut", "held", "mute", "deaf", "hang"]
CHANGES: list[tuple[str, ...]] = [(), ("back",), ("given", "ended", "back"), ("refused",)]
PROVED_S = 15.0  # s; from the last cancelled task's end until its room is used again


@pytest.mark.parametrize("how", CHANGES, ids=lambda how: "-".join(how) or "no change")
@pytest.mark.parametrize("kind", KINDS)
def test_a_limit_holds_while_machines_cant_be_asked_and_is_used_again(
    kind: str, how: tuple[str, ...]
) -> None:
    """All teams at their limits, machines away, jobs cancelled, the leader changed 0, 1, 3 times.

    The rules are held against each start. Guards against a new leader that counts only what it
    has heard of, and against room that stays counted long after the tasks are gone: with
    machines that hear nothing it did: for a median of 27 to 30 s, 33 at most, in 24 spells.
    """
    spell = _play(len(how) + KINDS.index(kind), kind, how)
    world = spell.world
    assert spell.changes() == len(how)
    assert spell.there == 8, "the cancelled tasks were there when their users were told"
    if how:
        assert not spell.heard_of, "their machines had not obeyed the new leader"
    assert world.gone_most < world.CANCEL_S
    assert spell.used_at.keys() == spell.names.keys()
    late = {owner: at - spell.gone_at[owner] for owner, at in spell.used_at.items()}
    assert max(late.values()) < PROVED_S, late


@pytest.mark.parametrize("how", [(), ("back",), ("refused", "ended", "back")], ids=len)
@pytest.mark.parametrize("kind", ["mute", "cut", "hang"])
def test_where_no_machine_can_be_returned_a_limit_waits_for_a_proof(
    kind: str, how: tuple[str, ...]
) -> None:
    """The cloud is away, too: the own lease proves it, or under a new leader the machine itself.

    Mute machines end cancelled tasks by their own lease, far within `cancel_s`.
    """
    spell = _play(7, kind, how, cloud=False)
    world = spell.world
    assert spell.there == 8 and spell.changes() == len(how)
    assert world.gone_most < world.LEASE_S + 1.0
    back_at = spell.begun + AWAY_S
    for at in spell.used_at.values():
        if how:  # an earlier leader may keep them: nobody has surely let them go
            assert back_at < at < back_at + PROVED_S
        else:
            assert at < spell.begun + world.LEASE_S + PROVED_S
    assert len(spell.used_at) == 2


def _counts_what_it_heard_of(patch: Patch) -> None:
    """Attempts on machines that have not reported them to this leader do not count."""
    plain = Maxima.begin

    def begin(self: Maxima, jobs: Iterable[Job], now: float) -> None:
        every = list(jobs)
        plain(self, every, now)
        for job in every:
            for attempt in job.live.values():
                if not attempt.state and not attempt.decided:
                    left = minus(self.used[job.spec.owner], job.spec.room)
                    self.used[job.spec.owner] = left

    patch.setattr(Maxima, "begin", begin)


def _counts_no_cancelled(patch: Patch) -> None:
    plain = Maxima.begin

    def begin(self: Maxima, jobs: Iterable[Job], now: float) -> None:
        plain(self, [job for job in jobs if not job.cancelled], now)

    patch.setattr(Maxima, "begin", begin)


def _over_once_cancelled(patch: Patch) -> None:
    """The end is written while attempts may be there, and they are forgotten with the job."""
    patch.setattr(Job, "over", property(lambda self: self.aborted or self.complete))


def _gone_when_silent(patch: Patch) -> None:
    def lapsed(self: Fleet, machine: Machine) -> bool:
        last = machine.reported_at if machine.reported_at is not None else machine.known_at
        return self._clock.now() - last > 3.0

    patch.setattr(Fleet, "lapsed", lapsed)
    patch.setattr(Fleet, "expired", lapsed)


@pytest.mark.parametrize("how", [("back",), ("given", "ended", "back")], ids=len)
@pytest.mark.parametrize("kind", ["cut", "hang", "deaf"])
@pytest.mark.parametrize(
    "bug", [_counts_what_it_heard_of, _counts_no_cancelled, _over_once_cancelled]
)
def test_bugs_in_what_counts_break_the_limit(
    bug: Callable[[Patch], None], kind: str, how: tuple[str, ...], monkeypatch: Patch
) -> None:
    bug(monkeypatch)
    with pytest.raises(Broken, match="quota"):
        _play(1, kind, how)


@pytest.mark.parametrize("kind", ["cut", "hang", "mute"])
def test_a_silent_machine_taken_for_empty_breaks_the_limit(kind: str, monkeypatch: Patch) -> None:
    _gone_when_silent(monkeypatch)
    with pytest.raises(Broken, match="quota"):
        _play(1, kind, ())


def test_room_that_stays_counted_on_deaf_machines_is_found(monkeypatch: Patch) -> None:
    """What was so before: only silence was a reason to return a machine with cancelled work."""
    monkeypatch.setattr(Hearing, "deaf", property(lambda self: False))
    spell = _play(1, "deaf", ("back",))
    assert all(at - spell.gone_at[owner] > PROVED_S for owner, at in spell.used_at.items())
