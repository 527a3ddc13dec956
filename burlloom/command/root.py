"""The root command: `burlloom serve|check|demo`, and the groups of the other modules."""

import os
import sys
from pathlib import Path

import click

from .distribution import distribution
from .fleet import fleet
from .lab import lab
from .levels import levels
from .record import record
from .recovery import recovery
from .rollout import rollout
from .shared import OPERATOR_VARIABLE, operator_option


@click.group(context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 110})
@click.version_option(package_name="burlloom")
def main() -> None:
    """An overload controller and the server around it.

    Begin with `burlloom demo`. `burlloom check` lists every fault of an operator's file and of a
    configuration file.
    """


@main.command()
@operator_option
@click.option(
    "--config",
    type=click.Path(dir_okay=False, path_type=Path),
    envvar="EDGE_CONFIG",
    help="The platform's configuration file (JSON); by default the one that EDGE_CONFIG names.",
)
def serve(operator: Path | None, config: Path | None) -> None:
    """Run a server in the foreground until SIGTERM.

    Does the same as `python -m burlloom.server`, which reads only environment variables.
    """
    if operator is not None:
        os.environ[OPERATOR_VARIABLE] = str(operator)
    if config is not None:
        os.environ["EDGE_CONFIG"] = str(config)
    # Replaces this process: the server has to block SIGHUP before its first import, and this
    # process has already imported modules.
    os.execv(sys.executable, [sys.executable, "-m", "burlloom.server"])


@main.command()
@operator_option
@click.option(
    "--config",
    type=click.Path(dir_okay=False, path_type=Path),
    envvar="EDGE_CONFIG",
    help="The platform's configuration file (JSON); by default the one that EDGE_CONFIG names.",
)
def check(operator: Path | None, config: Path | None) -> None:
    """Check an operator's file and a configuration file.

    Prints a line for each fault with its place; exits with status 2 if there is any.
    """
    from ..operator import OperatorFileError, load
    from ..server.configuration import ConfigurationError, read_config

    if operator is None and config is None:
        raise click.UsageError("nothing to check: name --operator, --config or both")
    faults: list[str] = []
    settings = None
    if operator is not None:
        try:
            settings = load(operator)
            click.echo(f"{operator}: good")
        except OperatorFileError as error:
            faults += error.lines
    if config is not None:
        os.environ["EDGE_CONFIG"] = str(config)
        try:
            configuration = read_config()
            click.echo(f"{config}: good")
            if settings is not None:
                # Levels name request classes, which only the configuration file defines, so this
                # check needs both files.
                from ..server.operator_subsystems import apply_operator_settings, check_levels

                check_levels(settings, apply_operator_settings(settings, configuration))
        except ConfigurationError as error:
            faults.append(str(error))
        except OperatorFileError as error:
            faults += [f"{operator}: {line}" for line in error.lines]
    for fault in faults:
        click.echo(fault, err=True)
    sys.exit(2 if faults else 0)


@main.command()
@click.option(
    "--folder",
    type=click.Path(file_okay=False, path_type=Path),
    default=None,
    help="Folder for the record and all other files; a temporary folder by default.",
)
def demo(folder: Path | None) -> None:
    """Show in under a minute how a server recovers from a crash.

    Runs a server between simulated peers, kills it after a charge and starts it again. The
    repeated charge is then answered from the record and does not run again.
    """
    from .demo import run_demo

    sys.exit(run_demo(folder))


main.add_command(distribution)
main.add_command(fleet)
main.add_command(lab)
main.add_command(levels)
main.add_command(record)
main.add_command(recovery)
main.add_command(rollout)
