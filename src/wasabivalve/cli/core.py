"""Assemble the command line."""

import click

import wasabivalve
from wasabivalve.entry import command as entry_command
from wasabivalve.stand_ins import command as stand_in_command

from . import (
    check_command,
    completion_command,
    configuration_commands,
    explain_command,
    observation_commands,
    report_commands,
    retention_command,
    waiting_commands,
)


@click.group()
@click.version_option(wasabivalve.__version__)
def main() -> None:
    """Route requests to servers that own their keys exclusively."""


for _module in (
    configuration_commands,
    check_command,
    observation_commands,
    waiting_commands,
    report_commands,
    retention_command,
    completion_command,
):
    _module.add_to(main)


main.add_command(explain_command.explain_request, name="explain")
main.add_command(entry_command.entry)
main.add_command(stand_in_command.stand_in)
