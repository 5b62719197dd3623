"""Run the command line as ``python -m wasabivalve``."""

from wasabivalve import cli

cli.main()
