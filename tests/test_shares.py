"""Admission and allocation by BoPF, with figures calculated by hand."""

import pytest

from chalkgrade import constants
from chalkgrade.settings import Team
from chalkgrade.sharing.bopf import (
    BurstDeclaration,
    QueueDemand,
    QueueKind,
    admit,
    allocate,
    drf,
    fair_shares,
    round_up_to_tasks,
)
from chalkgrade.vectors import ZERO

CAPACITY = (100.0, 0.0, 200.0)


def burst(cpu_s: float, period: float, deadline: float, memory_s: float = 0.0) -> BurstDeclaration:
    return BurstDeclaration((cpu_s, 0.0, memory_s), period, deadline)


def test_safety_bound_is_exact() -> None:
    """N = max(1 + 0, 3): d may be 100 * 30 / 3 = 1000 CPU-seconds, and no more."""
    assert admit({"a": burst(1000, 30, 20)}, CAPACITY, 3) == {"a": QueueKind.HARD}
    assert admit({"a": burst(1000.1, 30, 20)}, CAPACITY, 3) == {"a": QueueKind.ELASTIC}


def test_every_resource_counts_for_safety() -> None:
    """Memory: 200 * 30 / 3 = 2000 GB-seconds."""
    assert admit({"a": burst(10, 30, 20, 2001)}, CAPACITY, 3) == {"a": QueueKind.ELASTIC}


def test_hard_until_the_rates_are_used_up_then_soft() -> None:
    """Rates 60 and 30 fit 100; the third, of 20, does not: soft."""
    declared = {
        "a": burst(600, 60, 10),
        "b": burst(300, 60, 10),
        "c": burst(200, 60, 10),
        "batch": None,
    }
    assert admit(declared, CAPACITY, 3) == {
        "a": QueueKind.HARD,
        "b": QueueKind.HARD,
        "c": QueueKind.SOFT,
        "batch": QueueKind.ELASTIC,
    }


def test_a_newcomer_may_not_break_the_safety_of_those_admitted() -> None:
    """Each bound is 100 * 30 / N; a fourth queue lowers it from 1000 to 750."""
    declared = {name: burst(1000, 30, 100) for name in "abc"} | {"d": burst(10, 30, 100)}
    kinds = admit(declared, CAPACITY, 3)
    assert kinds["c"] is QueueKind.HARD
    assert kinds["d"] is QueueKind.ELASTIC


def demand(
    queue: str,
    kind: QueueKind,
    wants: float,
    rate: float = 0.0,
    remaining: float = 0.0,
    task: float = 1.0,
    urgency: int = 0,
) -> QueueDemand:
    return QueueDemand(
        queue,
        queue,
        kind,
        (task, 0.0, 0.0),
        (wants, 0.0, 0.0),
        (rate, 0.0, 0.0),
        remaining,
        urgency=urgency,
    )


def test_hard_gets_its_rate_soft_the_shortest_first_elastic_the_rest() -> None:
    first, rest = allocate(
        [
            demand("batch", QueueKind.ELASTIC, 500),
            demand("long", QueueKind.SOFT, 40, remaining=9),
            demand("hard", QueueKind.HARD, 80, rate=50),
            demand("short", QueueKind.SOFT, 30, remaining=2),
        ],
        CAPACITY,
    )
    assert [(queue, round(amount[0])) for queue, amount in first] == [("hard", 50)]
    assert [(queue, round(amount[0])) for queue, amount in rest] == [
        ("short", 30),
        ("long", 20),
        ("batch", 0),
    ]


def test_a_rate_below_one_task_is_rounded_up_to_one() -> None:
    first, _ = allocate([demand("hard", QueueKind.HARD, 8, rate=0.5, task=4)], CAPACITY)
    assert dict(first)["hard"][0] == pytest.approx(4)


def test_a_more_urgent_burst_goes_before_a_fixed_rate_whatever_its_class() -> None:
    """Guards against urgent bursts that are elastic, since unsafe, yielding to hard rates.

    In a large region, thousands of their tasks waited while less urgent work held most CPUs.
    """
    low = demand("low", QueueKind.HARD, 500, rate=90)
    urgent = demand("urgent", QueueKind.ELASTIC, 500, urgency=1)
    urgent.needed_now = (70.0, 0.0, 0.0)
    first, rest = allocate([low, urgent], CAPACITY)
    assert [(queue, round(amount[0])) for queue, amount in first] == [("urgent", 70), ("low", 30)]
    assert dict(rest)["urgent"][0] == pytest.approx(70)


def test_drf_textbook_example() -> None:
    """Ghodsi et al., NSDI 2011: 9 CPUs and 18 GB; A runs 3 tasks of <1, 4>, B 2 of <3, 1>."""
    given = drf(
        {
            "A": ((1.0, 4.0), (99.0, 99.0), 1.0),
            "B": ((3.0, 1.0), (99.0, 99.0), 1.0),
        },
        (9.0, 18.0),
        (9.0, 18.0),
    )
    assert given == {"A": (3.0, 12.0), "B": (6.0, 2.0)}


def test_drf_stops_at_what_is_wanted() -> None:
    given = drf({"A": ((1.0,), (2.0,), 1.0), "B": ((1.0,), (50.0,), 1.0)}, (10.0,), (10.0,))
    assert given == {"A": (2.0,), "B": (8.0,)}


def test_filling_takes_bounded_steps_and_stays_fair() -> None:
    """With thousands of small tasks, shares differ by at most two steps of `DRF_STEP`."""
    total = (5000.0, 0.0, 1e5)
    small = ((1.0, 0.0, 1.0), (4000.0, 0.0, 4000.0), 1.0)
    large = ((4.0, 0.0, 6.0), (4000.0, 0.0, 6000.0), 1.0)
    given = drf(
        {"a": small, "b": large, "c": ((1.0, 0.0, 0.0), (7.0, 0.0, 0.0), 1.0)}, total, total
    )
    assert given["c"][0] == 7.0
    assert sum(amount[0] for amount in given.values()) == pytest.approx(5000.0, abs=4)
    assert abs(given["a"][0] - given["b"][0]) <= 2 * constants.DRF_STEP * total[0]


def test_fair_shares_follow_guarantees_and_leave_nobody_without() -> None:
    """Shares follow guarantees plus a quarter divided evenly, and never exceed what is wanted.

    The queues of one team get equal shares.
    """
    capacity = (100.0, 0.0, 400.0)
    teams = {"red": Team("red", 60.0), "blue": Team("blue", 30.0), "green": Team("green")}

    def demand(queue: str, wants: float) -> QueueDemand:
        task = (1.0, 0.0, 1.0)
        most = (wants, 0.0, wants)
        return QueueDemand(
            queue, queue.split("/")[0], QueueKind.ELASTIC, task, most, ZERO, 0.0, usage=ZERO
        )

    queues = ["red/a", "red/b", "blue/a", "green/a"]
    given = fair_shares([demand(queue, 100.0) for queue in queues], teams, capacity)
    cpus = {queue: amount[0] for queue, amount in given.items()}
    assert sum(cpus.values()) == pytest.approx(100.0)
    assert cpus["red/a"] == pytest.approx(cpus["red/b"], abs=1.0)
    assert cpus["red/a"] + cpus["red/b"] == pytest.approx(59.4, abs=2.0)
    assert cpus["blue/a"] == pytest.approx(33.3, abs=2.0)
    assert cpus["green/a"] == pytest.approx(7.2, abs=1.0)
    small = fair_shares([demand("red/a", 5.0), demand("green/a", 100.0)], teams, capacity)
    assert small["red/a"][0] == 5.0 and small["green/a"][0] == pytest.approx(95.0)


def test_a_share_is_rounded_up_to_whole_tasks() -> None:
    """Rounded down, a share of one and a half tasks would be claimed only while none runs."""
    wide = (4.0, 0.0, 12.0)
    assert round_up_to_tasks((1.0, 0.0, 2.0), wide) == wide
    assert round_up_to_tasks((5.8, 0.0, 9.0), wide) == (8.0, 0.0, 24.0)
    assert round_up_to_tasks((8.0, 0.0, 24.0), wide) == (8.0, 0.0, 24.0)
