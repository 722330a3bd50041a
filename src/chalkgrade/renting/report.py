"""What a rental plan made of each team's waiting work, for operators.

Without it a log tells how many machines were rented, but not why no more were: a team that wants
little, a maximum that leaves little, or CPUs that are expected to come free in time.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from chalkgrade.extensions.components import Sample


@dataclass
class TeamPlan:
    """CPUs of one team's waiting tasks in one plan, by what the plan did about them."""

    wanted: float = 0.0  # of all tasks that may start as far as gates are concerned
    free: float = 0.0  # laid on CPUs that are free now
    soon: float = 0.0  # laid on CPUs that come free within the job's patience
    late: float = 0.0  # laid on CPUs that come free later, as nothing better can be rented
    rented: float = 0.0  # of machines that are rented for it


@dataclass
class PlanReport:
    """The last plan, by team."""

    teams: dict[str, TeamPlan] = field(default_factory=dict)

    def team_plan(self, team: str) -> TeamPlan:
        """The figures of a team, made when they are first asked for."""
        return self.teams.setdefault(team, TeamPlan())

    def add_placed(self, team: str, cpus: float, start: float, patience_s: float) -> None:
        """Tasks were laid on CPUs that come free after `start` seconds."""
        plan = self.team_plan(team)
        if start <= 0:
            plan.free += cpus
        elif start <= patience_s:
            plan.soon += cpus
        else:
            plan.late += cpus

    def format_line(self) -> str:
        """The log's line: teams in order."""
        return "; ".join(
            f"{team}: wants {plan.wanted:g} CPUs; on free {plan.free:g},"
            f" soon {plan.soon:g}, late {plan.late:g}, rented {plan.rented:g}"
            for team, plan in sorted(self.teams.items())
        )

    def samples(self) -> Iterable[Sample]:
        """Figures for /metrics."""
        values: dict[tuple[str, ...], float] = {
            (team, name): float(getattr(plan, name))
            for team, plan in self.teams.items()
            for name in TeamPlan.__dataclass_fields__
        }
        text = "CPUs of waiting tasks in the last rental plan"
        yield Sample("rental_plan_cpus", text, ("team", "what"), values)
