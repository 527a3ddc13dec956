"""Shared by the commands: the option that names the operator's file, and error reporting."""

import json
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

if TYPE_CHECKING:
    from ..operator import Operator

OPERATOR_VARIABLE = "BURLLOOM_OPERATOR"
operator_option = click.option(
    "--operator",
    "-o",
    type=click.Path(dir_okay=False, path_type=Path),
    envvar=OPERATOR_VARIABLE,
    help=f"The operator's file (Jsonnet); by default the one that {OPERATOR_VARIABLE} names.",
)


@contextmanager
def exit_on_store_refusal() -> Iterator[None]:
    """Reports a store's refusal as one line on standard error and exits with status 2."""
    from ..record.store import StoreRefusedError

    try:
        yield
    except StoreRefusedError as refused:
        click.echo(f"burlloom: {refused}", err=True)
        sys.exit(2)


def load_operator_file(path: Path | None) -> "Operator":
    """Returns the settings in the operator's file.

    Prints each fault of the file on a line of standard error and exits with status 2 if there is
    one.

    Raises:
        click.UsageError: No file is named.
    """
    from ..operator import OperatorFileError, load

    if path is None:
        raise click.UsageError(
            f"no operator's file is named: use --operator or set {OPERATOR_VARIABLE}"
        )
    try:
        return load(path)
    except OperatorFileError as faults:
        for line in faults.lines:
            click.echo(line, err=True)
        sys.exit(2)


def read_state_file(path: str | None, setting: str, content: str) -> dict[str, Any]:
    """Returns the state that a running process wrote to its state file.

    Prints one line on standard error and exits with status 2 if the file can't be read.

    Args:
        path: The state file; None if the setting is missing.
        setting: Name of the setting that holds the path, for the error message.
        content: What the process writes to the file, for the error message.

    Raises:
        click.UsageError: The setting is missing.
    """
    if path is None:
        raise click.UsageError(f"{setting} is not set: the process writes {content} to no file")
    try:
        state = json.loads(Path(path).read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        click.echo(f"burlloom: {path}: {error}", err=True)
        sys.exit(2)
    assert isinstance(state, dict)
    return state
