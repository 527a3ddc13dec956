"""Measures costs of the product by size.

Each command measures some costs, prints them with their fits and stores them in
`benchmarks/slopes.jsonl`.

    python benchmarks/scale.py --help
"""

import sys
from pathlib import Path

import click

sys.path[:0] = [str(Path(__file__).parent), str(Path(__file__).parent.parent)]

import scale_callers  # noqa: E402
import scale_configuration  # noqa: E402
import scale_followers  # noqa: E402
import scale_members  # noqa: E402
import scale_request  # noqa: E402
import scale_run  # noqa: E402
import scale_servers  # noqa: E402
import scale_table  # noqa: E402


@click.group()
def scale() -> None:
    """Measures costs by size."""


for command in (
    scale_configuration.configuration,
    scale_configuration.routes,
    scale_request.request,
    scale_request.during,
    scale_request.deal,
    scale_request.lead,
    scale_callers.callers,
    scale_servers.servers,
    scale_table.table,
    scale_members.members,
    scale_followers.followers,
    scale_run.run,
):
    scale.add_command(command)

if __name__ == "__main__":
    scale()
