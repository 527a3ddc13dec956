"""What several commands share: the operator's file, and faults told in one way."""

import json
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

if TYPE_CHECKING:
    from ..operator import Operator

OPERATOR = "BURLLOOM_OPERATOR"
operator_option = click.option(
    "--operator",
    "-o",
    type=click.Path(dir_okay=False, path_type=Path),
    envvar=OPERATOR,
    help=f"The operator's own file (Jsonnet); else {OPERATOR}.",
)


@contextmanager
def told_plainly() -> Iterator[None]:
    """What is refused is one line on standard error and status 2."""
    from ..record.store import StoreRefusedError

    try:
        yield
    except StoreRefusedError as refused:
        click.echo(f"burlloom: {refused}", err=True)
        sys.exit(2)


def operator_file(path: Path | None) -> "Operator":
    from ..operator import OperatorFileError, load

    if path is None:
        raise click.UsageError(f"which operator's file? Name it by --operator or {OPERATOR}")
    try:
        return load(path)
    except OperatorFileError as faults:
        for line in faults.lines:
            click.echo(line, err=True)
        sys.exit(2)


def state_told(path: str | None, setting: str, what: str) -> dict[str, Any]:
    """What a server wrote of itself to the file that `setting` names; else says why there is none,
    and ends.
    """
    if path is None:
        raise click.UsageError(f"{setting} is not set: the server tells {what} nowhere")
    try:
        got = json.loads(Path(path).read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        click.echo(f"burlloom: {path}: {error}", err=True)
        sys.exit(2)
    assert isinstance(got, dict)
    return got
