"""`burlloom serve|check|demo|distribution|fleet|lab|levels|record|recovery|rollout ...`."""

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
from .shared import OPERATOR, operator_option


@click.group(context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 110})
@click.version_option(package_name="burlloom")
def main() -> None:
    """An overload controller and the server around it.

    Begin with `burlloom demo`. `burlloom check` tells every fault of an operator's file and of a
    configuration.
    """


@main.command()
@operator_option
@click.option(
    "--config",
    type=click.Path(dir_okay=False, path_type=Path),
    envvar="EDGE_CONFIG",
    help="What the server is told by its platform (JSON); else EDGE_CONFIG.",
)
def serve(operator: Path | None, config: Path | None) -> None:
    """Serve, in the foreground, until SIGTERM.

    The same as `python -m burlloom.server`, which reads its environment alone.
    """
    if operator is not None:
        os.environ[OPERATOR] = str(operator)
    if config is not None:
        os.environ["EDGE_CONFIG"] = str(config)
    # In place of this process: the server blocks SIGHUP before its first import, which a command
    # can't any more.
    os.execv(sys.executable, [sys.executable, "-m", "burlloom.server"])


@main.command()
@operator_option
@click.option(
    "--config",
    type=click.Path(dir_okay=False, path_type=Path),
    envvar="EDGE_CONFIG",
    help="What the server is told by its platform (JSON); else EDGE_CONFIG.",
)
def check(operator: Path | None, config: Path | None) -> None:
    """Check an operator's file and a configuration: a line for each fault, with its place; status 2
    if any.
    """
    from ..operator import OperatorFileError, load
    from ..server.configuration import ConfigurationError, read_config

    if operator is None and config is None:
        raise click.UsageError("nothing to check: name --operator, --config or both")
    faults: list[str] = []
    told = None
    if operator is not None:
        try:
            told = load(operator)
            click.echo(f"{operator}: good")
        except OperatorFileError as found:
            faults += found.lines
    if config is not None:
        os.environ["EDGE_CONFIG"] = str(config)
        try:
            orders = read_config()
            click.echo(f"{config}: good")
            if told is not None:
                # What only the two together can tell: products that a level names.
                from ..server.operator_subsystems import apply_operator_settings, check_levels

                check_levels(told, apply_operator_settings(told, orders))
        except ConfigurationError as broken:
            faults.append(str(broken))
        except OperatorFileError as found:
            faults += [f"{operator}: {line}" for line in found.lines]
    for fault in faults:
        click.echo(fault, err=True)
    sys.exit(2 if faults else 0)


@main.command()
@click.option(
    "--folder",
    type=click.Path(file_okay=False, path_type=Path),
    default=None,
    help="Where the record is kept; a temporary folder by default.",
)
def demo(folder: Path | None) -> None:
    """Show it at work, in under a minute: serves between our own stand-ins, is killed after a
    charge, comes back.

    The charge's repeat is then settled from the record, and not run again.
    """
    from .demo import play

    sys.exit(play(folder))


main.add_command(distribution)
main.add_command(fleet)
main.add_command(lab)
main.add_command(levels)
main.add_command(record)
main.add_command(recovery)
main.add_command(rollout)
