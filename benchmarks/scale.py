"""Slopes of what the program costs by size: each command measures some, prints them with their fits and keeps them in
`benchmarks/slopes.jsonl`.

    python benchmarks/scale.py --help
"""

import sys
from pathlib import Path

import click

sys.path.insert(0, str(Path(__file__).parent))

import scale_callers  # noqa: E402
import scale_configuration  # noqa: E402
import scale_request  # noqa: E402


@click.group()
def scale() -> None:
    """Costs by size."""


scale.add_command(scale_configuration.configuration)
scale.add_command(scale_configuration.routes)
scale.add_command(scale_request.request)
scale.add_command(scale_request.during)
scale.add_command(scale_request.deal)
scale.add_command(scale_request.lead)
scale.add_command(scale_callers.callers)

if __name__ == "__main__":
    scale()
