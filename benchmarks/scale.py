"""What control costs as it grows, by slopes of five sizes or more; see burlloom/lab/slopes.py.

    python benchmarks/scale.py servers --help
"""

import sys
from pathlib import Path

import click

sys.path.insert(0, str(Path(__file__).parent.parent))
sys.path.insert(0, str(Path(__file__).parent))

from scale_servers import servers  # noqa: E402


@click.group()
def main() -> None:
    """Slopes of what control costs. Tables go to stdout, progress to stderr."""


main.add_command(servers)

if __name__ == "__main__":
    main()
