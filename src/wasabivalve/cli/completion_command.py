"""Command that prints the completion script of a shell."""

import click
from click import shell_completion

COMPLETION_VARIABLE = "_WASABIVALVE_COMPLETE"


def add_to(group: click.Group) -> None:
    """Add the command to a group."""
    group.add_command(completion)


@click.command()
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
@click.pass_context
def completion(context: click.Context, shell: str) -> None:
    """Print the completion script of a shell.

    For bash: eval "$(wasabivalve completion bash)".
    """
    completion_class = shell_completion.get_completion_class(shell)
    if completion_class is None:
        raise click.UsageError(f"no completion for shell {shell!r}")
    command = context.find_root().command
    completer = completion_class(command, {}, "wasabivalve", COMPLETION_VARIABLE)
    # The source method of bash starts a bash process to check its version.
    click.echo(shell_completion.ShellComplete.source(completer))
