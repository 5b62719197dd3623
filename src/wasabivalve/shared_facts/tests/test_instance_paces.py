"""Test what VMs tell each other of cold instances."""

from wasabivalve import shared_facts


def test_second_warmup_of_the_same_length_is_told_to_the_other_vms():
    """Only the VM that had the answer kept to the bound of the cold instance."""
    boards = [shared_facts.FactBoard() for _ in range(2)]
    paces = [shared_facts.InstancePaces(board) for board in boards]
    for now in (20_000.0, 40_000.0):
        assert paces[0].on_cold("i-1", 1, 3_000.0, now)
        boards[1].receive(boards[0].take_unpublished(now), now)
        assert paces[1].cold_until("i-1", 1, now) == now + 3_000.0
