"""Assemble the command line."""

import click

import wasabivalve


@click.group()
@click.version_option(wasabivalve.__version__)
def main() -> None:
    """Route requests to servers that own their keys exclusively."""
