"""Find free ports for the servers of a test."""

import random
import socket


def free_ports(count):
    """Return distinct free ports below the ephemeral range of outgoing connections."""
    probes = []
    for port in random.SystemRandom().sample(range(20_000, 32_000), 1_000):
        probe = socket.socket()
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            probe.close()
            continue
        probes.append(probe)
        if len(probes) == count:
            break
    ports = [probe.getsockname()[1] for probe in probes]
    for probe in probes:
        probe.close()
    return ports
