"""The command line: serve, check settings, simulate a day, run experiments."""

import os
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click
import msgspec

from chalkgrade import __version__
from chalkgrade.extensions import subsystems
from chalkgrade.logs import LOG_LEVELS, configure_logging
from chalkgrade.settings import Settings, SettingsError, load_settings


def _exit_with_error(text: object) -> None:
    """Print one line and exit with the code for wrong usage."""
    click.echo(f"chalkgrade: {text}", err=True)
    sys.exit(2)


def _log_level(usual: str) -> str:
    """The level in LOG_LEVEL, or the default `usual` if it is not set."""
    level = os.environ.get("LOG_LEVEL", usual).lower()
    if level not in LOG_LEVELS:
        _exit_with_error(f"LOG_LEVEL: {level!r} is not one of {', '.join(LOG_LEVELS)}")
    return level


def _load_or_exit(config: str, files: dict[str, str | None]) -> Settings:
    """Read all settings files; exits with a message if one is invalid."""
    try:
        own = files["operator_settings"]
        settings = load_settings(Path(config), Path(own) if own else None)
        subsystems.read_settings(settings, files)
        return settings
    except SettingsError as error:
        _exit_with_error(error)
        raise AssertionError from error


# Options for the settings files other than the platform's, with their help texts.
SETTINGS_FILE_OPTIONS = {
    "--operator-settings": "The operators' own settings (XML), optional.",
    **{f"--{row.name}": row.purpose for row in subsystems.SUBSYSTEMS},
}


def _settings_file_options(required: bool) -> Callable[[Callable[..., Any]], Callable[..., Any]]:
    """A decorator that adds the options for the settings files to a command."""

    def add(command: Callable[..., Any]) -> Callable[..., Any]:
        for option, purpose in reversed(SETTINGS_FILE_OPTIONS.items()):
            variable = "CHALKGRADE" + option.upper().replace("--", "_").replace("-", "_")
            command = click.option(option, envvar=variable, metavar="FILE", help=purpose)(command)
        return click.option(
            "--config", required=required, metavar="FILE", help="The platform's settings (TOML)."
        )(command)

    return add


@click.group(invoke_without_command=True, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__, prog_name="chalkgrade")
@_settings_file_options(required=False)
@click.option("--check", "only_check", is_flag=True, help="As the command `check`.")
@click.pass_context
def main(
    context: click.Context, /, config: str | None, only_check: bool, **files: str | None
) -> None:
    """A cluster scheduler with bounded priority fairness.

    Without a command, `--config FILE` serves. LOG_LEVEL (error, info, debug) sets what
    is logged to standard error.
    """
    if context.invoked_subcommand is not None:
        if config is not None or only_check:
            raise click.UsageError("options go behind the command")
        return
    if config is None:
        raise click.UsageError("a command or --config FILE is needed")
    context.invoke(check if only_check else serve, config=config, **files)


@main.command()
@_settings_file_options(required=True)
def serve(config: str, **files: str | None) -> None:
    """Run one controller until it is killed."""
    level = _log_level("info")
    settings = _load_or_exit(config, files)
    configure_logging(level, settings.operator.log_format)
    from chalkgrade.serving.daemon import run  # imported late: `check` does not need the server

    run(settings)


@main.command()
@_settings_file_options(required=True)
def check(config: str, **files: str | None) -> None:
    """Check the settings, print a summary and exit."""
    settings = _load_or_exit(config, files)
    cluster = settings.cluster
    click.echo(
        f"{settings.member}: settings are good: {len(settings.others)} peers, "
        f"{len(cluster.teams)} teams, {len(settings.operator.bursts)} declared bursts, "
        f"subsystems {', '.join(settings.parts) or 'none'}"
    )


def _print_figures(found: dict[str, Any], as_json: bool) -> None:
    """Print figures as one JSON object, or one per line."""
    if as_json:
        click.echo(msgspec.json.encode(found))
        return
    for key, value in found.items():
        rows = value.items() if isinstance(value, dict) else [("", value)]
        for part, figure in rows:
            text = figure if isinstance(figure, str) else f"{figure:g}"
            click.echo(f"{f'{key}.{part}'.rstrip('.')}: {text}")


@main.command()
@click.argument("day", metavar="DAY.toml")
@click.option("--seed", default=1, show_default=True, help="Of all that is drawn.")
@click.option("--json", "as_json", is_flag=True, help="One JSON object instead of lines.")
def play(day: str, seed: int, as_json: bool) -> None:
    """Simulate a day from a file in the simulated region; exits with code 1 if it failed.

    Figures are of simulated machines.
    """
    from chalkgrade.region import day as days
    from chalkgrade.region.fleet import figures, play_day

    try:
        found = days.read(Path(day))
    except SettingsError as error:
        _exit_with_error(error)
        raise AssertionError from error
    configure_logging(_log_level("error"), "plain")
    results = figures(*play_day(found, seed))
    _print_figures(results, as_json)
    sys.exit(0 if results["verdict"] == "ok" else 1)


@main.command()
@click.argument(
    "name",
    type=click.Choice(
        [
            "failover",
            "gap",
            "growth",
            "leaderless",
            "licences",
            "meetings",
            "moves",
            "pipelines",
            "troubles",
        ]
    ),
)
@click.option("--seed", default=1, show_default=True, help="Of all that is drawn.")
@click.option(
    "--seeds", default=1, show_default=True, help="How many in a row, summed up (meetings)."
)
@click.option("--json", "as_json", is_flag=True, help="One JSON object instead of lines.")
def experiment(name: str, seed: int, seeds: int, as_json: bool) -> None:
    """Run an experiment in the simulated region; figures are of simulated machines."""
    import importlib

    configure_logging(_log_level("error"), "plain")
    try:
        module = importlib.import_module(f"chalkgrade.experiments.{name}")
        if seeds != 1 and (seeds < 1 or not hasattr(module, "summary")):
            _exit_with_error(
                f"experiment: --seeds {seeds}: must be 1 or more, and {name} to sum up"
            )
        found = module.run(seed)
        if seeds > 1:
            rest = [module.play(one) for one in range(seed + 1, seed + seeds)]
            found = module.summary([found, *rest])
    except ModuleNotFoundError as error:
        _exit_with_error(
            f"experiment: no library {error.name!r}; the extra `experiments` brings it"
        )
    _print_figures(found, as_json)
