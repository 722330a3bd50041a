"""Reports for operators what a rental plan decided about each team's waiting work.

A log of rentals alone doesn't show why no more machines were rented: the team may want little,
its limit may leave little, or CPUs may be expected to become free in time.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from chalkgrade.extensions.components import Sample


@dataclass
class TeamPlan:
    """CPUs of one team's waiting tasks in one plan, by the plan's decision."""

    wanted: float = 0.0  # of all tasks that the start constraints allow
    free: float = 0.0  # placed on CPUs that are free now
    soon: float = 0.0  # placed on CPUs that become free within the job's patience
    late: float = 0.0  # placed on CPUs that become free later, as nothing better can be rented
    rented: float = 0.0  # of machines that are rented for the team


@dataclass
class PlanReport:
    """The decisions of one rental plan, by team."""

    teams: dict[str, TeamPlan] = field(default_factory=dict)

    def team_plan(self, team: str) -> TeamPlan:
        """Returns the figures of a team, creating them on first use."""
        return self.teams.setdefault(team, TeamPlan())

    def add_placed(self, team: str, cpus: float, start_s: float, patience_s: float) -> None:
        """Adds tasks that were placed on CPUs which become free after `start_s` seconds."""
        plan = self.team_plan(team)
        if start_s <= 0:
            plan.free += cpus
        elif start_s <= patience_s:
            plan.soon += cpus
        else:
            plan.late += cpus

    def format_line(self) -> str:
        """Formats the report for the log, teams in alphabetical order."""
        return "; ".join(
            f"{team}: wants {plan.wanted:g} CPUs; on free {plan.free:g},"
            f" soon {plan.soon:g}, late {plan.late:g}, rented {plan.rented:g}"
            for team, plan in sorted(self.teams.items())
        )

    def samples(self) -> Iterable[Sample]:
        """Returns the samples for /metrics."""
        values: dict[tuple[str, ...], float] = {
            (team, name): float(getattr(plan, name))
            for team, plan in self.teams.items()
            for name in TeamPlan.__dataclass_fields__
        }
        text = "CPUs of waiting tasks in the last rental plan"
        yield Sample("rental_plan_cpus", text, ("team", "what"), values)
