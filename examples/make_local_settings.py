"""Write settings of several entry VMs on loopback, with fresh keys, from an example."""

import copy
import json
import pathlib

import click
import zmq


@click.command()
@click.argument("example", type=click.Path(exists=True, path_type=pathlib.Path))
@click.argument("directory", type=click.Path(path_type=pathlib.Path))
@click.option("--vms", default=3, show_default=True, type=click.IntRange(1, 9))
def main(example: pathlib.Path, directory: pathlib.Path, vms: int) -> None:
    """Write one settings file for each entry VM, and the keys of the operators."""
    document = json.loads((example / "deployment.json").read_text())
    directory.mkdir(parents=True, exist_ok=True)
    peers = document["peers"][:vms]
    keys = [zmq.curve_keypair() for _ in peers]
    for peer, (public, _) in zip(peers, keys, strict=True):
        peer["public_key"] = public.decode()
    for number, (peer, (_, secret)) in enumerate(zip(peers, keys, strict=True)):
        settings = copy.deepcopy(document)
        settings["vm"] = peer["vm"]
        settings["data_centre"] = peer["data_centre"]
        settings["callers"]["port"] += number
        settings["peers"] = peers
        settings["peer"] = {
            "host": peer["host"],
            "port": peer["port"],
            "public_key": peer["public_key"],
            "secret_key": secret.decode(),
        }
        path = directory / f"{peer['vm']}.json"
        path.write_text(json.dumps(settings, indent=2) + "\n")
        click.echo(str(path))
    for operator, key in document["operator_keys"].items():
        path = directory / f"{operator}.key"
        path.write_text(key + "\n")
        click.echo(str(path))


if __name__ == "__main__":
    main()
