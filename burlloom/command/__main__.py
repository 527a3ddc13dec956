"""Runs the command line as `python -m burlloom.command`."""

from .root import main

main()
